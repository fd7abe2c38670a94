// Package boottime reads a steady clock that goes on while the machine is suspended.
//
// Leases between machines must not be stretched by a suspension, which Go's monotonic clock
// does not count.
package boottime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of the clock, as the time since the machine was started.
type Instant time.Duration

// read is the clock in use.
var read = readBoottime

// Now reads the clock.
func Now() Instant { return read() }

// Simulate makes the clock follow Go's time, which tests control, and returns a function that
// ends this. It must not be used while other goroutines read the clock.
func Simulate() (restore func()) {
	base := time.Now()
	read = func() Instant { return Instant(time.Since(base) + time.Hour) }
	return func() { read = readBoottime }
}

// readBoottime cannot fail on Linux, where CLOCK_BOOTTIME always exists.
func readBoottime() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Add returns the instant that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration { return Now().Sub(i) }

// Sleep waits for a time on Go's clock, or until ctx is done.
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
