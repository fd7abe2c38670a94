package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// restartCost is added to the lost time of a victim for its stop, its queueing and its start.
// It makes few large moves cheaper than many small ones that lose the same work.
const restartCost = 30 * time.Second

// lossOf is what stopping a run wastes, in accelerator seconds.
func lossOf(r *run) float64 {
	return float64(r.accelerators()) * (r.checkpointAge + restartCost).Seconds()
}

// eviction is a place for a gang that becomes free when the victims have stopped.
type eviction struct {
	nodes   []int
	victims []*run
	loss    float64
}

// evict finds the place for a gang whose victims lose the least. Units in avail are free or
// will be without further victims; may says which runs can be stopped.
func (c *cluster) evict(avail []int, s shape, may func(*run) bool) *eviction {
	switch s.adjacency {
	case resource.AdjacentWorker:
		return c.evictGroups(avail, s, may, len(c.nodes), func(i int) []int { return []int{i} })
	case resource.AdjacentRack:
		return c.evictGroups(avail, s, may, len(c.racks), func(i int) []int { return c.racks[i] })
	default:
		all := make([]int, len(c.nodes))
		for i := range all {
			all[i] = i
		}
		return c.evictIn(avail, s, may, all)
	}
}

func (c *cluster) evictGroups(avail []int, s shape, may func(*run) bool, groups int, nodesOf func(int) []int) *eviction {
	var best *eviction
	for i := range groups {
		e := c.evictIn(avail, s, may, nodesOf(i))
		if e != nil && (best == nil || e.loss < best.loss) {
			best = e
		}
	}
	return best
}

// evictWithin finds a place within limits of units for each node.
func (c *cluster) evictWithin(avail []int, s shape, may func(*run) bool, limit []int) *eviction {
	var nodes []int
	for n, units := range limit {
		if units > 0 {
			nodes = append(nodes, n)
		}
	}
	e := newEvictor(c, avail, s, may)
	e.limit = limit
	if s.adjacency == resource.AdjacentZone {
		return e.place(nodes)
	}
	// The limit comes from a slot, whose adjacency may be wider than that of the gang.
	var best *eviction
	for _, group := range c.groups(nodes, s.adjacency) {
		e := newEvictor(c, avail, s, may)
		e.limit = limit
		if found := e.place(group); found != nil && (best == nil || found.loss < best.loss) {
			best = found
		}
	}
	return best
}

// groups splits nodes into sets that are adjacent.
func (c *cluster) groups(nodes []int, a resource.Adjacency) [][]int {
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

// evictor collects victims for one group of nodes.
type evictor struct {
	c     *cluster
	shape shape
	may   func(*run) bool
	// gained has the units that chosen victims free, spent those of placed members, by node.
	avail  []int
	gained map[int]int
	spent  map[int]int
	chosen map[*run]bool
	order  []*run
	// limit bounds the units that the gang may take of a node; nil means no bound.
	limit []int
}

func newEvictor(c *cluster, avail []int, s shape, may func(*run) bool) *evictor {
	return &evictor{
		c: c, shape: s, may: may, avail: avail,
		gained: make(map[int]int), spent: make(map[int]int), chosen: make(map[*run]bool),
	}
}

func (c *cluster) evictIn(avail []int, s shape, may func(*run) bool, nodes []int) *eviction {
	return newEvictor(c, avail, s, may).place(nodes)
}

// offer is a node that can take one more member at a loss.
type offer struct {
	node int
	loss float64
}

// place puts the members one by one where the next one costs least.
func (e *evictor) place(nodes []int) *eviction {
	if !e.roomFor(nodes) {
		return nil
	}
	offers := make([]offer, 0, len(nodes))
	for _, n := range nodes {
		if _, loss, ok := e.victims(n); ok {
			offers = append(offers, offer{n, loss})
		}
	}
	out := &eviction{}
	for len(out.nodes) < e.shape.members {
		best := -1
		for i := range offers {
			if best < 0 || offers[i].loss < offers[best].loss {
				best = i
			}
		}
		if best < 0 {
			return nil
		}
		n := offers[best].node
		victims, _, ok := e.victims(n)
		if ok {
			e.choose(victims)
			e.spent[n] += e.c.nodes[n].unitsPerMember(e.shape)
			out.nodes = append(out.nodes, n)
		}
		kept := offers[:0]
		for _, o := range offers {
			if o.node != n && !e.touches(victims, o.node) {
				kept = append(kept, o)
				continue
			}
			if _, loss, ok := e.victims(o.node); ok {
				kept = append(kept, offer{o.node, loss})
			}
		}
		offers = kept
	}
	e.prune()
	out.victims = e.order
	for _, v := range e.order {
		out.loss += lossOf(v)
	}
	return out
}

// roomFor reports whether the nodes could hold the gang if all allowed runs stopped.
func (e *evictor) roomFor(nodes []int) bool {
	members := 0
	for _, n := range nodes {
		node := &e.c.nodes[n]
		units := node.unitsPerMember(e.shape)
		if !node.usable || units > node.accel {
			continue
		}
		room := e.avail[n]
		for _, r := range e.c.runsOn[n] {
			if room/units+members >= e.shape.members {
				break
			}
			if e.may(r) {
				room += e.c.unitsOn(r, n)
			}
		}
		members += max(room, 0) / units
		if members >= e.shape.members {
			return true
		}
	}
	return false
}

// victims returns the runs to stop so that one more member fits on the node.
func (e *evictor) victims(n int) ([]*run, float64, bool) {
	node := &e.c.nodes[n]
	units := node.unitsPerMember(e.shape)
	if !node.usable || units > node.accel {
		return nil, 0, false
	}
	if e.limit != nil && e.spent[n]+units > e.limit[n] {
		return nil, 0, false
	}
	deficit := units + e.spent[n] - e.avail[n] - e.gained[n]
	if deficit <= 0 {
		return nil, 0, true
	}
	var can []*run
	for _, r := range e.c.runsOn[n] {
		if !e.chosen[r] && e.may(r) {
			can = append(can, r)
		}
	}
	slices.SortStableFunc(can, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(lossOf(a)/float64(e.c.unitsOn(a, n)), lossOf(b)/float64(e.c.unitsOn(b, n))),
			cmp.Compare(a.name, b.name))
	})
	var out []*run
	for _, r := range can {
		if deficit <= 0 {
			break
		}
		out = append(out, r)
		deficit -= e.c.unitsOn(r, n)
	}
	if deficit > 0 {
		return nil, 0, false
	}
	out, loss := dropRedundant(out, -deficit, func(r *run) int { return e.c.unitsOn(r, n) })
	return out, loss, true
}

// dropRedundant removes victims, the costliest first, whose units fit into the surplus.
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

func (e *evictor) choose(victims []*run) {
	for _, v := range victims {
		e.chosen[v] = true
		e.order = append(e.order, v)
		e.gain(v, 1)
	}
}

func (e *evictor) gain(v *run, sign int) {
	for _, f := range v.footprint {
		e.gained[f.node] += sign * f.units
	}
}

// touches reports whether one of the victims has a member on the node.
func (e *evictor) touches(victims []*run, n int) bool {
	for _, v := range victims {
		if e.c.unitsOn(v, n) > 0 {
			return true
		}
	}
	return false
}

// prune drops victims that later choices made unnecessary, the costliest first.
func (e *evictor) prune() {
	byLoss := slices.Clone(e.order)
	slices.SortStableFunc(byLoss, func(a, b *run) int { return cmp.Compare(lossOf(b), lossOf(a)) })
	for _, v := range byLoss {
		e.gain(v, -1)
		if e.holds(v) {
			e.order = slices.DeleteFunc(e.order, func(r *run) bool { return r == v })
			continue
		}
		e.gain(v, 1)
	}
}

// holds reports whether the members still fit on the nodes of the victim.
func (e *evictor) holds(v *run) bool {
	for _, f := range v.footprint {
		n := f.node
		if e.spent[n] > 0 && e.spent[n] > e.avail[n]+e.gained[n] {
			return false
		}
	}
	return true
}

// unitsOn returns the units that a run holds on a node.
func (c *cluster) unitsOn(r *run, n int) int {
	i, ok := slices.BinarySearchFunc(r.footprint, n, func(f nodeUnits, n int) int { return cmp.Compare(f.node, n) })
	if !ok {
		return 0
	}
	return r.footprint[i].units
}
