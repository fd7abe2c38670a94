package planner

// The load that this file answers: the operator evacuates an availability zone, up to a half of the workers, while
// jobs are running there and others wait.

// fitsWithoutEvacuation reports whether a task of the unit, or all tasks of a gang, would fit into the free resources of
// all workers if no zone were evacuated.
func (r *round) fitsWithoutEvacuation(u *Unit) bool {
	if len(r.evacuated) == 0 {
		return false
	}
	tasks, spare := 0, r.spareGPU[u.Service]
	for _, i := range r.evacuated {
		if r.suits(u, i) {
			free := r.snapshot.Workers[i].Free
			spare += max(0, free.GPU)
			tasks += r.roomOn(u, i, free)
		}
	}
	if tasks == 0 {
		return false
	}
	wanted := 1
	if u.Gang {
		wanted = u.Tasks
	}
	if !r.mayUseHeadroom(u) && spare < u.Need.GPU*int64(wanted) {
		return false
	}
	return tasks+r.roomInFleet(u, r.free) >= wanted
}

// needsEvacuated reports whether the unit has too little room without the evacuated workers, even if the others ran
// nothing. Such a gang claims no resources: it would hold back all other work until the zone returns to service.
func (r *round) needsEvacuated(u *Unit) bool {
	return len(r.evacuated) > 0 && !r.fitsWhenEmpty(u, r.all())
}

// anyCold reports whether one of the workers is cold.
func (r *round) anyCold(workers []int) bool {
	for _, w := range workers {
		if r.snapshot.Workers[w].Cold {
			return true
		}
	}
	return false
}
