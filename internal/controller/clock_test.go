package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
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

// Guards against a running job that is preempted by a later job of the same organisation, because that job
// was accepted by an instance whose clock was behind and so took the guarantee.
func TestLaterJobWithEarlierAcceptanceTimeDoesNotTakeGuarantee(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(5*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.startInstance("a")
		step := batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 5000}
		c.submit(jobID(1), step)
		c.waitFor(4*time.Second, "started", func() bool { return c.fleet.Starts(firstTask(1)) == 1 })
		time.Sleep(time.Second)
		c.submitWithClockError(-clockError, jobID(2), step)
		for n := 1; n <= 2; n++ {
			c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
		}
		require.Equal(t, 1, c.fleet.Starts(firstTask(1)))
	})
}

// Guards against jobs that preempt each other in turn because they were accepted in the same millisecond:
// the guarantee went to any one of them in each planning round.
func TestJobsAcceptedInOneMillisecondDoNotPreemptEachOther(t *testing.T) {
	const jobs = 6
	inVirtualTime(t, 1, fixedWork(3*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.startInstance("a")
		time.Sleep(4 * time.Second)
		var records []ledger.Record
		for n := range jobs {
			step := batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 3000}
			records = append(records, c.jobRecord(&batch.Job{ID: jobID(n), Steps: []batch.Step{step}}, 0))
		}
		c.write(batch.JobsTopic, records...)
		for n := range jobs {
			c.waitFor(60*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
		}
		for n := range jobs {
			require.Equal(t, 1, c.fleet.Starts(firstTask(n)), "job %d", n)
		}
	})
}
