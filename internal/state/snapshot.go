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

// SnapshotPartBytes is the maximum size of the snapshot data in one record. With base64 and the
// other fields of the record, the entry stays below platform.MaxEntryBytes.
const SnapshotPartBytes = 128 << 10

// maxSnapshotBytes is the maximum size of a decompressed snapshot. It prevents a corrupt snapshot
// from exhausting the memory.
const maxSnapshotBytes = 256 << 20

// Errors that EncodeSnapshot, DecodeSnapshot and JoinSnapshot return.
var (
	ErrSnapshotFormat     = errors.New("state: malformed snapshot")
	ErrSnapshotIncomplete = errors.New("state: incomplete snapshot")
)

// EncodeSnapshot returns the state as gzip-compressed JSON. It returns ErrSnapshotFormat on failure.
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

// DecodeSnapshot parses the output of EncodeSnapshot. It returns ErrRecordVersion for a snapshot
// of a newer version, and ErrSnapshotFormat for a malformed one.
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
	if err := s.validateDecoded(); err != nil {
		return nil, err
	}
	s.Format = RecordVersion
	s.init()
	return s, nil
}

// validateDecoded rejects a state that would make a later record panic. It returns
// ErrSnapshotFormat.
func (s *State) validateDecoded() error {
	ok := namesMatch(s.Jobs) && namesMatch(s.Guarantees) &&
		namesMatch(s.Organisations) && namesMatch(s.Policies)
	if !ok {
		return eris.Wrap(ErrSnapshotFormat, "a resource is null or its name differs from its key")
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

// namesMatch reports whether every object exists and has the name that is its key.
func namesMatch[T interface {
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

// SplitSnapshot splits data, the encoded snapshot of s, into parts of at most SnapshotPartBytes.
// All parts carry the id.
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

// JoinSnapshot decodes the state from the parts of one snapshot, in their order. It returns
// ErrSnapshotIncomplete if a part is missing or out of order or the digest differs, and the
// errors of DecodeSnapshot.
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
		return nil, eris.Wrapf(ErrSnapshotFormat, "state has offset %d, its parts have %d", s.Applied, parts[0].Offset)
	}
	return s, nil
}
