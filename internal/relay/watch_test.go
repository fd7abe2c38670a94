package relay

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/clients"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/logging"
)

// watchedTerm is a term that a watcher watches, and what it reports.
type watchedTerm struct {
	term           election.LeaderTerm
	ended, refused chan int64
}

func (w *watchedTerm) LeaderTerm() election.LeaderTerm { return w.term }
func (w *watchedTerm) ObserveEnd(epoch int64)          { report(w.ended, epoch) }
func (w *watchedTerm) ObserveRefusal(epoch int64)      { report(w.refused, epoch) }

func report(to chan int64, epoch int64) {
	select {
	case to <- epoch:
	default:
	}
}

// watch starts a watcher of a leader at an address.
func watch(t *testing.T, address string) *watchedTerm {
	t.Helper()
	w := &watchedTerm{
		term:  election.LeaderTerm{Identity: election.Identity{Instance: "a", Incarnation: "1"}, Epoch: 7},
		ended: make(chan int64, 1), refused: make(chan int64, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go WatchLeader(ctx, w, func(string) string { return address }, logging.Discard())
	return w
}

// Guards against instances that do not learn that the leader has resigned or that its process has ended, and against
// ones that take a leader that does not know of the term yet for one that has resigned.
func TestWatchLeader(t *testing.T) {
	serve := func(awaitEnd func(context.Context, election.LeaderTerm) election.EndState) (string, net.Listener) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { listener.Close() })
		require.NoError(t, Serve(listener, &fakeStore{}, func() bool { return false }, awaitEnd, nothingToExplain, Limits{Refused: func(clients.Cause) {}}))
		return listener.Addr().String(), listener
	}
	resigns := make(chan struct{})
	leading, _ := serve(func(ctx context.Context, term election.LeaderTerm) election.EndState {
		select {
		case <-resigns:
			return election.Ended
		case <-ctx.Done():
			return election.NotEnded
		}
	})
	unaware, _ := serve(neverEnds)
	ends, listener := serve(neverEnds)
	leader, early, dead := watch(t, leading), watch(t, unaware), watch(t, ends)
	time.Sleep(300 * time.Millisecond)
	for _, w := range []*watchedTerm{leader, early, dead} {
		require.Empty(t, w.ended)
		require.Empty(t, w.refused)
	}
	close(resigns)
	require.NoError(t, listener.Close())
	for _, reported := range []chan int64{leader.ended, dead.refused} {
		select {
		case epoch := <-reported:
			require.Equal(t, int64(7), epoch)
		case <-time.After(3 * time.Second):
			require.Fail(t, "not reported")
		}
	}
	require.Empty(t, early.ended)
	require.Empty(t, dead.ended)
}
