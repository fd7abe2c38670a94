package controller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Causes of runs that end without completing their work, besides the planner's causes of preemptions.
const (
	stoppedWithGang    planner.StopCause = "gang"
	stoppedMaintenance planner.StopCause = "maintenance"
	stoppedEvacuation  planner.StopCause = "evacuation"
	stoppedStalled     planner.StopCause = "stalled"
	stoppedSlow        planner.StopCause = "slow"
	stoppedCancelled   planner.StopCause = "cancelled"
	stoppedFailed      planner.StopCause = "failed"
	stoppedLost        planner.StopCause = "lost"
	stoppedOther       planner.StopCause = "other"
)

// causeOfReason is the cause of the stops with a reason of stopRun.
var causeOfReason = map[string]planner.StopCause{
	"gang ended": stoppedWithGang, "worker is leaving": stoppedMaintenance, "upkeep": stoppedMaintenance, stopForEvacuation: stoppedEvacuation, "stands still": stoppedStalled,
	"worker is slow": stoppedSlow, "cancelled": stoppedCancelled, "job is over": stoppedCancelled,
}

// lossMetrics counts the runs that ended without completing their work, and the work that was lost, by cause.
type lossMetrics struct {
	runs map[planner.StopCause]*metrics.Counter
	work map[planner.StopCause]*metrics.FloatCounter
}

func newLossMetrics(set *metrics.Set) lossMetrics {
	m := lossMetrics{make(map[planner.StopCause]*metrics.Counter), make(map[planner.StopCause]*metrics.FloatCounter)}
	causes := []planner.StopCause{
		stoppedWithGang, stoppedMaintenance, stoppedEvacuation, stoppedStalled, stoppedSlow, stoppedCancelled, stoppedFailed, stoppedLost, stoppedOther,
	}
	for _, cause := range append(causes, planner.StopCauses...) {
		m.runs[cause] = set.GetOrCreateCounter(fmt.Sprintf(`oleanderbend_runs_stopped_total{cause=%q}`, string(cause)))
		m.work[cause] = set.GetOrCreateFloatCounter(fmt.Sprintf(`oleanderbend_lost_core_seconds_total{cause=%q}`, string(cause)))
	}
	return m
}

// stopCause returns why a run that ended in the given way did not complete its work. It returns false if the run did
// complete it, or never began.
func (r *run) stopCause(kind worker.EndKind) (planner.StopCause, bool) {
	if kind == worker.EndDone || kind == endRejected {
		return "", false
	}
	cause, known := causeOfReason[r.reason]
	switch {
	case r.preemptedBy != "":
		return r.preemptedBy, true
	case known:
		return cause, true
	case kind == worker.EndFailed:
		return stoppedFailed, true
	case r.reason == "" && kind == endLost:
		return stoppedLost, true
	default:
		return stoppedOther, true
	}
}

// countLoss counts a run that has ended, if it did not complete its work. The lost work is that since the run was
// placed or, if an earlier leader placed it, taken over. Checkpointed and long-running tasks lose none.
func (l *leader) countLoss(r *run, kind worker.EndKind) {
	cause, stopped := r.stopCause(kind)
	if !stopped {
		return
	}
	l.c.metrics.losses.runs[cause].Inc()
	if step := r.task.unit.step; !step.LongRunning {
		l.c.metrics.losses.work[cause].Add(planner.LostWork(requestOf(step), 1, boottime.Since(r.placedAt), step.Checkpoints))
	}
}

// strandedInterval is the minimum time between two computations of the stranded capacity, which examine every worker.
const strandedInterval = time.Second

// strandedMetrics is the capacity that is idle and that no waiting task can use for lack of another resource.
type strandedMetrics struct{ cores, memoryMB, gpus *metrics.Gauge }

func newStrandedMetrics(set *metrics.Set) strandedMetrics {
	gauge := func(resource string) *metrics.Gauge {
		return set.GetOrCreateGauge(fmt.Sprintf(`oleanderbend_stranded_capacity{resource=%q}`, resource), nil)
	}
	return strandedMetrics{gauge("cores"), gauge("memory_mb"), gauge("gpus")}
}

// set sets the capacity to the sum over the services.
func (m strandedMetrics) set(byService map[string]planner.Resources) {
	var total planner.Resources
	for _, amount := range byService {
		total = total.Add(amount)
	}
	m.cores.Set(float64(total.CPU) / 1000)
	m.memoryMB.Set(float64(total.MemoryMB))
	m.gpus.Set(float64(total.GPU))
}
