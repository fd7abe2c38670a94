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

// Track follows the progress of one run.
type Track struct {
	began    boottime.Instant
	first    int64
	percent  int64
	advanced boottime.Instant
	reported boottime.Instant
}

// Start begins a track: the run had done the given percentage then.
func Start(at boottime.Instant, percent int64) Track {
	return Track{began: at, first: percent, percent: percent, advanced: at, reported: at}
}

// Report takes a report.
func (t *Track) Report(at boottime.Instant, percent int64) {
	t.reported = at
	if percent > t.percent {
		t.percent, t.advanced = percent, at
	}
}

// Percent is the newest percentage.
func (t *Track) Percent() int64 { return t.percent }

// Worked is the time that the run has spent on its progress so far.
func (t *Track) Worked() time.Duration { return t.advanced.Sub(t.began) }

// Stalled returns the time without progress if it is longer than a run with the given estimate takes
// for the next percent, and 0 otherwise.
func (t *Track) Stalled(estimate time.Duration) time.Duration {
	if t.percent >= Complete {
		return 0
	}
	step := estimateSlack * estimate / Complete
	if gained := t.percent - t.first; gained > 0 {
		step = t.Worked() / time.Duration(gained)
	}
	still := t.reported.Sub(t.advanced)
	if still < max(minStall, stallSteps*step) {
		return 0
	}
	return still
}

// WorthRestarting says whether a run that has stood still for a time should start again elsewhere, where
// it loses the given work. Nobody knows how long it will stand still: waiting as long as the
// loss costs at most twice what the best choice would have.
func WorthRestarting(still, loss time.Duration) bool { return still > 0 && still >= loss }
