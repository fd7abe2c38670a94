// Package measure compares the project's decisions with baselines under virtual time.
package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// Times of the simulated control plane.
const (
	// jobsLoopPeriod is how often the placement loop decides.
	jobsLoopPeriod = 500 * time.Millisecond
	// jobsStartDelay is the time from a decision to running members: reserve, commit, start.
	jobsStartDelay = 400 * time.Millisecond
	// jobsCheckpointPeriod is how often a checkpointable job writes a checkpoint by itself.
	jobsCheckpointPeriod = 10 * time.Minute
	// jobsBadWorkerDelay is how soon a bad worker fails what it starts.
	jobsBadWorkerDelay = 2 * time.Second
	// jobsProbeDelay is how long a probe of a worker takes.
	jobsProbeDelay = time.Second
)

// jobsEpoch is the begin of virtual time.
var jobsEpoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// jobsTask is one job of a workload with what the scheduler is not told.
type jobsTask struct {
	job *resource.Job
	// real is the run time without interruption.
	real time.Duration
	// checkpointTime is how long a checkpoint takes when the job is asked to stop.
	checkpointTime time.Duration
	// cancelAt is when the operator cancels the job, zero for never.
	cancelAt time.Time
	// faulty jobs fail on every worker soon after the start.
	faulty bool
	// impossible jobs fit on no set of workers.
	impossible bool

	arrived  time.Time
	started  time.Time
	finished time.Time
	kept     time.Duration
	failures int
	missed   bool
	// entitledSince is when the job became entitled to its organisation's guarantee.
	entitledSince time.Time
	run           *jobsRun
}

// jobsRun is one attempt.
type jobsRun struct {
	task       *jobsTask
	workers    []string
	placed     time.Time
	begin      time.Time
	reclaiming bool
	// reclaimable is the value of the placement.
	reclaimable bool
	ended       bool
}

// progress returns the work done in this attempt.
func (r *jobsRun) progress(now time.Time) time.Duration { return max(now.Sub(r.begin), 0) }

// sinceCheckpoint returns the work lost by stopping without a checkpoint.
func (r *jobsRun) sinceCheckpoint(now time.Time) time.Duration {
	if !r.task.job.Spec.Checkpointable {
		return r.progress(now)
	}
	return r.progress(now) % jobsCheckpointPeriod
}

// jobsOutage takes a worker out or makes it bad for a time.
type jobsOutage struct {
	worker string
	at     time.Time
	length time.Duration
	// bad workers stay up and fail everything, others are down.
	bad bool
}

// jobsWorkload is what happens to a zone, independent of the policy.
type jobsWorkload struct {
	workers       []scheduler.Worker
	organisations map[string]*resource.Organisation
	guarantees    []*resource.Guarantee
	tasks         []*jobsTask
	outages       []jobsOutage
	policy        resource.PlacementPolicy
	// window is the time over which utilisation and fragmentation are averaged.
	window time.Duration
	// horizon ends the simulation.
	horizon time.Duration
}

// jobsEvent is an entry of the simulation's queue.
type jobsEvent struct {
	at  time.Time
	seq int
	do  func()
}

type jobsEvents []jobsEvent

func (e jobsEvents) Len() int { return len(e) }
func (e jobsEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e jobsEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *jobsEvents) Push(x any)   { *e = append(*e, x.(jobsEvent)) }
func (e *jobsEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// jobsSim runs a workload under a scheduler.
type jobsSim struct {
	load   *jobsWorkload
	policy scheduler.Scheduler
	// health is nil for policies that do not judge workers.
	health *scheduler.Health
	now    time.Time
	events jobsEvents
	seq    int
	// awake is set while a decision is scheduled.
	awake bool
	// timer is set while a later decision without a cause is scheduled.
	timer   bool
	down    map[string]bool
	bad     map[string]bool
	queue   []*jobsTask
	running []*jobsRun
	byName  map[string]*jobsTask
	result  jobsResult
	// free is the number of free accelerators by worker.
	free     map[string]int
	lastArea time.Time
	// trace, if set, receives each decision.
	trace func(now time.Time, s scheduler.Snapshot, p scheduler.Plan)
}

// jobsResult has the raw sums of a run.
type jobsResult struct {
	busyArea     float64
	fragmentArea float64
	windowTime   float64
	partial      int
	invalid      int
	misses       int
	lostStarts   int
	reclaims     int
	lostWork     float64
	takenOut     map[string]bool
	decisions    int
}

func newJobsSim(load *jobsWorkload, policy scheduler.Scheduler, health *scheduler.Health) *jobsSim {
	s := &jobsSim{
		load: load, policy: policy, health: health, now: jobsEpoch, lastArea: jobsEpoch,
		down: make(map[string]bool), bad: make(map[string]bool), byName: make(map[string]*jobsTask),
		free: make(map[string]int),
	}
	s.result.takenOut = make(map[string]bool)
	for _, w := range load.workers {
		s.free[w.ID] = w.Accelerators
	}
	for _, t := range load.tasks {
		s.byName[t.job.Name] = t
		s.at(t.job.Created, func() { s.arrive(t) })
		if !t.cancelAt.IsZero() {
			s.at(t.cancelAt, func() { s.cancel(t) })
		}
	}
	for _, o := range load.outages {
		s.at(o.at, func() { s.breakWorker(o) })
	}
	return s
}

func (s *jobsSim) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, jobsEvent{t, s.seq, do})
}

// simulate runs until all jobs have ended or the horizon is reached.
func (s *jobsSim) simulate() {
	end := jobsEpoch.Add(s.load.horizon)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(jobsEvent)
		if e.at.After(end) {
			break
		}
		s.advance(e.at)
		e.do()
	}
	s.advance(end)
}

// advance moves the clock and adds to the time averages.
func (s *jobsSim) advance(t time.Time) {
	windowEnd := jobsEpoch.Add(s.load.window)
	until := t
	if until.After(windowEnd) {
		until = windowEnd
	}
	if dt := until.Sub(s.lastArea).Seconds(); dt > 0 {
		busy, free, whole := 0, 0, 0
		for _, w := range s.load.workers {
			f := s.free[w.ID]
			busy += w.Accelerators - f
			free += f
			if f == w.Accelerators {
				whole += f
			}
		}
		s.result.busyArea += dt * float64(busy)
		if free > 0 {
			s.result.fragmentArea += dt * (1 - float64(whole)/float64(free))
		}
		s.result.windowTime += dt
		s.lastArea = until
	}
	s.now = t
}

// wake schedules a decision at the loop's next tick.
func (s *jobsSim) wake() {
	if s.awake {
		return
	}
	s.awake = true
	tick := s.now.Sub(jobsEpoch).Truncate(jobsLoopPeriod) + jobsLoopPeriod
	s.at(jobsEpoch.Add(tick), func() {
		s.awake = false
		s.decide()
	})
}

func (s *jobsSim) arrive(t *jobsTask) {
	t.arrived = s.now
	s.queue = append(s.queue, t)
	s.wake()
}

func (s *jobsSim) cancel(t *jobsTask) {
	if !t.finished.IsZero() {
		return
	}
	t.finished = s.now
	if t.run != nil {
		s.vacate(t.run)
	}
	s.dequeue(t)
	s.wake()
}

func (s *jobsSim) dequeue(t *jobsTask) {
	s.queue = slices.DeleteFunc(s.queue, func(q *jobsTask) bool { return q == t })
}

func (s *jobsSim) snapshot() scheduler.Snapshot {
	out := scheduler.Snapshot{
		Zone: "z1", Organisations: s.load.organisations, Guarantees: s.load.guarantees, Policy: s.load.policy,
		Avoid: make(map[string][]string),
	}
	for _, w := range s.load.workers {
		w.Usable = !s.down[w.ID]
		if s.health != nil {
			w.Usable = w.Usable && s.health.Usable(w.ID)
			w.Suspect = s.health.Suspect(w.ID)
		}
		out.Workers = append(out.Workers, w)
	}
	for _, t := range s.queue {
		out.Queued = append(out.Queued, t.job)
		if s.health != nil && t.failures > 0 {
			out.Avoid[t.job.Name] = s.health.FailedWorkers(t.job.Name)
		}
	}
	for _, r := range s.running {
		out.Running = append(out.Running, scheduler.Running{
			Job: r.task.job, Workers: r.workers, StartedAt: r.placed,
			CheckpointAge: r.sinceCheckpoint(s.now), Reclaiming: r.reclaiming, Reclaimable: r.reclaimable,
		})
	}
	return out
}

func (s *jobsSim) decide() {
	s.checkEntitled()
	if s.health != nil {
		s.judge()
	}
	if len(s.queue) > 0 || s.health != nil && len(s.bad) > 0 {
		s.wakeLater()
	}
	if len(s.queue) == 0 {
		return
	}
	s.result.decisions++
	snapshot := s.snapshot()
	plan := s.policy.Schedule(s.now, snapshot)
	if s.trace != nil {
		s.trace(s.now, snapshot, plan)
	}
	for _, p := range plan.Placements {
		s.place(p)
	}
	for _, r := range plan.Reclaims {
		s.reclaim(r)
	}
	for _, w := range plan.Waiting {
		if w.Code == scheduler.ReasonImpossible {
			t := s.byName[w.Job]
			t.finished = s.now
			s.dequeue(t)
		}
	}
}

// wakeLater schedules a decision in a minute, once. The loop also decides without a change,
// because waiting times and the time of the next probe pass.
func (s *jobsSim) wakeLater() {
	if s.timer {
		return
	}
	s.timer = true
	s.at(s.now.Add(time.Minute), func() {
		s.timer = false
		s.wake()
	})
}

func (s *jobsSim) place(p scheduler.Placement) {
	t := s.byName[p.Job.Name]
	if len(p.Workers) != t.job.Spec.Members {
		s.result.partial++
		return
	}
	for _, id := range p.Workers {
		s.free[id] -= t.job.Spec.AcceleratorsPerMember
	}
	for _, id := range p.Workers {
		if s.free[id] < 0 {
			s.result.invalid++
		}
	}
	r := &jobsRun{task: t, workers: p.Workers, placed: s.now, begin: s.now.Add(jobsStartDelay), reclaimable: p.Reclaimable}
	t.run = r
	t.entitledSince = time.Time{}
	t.job.Status.Starts++
	if t.started.IsZero() {
		t.started = r.begin
	}
	s.running = append(s.running, r)
	s.dequeue(t)
	if worker, ok := s.badMember(r); ok {
		s.at(r.begin.Add(jobsBadWorkerDelay), func() { s.fail(r, worker, true) })
		return
	}
	if t.faulty {
		s.at(r.begin.Add(jobsBadWorkerDelay), func() { s.fail(r, r.workers[0], false) })
		return
	}
	s.at(r.begin.Add(t.real-t.kept), func() { s.finish(r) })
}

func (s *jobsSim) badMember(r *jobsRun) (string, bool) {
	for _, id := range r.workers {
		if s.bad[id] {
			return id, true
		}
	}
	return "", false
}

func (s *jobsSim) finish(r *jobsRun) {
	if r.ended {
		return
	}
	s.vacate(r)
	r.task.finished = s.now
	s.policy.RecordRunTime(r.task.job, r.task.real)
	if s.health != nil {
		for _, id := range r.workers {
			s.health.RecordSuccess(id)
		}
		s.health.ForgetJob(r.task.job.Name)
	}
	s.wake()
}

// vacate ends an attempt and frees its workers.
func (s *jobsSim) vacate(r *jobsRun) {
	r.ended = true
	r.task.run = nil
	for _, id := range r.workers {
		s.free[id] += r.task.job.Spec.AcceleratorsPerMember
	}
	s.running = slices.DeleteFunc(s.running, func(q *jobsRun) bool { return q == r })
}

// requeue puts a stopped job back with the work that a checkpoint kept.
func (s *jobsSim) requeue(r *jobsRun, lost time.Duration) {
	s.vacate(r)
	t := r.task
	if t.job.Spec.Restart == resource.RestartNever {
		t.finished = s.now
		s.wake()
		return
	}
	t.kept += r.progress(s.now) - lost
	t.job.Status.ConsumedSeconds = t.kept.Seconds()
	s.result.lostWork += lost.Seconds() * float64(t.job.Spec.Accelerators())
	s.queue = append(s.queue, t)
	s.wake()
}

func (s *jobsSim) reclaim(r scheduler.Reclaim) {
	t := s.byName[r.Job]
	if t == nil || t.run == nil || t.run.reclaiming {
		return
	}
	run := t.run
	run.reclaiming = true
	s.result.reclaims++
	deadline := max(r.Deadline.Sub(s.now), 0)
	switch {
	case !t.job.Spec.Checkpointable:
		s.at(s.now.Add(jobsStartDelay), func() { s.stop(run, run.progress(s.now)) })
	case t.checkpointTime <= deadline:
		saved := run.progress(s.now)
		s.at(s.now.Add(t.checkpointTime), func() { s.stop(run, run.progress(s.now)-saved) })
	default:
		s.at(s.now.Add(deadline), func() { s.stop(run, run.sinceCheckpoint(s.now)) })
	}
}

func (s *jobsSim) stop(r *jobsRun, lost time.Duration) {
	if !r.ended {
		s.requeue(r, lost)
	}
}

// fail ends an attempt by a failure on a worker.
func (s *jobsSim) fail(r *jobsRun, worker string, byWorker bool) {
	if r.ended {
		return
	}
	t := r.task
	t.failures++
	t.job.Status.Failures++
	if byWorker && !t.faulty {
		s.result.lostStarts++
	}
	if s.health != nil {
		s.health.RecordFailure(s.now, worker, t.job)
		if _, bad := s.health.JobAtFault(t.job.Name); bad {
			s.giveUp(r)
			return
		}
	} else if t.faulty && t.failures >= resource.DefaultMaxFailures {
		s.giveUp(r)
		return
	}
	s.requeue(r, r.sinceCheckpoint(s.now))
}

func (s *jobsSim) giveUp(r *jobsRun) {
	s.vacate(r)
	r.task.finished = s.now
	if s.health != nil {
		s.health.ForgetJob(r.task.job.Name)
	}
	s.wake()
}

// breakWorker begins an outage: what runs on the worker fails at once.
func (s *jobsSim) breakWorker(o jobsOutage) {
	state := s.down
	if o.bad {
		state = s.bad
	}
	state[o.worker] = true
	s.at(o.at.Add(o.length), func() {
		delete(state, o.worker)
		s.wake()
	})
	for _, r := range slices.Clone(s.running) {
		if !slices.Contains(r.workers, o.worker) {
			continue
		}
		if o.bad && s.health != nil {
			r.task.failures++
			s.health.RecordFailure(s.now, o.worker, r.task.job)
		}
		s.requeue(r, r.sinceCheckpoint(s.now))
	}
	s.wake()
}

// judge carries out what the health decisions ask for.
func (s *jobsSim) judge() {
	for _, a := range s.health.Actions(s.now) {
		switch a.Kind {
		case scheduler.HealthProbe:
			s.at(s.now.Add(jobsProbeDelay), func() {
				s.health.RecordProbe(s.now, a.Worker, !s.bad[a.Worker] && !s.down[a.Worker])
				s.wake()
			})
		case scheduler.HealthQuarantine:
			if !s.bad[a.Worker] {
				s.result.takenOut[a.Worker] = true
			}
		case scheduler.HealthReturn:
		}
	}
}

// jobsMissBound is how long a job within its organisation's guarantee may wait: the reclaim
// deadline of 5 s, two ticks of the loop and the start, within the 7.1 s of urgent work.
const jobsMissBound = 7100 * time.Millisecond

// checkEntitled counts jobs of exactly a guaranteed shape that wait although their
// organisation runs fewer of them than guaranteed.
func (s *jobsSim) checkEntitled() {
	if len(s.load.guarantees) == 0 {
		return
	}
	left := make(map[string]int)
	for _, g := range s.load.guarantees {
		left[g.Name] = g.Spec.Gangs
	}
	for _, r := range s.running {
		if g := s.guaranteeOf(r.task); g != nil {
			left[g.Name]--
		}
	}
	for _, t := range s.queue {
		g := s.guaranteeOf(t)
		if g == nil {
			continue
		}
		if left[g.Name]--; left[g.Name] < 0 {
			t.entitledSince = time.Time{}
			continue
		}
		if t.entitledSince.IsZero() {
			t.entitledSince = s.now
		}
		if s.now.Sub(t.entitledSince) > jobsMissBound && !t.missed {
			t.missed = true
			s.result.misses++
		}
	}
}

func (s *jobsSim) guaranteeOf(t *jobsTask) *resource.Guarantee {
	for _, g := range s.load.guarantees {
		spec := &t.job.Spec
		if g.Spec.Organisation == spec.Organisation && g.Spec.Members == spec.Members &&
			g.Spec.AcceleratorsPerMember == spec.AcceleratorsPerMember && g.Spec.Adjacency == spec.Adjacency {
			return g
		}
	}
	return nil
}

func jobsRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x6f6c65616e646572)) }
