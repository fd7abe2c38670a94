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
	// listEvery is how often all leases of a worker are listed, to find those that nobody
	// takes care of: late reservations and results that were not released.
	listEvery = 30 * time.Second
	// adoptGrace is how long a new leader waits for the first lists. It is less than a call may
	// take, so that one silent worker does not use up the rest of the other gangs' leases.
	adoptGrace = 600 * time.Millisecond
	// syncEvery is how often an unchanged list is compared with the workers again.
	syncEvery = time.Second
	// listRetry is how often a silent worker is asked.
	listRetry = time.Second
	// lapseTime is how long a silent worker counts as holding its leases.
	lapseTime = gang.RunningTTL + gang.ExpiryMargin
)

// worker is what the leader knows of one worker. The truth about leases is at the worker.
type worker struct {
	row platform.Instance
	// present is false once the platform's list no longer has the worker.
	present bool
	// tried is set after the first answer or failure of a list under this epoch.
	tried bool
	// listed is set while the leader's picture of the worker's leases is complete.
	listed  bool
	listing bool
	// adopted is set once the attempts at the worker were considered for adoption.
	adopted  bool
	nextList time.Time
	listSent time.Time
	leases   []platform.Lease
	// answeredAt is the send time of the last answered call.
	answeredAt time.Time
	// failing is set while the last call has no answer.
	failing   bool
	usageOpen bool
	nextUsage time.Time
	// orphans are active leases that belong to no run.
	orphans map[platform.LeaseID]int
}

// silentFor returns for how long a worker has not answered.
func (w *worker) silentFor(now time.Time) time.Duration {
	if !w.failing {
		return 0
	}
	return now.Sub(w.answeredAt)
}

func (w *worker) heldByOrphans() int {
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
		MemoryMB: w.row.MemoryMB, Usable: live && w.listed && !w.failing && !quarantined,
	}
}

// workerIDs returns the ids of the workers, sorted. The result must not be modified.
func (z *zone) workerIDs() []string {
	if z.ids == nil {
		z.ids = slices.Sorted(maps.Keys(z.workers))
	}
	return z.ids
}

func (z *zone) quarantined(id string) bool {
	if h, found := z.health[id]; found {
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
	if newest == z.synced && now.Sub(z.syncedAt) < syncEvery {
		return
	}
	z.synced, z.syncedAt, z.leaving = newest, now, false
	for _, w := range z.workers {
		w.present = false
	}
	for _, row := range z.view.Instances {
		if row.Kind == platform.KindWorker && row.Zone == z.name {
			z.syncWorker(now, row)
		}
	}
	z.dropWorkers(now)
}

func (z *zone) syncWorker(now time.Time, row platform.Instance) {
	w, found := z.workers[row.ID]
	if !found {
		w = &worker{answeredAt: now, orphans: make(map[platform.LeaseID]int)}
		z.workers[row.ID] = w
		z.ids = nil
	}
	z.changed = z.changed || !found || w.row.State != row.State
	z.leaving = z.leaving || row.State == platform.StateLeaving
	w.row, w.present = row, true
}

// dropWorkers forgets workers that left the list, are silent and hold nothing.
func (z *zone) dropWorkers(now time.Time) {
	var used map[string]bool
	for id, w := range z.workers {
		if w.present || w.silentFor(now) <= lapseTime {
			continue
		}
		if used == nil {
			used = z.usedWorkers()
		}
		if !used[id] {
			delete(z.workers, id)
			z.ids, z.changed = nil, true
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
		if w.listing || now.Before(w.nextList) {
			continue
		}
		w.listing = true
		z.ops = append(z.ops, Op{Call: gang.Call{Kind: gang.CallQuery, Worker: id}, Worker: w.row})
	}
}

// listedAll reports whether every worker has answered or failed to answer the first list, or
// the time to wait for slow ones is over. Gangs elsewhere must be renewed before they lapse.
func (z *zone) listedAll(now time.Time) bool {
	if z.view.Instances == nil {
		return false
	}
	late := now.Sub(z.started) >= adoptGrace
	for _, w := range z.workers {
		if !w.tried && !late {
			return false
		}
	}
	return len(z.workers) > 0 || late
}

// Answer is the outcome of an Op.
type Answer struct {
	gang.CallResult
	// Leases is the whole list, for an op without a run.
	Leases []platform.Lease
	Usage  []platform.Usage
}

// answer merges the outcome of an op.
func (z *zone) answer(now time.Time, op Op, answer Answer) {
	if w, found := z.workers[op.Call.Worker]; found {
		z.noteContact(now, w, answer)
		if op.isList() {
			z.takeList(now, w, answer)
		}
		if op.Kind == gang.CallStop && op.run == (attempt{}) {
			z.noteStopped(w, answer)
		}
		if op.Kind == callUsage {
			z.takeUsage(now, w, answer)
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

// noteContact tells silent workers from those that answer. A refusal is an answer.
func (z *zone) noteContact(now time.Time, w *worker, answer Answer) {
	failing := isSilence(answer.Err)
	if failing != w.failing {
		z.changed = true
		name := EventWorkerBack
		if failing {
			name = EventWorkerSilent
		}
		z.event(Event{Name: name, Worker: w.row.ID})
	}
	w.failing = failing
	if retry := now.Add(listRetry); failing && retry.Before(w.nextList) {
		// Without a run no other call would show that the worker answers again.
		w.nextList = retry
	}
	if !failing && answer.Sent.After(w.answeredAt) {
		w.answeredAt = answer.Sent
	}
}

// takeList merges a full list. Before the adoption it is only kept.
func (z *zone) takeList(now time.Time, w *worker, answer Answer) {
	w.listing, w.tried = false, true
	if answer.Err != nil {
		w.nextList = now.Add(listRetry)
		return
	}
	w.nextList = now.Add(listEvery)
	w.listSent = answer.Sent
	w.leases = answer.Leases
	z.changed = z.changed || !w.listed
	w.listed = true
	if z.adopted {
		z.adoptLate(now, w)
		z.cleanOrphans(w)
	}
}

// cleanOrphans stops and releases the leases of a worker that no run takes care of.
func (z *zone) cleanOrphans(w *worker) {
	clear(w.orphans)
	var stop, release []platform.LeaseID
	for _, lease := range w.leases {
		if z.caredFor(lease) {
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
		w.nextList = w.listSent.Add(listRetry)
	}
	if len(release) > 0 {
		z.release(w.row.ID, release)
	}
}

// noteStopped frees what stopped orphans held.
func (z *zone) noteStopped(w *worker, answer Answer) {
	for _, result := range answer.Results {
		if !result.Known || !result.Lease.State.Active() {
			delete(w.orphans, result.ID)
			z.changed = true
		}
	}
}

// caredFor reports whether a run or a result that is not yet in the log needs the lease.
func (z *zone) caredFor(lease platform.Lease) bool {
	key := attempt{lease.ID.JobUID, lease.ID.Attempt}
	if _, found := z.runs[key]; found {
		return true
	}
	p, found := z.pending[lease.Task.JobName]
	return found && p.uid == key.uid && p.keeps(lease.ID.Attempt)
}
