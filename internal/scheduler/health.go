package scheduler

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// failureWindow is how long a failure counts in the decision whether to quarantine or
	// suspend a worker. JobAtFault counts failures of any age.
	failureWindow = time.Hour
	// minProbeBackoff is the wait before the first probe of a quarantined worker. Each failed
	// probe, and each quarantine that follows an earlier one without a successful job between
	// them, doubles the wait up to maxProbeBackoff. It is also the wait after each successful
	// probe of a quarantined worker, and the minimum wait from a successful probe of a healthy
	// worker to its next probe.
	minProbeBackoff = 30 * time.Second
	maxProbeBackoff = 30 * time.Minute
	// probesToReturn is the number of probes in a row that must succeed before a quarantined
	// worker is used again.
	probesToReturn = 2
	// probeTimeout is the time after which a probe without a result counts as failed.
	probeTimeout = 30 * time.Second
	// jobFaultWorkers is the number of other workers on which a job must have failed to be taken
	// to be at fault; its failures then no longer count against a worker. Only workers count
	// that are not quarantined and on which no other job has failed.
	jobFaultWorkers = 2
	// maxTrackedJobs bounds the number of jobs whose failures are stored.
	maxTrackedJobs = 4096
)

// HealthActionKind is the kind of a health action.
type HealthActionKind string

// Kinds of health actions.
const (
	// HealthProbe requests that a small test task of the system, not of a job, is run on the
	// worker. The caller passes its result to Health.RecordProbe.
	HealthProbe HealthActionKind = "probe"
	// HealthQuarantine takes the worker out of use: no job is placed on it.
	HealthQuarantine HealthActionKind = "quarantine"
	// HealthReturn puts the worker back into use.
	HealthReturn HealthActionKind = "return"
)

// HealthAction is an action that the caller must carry out for a worker.
type HealthAction struct {
	Kind   HealthActionKind
	Worker string
	Reason string
}

// Health distinguishes workers on which every job fails from jobs that fail on every worker.
// Failures of different jobs on one worker count against the worker; failures of one job on
// different workers count against the job. Health does no I/O and reads no clock: the time is
// passed in, and Actions returns what the caller has to do.
//
// Jobs of one organisation may share a fault, so their failures alone do not quarantine a
// worker. Instead the worker is suspended, which keeps new jobs away, until a probe decides.
// The first failure on a healthy worker also triggers a probe, because a probe costs less than
// the failed starts that it prevents.
type Health struct {
	quarantineAfter int
	maxFailures     int
	workers         map[string]*workerHealth
	// failures contains the time of each job's last failure, by job name and worker id.
	failures map[string]map[string]time.Time
	// lastFailure contains the time of each job's last failure on any worker.
	lastFailure    map[string]time.Time
	pendingActions []HealthAction
}

type healthState int

const (
	healthy healthState = iota
	// suspended workers get no new jobs until a probe has decided on them.
	suspended
	quarantined
)

type workerHealth struct {
	state healthState
	// failedJobs contains the jobs that have failed on the worker since the last success, by
	// name.
	failedJobs map[string]jobFailure
	// probation is set from the end of a quarantine until the first successful job.
	probation bool
	// probeDue is set while a probe of a healthy worker is due because a job failed on it.
	probeDue       bool
	backoff        time.Duration
	nextProbe      time.Time
	probeStartedAt time.Time
	probesPassed   int
	reason         string
}

type jobFailure struct {
	org string
	at  time.Time
}

// NewHealth returns a Health without any failures, with the thresholds of the policy.
func NewHealth(policy resource.PlacementPolicy) *Health {
	h := &Health{
		workers:     make(map[string]*workerHealth),
		failures:    make(map[string]map[string]time.Time),
		lastFailure: make(map[string]time.Time),
	}
	h.SetPolicy(policy)
	return h
}

// SetPolicy replaces the thresholds by those of the policy.
func (h *Health) SetPolicy(policy resource.PlacementPolicy) {
	policy = resource.PolicySpec{Placement: policy}.WithDefaults().Placement
	h.quarantineAfter = policy.QuarantineAfterJobs
	h.maxFailures = policy.MaxFailures
}

func (h *Health) worker(id string) *workerHealth {
	w := h.workers[id]
	if w == nil {
		w = &workerHealth{failedJobs: make(map[string]jobFailure)}
		h.workers[id] = w
	}
	return w
}

// RestoreQuarantine marks a worker as quarantined, as recorded by an earlier leader.
func (h *Health) RestoreQuarantine(now time.Time, worker, reason string) {
	w := h.worker(worker)
	w.state, w.reason = quarantined, reason
	w.backoff = minProbeBackoff
	w.nextProbe = now.Add(minProbeBackoff)
}

// RecordFailure records that a member of a job failed on a worker. It must be called only for
// the worker of the member that failed first, not for the workers of members that were stopped
// as a consequence.
func (h *Health) RecordFailure(now time.Time, worker string, job *resource.Job) {
	if h.failures[job.Name] == nil {
		h.forgetOldestJob()
		h.failures[job.Name] = make(map[string]time.Time)
	}
	h.failures[job.Name][worker] = now
	h.lastFailure[job.Name] = now
	w := h.worker(worker)
	w.failedJobs[job.Name] = jobFailure{org: job.Spec.Organisation, at: now}
	if w.state == healthy && !now.Before(w.nextProbe) {
		w.probeDue = true
	}
	h.evaluate(now, worker, w)
}

// forgetOldestJob removes the job whose last failure is the oldest if maxTrackedJobs is reached.
func (h *Health) forgetOldestJob() {
	if len(h.failures) < maxTrackedJobs {
		return
	}
	oldest := ""
	for name, at := range h.lastFailure {
		if oldest == "" || cmp.Or(at.Compare(h.lastFailure[oldest]), cmp.Compare(name, oldest)) < 0 {
			oldest = name
		}
	}
	h.ForgetJob(oldest)
}

// RecordSuccess records that a member of a job succeeded on a worker. It clears the failures
// that count against the worker. While the worker is suspended or quarantined it does nothing,
// because probes decide on such a worker.
func (h *Health) RecordSuccess(worker string) {
	w := h.workers[worker]
	if w == nil || w.state != healthy {
		return
	}
	clear(w.failedJobs)
	w.probation = false
	w.backoff = 0
}

// ForgetJob stops tracking a job that has ended. Its failures still count against workers for
// the rest of failureWindow, unless the job itself was at fault.
func (h *Health) ForgetJob(job string) {
	if _, atFault := h.JobAtFault(job); atFault {
		for id := range h.failures[job] {
			if w := h.workers[id]; w != nil {
				delete(w.failedJobs, job)
			}
		}
	}
	delete(h.failures, job)
	delete(h.lastFailure, job)
}

// evaluate decides whether to quarantine or suspend a healthy worker after a failure.
func (h *Health) evaluate(now time.Time, id string, w *workerHealth) {
	if w.state != healthy {
		return
	}
	count := 0
	orgs := make(map[string]bool)
	for job, failure := range w.failedJobs {
		if now.Sub(failure.at) > failureWindow {
			delete(w.failedJobs, job)
			continue
		}
		if h.countWorkersOnlyThisJobFailedOn(now, job, id) < jobFaultWorkers {
			count++
			orgs[failure.org] = true
		}
	}
	switch {
	case w.probation && count > 0:
		h.quarantine(now, id, w, "a job failed on the worker before any succeeded after its return")
	case count >= h.quarantineAfter && len(orgs) > 1:
		h.quarantine(now, id, w, fmt.Sprintf("%d jobs of %d organisations failed on the worker and none succeeded", count, len(orgs)))
	case count >= h.quarantineAfter:
		w.state = suspended
		w.nextProbe = now
		w.reason = fmt.Sprintf("%d jobs of one organisation failed on the worker and none succeeded", count)
	}
}

// countWorkersOnlyThisJobFailedOn returns the number of other workers on which this job has
// failed within failureWindow and for which onlyThisJobFailedOn holds.
func (h *Health) countWorkersOnlyThisJobFailedOn(now time.Time, job, worker string) int {
	count := 0
	for id, at := range h.failures[job] {
		if id != worker && now.Sub(at) <= failureWindow && h.onlyThisJobFailedOn(id, job) {
			count++
		}
	}
	return count
}

// onlyThisJobFailedOn reports whether a worker is not quarantined and no other job has failed on
// it since its last success.
func (h *Health) onlyThisJobFailedOn(id, job string) bool {
	w := h.workers[id]
	if w == nil {
		return true
	}
	if w.state == quarantined {
		return false
	}
	others := len(w.failedJobs)
	if _, ok := w.failedJobs[job]; ok {
		others--
	}
	return others == 0
}

func (h *Health) quarantine(now time.Time, id string, w *workerHealth, reason string) {
	w.state, w.reason = quarantined, reason
	w.probeDue = false
	w.backoff = min(max(2*w.backoff, minProbeBackoff), maxProbeBackoff)
	w.nextProbe = now.Add(w.backoff)
	w.probesPassed = 0
	w.probeStartedAt = time.Time{}
	h.pendingActions = append(h.pendingActions, HealthAction{Kind: HealthQuarantine, Worker: id, Reason: reason})
}

// Actions returns the actions that are due: quarantines and returns decided since the last
// call, and probes to start now. A probe that has timed out is recorded as failed.
func (h *Health) Actions(now time.Time) []HealthAction {
	for _, id := range slices.Sorted(maps.Keys(h.workers)) {
		w := h.workers[id]
		if !w.probeStartedAt.IsZero() && now.Sub(w.probeStartedAt) >= probeTimeout {
			h.RecordProbe(now, id, false)
		}
		if w.state == healthy && !w.probeDue || !w.probeStartedAt.IsZero() || now.Before(w.nextProbe) {
			continue
		}
		w.probeDue = false
		w.probeStartedAt = now
		h.pendingActions = append(h.pendingActions, HealthAction{Kind: HealthProbe, Worker: id, Reason: w.reason})
	}
	out := h.pendingActions
	h.pendingActions = nil
	return out
}

// RecordProbe records the result of a probe. It does nothing if no probe of the worker has been
// started.
func (h *Health) RecordProbe(now time.Time, worker string, ok bool) {
	w := h.workers[worker]
	if w == nil || w.probeStartedAt.IsZero() {
		return
	}
	w.probeStartedAt = time.Time{}
	switch {
	case !ok && w.state == suspended:
		h.quarantine(now, worker, w, w.reason+", and a probe failed")
	case !ok && w.state == healthy:
		h.quarantine(now, worker, w, "a job and then a probe failed on the worker")
	case w.state == healthy:
		w.nextProbe = now.Add(minProbeBackoff)
	case !ok:
		// The worker is quarantined.
		w.probesPassed = 0
		w.backoff = min(2*w.backoff, maxProbeBackoff)
		w.nextProbe = now.Add(w.backoff)
	case w.state == suspended:
		w.state = healthy
		clear(w.failedJobs)
	default:
		// The worker is quarantined, and the probe succeeded.
		w.probesPassed++
		w.nextProbe = now.Add(minProbeBackoff)
		if w.probesPassed >= probesToReturn {
			w.state, w.probation = healthy, true
			clear(w.failedJobs)
			h.pendingActions = append(h.pendingActions, HealthAction{Kind: HealthReturn, Worker: worker, Reason: "probes succeeded"})
		}
	}
}

// Usable reports whether jobs may be placed on a worker.
func (h *Health) Usable(worker string) bool {
	w := h.workers[worker]
	return w == nil || w.state == healthy
}

// Quarantined returns the reason of a worker's quarantine and whether the worker is
// quarantined.
func (h *Health) Quarantined(worker string) (string, bool) {
	w := h.workers[worker]
	if w == nil || w.state != quarantined {
		return "", false
	}
	return w.reason, true
}

// Suspect reports whether a usable worker should be given only one gang at a time.
func (h *Health) Suspect(worker string) bool {
	w := h.workers[worker]
	return w != nil && w.state == healthy && (w.probation || len(w.failedJobs) > 0)
}

// FailedWorkers returns the ids of the workers on which a job has failed, sorted.
func (h *Health) FailedWorkers(job string) []string {
	return slices.Sorted(maps.Keys(h.failures[job]))
}

// JobAtFault reports whether the job itself is at fault, with the reason: it has failed on as
// many different workers as the policy allows. Quarantined workers do not count.
func (h *Health) JobAtFault(job string) (string, bool) {
	count := 0
	for id := range h.failures[job] {
		if w := h.workers[id]; w == nil || w.state != quarantined {
			count++
		}
	}
	if count < h.maxFailures {
		return "", false
	}
	return fmt.Sprintf("the job failed on %d distinct workers", count), true
}
