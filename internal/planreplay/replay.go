package planreplay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/interference"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// startTime is the time from a decision until a task works, stopTime that until a stopped run has ended.
	startTime = 20 * time.Millisecond
	stopTime  = 200 * time.Millisecond
	// remoteFactor is how many times as long a task takes that is spread over racks although it should not be.
	remoteFactor = 3
	// guaranteeLimit is the time from the arrival of a job that its organisation's guarantee covers until its tasks must
	// have begun.
	guaranteeLimit = 2700 * time.Millisecond
	// causeLost is the cause of the end of runs on lost workers, causeGang that of the other members of their gangs.
	causeLost planner.StopCause = "lost worker"
	causeGang planner.StopCause = "gang of lost worker"
	// service is the name of the only pool of workers.
	service = "workers"
)

// worker is a worker of the fleet.
type worker struct {
	id, rack string
	lost     bool
	// evacuated means that its zone is evacuated, closed that it gets no work because of that or because the zone has just
	// returned to service.
	evacuated, closed bool
	// slowdown is how many times as long work takes; detected means that the planner knows.
	slowdown float64
	detected bool
	// speed is the worker's own speed; worked is for how long it has run tasks.
	speed  float64
	worked time.Duration
	runs   map[*run]bool
}

// run is a run of a task.
type run struct {
	task   *task
	worker *worker
	// startedAt is when it begins to work. done is the work that is done at updatedAt.
	startedAt, updatedAt time.Duration
	done                 time.Duration
	remote               bool
	// stopping means that it has been stopped and ends at endsAt. cause is why it has been stopped or lost.
	stopping bool
	endsAt   time.Duration
	cause    planner.StopCause
	// interference is by how many times other runs on the worker slow it down; aboveSince is since when a serving run has
	// been above its target, 0 if it is not.
	interference float64
	aboveSince   time.Duration
	// id identifies the run in polls, 0 before the first. polledAt and polledDone are the time and the work done at the last
	// poll, pace the work per time between the last two, corrected by the speed of the worker.
	id                   int64
	polledAt, polledDone time.Duration
	pace                 float64
}

// replay is the state of a replay.
type replay struct {
	pattern *Pattern
	now     time.Duration
	workers []*worker
	jobs    []*job
	// arrived is the number of jobs that have arrived, active those of them that have not ended.
	arrived  int
	active   []*job
	headroom planner.HeadroomTracker
	learning interferenceState
	repeats  planner.RepeatTracker
	result   *Result
}

// Run replays a pattern. The same pattern always has the same result, apart from the durations of rounds.
func Run(p *Pattern) *Result {
	random := rand.New(rand.NewPCG(p.Seed, 1))
	r := &replay{pattern: p, jobs: generate(p, random), result: newResult(p)}
	r.learning = interferenceState{table: interference.NewTable(), random: rand.New(rand.NewPCG(p.Seed, 2)), medians: make(map[*job]float64)}
	for i := range p.Workers.Count {
		w := &worker{id: fmt.Sprintf("w%05d", i), rack: fmt.Sprintf("r%04d", i/p.Workers.PerRack), slowdown: 1, speed: 1, runs: make(map[*run]bool)}
		if n := len(p.Workers.Speeds); n > 0 {
			w.speed = p.Workers.Speeds[i%n]
		}
		r.workers = append(r.workers, w)
	}
	order := random.Perm(p.Workers.Count)
	for r.arrived < len(r.jobs) || len(r.active) > 0 {
		if r.now > 3*time.Duration(p.Duration) {
			break
		}
		r.applyEvents(order)
		r.applyEvacuations()
		r.advance()
		for r.arrived < len(r.jobs) && r.jobs[r.arrived].arrivedAt <= r.now {
			r.active = append(r.active, r.jobs[r.arrived])
			r.arrived++
		}
		r.pollWorkers()
		r.plan()
		r.result.observe(r)
		r.now += time.Duration(p.Round)
	}
	r.result.finish(r)
	return r.result
}

// applyEvents applies losses and slowdowns. order is a random order of the workers: a share of them is the first ones.
func (r *replay) applyEvents(order []int) {
	active := func(at, length time.Duration) bool { return r.now >= at && r.now < at+length }
	lost, slow, detected := make(map[int]bool), make(map[int]float64), make(map[int]bool)
	for _, l := range r.pattern.Losses {
		if active(time.Duration(l.At), time.Duration(l.Length)) {
			for _, i := range order[:int(l.Share*float64(len(order)))] {
				lost[i] = true
			}
		}
	}
	for _, s := range r.pattern.Slowdowns {
		if active(time.Duration(s.At), time.Duration(s.Length)) {
			for _, i := range order[len(order)-int(s.Share*float64(len(order))):] {
				slow[i] = s.Factor
				detected[i] = s.DetectedAfter > 0 && r.now >= time.Duration(s.At+s.DetectedAfter)
			}
		}
	}
	for i, w := range r.workers {
		if lost[i] && !w.lost {
			r.lose(w)
		}
		w.lost, w.detected, w.slowdown = lost[i], detected[i], max(1, slow[i])
	}
}

// lose ends the runs of a lost worker, and stops the other members of their gangs.
func (r *replay) lose(w *worker) {
	for _, run := range sortedRuns(w) {
		if !run.stopping {
			r.result.stopped(run.task.job, causeLost)
			run.cause = causeLost
		}
		r.end(run, true)
		if j := run.task.job; j.gang {
			r.stop(j, nil, causeGang)
		}
	}
}

// advance lets all runs work until now and ends those that are complete.
func (r *replay) advance() {
	for _, w := range r.workers {
		if len(w.runs) > 0 {
			w.worked += time.Duration(r.pattern.Round)
		}
		r.disturb(w)
		for run := range w.runs {
			if run.stopping {
				if r.now >= run.endsAt {
					r.end(run, true)
				}
				continue
			}
			factor := w.slowdown / w.speed
			if run.remote {
				factor *= remoteFactor
			}
			if run.task.job.class.ServingLevel == 0 {
				factor *= run.interference
			}
			from := max(run.updatedAt, run.startedAt)
			run.done += time.Duration(float64(max(0, r.now-from)) / factor)
			run.updatedAt = r.now
		}
	}
	for _, j := range r.active {
		r.endComplete(j)
	}
	r.active = slices.DeleteFunc(r.active, func(j *job) bool { return j.done == len(j.tasks) })
}

// endComplete ends the runs of a job that have completed their work; those of a gang only all together.
func (r *replay) endComplete(j *job) {
	complete := func(t *task) bool {
		return t.run != nil && !t.run.stopping && t.run.done >= t.work
	}
	if j.gang {
		for i := range j.tasks {
			if !complete(&j.tasks[i]) {
				return
			}
		}
	}
	for i := range j.tasks {
		if t := &j.tasks[i]; complete(t) {
			r.end(t.run, false)
		}
	}
	if j.done == len(j.tasks) {
		j.endedAt = r.now
	}
}

// end ends a run: its task is done, or its work is thrown away unless it is saved.
func (r *replay) end(run *run, stopped bool) {
	t := run.task
	delete(run.worker.runs, run)
	t.run = nil
	t.job.running--
	switch {
	case !stopped:
		t.done = true
		t.job.done++
	case t.job.checkpoint:
		t.saved = min(run.done, t.work)
	default:
		r.result.thrownAway(t.job, r.now-min(r.now, run.startedAt), run.cause)
	}
}

// stop stops a run, or its whole gang.
func (r *replay) stop(j *job, only *run, cause planner.StopCause) {
	for i := range j.tasks {
		run := j.tasks[i].run
		if run != nil && !run.stopping && (j.gang || run == only) {
			run.stopping, run.endsAt, run.cause = true, r.now+stopTime, cause
			if cause != causeGang {
				if run.task.preempted {
					r.result.StoppedAgain++
				}
				r.addPreemption(run, cause)
			}
			r.result.stopped(j, cause)
		}
	}
}

// addPreemption records the preemption of a run; only the first member of a gang counts.
func (r *replay) addPreemption(run *run, cause planner.StopCause) {
	t := run.task
	previous := time.Duration(-1)
	if t.preempted {
		previous = t.preemptedAt
	}
	if !t.job.gang || t.number == 0 {
		r.repeats.Add(service, r.now, previous, cause, r.lostWork(run))
	}
	t.preempted, t.preemptedAt = true, r.now
}

// updateRepeats determines whether runs that were preempted before are spared.
func (r *replay) updateRepeats() {
	r.repeats.Update(r.now)
	if r.repeats.Spares(service) {
		r.result.SparedRounds++
	}
}

// lostWork returns the work that is lost if a run, or its whole gang, is stopped.
func (r *replay) lostWork(run *run) float64 {
	members := 1
	if run.task.job.gang {
		members = len(run.task.job.tasks)
	}
	return planner.LostWork(run.task.job.need, members, r.now-min(r.now, run.startedAt), run.task.job.checkpoint)
}

// groupIDsPerJob is the size of the range of group numbers that each job has.
const groupIDsPerJob = 1 << 13

func (j *job) groupID(index int) int {
	if j.gang {
		return j.order * groupIDsPerJob
	}
	return j.order*groupIDsPerJob + index + 1
}

// plan runs one planning round and carries out its decisions.
func (r *replay) plan() {
	snapshot, units := r.snapshot()
	if len(units) == 0 {
		return
	}
	r.result.stranded(planner.Stranded(snapshot.Workers, snapshot.Units)[service])
	started := time.Now()
	plan := planner.Decide(snapshot)
	r.result.round(time.Since(started))
	for i, j := range units {
		held := plan.Waits[i].HeldBack && j.running == 0
		switch {
		case !held:
			j.heldBackSince = 0
		case j.heldBackSince == 0:
			j.heldBackSince = max(1, r.now)
		}
	}
	for _, s := range plan.Stops {
		j := r.jobs[s.Group/groupIDsPerJob]
		var only *run
		if index := s.Group%groupIDsPerJob - 1; index >= 0 {
			only = j.tasks[index].run
		}
		r.stop(j, only, s.Cause)
	}
	for _, s := range plan.Starts {
		r.start(units[s.Unit], s.Workers)
	}
}

func (r *replay) start(j *job, places []int) {
	racks := make(map[string]bool)
	for _, w := range places {
		racks[r.workers[w].rack] = true
	}
	if j.firstStartAt == 0 {
		j.firstStartAt = r.now + startTime
		if j.guaranteed && j.firstStartAt-j.arrivedAt > guaranteeLimit {
			r.countLateGuarantee(j)
		}
	}
	next := 0
	for i := range j.tasks {
		t := &j.tasks[i]
		if next == len(places) {
			return
		}
		if t.done || t.run != nil {
			continue
		}
		w := r.workers[places[next]]
		next++
		t.run = &run{task: t, worker: w, startedAt: r.now + startTime, updatedAt: r.now, done: t.saved, remote: j.rackLocal && len(racks) > 1, interference: 1}
		w.runs[t.run] = true
		r.countZoneStart(w)
		j.running++
	}
}

// snapshot returns the planner's input, and the job of each unit.
func (r *replay) snapshot() (planner.Snapshot, []*job) {
	var s planner.Snapshot
	r.assignGuarantees()
	r.updateRepeats()
	used := map[string]float64{}
	for _, w := range r.workers {
		s.Workers = append(s.Workers, r.describe(w, used))
	}
	s.Headroom = r.headroom.Update(r.now, used)
	s.Conflicts = r.learning.conflicts
	var units []*job
	for _, j := range r.active {
		waiting := 0
		for i := range j.tasks {
			if t := &j.tasks[i]; !t.done && t.run == nil {
				waiting++
			}
		}
		if waiting == 0 || (j.gang && waiting < len(j.tasks)) {
			continue
		}
		age := r.now - j.arrivedAt
		minSpeed := 0.0
		if r.pattern.Workers.SpeedsKnownAfter > 0 {
			expected := time.Duration(j.class.DurationFactor*float64(j.estimate)) + time.Duration(j.class.Offset)
			minSpeed = 1.05 * planner.MinSpeed(age+startTime, j.estimate, expected, slices.Max(append([]float64{1}, r.pattern.Workers.Speeds...)))
		}
		units = append(units, j)
		s.Units = append(s.Units, planner.Unit{
			Service: service, Org: r.pattern.Orgs[j.org].Name, Priority: j.class.Priority, Guaranteed: j.guaranteed, Accepted: int64(j.order), Tasks: waiting, Need: j.need,
			Timeliness: planner.TimelinessOf(age, j.estimate, j.objective()), Deadline: (j.arrivedAt + j.objective()).Milliseconds(),
			MinSpeed: minSpeed, Kind: j.class.Kind, Serving: j.class.ServingLevel > 0, Filler: j.class.Filler,
			JobStarted: j.done > 0 || j.running > 0, Checkpointed: j.checkpoint, Gang: j.gang, RackLocal: j.rackLocal,
			Work:         j.need.WorkPerSecond() * j.estimate.Seconds() * float64(waiting),
			WaitsForRack: age < planner.RackWait, IgnoresHolds: j.heldBackSince != 0 && r.now-j.heldBackSince >= planner.MaxHeldBack,
		})
	}
	return s, units
}

// describe returns the planner's view of a worker, and adds the accelerators that urgent work uses there to used, by service.
func (r *replay) describe(w *worker, used map[string]float64) planner.Worker {
	d := planner.Worker{
		ID: w.id, Service: service, Rack: w.rack, AcceptsWork: !w.lost, Slow: w.detected, Evacuated: w.closed,
		Free: planner.Resources{CPU: 1000 * r.pattern.Workers.Cores, MemoryMB: r.pattern.Workers.MemoryMB, GPU: r.pattern.Workers.GPU},
	}
	if after := time.Duration(r.pattern.Workers.SpeedsKnownAfter); after > 0 && w.worked >= after {
		d.Speed = w.speed
	}
	for _, run := range sortedRuns(w) {
		j := run.task.job
		d.Free = d.Free.Sub(j.need)
		if j.class.Priority == 0 && !w.evacuated {
			used[service] += float64(j.need.GPU)
		}
		if run.stopping {
			d.Releasing = d.Releasing.Add(j.need)
			continue
		}
		d.RunsServing = d.RunsServing || j.class.ServingLevel > 0
		d.RunsFiller = d.RunsFiller || j.class.Filler
		if kind := j.class.Kind; kind != "" && !slices.Contains(d.Kinds, kind) {
			d.Kinds = append(d.Kinds, kind)
		}
		d.Runs = append(d.Runs, planner.Run{
			Group: j.groupID(run.task.number), Need: j.need, Priority: j.class.Priority, Guaranteed: j.guaranteed,
			Org: r.pattern.Orgs[j.org].Name, Preempted: run.task.preempted && r.repeats.Spares(service),
			LostWork: r.lostWork(run),
		})
	}
	return d
}

// sortedRuns returns the runs of a worker in a fixed order, so that a replay can be repeated.
func sortedRuns(w *worker) []*run {
	runs := make([]*run, 0, len(w.runs))
	for run := range w.runs {
		runs = append(runs, run)
	}
	slices.SortFunc(runs, func(a, b *run) int {
		if a.task.job != b.task.job {
			return a.task.job.order - b.task.job.order
		}
		return a.task.number - b.task.number
	})
	return runs
}

func (r *replay) assignGuarantees() {
	guarantees := make(map[string]int64)
	for _, o := range r.pattern.Orgs {
		guarantees[o.Name] = o.GuaranteedGPU
	}
	var urgent []*job
	var claims []planner.GuaranteeClaim
	for _, j := range r.active {
		if j.class.Priority == 0 {
			urgent = append(urgent, j)
			claims = append(claims, planner.GuaranteeClaim{Org: r.pattern.Orgs[j.org].Name, GPU: j.need.GPU * int64(len(j.tasks))})
		}
	}
	for i, covered := range planner.Covered(claims, guarantees) {
		urgent[i].guaranteed = covered
	}
}
