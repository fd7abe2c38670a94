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
