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

// Limits of the writes of one zone.
const (
	// writeInterval keeps a zone to 20 appends a second.
	writeInterval = 50 * time.Millisecond
	// writeRetryInterval is the pause after a write without a verdict.
	writeRetryInterval = 500 * time.Millisecond
	// maxWriteBytes bounds one record, with a reserve below platform.MaxEntryBytes.
	maxWriteBytes = 128 << 10
	// jobUpdateBytes and workerIDBytes estimate the size of an update.
	jobUpdateBytes = 600
	workerIDBytes  = 40
)

// pendingJob is a status that is not yet in the log.
type pendingJob struct {
	uid        string
	status     resource.JobStatus
	conditions []resource.Condition
	// seq changes with each new status.
	seq uint64
	// dirty is set while the job's name is in the ring of dirty names.
	dirty bool
	// recordOffset is the offset of the record with the current seq, 0 while there is none.
	recordOffset platform.Offset
	// releases has the leases to release once the status is recorded, by worker.
	releases map[string][]platform.LeaseID
}

// blocksPlacement reports whether the job must not be placed before its status is recorded.
func (p *pendingJob) blocksPlacement() bool { return p.status.Phase.Terminal() }

// hasReleasesOf reports whether leases of an attempt wait for the record.
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

// setStatus changes a job's status in memory and queues it for the log. It reports false if
// too many results wait for the log; the caller then tries again later.
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

// scheduledCondition returns the conditions with ConditionScheduled as the status implies.
func scheduledCondition(now time.Time, conditions []resource.Condition, status resource.JobStatus) []resource.Condition {
	c := resource.Condition{Type: resource.ConditionScheduled, Status: resource.ConditionFalse, Reason: string(status.Phase), Message: status.Reason, Since: now}
	if status.Phase == resource.PhaseRunning {
		c.Status = resource.ConditionTrue
	}
	return withCondition(conditions, c)
}

// withCondition replaces the condition of the same type in a copy. Since is kept while the
// status stays the same.
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

// writeState is the one write that may be open.
type writeState struct {
	inFlight bool
	update   *state.ZoneUpdate
	id       string
	seqs     map[string]uint64
	lastAt   time.Time
	retryAt  time.Time
	// lastOffset is the offset of the last recorded guarantee and worker updates.
	lastOffset platform.Offset
}

// nextWrite returns the update to write now. A write whose outcome is unknown is repeated
// with the same id until it has a verdict.
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

// handleWriteResult takes the verdict of the open write. It reports whether the epoch was refused.
func (z *zone) handleWriteResult(now time.Time, verdict state.Verdict, err error) (refused bool) {
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

// requeue takes the content of a write without effect back into the queue.
func (z *zone) requeue() {
	for _, name := range slices.Sorted(maps.Keys(z.write.seqs)) {
		if p, found := z.pending[name]; found && !p.dirty && z.dirty.TryPush(name) == nil {
			p.dirty = true
		}
	}
	z.write.update, z.write.seqs = nil, nil
}

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

// inWrite reports whether a write without a verdict has a status of the job.
func (z *zone) inWrite(name string) bool {
	_, found := z.write.seqs[name]
	return found
}

// dropRecorded drops results that the state has, and releases their leases at the workers.
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

// markCommitted marks the runs whose attempt the state shows as the job's newest.
func (z *zone) markCommitted() {
	for _, r := range z.runs {
		if job, found := z.view.Jobs[r.job]; found && job.UID == r.key.uid && job.Status.Attempt == r.key.number {
			r.committed = true
		}
	}
}
