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

// candidate is one instance that stands for election.
type candidate struct {
	name    string
	log     *ledgertest.Client
	elector *Elector
	stop    func()
}

// terms records who led when.
type terms struct {
	mu      sync.Mutex
	current map[string]Term
	epochs  []int64
}

func (s *terms) valid() []string {
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

// seenEpochs returns the epochs of all terms so far.
func (s *terms) seenEpochs() []int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.epochs)
}

func start(log *ledgertest.Log, s *terms, name, life string) *candidate {
	c := &candidate{name: name, log: log.Client()}
	c.elector = New(Config{
		Log: c.log, Identity: Identity{Instance: name, Incarnation: life}, Eligible: func() bool { return true },
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
	var duties sync.WaitGroup
	duties.Go(func() { follower.Run(ctx) })
	duties.Go(func() { c.elector.Run(ctx) })
	c.stop = func() {
		cancel()
		duties.Wait()
	}
	return c
}

func elect(t *testing.T, run func(log *ledgertest.Log, s *terms)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		defer boottime.Simulate()()
		run(ledgertest.New(1), &terms{current: make(map[string]Term)})
		time.Sleep(10 * time.Second)
	})
}

// Guards against two leaders at once, and against a leader that is cut off and goes on.
func TestOneLeaderAtATime(t *testing.T) {
	elect(t, func(log *ledgertest.Log, s *terms) {
		candidates := map[string]*candidate{}
		for _, name := range []string{"a", "b", "c"} {
			candidates[name] = start(log, s, name, "1")
			defer candidates[name].stop()
		}
		time.Sleep(time.Second)
		first := s.valid()
		require.Len(t, first, 1)
		candidates[first[0]].log.SetDown(true)
		for range 80 {
			time.Sleep(50 * time.Millisecond)
			require.LessOrEqual(t, len(s.valid()), 1)
		}
		require.Len(t, s.valid(), 1)
		require.NotEqual(t, first, s.valid())
		require.IsIncreasing(t, s.seenEpochs())
	})
}

// Guards against seconds without a leader when answers of the log are lost: a claim and a
// release without an answer count as soon as they are read.
func TestLostAnswersDoNotDelayAHandover(t *testing.T) {
	elect(t, func(log *ledgertest.Log, s *terms) {
		a := start(log, s, "a", "1")
		time.Sleep(time.Second)
		b := start(log, s, "b", "1")
		defer b.stop()
		time.Sleep(time.Second)
		a.log.SetResponseLoss(1, false)
		b.log.SetResponseLoss(1, false)
		a.elector.Resign()
		time.Sleep(time.Second)
		require.Equal(t, []string{"b"}, s.valid())
		a.stop()
	})
}

// Guards against a restarted leader that waits for the end of its own claim.
func TestRestartedLeaderClaimsAtOnce(t *testing.T) {
	elect(t, func(log *ledgertest.Log, s *terms) {
		a := start(log, s, "a", "1")
		time.Sleep(time.Second)
		a.log.SetDown(true)
		a.stop()
		a = start(log, s, "a", "2")
		defer a.stop()
		time.Sleep(300 * time.Millisecond)
		require.Len(t, s.seenEpochs(), 2)
		require.Equal(t, []string{"a"}, s.valid())
	})
}

// countingLog counts the appends that reach the log.
type countingLog struct {
	ledger.Log
	appends atomic.Int64
}

func (l *countingLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	l.appends.Add(1)
	return l.Log.Append(ctx, a)
}

// Guards against candidates that claim ten times a second while they cannot read the topic: some hundred
// of them kept the log from answering, after all instances were lost.
func TestCandidateBehindTheTopicHoldsBack(t *testing.T) {
	elect(t, func(log *ledgertest.Log, s *terms) {
		leader := start(log, s, "a", "a1")
		defer leader.stop()
		time.Sleep(time.Second)
		counting := &countingLog{Log: log.Client()}
		behind := New(Config{
			Log: counting, Identity: Identity{Instance: "b", Incarnation: "b1"}, Eligible: func() bool { return true },
			Logger: logging.Discard(), Lead: func(context.Context, Term) {},
		})
		behind.Observe(ledger.Update{Reset: true}) // It knows the topic as it was before any claim.
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		behind.Run(ctx)
		require.LessOrEqual(t, counting.appends.Load(), int64(10*time.Second/claimAfter)+1)
		require.Equal(t, []string{"a"}, s.valid())
	})
}
