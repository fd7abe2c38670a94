package scheduler

import (
	"cmp"
	"slices"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// locate returns the node of each member of a gang, using no more than free units of each node,
// or nil if the gang does not fit. It prefers the workers and racks with the least free units
// that can still hold the gang, so that whole workers and racks stay free for large gangs.
func (c *cluster) locate(free []int, s shape) []int {
	switch s.adjacency {
	case resource.AdjacentWorker:
		return c.locateOnWorker(free, s)
	case resource.AdjacentRack:
		return c.locateInRack(free, s)
	default:
		return c.locateInZone(free, s)
	}
}

// memberCapacity returns how many members of the shape fit into the free units of the node.
func (c *cluster) memberCapacity(free []int, n int, s shape) int {
	// free[n] can be negative.
	if free[n] < s.accel || free[n] <= 0 {
		return 0
	}
	return free[n] / c.nodes[n].unitsPerMember(s)
}

func (c *cluster) locateOnWorker(free []int, s shape) []int {
	best, bestLeft, bestRackFree := -1, 0, 0
	for n := range c.nodes {
		if c.memberCapacity(free, n, s) < s.members {
			continue
		}
		left := free[n] - s.members*c.nodes[n].unitsPerMember(s)
		rackFree := c.rackFree(free, c.nodes[n].rack)
		if best < 0 || left < bestLeft || left == bestLeft && rackFree < bestRackFree {
			best, bestLeft, bestRackFree = n, left, rackFree
		}
	}
	if best < 0 {
		return nil
	}
	out := make([]int, s.members)
	for i := range out {
		out[i] = best
	}
	return out
}

func (c *cluster) locateInRack(free []int, s shape) []int {
	best, bestRackFree := -1, 0
	for rack, nodes := range c.racks {
		rackFree := c.rackFree(free, rack)
		if rackFree < s.members*s.accel || best >= 0 && rackFree >= bestRackFree {
			continue
		}
		capacity := 0
		for _, n := range nodes {
			capacity += c.memberCapacity(free, n, s)
		}
		if capacity >= s.members {
			best, bestRackFree = rack, rackFree
		}
	}
	if best < 0 {
		return nil
	}
	return c.fill(free, s, c.byFreeUnits(free, c.racks[best]), nil)
}

func (c *cluster) locateInZone(free []int, s shape) []int {
	racks := make([]int, 0, len(c.racks))
	rackFree := make([]int, len(c.racks))
	total := 0
	for rack, nodes := range c.racks {
		for _, n := range nodes {
			total += c.memberCapacity(free, n, s)
		}
		rackFree[rack] = c.rackFree(free, rack)
		racks = append(racks, rack)
	}
	if total < s.members {
		return nil
	}
	slices.SortStableFunc(racks, func(a, b int) int { return cmp.Compare(rackFree[a], rackFree[b]) })
	out := make([]int, 0, s.members)
	for _, rack := range racks {
		out = c.fill(free, s, c.byFreeUnits(free, c.racks[rack]), out)
		if len(out) == s.members {
			return out
		}
	}
	return nil
}

// fill appends the nodes of further members to out, using the given nodes in order, until the
// gang is complete or the nodes are full.
func (c *cluster) fill(free []int, s shape, nodes, out []int) []int {
	for _, n := range nodes {
		for k := c.memberCapacity(free, n, s); k > 0 && len(out) < s.members; k-- {
			out = append(out, n)
		}
	}
	return out
}

// byFreeUnits returns the nodes in ascending order of their free units.
func (c *cluster) byFreeUnits(free []int, nodes []int) []int {
	order := slices.Clone(nodes)
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(free[a], free[b]) })
	return order
}

// rackFree returns the number of free units in a rack.
func (c *cluster) rackFree(free []int, rack int) int {
	total := 0
	for _, n := range c.racks[rack] {
		total += max(free[n], 0)
	}
	return total
}
