package state

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
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

// DecodeSnapshot parses what EncodeSnapshot returned.
func DecodeSnapshot(data []byte) (*State, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	s := &State{}
	if err := json.NewDecoder(io.LimitReader(r, maxSnapshotBytes)).Decode(s); err != nil {
		return nil, eris.Wrap(ErrSnapshotFormat, err.Error())
	}
	s.init()
	return s, nil
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
	return DecodeSnapshot(data)
}
