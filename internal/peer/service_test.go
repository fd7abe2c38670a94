package peer

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
)

type echo struct{}

// Echo returns its argument.
func (echo) Echo(in string, out *string) error {
	*out = in
	return nil
}

// slow responds once release is closed.
type slow struct{ release chan struct{} }

// Echo returns its argument once release is closed.
func (s slow) Echo(in string, out *string) error {
	<-s.release
	*out = in
	return nil
}

// Fail returns an error from the called method.
func (echo) Fail(string, *string) error { return rpc.ServerError("refused") }

const testKey = "0123456789abcdef"

// start runs a service with the given peers and returns it with the address of its listener.
func start(t *testing.T, key string, clock *hlc.Clock, peers map[string]string) (*Service, string) {
	t.Helper()
	s, err := New(Config{Listen: "127.0.0.1:0", Key: key, Peers: peers}, clock, &log.Logger{Level: log.PanicLevel})
	require.NoError(t, err)
	require.NoError(t, s.Register("Echo", echo{}))
	k := kernel.New()
	require.NoError(t, k.Register(kernel.Registration{Name: ServiceName, Service: s}))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Second)
		})
	}()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	return s, listenAddr(t, s)
}

func listenAddr(t *testing.T, s *Service) string {
	t.Helper()
	var addr string
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.listener != nil {
			addr = s.listener.Addr().String()
		}
		return addr != ""
	}, 5*time.Second, time.Millisecond)
	return addr
}

func newClock() *hlc.Clock { return hlc.New(nil) }

// Guards against a call that loses the response, the error or the timestamp.
func TestCallCarriesResponseErrorAndClock(t *testing.T) {
	ahead := hlc.New(func() time.Time { return time.Unix(1<<33, 0) })
	_, addr := start(t, testKey, ahead, map[string]string{"a": "127.0.0.1:1"})
	clock := newClock()
	caller, _ := start(t, testKey, clock, map[string]string{"b": addr})

	var reply string
	require.NoError(t, caller.Call(context.Background(), "b", "Echo.Echo", "hello", &reply))
	require.Equal(t, "hello", reply)
	require.GreaterOrEqual(t, clock.Now().Wall, time.Unix(1<<33, 0).UnixNano())

	err := caller.Call(context.Background(), "b", "Echo.Fail", "", &reply)
	require.EqualError(t, err, "refused")
	require.ErrorIs(t, caller.Call(context.Background(), "c", "Echo.Echo", "", &reply), ErrUnknownPeer)
}

// Guards against a response that is written into the caller's variable after the call was
// cancelled. The caller may already read the variable then, which is a data race.
func TestLateResponseDoesNotReachCaller(t *testing.T) {
	server, addr := start(t, testKey, newClock(), map[string]string{"a": "127.0.0.1:1"})
	release := make(chan struct{})
	require.NoError(t, server.Register("Slow", slow{release}))
	caller, _ := start(t, testKey, newClock(), map[string]string{"b": addr})
	ctx, cancel := context.WithCancel(context.Background())
	reply := "untouched"
	result := make(chan error, 1)
	go func() { result <- caller.Call(ctx, "b", "Slow.Echo", "late", &reply) }()
	time.AfterFunc(50*time.Millisecond, cancel)
	require.Error(t, <-result)
	close(release)
	var other string
	require.NoError(t, caller.Call(context.Background(), "b", "Slow.Echo", "next", &other))
	require.Equal(t, "untouched", reply)
}

// Guards against accepting a process that does not have the shared key.
func TestWrongKeyIsRejected(t *testing.T) {
	_, addr := start(t, testKey, newClock(), map[string]string{"a": "127.0.0.1:1"})
	caller, _ := start(t, "another key 1234", newClock(), map[string]string{"b": addr})
	var reply string
	require.ErrorIs(t, caller.Call(context.Background(), "b", "Echo.Echo", "", &reply), ErrUnreachable)
}

// Guards against accepting connections from addresses that are not in the settings.
func TestUnknownAddressIsRejected(t *testing.T) {
	_, addr := start(t, testKey, newClock(), map[string]string{"a": "127.0.0.2:1"})
	caller, _ := start(t, testKey, newClock(), map[string]string{"b": addr})
	var reply string
	require.ErrorIs(t, caller.Call(context.Background(), "b", "Echo.Echo", "", &reply), ErrUnreachable)
}

// Guards against a reflected proof: a client that sends the server's own messages back must not be
// authenticated.
func TestReflectedProofIsRejected(t *testing.T) {
	client, server := net.Pipe()
	result := make(chan error, 1)
	go func() { result <- handshake(server, []byte(testKey), roleServer, roleClient) }()
	go func() {
		buf := make([]byte, nonceBytes)
		for range 2 {
			if _, err := client.Read(buf); err != nil {
				return
			}
			if _, err := client.Write(buf); err != nil {
				return
			}
		}
	}()
	require.ErrorIs(t, <-result, ErrHandshake)
}

// Guards against a peer that stays unreachable after its connections have closed, for example
// because the instance was replaced at the same address.
func TestReconnectsAfterTheConnectionBreaks(t *testing.T) {
	server, addr := start(t, testKey, newClock(), map[string]string{"a": "127.0.0.1:1"})
	caller, _ := start(t, testKey, newClock(), map[string]string{"b": addr})
	var reply string
	require.NoError(t, caller.Call(context.Background(), "b", "Echo.Echo", "one", &reply))
	server.mu.Lock()
	for conn := range server.accepted {
		_ = conn.Close()
	}
	server.mu.Unlock()
	require.Eventually(t, func() bool {
		return caller.Call(context.Background(), "b", "Echo.Echo", "two", &reply) == nil
	}, 5*time.Second, time.Millisecond)
	require.Equal(t, "two", reply)
}
