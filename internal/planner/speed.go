package planner

import "cmp"

// The load that this file answers: a third of the workers each is slow, usual and fast, and urgent gangs, which run at
// the speed of their slowest member, have an objective that only the usual and the fast ones can meet. Work
// with a loose objective goes to the slow workers, so that the others stay free for work with a tight one.

const (
	// looseSpeed is the minimum speed up to which the objective of a unit is loose: workers are seldom slower. Units with
	// a loose objective also go to workers of unknown speed, which shows their speeds.
	looseSpeed = 0.55
	// slowSpeed and fastSpeed separate the slow and the fast workers from the usual ones.
	slowSpeed, fastSpeed = 0.8, 1.25
	// speedError is the factor by which a speed may be wrong. Without it, units would prefer the slow workers whose speeds
	// are overrated to those that are fast enough.
	speedError = 1.2
	// tasksPerUnknown is the number of tasks of a unit with a loose objective that are placed on a worker of unknown
	// speed. One shows the speed; more would be an obstacle for tasks that need a whole worker.
	tasksPerUnknown = 1
)

// speedClass orders workers by how well their speed suits a unit; lower classes are used first. All workers are of class
// anySpeed for a unit without a MinSpeed.
type speedClass int

const (
	anySpeed speedClass = iota
	// explored workers are of unknown speed; a unit with a loose objective uses them first.
	explored
	// preferred, usable and reserve workers are fast enough. A unit with a tight objective prefers the fast ones,
	// because estimates are rough and tasks of one step differ; one with a loose objective prefers the slow ones and
	// leaves the fast ones to others.
	preferred
	usable
	reserve
	// marginal workers are fast enough or too slow within the error of their speeds.
	marginal
	unknown
	tooSlow
)

// speedClassOf returns the class of a worker for a unit.
func speedClassOf(u *Unit, w *Worker) speedClass {
	loose := u.MinSpeed <= looseSpeed
	switch {
	case u.MinSpeed == 0:
		return anySpeed
	case w.Speed == 0 && loose:
		return explored
	case w.Speed == 0:
		return unknown
	case w.Speed < u.MinSpeed/speedError:
		return tooSlow
	case w.Speed < u.MinSpeed*speedError:
		return marginal
	case w.Speed >= slowSpeed && w.Speed < fastSpeed:
		return usable
	case (w.Speed < slowSpeed) == loose:
		return preferred
	default:
		return reserve
	}
}

// worstSpeed is the highest class among the workers of a gang, which runs at the speed of its slowest member, and the
// number of its workers of this class: each worker of unknown speed may be a slow one.
type worstSpeed struct {
	class   speedClass
	workers int
}

func (s worstSpeed) compare(o worstSpeed) int {
	return cmp.Or(cmp.Compare(s.class, o.class), cmp.Compare(s.workers, o.workers))
}

func (r *round) worstSpeed(u *Unit, places []int) worstSpeed {
	var worst worstSpeed
	if u.MinSpeed == 0 {
		return worst
	}
	for _, w := range distinct(places) {
		switch class := speedClassOf(u, &r.snapshot.Workers[w]); {
		case class > worst.class:
			worst = worstSpeed{class, 1}
		case class == worst.class:
			worst.workers++
		}
	}
	// Workers that are all fast enough differ in cost, not in number.
	if worst.class < unknown {
		worst.workers = 0
	}
	return worst
}

// takePlaces returns one worker for each of n tasks, from the candidates in their order. Tasks that are no gang are first
// spread over the workers of unknown speed, if the objective of the unit is loose.
func takePlaces(u *Unit, candidates []candidate, n int) []int {
	places := make([]int, 0, n)
	take := func(limit func(c *candidate) int) {
		for i := range candidates {
			c := &candidates[i]
			taken := min(limit(c), c.room, n-len(places))
			for range taken {
				places = append(places, c.worker)
			}
			c.room -= taken
		}
	}
	spread := u.MinSpeed > 0 && u.MinSpeed <= looseSpeed && !u.Gang && u.Need.GPU > 0
	if spread {
		take(func(c *candidate) int {
			if c.speed == explored {
				return tasksPerUnknown
			}
			return c.room
		})
	}
	take(func(c *candidate) int { return c.room })
	return places
}
