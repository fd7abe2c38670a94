package planner

import (
	"cmp"
	"slices"
)

// maxPreemptions bounds the units for which room is made in one round: each looks at every
// worker, and the next round follows within milliseconds.
const maxPreemptions = 8

// compareVictims puts the runs that give way first at the front: those that lose the least.
func compareVictims(a, b Run) int {
	return cmp.Or(cmp.Compare(a.LostWork, b.LostWork), cmp.Compare(b.Priority, a.Priority))
}

// lossFactor times its own work, a unit that no guarantee covers may throw away. More would cost
// the others more than the unit gains.
const lossFactor = 2

// gives says whether a run gives way to a unit.
func (r *round) gives(run *Run, u *Unit) bool {
	switch {
	case run.Protected:
		return false
	case u.Guaranteed:
		return !run.Guaranteed
	case r.low[queueKey{u.Service, run.Priority}]:
		return false
	case run.Guaranteed || run.Priority <= u.Priority || u.Urgency == Overdue:
		return false
	case u.Priority == 0:
		return true
	default:
		return run.LostWork <= cheapLoss
	}
}

// preempt stops runs so that all tasks of the unit get room, and claims that room. It reports
// false, and stops nothing, if that is not possible.
func (r *round) preempt(index int, u *Unit) bool {
	if r.preemptions == maxPreemptions {
		return false
	}
	r.preemptions++
	best := r.cheapest(u)
	if best == nil || (!u.Guaranteed && best.loss > lossFactor*u.Work+restartLoss*float64(len(best.groups))) {
		return false
	}
	for group := range best.groups {
		r.stopped[group] = true
		r.plan.Stops = append(r.plan.Stops, Stop{Group: group, Unit: index})
	}
	for w, freed := range best.freed {
		r.soon[w] = r.soon[w].Add(freed)
	}
	r.claim(u, best.places)
	return true
}

// eviction is a way to make room.
type eviction struct {
	groups map[int]bool
	freed  map[int]Resources
	places []int
	loss   float64
}

// cheapest finds the way that throws away the least work: within one rack where that
// matters, over all workers otherwise.
func (r *round) cheapest(u *Unit) *eviction {
	if u.DataRack != "" {
		if e := r.evict(u, r.rack(u.DataRack)); e != nil {
			return e
		}
	}
	if !u.RackLocal || u.Tasks == 1 {
		return r.evict(u, r.all())
	}
	var best *eviction
	for _, members := range r.racks {
		if e := r.evict(u, members); e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	if best == nil && (u.Guaranteed || !u.WaitsForRack) {
		return r.evict(u, r.all())
	}
	return best
}

// offer is what one more task on a worker costs.
type offer struct {
	worker int
	placed int
	// groups must be stopped for it.
	groups []int
	loss   float64
}

// evict makes room on the given workers, the cheapest worker first.
func (r *round) evict(u *Unit, members []int) *eviction {
	e := &eviction{groups: make(map[int]bool), freed: make(map[int]Resources)}
	offers := make([]offer, 0, len(members))
	for _, i := range members {
		if o, ok := r.offer(u, offer{worker: i}, e); ok {
			offers = append(offers, o)
		}
	}
	for len(e.places) < u.Tasks {
		if len(offers) == 0 {
			return nil
		}
		best := 0
		for i := range offers {
			if offers[i].loss < offers[best].loss {
				best = i
			}
		}
		o := offers[best]
		e.loss += o.loss
		for _, group := range o.groups {
			r.count(e, group)
		}
		e.places = append(e.places, o.worker)
		next, ok := r.offer(u, offer{worker: o.worker, placed: o.placed + 1}, e)
		if ok {
			offers[best] = next
		} else {
			offers = slices.Delete(offers, best, best+1)
		}
	}
	return e
}

// offer finds what one more task on a worker costs; false if it has no room for one.
func (r *round) offer(u *Unit, o offer, e *eviction) (offer, bool) {
	if !r.usable(u, o.worker) || o.placed >= u.perWorker(r.snapshot.Workers[o.worker].ID) {
		return o, false
	}
	free := r.soon[o.worker].Add(e.freed[o.worker])
	for range o.placed {
		free = free.Sub(u.Need)
	}
	var ok bool
	o.groups, o.loss, ok = r.victims(u, o.worker, free, e)
	return o, ok
}

// count adds what stopping a group frees, on all of its workers.
func (r *round) count(e *eviction, group int) {
	if e.groups[group] {
		return
	}
	e.groups[group] = true
	for _, w := range r.groups[group] {
		for _, run := range r.snapshot.Workers[w].Runs {
			if run.Group == group {
				e.freed[w] = e.freed[w].Add(run.Need)
			}
		}
	}
}

// victims chooses runs on one worker that free enough for one task.
func (r *round) victims(u *Unit, worker int, free Resources, e *eviction) (groups []int, loss float64, ok bool) {
	if u.Need.CountFitting(free, 1) == 1 {
		return nil, 0, true
	}
	runs := r.snapshot.Workers[worker].Runs
	for i := range runs {
		run := &runs[i]
		if !r.gives(run, u) || r.stopped[run.Group] || e.groups[run.Group] || slices.Contains(groups, run.Group) {
			continue
		}
		groups = append(groups, run.Group)
		loss += r.lossOf(run, u) + restartLoss
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

// lossOf weighs what stopping a run for a unit throws away.
func (r *round) lossOf(run *Run, u *Unit) float64 {
	if r.low[queueKey{u.Service, run.Priority}] {
		return keptLoss * run.LostWork
	}
	return run.LostWork
}

// restartLoss stands for the cost of another start, in weighted core-seconds: it keeps the
// number of stopped runs small where their work is saved.
const restartLoss = 5.0

// reserve holds room for a blocked gang on the workers that have the most of it, so that units
// of lower rank do not fill every gap for ever.
func (r *round) reserve(u *Unit) {
	members := r.all()
	if u.RackLocal && u.WaitsForRack {
		members = r.roomiestRack(u)
	}
	var candidates []int
	for _, i := range members {
		if r.usable(u, i) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(r.soon[b].GPU, r.soon[a].GPU) })
	r.reservations++
	held := 0
	for _, w := range candidates {
		if held >= u.Tasks {
			return
		}
		worker := &r.snapshot.Workers[w]
		capacity := worker.Free.Add(worker.Releasing)
		for _, run := range worker.Runs {
			capacity = capacity.Add(run.Need)
		}
		n := min(u.Need.CountFitting(capacity, u.perWorker(worker.ID)), u.Tasks-held)
		for range n {
			r.soon[w] = r.soon[w].Sub(u.Need)
		}
		r.free[w] = least(r.free[w], r.soon[w])
		held += n
	}
}

// roomiestRack is the rack with the most free accelerators among those that could hold the gang.
func (r *round) roomiestRack(u *Unit) []int {
	var best []int
	bestFree := int64(-1)
	for _, members := range r.racks {
		if !r.couldFit(u, members) {
			continue
		}
		free := int64(0)
		for _, w := range members {
			free += max(0, r.soon[w].GPU)
		}
		if free > bestFree {
			best, bestFree = members, free
		}
	}
	return best
}
