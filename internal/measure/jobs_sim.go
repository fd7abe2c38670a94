// Package measure compares the scheduling and request-handling policies of this project with
// baselines. The simulations run in virtual time and are deterministic for a given seed.
package measure

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// Periods and delays of the simulated control plane and workers.
const (
	// jobsLoopPeriod is the period of the placement loop.
	jobsLoopPeriod = 500 * time.Millisecond
	// jobsCommandDelay is the time from a placement decision until the members run, which covers
	// reserve, commit and start. It is also the time from a preemption decision until a job that
	// is not checkpointable stops.
	jobsCommandDelay = 400 * time.Millisecond
	// jobsCheckpointPeriod is the period at which a checkpointable job writes checkpoints
	// without being asked to.
	jobsCheckpointPeriod = 10 * time.Minute
	// jobsFailureDelay is the time from the start of a run to its failure, on a bad worker or
	// for a faulty job.
	jobsFailureDelay = 2 * time.Second
	// jobsProbeDelay is the duration of a probe of a worker.
	jobsProbeDelay = time.Second
)

// jobsEpoch is the start of virtual time.
var jobsEpoch = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

// simJob is one job of a workload with its state in the simulation. The scheduler sees only
// the resource.
type simJob struct {
	resource *resource.Job
	// runTime is how long the job runs if it is not interrupted.
	runTime time.Duration
	// checkpointTime is the duration of the checkpoint that the job writes when it is preempted.
	checkpointTime time.Duration
	// cancelAt is when the operator cancels the job. Zero means never.
	cancelAt time.Time
	// faulty jobs fail on every worker jobsFailureDelay after the start.
	faulty bool
	// impossible jobs do not fit on any set of workers, not even idle ones.
	impossible bool

	arrived  time.Time
	started  time.Time
	finished time.Time
	// savedWork is the work of earlier runs that checkpoints have saved.
	savedWork       time.Duration
	failures        int
	guaranteeMissed bool
	// entitledSince is when the queued job became entitled to its organisation's guarantee.
	// Zero means that it is not entitled.
	entitledSince time.Time
	run           *jobsRun
}

// jobsRun is one run of a job.
type jobsRun struct {
	job      *simJob
	workers  []string
	placedAt time.Time
	// startsAt is when the members start to run.
	startsAt time.Time
	// preempting is true once the run has been asked to stop.
	preempting bool
	// reclaimable is copied from scheduler.Placement.Reclaimable.
	reclaimable bool
	ended       bool
}

// progress returns the work done in this run.
func (r *jobsRun) progress(now time.Time) time.Duration { return max(now.Sub(r.startsAt), 0) }

// sinceCheckpoint returns the work that is lost if the run stops now without a checkpoint.
func (r *jobsRun) sinceCheckpoint(now time.Time) time.Duration {
	if !r.job.resource.Spec.Checkpointable {
		return r.progress(now)
	}
	return r.progress(now) % jobsCheckpointPeriod
}

// jobsOutage makes a worker unavailable or bad for a time.
type jobsOutage struct {
	worker string
	at     time.Time
	length time.Duration
	// bad means that the worker stays available but every run on it fails. Otherwise it is down.
	bad bool
}

// jobsWorkload contains the workers, jobs and outages of one zone. It does not depend on the
// scheduler.
type jobsWorkload struct {
	workers         []scheduler.Worker
	organisations   map[string]*resource.Organisation
	guarantees      []*resource.Guarantee
	jobs            []*simJob
	outages         []jobsOutage
	placementPolicy resource.PlacementPolicy
	// window is the time from the start over which utilisation and fragmentation are averaged.
	window time.Duration
	// horizon is when the simulation ends, even if jobs are unfinished.
	horizon time.Duration
}

// jobsEvent is an action scheduled for a point in virtual time.
type jobsEvent struct {
	at     time.Time
	seq    int
	action func()
}

// jobsEvents is a heap of events, ordered by time and then by the order of scheduling.
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

// jobsSim simulates a workload under a scheduler.
type jobsSim struct {
	workload  *jobsWorkload
	scheduler scheduler.Scheduler
	// health is nil for policies that do not track the health of workers.
	health *scheduler.Health
	now    time.Time
	events jobsEvents
	seq    int
	// decisionScheduled is true while a decision is scheduled for the next tick of the
	// placement loop.
	decisionScheduled bool
	// delayedDecisionScheduled is true while a call of scheduleDecision is scheduled that does
	// not depend on a change of state.
	delayedDecisionScheduled bool
	// down and bad contain the ids of the workers that an outage makes unavailable or bad.
	down    map[string]bool
	bad     map[string]bool
	queue   []*simJob
	running []*jobsRun
	byName  map[string]*simJob
	result  jobsResult
	// free is the number of free accelerators by worker.
	free          map[string]int
	averagedUntil time.Time
	// trace, if not nil, is called with each decision.
	trace func(now time.Time, s scheduler.Snapshot, p scheduler.Plan)
}

// jobsResult contains the counters and sums of a simulation.
type jobsResult struct {
	// busyAcceleratorSeconds and windowSeconds cover the window of the workload.
	busyAcceleratorSeconds float64
	// fragmentedSeconds is the integral over time of the fraction of the free accelerators that
	// are on partly used workers.
	fragmentedSeconds float64
	windowSeconds     float64
	partialGangs      int
	// oversubscribed counts the members placed on workers without enough free accelerators.
	oversubscribed  int
	guaranteeMisses int
	// lostStarts counts the runs that were started on a bad worker and failed, except those of faulty
	// jobs. Runs that a worker already had when it became bad are not counted.
	lostStarts  int
	preemptions int
	// lostAcceleratorSeconds is the work lost when runs stopped or failed.
	lostAcceleratorSeconds float64
	// healthyQuarantined contains the ids of quarantined workers that were not bad.
	healthyQuarantined map[string]bool
	decisions          int
}

func newJobsSim(workload *jobsWorkload, policy scheduler.Scheduler, health *scheduler.Health) *jobsSim {
	s := &jobsSim{
		workload: workload, scheduler: policy, health: health, now: jobsEpoch, averagedUntil: jobsEpoch,
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

// at schedules an action for time t.
func (s *jobsSim) at(t time.Time, do func()) {
	s.seq++
	heap.Push(&s.events, jobsEvent{t, s.seq, do})
}

// simulate runs until no events are left or the horizon is reached.
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

// advance sets the clock to t. It first adds the elapsed time to the time averages, which cover
// the window of the workload only.
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

// scheduleDecision schedules a decision at the next tick of the placement loop, unless one is
// already scheduled.
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
		Zone: "z1", Organisations: s.workload.organisations, Guarantees: s.workload.guarantees, Policy: s.workload.placementPolicy,
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

// decide runs one pass of the placement loop.
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
	plan := s.scheduler.Schedule(s.now, snapshot)
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

// scheduleDelayedDecision calls scheduleDecision in a minute, unless such a call is already
// scheduled. A decision can differ without a change of state, because waiting times grow and
// probes become due.
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

// place starts a run of a queued job.
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
	r := &jobsRun{job: j, workers: p.Workers, placedAt: s.now, startsAt: s.now.Add(jobsCommandDelay), reclaimable: p.Reclaimable}
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

// badWorker returns the first bad worker of a run, if there is one.
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
	s.scheduler.RecordRunTime(r.job.resource, r.job.runTime)
	if s.health != nil {
		for _, id := range r.workers {
			s.health.RecordSuccess(id)
		}
		s.health.ForgetJob(r.job.resource.Name)
	}
	s.scheduleDecision()
}

// endRun ends a run and releases the resources on its workers.
func (s *jobsSim) endRun(r *jobsRun) {
	r.ended = true
	r.job.run = nil
	for _, id := range r.workers {
		s.free[id] += r.job.resource.Spec.AcceleratorsPerMember
	}
	s.running = slices.DeleteFunc(s.running, func(q *jobsRun) bool { return q == r })
}

// requeue ends a run and puts its job back into the queue. The job keeps the work of the run
// except lost. A job that must not be restarted is finished instead.
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

// preempt asks a running job to write a checkpoint and stop. A checkpointable job whose
// checkpoint takes longer than the deadline is stopped at the deadline without it.
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
		s.at(s.now.Add(jobsCommandDelay), func() { s.stopRun(run, run.progress(s.now)) })
	case j.checkpointTime <= deadline:
		saved := run.progress(s.now)
		s.at(s.now.Add(j.checkpointTime), func() { s.stopRun(run, run.progress(s.now)-saved) })
	default:
		s.at(s.now.Add(deadline), func() { s.stopRun(run, run.sinceCheckpoint(s.now)) })
	}
}

// stopRun requeues the job of a run that has not ended.
func (s *jobsSim) stopRun(r *jobsRun, lost time.Duration) {
	if !r.ended {
		s.requeue(r, lost)
	}
}

// failRun ends a run by a failure on a worker. workerFault is true if the worker is bad. The job is
// requeued unless s.health finds that it is at fault. Without health, a faulty job is failed after
// resource.DefaultMaxFailures failures: the simulation knows which jobs are faulty.
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

// failJob ends a run and its job for good.
func (s *jobsSim) failJob(r *jobsRun) {
	s.endRun(r)
	r.job.finished = s.now
	if s.health != nil {
		s.health.ForgetJob(r.job.resource.Name)
	}
	s.scheduleDecision()
}

// startOutage makes the worker of an outage bad or unavailable, schedules the end of the outage,
// and requeues the jobs that run on the worker.
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

// applyHealthActions carries out the actions of the health tracker. It counts quarantines of
// workers that are not bad.
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

// jobsGuaranteeWaitLimit is how long a job within its organisation's guarantee may wait. The
// wait is at most the preemption deadline of 5 s, two periods of the placement loop and the
// start delay, which is within 7.1 s, the target of BenchmarkPolicyUrgent for urgent jobs.
const jobsGuaranteeWaitLimit = 7100 * time.Millisecond

// countGuaranteeMisses counts the jobs that wait longer than jobsGuaranteeWaitLimit although
// their shape is exactly that of a guarantee and their organisation runs fewer of them than
// guaranteed. Each job is counted once.
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

// guaranteeOf returns the guarantee of the job's organisation that has exactly the job's shape,
// or nil.
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

// jobsRand returns a generator for a seed. The second half of the PCG's seed is fixed: "oleander" in
// ASCII.
func jobsRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 0x6f6c65616e646572)) }
