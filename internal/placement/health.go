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
	// usagePeriod is how often a worker is asked what its tasks use.
	usagePeriod = 5 * time.Second
	// probeTimeout is how long a probe task may take in all.
	probeTimeout = 25 * time.Second
	// probePayload is a task that ends by itself after a second.
	probePayload = "duration=1s"
	probePrefix  = "probe/"
	// failureLimitFactor times the policy's MaxFailures ends a job whose failures are spread over
	// leaders, because what a leader learned of workers ends with it.
	failureLimitFactor = 3
)

// healthTracker returns the health of the zone's workers, restored from the log at first use.
func (z *zone) healthTracker(now time.Time) *scheduler.Health {
	if z.tracker != nil {
		z.tracker.SetPolicy(z.view.Policy)
		return z.tracker
	}
	z.tracker = scheduler.NewHealth(z.view.Policy)
	for _, id := range z.workerIDs() {
		if h, found := z.view.Health[id]; found && h.Quarantined {
			z.tracker.RestoreQuarantine(now, id, h.Reason)
		}
	}
	return z.tracker
}

// recordWorkerHealth learns from the end of an attempt.
func (z *zone) recordWorkerHealth(now time.Time, r *run, job *resource.Job) {
	outcome, _ := r.Outcome()
	switch {
	case outcome == gang.Failed && r.FailedWorker() != "":
		z.healthTracker(now).RecordFailure(now, r.FailedWorker(), job)
	case outcome == gang.Succeeded:
		for _, id := range r.Spec().Workers {
			z.healthTracker(now).RecordSuccess(id)
		}
	}
}

// applyHealthActions carries out what the health of the workers asks for.
func (z *zone) applyHealthActions(now time.Time) {
	for _, action := range z.healthTracker(now).Actions(now) {
		switch action.Kind {
		case scheduler.HealthQuarantine:
			z.setHealth(now, action, true, EventWorkerQuarantined)
		case scheduler.HealthReturn:
			z.setHealth(now, action, false, EventWorkerReturned)
		case scheduler.HealthProbe:
			z.probeWorker(now, action.Worker)
		}
	}
}

func (z *zone) setHealth(now time.Time, action scheduler.HealthAction, quarantined bool, event string) {
	z.healthUpdates[action.Worker] = state.WorkerHealth{
		Worker: action.Worker, Quarantined: quarantined, Reason: action.Reason, Since: now,
	}
	z.changed = true
	z.event(Event{Name: event, Worker: action.Worker, Reason: action.Reason})
}

// probeWorker runs a small task of the system on a worker.
func (z *zone) probeWorker(now time.Time, worker string) {
	if z.attemptCounter >= maxCounter {
		return
	}
	spec := gang.Spec{
		Job: probePrefix + worker, UID: probePrefix + worker, Attempt: z.nextAttempt(0), Workers: []string{worker}, RenewalBase: z.startedAt,
		Task: platform.TaskSpec{JobName: probePrefix + worker, Members: 1, Accelerators: 1, Payload: probePayload},
	}
	r := &run{Gang: gang.New(now, spec), job: spec.Job, key: attemptID{spec.UID, spec.Attempt}, probedWorker: worker, placedAt: now}
	z.addRun(r)
}

// stepProbe ends a probe that takes too long, and commits one that is reserved.
func (z *zone) stepProbe(now time.Time, r *run) {
	if now.Sub(r.placedAt) > probeTimeout {
		r.Halt(now, "probe timed out")
	}
	if r.NeedsCommit() {
		r.Commit(now)
	}
}

// requestUsage asks workers with running tasks what these use.
func (z *zone) requestUsage(now time.Time) {
	for _, id := range z.workerIDs() {
		w := z.workers[id]
		if w.usageInFlight || w.unreachable || now.Before(w.nextUsage) {
			continue
		}
		w.usageInFlight, w.nextUsage = true, now.Add(usagePeriod)
		z.ops = append(z.ops, Op{Call: gang.Call{Kind: callUsage, Worker: id}, Worker: w.row})
	}
}

// handleUsage compares what tasks use with what their jobs declare.
func (z *zone) handleUsage(now time.Time, w *worker, answer OpResponse) {
	w.usageInFlight = false
	for _, usage := range answer.Usage {
		r, found := z.runs[attemptID{usage.ID.JobUID, usage.ID.Attempt}]
		if !found || r.probedWorker != "" || r.Phase() != gang.Running {
			continue
		}
		if job, found := z.view.Jobs[r.job]; found && job.UID == r.key.uid {
			z.checkUsage(now, w, r, job, usage)
		}
	}
}

func (z *zone) checkUsage(now time.Time, w *worker, r *run, job *resource.Job, usage platform.Usage) {
	if r.overuseStates == nil {
		r.overuseStates = make(map[int]scheduler.OveruseState)
	}
	declared := scheduler.DeclaredSize(&job.Spec, w.describe(false))
	used := scheduler.Size{Cores: usage.Cores, MemoryMB: usage.MemoryMB}
	age := time.Duration(usage.AgeSeconds * float64(time.Second))
	next, action := r.overuseStates[usage.ID.Member].Next(now, declared, used, age)
	r.overuseStates[usage.ID.Member] = next
	reason := fmt.Sprintf("member %d uses %.1f cores and %.0f MB, declared are %.1f cores and %.0f MB",
		usage.ID.Member, used.Cores, used.MemoryMB, declared.Cores, declared.MemoryMB)
	switch action {
	case scheduler.OveruseThrottle:
		r.SetSpeed(now, scheduler.ThrottleSpeed)
		z.reportOveruse(now, r, job, "throttled: "+reason)
	case scheduler.OveruseRelease:
		r.SetSpeed(now, 1)
		z.reportOveruse(now, r, job, "")
	case scheduler.OveruseStop:
		r.stoppedForOveruse = true
		z.requestReclaim(r, now.Add(z.reclaimTime()), "stopped for overuse: "+reason)
	}
}

// reportOveruse shows the reason of a change to a running job in its status.
func (z *zone) reportOveruse(now time.Time, r *run, job *resource.Job, reason string) {
	z.event(Event{Name: EventOveruse, Job: r.job, Reason: reason})
	status := z.effectiveStatus(job)
	if status.Phase != resource.PhaseRunning {
		return
	}
	status.Reason = reason
	z.setStatus(now, job, status, nil)
}
