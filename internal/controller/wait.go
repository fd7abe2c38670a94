package controller

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// waitsForAdvice is the reason of units that have no valid ticket of the advice service.
	waitsForAdvice planner.WaitReason = "advice"
	// waitsForPermittedWorker is the reason of such units if there is no worker left to ask about: the service
	// has refused all workers that suit the unit, or there are none.
	waitsForPermittedWorker planner.WaitReason = "no-permitted-worker"
	// minLoggedWait is how long a unit waits before the reason is logged. Most units wait less.
	minLoggedWait = time.Second
	// waitLogInterval is the minimum time between two lines about the same unit.
	waitLogInterval = 2 * time.Second
	// maxWaitLines is the number of lines about waiting units of one job in waitLogInterval.
	maxWaitLines = 20
)

// adviceWaitReason returns why a unit without valid tickets waits.
func (l *leader) adviceWaitReason(u *unit) planner.WaitReason {
	switch {
	case !u.advice.exhausted:
		return waitsForAdvice
	case l.suitsEvacuated(u):
		return planner.WaitsForEvacuation
	default:
		return waitsForPermittedWorker
	}
}

// newWaitGauges returns the gauges of the number of waiting units, by reason.
func newWaitGauges(set *metrics.Set) map[planner.WaitReason]*metrics.Gauge {
	gauges := make(map[planner.WaitReason]*metrics.Gauge)
	for _, reason := range planner.WaitReasons {
		gauges[reason] = set.GetOrCreateGauge(fmt.Sprintf(`oleanderbend_waiting_steps{reason=%q}`, string(reason)), nil)
	}
	return gauges
}

// trackHeldBack updates heldBackSince of the units of a planning round.
func trackHeldBack(units []*unit, waits map[int]planner.Wait) {
	now := boottime.Now()
	for i, u := range units {
		switch {
		case !u.heldBack(waits[i]):
			u.heldBackSince = 0
		case u.heldBackSince == 0:
			u.heldBackSince = now
		}
	}
}

// heldBack reports whether a wait counts towards planner.MaxHeldBack. Tasks of a job that has runs are not held back,
// unless they are long-running: each of those is to run at all times.
func (u *unit) heldBack(wait planner.Wait) bool {
	return wait.HeldBack && (u.step.LongRunning || !u.job.hasRuns())
}

// reportWaits counts and logs the units of which tasks were not started, by reason.
func (l *leader) reportWaits(s *planner.Snapshot, units []*unit, waits map[int]planner.Wait) {
	now := boottime.Now()
	count := make(map[planner.WaitReason]int)
	for i, wait := range waits {
		count[wait.Reason]++
		if !units[i].waitLogDue(wait.Reason, now) {
			continue
		}
		behind := ""
		if wait.Behind >= 0 {
			behind = units[wait.Behind].tasks[0].id.StepName()
		}
		l.logWait(units[i], wait.Reason, behind, freeGPUs(s, s.Units[i].Service), now)
	}
	l.c.metrics.setWaiting(count)
}

// setWaiting sets the number of steps that wait for each reason.
func (m *controllerMetrics) setWaiting(count map[planner.WaitReason]int) {
	for reason, gauge := range m.waiting {
		gauge.Set(float64(count[reason]))
	}
}

// freeGPUs returns the accelerators that are free on the workers of a service on which tasks may start.
func freeGPUs(s *planner.Snapshot, service string) int64 {
	free := int64(0)
	for i := range s.Workers {
		if w := &s.Workers[i]; w.Usable() && w.Service == service {
			free += max(0, w.Free.GPU)
		}
	}
	return free
}

// waitLogDue reports whether the reason for which a unit waits is to be logged: first after minLoggedWait,
// then when it has changed. Beyond maxWaitLines, a job has no more lines for the time being.
func (u *unit) waitLogDue(reason planner.WaitReason, now boottime.Instant) bool {
	j := u.job
	if now.Sub(j.waitLinesSince) >= waitLogInterval {
		j.waitLines, j.waitLinesSince = 0, now
	}
	return reason != u.loggedWait && now.Sub(u.readySince) >= minLoggedWait && now.Sub(u.waitLoggedAt) >= waitLogInterval &&
		j.waitLines < maxWaitLines
}

// logWait logs why a unit waits.
func (l *leader) logWait(u *unit, reason planner.WaitReason, behind string, free int64, now boottime.Instant) {
	u.loggedWait, u.waitLoggedAt = reason, now
	u.job.waitLines++
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("tasks", u.waiting()).Str("reason", string(reason)).Str("behind", behind).
		Int64("free", free).Dur("waited", now.Sub(u.readySince)).Msg("step waits")
}
