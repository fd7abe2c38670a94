package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/progress"
)

// restartStalled takes runs that stand still off a worker, once that is better than waiting, and
// keeps new work away from it.
func (l *leader) restartStalled(k *link) {
	stalled := false
	for _, r := range k.list() {
		still := r.stalled()
		if still == 0 {
			continue
		}
		if !stalled {
			stalled = true
			l.logger.Warn().Str("worker", k.id).Str("task", r.task.id.String()).Int64("percent", r.track.Percent()).
				Dur("still", still).Int("runs", len(k.runs)).Msg("run stands still")
			k.closedUntil = max(k.closedUntil, boottime.Now().Add(shunFor))
		}
		if progress.ShouldRestart(still, r.restartLoss()) {
			l.restartRun(r)
		}
	}
}

// stalled returns the time for which a run has stood still; 0 if it advances or is not at work.
func (r *run) stalled() time.Duration {
	u := r.task.unit
	if r.state != running || u.step.LongRunning || u.step.Filler {
		return 0
	}
	if r.track.Percent() == 0 && u.gang() && !u.advances() {
		return 0 // The gang has not begun.
	}
	return r.track.StalledFor(time.Duration(u.step.EstimateMS) * time.Millisecond)
}

// advances says whether a task of a gang has done some of its work.
func (u *unit) advances() bool {
	for _, t := range u.tasks {
		if t.run != nil && t.run.track.Percent() > 0 {
			return true
		}
	}
	return false
}

// restartLoss is the time that it takes to do again what a run has done, and the other members of
// its gang.
func (r *run) restartLoss() time.Duration {
	u := r.task.unit
	if u.step.Checkpoints {
		return 0
	}
	loss := r.track.WorkTime()
	if u.gang() {
		for _, t := range u.tasks {
			if t.run != nil {
				loss = max(loss, t.run.track.WorkTime())
			}
		}
	}
	return loss
}

// restartRun stops a run, or the whole gang, so that it starts again on other workers.
func (l *leader) restartRun(r *run) {
	u := r.task.unit
	if !u.gang() {
		l.stopRun(r, "stands still")
		return
	}
	for _, t := range u.tasks {
		if t.run != nil {
			l.stopRun(t.run, "stands still")
		}
	}
}
