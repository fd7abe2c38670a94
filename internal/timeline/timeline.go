// Package timeline records the events of a process and merges the events of all processes into one
// sequence in which causes precede effects.
package timeline

import (
	"slices"
	"strings"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/ring"
)

// Type classifies an event.
type Type string

// Types of event.
const (
	TypeDecision      Type = "decision"
	TypeLease         Type = "lease"
	TypeLeadership    Type = "leadership"
	TypeConfiguration Type = "configuration"
	TypeRefusal       Type = "refusal"
	TypeRetry         Type = "retry"
	TypeMembership    Type = "membership"
	TypeShutdown      Type = "shutdown"
	TypeFault         Type = "fault"
)

// Event is one entry of the timeline.
type Event struct {
	At       hlc.Timestamp `json:"at"`
	Instance string        `json:"instance"`
	Type     Type          `json:"type"`
	// Name is a short hyphenated identifier of what happened, for example "gang-committed".
	Name string `json:"name"`
	// Job, Request, Zone and Worker identify what the event concerns; empty if not applicable.
	Job     string `json:"job,omitempty"`
	Request string `json:"request,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Reason is why it happened.
	Reason string `json:"reason,omitempty"`
	// Cause is the instance whose message caused this event; empty if the cause is local.
	Cause string `json:"cause,omitempty"`
}

// Recorder stores the newest events of one process. It is safe for concurrent use.
type Recorder struct {
	instance string
	clock    *hlc.Clock
	events   *ring.Ring[Event]
}

// NewRecorder returns a recorder that stores up to capacity events of the given instance, with
// timestamps from clock.
func NewRecorder(instance string, clock *hlc.Clock, capacity int) *Recorder {
	return &Recorder{instance: instance, clock: clock, events: ring.New[Event](capacity)}
}

// Clock returns the clock of the timestamps of the events.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Record stores an event after setting At and Instance. If the recorder is full, it drops the oldest
// event. A nil recorder ignores events, so that tests of other packages need none.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.At = r.clock.Now()
	e.Instance = r.instance
	r.events.PushEvict(e)
}

// Filter selects events that match all of its fields. A zero field matches every event.
type Filter struct {
	Job     string
	Request string
	// Since excludes events with an earlier wall time.
	Since time.Time
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	if f.Job != "" && e.Job != f.Job {
		return false
	}
	if f.Request != "" && e.Request != f.Request {
		return false
	}
	return f.Since.IsZero() || !e.At.Time().Before(f.Since)
}

// Events returns the stored events that f selects, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	return slices.DeleteFunc(r.events.Snapshot(), func(e Event) bool { return !f.Matches(e) })
}

// Merge returns the events of several instances, ordered by timestamp and then by instance id.
func Merge(perInstance ...[]Event) []Event {
	merged := slices.Concat(perInstance...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Instance, b.Instance)
	})
	return merged
}
