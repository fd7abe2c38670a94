package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// workersPause collects the entries that workers write one by one.
	workersPause = 100 * time.Millisecond
	// leftWithin times the heartbeat is the age of an entry up to which its end means that the
	// worker has left; silent workers keep theirs for three.
	leftWithin = 2
)

// applyWorkers takes changes of the registry.
func (l *leader) applyWorkers(u ledger.Update) {
	seen := make(map[string]bool)
	for _, entry := range u.Entries {
		seen[entry.Key] = true
		l.applyWorker(entry.Record)
	}
	if u.Reset {
		for id, k := range l.links {
			if !seen[id] && k.present {
				l.workerGone(k)
			}
		}
	}
	l.planDue = true
}

func (l *leader) applyWorker(r ledger.Record) {
	k := l.links[r.Key]
	if len(r.Value) == 0 {
		if k != nil && k.present {
			l.workerGone(k)
		}
		return
	}
	info, err := l.c.cfg.DecodeWorker(r)
	if err != nil {
		l.logger.Info().Err(err).Str("worker", r.Key).Msg("worker's entry passed over")
		return
	}
	if k == nil {
		k = newLink(info.ID, info.Address, info.StartedAtMS)
		l.links[info.ID] = k
	}
	if info.StartedAtMS < k.born {
		return
	}
	l.noteBirth(k, info.StartedAtMS)
	if !k.present || k.info.State != info.State {
		l.logger.Info().Str("worker", k.id).Str("rack", info.Rack).Int("state", int(info.State)).
			Int64("born", info.StartedAtMS).Int("runs", len(k.runs)).Msg("worker's state changed")
	}
	k.beatAt = boottime.Now()
	k.leaves = k.beatAt.Add(info.RemainingTime)
	k.present, k.info, k.address = true, info, info.Address
	if now := boottime.Now(); k.clockAt == 0 || info.ClockMS > k.clock+now.Sub(k.clockAt).Milliseconds() {
		k.clock, k.clockAt = info.ClockMS, now
	}
	l.leaveDraining(k)
}

// workerGone takes the loss of an entry. Entries of silent workers are kept for several
// heartbeats: one that goes sooner was taken back by a worker that has left.
func (l *leader) workerGone(k *link) {
	age := boottime.Since(k.beatAt)
	left := k.info.State == worker.Draining && age < leftWithin*l.c.cfg.Timing.HeartbeatInterval
	l.logger.Info().Str("worker", k.id).Int("runs", len(k.runs)).Dur("beat_age", age).Bool("left", left).
		Msg("worker's entry gone")
	k.present = false
	if left {
		for _, r := range k.list() {
			l.resolve(r, endLost, "")
		}
	}
	if len(k.runs) == 0 {
		l.unlink(k)
	}
}

// unlink forgets a worker that is gone and runs nothing.
func (l *leader) unlink(k *link) {
	delete(l.links, k.id)
	l.c.cfg.Workers.CloseConnections(k.address)
}

// noteBirth takes the birth time that a worker reports. A later one means that the worker was
// started again: it runs nothing of what it ran before.
func (l *leader) noteBirth(k *link, born int64) {
	if born == k.born || born == 0 {
		return
	}
	before := k.born
	k.born = born
	if before == 0 {
		return
	}
	l.logger.Info().Str("worker", k.id).Int64("born", born).Int("runs", len(k.runs)).Msg("worker started again")
	k.processed, k.acked = 0, 0
	k.clock, k.clockAt = 0, boottime.Now()
	k.maxDue = l.c.cfg.Timing.MaxLease.Milliseconds()
	// A late acknowledgement would make the new life forget ends that nobody has seen.
	k.closedUntil = max(k.closedUntil, k.looseAck)
	l.stopLoose(k)
	for _, r := range k.list() {
		switch {
		case r.unanswered > 0 && r.state != adopting:
			l.stopRun(r, "worker started again")
		case r.settled != 0:
			// The new life may have taken the start: the next look tells.
			r.settled = boottime.Now()
		}
	}
	k.lookDue = 0
}

// stopLoose keeps starts without an answer from beginning in a new life of the worker, which
// does not know that their runs have ended.
func (l *leader) stopLoose(k *link) {
	now := boottime.Now()
	for r, until := range k.loose {
		if now < until && (k.runs[r.Task] == nil || k.runs[r.Task].number != r.Number) {
			l.stopStray(k, r)
		}
	}
}
