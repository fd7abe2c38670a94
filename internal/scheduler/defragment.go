package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// minMoveInterval is the minimum time between two calls of defragment that stop jobs. It
	// bounds how much work is disturbed if estimates are wrong.
	minMoveInterval = 5 * time.Minute
	// moveSearchInterval is the minimum time between two searches for moves, because the search
	// is expensive.
	moveSearchInterval = time.Minute
	// minMoveGainRatio is the minimum ratio of the gain of a move to its loss. The gain is
	// computed from estimated run times, which are typically wrong by a factor of two in either
	// direction.
	minMoveGainRatio = 2.0
	// maxMovedShare bounds the share of the zone's accelerators that one call of defragment
	// frees by moves.
	maxMovedShare = 0.05
)

// defragment stops reclaimable, checkpointable jobs that block a gang, if the jobs can be moved:
// each of them can start again elsewhere at once, and the accelerator seconds gained by the
// earlier start of the gang are at least minMoveGainRatio times the accelerator seconds that the
// jobs lose. ready is when the gang could start without the moves. It returns true if it stopped
// jobs and claimed their place.
func (d *decision) defragment(j *resource.Job, ready time.Time) bool {
	// Jobs that must not be restarted are excluded for the reason given in placeUrgentJob.
	if j.Spec.Restart == resource.RestartNever || d.now.Sub(d.sched.lastMove) < minMoveInterval ||
		d.now.Sub(d.sched.lastMoveSearch) < moveSearchInterval {
		return false
	}
	d.sched.lastMoveSearch = d.now
	s := jobShape(&j.Spec)
	canStop := func(r *run) bool {
		return !r.isNew && !r.stopping && !d.res.protected(r) && !d.urgent(r.job) && r.job.Spec.Checkpointable
	}
	pre := d.c.findPreemption(d.availableNow(j, d.claimed, false), s, canStop)
	if pre == nil || len(pre.victims) == 0 || !d.victimsFitElsewhere(j, s, pre) {
		return false
	}
	gain := float64(j.Spec.Accelerators()) * ready.Sub(d.now).Seconds()
	if gain < minMoveGainRatio*pre.loss {
		return false
	}
	d.sched.lastMove = d.now
	d.preemptFor(j, pre, "the job is moved to make room for an adjacent gang")
	return true
}

// victimsFitElsewhere reports whether all victims can start at once on the units that the gang
// leaves free, and together do not exceed maxMovedShare.
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
