package state

import (
	"context"
	"errors"
	"time"
)

// Errors that Writer.Write returns.
var (
	// ErrNotApplied means that the record had no effect and never will.
	ErrNotApplied = errors.New("state: not applied")
	// ErrUnknownOutcome means that the record may or may not have taken effect.
	ErrUnknownOutcome = errors.New("state: outcome unknown")
)

// Reader gives consistent read access to the state of this process.
type Reader interface {
	// Read calls f with the state. f must not modify the state or retain its maps. It may
	// retain the objects in the maps.
	Read(f func(*State))
	// Changed returns a channel that is closed when the state next changes.
	Changed() <-chan struct{}
}

// Writer appends records to the log.
type Writer interface {
	// Write appends a record with exactly one payload and waits for its verdict. It sets
	// Version, Writer and Time, and sets Base and ID if they are zero. Without a verdict it
	// returns ErrNotApplied or ErrUnknownOutcome. After ErrUnknownOutcome the same record may
	// be written again with the same ID.
	Write(ctx context.Context, r Record) (Verdict, error)
}

// LogTail reports how up to date the state of this process is with the end of the log.
type LogTail interface {
	// LastReadAt returns the send time, with its monotonic reading, of the newest read that
	// brought the state to the end of the log. The state has all records appended before that
	// time. It is zero if the state has not reached the end of the log yet.
	LastReadAt() time.Time
}
