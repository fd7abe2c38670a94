package planner

import (
	"cmp"
	"slices"
)

// maxPreemptionAttempts limits the units for which preemption is attempted in one round, whether or not
// it succeeds. Each attempt examines every worker, and the units beyond the limit need not wait long:
// the next round can follow within milliseconds.
const maxPreemptionAttempts = 8

// compareVictims orders runs for preemption: those with the least lost work first, then those of the
// least urgent queue.
func compareVictims(a, b Run) int {
	return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(b.Priority, a.Priority))
}

// maxLossFactor limits the work that is lost when runs are preempted for a unit without a guarantee, as
// a multiple of the work of the unit. More than the unit's own work may be lost because the victims are
// of less urgent queues, but a higher loss would cost other jobs more than the unit gains.
const maxLossFactor = 2

// yieldsTo reports whether a run may be preempted for a unit.
func (r *round) yieldsTo(run *Run, u *Unit) bool {
	switch {
	case run.Protected:
		return false
	case u.Guaranteed:
		return !run.Guaranteed
	case r.withinShare[priorityKey{u.Service, run.Priority}]:
		return false
	case run.Guaranteed || run.Priority <= u.Priority || u.Timeliness == Overdue:
		return false
	case u.Priority == 0:
		return true
	default:
		return run.LostWork <= negligibleLoss
	}
}

// preempt stops runs to make room for all tasks of the unit, and claims the resources. If that is not
// possible or would lose too much work, it stops nothing and returns false.
func (r *round) preempt(index int, u *Unit) bool {
	if r.preemptionAttempts == maxPreemptionAttempts {
		return false
	}
	r.preemptionAttempts++
	best := r.cheapestPreemption(u)
	if best == nil || (!u.Guaranteed && best.loss > maxLossFactor*u.Work+restartCost*float64(len(best.groups))) {
		return false
	}
	for group := range best.groups {
		r.stoppedGroups[group] = true
		r.plan.Stops = append(r.plan.Stops, Stop{Group: group, Unit: index})
	}
	for w, freed := range best.freed {
		r.freeAfterStops[w] = r.freeAfterStops[w].Add(freed)
	}
	r.claim(u, best.places)
	return true
}

// preemptionPlan is a set of groups to stop so that all tasks of a unit have room.
type preemptionPlan struct {
	groups map[int]bool
	// freed is the resources that become free on each worker.
	freed map[int]Resources
	// places is the worker of each task.
	places []int
	// loss is the sum of scaledLoss and restartCost over the groups, in weighted core-seconds.
	loss float64
}

// cheapestPreemption looks for a preemption plan that loses little work. It returns nil if there is
// none. Units with DataRack or RackLocal get a plan within one rack if possible, even if a plan over
// several racks would lose less.
func (r *round) cheapestPreemption(u *Unit) *preemptionPlan {
	if u.DataRack != "" {
		if p := r.planPreemption(u, r.rack(u.DataRack)); p != nil {
			return p
		}
	}
	if !u.RackLocal || u.Tasks == 1 {
		return r.planPreemption(u, r.all())
	}
	var best *preemptionPlan
	for _, workers := range r.racks {
		if p := r.planPreemption(u, workers); p != nil && (best == nil || p.loss < best.loss) {
			best = p
		}
	}
	if best == nil && (u.Guaranteed || !u.WaitsForRack) {
		return r.planPreemption(u, r.all())
	}
	return best
}

// taskLoss is the work that is lost if one more task is placed on a worker.
type taskLoss struct {
	worker int
	// placed is the number of the unit's tasks that the preemption plan already places on the worker.
	placed int
	// groups is the groups that must be stopped for the task.
	groups []int
	// loss is the sum of scaledLoss and restartCost over these groups, in weighted core-seconds.
	loss float64
}

// planPreemption chooses the runs to stop on the given workers. It is greedy: it places one task after
// the other, each on the worker with the lowest loss. It returns nil if there is no room for all tasks.
func (r *round) planPreemption(u *Unit, workers []int) *preemptionPlan {
	p := &preemptionPlan{groups: make(map[int]bool), freed: make(map[int]Resources)}
	losses := make([]taskLoss, 0, len(workers))
	for _, i := range workers {
		if c, ok := r.lossOfTask(u, taskLoss{worker: i}, p); ok {
			losses = append(losses, c)
		}
	}
	for len(p.places) < u.Tasks {
		if len(losses) == 0 {
			return nil
		}
		best := 0
		for i := range losses {
			if losses[i].loss < losses[best].loss {
				best = i
			}
		}
		c := losses[best]
		p.loss += c.loss
		for _, group := range c.groups {
			r.addStoppedGroup(p, group)
		}
		p.places = append(p.places, c.worker)
		next, ok := r.lossOfTask(u, taskLoss{worker: c.worker, placed: c.placed + 1}, p)
		if ok {
			losses[best] = next
		} else {
			losses = slices.Delete(losses, best, best+1)
		}
	}
	return p
}

// lossOfTask computes groups and loss for one more task on the worker of c. It returns false if the
// worker cannot get room for the task.
func (r *round) lossOfTask(u *Unit, c taskLoss, p *preemptionPlan) (taskLoss, bool) {
	if !r.usable(u, c.worker) || c.placed >= u.remainingPerWorker(r.snapshot.Workers[c.worker].ID) {
		return c, false
	}
	free := r.freeAfterStops[c.worker].Add(p.freed[c.worker])
	for range c.placed {
		free = free.Sub(u.Need)
	}
	var ok bool
	c.groups, c.loss, ok = r.chooseVictims(u, c.worker, free, p)
	return c, ok
}

// addStoppedGroup adds a group to the preemption plan, with the resources that it frees on all of its workers.
func (r *round) addStoppedGroup(p *preemptionPlan, group int) {
	if p.groups[group] {
		return
	}
	p.groups[group] = true
	for _, w := range r.groupWorkers[group] {
		for _, run := range r.snapshot.Workers[w].Runs {
			if run.Group == group {
				p.freed[w] = p.freed[w].Add(run.Need)
			}
		}
	}
}

// chooseVictims chooses runs on one worker whose end frees enough resources for one task. It takes the
// first runs that may be preempted; newRound has sorted the runs by compareVictims. It returns false if
// they cannot free enough.
func (r *round) chooseVictims(u *Unit, worker int, free Resources, p *preemptionPlan) (groups []int, loss float64, ok bool) {
	if u.Need.CountFitting(free, 1) == 1 {
		return nil, 0, true
	}
	runs := r.snapshot.Workers[worker].Runs
	for i := range runs {
		run := &runs[i]
		if !r.yieldsTo(run, u) || r.stoppedGroups[run.Group] || p.groups[run.Group] || slices.Contains(groups, run.Group) {
			continue
		}
		groups = append(groups, run.Group)
		loss += r.scaledLoss(run, u) + restartCost
		for _, other := range runs {
			if other.Group == run.Group {
				free = free.Add(other.Need)
			}
		}
		if u.Need.CountFitting(free, 1) == 1 {
			return groups, loss, true
		}
	}
	return nil, 0, false
}

// scaledLoss returns the work that is lost if a run is stopped for a unit, multiplied by
// minShareLossFactor if the queues of the run's priority use no more than their minimum share.
func (r *round) scaledLoss(run *Run, u *Unit) float64 {
	if r.withinShare[priorityKey{u.Service, run.Priority}] {
		return minShareLossFactor * run.LostWork
	}
	return run.LostWork
}

// restartCost is the cost of restarting a preempted group, in weighted core-seconds. It gives plans that
// preempt fewer groups a lower loss even if the work of the runs is saved and stopping them would
// otherwise lose nothing. It does not count towards the limit by maxLossFactor.
const restartCost = 5.0

// claimForBlockedGang sets aside resources for a blocked gang on the workers with the most accelerators
// that are free or being freed, including resources that runs still use. Without such a claim, units
// scheduled later could use every resource that becomes free and the gang would never start. Only a
// gang with RackLocal that waits for a rack claims within one rack; a gang with DataRack alone claims in
// all racks. index is the index of the unit in the snapshot.
func (r *round) claimForBlockedGang(index int, u *Unit) {
	workers := r.all()
	if u.RackLocal && u.WaitsForRack {
		workers = r.roomiestRack(u)
	}
	var candidates []int
	for _, i := range workers {
		if r.usable(u, i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(r.freeAfterStops[b].GPU, r.freeAfterStops[a].GPU) })
	if r.blockedGangClaims == 0 {
		r.firstClaimant = index
	}
	r.blockedGangClaims++
	claimed := 0
	for _, i := range candidates {
		if claimed >= u.Tasks {
			return
		}
		w := &r.snapshot.Workers[i]
		capacity := w.Free.Add(w.Releasing)
		for _, run := range w.Runs {
			capacity = capacity.Add(run.Need)
		}
		n := min(u.Need.CountFitting(capacity, u.remainingPerWorker(w.ID)), u.Tasks-claimed)
		for range n {
			r.freeAfterStops[i] = r.freeAfterStops[i].Sub(u.Need)
			r.gangClaims[i] = r.gangClaims[i].Add(u.Need)
		}
		r.free[i] = minResources(r.free[i], r.freeAfterStops[i])
		claimed += n
	}
}

// roomiestRack returns the workers of the rack with the most accelerators that are free or being freed,
// among the racks that would have room for the gang if they were empty. It returns nil if there is none.
func (r *round) roomiestRack(u *Unit) []int {
	var best []int
	bestFree := int64(-1)
	for _, workers := range r.racks {
		if !r.fitsWhenEmpty(u, workers) {
			continue
		}
		free := int64(0)
		for _, w := range workers {
			free += max(0, r.freeAfterStops[w].GPU)
		}
		if free > bestFree {
			best, bestFree = workers, free
		}
	}
	return best
}
