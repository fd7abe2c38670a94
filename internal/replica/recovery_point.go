package replica

import (
	"errors"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// maxPartialSnapshots bounds the snapshots that are put together at a time. Writers of snapshots
// rarely overlap, and a torn one is never completed.
const maxPartialSnapshots = 4

// partialSnapshot tells which parts of one snapshot have been seen.
type partialSnapshot struct {
	id           string
	offset       platform.Offset
	parts        int
	seen         map[int]bool
	firstWritten time.Time
}

// snapshotTracker recognises complete snapshots among the applied records.
type snapshotTracker struct {
	partial       []*partialSnapshot
	recoveryPoint RecoveryPoint
	// lastCompleteID is the id of the snapshot that was completed last.
	lastCompleteID string
}

// RecoveryPoint says which records a fresh instance would need now.
type RecoveryPoint struct {
	// Offset is that of the newest complete snapshot in the log, 0 if there is none.
	Offset platform.Offset
	// Since is when the first part of that snapshot was written or, without one, the first
	// record.
	Since time.Time
}

// addRecord notes a addRecord that is not part of a snapshot.
func (a *snapshotTracker) addRecord(written, now time.Time) {
	if a.recoveryPoint.Offset == 0 && a.recoveryPoint.Since.IsZero() {
		a.recoveryPoint.Since = capAt(written, now)
	}
}

// capAt limits a writer's time by this instance's, because the writer's clock may be ahead.
func capAt(written, now time.Time) time.Time {
	if written.After(now) {
		return now
	}
	return written
}

// addPart notes one part.
func (a *snapshotTracker) addPart(p state.SnapshotPart, written, now time.Time) {
	written = capAt(written, now)
	index := slices.IndexFunc(a.partial, func(s *partialSnapshot) bool { return s.id == p.Snapshot })
	if index < 0 {
		a.partial = append(a.partial, &partialSnapshot{id: p.Snapshot, offset: p.Offset, parts: p.Parts, seen: make(map[int]bool), firstWritten: written})
		if len(a.partial) > maxPartialSnapshots {
			a.partial = a.partial[1:]
		}
		index = len(a.partial) - 1
	}
	current := a.partial[index]
	if p.Part >= 0 && p.Part < current.parts {
		current.seen[p.Part] = true
	}
	if len(current.seen) < current.parts {
		return
	}
	a.partial = slices.Delete(a.partial, index, index+1)
	a.lastCompleteID = current.id
	if current.offset > a.recoveryPoint.Offset {
		a.recoveryPoint = RecoveryPoint{Offset: current.offset, Since: current.firstWritten}
	}
}

// snapshotCollector keeps the parts of the newest snapshots of a scan of the log.
type snapshotCollector struct {
	partial    map[string]map[int]state.SnapshotPart
	complete   [][]state.SnapshotPart
	partialIDs []string
}

// addEntry keeps the entry if it is a part of a snapshot. It returns ErrNewerVersion for a
// record of a newer version.
func (c *snapshotCollector) addEntry(entry platform.Entry) error {
	record, err := state.DecodeRecord(entry.Data)
	if errors.Is(err, state.ErrRecordVersion) {
		return ErrNewerVersion
	}
	if err != nil || record.SnapshotPart == nil {
		return nil
	}
	c.addPart(*record.SnapshotPart)
	return nil
}

func (c *snapshotCollector) addPart(p state.SnapshotPart) {
	if p.Parts < 1 || p.Part < 0 || p.Part >= p.Parts {
		return
	}
	if c.partial == nil {
		c.partial = make(map[string]map[int]state.SnapshotPart)
	}
	parts, found := c.partial[p.Snapshot]
	if !found {
		parts = make(map[int]state.SnapshotPart)
		c.partial[p.Snapshot] = parts
		c.partialIDs = append(c.partialIDs, p.Snapshot)
		if len(c.partialIDs) > maxPartialSnapshots {
			delete(c.partial, c.partialIDs[0])
			c.partialIDs = c.partialIDs[1:]
		}
	}
	parts[p.Part] = p
	if len(parts) < p.Parts {
		return
	}
	snapshot := make([]state.SnapshotPart, 0, p.Parts)
	for i := range p.Parts {
		snapshot = append(snapshot, parts[i])
	}
	delete(c.partial, p.Snapshot)
	c.partialIDs = slices.DeleteFunc(c.partialIDs, func(id string) bool { return id == p.Snapshot })
	c.complete = append(c.complete, snapshot)
	// Two are kept, so that a newest one with a wrong digest leaves the one before.
	if len(c.complete) > 2 {
		c.complete = c.complete[1:]
	}
}

// newest returns the state of the newest snapshot that decodes, or nil.
func (c *snapshotCollector) newest() (*state.State, error) {
	var best *state.State
	for _, parts := range c.complete {
		s, err := state.JoinSnapshot(parts)
		if errors.Is(err, state.ErrRecordVersion) {
			return nil, ErrNewerVersion
		}
		if err == nil && (best == nil || s.Applied > best.Applied) {
			best = s
		}
	}
	return best, nil
}
