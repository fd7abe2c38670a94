// Package boottime reads a monotonic clock that includes the time during which the machine is
// suspended.
//
// Go's monotonic clock stops during a suspension. A lease timed on it would last longer on a machine that
// was suspended than on the other machines.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock: the time since the machine booted, or a simulated time.
type Instant time.Duration

// readClock reads the clock in use; Simulate replaces it.
var readClock = readBoottime

// Now returns the current reading of the clock.
func Now() Instant { return readClock() }

// Simulate makes the clock follow the time of package time, which testing/synctest controls, and returns a
// function that restores the real clock. Neither function may be called while other goroutines read the
// clock.
func Simulate() (restore func()) {
	base := time.Now()
	// The hour makes sure that no reading is 0, which callers use for an unset Instant.
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

// Sleep waits for d, or until ctx is done. It uses a timer of package time, so the time during which the
// machine is suspended does not count.
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
