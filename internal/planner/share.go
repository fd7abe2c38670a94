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
type priorityShares struct {
	usual  [usualPriorities]bool
	others map[int]bool
}

// usualPriorities is the number of priorities that are kept in arrays. Operators may set any other priority as well; these are
// in maps, which are slower to read for each run.
const usualPriorities = 8

// within reports whether the queues of a priority use no more than their minimum share.
func (s *priorityShares) within(priority int) bool {
	switch {
	case s == nil:
		return false
	case priority >= 0 && priority < usualPriorities:
		return s.usual[priority]
	default:
		return s.others[priority]
	}
}

// splitUnits returns the units of a round, with some split. If the queues of a priority use less
// than their minimum share, as many tasks as fit into the rest of the share become a part of their own,
// which is scheduled ahead of all priorities but 0. Gangs are not split, and tasks without accelerators always
// fit into the share. One task of a unit with IgnoresHolds that is not a gang becomes a part of its own as well.
// The parts are in the order of compareUnits.
func (r *round) splitUnits() []*unitPart {
	remaining := r.remainingShares()
	order := make([]*unitPart, len(r.snapshot.Units))
	for i := range order {
		order[i] = &unitPart{index: i, unit: r.snapshot.Units[i]}
	}
	sortParts(order)
	all := make([]*unitPart, 0, len(order))
	for _, part := range order {
		u := &part.unit
		if u.IgnoresHolds && u.Gang {
			u.WaitsForRack = false
		}
		if u.IgnoresHolds && !u.Gang {
			one := *part
			one.unit.Tasks, one.unit.WaitsForRack = 1, false
			all = append(all, &one)
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
		within := *part
		within.unit.usesMinShare, within.unit.Tasks = true, n
		all = append(all, &within)
		if u.Tasks -= n; u.Tasks > 0 {
			all = append(all, part)
		}
	}
	sortParts(all)
	return all
}

// sortParts sorts by compareUnits.
func sortParts(parts []*unitPart) {
	slices.SortStableFunc(parts, func(a, b *unitPart) int { return compareUnits(&a.unit, &b.unit) })
}

// remainingShares returns, for each priority, how many accelerators of the minimum share its queues do
// not use yet, and records in withinShare the priorities whose queues use no more than that share. The
// result is negative for a priority whose queues use more. Workers that accept no work count towards
// what the queues use, but not towards the total that the share is a part of. Evacuated workers count towards neither:
// their runs finish and then use nothing of what is left.
func (r *round) remainingShares() map[priorityKey]int64 {
	services := make(map[string]*serviceUsage)
	for i := range r.snapshot.Workers {
		w := &r.snapshot.Workers[i]
		if w.Evacuated {
			continue
		}
		usage := services[w.Service]
		if usage == nil {
			usage = &serviceUsage{others: make(map[int]int64)}
			services[w.Service] = usage
		}
		usage.add(w)
	}
	remaining := make(map[priorityKey]int64)
	for i := range r.snapshot.Units {
		key := priorityKey{r.snapshot.Units[i].Service, r.snapshot.Units[i].Priority}
		if usage := services[key.service]; usage != nil {
			remaining[key] = int64(usage.minShare()) - usage.usedBy(key.priority)
		}
	}
	r.withinShare = make(map[string]*priorityShares)
	for service, usage := range services {
		shares := &priorityShares{others: make(map[int]bool, len(usage.others))}
		for priority, used := range usage.usual {
			shares.usual[priority] = priority > 0 && float64(used) <= usage.minShare()
		}
		for priority, used := range usage.others {
			shares.others[priority] = priority > 0 && float64(used) <= usage.minShare()
		}
		r.withinShare[service] = shares
	}
	return remaining
}

// serviceUsage is the accelerators of the workers of a service.
type serviceUsage struct {
	// total is those of the workers that accept work.
	total int64
	// usual and others are those that runs of each priority use; see usualPriorities.
	usual  [usualPriorities]int64
	others map[int]int64
}

func (s *serviceUsage) add(w *Worker) {
	total := w.Free.GPU + w.Releasing.GPU
	for k := range w.Runs {
		priority, gpu := w.Runs[k].Priority, w.Runs[k].Need.GPU
		if priority >= 0 && priority < usualPriorities {
			s.usual[priority] += gpu
		} else {
			s.others[priority] += gpu
		}
		total += gpu
	}
	if w.AcceptsWork {
		s.total += total
	}
}

func (s *serviceUsage) usedBy(priority int) int64 {
	if priority >= 0 && priority < usualPriorities {
		return s.usual[priority]
	}
	return s.others[priority]
}

// minShare returns the accelerators of the minimum share of each priority.
func (s *serviceUsage) minShare() float64 { return minPriorityShare * float64(s.total) }
