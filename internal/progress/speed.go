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

// PartOf returns a percentage of a duration. Estimates are set by callers and may be as long as 30 years, so the percentage
// must not be multiplied first.
func PartOf(d time.Duration, percent int64) time.Duration {
	return d/Complete*time.Duration(percent) + d%Complete*time.Duration(percent)/Complete
}

// Sample is the progress of a run between two reports, by the clock of its worker.
type Sample struct {
	// Expected is the time that this progress takes according to the estimate, Elapsed the time that it took.
	Expected, Elapsed time.Duration
}

// Clocked is the progress of a run by the clock of its worker. Reports may be handled long after they were made, so the
// time at which they are handled does not tell how fast a run is.
type Clocked struct {
	begun bool
	// firstMS and firstPercent are those of the first report that counts, sampledMS and sampledPercent those of the last
	// sample, lastMS and percent those of the last report. Times are in milliseconds of the worker's clock.
	firstMS, sampledMS, lastMS            int64
	firstPercent, sampledPercent, percent int64
	// workingMS and workingPercent are those of the last report before the run was complete.
	workingMS, workingPercent int64
}

// Report records the percentage that a worker reported at the given time of its clock. Working means that the run
// works: a member of a gang waits for the others before its first progress.
func (c *Clocked) Report(clockMS, percent int64, working bool) {
	if !c.begun {
		if !working {
			return
		}
		*c = Clocked{begun: true, firstMS: clockMS, sampledMS: clockMS, firstPercent: percent, sampledPercent: percent}
	}
	c.lastMS, c.percent = clockMS, percent
	if percent < Complete {
		c.workingMS, c.workingPercent = clockMS, percent
	}
}

// Begun reports whether a report has counted.
func (c *Clocked) Begun() bool { return c.begun }

// Sample returns the progress since the last sample, and false if there is none yet or the run is complete. The estimate
// is the expected duration of the whole run.
func (c *Clocked) Sample(estimate time.Duration) (Sample, bool) {
	elapsed := time.Duration(c.lastMS-c.sampledMS) * time.Millisecond
	if !c.begun || c.percent >= Complete || estimate <= 0 || elapsed <= 0 || elapsed < estimate*minSamplePercent/Complete {
		return Sample{}, false
	}
	s := Sample{Expected: PartOf(estimate, c.percent-c.sampledPercent), Elapsed: elapsed}
	c.sampledMS, c.sampledPercent = c.lastMS, c.percent
	return s, true
}

// Minimum progress of a run for a pace: reports are in whole percents.
const (
	minPacePercent = 8
	minPaceTime    = 400 * time.Millisecond
)

// Pace returns how long the whole run takes at its speed from its first to its last report, and false if they do not
// suffice. A report of a complete run does not count: the run may have been complete for a while.
func (c *Clocked) Pace() (time.Duration, bool) {
	gained := c.workingPercent - c.firstPercent
	elapsed := time.Duration(c.workingMS-c.firstMS) * time.Millisecond
	if !c.begun || gained < minPacePercent || elapsed < minPaceTime {
		return 0, false
	}
	return elapsed * Complete / time.Duration(gained), true
}

// LostTime returns how much longer the run has taken since its first report than its progress takes according to the
// estimate.
func (c *Clocked) LostTime(estimate time.Duration) time.Duration {
	elapsed := time.Duration(c.lastMS-c.firstMS) * time.Millisecond
	return max(0, elapsed-PartOf(estimate, c.percent-c.firstPercent))
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
