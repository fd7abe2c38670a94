package planner

import "slices"

// Conflict is a pair of kinds of work of which one slows the other down on the same worker.
type Conflict struct {
	Victim, Neighbour string
}

// Conflicts is a set of pairs. The zero value has none.
type Conflicts map[Conflict]bool

// between reports whether tasks of the two kinds are to be kept apart.
func (c Conflicts) between(a, b string) bool {
	return c[Conflict{a, b}] || c[Conflict{b, a}]
}

// conflictsWith reports whether the worker runs a kind of work that conflicts with that of the unit.
func (r *round) conflictsWith(u *Unit, w *Worker) bool {
	if len(r.snapshot.Conflicts) == 0 || u.Kind == "" {
		return false
	}
	return slices.ContainsFunc(w.Kinds, func(kind string) bool { return r.snapshot.Conflicts.between(u.Kind, kind) })
}

// countConflicts returns the number of workers among the places of a unit that run a kind of work that conflicts with that of
// the unit.
func (r *round) countConflicts(u *Unit, places []int) int {
	if len(r.snapshot.Conflicts) == 0 {
		return 0
	}
	n := 0
	for _, w := range distinct(places) {
		if r.conflictsWith(u, &r.snapshot.Workers[w]) {
			n++
		}
	}
	return n
}

// distinct returns the places of a unit with each worker once. The places on one worker need not be next to each other.
func distinct(places []int) []int {
	return slices.Compact(slices.Sorted(slices.Values(places)))
}
