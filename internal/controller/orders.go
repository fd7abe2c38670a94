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
	orderTimeout = 500 * time.Millisecond
	// startTries bounds how often a start without an answer is repeated. Together they stay
	// well under the time for which members of a gang wait for each other.
	startTries = 3
	// stopRetry is the pause before a stop without an answer is repeated.
	stopRetry = 150 * time.Millisecond
	// stopLook is how long a look waits for the end of a run that is being stopped.
	stopLook = 250 * time.Millisecond
	// refusedPause delays another try of a task that a worker refused.
	refusedPause = 100 * time.Millisecond
	// gangPatience is how long the other members of a gang may take to be listed as ended
	// after one has ended.
	gangPatience = 300 * time.Millisecond
	// shunAfter is how many jobs must fail in a row on a worker before it gets no more work.
	shunAfter = 2
	// shunFor is how long it gets none, the length of a usual disturbance.
	shunFor = 6 * time.Second
	// unhealthyPause is how long a worker that refused an order gets no more.
	unhealthyPause = time.Second
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
	endRefused worker.EndKind = "refused"
)

// run is one run of a task, from its place being chosen until it is known to be over.
type run struct {
	task   *task
	link   *link
	number int64
	state  runState
	ticket string

	began    boottime.Instant
	entitled bool
	// tries counts the start orders sent, unanswered those that got no answer.
	tries, unanswered int
	// settled is when the last order was answered; a later look tells whether the run is there.
	settled boottime.Instant
	// stopSent is when the last stop was sent, stopAt when a stop is due; 0 for none.
	stopSent, stopAt boottime.Instant
	reason           string
	checkpoint       string
	track            progress.Tracker
	usage            int64
	// pace is the share of its speed that the run was last set to, in percent.
	pace int
}

func (r *run) order() worker.Run { return worker.Run{Task: r.task.id, Number: r.number} }

func (r *run) target() worker.Target { return worker.Target{ID: r.link.id, Address: r.link.address} }

// begin gives a task a place. The start is sent once the place is stored.
func (l *leader) begin(t *task, k *link, number int64, ticket string, entitled bool) (*run, ledger.Record) {
	now := boottime.Now()
	r := &run{task: t, link: k, number: number, state: storing, began: now, ticket: ticket, entitled: entitled, pace: fullSpeed}
	r.track = progress.NewTracker(now, 0)
	t.run = r
	k.runs[t.id] = r
	t.rec.Run, t.rec.Worker, t.rec.Address, t.rec.WorkerStartedAtMS = number, k.id, k.address, k.born
	t.rec.Checkpoint = t.savedPoint()
	return r, l.record(t)
}

// savedPoint is the checkpoint that the next run of a task resumes from.
func (t *task) savedPoint() string {
	if t.unit.gang() {
		return t.unit.checkpoint
	}
	return t.rec.Checkpoint
}

func (l *leader) record(t *task) ledger.Record {
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
	due := l.due(r.link, now)
	if !l.term.Valid() {
		return
	}
	r.state = starting
	r.tries++
	l.c.metrics.starts.Inc()
	order := worker.StartCommand{
		Run: r.order(), Spec: r.task.unit.job.spec.Spec, Checkpoint: r.task.savedPoint(), Ticket: r.ticket,
		LeaseExpiryMS: due, Token: l.term.Epoch,
	}
	target := r.target()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		err := l.c.cfg.Workers.Start(ctx, target, order)
		l.post(func() { l.started(r, err) })
	}()
}

// started takes the answer to a start.
func (l *leader) started(r *run, err error) {
	if r.task.run != r {
		if errors.Is(err, worker.ErrUnconfirmed) {
			r.noteLoose()
		}
		return
	}
	var refused *worker.RejectedError
	switch {
	case err == nil:
		r.link.heard = boottime.Now()
		if r.state == starting {
			r.state = running
		}
		if r.state != stopping {
			// A run that is being stopped is settled by the answer to its stop.
			r.settled = r.link.heard
		}
		l.logRun(r, "task started")
		l.look(r.link)
	case errors.As(err, &refused):
		l.startRefused(r, refused.Reason)
	case errors.Is(err, worker.ErrUnreachable) && r.unanswered == 0:
		l.logger.Info().Err(err).Str("worker", r.link.id).Msg("worker not reached")
		r.link.closedUntil = boottime.Now().Add(unhealthyPause)
		l.startRefused(r, "unreachable")
	case r.state != starting:
		r.noteLoose()
	case r.tries < startTries:
		r.noteLoose()
		l.sendStart(r)
	default:
		r.noteLoose()
		r.link.closedUntil = boottime.Now().Add(unhealthyPause)
		l.stopRun(r, "no answer to start")
	}
}

// noteLoose remembers that a start got no answer.
func (r *run) noteLoose() {
	r.unanswered++
	r.link.loose[r.order()] = boottime.Now().Add(looseFor)
}

func (l *leader) startRefused(r *run, reason worker.RejectReason) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.link.id).
		Str("reason", string(reason)).Int("unanswered", r.unanswered).Msg("start refused")
	k, u := r.link, r.task.unit
	now := boottime.Now()
	u.notBefore = now.Add(refusedPause)
	switch reason {
	case worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case worker.RejectedIncarnation:
		l.replaced(k)
		return
	case worker.RejectedUnhealthy:
		k.closedUntil = now.Add(unhealthyPause)
	case worker.RejectedLeaseExpired, worker.RejectedNoCapacity:
		k.closedUntil = now.Add(refusedPause)
		k.resample = true
	case worker.RejectedTicket:
		u.advice = nil
	}
	if r.unanswered > 0 {
		if reason == worker.RejectedOldRun || reason == worker.RejectedLeaseExpired {
			// An earlier order without an answer may have begun the run, and it may have ended since:
			// the next look lists its end, or tells that it never began.
			r.settled = now
			k.lookDue = 0
			l.look(k)
			return
		}
		// An earlier order without an answer may still begin the run.
		l.stopRun(r, "start refused")
		return
	}
	if r.task.run == r {
		l.resolve(r, endRefused, "")
	}
}

// stopRun ends a run, or makes sure that it never begins.
func (l *leader) stopRun(r *run, reason string) {
	switch r.state {
	case stopping:
		return
	case storing:
		// The start was not sent. It is not sent once the state has changed.
		l.resolve(r, endRefused, "")
		return
	}
	r.state = stopping
	r.reason = reason
	r.settled = 0
	l.logRun(r, "stopping task")
	l.sendStop(r)
}

func (l *leader) sendStop(r *run) {
	if !l.term.Valid() {
		return
	}
	now := boottime.Now()
	r.stopSent = now
	l.c.metrics.stops.Inc()
	target, order, token := r.target(), r.order(), l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		err := l.c.cfg.Workers.Stop(ctx, target, order, token)
		l.post(func() { l.stopAnswered(r, err) })
	}()
}

func (l *leader) stopAnswered(r *run, err error) {
	if r.task.run != r {
		return
	}
	var refused *worker.RejectedError
	switch {
	case err == nil:
		r.settled = boottime.Now()
	case errors.As(err, &refused) && refused.Reason == worker.RejectedStaleToken:
		l.stepDown("worker has seen a newer leader")
		return
	case errors.As(err, &refused) && refused.Reason == worker.RejectedIncarnation:
		l.replaced(r.link)
		return
	case errors.As(err, &refused) && refused.Reason == worker.RejectedOldRun:
		r.settled = boottime.Now()
	default:
		return // checkRun repeats the stop.
	}
	r.link.lookDue = 0
	l.look(r.link)
}

// checkRun repeats a stop without an answer and sends one that has come due.
func (l *leader) checkRun(r *run, now boottime.Instant) {
	switch {
	case r.task.run != r:
	case r.state == stopping && r.settled == 0 && now.Sub(r.stopSent) > orderTimeout+stopRetry:
		l.sendStop(r)
	case r.state != stopping && r.stopAt != 0 && now >= r.stopAt:
		l.stopRun(r, "gang ended")
	}
}

// waitsForStop says whether a run on the worker is about to end by a stop.
func (k *link) waitsForStop() bool {
	for _, r := range k.runs {
		if r.state == stopping {
			return true
		}
	}
	return false
}

// seenRunning takes a row of a worker's list of runs.
func (l *leader) seenRunning(r *run, s *worker.RunStatus) {
	now := boottime.Now()
	r.usage = s.Usage
	if r.state == adopting {
		r.track = progress.NewTracker(now, s.Percent)
	}
	r.track.Report(now, s.Percent)
	if s.Checkpoint != "" {
		r.checkpoint = s.Checkpoint
	}
	switch r.state {
	case adopting:
		r.state = running
		r.pace = unknownPace
		r.settled = now
		l.logRun(r, "task adopted")
		if !r.task.unit.job.live() {
			l.stopRun(r, "job is over")
		}
	case starting:
		r.state = running
		r.settled = now
	}
}

// resolve takes that a run is over.
func (l *leader) resolve(r *run, kind worker.EndKind, checkpoint string) {
	t, k, u := r.task, r.link, r.task.unit
	if t.run != r {
		return
	}
	t.run = nil
	delete(k.runs, t.id)
	t.rec.Worker, t.rec.Address, t.rec.WorkerStartedAtMS = "", "", 0
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	if checkpoint != "" {
		t.rec.Checkpoint = checkpoint
		u.checkpoint = checkpoint
	}
	l.logger.Info().Str("task", t.id.String()).Int64("run", r.number).Str("worker", k.id).Str("end", string(kind)).
		Str("reason", r.reason).Dur("ran", boottime.Since(r.began)).Msg("task ended")
	l.planDue = true
	l.countEnd(r, kind)
	if u.gang() && !t.rec.Done {
		l.endGang(u, kind)
	}
	l.settleEnd(k, t)
}

// countEnd takes what an end says of the task and of the worker.
func (l *leader) countEnd(r *run, kind worker.EndKind) {
	t, k, u := r.task, r.link, r.task.unit
	switch kind {
	case worker.EndDone:
		l.c.metrics.ends.Inc()
		clear(k.failedJobs)
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
		l.c.metrics.failures.Inc()
		l.countFailure(r)
		l.suspect(k, u.job.spec.ID)
	default:
		l.c.metrics.failures.Inc()
	}
}

func (l *leader) countFailure(r *run) {
	t, u := r.task, r.task.unit
	if t.avoid == nil {
		t.avoid = make(map[string]bool)
	}
	t.avoid[r.link.id] = true
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
func (l *leader) suspect(k *link, job string) {
	k.failedJobs[job] = true
	if len(k.failedJobs) < shunAfter {
		return
	}
	k.closedUntil = boottime.Now().Add(shunFor)
	l.logger.Warn().Str("worker", k.id).Int("failed_jobs", len(k.failedJobs)).Msg("worker shunned")
}

// endGang ends the other members after one has ended without being done.
func (l *leader) endGang(u *unit, kind worker.EndKind) {
	now := boottime.Now()
	for _, member := range u.tasks {
		r := member.run
		if r == nil || r.state == stopping {
			continue
		}
		if kind == endRefused || kind == endLost || r.state == storing {
			l.stopRun(r, "gang ended")
		} else if r.stopAt == 0 {
			r.stopAt = now.Add(gangPatience)
		}
	}
}

// settleEnd stores the state after an end. The worker may forget the end afterwards.
func (l *leader) settleEnd(k *link, t *task) {
	u, j := t.unit, t.unit.job
	k.unstored++
	stored := func() {
		k.unstored--
		k.lookDue = 0
		l.look(k)
	}
	if !j.phase.Final() && j.live() && j.complete() {
		l.setPhase(j, batch.Completed, stored)
		return
	}
	records := []ledger.Record{l.record(t)}
	if u.gang() && t.rec.Done {
		records = records[:0]
		for _, member := range u.tasks {
			records = append(records, l.record(member))
		}
	}
	l.store(records, func() {
		stored()
		l.finishIfDone(j)
	})
}

func (l *leader) logRun(r *run, event string) {
	l.logger.Info().Str("task", r.task.id.String()).Int64("run", r.number).Str("worker", r.link.id).
		Str("reason", r.reason).Int("tries", r.tries).Msg(event)
}
