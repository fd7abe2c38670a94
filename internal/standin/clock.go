// Package standin has the platform's stand-ins: the log, the list of instances, the workers
// and a target. The core types implement the interfaces of package platform in process; Start
// serves them over HTTP on loopback. Faults can be set while they run.
package standin

import "time"

// Clock tells the time and waits. Under testing/synctest the system clock is already virtual.
type Clock interface {
	Now() time.Time
	// After returns a channel that delivers the time once d has passed.
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
