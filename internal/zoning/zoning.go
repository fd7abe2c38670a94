// Package zoning chooses the availability zone of new jobs and guarantees. It performs no
// I/O and has no state.
package zoning

import (
	"cmp"
	"fmt"
	"iter"
	"slices"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Load is the capacity of a zone and the demand on it, in accelerators.
type Load struct {
	Zone string
	// Free is the capacity that running jobs do not use; negative if they use more than Total.
	Free int
	// Queued is the demand of the queued jobs.
	Queued int
	// Total is the capacity of the live workers that are not quarantined, in use or free.
	Total int
	// LargestWorker and LargestRack are the capacities of the largest worker and rack. They limit
	// gangs with the adjacencies worker and rack.
	LargestWorker int
	LargestRack   int
}

// ZoneCapacities returns the capacity of each zone that has workers, from the list of instances.
// Workers that are leaving or quarantined do not count. Free and Queued are 0 in the result.
func ZoneCapacities(instances []platform.Instance, quarantined func(worker string) bool) map[string]Load {
	loads := make(map[string]Load)
	racks := make(map[[2]string]int)
	for _, in := range instances {
		if in.Kind != platform.KindWorker {
			continue
		}
		load := loads[in.Zone]
		load.Zone = in.Zone
		if in.State == platform.StateLive && !quarantined(in.ID) {
			rack := [2]string{in.Zone, in.Rack}
			racks[rack] += in.Accelerators
			load.Total += in.Accelerators
			load.LargestWorker = max(load.LargestWorker, in.Accelerators)
			load.LargestRack = max(load.LargestRack, racks[rack])
		}
		loads[in.Zone] = load
	}
	return loads
}

// CountJobs sets Free and Queued of each zone in loads from the running and queued jobs. jobs should
// be the jobs in the log: the log contains every accepted job immediately, so a burst of jobs spreads
// over the zones. The reports of the leaders are older and would send a whole burst to one zone.
func CountJobs(loads map[string]Load, jobs iter.Seq[*resource.Job]) {
	for zone, load := range loads {
		load.Free = load.Total
		loads[zone] = load
	}
	for job := range jobs {
		load, found := loads[job.Status.Zone]
		if !found {
			continue
		}
		switch job.Status.Phase {
		case resource.PhaseRunning:
			load.Free -= job.Spec.Accelerators()
		case resource.PhaseQueued:
			load.Queued += job.Spec.Accelerators()
		}
		loads[job.Status.Zone] = load
	}
}

// fits reports whether a gang could be placed in the zone if no other job ran there. member and total
// are the accelerators of each member and of the whole gang.
func (l Load) fits(adjacency resource.Adjacency, member, total int) bool {
	if member > l.LargestWorker {
		return false
	}
	switch adjacency {
	case resource.AdjacentWorker:
		return total <= l.LargestWorker
	case resource.AdjacentRack:
		return total <= l.LargestRack
	default:
		return total <= l.Total
	}
}

// ChooseForJob returns the zone of a new job, or "" if loads is empty. It compares zones by these
// criteria, in this order: the job fits if no other job runs in the zone; the organisation's
// guarantees in the zone cover the job's accelerators; the free accelerators suffice after the queued
// jobs; least queued work relative to the total capacity; most free accelerators; largest total
// capacity; first zone name. The result is a zone even if the job fits in none; the leader of that
// zone then reports why the job waits.
func ChooseForJob(job *resource.Job, loads map[string]Load, guarantees map[string]*resource.Guarantee) string {
	guaranteed := make(map[string]int)
	for _, g := range guarantees {
		if g.Spec.Organisation == job.Spec.Organisation {
			guaranteed[g.Status.Zone] += g.Spec.Gangs * g.Spec.Members * g.Spec.AcceleratorsPerMember
		}
	}
	compare := func(a, b Load) int {
		return cmp.Or(
			compareBool(a.fitsJob(job), b.fitsJob(job)),
			compareBool(guaranteed[a.Zone] >= job.Spec.Accelerators(), guaranteed[b.Zone] >= job.Spec.Accelerators()),
			compareBool(a.Free-a.Queued >= job.Spec.Accelerators(), b.Free-b.Queued >= job.Spec.Accelerators()),
			cmp.Compare(a.Queued*b.Total, b.Queued*a.Total),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(b.Total, a.Total),
			cmp.Compare(a.Zone, b.Zone),
		)
	}
	return bestZone(loads, compare)
}

// fitsJob reports whether the job could be placed in the zone if no other job ran there.
func (l Load) fitsJob(job *resource.Job) bool {
	return l.fits(job.Spec.Adjacency, job.Spec.AcceleratorsPerMember, job.Spec.Accelerators())
}

// OrderForGuarantee returns the zones to try for a guarantee, in descending order of the capacity that
// other guarantees leave. For a guarantee that specifies a zone, it returns only that zone.
func OrderForGuarantee(g *resource.Guarantee, loads map[string]Load, guarantees map[string]*resource.Guarantee) []string {
	if g.Spec.Zone != "" {
		return []string{g.Spec.Zone}
	}
	unguaranteed := make(map[string]int)
	for zone, load := range loads {
		unguaranteed[zone] = load.Total
	}
	for _, other := range guarantees {
		if other.Name != g.Name {
			unguaranteed[other.Status.Zone] -= other.Spec.Gangs * other.Spec.Members * other.Spec.AcceleratorsPerMember
		}
	}
	zones := sortedZones(loads)
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(unguaranteed[b], unguaranteed[a]) })
	return zones
}

func sortedZones(loads map[string]Load) []string {
	zones := make([]string, 0, len(loads))
	for zone := range loads {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// bestZone returns the zone that compare orders first, or "" if loads is empty. Of equal zones it
// returns the first by name.
func bestZone(loads map[string]Load, compare func(a, b Load) int) string {
	best := ""
	for _, zone := range sortedZones(loads) {
		if best == "" || compare(loads[zone], loads[best]) < 0 {
			best = zone
		}
	}
	return best
}

// compareBool is a comparison function that orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// RejectReason returns why a job could not be placed in any zone even if no other job ran there, or
// "" if it fits in one. It returns "" if loads is empty, because the list of instances may not be
// known yet.
func RejectReason(job *resource.Job, loads map[string]Load) string {
	if len(loads) == 0 {
		return ""
	}
	for _, load := range loads {
		if load.fitsJob(job) {
			return ""
		}
	}
	return fmt.Sprintf("no availability zone can hold %d members of %d accelerators with adjacency %q",
		job.Spec.Members, job.Spec.AcceleratorsPerMember, job.Spec.Adjacency)
}
