// Package httpclient implements the interfaces of package platform over HTTP. Its outcomes
// are exact: ErrUnavailable is returned only for an operation that certainly had no effect,
// either because no byte of the request was written or because the service said so.
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
	// DefaultIdlePerHost covers the slots of one target.
	DefaultIdlePerHost = 8
	// DefaultDialTimeout lets a caller try another target within a second.
	DefaultDialTimeout = time.Second
	// DefaultIdleTimeout is shorter than the usual idle timeout of servers, so that the client
	// closes idle connections first and no request meets a closing one.
	DefaultIdleTimeout = 30 * time.Second
)

// maxHeaderBytes bounds the header of an answer.
const maxHeaderBytes = 64 << 10

// Options configures the connections of a client. Zero fields get the defaults.
type Options struct {
	// IdlePerHost is the number of idle connections kept for each address.
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

// newTransport returns a transport for plain HTTP/1.1 that follows no proxy, changes no
// header for compression, and counts the bytes written.
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

// countingConn tells whether anything was written since a request got the connection.
type countingConn struct {
	net.Conn
	// writes counts calls of Write before they reach the connection. Once closed is set, no
	// further call reaches it, so an unchanged count proves that nothing was written.
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

// attempt follows the connection that one request uses.
type attempt struct {
	conn   *countingConn
	writes uint64
	// wrote is set if the request may have been written to an earlier connection.
	wrote bool
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.wrote = a.mayHaveWritten()
	conn, ok := info.Conn.(*countingConn)
	if !ok {
		a.wrote = true
		return
	}
	a.conn, a.writes = conn, conn.writes.Load()
}

// mayHaveWritten is exact once the request has failed.
func (a *attempt) mayHaveWritten() bool {
	if a.wrote || a.conn == nil {
		return a.wrote
	}
	return !a.conn.closed.Load() || a.conn.writes.Load() != a.writes
}

// roundTrip makes one attempt. The error wraps ErrUnavailable if no byte of the request was
// written, and ErrUnknownOutcome otherwise.
func roundTrip(transport *http.Transport, req *http.Request) (*http.Response, error) {
	var a attempt
	trace := &httptrace.ClientTrace{GotConn: a.gotConn}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return resp, nil
	}
	if a.mayHaveWritten() {
		return nil, &callError{platform.ErrUnknownOutcome, err}
	}
	return nil, &callError{platform.ErrUnavailable, err}
}
