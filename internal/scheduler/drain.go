package scheduler

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// release is a moment at which a run is expected to leave a node.
type release struct {
	at    time.Time
	node  int
	units int
}

// releases lists when units become free on the nodes, in order of time.
func (c *cluster) releases(nodes []int, end func(*run) time.Time) []release {
	var out []release
	for _, n := range nodes {
		for _, r := range c.on[n] {
			if !r.reclaiming {
				out = append(out, release{end(r), n, c.unitsOn(r, n)})
			}
		}
	}
	slices.SortStableFunc(out, func(a, b release) int { return a.at.Compare(b.at) })
	return out
}

// drain finds the place for a gang that becomes free first if nothing else starts there, with
// the expected time. It returns nil if there is none.
// No more than limit units of each node are used; nil means no limit.
func (c *cluster) drain(avail []int, s shape, limit []int, end func(*run) time.Time) ([]int, time.Time) {
	cached := cacheEnds(end)
	switch s.adjacency {
	case resource.AdjacentWorker:
		return c.drainGroups(avail, s, limit, cached, len(c.nodes), func(i int) []int { return []int{i} })
	case resource.AdjacentRack:
		return c.drainGroups(avail, s, limit, cached, len(c.racks), func(i int) []int { return c.racks[i] })
	default:
		all := make([]int, len(c.nodes))
		for i := range all {
			all[i] = i
		}
		return c.drainIn(avail, s, all, limit, cached)
	}
}

func cacheEnds(end func(*run) time.Time) func(*run) time.Time {
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

func (c *cluster) drainGroups(avail []int, s shape, limit []int, end func(*run) time.Time, groups int, nodesOf func(int) []int) ([]int, time.Time) {
	var best []int
	var bestAt time.Time
	for i := range groups {
		nodes, at := c.drainIn(avail, s, nodesOf(i), limit, end)
		if nodes != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = nodes, at
		}
	}
	return best, bestAt
}

// drainIn finds when a gang fits on the nodes. The zero time means now.
func (c *cluster) drainIn(avail []int, s shape, nodes, limit []int, end func(*run) time.Time) ([]int, time.Time) {
	room := slices.Clone(avail)
	bounded := room
	if limit != nil {
		bounded = make([]int, len(room))
		for n := range room {
			bounded[n] = min(room[n], limit[n])
		}
	}
	members := 0
	for _, n := range nodes {
		members += c.usableFits(bounded, n, s)
	}
	var at time.Time
	if members < s.members {
		for _, rel := range c.releases(nodes, end) {
			before := c.usableFits(bounded, rel.node, s)
			room[rel.node] += rel.units
			if limit != nil {
				bounded[rel.node] = min(room[rel.node], limit[rel.node])
			}
			members += c.usableFits(bounded, rel.node, s) - before
			at = rel.at
			if members >= s.members {
				break
			}
		}
	}
	if members < s.members {
		return nil, time.Time{}
	}
	usable := make([]int, 0, len(nodes))
	for _, n := range nodes {
		if c.nodes[n].usable {
			usable = append(usable, n)
		}
	}
	return c.fill(bounded, s, c.tightestFirst(bounded, usable), nil), at
}

func (c *cluster) usableFits(room []int, n int, s shape) int {
	if !c.nodes[n].usable {
		return 0
	}
	return c.fits(room, n, s)
}

// readyAt returns when a gang can start on given nodes.
func (c *cluster) readyAt(avail []int, s shape, nodes []int, end func(*run) time.Time) (time.Time, bool) {
	need := make(map[int]int, len(nodes))
	for _, n := range nodes {
		need[n] += c.nodes[n].units(s)
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
	for _, rel := range c.releases(distinct, end) {
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
