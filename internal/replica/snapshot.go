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
	// snapshotRecords is how many records are applied before the next snapshot.
	snapshotRecords = 5000
	// snapshotCheckPeriod is how often the trigger is looked at.
	snapshotCheckPeriod = time.Second
	// snapshotTimeout bounds the writing of one snapshot. It is also the pause before the next
	// attempt after a failed one.
	snapshotTimeout = 30 * time.Second
	// rankSteps divides the quarter of the retention time after the due time, so that other
	// instances write one after another if the first writer does not.
	rankSteps = 8
)

// SnapshotTrigger is what decides whether a snapshot is due.
type SnapshotTrigger struct {
	Now time.Time
	// Since is when the oldest record was written that a fresh instance would need now: the
	// first part of the newest snapshot, or the first record if there is no snapshot.
	Since time.Time
	// Records is how many records were applied since the newest snapshot.
	Records uint64
	// Retention is how long the log keeps a record; 0 if not known yet.
	Retention time.Duration
	// Rank is 0 for the leader of the first zone; the others follow in turn.
	Rank int
}

// Due reports whether to write a snapshot now and why. The first writer writes at half of the
// retention time; the others wait up to three quarters, for the case that it does not.
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

// snapshotTrigger returns the trigger's input, or false while no snapshot can be written.
func (r *Replica) snapshotTrigger() (SnapshotTrigger, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if !r.isReadyLocked() || r.state.Applied == 0 || r.logHealth.isFailing() {
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

// snapshotRank returns 0 for the leader of the first zone by name, and otherwise one more than
// the position among the live members. The lock is held.
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

// writeSnapshot appends a snapshot of the current state to the log.
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

// appendPart appends one part until the log has it. A part that is there twice does no harm.
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

// waitApplied waits until this replica has seen the snapshot in the log, so that the trigger
// does not fire again for it.
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
			return eris.Wrap(ctx.Err(), "the snapshot was not seen in the log")
		}
	}
}
