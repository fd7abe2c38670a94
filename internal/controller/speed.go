package controller

import (
	"context"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// fullSpeed is the speed of a run without a limit, in percent.
	fullSpeed = 100
	// slowDownAbove is a fraction of the latency target of a serving task. Fillers are slowed down
	// while the tail latency of a serving task on the same worker is above it. It is below 1
	// because the reported latency is rough and half a second old.
	slowDownAbove = 0.9
	// speedUpBelow is the fraction of the target below which fillers are sped up again.
	speedUpBelow = 0.6
	// speedDivisor divides the speed of fillers at each poll with a latency above slowDownAbove.
	// speedIncrement is added to the speed, in percentage points, at each poll with a latency below
	// speedUpBelow. The speed falls quickly and rises slowly.
	speedDivisor   = 4
	speedIncrement = 10
	// minSpeed is the speed in percent below which a filler is halted.
	minSpeed = 5
	// unknownSpeed is the speed of an adopted run, and of a filler after a failed speed command.
	unknownSpeed = -1
)

// adjustFillerSpeeds sets the speed of the fillers on a worker according to the tail latencies of
// its serving tasks.
func (l *leader) adjustFillerSpeeds(ws *workerState) {
	worst, serving := 0.0, false
	for _, r := range ws.runs {
		if target := r.task.unit.step.TailLatencyTargetMS; target > 0 && r.state == running {
			worst = max(worst, float64(r.usage)/float64(target))
			serving = true
		}
	}
	for _, r := range ws.runList() {
		if !r.task.unit.step.Filler || r.state != running {
			continue
		}
		speed := nextSpeed(r.speed, serving, worst)
		if r.speed == unknownSpeed {
			speed = nextSpeed(fullSpeed, serving, worst)
		}
		if speed != r.speed {
			l.setSpeed(r, speed)
		}
	}
}

// nextSpeed returns the new speed of a filler in percent. The worst tail latency on the worker is
// given as a fraction of its target.
func nextSpeed(speed int, serving bool, worst float64) int {
	switch {
	case !serving:
		return fullSpeed
	case worst > slowDownAbove:
		speed /= speedDivisor
		if speed < minSpeed {
			return 0
		}
		return speed
	case worst < speedUpBelow:
		return min(fullSpeed, speed+speedIncrement)
	default:
		return speed
	}
}

func (l *leader) setSpeed(r *run, percent int) {
	if !l.term.Valid() {
		return
	}
	l.logger.Info().Str("task", r.task.id.String()).Str("worker", r.worker.id).Int("from", r.speed).Int("to", percent).
		Msg("setting filler speed")
	switch {
	case percent > 0:
		r.haltedSince = 0
	case r.haltedSince == 0:
		r.haltedSince = boottime.Now()
	}
	r.speed = percent
	target, runID, token := r.target(), r.runID(), l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.SetSpeed(ctx, target, runID, percent, token); err != nil {
			l.post(func() { r.speed, r.haltedSince = unknownSpeed, 0 })
			l.logger.Warn().Err(err).Str("task", runID.Task.String()).Msg("setting filler speed failed")
		}
	}()
}
