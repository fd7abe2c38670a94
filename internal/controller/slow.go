package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/progress"
)

const (
	// slowCheckInterval is how often the speeds of the workers are compared.
	slowCheckInterval = 200 * time.Millisecond
	// slowFraction is the fraction of the median speed of the workers of a service below which a worker is slow.
	// Wrong estimates and data in another rack make runs up to three times slower on any worker.
	slowFraction = 0.3
	// minMedianSpeed is the median speed below which speeds are not compared: most estimates are much too short.
	minMedianSpeed = 0.5
	// minComparedWorkers is the number of workers with a known speed that a median needs.
	minComparedWorkers = 5
	// maxSlowShare limits the share of the workers of a service that count as slow at the same time: if more of them
	// are slow, the comparison does not tell which workers to use.
	maxSlowShare = 0.3
	// slowerThanOthers is how many times as fast the other tasks of a unit must be, at the median, to show that a run
	// is slow because of its worker. Tasks of one step differ by less.
	slowerThanOthers = 3
	// slowTime is how long a worker counts as slow after its runs last showed it.
	slowTime = 4 * time.Second
	// maxSlowRestarts limits the restarts of the tasks of a unit because of slow workers, per task.
	maxSlowRestarts = 2
	// acceptsSlowAfter is how long a job without runs waits, beside much unused capacity, until slow workers may be
	// used for it. It may need one of them, for a label or for its data.
	acceptsSlowAfter = 2 * time.Second
)

// beginClocked records that the start of a run has been confirmed, from which on the run works. The members of a gang work
// once the starts of all of them are confirmed: their wait for the others says nothing about the speeds of their workers.
// The response to the start may be handled late, which makes the run seem faster than it is, not slower.
func (r *run) beginClocked(now boottime.Instant) {
	if !r.task.unit.gang() {
		r.clockFrom(now)
		return
	}
	for _, t := range r.task.unit.tasks {
		if t.run == nil || t.run.state != running {
			return
		}
	}
	for _, t := range r.task.unit.tasks {
		t.run.clockFrom(now)
	}
}

// clockFrom counts the progress of a run from now on, unless it already counts.
func (r *run) clockFrom(now boottime.Instant) {
	if ws := r.worker; ws.clockReadAt != 0 && !r.clocked.Begun() {
		r.clocked.Report(ws.clockMS+now.Sub(ws.clockReadAt).Milliseconds(), r.progress.Percent(), true)
	}
}

// sampleSpeed adds the progress of a run since the last sample to the speed of its worker. The last report was made at
// the given time of the worker's clock.
func (r *run) sampleSpeed(now boottime.Instant, clockMS int64) {
	step := r.task.unit.step
	if r.remote || step.LongRunning || step.Filler {
		return
	}
	r.clocked.Report(clockMS, r.progress.Percent(), !r.task.unit.gang() || r.progress.Percent() > 0)
	// What a cold worker shows says nothing of its later speed, and it must not be left because of it.
	if s, ok := r.clocked.Sample(time.Duration(step.EstimateMS) * time.Millisecond); ok && now >= r.worker.coldUntil {
		r.lastSpeed, r.sampled = s.Expected.Seconds()/s.Elapsed.Seconds(), true
		r.worker.speed.Add(now, s)
	}
}

// confirmedSlow reports whether the runs on a worker that seems to be slow can be slow only because of it: runs of two
// units must be below the limit, or one of a unit whose other tasks are several times as fast on other workers.
func (ws *workerState) confirmedSlow(limit float64) bool {
	suspects := make(map[*unit]bool)
	for _, r := range ws.runs {
		if !r.sampled || r.lastSpeed >= limit {
			continue
		}
		typical, known := r.typicalSpeedElsewhere()
		switch {
		case !known:
			suspects[r.task.unit] = true
		case typical >= slowerThanOthers*r.lastSpeed:
			return true
		default:
			// The other tasks are slow as well: the estimate is wrong, or the data is far from all of them.
		}
	}
	return len(suspects) > 1
}

// typicalSpeedElsewhere returns the median speed of the other tasks of the run's unit on other workers, and false if
// none is known.
func (r *run) typicalSpeedElsewhere() (float64, bool) {
	var speeds []float64
	for _, t := range r.task.unit.tasks {
		if other := t.run; other != nil && other.worker != r.worker && other.sampled {
			speeds = append(speeds, other.lastSpeed)
		}
	}
	if len(speeds) == 0 {
		return 0, false
	}
	slices.Sort(speeds)
	return speeds[len(speeds)/2], true
}

// workerSpeed is the known speed of a worker.
type workerSpeed struct {
	worker *workerState
	speed  float64
}

// updateSlowWorkers determines which workers are slow, by comparison with the other workers of their service.
func (l *leader) updateSlowWorkers(now boottime.Instant) {
	if now.Sub(l.slowCheckedAt) < slowCheckInterval {
		return
	}
	l.slowCheckedAt = now
	l.updateSpeeds(now)
	known, total := make(map[string][]workerSpeed), make(map[string]int)
	for _, ws := range l.workers {
		if !ws.registered {
			continue
		}
		total[ws.info.Service]++
		if speed, ok := ws.speed.Value(now); ok {
			known[ws.info.Service] = append(known[ws.info.Service], workerSpeed{ws, speed})
		}
	}
	for service, speeds := range known {
		limit, slow := sortSlowFirst(speeds, total[service])
		for i, s := range speeds[:slow] {
			if now >= s.worker.slowUntil && !s.worker.confirmedSlow(limit) {
				continue
			}
			isNew := now >= s.worker.slowUntil
			if isNew {
				l.logger.Warn().Str("worker", s.worker.id).Float64("speed", s.speed).Float64("median", speeds[len(speeds)/2].speed).
					Int("runs", len(s.worker.runs)).Int("slow", i+1).Msg("worker is slow")
			}
			s.worker.slowUntil = now.Add(slowTime)
			if isNew {
				l.leaveSlowWorker(s.worker)
			}
		}
	}
}

// sortSlowFirst sorts speeds. It returns the speed below which a worker may be slow, and how many of the workers, from
// the first on, are. Workers with a higher speed count as fast again at once.
func sortSlowFirst(speeds []workerSpeed, workers int) (limit float64, slow int) {
	slices.SortFunc(speeds, func(a, b workerSpeed) int {
		return cmp.Or(cmp.Compare(a.speed, b.speed), cmp.Compare(a.worker.id, b.worker.id))
	})
	median := speeds[len(speeds)/2].speed
	if len(speeds) < minComparedWorkers || median < minMedianSpeed {
		return 0, 0
	}
	limit = slowFraction * median
	for _, s := range speeds {
		switch {
		case s.speed >= limit:
			s.worker.slowUntil = 0
		case float64(slow+1) <= maxSlowShare*float64(workers):
			slow++
		}
	}
	return limit, slow
}

// leaveSlowWorker stops the runs on a slow worker that finish sooner if they start again elsewhere, as far as this can
// be known.
func (l *leader) leaveSlowWorker(ws *workerState) {
	if boottime.Now() >= ws.slowUntil {
		return
	}
	for _, r := range ws.runList() {
		u := r.task.unit
		if r.state != running || u.step.LongRunning || u.step.Filler || u.slowRestarts >= maxSlowRestarts*u.step.Count {
			continue
		}
		estimate := time.Duration(u.step.EstimateMS) * time.Millisecond
		restartLoss := progress.PartOf(estimate, r.progress.Percent())
		if u.step.Checkpoints {
			restartLoss = 0
		}
		if typical, known := r.typicalSpeedElsewhere(); known && typical < slowerThanOthers*r.lastSpeed {
			continue
		}
		if r.sampled && r.progress.Percent() < progress.Complete && progress.ShouldLeave(r.clocked.LostTime(estimate), restartLoss) {
			u.slowRestarts += u.restartSize()
			l.stopForRestart(r, "worker is slow")
		}
	}
}

// restartSize returns how many tasks restart when one of the unit does.
func (u *unit) restartSize() int {
	if u.gang() {
		return u.step.Count
	}
	return 1
}

// halfUnused returns the services of which less than half of some resource is in use.
func halfUnused(workers []planner.Worker) map[string]bool {
	free, total := make(map[string]planner.Resources), make(map[string]planner.Resources)
	for i := range workers {
		w := &workers[i]
		if w.Evacuated {
			continue
		}
		free[w.Service] = free[w.Service].Add(w.Free)
		capacity := w.Free
		for k := range w.Runs {
			capacity = capacity.Add(w.Runs[k].Need)
		}
		total[w.Service] = total[w.Service].Add(capacity).Add(w.Releasing)
	}
	unused := make(map[string]bool)
	for service, f := range free {
		t := total[service]
		unused[service] = 2*f.CPU > t.CPU || 2*f.MemoryMB > t.MemoryMB || 2*f.GPU > t.GPU
	}
	return unused
}
