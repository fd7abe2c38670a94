package controller

import (
	"maps"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// tidyEvery is how often old jobs are looked for.
	cleanupInterval = 5 * time.Second
	// keepFactor keeps finished jobs longer than callers may ask for them.
	retentionFactor = 2
	// dueMargin delays scheduled occurrences, since clocks of machines differ slightly.
	occurrenceDelay = 20 * time.Millisecond
)

// job is a job in progress.
type job struct {
	spec *batch.Job
	// phase is the phase as stored or about to be stored.
	phase   batch.Phase
	finalAt int64
	// settled says that the final phase is stored: only then may its tasks be forgotten.
	finalStored bool
	cancelled   bool
	// made is how many occurrences have their units.
	occurrences int
	units       []*unit
	// records are task records found at a takeover, until their occurrence is made.
	storedTasks taskRecords
}

// unit is a step of one occurrence.
type unit struct {
	id         int
	job        *job
	step       *batch.Step
	index      int
	occurrence int
	tasks      []*task
	// readySince is when the steps before it were done.
	readySince boottime.Instant
	// notBefore delays another try after a refusal.
	notBefore boottime.Instant
	// failures counts the failed runs of a gang, or of the task that failed most often;
	// lastFailed is the run of a gang that was counted last.
	failures   int
	lastFailed int64
	// checkpoint is the newest one of a gang.
	checkpoint string
	advice     *advice
}

// task is one task of a unit.
type task struct {
	id   batch.TaskID
	unit *unit
	rec  batch.TaskRecord
	run  *run
	// avoid names workers on which the task failed.
	avoid map[string]bool
}

func (u *unit) gang() bool { return u.step.Gang && u.step.Count > 1 }

// done says whether all tasks have finished.
func (u *unit) done() bool {
	for _, t := range u.tasks {
		if !t.rec.Done {
			return false
		}
	}
	return true
}

// idle says whether no task has a run.
func (u *unit) idle() bool {
	for _, t := range u.tasks {
		if t.run != nil {
			return false
		}
	}
	return true
}

// ready says whether the steps before the unit are done.
func (u *unit) ready() bool {
	for _, earlier := range u.step.After {
		if !u.job.unitOf(u.occurrence, earlier).done() {
			return false
		}
	}
	return true
}

func (j *job) unitOf(occurrence, step int) *unit {
	return j.units[occurrence*len(j.spec.Steps)+step]
}

// live says whether the job still starts tasks.
func (j *job) live() bool { return !j.cancelled && !j.phase.Final() }

// busy says whether a task of the job has a run.
func (j *job) hasRuns() bool {
	for _, u := range j.units {
		if !u.idle() {
			return true
		}
	}
	return false
}

// load takes a job of an earlier leader, or a new one.
func (l *leader) loadJob(state batch.JobState, records taskRecords) {
	spec := *state.Job // The mirror keeps its own copy of the terms.
	j := &job{
		spec: &spec, phase: state.Phase.Phase, finalAt: state.Phase.AtMS, cancelled: state.Cancelled,
		storedTasks: records,
	}
	if j.phase == "" {
		j.phase = batch.Queued
	}
	j.finalStored = j.phase.Final()
	l.refreshTerms(j)
	l.jobs[j.spec.ID] = j
	switch {
	case !j.phase.Final():
		l.createDueOccurrences(j)
	case records.running():
		// An earlier leader had not yet ended all runs of the job.
		for ; j.occurrences < j.spec.Occurrences(); j.occurrences++ {
			l.createOccurrence(j, j.occurrences)
		}
	}
	l.finishIfDone(j)
}

// taskRecords are the stored tasks of a job.
type taskRecords map[batch.TaskID]batch.TaskRecord

// running says whether a task may have a run.
func (r taskRecords) running() bool {
	for _, rec := range r {
		if rec.Worker != "" {
			return true
		}
	}
	return false
}

// refreshTerms takes the rules of the queue's newest configuration.
func (l *leader) refreshTerms(j *job) {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return
	}
	if q := config.Queue(j.spec.Queue); q != nil {
		j.spec.Rules = intake.QueueRulesOf(q)
	}
}

// makeDue makes the units of the occurrences that are due.
func (l *leader) createDueOccurrences(j *job) {
	now := time.Now().UnixMilli()
	for j.occurrences < j.spec.Occurrences() {
		due := j.spec.StartAtMS + int64(j.occurrences)*j.spec.IntervalMS + occurrenceDelay.Milliseconds()
		if j.spec.Repeat > 0 && now < due {
			return
		}
		l.createOccurrence(j, j.occurrences)
		j.occurrences++
		l.planDue = true
	}
}

func (l *leader) createOccurrence(j *job, occurrence int) {
	for i := range j.spec.Steps {
		u := &unit{id: l.nextUnitID, job: j, step: &j.spec.Steps[i], index: i, occurrence: occurrence}
		l.nextUnitID++
		for index := range u.step.Count {
			id := batch.TaskID{Job: j.spec.ID, Occurrence: occurrence, Step: i, Index: index}
			t := &task{id: id, unit: u}
			if rec, ok := j.storedTasks[id]; ok {
				l.restoreTask(t, rec)
			}
			u.tasks = append(u.tasks, t)
		}
		j.units = append(j.units, u)
	}
}

// restore takes the stored progress of a task. A worker in it may still run the task.
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
	r := &run{task: t, worker: ws, number: rec.Run, state: adopting, unconfirmed: 1, placedAt: boottime.Now()}
	t.run = r
	ws.runs[t.id] = r
}

// applyJobs takes changes of the table of jobs.
func (l *leader) applyJobs(ids []string) {
	states := l.c.cfg.Jobs.Snapshot(ids)
	for _, id := range ids {
		state, known := states[id]
		j := l.jobs[id]
		switch {
		case !known:
			// The job was dropped some time after its end.
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

// stopJob stops all runs of a job.
func (l *leader) stopJob(j *job, reason string) {
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.run != nil {
				l.stopRun(t.run, reason)
			}
		}
	}
}

// failJob gives a job up after too many failures of a task.
func (l *leader) failJob(j *job, t *task) {
	if !j.live() {
		return
	}
	l.logger.Info().Str("job", j.spec.ID).Str("task", t.id.String()).Int("failures", t.unit.failures).
		Int("limit", j.spec.Rules.MaxAttempts).Msg("job failed")
	l.setPhase(j, batch.Failed, nil)
	l.stopJob(j, "job failed")
}

// finishIfDone stores the final phase of a job that has nothing left to do.
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

func (j *job) complete() bool {
	if j.occurrences < j.spec.Occurrences() {
		return false
	}
	for _, u := range j.units {
		if !u.done() {
			return false
		}
	}
	return true
}

// setPhase stores a phase and runs then once it is stored.
func (l *leader) setPhase(j *job, phase batch.Phase, then func()) {
	j.phase = phase
	if phase.Final() {
		j.finalAt = time.Now().UnixMilli()
	}
	record, err := batch.EncodePhase(j.spec.ID, batch.PhaseRecord{Phase: phase, AtMS: j.finalAt})
	if err != nil {
		l.logger.Error().Err(err).Str("job", j.spec.ID).Msg("phase not stored")
		return
	}
	l.logJob(j, "phase changed")
	l.storeJobs([]ledger.Record{record}, func() {
		if phase.Final() {
			j.finalStored = true
			l.closeJob(j)
		}
		if then != nil {
			then()
		}
	})
}

// closeJob forgets the tasks of a finished job, and all of the job but what callers may ask for.
func (l *leader) closeJob(j *job) {
	if j.hasRuns() {
		return
	}
	var records []ledger.Record
	for _, u := range j.units {
		for _, t := range u.tasks {
			if t.rec.Run > 0 {
				records = append(records, batch.TaskTombstone(t.id))
			}
		}
	}
	j.units, j.storedTasks = nil, nil
	if len(records) > 0 {
		l.storeTasks(records, func() {})
	}
	closed, err := batch.ClosedJobRecord(j.spec)
	if err != nil {
		l.logger.Error().Err(err).Str("job", j.spec.ID).Msg("job not closed")
		return
	}
	l.storeJobs([]ledger.Record{closed}, func() {})
}

// checkJobs makes occurrences that have come due.
func (l *leader) checkJobs() {
	for _, j := range l.jobs {
		if j.live() && j.occurrences < j.spec.Occurrences() {
			l.createDueOccurrences(j)
		}
	}
}

// hasWaiting says whether a unit waits that a later round may place.
func (l *leader) hasWaiting() bool {
	for _, j := range l.jobs {
		if !j.live() {
			continue
		}
		for _, u := range j.units {
			if u.waiting() > 0 {
				return true
			}
		}
	}
	return false
}

// waiting counts the tasks that could be started if there were room.
func (u *unit) waiting() int {
	if !u.ready() || (u.gang() && !u.idle()) {
		return 0
	}
	n := 0
	for _, t := range u.tasks {
		if !t.rec.Done && t.run == nil {
			n++
		}
	}
	return n
}

// tidy drops jobs that nobody may ask for any more, and what is left of tasks of finished jobs.
func (l *leader) cleanUp() {
	now := boottime.Now()
	for _, ws := range l.workers {
		maps.DeleteFunc(ws.unconfirmedStarts, func(_ worker.Run, until boottime.Instant) bool { return now > until })
	}
	horizon := time.Now().Add(-retentionFactor * l.c.cfg.Timing.FinishedJobRetention).UnixMilli()
	for id, j := range l.jobs {
		if !j.finalStored || j.hasRuns() {
			continue
		}
		if j.units != nil {
			l.closeJob(j)
		}
		if j.finalAt > 0 && j.finalAt < horizon {
			delete(l.jobs, id)
			l.storeJobs(batch.JobTombstones(id), func() {})
		}
	}
}
