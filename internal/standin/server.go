package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Server is a running set of stand-ins.
type Server struct {
	Log       *Log
	Instances *Instances
	Fleet     *Fleet
	// Targets are in the order in which their addresses are assigned, zone by zone.
	Targets []*Target

	// ControlURL, LogURL and InstancesURL are base URLs without a path.
	ControlURL   string
	LogURL       string
	InstancesURL string

	faults    *faultTable
	listeners []*listener
	// targetListeners contains the listener of each target by the target's id.
	targetListeners map[string]*listener
}

// ErrListen means that a listener of the stand-ins could not be opened.
var ErrListen = errors.New("standin: listen")

// Start starts all stand-ins; Close stops them. It returns ErrListen if it can't listen on an
// address of the settings.
func Start(config settings.Standin) (server *Server, err error) {
	s := &Server{targetListeners: make(map[string]*listener)}
	defer func() {
		if err != nil {
			s.Close()
		}
	}()
	s.Log = NewLog(LogConfig{
		Retention:        time.Duration(config.Log.Retention),
		AppendsPerSecond: config.Log.AppendsPerSecond,
	})
	logAddr, err := s.listen(config.LogAddr, logHandler(s.Log), nil)
	if err != nil {
		return nil, err
	}
	var fleetHandler deferredHandler
	workersAddr, err := s.listen(config.WorkersAddr, &fleetHandler, nil)
	if err != nil {
		return nil, err
	}
	workers := workerRows(config, workersAddr)
	s.Fleet = NewFleet(FleetConfig{Workers: workers, UsageLag: time.Duration(config.UsageLag)})
	fleetHandler.set(workersHandler(s.Fleet))
	targets, err := s.startTargets(config)
	if err != nil {
		return nil, err
	}
	rows := append(append(entryRows(config), workers...), targets...)
	s.Instances = NewInstances(nil, time.Duration(config.InstancesLag), rows)
	instancesAddr, err := s.listen(config.InstancesAddr, instancesHandler(s.Instances), nil)
	if err != nil {
		return nil, err
	}
	s.faults = newFaultTable()
	controlAddr, err := s.listen(config.ControlAddr, s.controlHandler(), nil)
	if err != nil {
		return nil, err
	}
	s.LogURL, s.InstancesURL, s.ControlURL = "http://"+logAddr, "http://"+instancesAddr, "http://"+controlAddr
	return s, nil
}

// Close stops all stand-ins and closes their connections at once. It doesn't wait for running
// handlers.
func (s *Server) Close() {
	for _, l := range s.listeners {
		l.down()
	}
}

// listen starts a listener and returns its address, with the port that was assigned.
func (s *Server) listen(addr string, handler http.Handler, configure func(*http.Server)) (string, error) {
	l := &listener{addr: addr, handler: handler, configure: configure}
	if err := l.up(); err != nil {
		return "", err
	}
	s.listeners = append(s.listeners, l)
	return l.addr, nil
}

// startTargets starts all targets and returns their rows for the instance list.
func (s *Server) startTargets(config settings.Standin) ([]platform.Instance, error) {
	var rows []platform.Instance
	for _, zone := range config.Zones {
		for n := range zone.Targets {
			target := NewTarget(TargetConfig{
				ID:          fmt.Sprintf("%s-t%02d", zone.Name, n+1),
				Slots:       config.Target.Slots,
				Connections: config.Target.Connections,
			})
			addr, err := s.listen(nthAddr(config.TargetsAddr, len(rows)), target, target.TrackConnections)
			if err != nil {
				return nil, err
			}
			s.Targets = append(s.Targets, target)
			s.targetListeners[target.config.ID] = s.listeners[len(s.listeners)-1]
			rows = append(rows, platform.Instance{
				ID:          target.config.ID,
				Kind:        platform.KindTarget,
				State:       platform.StateLive,
				Addr:        addr,
				Region:      zone.Region,
				Zone:        zone.Name,
				Slots:       config.Target.Slots,
				Connections: config.Target.Connections,
			})
		}
	}
	return rows, nil
}

// nthAddr returns first with its port increased by n, or unchanged if the port is 0.
func nthAddr(first string, n int) string {
	addr, err := netip.ParseAddrPort(first)
	if err != nil || addr.Port() == 0 {
		return first
	}
	return netip.AddrPortFrom(addr.Addr(), addr.Port()+uint16(n)).String()
}

func workerRows(config settings.Standin, addr string) []platform.Instance {
	var rows []platform.Instance
	for _, zone := range config.Zones {
		for n := range zone.Workers {
			rows = append(rows, platform.Instance{
				ID:           fmt.Sprintf("%s-w%02d", zone.Name, n+1),
				Kind:         platform.KindWorker,
				State:        platform.StateLive,
				Addr:         addr,
				Region:       zone.Region,
				Zone:         zone.Name,
				Rack:         fmt.Sprintf("%s-r%d", zone.Name, n/config.Worker.PerRack+1),
				Cores:        config.Worker.Cores,
				MemoryMB:     config.Worker.MemoryMB,
				Accelerators: config.Worker.Accelerators,
			})
		}
	}
	return rows
}

// entryRows returns the rows of the instances of the system itself, which receive the requests of
// callers (platform.KindEntry).
func entryRows(config settings.Standin) []platform.Instance {
	var rows []platform.Instance
	for _, entry := range config.Entries {
		rows = append(rows, platform.Instance{
			ID:     entry.ID,
			Kind:   platform.KindEntry,
			State:  platform.StateLive,
			Addr:   entry.Addr,
			Region: entry.Region,
			Zone:   entry.Zone,
		})
	}
	return rows
}

// deferredHandler delegates to a handler that is set after the listener has been opened. Until
// then, it closes the connection of each request and sends no response.
type deferredHandler struct {
	mu      sync.RWMutex
	handler http.Handler
}

func (d *deferredHandler) set(h http.Handler) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handler = h
}

// ServeHTTP implements http.Handler.
func (d *deferredHandler) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	d.mu.RLock()
	handler := d.handler
	d.mu.RUnlock()
	if handler == nil {
		panic(http.ErrAbortHandler)
	}
	handler.ServeHTTP(rw, r)
}

// Timeouts of the servers, and the limit of request headers in bytes. The idle timeout is longer
// than that of the clients, so that the clients close idle connections first.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxServerHeader   = 64 << 10
)

// listenRetryTimeout is how long opening a listener is retried, also at Start. During an outage,
// another socket can have taken the port.
const listenRetryTimeout = 3 * time.Second

// listener is an HTTP server that can be taken down, after which connections to it are refused, and
// brought up again on the same port.
type listener struct {
	handler   http.Handler
	configure func(*http.Server)

	mu sync.Mutex
	// addr has the port that was assigned once the listener has been up.
	addr   string
	server *http.Server
	done   sync.WaitGroup
}

// up opens the port and serves on it. It has no effect if the listener is up.
func (l *listener) up() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server != nil {
		return nil
	}
	ln, err := listenRetry(l.addr)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrListen, err)
	}
	l.addr = ln.Addr().String()
	server := &http.Server{
		Handler:           l.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxServerHeader,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connContextKey{}, conn)
		},
	}
	if l.configure != nil {
		l.configure(server)
	}
	l.server = server
	l.done.Go(func() {
		// Serve always returns an error; after Close it is ErrServerClosed.
		_ = server.Serve(ln)
	})
	return nil
}

// listenRetry listens on addr and retries for listenRetryTimeout.
func listenRetry(addr string) (net.Listener, error) {
	deadline := time.Now().Add(listenRetryTimeout)
	for {
		ln, err := net.Listen("tcp", addr)
		if err == nil || time.Now().After(deadline) {
			return ln, err
		}
		time.Sleep(listenRetryTimeout / 30)
	}
}

// down closes the port and all connections. It doesn't wait for running handlers; the contexts of
// their requests are cancelled and their responses are lost.
func (l *listener) down() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.server == nil {
		return
	}
	_ = l.server.Close()
	l.done.Wait()
	l.server = nil
}
