// Package planner decides which waiting tasks start on which workers, and which runs are preempted.
// It starts and stops nothing itself: it computes a plan from a snapshot of the workers and the
// waiting work.
//
// Amounts of work and of lost work are in weighted core-seconds: an accelerator counts as several cores
// (CoresPerGPU).
package planner

import (
	"cmp"
	"slices"
)

// Resources is an amount of resources: a request, a capacity or what is free.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	// GPU is a number of accelerators.
	GPU int64
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns r minus o; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// CountFitting returns how many requests of r fit into free, at most limit.
func (r Resources) CountFitting(free Resources, limit int) int {
	n := int64(limit)
	for _, pair := range [][2]int64{{r.CPU, free.CPU}, {r.MemoryMB, free.MemoryMB}, {r.GPU, free.GPU}} {
		if pair[0] > 0 {
			n = min(n, max(0, pair[1])/pair[0])
		}
	}
	return int(n)
}

// fitsInto reports whether a request of r fits into free.
func (r Resources) fitsInto(free *Resources) bool {
	return (r.GPU <= free.GPU || r.GPU <= 0) && (r.CPU <= free.CPU || r.CPU <= 0) && (r.MemoryMB <= free.MemoryMB || r.MemoryMB <= 0)
}

// minResources returns the smaller of a and b in each field.
func minResources(a, b Resources) Resources {
	return Resources{min(a.CPU, b.CPU), min(a.MemoryMB, b.MemoryMB), min(a.GPU, b.GPU)}
}

// Timeliness is whether a unit can still meet the time objective of its job.
type Timeliness int

// Values of Timeliness, in the order in which units of one queue are scheduled.
const (
	// OnTime units can still meet their objective.
	OnTime Timeliness = iota
	// Late units can no longer meet it, but finishing them still has value.
	Late
	// Overdue units have no value any more, but must still be finished.
	Overdue
)

// Run is a run in progress on a worker.
type Run struct {
	// Group identifies the runs that can only be stopped together: the members of a gang, or a
	// single run.
	Group int
	// Need is the resources that become free when the run ends.
	Need Resources
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority int
	// Guaranteed means that the guarantee of the organisation covers the run.
	Guaranteed bool
	// Protected runs are never preempted.
	Protected bool
	// Org is the organisation of the job.
	Org string
	// Preempted means that an earlier run of the task, or of its gang, was preempted, and that RepeatTracker spares such runs.
	Preempted bool
	// LostWork is the work of the whole group that is lost if it is stopped, in weighted
	// core-seconds.
	LostWork float64
}

// Worker is a worker with its free resources and its runs.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// AcceptsWork means that new tasks may start on the worker unless it is Evacuated.
	AcceptsWork bool
	// Free is what no run uses.
	Free Resources
	// Releasing is what runs that are being stopped still use.
	Releasing Resources
	// Suspicion is how strongly the worker is suspected of a fault. Workers with a lower value are
	// used first.
	Suspicion int
	// Slow means that work takes several times as long on the worker. Such workers get no tasks, except those of
	// units with AcceptsSlow.
	Slow bool
	// Speed is how fast the worker runs tasks; 1 is the typical worker of the service, 0 means that it is not known.
	Speed float64
	// Evacuated means that the availability zone of the worker is evacuated, or that it has returned to service so lately
	// that the worker is not used yet. No task starts on such a worker, and it counts neither towards headroom nor
	// towards minimum shares.
	Evacuated bool
	// Cold means that the worker has started lately and is slow for some time. Such workers are used last.
	Cold bool
	// RunsServing means that the worker runs serving tasks, RunsFiller that it runs filler tasks.
	RunsServing, RunsFiller bool
	// Kinds are the kinds of work that the worker runs, without duplicates. They matter only if Snapshot.Conflicts names them.
	Kinds []string
	Runs  []Run
}

// Usable reports whether new tasks may start on the worker.
func (w *Worker) Usable() bool { return w.AcceptsWork && !w.Evacuated }

// Unit is the waiting tasks of a step. A gang is always one unit and is placed as a whole.
type Unit struct {
	Service string
	// Org is the organisation of the job.
	Org string
	// Priority is the priority of the queue; 0 is the most urgent.
	Priority   int
	Timeliness Timeliness
	// Deadline is the last criterion in the order of units without a guarantee, in milliseconds of
	// any one clock.
	Deadline int64
	// Accepted is the position of the job in the order in which the jobs were accepted.
	Accepted int64
	// JobStarted means that tasks of the same occurrence of the job are done or have a run. Such jobs
	// go first: a job has value only when it is complete, so under overload it is better to finish a
	// few jobs than to start many.
	JobStarted bool
	// Guaranteed means that the guarantee of the organisation covers the unit.
	Guaranteed bool
	// Tasks is the number of waiting tasks.
	Tasks int
	// Need is the resource request of each task.
	Need Resources
	// Checkpointed means that the tasks save their progress, so no work is lost when they are stopped.
	Checkpointed bool
	// Work is the estimated work of the tasks, in weighted core-seconds.
	Work float64
	Gang bool
	// RackLocal means that the tasks are slow if they are spread over several racks.
	RackLocal bool
	// DataRack is the rack where the tasks are fast; empty if all racks are equal.
	DataRack string
	// Label is a label that the workers must have; empty for no requirement.
	Label string
	// MaxPerWorker is the maximum number of the step's tasks on one worker; 0 for no limit.
	MaxPerWorker int
	// TasksByWorker is how many tasks of the step are already on each worker, by the worker's ID.
	TasksByWorker map[string]int
	// Avoid contains the IDs of workers to use only if there is no other.
	Avoid map[string]bool
	// Allowed contains the IDs of the only workers that may be used; nil allows all.
	Allowed map[string]bool
	// Filler tasks use processor time that other tasks leave idle.
	Filler bool
	// Serving tasks have a target for their response times.
	Serving bool
	// Kind is the kind of work; see Snapshot.Conflicts.
	Kind string
	// usesMinShare means that the unit uses the minimum share of its priority; see minPriorityShare.
	usesMinShare bool
	// WaitsForRack means that a unit with RackLocal or DataRack waits until a suitable rack has room
	// for all of its tasks, provided that such a rack could run them all if it were empty. In all
	// other cases the tasks may run in any racks when no suitable rack has room.
	// Preemption ignores WaitsForRack for guaranteed units, for units that are not RackLocal and for
	// units of one task: if it finds no victims within a suitable rack, it takes them from all racks.
	WaitsForRack bool
	// AcceptsSlow means that the tasks may run on slow workers if no others have room.
	AcceptsSlow bool
	// MinSpeed is the lowest Worker.Speed at which the unit still meets its objective if it starts now; 0 if any
	// worker is fast enough.
	MinSpeed float64
	// IgnoresHolds means that resources that are kept free for others, or its preferred rack, have held the
	// unit back for too long: it may use the headroom and what blocked gangs claim, and WaitsForRack does not
	// apply. If the unit is not a gang, this holds for one of its tasks.
	IgnoresHolds bool
}

// Snapshot is the input of Decide.
type Snapshot struct {
	Workers []Worker
	Units   []Unit
	// Headroom is the number of accelerators of each service to keep free for the queues of priority
	// 0. Other queues may use them only for work that can be stopped without loss, or within the
	// minimum share of their priority.
	Headroom map[string]int64
	// Conflicts are the kinds of work that are kept apart where other workers have room. They never make a unit wait.
	Conflicts Conflicts
}

// Start places tasks of a unit on workers.
type Start struct {
	// Unit is the index in Snapshot.Units.
	Unit int
	// Workers has the index in Snapshot.Workers for each task.
	Workers []int
}

// Plan is the result of Decide.
type Plan struct {
	Starts []Start
	// Stops lists the groups of runs to preempt.
	Stops []Stop
	// Waits has an entry for each unit of which tasks were not started, by the index in Snapshot.Units.
	Waits map[int]Wait
}

// Wait says why tasks of a unit were not started.
type Wait struct {
	Reason WaitReason
	// Behind is the index in Snapshot.Units of the first gang whose claim the unit waits behind. It is -1
	// unless Reason is WaitsBehindGang.
	Behind int
	// HeldBack means that free resources suffice for the unit twice over (for twice the tasks of a gang, else
	// for two tasks), but are kept for others, as headroom or by claims of blocked gangs, or are in racks that
	// the unit does not prefer.
	HeldBack bool
}

// WaitReason is the reason why tasks of a unit were not started.
type WaitReason string

// Reasons why tasks of a unit were not started.
const (
	// WaitsForCapacity means that the free resources do not suffice.
	WaitsForCapacity WaitReason = "capacity"
	// WaitsForRelease means that runs are being stopped, and the unit has claimed their resources.
	WaitsForRelease WaitReason = "release"
	// WaitsForHeadroom means that the unit would use accelerators of Snapshot.Headroom.
	WaitsForHeadroom WaitReason = "headroom"
	// WaitsForRack means that the unit fits only into racks that it does not prefer.
	WaitsForRack WaitReason = "rack"
	// WaitsBehindGang means that the unit fits into free resources that a blocked gang claims.
	WaitsBehindGang WaitReason = "gang"
	// WaitsForEvacuation means that the unit would fit if no zone were evacuated.
	WaitsForEvacuation WaitReason = "evacuation"
)

// WaitReasons lists all reasons.
var WaitReasons = []WaitReason{WaitsForCapacity, WaitsForRelease, WaitsForHeadroom, WaitsForRack, WaitsBehindGang, WaitsForEvacuation}

// Stop preempts the runs of a group so that the tasks of a unit can start.
type Stop struct {
	Group int
	// Unit is the index in Snapshot.Units of the unit that gets the resources.
	Unit int
	// Cause is why the unit may preempt the group.
	Cause StopCause
}

// StopCause is the cause of a preemption.
type StopCause string

// Causes of preemptions.
const (
	// StopForGuarantee means that the guarantee of an organisation covers the unit.
	StopForGuarantee StopCause = "guarantee"
	// StopForUrgent means that the unit is of priority 0, without a guarantee.
	StopForUrgent StopCause = "urgent"
	// StopForPriority means that the unit is of another priority that is more urgent than that of the group.
	StopForPriority StopCause = "priority"
)

// StopCauses lists all causes.
var StopCauses = []StopCause{StopForGuarantee, StopForUrgent, StopForPriority}

// stopCause returns why the unit may preempt runs.
func (u *Unit) stopCause() StopCause {
	switch {
	case u.Guaranteed:
		return StopForGuarantee
	case u.Priority == 0:
		return StopForUrgent
	default:
		return StopForPriority
	}
}

// maxBlockedGangClaims is the maximum number of blocked gangs that claim resources in one round. More
// claims would leave too much capacity idle while the gangs wait.
const maxBlockedGangClaims = 2

// negligibleLoss is the lost work, in weighted core-seconds, up to which a run may be preempted for any
// more urgent queue. Such a run has saved its work or has only just started, so preemption costs little
// more than a restart.
const negligibleLoss = 1.0

// Decide computes the plan for a snapshot. It may update TasksByWorker, RunsServing, RunsFiller and Kinds in the snapshot.
func Decide(s Snapshot) Plan { return decide(s, nil) }

// decide computes the plan for a snapshot. If observe is not nil, it is called with each part of a unit before that is
// scheduled.
func decide(s Snapshot, observe func(*round, *unitPart)) Plan {
	r := newRound(s)
	parts := r.splitUnits()
	for _, part := range parts {
		if observe != nil {
			observe(r, part)
		}
		r.schedule(part)
	}
	return r.plan
}

// unitPart is a unit, or a part of one, that is scheduled on its own.
type unitPart struct {
	// index is the index of the unit in the snapshot.
	index int
	unit  Unit
}

// compareUnits orders units for scheduling. Guaranteed units come first, in the order of acceptance:
// each must start within a time limit, and a large unit must not be delayed by small ones that were
// accepted later. The other units are ordered by whether they still have value (not overdue), then by
// the rank of the priority, by timeliness, by whether the job has started, and by deadline.
func compareUnits(a, b *Unit) int {
	if a.Guaranteed && b.Guaranteed {
		return cmp.Compare(a.Accepted, b.Accepted)
	}
	return cmp.Or(
		trueFirst(a.Guaranteed, b.Guaranteed),
		trueFirst(a.Timeliness != Overdue, b.Timeliness != Overdue),
		cmp.Compare(a.priorityRank(), b.priorityRank()),
		cmp.Compare(a.Timeliness, b.Timeliness),
		trueFirst(a.JobStarted, b.JobStarted),
		cmp.Compare(a.Deadline, b.Deadline),
	)
}

// priorityRank returns the sort key of the unit's priority: twice the priority, or 1, right after the
// most urgent priority, if the unit uses the minimum share of its priority.
func (u *Unit) priorityRank() int {
	if u.usesMinShare {
		return 1
	}
	return 2 * u.Priority
}

// trueFirst compares two booleans; true sorts before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// round is the state of one call of Decide. Its slices of resources are indexed like
// Snapshot.Workers.
type round struct {
	snapshot Snapshot
	// free is what is free now; freeAfterStops is what will be free when all runs that are being
	// stopped have ended. Claimed resources are subtracted from both. If a blocked gang claims resources
	// that runs still use, freeAfterStops becomes negative.
	free, freeAfterStops []Resources
	// idle is free without any claims; gangClaims is what blocked gangs claim.
	idle, gangClaims []Resources
	// idleVersion counts the changes of free, idle, freeAfterStops and gangClaims. despiteGangs is the result of
	// freeDespiteGangs for version despiteGangsVersion.
	idleVersion, despiteGangsVersion int
	despiteGangs                     []Resources
	// maxima is the results of largestByRack, by the first element of the slice.
	maxima map[*Resources]*rackMaxima
	// potential is set by newPreemption.
	potential []Resources
	// freed is what the preemption plan that is being made frees on each worker.
	freed []freedResources
	// emptied is what would be free on each worker if it ran nothing.
	emptied []Resources
	// groups is the groups of runs, numbered from 0, marks the mark of each; runGroups is the number of the group of each
	// run of each worker. They are nil before preemption needs them.
	groups    []runGroup
	shares    []groupShare
	marks     []groupMark
	runGroups [][]int32
	// victimIndexes is the results of victimsFor.
	victimIndexes map[yieldClass]*victimIndex
	// candidates, losses, chosen and dropped are reused by placeWithin, preemption.plan, preemption.chooseVictims and
	// preemption.newPlan.
	candidates []candidate
	losses     []taskLoss
	chosen     []int32
	dropped    *preemptionPlan
	// spareGPU is how many accelerators each service has free in excess of its headroom; negative if
	// fewer than the headroom are free.
	spareGPU map[string]int64
	// evacuated is the indices of the workers that are Evacuated and would accept work otherwise.
	evacuated []int
	// racks is the workers of each rack, rackOf the index of the rack of each worker.
	racks  [][]int
	rackOf []int32
	// workerIndices is the indices of all workers.
	workerIndices []int
	// unplaceable is, for each shape, the last unit without limits of its own that could not be placed.
	unplaceable map[shape]unplacedUnit
	// withinShare is, for each service, the priorities whose queues use no more than their minimum share. It does not
	// contain priority 0, which has no minimum share.
	withinShare map[string]*priorityShares
	// preemptionAttempts counts the units for which preemption was attempted, blockedGangClaims the
	// blocked gangs that claimed resources.
	preemptionAttempts int
	blockedGangClaims  int
	// preemptionPlans counts the preemption plans that were considered.
	preemptionPlans int32
	// firstClaimant is the index of the first blocked gang that claimed resources.
	firstClaimant int
	plan          Plan
}

// runGroup is the runs that can only be stopped together.
type runGroup struct {
	id int
	// first and end delimit in round.shares the resources that the group uses, by worker; there may be several entries
	// for one worker.
	first, end int32
}

// groupShare is what a run of a group uses on a worker.
type groupShare struct {
	worker int
	need   Resources
}

// unplacedUnit is what the round remembers of a unit that could not be placed.
type unplacedUnit struct {
	tasks int
	wait  Wait
}

// shape is the attributes of a unit that determine whether it can be placed. Once a unit could not be
// placed, the round skips later units of the same shape: gangs with at least as many tasks, and all units
// that are not gangs. This does not apply to units with limits of their own (Allowed, MaxPerWorker).
type shape struct {
	service, label, dataRack string
	need                     Resources
	priority                 int
	timeliness               Timeliness
	guaranteed, gang         bool
	rackLocal, waitsForRack  bool
	filler, serving          bool
	ignoresHolds             bool
	acceptsSlow              bool
}

// shapeOf returns the shape of a unit, and whether the shape alone determines if the unit can be placed.
// It does not if the unit has limits of its own (Allowed, MaxPerWorker).
func shapeOf(u *Unit) (shape, bool) {
	return shape{
		service: u.Service, label: u.Label, dataRack: u.DataRack, need: u.Need, priority: u.Priority,
		timeliness: u.Timeliness, guaranteed: u.Guaranteed, gang: u.Gang, rackLocal: u.RackLocal, waitsForRack: u.WaitsForRack,
		filler: u.Filler, serving: u.Serving, ignoresHolds: u.IgnoresHolds,
		acceptsSlow: u.AcceptsSlow,
	}, u.Allowed == nil && u.MaxPerWorker == 0
}

func newRound(s Snapshot) *round {
	n := len(s.Workers)
	r := &round{
		snapshot: s, free: make([]Resources, n), freeAfterStops: make([]Resources, n), idle: make([]Resources, n),
		gangClaims: make([]Resources, n), emptied: make([]Resources, n), potential: make([]Resources, n), freed: make([]freedResources, n), despiteGangs: make([]Resources, n), idleVersion: 1,
		maxima: make(map[*Resources]*rackMaxima), victimIndexes: make(map[yieldClass]*victimIndex), workerIndices: make([]int, n), rackOf: make([]int32, n),
		unplaceable: make(map[shape]unplacedUnit), spareGPU: make(map[string]int64),
	}
	r.plan.Waits = make(map[int]Wait)
	byRack := make(map[string]int)
	for service, headroom := range s.Headroom {
		r.spareGPU[service] = -headroom
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.Usable() {
			r.spareGPU[w.Service] += max(0, w.Free.GPU)
		} else if w.AcceptsWork {
			r.evacuated = append(r.evacuated, i)
		}
		r.free[i], r.idle[i] = w.Free, w.Free
		r.freeAfterStops[i] = w.Free.Add(w.Releasing)
		r.emptied[i] = r.freeAfterStops[i]
		for k := range w.Runs {
			r.emptied[i] = r.emptied[i].Add(w.Runs[k].Need)
		}
		r.workerIndices[i] = i
		n, ok := byRack[w.Rack]
		if !ok {
			n = len(r.racks)
			byRack[w.Rack] = n
			r.racks = append(r.racks, nil)
		}
		r.racks[n] = append(r.racks[n], i)
		r.rackOf[i] = int32(n)
	}
	return r
}

// indexGroups numbers the groups and collects what each of them uses.
func (r *round) indexGroups() {
	total := 0
	for i := range r.snapshot.Workers {
		total += len(r.snapshot.Workers[i].Runs)
	}
	r.runGroups = make([][]int32, len(r.snapshot.Workers))
	r.groups = make([]runGroup, 0, total)
	numbers := make(map[int]int32, total)
	indices := make([]int32, total)
	for i := range r.snapshot.Workers {
		runs := r.snapshot.Workers[i].Runs
		r.runGroups[i], indices = indices[:len(runs):len(runs)], indices[len(runs):]
		for k := range runs {
			g, known := numbers[runs[k].Group]
			if !known {
				g = int32(len(r.groups))
				numbers[runs[k].Group] = g
				r.groups = append(r.groups, runGroup{id: runs[k].Group})
			}
			r.runGroups[i][k] = g
			r.groups[g].end++
		}
	}
	r.marks = make([]groupMark, len(r.groups))
	// The end of each group is the number of its runs at first; then it moves from the first entry to the end.
	r.shares = make([]groupShare, total)
	first := int32(0)
	for i := range r.groups {
		g := &r.groups[i]
		size := g.end
		g.first, g.end = first, first
		first += size
	}
	for i := range r.snapshot.Workers {
		runs := r.snapshot.Workers[i].Runs
		for k := range runs {
			g := &r.groups[r.runGroups[i][k]]
			r.shares[g.end] = groupShare{i, runs[k].Need}
			g.end++
		}
	}
}

// sharesOf returns the resources that a group uses, by worker.
func (r *round) sharesOf(group int32) []groupShare {
	g := &r.groups[group]
	return r.shares[g.first:g.end]
}

// schedule starts the tasks of a unit: all of them for a gang, otherwise as many as possible. For the
// rest it tries, in this order, to claim resources that are being freed, to preempt runs, and, for a
// blocked gang, to claim resources that runs still use.
func (r *round) schedule(part *unitPart) {
	u := &part.unit
	unitShape, shapeDecides := shapeOf(u)
	if last, known := r.unplaceable[unitShape]; known && shapeDecides && (!u.Gang || u.Tasks >= last.tasks) {
		wait := last.wait
		wait.HeldBack = wait.HeldBack && r.fitsTwiceDespiteHolds(u)
		r.plan.Waits[part.index] = wait
		return
	}
	limit := r.startLimit(u)
	if limit == 0 || (u.Gang && limit < u.Tasks) {
		wait := Wait{Reason: WaitsForHeadroom, Behind: -1, HeldBack: r.fitsTwiceDespiteHolds(u)}
		if r.fitsWithoutEvacuation(u) {
			wait.Reason = WaitsForEvacuation
		}
		r.plan.Waits[part.index] = wait
		return
	}
	free := r.free
	if u.IgnoresHolds {
		free = r.freeDespiteGangs()
	}
	places := r.place(u, free)
	if len(places) > 0 && (len(places) == u.Tasks || !u.Gang) {
		places = places[:min(len(places), limit)]
		r.startTasks(part, places)
		if len(places) == u.Tasks {
			return
		}
		if len(places) == limit {
			r.plan.Waits[part.index] = Wait{Reason: WaitsForHeadroom, Behind: -1}
			return
		}
	}
	rest := *u
	if !u.Gang {
		rest.Tasks -= len(places)
	}
	if claimPlaces := r.place(&rest, r.freeAfterStops); len(claimPlaces) == rest.Tasks {
		heldBack := r.fitsTwiceDespiteHolds(&rest)
		r.claim(&rest, claimPlaces)
		r.plan.Waits[part.index] = Wait{Reason: WaitsForRelease, Behind: -1, HeldBack: heldBack}
		return
	}
	if r.preempt(part.index, &rest) {
		r.plan.Waits[part.index] = Wait{Reason: WaitsForRelease, Behind: -1}
		return
	}
	wait := r.explainWait(&rest)
	r.plan.Waits[part.index] = wait
	if shapeDecides {
		r.unplaceable[unitShape] = unplacedUnit{u.Tasks, wait}
	}
	if u.Gang && u.Timeliness != Overdue && r.blockedGangClaims < maxBlockedGangClaims && !r.needsEvacuated(u) {
		r.claimForBlockedGang(part.index, &rest)
	}
}

// explainWait returns why a unit that could not be placed waits.
func (r *round) explainWait(u *Unit) Wait {
	anyRack := *u
	anyRack.DataRack, anyRack.RackLocal = "", false
	switch {
	case r.blockedGangClaims > 0 && r.fits(u, r.freeDespiteGangs()):
		return Wait{Reason: WaitsBehindGang, Behind: r.firstClaimant, HeldBack: r.fitsTwiceDespiteHolds(u)}
	case (u.DataRack != "" || u.RackLocal) && r.fits(&anyRack, r.free):
		return Wait{Reason: WaitsForRack, Behind: -1, HeldBack: r.fitsTwiceDespiteHolds(u)}
	case r.fitsWithoutEvacuation(u):
		return Wait{Reason: WaitsForEvacuation, Behind: -1}
	default:
		return Wait{Reason: WaitsForCapacity, Behind: -1}
	}
}

// startLimit returns how many tasks of the unit may start: all if the unit may use the headroom,
// otherwise those that fit into the accelerators in excess of it.
func (r *round) startLimit(u *Unit) int {
	if r.mayUseHeadroom(u) {
		return u.Tasks
	}
	return int(min(int64(u.Tasks), max(0, r.spareGPU[u.Service])/u.Need.GPU))
}

// mayUseHeadroom reports whether the unit may use the accelerators that are kept free for the queues of priority 0.
func (r *round) mayUseHeadroom(u *Unit) bool {
	return u.Priority == 0 || u.usesMinShare || u.IgnoresHolds || u.Checkpointed || u.Need.GPU == 0 || r.snapshot.Headroom[u.Service] == 0
}

// startTasks adds the start of tasks on the given workers to the plan and uses their resources.
func (r *round) startTasks(part *unitPart, places []int) {
	u := &part.unit
	r.idleVersion++
	r.spareGPU[u.Service] -= u.Need.GPU * int64(len(places))
	for _, w := range places {
		r.free[w] = r.free[w].Sub(u.Need)
		r.idle[w] = r.idle[w].Sub(u.Need)
		r.freeAfterStops[w] = r.freeAfterStops[w].Sub(u.Need)
		r.recordPlacement(u, w)
	}
	r.plan.Starts = append(r.plan.Starts, Start{Unit: part.index, Workers: places})
}

// recordPlacement updates what later placements in the same round depend on: whether the worker runs
// serving or filler tasks, and how many tasks of the step it runs if that number is limited.
func (r *round) recordPlacement(u *Unit, worker int) {
	w := &r.snapshot.Workers[worker]
	w.RunsServing = w.RunsServing || u.Serving
	w.RunsFiller = w.RunsFiller || u.Filler
	if len(r.snapshot.Conflicts) > 0 && u.Kind != "" && !slices.Contains(w.Kinds, u.Kind) {
		w.Kinds = append(w.Kinds, u.Kind)
	}
	if u.MaxPerWorker > 0 && u.TasksByWorker != nil {
		u.TasksByWorker[w.ID]++
	}
}

// claim sets aside for a unit, on the given workers, resources that will become free. Units scheduled
// later in the round cannot use them.
func (r *round) claim(u *Unit, places []int) {
	r.idleVersion++
	for _, w := range places {
		r.freeAfterStops[w] = r.freeAfterStops[w].Sub(u.Need)
		r.free[w] = minResources(r.free[w], r.freeAfterStops[w])
	}
}

// fitsTwiceDespiteHolds reports whether the free resources, including those that are kept for others, suffice
// for the unit twice over, in any racks.
func (r *round) fitsTwiceDespiteHolds(u *Unit) bool {
	twice := *u
	twice.Tasks = 2
	if u.Gang {
		twice.Tasks = 2 * u.Tasks
	}
	return r.roomInFleet(&twice, r.freeDespiteGangs()) == twice.Tasks
}

// freeDespiteGangs returns what is free on each worker if the claims of blocked gangs are ignored. Claims on
// resources that runs are being stopped for still count. The result is valid until something is started or claimed.
func (r *round) freeDespiteGangs() []Resources {
	if r.despiteGangsVersion != r.idleVersion {
		r.despiteGangsVersion = r.idleVersion
		for i := range r.despiteGangs {
			r.despiteGangs[i] = minResources(r.idle[i], r.freeAfterStops[i].Add(r.gangClaims[i]))
		}
	}
	return r.despiteGangs
}

// room returns how many tasks of the unit fit into the given free resources of the workers, at most all of them.
func (r *round) room(u *Unit, workers []int, free []Resources) int {
	total := 0
	for _, i := range workers {
		if !u.Need.fitsInto(&free[i]) || !r.usable(u, i) {
			continue
		}
		total += min(r.roomOn(u, i, free[i]), u.Tasks-total)
		if total >= u.Tasks {
			break
		}
	}
	return total
}

// fits reports whether place would return workers for any task, without choosing them.
func (r *round) fits(u *Unit, free []Resources) bool {
	enough := func(n int) bool { return n >= u.Tasks || (n > 0 && !u.Gang) }
	if u.DataRack != "" {
		if enough(r.room(u, r.rack(u.DataRack), free)) {
			return true
		}
		if u.WaitsForRack && r.fitsWhenEmpty(u, r.rack(u.DataRack)) {
			return false
		}
	}
	if u.RackLocal && u.Tasks > 1 {
		for rack, largest := range r.largestByRack(free) {
			if u.Need.fitsInto(&largest) && r.room(u, r.racks[rack], free) >= u.Tasks {
				return true
			}
		}
		if u.WaitsForRack && r.fitsOneEmptyRack(u) {
			return false
		}
	}
	return enough(r.roomInFleet(u, free))
}

// usable reports whether a worker may run tasks of a unit, regardless of its free resources.
func (r *round) usable(u *Unit, worker int) bool { return r.obstacle(u, worker) == noObstacle }

// suits reports whether a worker that accepts work, evacuated or not, may run tasks of a unit, regardless of its free
// resources.
func (r *round) suits(u *Unit, worker int) bool { return r.mismatch(u, worker) == noObstacle }

// mixesServingAndFiller reports whether placing the unit on the worker would run serving tasks beside
// filler tasks. Such workers are used only if there is no other.
func mixesServingAndFiller(u *Unit, w *Worker) bool {
	return (u.Filler && w.RunsServing) || (u.Serving && w.RunsFiller)
}

// place returns one worker for each task that fits into the given free resources. For a gang it
// returns workers for all tasks or none; otherwise for as many tasks as possible.
func (r *round) place(u *Unit, free []Resources) []int {
	if u.Gang && r.roomInFleet(u, free) < u.Tasks {
		return nil
	}
	if u.DataRack != "" {
		if places := r.placeWithin(u, r.rack(u.DataRack), free); len(places) == u.Tasks || (len(places) > 0 && !u.Gang) {
			return places
		}
		if u.WaitsForRack && r.fitsWhenEmpty(u, r.rack(u.DataRack)) {
			return nil
		}
	}
	if u.RackLocal && u.Tasks > 1 {
		if places := r.placeInOneRack(u, free); places != nil {
			return places
		}
		if u.WaitsForRack && r.fitsOneEmptyRack(u) {
			return nil
		}
	}
	return r.placeWithin(u, r.all(), free)
}

// all returns the indices of all workers.
func (r *round) all() []int { return r.workerIndices }

// rack returns the workers of a rack.
func (r *round) rack(name string) []int {
	for _, workers := range r.racks {
		if r.snapshot.Workers[workers[0]].Rack == name {
			return workers
		}
	}
	return nil
}

// placeInOneRack places all tasks in one rack. Of the racks with enough room it chooses one without cold workers, of
// these one with workers that are fast enough, of these one with few conflicts, and of these the one with the fewest free
// accelerators, which leaves emptier racks for gangs with more tasks. It returns nil if no rack has enough room.
func (r *round) placeInOneRack(u *Unit, free []Resources) []int {
	var best []int
	var bestLeft int64
	var bestSpeed worstSpeed
	bestCold, bestConflicts := false, 0
	for _, workers := range r.racks {
		places := r.placeWithin(u, workers, free)
		if len(places) != u.Tasks {
			continue
		}
		left := int64(0)
		for _, w := range workers {
			left += max(0, free[w].GPU)
		}
		speed, cold, conflicts := r.worstSpeed(u, places), r.anyCold(places), r.countConflicts(u, places)
		if best == nil || cmp.Or(trueFirst(!cold, !bestCold), speed.compare(bestSpeed), cmp.Compare(conflicts, bestConflicts), cmp.Compare(left, bestLeft)) < 0 {
			best, bestLeft, bestSpeed, bestCold, bestConflicts = places, left, speed, cold, conflicts
		}
	}
	return best
}

// fitsWhenEmpty reports whether the given workers together would have room for all tasks of the unit if
// they ran nothing.
func (r *round) fitsWhenEmpty(u *Unit, workers []int) bool {
	room := 0
	for _, i := range workers {
		if !r.usable(u, i) {
			continue
		}
		room += r.roomOn(u, i, r.emptied[i])
		if room >= u.Tasks {
			return true
		}
	}
	return false
}

// fitsOneEmptyRack reports whether any rack would have room for all tasks if it were empty.
func (r *round) fitsOneEmptyRack(u *Unit) bool {
	for _, workers := range r.racks {
		if r.fitsWhenEmpty(u, workers) {
			return true
		}
	}
	return false
}

// remainingPerWorker returns how many more tasks of the unit a worker may get under MaxPerWorker.
func (u *Unit) remainingPerWorker(worker string) int {
	if u.MaxPerWorker == 0 {
		return u.Tasks
	}
	return max(0, u.MaxPerWorker-u.TasksByWorker[worker])
}

// roomOn returns how many tasks of the unit fit into the given free resources of a worker, at most all of them: without that
// limit, sums over workers would overflow if the tasks occupy no resource and MaxPerWorker is very large.
func (r *round) roomOn(u *Unit, worker int, free Resources) int {
	return u.Need.CountFitting(free, min(u.Tasks, u.remainingPerWorker(r.snapshot.Workers[worker].ID)))
}

// candidate is a worker with room for at least one task.
type candidate struct {
	worker int
	// room is the number of tasks that fit.
	room      int
	cold      bool
	avoid     bool
	suspicion int
	speed     speedClass
	conflict  bool
	// key is the result of placementKey.
	key int64
}

// placeWithin places tasks on the given workers, filling one worker after the other. Cold workers come last, then
// workers to avoid, then those with more suspicion, then those of a later speedClass, then those with a conflict. Among equal workers the fullest come
// first, which keeps empty workers available for large tasks; for filler tasks the one with the most idle processors.
func (r *round) placeWithin(u *Unit, workers []int, free []Resources) []int {
	candidates := r.candidates[:0]
	total := 0
	for _, i := range workers {
		if !u.Need.fitsInto(&free[i]) || !r.usable(u, i) {
			continue
		}
		w := &r.snapshot.Workers[i]
		room := r.roomOn(u, i, free[i])
		if room == 0 {
			continue
		}
		total += room
		candidates = append(candidates, candidate{
			worker: i, room: room, cold: w.Cold, avoid: u.Avoid[w.ID] || w.Slow || mixesServingAndFiller(u, w), suspicion: w.Suspicion,
			speed: speedClassOf(u, w), conflict: r.conflictsWith(u, w), key: placementKey(u, free[i]),
		})
		if c := &candidates[len(candidates)-1]; c.speed == explored {
			// Rack by rack, so that all workers of a rack are known and gangs that stay in one rack can use them.
			c.key = int64(r.rackOf[i])
		}
	}
	r.candidates = candidates
	if total == 0 || (u.Gang && total < u.Tasks) {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(trueFirst(!a.cold, !b.cold), trueFirst(!a.avoid, !b.avoid), cmp.Compare(a.suspicion, b.suspicion), cmp.Compare(a.speed, b.speed), trueFirst(!a.conflict, !b.conflict), cmp.Compare(a.key, b.key))
	})
	return takePlaces(u, candidates, min(total, u.Tasks))
}

// placementKey returns the sort key of a worker with the given free resources; workers with lower keys
// are used first. The key is what remains free after one more task, with accelerators counted before
// memory: they are above the low 32 bits, which hold any number of megabytes. For filler tasks it puts
// the workers with the most idle processors first.
func placementKey(u *Unit, free Resources) int64 {
	if u.Filler {
		return -free.CPU
	}
	left := free.Sub(u.Need)
	return left.GPU<<32 + left.MemoryMB
}
