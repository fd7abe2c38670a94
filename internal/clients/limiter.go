package clients

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minWait is how long a connection may always wait for its first request before it is closed in favour
	// of newer ones. The request of an ordinary client arrives within a few milliseconds.
	minWait = 200 * time.Millisecond
	// writeTimeout limits one write to a client. A write waits only if the client has left about 16 KB of
	// earlier answers unread.
	writeTimeout = 5 * time.Second
	// sweepInterval is the period at which connections are checked for their time limits.
	sweepInterval = 500 * time.Millisecond
	// socketBufferBytes is the size of the kernel's buffers in each direction of a connection. What waits in
	// them counts as memory of the process. A usual request (10 KB) fits. The kernel doubles the value for
	// its own bookkeeping.
	socketBufferBytes = 16 << 10
	// readAheadBytes is what net/http may read beyond a header.
	readAheadBytes = 8 << 10
	// maxHeaderCeiling is the largest limit of headers in bytes, whatever the operator sets.
	maxHeaderCeiling = 64 << 10
	// maxServerTimeout is the time limit of the HTTP server for a header and for idle connections, whatever the
	// operator sets. Shorter limits are checked every sweepInterval.
	maxServerTimeout = 10 * time.Minute
)

// Limits are the limits for requests on a connection.
type Limits struct {
	// HeaderTimeout is the time for the header of a request, IdleTimeout that between two requests, and
	// BodyTimeout that for the body, unless the handler sets an earlier deadline.
	HeaderTimeout, IdleTimeout, BodyTimeout time.Duration
	// MaxHeaderBytes is the maximum size of a header.
	MaxHeaderBytes int
}

// Limiter limits the connections of one HTTP server. At the limit, the connection that has waited longest for a
// complete request is closed. Requests that were read whole are never given up.
type Limiter struct {
	maxConns int
	limits   func() Limits
	refusals *Refusals
	// freed has an element when a connection may have become free since the element was taken.
	freed chan struct{}
	// stopped is closed by the listener's Close.
	stopped chan struct{}

	mu    sync.Mutex
	conns map[*conn]struct{}
	// full is whether a new connection waits for room.
	full bool
	// waiting is the connections (*conn) without a complete request, in the order in which they began to wait.
	waiting list.List
}

// NewLimiter returns a limiter for a server with at most maxConns connections. The limits are read for each
// request, so that they may change.
func NewLimiter(maxConns int, limits func() Limits, refusals *Refusals) *Limiter {
	return &Limiter{
		maxConns: maxConns, limits: limits, refusals: refusals, conns: make(map[*conn]struct{}),
		freed: make(chan struct{}, 1), stopped: make(chan struct{}),
	}
}

// Open returns the number of open connections.
func (l *Limiter) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// phase is what a connection is used for.
type phase int

const (
	// headerPhase: the header of a request is awaited or being read, on a new connection or after its first byte.
	headerPhase phase = iota
	// idlePhase: a request was answered and no further byte has arrived.
	idlePhase
	// bodyPhase: the body of a request is being read.
	bodyPhase
	// handlingPhase: a request was read whole and is not answered yet.
	handlingPhase
)

// conn is a connection of a client.
type conn struct {
	*net.TCPConn
	limiter *Limiter
	// The fields below are guarded by the mutex of limiter.

	phase phase
	// since is when the phase began.
	since time.Time
	// element is the place in Limiter.waiting, or nil.
	element *list.Element
	// expired means that the connection is being closed: no read deadline may be set any more.
	expired bool
	// closing means that the next response asks the client to close the connection.
	closing bool
	// pipelined means that the next request was read together with an earlier one, before that was answered.
	pipelined bool
	// headerBytes is the bytes that were read for a header.
	headerBytes int
	// writingSince is when a write that still waits began, or zero.
	writingSince time.Time
}

// listener accepts connections up to the limit.
type listener struct {
	*net.TCPListener
	limiter   *Limiter
	closeOnce sync.Once
}

// Listen listens at a TCP address (host:port).
func (l *Limiter) Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the sizes. Where they cannot be set, connections work with the usual ones.
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferBytes)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, socketBufferBytes)
		})
	}}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, eris.Wrapf(err, "listen on %s", address)
	}
	tcp, ok := inner.(*net.TCPListener)
	if !ok {
		return nil, eris.Errorf("listen on %s: not a TCP listener", address)
	}
	go l.sweep()
	return &listener{TCPListener: tcp, limiter: l}, nil
}

// Accept returns the next connection once the limit permits it.
func (n *listener) Accept() (net.Conn, error) {
	tcp, err := n.AcceptTCP()
	if err != nil {
		return nil, err
	}
	c, err := n.limiter.admit(tcp)
	if err != nil {
		return nil, errors.Join(err, tcp.Close())
	}
	return c, nil
}

// Close closes the listener. Open connections stay open.
func (n *listener) Close() error {
	n.closeOnce.Do(func() { close(n.limiter.stopped) })
	return n.TCPListener.Close()
}

// admit waits until there is room for a connection and registers it.
func (l *Limiter) admit(tcp *net.TCPConn) (*conn, error) {
	for {
		c, wait := l.tryAdmit(tcp)
		if c != nil {
			return c, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-l.freed:
		case <-timer.C:
		case <-l.stopped:
			timer.Stop()
			return nil, net.ErrClosed
		}
		timer.Stop()
	}
}

// tryAdmit registers a connection if there is room. Otherwise it evicts a connection and returns nil and the time
// after which another one may be evicted.
func (l *Limiter) tryAdmit(tcp *net.TCPConn) (*conn, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) < l.maxConns {
		c := &conn{TCPConn: tcp, limiter: l}
		l.conns[c] = struct{}{}
		l.full = false
		l.waitLocked(c, headerPhase)
		return c, 0
	}
	l.full = true
	now := time.Now()
	wait := minWait
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c, ok := e.Value.(*conn)
		if !ok || c.expired {
			continue // Its goroutine is about to close it.
		}
		if age := now.Sub(c.since); age < minWait {
			wait = minWait - age
			break
		}
		l.expireLocked(c, Connections)
		return nil, minWait
	}
	for c := range l.conns {
		if !c.writingSince.IsZero() && now.Sub(c.writingSince) >= minWait {
			_ = c.TCPConn.SetWriteDeadline(now) // This fails only if the connection is closed.
		}
	}
	return nil, wait
}

// waitLocked begins a phase in which a connection waits for bytes of its client.
func (l *Limiter) waitLocked(c *conn, p phase) {
	l.endWaitLocked(c)
	c.phase, c.since = p, time.Now()
	c.element = l.waiting.PushBack(c)
}

func (l *Limiter) endWaitLocked(c *conn) {
	if c.element != nil {
		l.waiting.Remove(c.element)
		c.element = nil
	}
}

// expireLocked makes the goroutine of a waiting connection close it. Between requests that is left to the read
// deadline, so that a request that was read in the meantime is still answered. A connection whose request is
// incomplete is closed at once, because the server would delay the close after a response.
func (l *Limiter) expireLocked(c *conn, cause Cause) {
	c.expired = true
	l.refusals.Count(cause)
	// These fail only if the connection is closed.
	if c.phase == bodyPhase {
		_ = c.Close()
		l.endWaitLocked(c)
		delete(l.conns, c)
		l.signalFreed()
		return
	}
	_ = c.TCPConn.SetReadDeadline(time.Now())
}

func (l *Limiter) signalFreed() {
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// sweep closes connections that have reached the timeouts for headers and idle connections, until the listener and
// all connections are closed.
func (l *Limiter) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for range ticker.C {
		l.expireOverdue(time.Now())
		l.refusals.Flush()
		if l.isStopped() && l.Open() == 0 {
			return
		}
	}
}

func (l *Limiter) isStopped() bool {
	select {
	case <-l.stopped:
		return true
	default:
		return false
	}
}

func (l *Limiter) expireOverdue(now time.Time) {
	limits := l.limits()
	l.mu.Lock()
	defer l.mu.Unlock()
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		c, ok := e.Value.(*conn)
		if !ok || c.expired {
			continue
		}
		switch age := now.Sub(c.since); {
		case c.phase == headerPhase && age > limits.HeaderTimeout:
			l.expireLocked(c, HeaderTimeout)
		case c.phase == idlePhase && age > limits.IdleTimeout:
			l.expireLocked(c, Idle)
		}
	}
}

// errHeaderTooLarge is returned to the HTTP server, which then closes the connection.
var errHeaderTooLarge = errors.New("clients: header too large")

// Read implements net.Conn. It limits the size of headers and notices the first byte of a request.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	l := c.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.phase == idlePhase {
		l.waitLocked(c, headerPhase)
	}
	c.pipelined = false
	if c.phase == headerPhase {
		c.headerBytes += n
		if limit := l.limits().MaxHeaderBytes; c.headerBytes > limit+readAheadBytes {
			if !c.expired {
				l.expireLocked(c, HeaderSize)
			}
			return 0, errHeaderTooLarge
		}
	}
	return n, err
}

// Write implements net.Conn. It fails if the client does not take its answers.
func (c *conn) Write(p []byte) (int, error) {
	c.setWriting(time.Now())
	n, err := c.TCPConn.Write(p)
	c.setWriting(time.Time{})
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.limiter.refusals.Count(UnreadAnswer)
		_ = c.SetLinger(0) // Otherwise the kernel keeps what the client does not take.
	}
	return n, err
}

func (c *conn) setWriting(since time.Time) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.writingSince = since
	if !since.IsZero() {
		_ = c.TCPConn.SetWriteDeadline(since.Add(writeTimeout)) // The write reports a closed connection.
	}
}

// SetReadDeadline implements net.Conn. It does not revive a connection that is being closed.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.expired {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// connKey is the key of the connection (*conn) in the context of a request.
type connKey struct{}

// Configure sets the hooks and limits of a server that serves a listener of the limiter. It must be called after
// the server's other fields are set; an earlier ConnState hook is called as well, after that of the limiter.
func (l *Limiter) Configure(s *http.Server) {
	handler, hook := s.Handler, s.ConnState
	s.ReadHeaderTimeout, s.IdleTimeout, s.MaxHeaderBytes = maxServerTimeout, maxServerTimeout, maxHeaderCeiling
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) }
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok {
			l.stateChanged(c, state)
		}
		if hook != nil {
			hook(nc, state)
		}
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { l.serveHTTP(handler, w, r) })
}

// stateChanged is called by the goroutine that serves c. For StateActive, that is after the header of a request
// was read and before it is handled.
func (l *Limiter) stateChanged(c *conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateActive:
		l.endWaitLocked(c)
		c.phase, c.headerBytes = handlingPhase, 0
		// Ordinary clients send a request after the answer to the one before. Others would keep their connections
		// busy and new clients out.
		c.closing = c.closing || c.pipelined && l.full
		if c.expired {
			// The request was read before the deadline took effect, so it is answered.
			c.expired, c.closing = false, true
			_ = c.TCPConn.SetReadDeadline(time.Time{}) // This fails only if the connection is closed.
		}
	case http.StateIdle:
		l.waitLocked(c, idlePhase)
		c.pipelined = true // Until a further read.
		l.signalFreed()
	case http.StateClosed, http.StateHijacked:
		l.endWaitLocked(c)
		delete(l.conns, c)
		l.signalFreed()
	}
}

// serveHTTP passes a request on with a body that notices its end.
func (l *Limiter) serveHTTP(handler http.Handler, w http.ResponseWriter, r *http.Request) {
	c, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		handler.ServeHTTP(w, r)
		return
	}
	limits := l.limits()
	if headerSize(r) > limits.MaxHeaderBytes {
		l.refusals.Count(HeaderSize)
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	if l.isClosing(c) {
		w.Header().Set("Connection", "close")
	}
	if r.Body != nil && r.Body != http.NoBody {
		l.startBody(c, limits.BodyTimeout)
		r = r.WithContext(r.Context()) // The server keeps the original body.
		r.Body = &body{ReadCloser: r.Body, conn: c}
	}
	handler.ServeHTTP(w, r)
}

// headerSize returns about the size in bytes of the header of a request.
func headerSize(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size
}

func (l *Limiter) isClosing(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return c.closing
}

// startBody begins the phase in which a body is read.
func (l *Limiter) startBody(c *conn, timeout time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waitLocked(c, bodyPhase)
	_ = c.TCPConn.SetReadDeadline(c.since.Add(timeout)) // This fails only if the connection is closed.
}

// body is the body of a request.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader. It returns io.EOF only if the connection was not given up before the end of the body
// was read, so that a request that is handled can be answered.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	c, l := b.conn, b.conn.limiter
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.expired {
		return n, net.ErrClosed
	}
	if c.phase == bodyPhase {
		l.endWaitLocked(c)
		c.phase = handlingPhase
		_ = c.TCPConn.SetReadDeadline(time.Time{}) // This fails only if the connection is closed.
	}
	return n, err
}
