package planner

import (
	"math"
	"time"
)

// Rules of how work waits, which the caller of Decide applies when it describes units and runs.
const (
	// CoresPerGPU is the number of cores that one accelerator counts as in an amount of work.
	CoresPerGPU = 8
	// RackWait is how long tasks wait for their preferred rack (Unit.WaitsForRack) before they are placed elsewhere,
	// where they are slower.
	RackWait = 4 * time.Second
	// MaxHeldBack is how long a job without runs waits although the free resources suffice for it twice over, because
	// they are kept for other jobs or are in other racks than it prefers (Unit.IgnoresHolds). With planning and
	// the start of its tasks, such a job begins within 3 s.
	MaxHeldBack = 2 * time.Second
	// overdueFactor makes a job overdue: a job that takes more than overdueFactor times its objective has no value to
	// its submitter any more.
	overdueFactor = 3
	// headroomHalfLife is the time in which the headroom for the queues of priority 0 halves after their load has
	// dropped. It is long enough to keep headroom between two jobs, and short enough to release it soon after a
	// burst.
	headroomHalfLife = 3 * time.Second
)

// WorkPerSecond returns the work that a task with the given request does per second, in weighted core-seconds.
func (r Resources) WorkPerSecond() float64 { return float64(r.CPU)/1000 + CoresPerGPU*float64(r.GPU) }

// TimelinessOf returns whether a job of the given age, whose remaining steps take the given time, can meet its time
// objective.
func TimelinessOf(age, remaining, objective time.Duration) Timeliness {
	switch finish := age + remaining; {
	case finish <= objective:
		return OnTime
	case finish <= overdueFactor*objective:
		return Late
	default:
		return Overdue
	}
}

// MinSpeed returns the lowest speed at which a job of the given age, whose remaining steps take the given time on the typical
// worker, meets its objective. If even the fastest workers cannot meet it, the job is late, and the result is the
// lowest speed at which it is not overdue. It is never 0.
func MinSpeed(age, remaining, objective time.Duration, fastest float64) float64 {
	const least = 0.01
	for _, limit := range []time.Duration{objective, overdueFactor * objective} {
		if left := limit - age; left > 0 && remaining.Seconds() <= fastest*left.Seconds() {
			return max(least, remaining.Seconds()/left.Seconds())
		}
	}
	return least
}

// LostWork returns Run.LostWork of a group of runs with the given request that has worked for the given time.
func LostWork(need Resources, members int, worked time.Duration, checkpointed bool) float64 {
	if checkpointed {
		return 0
	}
	return need.WorkPerSecond() * float64(members) * worked.Seconds()
}

// HeadroomTracker computes Snapshot.Headroom: the recent peak usage of the queues of priority 0 minus their current usage.
// Without headroom, other work would be preempted for the next job of these queues. The zero value is ready to use.
type HeadroomTracker struct {
	peaks     map[string]float64
	updatedAt time.Duration
}

// Update returns the headroom by service. used is the number of accelerators that the queues of priority 0 use, by
// service; now is a time of any one clock.
func (h *HeadroomTracker) Update(now time.Duration, used map[string]float64) map[string]int64 {
	if h.peaks == nil {
		h.peaks = make(map[string]float64)
	}
	decay := math.Exp2(-(now - h.updatedAt).Seconds() / headroomHalfLife.Seconds())
	h.updatedAt = now
	for service := range h.peaks {
		h.peaks[service] *= decay
	}
	for service, n := range used {
		h.peaks[service] = max(h.peaks[service], n)
	}
	headroom := make(map[string]int64)
	for service, peak := range h.peaks {
		headroom[service] = int64(peak - used[service])
	}
	return headroom
}

// GuaranteeClaim is a job of priority 0 that its organisation's guarantee may cover.
type GuaranteeClaim struct {
	Org string
	// GPU is the number of accelerators of the largest unfinished step.
	GPU int64
}

// Covered returns which of the claims, in the order in which the jobs were accepted, the guarantees cover. guarantees is
// the number of accelerators of each organisation.
func Covered(claims []GuaranteeClaim, guarantees map[string]int64) []bool {
	unused := make(map[string]int64, len(guarantees))
	for org, n := range guarantees {
		unused[org] = n
	}
	covered := make([]bool, len(claims))
	for i, c := range claims {
		if c.GPU > 0 && c.GPU <= unused[c.Org] {
			unused[c.Org] -= c.GPU
			covered[i] = true
		}
	}
	return covered
}
