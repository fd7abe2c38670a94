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
// the expected time. No more than limit units of each node are used; nil means no limit. It
// returns nil if there is no place.
func (c *cluster) drain(avail []int, s shape, limit []int, end func(*run) time.Time) ([]int, time.Time) {
	d := &drainer{c: c, shape: s, end: cacheEnds(end), room: slices.Clone(avail), limit: limit}
	switch s.adjacency {
	case resource.AdjacentWorker:
		return d.groups(len(c.nodes), func(i int) []int { return []int{i} })
	case resource.AdjacentRack:
		return d.groups(len(c.racks), func(i int) []int { return c.racks[i] })
	default:
		all := make([]int, len(c.nodes))
		for i := range all {
			all[i] = i
		}
		return d.in(all)
	}
}

// drainer is the working state of drain. Groups of nodes are disjoint and share the room.
type drainer struct {
	c     *cluster
	shape shape
	end   func(*run) time.Time
	room  []int
	limit []int
}

// fits returns how many members a node can hold within the limit.
func (d *drainer) fits(n int) int {
	if !d.c.nodes[n].usable {
		return 0
	}
	units := d.room[n]
	if d.limit != nil {
		units = min(units, d.limit[n])
	}
	if units < d.shape.accel || units <= 0 {
		return 0
	}
	return units / d.c.nodes[n].units(d.shape)
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

func (d *drainer) groups(count int, nodesOf func(int) []int) ([]int, time.Time) {
	var best []int
	var bestAt time.Time
	for i := range count {
		nodes, at := d.in(nodesOf(i))
		if nodes != nil && (best == nil || at.Before(bestAt)) {
			best, bestAt = nodes, at
		}
	}
	return best, bestAt
}

// in finds when a gang fits on the nodes. The zero time means now.
func (d *drainer) in(nodes []int) ([]int, time.Time) {
	members, most := 0, 0
	for _, n := range nodes {
		members += d.fits(n)
		if d.c.nodes[n].usable {
			most += d.c.nodes[n].accel / d.c.nodes[n].units(d.shape)
		}
	}
	if most < d.shape.members {
		return nil, time.Time{}
	}
	var at time.Time
	if members < d.shape.members {
		for _, rel := range d.c.releases(nodes, d.end) {
			before := d.fits(rel.node)
			d.room[rel.node] += rel.units
			members += d.fits(rel.node) - before
			at = rel.at
			if members >= d.shape.members {
				break
			}
		}
	}
	if members < d.shape.members {
		return nil, time.Time{}
	}
	return d.fill(nodes), at
}

// fill places the members on the nodes with the least room first.
func (d *drainer) fill(nodes []int) []int {
	out := make([]int, 0, d.shape.members)
	for _, n := range d.c.tightestFirst(d.room, nodes) {
		for k := d.fits(n); k > 0 && len(out) < d.shape.members; k-- {
			out = append(out, n)
		}
	}
	return out
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
