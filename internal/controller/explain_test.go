package controller

import (
	"context"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

// hypothetical returns a request to explain a job of the cluster's queue and organisation.
func (c *cluster) hypothetical(steps ...batch.Step) ExplainRequest {
	return ExplainRequest{Job: &batch.Job{ID: "request", Steps: steps, Queue: "q", Org: "o", Rules: intake.QueueRulesOf(&c.config.Queues[0])}}
}

// Guards against an explanation that starts, stores or changes anything, and against one that differs from what happens to
// the same job when it is submitted.
func TestExplanationOfRequestChangesNothing(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		i := c.startInstance("a")
		_, err := i.control.Explain(c.t.Context(), c.hypothetical(batch.Step{Count: 1}))
		require.ErrorIs(t, err, ErrNotLeading)
		for n := range 2 {
			c.addWorker(jobID(n), "r1")
		}
		step := batch.Step{Count: 3, CPU: 1000, GPU: 4, EstimateMS: 10000}
		c.submit(jobID(1), step)
		c.waitFor(4*time.Second, "started", func() bool { starts, _ := c.fleet.JobCounts(jobID(1)); return starts == 3 })
		time.Sleep(time.Second)
		stored := len(c.log.LatestValues(batch.TasksTopic)) + len(c.log.LatestValues(batch.JobsTopic))

		next := batch.Step{Count: 2, CPU: 1000, GPU: 4, EstimateMS: 10000}
		e, err := i.control.Explain(c.t.Context(), c.hypothetical(next, batch.Step{Count: 1, After: []int{0}}))
		require.NoError(t, err)
		require.Equal(t, Guarantee{GPU: 8, UsedByEarlierJobs: 0, Need: 8, Covered: true}, e.Guarantee)
		require.Equal(t, StepFollows, e.Steps[1].State)
		planned := e.Steps[0]
		require.Equal(t, StepWaits, planned.State)
		require.Equal(t, planner.WaitsForRelease, planned.Reason)
		require.Equal(t, 1, planned.Starts)
		require.Equal(t, 1, planned.Stops)
		require.Equal(t, 2, planned.Tasks)
		require.Equal(t, 1, planned.Waiting)
		require.Equal(t, map[string]int{"busy": 1}, planned.Obstacles)
		time.Sleep(5 * time.Second)
		starts, _ := c.fleet.JobCounts(jobID(1))
		require.Equal(t, 3, starts)
		require.Equal(t, stored, len(c.log.LatestValues(batch.TasksTopic))+len(c.log.LatestValues(batch.JobsTopic)))

		c.submit(jobID(2), next)
		c.waitFor(4*time.Second, "one run is stopped for the job", func() bool { starts, _ := c.fleet.JobCounts(jobID(2)); return starts == 2 })
	})
}

// Guards against an answer for a known job that differs from the reason for which the leader makes it wait, and against
// missing states of steps that are not planned.
func TestExplanationOfKnownJob(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		i := c.startInstance("a")
		c.addWorker(jobID(0), "r1")
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 10000}, batch.Step{Count: 1, After: []int{0}})
		c.waitFor(4*time.Second, "started", func() bool { starts, _ := c.fleet.JobCounts(jobID(1)); return starts == 1 })
		c.submit(jobID(2), batch.Step{Count: 1, CPU: 1000, GPU: 9, EstimateMS: 10000})
		c.submit(jobID(3), batch.Step{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 10000})
		time.Sleep(100 * time.Millisecond)
		explain := func(n int) *Explanation {
			e, err := i.control.Explain(c.t.Context(), ExplainRequest{ID: jobID(n)})
			require.NoError(t, err)
			return e
		}
		running := explain(1)
		require.Equal(t, []StepState{StepRuns, StepFollows}, []StepState{running.Steps[0].State, running.Steps[1].State})
		large := explain(2).Steps[0]
		require.Equal(t, planner.WaitsForCapacity, large.Reason)
		require.Equal(t, map[string]int{"too-small": 1}, large.Obstacles)
		require.Contains(t, large.Unblock, "registers that is large enough")
		small := explain(3)
		require.Equal(t, planner.WaitsForCapacity, small.Steps[0].Reason)
		require.Equal(t, 2, small.Steps[0].Waiting)
		require.Equal(t, Guarantee{GPU: 8, UsedByEarlierJobs: 8, Need: 1}, small.Guarantee)
		_, err := i.control.Explain(c.t.Context(), ExplainRequest{ID: jobID(9)})
		require.ErrorIs(t, err, ErrUnknownJob)
	})
}

// Guards against calls that wait for each other: a second one is rejected at once, and a call ends within its time limit
// while the leader is busy.
func TestOneExplanationAtATime(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		i := c.startInstance("a")
		c.waitFor(4*time.Second, "leader", func() bool { return i.control.currentLeader() != nil })
		l := i.control.currentLeader()
		resume := make(chan struct{})
		l.post(func() { <-resume })
		synctest.Wait()
		first := make(chan error, 1)
		started := time.Now()
		go func() {
			_, err := i.control.Explain(context.Background(), c.hypothetical(batch.Step{Count: 1}))
			first <- err
		}()
		synctest.Wait()
		_, err := i.control.Explain(c.t.Context(), c.hypothetical(batch.Step{Count: 1}))
		require.ErrorIs(t, err, ErrExplainBusy)
		require.Zero(t, time.Since(started))
		require.ErrorIs(t, <-first, ErrExplainTimeout)
		require.Equal(t, explainTimeout, time.Since(started))
		close(resume)
		synctest.Wait()
		_, err = i.control.Explain(c.t.Context(), c.hypothetical(batch.Step{Count: 1}))
		require.NoError(t, err)
	})
}

// Guards against an explanation that waits for tickets that nobody requests, and against invalid jobs that reach the
// planner.
func TestExplanationDoesNotAskAdvisor(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		c.config = &opconfig.Config{Version: 1, Queues: []opconfig.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", DurationFactor: 3, Advice: &opconfig.AdviceService{}}}}
		c.config.BuildIndexes()
		i := c.startInstance("a")
		c.addWorker(jobID(0), "r1")
		c.waitFor(4*time.Second, "leader", func() bool { return i.control.currentLeader() != nil })
		time.Sleep(3 * time.Second)
		e, err := i.control.Explain(c.t.Context(), c.hypothetical(batch.Step{Count: 1, GPU: 1}))
		require.NoError(t, err)
		require.True(t, e.AssumesAdvice)
		require.Equal(t, StepStarts, e.Steps[0].State)
		require.Equal(t, []Place{{Worker: jobID(0), Rack: "r1", Tasks: 1}}, e.Steps[0].Places)
		_, err = i.control.Explain(c.t.Context(), c.hypothetical(batch.Step{Count: 0}))
		require.ErrorIs(t, err, batch.ErrInvalid)
	})
}

// Guards against an explanation that changes what later planning rounds see: when a step began to wait, the headroom, the
// guarantees of runs, and which zones have returned to service.
func TestExplanationLeavesStateOfLeader(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		c.startInstance("a")
		c.addWorker(jobID(0), "r1")
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 10000})
		c.waitFor(4*time.Second, "started", func() bool { starts, _ := c.fleet.JobCounts(jobID(1)); return starts == 1 })
		c.submit(jobID(2), batch.Step{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 10000})
		time.Sleep(3 * time.Second)
		l := c.instances[0].control.currentLeader()
		done := make(chan struct{})
		var before, after []any
		returned := -1
		var v *explainView
		var err error
		l.post(func() {
			defer close(done)
			waiting := l.jobs[jobID(2)].units[0]
			waiting.readySince, l.planDue = 0, false
			// A zone that has been back for long: the next update drops the entry.
			l.evacuation.returnedAt = map[string]boottime.Instant{"gone": boottime.Now().Add(-2 * time.Minute)}
			for _, ws := range l.workers {
				for _, r := range ws.runs {
					r.guaranteed = !r.guaranteed
				}
			}
			state := func() []any {
				values := []any{waiting.readySince, waiting.loggedWait, waiting.heldBackSince, l.planDue, l.nextUnitID, len(l.jobs), l.peaks.Clone(), maps.Clone(l.evacuation.returnedAt)}
				for _, ws := range l.workers {
					for _, r := range ws.runs {
						values = append(values, r.guaranteed)
					}
				}
				return values
			}
			before = state()
			if v, err = l.newExplainView(c.hypothetical(batch.Step{Count: 1, GPU: 1}), boottime.Now()); err == nil {
				v.explain()
			}
			after = state()
			l.updateEvacuations()
			returned = len(l.evacuation.returnedAt)
		})
		<-done
		require.NoError(t, err)
		require.Equal(t, 2, v.explanation.Steps[0].Waiting)
		require.Len(t, before, 9)
		require.Equal(t, before, after)
		require.Zero(t, returned, "the leader itself drops the entry")
	})
}

// Guards against a panic in the explanation of a completed job with several steps: its units are dropped when it is closed, and
// the number of units that were done stayed.
func TestExplanationOfCompletedJob(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		i := c.startInstance("a")
		c.addWorker(jobID(0), "r1")
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1}, batch.Step{Count: 1, CPU: 1000, GPU: 1, After: []int{0}})
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		time.Sleep(time.Second)
		_, err := i.control.Explain(c.t.Context(), ExplainRequest{ID: jobID(1)})
		require.NoError(t, err)
	})
}
