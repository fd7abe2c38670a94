package planner

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

var compareSeeds = flag.Uint64("compare-seeds", 400, "number of random snapshots of TestDecideMatchesPlainRound")

// plainRound decides like round, but examines all workers and runs for each question, without indexes or results that are
// kept for later. It shares with round only the rules that concern one run, one worker or one pair of units.
type plainRound struct {
	Snapshot
	free, afterStops, idle, gangClaims, emptied []Resources

	spareGPU    map[string]int64
	within      map[priorityKey]bool
	stopped     map[int]bool
	unplaceable map[shape]unplacedUnit
	racks       [][]int
	all         []int

	attempts, claims, claimant int
	plan                       Plan
}

func decidePlainly(s Snapshot) Plan {
	p := &plainRound{Snapshot: s, spareGPU: make(map[string]int64), within: make(map[priorityKey]bool), stopped: make(map[int]bool), unplaceable: make(map[shape]unplacedUnit)}
	p.plan.Waits = make(map[int]Wait)
	for service, n := range s.Headroom {
		p.spareGPU[service] = -n
	}
	p.gangClaims = make([]Resources, len(s.Workers))
	for i := range s.Workers {
		w := &s.Workers[i]
		after := w.Free.Add(w.Releasing)
		empty := after
		for _, run := range w.Runs {
			empty = empty.Add(run.Need)
		}
		p.free, p.idle = append(p.free, w.Free), append(p.idle, w.Free)
		p.afterStops, p.emptied, p.all = append(p.afterStops, after), append(p.emptied, empty), append(p.all, i)
		if w.Usable() {
			p.spareGPU[w.Service] += max(0, w.Free.GPU)
		}
		rack := slices.IndexFunc(p.racks, func(workers []int) bool { return s.Workers[workers[0]].Rack == w.Rack })
		if rack < 0 {
			rack, p.racks = len(p.racks), append(p.racks, nil)
		}
		p.racks[rack] = append(p.racks[rack], i)
	}
	parts := p.split()
	slices.SortStableFunc(parts, func(a, b unitPart) int { return compareUnits(&a.unit, &b.unit) })
	for i := range parts {
		p.schedule(&parts[i])
	}
	return p.plan
}

// remainingShare returns how many accelerators of the minimum share of a priority its queues do not use.
func (p *plainRound) remainingShare(key priorityKey) int64 {
	var total, used int64
	for i := range p.Workers {
		w := &p.Workers[i]
		if w.Service != key.service || w.Evacuated {
			continue
		}
		if w.AcceptsWork {
			total += p.emptied[i].GPU
		}
		for _, run := range w.Runs {
			if run.Priority == key.priority {
				used += run.Need.GPU
			}
		}
	}
	p.within[key] = key.priority > 0 && float64(used) <= minPriorityShare*float64(total)
	return int64(minPriorityShare*float64(total)) - used
}

func (p *plainRound) split() []unitPart {
	remaining := make(map[priorityKey]int64)
	var ordered, all []unitPart
	for i := range p.Units {
		ordered = append(ordered, unitPart{index: i, unit: p.Units[i]})
		for priority := range 4 {
			key := priorityKey{p.Units[i].Service, priority}
			remaining[key] = p.remainingShare(key)
		}
	}
	slices.SortStableFunc(ordered, func(a, b unitPart) int { return compareUnits(&a.unit, &b.unit) })
	add := func(part unitPart, tasks int) {
		part.unit.Tasks = tasks
		if tasks > 0 {
			all = append(all, part)
		}
	}
	for _, part := range ordered {
		u := part.unit
		part.unit.WaitsForRack = u.WaitsForRack && !u.IgnoresHolds
		tasks := u.Tasks
		if u.IgnoresHolds && !u.Gang {
			add(part, 1)
			tasks--
			part.unit.IgnoresHolds, part.unit.WaitsForRack = false, u.WaitsForRack
		}
		key, n := priorityKey{u.Service, u.Priority}, tasks
		if u.Need.GPU > 0 {
			n = int(min(int64(n), remaining[key]/u.Need.GPU))
		}
		if u.Priority == 0 || u.Timeliness == Overdue || n <= 0 || (u.Gang && n < tasks) {
			add(part, tasks)
			continue
		}
		remaining[key] -= u.Need.GPU * int64(n)
		share := part
		share.unit.usesMinShare = true
		add(share, n)
		add(part, tasks-n)
	}
	return all
}

func (p *plainRound) schedule(part *unitPart) {
	u := &part.unit
	unitShape, shapeDecides := shapeOf(u)
	if last, known := p.unplaceable[unitShape]; known && shapeDecides && (!u.Gang || u.Tasks >= last.tasks) {
		last.wait.HeldBack = last.wait.HeldBack && p.fitsTwice(u)
		p.plan.Waits[part.index] = last.wait
		return
	}
	limit := u.Tasks
	if !p.mayUseHeadroom(u) {
		limit = int(min(int64(limit), max(0, p.spareGPU[u.Service])/u.Need.GPU))
	}
	if limit == 0 || (u.Gang && limit < u.Tasks) {
		wait := Wait{Reason: WaitsForHeadroom, Behind: -1, HeldBack: p.fitsTwice(u)}
		if p.fitsWithoutEvacuation(u) {
			wait.Reason = WaitsForEvacuation
		}
		p.plan.Waits[part.index] = wait
		return
	}
	free := p.free
	if u.IgnoresHolds {
		free = p.despiteGangs()
	}
	places := p.place(u, free)
	if len(places) > 0 {
		places = places[:min(len(places), limit)]
		p.start(part, places)
		if len(places) == u.Tasks {
			return
		}
		if len(places) == limit {
			p.plan.Waits[part.index] = Wait{Reason: WaitsForHeadroom, Behind: -1}
			return
		}
	}
	rest := *u
	rest.Tasks -= len(places)
	if claimed := p.place(&rest, p.afterStops); len(claimed) == rest.Tasks {
		wait := Wait{Reason: WaitsForRelease, Behind: -1, HeldBack: p.fitsTwice(&rest)}
		p.claim(&rest, claimed)
		p.plan.Waits[part.index] = wait
		return
	}
	if p.preempt(part.index, &rest) {
		p.plan.Waits[part.index] = Wait{Reason: WaitsForRelease, Behind: -1}
		return
	}
	wait := p.explain(&rest)
	p.plan.Waits[part.index] = wait
	if shapeDecides {
		p.unplaceable[unitShape] = unplacedUnit{u.Tasks, wait}
	}
	needsEvacuated := slices.ContainsFunc(p.all, func(i int) bool { return p.Workers[i].Evacuated && p.Workers[i].AcceptsWork }) && p.room(u, p.all, p.emptied) < u.Tasks
	if u.Gang && u.Timeliness != Overdue && p.claims < maxBlockedGangClaims && !needsEvacuated {
		p.claimForGang(part.index, &rest)
	}
}

func (p *plainRound) mayUseHeadroom(u *Unit) bool {
	return u.Priority == 0 || u.usesMinShare || u.IgnoresHolds || u.Checkpointed || u.Need.GPU == 0 || p.Headroom[u.Service] == 0
}

func (p *plainRound) start(part *unitPart, places []int) {
	u := &part.unit
	p.spareGPU[u.Service] -= u.Need.GPU * int64(len(places))
	for _, i := range places {
		w := &p.Workers[i]
		p.free[i], p.idle[i], p.afterStops[i] = p.free[i].Sub(u.Need), p.idle[i].Sub(u.Need), p.afterStops[i].Sub(u.Need)
		w.RunsServing, w.RunsFiller, w.Kinds = w.RunsServing || u.Serving, w.RunsFiller || u.Filler, append(w.Kinds, u.Kind)
		if u.TasksByWorker != nil {
			u.TasksByWorker[w.ID]++
		}
	}
	p.plan.Starts = append(p.plan.Starts, Start{Unit: part.index, Workers: places})
}

func (p *plainRound) claim(u *Unit, places []int) {
	for _, i := range places {
		p.afterStops[i] = p.afterStops[i].Sub(u.Need)
		p.free[i] = minResources(p.free[i], p.afterStops[i])
	}
}

func (p *plainRound) despiteGangs() []Resources {
	var free []Resources
	for i := range p.Workers {
		free = append(free, minResources(p.idle[i], p.afterStops[i].Add(p.gangClaims[i])))
	}
	return free
}

func (p *plainRound) fitsTwice(u *Unit) bool {
	n := 2
	if u.Gang {
		n = 2 * u.Tasks
	}
	return p.roomFor(u, n, p.all, p.despiteGangs()) >= n
}

func (p *plainRound) fitsWithoutEvacuation(u *Unit) bool {
	tasks, spare, wanted := 0, p.spareGPU[u.Service], 1
	if u.Gang {
		wanted = u.Tasks
	}
	for i := range p.Workers {
		w := p.Workers[i]
		if !w.Evacuated || !w.AcceptsWork {
			continue
		}
		w.Evacuated = false
		if p.suits(u, &w) {
			tasks += u.Need.CountFitting(w.Free, u.remainingPerWorker(w.ID))
			spare += max(0, w.Free.GPU)
		}
	}
	return tasks > 0 && (p.mayUseHeadroom(u) || spare >= u.Need.GPU*int64(wanted)) && tasks+p.room(u, p.all, p.free) >= wanted
}

// suits reports whether tasks of the unit may run on the worker, regardless of its free resources.
func (p *plainRound) suits(u *Unit, w *Worker) bool {
	return w.Usable() && w.Service == u.Service && (!w.Slow || u.AcceptsSlow) && (u.Label == "" || slices.Contains(w.Labels, u.Label)) && (u.Allowed == nil || u.Allowed[w.ID])
}

// roomFor returns how many tasks of the unit fit into the given free resources of the workers, with up to n on one worker.
func (p *plainRound) roomFor(u *Unit, n int, workers []int, free []Resources) int {
	total := 0
	for _, i := range workers {
		if w := &p.Workers[i]; p.suits(u, w) {
			limit := n
			if u.MaxPerWorker > 0 {
				limit = u.remainingPerWorker(w.ID)
			}
			total += u.Need.CountFitting(free[i], limit)
		}
	}
	return total
}

func (p *plainRound) room(u *Unit, workers []int, free []Resources) int {
	return p.roomFor(u, u.Tasks, workers, free)
}

func (p *plainRound) rack(name string) []int {
	return slices.DeleteFunc(slices.Clone(p.all), func(i int) bool { return p.Workers[i].Rack != name })
}

func (p *plainRound) place(u *Unit, free []Resources) []int {
	if data := p.rack(u.DataRack); u.DataRack != "" {
		if places := p.placeWithin(u, data, free); len(places) == u.Tasks || (len(places) > 0 && !u.Gang) {
			return places
		}
		if u.WaitsForRack && p.room(u, data, p.emptied) >= u.Tasks {
			return nil
		}
	}
	if u.RackLocal && u.Tasks > 1 {
		if places := p.placeInOneRack(u, free); places != nil {
			return places
		}
		if u.WaitsForRack && slices.ContainsFunc(p.racks, func(rack []int) bool { return p.room(u, rack, p.emptied) >= u.Tasks }) {
			return nil
		}
	}
	return p.placeWithin(u, p.all, free)
}

func (p *plainRound) placeWithin(u *Unit, workers []int, free []Resources) []int {
	var candidates []candidate
	for _, i := range workers {
		w := &p.Workers[i]
		n := p.room(u, []int{i}, free)
		if n == 0 {
			continue
		}
		c := candidate{worker: i, room: n, cold: w.Cold, suspicion: w.Suspicion, speed: speedClassOf(u, w), key: placementKey(u, free[i])}
		c.avoid = u.Avoid[w.ID] || w.Slow || mixesServingAndFiller(u, w)
		c.conflict = p.conflicts(u, w)
		if c.speed == explored {
			c.key = int64(slices.IndexFunc(p.racks, func(rack []int) bool { return slices.Contains(rack, i) }))
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(trueFirst(!a.cold, !b.cold), trueFirst(!a.avoid, !b.avoid), cmp.Compare(a.suspicion, b.suspicion), cmp.Compare(a.speed, b.speed), trueFirst(!a.conflict, !b.conflict), cmp.Compare(a.key, b.key))
	})
	total := p.room(u, workers, free)
	if total == 0 || (u.Gang && total < u.Tasks) {
		return nil
	}
	return takePlaces(u, candidates, min(total, u.Tasks))
}

func (p *plainRound) conflicts(u *Unit, w *Worker) bool {
	return u.Kind != "" && slices.ContainsFunc(w.Kinds, func(kind string) bool { return p.Conflicts.between(u.Kind, kind) })
}

func (p *plainRound) placeInOneRack(u *Unit, free []Resources) []int {
	type choice struct {
		places []int
		cold   bool
		speed  worstSpeed
		// conflicts is the number of workers that run a conflicting kind of work.
		conflicts int
		left      int64
	}
	var choices []choice
	for _, rack := range p.racks {
		if places := p.placeWithin(u, rack, free); len(places) == u.Tasks {
			c := choice{places: places, speed: (&round{snapshot: p.Snapshot}).worstSpeed(u, places)}
			for _, i := range rack {
				c.left += max(0, free[i].GPU)
				used := slices.Contains(places, i)
				c.cold = c.cold || (p.Workers[i].Cold && used)
				if used && p.conflicts(u, &p.Workers[i]) {
					c.conflicts++
				}
			}
			choices = append(choices, c)
		}
	}
	if len(choices) == 0 {
		return nil
	}
	return slices.MinFunc(choices, func(a, b choice) int {
		return cmp.Or(trueFirst(!a.cold, !b.cold), a.speed.compare(b.speed), cmp.Compare(a.conflicts, b.conflicts), cmp.Compare(a.left, b.left))
	}).places
}

func (p *plainRound) explain(u *Unit) Wait {
	anyRack := *u
	anyRack.DataRack, anyRack.RackLocal = "", false
	switch {
	case p.claims > 0 && p.place(u, p.despiteGangs()) != nil:
		return Wait{Reason: WaitsBehindGang, Behind: p.claimant, HeldBack: p.fitsTwice(u)}
	case (u.DataRack != "" || u.RackLocal) && p.place(&anyRack, p.free) != nil:
		return Wait{Reason: WaitsForRack, Behind: -1, HeldBack: p.fitsTwice(u)}
	case p.fitsWithoutEvacuation(u):
		return Wait{Reason: WaitsForEvacuation, Behind: -1}
	default:
		return Wait{Reason: WaitsForCapacity, Behind: -1}
	}
}

// groupNeed returns what a group uses on a worker.
func (p *plainRound) groupNeed(group, worker int) Resources {
	var sum Resources
	for _, run := range p.Workers[worker].Runs {
		if run.Group == group {
			sum = sum.Add(run.Need)
		}
	}
	return sum
}

func (p *plainRound) preempt(index int, u *Unit) bool {
	if p.attempts == maxPreemptionAttempts {
		return false
	}
	p.attempts++
	acceptable := func(b *plainPreemption) bool {
		return u.Guaranteed || b.loss <= maxLossFactor*u.Work+restartCost*float64(len(b.groups))
	}
	var best plainPreemption
	ok := false
	if slices.ContainsFunc(p.all, func(i int) bool { return missesObjective(u, &p.Workers[i]) && p.suits(u, &p.Workers[i]) }) {
		best, ok = p.cheapest(u, true)
	}
	if !ok || !acceptable(&best) {
		if best, ok = p.cheapest(u, false); !ok || !acceptable(&best) {
			return false
		}
	}
	for _, group := range best.groups {
		p.stopped[group] = true
		p.plan.Stops = append(p.plan.Stops, Stop{Group: group, Unit: index, Cause: u.stopCause()})
		for i := range p.Workers {
			p.afterStops[i] = p.afterStops[i].Add(p.groupNeed(group, i))
		}
	}
	p.claim(u, best.places)
	return true
}

// plainPreemption is a set of groups to stop, with the work that is lost.
type plainPreemption struct {
	groups, places []int
	loss           float64
}

// potential returns what would be free on each worker if all runs that may be preempted for the unit were stopped.
func (p *plainRound) potential(u *Unit) []Resources {
	potential := slices.Clone(p.afterStops)
	counted := make(map[int]bool)
	for i := range p.Workers {
		for _, run := range p.Workers[i].Runs {
			if !u.Need.fitsInto(&p.emptied[i]) || !p.suits(u, &p.Workers[i]) || p.stopped[run.Group] || counted[run.Group] || !p.yields(&run, u) {
				continue
			}
			counted[run.Group] = true
			for k := range p.Workers {
				potential[k] = potential[k].Add(p.groupNeed(run.Group, k))
			}
		}
	}
	return potential
}

func (p *plainRound) cheapest(u *Unit, skipsSlow bool) (plainPreemption, bool) {
	fast := func(workers []int) []int {
		return slices.DeleteFunc(slices.Clone(workers), func(i int) bool { return skipsSlow && missesObjective(u, &p.Workers[i]) })
	}
	potential := p.potential(u)
	if u.DataRack != "" {
		if best, ok := p.preemptWithin(u, fast(p.rack(u.DataRack)), potential); ok || skipsSlow {
			return best, ok
		}
	}
	if !u.RackLocal || u.Tasks == 1 {
		return p.preemptWithin(u, fast(p.all), potential)
	}
	best, found := plainPreemption{loss: math.Inf(1)}, false
	speed := func(b *plainPreemption) worstSpeed { return (&round{snapshot: p.Snapshot}).worstSpeed(u, b.places) }
	for _, rack := range p.racks {
		other, ok := p.preemptWithin(u, fast(rack), potential)
		if ok && (other.loss < best.loss || (other.loss == best.loss && speed(&other).compare(speed(&best)) < 0)) {
			best, found = other, true
		}
	}
	if !found && !skipsSlow && (u.Guaranteed || !u.WaitsForRack) {
		return p.preemptWithin(u, p.all, potential)
	}
	return best, found
}

func (p *plainRound) yields(run *Run, u *Unit) bool {
	return run.yieldsTo(u, p.within[priorityKey{u.Service, run.Priority}])
}

// plainOption is the next task of a unit on a worker, with the groups that must be stopped for it.
type plainOption struct {
	worker, placed int
	groups         []int
	loss           float64
}

// consider sets what must be stopped for the next task on the worker of o. It returns false if the worker cannot get room.
func (p *plainRound) consider(u *Unit, o plainOption, plan *plainPreemption, potential []Resources) (plainOption, bool) {
	w := &p.Workers[o.worker]
	if !u.Need.fitsInto(&potential[o.worker]) || !p.suits(u, w) || o.placed >= u.remainingPerWorker(w.ID) {
		return o, false
	}
	free := p.afterStops[o.worker]
	for _, group := range plan.groups {
		free = free.Add(p.groupNeed(group, o.worker))
	}
	for range o.placed {
		free = free.Sub(u.Need)
	}
	runs := slices.Clone(w.Runs)
	slices.SortStableFunc(runs, func(a, b Run) int { return compareVictims(&a, &b) })
	for k := range runs {
		if u.Need.fitsInto(&free) {
			break
		}
		run := &runs[k]
		if p.yields(run, u) && !p.stopped[run.Group] && !slices.Contains(plan.groups, run.Group) && !slices.Contains(o.groups, run.Group) {
			o.groups = append(o.groups, run.Group)
			o.loss += run.scaledLoss(p.within[priorityKey{u.Service, run.Priority}]) + restartCost
			free = free.Add(p.groupNeed(run.Group, o.worker))
		}
	}
	return o, u.Need.fitsInto(&free)
}

// preemptWithin places one task after the other on the worker of the given ones that loses least by it.
func (p *plainRound) preemptWithin(u *Unit, workers []int, potential []Resources) (plainPreemption, bool) {
	var plan plainPreemption
	var options []plainOption
	for _, i := range workers {
		if o, ok := p.consider(u, plainOption{worker: i}, &plan, potential); ok {
			options = append(options, o)
		}
	}
	if p.room(u, workers, potential) < u.Tasks {
		return plan, false
	}
	for len(plan.places) < u.Tasks {
		if len(options) == 0 {
			return plan, false
		}
		best := 0
		for k := range options {
			a, b := &options[k], &options[best]
			faster := u.MinSpeed > 0 && speedClassOf(u, &p.Workers[a.worker]) < speedClassOf(u, &p.Workers[b.worker])
			if a.loss < b.loss || (a.loss == b.loss && faster) {
				best = k
			}
		}
		o := options[best]
		plan.loss += o.loss
		plan.places = append(plan.places, o.worker)
		for _, group := range o.groups {
			if !slices.Contains(plan.groups, group) {
				plan.groups = append(plan.groups, group)
			}
		}
		if next, ok := p.consider(u, plainOption{worker: o.worker, placed: o.placed + 1}, &plan, potential); ok {
			options[best] = next
		} else {
			options = slices.Delete(options, best, best+1)
		}
	}
	return plan, true
}

func (p *plainRound) claimForGang(index int, u *Unit) {
	freeGPU := func(rack []int) (sum int64) {
		for _, i := range rack {
			sum += max(0, p.afterStops[i].GPU)
		}
		return sum
	}
	workers := p.all
	if u.RackLocal && u.WaitsForRack {
		workers = nil
		for _, rack := range p.racks {
			if p.room(u, rack, p.emptied) >= u.Tasks && (workers == nil || freeGPU(rack) > freeGPU(workers)) {
				workers = rack
			}
		}
	}
	workers = slices.DeleteFunc(slices.Clone(workers), func(i int) bool { return !p.suits(u, &p.Workers[i]) })
	if len(workers) == 0 {
		return
	}
	slices.SortStableFunc(workers, func(a, b int) int { return cmp.Compare(p.afterStops[b].GPU, p.afterStops[a].GPU) })
	if p.claims == 0 {
		p.claimant = index
	}
	p.claims++
	left := u.Tasks
	for _, i := range workers {
		if left == 0 {
			return
		}
		n := min(left, p.room(u, []int{i}, p.emptied))
		for range n {
			p.afterStops[i], p.gangClaims[i] = p.afterStops[i].Sub(u.Need), p.gangClaims[i].Add(u.Need)
		}
		p.free[i] = minResources(p.free[i], p.afterStops[i])
		left -= n
	}
}

// randomFeatures draws the features of workers and units of a snapshot, which differ in how often they occur.
type randomFeatures struct {
	*rand.Rand
	frequency [16]int
}

// has reports whether a worker or unit has the feature with the given number: never, seldom or often.
func (f *randomFeatures) has(feature int) bool {
	return f.IntN(5) < f.frequency[feature]*f.frequency[feature]/2
}

func (f *randomFeatures) pick(values ...string) string { return values[f.IntN(len(values))] }

func (f *randomFeatures) need() Resources {
	return Resources{CPU: 1000 * int64(f.IntN(30)), MemoryMB: 1000 * int64(f.IntN(60)), GPU: []int64{0, 1, 1, 2, 4, 8}[f.IntN(6)]}
}

// randomSnapshot returns a snapshot with all features of workers and units.
func randomSnapshot(seed uint64) Snapshot {
	f := &randomFeatures{Rand: rand.New(rand.NewPCG(seed, 7))}
	for i := range f.frequency {
		f.frequency[i] = f.IntN(3)
	}
	s := Snapshot{Workers: makeWorkers(4+f.IntN(40), 3+f.IntN(8)), Conflicts: make(Conflicts)}
	if f.has(0) {
		s.Headroom = map[string]int64{"s": int64(f.IntN(60)), "t": int64(f.IntN(20))}
	}
	for f.has(1) {
		s.Conflicts[Conflict{f.pick("a", "b", "c"), f.pick("a", "b", "c")}] = true
	}
	runs := []int{1, 3, 9, 9}[f.IntN(4)]
	for i := range s.Workers {
		f.fill(&s.Workers[i], f.IntN(runs), 3*len(s.Workers))
	}
	for n := range 5 + f.IntN(60) {
		s.Units = append(s.Units, f.unit(int64(n)))
	}
	return s
}

// fill sets the features of a worker and gives it runs of random groups.
func (f *randomFeatures) fill(w *Worker, runs, groups int) {
	if f.has(2) {
		w.Service = "t"
	}
	if f.has(3) {
		w.Labels = []string{"fast", f.pick("x", "y")}
	}
	w.AcceptsWork, w.Evacuated, w.Cold, w.Slow = f.IntN(20) > 0, f.has(4), f.has(5), f.IntN(2)+f.frequency[6] == 3
	w.RunsServing, w.RunsFiller, w.Suspicion = f.has(7), f.has(7), f.IntN(1+f.frequency[8])
	w.Speed = []float64{0, 0.5, 0.7, 0.9, 1, 1.3, 2}[f.IntN(7)]
	w.Kinds = []string{f.pick("a", "b", "c")}
	for range runs {
		need := f.need()
		switch {
		case !need.fitsInto(&w.Free):
		case f.IntN(12) == 0:
			w.Free, w.Releasing = w.Free.Sub(need), w.Releasing.Add(need)
		default:
			occupy(w, Run{
				Group: f.IntN(groups), Need: need, Priority: f.IntN(3), Guaranteed: f.has(9), Protected: f.IntN(20) == 0,
				Preempted: f.IntN(3) == 0, LostWork: float64(f.IntN(4) * f.IntN(100)),
			})
		}
	}
}

// unit returns a unit of the job that was accepted as the given one.
func (f *randomFeatures) unit(accepted int64) Unit {
	u := Unit{
		Service: f.pick("s", "s", "s", "t"), Priority: f.IntN(3), Timeliness: Timeliness(f.IntN(3)), Deadline: int64(f.IntN(1000)),
		Accepted: accepted, JobStarted: f.IntN(3) == 0, Guaranteed: f.has(9), Tasks: 1 + f.IntN(12), Work: float64(f.IntN(400)),
		Need: f.need().Add(Resources{CPU: 1000}),
		Gang: f.has(10), RackLocal: f.has(11), WaitsForRack: f.IntN(2) == 0, Checkpointed: f.IntN(3) == 0,
		Filler: f.has(7), Serving: f.has(7), Kind: f.pick("", "a", "b", "c"), AcceptsSlow: f.has(6), IgnoresHolds: f.has(12),
	}
	if f.has(11) {
		u.DataRack = fmt.Sprintf("r%02d", f.IntN(6))
	}
	if f.has(3) {
		u.Label = "fast"
	}
	if f.has(13) {
		u.MaxPerWorker, u.TasksByWorker = 1+f.IntN(3), map[string]int{"w001": 1, "w003": 2}
	}
	if f.has(14) {
		u.Avoid, u.Allowed = map[string]bool{"w002": true}, map[string]bool{"w000": true, "w001": true, "w005": true}
	}
	if f.has(15) {
		u.MinSpeed = []float64{0.01, 0.4, 0.8, 1.2}[f.IntN(4)]
	}
	return u
}

// randomSeeds returns the seeds from 0 up to the flag.
func randomSeeds() []uint64 {
	seeds := make([]uint64, *compareSeeds)
	for i := range seeds {
		seeds[i] = uint64(i)
	}
	return seeds
}

// Guards against an optimisation that changes a decision: Decide must return the same plan as a plain implementation.
func TestDecideMatchesPlainRound(t *testing.T) {
	var starts, stops int
	waits := make(map[WaitReason]int)
	// In the last one, a preemption frees more than its unit needs in a rack that was full before. Few snapshots show it
	// when the largest free resources of a rack are out of date.
	for _, seed := range append(randomSeeds(), 2106) {
		plan := Decide(randomSnapshot(seed))
		require.Equal(t, decidePlainly(randomSnapshot(seed)), plan, "seed %d", seed)
		starts, stops = starts+len(plan.Starts), stops+len(plan.Stops)
		for _, wait := range plan.Waits {
			waits[wait.Reason]++
		}
	}
	t.Log("starts:", starts, "stops:", stops, "waits:", waits)
	require.NotZero(t, stops)
	require.Len(t, waits, len(WaitReasons), "all wait reasons occur")
}
