// Package progress detects from a worker's coarse progress reports whether a run is stalled or its worker slow, and
// decides when a restart elsewhere is better than waiting. It does no I/O and does not read the
// clock.
package progress

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// Complete is the percentage of a run that has completed its work.
	Complete = 100
	// minStalledTime is the minimum time without progress that counts as a stall. Reports come with
	// polls, nearly a second apart, and two polls in quick succession show no progress even of a
	// healthy run.
	minStalledTime = 700 * time.Millisecond
	// stallFactor is the multiple of the usual time for one percent after which a run without
	// progress counts as stalled. A lower factor would also match workers that are merely slow.
	stallFactor = 3
	// estimateFactor multiplies the estimated duration of a run that has not reported any progress,
	// because estimates are often several times too short.
	estimateFactor = 8
)

// Tracker tracks the progress of one run.
type Tracker struct {
	startedAt      boottime.Instant
	initialPercent int64
	percent        int64
	// advancedAt is when a report last showed progress, reportedAt the time of the last report.
	advancedAt boottime.Instant
	reportedAt boottime.Instant
}

// NewTracker returns a tracker for a run that had completed the given percentage at the given time.
func NewTracker(at boottime.Instant, percent int64) Tracker {
	return Tracker{startedAt: at, initialPercent: percent, percent: percent, advancedAt: at, reportedAt: at}
}

// Report records the percentage that a worker reported at the given time.
func (t *Tracker) Report(at boottime.Instant, percent int64) {
	t.reportedAt = at
	if percent > t.percent {
		t.percent, t.advancedAt = percent, at
	}
}

// Percent returns the highest percentage reported.
func (t *Tracker) Percent() int64 { return t.percent }

// WorkTime returns the time from the start of the tracker to the last progress.
func (t *Tracker) WorkTime() time.Duration { return t.advancedAt.Sub(t.startedAt) }

// StalledFor returns the time without progress if the run is stalled, and 0 otherwise. A run is
// stalled if the next percent takes stallFactor times as long as the average so far, and at least
// minStalledTime. Before the first progress, the usual time for one percent follows from the
// estimate, the expected duration of the whole run, multiplied by estimateFactor.
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

// ShouldRestart reports whether a run that has been stalled for the given time should be restarted
// elsewhere, which loses the given amount of work time. The remaining length of the stall is
// unknown. If the run is restarted after a stall as long as the loss, the total cost is at most
// twice that of the best decision in hindsight.
func ShouldRestart(stalled, loss time.Duration) bool { return stalled > 0 && stalled >= loss }
