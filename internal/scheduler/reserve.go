package scheduler

import (
	"cmp"
	"slices"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// slot is the place that the reservation plan assigns to one gang of a guarantee. Runs of the
// guarantee's organisation inside the slot use the guarantee: the slot covers them, and they
// are not reclaimed. Everything else inside the slot is free or can be reclaimed.
type slot struct {
	guarantee int
	shape     shape
	// nodes contains the node of each member, or is nil if the slot has no place.
	nodes []int
	// coveredUnits contains the units that covered runs occupy in the slot, in ascending order
	// of nodes.
	coveredUnits []nodeUnits
	runs         []*run
}

// reservation is a reservation plan: an assignment of all guaranteed gangs to workers.
type reservation struct {
	slots []*slot
	// covered contains the slot of each run that uses its organisation's guarantee.
	covered map[*run]*slot
	// unplaced contains the number of slots without a place, by guarantee index.
	unplaced []int
	// unreserved contains the units of each node that belong neither to a slot nor to a run
	// that is not restartable.
	unreserved []int
	// addedRun is the run that the reservation plan includes in addition to those in the index
	// at the time, or nil.
	addedRun *run
}

// totalUnplaced returns the number of slots without a place.
func (r *reservation) totalUnplaced() int {
	total := 0
	for _, n := range r.unplaced {
		total += n
	}
	return total
}

// protected reports whether a run must not be reclaimed.
func (r *reservation) protected(run *run) bool {
	return !run.restartable || r.covered[run] != nil
}

// coverMode selects the runs that may use their organisation's guarantee. Runs of a guaranteed
// shape (see slot.matchesShape) may in all modes, except that coverNonRestartable excludes those
// that are restartable.
type coverMode int

const (
	// coverRestartable also covers runs of other shapes that are restartable. Those that are
	// not restartable are kept outside the slots, so that a slot stays available for the
	// guaranteed shape as a whole.
	coverRestartable coverMode = iota
	// coverAll also covers runs of other shapes, whether or not they are restartable.
	coverAll
	// coverExact covers no runs of other shapes.
	coverExact
	// coverNonRestartable covers only runs of a guaranteed shape that are not restartable.
	coverNonRestartable
)

// reserve computes the reservation plan for the runs of the index. Runs are covered in the order
// that coverRuns and coverOrder define; among otherwise equal runs older ones are covered first,
// so that a later start cannot take away the cover of an earlier one. If a slot has no place in
// the resulting reservation plan, it is computed again with other orders of slots and other
// cover modes, which in the end cover fewer runs: a run can be restarted elsewhere, whereas a
// guarantee without a place is broken. The reservation plan with the fewest unplaced slots is
// returned.
func (c *cluster) reserve(guarantees []*resource.Guarantee) *reservation {
	var best *reservation
	for _, try := range []struct {
		mode  coverMode
		order slotOrder
	}{
		{coverRestartable, byAdjacency}, {coverAll, byAdjacency}, {coverRestartable, bySize},
		{coverExact, byAdjacency}, {coverExact, bySize}, {coverNonRestartable, byAdjacency}, {coverNonRestartable, bySize},
	} {
		next := c.reserveOnce(guarantees, try.mode, try.order)
		if best == nil || next.totalUnplaced() < best.totalUnplaced() {
			best = next
		}
		if best.totalUnplaced() == 0 {
			break
		}
	}
	return best
}

func (c *cluster) reserveOnce(guarantees []*resource.Guarantee, mode coverMode, order slotOrder) *reservation {
	r := &reservation{
		covered:    make(map[*run]*slot),
		unplaced:   make([]int, len(guarantees)),
		unreserved: make([]int, len(c.nodes)),
	}
	for n := range c.nodes {
		if c.nodes[n].usable {
			r.unreserved[n] = c.nodes[n].accel
		}
	}
	byOrg := c.addSlots(r, guarantees)
	c.coverRuns(r, byOrg, mode)
	c.completeSlots(r)
	c.placeSlots(r, order)
	return r
}

// addSlots adds the slots of all guarantees and returns them by organisation index.
// Organisations that are not in the index are left out.
func (c *cluster) addSlots(r *reservation, guarantees []*resource.Guarantee) [][]*slot {
	byOrg := make([][]*slot, len(c.orgIndexes))
	for i, g := range guarantees {
		org, known := c.orgIndexes[g.Spec.Organisation]
		for range g.Spec.Gangs {
			s := &slot{guarantee: i, shape: guaranteeShape(&g.Spec)}
			r.slots = append(r.slots, s)
			if known {
				byOrg[org] = append(byOrg[org], s)
			}
		}
	}
	return byOrg
}

// coverRuns assigns runs to slots as far as the mode allows: first runs of a guaranteed shape,
// then runs that are not restartable, then the rest. Runs that are not restartable reserve their
// units whether or not they are covered.
func (c *cluster) coverRuns(r *reservation, byOrg [][]*slot, mode coverMode) {
	var exact, nonRestartable, others []*run
	for _, run := range c.runs {
		slots := byOrg[run.orgIndex]
		if !run.restartable {
			c.reserveRun(r, run)
			nonRestartable = append(nonRestartable, run)
		}
		if len(slots) == 0 || run.stopping {
			continue
		}
		switch {
		case (mode != coverNonRestartable || !run.restartable) && anySlotMatches(slots, run.shape):
			exact = append(exact, run)
		case run.restartable && (mode == coverRestartable || mode == coverAll):
			others = append(others, run)
		}
	}
	slices.SortFunc(exact, coverOrder)
	slices.SortFunc(others, coverOrder)
	for _, run := range exact {
		c.coverRun(r, byOrg[run.orgIndex], run)
	}
	if mode == coverAll {
		for _, run := range nonRestartable {
			if r.covered[run] == nil {
				c.coverRun(r, byOrg[run.orgIndex], run)
			}
		}
	}
	for _, run := range others {
		c.coverRun(r, byOrg[run.orgIndex], run)
	}
}

// anySlotMatches reports whether the shape matches that of one of the slots.
func anySlotMatches(slots []*slot, s shape) bool {
	return slices.ContainsFunc(slots, func(slot *slot) bool { return slot.matchesShape(s) })
}

// matchesShape reports whether a gang has the shape of the slot, apart from cores and memory.
func (s *slot) matchesShape(other shape) bool {
	return s.shape.members == other.members && s.shape.accel == other.accel && s.shape.adjacency == other.adjacency
}

// occupied reports whether the slot is used by a run of its own shape or by one that is not
// restartable.
func (s *slot) occupied() bool {
	return slices.ContainsFunc(s.runs, func(r *run) bool { return !r.restartable || s.matchesShape(r.shape) })
}

// coverOrder orders runs that are not restartable first, then those that were placed within the
// guarantee, then by age, oldest first.
func coverOrder(a, b *run) int {
	if a.restartable != b.restartable {
		return compareBool(a.restartable, b.restartable)
	}
	if a.placedReclaimable != b.placedReclaimable {
		return compareBool(a.placedReclaimable, b.placedReclaimable)
	}
	if a.startOrder != b.startOrder {
		return cmp.Compare(a.startOrder, b.startOrder)
	}
	return cmp.Compare(a.name, b.name)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func (c *cluster) reserveRun(r *reservation, run *run) {
	for _, f := range run.footprint {
		r.unreserved[f.node] -= f.units
	}
}

func (c *cluster) unreserveRun(r *reservation, run *run) {
	for _, f := range run.footprint {
		r.unreserved[f.node] += f.units
	}
}

// coveredOn returns the units that covered runs occupy on a node of the slot.
func (s *slot) coveredOn(n int) int {
	for _, f := range s.coveredUnits {
		if f.node == n {
			return f.units
		}
	}
	return 0
}

// coverRun assigns a run to the slot that it fills best. It returns false if the run fits into no
// slot.
func (c *cluster) coverRun(r *reservation, slots []*slot, run *run) bool {
	if len(slots) == 0 || run.hasUnknownWorker {
		return false
	}
	if !run.restartable {
		c.unreserveRun(r, run)
	}
	var best *slot
	bestLeft := 0
	for _, s := range slots {
		left, ok := c.unusedAfterJoin(r, s, run)
		if ok && (best == nil || left < bestLeft) {
			best, bestLeft = s, left
		}
	}
	if best == nil {
		if !run.restartable {
			c.reserveRun(r, run)
		}
		return false
	}
	c.joinSlot(r, best, run)
	return true
}

// unusedAfterJoin returns how many units of a slot stay unused if the run joins it, and false
// if the run does not fit.
func (c *cluster) unusedAfterJoin(r *reservation, s *slot, run *run) (int, bool) {
	members, filled := 0, 0
	first := -1
	for _, f := range s.coveredUnits {
		if !c.adjacentToFirst(s.shape.adjacency, &first, f.node) {
			return 0, false
		}
		members += membersFor(f.units, s.shape.accel)
		filled += f.units
	}
	for _, f := range run.footprint {
		if !c.nodes[f.node].usable || !c.adjacentToFirst(s.shape.adjacency, &first, f.node) {
			return 0, false
		}
		used := s.coveredOn(f.node)
		more := membersFor(used+f.units, s.shape.accel) - membersFor(used, s.shape.accel)
		if more*s.shape.accel > r.unreserved[f.node] {
			return 0, false
		}
		members += more
		filled += f.units
		if members > s.shape.members {
			return 0, false
		}
	}
	return s.shape.members*s.shape.accel - filled, true
}

// adjacentToFirst reports whether node n is close enough to the first node for the adjacency. If
// first is negative, it is set to n.
func (c *cluster) adjacentToFirst(a resource.Adjacency, first *int, n int) bool {
	if *first < 0 {
		*first = n
		return true
	}
	switch a {
	case resource.AdjacentWorker:
		return n == *first
	case resource.AdjacentRack:
		return c.nodes[n].rack == c.nodes[*first].rack
	default:
		return true
	}
}

// membersFor returns how many members of a slot are needed to hold the units; the last one may
// be filled only in part.
func membersFor(units, accel int) int { return (units + accel - 1) / accel }

func (c *cluster) joinSlot(r *reservation, s *slot, run *run) {
	for _, f := range run.footprint {
		i, ok := slices.BinarySearchFunc(s.coveredUnits, f.node, func(f nodeUnits, n int) int { return cmp.Compare(f.node, n) })
		if !ok {
			s.coveredUnits = slices.Insert(s.coveredUnits, i, nodeUnits{node: f.node})
		}
		before := membersFor(s.coveredUnits[i].units, s.shape.accel)
		s.coveredUnits[i].units += f.units
		r.unreserved[f.node] -= (membersFor(s.coveredUnits[i].units, s.shape.accel) - before) * s.shape.accel
	}
	s.runs = append(s.runs, run)
	r.covered[run] = s
}

// completeSlots finds places for the remaining members of partly used slots. If there are too
// few places for a slot, its runs lose their cover; the restartable ones can then be reclaimed.
func (c *cluster) completeSlots(r *reservation) {
	for _, s := range r.slots {
		if s.coveredUnits == nil {
			continue
		}
		s.nodes = s.usedNodes()
		if rest := s.shape.members - len(s.nodes); rest > 0 {
			restShape := s.shape
			restShape.members = rest
			found := c.locateNear(r.unreserved, restShape, s.nodes[0])
			if found == nil {
				c.clearSlot(r, s)
				continue
			}
			c.reserveNodes(r, s.shape.accel, found)
			s.nodes = append(s.nodes, found...)
		}
	}
}

func (s *slot) usedNodes() []int {
	var out []int
	for _, f := range s.coveredUnits {
		for range membersFor(f.units, s.shape.accel) {
			out = append(out, f.node)
		}
	}
	return out
}

// locateNear returns nodes for a gang that must be adjacent to the given node, or nil if there
// is no place.
func (c *cluster) locateNear(free []int, s shape, near int) []int {
	switch s.adjacency {
	case resource.AdjacentWorker:
		if c.memberCapacity(free, near, s) < s.members {
			return nil
		}
		return c.fill(free, s, []int{near}, nil)
	case resource.AdjacentRack:
		out := c.fill(free, s, c.byFreeUnits(free, c.racks[c.nodes[near].rack]), nil)
		if len(out) < s.members {
			return nil
		}
		return out
	default:
		return c.locateInZone(free, s)
	}
}

func (c *cluster) reserveNodes(r *reservation, accel int, nodes []int) {
	for _, n := range nodes {
		r.unreserved[n] -= accel
	}
}

func (c *cluster) clearSlot(r *reservation, s *slot) {
	for _, n := range s.nodes {
		r.unreserved[n] += s.shape.accel
	}
	for _, run := range s.runs {
		delete(r.covered, run)
		if !run.restartable {
			c.reserveRun(r, run)
		}
	}
	s.nodes, s.coveredUnits, s.runs = nil, nil, nil
}

// slotOrder is the order in which unused slots are placed.
type slotOrder func(a, b *slot) int

// byAdjacency orders slots with the closest adjacency first, and among these by bySize.
func byAdjacency(a, b *slot) int {
	return cmp.Or(cmp.Compare(adjacencyRank(a.shape.adjacency), adjacencyRank(b.shape.adjacency)), bySize(a, b))
}

// bySize orders the largest gangs first.
func bySize(a, b *slot) int {
	return cmp.Or(
		cmp.Compare(b.shape.members*b.shape.accel, a.shape.members*a.shape.accel),
		cmp.Compare(b.shape.accel, a.shape.accel),
		cmp.Compare(a.guarantee, b.guarantee))
}

func adjacencyRank(a resource.Adjacency) int {
	switch a {
	case resource.AdjacentWorker:
		return 0
	case resource.AdjacentRack:
		return 1
	default:
		return 2
	}
}

func (c *cluster) placeSlots(r *reservation, order slotOrder) {
	var open []*slot
	for _, s := range r.slots {
		if s.nodes == nil {
			open = append(open, s)
		}
	}
	slices.SortStableFunc(open, order)
	for _, s := range open {
		s.nodes = c.locate(r.unreserved, s.shape)
		if s.nodes == nil {
			r.unplaced[s.guarantee]++
			continue
		}
		c.reserveNodes(r, s.shape.accel, s.nodes)
	}
}
