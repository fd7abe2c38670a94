package gateway

import (
	"net"
	"sync"
)

// limitedListener limits the number of open connections, in total and per remote IP address. It
// accepts connections beyond the limits and closes them at once. If it left them in the accept
// queue, they would delay the connections of other callers.
type limitedListener struct {
	net.Listener
	limits   Limits
	onReject func()

	mu        sync.Mutex
	open      int
	byAddress map[string]int
}

func newLimitedListener(inner net.Listener, limits Limits, onReject func()) *limitedListener {
	return &limitedListener{Listener: inner, limits: limits, onReject: onReject, byAddress: make(map[string]int)}
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := remoteIP(conn)
		if l.acquire(address) {
			return &limitedConn{Conn: conn, release: sync.OnceFunc(func() { l.release(address) })}, nil
		}
		l.onReject()
		_ = conn.Close()
	}
}

func remoteIP(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return ""
	}
	return host
}

// acquire counts a new connection. It returns false if the connection would exceed a limit.
func (l *limitedListener) acquire(address string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limits.Connections || l.byAddress[address] >= l.limits.ConnectionsPerAddress {
		return false
	}
	l.open++
	l.byAddress[address]++
	return true
}

func (l *limitedListener) release(address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
	l.byAddress[address]--
	if l.byAddress[address] == 0 {
		delete(l.byAddress, address)
	}
}

type limitedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection, if that is supported. net/http uses it to
// let the caller read a final response before the connection is closed.
func (c *limitedConn) CloseWrite() error {
	if inner, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return inner.CloseWrite()
	}
	return nil
}
