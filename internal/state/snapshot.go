package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// SnapshotPartBytes is the most snapshot data in one record. Base64 and the envelope keep
// the entry under platform.MaxEntryBytes.
const SnapshotPartBytes = 128 << 10

// maxSnapshotBytes bounds a decoded snapshot, so that a corrupt one cannot exhaust memory.
const maxSnapshotBytes = 256 << 20

// Errors of snapshots.
var (
	ErrSnapshotFormat     = errors.New("state: malformed snapshot")
	ErrSnapshotIncomplete = errors.New("state: incomplete snapshot")
)

// EncodeSnapshot returns the state as compressed JSON.
func (s *State) EncodeSnapshot() ([]byte, error) {
	var buf bytes.Buffer
	w := gzip.NewWriter(&buf)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	return buf.Bytes(), nil
}

// DecodeSnapshot parses what EncodeSnapshot returned. It returns ErrSnapshotFormat, or
// ErrRecordVersion for a snapshot of a newer version.
func DecodeSnapshot(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	s := &State{}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(s); err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	if s.Format > RecordVersion {
		return nil, eris.Wrapf(ErrRecordVersion, "snapshot of version %d", s.Format)
	}
	if err := s.checkDecoded(); err != nil {
		return nil, err
	}
	s.Format = RecordVersion
	s.init()
	return s, nil
}

// checkDecoded refuses content that would make later records fail.
func (s *State) checkDecoded() error {
	ok := checkObjects(s.Jobs) && checkObjects(s.Guarantees) &&
		checkObjects(s.Organisations) && checkObjects(s.Policies)
	if !ok {
		return eris.Wrap(ErrSnapshotFormat, "a resource is missing or has another name")
	}
	if len(s.Verdicts) != len(s.VerdictOrder) {
		return eris.Wrap(ErrSnapshotFormat, "verdicts and their order differ")
	}
	for _, id := range s.VerdictOrder {
		if _, found := s.Verdicts[id]; !found {
			return eris.Wrap(ErrSnapshotFormat, "verdicts and their order differ")
		}
	}
	return nil
}

func checkObjects[T interface {
	comparable
	resource.Object
}](objects map[string]T) bool {
	var missing T
	for name, object := range objects {
		if object == missing || object.Meta().Name != name {
			return false
		}
	}
	return true
}

// SplitSnapshot cuts an encoded snapshot of the state at s.Applied into parts for the log.
func (s *State) SplitSnapshot(id string, data []byte) []SnapshotPart {
	parts := max(1, (len(data)+SnapshotPartBytes-1)/SnapshotPartBytes)
	digest := xxhash.Sum64(data)
	out := make([]SnapshotPart, 0, parts)
	for i := range parts {
		low := i * SnapshotPartBytes
		high := min(low+SnapshotPartBytes, len(data))
		out = append(out, SnapshotPart{
			Offset: s.Applied, Snapshot: id, Part: i, Parts: parts, Digest: digest, Data: data[low:high],
		})
	}
	return out
}

// JoinSnapshot puts the parts of one snapshot together. It returns ErrSnapshotIncomplete if a
// part is missing or the digest differs.
func JoinSnapshot(parts []SnapshotPart) (*State, error) {
	if len(parts) == 0 || len(parts) != parts[0].Parts {
		return nil, eris.Wrap(ErrSnapshotIncomplete, "parts missing")
	}
	var data []byte
	for i, p := range parts {
		if p.Part != i || p.Snapshot != parts[0].Snapshot {
			return nil, eris.Wrap(ErrSnapshotIncomplete, "parts out of order")
		}
		data = append(data, p.Data...)
	}
	if xxhash.Sum64(data) != parts[0].Digest {
		return nil, eris.Wrap(ErrSnapshotIncomplete, "digest differs")
	}
	s, err := DecodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	if s.Applied != parts[0].Offset {
		return nil, eris.Wrapf(ErrSnapshotFormat, "state at %d in parts at %d", s.Applied, parts[0].Offset)
	}
	return s, nil
}
