package replica

import (
	"errors"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// applyEntries applies the entries that are not applied yet. The log and a peer may both deliver the
// same entries. It returns ErrGap if the entry after the applied offset is missing, ErrNewerVersion
// if this version of the program cannot apply a record, and Replica.failure if it is set.
func (r *Replica) applyEntries(entries []platform.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	r.mu.Lock()
	before := r.state.Applied
	policyBefore := r.state.PolicyVersion
	err := r.applyLocked(entries)
	if r.state.Applied == before {
		r.mu.Unlock()
		return err
	}
	close(r.changed)
	r.changed = make(chan struct{})
	applied, policy := r.state.Applied, r.state.PolicyVersion
	r.mu.Unlock()
	r.publishPosition(applied, policyBefore, policy, r.policyWriter.Load())
	return err
}

func (r *Replica) applyLocked(entries []platform.Entry) error {
	if r.failure != nil {
		return r.failure
	}
	for _, entry := range entries {
		if entry.Offset <= r.state.Applied {
			continue
		}
		if entry.Offset != r.state.Applied+1 {
			return eris.Wrapf(ErrGap, "offset %d after %d", entry.Offset, r.state.Applied)
		}
		if err := r.applyEntry(entry); err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) applyEntry(entry platform.Entry) error {
	record, err := state.DecodeRecord(entry.Data)
	switch {
	case errors.Is(err, state.ErrRecordVersion):
		r.failure = eris.Wrapf(ErrNewerVersion, "offset %d: %v; upgrade this instance", entry.Offset, err)
		r.deps.Logger.Error().Str("event", "newer-record").Uint64("offset", uint64(entry.Offset)).Err(err).Msg("")
		return r.failure
	case err != nil:
		r.metrics.entriesSkipped.Inc()
		r.state.Skip(entry.Offset)
		r.deps.Logger.Warn().Str("event", "entry-skipped").Uint64("offset", uint64(entry.Offset)).Err(err).Msg("")
	default:
		verdict := r.state.Apply(entry.Offset, record)
		r.deliver(record.ID, verdict)
		if r.state.PolicyVersion == entry.Offset {
			r.policyWriter.Store(&record.Writer)
		}
		if record.SnapshotPart != nil {
			r.snapshots.addPart(*record.SnapshotPart, record.Time, r.deps.Now())
		} else {
			r.snapshots.addRecord(record.Time, r.deps.Now())
		}
	}
	r.metrics.applied.Inc()
	r.recent.add(entry)
	return nil
}

// install replaces the state with a newer one and reports whether it did. A replica that has not
// recovered installs any state. After that, it ignores a state that is not newer, so that the
// configuration in force never returns to an older version.
func (r *Replica) install(s *state.State, source string) bool {
	r.mu.Lock()
	if r.recovered && s.Applied <= r.state.Applied {
		r.mu.Unlock()
		return false
	}
	policyBefore := r.state.PolicyVersion
	r.state = s
	r.recovered = true
	r.installCount++
	r.recent.reset()
	if errors.Is(r.failure, ErrHistoryLost) {
		r.failure = nil
	}
	r.deliverFromState()
	close(r.changed)
	r.changed = make(chan struct{})
	applied, policy := s.Applied, s.PolicyVersion
	r.mu.Unlock()
	r.deps.Logger.Info().Str("event", "state-installed").Str("source", source).Uint64("applied", uint64(applied)).Msg("")
	r.publishPosition(applied, policyBefore, policy, nil)
	return true
}

// publishPosition publishes the applied offset and the policy version to the other instances, and
// records a new policy version in the timeline. writer is the id of the instance that wrote the
// policy, or nil if the state was installed from a copy.
func (r *Replica) publishPosition(applied, policyBefore, policy platform.Offset, writer *string) {
	if policy != policyBefore {
		event := timeline.Event{
			Type: timeline.TypeConfiguration, Name: "policy-in-force", Reason: fmt.Sprintf("version %d", policy),
		}
		if writer != nil {
			event.Cause = *writer
		}
		r.deps.Events.Record(event)
	}
	if r.deps.View == nil {
		return
	}
	r.deps.View.Publish(func(info *membership.Info) {
		info.Applied = max(info.Applied, applied)
		info.PolicyVersion = max(info.PolicyVersion, policy)
	})
}
