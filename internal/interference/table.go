// Package interference learns which kinds of work slow each other down on one worker, from what the polls of workers show.
// It does no I/O and does not read the clock.
//
// The load that it answers: tasks share caches, memory bandwidth and leftover processor time of a worker, which no
// capacity figure shows. Which kinds of work disturb which others is unknown, differs by image and changes within seconds.
package interference

import "github.com/oleanderbend/oleanderbend/internal/boottime"

// Run is what one poll shows of a run that works on a worker.
type Run struct {
	// ID identifies the run among all runs of a leader. It is above 0.
	ID int64
	// Kind is the kind of work: the image of the step or, without one, its queue.
	Kind string
	// Level is how much slower the run is than expected; 1 is as expected, 0 means that it is not known. For a serving
	// run it is the tail of its response times divided by their target, for any other run its duration divided by that of
	// the same step elsewhere, corrected by the speeds of the workers.
	Level float64
	// Serving means that the run has a target for its response times.
	Serving bool
}

// Pair is a kind of work that is slowed down, and the kind beside it that slows it down.
type Pair struct {
	Victim, Neighbour string
}

// Table holds what is known of the influence of kinds of work on each other. Use NewTable to create it.
type Table struct{}

// NewTable returns a table that knows nothing.
func NewTable() *Table { return &Table{} }

// Observe records the runs that work on a worker at the given time.
func (t *Table) Observe(_ boottime.Instant, _ string, _ []Run) {}

// Conflicts returns the pairs of kinds that are to be kept apart at the given time.
func (t *Table) Conflicts(_ boottime.Instant) map[Pair]bool { return nil }
