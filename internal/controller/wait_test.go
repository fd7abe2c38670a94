package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards against an accepted job that waits beside empty workers, because they are kept free for a wider
// gang that still lacks a worker.
func TestJobThatFitsStartsBesideBlockedGang(t *testing.T) {
	const workers = 8
	workOf := func(id batch.TaskID) workertest.Work {
		w := workertest.Work{Duration: time.Minute, GPU: 8}
		w.GangSize = map[string]int{jobID(2): workers, jobID(3): 2}[id.Job]
		return w
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		for n := range workers {
			c.addWorker(jobID(n), "r1")
		}
		c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 10000})
		c.waitFor(4*time.Second, "started", func() bool { return c.fleet.Starts(batch.TaskID{Job: jobID(1)}) == 1 })
		c.submit(jobID(2), batch.Step{Count: workers, CPU: 1000, GPU: 8, Gang: true, EstimateMS: 10000})
		time.Sleep(100 * time.Millisecond)
		c.submit(jobID(3), batch.Step{Count: 2, CPU: 1000, GPU: 8, Gang: true, EstimateMS: 10000})
		c.submit(jobID(4), batch.Step{Count: 2, CPU: 1000, GPU: 1, EstimateMS: 10000})
		c.waitFor(3*time.Second, "gang of two started", func() bool { return c.fleet.Starts(batch.TaskID{Job: jobID(3)}) == 1 })
		c.waitFor(time.Second, "single task started", func() bool {
			starts, _ := c.fleet.JobCounts(jobID(4))
			return starts > 0
		})
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a job that waits for its preferred rack for longer than a job without runs may wait beside
// free capacity: for its data or for one rack with room for the whole gang, also after a takeover.
func TestJobWaitsForRackWithinLimit(t *testing.T) {
	steps := map[string]batch.Step{
		"data":         {Count: 2, CPU: 1000, GPU: 1, DataRack: "r1", EstimateMS: 10000},
		"gang":         {Count: 2, CPU: 1000, GPU: 8, Gang: true, RackLocal: true, EstimateMS: 10000},
		"long-running": {Count: 1, CPU: 1000, GPU: 1, DataRack: "r1", LongRunning: true},
	}
	for name, step := range steps {
		workOf := func(id batch.TaskID) workertest.Work {
			w := workertest.Work{Duration: time.Minute, GPU: 8}
			if id.Job == jobID(1) {
				w.GPU = step.GPU
				if step.Gang {
					w.GangSize = step.Count
				}
			}
			return w
		}
		inVirtualTime(t, 1, workOf, func(c *cluster) {
			// Each rack but r1 has one free worker.
			for n, rack := range []string{"r1", "r1", "r2", "r3", "r4", "r5"} {
				c.addWorker(jobID(n), rack)
			}
			c.startInstance("a")
			c.submit(jobID(2), batch.Step{Count: 2, CPU: 1000, GPU: 8, DataRack: "r1", EstimateMS: 60000})
			c.waitFor(4*time.Second, "rack filled", func() bool { return c.fleet.RunCount(jobID(0))+c.fleet.RunCount(jobID(1)) == 2 })
			c.submit(jobID(1), step)
			c.waitFor(3*time.Second, name+": started", func() bool {
				starts, _ := c.fleet.JobCounts(jobID(1))
				return starts > 0
			})
			require.Empty(t, c.fleet.Violations())
		})
	}
}
