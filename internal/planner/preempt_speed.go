package planner

import "math"

// The load that this file answers: workers that differ in speed, and units with a tight objective that get room only by
// preemption. Stopping a run on a worker that is too slow for the unit loses its work and gains nothing.

// preemptionFor returns the preemption plan for a unit, nil if there is none. If a plan whose loss is acceptable leaves out the
// workers that are known to be too slow for the unit, the unit gets one of these: on the others it would miss its objective.
func (r *round) preemptionFor(u *Unit) *preemptionPlan {
	if r.anyTooSlow(u) {
		if p := r.cheapestPreemption(u, true); p != nil && p.acceptable(u) {
			return p
		}
	}
	if p := r.cheapestPreemption(u, false); p != nil && p.acceptable(u) {
		return p
	}
	return nil
}

// acceptable reports whether a unit may cause the loss of a plan.
func (p *preemptionPlan) acceptable(u *Unit) bool {
	return u.Guaranteed || p.loss <= maxLossFactor*u.Work+restartCost*float64(len(p.groups))
}

// missesObjective reports whether a unit that starts on a worker now is expected to miss its objective. Nothing is expected of
// a worker of unknown speed.
func missesObjective(u *Unit, w *Worker) bool { return w.Speed > 0 && w.Speed < u.MinSpeed }

// anyTooSlow reports whether runs may be preempted for the unit on a worker that is too slow for it.
func (r *round) anyTooSlow(u *Unit) bool {
	if u.MinSpeed == 0 {
		return false
	}
	for i := range r.snapshot.Workers {
		if missesObjective(u, &r.snapshot.Workers[i]) && r.usable(u, i) {
			return true
		}
	}
	return false
}

// fastEnough returns the workers that the plan may use.
func (c *preemption) fastEnough(workers []int) []int {
	if !c.skipsSlow {
		return workers
	}
	c.fast = c.fast[:0]
	for _, i := range workers {
		if !missesObjective(c.unit, &c.snapshot.Workers[i]) {
			c.fast = append(c.fast, i)
		}
	}
	return c.fast
}

// suitsBetter reports whether the speed of worker a suits the unit better than that of worker b.
func (c *preemption) suitsBetter(a, b int) bool {
	workers := c.snapshot.Workers
	return speedClassOf(c.unit, &workers[a]) < speedClassOf(c.unit, &workers[b])
}

// limitOf returns the limit of the loss of a plan that may replace the best one so far, which may be nil.
func (c *preemption) limitOf(best *preemptionPlan) float64 {
	switch {
	case best == nil:
		return math.Inf(1)
	case c.unit.MinSpeed == 0:
		return best.loss
	default:
		// A plan of equal loss may have faster workers.
		return math.Nextafter(best.loss, math.Inf(1))
	}
}

// replaces reports whether a plan within limitOf(best) is better than the best one so far.
func (c *preemption) replaces(p, best *preemptionPlan) bool {
	return best == nil || p.loss < best.loss || c.worstSpeed(c.unit, p.places).compare(c.worstSpeed(c.unit, best.places)) < 0
}
