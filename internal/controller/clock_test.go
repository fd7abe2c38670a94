package controller

import (
	"testing"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
)

// clockError is by how much a time of day is wrong in these tests. It exceeds the time after which the jobs
// of these tests are overdue.
const clockError = time.Minute

// firstTask returns the first task of a job.
func firstTask(job int) batch.TaskID { return batch.TaskID{Job: jobID(job)} }

// Guards against occurrences that stay late for good after the clock of the leader has been corrected: it
// was behind when the instance started, or it was behind for a while.
func TestOccurrencesAreOnTimeAfterClockIsCorrected(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.setClockError("a", -clockError)
		c.startInstance("a")
		time.Sleep(5 * time.Second)
		c.setClockError("a", 0)
		time.Sleep(2 * time.Minute)
		for n := range 2 {
			due := time.Now().Add(5 * time.Second)
			c.submitJob(&batch.Job{
				ID: jobID(n), Repeat: 1, StartAtMS: due.UnixMilli(), Steps: []batch.Step{{Count: 1, CPU: 1000, GPU: 1}},
			})
			c.waitFor(5500*time.Millisecond, "started", func() bool { return c.fleet.Starts(firstTask(n)) == 1 })
			c.setClockError("a", -clockError)
			time.Sleep(5 * time.Second)
			c.setClockError("a", 0)
		}
	})
}
