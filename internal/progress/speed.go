package progress

import (
	"math"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// minSamplePercent is the progress that a run is expected to make between two samples of its speed. Reports are
	// in whole percents, so samples of less progress would say little.
	minSamplePercent = 5
	// speedHalfLife is the time in which the weight of a sample halves. Polls come nearly a second apart.
	speedHalfLife = 700 * time.Millisecond
	// minSpeedEvidence is the run time that the samples of a speed must cover.
	minSpeedEvidence = 600 * time.Millisecond
	// minLostTime is the time that a run must have lost by a slow worker before a restart elsewhere is considered. A
	// restart costs a few hundred milliseconds by itself.
	minLostTime = 500 * time.Millisecond
)

// Sample is the progress of a run between two reports.
type Sample struct {
	// Expected is the time that this progress takes according to the estimate, Elapsed the time that it took.
	Expected, Elapsed time.Duration
}

// SampleFromStart makes samples begin at the start of the tracker instead of at the first progress. It is for runs that
// work from their start on, not for members of gangs, which wait for each other.
func (t *Tracker) SampleFromStart() { t.sampledAt, t.sampledPercent = t.startedAt, t.initialPercent }

// Sample returns the progress since the last sample, and false if there is none yet: samples begin when the run has made
// its first progress, and end when it is complete. The estimate is the expected duration of the whole run.
func (t *Tracker) Sample(estimate time.Duration) (Sample, bool) {
	if t.percent >= Complete || estimate <= 0 {
		return Sample{}, false
	}
	if t.sampledAt == 0 {
		if t.percent > 0 {
			t.sampledAt, t.sampledPercent = t.reportedAt, t.percent
		}
		return Sample{}, false
	}
	elapsed := t.reportedAt.Sub(t.sampledAt)
	if elapsed < estimate*minSamplePercent/Complete {
		return Sample{}, false
	}
	s := Sample{Expected: estimate * time.Duration(t.percent-t.sampledPercent) / Complete, Elapsed: elapsed}
	t.sampledAt, t.sampledPercent = t.reportedAt, t.percent
	return s, true
}

// LostTime returns how much longer the run has taken so far than its progress takes according to the estimate, and the
// time of that progress.
func (t *Tracker) LostTime(estimate time.Duration) (lost, done time.Duration) {
	done = estimate * time.Duration(t.percent-t.initialPercent) / Complete
	return max(0, t.reportedAt.Sub(t.startedAt)-done), done
}

// ShouldLeave reports whether a run on a slow worker should be restarted elsewhere: as soon as it has lost as much
// time there as a restart loses. How long the worker stays slow is unknown, so this costs at most twice as
// much time as the best decision in hindsight.
func ShouldLeave(lost, restartLoss time.Duration) bool { return lost >= max(minLostTime, restartLoss) }

// Speed is the recent speed of a worker relative to the estimates of its runs. The zero value has no samples.
type Speed struct {
	expected, elapsed float64
	at                boottime.Instant
}

// Add adds a sample that was reported at the given time.
func (s *Speed) Add(at boottime.Instant, sample Sample) {
	s.decay(at)
	s.expected += sample.Expected.Seconds()
	s.elapsed += sample.Elapsed.Seconds()
}

func (s *Speed) decay(at boottime.Instant) {
	factor := math.Exp2(-at.Sub(s.at).Seconds() / speedHalfLife.Seconds())
	s.expected *= factor
	s.elapsed *= factor
	s.at = at
}

// Value returns the speed at the given time, 1 if runs take as long as estimated, and false if the recent samples do not
// suffice.
func (s *Speed) Value(at boottime.Instant) (float64, bool) {
	if s.elapsed == 0 {
		return 0, false
	}
	s.decay(at)
	return s.expected / s.elapsed, s.elapsed >= minSpeedEvidence.Seconds()
}
