package placement

import (
	"fmt"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// finishRuns applies the outcomes of runs that are settled, and removes runs that are done.
func (z *zone) finishRuns(now time.Time) {
	for _, key := range z.runIDs() {
		r := z.runs[key]
		if r.Settled() && !r.outcomeApplied {
			r.outcomeApplied = z.applyOutcome(now, r)
		}
		if !r.outcomeApplied {
			continue
		}
		if z.byJob[r.job] == r {
			delete(z.byJob, r.job)
			z.changed = true
		}
		if r.Phase() != gang.Done {
			continue
		}
		// If the pending status has releases of this attempt, dropRecorded releases the leases once the
		// status is recorded.
		if p, found := z.pending[r.job]; !found || !p.hasReleasesOf(key.number) {
			for worker, ids := range r.Leases() {
				z.release(worker, ids)
			}
		}
		delete(z.runs, key)
		z.sortedRuns = nil
	}
}

// applyOutcome applies the outcome of a run to the job's status. It returns false if that is not
// possible yet; the caller then tries again later.
func (z *zone) applyOutcome(now time.Time, r *run) bool {
	outcome, reason := r.Outcome()
	if r.probedWorker != "" {
		z.healthTracker(now).RecordProbe(now, r.probedWorker, outcome == gang.Succeeded)
		return true
	}
	job, found := z.view.Jobs[r.job]
	if !found || job.UID != r.key.uid || job.Status.Phase.Terminal() || job.Status.Attempt > r.key.number {
		z.healthTracker(now).ForgetJob(r.job)
		z.reportEnd(r, outcome, reason)
		return true
	}
	if outcome == gang.NotStarted {
		return z.applyNotStarted(now, r, job, reason)
	}
	if !r.healthRecorded {
		r.healthRecorded = true
		z.recordWorkerHealth(now, r, job)
	}
	status := z.statusAfter(now, r, job)
	if !z.setStatus(now, job, status, r.Leases()) {
		return false
	}
	if status.Phase.Terminal() {
		z.healthTracker(now).ForgetJob(job.Name)
	}
	if outcome == gang.Succeeded {
		z.sched.RecordRunTime(job, r.RunTime())
	}
	z.reportEnd(r, outcome, reason)
	return true
}

// reportEnd counts the end of an attempt and adds an event for it.
func (z *zone) reportEnd(r *run, outcome gang.Outcome, reason string) {
	countEnd(outcome)
	if reason != "" {
		reason = ": " + reason
	}
	z.event(Event{Name: EventEnded, Job: r.job, Worker: r.FailedWorker(), Reason: string(outcome) + reason})
}

// statusAfter returns the job's status after the end of an attempt that had started.
func (z *zone) statusAfter(now time.Time, r *run, job *resource.Job) resource.JobStatus {
	outcome, reason := r.Outcome()
	status := z.effectiveStatus(job)
	status.Attempt, status.Workers, status.Reason = r.key.number, nil, reason
	name, kept := r.Checkpoint()
	status.Checkpoint = name
	status.ConsumedSeconds += kept.Seconds()
	if outcome == gang.Failed || r.stoppedForOveruse {
		status.Failures++
	}
	fault, atFault := z.jobAtFault(now, r, status)
	switch {
	case outcome == gang.Succeeded:
		status.Phase = resource.PhaseSucceeded
	case r.atMostOnce:
		status.Phase = resource.PhaseFailed
		status.Reason = "the only attempt ended: " + reason
	case atFault:
		status.Phase = resource.PhaseFailed
		status.Reason = fault + ": " + reason
	default:
		status.Phase = resource.PhaseQueued
	}
	if status.Phase.Terminal() {
		status.FinishedAt = now
	}
	return status
}

// jobAtFault reports whether the end of an attempt shows that the job itself is at fault, with the
// reason. status has the job's failures including this attempt.
func (z *zone) jobAtFault(now time.Time, r *run, status resource.JobStatus) (string, bool) {
	outcome, _ := r.Outcome()
	switch {
	case r.stoppedForOveruse && status.Failures >= z.view.Policy.MaxFailures:
		return fmt.Sprintf("the job used more than it declared in %d attempts", status.Failures), true
	case outcome != gang.Failed:
		return "", false
	case status.Failures >= failureLimitFactor*z.view.Policy.MaxFailures:
		return fmt.Sprintf("%d attempts failed", status.Failures), true
	default:
		return z.healthTracker(now).JobAtFault(r.job)
	}
}

// applyNotStarted queues a job again whose attempt never started. If the attempt of a job that runs
// at most once is recorded, the job fails instead, although it did not run. applyNotStarted returns
// false if the caller has to try again later.
func (z *zone) applyNotStarted(now time.Time, r *run, job *resource.Job, reason string) bool {
	switch {
	case r.commitRequestedAt.IsZero():
		// No status with this attempt was queued for the log, so there is none to correct.
	case !r.atMostOnce:
		status := z.effectiveStatus(job)
		status.Phase, status.Workers, status.Reason = resource.PhaseQueued, nil, reason
		status.Starts--
		if !z.setStatus(now, job, status, nil) {
			return false
		}
	case r.committed:
		status := z.effectiveStatus(job)
		status.Phase, status.Workers = resource.PhaseFailed, nil
		status.Reason, status.FinishedAt = "the only attempt was recorded but could not start: "+reason, now
		if !z.setStatus(now, job, status, nil) {
			return false
		}
	case z.inWrite(r.job):
		// A write with the status is in progress; its result decides whether the attempt is recorded.
		return false
	default:
		// The status with this attempt is not recorded and not being written, so it is dropped.
		delete(z.pending, r.job)
	}
	z.backOff(now, r.job)
	if w, found := z.workers[r.FailedWorker()]; found {
		// The worker has less free capacity than the leader assumed, so its leases are listed
		// again before it gets more jobs.
		w.nextList = now
		w.listed = false
	}
	z.reportEnd(r, gang.NotStarted, reason)
	return true
}

// backOff delays the next attempt of a job after one that did not start. The delay doubles each
// time, from minBackoff to maxBackoff.
func (z *zone) backOff(now time.Time, job string) {
	b := z.backoffs[job]
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	b.until = now.Add(b.delay)
	z.backoffs[job] = b
}

// handleImpossible moves a queued job that can never run in this zone to a zone where it can, or
// ends it as unplaceable if there is none.
func (z *zone) handleImpossible(now time.Time, w scheduler.Waiting) {
	job, found := z.view.Jobs[w.Job]
	if !found || z.effectiveStatus(job).Phase != resource.PhaseQueued {
		return
	}
	if other, found := z.otherZone(job); found {
		z.move(now, job, other, w.Message)
		return
	}
	status := z.effectiveStatus(job)
	status.Phase, status.Reason, status.FinishedAt = resource.PhaseUnplaceable, w.Message, now
	if z.setStatus(now, job, status, nil) {
		z.event(Event{Name: EventUnplaceable, Job: w.Job, Reason: w.Message})
	}
}
