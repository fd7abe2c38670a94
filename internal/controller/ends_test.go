package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards against tasks that run twice: while their worker was cut off, more of them ended than one response to a poll
// lists, and the leader, or its successor, took those that the response left out for lost.
func TestEndsBeyondOneResponseAreNotLost(t *testing.T) {
	testManyEnds(t, false, false)
	testManyEnds(t, true, false)
}

// As TestEndsBeyondOneResponseAreNotLost. Guards against leases that the next leader does not renew while it cannot store
// the ends of the first response, and so does not know the other ends.
func TestLeasesAreRenewedWhileEndsAreTruncated(t *testing.T) { testManyEnds(t, true, true) }

// testManyEnds lets the tasks of a worker end while it is cut off. With a takeover, the leader is replaced during that
// time. With an outage, the next leader cannot store ends for longer than a lease.
func testManyEnds(t *testing.T, takeover, outage bool) {
	t.Helper()
	const tasks, longTasks = 1200, 10
	var allEnd time.Time
	workOf := func(id batch.TaskID) workertest.Work {
		if id.Index < longTasks {
			return workertest.Work{Duration: time.Until(allEnd) + 15*time.Second}
		}
		return workertest.Work{Duration: time.Until(allEnd) + time.Duration(id.Index)*time.Millisecond}
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		allEnd = time.Now().Add(10 * time.Second)
		large := worker.Info{ID: "w1", Service: "s", Rack: "r1", CPU: tasks * 1000, MemoryMB: tasks}
		c.register(c.fleet.Add(large, clockRate))
		leader := c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: tasks, CPU: 1000, EstimateMS: 10000})
		c.waitFor(9*time.Second, "started", func() bool { return c.fleet.RunCount("w1") == tasks })
		time.Sleep(time.Until(allEnd.Add(-200 * time.Millisecond)))
		c.fleet.SetPartitioned("w1", true)
		if takeover {
			leader.kill()
			next := c.startInstance("a")
			if outage {
				next.log.SetAppendsDown(batch.TasksTopic)
				time.AfterFunc(8*time.Second, func() { next.log.SetAppendsDown("") })
			}
		}
		time.Sleep(time.Until(allEnd.Add(1700 * time.Millisecond))) // Killing an instance takes seconds.
		c.fleet.SetPartitioned("w1", false)
		c.waitFor(30*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		for n := range tasks {
			require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(1), Index: n}), "task %d", n)
		}
		require.Empty(t, c.fleet.Violations())
	})
}
