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
	// jobsFailureDelay is how soon a bad worker fails what it starts.
	jobsFailureDelay = 2 * time.Second
	// jobsProbeDelay is how long a probe of a worker takes.
	jobsProbeDelay = time.Second
)

// jobsEpoch is the begin of virtual time.
var jobsEpoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// simJob is one job of a workload with what the scheduler is not told.
type simJob struct {
	resource *resource.Job
	// runTime is the run time without interruption.
	runTime time.Duration
	// checkpointTime is how long a checkpoint takes when the job is asked to stop.
	checkpointTime time.Duration
	// cancelAt is when the operator cancels the job, zero for never.
	cancelAt time.Time
	// faulty jobs fail on every worker soon after the start.
	faulty bool
	// impossible jobs fit on no set of workers.
	impossible bool

	arrived         time.Time
	started         time.Time
	finished        time.Time
	savedWork       time.Duration
	failures        int
	guaranteeMissed bool
	// entitledSince is when the job became entitled to its organisation's guarantee.
	entitledSince time.Time
	run           *jobsRun
}

// jobsRun is one attempt.
type jobsRun struct {
	job        *simJob
	workers    []string
	placedAt   time.Time
	startsAt   time.Time
	preempting bool
	// reclaimable is the value of the placement.
	reclaimable bool
	ended       bool
}

// progress returns the work done in this attempt.
func (r *jobsRun) progress(now time.Time) time.Duration { return max(now.Sub(r.startsAt), 0) }

// sinceCheckpoint returns the work lost by stopping without a checkpoint.
func (r *jobsRun) sinceCheckpoint(now time.Time) time.Duration {
	if !r.job.resource.Spec.Checkpointable {
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
	jobs          []*simJob
	outages       []jobsOutage
	policy        resource.PlacementPolicy
	// window is the time over which utilisation and fragmentation are averaged.
	window time.Duration
	// horizon ends the simulation.
	horizon time.Duration
}

// jobsEvent is an entry of the simulation's queue.
type jobsEvent struct {
	at     time.Time
	seq    int
	action func()
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
	workload *jobsWorkload
	policy   scheduler.Scheduler
	// health is nil for policies that do not judge workers.
	health *scheduler.Health
	now    time.Time
	events jobsEvents
	seq    int
	// decisionScheduled is set while a decision is scheduled.
	decisionScheduled bool
	// delayedDecisionScheduled is set while a later decision without a cause is scheduled.
	delayedDecisionScheduled bool
	down                     map[string]bool
	bad                      map[string]bool
	queue                    []*simJob
	running                  []*jobsRun
	byName                   map[string]*simJob
	result                   jobsResult
	// free is the number of free accelerators by worker.
	free          map[string]int
	averagedUntil time.Time
	// trace, if set, receives each decision.
	trace func(now time.Time, s scheduler.Snapshot, p scheduler.Plan)
}

// jobsResult has the raw sums of a run.
type jobsResult struct {
	busyAcceleratorSeconds float64
	fragmentedSeconds      float64
	windowSeconds          float64
	partialGangs           int
	oversubscribed         int
	guaranteeMisses        int
	lostStarts             int
	preemptions            int
	lostAcceleratorSeconds float64
	healthyQuarantined     map[string]bool
	decisions              int
}

func newJobsSim(workload *jobsWorkload, policy scheduler.Scheduler, health *scheduler.Health) *jobsSim {
	s := &jobsSim{
		workload: workload, policy: policy, health: health, now: jobsEpoch, averagedUntil: jobsEpoch,
		down: make(map[string]bool), bad: make(map[string]bool), byName: make(map[string]*simJob),
		free: make(map[string]int),
	}
	s.result.healthyQuarantined = make(map[string]bool)
	for _, w := range workload.workers {
		s.free[w.ID] = w.Accelerators
	}
	for _, j := range workload.jobs {
		s.byName[j.resource.Name] = j
		s.at(j.resource.Created, func() { s.enqueue(j) })
		if !j.cancelAt.IsZero() {
			s.at(j.cancelAt, func() { s.cancel(j) })
		}
	}
	for _, o := range workload.outages {
		s.at(o.at, func() { s.startOutage(o) })
	}
	return s
}

func (s *jobsSim) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, jobsEvent{t, s.seq, do})
}

// simulate runs until all jobs have ended or the horizon is reached.
func (s *jobsSim) simulate() {
	end := jobsEpoch.Add(s.workload.horizon)
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(jobsEvent)
		if e.at.After(end) {
			break
		}
		s.advance(e.at)
		e.action()
	}
	s.advance(end)
}

// advance moves the clock and adds to the time averages.
func (s *jobsSim) advance(t time.Time) {
	windowEnd := jobsEpoch.Add(s.workload.window)
	until := t
	if until.After(windowEnd) {
		until = windowEnd
	}
	if dt := until.Sub(s.averagedUntil).Seconds(); dt > 0 {
		busy, free, whole := 0, 0, 0
		for _, w := range s.workload.workers {
			f := s.free[w.ID]
			busy += w.Accelerators - f
			free += f
			if f == w.Accelerators {
				whole += f
			}
		}
		s.result.busyAcceleratorSeconds += dt * float64(busy)
		if free > 0 {
			s.result.fragmentedSeconds += dt * (1 - float64(whole)/float64(free))
		}
		s.result.windowSeconds += dt
		s.averagedUntil = until
	}
	s.now = t
}

// scheduleDecision schedules a decision at the loop's next tick.
func (s *jobsSim) scheduleDecision() {
	if s.decisionScheduled {
		return
	}
	s.decisionScheduled = true
	tick := s.now.Sub(jobsEpoch).Truncate(jobsLoopPeriod) + jobsLoopPeriod
	s.at(jobsEpoch.Add(tick), func() {
		s.decisionScheduled = false
		s.decide()
	})
}

func (s *jobsSim) enqueue(j *simJob) {
	j.arrived = s.now
	s.queue = append(s.queue, j)
	s.scheduleDecision()
}

func (s *jobsSim) cancel(j *simJob) {
	if !j.finished.IsZero() {
		return
	}
	j.finished = s.now
	if j.run != nil {
		s.endRun(j.run)
	}
	s.dequeue(j)
	s.scheduleDecision()
}

func (s *jobsSim) dequeue(j *simJob) {
	s.queue = slices.DeleteFunc(s.queue, func(q *simJob) bool { return q == j })
}

func (s *jobsSim) snapshot() scheduler.Snapshot {
	out := scheduler.Snapshot{
		Zone: "z1", Organisations: s.workload.organisations, Guarantees: s.workload.guarantees, Policy: s.workload.policy,
		Avoid: make(map[string][]string),
	}
	for _, w := range s.workload.workers {
		w.Usable = !s.down[w.ID]
		if s.health != nil {
			w.Usable = w.Usable && s.health.Usable(w.ID)
			w.Suspect = s.health.Suspect(w.ID)
		}
		out.Workers = append(out.Workers, w)
	}
	for _, j := range s.queue {
		out.Queued = append(out.Queued, j.resource)
		if s.health != nil && j.failures > 0 {
			out.Avoid[j.resource.Name] = s.health.FailedWorkers(j.resource.Name)
		}
	}
	for _, r := range s.running {
		out.Running = append(out.Running, scheduler.Running{
			Job: r.job.resource, Workers: r.workers, StartedAt: r.placedAt,
			CheckpointAge: r.sinceCheckpoint(s.now), Reclaiming: r.preempting, Reclaimable: r.reclaimable,
		})
	}
	return out
}

func (s *jobsSim) decide() {
	s.countGuaranteeMisses()
	if s.health != nil {
		s.applyHealthActions()
	}
	if len(s.queue) > 0 || s.health != nil && len(s.bad) > 0 {
		s.scheduleDelayedDecision()
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
		s.preempt(r)
	}
	for _, w := range plan.Waiting {
		if w.Code == scheduler.ReasonImpossible {
			j := s.byName[w.Job]
			j.finished = s.now
			s.dequeue(j)
		}
	}
}

// scheduleDelayedDecision schedules a decision in a minute, once. The loop also decides without a change,
// because waiting times and the time of the next probe pass.
func (s *jobsSim) scheduleDelayedDecision() {
	if s.delayedDecisionScheduled {
		return
	}
	s.delayedDecisionScheduled = true
	s.at(s.now.Add(time.Minute), func() {
		s.delayedDecisionScheduled = false
		s.scheduleDecision()
	})
}

func (s *jobsSim) place(p scheduler.Placement) {
	j := s.byName[p.Job.Name]
	if len(p.Workers) != j.resource.Spec.Members {
		s.result.partialGangs++
		return
	}
	for _, id := range p.Workers {
		s.free[id] -= j.resource.Spec.AcceleratorsPerMember
	}
	for _, id := range p.Workers {
		if s.free[id] < 0 {
			s.result.oversubscribed++
		}
	}
	r := &jobsRun{job: j, workers: p.Workers, placedAt: s.now, startsAt: s.now.Add(jobsStartDelay), reclaimable: p.Reclaimable}
	j.run = r
	j.entitledSince = time.Time{}
	j.resource.Status.Starts++
	if j.started.IsZero() {
		j.started = r.startsAt
	}
	s.running = append(s.running, r)
	s.dequeue(j)
	if worker, found := s.badWorker(r); found {
		s.at(r.startsAt.Add(jobsFailureDelay), func() { s.failRun(r, worker, true) })
		return
	}
	if j.faulty {
		s.at(r.startsAt.Add(jobsFailureDelay), func() { s.failRun(r, r.workers[0], false) })
		return
	}
	s.at(r.startsAt.Add(j.runTime-j.savedWork), func() { s.finishJob(r) })
}

func (s *jobsSim) badWorker(r *jobsRun) (string, bool) {
	for _, id := range r.workers {
		if s.bad[id] {
			return id, true
		}
	}
	return "", false
}

func (s *jobsSim) finishJob(r *jobsRun) {
	if r.ended {
		return
	}
	s.endRun(r)
	r.job.finished = s.now
	s.policy.RecordRunTime(r.job.resource, r.job.runTime)
	if s.health != nil {
		for _, id := range r.workers {
			s.health.RecordSuccess(id)
		}
		s.health.ForgetJob(r.job.resource.Name)
	}
	s.scheduleDecision()
}

// endRun ends an attempt and frees its workers.
func (s *jobsSim) endRun(r *jobsRun) {
	r.ended = true
	r.job.run = nil
	for _, id := range r.workers {
		s.free[id] += r.job.resource.Spec.AcceleratorsPerMember
	}
	s.running = slices.DeleteFunc(s.running, func(q *jobsRun) bool { return q == r })
}

// requeue puts a stopped job back with the work that a checkpoint kept.
func (s *jobsSim) requeue(r *jobsRun, lost time.Duration) {
	s.endRun(r)
	j := r.job
	if j.resource.Spec.Restart == resource.RestartNever {
		j.finished = s.now
		s.scheduleDecision()
		return
	}
	j.savedWork += r.progress(s.now) - lost
	j.resource.Status.ConsumedSeconds = j.savedWork.Seconds()
	s.result.lostAcceleratorSeconds += lost.Seconds() * float64(j.resource.Spec.Accelerators())
	s.queue = append(s.queue, j)
	s.scheduleDecision()
}

func (s *jobsSim) preempt(r scheduler.Reclaim) {
	j := s.byName[r.Job]
	if j == nil || j.run == nil || j.run.preempting {
		return
	}
	run := j.run
	run.preempting = true
	s.result.preemptions++
	deadline := max(r.Deadline.Sub(s.now), 0)
	switch {
	case !j.resource.Spec.Checkpointable:
		s.at(s.now.Add(jobsStartDelay), func() { s.stopRun(run, run.progress(s.now)) })
	case j.checkpointTime <= deadline:
		saved := run.progress(s.now)
		s.at(s.now.Add(j.checkpointTime), func() { s.stopRun(run, run.progress(s.now)-saved) })
	default:
		s.at(s.now.Add(deadline), func() { s.stopRun(run, run.sinceCheckpoint(s.now)) })
	}
}

func (s *jobsSim) stopRun(r *jobsRun, lost time.Duration) {
	if !r.ended {
		s.requeue(r, lost)
	}
}

// failRun ends an attempt by a failure on a worker.
func (s *jobsSim) failRun(r *jobsRun, worker string, workerFault bool) {
	if r.ended {
		return
	}
	j := r.job
	j.failures++
	j.resource.Status.Failures++
	if workerFault && !j.faulty {
		s.result.lostStarts++
	}
	if s.health != nil {
		s.health.RecordFailure(s.now, worker, j.resource)
		if _, bad := s.health.JobAtFault(j.resource.Name); bad {
			s.failJob(r)
			return
		}
	} else if j.faulty && j.failures >= resource.DefaultMaxFailures {
		s.failJob(r)
		return
	}
	s.requeue(r, r.sinceCheckpoint(s.now))
}

func (s *jobsSim) failJob(r *jobsRun) {
	s.endRun(r)
	r.job.finished = s.now
	if s.health != nil {
		s.health.ForgetJob(r.job.resource.Name)
	}
	s.scheduleDecision()
}

// startOutage begins an outage: what runs on the worker fails at once.
func (s *jobsSim) startOutage(o jobsOutage) {
	state := s.down
	if o.bad {
		state = s.bad
	}
	state[o.worker] = true
	s.at(o.at.Add(o.length), func() {
		delete(state, o.worker)
		s.scheduleDecision()
	})
	for _, r := range slices.Clone(s.running) {
		if !slices.Contains(r.workers, o.worker) {
			continue
		}
		if o.bad && s.health != nil {
			r.job.failures++
			s.health.RecordFailure(s.now, o.worker, r.job.resource)
		}
		s.requeue(r, r.sinceCheckpoint(s.now))
	}
	s.scheduleDecision()
}

// applyHealthActions carries out what the health decisions ask for.
func (s *jobsSim) applyHealthActions() {
	for _, a := range s.health.Actions(s.now) {
		switch a.Kind {
		case scheduler.HealthProbe:
			s.at(s.now.Add(jobsProbeDelay), func() {
				s.health.RecordProbe(s.now, a.Worker, !s.bad[a.Worker] && !s.down[a.Worker])
				s.scheduleDecision()
			})
		case scheduler.HealthQuarantine:
			if !s.bad[a.Worker] {
				s.result.healthyQuarantined[a.Worker] = true
			}
		case scheduler.HealthReturn:
		}
	}
}

// jobsGuaranteeWaitLimit is how long a job within its organisation's guarantee may wait: the reclaim
// deadline of 5 s, two ticks of the loop and the start, within the 7.1 s of urgent work.
const jobsGuaranteeWaitLimit = 7100 * time.Millisecond

// countGuaranteeMisses counts jobs of exactly a guaranteed shape that wait although their
// organisation runs fewer of them than guaranteed.
func (s *jobsSim) countGuaranteeMisses() {
	if len(s.workload.guarantees) == 0 {
		return
	}
	unusedGangs := make(map[string]int)
	for _, g := range s.workload.guarantees {
		unusedGangs[g.Name] = g.Spec.Gangs
	}
	for _, r := range s.running {
		if g := s.guaranteeOf(r.job); g != nil {
			unusedGangs[g.Name]--
		}
	}
	for _, j := range s.queue {
		g := s.guaranteeOf(j)
		if g == nil {
			continue
		}
		if unusedGangs[g.Name]--; unusedGangs[g.Name] < 0 {
			j.entitledSince = time.Time{}
			continue
		}
		if j.entitledSince.IsZero() {
			j.entitledSince = s.now
		}
		if s.now.Sub(j.entitledSince) > jobsGuaranteeWaitLimit && !j.guaranteeMissed {
			j.guaranteeMissed = true
			s.result.guaranteeMisses++
		}
	}
}

func (s *jobsSim) guaranteeOf(j *simJob) *resource.Guarantee {
	for _, g := range s.workload.guarantees {
		spec := &j.resource.Spec
		if g.Spec.Organisation == spec.Organisation && g.Spec.Members == spec.Members &&
			g.Spec.AcceleratorsPerMember == spec.AcceleratorsPerMember && g.Spec.Adjacency == spec.Adjacency {
			return g
		}
	}
	return nil
}

func jobsRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x6f6c65616e646572)) }
