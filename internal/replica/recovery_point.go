package replica

import (
	"errors"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// maxAssemblies bounds the snapshots that are put together at a time. Writers of snapshots
// rarely overlap, and a torn one is never completed.
const maxAssemblies = 4

// assembly tells which parts of one snapshot have been seen.
type assembly struct {
	id     string
	offset platform.Offset
	parts  int
	seen   map[int]bool
	first  time.Time
}

// assembler recognises complete snapshots among the applied records.
type assembler struct {
	open     []*assembly
	progress RecoveryPoint
	// lastID is the id of the snapshot that was completed last.
	lastID string
}

// RecoveryPoint says which records a fresh instance would need now.
type RecoveryPoint struct {
	// Offset is that of the newest complete snapshot in the log, 0 if there is none.
	Offset platform.Offset
	// Since is when the first part of that snapshot was written or, without one, the first
	// record.
	Since time.Time
}

// record notes a record that is not part of a snapshot.
func (a *assembler) record(written, now time.Time) {
	if a.progress.Offset == 0 && a.progress.Since.IsZero() {
		a.progress.Since = earlier(written, now)
	}
}

// earlier limits a writer's time by this instance's, because the writer's clock may be ahead.
func earlier(written, now time.Time) time.Time {
	if written.After(now) {
		return now
	}
	return written
}

// add notes one part.
func (a *assembler) add(p state.SnapshotPart, written, now time.Time) {
	written = earlier(written, now)
	index := slices.IndexFunc(a.open, func(o *assembly) bool { return o.id == p.Snapshot })
	if index < 0 {
		a.open = append(a.open, &assembly{id: p.Snapshot, offset: p.Offset, parts: p.Parts, seen: make(map[int]bool), first: written})
		if len(a.open) > maxAssemblies {
			a.open = a.open[1:]
		}
		index = len(a.open) - 1
	}
	o := a.open[index]
	if p.Part >= 0 && p.Part < o.parts {
		o.seen[p.Part] = true
	}
	if len(o.seen) < o.parts {
		return
	}
	a.open = slices.Delete(a.open, index, index+1)
	a.lastID = o.id
	if o.offset > a.progress.Offset {
		a.progress = RecoveryPoint{Offset: o.offset, Since: o.first}
	}
}

// collector keeps the parts of the newest snapshots of a scan of the log.
type collector struct {
	open     map[string]map[int]state.SnapshotPart
	complete [][]state.SnapshotPart
	order    []string
}

// addEntry keeps the entry if it is a part of a snapshot. It returns ErrNewerVersion for a
// record of a newer version.
func (c *collector) addEntry(entry platform.Entry) error {
	record, err := state.DecodeRecord(entry.Data)
	if errors.Is(err, state.ErrRecordVersion) {
		return ErrNewerVersion
	}
	if err != nil || record.SnapshotPart == nil {
		return nil
	}
	c.add(*record.SnapshotPart)
	return nil
}

func (c *collector) add(p state.SnapshotPart) {
	if p.Parts < 1 || p.Part < 0 || p.Part >= p.Parts {
		return
	}
	if c.open == nil {
		c.open = make(map[string]map[int]state.SnapshotPart)
	}
	parts, found := c.open[p.Snapshot]
	if !found {
		parts = make(map[int]state.SnapshotPart)
		c.open[p.Snapshot] = parts
		c.order = append(c.order, p.Snapshot)
		if len(c.order) > maxAssemblies {
			delete(c.open, c.order[0])
			c.order = c.order[1:]
		}
	}
	parts[p.Part] = p
	if len(parts) < p.Parts {
		return
	}
	whole := make([]state.SnapshotPart, 0, p.Parts)
	for i := range p.Parts {
		whole = append(whole, parts[i])
	}
	delete(c.open, p.Snapshot)
	c.order = slices.DeleteFunc(c.order, func(id string) bool { return id == p.Snapshot })
	c.complete = append(c.complete, whole)
	// Two are kept, so that a newest one with a wrong digest leaves the one before.
	if len(c.complete) > 2 {
		c.complete = c.complete[1:]
	}
}

// newest returns the state of the newest snapshot that decodes, or nil.
func (c *collector) newest() (*state.State, error) {
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
