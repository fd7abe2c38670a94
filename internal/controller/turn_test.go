package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

// Guards against a leader that makes no progress and leads on: its term was renewed by another goroutine, so that no other instance
// could take over.
func TestLeaderWithoutProgressIsReplaced(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		for _, id := range []string{"w1", "w2"} {
			c.addWorker(id, "r1")
		}
		a := c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: 2, CPU: 1000, GPU: 1, EstimateMS: 1000})
		c.waitFor(10*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		c.startInstance("b")
		time.Sleep(time.Second)
		var block atomic.Bool
		unblock := make(chan struct{})
		block.Store(true)
		decide := a.control.decide
		a.setDecide(func(s planner.Snapshot) (planner.Plan, *planner.Failure) {
			if block.Load() {
				<-unblock
			}
			return decide(s)
		})
		c.submit(jobID(2), batch.Step{Count: 2, CPU: 1000, GPU: 1, EstimateMS: 1000})
		c.waitFor(15*time.Second, "completed by another leader", func() bool { return c.phase(jobID(2)) == batch.Completed })
		require.False(t, a.control.Idle(), "the abandoned leader must not claim leadership")
		block.Store(false)
		close(unblock)
		time.Sleep(time.Second)
		require.True(t, a.control.Idle())
		starts, _ := c.fleet.JobCounts(jobID(2))
		require.Equal(t, 2, starts)
		require.Empty(t, c.fleet.Violations())
	})
}

// setDecide replaces the planner of a running instance. It is called on the goroutine that owns the state.
func (i *instance) setDecide(decide func(planner.Snapshot) (planner.Plan, *planner.Failure)) {
	replaced := make(chan struct{})
	i.control.currentLeader().post(func() {
		i.control.decide = decide
		close(replaced)
	})
	<-replaced
}
