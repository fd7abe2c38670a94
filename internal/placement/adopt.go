package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// foundAttempt is an attempt as found in the lease lists of workers.
type foundAttempt struct {
	key    attemptID
	job    string
	task   platform.TaskSpec
	leases []gang.FoundLease
	// earliestSent is the earliest send time of the list calls that returned the leases.
	earliestSent time.Time
}

// adopt takes over the gangs that a new leader finds at the workers: for each job that has not
// ended, the attempt that may be running. All other leases are stopped and released.
func (z *zone) adopt(now time.Time) {
	z.adopted = true
	attempts := z.foundAttempts(z.workerIDs()...)
	unlisted := z.unlistedWorkers()
	for _, name := range slices.Sorted(maps.Keys(z.view.Jobs)) {
		job := z.view.Jobs[name]
		if job.Status.Phase.Terminal() {
			continue
		}
		if f, spec, found := z.adoptable(job, attempts); found {
			z.adoptRun(now, job, f, spec, unlisted)
		}
	}
	for _, id := range z.workerIDs() {
		if w := z.workers[id]; w.listed {
			w.adopted = true
			z.stopOrphans(w)
		}
	}
}

// started reports whether a member was started. A stopped lease without run time is a reservation
// that expired.
func (f *foundAttempt) started() bool {
	return slices.ContainsFunc(f.leases, func(one gang.FoundLease) bool {
		switch one.Lease.State {
		case platform.LeaseReserved:
			return false
		case platform.LeaseStopped:
			return one.Lease.RanSeconds > 0
		default:
			return true
		}
	})
}

// adoptFromLateWorker takes over attempts that are found only at a worker whose first lease list
// arrives after the adoption.
func (z *zone) adoptFromLateWorker(now time.Time, w *worker) {
	if w.adopted {
		return
	}
	w.adopted = true
	attempts := z.foundAttempts(w.row.ID)
	for _, name := range slices.Sorted(maps.Keys(z.view.Jobs)) {
		job := z.view.Jobs[name]
		_, waits := z.pending[name]
		if waits || job.Status.Phase.Terminal() || z.byJob[name] != nil {
			continue
		}
		f, spec, found := z.adoptable(job, attempts)
		if found && len(f.leases) > 0 && z.runs[f.key] == nil {
			z.adoptRun(now, job, f, spec, z.unlistedWorkers())
		}
	}
}

// foundAttempts returns the listed leases of the workers, grouped by attempt.
func (z *zone) foundAttempts(workers ...string) map[attemptID]*foundAttempt {
	attempts := make(map[attemptID]*foundAttempt)
	for _, id := range workers {
		w := z.workers[id]
		for _, lease := range w.leases {
			key := attemptID{lease.ID.JobUID, lease.ID.Attempt}
			f, known := attempts[key]
			if !known {
				f = &foundAttempt{key: key, job: lease.Task.JobName, task: lease.Task, earliestSent: w.listSent}
				attempts[key] = f
			}
			f.leases = append(f.leases, gang.FoundLease{Worker: id, Lease: lease})
			if w.listSent.Before(f.earliestSent) {
				f.earliestSent = w.listSent
			}
		}
	}
	return attempts
}

// unlistedWorkers returns the ids of the workers whose leases are not known completely, sorted.
func (z *zone) unlistedWorkers() []string {
	var unlisted []string
	for _, id := range z.workerIDs() {
		if !z.workers[id].listed {
			unlisted = append(unlisted, id)
		}
	}
	return unlisted
}

// adoptable returns the attempt of a job that may be running, if there is one: the newest attempt
// found started, unless the log shows that it has ended, or else the attempt that the log shows as
// running. Newer attempts that are only reserved are ignored: their leases are released and they
// leave no record.
func (z *zone) adoptable(job *resource.Job, attempts map[attemptID]*foundAttempt) (foundAttempt, gang.Spec, bool) {
	var newest *foundAttempt
	for _, f := range attempts {
		if f.key.uid != job.UID || !f.started() && f.key.number != job.Status.Attempt {
			continue
		}
		if newest == nil || f.key.number > newest.key.number {
			newest = f
		}
	}
	running := job.Status.Phase == resource.PhaseRunning
	recorded := gang.Spec{
		Job: job.Name, UID: job.UID, Attempt: job.Status.Attempt, Workers: job.Status.Workers,
		Task: z.task(job, false), RenewalBase: z.startedAt,
	}
	switch {
	case newest != nil && newest.key.number > job.Status.Attempt:
		spec := recorded
		spec.Attempt, spec.Task, spec.Workers = newest.key.number, newest.task, nil
		return *newest, spec, true
	case newest != nil && running && newest.key.number == job.Status.Attempt:
		recorded.Task = newest.task
		return *newest, recorded, true
	case running:
		return foundAttempt{key: attemptID{job.UID, job.Status.Attempt}, job: job.Name}, recorded, true
	default:
		return foundAttempt{}, gang.Spec{}, false
	}
}

// adoptRun adds the run of an adopted attempt. possibleWorkers has the ids of the workers that may
// have members of the attempt which are not in f, because no lease list shows the attempt's leases
// there.
func (z *zone) adoptRun(now time.Time, job *resource.Job, f foundAttempt, spec gang.Spec, possibleWorkers []string) {
	if len(spec.Workers) != spec.Task.Members {
		spec.Workers = nil
	}
	slices.SortFunc(f.leases, func(a, b gang.FoundLease) int { return cmp.Compare(a.Lease.ID.Member, b.Lease.ID.Member) })
	committed := job.Status.Phase == resource.PhaseRunning && job.Status.Attempt == spec.Attempt
	r := &run{
		Gang: gang.Adopt(now, f.earliestSent, spec, f.leases, committed, possibleWorkers),
		job:  job.Name, key: f.key, atMostOnce: job.Spec.Restart == resource.RestartNever, committed: committed,
		placedAt: now,
	}
	z.addRun(r)
	z.byJob[job.Name] = r
	z.event(Event{Name: EventAdopted, Job: job.Name, Reason: string(r.Phase())})
	if !committed && r.MayHaveStarted() {
		z.recordAdopted(now, job, r)
	}
}

// recordAdopted queues the record of an attempt that an earlier leader committed only in memory.
func (z *zone) recordAdopted(now time.Time, job *resource.Job, r *run) {
	status := job.Status
	status.Phase, status.Attempt, status.Workers = resource.PhaseRunning, r.key.number, r.Spec().Workers
	status.Starts++
	status.StartedAt, status.Reason = now, ""
	if z.setStatus(now, job, status, nil) {
		r.commitRequestedAt = now
	}
}

// adoptRecorded takes over attempts that the log shows as running but that have no run here. The
// previous leader may have recorded them after this leader took over.
func (z *zone) adoptRecorded(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(z.view.Jobs)) {
		job := z.view.Jobs[name]
		if job.Status.Phase != resource.PhaseRunning || z.byJob[name] != nil || z.runs[attemptID{job.UID, job.Status.Attempt}] != nil {
			continue
		}
		if p, found := z.pending[name]; found && p.uid == job.UID && p.status.Attempt >= job.Status.Attempt {
			continue
		}
		f, spec, _ := z.adoptable(job, nil)
		possibleWorkers := spec.Workers
		if len(possibleWorkers) != spec.Task.Members || slices.Contains(possibleWorkers, "") {
			possibleWorkers = z.workerIDs()
		}
		z.adoptRun(now, job, f, spec, possibleWorkers)
	}
}
