package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxyMode is what a proxy does to the connections through it.
type proxyMode int

const (
	// modeForward carries all bytes.
	modeForward proxyMode = iota
	// modeDelay holds each piece of data back.
	modeDelay
	// modeBlackhole keeps connections open and carries nothing in either direction.
	modeBlackhole
	// modeOneWay carries bytes towards the server only.
	modeOneWay
	// modeReset resets connections, open and new ones.
	modeReset
)

const (
	// addedDelay is added to each piece of data in each direction.
	addedDelay = 150 * time.Millisecond
	// bufferBytes is the size of the pieces that a proxy carries.
	bufferBytes = 32 << 10
	// dropDelay is the step at which a silent connection looks whether it may go on.
	dropDelay = 20 * time.Millisecond
)

// proxy is a relay on the loopback interface that injects faults into its connections. Silent
// connections stay silent for good once bytes were withheld: only new ones work again.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  proxyMode
	conns map[*net.TCPConn]bool
}

// newProxy returns a proxy in front of an address.
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

// setMode changes what the proxy does from now on.
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

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// reset closes a connection so that its peer sees a reset.
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

// track notes an open connection; false if the proxy refuses connections.
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

// forward copies one direction until it ends, and ends the other one then.
func (p *proxy) forward(to, from *net.TCPConn, towardServer bool) {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.admit(towardServer) {
			// A silent connection delivers nothing more, but stays open until its owner closes it.
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

// admit delays a piece of data; false if it is to be dropped.
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
