package measure

import (
	"container/heap"
	"slices"
	"time"
)

// jobsMetrics are the metrics of one simulation in BenchmarkPolicyJobs.
type jobsMetrics struct {
	// jctMeanRatio and jctP95Ratio are the mean and the 95th percentile of the job completion
	// time (JCT), each divided by its lower bound.
	jctMeanRatio, jctP95Ratio float64
	// largeGangWaitP95 is in seconds.
	largeGangWaitP95 float64
	fragmentation    float64
	utilisation      float64
	partialGangs     int
	guaranteeMisses  int
	unfinished       int
}

// metrics computes the metrics over the jobs that can run and are not cancelled. Jobs that are
// unfinished at the horizon count as completed then.
//
// The lower bound of the mean completion time is the greater of two bounds. First, no job
// completes in less than its own run time, so the mean run time is a bound. Second, if every
// job could use all accelerators at once, the zone would be a single machine whose speed is the
// zone's capacity. On a single machine, shortest remaining work first gives the smallest mean
// completion time, so that mean is a bound for any policy with the same work. The lower bound
// of the 95th percentile is the 95th percentile of the run times.
func (s *jobsSim) metrics() jobsMetrics {
	var jct, runTime, wait []float64
	var jobs []*simJob
	out := jobsMetrics{partialGangs: s.result.partialGangs, guaranteeMisses: s.result.guaranteeMisses}
	horizon := jobsEpoch.Add(s.workload.horizon)
	for _, j := range s.workload.jobs {
		if j.impossible || j.faulty || !j.cancelAt.IsZero() {
			continue
		}
		end, started := j.finished, j.started
		if end.IsZero() {
			out.unfinished++
			end = horizon
		}
		if started.IsZero() {
			started = horizon
		}
		jobs = append(jobs, j)
		jct = append(jct, end.Sub(j.resource.Created).Seconds())
		runTime = append(runTime, j.runTime.Seconds())
		if s.isLargeGang(j) {
			wait = append(wait, started.Sub(j.resource.Created).Seconds())
		}
	}
	capacity := 0
	for _, w := range s.workload.workers {
		capacity += w.Accelerators
	}
	bound := max(mean(runTime), meanCompletionShortestRemaining(jobs, float64(capacity)))
	out.jctMeanRatio = mean(jct) / bound
	out.jctP95Ratio = jobsPercentile(jct, 0.95) / jobsPercentile(runTime, 0.95)
	out.largeGangWaitP95 = jobsPercentile(wait, 0.95)
	if s.result.windowSeconds > 0 {
		out.fragmentation = s.result.fragmentedSeconds / s.result.windowSeconds
		out.utilisation = s.result.busyAcceleratorSeconds / s.result.windowSeconds / float64(capacity)
	}
	return out
}

// isLargeGang reports whether a job counts as a large gang: it needs at least half the
// accelerators of a rack, or has at least 16 members.
func (s *jobsSim) isLargeGang(j *simJob) bool {
	w := s.workload.workers[0]
	perRack := 0
	for _, other := range s.workload.workers {
		if other.Rack == w.Rack {
			perRack++
		}
	}
	return j.resource.Spec.Accelerators() >= perRack*w.Accelerators/2 || j.resource.Spec.Members >= 16
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// jobsPercentile returns the smallest value v such that at least the fraction p of the values is
// not greater than v. It returns 0 for no values. Adding 0.999999 instead of 1 before the truncation
// rounds up but leaves whole numbers unchanged.
func jobsPercentile(values []float64, p float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	i := int(p*float64(len(sorted)) + 0.999999)
	return sorted[min(max(i-1, 0), len(sorted)-1)]
}

type floatHeap []float64

func (h floatHeap) Len() int           { return len(h) }
func (h floatHeap) Less(i, j int) bool { return h[i] < h[j] }
func (h floatHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *floatHeap) Push(x any)        { *h = append(*h, x.(float64)) }
func (h *floatHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// meanCompletionShortestRemaining returns the mean completion time in seconds under shortest remaining work first on
// one machine with the given speed in accelerators. It computes the sum of the completion times
// as the integral of the number of unfinished jobs over time.
func meanCompletionShortestRemaining(jobs []*simJob, speed float64) float64 {
	byArrival := slices.Clone(jobs)
	slices.SortStableFunc(byArrival, func(a, b *simJob) int { return a.resource.Created.Compare(b.resource.Created) })
	var remaining floatHeap
	now, sum := 0.0, 0.0
	run := func(until float64) {
		for len(remaining) > 0 && now < until {
			d := min(remaining[0]/speed, until-now)
			sum += d * float64(len(remaining))
			now += d
			if remaining[0] -= d * speed; remaining[0] <= 1e-6 {
				heap.Pop(&remaining)
			}
		}
		now = max(now, until)
	}
	for _, j := range byArrival {
		run(j.resource.Created.Sub(jobsEpoch).Seconds())
		heap.Push(&remaining, j.runTime.Seconds()*float64(j.resource.Spec.Accelerators()))
	}
	for len(remaining) > 0 {
		run(now + (24 * time.Hour).Seconds())
	}
	return sum / float64(max(len(jobs), 1))
}
