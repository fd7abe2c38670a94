package planner

import "slices"

const (
	// minPriorityShare is the share of a service's accelerators that the queues of each priority but
	// 0 together get even under overload: enough for their jobs to finish one by one. Only guaranteed
	// units may preempt runs of a priority whose queues use no more than this share.
	minPriorityShare = 0.1
	// minShareLossFactor multiplies the lost work of such runs when the workers are compared on which
	// runs could be preempted for a guaranteed unit. It makes workers with other victims preferable.
	minShareLossFactor = 4
)

// priorityKey identifies the queues of one priority of a service, which have one minimum share together.
type priorityKey struct {
	service  string
	priority int
}

// priorityShares tells which priorities of one service use no more than their minimum share.
type priorityShares []bool

// sharesOf returns the shares of the service of a unit. The result depends only on the service, not on the unit.
func (r *round) sharesOf(u *Unit) priorityShares {
	var shares priorityShares
	for key, within := range r.withinShare {
		if key.service != u.Service || !within {
			continue
		}
		for len(shares) <= key.priority {
			shares = append(shares, false)
		}
		shares[key.priority] = true
	}
	return shares
}

// within reports whether the queues of a priority use no more than their minimum share.
func (s priorityShares) within(priority int) bool { return priority < len(s) && s[priority] }

// splitUnits returns the units of a round, with some split. If the queues of a priority use less
// than their minimum share, as many tasks as fit into the rest of the share become a part of their own,
// which is scheduled ahead of all priorities but 0. Gangs are not split, and tasks without accelerators always
// fit into the share. One task of a unit with IgnoresHolds that is not a gang becomes a part of its own as well.
func (r *round) splitUnits() []unitPart {
	remaining := r.remainingShares()
	var order []unitPart
	for i := range r.snapshot.Units {
		order = append(order, unitPart{index: i, unit: r.snapshot.Units[i]})
	}
	slices.SortStableFunc(order, func(a, b unitPart) int { return compareUnits(&a.unit, &b.unit) })
	var all []unitPart
	for _, part := range order {
		u := &part.unit
		if u.IgnoresHolds && u.Gang {
			u.WaitsForRack = false
		}
		if u.IgnoresHolds && !u.Gang {
			one := part
			one.unit.Tasks, one.unit.WaitsForRack = 1, false
			all = append(all, one)
			u.IgnoresHolds = false
			if u.Tasks--; u.Tasks == 0 {
				continue
			}
		}
		key := priorityKey{u.Service, u.Priority}
		n := u.Tasks
		if u.Need.GPU > 0 {
			n = int(min(int64(n), remaining[key]/u.Need.GPU))
		}
		if u.Priority == 0 || u.Timeliness == Overdue || n <= 0 || (u.Gang && n < u.Tasks) {
			all = append(all, part)
			continue
		}
		remaining[key] -= u.Need.GPU * int64(n)
		within, rest := part, part
		within.unit.usesMinShare, within.unit.Tasks = true, n
		rest.unit.Tasks -= n
		all = append(all, within)
		if rest.unit.Tasks > 0 {
			all = append(all, rest)
		}
	}
	return all
}

// remainingShares returns, for each priority, how many accelerators of the minimum share its queues do
// not use yet, and records in withinShare the priorities whose queues use no more than that share. The
// result is negative for a priority whose queues use more. Workers that accept no work count towards
// what the queues use, but not towards the total that the share is a part of. Evacuated workers count towards neither:
// their runs finish and then use nothing of what is left.
func (r *round) remainingShares() map[priorityKey]int64 {
	total := make(map[string]int64)
	used := make(map[priorityKey]int64)
	for i := range r.snapshot.Workers {
		w := &r.snapshot.Workers[i]
		if w.Evacuated {
			continue
		}
		if w.AcceptsWork {
			total[w.Service] += w.Free.GPU + w.Releasing.GPU
		}
		for _, run := range w.Runs {
			used[priorityKey{w.Service, run.Priority}] += run.Need.GPU
			if w.AcceptsWork {
				total[w.Service] += run.Need.GPU
			}
		}
	}
	remaining := make(map[priorityKey]int64)
	r.withinShare = make(map[priorityKey]bool)
	for i := range r.snapshot.Units {
		key := priorityKey{r.snapshot.Units[i].Service, r.snapshot.Units[i].Priority}
		remaining[key] = int64(minPriorityShare*float64(total[key.service])) - used[key]
	}
	for key := range used {
		r.withinShare[key] = key.priority > 0 && float64(used[key]) <= minPriorityShare*float64(total[key.service])
	}
	return remaining
}
