package placement

import (
	"fmt"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

const (
	// usageEvery is how often a worker is asked what its tasks use.
	usageEvery = 5 * time.Second
	// probeLimit is how long a probe task may take in all.
	probeLimit = 25 * time.Second
	// probePayload is a task that ends by itself after a second.
	probePayload = "duration=1s"
	probePrefix  = "probe/"
	// failuresLimit times the policy's MaxFailures ends a job whose failures are spread over
	// leaders, because what a leader learned of workers ends with it.
	failuresLimit = 3
)

// doctor returns the health of the zone's workers, restored from the log at first use.
func (z *zone) doctor(now time.Time) *scheduler.Health {
	if z.healthOf != nil {
		z.healthOf.SetPolicy(z.view.Policy)
		return z.healthOf
	}
	z.healthOf = scheduler.NewHealth(z.view.Policy)
	for _, id := range z.workerIDs() {
		if h, found := z.view.Health[id]; found && h.Quarantined {
			z.healthOf.RestoreQuarantine(now, id, h.Reason)
		}
	}
	return z.healthOf
}

// judgeWorkers learns from the end of an attempt.
func (z *zone) judgeWorkers(now time.Time, r *run, job *resource.Job) {
	outcome, _ := r.Outcome()
	switch {
	case outcome == gang.Failed && r.FailedWorker() != "":
		z.doctor(now).RecordFailure(now, r.FailedWorker(), job)
	case outcome == gang.Succeeded:
		for _, id := range r.Spec().Workers {
			z.doctor(now).RecordSuccess(id)
		}
	}
}

// treatWorkers carries out what the health of the workers asks for.
func (z *zone) treatWorkers(now time.Time) {
	for _, action := range z.doctor(now).Actions(now) {
		switch action.Kind {
		case scheduler.HealthQuarantine:
			z.setHealth(now, action, true, EventQuarantine)
		case scheduler.HealthReturn:
			z.setHealth(now, action, false, EventReturned)
		case scheduler.HealthProbe:
			z.probeWorker(now, action.Worker)
		}
	}
}

func (z *zone) setHealth(now time.Time, action scheduler.HealthAction, quarantined bool, event string) {
	z.health[action.Worker] = state.WorkerHealth{
		Worker: action.Worker, Quarantined: quarantined, Reason: action.Reason, Since: now,
	}
	z.changed = true
	z.event(Event{Name: event, Worker: action.Worker, Reason: action.Reason})
}

// probeWorker runs a small task of the system on a worker.
func (z *zone) probeWorker(now time.Time, worker string) {
	if z.counter >= maxCounter {
		return
	}
	spec := gang.Spec{
		Job: probePrefix + worker, UID: probePrefix + worker, Attempt: z.nextAttempt(0), Workers: []string{worker}, RenewalBase: z.started,
		Task: platform.TaskSpec{JobName: probePrefix + worker, Members: 1, Accelerators: 1, Payload: probePayload},
	}
	r := &run{Gang: gang.New(now, spec), job: spec.Job, key: attempt{spec.UID, spec.Attempt}, probe: worker, placedAt: now}
	z.addRun(r)
}

// probeStep ends a probe that takes too long, and commits one that is reserved.
func (z *zone) probeStep(now time.Time, r *run) {
	if now.Sub(r.placedAt) > probeLimit {
		r.Halt(now, "probe timed out")
	}
	if r.NeedsCommit() {
		r.Commit(now)
	}
}

// askUsage asks workers with running tasks what these use.
func (z *zone) askUsage(now time.Time) {
	for _, id := range z.workerIDs() {
		w := z.workers[id]
		if w.usageOpen || w.failing || now.Before(w.nextUsage) {
			continue
		}
		w.usageOpen, w.nextUsage = true, now.Add(usageEvery)
		z.ops = append(z.ops, Op{Call: gang.Call{Kind: callUsage, Worker: id}, Worker: w.row})
	}
}

// takeUsage compares what tasks use with what their jobs declare.
func (z *zone) takeUsage(now time.Time, w *worker, answer Answer) {
	w.usageOpen = false
	for _, usage := range answer.Usage {
		r, found := z.runs[attempt{usage.ID.JobUID, usage.ID.Attempt}]
		if !found || r.probe != "" || r.Phase() != gang.Running {
			continue
		}
		if job, found := z.view.Jobs[r.job]; found && job.UID == r.key.uid {
			z.judgeUsage(now, w, r, job, usage)
		}
	}
}

func (z *zone) judgeUsage(now time.Time, w *worker, r *run, job *resource.Job, usage platform.Usage) {
	if r.overuse == nil {
		r.overuse = make(map[int]scheduler.OveruseState)
	}
	declared := scheduler.DeclaredSize(&job.Spec, w.describe(false))
	used := scheduler.Size{Cores: usage.Cores, MemoryMB: usage.MemoryMB}
	age := time.Duration(usage.AgeSeconds * float64(time.Second))
	next, action := r.overuse[usage.ID.Member].Next(now, declared, used, age)
	r.overuse[usage.ID.Member] = next
	reason := fmt.Sprintf("member %d uses %.1f cores and %.0f MB, declared are %.1f cores and %.0f MB",
		usage.ID.Member, used.Cores, used.MemoryMB, declared.Cores, declared.MemoryMB)
	switch action {
	case scheduler.OveruseThrottle:
		r.SetSpeed(now, scheduler.ThrottleSpeed)
		z.noteReason(now, r, job, "throttled: "+reason)
	case scheduler.OveruseRelease:
		r.SetSpeed(now, 1)
		z.noteReason(now, r, job, "")
	case scheduler.OveruseStop:
		r.overused = true
		z.askReclaim(r, now.Add(z.reclaimTime()), "stopped for overuse: "+reason)
	}
}

// noteReason shows the reason of a change to a running job in its status.
func (z *zone) noteReason(now time.Time, r *run, job *resource.Job, reason string) {
	z.event(Event{Name: EventOveruse, Job: r.job, Reason: reason})
	status := z.effective(job)
	if status.Phase != resource.PhaseRunning {
		return
	}
	status.Reason = reason
	z.setStatus(now, job, status, nil)
}
