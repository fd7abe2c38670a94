package controller

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/progress"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// workersReadPause is the pause between reads of the workers' entries, so that one read returns
	// several entries: workers write them one at a time.
	workersReadPause = 100 * time.Millisecond
	// maxEntryAgeAtShutdown is in heartbeat intervals. A draining worker whose entry is removed when
	// it is younger than this has shut down: the entries of unreachable workers are kept for three
	// intervals.
	maxEntryAgeAtShutdown = 2
	// maxStartTimeAhead is how far the start time in an entry may be ahead of this instance's time of day, which
	// may be wrong by minutes. A start time far ahead is not a worker's own, and with it all later entries of
	// the worker would seem to be of earlier incarnations.
	maxStartTimeAhead = time.Hour
	// maxSkippedEntries is the number of workers whose skipped entries are remembered, so that each is logged once.
	maxSkippedEntries = 1000
)

// errStartTimeAhead means that the start time in a registry entry is in the future.
var errStartTimeAhead = eris.New("controller: start time in the future")

// applyWorkers applies changes in the registry of workers. They were written after the given instant, which is
// 0 if not known.
func (l *leader) applyWorkers(u ledger.Update, writtenAfter boottime.Instant) {
	firstRead := !l.registryRead
	l.registryRead = true
	seen := make(map[string]bool)
	for _, entry := range u.Entries {
		seen[entry.Key] = true
		l.applyWorker(entry.Record, writtenAfter, firstRead)
	}
	if firstRead {
		l.logger.Info().Int("workers", len(l.workers)).Dur("after", boottime.Since(l.takeoverStartedAt)).Msg("registry of workers read")
	}
	if u.Reset {
		for id, ws := range l.workers {
			if !seen[id] && ws.registered {
				l.handleEntryRemoved(ws)
			}
		}
	}
	l.pollAll()
	l.planDue = true
}

// applyWorker applies a record of the registry. In the first read of a term, which has all workers, ready workers are not logged.
func (l *leader) applyWorker(r ledger.Record, writtenAfter boottime.Instant, firstRead bool) {
	ws := l.workers[r.Key]
	if len(r.Value) == 0 {
		if ws != nil && ws.registered {
			l.handleEntryRemoved(ws)
		}
		return
	}
	info, err := l.decodeWorker(r)
	if err != nil {
		l.logSkippedEntry(r.Key, err)
		return
	}
	delete(l.skippedEntries, r.Key)
	if ws == nil {
		ws = newWorkerState(info.ID, info.Address, info.StartedAtMS)
		l.workers[info.ID] = ws
	}
	if info.StartedAtMS < ws.startedAtMS {
		return
	}
	l.updateIncarnation(ws, info.StartedAtMS)
	if (!ws.registered || ws.info.State != info.State) && !(firstRead && info.State == worker.Ready) {
		l.logger.Info().Str("worker", ws.id).Str("rack", info.Rack).Int("state", int(info.State)).
			Int64("born", info.StartedAtMS).Int("runs", len(ws.runs)).Msg("worker's state changed")
	}
	ws.heartbeatAt = writtenAfter
	ws.shutdownAt = boottime.Now().Add(info.RemainingTime)
	ws.coldUntil = boottime.Now().Add(info.ColdRemaining)
	ws.raiseLeastClock(boottime.Now(), info.ClockMS)
	ws.registered, ws.info, ws.address = true, info, info.Address
	l.restoreSpeed(ws, boottime.Now())
	// Entries are read late, so an entry's clock is used only if it raises the lower bound.
	if now := boottime.Now(); ws.clockReadAt == 0 || info.ClockMS > ws.clockMS+now.Sub(ws.clockReadAt).Milliseconds() {
		ws.clockMS, ws.clockReadAt = info.ClockMS, now
	}
	l.stopUnfinishable(ws)
}

// decodeWorker decodes a registry entry. It returns the errors of Config.DecodeWorker and errStartTimeAhead.
func (l *leader) decodeWorker(r ledger.Record) (worker.Info, error) {
	info, err := l.c.cfg.DecodeWorker(r)
	if err == nil && info.StartedAtMS > l.c.cfg.TimeOfDay().Add(maxStartTimeAhead).UnixMilli() {
		err = eris.Wrapf(errStartTimeAhead, "%d", info.StartedAtMS)
	}
	return info, err
}

// logSkippedEntry counts a registry entry that is skipped, and logs it unless the last entry of the same key was
// skipped for the same reason: another program may write it again and again.
func (l *leader) logSkippedEntry(key string, reason error) {
	l.c.metrics.skippedEntries.Inc()
	if l.skippedEntries[key] == reason.Error() || len(l.skippedEntries) >= maxSkippedEntries {
		return
	}
	l.skippedEntries[key] = reason.Error()
	l.logger.Warn().Err(reason).Str("worker", key).Msg("skipping worker entry")
}

// handleEntryRemoved handles the removal of a registry entry. The entry of an unreachable worker is
// kept for several heartbeat intervals. A draining worker whose entry is removed earlier has
// removed it itself and shut down. An update that was read late does not count as recent.
func (l *leader) handleEntryRemoved(ws *workerState) {
	age := boottime.Since(ws.heartbeatAt)
	shutDown := ws.info.State == worker.Draining && age < maxEntryAgeAtShutdown*l.c.cfg.Timing.HeartbeatInterval
	l.logger.Info().Str("worker", ws.id).Int("runs", len(ws.runs)).Dur("beat_age", age).Bool("left", shutDown).
		Msg("worker's entry gone")
	ws.registered = false
	if shutDown {
		for _, r := range ws.runList() {
			l.endRun(r, endLost, "")
		}
	}
	if ws.forgettable(boottime.Now()) {
		l.forgetWorker(ws)
	}
}

// forgetWorker removes the state of a forgettable worker.
func (l *leader) forgetWorker(ws *workerState) {
	l.logger.Info().Str("worker", ws.id).Int("unstored_ends", ws.unstoredEnds).Int("unanswered", len(ws.unconfirmedStarts)).
		Int64("through", ws.processedEnd).Msg("worker forgotten")
	delete(l.workers, ws.id)
	l.forgetSpeed(ws.id)
	l.forgetInterference(ws)
	l.c.cfg.Workers.CloseConnections(ws.address)
}

// updateIncarnation applies the start time that a worker reports, which callers have checked not to
// be earlier than the known one. A later start time means that the worker has restarted and that
// its previous runs are over.
func (l *leader) updateIncarnation(ws *workerState, startedAtMS int64) {
	if startedAtMS == ws.startedAtMS || startedAtMS == 0 {
		return
	}
	previous := ws.startedAtMS
	ws.startedAtMS = startedAtMS
	if previous == 0 {
		return
	}
	l.logger.Info().Str("worker", ws.id).Int64("born", startedAtMS).Int("runs", len(ws.runs)).Msg("worker started again")
	ws.processedEnd, ws.acknowledgedEnd = 0, 0
	// The new incarnation may run on another machine.
	l.forgetSpeed(ws.id)
	ws.speed, ws.slowUntil = progress.Speed{}, 0
	l.forgetInterference(ws)
	// The clock of the new incarnation starts at any reading, so no bound of the earlier clock holds for it.
	now := boottime.Now()
	ws.clockMS, ws.clockReadAt, ws.maxExpiryMS = 0, 0, 0
	ws.leastClockMS, ws.leastClockAt, ws.aliveAt = 0, now, 0
	l.expectOtherClock(ws, now)
	// An acknowledgement for the previous incarnation that is delivered late would make the new one
	// discard ends that the leader has not seen.
	ws.noWorkUntil = max(ws.noWorkUntil, ws.unconfirmedAckUntil)
	l.stopUnconfirmedStarts(ws)
	for _, r := range ws.runs {
		// The pace of a run of the earlier incarnation says nothing of the new one.
		r.clocked, r.sampled, r.level = progress.Clocked{}, false, 0
	}
	// Runs that match no case need no change: a command will be repeated, or the next poll decides whether
	// they are adopted.
	ackMayArrive := ws.ackInFlight || boottime.Now() < ws.unconfirmedAckUntil
	for _, r := range ws.runList() {
		switch {
		case r.state == storing:
			// The new incarnation may be of another kind.
			l.stopRun(r, "worker started again")
		case (r.unconfirmed > 0 || r.startInFlight) && r.state == stopping:
			// The new incarnation does not know of the stop and may receive a start without a response.
			r.confirmedAt = 0
			l.sendStop(r)
		case (r.unconfirmed > 0 || r.startInFlight) && r.state != adopting:
			// The new incarnation may receive, or may have received, a start without a response.
			l.stopRun(r, "worker started again")
		case ackMayArrive && r.state != adopting && r.state != stopping:
			// If the new incarnation has the run, its end may be discarded before the leader has seen it.
			l.stopRun(r, "worker started again")
		case r.confirmedAt != 0:
			// The new incarnation may have received the start. The next poll shows whether it has
			// the run.
			r.confirmedAt = boottime.Now()
		}
	}
	ws.nextPoll = 0
}

// expectOtherClock is called when the worker has started again since its clock was read: expiries sent until now are not by the
// clock of its incarnation, so only MaxLease limits the leases that they grant.
func (l *leader) expectOtherClock(ws *workerState, now boottime.Instant) {
	lastGrant := max(now.Add(maxCallTime), ws.lateGrantUntil)
	ws.otherClockLeasesEnd = max(ws.otherClockLeasesEnd, lastGrant.Add(allowForDrift(l.c.cfg.Timing.MaxLease)))
	ws.needsPoll = true
	// The next poll must not acknowledge ends: the incarnation would apply that to its own.
	ws.lastPollResponse = 0
}

// recordUnconfirmedGrant records that a command got no response that extends leases. It was sent at the given instant to the
// incarnation with the given start time. A later incarnation may execute it and has another clock.
func (l *leader) recordUnconfirmedGrant(ws *workerState, sent boottime.Instant, startedAtMS int64) {
	ws.lateGrantUntil = max(ws.lateGrantUntil, sent.Add(maxCommandDelay))
	if ws.startedAtMS != startedAtMS {
		ws.otherClockLeasesEnd = max(ws.otherClockLeasesEnd, ws.lateGrantUntil.Add(allowForDrift(l.c.cfg.Timing.MaxLease)))
	}
}

// stopUnconfirmedStarts prevents unconfirmed starts from beginning runs in a new incarnation of the
// worker. The new incarnation does not know that these runs have ended.
func (l *leader) stopUnconfirmedStarts(ws *workerState) {
	now := boottime.Now()
	for r, until := range ws.unconfirmedStarts {
		if now < until && !ws.tracks(r) {
			l.stopUntracked(ws, r)
		}
	}
}
