package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
	"github.com/oleanderbend/oleanderbend/platform"
)

const (
	host          = "jobs.example"
	service       = "soak"
	firstKey      = "key-first"
	secondKey     = "key-second"
	revokedKey    = "key-revoked"
	maxFailedRuns = 3
	// callTimeout is the time for which a caller waits for a response.
	callTimeout = 3 * time.Second
	// maxSubmitAttempts is the number of times that a caller sends the submit request of a job.
	maxSubmitAttempts = 4
	// maxJobInterval is the longest pause between two jobs of a caller.
	maxJobInterval = 700 * time.Millisecond
	// maxVisibilityDelay is the time within which an accepted job must become visible at all instances.
	maxVisibilityDelay = 3 * time.Second
	// maxRevocationDelay is the time within which all instances must stop accepting a revoked key.
	maxRevocationDelay = 5 * time.Second
	// failEvery and cancelEvery count jobs of one caller: every 10th job fails on each run,
	// and every 7th is cancelled.
	failEvery   = 10
	cancelEvery = 7
	// gangOneIn is the inverse of the probability of a gang: one in three first steps with several tasks
	// is a gang, at random.
	gangOneIn = 3
)

// trackedJob is a job and the responses that its caller received.
type trackedJob struct {
	job         *batch.Job
	queue       *opconfig.Queue
	key         string
	alwaysFails bool

	mu sync.Mutex
	// acceptedAt is the time at which the caller received the acceptance; zero if it received none.
	acceptedAt time.Time
	// rejected is set if all submit requests were rejected. It is not set if the outcome of one is unknown.
	rejected  bool
	cancelled bool
	lastPhase batch.Phase
}

// checker submits the jobs of a run as their callers, checks the responses, and collects violations.
type checker struct {
	testbed *testbed

	mu         sync.Mutex
	jobs       map[string]*trackedJob
	violations []string
	// responseCounts counts the responses by operation and status; status 0 stands for no response.
	responseCounts map[string]int
}

// addViolation records a violation with its time.
func (c *checker) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (c *checker) countResponse(operation string, resp platform.JobResponse) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseCounts[fmt.Sprintf("%s %d", operation, resp.Status)]++
}

// workOf returns the duration and result of the runs of a task, which depend on the job only. It also
// checks that the task belongs to a submitted job and that the steps before it are done.
func (c *checker) workOf(id batch.TaskID) workertest.Work {
	c.mu.Lock()
	t := c.jobs[id.Job]
	c.mu.Unlock()
	if t == nil {
		c.addViolation("UNASKED: task %s was started but its job was never submitted", id)
		return workertest.Work{Duration: time.Second}
	}
	step := &t.job.Steps[id.Step]
	w := workertest.Work{Duration: time.Duration(step.EstimateMS) * time.Millisecond, GPU: step.GPU, Fails: t.alwaysFails}
	if step.Gang {
		w.GangSize = step.Count
	}
	for _, earlier := range step.After {
		if !c.isStepDoneLocked(t, earlier) {
			c.addViolation("ORDER: task %s was started before step %d was done", id, earlier)
		}
	}
	return w
}

// isStepDoneLocked reports whether all tasks of a step have succeeded; for a gang, the success of one
// member is enough. It is called with the fleet's lock held.
func (c *checker) isStepDoneLocked(t *trackedJob, step int) bool {
	s := &t.job.Steps[step]
	done := 0
	for index := range s.Count {
		if c.testbed.fleet.FinishedLocked(batch.TaskID{Job: t.job.ID, Step: step, Index: index}) {
			done++
		}
	}
	return done == s.Count || (s.Gang && done > 0)
}

// newJob returns a job with random steps.
func newJob(random *rand.Rand) *batch.Job {
	j := &batch.Job{ID: fmt.Sprintf("%016x", random.Uint64()), Spec: "soak"}
	first := batch.Step{
		Count: 1 + random.IntN(4), CPU: 1000, MemoryMB: 1000, GPU: int64(1 + random.IntN(3)),
		EstimateMS: int64(200 + random.IntN(2500)), Checkpoints: random.IntN(2) == 0,
	}
	first.Gang = first.Count > 1 && random.IntN(gangOneIn) == 0
	j.Steps = []batch.Step{first}
	if random.IntN(2) == 0 {
		j.Steps = append(j.Steps, batch.Step{Count: 2, CPU: 1000, MemoryMB: 1000, GPU: 1, EstimateMS: 500, After: []int{0}})
	}
	return j
}

// submitJobs is the loop of one caller: it submits jobs, reads job states and cancels some jobs. Each
// call goes to a random instance.
func (c *checker) submitJobs(ctx context.Context, random *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		t := &trackedJob{job: newJob(random), queue: &c.testbed.queues[random.IntN(len(c.testbed.queues))], key: firstKey, alwaysFails: n%failEvery == 0}
		if random.IntN(2) == 0 {
			t.key = secondKey
		}
		c.mu.Lock()
		c.jobs[t.job.ID] = t
		c.mu.Unlock()
		c.submit(t, random)
		time.Sleep(time.Duration(random.Int64N(int64(maxJobInterval))))
		c.checkState(c.randomJob(random), random)
		if n%cancelEvery == 0 {
			c.cancel(t, random)
		}
	}
}

func (c *checker) randomJob(random *rand.Rand) *trackedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	skip := random.IntN(len(c.jobs))
	for _, t := range c.jobs {
		if skip == 0 {
			return t
		}
		skip--
	}
	return nil
}

func (c *checker) randomClient(random *rand.Rand, key string) *platform.JobClient {
	return platform.NewJobClient(c.testbed.randomInstance(random).callerProxy.addr(), host, key)
}

// submit submits a job and, like clients in production, tries again after a call without a response or
// after a rejection.
func (c *checker) submit(t *trackedJob, random *rand.Rand) {
	unknownOutcome := false
	for range maxSubmitAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		resp, err := c.randomClient(random, t.key).Submit(ctx, t.queue, t.job)
		cancel()
		c.countResponse("submit", resp)
		switch {
		case err != nil || resp.Status == http.StatusGatewayTimeout || resp.Status == http.StatusBadGateway:
			unknownOutcome = true
		case resp.Status < http.StatusMultipleChoices:
			t.mu.Lock()
			t.acceptedAt = time.Now()
			t.mu.Unlock()
			return
		case resp.Status != http.StatusServiceUnavailable && resp.Status != http.StatusTooManyRequests:
			c.addViolation("CONFIG: submit of job %s returned status %d", t.job.ID, resp.Status)
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejected = !unknownOutcome
}

// checkState reads the state of a job, checks it against the earlier responses for the job, and
// returns the phase; "" if there was no response.
func (c *checker) checkState(t *trackedJob, random *rand.Rand) batch.Phase {
	if t == nil {
		return ""
	}
	sentAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.randomClient(random, t.key).State(ctx, t.queue, t.job.ID)
	c.countResponse("state", resp)
	if err != nil {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case resp.Status == http.StatusGone:
		if !t.acceptedAt.IsZero() && sentAt.Sub(t.acceptedAt) > maxVisibilityDelay {
			c.addViolation("LOST: job %s is gone although it was accepted %v before", t.job.ID, sentAt.Sub(t.acceptedAt))
		}
	case resp.Status == http.StatusOK:
		c.checkPhase(t, resp.Phase)
		t.lastPhase = resp.Phase
	case resp.Status == http.StatusUnauthorized && t.key == revokedKey:
	case resp.Status != http.StatusServiceUnavailable:
		c.addViolation("CONFIG: state of job %s returned status %d", t.job.ID, resp.Status)
	}
	return resp.Phase
}

// checkPhase checks a phase that a caller received. While a job runs, one instance may be some seconds
// behind another, but a final phase must have a cause and must not change.
func (c *checker) checkPhase(t *trackedJob, phase batch.Phase) {
	switch {
	case t.rejected:
		c.addViolation("REFUSED: rejected job %s is shown as %s", t.job.ID, phase)
	case t.lastPhase.Final() && phase.Final() && phase != t.lastPhase:
		c.addViolation("MIXED: job %s is shown as %s after %s", t.job.ID, phase, t.lastPhase)
	case phase == batch.Failed && !t.alwaysFails:
		c.addViolation("LOST: job %s is shown as failed without a cause", t.job.ID)
	case phase == batch.Cancelled && !t.cancelled:
		c.addViolation("LOST: job %s is shown as cancelled without a cause", t.job.ID)
	case phase == batch.Completed:
		c.checkCompleted(t)
	}
}

func (c *checker) checkCompleted(t *trackedJob) {
	for step := range t.job.Steps {
		done := 0
		for index := range t.job.Steps[step].Count {
			if c.testbed.fleet.Finished(batch.TaskID{Job: t.job.ID, Step: step, Index: index}) {
				done++
			}
		}
		if done < t.job.Steps[step].Count && (!t.job.Steps[step].Gang || done == 0) {
			c.addViolation("MIXED: job %s is shown as completed with %d tasks of step %d done", t.job.ID, done, step)
		}
	}
}

func (c *checker) cancel(t *trackedJob, random *rand.Rand) {
	t.mu.Lock()
	t.cancelled = true
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	resp, err := c.randomClient(random, t.key).Cancel(ctx, t.queue, t.job.ID)
	c.countResponse("cancel", resp)
	if err == nil && resp.Status >= http.StatusBadRequest && resp.Status != http.StatusGone && resp.Status < http.StatusInternalServerError {
		c.addViolation("CONFIG: cancel of job %s returned status %d", t.job.ID, resp.Status)
	}
}

// useRevokedKey revokes a key after delay and then submits jobs with it. No instance may accept a job
// that is sent more than maxRevocationDelay after the revocation, whatever faults the instance has.
func (c *checker) useRevokedKey(ctx context.Context, random *rand.Rand, delay time.Duration) {
	time.Sleep(delay)
	err := c.testbed.updateConfig(func(config *opconfig.Config) { config.Orgs[0].Keys = []string{firstKey} })
	if err != nil {
		c.addViolation("soak: revoke key: %v", err)
	}
	revokedAt := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(maxJobInterval))))
		t := &trackedJob{job: newJob(random), queue: &c.testbed.queues[0], key: revokedKey}
		c.mu.Lock()
		c.jobs[t.job.ID] = t
		c.mu.Unlock()
		sentAt := time.Now()
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		resp, err := c.randomClient(random, t.key).Submit(callCtx, t.queue, t.job)
		cancel()
		c.countResponse("revoked", resp)
		if err == nil && resp.Status < http.StatusMultipleChoices && sentAt.Sub(revokedAt) > maxRevocationDelay {
			c.addViolation("CONFIG: a key was accepted %v after it was revoked", sentAt.Sub(revokedAt))
		}
	}
}
