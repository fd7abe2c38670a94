package replica

import (
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Limits of the entries kept for peers. A peer that is further behind copies the state.
const (
	maxTailEntries = 2000
	maxTailBytes   = 2 << 20
)

// tail is a bounded list of the newest entries, without gaps.
type tail struct {
	entries []platform.Entry
	bytes   int
}

func (t *tail) add(entry platform.Entry) {
	t.entries = append(t.entries, entry)
	t.bytes += len(entry.Data)
	for len(t.entries) > maxTailEntries || t.bytes > maxTailBytes {
		t.bytes -= len(t.entries[0].Data)
		t.entries[0] = platform.Entry{}
		t.entries = t.entries[1:]
	}
}

func (t *tail) reset() { *t = tail{} }

// since returns up to limit entries from offset from on. It returns false if the first of them
// is no longer kept.
func (t *tail) since(from platform.Offset, limit int) ([]platform.Entry, bool) {
	if len(t.entries) == 0 || from < t.entries[0].Offset {
		return nil, false
	}
	skip := int(min(from-t.entries[0].Offset, platform.Offset(len(t.entries))))
	rest := t.entries[skip:]
	return rest[:min(limit, len(rest))], true
}
