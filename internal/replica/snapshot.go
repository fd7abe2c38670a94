package replica

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

const (
	// snapshotRecords is the number of records since the newest snapshot after which the instance of
	// rank 0 writes the next one.
	snapshotRecords = 5000
	// snapshotCheckPeriod is the period at which an instance checks whether a snapshot is due.
	snapshotCheckPeriod = time.Second
	// snapshotTimeout limits the writing of one snapshot. It is also the pause after a snapshot that
	// failed.
	snapshotTimeout = 30 * time.Second
	// rankSteps is the number of steps into which the longest delay of the other instances, a quarter
	// of the retention time, is divided. The other instances become due one after another if the
	// first writer does not write.
	rankSteps = 8
)

// SnapshotTrigger contains the inputs that decide whether an instance has to write a snapshot.
type SnapshotTrigger struct {
	Now time.Time
	// Since is the time at which the oldest record that a new instance needs to recover was written:
	// the first part of the newest snapshot, or the first record if there is no snapshot.
	Since time.Time
	// Records is the number of records applied since the newest snapshot.
	Records uint64
	// Retention is how long the log keeps a record; 0 if it is not known yet.
	Retention time.Duration
	// Rank is the position of the instance in the order of writers: 0 for the leader of the first
	// zone by name, and from 1 on for the other instances.
	Rank int
}

// Due returns the reason to write a snapshot and reports whether to write it now. The first writer
// writes when the oldest needed record is half of the retention time old, or after snapshotRecords
// records. In case it does not, the others write later by rank, at up to three quarters of the
// retention time or one and a half times snapshotRecords.
func (t SnapshotTrigger) Due() (string, bool) {
	delay := min(t.Rank, rankSteps)
	if limit := uint64(snapshotRecords + snapshotRecords*delay/(2*rankSteps)); t.Records >= limit {
		return fmt.Sprintf("%d records since the last one", t.Records), true
	}
	if t.Since.IsZero() || t.Retention <= 0 {
		return "", false
	}
	after := t.Retention/2 + t.Retention/4*time.Duration(delay)/rankSteps
	age := t.Now.Sub(t.Since)
	return fmt.Sprintf("the oldest needed record is %s old", age.Round(time.Second)), age >= after
}

// writeSnapshotsWhenDue writes snapshots when they are due until ctx is done.
func (r *Replica) writeSnapshotsWhenDue(ctx context.Context) {
	for {
		sleep(ctx, snapshotCheckPeriod)
		if ctx.Err() != nil {
			return
		}
		trigger, ok := r.snapshotTrigger()
		if !ok {
			continue
		}
		reason, due := trigger.Due()
		if !due {
			continue
		}
		if err := r.writeSnapshot(ctx, reason); err != nil && ctx.Err() == nil {
			r.metrics.snapshotFailures.Inc()
			r.deps.Logger.Warn().Str("event", "snapshot-failed").Err(err).Msg("")
			sleep(ctx, snapshotTimeout)
		}
	}
}

// snapshotTrigger returns the current inputs of the decision, or false while this instance cannot
// write a snapshot.
func (r *Replica) snapshotTrigger() (SnapshotTrigger, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.isReadyLocked() || r.state.Applied == 0 || r.logHealth.isFollowFailing() {
		return SnapshotTrigger{}, false
	}
	last := r.snapshots.recoveryPoint
	return SnapshotTrigger{
		Now:       r.deps.Now(),
		Since:     last.Since,
		Records:   uint64(r.state.Applied - min(last.Offset, r.state.Applied)),
		Retention: r.logHealth.retentionTime(),
		Rank:      r.snapshotRank(),
	}, true
}

// snapshotRank returns the rank of this instance: 0 for the leader of the first zone by name, and
// otherwise one more than its index in the sorted ids of the live instances. Without a membership
// the rank is 0. The caller holds r.mu.
func (r *Replica) snapshotRank() int {
	first := ""
	for zone := range r.state.Zones {
		if first == "" || zone < first {
			first = zone
		}
	}
	if first != "" && r.state.Zones[first].Epoch.Holder == r.deps.ID {
		return 0
	}
	if r.deps.View == nil {
		return 0
	}
	var live []string
	for _, m := range r.deps.View.Members() {
		if m.Status == membership.Alive && m.Info.ID != r.deps.ID {
			live = append(live, m.Info.ID)
		}
	}
	live = append(live, r.deps.ID)
	slices.Sort(live)
	return 1 + slices.Index(live, r.deps.ID)
}

// writeSnapshot appends a snapshot of the current state to the log and waits until it is applied.
func (r *Replica) writeSnapshot(ctx context.Context, reason string) error {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	s, _, err := r.copyState()
	if err != nil {
		return err
	}
	data, err := s.EncodeSnapshot()
	if err != nil {
		return err
	}
	id := uuid.NewString()
	parts := s.SplitSnapshot(id, data)
	for i := range parts {
		if err := r.appendPart(ctx, s.Applied, &parts[i]); err != nil {
			return eris.Wrapf(err, "append part %d of %d", i+1, len(parts))
		}
	}
	r.metrics.snapshots.Inc()
	r.deps.Logger.Info().Str("event", "snapshot-written").Uint64("applied", uint64(s.Applied)).
		Int("bytes", len(data)).Int("parts", len(parts)).Str("reason", reason).Msg("")
	return r.waitApplied(ctx, id)
}

// appendPart appends one part, and repeats the append until it succeeds or ctx is done. A part that
// is in the log twice is harmless.
func (r *Replica) appendPart(ctx context.Context, base platform.Offset, part *state.SnapshotPart) error {
	record := state.Record{
		Version: state.RecordVersion, ID: uuid.NewString(), Base: base, Writer: r.deps.ID,
		Time: r.deps.Now().UTC(), SnapshotPart: part,
	}
	data, err := record.Encode()
	if err != nil {
		return err
	}
	pause := r.newBackoff()
	for {
		_, err := r.appendOnce(ctx, data)
		if err == nil {
			return nil
		}
		sleep(ctx, pause.next())
		if ctx.Err() != nil {
			return err
		}
	}
}

// waitApplied waits until this replica has applied all parts of the snapshot. Before that, the next
// check would find that a snapshot is still due.
func (r *Replica) waitApplied(ctx context.Context, id string) error {
	for {
		r.mu.RLock()
		changed := r.changed
		complete := r.snapshots.lastCompleteID == id
		r.mu.RUnlock()
		if complete {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ctx.Err(), "the snapshot did not appear in the log")
		}
	}
}
