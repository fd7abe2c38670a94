// Package timeline keeps the typed events of one process and merges those of all processes
// into one sequence in which cause comes before effect.
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

// Event is one entry of the time line.
type Event struct {
	At       hlc.Timestamp `json:"at"`
	Instance string        `json:"instance"`
	Type     Type          `json:"type"`
	// Name says what happened, as a short hyphenated word, for example "gang-committed".
	Name string `json:"name"`
	// Job, Request, Zone and Worker name what the event is about; empty if not applicable.
	Job     string `json:"job,omitempty"`
	Request string `json:"request,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Worker  string `json:"worker,omitempty"`
	// Reason says why.
	Reason string `json:"reason,omitempty"`
	// Cause is the instance whose message caused this event; empty if the cause is local.
	Cause string `json:"cause,omitempty"`
}

// Recorder keeps the newest events of one process. It is safe for concurrent use.
type Recorder struct {
	instance string
	clock    *hlc.Clock
	events   *ring.Ring[Event]
}

// NewRecorder returns a recorder that keeps up to capacity events.
func NewRecorder(instance string, clock *hlc.Clock, capacity int) *Recorder {
	return &Recorder{instance: instance, clock: clock, events: ring.New[Event](capacity)}
}

// Clock returns the clock that stamps the events.
func (r *Recorder) Clock() *hlc.Clock { return r.clock }

// Record stamps and keeps an event, dropping the oldest one when full. A nil recorder
// ignores events, which keeps tests of other packages short.
func (r *Recorder) Record(e Event) {
	if r == nil {
		return
	}
	e.At = r.clock.Now()
	e.Instance = r.instance
	r.events.PushEvict(e)
}

// Filter selects events. Zero fields select all.
type Filter struct {
	Job     string
	Request string
	Since   time.Time
}

// Matches reports whether an event is selected.
func (f Filter) Matches(e Event) bool {
	if f.Job != "" && e.Job != f.Job {
		return false
	}
	if f.Request != "" && e.Request != f.Request {
		return false
	}
	return f.Since.IsZero() || !e.At.Time().Before(f.Since)
}

// Events returns the selected events, oldest first.
func (r *Recorder) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	return slices.DeleteFunc(r.events.Snapshot(), func(e Event) bool { return !f.Matches(e) })
}

// Merge orders the events of several processes by their timestamps.
func Merge(lanes ...[]Event) []Event {
	merged := slices.Concat(lanes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		if c := a.At.Compare(b.At); c != 0 {
			return c
		}
		return strings.Compare(a.Instance, b.Instance)
	})
	return merged
}
