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
	minStalledTime = 700 * time.Millisecond
	// stallSteps is how many times the usual time for one percent may pass without one. A worker
	// that is merely slow takes a multiple of it.
	stallFactor = 3
	// estimateSlack multiplies the estimate of a run that has not advanced yet: estimates are
	// often several times too short.
	estimateFactor = 8
)

// Tracker follows the progress of one run.
type Tracker struct {
	startedAt      boottime.Instant
	initialPercent int64
	percent        int64
	advancedAt     boottime.Instant
	reportedAt     boottime.Instant
}

// NewTracker begins a track: the run had done the given percentage then.
func NewTracker(at boottime.Instant, percent int64) Tracker {
	return Tracker{startedAt: at, initialPercent: percent, percent: percent, advancedAt: at, reportedAt: at}
}

// Report takes a report.
func (t *Tracker) Report(at boottime.Instant, percent int64) {
	t.reportedAt = at
	if percent > t.percent {
		t.percent, t.advancedAt = percent, at
	}
}

// Percent is the newest percentage.
func (t *Tracker) Percent() int64 { return t.percent }

// WorkTime is the time that the run has spent on its progress so far.
func (t *Tracker) WorkTime() time.Duration { return t.advancedAt.Sub(t.startedAt) }

// StalledFor returns the time without progress if it is longer than a run with the given estimate takes
// for the next percent, and 0 otherwise.
func (t *Tracker) StalledFor(estimate time.Duration) time.Duration {
	if t.percent >= Complete {
		return 0
	}
	perPercent := estimateFactor * estimate / Complete
	if gained := t.percent - t.initialPercent; gained > 0 {
		perPercent = t.WorkTime() / time.Duration(gained)
	}
	stalled := t.reportedAt.Sub(t.advancedAt)
	if stalled < max(minStalledTime, stallFactor*perPercent) {
		return 0
	}
	return stalled
}

// ShouldRestart says whether a run that has stood still for a time should start again elsewhere, where
// it loses the given work. Nobody knows how long it will stand still: waiting as long as the
// loss costs at most twice what the best choice would have.
func ShouldRestart(stalled, loss time.Duration) bool { return stalled > 0 && stalled >= loss }
