package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// restartCost is added to the lost run time of a victim for the time to stop, queue and start
// again. It makes stopping a few large jobs cheaper than stopping many small ones that lose the
// same amount of work.
const restartCost = 30 * time.Second

// lossOf returns the work lost by stopping a run, in accelerator seconds.
func lossOf(r *run) float64 {
	return float64(r.accelerators()) * (r.checkpointAge + restartCost).Seconds()
}

// preemption is a place for a gang and the runs (victims) that must stop to make it free.
type preemption struct {
	nodes   []int
	victims []*run
	loss    float64
}

// findPreemption returns the place for a gang at which the victims lose the least work. The
// units in avail are those that are free or become free without further victims; canStop
// reports whether a run may become a victim.
func (c *cluster) findPreemption(avail []int, s shape, canStop func(*run) bool) *preemption {
	switch s.adjacency {
	case resource.AdjacentWorker:
		return c.findPreemptionInGroups(avail, s, canStop, len(c.nodes), func(i int) []int { return []int{i} })
	case resource.AdjacentRack:
		return c.findPreemptionInGroups(avail, s, canStop, len(c.racks), func(i int) []int { return c.racks[i] })
	default:
		all := make([]int, len(c.nodes))
		for i := range all {
			all[i] = i
		}
		return c.findPreemptionOn(avail, s, canStop, all)
	}
}

func (c *cluster) findPreemptionInGroups(avail []int, s shape, canStop func(*run) bool, groups int, nodesOf func(int) []int) *preemption {
	var best *preemption
	for i := range groups {
		pre := c.findPreemptionOn(avail, s, canStop, nodesOf(i))
		if pre != nil && (best == nil || pre.loss < best.loss) {
			best = pre
		}
	}
	return best
}

// findPreemptionWithin is like findPreemption, but uses at most limit[n] units of node n.
func (c *cluster) findPreemptionWithin(avail []int, s shape, canStop func(*run) bool, limit []int) *preemption {
	var nodes []int
	for n, units := range limit {
		if units > 0 {
			nodes = append(nodes, n)
		}
	}
	ps := newPreemptionSearch(c, avail, s, canStop)
	ps.limit = limit
	if s.adjacency == resource.AdjacentZone {
		return ps.place(nodes)
	}
	// The nodes within the limit need not be adjacent to each other, for example if the limit
	// comes from a slot with a wider adjacency than the gang. Each group of adjacent nodes is
	// therefore tried.
	var best *preemption
	for _, group := range c.adjacentGroups(nodes, s.adjacency) {
		ps := newPreemptionSearch(c, avail, s, canStop)
		ps.limit = limit
		if found := ps.place(group); found != nil && (best == nil || found.loss < best.loss) {
			best = found
		}
	}
	return best
}

// adjacentGroups splits the nodes into groups whose nodes are adjacent to each other.
func (c *cluster) adjacentGroups(nodes []int, a resource.Adjacency) [][]int {
	var out [][]int
	byRack := make(map[int]int)
	for _, n := range nodes {
		if a == resource.AdjacentWorker {
			out = append(out, []int{n})
			continue
		}
		i, ok := byRack[c.nodes[n].rack]
		if !ok {
			i = len(out)
			byRack[c.nodes[n].rack] = i
			out = append(out, nil)
		}
		out[i] = append(out[i], n)
	}
	return out
}

// preemptionSearch chooses the victims within one group of nodes.
type preemptionSearch struct {
	c       *cluster
	shape   shape
	canStop func(*run) bool
	// avail contains the units of each node that are free without stopping any victim.
	avail []int
	// gained contains the units that the selected victims free, and used the units that the
	// placed members occupy, by node.
	gained     map[int]int
	used       map[int]int
	isSelected map[*run]bool
	selected   []*run
	// limit bounds the units that the gang may use of each node; nil means no limit.
	limit []int
}

func newPreemptionSearch(c *cluster, avail []int, s shape, canStop func(*run) bool) *preemptionSearch {
	return &preemptionSearch{
		c: c, shape: s, canStop: canStop, avail: avail,
		gained: make(map[int]int), used: make(map[int]int), isSelected: make(map[*run]bool),
	}
}

func (c *cluster) findPreemptionOn(avail []int, s shape, canStop func(*run) bool, nodes []int) *preemption {
	return newPreemptionSearch(c, avail, s, canStop).place(nodes)
}

// memberCost is a node that can hold one more member, with the work lost by making room for it.
type memberCost struct {
	node int
	loss float64
}

// place assigns the members one by one to the node at which the next member costs the least.
func (ps *preemptionSearch) place(nodes []int) *preemption {
	if !ps.couldFit(nodes) {
		return nil
	}
	costs := make([]memberCost, 0, len(nodes))
	for _, n := range nodes {
		if _, loss, ok := ps.victims(n); ok {
			costs = append(costs, memberCost{n, loss})
		}
	}
	out := &preemption{}
	for len(out.nodes) < ps.shape.members {
		best := -1
		for i := range costs {
			if best < 0 || costs[i].loss < costs[best].loss {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		n := costs[best].node
		victims, _, ok := ps.victims(n)
		if ok {
			ps.selectVictims(victims)
			ps.used[n] += ps.c.nodes[n].unitsPerMember(ps.shape)
			out.nodes = append(out.nodes, n)
		}
		kept := costs[:0]
		for _, o := range costs {
			if o.node != n && !ps.anyRunsOn(victims, o.node) {
				kept = append(kept, o)
				continue
			}
			if _, loss, ok := ps.victims(o.node); ok {
				kept = append(kept, memberCost{o.node, loss})
			}
		}
		costs = kept
	}
	ps.prune()
	out.victims = ps.selected
	for _, v := range ps.selected {
		out.loss += lossOf(v)
	}
	return out
}

// couldFit reports whether the nodes could hold the gang if all runs that may be stopped did
// stop.
func (ps *preemptionSearch) couldFit(nodes []int) bool {
	members := 0
	for _, n := range nodes {
		node := &ps.c.nodes[n]
		units := node.unitsPerMember(ps.shape)
		if !node.usable || units > node.accel {
			continue
		}
		room := ps.avail[n]
		for _, r := range ps.c.runsOn[n] {
			if room/units+members >= ps.shape.members {
				break
			}
			if ps.canStop(r) {
				room += ps.c.unitsOn(r, n)
			}
		}
		members += max(room, 0) / units
		if members >= ps.shape.members {
			return true
		}
	}
	return false
}

// victims returns the runs that must stop for one more member to fit on the node, and the work
// that they lose. It returns false if the member cannot fit.
func (ps *preemptionSearch) victims(n int) ([]*run, float64, bool) {
	node := &ps.c.nodes[n]
	units := node.unitsPerMember(ps.shape)
	if !node.usable || units > node.accel {
		return nil, 0, false
	}
	if ps.limit != nil && ps.used[n]+units > ps.limit[n] {
		return nil, 0, false
	}
	deficit := units + ps.used[n] - ps.avail[n] - ps.gained[n]
	if deficit <= 0 {
		return nil, 0, true
	}
	var stoppable []*run
	for _, r := range ps.c.runsOn[n] {
		if !ps.isSelected[r] && ps.canStop(r) {
			stoppable = append(stoppable, r)
		}
	}
	slices.SortStableFunc(stoppable, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(lossOf(a)/float64(ps.c.unitsOn(a, n)), lossOf(b)/float64(ps.c.unitsOn(b, n))),
			cmp.Compare(a.name, b.name))
	})
	var out []*run
	for _, r := range stoppable {
		if deficit <= 0 {
			break
		}
		out = append(out, r)
		deficit -= ps.c.unitsOn(r, n)
	}
	if deficit > 0 {
		return nil, 0, false
	}
	out, loss := dropRedundant(out, -deficit, func(r *run) int { return ps.c.unitsOn(r, n) })
	return out, loss, true
}

// dropRedundant removes victims that are not needed because their units fit into the surplus,
// starting with the last ones, which cost the most per unit. It also returns the work that the
// remaining victims lose.
func dropRedundant(victims []*run, surplus int, units func(*run) int) ([]*run, float64) {
	for i := len(victims) - 1; i >= 0; i-- {
		if u := units(victims[i]); u <= surplus {
			surplus -= u
			victims = slices.Delete(victims, i, i+1)
		}
	}
	loss := 0.0
	for _, r := range victims {
		loss += lossOf(r)
	}
	return victims, loss
}

func (ps *preemptionSearch) selectVictims(victims []*run) {
	for _, v := range victims {
		ps.isSelected[v] = true
		ps.selected = append(ps.selected, v)
		ps.addGained(v, 1)
	}
}

func (ps *preemptionSearch) addGained(v *run, sign int) {
	for _, f := range v.footprint {
		ps.gained[f.node] += sign * f.units
	}
}

// anyRunsOn reports whether one of the victims has a member on the node.
func (ps *preemptionSearch) anyRunsOn(victims []*run, n int) bool {
	for _, v := range victims {
		if ps.c.unitsOn(v, n) > 0 {
			return true
		}
	}
	return false
}

// prune removes victims that later selections made unnecessary, starting with those that lose
// the most work.
func (ps *preemptionSearch) prune() {
	byLoss := slices.Clone(ps.selected)
	slices.SortStableFunc(byLoss, func(a, b *run) int { return cmp.Compare(lossOf(b), lossOf(a)) })
	for _, v := range byLoss {
		ps.addGained(v, -1)
		if ps.membersStillFit(v) {
			ps.selected = slices.DeleteFunc(ps.selected, func(r *run) bool { return r == v })
			continue
		}
		ps.addGained(v, 1)
	}
}

// membersStillFit reports whether the placed members still fit on the nodes of the victim.
func (ps *preemptionSearch) membersStillFit(v *run) bool {
	for _, f := range v.footprint {
		n := f.node
		if ps.used[n] > 0 && ps.used[n] > ps.avail[n]+ps.gained[n] {
			return false
		}
	}
	return true
}

// unitsOn returns the number of units that a run occupies on a node.
func (c *cluster) unitsOn(r *run, n int) int {
	i, ok := slices.BinarySearchFunc(r.footprint, n, func(f nodeUnits, n int) int { return cmp.Compare(f.node, n) })
	if !ok {
		return 0
	}
	return r.footprint[i].units
}
