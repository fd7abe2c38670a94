package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// workersPause collects the entries that workers write one by one.
	workersReadPause = 100 * time.Millisecond
	// leftWithin times the heartbeat is the age of an entry up to which its end means that the
	// worker has left; silent workers keep theirs for three.
	maxLeaveHeartbeats = 2
)

// applyWorkers takes changes of the registry.
func (l *leader) applyWorkers(u ledger.Update) {
	seen := make(map[string]bool)
	for _, entry := range u.Entries {
		seen[entry.Key] = true
		l.applyWorker(entry.Record)
	}
	if u.Reset {
		for id, ws := range l.workers {
			if !seen[id] && ws.registered {
				l.handleEntryRemoved(ws)
			}
		}
	}
	l.planDue = true
}

func (l *leader) applyWorker(r ledger.Record) {
	ws := l.workers[r.Key]
	if len(r.Value) == 0 {
		if ws != nil && ws.registered {
			l.handleEntryRemoved(ws)
		}
		return
	}
	info, err := l.c.cfg.DecodeWorker(r)
	if err != nil {
		l.logger.Info().Err(err).Str("worker", r.Key).Msg("worker's entry passed over")
		return
	}
	if ws == nil {
		ws = newWorkerState(info.ID, info.Address, info.StartedAtMS)
		l.workers[info.ID] = ws
	}
	if info.StartedAtMS < ws.startedAtMS {
		return
	}
	l.updateIncarnation(ws, info.StartedAtMS)
	if !ws.registered || ws.info.State != info.State {
		l.logger.Info().Str("worker", ws.id).Str("rack", info.Rack).Int("state", int(info.State)).
			Int64("born", info.StartedAtMS).Int("runs", len(ws.runs)).Msg("worker's state changed")
	}
	ws.heartbeatAt = boottime.Now()
	ws.leavesAt = ws.heartbeatAt.Add(info.RemainingTime)
	ws.registered, ws.info, ws.address = true, info, info.Address
	if now := boottime.Now(); ws.clockReadAt == 0 || info.ClockMS > ws.clockMS+now.Sub(ws.clockReadAt).Milliseconds() {
		ws.clockMS, ws.clockReadAt = info.ClockMS, now
	}
	l.stopUnfinishable(ws)
}

// workerGone takes the loss of an entry. Entries of silent workers are kept for several
// heartbeats: one that goes sooner was taken back by a worker that has left.
func (l *leader) handleEntryRemoved(ws *workerState) {
	age := boottime.Since(ws.heartbeatAt)
	left := ws.info.State == worker.Draining && age < maxLeaveHeartbeats*l.c.cfg.Timing.HeartbeatInterval
	l.logger.Info().Str("worker", ws.id).Int("runs", len(ws.runs)).Dur("beat_age", age).Bool("left", left).
		Msg("worker's entry gone")
	ws.registered = false
	if left {
		for _, r := range ws.runList() {
			l.endRun(r, endLost, "")
		}
	}
	if len(ws.runs) == 0 {
		l.forgetWorker(ws)
	}
}

// unlink forgets a worker that is gone and runs nothing.
func (l *leader) forgetWorker(ws *workerState) {
	delete(l.workers, ws.id)
	l.c.cfg.Workers.CloseConnections(ws.address)
}

// noteBirth takes the birth time that a worker reports. A later one means that the worker was
// started again: it runs nothing of what it ran before.
func (l *leader) updateIncarnation(ws *workerState, born int64) {
	if born == ws.startedAtMS || born == 0 {
		return
	}
	before := ws.startedAtMS
	ws.startedAtMS = born
	if before == 0 {
		return
	}
	l.logger.Info().Str("worker", ws.id).Int64("born", born).Int("runs", len(ws.runs)).Msg("worker started again")
	ws.processedEnd, ws.acknowledgedEnd = 0, 0
	ws.clockMS, ws.clockReadAt = 0, boottime.Now()
	ws.maxExpiryMS = l.c.cfg.Timing.MaxLease.Milliseconds()
	// A late acknowledgement would make the new life forget ends that nobody has seen.
	ws.noWorkUntil = max(ws.noWorkUntil, ws.unconfirmedAckUntil)
	l.stopUnconfirmedStarts(ws)
	for _, r := range ws.runList() {
		switch {
		case r.unconfirmed > 0 && r.state != adopting:
			l.stopRun(r, "worker started again")
		case r.confirmedAt != 0:
			// The new life may have taken the start: the next look tells.
			r.confirmedAt = boottime.Now()
		}
	}
	ws.nextPoll = 0
}

// stopLoose keeps starts without an answer from beginning in a new life of the worker, which
// does not know that their runs have ended.
func (l *leader) stopUnconfirmedStarts(ws *workerState) {
	now := boottime.Now()
	for r, until := range ws.unconfirmedStarts {
		if now < until && (ws.runs[r.Task] == nil || ws.runs[r.Task].number != r.Number) {
			l.stopUnexpected(ws, r)
		}
	}
}
