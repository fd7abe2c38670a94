package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/progress"
)

// restartStalled quarantines a worker as soon as one of its runs is stalled. It stops a stalled
// run, so that the task restarts elsewhere, once the run has been stalled for as long as a restart
// loses.
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
			l.stopForRestart(r, "stands still")
		}
	}
}

// stalledFor returns how long a run has made no progress. It returns 0 if the run is not stalled,
// or is not expected to make progress.
func (r *run) stalledFor() time.Duration {
	u := r.task.unit
	if r.state != running || u.step.LongRunning || u.step.Filler {
		return 0
	}
	if r.progress.Percent() == 0 && u.gang() && !u.hasProgress() {
		return 0 // The members of the gang have not all started yet.
	}
	return r.progress.StalledFor(time.Duration(u.step.EstimateMS) * time.Millisecond)
}

// hasProgress reports whether a task of the unit has done some of its work.
func (u *unit) hasProgress() bool {
	for _, t := range u.tasks {
		if t.run != nil && t.run.progress.Percent() > 0 {
			return true
		}
	}
	return false
}

// restartLoss returns the time needed to repeat the work that a restart discards. For a gang this
// includes the work of the other members.
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

// stopForRestart stops a run, or its whole gang, so that the tasks restart on other workers.
func (l *leader) stopForRestart(r *run, reason string) {
	u := r.task.unit
	if !u.gang() {
		l.stopRun(r, reason)
		return
	}
	for _, t := range u.tasks {
		if t.run != nil {
			l.stopRun(t.run, reason)
		}
	}
}
