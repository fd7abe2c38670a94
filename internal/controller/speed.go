package controller

import "context"

const (
	// tailAlarm is the part of its target at which the tail of a serving task slows the fillers
	// beside it: the figure is rough and half a second old.
	tailHigh = 0.9
	// tailCalm is the part of its target below which fillers are given more again.
	tailLow = 0.6
	// paceDown divides the pace of fillers at an alarm; paceUp is added to it, in percent, after
	// a look without one.
	speedDivisor   = 4
	speedIncrement = 10
	// paceFloor is the pace below which a filler is halted.
	minSpeed = 5
	// unknownPace is that of fillers of an earlier leader, or after an order without an answer.
	unknownSpeed = -1
)

// paceFillers sets the pace of the fillers on a worker by the tails of the serving tasks there.
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

// nextPace returns the pace of a filler, in percent, from the worst tail beside it as a part of
// its target.
func nextSpeed(speed int, serving bool, worst float64) int {
	switch {
	case !serving:
		return fullSpeed
	case worst > tailHigh:
		speed /= speedDivisor
		if speed < minSpeed {
			return 0
		}
		return speed
	case worst < tailLow:
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
		Msg("filler paced")
	r.speed = percent
	target, run, token := r.target(), r.id(), l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, commandTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.SetSpeed(ctx, target, run, percent, token); err != nil {
			l.post(func() { r.speed = unknownSpeed })
			l.logger.Warn().Err(err).Str("task", run.Task.String()).Msg("filler not paced")
		}
	}()
}
