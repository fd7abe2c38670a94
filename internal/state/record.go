// Package state computes the durable state of the system from the records of the platform's
// log. It is deterministic: all processes that apply the same records have the same state.
package state

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// RecordVersion is the version of the record encoding that this package writes.
const RecordVersion = 1

// MaxIDBytes bounds the id of a record.
const MaxIDBytes = 128

// AppendWindow is the number of offsets after its base within which a record can take effect,
// and the number of offsets for which its id and verdict are kept. Both use the same bound, so
// an append that is repeated within the window is always recognised.
const AppendWindow = 5000

// Errors that DecodeRecord, DecodeSnapshot and Encode return.
var (
	ErrRecordVersion = errors.New("state: unknown record version")
	ErrRecordFormat  = errors.New("state: malformed record")
)

// Record is one entry of the log. Exactly one of the payloads, Put to SnapshotPart, is set.
type Record struct {
	Version int `json:"v"`
	// ID is unique for each logical write; a repeated append carries the same id.
	ID string `json:"id"`
	// Base is the writer's applied offset when it first appended the record.
	Base platform.Offset `json:"base"`
	// Writer is the id of the instance that appended the record.
	Writer string `json:"writer"`
	// Time is the writer's wall-clock time. It is informational and does not order records.
	Time time.Time `json:"time"`

	Put          *Put          `json:"put,omitempty"`
	Delete       *Delete       `json:"delete,omitempty"`
	Claim        *ZoneClaim    `json:"claim,omitempty"`
	Release      *ZoneRelease  `json:"release,omitempty"`
	ZoneUpdate   *ZoneUpdate   `json:"zoneUpdate,omitempty"`
	SnapshotPart *SnapshotPart `json:"snapshotPart,omitempty"`
}

// Put creates a resource or replaces its spec.
type Put struct {
	Kind   resource.Kind   `json:"kind"`
	Object json.RawMessage `json:"object"`
	// IfVersion is the expected resource version; 0 expects that the resource does not exist.
	// Nil accepts any version.
	IfVersion *uint64 `json:"ifVersion,omitempty"`
	// IfGuaranteeRevision is the expected State.GuaranteeRevision of the zone of a guarantee.
	// Of two guarantees that were checked against the same capacity, the second conflicts.
	IfGuaranteeRevision uint64 `json:"ifGuaranteeRevision,omitempty"`
}

// Delete removes a resource. A job that has not ended is cancelled instead.
type Delete struct {
	Kind resource.Kind `json:"kind"`
	Name string        `json:"name"`
	// IfVersion is the expected resource version; nil accepts any version.
	IfVersion *uint64 `json:"ifVersion,omitempty"`
}

// ZoneClaim claims the leadership of a zone.
type ZoneClaim struct {
	Zone  string         `json:"zone"`
	Epoch platform.Epoch `json:"epoch"`
	// Expected is the epoch that the claim replaces. It is unused in a provisional claim, which
	// is accepted if its epoch is newer than the recorded one.
	Expected    platform.Epoch `json:"expected"`
	Provisional bool           `json:"provisional,omitempty"`
}

// ZoneRelease ends the leadership of a zone as part of a graceful shutdown.
type ZoneRelease struct {
	Zone  string         `json:"zone"`
	Epoch platform.Epoch `json:"epoch"`
	// Successor is the instance that should claim the zone next.
	Successor string `json:"successor,omitempty"`
}

// ZoneUpdate contains observed state and is written by the leader of a zone. It takes effect only
// if its epoch is the current one of the zone.
type ZoneUpdate struct {
	Zone       string            `json:"zone"`
	Epoch      platform.Epoch    `json:"epoch"`
	Jobs       []JobUpdate       `json:"jobs,omitempty"`
	Guarantees []GuaranteeUpdate `json:"guarantees,omitempty"`
	Workers    []WorkerHealth    `json:"workers,omitempty"`
}

// JobUpdate replaces the status and conditions of a job of the zone. Another Status.Zone moves
// a queued job to that zone. An update is ignored, although the record is accepted, if the job is
// unknown, has another UID, has ended, belongs to another zone, or may not get Status.Attempt.
type JobUpdate struct {
	Name       string               `json:"name"`
	UID        string               `json:"uid"`
	Status     resource.JobStatus   `json:"status"`
	Conditions []resource.Condition `json:"conditions,omitempty"`
}

// GuaranteeUpdate replaces the conditions of a guarantee of the zone. Another Zone moves the
// guarantee to that zone. An update is ignored, although the record is accepted, if the guarantee is
// unknown, belongs to another zone, or moves and IfGuaranteeRevision is not the current revision.
type GuaranteeUpdate struct {
	Name       string               `json:"name"`
	Zone       string               `json:"zone"`
	Conditions []resource.Condition `json:"conditions,omitempty"`
	// IfGuaranteeRevision is the expected State.GuaranteeRevision of the new zone. It is used
	// only if the guarantee moves.
	IfGuaranteeRevision uint64 `json:"ifGuaranteeRevision,omitempty"`
}

// WorkerHealth records that a worker was quarantined or that its quarantine ended.
type WorkerHealth struct {
	Worker      string    `json:"worker"`
	Quarantined bool      `json:"quarantined"`
	Reason      string    `json:"reason,omitempty"`
	Since       time.Time `json:"since,omitzero"`
}

// SnapshotPart is one part of an encoded snapshot of the state at an offset.
type SnapshotPart struct {
	// Offset is that of the last record that the snapshot contains.
	Offset platform.Offset `json:"offset"`
	// Snapshot is the id that all parts of one snapshot share.
	Snapshot string `json:"snapshot"`
	Part     int    `json:"part"`
	Parts    int    `json:"parts"`
	// Digest is the xxHash64 of the whole encoded snapshot.
	Digest uint64 `json:"digest"`
	Data   []byte `json:"data"`
}

// Encode returns the log entry of the record. It returns ErrRecordFormat if the encoding fails.
func (r Record) Encode() ([]byte, error) {
	data, err := json.Marshal(r)
	if err != nil {
		return nil, eris.Wrap(ErrRecordFormat, err.Error())
	}
	return data, nil
}

// DecodeRecord parses a log entry. It returns ErrRecordFormat for an entry that is not a valid
// record in any version of the program; the caller skips such an entry. It returns
// ErrRecordVersion for a record of a newer version. The caller must not skip that one, because
// newer processes apply it.
func DecodeRecord(data []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		// A newer version may give a field another type, so only the version is decoded here.
		var envelope struct {
			Version int `json:"v"`
		}
		if json.Unmarshal(data, &envelope) == nil && envelope.Version > RecordVersion {
			return Record{}, eris.Wrapf(ErrRecordVersion, "version %d", envelope.Version)
		}
		return Record{}, eris.Wrap(ErrRecordFormat, err.Error())
	}
	if r.Version > RecordVersion {
		return Record{}, eris.Wrapf(ErrRecordVersion, "version %d", r.Version)
	}
	if r.Version < 1 {
		return Record{}, eris.Wrapf(ErrRecordFormat, "version %d", r.Version)
	}
	if r.ID == "" || len(r.ID) > MaxIDBytes || r.payloadCount() != 1 {
		return Record{}, eris.Wrapf(ErrRecordFormat, "id of %d bytes with %d payloads", len(r.ID), r.payloadCount())
	}
	return r, nil
}

func (r Record) payloadCount() int {
	n := 0
	for _, set := range []bool{
		r.Put != nil, r.Delete != nil, r.Claim != nil,
		r.Release != nil, r.ZoneUpdate != nil, r.SnapshotPart != nil,
	} {
		if set {
			n++
		}
	}
	return n
}
