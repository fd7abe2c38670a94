package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// lookEvery is how long a look at a worker waits for an end. Leases are renewed as often.
	pollWait = 900 * time.Millisecond
	// lookTimeout is added to it for the answer.
	pollTimeoutMargin = 700 * time.Millisecond
	// lookRetry is the pause after a look without an answer.
	pollRetryInterval = 150 * time.Millisecond
	// idleLookRetry is the same for a worker that runs nothing: each look has its price, and a worker
	// that was cut off is usually away for some seconds.
	idlePollRetryInterval = time.Second
	// sameLife is the time after a look within which the worker has not started again: a start takes
	// longer.
	sameIncarnationWindow = time.Second
	// looseFor is how long an order without an answer may be on its way.
	maxCommandDelay = 15 * time.Second
)

// checkLink looks at a worker that needs it, and gives up runs whose leases have run out.
func (l *leader) checkWorker(ws *workerState, now boottime.Instant) {
	if ws.unreachableSince != 0 && ws.leasesExpired(now) {
		l.endExpiredRuns(ws, now)
	}
	for _, r := range ws.runList() {
		l.checkRun(r, now)
	}
	if ws.info.State == worker.Draining {
		l.stopBeforeLeaving(ws, now)
	}
	if !ws.registered && len(ws.runs) == 0 {
		l.forgetWorker(ws)
		return
	}
	l.poll(ws)
}

// giveUpLapsed resolves the runs of a worker whose leases have run out. A start that the worker holds
// back could begin its run in a new life of the worker: that task waits until the run is stopped
// there, or the start can no longer arrive.
func (l *leader) endExpiredRuns(ws *workerState, now boottime.Instant) {
	for _, r := range ws.runList() {
		if ws.mayStillStart(r.id(), now) {
			continue
		}
		l.logger.Warn().Str("worker", ws.id).Str("task", r.task.id.String()).
			Dur("silent", now.Sub(ws.unreachableSince)).Msg("lease has run out")
		l.endRun(r, endLost, "")
	}
}

// mayHoldBack says whether the worker may still carry out a start that got no answer. A worker that
// has answered nothing since was cut off: the start did not reach it.
func (ws *workerState) mayStillStart(r worker.Run, now boottime.Instant) bool {
	until, loose := ws.unconfirmedStarts[r]
	return loose && now < until && ws.lastResponse > until.Add(-maxCommandDelay)
}

// look asks a worker for its lists, unless a look is under way or nothing is expected.
func (l *leader) poll(ws *workerState) {
	now := boottime.Now()
	if ws.pollInFlight || now < ws.nextPoll || ws.unstoredEnds > 0 || !l.term.Valid() {
		return
	}
	if len(ws.runs) == 0 && ws.processedEnd == ws.acknowledgedEnd && !ws.clockStale && ws.unreachableSince == 0 {
		return
	}
	command := worker.PollCommand{Token: l.term.Epoch}
	known := ws.unreachableSince == 0 && now.Sub(ws.lastPolled) < sameIncarnationWindow
	if ws.processedEnd > ws.acknowledgedEnd && known {
		// A worker that was not heard of for a while may have started again: its new life would take the
		// acknowledgement for ends of its own, which nobody has seen.
		command.AcknowledgedThrough = ws.processedEnd
	}
	switch {
	case ws.clockReadAt == 0 || ws.hasAdopting():
		// The first look only raises the fence and reads the clock.
	case ws.unreachableSince != 0:
		// A due time that may or may not arrive would keep the runs from ever being given up.
	case len(ws.runs) > 0:
		command.LeaseExpiryMS = l.nextExpiry(ws, now)
		command.Wait = pollWait
		if ws.hasStopping() {
			command.Wait = stopPollWait
		}
		if ws.processedEnd > ws.acknowledgedEnd && !known {
			command.Wait = 0
		}
	}
	if !l.term.Valid() {
		return
	}
	ws.pollInFlight = true
	l.c.metrics.polls.Inc()
	target := worker.Target{ID: ws.id, Address: ws.address}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, command.Wait+pollTimeoutMargin)
		defer cancel()
		response, err := l.c.cfg.Workers.Poll(ctx, target, command)
		l.post(func() { l.handlePollResponse(ws, now, command, response, err) })
	}()
}

// looked takes the outcome of a look that was sent at the given instant.
func (l *leader) handlePollResponse(ws *workerState, sent boottime.Instant, command worker.PollCommand, response worker.PollResponse, err error) {
	ws.pollInFlight = false
	if l.workers[ws.id] != ws {
		return
	}
	if err != nil {
		if command.AcknowledgedThrough > 0 && errors.Is(err, worker.ErrUnknownOutcome) {
			ws.unconfirmedAckUntil = sent.Add(maxCommandDelay)
		}
		l.handlePollError(ws, err)
		return
	}
	ws.lastResponse = boottime.Now()
	ws.lastPolled = ws.lastResponse
	if ws.unreachableSince != 0 {
		l.logger.Info().Str("worker", ws.id).Dur("silent", boottime.Since(ws.unreachableSince)).Msg("worker answers again")
		ws.unreachableSince = 0
		l.planDue = true
	}
	if response.StartedAtMS != 0 && response.StartedAtMS < ws.startedAtMS {
		return
	}
	l.updateIncarnation(ws, response.StartedAtMS)
	ws.clockMS, ws.clockReadAt, ws.clockStale = response.ClockMS, boottime.Now(), false
	if !ws.polledInTerm {
		// An earlier leader may have given out the longest lease just before.
		ws.polledInTerm = true
		ws.maxExpiryMS = max(ws.maxExpiryMS, ws.clockMS+l.c.cfg.Timing.MaxLease.Milliseconds())
	}
	ws.acknowledgedEnd = max(ws.acknowledgedEnd, command.AcknowledgedThrough)
	l.applyEnds(ws, response.Ended)
	l.applyRunning(ws, sent, response)
	l.restartStalled(ws)
	l.adjustFillerSpeeds(ws)
	l.poll(ws)
}

func (l *leader) handlePollError(ws *workerState, err error) {
	var refused *worker.RejectedError
	now := boottime.Now()
	ws.nextPoll = now.Add(pollRetryInterval)
	if len(ws.runs) == 0 {
		ws.nextPoll = now.Add(idlePollRetryInterval)
	}
	if errors.As(err, &refused) {
		switch refused.Reason {
		case worker.RejectedStaleToken:
			l.stepDown("worker has seen a newer leader")
			return
		case worker.RejectedIncarnation:
			l.handleReplaced(ws)
			return
		}
	}
	if ws.unreachableSince == 0 {
		ws.unreachableSince = now
		l.logger.Warn().Str("worker", ws.id).Err(err).Int("runs", len(ws.runs)).Msg("worker does not answer")
	}
}

// replaced takes that another incarnation has the worker's address: this one runs nothing.
func (l *leader) handleReplaced(ws *workerState) {
	l.logger.Info().Str("worker", ws.id).Int("runs", len(ws.runs)).Msg("worker replaced at its address")
	for _, r := range ws.runList() {
		l.endRun(r, endLost, "")
	}
	ws.processedEnd = ws.acknowledgedEnd
	ws.registered = false
}

// takeEnds takes the ends that were not taken before.
func (l *leader) applyEnds(ws *workerState, ends []worker.End) {
	for _, e := range ends {
		if e.Sequence <= ws.processedEnd {
			continue
		}
		ws.processedEnd = e.Sequence
		if r := ws.runs[e.Task]; r != nil && r.number == e.Run.Number {
			l.endRun(r, e.Kind, e.Checkpoint)
		}
	}
}

// takeRunning compares the runs in progress with those expected.
func (l *leader) applyRunning(ws *workerState, sent boottime.Instant, response worker.PollResponse) {
	reported := make(map[batch.TaskID]bool, len(response.Running))
	for i := range response.Running {
		s := &response.Running[i]
		r := ws.runs[s.Task]
		if r == nil || r.number != s.Number {
			l.stopUnexpected(ws, s.Run)
			continue
		}
		reported[s.Task] = true
		l.applyRunStatus(r, s)
	}
	for _, r := range ws.runList() {
		if !reported[r.task.id] && r.confirmedAt != 0 && sent > r.confirmedAt {
			// The order was answered before the look was sent: the run is over, and was not
			// listed as ended because it never began or its end was forgotten.
			l.endRun(r, endLost, "")
		} else if !reported[r.task.id] && r.state == adopting {
			// The former leader's start may still be on its way.
			ws.unconfirmedStarts[r.id()] = boottime.Now().Add(maxCommandDelay)
			l.endRun(r, endLost, "")
		}
	}
}

// stopStray ends a run that the leader does not expect, or keeps it from beginning.
func (l *leader) stopUnexpected(ws *workerState, r worker.Run) {
	l.logger.Warn().Str("worker", ws.id).Str("task", r.Task.String()).Int64("run", r.Number).Msg("stopping run that is not expected")
	target, token := worker.Target{ID: ws.id, Address: ws.address}, l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.Stop(ctx, target, r, token); err != nil {
			l.logger.Warn().Str("worker", target.ID).Str("task", r.Task.String()).Err(err).Msg("unexpected run not stopped")
		}
	}()
}

// adoptAll looks at every worker that an earlier leader may have given work.
func (l *leader) pollAll() {
	for _, ws := range l.workers {
		l.poll(ws)
	}
}
