package election

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/logging"
)

// candidate is an instance that takes part in the election, with its own connection to the log.
type candidate struct {
	name    string
	log     *ledgertest.Client
	elector *Elector
	stop    func()
}

// termRecorder records the latest term of each candidate and the epochs of all terms.
type termRecorder struct {
	mu      sync.Mutex
	current map[string]Term
	epochs  []int64
}

// validLeaders returns the candidates that consider themselves leader now.
func (s *termRecorder) validLeaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, term := range s.current {
		if term.Valid() {
			names = append(names, name)
		}
	}
	return names
}

// allEpochs returns the epochs of all terms so far.
func (s *termRecorder) allEpochs() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.epochs)
}

// start starts a candidate that takes part in the election until stop is called.
func start(log *ledgertest.Log, s *termRecorder, name, incarnation string) *candidate {
	c := &candidate{name: name, log: log.Client()}
	c.elector = New(Config{
		Log: c.log, Identity: Identity{Instance: name, Incarnation: incarnation}, Eligible: func() bool { return true },
		Logger: logging.Discard(),
		Lead: func(ctx context.Context, term Term) {
			s.mu.Lock()
			s.current[name] = term
			s.epochs = append(s.epochs, term.Epoch)
			s.mu.Unlock()
			<-ctx.Done()
		},
	})
	follower := ledger.NewFollower(ledger.FollowerConfig{
		Log: c.log, Topic: Topic, Wait: time.Second, Apply: c.elector.Observe, Logger: logging.Discard(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { follower.Run(ctx) })
	running.Go(func() { c.elector.Run(ctx) })
	c.stop = func() {
		cancel()
		running.Wait()
	}
	return c
}

// inVirtualTime runs a test in virtual time, with a log and a recorder of the terms.
func inVirtualTime(t *testing.T, run func(log *ledgertest.Log, s *termRecorder)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		defer boottime.Simulate()()
		run(ledgertest.New(1), &termRecorder{current: make(map[string]Term)})
		// Virtual time stops when this function returns. Until then, all goroutines must end.
		time.Sleep(10 * time.Second)
	})
}

// Guards against two leaders at once: a leader that cannot reach the log must stop before its successor
// starts.
func TestOneLeaderAtATime(t *testing.T) {
	inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
		candidates := map[string]*candidate{}
		for _, name := range []string{"a", "b", "c"} {
			candidates[name] = start(log, s, name, "1")
			defer candidates[name].stop()
		}
		time.Sleep(time.Second)
		first := s.validLeaders()
		require.Len(t, first, 1)
		candidates[first[0]].log.SetDown(true)
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, len(s.validLeaders()), 1)
		}
		require.Len(t, s.validLeaders(), 1)
		require.NotEqual(t, first, s.validLeaders())
		require.IsIncreasing(t, s.allEpochs())
	})
}

// Guards against seconds without a leader when responses of the log are lost: a claim or a release
// without a response takes effect as soon as it is read from the topic.
func TestLostResponsesDoNotDelayATakeover(t *testing.T) {
	inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
		a := start(log, s, "a", "1")
		time.Sleep(time.Second)
		b := start(log, s, "b", "1")
		defer b.stop()
		time.Sleep(time.Second)
		a.log.SetResponseLoss(1, false)
		b.log.SetResponseLoss(1, false)
		a.elector.StepDown()
		time.Sleep(time.Second)
		require.Equal(t, []string{"b"}, s.validLeaders())
		a.stop()
	})
}

// Guards against a restarted leader that waits for the term of its previous incarnation to expire.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
		a := start(log, s, "a", "1")
		time.Sleep(time.Second)
		a.log.SetDown(true)
		a.stop()
		a = start(log, s, "a", "2")
		defer a.stop()
		time.Sleep(300 * time.Millisecond)
		require.Len(t, s.allEpochs(), 2)
		require.Equal(t, []string{"a"}, s.validLeaders())
	})
}

// countingLog counts the appends to a log.
type countingLog struct {
	ledger.Log
	appends atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, a)
}

// Guards against candidates that claim ten times per second while they cannot read the topic. When all
// instances had restarted, a few hundred such candidates overloaded the log until it stopped responding.
func TestCandidateThatCannotReadDelaysClaims(t *testing.T) {
	inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
		leader := start(log, s, "a", "a1")
		defer leader.stop()
		time.Sleep(time.Second)
		counting := &countingLog{Log: log.Client()}
		behind := New(Config{
			Log: counting, Identity: Identity{Instance: "b", Incarnation: "b1"}, Eligible: func() bool { return true },
			Logger: logging.Discard(), Lead: func(context.Context, Term) {},
		})
		behind.Observe(ledger.Update{Reset: true}) // It has read the topic as it was before the first claim.
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		behind.Run(ctx)
		require.LessOrEqual(t, counting.appends.Load(), int64(10*time.Second/electionTimeout)+1)
		require.Equal(t, []string{"a"}, s.validLeaders())
	})
}

// Guards against seconds without a leader when the leader alone has lost the log: it resigns, and another instance
// claims leadership at once. A renewal that is stored after that must neither revive the term nor delay the claim.
func TestLeaderThatLosesTheLogResigns(t *testing.T) {
	for _, late := range []bool{false, true} {
		inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
			a := start(log, s, "a", "1")
			defer a.stop()
			time.Sleep(time.Second)
			require.Equal(t, []string{"a"}, s.validLeaders())
			b := start(log, s, "b", "1")
			defer b.stop()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			go func() {
				term := b.elector.LeaderTerm()
				for term.Epoch == 0 {
					time.Sleep(10 * time.Millisecond)
					term = b.elector.LeaderTerm()
				}
				if a.elector.AwaitEnd(ctx, term) == Ended {
					b.elector.ObserveEnd(term.Epoch)
				}
			}()
			time.Sleep(1500 * time.Millisecond)
			if late {
				a.log.SetResponseLoss(1, true)
			} else {
				a.log.SetDown(true)
			}
			for range 160 {
				time.Sleep(10 * time.Millisecond)
				require.LessOrEqual(t, len(s.validLeaders()), 1)
			}
			require.Equal(t, []string{"b"}, s.validLeaders(), "late renewals: %v", late)
			for range 500 {
				time.Sleep(10 * time.Millisecond)
				require.LessOrEqual(t, len(s.validLeaders()), 1)
			}
		})
	}
}

// Guards against a leader that gives up its term although no other instance could learn of it.
func TestLeaderKeepsTermWhileNobodyWaitsForItsEnd(t *testing.T) {
	inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
		a := start(log, s, "a", "1")
		defer a.stop()
		time.Sleep(time.Second)
		a.log.SetDown(true)
		time.Sleep(1300 * time.Millisecond)
		require.Equal(t, []string{"a"}, s.validLeaders())
		a.log.SetDown(false)
		time.Sleep(2 * time.Second)
		require.Len(t, s.allEpochs(), 1)
	})
}

// Guards against seconds without a leader after its process has ended, and against a claim by a candidate that cannot
// connect to a leader that lives.
func TestRefusedConnections(t *testing.T) {
	for _, dead := range []bool{false, true} {
		inVirtualTime(t, func(log *ledgertest.Log, s *termRecorder) {
			a := start(log, s, "a", "1")
			time.Sleep(time.Second)
			b := start(log, s, "b", "1")
			defer b.stop()
			time.Sleep(1300 * time.Millisecond)
			if dead {
				a.log.SetDown(true)
				a.stop()
			} else {
				defer a.stop()
			}
			for range 160 {
				time.Sleep(10 * time.Millisecond)
				b.elector.ObserveRefusal(1)
			}
			if dead {
				require.Contains(t, s.validLeaders(), "b")
			} else {
				require.Equal(t, []string{"a"}, s.validLeaders())
			}
		})
	}
}

// Guards against a candidate that waits for a leader whose process has been replaced by another one.
func TestAwaitEndOfReplacedProcess(t *testing.T) {
	e := New(Config{Identity: Identity{Instance: "a", Incarnation: "2"}})
	require.Equal(t, Ended, e.AwaitEnd(context.Background(), LeaderTerm{Identity: Identity{Instance: "a", Incarnation: "1"}, Epoch: 7}))
	require.Equal(t, NotEnded, e.AwaitEnd(context.Background(), LeaderTerm{Identity: Identity{Instance: "a", Incarnation: "2"}, Epoch: 7}))
	require.Equal(t, NotEnded, e.AwaitEnd(context.Background(), LeaderTerm{Identity: Identity{Instance: "b", Incarnation: "1"}, Epoch: 7}))
}
