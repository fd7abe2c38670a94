package planner

import "slices"

const (
	// keptShare is the part of a service's accelerators that each queue but the most urgent one
	// keeps while others press: enough that its jobs still finish, one by one.
	keptShare = 0.1
	// keptLoss weighs the loss of runs within that share when work gives way to a guarantee.
	keptLoss = 4
)

// queueKey names the queues of one priority of a service.
type queueKey struct {
	service  string
	priority int
}

// requests lists the units of a round. Queues that use less than their kept share get ahead of
// others, in a flood of more urgent work, with as many tasks as fit into it.
func (r *round) requests() []request {
	left := r.keptShares()
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
			n = int(min(int64(n), left[key]/u.Need.GPU))
		}
		if u.Priority == 0 || u.Urgency == Overdue || n <= 0 || (u.Gang && n < u.Tasks) {
			all = append(all, q)
			continue
		}
		left[key] -= u.Need.GPU * int64(n)
		lifted, rest := q, q
		lifted.unit.lifted, lifted.unit.Tasks = true, n
		rest.unit.Tasks -= n
		all = append(all, lifted)
		if rest.unit.Tasks > 0 {
			all = append(all, rest)
		}
	}
	return all
}

// keptShares returns what each queue may still use of its kept share, in accelerators, and
// notes the queues that use no more than it.
func (r *round) keptShares() map[queueKey]int64 {
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
	left := make(map[queueKey]int64)
	r.low = make(map[queueKey]bool)
	for i := range r.snapshot.Units {
		key := queueKey{r.snapshot.Units[i].Service, r.snapshot.Units[i].Priority}
		left[key] = int64(keptShare*float64(total[key.service])) - used[key]
	}
	for key := range used {
		r.low[key] = key.priority > 0 && float64(used[key]) <= keptShare*float64(total[key.service])
	}
	return left
}
