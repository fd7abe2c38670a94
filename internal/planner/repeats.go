package planner

import "time"

// The load that this file answers: units of priority 1 that stop runs without unsaved work of priority 2 again and again
// during a burst, up to twelve times on one day. Each time the run loses its start.

const (
	// repeatSlots is the number of seconds for which preemptions count. The objectives of the queues allow 1 to 3 s besides
	// a multiple of the work; a run that loses two starts within ten seconds has used that up.
	repeatSlots = 10
	// minRepeats is the number of repeated preemptions within repeatSlots from which on runs are spared. Fewer happen by
	// chance where few runs may be preempted.
	minRepeats = 8
	// minRepeatShare is the share of repeated ones among these preemptions from which on runs are spared: below it most
	// preemptions make room at the cost of one start each, as intended.
	minRepeatShare = 0.25
)

// RepeatTracker determines, for each service, whether runs without unsaved work that were preempted before are spared (see
// Run.Preempted): while preemptions that a less urgent unit than one of priority 0 caused repeatedly throw away the starts
// of such runs. It is begun by repeated preemptions, and ends when such runs are hardly preempted any more: repeated
// preemptions stop as soon as the runs are spared, so they do not show when it may end. The zero value is ready to use.
type RepeatTracker struct{ services map[string]*repeats }

type repeats struct {
	slots  [repeatSlots]repeatSlot
	spares bool
}

// repeatSlot has the preemptions within one second.
type repeatSlot struct {
	second          int64
	stops, repeated int
}

// RepeatChange says that the runs of a service begin or cease to be spared, and why.
type RepeatChange struct {
	Service string
	Spares  bool
	// Stops is the number of preemptions within the last seconds that count, Repeated that of the repeated ones among them.
	Stops, Repeated int
}

// Add records the preemption of a run, or of a gang. lostWork is Run.LostWork, previous the time of the last preemption of the same
// task, negative if there was none. Only preemptions for less urgent units of runs without unsaved work count.
func (t *RepeatTracker) Add(service string, now, previous time.Duration, cause StopCause, lostWork float64) {
	if cause != StopForPriority || lostWork > negligibleLoss {
		return
	}
	if t.services == nil {
		t.services = make(map[string]*repeats)
	}
	r := t.services[service]
	if r == nil {
		r = &repeats{}
		t.services[service] = r
	}
	second := int64(now / time.Second)
	slot := &r.slots[second%repeatSlots]
	if slot.second != second {
		*slot = repeatSlot{second: second}
	}
	slot.stops++
	if previous >= 0 && now-previous <= repeatSlots*time.Second {
		slot.repeated++
	}
}

// Update determines of which services runs are spared from now on, and returns the changes.
func (t *RepeatTracker) Update(now time.Duration) []RepeatChange {
	var changes []RepeatChange
	for service, r := range t.services {
		c := RepeatChange{Service: service}
		for _, slot := range r.slots {
			if int64(now/time.Second)-slot.second < repeatSlots {
				c.Stops += slot.stops
				c.Repeated += slot.repeated
			}
		}
		if r.spares {
			c.Spares = c.Stops >= minRepeats
		} else {
			c.Spares = c.Repeated >= minRepeats && float64(c.Repeated) >= minRepeatShare*float64(c.Stops)
		}
		if c.Spares != r.spares {
			r.spares = c.Spares
			changes = append(changes, c)
		}
		if c.Stops == 0 {
			delete(t.services, service)
		}
	}
	return changes
}

// Spares reports whether runs of a service that were preempted before are spared.
func (t *RepeatTracker) Spares(service string) bool {
	r := t.services[service]
	return r != nil && r.spares
}
