package controller

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// maintenanceInterval is how often the machines of open waves are checked.
	maintenanceInterval = 500 * time.Millisecond
	// machineCallTimeout limits a call to the service that manages the machines.
	machineCallTimeout = time.Second
	// finishFraction is the fraction of the time limit of a round during which tasks may run on
	// before they are stopped. A wave takes its machines down in rounds of MaxDown machines, and its
	// time limit is divided equally among the rounds.
	finishFraction = 0.4
)

// maintenanceState is the progress of the operator's maintenance waves.
type maintenanceState struct {
	// reportsRead means that reported includes the reports of previous leaders.
	reportsRead bool
	// reported holds the newest report of each wave, by record key.
	reported map[string]string
	// requested holds the machines for which this leader has requested maintenance, by wave number.
	// A machine is added before the request is sent. After a takeover the set is empty, and the
	// machines of an open wave are requested again: the service must ignore a repeated request.
	requested map[int64]map[string]bool
	// inFlight holds the machines for which a request for maintenance has not returned.
	inFlight map[string]bool
	// preparing holds the workers that get no new work because their machine is the next to go
	// down, and since when. After a request without a response, which may still be carried out, the
	// worker stays here until the request has been repeated.
	preparing    map[string]boottime.Instant
	callInFlight bool
	lastCheckAt  boottime.Instant
}

func newMaintenanceState() *maintenanceState {
	return &maintenanceState{
		reported: make(map[string]string), requested: make(map[int64]map[string]bool),
		inFlight: make(map[string]bool), preparing: make(map[string]boottime.Instant),
	}
}

// isPreparing reports whether a worker gets no new work because its machine is the next to go down.
func (s *maintenanceState) isPreparing(id string) bool {
	_, preparing := s.preparing[id]
	return preparing
}

// checkWaves continues the open maintenance waves.
func (l *leader) checkWaves() {
	s := l.maintenance
	now := boottime.Now()
	// The commands of two holders (instances) for one machine must be HolderChangeInterval apart,
	// and the previous leader may have sent one just before its term ended.
	earliest := l.takeoverStartedAt.Add(l.term.PreviousValidFor + l.c.cfg.Timing.HolderChangeInterval)
	if l.c.cfg.Machines == nil || s.callInFlight || now.Sub(s.lastCheckAt) < maintenanceInterval || now < earliest || !l.term.Valid() {
		return
	}
	s.lastCheckAt = now
	waves := l.c.cfg.Waves()
	if len(waves) == 0 {
		return
	}
	if !s.reportsRead {
		l.readReports()
		return
	}
	var open []worker.Wave
	for _, w := range waves {
		if !l.isReported(w, true) {
			open = append(open, w)
		}
	}
	if len(open) == 0 {
		return
	}
	s.callInFlight = true
	// The list may be older than the result of a request that returns before the list does.
	unsettled := maps.Clone(s.inFlight)
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, machineCallTimeout)
		defer cancel()
		machines, err := l.c.cfg.Machines.List(ctx)
		l.post(func() {
			s.callInFlight = false
			if err != nil {
				l.logger.Warn().Err(err).Msg("listing machines failed")
				return
			}
			for _, w := range open {
				l.advanceWave(w, machines, unsettled)
			}
		})
	}()
}

// advanceWave takes down as many machines as the wave allows, those with the fewest runs first. The
// machines in unsettled, for which a request was in flight when the list was requested, count as down.
func (l *leader) advanceWave(w worker.Wave, machines []worker.Machine, unsettled map[string]bool) {
	s := l.maintenance
	if s.requested[w.Number] == nil {
		s.requested[w.Number] = make(map[string]bool)
	}
	byID := make(map[string]worker.Machine, len(machines))
	down := 0
	for _, m := range machines {
		byID[m.ID] = m
	}
	var waiting []worker.Machine
	remaining := 0
	for _, id := range w.Machines {
		m, known := byID[id]
		switch {
		case known && (m.State != worker.MachineUp || unsettled[id] || s.inFlight[id]):
			down++
		case s.requested[w.Number][id] || !known:
			// The machine is up again after its maintenance, or the service does not list it.
		default:
			waiting = append(waiting, m)
		}
		if known && !s.requested[w.Number][id] {
			remaining++
		}
	}
	// The wave is completed when maintenance was requested for every listed machine and all of them
	// are up.
	if remaining == 0 && down == 0 {
		l.reportWave(w, true)
		return
	}
	l.reportWave(w, false)
	for _, m := range l.leastLoaded(waiting) {
		if down >= w.MaxDown {
			return
		}
		if !l.canSpare(m.Worker) {
			continue
		}
		down++
		if l.prepareWorker(w, m.Worker) {
			l.startMaintenance(w, m)
		}
	}
}

// leastLoaded sorts machines: those that are being prepared first, then idle ones, then by the
// number of runs.
func (l *leader) leastLoaded(machines []worker.Machine) []worker.Machine {
	rank := func(m worker.Machine) int {
		ws := l.workers[m.Worker]
		switch {
		case l.maintenance.isPreparing(m.Worker):
			return 0
		case ws == nil || len(ws.runs) == 0:
			return 1
		default:
			return 1 + len(ws.runs)
		}
	}
	slices.SortStableFunc(machines, func(a, b worker.Machine) int { return cmp.Compare(rank(a), rank(b)) })
	return machines
}

// canSpare reports whether the long-running tasks on a worker may be stopped, according to the
// MaxUnavailable of their steps.
func (l *leader) canSpare(id string) bool {
	ws := l.workers[id]
	if ws == nil || l.maintenance.isPreparing(id) {
		return true
	}
	affected := make(map[*unit]int)
	for _, r := range ws.runs {
		if u := r.task.unit; u.step.LongRunning {
			affected[u]++
			if u.unavailableTasks()+affected[u] > u.step.MaxUnavailable {
				return false
			}
		}
	}
	return true
}

// prepareWorker prepares a worker for the maintenance of its machine and reports whether the worker
// has no runs left. Checkpointing and long-running tasks are stopped at once, other tasks only
// after finishFraction of the time of a round.
func (l *leader) prepareWorker(w worker.Wave, id string) bool {
	ws := l.workers[id]
	if ws == nil {
		return true
	}
	now := boottime.Now()
	since, preparing := l.maintenance.preparing[id]
	if !preparing {
		since = now
		l.maintenance.preparing[id] = now
	}
	rounds := (len(w.Machines) + max(1, w.MaxDown) - 1) / max(1, w.MaxDown)
	finishTime := time.Duration(finishFraction * float64(w.TimeLimit) / float64(max(1, rounds)))
	for _, r := range ws.runList() {
		step := r.task.unit.step
		if step.LongRunning || step.Checkpoints || now.Sub(since) >= finishTime {
			l.stopRun(r, "upkeep")
		}
	}
	return len(ws.runs) == 0
}

// unavailableTasks returns the number of tasks of a long-running step that have not finished their
// startup or have no run. The progress of a long-running task is 100 percent, the same number as
// fullSpeed, once it has finished its startup.
func (u *unit) unavailableTasks() int {
	n := 0
	for _, t := range u.tasks {
		if t.run == nil || t.run.state != running || t.run.progress.Percent() < fullSpeed {
			n++
		}
	}
	return n
}

func (l *leader) startMaintenance(w worker.Wave, m worker.Machine) {
	s := l.maintenance
	s.requested[w.Number][m.ID], s.inFlight[m.ID] = true, true
	holder, token := l.c.cfg.Holder, l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, machineCallTimeout)
		defer cancel()
		err := l.c.cfg.Machines.Upkeep(ctx, m.ID, w.Number, holder, token)
		l.post(func() {
			if !errors.Is(err, worker.ErrUnknownOutcome) {
				delete(s.preparing, m.Worker)
			}
			delete(s.inFlight, m.ID)
			l.logger.Info().Str("machine", m.ID).Str("worker", m.Worker).Int64("wave", w.Number).Err(err).Msg("machine maintenance request returned")
			var rejected *worker.RejectedError
			switch {
			case err == nil:
			case errors.As(err, &rejected):
				// A rejection ends the term, because Upkeep rejects only a stale token.
				l.stepDown("machine has seen a newer leader")
			default:
				delete(s.requested[w.Number], m.ID)
			}
		})
	}()
}

// readReports reads the reports of previous leaders, so that a completed wave is not started again.
func (l *leader) readReports() {
	s := l.maintenance
	s.callInFlight = true
	go func() {
		scan := ledger.NewScan(l.c.cfg.Log, l.c.cfg.StatusTopic)
		var err error
		for done := false; !done && err == nil; {
			done, err = scan.Step(l.ctx)
		}
		l.post(func() {
			s.callInFlight = false
			if err != nil {
				l.logger.Warn().Err(err).Msg("reading the reports of waves failed")
				return
			}
			s.reportsRead = true
			for _, e := range scan.Entries {
				s.reported[e.Key] = string(e.Value)
			}
		})
	}()
}

func (l *leader) isReported(w worker.Wave, completed bool) bool {
	record := l.c.cfg.WaveStatus(w.Number, completed)
	return l.maintenance.reported[record.Key] == string(record.Value)
}

// reportWave stores the progress of a wave, unless the newest report is the same.
func (l *leader) reportWave(w worker.Wave, completed bool) {
	if l.isReported(w, completed) {
		return
	}
	record := l.c.cfg.WaveStatus(w.Number, completed)
	l.maintenance.reported[record.Key] = string(record.Value)
	l.logger.Info().Int64("wave", w.Number).Bool("completed", completed).Msg("wave reported")
	l.storeUntilAccepted(l.waveWriter, []ledger.Record{record}, func() []ledger.Record {
		if l.maintenance.reported[record.Key] != string(record.Value) {
			return nil // A newer report has followed.
		}
		return []ledger.Record{record}
	}, func() {})
}
