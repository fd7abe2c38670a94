package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards against urgent gangs that take several times as long because some workers are slow for seconds: a gang that
// has lost time there starts again elsewhere, and later ones avoid these workers.
func TestGangsLeaveAndAvoidSlowWorkers(t *testing.T) {
	const workers, slow = 10, 2
	workOf := func(id batch.TaskID) workertest.Work {
		w := workertest.Work{Duration: 2500 * time.Millisecond}
		if id.Job != jobID(1) {
			w.GangSize = 8
		}
		return w
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		for n := range workers {
			c.addWorker(fmt.Sprintf("w%d", n), "r1")
		}
		c.startInstance("a")
		// One task on each worker shows how fast the worker is.
		c.submit(jobID(1), batch.Step{Count: workers, CPU: 1000, GPU: 1, MaxPerWorker: 1, EstimateMS: 2500})
		gang := batch.Step{Count: 8, CPU: 1000, GPU: 7, Gang: true, EstimateMS: 2500}
		c.waitFor(2*time.Second, "started", func() bool { return c.fleet.RunCount("w0") == 1 && c.fleet.RunCount("w1") == 1 })
		for n := range slow {
			c.fleet.SetSlowdown(fmt.Sprintf("w%d", n), 7)
		}
		c.submit(jobID(2), gang)
		c.waitFor(8*time.Second, "first gang completed", func() bool { return c.phase(jobID(2)) == batch.Completed })
		c.submit(jobID(3), gang)
		c.waitFor(3500*time.Millisecond, "second gang completed", func() bool { return c.phase(jobID(3)) == batch.Completed })
		for n := range slow {
			c.fleet.SetSlowdown(fmt.Sprintf("w%d", n), 1)
		}
		c.waitFor(10*time.Second, "all completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		time.Sleep(slowTime)
		c.submit(jobID(4), batch.Step{Count: 10, CPU: 1000, GPU: 8, EstimateMS: 2500})
		c.waitFor(4*time.Second, "all workers are used again", func() bool { return c.phase(jobID(4)) == batch.Completed })
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against healthy workers that count as slow because the estimates of their tasks are much too short, and
// against restarts that never let such tasks finish.
func TestWrongEstimatesDoNotMakeWorkersSlow(t *testing.T) {
	workOf := func(id batch.TaskID) workertest.Work {
		switch id.Job {
		case jobID(8):
			return workertest.Work{Duration: time.Duration(5500+400*id.Index) * time.Millisecond, GangSize: 4}
		case jobID(9):
			return workertest.Work{Duration: 8 * time.Second}
		}
		return workertest.Work{Duration: 2 * time.Second}
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		for n := range 8 {
			c.addWorker(fmt.Sprintf("w%d", n), "r1")
		}
		c.startInstance("a")
		c.submit(jobID(9), batch.Step{Count: 2, CPU: 1000, GPU: 8, EstimateMS: 1500})
		// The tasks of a gang differ a little, and all of them are slower than estimated.
		c.submit(jobID(8), batch.Step{Count: 4, CPU: 1000, GPU: 2, Gang: true, EstimateMS: 1500})
		for n := range 4 {
			c.submit(jobID(n+1), batch.Step{Count: 48, CPU: 1000, GPU: 1, EstimateMS: 2000})
			time.Sleep(2 * time.Second)
		}
		c.waitFor(4*time.Second, "completed", func() bool { return c.phase(jobID(9)) == batch.Completed })
		for index := range 4 {
			require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(8), Index: index}))
		}
		for index := range 2 {
			require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(9), Index: index}))
		}
		require.Empty(t, c.fleet.Violations())
	})
}
