package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// upkeepEvery is how often the machines of open waves are looked at.
	upkeepEvery = 500 * time.Millisecond
	// upkeepTimeout bounds a call about machines.
	upkeepTimeout = time.Second
)

// upkeepState is the progress of the operator's waves.
type upkeepState struct {
	// done holds the waves that were reported as completed, reported those reported at all.
	done, reported map[int64]bool
	// served holds the machines of each wave whose upkeep has begun.
	served map[int64]map[string]bool
	// down holds the machines that were sent away and are not up again.
	down    map[string]boottime.Instant
	workers map[string]bool
	listing bool
	lastRun boottime.Instant
}

func newUpkeepState() *upkeepState {
	return &upkeepState{
		done: make(map[int64]bool), reported: make(map[int64]bool), served: make(map[int64]map[string]bool),
		down: make(map[string]boottime.Instant), workers: make(map[string]bool),
	}
}

// holds says whether a worker gets no new work because its machine goes down next.
func (s *upkeepState) holds(id string) bool { return s.workers[id] }

// checkUpkeep goes on with the open waves.
func (l *leader) checkUpkeep() {
	s := l.upkeep
	now := boottime.Now()
	// Holders that take turns on one machine keep a distance: the earlier one may have given
	// an order just before its term ended.
	turn := l.tookOver.Add(l.term.FormerValid + l.c.cfg.Bounds.HolderTurn)
	if l.c.cfg.Machines == nil || s.listing || now.Sub(s.lastRun) < upkeepEvery || now < turn || !l.term.Valid() {
		return
	}
	var open []worker.Wave
	for _, w := range l.c.cfg.Waves() {
		if !s.done[w.Number] {
			open = append(open, w)
		}
	}
	s.lastRun = now
	if len(open) == 0 {
		return
	}
	s.listing = true
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, upkeepTimeout)
		defer cancel()
		machines, err := l.c.cfg.Machines.List(ctx)
		l.post(func() {
			s.listing = false
			if err != nil {
				l.logger.Warn().Err(err).Msg("machines not listed")
				return
			}
			for _, w := range open {
				l.serveWave(w, machines)
			}
		})
	}()
}

// serveWave sends away as many machines as the wave allows, those with the least work first.
func (l *leader) serveWave(w worker.Wave, machines []worker.Machine) {
	s := l.upkeep
	if s.served[w.Number] == nil {
		s.served[w.Number] = make(map[string]bool)
	}
	byID := make(map[string]worker.Machine, len(machines))
	away := 0
	for _, m := range machines {
		byID[m.ID] = m
	}
	var waiting []worker.Machine
	missing := 0
	for _, id := range w.Machines {
		m, known := byID[id]
		switch {
		case known && m.State != worker.MachineUp:
			away++
		case s.served[w.Number][id] || !known:
		default:
			waiting = append(waiting, m)
		}
		if known && !s.served[w.Number][id] {
			missing++
		}
	}
	if !s.reported[w.Number] {
		s.reported[w.Number] = true
		l.reportWave(w, false)
	}
	if missing == 0 && away == 0 {
		s.done[w.Number] = true
		l.reportWave(w, true)
		return
	}
	for _, m := range l.leastLoaded(waiting) {
		if away >= w.Cap {
			return
		}
		if !l.spared(m.Worker) {
			continue
		}
		away++
		l.takeDown(w, m)
	}
}

// leastLoaded orders machines by the work that their upkeep would end.
func (l *leader) leastLoaded(machines []worker.Machine) []worker.Machine {
	var idle, busy []worker.Machine
	for _, m := range machines {
		if k := l.links[m.Worker]; k == nil || len(k.runs) == 0 {
			idle = append(idle, m)
		} else {
			busy = append(busy, m)
		}
	}
	return append(idle, busy...)
}

// spared says whether the worker of a machine can go: no lasting task on it may be missed
// beyond what its step allows. Other tasks are stopped first, so that they are saved.
func (l *leader) spared(id string) bool {
	k := l.links[id]
	if k == nil {
		return true
	}
	l.upkeep.workers[id] = true
	for _, r := range k.list() {
		u := r.task.unit
		if u.step.Lasting && u.absent()+1 > u.step.MaxAbsent {
			l.upkeep.workers[id] = false
			return false
		}
		l.stopRun(r, "upkeep")
	}
	return len(k.runs) == 0
}

// absent counts the tasks of a lasting step that are not at work.
func (u *unit) absent() int {
	n := 0
	for _, t := range u.tasks {
		if t.run == nil || t.run.state != running || t.run.percent < fullSpeed {
			n++
		}
	}
	return n
}

// fullSpeed is the percentage of a lasting task that is at work.
const fullSpeed = 100

func (l *leader) takeDown(w worker.Wave, m worker.Machine) {
	s := l.upkeep
	s.served[w.Number][m.ID] = true
	holder, token := l.c.cfg.Holder, l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, upkeepTimeout)
		defer cancel()
		err := l.c.cfg.Machines.Upkeep(ctx, m.ID, w.Number, holder, token)
		l.post(func() {
			delete(s.workers, m.Worker)
			l.logger.Info().Str("machine", m.ID).Str("worker", m.Worker).Int64("wave", w.Number).Err(err).Msg("upkeep ordered")
			var refused *worker.RefusedError
			switch {
			case err == nil:
			case errors.As(err, &refused):
				l.stepDown("machine has seen a newer leader")
			default:
				delete(s.served[w.Number], m.ID)
			}
		})
	}()
}

func (l *leader) reportWave(w worker.Wave, completed bool) {
	record := l.c.cfg.WaveStatus(w.Number, completed)
	l.logger.Info().Int64("wave", w.Number).Bool("completed", completed).Msg("wave reported")
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, upkeepTimeout)
		defer cancel()
		_, err := l.c.cfg.Log.Append(ctx, ledger.Append{
			Topic: l.c.cfg.StatusTopic, IfEnd: ledger.AnyEnd, Records: []ledger.Record{record},
		})
		if err == nil {
			return
		}
		l.post(func() {
			l.logger.Warn().Err(err).Int64("wave", w.Number).Msg("wave not reported")
			delete(l.upkeep.done, w.Number)
			delete(l.upkeep.reported, w.Number)
		})
	}()
}
