package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// moveEvery is the shortest time between two rounds of moves. It bounds the work that is
	// disturbed if estimates are wrong.
	moveEvery = 5 * time.Minute
	// moveSearchEvery is how often moves are looked for, because the search is expensive.
	moveSearchEvery = time.Minute
	// movePays is how many times the loss the gain must be. The gain rests on estimated run
	// times, which are wrong by a factor of two in either direction as a rule.
	movePays = 2.0
	// maxMovedShare bounds the part of the zone that one round moves.
	maxMovedShare = 0.05
)

// defragment moves reclaimable, checkpointable jobs away from the place of a blocked gang if
// they fit elsewhere at once and the moves pay: the accelerator seconds that the gang starts
// sooner must be movePays times those that the moves lose.
func (d *decision) defragment(j *resource.Job, ready time.Time) bool {
	if j.Spec.Restart == resource.RestartNever || d.now.Sub(d.p.lastMove) < moveEvery ||
		d.now.Sub(d.p.lastMoveSearch) < moveSearchEvery {
		return false
	}
	d.p.lastMoveSearch = d.now
	s := jobShape(&j.Spec)
	may := func(r *run) bool {
		return !r.placed && !r.reclaiming && !d.res.protected(r) && !d.urgent(r.job) && r.job.Spec.Checkpointable
	}
	e := d.c.evict(d.availableNow(j, d.claimed, false), s, may)
	if e == nil || len(e.victims) == 0 || !d.fitElsewhere(j, s, e) {
		return false
	}
	gain := float64(j.Spec.Accelerators()) * ready.Sub(d.now).Seconds()
	if gain < movePays*e.loss {
		return false
	}
	d.p.lastMove = d.now
	d.reclaimFor(j, e, "the job is moved to make room for an adjacent gang")
	return true
}

// fitElsewhere reports whether all victims can start at once on what the gang leaves free.
func (d *decision) fitElsewhere(j *resource.Job, s shape, e *eviction) bool {
	units := d.availableNow(j, d.claimed, false)
	for _, n := range e.nodes {
		units[n] -= d.c.nodes[n].unitsPerMember(s)
	}
	moved := 0
	for _, v := range e.victims {
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
