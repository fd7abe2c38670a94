package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// overuseTolerance is the factor by which the reported use of a task may exceed its
	// declared size. Reports are averages of sampled counters and exceed the real use by a few
	// per cent.
	overuseTolerance = 1.10
	// maxReportAge is the maximum age of a report; older ones do not describe the current use
	// and are ignored.
	maxReportAge = 60 * time.Second
	// throttleAfter is how long reports must show overuse before the task is throttled.
	throttleAfter = 5 * time.Second
	// stopAfter is how long reports that were measured after the throttle must still show
	// overuse before the task is checkpointed and stopped.
	stopAfter = 15 * time.Second
	// releaseAfter is how long reports must show no overuse before a throttle is lifted. It is
	// longer than throttleAfter so that a task near the limit does not alternate between the
	// two states.
	releaseAfter = 30 * time.Second
	// ThrottleSpeed is the speed of a throttled task, as a fraction of its normal speed.
	ThrottleSpeed = 0.5
)

// Size is the amount of cores and memory that a task declares or uses.
type Size struct {
	Cores    float64
	MemoryMB float64
}

// DeclaredSize returns the declared size of one member on a worker. A dimension that is not
// declared defaults to a share of the worker that is proportional to the member's accelerators.
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

// OveruseAction is the action to take on a task.
type OveruseAction string

// Overuse actions. The zero value means that nothing has to be done.
const (
	OveruseNone     OveruseAction = ""
	OveruseThrottle OveruseAction = "throttle"
	// OveruseRelease means that the throttle is lifted.
	OveruseRelease OveruseAction = "release"
	// OveruseStop means that the task is checkpointed and then stopped. Next returns it again
	// for each later report that still shows overuse.
	OveruseStop OveruseAction = "stop"
)

// OveruseState is the state that is kept for one task between usage reports.
type OveruseState struct {
	// ThrottledAt is when the task was throttled, or zero if it is not throttled.
	ThrottledAt time.Time
	// Since is the measurement time of the first report with the current value of Exceeded, or
	// the time of the throttle if that is later.
	Since time.Time
	// Exceeded reports whether the latest reports show overuse.
	Exceeded bool
	// LastMeasured is the measurement time of the latest report, or the time of the throttle if
	// that is later.
	LastMeasured time.Time
}

// Next applies a report that was measured the given age before now, and returns the new state
// and the action to take. Reports arrive late, so decisions use the time of measurement: a
// report measured before a throttle cannot show that the throttle had no effect.
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
		// Reports measured before the throttle are ignored from here on.
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
