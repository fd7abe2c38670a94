package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/progress"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// orderTimeout bounds an order to a worker, some hundred times the way there.
	commandTimeout = 500 * time.Millisecond
	// startTries bounds how often a start without an answer is repeated. Together they stay
	// well under the time for which members of a gang wait for each other.
	maxStartCommands = 3
	// stopRetry is the pause before a stop without an answer is repeated.
	stopRetryInterval = 150 * time.Millisecond
	// stopLook is how long a look waits for the end of a run that is being stopped.
	stopPollWait = 250 * time.Millisecond
	// refusedPause delays another try of a task that a worker refused.
	rejectedRetryDelay = 100 * time.Millisecond
	// gangPatience is how long the other members of a gang may take to be listed as ended
	// after one has ended.
	gangEndGrace = 300 * time.Millisecond
	// shunAfter is how many jobs must fail in a row on a worker before it gets no more work.
	quarantineFailedJobs = 2
	// shunFor is how long it gets none, the length of a usual disturbance.
	quarantineTime = 6 * time.Second
	// unhealthyPause is how long a worker that refused an order gets no more.
	unhealthyTime = time.Second
)

// runState is how far a run is.
type runState int

const (
	// storing runs have a place that is not yet stored.
	storing runState = iota
	// starting runs have been ordered.
	starting
	// running runs have been confirmed by the worker.
	running
	// stopping runs are to end.
	stopping
	// adopting runs were stored by an earlier leader, and the worker was not yet asked.
	adopting
)

// Ways in which a run is over that no worker lists.
const (
	// endLost means that the run is over without an end of its own.
	endLost worker.EndKind = "lost"
	// endRefused means that the worker did not begin it.
	endRejected worker.EndKind = "refused"
)

// run is one run of a task, from its place being chosen until it is known to be over.
type run struct {
	task   *task
	worker *workerState
	number int64
	state  runState
	ticket string

	placedAt boottime.Instant
	entitled bool
	// tries counts the start orders sent, unanswered those that got no answer.
	startCommands, unconfirmed int
	// settled is when the last order was answered; a later look tells whether the run is there.
	confirmedAt boottime.Instant
	// stopSent is when the last stop was sent, stopAt when a stop is due; 0 for none.
	stopSentAt, stopDueAt boottime.Instant
	reason                string
	checkpoint            string
	progress              progress.Tracker
	usage                 int64
	// pace is the share of its speed that the run was last set to, in percent.
	speed int
}

func (r *run) id() worker.Run { return worker.Run{Task: r.task.id, Number: r.number} }

func (r *run) target() worker.Target {
	return worker.Target{ID: r.worker.id, Address: r.worker.address}
}

// begin gives a task a place. The start is sent once the place is stored.
func (l *leader) placeTask(t *task, ws *workerState, number int64, ticket string, entitled bool) (*run, ledger.Record) {
	now := boottime.Now()
	r := &run{task: t, worker: ws, number: number, state: storing, placedAt: now, ticket: ticket, entitled: entitled, speed: fullSpeed}
	r.progress = progress.NewTracker(now, 0)
	t.run = r
	ws.runs[t.id] = r
	t.rec.Run, t.rec.Worker, t.rec.Address, t.rec.WorkerStartedAtMS = number, ws.id, ws.address, ws.startedAtMS
	t.rec.Checkpoint = t.resumeCheckpoint()
	return r, l.taskRecord(t)
}

// savedPoint is the checkpoint that the next run of a task resumes from.
func (t *task) resumeCheckpoint() string {
	if t.unit.gang() {
		return t.unit.checkpoint
	}
	return t.rec.Checkpoint
}

func (l *leader) taskRecord(t *task) ledger.Record {
	record, err := batch.EncodeTask(t.id, t.rec)
	if err != nil {
		l.logger.Error().Err(err).Str("task", t.id.String()).Msg("task not stored")
		l.stepDown("task not encodable")
	}
	return record
}

// sendStart orders a run. The order is repeated if it gets no answer: the same run is not
// started twice.
func (l *leader) sendStart(r *run) {
	if r.task.run != r || (r.state != storing && r.state != starting) {
		return
	}
	now := boottime.Now()
	due := l.nextExpiry(r.worker, now)
	if !l.term.Valid() {
		return
	}
	r.state = starting
	r.startCommands++
	l.c.metrics.starts.Inc()
	command := worker.StartCommand{
		Run: r.id(), Spec: r.task.unit.job.spec.Spec, Checkpoint: r.task.resumeCheckpoint(), Ticket: r.ticket,
		LeaseExpiryMS: due, Token: l.term.Epoch,
	}
	target := r.target()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		err := l.c.cfg.Workers.Start(ctx, target, command)
		l.post(func() { l.handleStartResponse(r, err) })
	}()
}

// started takes the answer to a start.
func (l *leader) handleStartResponse(r *run, err error) {
	if r.task.run != r {
		if errors.Is(err, worker.ErrUnknownOutcome) {
			r.markUnconfirmed()
		}
		return
	}
	var refused *worker.RejectedError
	switch {
	case err == nil:
		r.worker.lastResponse = boottime.Now()
		if r.state == starting {
			r.state = running
		}
		if r.state != stopping {
			// A run that is being stopped is settled by the answer to its stop.
			r.confirmedAt = r.worker.lastResponse
		}
		l.logRun(r, "task started")
		l.poll(r.worker)
	case errors.As(err, &refused):
		l.handleStartRejected(r, refused.Reason)
	case errors.Is(err, worker.ErrUnreachable) && r.unconfirmed == 0:
		l.logger.Info().Err(err).Str("worker", r.worker.id).Msg("worker not reached")
		r.worker.noWorkUntil = boottime.Now().Add(unhealthyTime)
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

// noteLoose remembers that a start got no answer.
func (r *run) markUnconfirmed() {
	r.unconfirmed++
	r.worker.unconfirmedStarts[r.id()] = boottime.Now().Add(maxCommandDelay)
}

func (l *leader) handleStartRejected(r *run, reason worker.RejectReason) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.worker.id).
		Str("reason", string(reason)).Int("unanswered", r.unconfirmed).Msg("start refused")
	ws, u := r.worker, r.task.unit
	now := boottime.Now()
	u.notBefore = now.Add(rejectedRetryDelay)
	switch reason {
	case worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case worker.RejectedIncarnation:
		l.handleReplaced(ws)
		return
	case worker.RejectedUnhealthy:
		ws.noWorkUntil = now.Add(unhealthyTime)
	case worker.RejectedLeaseExpired, worker.RejectedNoCapacity:
		ws.noWorkUntil = now.Add(rejectedRetryDelay)
		ws.clockStale = true
	case worker.RejectedTicket:
		u.advice = nil
	}
	if r.unconfirmed > 0 {
		if reason == worker.RejectedOldRun || reason == worker.RejectedLeaseExpired {
			// An earlier order without an answer may have begun the run, and it may have ended since:
			// the next look lists its end, or tells that it never began.
			r.confirmedAt = now
			ws.nextPoll = 0
			l.poll(ws)
			return
		}
		// An earlier order without an answer may still begin the run.
		l.stopRun(r, "start refused")
		return
	}
	if r.task.run == r {
		l.endRun(r, endRejected, "")
	}
}

// stopRun ends a run, or makes sure that it never begins.
func (l *leader) stopRun(r *run, reason string) {
	switch r.state {
	case stopping:
		return
	case storing:
		// The start was not sent. It is not sent once the state has changed.
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
	target, run, token := r.target(), r.id(), l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		err := l.c.cfg.Workers.Stop(ctx, target, run, token)
		l.post(func() { l.handleStopResponse(r, err) })
	}()
}

func (l *leader) handleStopResponse(r *run, err error) {
	if r.task.run != r {
		return
	}
	var refused *worker.RejectedError
	switch {
	case err == nil:
		r.confirmedAt = boottime.Now()
	case errors.As(err, &refused) && refused.Reason == worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case errors.As(err, &refused) && refused.Reason == worker.RejectedIncarnation:
		l.handleReplaced(r.worker)
		return
	case errors.As(err, &refused) && refused.Reason == worker.RejectedOldRun:
		r.confirmedAt = boottime.Now()
	default:
		return // checkRun repeats the stop.
	}
	r.worker.nextPoll = 0
	l.poll(r.worker)
}

// checkRun repeats a stop without an answer and sends one that has come due.
func (l *leader) checkRun(r *run, now boottime.Instant) {
	switch {
	case r.task.run != r:
	case r.state == stopping && r.confirmedAt == 0 && now.Sub(r.stopSentAt) > commandTimeout+stopRetryInterval:
		l.sendStop(r)
	case r.state != stopping && r.stopDueAt != 0 && now >= r.stopDueAt:
		l.stopRun(r, "gang ended")
	}
}

// waitsForStop says whether a run on the worker is about to end by a stop.
func (ws *workerState) hasStopping() bool {
	for _, r := range ws.runs {
		if r.state == stopping {
			return true
		}
	}
	return false
}

// seenRunning takes a row of a worker's list of runs.
func (l *leader) applyRunStatus(r *run, s *worker.RunStatus) {
	now := boottime.Now()
	r.usage = s.Usage
	if r.state == adopting {
		r.progress = progress.NewTracker(now, s.Percent)
	}
	r.progress.Report(now, s.Percent)
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	switch r.state {
	case adopting:
		r.state = running
		r.speed = unknownSpeed
		r.confirmedAt = now
		l.logRun(r, "task adopted")
		if !r.task.unit.job.live() {
			l.stopRun(r, "job is over")
		}
	case starting:
		r.state = running
		r.confirmedAt = now
	}
}

// resolve takes that a run is over.
func (l *leader) endRun(r *run, kind worker.EndKind, checkpoint string) {
	t, ws, u := r.task, r.worker, r.task.unit
	if t.run != r {
		return
	}
	t.run = nil
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
	l.applyEndKind(r, kind)
	if u.gang() && !t.rec.Done {
		l.stopGang(u, kind)
	}
	l.storeEnd(ws, t)
}

// countEnd takes what an end says of the task and of the worker.
func (l *leader) applyEndKind(r *run, kind worker.EndKind) {
	t, ws, u := r.task, r.worker, r.task.unit
	switch kind {
	case worker.EndDone:
		l.c.metrics.runsDone.Inc()
		clear(ws.failedJobs)
		if u.step.LongRunning {
			return
		}
		t.rec.Done = true
		if u.gang() {
			for _, member := range u.tasks {
				member.rec.Done = true
			}
		}
	case worker.EndFailed:
		l.c.metrics.runsNotDone.Inc()
		l.countFailure(r)
		l.quarantineIfSuspect(ws, u.job.spec.ID)
	default:
		l.c.metrics.runsNotDone.Inc()
	}
}

func (l *leader) countFailure(r *run) {
	t, u := r.task, r.task.unit
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[r.worker.id] = true
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
	if u.step.LongRunning || u.job.spec.Rules.MaxAttempts <= 0 || u.failures < u.job.spec.Rules.MaxAttempts {
		return
	}
	l.failJob(u.job, t)
}

// suspect keeps work from a worker on which several jobs have failed in a row.
func (l *leader) quarantineIfSuspect(ws *workerState, job string) {
	ws.failedJobs[job] = true
	if len(ws.failedJobs) < quarantineFailedJobs {
		return
	}
	ws.noWorkUntil = boottime.Now().Add(quarantineTime)
	l.logger.Warn().Str("worker", ws.id).Int("failed_jobs", len(ws.failedJobs)).Msg("worker shunned")
}

// endGang ends the other members after one has ended without being done.
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
			r.stopDueAt = now.Add(gangEndGrace)
		}
	}
}

// settleEnd stores the state after an end. The worker may forget the end afterwards.
func (l *leader) storeEnd(ws *workerState, t *task) {
	u, j := t.unit, t.unit.job
	ws.unstoredEnds++
	stored := func() {
		ws.unstoredEnds--
		ws.nextPoll = 0
		l.poll(ws)
	}
	if !j.phase.Final() && j.live() && j.complete() {
		l.setPhase(j, batch.Completed, stored)
		return
	}
	records := []ledger.Record{l.taskRecord(t)}
	if u.gang() && t.rec.Done {
		records = records[:0]
		for _, member := range u.tasks {
			records = append(records, l.taskRecord(member))
		}
	}
	l.storeTasks(records, func() {
		stored()
		l.finishIfDone(j)
	})
}

func (l *leader) logRun(r *run, event string) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.worker.id).
		Str("reason", r.reason).Int("tries", r.startCommands).Msg(event)
}
