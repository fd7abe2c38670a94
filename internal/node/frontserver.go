package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/clients"
)

const (
	// idleGrace is how long a stopping server still reads from an idle connection, so that a request that is
	// on its way is answered.
	idleGrace = 100 * time.Millisecond
	// closeCheckInterval is the period at which a stopping server checks its connections.
	closeCheckInterval = 10 * time.Millisecond
	// cancelledResponseTime is the time for the responses to requests that are cancelled at the end of the
	// stop timeout. A cancelled request may still wait for a connection to the leader's relay, which takes
	// 300 ms at most.
	cancelledResponseTime = 400 * time.Millisecond
)

// frontServer is the server for the requests of callers. Its stop answers each request that it has read.
// http.Server.Shutdown does not: it drops requests that are read after its start, and it closes a
// connection as idle while a request that was read from it is parsed.
type frontServer struct {
	server   *http.Server
	handler  http.Handler
	listener net.Listener
	// served is closed when the server accepts no more connections.
	served chan struct{}
	// stopping makes responses ask callers to close their connections.
	stopping atomic.Bool
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelFunc

	mu sync.Mutex
	// conns is the state of each open connection.
	conns map[net.Conn]http.ConnState
}

// startFrontServer starts a server at an address, with the connections and requests that a limiter permits. It
// sends an error to failed if the server fails.
func startFrontServer(server *http.Server, limiter *clients.Limiter, address string, failed chan<- error) (*frontServer, error) {
	listener, err := limiter.Listen(address)
	if err != nil {
		return nil, err
	}
	requestCtx, cancelRequests := context.WithCancel(context.Background())
	s := &frontServer{
		server: server, handler: server.Handler, listener: listener, served: make(chan struct{}),
		cancelRequests: cancelRequests, conns: make(map[net.Conn]http.ConnState),
	}
	server.Handler, server.ConnState = http.HandlerFunc(s.serveHTTP), s.connStateChanged
	limiter.Configure(server)
	server.BaseContext = func(net.Listener) context.Context { return requestCtx }
	go func() {
		defer close(s.served)
		if err := server.Serve(listener); !errors.Is(err, net.ErrClosed) {
			failed <- err
		}
	}()
	return s, nil
}

func (s *frontServer) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.handler.ServeHTTP(&closingWriter{ResponseWriter: w, stopping: &s.stopping}, r)
}

// closingWriter writes a response that asks the caller to close the connection if the server is stopping
// when the header is written.
type closingWriter struct {
	http.ResponseWriter
	stopping *atomic.Bool
}

// Unwrap returns the writer whose connection http.ResponseController uses.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *closingWriter) WriteHeader(status int) {
	w.setConnection()
	w.ResponseWriter.WriteHeader(status)
}

func (w *closingWriter) Write(data []byte) (int, error) {
	w.setConnection()
	return w.ResponseWriter.Write(data)
}

func (w *closingWriter) setConnection() {
	if w.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
}

// connStateChanged is called by the goroutine that serves conn. For StateActive, that is after the header
// of a request was read and before it is handled.
func (s *frontServer) connStateChanged(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, conn)
		return
	case http.StateActive:
		if s.stopping.Load() {
			// The deadline that expire has set must not end the request. Setting a deadline fails
			// only if the connection is closed.
			_ = conn.SetReadDeadline(time.Time{})
		}
	}
	s.conns[conn] = state
}

// stop accepts no more connections, closes those that are idle, and waits until the requests on the others
// are answered. When ctx ends before that, it cancels the requests, which are then answered with an unknown
// outcome, and returns an error. At the end it closes all connections.
func (s *frontServer) stop(ctx context.Context) error {
	_ = s.listener.Close() // This fails only if the listener is closed already.
	<-s.served
	s.stopping.Store(true)
	err := s.waitClosed(ctx, http.StateIdle)
	s.cancelRequests()
	if err != nil {
		responseCtx, cancel := context.WithTimeout(context.Background(), cancelledResponseTime)
		defer cancel()
		err = errors.Join(err, s.waitClosed(responseCtx, http.StateIdle, http.StateNew))
	}
	return errors.Join(err, s.server.Close())
}

// waitClosed closes the connections in the given states, unless a request arrives within idleGrace, and
// waits until no connection is open.
func (s *frontServer) waitClosed(ctx context.Context, states ...http.ConnState) error {
	deadline := time.Now().Add(idleGrace)
	for s.expire(deadline, states) > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(closeCheckInterval):
		}
	}
	return nil
}

// expire sets the time at which the goroutines of the connections in the given states stop waiting for a
// request and close them, and returns the number of open connections. It must be called repeatedly, because
// a goroutine that is about to wait sets another time.
func (s *frontServer) expire(deadline time.Time, states []http.ConnState) (open int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, state := range s.conns {
		if slices.Contains(states, state) {
			_ = conn.SetReadDeadline(deadline) // This fails only if the connection is closed.
		}
	}
	return len(s.conns)
}
