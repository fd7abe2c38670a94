package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// overuseTolerance is how far above its declared size a task may measure. Reports are
	// averages of sampled counters and exceed the truth by a few per cent.
	overuseTolerance = 1.10
	// maxReportAge is the age from which a report says nothing about the present.
	maxReportAge = 60 * time.Second
	// throttleAfter is how long reports must show overuse before the task is throttled.
	throttleAfter = 5 * time.Second
	// stopAfter is how long reports measured after the throttle must still show overuse before
	// the task is checkpointed and stopped.
	stopAfter = 15 * time.Second
	// releaseAfter is how long reports must show no overuse before a throttle is lifted. It is
	// longer than throttleAfter so that a task at the limit does not alternate.
	releaseAfter = 30 * time.Second
	// ThrottleSpeed is the speed of a throttled task.
	ThrottleSpeed = 0.5
)

// Size is what a task declares or uses.
type Size struct {
	Cores    float64
	MemoryMB float64
}

// DeclaredSize returns the declared size of one member on a worker. A size that is not
// declared is the worker's share in proportion to the accelerators.
func DeclaredSize(s *resource.JobSpec, w Worker) Size {
	part := 1.0
	if w.Accelerators > 0 {
		part = min(float64(s.AcceleratorsPerMember)/float64(w.Accelerators), 1)
	}
	size := Size{Cores: float64(s.CoresPerMember), MemoryMB: float64(s.MemoryMBPerMember)}
	if size.Cores == 0 {
		size.Cores = part * float64(w.Cores)
	}
	if size.MemoryMB == 0 {
		size.MemoryMB = part * float64(w.MemoryMB)
	}
	return size
}

// OveruseAction says what to do with a task.
type OveruseAction string

// Overuse actions. The zero value is to do nothing.
const (
	OveruseNone     OveruseAction = ""
	OveruseThrottle OveruseAction = "throttle"
	OveruseRelease  OveruseAction = "release"
	// OveruseStop is to checkpoint and then stop the task.
	OveruseStop OveruseAction = "stop"
)

// OveruseState is what is remembered of one task between reports.
type OveruseState struct {
	// ThrottledAt is when the task was throttled, zero if it is not.
	ThrottledAt time.Time
	// Since is when the first of the reports in a row that agree was measured.
	Since time.Time
	// Exceeded is what those reports show.
	Exceeded bool
	// LastMeasured is when the newest report was measured.
	LastMeasured time.Time
}

// Next takes a report that was measured age ago and returns the new state with the action.
// Reports lag, so decisions compare the times of measurement: a report measured before a
// throttle cannot show that the throttle did not help.
func (o OveruseState) Next(now time.Time, declared, used Size, age time.Duration) (OveruseState, OveruseAction) {
	measured := now.Add(-max(age, 0))
	if age > maxReportAge || !measured.After(o.LastMeasured) {
		return o, OveruseNone
	}
	over := used.Cores > declared.Cores*overuseTolerance || used.MemoryMB > declared.MemoryMB*overuseTolerance
	if over != o.Exceeded || o.LastMeasured.IsZero() {
		o.Exceeded, o.Since = over, measured
	}
	o.LastMeasured = measured
	lasted := measured.Sub(o.Since)
	switch {
	case over && o.ThrottledAt.IsZero() && lasted >= throttleAfter:
		// Reports measured before now are ignored from here on.
		o.ThrottledAt, o.Since, o.LastMeasured = now, now, now
		return o, OveruseThrottle
	case over && !o.ThrottledAt.IsZero() && lasted >= stopAfter:
		return o, OveruseStop
	case !over && !o.ThrottledAt.IsZero() && lasted >= releaseAfter:
		return OveruseState{LastMeasured: measured}, OveruseRelease
	default:
		return o, OveruseNone
	}
}
