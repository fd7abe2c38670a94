package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// cleanupInterval is how often expired data of finished jobs is removed.
	cleanupInterval = 5 * time.Second
	// maxRemovedJobs is the number of expired jobs that are removed at a time, one write each.
	maxRemovedJobs = 2000
	// retentionFactor multiplies FinishedJobRetention, so that finished jobs are kept longer than
	// callers may query them.
	retentionFactor = 2
	// maxCreatedTasks is about how many tasks of due occurrences are created at a time. It bounds how long one job with many of
	// them takes the leader away from all others.
	maxCreatedTasks = 4096
	// occurrenceDelay delays scheduled occurrences, so that they do not start early by the clock of
	// another machine: the clocks of machines differ slightly.
	occurrenceDelay = 20 * time.Millisecond
)

// job is a job known to the leader.
type job struct {
	spec *batch.Job
	// order is the position of the job in the order in which the jobs were accepted.
	order int64
	// acceptedAt is when the job was accepted; 0 if not known, see batch.JobState.
	acceptedAt boottime.Instant
	// phase is the phase that is stored or being stored. finalAtMS is when a final phase was
	// entered, in Unix milliseconds.
	phase     batch.Phase
	finalAtMS int64
	// finalSince is since when this leader has known the final phase. Unlike finalAtMS, it does not depend
	// on the time of day.
	finalSince boottime.Instant
	// finalStored means that the final phase is stored. The task records must not be deleted before
	// that.
	finalStored bool
	// closing means that the removal of the task records has begun, closed that it is complete and the removal of the
	// description has been queued.
	closing   bool
	closed    bool
	cancelled bool
	// startedOccurrences is the number of occurrences that previous leaders have created, up to the last one
	// of which a task was placed.
	startedOccurrences int
	// units holds the units that exist, by occurrence and then by step. See createDueOccurrences.
	units []*unit
	// unfinished is the units that are not done, waiting those with tasks that wait to be placed (unit.waiting), withRuns
	// those with runs.
	unfinished, waiting, withRuns unitSet
	// unfinishedOfStep is the number of unfinished units of each step.
	unfinishedOfStep []int
	// nextExamined is the index from which on the next planning round continues with the waiting units; see roundUnits.
	nextExamined int
	// nextAdvised is the same for the units among which the next call to the advice service is chosen.
	nextAdvised int
	// waitLines is the number of lines about waiting units that were logged since waitLinesSince.
	waitLines      int
	waitLinesSince boottime.Instant
	// storedTasks are the task records found at a takeover. They are removed when the job is
	// closed.
	storedTasks taskRecords
	// hypothetical means that the job was not submitted and is only explained; see explain.go.
	hypothetical bool
}

// unit is a step of one occurrence of a job.
type unit struct {
	id         int
	job        *job
	step       *batch.Step
	index      int
	occurrence int
	tasks      []*task
	// doneTasks is the number of tasks that have completed, taskRuns that of the tasks with a run, and idleTasks that of
	// the tasks with neither.
	doneTasks, taskRuns, idleTasks int
	// failedTasks means that a run of a task has failed in this term.
	failedTasks bool
	// readySince is when the unit was first considered for planning after the steps before it were
	// done; 0 before that. It is not reset when tasks restart.
	readySince boottime.Instant
	// notBefore is the earliest time of the next placement: after a rejection, or if the occurrence is
	// not due yet.
	notBefore boottime.Instant
	// failures is the number of failed runs of a gang; for other units it is the highest number of
	// failed runs of any task. lastFailed is the run number of the last failed gang run.
	failures   int
	lastFailed int64
	// checkpoint is the checkpoint that was last recorded for any task of the unit; after a
	// takeover at first that of the task with the highest index that has one. Only gangs resume
	// from it.
	checkpoint string
	advice     advice
	// comparedAt is when the paces of the unit's runs were last compared.
	comparedAt boottime.Instant
	// completedRuns is the number of runs that have completed their work in this term.
	completedRuns int
	// slowRestarts counts the restarts of tasks because of slow workers.
	slowRestarts int
	// rejectedPlacements is the number of placements that the log has rejected.
	rejectedPlacements int
	// doneStored means that the records of all members of a gang that has completed its work have been queued for the log.
	doneStored bool
	// excluded means that the unit is not planned in this term: see excludeUnit.
	excluded bool
	// heldBackSince is since when the unit has been held back (planner.Wait.HeldBack) in all planning rounds
	// while its job had no runs; 0 if it is not held back.
	heldBackSince boottime.Instant
	// loggedWait is the reason of waiting that was last logged, at waitLoggedAt.
	loggedWait   planner.WaitReason
	waitLoggedAt boottime.Instant
}

type task struct {
	id   batch.TaskID
	unit *unit
	rec  batch.TaskRecord
	run  *run
	// avoid holds the IDs of workers on which the task failed.
	avoid map[string]bool
	// preemptedAt is when a run of the task was last preempted in this term, 0 if none was.
	preemptedAt boottime.Instant
}

func (u *unit) gang() bool { return u.step.Gang && u.step.Count > 1 }

// addTask adds a task to the unit.
func (u *unit) addTask(t *task) {
	u.tasks = append(u.tasks, t)
	u.count(t, 1)
}

// count adds a task to the counts of the unit, or removes it if n is -1.
func (u *unit) count(t *task, n int) {
	switch {
	case t.rec.Done:
		u.doneTasks += n
	case t.run == nil:
		u.idleTasks += n
	}
	if t.run != nil {
		u.taskRuns += n
	}
}

// setRun sets the run of the task; nil means that it has none.
func (t *task) setRun(r *run) {
	t.unit.count(t, -1)
	t.run = r
	t.unit.count(t, 1)
	t.unit.updateSets()
}

// setDone records that the task has completed.
func (t *task) setDone() {
	if t.rec.Done {
		return
	}
	u := t.unit
	u.count(t, -1)
	t.rec.Done = true
	u.count(t, 1)
	u.updateSets()
	if u.done() {
		u.job.updateFollowing(u)
	}
}

// setAllDone records that a gang has completed its work, and with it all of its tasks.
func (u *unit) setAllDone() {
	if u.done() {
		return
	}
	for _, t := range u.tasks {
		t.setDone()
	}
}

// updateSets updates the sets of the job after a change of the unit's counts.
func (u *unit) updateSets() {
	j, index := u.job, u.position()
	if done := u.done(); done && j.unfinished.has(index) {
		j.unfinishedOfStep[u.index]--
		j.unfinished.set(index, false)
	}
	j.waiting.set(index, u.waiting() > 0)
	j.withRuns.set(index, u.taskRuns > 0)
}

// updateFollowing updates the set of waiting units after all tasks of a unit have completed: units that depend on it may be
// ready.
func (j *job) updateFollowing(u *unit) {
	for i := u.index + 1; i < len(j.spec.Steps); i++ {
		if later := j.unitOf(u.occurrence, i); later != nil && slices.Contains(later.step.After, u.index) {
			later.updateSets()
		}
	}
}

// position returns the index of the unit in job.units.
func (u *unit) position() int { return u.occurrence*len(u.job.spec.Steps) + u.index }

// done reports whether all tasks have completed.
func (u *unit) done() bool { return u.doneTasks == len(u.tasks) }

// idle reports whether no task has a run.
func (u *unit) idle() bool { return u.taskRuns == 0 }

// ready reports whether the steps that the unit depends on are done.
func (u *unit) ready() bool {
	for _, earlier := range u.step.After {
		if !u.job.unitOf(u.occurrence, earlier).done() {
			return false
		}
	}
	return true
}

// unitOf returns a step of an occurrence, or nil if the unit does not exist yet.
func (j *job) unitOf(occurrence, step int) *unit {
	if at := occurrence*len(j.spec.Steps) + step; at < len(j.units) {
		return j.units[at]
	}
	return nil
}

// active reports whether tasks of the job may still be started.
func (j *job) active() bool { return !j.cancelled && !j.phase.Final() }

// activeJobs returns the jobs that are active, in the order of their IDs. A job never becomes active again. Finished jobs
// are kept for some time and outnumber the others many times, so periodic work must not examine them.
func (l *leader) activeJobs() []*job {
	l.active = slices.DeleteFunc(l.active, func(j *job) bool { return !j.active() })
	return l.active
}

// hasRuns reports whether a task of the job has a run.
func (j *job) hasRuns() bool { return j.withRuns.count > 0 }

// createdOccurrences is the number of occurrences of which units exist.
func (j *job) createdOccurrences() int {
	return (len(j.units) + len(j.spec.Steps) - 1) / max(1, len(j.spec.Steps))
}

// totalUnits is the number of units of all occurrences.
func (j *job) totalUnits() int { return j.spec.Occurrences() * len(j.spec.Steps) }

// loadJob adds a new job, or a job that previous leaders worked on.
func (l *leader) loadJob(state batch.JobState, records taskRecords) {
	// Copied, because applyQueueRules changes the rules and the local copy of the table must not
	// change.
	spec := *state.Job
	j := &job{
		spec: &spec, order: state.Offset, acceptedAt: state.AcceptedAt, phase: state.Phase.Phase, finalAtMS: state.Phase.AtMS, cancelled: state.Cancelled,
		storedTasks: records, startedOccurrences: records.occurrences(),
	}
	if j.phase == "" {
		j.phase = batch.Queued
	}
	j.finalStored = j.phase.Final()
	if j.finalStored {
		j.finalSince = boottime.Now()
	}
	// A previous leader may have stored the final phase and then failed to close the job.
	j.closed = j.finalStored && len(records) == 0 && len(spec.Steps) == 0
	l.applyQueueRules(j)
	l.jobs[j.spec.ID] = j
	if j.active() {
		at, _ := slices.BinarySearchFunc(l.active, j.spec.ID, func(j *job, id string) int { return cmp.Compare(j.spec.ID, id) })
		l.active = slices.Insert(l.active, at, j)
	}
	switch {
	case !j.phase.Final():
		l.createDueOccurrences(j, maxCreatedTasks)
		l.stopEndedGangs(j)
		// The previous leader may have stored the failures without the phase that follows from them.
		if t := j.exhaustedTask(); t != nil {
			l.failJob(j, t)
		}
		if j.active() && j.phase == batch.Queued && records.started() {
			// A previous leader could not store the phase.
			l.setPhase(j, batch.Running, nil)
		}
	case records.mayHaveRuns():
		// The previous leader had not stopped all runs of the finished job yet.
		for len(j.units) < j.totalUnits() {
			l.createNextUnit(j)
		}
	}
	l.finishIfDone(j)
}

// stopEndedGangs stops the remaining members of gangs of which a member has ended without completing the
// gang's work. The previous leader may not have stopped them.
func (l *leader) stopEndedGangs(j *job) {
	for _, u := range j.units {
		if !u.gang() || u.idle() {
			continue
		}
		for _, t := range u.tasks {
			if t.run == nil && !t.rec.Done {
				l.stopGang(u, endLost)
				break
			}
		}
	}
}

// taskRecords are the stored tasks of a job.
type taskRecords map[batch.TaskID]batch.TaskRecord

// mayHaveRuns reports whether a task may have a run.
func (r taskRecords) mayHaveRuns() bool {
	for _, rec := range r {
		if rec.Worker != "" {
			return true
		}
	}
	return false
}

// started reports whether a run of any task is known to have started.
func (r taskRecords) started() bool {
	for _, rec := range r {
		if rec.Started || rec.Done || rec.Failures > 0 {
			return true
		}
	}
	return false
}

// occurrences returns the number of occurrences up to the last one with a record.
func (r taskRecords) occurrences() int {
	n := 0
	for id := range r {
		n = max(n, id.Occurrence+1)
	}
	return n
}

// applyQueueRules applies the current configuration of the job's queue, if the queue still exists.
// It is called only when a job is loaded, so later changes of the configuration take effect for the
// job at the next takeover.
func (l *leader) applyQueueRules(j *job) {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return
	}
	if q := config.Queue(j.spec.Queue); q != nil {
		j.spec.Rules = intake.QueueRulesOf(q)
	}
}

// due reports whether an occurrence of a job is due.
func (l *leader) due(j *job, occurrence int) bool {
	due := j.spec.StartAtMS + int64(occurrence)*j.spec.IntervalMS + occurrenceDelay.Milliseconds()
	return j.spec.Repeat == 0 || l.c.timeOfDay.unixMilli() >= due
}

// createDueOccurrences creates the units of the occurrences that are due, and of those that a previous
// leader has started, so that their runs are adopted. By this machine's clock the latter may not be due yet:
// then their tasks without a run wait until they are. After about maxTasks tasks it leaves the rest of the due units to the
// next calls. It returns the number of tasks that it has created.
func (l *leader) createDueOccurrences(j *job, maxTasks int) int {
	created := 0
	for len(j.units) < j.totalUnits() {
		occurrence := len(j.units) / len(j.spec.Steps)
		if occurrence >= j.startedOccurrences && (created >= maxTasks || !l.due(j, occurrence)) {
			break
		}
		created += len(l.createNextUnit(j).tasks)
		l.planDue = true
	}
	return created
}

// createNextUnit creates the next unit of a job.
func (l *leader) createNextUnit(j *job) *unit {
	occurrence, index := len(j.units)/len(j.spec.Steps), len(j.units)%len(j.spec.Steps)
	u := &unit{id: l.nextUnitID, job: j, step: &j.spec.Steps[index], index: index, occurrence: occurrence}
	l.nextUnitID++
	u.tasks = make([]*task, 0, u.step.Count)
	for n := range u.step.Count {
		id := batch.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: index, Index: n}
		t := &task{id: id, unit: u}
		if rec, ok := j.storedTasks[id]; ok {
			l.restoreTask(t, rec)
		}
		u.addTask(t)
	}
	j.addUnit(u)
	if u.gang() && u.doneTasks > 0 {
		// The previous leader may have stored only a part of the members as done.
		u.setAllDone()
	}
	return u
}

// addUnit adds the next unit, with its tasks, to the job.
func (j *job) addUnit(u *unit) {
	j.units = append(j.units, u)
	if !u.done() {
		if j.unfinishedOfStep == nil {
			j.unfinishedOfStep = make([]int, len(j.spec.Steps))
		}
		j.unfinishedOfStep[u.index]++
		j.unfinished.set(u.position(), true)
	}
	u.updateSets()
}

// restoreTask applies the stored progress of a task. If the record names a worker, the task may
// still run there, and the run is adopted.
func (l *leader) restoreTask(t *task, rec batch.TaskRecord) {
	t.rec = rec
	u := t.unit
	u.failures = max(u.failures, rec.Failures)
	u.lastFailed = max(u.lastFailed, rec.FailedRun)
	if rec.Checkpoint != "" {
		u.checkpoint = rec.Checkpoint
	}
	if rec.Worker == "" {
		return
	}
	ws := l.workerOfRecord(rec.Worker, rec.Address, rec.WorkerStartedAtMS)
	// The start sent by the previous leader may be unconfirmed.
	r := &run{task: t, worker: ws, number: rec.Run, state: adopting, unconfirmed: 1, placedAt: boottime.Now()}
	l.nextRunSerial++
	r.serial = l.nextRunSerial
	// The racks of the other members of a gang are not known before the registry has been read.
	r.remote = u.step.DataRack != "" || u.step.RackLocal
	t.run = r // addTask counts it.
	ws.runs[t.id] = r
}

// applyJobs applies changes in the table of jobs.
func (l *leader) applyJobs(ids []string) {
	states := l.c.cfg.Jobs.Snapshot(ids)
	for _, id := range ids {
		state, known := states[id]
		j := l.jobs[id]
		switch {
		case !known:
			// The job has expired and was removed.
		case j == nil:
			l.loadJob(state, nil)
			l.logJob(l.jobs[id], "job taken")
		case state.Cancelled && !j.cancelled:
			l.cancelJob(j)
		}
	}
}

func (l *leader) logJob(j *job, event string) {
	l.logger.Info().Str("job", j.spec.ID).Str("queue", j.spec.Queue).Str("org", j.spec.Org).
		Str("phase", string(j.phase)).Int("steps", len(j.spec.Steps)).Int("units", len(j.units)).Msg(event)
}

func (l *leader) cancelJob(j *job) {
	j.cancelled = true
	l.logJob(j, "cancelling")
	l.stopJob(j, "cancelled")
	l.finishIfDone(j)
}

func (l *leader) stopJob(j *job, reason string) {
	for i := j.withRuns.next(0); i >= 0; i = j.withRuns.next(i + 1) {
		for _, t := range j.units[i].tasks {
			if t.run != nil {
				l.stopRun(t.run, reason)
			}
		}
	}
}

// failureLimitReached reports whether a number of failed runs of a task or gang of the unit ends the job
// as failed. The failures of long-running tasks have no limit.
func (u *unit) failureLimitReached(failures int) bool {
	limit := u.job.spec.Rules.MaxFailedRuns
	return !u.step.LongRunning && limit > 0 && failures >= limit
}

// exhaustedTask returns an unfinished task whose failed runs have reached the limit, or nil.
func (j *job) exhaustedTask() *task {
	for _, u := range j.units {
		for _, t := range u.tasks {
			failures := t.rec.Failures
			if u.gang() {
				failures = u.failures
			}
			if !t.rec.Done && u.failureLimitReached(failures) {
				return t
			}
		}
	}
	return nil
}

// failJob ends a job as failed after too many failures of a task.
func (l *leader) failJob(j *job, t *task) {
	if !j.active() {
		return
	}
	l.logger.Info().Str("job", j.spec.ID).Str("task", t.id.String()).Int("failures", t.unit.failures).
		Int("limit", j.spec.Rules.MaxFailedRuns).Msg("job failed")
	l.setPhase(j, batch.Failed, nil)
	l.stopJob(j, "job failed")
}

// finishIfDone stores the final phase of a job that is complete, or cancelled and without runs.
func (l *leader) finishIfDone(j *job) {
	switch {
	case j.phase.Final():
	case j.cancelled:
		if !j.hasRuns() {
			l.setPhase(j, batch.Cancelled, nil)
		}
	case j.complete():
		l.setPhase(j, batch.Completed, nil)
	}
}

func (j *job) complete() bool { return len(j.units) == j.totalUnits() && j.unfinished.count == 0 }

// setPhase stores a phase. It calls onStored, if not nil, once the phase is stored.
func (l *leader) setPhase(j *job, phase batch.Phase, onStored func()) {
	j.phase = phase
	if phase.Final() {
		j.finalAtMS, j.finalSince = l.c.cfg.TimeOfDay().UnixMilli(), boottime.Now()
	}
	current := func() []ledger.Record {
		record, err := batch.EncodePhase(j.spec.ID, batch.PhaseRecord{Phase: j.phase, AtMS: j.finalAtMS})
		switch {
		case err != nil:
			l.logger.Error().Err(err).Str("job", j.spec.ID).Msg("phase record cannot be encoded")
			return nil
		case l.jobs[j.spec.ID] != j:
			return nil // The job has expired.
		}
		return []ledger.Record{record}
	}
	l.logJob(j, "phase changed")
	first := current()
	if len(first) == 0 {
		return
	}
	l.storeUntilAccepted(l.jobWriter, first, current, func() {
		if phase.Final() {
			j.finalStored = true
			l.logJob(j, "final phase stored")
			l.closeJob(j)
		}
		if onStored != nil {
			onStored()
		}
	})
}

// closePartRecords is the number of task records that are removed in one write when a job is closed. The next part follows when
// the one before is stored, so that other writes need not wait for all of them.
const closePartRecords = 400

// closeJob removes the task records of a job in a final phase, and then its description except for the
// parts that callers may query. It does nothing while the job has runs; cleanUp tries again. A leader that takes over before the
// last part is stored closes the job again.
func (l *leader) closeJob(j *job) {
	if j.hasRuns() || j.closing {
		return
	}
	j.closing = true
	l.closeNextPart(j, 0)
}

// closeNextPart removes task records of the job, of units from the given index on.
func (l *leader) closeNextPart(j *job, firstUnit int) {
	records, next := j.tombstones(firstUnit, closePartRecords)
	if len(records) > 0 {
		l.storeUntilAccepted(l.taskWriter, records, unchanged(records), func() { l.closeNextPart(j, next) })
		return
	}
	j.units, j.storedTasks, j.closed = nil, nil, true
	j.unfinished, j.waiting, j.withRuns = unitSet{}, unitSet{}, unitSet{}
	closed, err := batch.EncodeClosedJob(j.spec)
	if err != nil {
		l.logger.Error().Err(err).Str("job", j.spec.ID).Msg("record of closed job cannot be encoded")
		return
	}
	l.storeUntilAccepted(l.jobWriter, []ledger.Record{closed}, func() []ledger.Record {
		if l.jobs[j.spec.ID] != j {
			return nil // The job has expired.
		}
		return []ledger.Record{closed}
	}, func() {})
}

// tombstones returns the records that delete the stored tasks of units from the given index on, of whole units until there are
// at least enough, and the index of the next unit. After the last unit it returns those of other stored tasks.
func (j *job) tombstones(firstUnit, enough int) (records []ledger.Record, next int) {
	for next = firstUnit; next < len(j.units) && len(records) < enough; next++ {
		for _, t := range j.units[next].tasks {
			if _, stored := j.storedTasks[t.id]; stored || t.rec.Run > 0 {
				records = append(records, batch.TaskTombstone(t.id))
				delete(j.storedTasks, t.id)
			}
		}
	}
	for id := range j.storedTasks {
		if next < len(j.units) || len(records) >= enough {
			break
		}
		records = append(records, batch.TaskTombstone(id))
		delete(j.storedTasks, id)
	}
	return records, next
}

// createAllDueOccurrences creates due occurrences of all active jobs, about maxCreatedTasks tasks in all. It begins after the job
// at which the last call ended, so that one with many due occurrences does not keep others waiting.
func (l *leader) createAllDueOccurrences() {
	active := l.activeJobs()
	left := maxCreatedTasks
	for n := range active {
		at := (l.nextCreating + n) % len(active)
		if j := active[at]; len(j.units) < j.totalUnits() {
			left -= l.createDueOccurrences(j, min(left, maxCreatedTasks/2))
			if left <= 0 {
				l.nextCreating = at + 1
				return
			}
		}
	}
}

// hasWaiting reports whether any unit has tasks that wait to be placed.
func (l *leader) hasWaiting() bool {
	return slices.ContainsFunc(l.activeJobs(), func(j *job) bool { return j.waiting.count > 0 })
}

// waiting returns the number of unfinished tasks without a run, if the steps that the unit depends
// on are done. For a gang with a run it returns 0.
func (u *unit) waiting() int {
	if u.idleTasks == 0 || !u.ready() || (u.gang() && !u.idle()) {
		return 0
	}
	return u.idleTasks
}

// cleanUp removes the expired unconfirmed starts of workers, the task records of finished jobs, and
// the finished jobs whose retention has expired.
func (l *leader) cleanUp() {
	now := boottime.Now()
	for _, ws := range l.workers {
		maps.DeleteFunc(ws.unconfirmedStarts, func(_ worker.Run, until boottime.Instant) bool { return now > until })
	}
	retention := l.c.cfg.Timing.FinishedJobRetention
	finalBefore := l.c.cfg.TimeOfDay().Add(-retentionFactor * retention).UnixMilli()
	removed := 0
	for id, j := range l.jobs {
		if !j.finalStored || j.hasRuns() {
			continue
		}
		if !j.closed {
			l.closeJob(j)
			continue
		}
		if removed < maxRemovedJobs && j.finalAtMS > 0 && j.finalAtMS < finalBefore && now.Sub(j.finalSince) > retention {
			delete(l.jobs, id)
			tombstones := batch.JobTombstones(id)
			l.storeUntilAccepted(l.jobWriter, tombstones, unchanged(tombstones), func() {})
			removed++
		}
	}
}
