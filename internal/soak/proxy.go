package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// trouble is what a proxy does to the connections through it.
type trouble int

const (
	// pass carries all bytes.
	pass trouble = iota
	// delay holds each piece of data back.
	delay
	// silence keeps connections open and carries nothing in either direction.
	silence
	// oneWay carries bytes towards the server only.
	oneWay
	// refuse resets connections, open and new ones.
	refuse
)

const (
	// delayTime is added to each piece of data in each direction.
	delayTime = 150 * time.Millisecond
	// pieceBytes is the size of the pieces that a proxy carries.
	pieceBytes = 32 << 10
	// heldStep is the step at which a silent connection looks whether it may go on.
	heldStep = 20 * time.Millisecond
)

// proxy is a relay on the loopback interface that injects faults into its connections. Silent
// connections stay silent for good once bytes were withheld: only new ones work again.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	state trouble
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

// set changes what the proxy does from now on.
func (p *proxy) set(state trouble) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if state != refuse {
		return
	}
	for conn := range p.conns {
		reset(conn)
	}
}

func (p *proxy) now() trouble {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// reset closes a connection so that its peer sees a reset.
func reset(conn *net.TCPConn) {
	// The connection may be closed already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.set(refuse)
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
	if p.state == refuse {
		reset(conn)
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) forget(conn *net.TCPConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

func (p *proxy) serve(client *net.TCPConn) {
	defer p.forget(client)
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
	defer p.forget(server)
	var both sync.WaitGroup
	both.Go(func() { p.carry(server, client, true) })
	both.Go(func() { p.carry(client, server, false) })
	both.Wait()
}

// carry copies one direction until it ends, and ends the other one then.
func (p *proxy) carry(to, from *net.TCPConn, request bool) {
	piece := make([]byte, pieceBytes)
	for {
		n, err := from.Read(piece)
		if n > 0 && !p.hold(request) {
			// A silent connection delivers nothing more, but stays open until its owner closes it.
			_, _ = io.Copy(io.Discard, from)
			err = io.EOF
			n = 0
		}
		if n > 0 {
			if _, werr := to.Write(piece[:n]); werr != nil {
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

// hold delays a piece of data; false if it is to be dropped.
func (p *proxy) hold(request bool) bool {
	switch p.now() {
	case delay:
		time.Sleep(delayTime)
	case silence:
		time.Sleep(heldStep)
		return false
	case oneWay:
		return request
	}
	return true
}
