package placement

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Limits of the writes of one zone to the log.
const (
	// writeInterval is the shortest time between two writes. It limits a zone to 20 appends per
	// second.
	writeInterval = 50 * time.Millisecond
	// writeRetryInterval is the pause after a write that got no verdict or was rejected for a reason
	// other than its epoch.
	writeRetryInterval = 500 * time.Millisecond
	// maxWriteBytes is the estimated size in bytes at which no more jobs are added to a record. It
	// leaves a margin below platform.MaxEntryBytes.
	maxWriteBytes = 128 << 10
	// jobUpdateBytes and workerIDBytes are the estimated sizes in bytes of the update of one job,
	// without its worker ids, and of one worker id.
	jobUpdateBytes = 600
	workerIDBytes  = 40
)

// pendingJob is a job status that the state does not show yet.
type pendingJob struct {
	uid        string
	status     resource.JobStatus
	conditions []resource.Condition
	// seq is the sequence number of the status. Each new status of a job of the zone gets the next
	// number.
	seq uint64
	// dirty is set while the job's name is in zone.dirty.
	dirty bool
	// recordOffset is the offset of the record with the status of the current seq; 0 before it is
	// recorded.
	recordOffset platform.Offset
	// releases has the leases to release once the status is recorded, by worker id.
	releases map[string][]platform.LeaseID
}

// blocksPlacement reports whether no job of this name may be placed before the status is recorded,
// because the status ends the job. The job itself is then no longer queued, so the result matters only
// for a later job of the same name.
func (p *pendingJob) blocksPlacement() bool { return p.status.Phase.Terminal() }

// hasReleasesOf reports whether leases of an attempt are to be released once the status is recorded.
func (p *pendingJob) hasReleasesOf(number uint64) bool {
	for _, ids := range p.releases {
		for _, id := range ids {
			if id.Attempt == number {
				return true
			}
		}
	}
	return false
}

// setStatus changes a job's status in memory and queues it for the log. releases has the leases, by
// worker id, to release once the status is recorded. setStatus returns false and changes nothing if
// too many statuses wait for the log; the caller then tries again later.
func (z *zone) setStatus(now time.Time, job *resource.Job, status resource.JobStatus, releases map[string][]platform.LeaseID) bool {
	p, found := z.pending[job.Name]
	if !found || p.uid != job.UID {
		p = &pendingJob{uid: job.UID, conditions: job.Conditions, releases: make(map[string][]platform.LeaseID)}
	}
	if !p.dirty && z.dirty.TryPush(job.Name) != nil {
		return false
	}
	z.pending[job.Name] = p
	z.lastSeq++
	p.dirty, p.seq, p.recordOffset = true, z.lastSeq, 0
	p.conditions = scheduledCondition(now, p.conditions, status)
	p.status = status
	for worker, ids := range releases {
		p.releases[worker] = append(p.releases[worker], ids...)
	}
	z.changed = true
	return true
}

// scheduledCondition returns a copy of the conditions in which ConditionScheduled matches the status.
func scheduledCondition(now time.Time, conditions []resource.Condition, status resource.JobStatus) []resource.Condition {
	c := resource.Condition{Type: resource.ConditionScheduled, Status: resource.ConditionFalse, Reason: string(status.Phase), Message: status.Reason, Since: now}
	if status.Phase == resource.PhaseRunning {
		c.Status = resource.ConditionTrue
	}
	return withCondition(conditions, c)
}

// withCondition returns a copy of the conditions in which c replaces the condition of its type, or
// is added. Since is not changed if the status stays the same.
func withCondition(conditions []resource.Condition, c resource.Condition) []resource.Condition {
	out := slices.Clone(conditions)
	for i, old := range out {
		if old.Type == c.Type {
			if old.Status == c.Status {
				c.Since = old.Since
			}
			out[i] = c
			return out
		}
	}
	return append(out, c)
}

// writeState is the state of a zone's writes to the log. At most one write is in flight.
type writeState struct {
	inFlight bool
	// update is the update that is in flight or to be repeated; nil if there is none. id is its
	// record id. seqs has the sequence numbers of the job statuses in it, by job name.
	update *state.ZoneUpdate
	id     string
	seqs   map[string]uint64
	// lastAt is the time of the last write. retryAt is the earliest time of the next write after
	// one that failed.
	lastAt  time.Time
	retryAt time.Time
	// lastOffset is the offset of the last recorded update. While the view is older, it does not
	// show all recorded guarantee and health updates.
	lastOffset platform.Offset
}

// nextWrite returns the update to write now and its record id, or nil if there is none. A write
// whose outcome is unknown is repeated with the same id until it gets a verdict.
func (z *zone) nextWrite(now time.Time) (*state.ZoneUpdate, string) {
	w := &z.write
	if w.inFlight || !z.view.LogUp || now.Before(w.retryAt) || now.Sub(w.lastAt) < writeInterval {
		return nil, ""
	}
	if w.update == nil {
		w.update, w.seqs = z.buildUpdate()
		w.id = uuid.NewString()
	}
	if w.update == nil {
		return nil, ""
	}
	w.inFlight, w.lastAt = true, now
	return w.update, w.id
}

// buildUpdate returns an update with the dirty statuses up to about maxWriteBytes and with all
// guarantee and health updates, and the sequence numbers of the statuses by job name. It returns
// nil if there is nothing to write.
func (z *zone) buildUpdate() (*state.ZoneUpdate, map[string]uint64) {
	update := &state.ZoneUpdate{Zone: z.name, Epoch: z.epoch}
	seqs := make(map[string]uint64)
	for size := 0; size < maxWriteBytes; {
		name, found := z.dirty.TryPop()
		if !found {
			break
		}
		p, found := z.pending[name]
		if !found {
			continue
		}
		p.dirty = false
		seqs[name] = p.seq
		size += jobUpdateBytes + workerIDBytes*len(p.status.Workers)
		update.Jobs = append(update.Jobs, state.JobUpdate{Name: name, UID: p.uid, Status: p.status, Conditions: p.conditions})
	}
	for _, name := range slices.Sorted(maps.Keys(z.guaranteeUpdates)) {
		update.Guarantees = append(update.Guarantees, z.guaranteeUpdates[name])
	}
	for _, id := range slices.Sorted(maps.Keys(z.healthUpdates)) {
		update.Workers = append(update.Workers, z.healthUpdates[id])
	}
	if len(update.Jobs)+len(update.Guarantees)+len(update.Workers) == 0 {
		return nil, nil
	}
	return update, seqs
}

// handleWriteResult handles the verdict or the error of the write in flight. It reports whether the
// epoch was rejected.
func (z *zone) handleWriteResult(now time.Time, verdict state.Verdict, err error) (rejected bool) {
	w := &z.write
	w.inFlight = false
	z.changed = true
	switch {
	case errors.Is(err, state.ErrNotApplied):
		w.retryAt = now.Add(writeRetryInterval)
		z.requeue()
	case err != nil:
		w.retryAt = now.Add(writeRetryInterval)
	case verdict.Code == state.Accepted:
		z.markRecorded(verdict.Offset)
	case verdict.Code == state.Conflict:
		z.requeue()
		return true
	default:
		w.retryAt = now.Add(writeRetryInterval)
		z.requeue()
	}
	return false
}

// requeue puts the job statuses of a write without effect back into the queue.
func (z *zone) requeue() {
	for _, name := range slices.Sorted(maps.Keys(z.write.seqs)) {
		if p, found := z.pending[name]; found && !p.dirty && z.dirty.TryPush(name) == nil {
			p.dirty = true
		}
	}
	z.write.update, z.write.seqs = nil, nil
}

// markRecorded handles a write that was recorded at an offset. A status, guarantee update or health
// update that has changed since the write was built stays to be written.
func (z *zone) markRecorded(offset platform.Offset) {
	w := &z.write
	for name, seq := range w.seqs {
		if p, found := z.pending[name]; found && p.seq == seq {
			p.recordOffset = offset
		}
	}
	for _, g := range w.update.Guarantees {
		if slices.Equal(z.guaranteeUpdates[g.Name].Conditions, g.Conditions) {
			delete(z.guaranteeUpdates, g.Name)
		}
	}
	for _, h := range w.update.Workers {
		if z.healthUpdates[h.Worker] == h {
			delete(z.healthUpdates, h.Worker)
		}
	}
	w.lastOffset = offset
	w.update, w.seqs = nil, nil
}

// inWrite reports whether the write in flight, or the one to be repeated, contains a status of the
// job.
func (z *zone) inWrite(name string) bool {
	_, found := z.write.seqs[name]
	return found
}

// dropRecorded removes the pending statuses that the state shows or that are obsolete, and releases
// their leases at the workers.
func (z *zone) dropRecorded() {
	for _, name := range slices.Sorted(maps.Keys(z.pending)) {
		p := z.pending[name]
		job, found := z.view.Jobs[name]
		obsolete := !found && z.view.Offset >= p.recordOffset ||
			found && (job.UID != p.uid || job.Status.Phase.Terminal() || job.Status.Attempt > p.status.Attempt)
		done := p.recordOffset > 0 && z.view.Offset >= p.recordOffset
		if !obsolete && !done {
			continue
		}
		for _, worker := range slices.Sorted(maps.Keys(p.releases)) {
			z.release(worker, p.releases[worker])
		}
		delete(z.pending, name)
	}
}

// markCommitted sets committed for the runs whose attempt the state shows as the job's newest.
func (z *zone) markCommitted() {
	for _, r := range z.runs {
		if job, found := z.view.Jobs[r.job]; found && job.UID == r.key.uid && job.Status.Attempt == r.key.number {
			r.committed = true
		}
	}
}
