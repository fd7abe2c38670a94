package replica

import (
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Limits of the entries that are kept for peers. A peer that is further behind copies the whole
// state instead.
const (
	maxRecentEntries = 2000
	maxRecentBytes   = 2 << 20
)

// recentEntries is a bounded list of the newest applied entries, without gaps in their offsets.
type recentEntries struct {
	entries []platform.Entry
	bytes   int
}

func (t *recentEntries) add(entry platform.Entry) {
	t.entries = append(t.entries, entry)
	t.bytes += len(entry.Data)
	for len(t.entries) > maxRecentEntries || t.bytes > maxRecentBytes {
		t.bytes -= len(t.entries[0].Data)
		t.entries[0] = platform.Entry{}
		t.entries = t.entries[1:]
	}
}

func (t *recentEntries) reset() { *t = recentEntries{} }

// from returns up to limit entries that start at an offset. It returns false if the entry at that
// offset is no longer kept.
func (t *recentEntries) from(offset platform.Offset, limit int) ([]platform.Entry, bool) {
	if len(t.entries) == 0 || offset < t.entries[0].Offset {
		return nil, false
	}
	skip := int(min(offset-t.entries[0].Offset, platform.Offset(len(t.entries))))
	rest := t.entries[skip:]
	return rest[:min(limit, len(rest))], true
}
