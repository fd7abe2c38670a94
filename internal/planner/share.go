package planner

import "slices"

const (
	// minQueueShare is the share of a service's accelerators that each queue except the most urgent
	// one gets even under overload: enough for its jobs to finish one by one.
	minQueueShare = 0.1
	// minShareLossWeight multiplies the lost work of runs within that share when runs are preempted
	// for a guaranteed unit.
	minShareLossWeight = 4
)

// queueKey identifies the queues of one priority of a service; they share one minimum share.
type queueKey struct {
	service  string
	priority int
}

// splitRequests returns the units of a round as requests. If a queue uses less than its minimum share,
// as many tasks as fit into the rest of the share become a request of their own, which is scheduled
// ahead of more urgent queues.
func (r *round) splitRequests() []request {
	remaining := r.remainingShares()
	var order []request
	for i := range r.snapshot.Units {
		order = append(order, request{index: i, unit: r.snapshot.Units[i]})
	}
	slices.SortStableFunc(order, func(a, b request) int { return compareUnits(&a.unit, &b.unit) })
	var all []request
	for _, q := range order {
		u := &q.unit
		key := queueKey{u.Service, u.Priority}
		n := u.Tasks
		if u.Need.GPU > 0 {
			n = int(min(int64(n), remaining[key]/u.Need.GPU))
		}
		if u.Priority == 0 || u.Timeliness == Overdue || n <= 0 || (u.Gang && n < u.Tasks) {
			all = append(all, q)
			continue
		}
		remaining[key] -= u.Need.GPU * int64(n)
		within, rest := q, q
		within.unit.usesQueueShare, within.unit.Tasks = true, n
		rest.unit.Tasks -= n
		all = append(all, within)
		if rest.unit.Tasks > 0 {
			all = append(all, rest)
		}
	}
	return all
}

// remainingShares returns the accelerators that each queue may still use of its minimum share, and
// records in withinShare the queues that use no more than that share.
func (r *round) remainingShares() map[queueKey]int64 {
	total := make(map[string]int64)
	used := make(map[queueKey]int64)
	for i := range r.snapshot.Workers {
		w := &r.snapshot.Workers[i]
		if w.AcceptsWork {
			total[w.Service] += w.Free.GPU + w.Releasing.GPU
		}
		for _, run := range w.Runs {
			used[queueKey{w.Service, run.Priority}] += run.Need.GPU
			if w.AcceptsWork {
				total[w.Service] += run.Need.GPU
			}
		}
	}
	remaining := make(map[queueKey]int64)
	r.withinShare = make(map[queueKey]bool)
	for i := range r.snapshot.Units {
		key := queueKey{r.snapshot.Units[i].Service, r.snapshot.Units[i].Priority}
		remaining[key] = int64(minQueueShare*float64(total[key.service])) - used[key]
	}
	for key := range used {
		r.withinShare[key] = key.priority > 0 && float64(used[key]) <= minQueueShare*float64(total[key.service])
	}
	return remaining
}
