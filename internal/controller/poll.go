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
	// pollWait is how long a poll waits at the worker for the end of a run. Leases are renewed at
	// this interval.
	pollWait = 900 * time.Millisecond
	// pollTimeoutMargin is added to the wait of a poll for the delivery of its response.
	pollTimeoutMargin = 700 * time.Millisecond
	// pollRetryInterval is the pause after a poll without a response.
	pollRetryInterval = 150 * time.Millisecond
	// idlePollRetryInterval replaces pollRetryInterval for a worker without runs: every poll has a
	// cost, and an unreachable worker usually stays unreachable for some seconds.
	idlePollRetryInterval = time.Second
	// lateStartPollInterval is the pause after a poll of a worker without runs to which a start may still be
	// delivered. It is shorter than the time from a restart of the worker until its registry entry is read, because
	// a new incarnation must be told to reject the start.
	lateStartPollInterval = 300 * time.Millisecond
	// untrackedPollInterval is the pause after a poll that reported a run that the leader does not track.
	untrackedPollInterval = 150 * time.Millisecond
	// maxFirstPolls is the number of first polls that are in flight at a time: polls of workers without runs that must answer
	// one before they get work. A new leader polls every worker. With 3,000 at a time, connections and renewals of the
	// term timed out for lack of processor time, and one leader after the other resigned.
	maxFirstPolls = 256
	// firstPollTime is the time after which a first poll no longer counts, so that unreachable workers do not keep
	// others waiting. Workers that can be reached answer within some tens of milliseconds.
	firstPollTime = 100 * time.Millisecond
	// sameIncarnationWindow is the time after a poll within which the worker cannot have restarted: the quickest
	// restarts take about 0.6 s.
	sameIncarnationWindow = 300 * time.Millisecond
	// maxCommandDelay is the longest time for which a command without a response may still be
	// delivered. For starts it is counted from when the missing response was noticed, which is
	// later than the sending.
	maxCommandDelay = 15 * time.Second
)

// checkWorker performs the periodic work for one worker: it ends runs whose leases have expired,
// repeats stops without a response, stops gang members whose stop is due and checkpointing tasks
// before a draining worker shuts down, and polls the worker if necessary. It forgets a worker that is
// forgettable once the registry has been read.
func (l *leader) checkWorker(ws *workerState, now boottime.Instant) {
	if ws.unreachableSince != 0 {
		l.endExpiredRuns(ws, now)
	}
	for _, r := range ws.runList() {
		l.checkRun(r, now)
	}
	if ws.info.State == worker.Draining {
		l.stopBeforeShutdown(ws, now)
	}
	if l.registryRead && ws.forgettable(now) {
		l.forgetWorker(ws)
		return
	}
	l.poll(ws)
}

// endExpiredRuns ends the runs of an unreachable worker whose leases have expired. An unconfirmed start that is
// delivered late could begin its run in a new incarnation of the worker. Such a run stays among the
// runs of the worker, and its task is not restarted, until the run is stopped in the new
// incarnation or the start can no longer be delivered.
func (l *leader) endExpiredRuns(ws *workerState, now boottime.Instant) {
	for _, r := range ws.runList() {
		if !l.leaseExpired(r, now) || ws.mayStillStart(r.runID(), now) {
			continue
		}
		l.logger.Warn().Str("worker", ws.id).Str("task", r.task.id.String()).
			Dur("silent", now.Sub(ws.unreachableSince)).Int64("clock", ws.minClock(now)).Int64("expiry", ws.maxExpiryMS).
			Int64("born", ws.startedAtMS).Msg("lease has run out")
		l.endRun(r, endLost, "")
	}
}

// mayStillStart reports whether the worker may still execute an unconfirmed start. If the worker
// has accepted no start and answered no poll since the missing response was noticed, it is assumed
// to have been unreachable when the start was sent, so that it did not receive the start.
func (ws *workerState) mayStillStart(r worker.Run, now boottime.Instant) bool {
	until, unconfirmed := ws.unconfirmedStarts[r]
	return unconfirmed && now < until && ws.lastStartOrPollResponse > until.Add(-maxCommandDelay)
}

// poll asks a worker for the state of its runs and renews its leases. It does nothing while a poll
// is in flight, before the time of the next poll, or if the worker is reachable and has no runs, no
// unacknowledged ends, no needsPoll and no start that may still be delivered. While the records of ended runs are
// not stored yet, it only renews the leases of the other runs.
func (l *leader) poll(ws *workerState) {
	now := boottime.Now()
	if !l.pollDue(ws, now) || !l.admitPoll(ws, now) {
		return
	}
	storing := ws.unstoredEnds > 0
	command := worker.PollCommand{Token: l.term.Epoch}
	sameIncarnation := ws.unreachableSince == 0 && now.Sub(ws.lastPollResponse) < sameIncarnationWindow
	if ws.processedEnd > ws.acknowledgedEnd && sameIncarnation && !storing {
		// Ends are acknowledged only shortly after a poll. Later the worker may have restarted
		// unnoticed, and the new incarnation would apply the acknowledgement to its own ends, which
		// the leader has not seen.
		command.AcknowledgedThrough = ws.processedEnd
	}
	switch {
	case ws.clockReadAt == 0 || ws.awaitsAdoption():
		// Leases are not renewed before the worker's clock has been read and the runs that are
		// being adopted have been reported. This poll also raises the worker's fencing token.
	case ws.unreachableSince != 0:
		// Unreachable workers get no new expiry: with renewals that may or may not be delivered,
		// the leases would never count as expired.
	case len(ws.runs) > 0:
		command.LeaseExpiryMS = l.nextExpiry(ws, now)
		command.Wait = pollWait
		if ws.hasStopping() || ws.needsPoll {
			command.Wait = stopPollWait
		}
		if ws.processedEnd > ws.acknowledgedEnd && (!sameIncarnation || storing) {
			// The response comes at once, and the next poll can acknowledge the ends within
			// sameIncarnationWindow.
			command.Wait = 0
		}
	}
	// The expiry is computed from an earlier instant than this check, so it is sent only if the
	// term was still valid at that instant.
	if !l.term.Valid() {
		return
	}
	ws.pollInFlight, ws.ackInFlight = true, command.AcknowledgedThrough > 0
	l.c.metrics.polls.Inc()
	ended := func() {}
	if ws.waitsForFirstPoll(now) {
		ended = l.countFirstPoll()
	}
	target, startedAtMS := worker.Endpoint{ID: ws.id, Address: ws.address}, ws.startedAtMS
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, command.Wait+pollTimeoutMargin)
		defer cancel()
		response, err := l.c.cfg.Workers.Poll(ctx, target, command)
		l.post(func() {
			if command.AcknowledgedThrough > 0 && errors.Is(err, worker.ErrUnknownOutcome) {
				ws.recordUnconfirmedAck(now, startedAtMS)
			}
			if command.LeaseExpiryMS > 0 && errors.Is(err, worker.ErrUnknownOutcome) {
				l.recordUnconfirmedGrant(ws, now, startedAtMS)
			}
			l.handlePollResponse(ws, now, command, response, err)
			ended()
		})
	}()
}

// pollDue reports whether a poll of the worker is due; see poll.
func (l *leader) pollDue(ws *workerState, now boottime.Instant) bool {
	if ws.pollInFlight || now < ws.nextPoll || !l.term.Valid() {
		return false
	}
	if ws.unstoredEnds > 0 && (len(ws.runs) == 0 || now.Sub(ws.lastStartOrPollResponse) < pollWait) {
		return false
	}
	return !ws.isIdle() || ws.needsPoll || ws.unreachableSince != 0 || ws.expectsLateStart(now)
}

// waitsForFirstPoll reports whether the worker has no runs and must be polled before it gets work, so that its poll may wait
// for others.
func (ws *workerState) waitsForFirstPoll(now boottime.Instant) bool {
	return ws.needsPoll && ws.unreachableSince == 0 && ws.isIdle() && !ws.expectsLateStart(now)
}

// countFirstPoll counts a first poll until the returned function is called, or for firstPollTime.
func (l *leader) countFirstPoll() (ended func()) {
	l.firstPolls++
	counted := true
	ended = func() {
		if counted {
			counted = false
			l.firstPolls--
			l.pollNextQueued()
		}
	}
	time.AfterFunc(firstPollTime, func() { l.post(ended) })
	return ended
}

// admitPoll reports whether a poll of the worker may be sent now. If maxFirstPolls are in flight, it queues the worker.
func (l *leader) admitPoll(ws *workerState, now boottime.Instant) bool {
	if l.firstPolls < maxFirstPolls || !ws.waitsForFirstPoll(now) {
		return true
	}
	if !ws.pollQueued {
		ws.pollQueued = true
		l.queuedPolls = append(l.queuedPolls, ws)
	}
	return false
}

// pollNextQueued polls the next workers whose first poll has waited for others.
func (l *leader) pollNextQueued() {
	for len(l.queuedPolls) > 0 && l.firstPolls < maxFirstPolls {
		ws := l.queuedPolls[0]
		l.queuedPolls[0] = nil
		l.queuedPolls = l.queuedPolls[1:]
		ws.pollQueued = false
		if l.workers[ws.id] == ws {
			l.poll(ws)
		}
	}
}

// handlePollResponse applies the result of a poll that was sent at the given instant.
func (l *leader) handlePollResponse(ws *workerState, sent boottime.Instant, command worker.PollCommand, response worker.PollResponse, err error) {
	ws.pollInFlight, ws.ackInFlight = false, false
	if l.workers[ws.id] != ws {
		return
	}
	if err != nil {
		l.handlePollError(ws, err)
		return
	}
	ws.lastStartOrPollResponse = boottime.Now()
	ws.lastPollResponse = ws.lastStartOrPollResponse
	if ws.unreachableSince != 0 {
		l.logger.Info().Str("worker", ws.id).Dur("silent", boottime.Since(ws.unreachableSince)).Msg("worker answers again")
		ws.unreachableSince = 0
		l.planDue = true
	}
	if response.StartedAtMS != 0 && response.StartedAtMS < ws.startedAtMS {
		// An older incarnation responded.
		return
	}
	l.updateIncarnation(ws, response.StartedAtMS)
	l.planDue = l.planDue || ws.needsPoll
	ws.clockMS, ws.clockReadAt, ws.needsPoll = response.ClockMS, boottime.Now(), false
	ws.raiseLeastClock(ws.clockReadAt, response.ClockMS)
	ws.aliveAt = max(ws.aliveAt, sent, response.ConnectedAt)
	if !ws.polledInTerm {
		// The previous leader may have granted the longest lease just before the takeover.
		ws.polledInTerm = true
		ws.maxExpiryMS = max(ws.maxExpiryMS, ws.clockMS+l.c.cfg.Timing.MaxLease.Milliseconds())
	}
	if command.AcknowledgedThrough > ws.acknowledgedEnd {
		ws.acknowledgedEnd = command.AcknowledgedThrough
		l.logger.Info().Str("worker", ws.id).Int64("through", ws.acknowledgedEnd).Msg("ends acknowledged")
	}
	l.applyEnds(ws, response.Ended)
	l.applyRunning(ws, sent, response)
	l.observeInterference(ws, boottime.Now(), ws.showsPresent(boottime.Since(sent), &command, &response))
	l.restartStalled(ws)
	l.leaveSlowWorker(ws)
	l.adjustFillerSpeeds(ws)
	switch {
	case ws.needsPoll:
		// A stop takes about as long, and polls of a worker without runs return at once.
		ws.nextPoll = max(ws.nextPoll, boottime.Now().Add(untrackedPollInterval))
	case ws.isIdle() && ws.expectsLateStart(boottime.Now()):
		ws.nextPoll = max(ws.nextPoll, boottime.Now().Add(lateStartPollInterval))
	}
	l.poll(ws)
}

// recordUnconfirmedAck records that an acknowledgement got no response that was sent at the given instant to
// the incarnation with the given start time. If the worker has restarted since, the new incarnation gets no
// work while the acknowledgement may be delivered to it (see updateIncarnation).
func (ws *workerState) recordUnconfirmedAck(sent boottime.Instant, startedAtMS int64) {
	ws.unconfirmedAckUntil = sent.Add(maxCommandDelay)
	if ws.startedAtMS != startedAtMS {
		ws.noWorkUntil = max(ws.noWorkUntil, ws.unconfirmedAckUntil)
	}
}

func (l *leader) handlePollError(ws *workerState, err error) {
	var rejected *worker.RejectedError
	now := boottime.Now()
	ws.nextPoll = now.Add(pollRetryInterval)
	if len(ws.runs) == 0 && !ws.expectsLateStart(now) {
		ws.nextPoll = now.Add(idlePollRetryInterval)
	}
	if errors.As(err, &rejected) {
		switch rejected.Reason {
		case worker.RejectedStaleToken:
			l.stepDown("worker has seen a newer leader")
			return
		case worker.RejectedWrongWorker:
			l.handleWrongWorker(ws)
			return
		}
	}
	if ws.unreachableSince == 0 {
		ws.unreachableSince = now
		l.logger.Warn().Str("worker", ws.id).Err(err).Int("runs", len(ws.runs)).Msg("worker does not answer")
	}
}

// handleWrongWorker is called when another worker responds at the worker's address. It ends the
// runs of the worker that was expected there.
func (l *leader) handleWrongWorker(ws *workerState) {
	l.logger.Info().Str("worker", ws.id).Int("runs", len(ws.runs)).Msg("another worker responds at the worker's address")
	for _, r := range ws.runList() {
		l.endRun(r, endLost, "")
	}
	// Ends of the replaced worker cannot be acknowledged any more.
	ws.processedEnd = ws.acknowledgedEnd
	ws.registered = false
}

// applyEnds applies the ends that were not applied before.
func (l *leader) applyEnds(ws *workerState, ends []worker.End) {
	for _, e := range ends {
		if e.Sequence <= ws.processedEnd {
			continue
		}
		ws.processedEnd = e.Sequence
		if r := ws.runs[e.Task]; r != nil && r.number == e.Run.Number {
			l.recordStart(r)
			l.endRun(r, e.Kind, e.Checkpoint)
		}
	}
}

// applyRunning applies the reported runs of a worker: it updates the runs that the leader tracks,
// stops the others and holds new work back until they are gone, and ends tracked runs that should have
// been reported and were not. The ends of the response must have been applied.
func (l *leader) applyRunning(ws *workerState, sent boottime.Instant, response worker.PollResponse) {
	reported := make(map[batch.TaskID]bool, len(response.Running))
	for i := range response.Running {
		s := &response.Running[i]
		r := ws.runs[s.Task]
		if !ws.tracks(s.Run) {
			l.stopUntracked(ws, s.Run)
			// The run uses resources that the leader counts as free, until a poll no longer reports it.
			ws.needsPoll = true
			continue
		}
		reported[s.Task] = true
		l.applyRunStatus(r, s, response.ClockMS)
	}
	if response.EndsTruncated {
		// A run that is missing may have ended: the responses after the next acknowledgements show it.
		l.logger.Info().Str("worker", ws.id).Int("ends", len(response.Ended)).Int("runs", len(ws.runs)-len(reported)).
			Msg("response lists only a part of the ends")
		return
	}
	for _, r := range ws.runList() {
		if !reported[r.task.id] && r.confirmedAt != 0 && sent > r.confirmedAt {
			// The poll was sent after the outcome of the last command was known, so the run is
			// over. It was not reported as ended because it never started or because its end was
			// discarded.
			l.endRun(r, endLost, "")
		} else if !reported[r.task.id] && r.state == adopting {
			// The start that the previous leader sent may still be delivered.
			ws.unconfirmedStarts[r.runID()] = boottime.Now().Add(maxCommandDelay)
			l.endRun(r, endLost, "")
		}
	}
}

// stopUntracked stops a run that the leader does not track, or prevents it from starting.
func (l *leader) stopUntracked(ws *workerState, r worker.Run) {
	l.logger.Warn().Str("worker", ws.id).Str("task", r.Task.String()).Int64("run", r.Number).Msg("stopping run that the leader does not track")
	target, token := worker.Endpoint{ID: ws.id, Address: ws.address}, l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.Stop(ctx, target, r, token); err != nil {
			l.logger.Warn().Str("worker", target.ID).Str("task", r.Task.String()).Err(err).Msg("stop of run that the leader does not track failed")
			l.post(func() { l.repeatUntrackedStop(ws, r, err) })
		}
	}()
}

// repeatUntrackedStop repeats the stop of a run whose start may still arrive, unless the worker rejected the
// stop for another reason than its own health. Stops of other runs are repeated if a poll reports the run again.
func (l *leader) repeatUntrackedStop(ws *workerState, r worker.Run, err error) {
	var rejected *worker.RejectedError
	if errors.As(err, &rejected) && rejected.Reason != worker.RejectedUnhealthy {
		return
	}
	time.AfterFunc(stopRetryInterval, func() {
		l.post(func() {
			if l.workers[ws.id] == ws && boottime.Now() < ws.unconfirmedStarts[r] && !ws.tracks(r) {
				l.stopUntracked(ws, r)
			}
		})
	})
}

// pollAll polls every known worker for which a poll is due. After a takeover these are at first the workers
// to which previous leaders may have sent starts.
func (l *leader) pollAll() {
	for _, ws := range l.workers {
		l.poll(ws)
	}
}
