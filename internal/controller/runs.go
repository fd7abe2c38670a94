package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/progress"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// commandTimeout limits a command to a worker, to a few hundred times the network latency.
	commandTimeout = 500 * time.Millisecond
	// maxStartCommands limits how often a start is sent while it gets no response. The product of
	// maxStartCommands and commandTimeout is much less than the time for which a gang member waits
	// for the other members.
	maxStartCommands = 3
	// stopRetryInterval is the pause after the timeout of a stop before it is sent again.
	stopRetryInterval = 150 * time.Millisecond
	// stopPollWait is how long a poll waits for the end of a run that is being stopped.
	stopPollWait = 250 * time.Millisecond
	// rejectedRetryInterval is the pause before a unit is placed again after the start of one of
	// its tasks was rejected or could not be sent. It is also the pause before a worker gets new
	// work after it rejected a start for lack of capacity or because of an expired lease.
	rejectedRetryInterval = 100 * time.Millisecond
	// gangStopDelay is the time from the end of one member of a gang until the other members are
	// stopped. Until then they may end by themselves and be reported as ended.
	gangStopDelay = 300 * time.Millisecond
	// quarantineFailedJobs is the number of different jobs of which a run must have failed on a
	// worker since its last successful run before the worker is quarantined.
	quarantineFailedJobs = 2
	// quarantineTime is how long a quarantined worker gets no new work. Faults of workers usually
	// last about as long.
	quarantineTime = 6 * time.Second
	// unhealthyTime is how long a worker gets no new work after it was unreachable, rejected a
	// start as unhealthy or did not respond to one.
	unhealthyTime = time.Second
)

// runState is the state of a run.
type runState int

const (
	// storing runs have a worker, and the record of the placement is not stored yet.
	storing runState = iota
	// starting runs are those whose start command has been sent to the worker.
	starting
	// running runs were confirmed by the worker.
	running
	// stopping runs are being stopped.
	stopping
	// adopting runs were stored by a previous leader and have not been reported by the worker in
	// this term.
	adopting
)

// Kinds of ends that no worker reports.
const (
	// endLost means that the run is over, but the worker reported no end for it.
	endLost worker.EndKind = "lost"
	// endRejected means that the worker did not start the run.
	endRejected worker.EndKind = "refused"
)

// run is one execution of a task, from the choice of a worker until the run is known to be over.
type run struct {
	task   *task
	worker *workerState
	number int64
	// serial numbers the runs of this term from 1.
	serial int64
	state  runState
	ticket string

	// placedAt is when the run was placed, or restored after a takeover.
	placedAt boottime.Instant
	// guaranteed means that the guarantee of the organisation covers the job.
	guaranteed bool
	// startCommands counts the start commands sent by this leader, unconfirmed those without a
	// response. The unconfirmed count of a restored run is at least 1, because the previous
	// leader's start may have had no response.
	startCommands, unconfirmed int
	// startInFlight means that the outcome of the last start command is not known yet and it has not timed out.
	startInFlight bool
	// startDeferred means that a start is due and was not sent because the term was not valid, or because the copy of the
	// operator's records was too old.
	startDeferred bool
	// incarnationUnknown means that an incarnation of the worker that the leader does not know of may have taken a start of the
	// run. The lease of the run may then last longer than workerState.maxExpiryMS says.
	incarnationUnknown bool
	// confirmedAt is when the outcome of the last command became known or, if later, when a new
	// incarnation of the worker was noticed; 0 if the outcome is not known yet. A poll that is sent
	// after confirmedAt reports the run if it still exists.
	confirmedAt boottime.Instant
	// stopSentAt is when the last stop was sent; 0 for none. stopDueAt is when the run is stopped
	// because another member of its gang has ended; 0 for never.
	stopSentAt, stopDueAt boottime.Instant
	// reason is why the run is being stopped, or is to be stopped once it has been adopted, for the log.
	reason string
	// preemptedBy is the cause of the preemption of the run; empty if it has not been preempted.
	preemptedBy planner.StopCause
	// checkpoint is the newest checkpoint that the worker reported.
	checkpoint string
	progress   progress.Tracker
	clocked    progress.Clocked
	// remote means that the run may be slow because of where it is: away from its data, or in another rack than other
	// members of its gang.
	remote bool
	// lastSpeed is the speed of the run relative to its estimate in the last sample, if it has been sampled.
	lastSpeed float64
	sampled   bool
	// paceDistorted means that the pace of the run does not show the speed of its worker: the run resumed from a
	// checkpoint, or the worker was slow for a time, or cold.
	paceDistorted bool
	// usage is the last reported RunStatus.Usage: the tail latency in milliseconds for a serving
	// task, the processor time in thousandths of a core for any other task.
	usage int64
	// speed is the speed last set for the run, as a percentage of its full speed, or unknownSpeed.
	speed int
	// haltedSince is when the run was halted, 0 if it is not.
	haltedSince boottime.Instant
	// level is how much longer the run takes than the others of its step, by the last comparison that is not observed yet; 0 if
	// there is none. See takeLevel.
	level float64
	// completedBefore is the value of unit.completedRuns when the run was placed or taken over.
	completedBefore int
	// levelBesideFillers is the highest level of a serving run since the fillers beside it last had their full speed,
	// haltDroppedAt when it last dropped soon after a halt, and haltObservedAt when it last counted for an observation. See servingLevel.
	levelBesideFillers float64
	haltDroppedAt      boottime.Instant
	haltObservedAt     boottime.Instant
	// overTargetSince is since when the latency of a serving run is above its target, 0 if it is not. overTargetLogged is when
	// that was last logged, 0 if it was not.
	overTargetSince, overTargetLogged boottime.Instant
}

func (r *run) runID() worker.Run { return worker.Run{Task: r.task.id, Number: r.number} }

func (r *run) target() worker.Endpoint {
	return worker.Endpoint{ID: r.worker.id, Address: r.worker.address}
}

// placeTask assigns a task to a worker. The start is sent once the returned record is stored.
func (l *leader) placeTask(t *task, ws *workerState, number int64, ticket string, guaranteed bool) (*run, ledger.Record) {
	now := boottime.Now()
	r := &run{task: t, worker: ws, number: number, state: storing, placedAt: now, ticket: ticket, guaranteed: guaranteed, speed: fullSpeed}
	l.nextRunSerial++
	r.serial = l.nextRunSerial
	r.progress = progress.NewTracker(now, 0)
	t.setRun(r)
	ws.runs[t.id] = r
	t.rec.Run, t.rec.Worker, t.rec.Address, t.rec.WorkerStartedAtMS = number, ws.id, ws.address, ws.startedAtMS
	t.rec.Checkpoint = t.resumeCheckpoint()
	r.paceDistorted = t.rec.Checkpoint != "" || now < ws.coldUntil
	r.completedBefore = t.unit.completedRuns
	return r, l.taskRecord(t)
}

// resumeCheckpoint returns the checkpoint from which the next run of a task resumes.
func (t *task) resumeCheckpoint() string {
	if t.unit.gang() {
		return t.unit.checkpoint
	}
	return t.rec.Checkpoint
}

func (l *leader) taskRecord(t *task) ledger.Record {
	record, err := batch.EncodeTask(t.id, t.rec)
	if err != nil {
		l.logger.Error().Err(err).Str("task", t.id.String()).Msg("task record cannot be encoded")
		l.stepDown("task not encodable")
	}
	return record
}

// sendStart sends the start of a run. A start without a response is sent again: a worker does not
// start the same run twice.
func (l *leader) sendStart(r *run) {
	if r.task.run != r || (r.state != storing && r.state != starting) {
		return
	}
	now := boottime.Now()
	expiry := l.nextExpiry(r.worker, now)
	permitted, limit := l.startPermitted(r, now)
	if !permitted {
		return
	}
	expiry = min(expiry, limit)
	// The term is valid again once the response to a late renewal has arrived.
	r.startDeferred = !l.term.Valid()
	if r.startDeferred {
		return
	}
	r.state, r.startInFlight = starting, true
	r.startCommands++
	l.c.metrics.starts.Inc()
	command := worker.StartCommand{
		Run: r.runID(), Spec: r.task.unit.job.spec.Spec, Checkpoint: r.task.resumeCheckpoint(), Ticket: r.ticket,
		LeaseExpiryMS: expiry, Token: l.term.Epoch,
	}
	target, startedAtMS, minClockMS := r.target(), r.worker.startedAtMS, r.worker.minClock(now)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		response, err := l.c.cfg.Workers.Start(ctx, target, command)
		l.post(func() {
			if r.worker.startedAtMS == startedAtMS {
				l.checkIncarnation(r, minClockMS, response, err)
			}
			if errors.Is(err, worker.ErrUnknownOutcome) {
				l.recordUnconfirmedGrant(r.worker, now, startedAtMS)
			}
			l.handleStartResponse(r, startedAtMS, err)
		})
	}()
}

// checkIncarnation determines whether a start may have reached another incarnation of the worker than the known one: a command
// cannot name the incarnation that it is for. minClockMS is the lowest reading of the known one's clock when the start was sent.
func (l *leader) checkIncarnation(r *run, minClockMS int64, response worker.StartResponse, err error) {
	ws := r.worker
	switch {
	case response.ConnectedAt != 0 && response.ConnectedAt <= ws.aliveAt:
		// The connection leads to the known incarnation, or to one before it.
	case errors.Is(err, worker.ErrUnknownOutcome) || (err == nil && response.ClockMS == 0):
		r.incarnationUnknown = true
	case err == nil && response.ClockMS < minClockMS:
		l.logger.Info().Str("worker", ws.id).Str("task", r.task.id.String()).Int64("clock", response.ClockMS).Int64("expected", minClockMS).
			Msg("worker's clock is behind, it has started again")
		r.incarnationUnknown = true
		l.expectOtherClock(ws, boottime.Now())
	}
}

// handleStartResponse applies the result of a start command that was sent to the incarnation of the worker
// with the given start time.
func (l *leader) handleStartResponse(r *run, startedAtMS int64, err error) {
	r.startInFlight = false
	if r.task.run != r {
		if errors.Is(err, worker.ErrUnknownOutcome) {
			r.markUnconfirmed()
			if r.worker.startedAtMS != startedAtMS {
				// The run was over in the earlier incarnation; the new one does not know that.
				l.stopUntracked(r.worker, r.runID())
			}
		}
		return
	}
	var rejected *worker.RejectedError
	switch {
	case err == nil:
		l.recordStart(r)
		r.worker.lastStartOrPollResponse = boottime.Now()
		if r.state == starting {
			r.state = running
		}
		if r.state != stopping {
			// The outcome of a run that is being stopped is confirmed by the response to its stop.
			r.confirmedAt = r.worker.lastStartOrPollResponse
		}
		r.beginClocked(r.worker.lastStartOrPollResponse)
		l.logRun(r, "task started")
		l.poll(r.worker)
	case errors.As(err, &rejected):
		l.handleStartRejected(r, rejected.Reason)
	case errors.Is(err, worker.ErrUnreachable) && r.unconfirmed == 0:
		l.logger.Info().Err(err).Str("worker", r.worker.id).Msg("worker unreachable, start not sent")
		r.worker.noWorkUntil = boottime.Now().Add(unhealthyTime)
		// The command was not sent, so the run is ended as if the worker had rejected it.
		l.handleStartRejected(r, "unreachable")
	case r.state != starting:
		r.markUnconfirmed()
	case r.startCommands < maxStartCommands:
		r.markUnconfirmed()
		l.sendStart(r)
	default:
		r.markUnconfirmed()
		r.worker.noWorkUntil = boottime.Now().Add(unhealthyTime)
		l.stopRun(r, "no answer to start")
	}
}

// recordStart records that a worker has confirmed that a run has started. The job is running from then on.
func (l *leader) recordStart(r *run) {
	r.task.rec.Started = true
	if j := r.task.unit.job; j.active() && j.phase == batch.Queued {
		l.setPhase(j, batch.Running, nil)
	}
}

// markUnconfirmed records that a start got no response. It is called when the missing response is
// noticed, so the recorded time is up to commandTimeout later than maxCommandDelay after the
// sending.
func (r *run) markUnconfirmed() {
	r.unconfirmed++
	r.worker.unconfirmedStarts[r.runID()] = boottime.Now().Add(maxCommandDelay)
}

func (l *leader) handleStartRejected(r *run, reason worker.RejectReason) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.worker.id).
		Str("reason", string(reason)).Int("unanswered", r.unconfirmed).Msg("start refused")
	ws, u := r.worker, r.task.unit
	now := boottime.Now()
	u.notBefore = now.Add(rejectedRetryInterval)
	switch reason {
	case worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case worker.RejectedWrongWorker:
		l.handleWrongWorker(ws)
		return
	case worker.RejectedUnhealthy:
		ws.noWorkUntil = now.Add(unhealthyTime)
	case worker.RejectedLeaseExpired, worker.RejectedNoCapacity:
		// The worker gets no new work until a poll has read its clock and its runs again.
		ws.noWorkUntil = now.Add(rejectedRetryInterval)
		ws.needsPoll = true
	case worker.RejectedTicket:
		u.advice.expireTickets()
	}
	if r.unconfirmed > 0 {
		if reason == worker.RejectedOldRun || reason == worker.RejectedLeaseExpired {
			// An earlier start without a response may have started the run, and the run may have
			// ended since. The next poll reports the end, or shows that the run never started.
			r.confirmedAt = now
			ws.nextPoll = 0
			l.poll(ws)
			return
		}
		// An earlier start without a response may still start the run.
		l.stopRun(r, "start refused")
		return
	}
	if r.task.run == r {
		l.endRun(r, endRejected, "")
	}
}

// stopRun stops a run, or prevents it from starting. A run that is being adopted is stopped once its worker
// has reported it. If the worker does not report it, the start may still arrive, and applyRunning sees to that.
func (l *leader) stopRun(r *run, reason string) {
	switch r.state {
	case stopping:
		return
	case adopting:
		r.reason = reason
		return
	case storing:
		// The start has not been sent, and sendStart ignores a run that has ended.
		l.endRun(r, endRejected, "")
		return
	}
	r.state = stopping
	r.reason = reason
	r.confirmedAt = 0
	l.logRun(r, "stopping task")
	l.sendStop(r)
}

func (l *leader) sendStop(r *run) {
	if !l.term.Valid() {
		return
	}
	now := boottime.Now()
	r.stopSentAt = now
	l.c.metrics.stops.Inc()
	target, runID, token, startedAtMS := r.target(), r.runID(), l.term.Epoch, r.worker.startedAtMS
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		err := l.c.cfg.Workers.Stop(ctx, target, runID, token)
		l.post(func() { l.handleStopResponse(r, startedAtMS, err) })
	}()
}

// handleStopResponse applies the result of a stop that was sent to the incarnation of the worker with the
// given start time. Another incarnation may not know of the stop.
func (l *leader) handleStopResponse(r *run, startedAtMS int64, err error) {
	if r.task.run != r || r.worker.startedAtMS != startedAtMS {
		return // If the run is still being stopped, checkRun repeats the stop.
	}
	var rejected *worker.RejectedError
	switch {
	case err == nil:
		r.confirmedAt = boottime.Now()
	case errors.As(err, &rejected) && rejected.Reason == worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case errors.As(err, &rejected) && rejected.Reason == worker.RejectedWrongWorker:
		l.handleWrongWorker(r.worker)
		return
	case errors.As(err, &rejected) && rejected.Reason == worker.RejectedOldRun:
		// The run was already stopped or has ended.
		r.confirmedAt = boottime.Now()
	default:
		return // checkRun repeats the stop.
	}
	r.worker.nextPoll = 0
	l.poll(r.worker)
}

// checkRun repeats a stop without a response, stops a run whose stopDueAt has passed, and sends a
// start that was deferred.
func (l *leader) checkRun(r *run, now boottime.Instant) {
	switch {
	case r.task.run != r:
	case r.state == stopping && r.confirmedAt == 0 && now.Sub(r.stopSentAt) > commandTimeout+stopRetryInterval:
		l.sendStop(r)
	case r.state != stopping && r.stopDueAt != 0 && now >= r.stopDueAt:
		l.stopRun(r, "gang ended")
	case r.startDeferred:
		l.sendStart(r)
	}
}

// hasStopping reports whether a run on the worker is being stopped.
func (ws *workerState) hasStopping() bool {
	for _, r := range ws.runs {
		if r.state == stopping {
			return true
		}
	}
	return false
}

// applyRunStatus applies the status that a worker reports for one of its runs, at the given time of its clock.
func (l *leader) applyRunStatus(r *run, s *worker.RunStatus, clockMS int64) {
	now := boottime.Now()
	r.usage = s.Usage
	if r.state == adopting {
		r.progress = progress.NewTracker(now, s.Percent)
	}
	r.progress.Report(now, s.Percent)
	r.sampleSpeed(now, clockMS)
	l.comparePaces(r.task.unit, now)
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	l.recordStart(r)
	r.incarnationUnknown = false
	switch r.state {
	case adopting:
		r.state = running
		r.speed = unknownSpeed
		r.confirmedAt = now
		l.logRun(r, "task adopted")
		switch {
		case r.reason != "":
			l.stopRun(r, r.reason)
		case !r.task.unit.job.active():
			l.stopRun(r, "job is over")
		}
	case starting:
		r.state = running
		r.confirmedAt = now
	}
}

// endRun records that a run is over and stores the new state of its task.
func (l *leader) endRun(r *run, kind worker.EndKind, checkpoint string) {
	t, ws, u := r.task, r.worker, r.task.unit
	if t.run != r {
		return
	}
	t.setRun(nil)
	delete(ws.runs, t.id)
	t.rec.Worker, t.rec.Address, t.rec.WorkerStartedAtMS = "", "", 0
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	if checkpoint != "" {
		t.rec.Checkpoint = checkpoint
		u.checkpoint = checkpoint
	}
	l.logger.Info().Str("task", t.id.String()).Int64("run", r.number).Str("worker", ws.id).Str("end", string(kind)).
		Str("reason", r.reason).Dur("ran", boottime.Since(r.placedAt)).Msg("task ended")
	l.planDue = true
	l.countLoss(r, kind)
	l.applyEndKind(r, kind)
	if u.gang() && !t.rec.Done {
		l.stopGang(u, kind)
	}
	l.storeEnd(ws, t)
}

// applyEndKind updates the task and the worker according to how a run ended.
func (l *leader) applyEndKind(r *run, kind worker.EndKind) {
	t, ws, u := r.task, r.worker, r.task.unit
	switch kind {
	case worker.EndDone:
		l.c.metrics.runsDone.Inc()
		u.completedRuns++
		clear(ws.failedJobs)
		l.recordDuration(r)
		if u.step.LongRunning {
			return // The task is started again.
		}
		if u.gang() {
			u.setAllDone()
		} else {
			t.setDone()
		}
	case worker.EndFailed:
		l.c.metrics.runsNotDone.Inc()
		l.recordFailure(r)
		l.quarantineIfSuspect(ws, u.job.spec.ID)
	default:
		l.c.metrics.runsNotDone.Inc()
	}
}

// recordFailure counts a failed run against its task, or against its gang, and makes the tasks of
// the unit avoid the worker. It fails the job if the number of failed runs has reached the limit.
func (l *leader) recordFailure(r *run) {
	t, u := r.task, r.task.unit
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[r.worker.id] = true
	u.failedTasks = true
	if u.gang() {
		if r.number <= u.lastFailed {
			return
		}
		u.lastFailed = r.number
		u.failures++
		t.rec.Failures, t.rec.FailedRun = u.failures, r.number
	} else {
		t.rec.Failures++
		u.failures = max(u.failures, t.rec.Failures)
	}
	if u.failureLimitReached(u.failures) {
		l.failJob(u.job, t)
	}
}

// quarantineIfSuspect records that a run of a job has failed on a worker. It quarantines the worker
// if runs of several jobs have failed there since its last successful run.
func (l *leader) quarantineIfSuspect(ws *workerState, job string) {
	ws.failedJobs[job] = true
	if len(ws.failedJobs) < quarantineFailedJobs {
		return
	}
	ws.noWorkUntil = boottime.Now().Add(quarantineTime)
	l.logger.Warn().Str("worker", ws.id).Int("failed_jobs", len(ws.failedJobs)).Msg("worker shunned")
}

// stopGang stops the other members of a gang after one has ended without completing the gang's
// work. They are stopped at once if that member was lost or rejected, or if their own starts have
// not been sent. Otherwise they are stopped after gangStopDelay, because they may end by themselves.
func (l *leader) stopGang(u *unit, kind worker.EndKind) {
	now := boottime.Now()
	for _, member := range u.tasks {
		r := member.run
		if r == nil || r.state == stopping {
			continue
		}
		if kind == endRejected || kind == endLost || r.state == storing {
			l.stopRun(r, "gang ended")
		} else if r.stopDueAt == 0 {
			r.stopDueAt = now.Add(gangStopDelay)
		}
	}
}

// storeEnd stores the state after the end of a run. The end is acknowledged to the worker only once
// that state is stored.
func (l *leader) storeEnd(ws *workerState, t *task) {
	u, j := t.unit, t.unit.job
	ws.unstoredEnds++
	onStored := func() {
		ws.unstoredEnds--
		ws.nextPoll = 0
		l.poll(ws)
	}
	if !j.phase.Final() && j.active() && j.complete() {
		l.setPhase(j, batch.Completed, onStored)
		return
	}
	tasks := []*task{t}
	if u.gang() && t.rec.Done && !u.doneStored {
		// One member that is stored as done suffices for a takeover, but not for leaders of older versions.
		u.doneStored = true
		tasks = u.tasks
	}
	l.storeTasks(tasks, func() {
		onStored()
		l.finishIfDone(j)
	})
}

func (l *leader) logRun(r *run, event string) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.worker.id).
		Str("reason", r.reason).Int("tries", r.startCommands).Msg(event)
}
