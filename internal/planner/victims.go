package planner

import "slices"

// groupMark is what preemption notes about a group of runs. Marks are apart from the other attributes of groups because
// the innermost loops of a round read those of many groups.
type groupMark struct {
	// attempt is the number of the last preemption plan that has the group.
	attempt int32
	// stopped means that the plan of the round preempts the group.
	stopped bool
}

// victim is a group with a run on a worker that may be preempted.
type victim struct {
	group int32
	// need is what all runs of the group use on the worker.
	need Resources
	// loss is the sum of scaledLoss of the first of these runs and restartCost.
	loss float64
	// elsewhere means that the group also has runs on other workers.
	elsewhere bool
}

// yieldClass is the attributes of a unit on which Run.yieldsTo depends.
type yieldClass struct {
	service             string
	priority            int
	guaranteed, overdue bool
}

// victimIndex is the runs that may be preempted for the units of one yieldClass.
type victimIndex struct {
	// byWorker is the victims on each worker in the order of compareVictims, including groups that were stopped since.
	byWorker [][]victim
	// yields is whether each group has a run that may be preempted.
	yields []bool
	// yielding is what the groups use on each worker that have such a run and are not stopped.
	yielding []Resources
}

// victimsFor returns the index for a unit. It is built once for all units of a yieldClass.
func (r *round) victimsFor(u *Unit) *victimIndex {
	class := yieldClass{u.Service, u.Priority, u.Guaranteed, u.Timeliness == Overdue}
	if x := r.victimIndexes[class]; x != nil {
		return x
	}
	if r.runGroups == nil {
		r.indexGroups()
	}
	x := &victimIndex{
		byWorker: make([][]victim, len(r.snapshot.Workers)), yields: make([]bool, len(r.groups)), yielding: make([]Resources, len(r.snapshot.Workers)),
	}
	shares := r.withinShare[u.Service]
	all := make([]victim, 0, len(r.groups))
	var order []int32
	for i := range r.snapshot.Workers {
		runs := r.snapshot.Workers[i].Runs
		order = order[:0]
		for k := range runs {
			if runs[k].yieldsTo(u, shares.within(runs[k].Priority)) {
				order = append(order, int32(k))
			}
		}
		slices.SortStableFunc(order, func(a, b int32) int { return compareVictims(&runs[a], &runs[b]) })
		first := len(all)
		for _, k := range order {
			g := r.runGroups[i][k]
			if x.yields[g] && slices.ContainsFunc(all[first:], func(v victim) bool { return v.group == g }) {
				continue
			}
			x.yields[g] = true
			need, elsewhere := r.groupNeed(i, k)
			loss := runs[k].scaledLoss(shares.within(runs[k].Priority)) + restartCost
			all = append(all, victim{group: g, need: need, loss: loss, elsewhere: elsewhere})
		}
		x.byWorker[i] = all[first:len(all):len(all)]
	}
	for g, yields := range x.yields {
		if yields && !r.marks[g].stopped {
			for _, s := range r.sharesOf(int32(g)) {
				x.yielding[s.worker] = x.yielding[s.worker].Add(s.need)
			}
		}
	}
	r.victimIndexes[class] = x
	return x
}

// groupNeed returns what all runs of a group use on a worker, given the index of one of these runs, and whether the group
// also has runs on other workers.
func (r *round) groupNeed(worker int, run int32) (need Resources, elsewhere bool) {
	runs, groups := r.snapshot.Workers[worker].Runs, r.runGroups[worker]
	g := groups[run]
	if len(r.sharesOf(g)) == 1 {
		return runs[run].Need, false
	}
	here := 0
	for k := range runs {
		if groups[k] == g {
			need = need.Add(runs[k].Need)
			here++
		}
	}
	return need, here < len(r.sharesOf(g))
}

// stopGroup preempts a group.
func (r *round) stopGroup(g int32) {
	r.idleVersion++
	r.marks[g].stopped = true
	for _, s := range r.sharesOf(g) {
		r.freeAfterStops[s.worker] = r.freeAfterStops[s.worker].Add(s.need)
		for _, x := range r.victimIndexes {
			if x.yields[g] {
				x.yielding[s.worker] = x.yielding[s.worker].Sub(s.need)
			}
		}
	}
}
