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
	// usagePeriod is the period at which each worker is queried for the resources that its tasks
	// use.
	usagePeriod = 5 * time.Second
	// probeTimeout is how long a probe may take from its placement to its end.
	probeTimeout = 25 * time.Second
	// probePayload is the payload of a probe task, which ends by itself after one second.
	probePayload = "duration=1s"
	// probePrefix is the prefix of the job name and UID of a probe.
	probePrefix = "probe/"
	// failureLimitFactor times the policy's MaxFailures is the number of failures after which a
	// job fails regardless of the workers involved. It ends jobs that fail under several leaders,
	// because a new leader does not know which workers a job failed on before.
	failureLimitFactor = 3
)

// healthTracker returns the health of the zone's workers. The first call restores their quarantines
// from the state.
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

// recordWorkerHealth records the outcome of an attempt in the health of the workers involved.
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

// applyHealthActions carries out the health actions that are due.
func (z *zone) applyHealthActions(now time.Time) {
	for _, action := range z.healthTracker(now).Actions(now) {
		switch action.Kind {
		case scheduler.HealthQuarantine:
			z.setHealth(now, action, true, EventWorkerQuarantined)
		case scheduler.HealthReturn:
			z.setHealth(now, action, false, EventQuarantineEnded)
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

// probeWorker starts a probe: a small task that belongs to no job and tests a worker.
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

// stepProbe halts a probe after probeTimeout, and commits one that is reserved. A probe needs no
// record in the log.
func (z *zone) stepProbe(now time.Time, r *run) {
	if now.Sub(r.placedAt) > probeTimeout {
		r.Halt(now, "probe timed out")
	}
	if r.NeedsCommit() {
		r.Commit(now)
	}
}

// requestUsage adds to z.ops the usage calls that are due now. Unreachable workers are left out.
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

// handleUsage compares the reported usage of running tasks with what their jobs declare.
func (z *zone) handleUsage(now time.Time, w *worker, opResult OpResult) {
	w.usageInFlight = false
	for _, usage := range opResult.Usage {
		r, found := z.runs[attemptID{usage.ID.JobUID, usage.ID.Attempt}]
		if !found || r.probedWorker != "" || r.Phase() != gang.Running {
			continue
		}
		if job, found := z.view.Jobs[r.job]; found && job.UID == r.key.uid {
			z.checkUsage(now, w, r, job, usage)
		}
	}
}

// checkUsage applies one usage report, and throttles or preempts a run that uses more than its job
// declares.
func (z *zone) checkUsage(now time.Time, w *worker, r *run, job *resource.Job, usage platform.Usage) {
	if r.overuseStates == nil {
		r.overuseStates = make(map[int]scheduler.OveruseState)
	}
	declared := scheduler.DeclaredSize(&job.Spec, w.schedulerWorker(false))
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
		z.requestPreemption(r, now.Add(z.preemptionTime()), "stopped for overuse: "+reason)
	}
}

// reportOveruse adds an event for a change of the throttle of a run, and sets the reason in the status
// of its job if that is running.
func (z *zone) reportOveruse(now time.Time, r *run, job *resource.Job, reason string) {
	z.event(Event{Name: EventOveruse, Job: r.job, Reason: reason})
	status := z.effectiveStatus(job)
	if status.Phase != resource.PhaseRunning {
		return
	}
	status.Reason = reason
	z.setStatus(now, job, status, nil)
}
