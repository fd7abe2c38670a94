// Package httpclient implements the interfaces of package platform over HTTP. It returns
// ErrUnavailable only for an operation that certainly had no effect, either because no byte of the
// request was written or because the service responded with that error.
package httpclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Defaults of Options.
const (
	// DefaultIdlePerHost is at least the number of slots of one target.
	DefaultIdlePerHost = 8
	// DefaultDialTimeout allows a caller to try another target within a second.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is shorter than the usual idle timeout of servers, so that the client
	// closes idle connections first and no request is sent on a connection that the server closes.
	DefaultIdleTimeout = 30 * time.Second
)

// maxHeaderBytes limits the header of a response.
const maxHeaderBytes = 64 << 10

// Options configures the connections of a client. For zero fields the defaults apply.
type Options struct {
	// IdlePerHost is the maximum number of idle connections to each address.
	IdlePerHost int
	// ConnsPerHost limits the connections to each address; 0 means no limit.
	ConnsPerHost int
	DialTimeout  time.Duration
	IdleTimeout  time.Duration
}

func (o *Options) setDefaults() {
	if o.IdlePerHost == 0 {
		o.IdlePerHost = DefaultIdlePerHost
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = DefaultIdleTimeout
	}
}

// newTransport returns a transport for plain HTTP/1.1 that uses no proxy, changes no header for
// compression, and counts the writes on each connection.
func newTransport(o Options) *http.Transport {
	o.setDefaults()
	dialer := &net.Dialer{Timeout: o.DialTimeout}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &countingConn{Conn: conn}, nil
		},
		Protocols:              protocols,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.IdlePerHost,
		MaxConnsPerHost:        o.ConnsPerHost,
		IdleConnTimeout:        o.IdleTimeout,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// countingConn counts writes, so that writeTracker can determine whether anything was written
// since a request got the connection.
type countingConn struct {
	net.Conn
	// writes is the number of calls of Write. It is incremented before data reaches the
	// connection. Once closed is set, no further call reaches the connection, so an unchanged
	// count proves that nothing was written.
	writes atomic.Uint64
	closed atomic.Bool
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// writeTracker records the connections that one request uses and whether the request may have
// been written to one of them.
type writeTracker struct {
	conn *countingConn
	// writes is the count of conn when the request got it.
	writes uint64
	// earlierWrite is set if the request may have been written to an earlier connection.
	earlierWrite bool
}

// gotConn is called by net/http when the request gets a connection.
func (w *writeTracker) gotConn(info httptrace.GotConnInfo) {
	w.earlierWrite = w.mayHaveWritten()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		w.earlierWrite = true
		return
	}
	w.conn, w.writes = conn, conn.writes.Load()
}

// mayHaveWritten reports whether any byte of the request may have been written. The result is
// exact once the request has failed.
func (w *writeTracker) mayHaveWritten() bool {
	if w.earlierWrite || w.conn == nil {
		return w.earlierWrite
	}
	return !w.conn.closed.Load() || w.conn.writes.Load() != w.writes
}

// roundTrip sends req once. The error wraps ErrUnavailable if no byte of the request was
// written, and ErrUnknownOutcome otherwise.
func roundTrip(transport *http.Transport, req *http.Request) (*http.Response, error) {
	var tracker writeTracker
	trace := &httptrace.ClientTrace{GotConn: tracker.gotConn}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if tracker.mayHaveWritten() {
		return nil, &callError{platform.ErrUnknownOutcome, err}
	}
	return nil, &callError{platform.ErrUnavailable, err}
}
