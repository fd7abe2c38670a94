// Package ledger stores the durable state of the system in the platform's log. It defines the
// interface of the log (compacted topics, which retain the latest record of each key), a follower
// that reads a topic continuously for a local copy of it, and a writer that retries appends without
// storing them twice.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record sets the value of a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record with its offset in the topic.
type Entry struct {
	Record
	Offset int64
}

// Errors returned by a log, possibly wrapped.
var (
	// ErrUnavailable means that the call had no effect and will have none.
	ErrUnavailable = errors.New("ledger: log unavailable, call had no effect")
	// ErrUnknownOutcome means that the call may have taken effect, or may still do so later.
	ErrUnknownOutcome = errors.New("ledger: outcome of the call unknown")
	// ErrFenced means that the producer has already written to the topic with a newer epoch.
	ErrFenced = errors.New("ledger: fenced by a newer epoch")
	// ErrExpired means that the requested offset is older than the records that the log retains.
	ErrExpired = errors.New("ledger: offset expired")
	// ErrRejected means that the call is invalid: the log would reject it again.
	ErrRejected = errors.New("ledger: call rejected")
)

// ConflictError means that a conditional append failed because the topic ends at another offset.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("ledger: append conflict: topic ends at offset %d", e.End)
}

// SequenceError means that the log expected another sequence number from the producer.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("ledger: log expects sequence number %d", e.Expected)
}

// AnyEnd as Append.ExpectedEnd makes an append unconditional.
const AnyEnd int64 = -1

// Append is a request to append records to a topic, either all of them or none.
type Append struct {
	Topic   string
	Records []Record
	// ExpectedEnd is the offset at which the topic must end for the append to succeed, or AnyEnd.
	ExpectedEnd int64
	// Producer identifies the writer, for fencing and for the deduplication of retries. It is
	// empty for appends without either.
	Producer string
	// Epoch is the producer's epoch. Once the log has accepted it, appends of this producer to this
	// topic with lower epochs fail with ErrFenced.
	Epoch int64
	// Sequence numbers the appends of the producer within its epoch. It may start at any number and
	// increases by 1.
	Sequence int64
}

// AppendResult gives the offsets of appended records.
type AppendResult struct {
	// Offset is the offset of the first record.
	Offset int64
	// End is the offset of the next record to be appended.
	End int64
}

// Page is the result of a read.
type Page struct {
	Entries []Entry
	// End is the offset of the next record to be appended to the topic.
	End int64
}

// LatestPage is a page of the latest records of a topic, ordered by key.
type LatestPage struct {
	Entries []Entry
	// More reports whether further pages follow, with later keys.
	More bool
	// End is the offset of the next record to be appended to the topic.
	End int64
}

// Log is the platform's log with its compacted topics, which retain the latest record of each key.
type Log interface {
	// Append appends records. It returns ErrUnavailable, ErrUnknownOutcome, ErrFenced, ErrRejected,
	// *ConflictError or *SequenceError.
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns the records from an offset onwards. If there are none yet, it waits for the first
	// one, at most for the given time. It returns ErrExpired, ErrUnavailable, ErrRejected, or
	// ErrUnknownOutcome if there was no usable response.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Latest returns a page of the latest records of the keys that sort after the given one; the
	// empty key starts at the first one. It returns ErrUnavailable, ErrRejected, or ErrUnknownOutcome if
	// there was no usable response.
	Latest(ctx context.Context, topic, after string) (LatestPage, error)
}

// Storer stores records. Write returns ErrUnavailable if the records are certainly not stored,
// ErrUnknownOutcome if they may be, ErrRejected if the log rejected them, and ErrFenced if the writer
// can no longer append. After ErrRejected or ErrFenced, the records may be stored only if an earlier
// attempt got no response.
type Storer interface {
	Write(ctx context.Context, records []Record) error
}
