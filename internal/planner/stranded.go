package planner

import "slices"

// Stranded returns, by service, the free resources that no waiting task can use because another resource of the same
// worker is exhausted: what is free in each resource on workers that accept work and on which no task of the units
// fits, provided that at least one task would fit by that resource alone. Services without such workers are absent.
func Stranded(workers []Worker, units []Unit) map[string]Resources {
	needs := make(map[string][]Resources)
	for i := range units {
		u := &units[i]
		if !slices.Contains(needs[u.Service], u.Need) {
			needs[u.Service] = append(needs[u.Service], u.Need)
		}
	}
	stranded := make(map[string]Resources)
	for i := range workers {
		w := &workers[i]
		waiting := needs[w.Service]
		if !w.AcceptsWork || slices.ContainsFunc(waiting, func(n Resources) bool { return n.fitsInto(&w.Free) }) {
			continue
		}
		var usable Resources
		for _, n := range waiting {
			if n.GPU > 0 && n.GPU <= w.Free.GPU {
				usable.GPU = w.Free.GPU
			}
			if n.CPU > 0 && n.CPU <= w.Free.CPU {
				usable.CPU = w.Free.CPU
			}
			if n.MemoryMB > 0 && n.MemoryMB <= w.Free.MemoryMB {
				usable.MemoryMB = w.Free.MemoryMB
			}
		}
		if usable != (Resources{}) {
			stranded[w.Service] = stranded[w.Service].Add(usable)
		}
	}
	return stranded
}
