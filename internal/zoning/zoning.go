// Package zoning chooses the availability zone of new jobs and guarantees. It is pure.
package zoning

import (
	"cmp"
	"fmt"
	"iter"
	"slices"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Load summarises one zone as its leader told it last.
type Load struct {
	Zone string
	// Free and Queued are in accelerators; Total counts live workers only.
	Free   int
	Queued int
	Total  int
	// LargestWorker and LargestRack bound gangs with adjacency worker and rack.
	LargestWorker int
	LargestRack   int
}

// ZoneCapacities computes the capacity of each zone from the list of instances. Workers that are
// leaving or quarantined do not count.
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

// CountJobs sets the free and queued accelerators of each zone from the jobs that run and wait
// there, as the log has them. The log has every accepted job at once, so a burst of jobs spreads
// over the zones; what the leaders report is older and would send a whole burst to one zone.
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

// fits reports whether a gang could ever be placed in the zone when it is empty.
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

// ChooseForJob returns the zone of a new job. A zone that holds a guarantee of the job's
// organisation comes first, then the one with the least queued work for its size, then the
// one with most free accelerators. If no zone could ever hold the job, it returns the largest
// zone, whose leader then reports why.
func ChooseForJob(job *resource.Job, loads map[string]Load, guarantees map[string]*resource.Guarantee) string {
	guaranteed := make(map[string]int)
	for _, g := range guarantees {
		if g.Spec.Organisation == job.Spec.Organisation {
			guaranteed[g.Status.Zone] += g.Spec.Gangs * g.Spec.Members * g.Spec.AcceleratorsPerMember
		}
	}
	better := func(a, b Load) int {
		return cmp.Or(
			compareBool(a.canHold(job), b.canHold(job)),
			compareBool(guaranteed[a.Zone] >= job.Spec.Accelerators(), guaranteed[b.Zone] >= job.Spec.Accelerators()),
			compareBool(a.Free-a.Queued >= job.Spec.Accelerators(), b.Free-b.Queued >= job.Spec.Accelerators()),
			cmp.Compare(a.Queued*b.Total, b.Queued*a.Total),
			cmp.Compare(b.Free, a.Free),
			cmp.Compare(b.Total, a.Total),
			cmp.Compare(a.Zone, b.Zone),
		)
	}
	return first(loads, better)
}

func (l Load) canHold(job *resource.Job) bool {
	return l.fits(job.Spec.Adjacency, job.Spec.AcceleratorsPerMember, job.Spec.Accelerators())
}

// OrderForGuarantee returns the zones in which a guarantee should be tried, those with the
// most capacity that is not yet guaranteed first. A pinned guarantee has one candidate.
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
	zones := zonesOf(loads)
	slices.SortStableFunc(zones, func(a, b string) int { return cmp.Compare(unguaranteed[b], unguaranteed[a]) })
	return zones
}

func zonesOf(loads map[string]Load) []string {
	zones := make([]string, 0, len(loads))
	for zone := range loads {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

func first(loads map[string]Load, better func(a, b Load) int) string {
	best := ""
	for _, zone := range zonesOf(loads) {
		if best == "" || better(loads[zone], loads[best]) < 0 {
			best = zone
		}
	}
	return best
}

// compareBool orders true before false.
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

// RejectReason returns why no zone can ever hold a job, or "" if one can. An empty inventory
// refuses nothing, because the list of instances may not be known yet.
func RejectReason(job *resource.Job, loads map[string]Load) string {
	if len(loads) == 0 {
		return ""
	}
	for _, load := range loads {
		if load.canHold(job) {
			return ""
		}
	}
	return fmt.Sprintf("no availability zone can hold %d members of %d accelerators with adjacency %q",
		job.Spec.Members, job.Spec.AcceleratorsPerMember, job.Spec.Adjacency)
}
