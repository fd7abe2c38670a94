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

// link is one connection to a peer. It is made at the first call and again after a failure.
type link struct {
	addr  string
	key   []byte
	clock *hlc.Clock

	// dialing lets one caller at a time make the connection.
	dialing chan struct{}
	once    sync.Once

	mu        sync.Mutex
	client    *rpc.Client
	lastReply time.Time
}

func (l *link) call(ctx context.Context, method string, args, reply any) error {
	client, err := l.connect(ctx)
	if err != nil {
		return err
	}
	// An answer that comes after ctx is done is still decoded, so it must not reach the caller's
	// variable.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return l.finish(client, call.Error)
	case <-ctx.Done():
		l.dropIfDead(client)
		return eris.Wrap(ctx.Err(), "peer call")
	}
}

// finish converts the error of a call and drops a broken connection.
func (l *link) finish(client *rpc.Client, err error) error {
	var answered rpc.ServerError
	if err == nil || errors.As(err, &answered) {
		l.mu.Lock()
		l.lastReply = time.Now()
		l.mu.Unlock()
		return err
	}
	l.drop(client)
	if errors.Is(err, rpc.ErrShutdown) {
		return eris.Wrap(ErrUnreachable, err.Error())
	}
	return eris.Wrap(ErrUnknownOutcome, err.Error())
}

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
	l.lastReply = time.Now()
	return client, nil
}

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

// dropIfDead closes a connection on which calls time out and no answer has come for long.
func (l *link) dropIfDead(client *rpc.Client) {
	l.mu.Lock()
	dead := time.Since(l.lastReply) > deadAfter
	l.mu.Unlock()
	if dead {
		l.drop(client)
	}
}

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
