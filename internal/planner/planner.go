// Package planner decides which waiting tasks start where, and which runs give way. It is pure:
// a snapshot goes in, a plan comes out.
package planner

import (
	"cmp"
	"slices"
)

// Resources is a request or a capacity.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPU      int64
}

// Add returns the sum.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns the difference; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// CountFitting says how often r fits into free, at most limit times.
func (r Resources) CountFitting(free Resources, limit int) int {
	n := int64(limit)
	for _, pair := range [][2]int64{{r.CPU, free.CPU}, {r.MemoryMB, free.MemoryMB}, {r.GPU, free.GPU}} {
		if pair[0] > 0 {
			n = min(n, max(0, pair[1])/pair[0])
		}
	}
	return int(n)
}

// least returns the smaller value of each field.
func least(a, b Resources) Resources {
	return Resources{min(a.CPU, b.CPU), min(a.MemoryMB, b.MemoryMB), min(a.GPU, b.GPU)}
}

// Urgency says what a unit can still reach.
type Urgency int

// Urgencies, the best first.
const (
	// OnTime units can still meet their objective.
	OnTime Urgency = iota
	// Late units have missed it but are still worth something.
	Late
	// Overdue units are worth nothing any more but must still be finished.
	Overdue
)

// Run is a run on a worker.
type Run struct {
	// Group is shared by the runs that can only be stopped together: the members of a gang.
	Group int
	// Need is what becomes free when the run ends.
	Need     Resources
	Priority int
	// Guaranteed runs are covered by their organisation's guarantee.
	Guaranteed bool
	// Protected runs are never stopped for others.
	Protected bool
	// LostWork is the work of the whole group that a stop throws away, in weighted core-seconds.
	LostWork float64
}

// Worker is a worker with its free resources.
type Worker struct {
	ID      string
	Service string
	Rack    string
	Labels  []string
	// AcceptsWork workers take new work.
	AcceptsWork bool
	Free        Resources
	// Releasing is held by runs that are being stopped.
	Releasing Resources
	// Suspicion orders workers of equal fit: lower ones are tried first.
	Suspicion int
	// RunsServing and RunsFiller say whether tasks that serve and fillers run there.
	RunsServing, RunsFiller bool
	Runs                    []Run
}

// Unit is a step's waiting tasks, or a whole gang.
type Unit struct {
	Service  string
	Priority int
	Urgency  Urgency
	// Deadline orders units of equal priority and urgency, in milliseconds.
	Deadline int64
	// Accepted is when the job was accepted, in milliseconds.
	Accepted int64
	// JobStarted says that work of the job is done or running: a job is worth something only when all
	// of it is done, so that under overload few jobs are finished rather than many begun.
	JobStarted bool
	// Guaranteed units are covered by their organisation's guarantee.
	Guaranteed bool
	Tasks      int
	Need       Resources
	// Checkpointed says that stopping the tasks loses no work.
	Checkpointed bool
	// Work is the estimated work of the tasks, in weighted core-seconds.
	Work float64
	Gang bool
	// RackLocal tasks are slow when spread over several racks.
	RackLocal bool
	// DataRack is the rack where the tasks are fast; empty for any.
	DataRack string
	Label    string
	// MaxPerWorker bounds the step's tasks on one worker; 0 for no bound.
	MaxPerWorker int
	// TasksByWorker counts the step's tasks that are on a worker already.
	TasksByWorker map[string]int
	// Avoid names workers to use only if there is no other.
	Avoid map[string]bool
	// Allowed names the only workers that may be used; nil for all.
	Allowed map[string]bool
	Filler  bool
	Serving bool
	// lifted units use the share that every queue keeps under overload.
	lifted bool
	// WaitsForRack units wait for a rack of their own; others are spread when none has room.
	WaitsForRack bool
}

// Snapshot is the input of a round.
type Snapshot struct {
	Workers []Worker
	Units   []Unit
	// Headroom is the number of accelerators of each service to keep free for the most urgent
	// queue. Only work that can be stopped without a loss may use them.
	Headroom map[string]int64
}

// Start places tasks of a unit: one worker, by index, for each task.
type Start struct {
	Unit    int
	Workers []int
}

// Plan is the outcome of a round.
type Plan struct {
	Starts []Start
	// Stops names the groups whose runs give way.
	Stops []Stop
}

// Stop makes the runs of a group give way to a unit.
type Stop struct {
	Group int
	// Unit is the index of the unit that gets the room.
	Unit int
}

// maxReservations is how many blocked gangs hold back workers from units of lower rank. More
// would leave too much capacity idle while they wait.
const maxReservations = 2

// cheapLoss is the loss up to which a run gives way to any more urgent queue: saved work
// costs a restart only.
const cheapLoss = 1.0

// Decide plans one round. It may reorder the runs of the snapshot.
func Decide(s Snapshot) Plan {
	r := newRound(s)
	requests := r.requests()
	slices.SortStableFunc(requests, func(a, b request) int { return compareUnits(&a.unit, &b.unit) })
	for i := range requests {
		r.serve(&requests[i])
	}
	return r.plan
}

// request is a unit, or a part of one, in the order of a round.
type request struct {
	// index is the unit's place in the snapshot.
	index int
	unit  Unit
}

// compareUnits orders units by what starting them first is worth: guarantees, in the order of
// acceptance, since a guarantee has to be honoured within a time however wide the job is; then anything
// that still counts, then the queue's priority, then what can still be on time, and jobs that
// have begun before others.
func compareUnits(a, b *Unit) int {
	if a.Guaranteed && b.Guaranteed {
		return cmp.Compare(a.Accepted, b.Accepted)
	}
	return cmp.Or(
		boolOrder(a.Guaranteed, b.Guaranteed),
		boolOrder(a.Urgency != Overdue, b.Urgency != Overdue),
		cmp.Compare(a.rank(), b.rank()),
		cmp.Compare(a.Urgency, b.Urgency),
		boolOrder(a.JobStarted, b.JobStarted),
		cmp.Compare(a.Deadline, b.Deadline),
	)
}

// rank orders queues; units that use their queue's kept share come right after the most urgent
// queue.
func (u *Unit) rank() int {
	if u.lifted {
		return 1
	}
	return 2 * u.Priority
}

// boolOrder puts true first.
func boolOrder(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// round is the state of one decision.
type round struct {
	snapshot Snapshot
	// free is what is free now, soon what will be when the runs being stopped have ended.
	free, soon []Resources
	// groups finds the workers of a group's runs.
	groups  map[int][]int
	stopped map[int]bool
	// spare is what each service has free beyond its headroom.
	spare    map[string]int64
	racks    [][]int
	everyone []int
	// refused holds, for each shape of unit, the fewest tasks for which no room was found.
	refused map[shape]int
	// low holds the queues that use no more than their kept share.
	low          map[queueKey]bool
	preemptions  int
	reservations int
	plan         Plan
}

// shape is what decides whether a unit finds room: a later unit of the same shape and no fewer
// tasks finds none either.
type shape struct {
	service, label, dataRack string
	need                     Resources
	priority                 int
	urgency                  Urgency
	entitled, gang           bool
	rackBound, patient       bool
	filler, serving          bool
}

// shapeOf returns the shape of a unit; false if its own limits decide as well.
func shapeOf(u *Unit) (shape, bool) {
	return shape{
		service: u.Service, label: u.Label, dataRack: u.DataRack, need: u.Need, priority: u.Priority,
		urgency: u.Urgency, entitled: u.Guaranteed, gang: u.Gang, rackBound: u.RackLocal, patient: u.WaitsForRack,
		filler: u.Filler, serving: u.Serving,
	}, u.Allowed == nil && u.MaxPerWorker == 0
}

func newRound(s Snapshot) *round {
	r := &round{
		snapshot: s, free: make([]Resources, len(s.Workers)), soon: make([]Resources, len(s.Workers)),
		groups: make(map[int][]int), stopped: make(map[int]bool), refused: make(map[shape]int),
	}
	byRack := make(map[string]int)
	r.spare = make(map[string]int64)
	for service, headroom := range s.Headroom {
		r.spare[service] = -headroom
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		if w.AcceptsWork {
			r.spare[w.Service] += max(0, w.Free.GPU)
		}
		r.free[i] = w.Free
		r.soon[i] = w.Free.Add(w.Releasing)
		slices.SortStableFunc(w.Runs, compareVictims)
		for _, run := range w.Runs {
			if at := r.groups[run.Group]; len(at) == 0 || at[len(at)-1] != i {
				r.groups[run.Group] = append(at, i)
			}
		}
		r.everyone = append(r.everyone, i)
		n, ok := byRack[w.Rack]
		if !ok {
			n = len(r.racks)
			byRack[w.Rack] = n
			r.racks = append(r.racks, nil)
		}
		r.racks[n] = append(r.racks[n], i)
	}
	return r
}

// serve places a unit, makes room for it or holds room for it.
func (r *round) serve(q *request) {
	u := &q.unit
	kind, shared := shapeOf(u)
	if fewest, known := r.refused[kind]; known && shared && (!u.Gang || u.Tasks >= fewest) {
		return
	}
	limit := r.limit(u)
	if limit == 0 || (u.Gang && limit < u.Tasks) {
		return
	}
	places := r.place(u, r.free)
	if len(places) > 0 && (len(places) == u.Tasks || !u.Gang) {
		places = places[:min(len(places), limit)]
		r.start(q, places)
		if len(places) == u.Tasks || len(places) == limit {
			return
		}
	}
	rest := *u
	if !u.Gang {
		rest.Tasks -= len(places)
	}
	if claim := r.place(&rest, r.soon); len(claim) == rest.Tasks {
		r.claim(&rest, claim)
		return
	}
	if r.preempt(q.index, &rest) {
		return
	}
	r.refused[kind] = u.Tasks
	if u.Gang && u.Urgency != Overdue && r.reservations < maxReservations {
		r.reserve(&rest)
	}
}

// limit is how many tasks of the unit may start without using the headroom.
func (r *round) limit(u *Unit) int {
	if u.Priority == 0 || u.lifted || u.Checkpointed || u.Need.GPU == 0 || r.snapshot.Headroom[u.Service] == 0 {
		return u.Tasks
	}
	return int(min(int64(u.Tasks), max(0, r.spare[u.Service])/u.Need.GPU))
}

func (r *round) start(q *request, places []int) {
	u := &q.unit
	r.spare[u.Service] -= u.Need.GPU * int64(len(places))
	for _, w := range places {
		r.free[w] = r.free[w].Sub(u.Need)
		r.soon[w] = r.soon[w].Sub(u.Need)
		r.mark(u, w)
	}
	r.plan.Starts = append(r.plan.Starts, Start{Unit: q.index, Workers: places})
}

// mark keeps tasks that serve and fillers apart within the round.
func (r *round) mark(u *Unit, worker int) {
	w := &r.snapshot.Workers[worker]
	w.RunsServing = w.RunsServing || u.Serving
	w.RunsFiller = w.RunsFiller || u.Filler
	if u.MaxPerWorker > 0 && u.TasksByWorker != nil {
		u.TasksByWorker[w.ID]++
	}
}

// claim keeps room that becomes free for a unit: units of lower rank cannot use it.
func (r *round) claim(u *Unit, places []int) {
	for _, w := range places {
		r.soon[w] = r.soon[w].Sub(u.Need)
		r.free[w] = least(r.free[w], r.soon[w])
	}
}

// usable says whether a worker may run tasks of a unit at all.
func (r *round) usable(u *Unit, worker int) bool {
	w := &r.snapshot.Workers[worker]
	switch {
	case !w.AcceptsWork || w.Service != u.Service:
		return false
	case u.Label != "" && !slices.Contains(w.Labels, u.Label):
		return false
	case u.Allowed != nil && !u.Allowed[w.ID]:
		return false
	}
	return true
}

// disturbs says whether tasks that serve and fillers would share the worker. They do so only
// where there is no other room.
func disturbs(u *Unit, w *Worker) bool {
	return (u.Filler && w.RunsServing) || (u.Serving && w.RunsFiller)
}

// place finds workers for the tasks of a unit within the given resources: for all tasks of a
// gang, for as many as possible otherwise.
func (r *round) place(u *Unit, free []Resources) []int {
	if u.DataRack != "" {
		if places := r.placeWithin(u, r.rack(u.DataRack), free); len(places) == u.Tasks || (len(places) > 0 && !u.Gang) {
			return places
		}
		if u.WaitsForRack && r.couldFit(u, r.rack(u.DataRack)) {
			return nil
		}
	}
	if u.RackLocal && u.Tasks > 1 {
		if places := r.placeInOneRack(u, free); places != nil {
			return places
		}
		if u.WaitsForRack && r.couldFitOneRack(u) {
			return nil
		}
	}
	return r.placeWithin(u, r.all(), free)
}

func (r *round) all() []int { return r.everyone }

func (r *round) rack(name string) []int {
	for _, members := range r.racks {
		if r.snapshot.Workers[members[0]].Rack == name {
			return members
		}
	}
	return nil
}

// placeInOneRack chooses, of the racks with room for all tasks, the one that is left with the
// least: roomier racks stay whole for wider gangs.
func (r *round) placeInOneRack(u *Unit, free []Resources) []int {
	var best []int
	var bestLeft int64
	for _, members := range r.racks {
		places := r.placeWithin(u, members, free)
		if len(places) != u.Tasks {
			continue
		}
		left := int64(0)
		for _, w := range members {
			left += max(0, free[w].GPU)
		}
		if best == nil || left < bestLeft {
			best, bestLeft = places, left
		}
	}
	return best
}

// couldFit says whether empty workers of the group would have room for all tasks.
func (r *round) couldFit(u *Unit, members []int) bool {
	room := 0
	for _, i := range members {
		if !r.usable(u, i) {
			continue
		}
		w := &r.snapshot.Workers[i]
		capacity := w.Free.Add(w.Releasing)
		for _, run := range w.Runs {
			capacity = capacity.Add(run.Need)
		}
		room += u.Need.CountFitting(capacity, u.perWorker(w.ID))
	}
	return room >= u.Tasks
}

func (r *round) couldFitOneRack(u *Unit) bool {
	for _, members := range r.racks {
		if r.couldFit(u, members) {
			return true
		}
	}
	return false
}

// perWorker is how many more tasks of the unit a worker may get.
func (u *Unit) perWorker(worker string) int {
	if u.MaxPerWorker == 0 {
		return u.Tasks
	}
	return max(0, u.MaxPerWorker-u.TasksByWorker[worker])
}

type candidate struct {
	worker int
	room   int
	avoid  bool
	rank   int
	left   int64
}

// placeWithin fills workers one after the other, the fullest first, so that empty ones stay
// whole for wide tasks.
func (r *round) placeWithin(u *Unit, members []int, free []Resources) []int {
	var candidates []candidate
	total := 0
	for _, i := range members {
		if !r.usable(u, i) {
			continue
		}
		w := &r.snapshot.Workers[i]
		room := u.Need.CountFitting(free[i], u.perWorker(w.ID))
		if room == 0 {
			continue
		}
		total += room
		candidates = append(candidates, candidate{
			worker: i, room: room, avoid: u.Avoid[w.ID] || disturbs(u, w), rank: w.Suspicion, left: leftOver(u, free[i]),
		})
	}
	if u.Gang && total < u.Tasks {
		return nil
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(boolOrder(!a.avoid, !b.avoid), cmp.Compare(a.rank, b.rank), cmp.Compare(a.left, b.left))
	})
	var places []int
	for _, c := range candidates {
		for n := 0; n < c.room && len(places) < u.Tasks; n++ {
			places = append(places, c.worker)
		}
	}
	return places
}

// leftOver weighs what a task leaves free on a worker. Fillers go where processors idle.
func leftOver(u *Unit, free Resources) int64 {
	if u.Filler {
		return -free.CPU
	}
	left := free.Sub(u.Need)
	return left.GPU<<32 + left.MemoryMB
}
