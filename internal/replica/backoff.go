package replica

import (
	"context"
	"time"
)

// The backoff doubles from minBackoff to maxBackoff, and the upper half of each pause is random.
// The maximum is short enough that a change is in force within 2 s after the log responds again.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// backoff computes the pauses between repeated calls of the log.
type backoff struct {
	replica *Replica
	current time.Duration
}

func (r *Replica) newBackoff() *backoff { return &backoff{replica: r, current: minBackoff} }

// next returns the next pause and doubles the one after it up to maxBackoff.
func (b *backoff) next() time.Duration {
	pause := b.current/2 + b.replica.randDuration(b.current/2)
	b.current = min(2*b.current, maxBackoff)
	return pause
}

func (b *backoff) reset() { b.current = minBackoff }

// randDuration returns a random duration in [0, limit).
func (r *Replica) randDuration(limit time.Duration) time.Duration {
	r.randMu.Lock()
	defer r.randMu.Unlock()
	return time.Duration(r.rand.Int64N(int64(limit)))
}

// sleep waits for d or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
