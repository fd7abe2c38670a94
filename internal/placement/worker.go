package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// Timing of the tracking of workers.
const (
	// listPeriod is the period at which all leases of a worker are listed, to find those that
	// belong to no run: late reservations and ended leases that were not released.
	listPeriod = 30 * time.Second
	// firstListTimeout is how long a new leader waits for the first lease lists before it adopts
	// gangs. It is shorter than gang.CallTimeout, because the leases of other gangs could expire
	// if the leader waited for one unreachable worker.
	firstListTimeout = 600 * time.Millisecond
	// syncPeriod is the period at which an unchanged instance list is compared with the known
	// workers again.
	syncPeriod = time.Second
	// listRetryInterval is the pause before the next list call after one that failed, and the
	// period of the list calls to an unreachable worker.
	listRetryInterval = time.Second
	// leaseExpiry is how long the leases at an unreachable worker may still be active after its
	// last response.
	leaseExpiry = gang.RunningTTL + gang.ExpiryMargin
)

// worker is the leader's view of one worker. The worker itself has the authoritative state of its
// leases.
type worker struct {
	// row is the worker's latest row of the platform's instance list.
	row platform.Instance
	// present reports whether the latest instance list contains the worker.
	present bool
	// listTried is set once the first list call of this epoch has succeeded or failed.
	listTried bool
	// listed is set while the leader knows all leases of the worker.
	listed       bool
	listInFlight bool
	// adopted is set once the attempts found at the worker were considered for adoption.
	adopted bool
	// nextList is the earliest time of the next list call.
	nextList time.Time
	// listSent is the send time of the list call that returned leases.
	listSent time.Time
	leases   []platform.Lease
	// respondedAt is the latest send time of a call that got a response, or the time at which the
	// worker was first seen in the instance list.
	respondedAt time.Time
	// unreachable is set when the last call got no response.
	unreachable   bool
	usageInFlight bool
	nextUsage     time.Time
	// orphans has the active leases that belong to no run, with the accelerators that each uses. They
	// are part of scheduler.Snapshot.Orphaned, as are the accelerators of runs that no longer
	// belong to a running job.
	orphans map[platform.LeaseID]int
}

// unreachableFor returns how long a worker has been unreachable; 0 if it is reachable.
func (w *worker) unreachableFor(now time.Time) time.Duration {
	if !w.unreachable {
		return 0
	}
	return now.Sub(w.respondedAt)
}

func (w *worker) orphanAccelerators() int {
	total := 0
	for _, accelerators := range w.orphans {
		total += accelerators
	}
	return total
}

// schedulerWorker returns the worker as the scheduler's input. It is usable if it is live, its leases
// are listed, and it is neither unreachable nor quarantined.
func (w *worker) schedulerWorker(quarantined bool) scheduler.Worker {
	live := w.present && w.row.State == platform.StateLive
	return scheduler.Worker{
		ID: w.row.ID, Rack: w.row.Rack, Accelerators: w.row.Accelerators, Cores: w.row.Cores,
		MemoryMB: w.row.MemoryMB, Usable: live && w.listed && !w.unreachable && !quarantined,
	}
}

// workerIDs returns the ids of the workers, sorted. The result must not be modified.
func (z *zone) workerIDs() []string {
	if z.sortedWorkers == nil {
		z.sortedWorkers = slices.Sorted(maps.Keys(z.workers))
	}
	return z.sortedWorkers
}

func (z *zone) quarantined(id string) bool {
	if h, found := z.healthUpdates[id]; found {
		return h.Quarantined
	}
	return z.view.Health[id].Quarantined
}

// syncWorkers updates the workers from the platform's instance list. A worker that has left the
// list is kept while it is reachable, its leases may be active, or runs have members on it.
func (z *zone) syncWorkers(now time.Time) {
	if len(z.view.Instances) == 0 {
		return
	}
	newest := &z.view.Instances[0]
	if newest == z.syncedList && now.Sub(z.syncedAt) < syncPeriod {
		return
	}
	z.syncedList, z.syncedAt, z.anyLeaving = newest, now, false
	for _, w := range z.workers {
		w.present = false
	}
	for _, row := range z.view.Instances {
		if row.Kind == platform.KindWorker && row.Zone == z.name {
			z.syncWorker(now, row)
		}
	}
	z.removeWorkers(now)
}

func (z *zone) syncWorker(now time.Time, row platform.Instance) {
	w, found := z.workers[row.ID]
	if !found {
		w = &worker{respondedAt: now, orphans: make(map[platform.LeaseID]int)}
		z.workers[row.ID] = w
		z.sortedWorkers = nil
	}
	z.changed = z.changed || !found || w.row.State != row.State
	z.anyLeaving = z.anyLeaving || row.State == platform.StateLeaving
	w.row, w.present = row, true
}

// removeWorkers removes workers that have left the instance list, have been unreachable for longer
// than leaseExpiry, and have no members of runs.
func (z *zone) removeWorkers(now time.Time) {
	var used map[string]bool
	for id, w := range z.workers {
		if w.present || w.unreachableFor(now) <= leaseExpiry {
			continue
		}
		if used == nil {
			used = z.usedWorkers()
		}
		if !used[id] {
			delete(z.workers, id)
			z.sortedWorkers, z.changed = nil, true
		}
	}
}

func (z *zone) usedWorkers() map[string]bool {
	used := make(map[string]bool)
	for _, r := range z.runs {
		for _, id := range r.Spec().Workers {
			used[id] = true
		}
	}
	return used
}

// listWorkers adds to z.ops the list calls that are due now.
func (z *zone) listWorkers(now time.Time) {
	for _, id := range z.workerIDs() {
		w := z.workers[id]
		if w.listInFlight || now.Before(w.nextList) {
			continue
		}
		w.listInFlight = true
		z.ops = append(z.ops, Op{Call: gang.Call{Kind: gang.CallQuery, Worker: id}, Worker: w.row})
	}
}

// firstListsDone reports whether the first list call to every worker has succeeded or failed, or
// firstListTimeout is over. The wait is limited because the gangs on other workers must be renewed
// before their leases expire.
func (z *zone) firstListsDone(now time.Time) bool {
	if z.view.Instances == nil {
		return false
	}
	late := now.Sub(z.startedAt) >= firstListTimeout
	for _, w := range z.workers {
		if !w.listTried && !late {
			return false
		}
	}
	return len(z.workers) > 0 || late
}

// OpResult is the result of an Op.
type OpResult struct {
	gang.CallResult
	// Leases has all leases of the worker; it is set for list calls.
	Leases []platform.Lease
	// Usage has what the tasks of the worker use; it is set for usage calls.
	Usage []platform.Usage
}

// handleResult applies the result of an op to the worker and to the run, if the op has one.
func (z *zone) handleResult(now time.Time, op Op, opResult OpResult) {
	if w, found := z.workers[op.Call.Worker]; found {
		z.updateReachability(now, w, opResult)
		if op.isList() {
			z.handleList(now, w, opResult)
		}
		if op.Kind == gang.CallStop && op.run == (attemptID{}) {
			z.handleOrphanStop(w, opResult)
		}
		if op.Kind == callUsage {
			z.handleUsage(now, w, opResult)
		}
	}
	r, found := z.runs[op.run]
	if !found || op.Call.Kind == callRelease || op.Call.Kind == callUsage {
		return
	}
	before := r.Phase()
	r.HandleResult(now, op.Call, opResult.CallResult)
	if r.Phase() != before {
		z.changed = true
	}
}

// updateReachability records whether the worker responded to a call. A rejection is a response.
func (z *zone) updateReachability(now time.Time, w *worker, opResult OpResult) {
	unreachable := isUnreachable(opResult.Err)
	if unreachable != w.unreachable {
		z.changed = true
		name := EventWorkerReachable
		if unreachable {
			name = EventWorkerUnreachable
		}
		z.event(Event{Name: name, Worker: w.row.ID})
	}
	w.unreachable = unreachable
	if retry := now.Add(listRetryInterval); unreachable && retry.Before(w.nextList) {
		// If no run has members on the worker, only a list call can show that it responds again.
		w.nextList = retry
	}
	if !unreachable && opResult.Sent.After(w.respondedAt) {
		w.respondedAt = opResult.Sent
	}
}

// handleList stores a list of all leases of a worker. After the adoption it also adopts attempts from
// the worker's first list, if that arrives late, and stops orphans.
func (z *zone) handleList(now time.Time, w *worker, opResult OpResult) {
	w.listInFlight, w.listTried = false, true
	if opResult.Err != nil {
		w.nextList = now.Add(listRetryInterval)
		return
	}
	w.nextList = now.Add(listPeriod)
	w.listSent = opResult.Sent
	w.leases = opResult.Leases
	z.changed = z.changed || !w.listed
	w.listed = true
	if z.adopted {
		z.adoptFromLateWorker(now, w)
		z.stopOrphans(w)
	}
}

// stopOrphans stops and releases the leases of a worker that are not needed.
func (z *zone) stopOrphans(w *worker) {
	clear(w.orphans)
	var stop, release []platform.LeaseID
	for _, lease := range w.leases {
		if z.needed(lease) {
			continue
		}
		if lease.State.Active() {
			w.orphans[lease.ID] = lease.Task.Accelerators
			stop = append(stop, lease.ID)
		}
		release = append(release, lease.ID)
	}
	if len(stop) > 0 {
		z.ops = append(z.ops, Op{Call: gang.Call{Kind: gang.CallStop, Worker: w.row.ID, Leases: stop, Reason: "the lease belongs to no current attempt"}, Worker: w.row})
		// If the response is lost, the next list shows whether the stop took effect.
		w.nextList = w.listSent.Add(listRetryInterval)
	}
	if len(release) > 0 {
		z.release(w.row.ID, release)
	}
}

// handleOrphanStop removes the orphans that are no longer active after a stop.
func (z *zone) handleOrphanStop(w *worker, opResult OpResult) {
	for _, result := range opResult.Results {
		if !result.Known || !result.Lease.State.Active() {
			delete(w.orphans, result.ID)
			z.changed = true
		}
	}
}

// needed reports whether a lease belongs to a run, or must be kept until the outcome of its attempt
// is in the log.
func (z *zone) needed(lease platform.Lease) bool {
	key := attemptID{lease.ID.JobUID, lease.ID.Attempt}
	if _, found := z.runs[key]; found {
		return true
	}
	p, found := z.pending[lease.Task.JobName]
	return found && p.uid == key.uid && p.hasReleasesOf(lease.ID.Attempt)
}
