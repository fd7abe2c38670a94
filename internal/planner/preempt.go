package planner

import (
	"cmp"
	"math"
	"slices"
)

// maxPreemptionAttempts limits the units for which preemption is attempted in one round, whether or not
// it succeeds. Each attempt examines every worker, and the units beyond the limit need not wait long:
// the next round can follow within milliseconds.
const maxPreemptionAttempts = 8

// compareVictims orders runs for preemption: those with the least lost work first, then those of the
// least urgent queue.
func compareVictims(a, b *Run) int {
	return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(b.Priority, a.Priority))
}

// maxLossFactor limits the work that is lost when runs are preempted for a unit without a guarantee, as
// a multiple of the work of the unit. More than the unit's own work may be lost because the victims are
// of less urgent queues, but a higher loss would cost other jobs more than the unit gains.
const maxLossFactor = 2

// yieldsTo reports whether a run may be preempted for a unit. withinShare means that the queues of the run's
// priority use no more than their minimum share.
func (run *Run) yieldsTo(u *Unit, withinShare bool) bool {
	switch {
	case run.Protected:
		return false
	case u.Guaranteed:
		return !run.Guaranteed
	case withinShare:
		return false
	case run.Guaranteed || run.Priority <= u.Priority || u.Timeliness == Overdue:
		return false
	case u.Priority == 0:
		return true
	default:
		// A run without unsaved work would otherwise be stopped again and again under load: each time it loses its
		// start, and what it has not saved yet. RepeatTracker determines when this applies.
		return run.LostWork <= negligibleLoss && !run.Preempted
	}
}

// preempt stops runs to make room for all tasks of the unit, and claims the resources. If that is not
// possible or would lose too much work, it stops nothing and returns false.
func (r *round) preempt(index int, u *Unit) bool {
	if r.preemptionAttempts == maxPreemptionAttempts {
		return false
	}
	r.preemptionAttempts++
	best := r.preemptionFor(u)
	if best == nil {
		return false
	}
	for _, g := range best.groups {
		r.stopGroup(g)
		r.plan.Stops = append(r.plan.Stops, Stop{Group: r.groups[g].id, Unit: index, Cause: u.stopCause()})
	}
	r.claim(u, best.places)
	return true
}

// freedResources is what becomes free on a worker by the preemption plan with the number attempt.
type freedResources struct {
	attempt int32
	amount  Resources
}

func (f *freedResources) add(attempt int32, amount Resources) {
	if f.attempt == attempt {
		amount = f.amount.Add(amount)
	}
	*f = freedResources{attempt, amount}
}

// preemptionPlan is a set of groups to stop so that all tasks of a unit have room.
type preemptionPlan struct {
	// attempt is the number of the plan in its round.
	attempt int32
	// groups is the indices of the groups to stop.
	groups []int32
	// places is the worker of each task.
	places []int
	// loss is the sum of scaledLoss and restartCost over the groups, in weighted core-seconds.
	loss float64
}

// cheapestPreemption looks for a preemption plan that loses little work. It returns nil if there is
// none. Units with DataRack or RackLocal get a plan within one rack if possible, even if a plan over
// several racks would lose less. If skipsSlow is set, the plan leaves out the workers that are too slow for the unit; it
// then has no other racks, where the unit would be slower still.
func (r *round) cheapestPreemption(u *Unit, skipsSlow bool) *preemptionPlan {
	c := r.newPreemption(u)
	c.skipsSlow = skipsSlow
	if u.DataRack != "" {
		if p := c.plan(r.rack(u.DataRack), math.Inf(1)); p != nil || skipsSlow {
			return p
		}
	}
	if !u.RackLocal || u.Tasks == 1 {
		return c.plan(r.all(), math.Inf(1))
	}
	var best *preemptionPlan
	for _, workers := range r.racks {
		switch p := c.plan(workers, c.limitOf(best)); {
		case p == nil:
		case c.replaces(p, best):
			best, c.dropped = p, best
		default:
			c.dropped = p
		}
	}
	if best == nil && !skipsSlow && (u.Guaranteed || !u.WaitsForRack) {
		return c.plan(r.all(), math.Inf(1))
	}
	return best
}

// preemption is an attempt to make room for a unit.
type preemption struct {
	*round
	unit    *Unit
	victims *victimIndex
	// skipsSlow means that plans leave out the workers that are too slow for the unit; fast is reused by fastEnough.
	skipsSlow bool
	fast      []int
}

// newPreemption begins an attempt: it sets what would be free on each worker if all runs that may be preempted for the
// unit were stopped.
func (r *round) newPreemption(u *Unit) *preemption {
	c := &preemption{round: r, unit: u, victims: r.victimsFor(u)}
	for i := range r.potential {
		r.potential[i] = r.freeAfterStops[i].Add(c.victims.yielding[i])
	}
	return c
}

// taskLoss is the work that is lost if one more task is placed on a worker.
type taskLoss struct {
	worker int
	// placed is the number of the unit's tasks that the preemption plan already places on the worker.
	placed int
	// first and end delimit the victims that must be stopped for the task in round.chosen.
	first, end int32
	// loss is the sum of scaledLoss and restartCost over these groups, in weighted core-seconds.
	loss float64
}

// newPlan returns an empty plan. It reuses the memory of the plan that was dropped last: most plans are.
func (c *preemption) newPlan() *preemptionPlan {
	c.preemptionPlans++
	p := c.dropped
	if p == nil {
		p = &preemptionPlan{}
	}
	*p = preemptionPlan{attempt: c.preemptionPlans, groups: p.groups[:0], places: p.places[:0]}
	c.dropped = nil
	return p
}

// plan chooses the runs to stop on the given workers. It is greedy: it places one task after the other, each on the
// worker with the lowest loss. It returns nil if there is no room for all tasks, or if the loss is not below the limit.
func (c *preemption) plan(workers []int, limit float64) *preemptionPlan {
	u := c.unit
	workers = c.fastEnough(workers)
	if c.room(u, workers, c.potential) < u.Tasks {
		return nil
	}
	p := c.newPlan()
	losses := c.losses[:0]
	c.chosen = c.chosen[:0]
	for _, i := range workers {
		if l, ok := c.lossOfTask(taskLoss{worker: i}, p); ok {
			losses = append(losses, l)
		}
	}
	c.losses = losses
	for len(p.places) < u.Tasks {
		best := 0
		for i := range losses {
			if a, b := &losses[i], &losses[best]; a.loss < b.loss || (a.loss == b.loss && u.MinSpeed > 0 && c.suitsBetter(a.worker, b.worker)) {
				best = i
			}
		}
		if len(losses) == 0 || p.loss+losses[best].loss >= limit {
			c.dropped = p
			return nil
		}
		l := losses[best]
		p.loss += l.loss
		for _, n := range c.chosen[l.first:l.end] {
			c.addVictim(p, l.worker, &c.victims.byWorker[l.worker][n])
		}
		p.places = append(p.places, l.worker)
		next, ok := c.lossOfTask(taskLoss{worker: l.worker, placed: l.placed + 1}, p)
		if !ok {
			next.loss = math.Inf(1)
		}
		losses[best] = next
	}
	return p
}

// lossOfTask computes victims and loss for one more task on the worker of l. It returns false if the
// worker cannot get room for the task.
func (c *preemption) lossOfTask(l taskLoss, p *preemptionPlan) (taskLoss, bool) {
	u := c.unit
	if !u.Need.fitsInto(&c.potential[l.worker]) || !c.usable(u, l.worker) || l.placed >= u.remainingPerWorker(c.snapshot.Workers[l.worker].ID) {
		return l, false
	}
	free := c.freeAfterStops[l.worker]
	if c.freed[l.worker].attempt == p.attempt {
		free = free.Add(c.freed[l.worker].amount)
	}
	for range l.placed {
		free = free.Sub(u.Need)
	}
	return c.chooseVictims(l, free, p)
}

// addVictim adds a group with a run on the given worker to the preemption plan, with the resources that it frees on all
// of its workers.
func (c *preemption) addVictim(p *preemptionPlan, worker int, v *victim) {
	mark := &c.marks[v.group]
	if mark.attempt == p.attempt {
		return
	}
	mark.attempt = p.attempt
	p.groups = append(p.groups, v.group)
	if !v.elsewhere {
		c.freed[worker].add(p.attempt, v.need)
		return
	}
	for _, s := range c.sharesOf(v.group) {
		c.freed[s.worker].add(p.attempt, s.need)
	}
}

// chooseVictims chooses runs on the worker of l whose end frees enough resources for one task. It takes the first runs
// that may be preempted, in the order of compareVictims. It returns false if they cannot free enough.
func (c *preemption) chooseVictims(l taskLoss, free Resources, p *preemptionPlan) (taskLoss, bool) {
	u := c.unit
	l.first, l.end, l.loss = int32(len(c.chosen)), int32(len(c.chosen)), 0
	if u.Need.fitsInto(&free) {
		return l, true
	}
	victims := c.victims.byWorker[l.worker]
	for i := range victims {
		v := &victims[i]
		if mark := &c.marks[v.group]; mark.stopped || mark.attempt == p.attempt {
			continue
		}
		c.chosen = append(c.chosen, int32(i))
		l.loss += v.loss
		free = free.Add(v.need)
		if u.Need.fitsInto(&free) {
			l.end = int32(len(c.chosen))
			return l, true
		}
	}
	c.chosen = c.chosen[:l.first]
	return l, false
}

// scaledLoss returns the work that is lost if the run is stopped, multiplied by minShareLossFactor if the queues of
// its priority use no more than their minimum share.
func (run *Run) scaledLoss(withinShare bool) float64 {
	if withinShare {
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
	r.idleVersion++
	claimed := 0
	for _, i := range candidates {
		if claimed >= u.Tasks {
			return
		}
		n := min(r.roomOn(u, i, r.emptied[i]), u.Tasks-claimed)
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
