package scheduler

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// release is the time at which a run is expected to end and free its units on a node.
type release struct {
	at    time.Time
	node  int
	units int
}

// expectedReleases returns the releases on the nodes in order of time. Runs that have been
// asked to stop are left out because their units count as available already.
func (c *cluster) expectedReleases(nodes []int, end func(*run) time.Time) []release {
	var out []release
	for _, n := range nodes {
		for _, r := range c.runsOn[n] {
			if !r.stopping {
				out = append(out, release{end(r), n, c.unitsOn(r, n)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b release) int { return a.at.Compare(b.at) })
	return out
}

// earliestPlace returns the nodes on which a gang can start soonest if no other job starts
// there, and the expected time. It uses at most limit[n] units of node n; a nil limit means no
// limit. The returned nodes are nil if there is no place.
func (c *cluster) earliestPlace(avail []int, s shape, limit []int, end func(*run) time.Time) ([]int, time.Time) {
	ps := &placeSearch{c: c, shape: s, end: memoizeEnds(end), free: slices.Clone(avail), limit: limit}
	switch s.adjacency {
	case resource.AdjacentWorker:
		return ps.searchGroups(len(c.nodes), func(i int) []int { return []int{i} })
	case resource.AdjacentRack:
		return ps.searchGroups(len(c.racks), func(i int) []int { return c.racks[i] })
	default:
		all := make([]int, len(c.nodes))
		for i := range all {
			all[i] = i
		}
		return ps.searchNodes(all)
	}
}

// placeSearch is the working state of earliestPlace. The groups of nodes that are searched are
// disjoint, so they can share the slice free.
type placeSearch struct {
	c     *cluster
	shape shape
	end   func(*run) time.Time
	free  []int
	limit []int
}

// memberCapacity returns how many members fit into the free units of a node within the limit.
func (ps *placeSearch) memberCapacity(n int) int {
	if !ps.c.nodes[n].usable {
		return 0
	}
	units := ps.free[n]
	if ps.limit != nil {
		units = min(units, ps.limit[n])
	}
	// units can be negative.
	if units < ps.shape.accel || units <= 0 {
		return 0
	}
	return units / ps.c.nodes[n].unitsPerMember(ps.shape)
}

func memoizeEnds(end func(*run) time.Time) func(*run) time.Time {
	known := make(map[*run]time.Time)
	return func(r *run) time.Time {
		at, ok := known[r]
		if !ok {
			at = end(r)
			known[r] = at
		}
		return at
	}
}

func (ps *placeSearch) searchGroups(count int, nodesOf func(int) []int) ([]int, time.Time) {
	var best []int
	var bestAt time.Time
	for i := range count {
		nodes, at := ps.searchNodes(nodesOf(i))
		if nodes != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = nodes, at
		}
	}
	return best, bestAt
}

// searchNodes returns where and when a gang fits on the given nodes. The zero time means now.
func (ps *placeSearch) searchNodes(nodes []int) ([]int, time.Time) {
	members, maxMembers := 0, 0
	for _, n := range nodes {
		members += ps.memberCapacity(n)
		if ps.c.nodes[n].usable {
			maxMembers += ps.c.nodes[n].accel / ps.c.nodes[n].unitsPerMember(ps.shape)
		}
	}
	if maxMembers < ps.shape.members {
		return nil, time.Time{}
	}
	var at time.Time
	if members < ps.shape.members {
		for _, rel := range ps.c.expectedReleases(nodes, ps.end) {
			before := ps.memberCapacity(rel.node)
			ps.free[rel.node] += rel.units
			members += ps.memberCapacity(rel.node) - before
			at = rel.at
			if members >= ps.shape.members {
				break
			}
		}
	}
	if members < ps.shape.members {
		return nil, time.Time{}
	}
	return ps.fill(nodes), at
}

// fill assigns members to the nodes with the least free units first.
func (ps *placeSearch) fill(nodes []int) []int {
	out := make([]int, 0, ps.shape.members)
	for _, n := range ps.c.byFreeUnits(ps.free, nodes) {
		for k := ps.memberCapacity(n); k > 0 && len(out) < ps.shape.members; k-- {
			out = append(out, n)
		}
	}
	return out
}

// readyAt returns the time from which a gang can start on the given nodes; the zero time means
// now. It returns false if the expected releases do not free enough units.
func (c *cluster) readyAt(avail []int, s shape, nodes []int, end func(*run) time.Time) (time.Time, bool) {
	need := make(map[int]int, len(nodes))
	for _, n := range nodes {
		need[n] += c.nodes[n].unitsPerMember(s)
	}
	var distinct []int
	missing := 0
	for n, units := range need {
		need[n] = units - avail[n]
		if need[n] > 0 {
			missing++
		}
		distinct = append(distinct, n)
	}
	slices.Sort(distinct)
	var at time.Time
	if missing == 0 {
		return at, true
	}
	for _, rel := range c.expectedReleases(distinct, end) {
		if need[rel.node] <= 0 {
			continue
		}
		if need[rel.node] -= rel.units; need[rel.node] > 0 {
			continue
		}
		if missing--; missing == 0 {
			return rel.at, true
		}
	}
	return at, false
}
