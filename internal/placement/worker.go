package placement

import (
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// Timing of the leader's dealing with workers.
const (
	// listPeriod is how often all leases of a worker are listed, to find those that nobody
	// takes care of: late reservations and results that were not released.
	listPeriod = 30 * time.Second
	// firstListTimeout is how long a new leader waits for the first lists. It is less than a call may
	// take, so that one silent worker does not use up the rest of the other gangs' leases.
	firstListTimeout = 600 * time.Millisecond
	// syncPeriod is how often an unchanged list is compared with the workers again.
	syncPeriod = time.Second
	// listRetryInterval is how often a silent worker is asked.
	listRetryInterval = time.Second
	// leaseExpiry is how long a silent worker counts as holding its leases.
	leaseExpiry = gang.RunningTTL + gang.ExpiryMargin
)

// worker is what the leader knows of one worker. The truth about leases is at the worker.
type worker struct {
	row platform.Instance
	// present is false once the platform's list no longer has the worker.
	present bool
	// listTried is set after the first answer or failure of a list under this epoch.
	listTried bool
	// listed is set while the leader's picture of the worker's leases is complete.
	listed       bool
	listInFlight bool
	// adopted is set once the attempts at the worker were considered for adoption.
	adopted  bool
	nextList time.Time
	listSent time.Time
	leases   []platform.Lease
	// respondedAt is the send time of the last answered call.
	respondedAt time.Time
	// unreachable is set while the last call has no answer.
	unreachable   bool
	usageInFlight bool
	nextUsage     time.Time
	// orphans are active leases that belong to no run.
	orphans map[platform.LeaseID]int
}

// unreachableFor returns for how long a worker has not answered.
func (w *worker) unreachableFor(now time.Time) time.Duration {
	if !w.unreachable {
		return 0
	}
	return now.Sub(w.respondedAt)
}

func (w *worker) orphanAccelerators() int {
	held := 0
	for _, accelerators := range w.orphans {
		held += accelerators
	}
	return held
}

func (w *worker) describe(quarantined bool) scheduler.Worker {
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

// syncWorkers follows the platform's list. A worker that left the list is kept while runs
// have members there.
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

// removeWorkers forgets workers that left the list, are silent and hold nothing.
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

// listWorkers asks for the lease lists that are due.
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

// firstListsDone reports whether every worker has answered or failed to answer the first list, or
// the time to wait for slow ones is over. Gangs elsewhere must be renewed before they lapse.
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

// OpResponse is the outcome of an Op.
type OpResponse struct {
	gang.CallResult
	// Leases is the whole list, for an op without a run.
	Leases []platform.Lease
	Usage  []platform.Usage
}

// handleResponse merges the outcome of an op.
func (z *zone) handleResponse(now time.Time, op Op, answer OpResponse) {
	if w, found := z.workers[op.Call.Worker]; found {
		z.updateReachability(now, w, answer)
		if op.isList() {
			z.handleList(now, w, answer)
		}
		if op.Kind == gang.CallStop && op.run == (attemptID{}) {
			z.handleOrphanStop(w, answer)
		}
		if op.Kind == callUsage {
			z.handleUsage(now, w, answer)
		}
	}
	r, found := z.runs[op.run]
	if !found || op.Call.Kind == callRelease || op.Call.Kind == callUsage {
		return
	}
	before := r.Phase()
	r.HandleResult(now, op.Call, answer.CallResult)
	if r.Phase() != before {
		z.changed = true
	}
}

// updateReachability tells silent workers from those that answer. A refusal is an answer.
func (z *zone) updateReachability(now time.Time, w *worker, answer OpResponse) {
	failing := isUnreachable(answer.Err)
	if failing != w.unreachable {
		z.changed = true
		name := EventWorkerReachable
		if failing {
			name = EventWorkerUnreachable
		}
		z.event(Event{Name: name, Worker: w.row.ID})
	}
	w.unreachable = failing
	if retry := now.Add(listRetryInterval); failing && retry.Before(w.nextList) {
		// Without a run no other call would show that the worker answers again.
		w.nextList = retry
	}
	if !failing && answer.Sent.After(w.respondedAt) {
		w.respondedAt = answer.Sent
	}
}

// handleList merges a full list. Before the adoption it is only kept.
func (z *zone) handleList(now time.Time, w *worker, answer OpResponse) {
	w.listInFlight, w.listTried = false, true
	if answer.Err != nil {
		w.nextList = now.Add(listRetryInterval)
		return
	}
	w.nextList = now.Add(listPeriod)
	w.listSent = answer.Sent
	w.leases = answer.Leases
	z.changed = z.changed || !w.listed
	w.listed = true
	if z.adopted {
		z.adoptFromLateWorker(now, w)
		z.stopOrphans(w)
	}
}

// stopOrphans stops and releases the leases of a worker that no run takes care of.
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
		// If the answer is lost, the next list shows whether the stop had its effect.
		w.nextList = w.listSent.Add(listRetryInterval)
	}
	if len(release) > 0 {
		z.release(w.row.ID, release)
	}
}

// handleOrphanStop frees what stopped orphans held.
func (z *zone) handleOrphanStop(w *worker, answer OpResponse) {
	for _, result := range answer.Results {
		if !result.Known || !result.Lease.State.Active() {
			delete(w.orphans, result.ID)
			z.changed = true
		}
	}
}

// needed reports whether a run or a result that is not yet in the log needs the lease.
func (z *zone) needed(lease platform.Lease) bool {
	key := attemptID{lease.ID.JobUID, lease.ID.Attempt}
	if _, found := z.runs[key]; found {
		return true
	}
	p, found := z.pending[lease.Task.JobName]
	return found && p.uid == key.uid && p.hasReleasesOf(lease.ID.Attempt)
}
