package controller

import "context"

const (
	// tailAlarm is the part of its target at which the tail of a serving task slows the fillers
	// beside it: the figure is rough and half a second old.
	tailAlarm = 0.9
	// tailCalm is the part of its target below which fillers are given more again.
	tailCalm = 0.6
	// paceDown divides the pace of fillers at an alarm; paceUp is added to it, in percent, after
	// a look without one.
	paceDown = 4
	paceUp   = 10
	// paceFloor is the pace below which a filler is halted.
	paceFloor = 5
	// unknownPace is that of fillers of an earlier leader, or after an order without an answer.
	unknownPace = -1
)

// paceFillers sets the pace of the fillers on a worker by the tails of the serving tasks there.
func (l *leader) paceFillers(k *link) {
	worst, serving := 0.0, false
	for _, r := range k.runs {
		if target := r.task.unit.step.TailLatencyTargetMS; target > 0 && r.state == running {
			worst = max(worst, float64(r.usage)/float64(target))
			serving = true
		}
	}
	for _, r := range k.list() {
		if !r.task.unit.step.Filler || r.state != running {
			continue
		}
		pace := nextPace(r.pace, serving, worst)
		if r.pace == unknownPace {
			pace = nextPace(fullSpeed, serving, worst)
		}
		if pace != r.pace {
			l.setPace(r, pace)
		}
	}
}

// nextPace returns the pace of a filler, in percent, from the worst tail beside it as a part of
// its target.
func nextPace(pace int, serving bool, worst float64) int {
	switch {
	case !serving:
		return fullSpeed
	case worst > tailAlarm:
		pace /= paceDown
		if pace < paceFloor {
			return 0
		}
		return pace
	case worst < tailCalm:
		return min(fullSpeed, pace+paceUp)
	default:
		return pace
	}
}

func (l *leader) setPace(r *run, percent int) {
	if !l.term.Valid() {
		return
	}
	l.logger.Info().Str("task", r.task.id.String()).Str("worker", r.link.id).Int("from", r.pace).Int("to", percent).
		Msg("filler paced")
	r.pace = percent
	target, order, token := r.target(), r.order(), l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.SetSpeed(ctx, target, order, percent, token); err != nil {
			l.post(func() { r.pace = unknownPace })
			l.logger.Warn().Err(err).Str("task", order.Task.String()).Msg("filler not paced")
		}
	}()
}
