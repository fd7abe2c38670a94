// Package progress tells from a worker's rough reports whether a run advances, and when starting it
// again elsewhere is better than waiting. It is pure.
package progress

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// Complete is the percentage of a run that has done its work.
	Complete = 100
	// minStall is the least time without progress that counts: reports come with looks, nearly a
	// second apart, and two of them in quick succession say nothing.
	minStall = 700 * time.Millisecond
	// stallSteps is how many times the usual time for one percent may pass without one. A worker
	// that is merely slow takes a multiple of it.
	stallSteps = 3
	// estimateSlack multiplies the estimate of a run that has not advanced yet: estimates are
	// often several times too short.
	estimateSlack = 8
)

// Tracker follows the progress of one run.
type Tracker struct {
	began    boottime.Instant
	first    int64
	percent  int64
	advanced boottime.Instant
	reported boottime.Instant
}

// NewTracker begins a track: the run had done the given percentage then.
func NewTracker(at boottime.Instant, percent int64) Tracker {
	return Tracker{began: at, first: percent, percent: percent, advanced: at, reported: at}
}

// Report takes a report.
func (t *Tracker) Report(at boottime.Instant, percent int64) {
	t.reported = at
	if percent > t.percent {
		t.percent, t.advanced = percent, at
	}
}

// Percent is the newest percentage.
func (t *Tracker) Percent() int64 { return t.percent }

// WorkTime is the time that the run has spent on its progress so far.
func (t *Tracker) WorkTime() time.Duration { return t.advanced.Sub(t.began) }

// StalledFor returns the time without progress if it is longer than a run with the given estimate takes
// for the next percent, and 0 otherwise.
func (t *Tracker) StalledFor(estimate time.Duration) time.Duration {
	if t.percent >= Complete {
		return 0
	}
	step := estimateSlack * estimate / Complete
	if gained := t.percent - t.first; gained > 0 {
		step = t.WorkTime() / time.Duration(gained)
	}
	still := t.reported.Sub(t.advanced)
	if still < max(minStall, stallSteps*step) {
		return 0
	}
	return still
}

// ShouldRestart says whether a run that has stood still for a time should start again elsewhere, where
// it loses the given work. Nobody knows how long it will stand still: waiting as long as the
// loss costs at most twice what the best choice would have.
func ShouldRestart(still, loss time.Duration) bool { return still > 0 && still >= loss }
