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

// wholeFleet is a step that needs both workers of a test, which is more than the organisation's guarantee.
var wholeFleet = batch.Step{Count: 16, CPU: 1000, GPU: 1, EstimateMS: 2000}

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

// submitBehindRunningJob starts a job that uses the whole fleet and queues two more behind it, the first of
// them with the given error of the clock that it was accepted by. It returns once the last one is known to
// the leader.
func (c *cluster) submitBehindRunningJob(clockError time.Duration) {
	c.t.Helper()
	c.submit(jobID(1), wholeFleet)
	c.waitFor(6*time.Second, "started", func() bool { return c.fleet.Starts(firstTask(1)) == 1 })
	c.submitWithClockError(clockError, jobID(2), wholeFleet)
	time.Sleep(time.Second)
	c.submit(jobID(3), wholeFleet)
	time.Sleep(time.Second)
}

// requireSecondStartsBeforeThird waits until the third job starts and checks that the second one did.
func (c *cluster) requireSecondStartsBeforeThird() {
	c.t.Helper()
	c.waitFor(40*time.Second, "started", func() bool { return c.fleet.Starts(firstTask(3)) > 0 })
	require.Positive(c.t, c.fleet.Starts(firstTask(2)))
}

// Guards against a job that counts as overdue for good, and is scheduled after all jobs that come later,
// because it was accepted by an instance whose clock was behind.
func TestJobAcceptedByClockThatWasBehindIsNotOverdue(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(4*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		c.startInstance("a")
		c.submitBehindRunningJob(-clockError)
		c.requireSecondStartsBeforeThird()
	})
}

// As the test before, after all instances were killed: the next leader has not seen when the job came.
func TestJobAcceptedByClockThatWasBehindIsNotOverdueAfterRestart(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(10*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		a := c.startInstance("a")
		c.submitBehindRunningJob(-clockError)
		a.kill()
		c.startInstance("a")
		c.requireSecondStartsBeforeThird()
	})
}

// Guards against a job that is scheduled after later ones for as long as its wrong acceptance time is in
// the future, because it was accepted by an instance whose clock was ahead.
func TestJobAcceptedByClockThatWasAheadKeepsItsTurn(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(4*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		c.startInstance("a")
		c.submitBehindRunningJob(clockError)
		c.requireSecondStartsBeforeThird()
	})
}

// Guards against a job that is scheduled after later ones because the leader's clock jumps forward and all jobs
// accepted until then seem overdue.
func TestJobIsNotOverdueWhenLeadersClockJumpsForward(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(4*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		c.startInstance("a")
		c.submit(jobID(1), wholeFleet)
		c.waitFor(6*time.Second, "started", func() bool { return c.fleet.Starts(firstTask(1)) == 1 })
		c.submit(jobID(2), wholeFleet)
		time.Sleep(time.Second)
		c.setClockError("a", clockError)
		c.submitWithClockError(clockError, jobID(3), wholeFleet)
		c.requireSecondStartsBeforeThird()
	})
}

// Guards against an occurrence that starts before it is due because the leader's clock jumps forward, or
// had jumped when the instance took over.
func TestOccurrenceDoesNotStartEarlyWhenClockJumpsForward(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
			c.addWorker("w1", "r1")
			a := c.startInstance("a")
			time.Sleep(4 * time.Second)
			c.startInstance("b")
			due := time.Now().Add(25 * time.Second)
			c.submitJob(&batch.Job{
				ID: jobID(1), Repeat: 1, StartAtMS: due.UnixMilli(), Steps: []batch.Step{{Count: 1, CPU: 1000, GPU: 1}},
			})
			time.Sleep(5 * time.Second)
			c.setClockError("a", clockError)
			c.setClockError("b", clockError)
			if takeover {
				a.kill()
			}
			time.Sleep(15 * time.Second)
			require.Zero(t, c.fleet.Starts(firstTask(1)), "while the clock is wrong")
			c.setClockError("a", 0)
			c.setClockError("b", 0)
			time.Sleep(time.Until(due))
			require.Zero(t, c.fleet.Starts(firstTask(1)), "after it")
			c.waitFor(time.Second, "started", func() bool { return c.fleet.Starts(firstTask(1)) == 1 })
		})
	}
}

// Guards against a scheduled task that runs again although it has completed, and against runs that are
// stopped at a takeover, because the clock of the new leader is behind: it did not know of the occurrence
// that the previous leader had started, and so dropped the ends of its runs.
func TestStartedOccurrenceIsTakenOverByLeaderWhoseClockIsBehind(t *testing.T) {
	for _, work := range []time.Duration{2 * time.Second, 8 * time.Second} {
		inVirtualTime(t, 1, fixedWork(work), func(c *cluster) {
			c.addWorker("w1", "r1")
			a := c.startInstance("a")
			time.Sleep(4 * time.Second)
			c.setClockError("b", -clockError)
			c.startInstance("b")
			due := time.Now().Add(3 * time.Second)
			c.submitJob(&batch.Job{
				ID: jobID(1), Repeat: 1, StartAtMS: due.UnixMilli(), Steps: []batch.Step{{Count: 1, CPU: 1000, GPU: 1}},
			})
			c.waitFor(4*time.Second, "started", func() bool { return c.fleet.Starts(firstTask(1)) == 1 })
			a.kill()
			time.Sleep(20 * time.Second)
			c.setClockError("b", 0)
			c.waitFor(80*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
			require.Equal(t, 1, c.fleet.Starts(firstTask(1)))
			require.Empty(t, c.fleet.Violations())
		})
	}
}

// Guards against a finished job that callers cannot query any more, and that a repeated submit runs again,
// because the leader's clock jumped forward or was behind when the job finished.
func TestFinishedJobIsKeptDespiteClockErrors(t *testing.T) {
	for name, errors := range map[string][2]time.Duration{"jumps forward": {0, 4 * time.Minute}, "was behind": {-4 * time.Minute, 0}} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
				c.addWorker("w1", "r1")
				c.setClockError("a", errors[0])
				i := c.startInstance("a")
				c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
				c.waitFor(6*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
				c.setClockError("a", errors[1])
				time.Sleep(50 * time.Second) // Callers may query the job for a minute.
				require.NotEmpty(t, i.intake.Snapshot([]string{jobID(1)}))
				c.setClockError("a", 0)
				time.Sleep(6 * time.Minute)
				require.Empty(t, i.intake.Snapshot([]string{jobID(1)}), "removed in the end")
			})
		})
	}
}
