package controller

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// drainStopMargin is the time between the stop of the checkpointing tasks on a draining worker
	// and the earliest shutdown of the worker, so that the stop completes in time.
	drainStopMargin = 700 * time.Millisecond
)

// plan runs one planning round and carries out its decisions.
func (l *leader) plan() {
	started := time.Now()
	if !l.updateEvacuations() {
		return
	}
	snapshot, workers, units := l.snapshot()
	if len(units) == 0 || len(workers) == 0 {
		l.c.metrics.setWaiting(nil)
		l.c.metrics.stranded.set(nil)
		return
	}
	gathered := time.Since(started)
	if started.Sub(l.strandedAt) >= strandedInterval {
		l.strandedAt = started
		l.c.metrics.stranded.set(planner.Stranded(snapshot.Workers, snapshot.Units))
	}
	decision, failure := l.c.decide(snapshot)
	if failure != nil {
		l.excludeUnit(units[failure.Unit], failure)
		return
	}
	l.rounds.add(gathered, time.Since(started), len(workers), len(units))
	trackHeldBack(units, decision.Waits)
	l.reportWaits(&snapshot, units, decision.Waits)
	for _, stop := range decision.Stops {
		l.preempt(stop.Group, units[stop.Unit], stop.Cause)
	}
	for _, s := range decision.Starts {
		l.placeTasks(units[s.Unit], s.Workers, workers, &snapshot.Units[s.Unit])
	}
	l.c.metrics.planTime.UpdateDuration(started)
}

// excludeUnit leaves a unit out of all further planning rounds of the term after a panic in the planner. Otherwise one job could
// keep all others from running.
func (l *leader) excludeUnit(u *unit, f *planner.Failure) {
	u.excluded, l.planDue = true, true
	l.c.metrics.excludedUnits.Inc()
	l.logger.Error().Str("job", u.job.spec.ID).Str("step", u.tasks[0].id.StepName()).Str("panic", f.Cause).Str("stack", f.Stack).
		Msg("step is left out after a panic in the planner")
}

// roundsLogInterval is the time between two log lines about planning rounds.
const roundsLogInterval = 5 * time.Second

// roundStats sums up the planning rounds since the last log line about them.
type roundStats struct {
	count int
	// gathering is the time for the snapshots, total the time including decisions, longest that of the longest round.
	gathering, total, longest time.Duration
	// workers and units are the sizes of the longest round.
	workers, units int
	loggedAt       boottime.Instant
}

func (s *roundStats) add(gathering, total time.Duration, workers, units int) {
	s.count++
	s.gathering += gathering
	s.total += total
	if total > s.longest {
		s.longest, s.workers, s.units = total, workers, units
	}
}

// logRounds logs the duration of the planning rounds of the last roundsLogInterval, if there were any.
func (l *leader) logRounds(now boottime.Instant) {
	s := &l.rounds
	if s.count == 0 || now.Sub(s.loggedAt) < roundsLogInterval {
		return
	}
	l.logger.Info().Int("rounds", s.count).Dur("gathering", s.gathering/time.Duration(s.count)).Dur("mean", s.total/time.Duration(s.count)).
		Dur("longest", s.longest).Int("workers", s.workers).Int("units", s.units).Msg("planning rounds")
	*s = roundStats{loggedAt: now}
}

// snapshot returns the planner's input, and the workers and units that its indices refer to. It logs the units that must not
// be placed now.
func (l *leader) snapshot() (planner.Snapshot, []*workerState, []*unit) {
	now := boottime.Now()
	l.updateRepeats(now)
	s, workers := l.describeWorkers(now)
	s.Headroom = l.peaks.Update(time.Duration(now), l.urgentUsage())
	units, unplanned := l.describeUnits(&s, nil, l.assignGuarantees(), now)
	l.continueRounds()
	for _, u := range units {
		u.readySince = u.waitingSince(now)
	}
	for _, u := range unplanned {
		u.readySince = u.waitingSince(now)
		if reason := l.adviceWaitReason(u); u.waitLogDue(reason, now) {
			l.logWait(u, reason, "", 0, now)
		}
	}
	return s, workers, units
}

// describeWorkers returns a snapshot that has only the workers, and the workers that its indices refer to.
func (l *leader) describeWorkers(now boottime.Instant) (planner.Snapshot, []*workerState) {
	s := planner.Snapshot{Conflicts: l.interference.conflicts}
	ids := slices.Sorted(maps.Keys(l.workers))
	closed := l.closedByEvacuation(now)
	workers := make([]*workerState, 0, len(ids))
	s.Workers = make([]planner.Worker, 0, len(ids))
	for _, id := range ids {
		ws := l.workers[id]
		if !ws.registered {
			continue
		}
		workers = append(workers, ws)
		described := l.describeWorker(ws, now)
		described.Evacuated = closed[ws]
		s.Workers = append(s.Workers, described)
	}
	return s, workers
}

// describeUnits adds the waiting units of all jobs, and of extra if it is not nil, to a snapshot that has the workers. It
// returns the units that the indices in the snapshot refer to, and those that must not be placed now. It changes no units.
func (l *leader) describeUnits(s *planner.Snapshot, extra *job, guaranteed map[*job]bool, now boottime.Instant) (units, unplanned []*unit) {
	unused := halfUnused(s.Workers)
	describe := func(j *job) {
		considered, _ := j.roundUnits(j.nextExamined, roundLimit)
		for _, u := range considered {
			n := u.waiting()
			if u.excluded || now < u.notBefore || !l.due(j, u.occurrence) {
				continue
			}
			if j.hypothetical {
				n = u.step.Count
			}
			d, ok := l.describeUnit(u, n, now, guaranteed[j])
			if !ok {
				unplanned = append(unplanned, u)
				continue
			}
			d.AcceptsSlow = unused[d.Service] && !j.hasRuns() && now.Sub(u.waitingSince(now)) >= acceptsSlowAfter
			units = append(units, u)
			s.Units = append(s.Units, d)
		}
	}
	for _, j := range l.activeJobs() {
		describe(j)
	}
	if extra != nil {
		describe(extra)
	}
	return units, unplanned
}

// roundLimit limits the waiting units, and about the waiting tasks, of one job that a planning round considers.
var roundLimit = roundBudget{units: 384, tasks: 8192}

// roundBudget is how much of a job one planning round may still consider.
type roundBudget struct{ units, tasks int }

// roundUnits returns the waiting units of the job that one round considers, in the order of their indices, and the index from
// which the next round continues, which is 0 if these are all. Without the limits, one job with many units would take the
// leader away from all others. A third of the limits is for the first waiting units, so that early occurrences go first. The
// rest is for the others by turns, from the given index on: units that cannot be placed must not keep the others from running.
func (j *job) roundUnits(from int, limit roundBudget) (units []*unit, next int) {
	if j.waiting.count == 0 {
		return nil, 0
	}
	first := roundBudget{limit.units / 3, limit.tasks / 3}
	others := roundBudget{limit.units - first.units, limit.tasks - first.tasks}
	end := len(j.units)
	units, firstEnd := j.appendWaiting(make([]*unit, 0, min(j.waiting.count, limit.units)), 0, end, &first)
	from = max(from, firstEnd)
	units, next = j.appendWaiting(units, from, end, &others)
	if next == end {
		units, next = j.appendWaiting(units, firstEnd, from, &others)
	}
	if len(units) == j.waiting.count {
		next = 0
	}
	slices.SortFunc(units, func(a, b *unit) int { return cmp.Compare(a.position(), b.position()) })
	return units, next
}

// appendWaiting appends waiting units with indices from first to before end until they use up the budget, which the last one
// may exceed. It returns the index after the last one, or end if there are no more.
func (j *job) appendWaiting(units []*unit, first, end int, budget *roundBudget) ([]*unit, int) {
	for i := j.waiting.next(first); i >= 0 && i < end; i = j.waiting.next(i + 1) {
		if budget.units <= 0 || budget.tasks <= 0 {
			return units, i
		}
		budget.units--
		budget.tasks -= j.units[i].idleTasks
		units = append(units, j.units[i])
	}
	return units, end
}

// continueRounds makes the next round consider the waiting units that follow those of this one.
func (l *leader) continueRounds() {
	l.unitsLeft = 0
	for _, j := range l.activeJobs() {
		var units []*unit
		units, j.nextExamined = j.roundUnits(j.nextExamined, roundLimit)
		l.unitsLeft += j.waiting.count - len(units)
	}
}

// waitingSince returns since when the unit has been considered for planning: now if this is the first time.
func (u *unit) waitingSince(now boottime.Instant) boottime.Instant {
	if u.readySince == 0 {
		return now
	}
	return u.readySince
}

// urgentUsage returns the number of accelerators that the queues of priority 0 use, by service (pool of workers).
func (l *leader) urgentUsage() map[string]float64 {
	used := make(map[string]float64)
	for _, ws := range l.workers {
		if l.evacuated(ws) {
			// What these runs are followed by needs room elsewhere.
			continue
		}
		for _, r := range ws.runs {
			if r.task.unit.job.spec.Rules.Priority == 0 {
				used[ws.info.Service] += float64(r.task.unit.step.GPU)
			}
		}
	}
	return used
}

func (l *leader) describeWorker(ws *workerState, now boottime.Instant) planner.Worker {
	w := planner.Worker{
		ID: ws.id, Service: ws.info.Service, Rack: ws.info.Rack, Labels: ws.info.Labels, AcceptsWork: ws.acceptsWork(now) && !l.maintenance.isPreparing(ws.id),
		Free: ws.capacity(), Suspicion: len(ws.failedJobs), Slow: now < ws.slowUntil,
		Speed: l.speedOf(ws), Cold: now < ws.coldUntil, Runs: make([]planner.Run, 0, len(ws.runs)),
	}
	for _, r := range ws.runs {
		step := r.task.unit.step
		w.RunsServing = w.RunsServing || step.TailLatencyTargetMS > 0
		w.RunsFiller = w.RunsFiller || step.Filler
		need := needOf(step)
		w.Free = w.Free.Sub(need)
		if r.state == stopping {
			w.Releasing = w.Releasing.Add(need)
			continue
		}
		w.Runs = append(w.Runs, planner.Run{
			Group: r.groupID(), Need: need, Priority: r.task.unit.job.spec.Rules.Priority,
			Guaranteed: r.guaranteed, Protected: step.LongRunning || r.state == adopting, LostWork: r.preemptionLoss(now),
			Org: r.task.unit.job.spec.Org, Preempted: r.task.preemptedAt != 0 && l.repeats.Spares(ws.info.Service),
		})
	}
	l.addConflictKinds(&w, ws)
	return w
}

// groupIDsPerUnit is the size of the range of group IDs that each unit has: one ID for the gang and
// one for each task. It must be greater than the number of tasks of a unit.
const groupIDsPerUnit = 1 << 20

// groupID returns the ID of the set of runs that are preempted together: a gang, or a single task.
func (r *run) groupID() int {
	u := r.task.unit
	if u.gang() {
		return u.id * groupIDsPerUnit
	}
	return u.id*groupIDsPerUnit + r.task.id.Index + 1
}

// preemptionLoss returns the work that is lost if the run, or its whole gang, is stopped, in weighted core-seconds.
func (r *run) preemptionLoss(now boottime.Instant) float64 {
	u := r.task.unit
	return planner.LostWork(requestOf(u.step), u.groupSize(), now.Sub(r.placedAt), u.step.Checkpoints)
}

// groupSize returns the number of tasks that run and stop together.
func (u *unit) groupSize() int {
	if u.gang() {
		return len(u.tasks)
	}
	return 1
}

// describeUnit returns the planner's view of a unit, and false if the unit must not be placed now.
func (l *leader) describeUnit(u *unit, waiting int, now boottime.Instant, guaranteed bool) (planner.Unit, bool) {
	j := u.job
	d := planner.Unit{
		Service: j.spec.Rules.Service, Org: j.spec.Org, Priority: j.spec.Rules.Priority, Guaranteed: guaranteed, Accepted: j.order,
		Tasks: waiting, Need: needOf(u.step), Work: requestOf(u.step).WorkPerSecond() * float64(u.step.EstimateMS) / 1000 * float64(waiting), Gang: u.gang(), RackLocal: u.step.RackLocal && u.step.Count > 1,
		DataRack: u.step.DataRack, Label: u.step.Label, MaxPerWorker: u.step.MaxPerWorker,
		Checkpointed: u.step.Checkpoints, Filler: u.step.Filler, Serving: u.step.TailLatencyTargetMS > 0,
		WaitsForRack: now.Sub(u.waitingSince(now)) < planner.RackWait,
		IgnoresHolds: u.heldBackSince != 0 && now.Sub(u.heldBackSince) >= planner.MaxHeldBack,
	}
	d.Kind = l.conflictKind(d.Service, u.kind())
	d.JobStarted = u.job.occurrenceStarted(u.occurrence)
	l.setTimeliness(&d, u, now)
	if u.step.MaxPerWorker > 0 {
		d.TasksByWorker = make(map[string]int)
		for _, t := range u.tasks {
			if t.run != nil {
				d.TasksByWorker[t.run.worker.id]++
			}
		}
	}
	d.Avoid = u.avoidedWorkers()
	if !j.hypothetical && l.adviceRules(j) != nil {
		allowed, ok := l.workersWithTickets(u, now)
		if !ok {
			return d, false
		}
		d.Allowed = allowed
	}
	return d, true
}

// occurrenceStarted reports whether a task of the occurrence is done or has a run.
func (j *job) occurrenceStarted(occurrence int) bool {
	for i := range j.spec.Steps {
		if u := j.unitOf(occurrence, i); u != nil && (u.doneTasks > 0 || u.taskRuns > 0) {
			return true
		}
	}
	return false
}

// avoidedWorkers returns the workers on which a run of an unfinished task of the unit has failed.
// All tasks of the unit avoid them.
func (u *unit) avoidedWorkers() map[string]bool {
	if !u.failedTasks {
		return nil
	}
	var avoid map[string]bool
	for _, t := range u.tasks {
		if t.rec.Done || len(t.avoid) == 0 {
			continue
		}
		if avoid == nil {
			avoid = make(map[string]bool)
		}
		maps.Copy(avoid, t.avoid)
	}
	return avoid
}

// setTimeliness sets whether the unit, if started now, can meet the objective of its job (on time, late or overdue), the
// deadline in milliseconds of the boottime clock, and the minimum speed. Long-running units are always on time.
func (l *leader) setTimeliness(d *planner.Unit, u *unit, now boottime.Instant) {
	j := u.job
	estimated := func(s *batch.Step) int64 { return s.EstimateMS }
	objective := objectiveMS(j, estimated)
	age := l.age(u, now).Milliseconds()
	d.Deadline = time.Duration(now).Milliseconds() - age + objective
	if u.step.LongRunning {
		d.Timeliness = planner.OnTime
		return
	}
	remaining := longestChain(j.spec.Steps, u.index, estimated)
	d.Timeliness = planner.TimelinessOf(millis(age), millis(remaining), millis(objective))
	if d.Timeliness == planner.Overdue && l.durations.Misestimated(j.spec.Queue) && !l.isOverdue(u, age) {
		d.Timeliness = planner.Late
	}
	d.MinSpeed = l.minSpeed(u, millis(age), millis(remaining), millis(objective))
}

// isOverdue reports whether a unit of the given age in milliseconds has no value any more, by the usual durations of its queue,
// whose estimates are known to be wrong. An estimate that is much too short also makes the objective too short, and the unit
// would be put last although it has value.
func (l *leader) isOverdue(u *unit, age int64) bool {
	expected := func(s *batch.Step) int64 { return l.expectedMS(u.job, s) }
	remaining := longestChain(u.job.spec.Steps, u.index, expected)
	return planner.TimelinessOf(millis(age), millis(remaining), millis(objectiveMS(u.job, expected))) == planner.Overdue
}

// objectiveMS returns the objective for the duration of a job, in milliseconds; expected returns the duration of a step.
func objectiveMS(j *job, expected func(*batch.Step) int64) int64 {
	chain := j.spec.Rules.DurationFactor * float64(longestChain(j.spec.Steps, -1, expected))
	return int64(min(chain, float64(maxMillis))) + j.spec.Rules.DurationOffsetMS
}

// maxMillis is the longest duration that millis returns, in milliseconds, about 70 years: four of them add up to less than the
// longest time.Duration. The steps of a job may add up to more.
const maxMillis = math.MaxInt64 / int64(time.Millisecond) / 4

// millis converts a duration in milliseconds. Longer durations than maxMillis become maxMillis.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxMillis), maxMillis)) * time.Millisecond
}

// age returns the time since the unit's occurrence was due or, without a schedule, since its job was
// accepted.
func (l *leader) age(u *unit, now boottime.Instant) time.Duration {
	j := u.job
	if j.spec.Repeat == 0 && j.acceptedAt != 0 {
		return now.Sub(j.acceptedAt)
	}
	start := j.spec.AcceptedMS
	if j.spec.Repeat > 0 {
		start = j.spec.StartAtMS + int64(u.occurrence)*j.spec.IntervalMS
	}
	return max(0, millis(l.c.timeOfDay.unixMilli()-start))
}

// longestChain returns the expected duration of the longest chain of dependent steps, in
// milliseconds: of all steps if first is negative, otherwise of the chains that begin with step
// first. Steps must depend only on steps with lower indices; expected returns the duration of a step.
func longestChain(steps []batch.Step, first int, expected func(*batch.Step) int64) int64 {
	ends := make([]int64, len(steps))
	longest := int64(0)
	for i := range steps {
		if i < first {
			continue
		}
		begin, reached := int64(0), first < 0 || i == first
		for _, earlier := range steps[i].After {
			if ends[earlier] > 0 {
				begin, reached = max(begin, ends[earlier]), true
			}
		}
		if reached {
			ends[i] = begin + max(1, expected(&steps[i]))
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// assignGuarantees returns the result of coveredJobs, and sets guaranteed of every run accordingly. Without an operator
// configuration it returns nil and leaves the runs unchanged.
func (l *leader) assignGuarantees() map[*job]bool {
	guaranteed := l.coveredJobs(nil)
	if guaranteed == nil {
		return nil
	}
	for _, ws := range l.workers {
		for _, r := range ws.runs {
			r.guaranteed = guaranteed[r.task.unit.job]
		}
	}
	return guaranteed
}

// coveredJobs returns the jobs of priority 0, including extra if it is not nil, that are covered by the guarantee of their
// organisation. Guarantees are assigned in the order in which the jobs were accepted. Without an operator configuration
// it returns nil.
func (l *leader) coveredJobs(extra *job) map[*job]bool {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return nil
	}
	var jobs []*job
	add := func(j *job) {
		if j.spec.Rules.Priority == 0 && j.spec.Org != "" && len(j.units) > 0 {
			jobs = append(jobs, j)
		}
	}
	for _, j := range l.activeJobs() {
		add(j)
	}
	if extra != nil {
		add(extra)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.order, b.order) })
	guarantees := make(map[string]int64)
	for i := range config.Orgs {
		guarantees[config.Orgs[i].Name] = config.Orgs[i].GuaranteedGPU
	}
	claims := make([]planner.GuaranteeClaim, len(jobs))
	for i, j := range jobs {
		claims[i] = planner.GuaranteeClaim{Org: j.spec.Org, GPU: j.maxUnfinishedGPU()}
	}
	guaranteed := make(map[*job]bool)
	for i, covered := range planner.Covered(claims, guarantees) {
		if covered {
			guaranteed[jobs[i]] = true
		}
	}
	return guaranteed
}

// maxUnfinishedGPU returns the number of accelerators of the largest unfinished step.
func (j *job) maxUnfinishedGPU() int64 {
	largest := int64(0)
	for i, unfinished := range j.unfinishedOfStep {
		if step := &j.spec.Steps[i]; unfinished > 0 {
			largest = max(largest, step.GPU*int64(step.Count))
		}
	}
	return largest
}

// preempt stops the runs of a group so that a unit gets their capacity.
func (l *leader) preempt(group int, u *unit, cause planner.StopCause) {
	stopped, now := 0, boottime.Now()
	for _, ws := range l.workers {
		for _, r := range ws.runList() {
			if r.groupID() == group {
				if stopped == 0 {
					l.addPreemption(r, cause, now)
				}
				r.task.preemptedAt = now
				if r.state != stopping {
					r.preemptedBy = cause
				}
				l.stopRun(r, "preempted")
				stopped++
			}
		}
	}
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("priority", u.job.spec.Rules.Priority).
		Bool("entitled", cause == planner.StopForGuarantee).Str("cause", string(cause)).Int("group", group).Int("runs", stopped).Msg("making room")
}

// addPreemption records the preemption of a group, of which r is one run.
func (l *leader) addPreemption(r *run, cause planner.StopCause, now boottime.Instant) {
	previous := time.Duration(-1)
	if at := r.task.preemptedAt; at != 0 {
		previous = time.Duration(at)
	}
	l.repeats.Add(r.worker.info.Service, time.Duration(now), previous, cause, r.preemptionLoss(now))
}

// updateRepeats determines whether runs that were preempted before are spared, and logs changes with the figures that show why.
func (l *leader) updateRepeats(now boottime.Instant) {
	for _, c := range l.repeats.Update(time.Duration(now)) {
		l.logger.Info().Str("service", c.Service).Bool("spared", c.Spares).Int("preempted", c.Stops).Int("again", c.Repeated).
			Msg("repeated preemptions compared")
	}
}

// placeTasks places tasks of a unit: it stores their placements and sends their starts once these
// are stored. It takes as many tasks as there are workerIndices, which are indices into workers.
func (l *leader) placeTasks(u *unit, workerIndices []int, workers []*workerState, d *planner.Unit) {
	// The run number of all members, if the unit is a gang; otherwise it is only logged.
	gangRun := int64(0)
	for _, t := range u.tasks {
		gangRun = max(gangRun, t.rec.Run+1)
	}
	var runs []*run
	var records []ledger.Record
	racks := make(map[string]bool)
	slowest, unknown, beside := 0.0, 0, 0
	for _, t := range u.tasks {
		if len(runs) == len(workerIndices) {
			break
		}
		if t.rec.Done || t.run != nil {
			continue
		}
		n := t.rec.Run + 1
		if u.gang() {
			n = gangRun
		}
		ws := workers[workerIndices[len(runs)]]
		if l.besideConflict(u, ws) {
			beside++
		}
		r, record := l.placeTask(t, ws, n, u.advice.ticket(ws.id), d.Guaranteed)
		runs = append(runs, r)
		records = append(records, record)
		racks[ws.info.Rack] = true
		switch speed := l.speedOf(ws); {
		case speed == 0:
			unknown++
		case slowest == 0 || speed < slowest:
			slowest = speed
		}
	}
	for _, r := range runs {
		r.remote = (u.step.DataRack != "" && u.step.DataRack != r.worker.info.Rack) || (u.step.RackLocal && len(racks) > 1)
	}
	l.c.metrics.conflicts.placements.Add(beside)
	l.c.metrics.startDelay.Update(boottime.Since(u.readySince).Seconds())
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("tasks", len(runs)).Int64("run", gangRun).
		Bool("entitled", d.Guaranteed).Dur("waited", boottime.Since(u.readySince)).Int("priority", d.Priority).
		Int64("estimate", u.step.EstimateMS).Int("racks", len(racks)).Float64("min_speed", d.MinSpeed).Float64("slowest", slowest).
		Int("unknown_speeds", unknown).Int("beside_conflict", beside).Msg("step placed")
	l.storePlacements(u, runs, records)
}

// stopUnfinishable stops the running tasks of a draining worker that cannot finish before it shuts
// down, so that they restart elsewhere: long-running tasks, and tasks whose estimated duration
// exceeds the remaining time.
func (l *leader) stopUnfinishable(ws *workerState) {
	if ws.info.State != worker.Draining {
		return
	}
	for _, r := range ws.runList() {
		if r.state != running {
			continue
		}
		remaining := time.Duration(r.task.unit.step.EstimateMS)*time.Millisecond - boottime.Since(r.placedAt)
		if r.task.unit.step.LongRunning || remaining > ws.info.RemainingTime {
			l.stopRun(r, "worker is leaving")
		}
	}
}

// stopBeforeShutdown stops the checkpointing tasks that still run on a draining worker just before
// it may shut down: those that stopUnfinishable expected to finish in time, and those confirmed as
// running since the last update of the worker's entry.
func (l *leader) stopBeforeShutdown(ws *workerState, now boottime.Instant) {
	if now < ws.shutdownAt.Add(-drainStopMargin) {
		return
	}
	for _, r := range ws.runList() {
		if r.state == running && r.task.unit.step.Checkpoints {
			l.stopRun(r, "worker is leaving")
		}
	}
}
