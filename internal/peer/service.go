package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"net/rpc"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
)

const (
	// dialTimeout bounds a connection attempt. Instances are a few milliseconds apart.
	dialTimeout = time.Second
	// deadAfter is how long a connection may give no answer, while calls time out, before it is
	// closed. It bounds the calls that wait on a frozen peer.
	deadAfter = 5 * time.Second
	// maxConnsPerPeer bounds the accepted connections by address: one for each rpc receiver,
	// and as many again while an old connection is not yet closed.
	maxConnsPerPeer = 32
	// acceptPause keeps a failing listener from using a whole core.
	acceptPause = 50 * time.Millisecond
)

// Config holds the addresses and the key of the connections between instances.
type Config struct {
	// Listen is the IP:port of this instance's listener.
	Listen string
	// Key is shared by all instances.
	Key string
	// Peers has the IP:port of each other instance by id.
	Peers map[string]string
}

// Service accepts and makes calls between instances. It implements kernel.Service, Caller and
// Registrar.
type Service struct {
	config  Config
	clock   *hlc.Clock
	logger  *log.Logger
	server  *rpc.Server
	allowed map[netip.Addr]int
	kernel  *kernel.Kernel

	mu       sync.Mutex
	listener net.Listener
	accepted map[net.Conn]netip.Addr
	links    map[linkKey]*link
}

// linkKey separates the connections of the rpc receivers, so that a large answer of one does
// not delay the others.
type linkKey struct {
	instance string
	receiver string
}

// ServiceName is the kernel name of the service.
const ServiceName = "peer"

// New returns the service. allowed addresses are those of the peers.
func New(config Config, clock *hlc.Clock, logger *log.Logger) (*Service, error) {
	allowed := make(map[netip.Addr]int)
	for id, addr := range config.Peers {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, eris.Wrapf(ErrUnknownPeer, "%s: %v", id, err)
		}
		allowed[parsed.Addr().Unmap()]++
	}
	return &Service{
		config:   config,
		clock:    clock,
		logger:   logger,
		server:   rpc.NewServer(),
		allowed:  allowed,
		accepted: make(map[net.Conn]netip.Addr),
		links:    make(map[linkKey]*link),
	}, nil
}

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.kernel = k
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(context.Context) error {
	listener, err := net.Listen("tcp", s.config.Listen)
	if err != nil {
		return eris.Wrap(err, "listen for peers")
	}
	s.mu.Lock()
	s.listener = listener
	s.mu.Unlock()
	s.kernel.Go(ServiceName, "accept", s.accept)
	return nil
}

// Stop implements kernel.Service.
func (s *Service) Stop(context.Context) error {
	err := s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.accepted {
		_ = conn.Close()
	}
	for _, l := range s.links {
		l.close()
	}
	return err
}

// Register implements Registrar.
func (s *Service) Register(name string, receiver any) error {
	return s.server.RegisterName(name, receiver)
}

// Peers implements Caller.
func (s *Service) Peers() []string {
	ids := make([]string, 0, len(s.config.Peers))
	for id := range s.config.Peers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Call implements Caller.
func (s *Service) Call(ctx context.Context, instance, method string, args, reply any) error {
	addr, known := s.config.Peers[instance]
	if !known {
		return eris.Wrap(ErrUnknownPeer, instance)
	}
	receiver, _, _ := strings.Cut(method, ".")
	return s.link(linkKey{instance, receiver}, addr).call(ctx, method, args, reply)
}

func (s *Service) link(key linkKey, addr string) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	l, found := s.links[key]
	if !found {
		l = &link{addr: addr, key: []byte(s.config.Key), clock: s.clock}
		s.links[key] = l
	}
	return l
}

func (s *Service) accept(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// Running out of file descriptors is temporary; peers dial again.
			s.logger.Error().Err(err).Msg("accept peer")
			time.Sleep(acceptPause)
			continue
		}
		if !s.admit(conn) {
			s.logger.Warn().Str("remote", conn.RemoteAddr().String()).Msg("peer connection refused")
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// admit reports whether a connection comes from the address of a peer that has not too many.
func (s *Service) admit(conn net.Conn) bool {
	remote, err := netip.ParseAddrPort(conn.RemoteAddr().String())
	if err != nil {
		return false
	}
	addr := remote.Addr().Unmap()
	s.mu.Lock()
	defer s.mu.Unlock()
	open := 0
	for _, other := range s.accepted {
		if other == addr {
			open++
		}
	}
	if open >= s.allowed[addr]*maxConnsPerPeer {
		return false
	}
	s.accepted[conn] = addr
	return true
}

func (s *Service) serve(conn net.Conn) {
	defer s.forget(conn)
	if err := handshake(conn, []byte(s.config.Key), roleServer, roleClient); err != nil {
		s.logger.Warn().Str("remote", conn.RemoteAddr().String()).Err(err).Msg("peer handshake failed")
		return
	}
	s.server.ServeCodec(serverCodec{newStream(conn, s.clock)})
}

func (s *Service) forget(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepted, conn)
}
