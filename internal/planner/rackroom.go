package planner

// rackMaxima is the largest free amount of each resource on any one worker of each rack. A task that does not fit into it
// fits on no worker of the rack, which spares a look at each of them when the fleet is full.
type rackMaxima struct {
	largest []Resources
	// version is the idleVersion for which largest is valid.
	version int
}

// largestByRack returns the rackMaxima of one of the slices of free resources of the round: free, freeAfterStops or
// despiteGangs. It must not be used for slices that change without a change of idleVersion.
func (r *round) largestByRack(free []Resources) []Resources {
	if len(free) == 0 {
		return nil
	}
	m := r.maxima[&free[0]]
	if m == nil {
		m = &rackMaxima{largest: make([]Resources, len(r.racks))}
		r.maxima[&free[0]] = m
	}
	if m.version != r.idleVersion {
		m.version = r.idleVersion
		clear(m.largest)
		for i := range free {
			l := &m.largest[r.rackOf[i]]
			*l = Resources{max(l.CPU, free[i].CPU), max(l.MemoryMB, free[i].MemoryMB), max(l.GPU, free[i].GPU)}
		}
	}
	return m.largest
}

// roomInFleet returns how many tasks of the unit fit into the given free resources of all workers, at most all of them.
func (r *round) roomInFleet(u *Unit, free []Resources) int {
	total := 0
	for rack, largest := range r.largestByRack(free) {
		if u.Need.fitsInto(&largest) {
			total += r.room(u, r.racks[rack], free)
		}
		if total >= u.Tasks {
			return u.Tasks
		}
	}
	return total
}
