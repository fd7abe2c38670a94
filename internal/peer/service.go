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
	// dialTimeout limits an attempt to connect. The network latency between instances is a few
	// milliseconds.
	dialTimeout = time.Second
	// unresponsiveTimeout is how long a connection may be without a response, while calls time out,
	// before it is closed. It limits the calls that wait for a frozen peer.
	unresponsiveTimeout = 5 * time.Second
	// maxConnsPerPeer limits the accepted connections from an address for each peer with that
	// address: one connection per net/rpc receiver, and as many again while old connections are
	// not yet closed.
	maxConnsPerPeer = 32
	// acceptRetryDelay prevents a failing listener from using a whole core.
	acceptRetryDelay = 50 * time.Millisecond
)

// Config configures the connections between instances.
type Config struct {
	// Listen is the IP:port on which this instance accepts connections.
	Listen string
	// Key is the key shared by all instances.
	Key string
	// Peers maps the id of each other instance to its IP:port.
	Peers map[string]string
}

// Service handles the calls of peers and calls peers. It implements kernel.Service, Caller and
// Registrar.
type Service struct {
	config Config
	clock  *hlc.Clock
	logger *log.Logger
	server *rpc.Server
	// peersPerAddr is the number of peers with each address.
	peersPerAddr map[netip.Addr]int
	kernel       *kernel.Kernel

	mu       sync.Mutex
	listener net.Listener
	accepted map[net.Conn]netip.Addr
	links    map[linkKey]*link
}

// linkKey identifies a link. Each net/rpc receiver of an instance has its own connection, so that a
// large response of one receiver does not delay the calls of the others.
type linkKey struct {
	instance string
	receiver string
}

// ServiceName is the name under which the service is registered with the kernel.
const ServiceName = "peer"

// New returns the service. It accepts connections from the addresses of config.Peers. The error
// wraps ErrUnknownPeer if one of them is not a valid IP:port.
func New(config Config, clock *hlc.Clock, logger *log.Logger) (*Service, error) {
	peersPerAddr := make(map[netip.Addr]int)
	for id, addr := range config.Peers {
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, eris.Wrapf(ErrUnknownPeer, "%s: %v", id, err)
		}
		peersPerAddr[parsed.Addr().Unmap()]++
	}
	return &Service{
		config:       config,
		clock:        clock,
		logger:       logger,
		server:       rpc.NewServer(),
		peersPerAddr: peersPerAddr,
		accepted:     make(map[net.Conn]netip.Addr),
		links:        make(map[linkKey]*link),
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

// link returns the link with the given key, and creates it at the first use.
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

// accept accepts connections until the service stops.
func (s *Service) accept(ctx context.Context) error {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// The process may be out of file descriptors, which is temporary: accept again. Peers redial.
			s.logger.Error().Err(err).Msg("accepting peer connection failed")
			time.Sleep(acceptRetryDelay)
			continue
		}
		if !s.admit(conn) {
			s.logger.Warn().Str("remote", conn.RemoteAddr().String()).Msg("peer connection rejected: unknown address or too many connections")
			_ = conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

// admit registers a connection and reports true if it comes from the address of a peer and the limit
// of connections from this address is not reached.
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
	if open >= s.peersPerAddr[addr]*maxConnsPerPeer {
		return false
	}
	s.accepted[conn] = addr
	return true
}

// serve handles the calls of one connection until it closes.
func (s *Service) serve(conn net.Conn) {
	defer s.removeAccepted(conn)
	if err := handshake(conn, []byte(s.config.Key), roleServer, roleClient); err != nil {
		s.logger.Warn().Str("remote", conn.RemoteAddr().String()).Err(err).Msg("peer handshake failed")
		return
	}
	s.server.ServeCodec(serverCodec{newStream(conn, s.clock)})
}

// removeAccepted closes a connection and removes it from the accepted ones.
func (s *Service) removeAccepted(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accepted, conn)
}
