package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is the way in which a proxy treats its connections.
type proxyMode int

const (
	// modeForward forwards all data.
	modeForward proxyMode = iota
	// modeDelay forwards each chunk of data after addedDelay.
	modeDelay
	// modeBlackhole keeps connections open and forwards nothing in either direction.
	modeBlackhole
	// modeOneWay forwards data to the server only.
	modeOneWay
	// modeReset resets open and new connections.
	modeReset
)

const (
	// addedDelay is the delay of each chunk of data in each direction.
	addedDelay = 150 * time.Millisecond
	// bufferBytes is the largest size of a chunk.
	bufferBytes = 32 << 10
	// dropDelay is the time after which a chunk is dropped in modeBlackhole.
	dropDelay = 20 * time.Millisecond
)

// proxy is a TCP proxy on the loopback interface that injects faults into its connections. A
// direction of a connection in which data was dropped forwards nothing more, whatever the mode
// becomes: only new connections work again.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[*net.TCPConn]bool
}

// newProxy starts a proxy that forwards connections to target. It listens on a free port.
func newProxy(target string) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: listener, target: target, conns: make(map[*net.TCPConn]bool)}
	go p.accept()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setMode sets the mode for open and new connections.
func (p *proxy) setMode(mode proxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode != modeReset {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

// resetShare resets a share, from 0 to 1, of the open connections once. New connections work.
func (p *proxy) resetShare(share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int(share * float64(len(p.conns)))
	for conn := range p.conns {
		if n--; n < 0 {
			return
		}
		reset(conn)
	}
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection with a TCP reset.
func reset(conn *net.TCPConn) {
	// The connection may be closed already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(modeReset)
}

func (p *proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		client, ok := conn.(*net.TCPConn)
		if !ok || !p.track(client) {
			continue
		}
		go p.serve(client)
	}
}

// track registers an open connection. In modeReset it resets the connection instead and returns false.
func (p *proxy) track(conn *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.mode == modeReset {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) untrack(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *proxy) serve(client *net.TCPConn) {
	defer p.untrack(client)
	raw, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(client)
		return
	}
	server, ok := raw.(*net.TCPConn)
	if !ok || !p.track(server) {
		reset(client)
		return
	}
	defer p.untrack(server)
	var both sync.WaitGroup
	both.Go(func() { p.forward(server, client, true) })
	both.Go(func() { p.forward(client, server, false) })
	both.Wait()
}

// forward copies one direction of a connection until it ends, and then closes both connections.
func (p *proxy) forward(to, from *net.TCPConn, towardServer bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.admit(towardServer) {
			// Deliver nothing more in this direction, but keep the connection open until its sender
			// closes it.
			_, _ = io.Copy(io.Discard, from)
			err = io.EOF
			n = 0
		}
		if n > 0 {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = errors.Join(err, werr)
			}
		}
		if err != nil {
			_ = to.Close()
			_ = from.Close()
			return
		}
	}
}

// admit applies the mode to a chunk of data, waits for its delay and reports whether the chunk is
// to be forwarded.
func (p *proxy) admit(towardServer bool) bool {
	switch p.currentMode() {
	case modeDelay:
		time.Sleep(addedDelay)
	case modeBlackhole:
		time.Sleep(dropDelay)
		return false
	case modeOneWay:
		return towardServer
	}
	return true
}
