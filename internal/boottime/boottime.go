// Package boottime reads a monotonic clock that includes the time during which the machine is
// suspended.
//
// Go's monotonic clock stops during a suspension, which would extend leases between machines.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the machine booted.
type Instant time.Duration

// readClock reads the clock in use; Simulate replaces it.
var readClock = readBoottime

// Now returns the current reading of the clock.
func Now() Instant { return readClock() }

// Simulate makes the clock follow Go's time, which tests can control, and returns a function that
// restores the real clock. Neither may be called while other goroutines read the clock.
func Simulate() (restore func()) {
	base := time.Now()
	readClock = func() Instant { return Instant(time.Since(base) + time.Hour) }
	return func() { readClock = readBoottime }
}

// readBoottime reads CLOCK_BOOTTIME. It panics on an error, which cannot occur on Linux because that
// clock always exists there.
func readBoottime() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Sleep waits for the duration d of Go's clock, or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
