package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/progress"
)

// restartStalled takes runs that stand still off a worker, once that is better than waiting, and
// keeps new work away from it.
func (l *leader) restartStalled(ws *workerState) {
	stalled := false
	for _, r := range ws.runList() {
		stalledFor := r.stalledFor()
		if stalledFor == 0 {
			continue
		}
		if !stalled {
			stalled = true
			l.logger.Warn().Str("worker", ws.id).Str("task", r.task.id.String()).Int64("percent", r.progress.Percent()).
				Dur("still", stalledFor).Int("runs", len(ws.runs)).Msg("run stands still")
			ws.noWorkUntil = max(ws.noWorkUntil, boottime.Now().Add(quarantineTime))
		}
		if progress.ShouldRestart(stalledFor, r.restartLoss()) {
			l.restartRun(r)
		}
	}
}

// stalled returns the time for which a run has stood still; 0 if it advances or is not at work.
func (r *run) stalledFor() time.Duration {
	u := r.task.unit
	if r.state != running || u.step.LongRunning || u.step.Filler {
		return 0
	}
	if r.progress.Percent() == 0 && u.gang() && !u.hasProgress() {
		return 0 // The gang has not begun.
	}
	return r.progress.StalledFor(time.Duration(u.step.EstimateMS) * time.Millisecond)
}

// advances says whether a task of a gang has done some of its work.
func (u *unit) hasProgress() bool {
	for _, t := range u.tasks {
		if t.run != nil && t.run.progress.Percent() > 0 {
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
	loss := r.progress.WorkTime()
	if u.gang() {
		for _, t := range u.tasks {
			if t.run != nil {
				loss = max(loss, t.run.progress.WorkTime())
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
