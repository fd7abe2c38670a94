package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/forecast"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards against gangs that miss a tight objective because a member runs on a worker of half the usual speed, although
// estimates are wrong by a factor of five, and against a new leader that has to learn the speeds again.
func TestTightGangsAvoidWorkersOfLowSpeed(t *testing.T) {
	const workers, slow = 12, 4
	workOf := func(id batch.TaskID) workertest.Work {
		w := workertest.Work{Duration: 3 * time.Second}
		if id.Job >= jobID(100) {
			w = workertest.Work{Duration: 2 * time.Second, GangSize: 4}
		}
		return w
	}
	gang := batch.Step{Count: 4, CPU: 1000, GPU: 8, Gang: true, EstimateMS: 2000}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		c.config = &opconfig.Config{
			Version: 1,
			Queues:  []opconfig.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxFailedRuns: 3, DurationFactor: 1.5, DurationOffset: 250 * time.Millisecond}},
			Orgs:    []opconfig.Org{{Name: "o", Keys: []string{"k"}}},
		}
		c.config.BuildIndexes()
		for n := range workers {
			c.addWorker(fmt.Sprintf("w%02d", n), "r1")
			if n < slow {
				c.fleet.SetSlowdown(fmt.Sprintf("w%02d", n), 2)
			}
		}
		a := c.startInstance("a")
		for n := range 2 {
			c.submit(jobID(n), batch.Step{Count: workers, CPU: 1000, GPU: 1, MaxPerWorker: 1, EstimateMS: 600})
			c.waitFor(9*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
		}
		c.submit(jobID(100), gang)
		c.waitFor(2800*time.Millisecond, "gang in time", func() bool { return c.phase(jobID(100)) == batch.Completed })
		time.Sleep(speedsStoreInterval)
		require.Len(t, c.log.LatestValues(forecast.Topic), 1)

		a.kill()
		c.startInstance("b")
		c.waitFor(10*time.Second, "new leader", func() bool { return c.epoch() > 1 })
		time.Sleep(2 * time.Second)
		c.submit(jobID(101), gang)
		c.waitFor(2800*time.Millisecond, "gang in time", func() bool { return c.phase(jobID(101)) == batch.Completed })

		// A worker that starts again under its id may be on another machine.
		c.restartWorker("w00", 0)
		c.waitFor(2*time.Second, "forgotten", func() bool { return c.fleet.RunCount("w00") == 0 })
		require.Empty(t, c.fleet.Violations())
	})
}

// onLeader calls f on the goroutine that owns the state of the first instance's term.
func (c *cluster) onLeader(f func(l *leader)) {
	l, done := c.instances[0].control.currentLeader(), make(chan struct{})
	l.post(func() {
		defer close(done)
		f(l)
	})
	<-done
}

// speedsAfter returns the speeds of eight workers that the leader learns from a step with one task on each, after prepare has
// changed some of the workers. Unknown speeds are 0.
func speedsAfter(t *testing.T, gang bool, prepare func(c *cluster, gate *startGate)) []float64 {
	t.Helper()
	var speeds []float64
	const workers = 8
	workOf := func(batch.TaskID) workertest.Work {
		w := workertest.Work{Duration: 3 * time.Second}
		if gang {
			w.GangSize = workers
		}
		return w
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		gate := c.gateStarts()
		for n := range workers {
			c.addWorker(fmt.Sprint("w", n), "r1")
		}
		prepare(c, gate)
		c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: workers, CPU: 1000, GPU: 8, Gang: gang, EstimateMS: 3000})
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		c.onLeader(func(l *leader) {
			for n := range workers {
				speed, _ := l.speedsOf("s").Speed(fmt.Sprint("w", n))
				speeds = append(speeds, speed)
			}
		})
	})
	return speeds
}

// Guards against a cold worker that counts as one of low speed for as long as nothing else runs there.
func TestColdWorkersShowNoSpeed(t *testing.T) {
	slowWorker := func(cold time.Duration) func(*cluster, *startGate) {
		return func(c *cluster, _ *startGate) {
			info, _ := c.fleet.Entry("w0")
			info.ColdRemaining = cold
			c.register(info)
			c.fleet.SetSlowdown("w0", 2)
		}
	}
	require.InDelta(t, 0.5, speedsAfter(t, false, slowWorker(0))[0], 0.05)
	for _, remaining := range []time.Duration{time.Minute, 500 * time.Millisecond} {
		cold := speedsAfter(t, false, slowWorker(remaining))
		require.Zero(t, cold[0], remaining)
		require.InDelta(t, 1, cold[1], 0.05)
	}
}

// Guards against members of a gang that seem to be slow because they have waited for another member.
func TestWaitForGangIsNotLowSpeed(t *testing.T) {
	loseStart := func(_ *cluster, gate *startGate) { gate.lost["w0"] = 1 }
	for n, speed := range speedsAfter(t, true, loseStart) {
		require.InDelta(t, 1, speed, 0.05, n)
	}
}

// Guards against stored speeds that stay in the topic for ever because a former leader knew more workers, against records that are
// removed again with each store, and against the use of a speed that was observed long ago.
func TestStoredSpeedsOfLongerListAreRemoved(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		for n := range 3 {
			c.write(forecast.Topic, ledger.Record{Key: forecast.RecordKey("s", n), Value: []byte(`{"x":[1,700,-130000]}`)})
		}
		info := c.addWorker("w0", "r1")
		c.write(forecast.Topic, ledger.Record{Key: forecast.RecordKey("s", 0), Value: fmt.Appendf(nil, `{"w0":[%d,700,-130000]}`, info.StartedAtMS)})
		c.startInstance("a")
		time.Sleep(6 * time.Second)
		known, counted := -1, -1
		c.onLeader(func(l *leader) {
			s, now := l.speedsOf("s"), boottime.Now()
			known = s.Known()
			s.Restore(now, "w0", 1, 0)
			l.storeSpeeds("s", s, now)
		})
		require.Zero(t, known, "observed 130 s before the worker's clock began")
		time.Sleep(time.Second)
		require.Len(t, c.log.LatestValues(forecast.Topic), 1)
		c.onLeader(func(l *leader) { counted = l.speeds["s"].storedRecords })
		require.Equal(t, 1, counted)
	})
}

// failingLatest is a log whose first reads of the latest records of the stored speeds fail.
type failingLatest struct {
	ledger.Log
	failures atomic.Int32
}

func (f *failingLatest) Latest(ctx context.Context, topic, after string) (ledger.LatestPage, error) {
	if topic == forecast.Topic && f.failures.Add(-1) >= 0 {
		return ledger.LatestPage{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	return f.Log.Latest(ctx, topic, after)
}

// Guards against a leader that gives up reading the stored speeds, without a log line, because its term is not valid when a read
// fails: the term is valid again once the response to a late renewal arrives.
func TestStoredSpeedsAreReadWhileTermIsInvalid(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		flaky := &failingLatest{Log: c.log.Client()}
		a := c.startInstance("a")
		time.Sleep(5 * time.Second)
		former := a.control.currentLeader()
		a.log.SetDown(true)
		time.Sleep(5 * time.Second)
		require.False(t, former.term.Valid())
		cfg := former.c.cfg
		cfg.Log = flaky
		flaky.failures.Store(3)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		l := newLeader(ctx, &Controller{cfg: cfg}, cancel, former.term)
		go l.restoreSpeeds()
		time.Sleep(time.Second)
		require.Len(t, l.inbox, 1)
	})
}
