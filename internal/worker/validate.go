package worker

import (
	"errors"
	"fmt"
	"net/netip"
	"time"
)

// Limits of the values in a registry entry. Other programs may write to the registry, so an entry may hold any
// value of the right type.
const (
	// maxCapacity is the highest capacity of one kind. Sums over all workers of a registry stay far below the
	// largest integer, and so do the keys by which the planner compares workers.
	maxCapacity = 1 << 30
	// maxClock is the highest reading of a worker's monotonic clock, which starts near 0 with the worker.
	maxClock = 50 * 365 * 24 * time.Hour
	// maxRemainingTime is the longest time until a draining worker shuts down.
	maxRemainingTime = 24 * time.Hour
	// maxStartTimeMS is the latest start time, in Unix milliseconds: the year 3000.
	maxStartTimeMS = 32_503_680_000_000
)

// ErrInvalidInfo means that a registry entry has a value out of range.
var ErrInvalidInfo = errors.New("worker: invalid registry entry")

// Validate reports whether the entry can be a worker's: every number is within its range and the address is an
// IP address with a port. It returns an error that wraps ErrInvalidInfo and names the value.
func (i *Info) Validate() error {
	address, err := netip.ParseAddrPort(i.Address)
	if err != nil || address.Port() == 0 {
		return fmt.Errorf("%w: address %.60q", ErrInvalidInfo, i.Address)
	}
	for _, v := range []struct {
		name       string
		value, max int64
	}{
		{"processor capacity", i.CPU, maxCapacity},
		{"memory capacity", i.MemoryMB, maxCapacity},
		{"number of accelerators", i.GPU, maxCapacity},
		{"start time", i.StartedAtMS, maxStartTimeMS},
		{"clock", i.ClockMS, maxClock.Milliseconds()},
		{"remaining time", int64(i.RemainingTime), int64(maxRemainingTime)},
	} {
		if v.value < 0 || v.value > v.max {
			return fmt.Errorf("%w: %s %d", ErrInvalidInfo, v.name, v.value)
		}
	}
	return nil
}
