package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
)

// link is a client connection to a peer. The first call opens it, and the next call after a failure
// reopens it.
type link struct {
	addr  string
	key   []byte
	clock *hlc.Clock

	// dialing is a lock with one slot: one caller at a time opens the connection.
	dialing chan struct{}
	// once creates dialing at the first call.
	once sync.Once

	mu           sync.Mutex
	client       *rpc.Client
	lastResponse time.Time
}

func (l *link) call(ctx context.Context, method string, args, reply any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return err
	}
	// net/rpc decodes a response even if it arrives after ctx is done. It must not be written into
	// the caller's variable then, so it is decoded into a separate one.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return l.finish(client, call.Error)
	case <-ctx.Done():
		l.dropIfUnresponsive(client)
		return eris.Wrap(ctx.Err(), "peer call")
	}
}

// finish converts the error of a completed call. It closes the connection unless the peer
// responded.
func (l *link) finish(client *rpc.Client, err error) error {
	var serverError rpc.ServerError
	if err == nil || errors.As(err, &serverError) {
		l.mu.Lock()
		l.lastResponse = time.Now()
		l.mu.Unlock()
		return err
	}
	l.drop(client)
	if errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrUnknownOutcome, err.Error())
}

// connect returns the current connection, or opens one. Errors wrap ErrUnreachable.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.once.Do(func() { l.dialing = make(chan struct{}, 1) })
	select {
	case l.dialing <- struct{}{}:
		defer func() { <-l.dialing }()
	case <-ctx.Done():
		return nil, eris.Wrap(ErrUnreachable, ctx.Err().Error())
	}
	if client := l.current(); client != nil {
		return client, nil
	}
	client, err := l.dial(ctx)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.client = client
	l.lastResponse = time.Now()
	return client, nil
}

// current returns the open connection, or nil.
func (l *link) current() *rpc.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.client
}

func (l *link) dial(ctx context.Context) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, eris.Wrap(ErrUnreachable, err.Error())
	}
	if err := handshake(conn, l.key, roleClient, roleServer); err != nil {
		_ = conn.Close()
		return nil, eris.Wrapf(ErrUnreachable, "%s: %v", l.addr, err)
	}
	return rpc.NewClientWithCodec(clientCodec{newStream(conn, l.clock)}), nil
}

// dropIfUnresponsive is called when a call has timed out or was cancelled. It closes the connection
// if no response has arrived on it for longer than unresponsiveTimeout.
func (l *link) dropIfUnresponsive(client *rpc.Client) {
	l.mu.Lock()
	unresponsive := time.Since(l.lastResponse) > unresponsiveTimeout
	l.mu.Unlock()
	if unresponsive {
		l.drop(client)
	}
}

// drop closes client, so that the next call opens a new connection.
func (l *link) drop(client *rpc.Client) {
	l.mu.Lock()
	if l.client == client {
		l.client = nil
	}
	l.mu.Unlock()
	_ = client.Close()
}

func (l *link) close() {
	if client := l.current(); client != nil {
		l.drop(client)
	}
}
