package controller

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/forecast"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// compareInterval is the minimum time between two comparisons of the runs of one unit. Polls come nearly a second
	// apart, and each brings new paces of the runs on one worker only.
	compareInterval = 400 * time.Millisecond
	// evenCompareInterval replaces compareInterval once evenWorkers workers are known and placement takes no speeds into account.
	evenCompareInterval = 2 * time.Second
	evenWorkers         = 100
	// speedsStoreInterval is the time between two stores of the speeds, so that they cost a few writes a minute. A new leader relearns
	// what has changed since within seconds.
	speedsStoreInterval = 5 * time.Second
	// maxSpeedsRetryInterval limits the pause after a failed read of the stored speeds, which doubles each time. A log that
	// rejects calls must not get more of them for speeds.
	maxSpeedsRetryInterval = 2 * time.Second
	// minKnownSpeeds and minSlowerShare are the number of workers of known speed, and the share of slower ones among
	// them, from which on speeds are used for placement. Fewer may be outliers, or workers that are just fast enough. Below
	// endSlowerShare speeds are no longer used; the difference keeps placement from changing to and fro.
	minKnownSpeeds = 8
	minSlowerShare = 0.2
	endSlowerShare = 0.1
	// startOverhead is the time from the decision to start a unit until its tasks work.
	startOverhead = 100 * time.Millisecond
	// speedMargin is by how much the minimum speed of a unit is raised, because speeds and estimates are not exact.
	speedMargin = 1.05
)

// serviceSpeeds is what the leader knows of the speeds of the workers of one service.
type serviceSpeeds struct {
	*forecast.Speeds
	summary forecast.Summary
	// uneven means that so many workers are too slow for the tightest objective of the service's queues that
	// placement takes speeds into account.
	uneven   bool
	storedAt boottime.Instant
	// storedRecords is the number of records that may be in the topic, also those of earlier leaders.
	storedRecords int
	// storing means that a store has not ended yet.
	storing bool
}

// speedsOf returns the speeds of a service and creates them if necessary.
func (l *leader) speedsOf(service string) *serviceSpeeds {
	s := l.speeds[service]
	if s == nil {
		s = &serviceSpeeds{Speeds: forecast.NewSpeeds(), storedAt: boottime.Now()}
		l.speeds[service] = s
	}
	return s
}

// comparePaces updates the speeds of workers from the progress of the runs of a unit.
func (l *leader) comparePaces(u *unit, now boottime.Instant) {
	service := u.job.spec.Rules.Service
	interval := compareInterval
	if s := l.speeds[service]; s != nil && !s.uneven && s.summary.Known >= evenWorkers {
		interval = evenCompareInterval
	}
	if u.step.LongRunning || u.step.Filler || now.Sub(u.comparedAt) < interval {
		return
	}
	u.comparedAt = now
	var paces []forecast.Pace
	for _, t := range u.tasks {
		r := t.run
		// Without a registry entry it is not known whether the worker is cold.
		if r == nil || r.remote || r.state != running || !r.worker.registered {
			continue
		}
		if r.paceDistorted = r.paceDistorted || now < r.worker.slowUntil || now < r.worker.coldUntil; r.paceDistorted {
			continue
		}
		if d, ok := r.clocked.Pace(); ok {
			paces = append(paces, forecast.Pace{Worker: r.worker.id, Run: r.serial, Duration: d})
		}
	}
	if len(paces) > 1 {
		slices.SortFunc(paces, func(a, b forecast.Pace) int { return cmp.Compare(a.Worker, b.Worker) })
		u.setLevels(l.speedsOf(service).Compare(now, paces))
	}
}

// updateSpeeds summarizes the speeds of each service and stores them.
func (l *leader) updateSpeeds(now boottime.Instant) {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return
	}
	known, slower := 0, 0
	for service, s := range l.speeds {
		tightest := tightestSpeed(config, service)
		s.summary = s.Summarize(tightest)
		share := minSlowerShare
		if s.uneven {
			share = endSlowerShare
		}
		uneven := s.summary.Known >= minKnownSpeeds && float64(s.summary.Slower) >= share*float64(s.summary.Known)
		if uneven != s.uneven {
			s.uneven = uneven
			l.logger.Info().Str("service", service).Bool("uneven", uneven).Int("known", s.summary.Known).Int("slower", s.summary.Slower).
				Float64("limit", tightest).Float64("slowest", s.summary.Slowest).Float64("fastest", s.summary.Fastest).Msg("speeds of workers compared")
			l.planDue = true
		}
		known += s.summary.Known
		slower += s.summary.Slower
		if s.uneven && now.Sub(s.storedAt) >= speedsStoreInterval {
			l.storeSpeeds(service, s, now)
		}
	}
	l.c.metrics.knownSpeeds.Set(float64(known))
	l.c.metrics.slowerWorkers.Set(float64(slower))
}

// tightestSpeed returns the lowest speed at which long work of every queue of a service meets its objective if it
// starts at once.
func tightestSpeed(config *opconfig.Config, service string) float64 {
	tightest := 0.0
	for i := range config.Queues {
		if q := &config.Queues[i]; q.Service == service && q.DurationFactor > 0 {
			tightest = max(tightest, speedMargin/q.DurationFactor)
		}
	}
	return tightest
}

// storeSpeeds stores the speeds of a service for the next leader. A lost store is repeated by the next one, which waits until
// this one has ended.
func (l *leader) storeSpeeds(service string, s *serviceSpeeds, now boottime.Instant) {
	s.storedAt = now
	if s.storing {
		return
	}
	records, err := s.Encode(service, now, func(id string) (forecast.Incarnation, bool) {
		ws := l.workers[id]
		if ws == nil || !ws.registered {
			return forecast.Incarnation{}, false
		}
		return forecast.Incarnation{StartedAtMS: ws.startedAtMS, ClockMS: ws.leastClock(now)}, true
	})
	if err != nil {
		l.logger.Error().Err(err).Str("service", service).Msg("speeds of workers cannot be encoded")
		return
	}
	used := len(records)
	for n := used; n < s.storedRecords; n++ {
		records = append(records, ledger.Record{Key: forecast.RecordKey(service, n)})
	}
	written := len(records)
	s.storedRecords = written
	if written == 0 {
		return
	}
	s.storing = l.speedWriter.Enqueue(records, func(err error) {
		if err != nil {
			l.logger.Warn().Err(err).Str("service", service).Msg("speeds of workers not stored")
		}
		l.post(func() {
			s.storing = false
			// The records of earlier leaders may have been read in the meantime.
			if err == nil && s.storedRecords == written {
				s.storedRecords = used
			}
		})
	})
}

// restoreSpeeds reads the speeds that earlier leaders have stored, in the background, until the context of the term ends.
// Without them the speeds are learned anew. Reading changes nothing, so it goes on while a renewal of the term is late.
func (l *leader) restoreSpeeds() {
	scan := ledger.NewScan(l.c.cfg.Log, forecast.Topic)
	pause := takeoverRetryInterval
	for {
		done, err := scan.Step(l.ctx)
		if done {
			break
		}
		if err != nil {
			boottime.Sleep(l.ctx, pause/2+rand.N(pause))
			pause = min(2*pause, maxSpeedsRetryInterval)
		}
		if l.ctx.Err() != nil {
			l.logger.Info().Err(err).Int64("epoch", l.term.Epoch).Msg("stored speeds of workers not read before the end of the term")
			return
		}
	}
	l.post(func() { l.applyStoredSpeeds(scan.Entries) })
}

func (l *leader) applyStoredSpeeds(entries []ledger.Entry) {
	now := boottime.Now()
	restored := 0
	for _, entry := range entries {
		if service, n, ok := forecast.ParseRecordKey(entry.Key); ok {
			// The next store removes the records that it does not replace.
			s := l.speedsOf(service)
			s.storedRecords = max(s.storedRecords, n+1)
		}
		speeds, err := forecast.Decode(entry.Record)
		if err != nil {
			l.logger.Warn().Err(err).Msg("skipping stored speeds")
			continue
		}
		for _, s := range speeds {
			l.storedSpeeds[s.Worker] = s
			if ws := l.workers[s.Worker]; ws != nil && ws.registered {
				l.restoreSpeed(ws, now)
			}
			restored++
		}
	}
	if restored > 0 {
		l.logger.Info().Int("workers", restored).Msg("stored speeds of workers read")
		l.updateSpeeds(now)
	}
}

// restoreSpeed applies the stored speed of a worker if it is of the same incarnation.
func (l *leader) restoreSpeed(ws *workerState, now boottime.Instant) {
	s, stored := l.storedSpeeds[ws.id]
	if !stored {
		return
	}
	if s.StartedAtMS == ws.startedAtMS && s.Service == ws.info.Service {
		age := time.Duration(ws.leastClock(now)-s.ObservedMS) * time.Millisecond
		l.speedsOf(s.Service).Restore(now, ws.id, s.Speed, age)
	}
	delete(l.storedSpeeds, ws.id)
}

// forgetSpeed drops what is known of the speed of a worker.
func (l *leader) forgetSpeed(id string) {
	for _, s := range l.speeds {
		s.Forget(id)
	}
	delete(l.storedSpeeds, id)
}

// speedOf returns the speed of a worker for the planner; 0 if it is not known or speeds are not taken into account.
func (l *leader) speedOf(ws *workerState) float64 {
	s := l.speeds[ws.info.Service]
	if s == nil || !s.uneven {
		return 0
	}
	speed, _ := s.Speed(ws.id)
	return speed
}

// minSpeed returns planner.Unit.MinSpeed of a unit of the given age whose remaining steps take the given time on the
// typical worker. It is never below the speed that the objective of the queue needs from the start, so that late work of a
// queue with a tight objective does not go to slow workers.
func (l *leader) minSpeed(u *unit, age, remaining, objective time.Duration) float64 {
	s := l.speeds[u.job.spec.Rules.Service]
	if s == nil || !s.uneven || u.step.LongRunning || u.step.Filler {
		return 0
	}
	least := 0.0
	if factor := u.job.spec.Rules.DurationFactor; factor > 0 {
		least = 1 / factor
	}
	return max(least, planner.MinSpeed(age+startOverhead, remaining, objective, s.summary.Fastest)) * speedMargin
}

// recordDuration records how long the work of a completed run takes on the typical worker.
func (l *leader) recordDuration(r *run) {
	u := r.task.unit
	work, ok := r.clocked.Pace()
	if !ok || r.remote || r.paceDistorted || u.step.LongRunning || u.step.Filler {
		return
	}
	if s := l.speeds[r.worker.info.Service]; s != nil {
		if speed, known := s.Speed(r.worker.id); known {
			work = time.Duration(float64(work) * speed)
		}
	}
	change, changed := l.durations.Add(u.job.spec.Queue, millis(u.step.EstimateMS), work, 1/float64(u.step.Count))
	if !changed {
		return
	}
	l.logger.Info().Str("queue", u.job.spec.Queue).Bool("wrong", change.Misestimated).Float64("units", change.Units).Float64("share", change.Share).
		Float64("bias", change.Bias).Float64("spread", change.Spread).Msg("estimates of queue compared")
	l.planDue = true
}

// expectedMS returns how long the tasks of a step are expected to work on the typical worker, in milliseconds.
func (l *leader) expectedMS(j *job, step *batch.Step) int64 {
	if step.LongRunning {
		return step.EstimateMS
	}
	return l.durations.Expect(j.spec.Queue, millis(step.EstimateMS)).Milliseconds()
}
