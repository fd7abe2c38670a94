package standin

import (
	"fmt"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Reasons in platform.Lease.Reason.
const (
	reasonExpired            = "lease expired"
	reasonReservationExpired = "reservation expired"
	reasonTaskFailed         = "task failed"
	reasonWorkerFault        = "worker failed the task"
)

// maxRuns is the maximum number of recorded runs of one worker. When it is reached, the older half
// is dropped.
const maxRuns = 100_000

// worker is the state of one worker. Its methods are called with the fleet's mutex held. The state
// is computed on demand, by advance, for the time since the last call, so a worker needs no
// goroutine.
type worker struct {
	row         platform.Instance
	injector    faultInjector
	faults      WorkerFaults
	checkpoints *checkpointStore
	epoch       platform.Epoch
	leasedTasks map[platform.LeaseID]*leasedTask
	// leaseOrder lists the keys of leasedTasks in the order of their reservation, so that responses are
	// deterministic.
	leaseOrder []platform.LeaseID
	runs       []Run
	// droppedRuns counts the runs that were dropped from the front of runs.
	droppedRuns int
	// computedAt is the time up to which the state has been computed.
	computedAt time.Time
	// leaseClock is the time of the lease clock at computedAt. Leases expire by this clock.
	leaseClock time.Duration
	// queuedCalls are calls that arrived while the worker was frozen.
	queuedCalls []func()
}

// clockRate returns the speed of the lease clock relative to real time.
func (w *worker) clockRate() float64 {
	if w.faults.ClockRate > 0 {
		return w.faults.ClockRate
	}
	return 1
}

// advance computes the state of the worker at now. It has no effect if the state has already been
// computed for now or a later time.
func (w *worker) advance(now time.Time) {
	if !now.After(w.computedAt) {
		return
	}
	for _, id := range w.leaseOrder {
		w.advanceTask(w.leasedTasks[id], now)
	}
	w.leaseClock += scale(now.Sub(w.computedAt), w.clockRate())
	w.computedAt = now
}

func (w *worker) advanceTask(t *leasedTask, now time.Time) {
	switch t.lease.State {
	case platform.LeaseReserved:
		if w.leaseClock+scale(now.Sub(w.computedAt), w.clockRate()) >= t.expires {
			t.lease.State, t.lease.Reason = platform.LeaseStopped, reasonReservationExpired
		}
	case platform.LeaseRunning:
		from, active := w.computedAt, !w.faults.Frozen
		if active && t.checkpointRemaining >= 0 && t.checkpointRemaining <= now.Sub(from) {
			// The time span is split at the end of the checkpoint, because the checkpoint is complete only
			// if the task is still running then.
			complete := from.Add(t.checkpointRemaining)
			w.advanceRunning(t, from, complete, active)
			if t.lease.State != platform.LeaseRunning {
				return
			}
			w.completeCheckpoint(t)
			from = complete
		}
		w.advanceRunning(t, from, now, active)
		if active && t.checkpointRemaining >= 0 {
			t.checkpointRemaining -= now.Sub(from)
		}
	}
}

func (w *worker) advanceRunning(t *leasedTask, from, to time.Time, active bool) {
	clock := w.leaseClock + scale(from.Sub(w.computedAt), w.clockRate())
	end, state, reason := t.advance(from, to, clock, w.clockRate(), active)
	if !end.IsZero() {
		w.endLease(t, end, state, reason)
	}
}

// endLease ends a lease at a time, with a final state and a reason, and ends its recorded run.
func (w *worker) endLease(t *leasedTask, at time.Time, state platform.LeaseState, reason string) {
	if t.lease.State == platform.LeaseRunning {
		if n := t.runIndex - w.droppedRuns; n >= 0 {
			w.runs[n].To, w.runs[n].EndState = at, state
		}
	}
	t.lease.State, t.lease.Reason = state, reason
	t.checkpointRemaining = -1
}

func (w *worker) completeCheckpoint(t *leasedTask) {
	t.checkpointRemaining = -1
	t.checkpointCount++
	t.lastCheckpointAt = t.checkpointRequestedAt
	t.lease.Checkpoint = checkpointName(t.lease.ID.Attempt, t.checkpointCount)
	w.checkpoints.put(t.lease.ID, t.lease.Checkpoint, t.checkpointWork)
}

// acceptEpoch records the caller's epoch. It returns platform.ErrStaleEpoch if the worker has seen
// a newer one.
func (w *worker) acceptEpoch(epoch platform.Epoch) error {
	if epoch.Compare(w.epoch) < 0 {
		return fmt.Errorf("%w: caller has epoch %d/%s, worker has seen %d/%s", platform.ErrStaleEpoch,
			epoch.Number, epoch.Holder, w.epoch.Number, w.epoch.Holder)
	}
	w.epoch = epoch
	return nil
}

// freeAccelerators returns the number of accelerators without an active lease.
func (w *worker) freeAccelerators() int {
	free := w.row.Accelerators
	for _, t := range w.leasedTasks {
		if t.lease.State.Active() {
			free -= t.lease.Task.Accelerators
		}
	}
	return free
}

// reserve reserves all leases of the request or none. It returns platform.ErrNoCapacity if there
// are too few free accelerators or if one of the leases has already ended.
func (w *worker) reserve(req platform.ReserveRequest) error {
	if err := w.acceptEpoch(req.Epoch); err != nil {
		return err
	}
	var added []platform.LeaseID
	for _, id := range req.Leases {
		existing, known := w.leasedTasks[id]
		switch {
		case !known && !slices.Contains(added, id):
			added = append(added, id)
		case known && !existing.lease.State.Active():
			return fmt.Errorf("%w: member %d has ended", platform.ErrNoCapacity, id.Member)
		}
	}
	perLease, free := req.Task.Accelerators, w.freeAccelerators()
	// The first two conditions also prevent an overflow of the product.
	if perLease < 0 || perLease > w.row.Accelerators || len(added)*perLease > free {
		return fmt.Errorf("%w: worker %s has %d free accelerators, request needs %d times %d", platform.ErrNoCapacity, w.row.ID, free, len(added), perLease)
	}
	for _, id := range added {
		w.leasedTasks[id] = &leasedTask{lease: platform.Lease{ID: id, State: platform.LeaseReserved, Task: req.Task}, checkpointRemaining: -1, speed: 1}
		w.leaseOrder = append(w.leaseOrder, id)
	}
	for _, id := range req.Leases {
		// A repeated reservation lasts for the whole TTL again.
		if t := w.leasedTasks[id]; t.lease.State == platform.LeaseReserved {
			t.expires = w.leaseClock + ttlDuration(req.TTLSeconds)
		}
	}
	return nil
}

// changeLeases applies change to the leases of the request that the worker has. It returns a result
// for each lease of the request.
func (w *worker) changeLeases(req platform.LeaseRequest, change func(*leasedTask)) ([]platform.LeaseResult, error) {
	if err := w.acceptEpoch(req.Epoch); err != nil {
		return nil, err
	}
	results := make([]platform.LeaseResult, len(req.Leases))
	for i, id := range req.Leases {
		results[i].ID = id
		if t, known := w.leasedTasks[id]; known {
			change(t)
			results[i].Known = true
			results[i].Lease = w.report(t)
			results[i].Lease.Task = platform.TaskSpec{}
		}
	}
	return results, nil
}

func (w *worker) start(t *leasedTask, ttl time.Duration) {
	if t.lease.State != platform.LeaseReserved {
		return
	}
	t.lease.State = platform.LeaseRunning
	t.expires = w.leaseClock + ttl
	t.startedAt = w.computedAt
	t.lastCheckpointAt = w.computedAt
	t.work = w.checkpoints.get(t.lease.ID, t.lease.Task.Checkpoint)
	t.lease.Checkpoint = t.lease.Task.Checkpoint
	w.recordRun(t)
	program, err := parsePayload(t.lease.Task.Payload)
	t.program = program
	switch {
	case err != nil:
		w.endLease(t, w.computedAt, platform.LeaseFailed, err.Error())
	case w.faults.FailAll:
		w.endLease(t, w.computedAt, platform.LeaseFailed, reasonWorkerFault)
	}
}

func (w *worker) recordRun(t *leasedTask) {
	if len(w.runs) == maxRuns {
		w.runs = slices.Delete(w.runs, 0, maxRuns/2)
		w.droppedRuns += maxRuns / 2
	}
	t.runIndex = w.droppedRuns + len(w.runs)
	w.runs = append(w.runs, Run{Worker: w.row.ID, ID: t.lease.ID, Members: t.lease.Task.Members, From: w.computedAt})
}

func (w *worker) renew(t *leasedTask, ttl time.Duration) {
	if t.lease.State == platform.LeaseRunning {
		t.expires = w.leaseClock + ttl
	}
}

// beginCheckpoint starts a checkpoint, unless one is in progress or the task cannot write one.
func (w *worker) beginCheckpoint(t *leasedTask) {
	if t.lease.State != platform.LeaseRunning || t.checkpointRemaining >= 0 || t.program.checkpointTime < 0 {
		return
	}
	t.checkpointRemaining, t.checkpointWork, t.checkpointRequestedAt = t.program.checkpointTime, t.work, w.computedAt
	if t.checkpointRemaining == 0 {
		w.completeCheckpoint(t)
	}
}

// minTaskSpeed is the lowest speed of a throttled task. It is above 0 because
// platform.LeaseRequest.Throttle excludes a speed of 0.
const minTaskSpeed = 0.001

func (w *worker) throttle(t *leasedTask, speed float64) {
	if t.lease.State == platform.LeaseRunning {
		t.speed = min(max(speed, minTaskSpeed), 1)
		t.lease.Throttled = t.speed < 1
	}
}

func (w *worker) stop(t *leasedTask, reason string) {
	if t.lease.State.Active() {
		w.endLease(t, w.computedAt, platform.LeaseStopped, reason)
	}
}

// release removes the leases that are not active.
func (w *worker) release(ids []platform.LeaseID) {
	for _, id := range ids {
		if t, known := w.leasedTasks[id]; known && !t.lease.State.Active() {
			delete(w.leasedTasks, id)
		}
	}
	w.leaseOrder = slices.DeleteFunc(w.leaseOrder, func(id platform.LeaseID) bool { return w.leasedTasks[id] == nil })
}

// report returns the lease of a task with its current times.
func (w *worker) report(t *leasedTask) platform.Lease {
	lease := t.lease
	lease.RanSeconds = t.ran.Seconds()
	if lease.State.Active() {
		lease.ExpiresInSeconds = max(0, t.expires-w.leaseClock).Seconds()
	}
	if lease.Checkpoint != "" {
		lease.CheckpointAgeSeconds = w.computedAt.Sub(t.lastCheckpointAt).Seconds()
	}
	return lease
}

func (w *worker) leases() []platform.Lease {
	leases := make([]platform.Lease, len(w.leaseOrder))
	for i, id := range w.leaseOrder {
		leases[i] = w.report(w.leasedTasks[id])
	}
	return leases
}

// usage returns the usage of the tasks that have been running for at least the lag.
func (w *worker) usage(lag time.Duration) []platform.Usage {
	var reports []platform.Usage
	for _, id := range w.leaseOrder {
		t := w.leasedTasks[id]
		if t.lease.State != platform.LeaseRunning || w.computedAt.Sub(t.startedAt) < lag {
			continue
		}
		reports = append(reports, platform.Usage{
			ID:         id,
			Cores:      usedOrDefault(t.program.cores, t.lease.Task.Cores) * t.speed,
			MemoryMB:   usedOrDefault(t.program.memoryMB, t.lease.Task.MemoryMB),
			AgeSeconds: lag.Seconds(),
		})
	}
	return reports
}

// usedOrDefault returns the usage that the payload sets or, if that is negative, the default
// fraction of the declared size.
func usedOrDefault(fromPayload float64, declared int) float64 {
	if fromPayload >= 0 {
		return fromPayload
	}
	return defaultUsedShare * float64(declared)
}

// setFaults replaces the faults. It is called after advance, so that the faults apply from the
// current time on.
func (w *worker) setFaults(f WorkerFaults) {
	crashed, resumed := f.Crashed && !w.faults.Crashed, w.faults.Frozen && !f.Frozen
	w.faults = f
	calls := f.CallFaults
	calls.Outage = calls.Outage || f.Crashed
	w.injector.setFaults(calls)
	if crashed {
		w.endAllRunning(platform.LeaseStopped, "worker crashed")
		w.leasedTasks, w.leaseOrder = make(map[platform.LeaseID]*leasedTask), nil
		w.queuedCalls = nil
	}
	if f.FailAll {
		w.endAllRunning(platform.LeaseFailed, reasonWorkerFault)
	}
	if resumed {
		pending := w.queuedCalls
		w.queuedCalls = nil
		for _, call := range pending {
			call()
		}
	}
}

func (w *worker) endAllRunning(state platform.LeaseState, reason string) {
	for _, id := range w.leaseOrder {
		if t := w.leasedTasks[id]; t.lease.State == platform.LeaseRunning {
			w.endLease(t, w.computedAt, state, reason)
		}
	}
}

// checkpointStore contains the work saved by the checkpoints of all workers. Checkpoints remain
// when their worker crashes.
type checkpointStore struct {
	work map[checkpointKey]time.Duration
}

type checkpointKey struct {
	job    string
	member int
	name   string
}

// checkpointName returns the name of the nth checkpoint of an attempt. Names sort in the order in
// which one member wrote them. All members of a gang can resume from the lowest name among their
// last checkpoints.
func checkpointName(attempt uint64, n int) string {
	return fmt.Sprintf("%016d-%06d", attempt, n)
}

func (s *checkpointStore) put(id platform.LeaseID, name string, work time.Duration) {
	s.work[checkpointKey{id.JobUID, id.Member, name}] = work
}

// get returns 0 for a checkpoint that the member did not write.
func (s *checkpointStore) get(id platform.LeaseID, name string) time.Duration {
	return s.work[checkpointKey{id.JobUID, id.Member, name}]
}

// maxTTL is the longest TTL of a request, so that sums of times cannot overflow. Longer TTLs are
// shortened to it.
const maxTTL = 24 * time.Hour

// ttlDuration converts a TTL in seconds to a duration between 0 and maxTTL.
func ttlDuration(s float64) time.Duration {
	return time.Duration(min(max(s, 0), maxTTL.Seconds()) * float64(time.Second))
}
