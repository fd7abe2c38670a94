// Package ledger keeps the durable state of the system in the platform's log. It defines the
// log as the system uses it, topics that keep the newest record of each key, and offers a
// follower that mirrors a topic and a writer whose appends take effect exactly once.
package ledger

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Record is the newest value of a key. An empty value deletes the key.
type Record struct {
	Key   string
	Value []byte
}

// Entry is a record at its offset in the topic.
type Entry struct {
	Record
	Offset int64
}

// Errors of a log. Implementations wrap them.
var (
	// ErrUnavailable means that the call certainly had no effect.
	ErrUnavailable = errors.New("ledger: log unavailable, no effect")
	// ErrUnknownOutcome means that the call may have had its effect, or may have it later.
	ErrUnknownOutcome = errors.New("ledger: outcome unknown")
	// ErrFenced means that a newer epoch of the producer has written to the topic.
	ErrFenced = errors.New("ledger: fenced by a newer epoch")
	// ErrExpired means that the records asked for are no longer kept.
	ErrExpired = errors.New("ledger: offset expired")
	// ErrRejected means that the log does not accept the call as it is.
	ErrRejected = errors.New("ledger: call rejected")
)

// ConflictError means that a conditional append found the topic at another end.
type ConflictError struct{ End int64 }

func (e *ConflictError) Error() string {
	return fmt.Sprintf("ledger: topic ends at %d", e.End)
}

// SequenceError means that the log expected another sequence number of the producer.
type SequenceError struct{ Expected int64 }

func (e *SequenceError) Error() string {
	return fmt.Sprintf("ledger: expected sequence %d", e.Expected)
}

// AnyEnd makes an append unconditional.
const AnyEnd int64 = -1

// Append describes one append. Its records are added all or none.
type Append struct {
	Topic   string
	Records []Record
	// ExpectedEnd is the end that the topic must have, or AnyEnd.
	ExpectedEnd int64
	// Producer names the writer, for fencing and for repeats; empty for none.
	Producer string
	// Epoch is the producer's epoch. Appends of lower epochs are fenced.
	Epoch int64
	// Sequence is the number of this append within the epoch.
	Sequence int64
}

// AppendResult says where the records of an append are.
type AppendResult struct {
	// Offset is the offset of the first record.
	Offset int64
	// End is the offset that the next record will have.
	End int64
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry
	End     int64
}

// LatestPage is one page of the newest records, in the order of keys.
type LatestPage struct {
	Entries []Entry
	// More says that records with later keys follow.
	More bool
	End  int64
}

// Log is the platform's log, for topics that keep the newest record of each key.
type Log interface {
	// Append adds records. It returns ErrUnavailable, ErrUnknown, ErrFenced, ErrRejected,
	// *ConflictError or *SequenceError.
	Append(ctx context.Context, a Append) (AppendResult, error)
	// Read returns records from an offset on, and waits up to wait for the first. It returns
	// ErrExpired or ErrUnavailable.
	Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error)
	// Latest returns the newest records of the keys after the given one. It returns
	// ErrUnavailable.
	Latest(ctx context.Context, topic, after string) (LatestPage, error)
}

// Storer stores records. It returns ErrUnavailable if they certainly are not stored, and
// ErrUnknown if they may be.
type Storer interface {
	Write(ctx context.Context, records []Record) error
}
