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
	host        = "jobs.example"
	service     = "soak"
	firstKey    = "key-first"
	secondKey   = "key-second"
	revokedKey  = "key-revoked"
	maxAttempts = 3
	// callTimeout is how long a caller waits for an answer.
	callTimeout = 3 * time.Second
	// callTries is how often a caller hands a job in.
	callTries = 4
	// jobPause is the longest pause between two jobs of a caller.
	jobPause = 700 * time.Millisecond
	// visibleWithin is the time after its acceptance from which a job must be known everywhere.
	visibleWithin = 3 * time.Second
	// revokeWithin is the time after which a key that was taken away must not be accepted.
	revokeWithin = 5 * time.Second
	// hopelessEvery makes every so many jobs fail on each run, cancelEvery cancels them.
	hopelessEvery = 10
	cancelEvery   = 7
	gangEvery     = 3
)

// tracked is a job and what its caller was told.
type tracked struct {
	job      *batch.Job
	queue    *opconfig.Queue
	key      string
	hopeless bool

	mu        sync.Mutex
	accepted  time.Time
	refused   bool
	cancelled bool
	last      batch.Phase
}

// book is all jobs of a run, and the promises that were broken.
type book struct {
	world *world

	mu     sync.Mutex
	jobs   map[string]*tracked
	broken []string
	// calls counts the answers by what was asked and their status; 0 stands for none.
	calls map[string]int
}

// breach notes a broken promise.
func (b *book) breach(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.broken = append(b.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (b *book) count(what string, o platform.JobResponse) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[fmt.Sprintf("%s %d", what, o.Status)]++
}

// plan is how the runs of a task go: it depends on the job only.
func (b *book) plan(id batch.TaskID) workertest.Work {
	b.mu.Lock()
	t := b.jobs[id.Job]
	b.mu.Unlock()
	if t == nil {
		b.breach("UNASKED: %s was never submitted", id)
		return workertest.Work{Duration: time.Second}
	}
	step := &t.job.Steps[id.Step]
	w := workertest.Work{Duration: time.Duration(step.EstimateMS) * time.Millisecond, GPU: step.GPU, Fails: t.hopeless}
	if step.Gang {
		w.GangSize = step.Count
	}
	for _, earlier := range step.After {
		if !b.stepDone(t, earlier) {
			b.breach("ORDER: %s before step %d", id, earlier)
		}
	}
	return w
}

// stepDone says whether all tasks of a step have ended done; one end stands for a whole gang.
// It is called with the fleet's lock held.
func (b *book) stepDone(t *tracked, step int) bool {
	s := &t.job.Steps[step]
	done := 0
	for index := range s.Count {
		if b.world.fleet.FinishedLocked(batch.TaskID{Job: t.job.ID, Step: step, Index: index}) {
			done++
		}
	}
	return done == s.Count || (s.Gang && done > 0)
}

// newJob makes a job of random shape.
func newJob(random *rand.Rand) *batch.Job {
	j := &batch.Job{ID: fmt.Sprintf("%016x", random.Uint64()), Spec: "soak"}
	first := batch.Step{
		Count: 1 + random.IntN(4), CPU: 1000, MemoryMB: 1000, GPU: int64(1 + random.IntN(3)),
		EstimateMS: int64(200 + random.IntN(2500)), Checkpoints: random.IntN(2) == 0,
	}
	first.Gang = first.Count > 1 && random.IntN(gangEvery) == 0
	j.Steps = []batch.Step{first}
	if random.IntN(2) == 0 {
		j.Steps = append(j.Steps, batch.Step{Count: 2, CPU: 1000, MemoryMB: 1000, GPU: 1, EstimateMS: 500, After: []int{0}})
	}
	return j
}

// submitJobs is one caller: it hands jobs in, asks for their states and cancels some, each call at any
// instance.
func (b *book) submitJobs(ctx context.Context, random *rand.Rand) {
	for n := 1; ctx.Err() == nil; n++ {
		t := &tracked{job: newJob(random), queue: &b.world.queues[random.IntN(len(b.world.queues))], key: firstKey, hopeless: n%hopelessEvery == 0}
		if random.IntN(2) == 0 {
			t.key = secondKey
		}
		b.mu.Lock()
		b.jobs[t.job.ID] = t
		b.mu.Unlock()
		b.submit(t, random)
		time.Sleep(time.Duration(random.Int64N(int64(jobPause))))
		b.ask(b.anyJob(random), random)
		if n%cancelEvery == 0 {
			b.cancel(t, random)
		}
	}
}

func (b *book) anyJob(random *rand.Rand) *tracked {
	b.mu.Lock()
	defer b.mu.Unlock()
	skip := random.IntN(len(b.jobs))
	for _, t := range b.jobs {
		if skip == 0 {
			return t
		}
		skip--
	}
	return nil
}

func (b *book) caller(random *rand.Rand, key string) *platform.JobClient {
	return platform.NewJobClient(b.world.anyInstance(random).callers.addr(), host, key)
}

// submit hands a job in, again after no answer or a refusal, as the users' clients do.
func (b *book) submit(t *tracked, random *rand.Rand) {
	unknown := false
	for range callTries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		o, err := b.caller(random, t.key).Submit(ctx, t.queue, t.job)
		cancel()
		b.count("submit", o)
		switch {
		case err != nil || o.Status == http.StatusGatewayTimeout || o.Status == http.StatusBadGateway:
			unknown = true
		case o.Status < http.StatusMultipleChoices:
			t.mu.Lock()
			t.accepted = time.Now()
			t.mu.Unlock()
			return
		case o.Status != http.StatusServiceUnavailable && o.Status != http.StatusTooManyRequests:
			b.breach("CONFIG: submit of %s answered %d", t.job.ID, o.Status)
		}
		time.Sleep(time.Duration(random.Int64N(int64(time.Second))))
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refused = !unknown
}

// ask reads the state of a job and checks it against what is known.
func (b *book) ask(t *tracked, random *rand.Rand) batch.Phase {
	if t == nil {
		return ""
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o, err := b.caller(random, t.key).State(ctx, t.queue, t.job.ID)
	b.count("state", o)
	if err != nil {
		return ""
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case o.Status == http.StatusGone:
		if !t.accepted.IsZero() && asked.Sub(t.accepted) > visibleWithin {
			b.breach("LOST: %s is gone, accepted %v before", t.job.ID, asked.Sub(t.accepted))
		}
	case o.Status == http.StatusOK:
		b.checkPhase(t, o.Phase)
		t.last = o.Phase
	case o.Status == http.StatusUnauthorized && t.key == revokedKey:
	case o.Status != http.StatusServiceUnavailable:
		b.breach("CONFIG: state of %s answered %d", t.job.ID, o.Status)
	}
	return o.Phase
}

// checkPhase checks a phase that a caller was shown. Instances may be some seconds behind each other
// while a job runs, but a final phase must have its cause.
func (b *book) checkPhase(t *tracked, phase batch.Phase) {
	switch {
	case t.refused:
		b.breach("REFUSED: %s is shown as %s", t.job.ID, phase)
	case t.last.Final() && phase.Final() && phase != t.last:
		b.breach("MIXED: %s is shown as %s after %s", t.job.ID, phase, t.last)
	case phase == batch.Failed && !t.hopeless:
		b.breach("LOST: %s is shown as failed without a cause", t.job.ID)
	case phase == batch.Cancelled && !t.cancelled:
		b.breach("LOST: %s is shown as cancelled without a cause", t.job.ID)
	case phase == batch.Completed:
		b.checkDone(t)
	}
}

func (b *book) checkDone(t *tracked) {
	for step := range t.job.Steps {
		done := 0
		for index := range t.job.Steps[step].Count {
			if b.world.fleet.Finished(batch.TaskID{Job: t.job.ID, Step: step, Index: index}) {
				done++
			}
		}
		if done < t.job.Steps[step].Count && (!t.job.Steps[step].Gang || done == 0) {
			b.breach("MIXED: %s is shown as completed with %d tasks of step %d done", t.job.ID, done, step)
		}
	}
}

func (b *book) cancel(t *tracked, random *rand.Rand) {
	t.mu.Lock()
	t.cancelled = true
	t.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	o, err := b.caller(random, t.key).Cancel(ctx, t.queue, t.job.ID)
	b.count("cancel", o)
	if err == nil && o.Status >= http.StatusBadRequest && o.Status != http.StatusGone && o.Status < http.StatusInternalServerError {
		b.breach("CONFIG: cancel of %s answered %d", t.job.ID, o.Status)
	}
}

// useRevokedKey hands jobs in with a key that is taken away: no instance may accept them once the
// time for that is over, whatever happens to it.
func (b *book) useRevokedKey(ctx context.Context, random *rand.Rand, after time.Duration) {
	time.Sleep(after)
	err := b.world.change(func(c *opconfig.Config) { c.Orgs[0].Keys = []string{firstKey} })
	if err != nil {
		b.breach("soak: key not taken away: %v", err)
	}
	revoked := time.Now()
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.Int64N(int64(jobPause))))
		t := &tracked{job: newJob(random), queue: &b.world.queues[0], key: revokedKey}
		b.mu.Lock()
		b.jobs[t.job.ID] = t
		b.mu.Unlock()
		sent := time.Now()
		callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
		o, err := b.caller(random, t.key).Submit(callCtx, t.queue, t.job)
		cancel()
		b.count("revoked", o)
		if err == nil && o.Status < http.StatusMultipleChoices && sent.Sub(revoked) > revokeWithin {
			b.breach("CONFIG: a key was accepted %v after it was taken away", sent.Sub(revoked))
		}
	}
}
