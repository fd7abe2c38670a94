package state

import (
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// maxHistory is the number of changes that are kept for watchers that resume. It equals
// AppendWindow, the number of offsets for which the verdict of a write is kept.
const maxHistory = AppendWindow

// Change is a change to one resource.
type Change struct {
	Offset  platform.Offset
	Kind    resource.Kind
	Name    string
	Deleted bool
}

// history is a bounded list of the newest changes, in the order of their offsets.
type history struct {
	changes []Change
	// start is the offset after which the list contains every change.
	start platform.Offset
}

func (h *history) add(c Change) {
	h.changes = append(h.changes, c)
	if len(h.changes) <= maxHistory {
		return
	}
	// All changes of an offset are dropped together, because Changes needs the list to be
	// complete after start.
	h.start = h.changes[0].Offset
	for len(h.changes) > 0 && h.changes[0].Offset == h.start {
		h.changes = h.changes[1:]
	}
}

// Changes returns the changes after an offset, oldest first, or false if some of them are no
// longer kept. The caller must not modify the result.
func (s *State) Changes(after platform.Offset) ([]Change, bool) {
	if after < s.history.start {
		return nil, false
	}
	changes := s.history.changes
	low, high := 0, len(changes)
	for low < high {
		middle := (low + high) / 2
		if changes[middle].Offset > after {
			high = middle
		} else {
			low = middle + 1
		}
	}
	return changes[low:], true
}

func (s *State) recordChange(kind resource.Kind, name string, deleted bool) {
	s.history.add(Change{Offset: s.Applied, Kind: kind, Name: name, Deleted: deleted})
}
