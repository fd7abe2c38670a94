package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/logging"
)

// Guards against instances that do not learn that the leader has resigned, and against ones that take a restarted leader,
// which does not know of the term, or an unreachable one for a leader that has resigned.
func TestWatchLeader(t *testing.T) {
	serve := func(awaitEnd func(context.Context, int64) bool) string {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		require.NoError(t, Serve(listener, &fakeStore{}, func() bool { return false }, awaitEnd))
		return listener.Addr().String()
	}
	ended := make(chan struct{})
	leading := serve(func(ctx context.Context, epoch int64) bool {
		select {
		case <-ended:
			return epoch == 7
		case <-ctx.Done():
			return false
		}
	})
	restarted := serve(func(context.Context, int64) bool { return false })
	reported := make(chan int64, 10)
	for _, address := range []string{leading, restarted, "127.0.0.1:1"} {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go WatchLeader(ctx, func() (string, int64) { return address, 7 }, func(epoch int64) { reported <- epoch }, logging.Discard())
	}
	select {
	case <-reported:
		require.Fail(t, "reported before the end")
	case <-time.After(300 * time.Millisecond):
	}
	close(ended)
	select {
	case epoch := <-reported:
		require.Equal(t, int64(7), epoch)
	case <-time.After(2 * time.Second):
		require.Fail(t, "not reported")
	}
}
