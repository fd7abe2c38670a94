package state

import (
	"context"
	"errors"
	"time"
)

// Errors of writes.
var (
	// ErrNotApplied means that the record certainly has no effect.
	ErrNotApplied = errors.New("state: not applied")
	// ErrUnknownOutcome means that the record may or may not have taken effect.
	ErrUnknownOutcome = errors.New("state: outcome unknown")
)

// Reader gives consistent read access to the state of this process.
type Reader interface {
	// Read calls f with the state. f must not modify the state or keep its maps; it may
	// keep the objects in them.
	Read(f func(*State))
	// Changed returns a channel that is closed when the state next changes.
	Changed() <-chan struct{}
}

// Writer appends records to the log.
type Writer interface {
	// Write appends a record with exactly one payload and waits for its verdict. It sets
	// Version, Writer and Time, and Base and ID if they are zero. It returns ErrNotApplied or
	// ErrUnknownOutcome if there is no verdict; after ErrUnknownOutcome the same record with
	// the same ID may be written again.
	Write(ctx context.Context, r Record) (Verdict, error)
}

// LogTail tells how fresh the state of this process is.
type LogTail interface {
	// LastReadAt returns the time, with its monotonic reading, at which the newest answered read
	// of the log's tail was sent. The state has all records appended before that time. It is
	// zero if the tail was never reached.
	LastReadAt() time.Time
}
