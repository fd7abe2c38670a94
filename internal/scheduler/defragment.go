package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// minMoveInterval is the shortest time between two rounds of moves. It bounds the work that is
	// disturbed if estimates are wrong.
	minMoveInterval = 5 * time.Minute
	// moveSearchInterval is how often moves are looked for, because the search is expensive.
	moveSearchInterval = time.Minute
	// minMoveGainRatio is how many times the loss the gain must be. The gain rests on estimated run
	// times, which are wrong by a factor of two in either direction as a rule.
	minMoveGainRatio = 2.0
	// maxMovedShare bounds the part of the zone that one round moves.
	maxMovedShare = 0.05
)

// defragment moves reclaimable, checkpointable jobs away from the place of a blocked gang if
// they fit elsewhere at once and the moves pay: the accelerator seconds that the gang starts
// sooner must be movePays times those that the moves lose.
func (d *decision) defragment(j *resource.Job, ready time.Time) bool {
	if j.Spec.Restart == resource.RestartNever || d.now.Sub(d.p.lastMove) < minMoveInterval ||
		d.now.Sub(d.p.lastMoveSearch) < moveSearchInterval {
		return false
	}
	d.p.lastMoveSearch = d.now
	s := jobShape(&j.Spec)
	canStop := func(r *run) bool {
		return !r.placed && !r.reclaiming && !d.res.protected(r) && !d.urgent(r.job) && r.job.Spec.Checkpointable
	}
	pre := d.c.findPreemption(d.availableNow(j, d.claimed, false), s, canStop)
	if pre == nil || len(pre.victims) == 0 || !d.victimsFitElsewhere(j, s, pre) {
		return false
	}
	gain := float64(j.Spec.Accelerators()) * ready.Sub(d.now).Seconds()
	if gain < minMoveGainRatio*pre.loss {
		return false
	}
	d.p.lastMove = d.now
	d.reclaimFor(j, pre, "the job is moved to make room for an adjacent gang")
	return true
}

// victimsFitElsewhere reports whether all victims can start at once on what the gang leaves free.
func (d *decision) victimsFitElsewhere(j *resource.Job, s shape, pre *preemption) bool {
	units := d.availableNow(j, d.claimed, false)
	for _, n := range pre.nodes {
		units[n] -= d.c.nodes[n].unitsPerMember(s)
	}
	moved := 0
	for _, v := range pre.victims {
		nodes := d.c.locate(units, v.shape)
		moved += v.accelerators()
		if nodes == nil || float64(moved) > maxMovedShare*float64(d.capacity) {
			return false
		}
		for _, n := range nodes {
			units[n] -= d.c.nodes[n].unitsPerMember(v.shape)
		}
	}
	return true
}
