package replica

import (
	"errors"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// maxPartialSnapshots is the maximum number of incomplete snapshots that are kept; the oldest ones
// are dropped. Instances rarely write snapshots at the same time, and an incomplete snapshot whose
// writer stopped is never completed.
const maxPartialSnapshots = 4

// partialSnapshot records which parts of a snapshot have been applied.
type partialSnapshot struct {
	id     string
	offset platform.Offset
	parts  int
	seen   map[int]bool
	// firstWritten is when the first applied part was written.
	firstWritten time.Time
}

// snapshotTracker finds complete snapshots among the applied records.
type snapshotTracker struct {
	partial       []*partialSnapshot
	recoveryPoint RecoveryPoint
	// lastCompleteID is the id of the last snapshot of which all parts were applied.
	lastCompleteID string
}

// RecoveryPoint identifies the oldest records in the log that a new instance needs to recover.
type RecoveryPoint struct {
	// Offset is the offset of the last record that the newest complete snapshot in the log includes;
	// 0 if there is no snapshot.
	Offset platform.Offset
	// Since is when the first part of that snapshot was written or, without a snapshot, when the
	// first record was written.
	Since time.Time
}

// addRecord processes the time of an applied record that is not part of a snapshot.
func (a *snapshotTracker) addRecord(written, now time.Time) {
	if a.recoveryPoint.Offset == 0 && a.recoveryPoint.Since.IsZero() {
		a.recoveryPoint.Since = capAt(written, now)
	}
}

// capAt returns the earlier of a writer's time and this instance's, because the clock of the writer
// may be ahead.
func capAt(written, now time.Time) time.Time {
	if written.After(now) {
		return now
	}
	return written
}

// addPart processes an applied part and updates the recovery point when its snapshot is complete.
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

// snapshotCollector collects the parts of the newest snapshots while the log is scanned.
type snapshotCollector struct {
	partial map[string]map[int]state.SnapshotPart
	// complete has the parts of the last complete snapshots, oldest first.
	complete [][]state.SnapshotPart
	// partialIDs has the keys of partial, oldest first.
	partialIDs []string
}

// addEntry keeps an entry that is a part of a snapshot and ignores other entries. It returns
// ErrNewerVersion for a record of a newer version of the program.
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
	// Two complete snapshots are kept: if the newest has a wrong digest, the previous one is used.
	if len(c.complete) > 2 {
		c.complete = c.complete[1:]
	}
}

// newest returns the state of the newest complete snapshot that can be decoded, or nil.
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
