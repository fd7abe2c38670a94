// Package hlc implements a hybrid logical clock. If every message between processes carries a
// timestamp, the timestamps order causes before effects even if the wall clocks differ.
package hlc

import (
	"cmp"
	"sync"
	"time"
)

// Timestamp is a point on a hybrid logical clock.
type Timestamp struct {
	// Wall is the wall time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders timestamps with the same Wall.
	Logical uint32 `json:"logical"`
}

// Compare returns -1 if t is before u, 0 if they are equal and +1 if t is after u.
func (t Timestamp) Compare(u Timestamp) int {
	return cmp.Or(cmp.Compare(t.Wall, u.Wall), cmp.Compare(t.Logical, u.Logical))
}

// Time returns Wall as a time.
func (t Timestamp) Time() time.Time { return time.Unix(0, t.Wall) }

// Clock issues strictly increasing timestamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	now  func() time.Time
	last Timestamp
}

// New returns a clock that reads the wall time from now, or from time.Now if now is nil.
func New(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a timestamp for a local event or for a message to send.
func (c *Clock) Now() Timestamp { return c.Observe(Timestamp{}) }

// Observe advances the clock past a timestamp received from another process and returns a timestamp
// after it.
func (c *Clock) Observe(remote Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.last
	if remote.Compare(latest) > 0 {
		latest = remote
	}
	wall := c.now().UnixNano()
	if wall > latest.Wall {
		c.last = Timestamp{Wall: wall}
	} else {
		c.last = Timestamp{Wall: latest.Wall, Logical: latest.Logical + 1}
	}
	return c.last
}
