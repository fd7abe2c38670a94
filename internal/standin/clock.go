// Package standin implements stand-ins for the platform's services: the log, the instance list,
// the workers and the targets. The core types can be used within the process through the
// interfaces of package platform; Start serves them over HTTP on loopback addresses. Faults can
// be set while the stand-ins run.
package standin

import "time"

// Clock is the source of time of a stand-in. A test under testing/synctest doesn't need its own
// Clock, because the system clock is virtual there.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives the time after d has passed.
	After(d time.Duration) <-chan time.Time
}

type systemClock struct{}

func (systemClock) Now() time.Time                         { return time.Now() }
func (systemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

func clockOrSystem(c Clock) Clock {
	if c == nil {
		return systemClock{}
	}
	return c
}
