package placement

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/zoning"
)

// isLost reports whether all workers of the zone in the instance list have been unreachable for so
// long that none of their leases can still be active. It is also true if the list has no worker of
// the zone. It is false while no list has been fetched, and during the first leaseExpiry of a term.
func (z *zone) isLost(now time.Time) bool {
	if z.view.Instances == nil || now.Sub(z.startedAt) < leaseExpiry {
		return false
	}
	for _, w := range z.workers {
		if w.present && w.unreachableFor(now) < leaseExpiry {
			return false
		}
	}
	return true
}

// moveFromLostZone reports whether the zone is lost, and if so moves its queued jobs and its
// guarantees to other zones. Moves need records, so they wait while the log is down.
func (z *zone) moveFromLostZone(now time.Time) bool {
	if !z.isLost(now) {
		return false
	}
	if !z.view.LogUp {
		return true
	}
	clear(z.waiting)
	for _, name := range slices.Sorted(maps.Keys(z.view.Jobs)) {
		job := z.view.Jobs[name]
		if !z.queued(now, job) {
			continue
		}
		if other, found := z.otherZone(job); found {
			z.move(now, job, other, "zone "+z.name+" is lost")
			continue
		}
		z.waiting[name] = scheduler.Waiting{
			Job: name, Code: scheduler.ReasonCapacity,
			Message: "all workers of zone " + z.name + " are silent and no other zone can hold the job",
			Unblock: "workers of the zone answer again, or another zone gets capacity",
		}
	}
	z.moveGuarantee(now)
	return true
}

// move queues a job in another zone.
func (z *zone) move(now time.Time, job *resource.Job, other, reason string) {
	status := z.effectiveStatus(job)
	status.Phase, status.Zone, status.Workers = resource.PhaseQueued, other, nil
	status.Reason = fmt.Sprintf("moved from zone %s: %s", z.name, reason)
	if z.setStatus(now, job, status, nil) {
		z.event(Event{Name: EventMoved, Job: job.Name, Reason: status.Reason})
	}
}

// otherLoads returns the loads of the other zones, computed from the state and the platform's
// instance list.
func (z *zone) otherLoads() map[string]zoning.Load {
	loads := zoning.ZoneCapacities(z.view.Instances, func(id string) bool { return z.view.Health[id].Quarantined })
	delete(loads, z.name)
	zoning.CountJobs(loads, slices.Values(z.view.OtherJobs))
	return loads
}

// otherZone returns the best other zone for the job, if the job could run there with the zone empty.
func (z *zone) otherZone(job *resource.Job) (string, bool) {
	loads := z.otherLoads()
	other := zoning.ChooseForJob(job, loads, z.view.AllGuarantees)
	if other == "" || zoning.RejectReason(job, map[string]zoning.Load{other: loads[other]}) != "" {
		return "", false
	}
	return other, true
}

// moveGuarantee moves the first guarantee for which it finds another zone, and marks those before it,
// which cannot move, as not honourable. It does nothing while the state does not show earlier
// updates, because each move changes the guarantee revision against which the next one is checked.
func (z *zone) moveGuarantee(now time.Time) {
	if len(z.guaranteeUpdates) > 0 || z.view.Offset < z.write.lastOffset {
		return
	}
	loads := z.otherLoads()
	for _, g := range z.view.Guarantees {
		other, found := z.zoneForGuarantee(g, loads)
		if !found {
			z.setHonourable(now, g, false, "zone-lost", "all workers of zone "+z.name+" are silent and no other zone can honour the guarantee")
			continue
		}
		condition := honourableCondition(now, true, "moved", "moved from zone "+z.name)
		z.guaranteeUpdates[g.Name] = state.GuaranteeUpdate{
			Name: g.Name, Zone: other, Conditions: withCondition(g.Conditions, condition),
			IfGuaranteeRevision: z.view.GuaranteeRevision[other],
		}
		z.event(Event{Name: EventMoved, Reason: "guarantee " + g.Name + " to zone " + other})
		return
	}
}

// zoneForGuarantee returns another zone that can honour the guarantee together with the guarantees
// that the other zone already has, if there is one. A guarantee whose spec names a zone is not moved.
func (z *zone) zoneForGuarantee(g *resource.Guarantee, loads map[string]zoning.Load) (string, bool) {
	if g.Spec.Zone != "" {
		return "", false
	}
	for _, other := range zoning.OrderForGuarantee(g, loads, z.view.AllGuarantees) {
		if z.sched.CheckGuarantee(z.otherZoneSnapshot(other), g).Honourable {
			return other, true
		}
	}
	return "", false
}

// otherZoneSnapshot returns a snapshot of another zone, built from the state and the platform's
// instance list.
func (z *zone) otherZoneSnapshot(name string) scheduler.Snapshot {
	s := scheduler.Snapshot{Zone: name, Organisations: z.view.Organisations, Policy: z.view.Policy}
	for _, row := range z.view.Instances {
		if row.Kind != platform.KindWorker || row.Zone != name {
			continue
		}
		usable := row.State == platform.StateLive && !z.view.Health[row.ID].Quarantined
		s.Workers = append(s.Workers, scheduler.Worker{
			ID: row.ID, Rack: row.Rack, Accelerators: row.Accelerators, Cores: row.Cores, MemoryMB: row.MemoryMB, Usable: usable,
		})
	}
	for _, job := range z.view.OtherJobs {
		if job.Status.Zone == name && job.Status.Phase == resource.PhaseRunning {
			s.Running = append(s.Running, scheduler.Running{Job: job, Workers: job.Status.Workers, StartedAt: job.Status.StartedAt})
		}
	}
	for _, g := range z.view.AllGuarantees {
		if g.Status.Zone == name {
			s.Guarantees = append(s.Guarantees, g)
		}
	}
	sortByName(s.Guarantees)
	return s
}

// applyGuaranteeResults queues updates of the conditions that a plan changes. It does nothing while
// the view does not show the last recorded update.
func (z *zone) applyGuaranteeResults(now time.Time, results []scheduler.GuaranteeResult) {
	if z.view.Offset < z.write.lastOffset {
		return
	}
	byName := make(map[string]*resource.Guarantee)
	for _, g := range z.view.Guarantees {
		byName[g.Name] = g
	}
	for _, result := range results {
		g, found := byName[result.Guarantee]
		if !found {
			continue
		}
		reason := "planned"
		if !result.Honourable {
			reason = "no-capacity"
		}
		z.setHonourable(now, g, result.Honourable, reason, result.Reason)
	}
}

// setHonourable queues an update of the guarantee's ConditionHonourable unless it is up to date.
func (z *zone) setHonourable(now time.Time, g *resource.Guarantee, honourable bool, reason, message string) {
	condition := honourableCondition(now, honourable, reason, message)
	conditions := g.Conditions
	if p, found := z.guaranteeUpdates[g.Name]; found {
		conditions = p.Conditions
	}
	if hasCondition(conditions, condition) {
		return
	}
	z.guaranteeUpdates[g.Name] = state.GuaranteeUpdate{Name: g.Name, Zone: z.name, Conditions: withCondition(g.Conditions, condition)}
	z.event(Event{Name: EventGuarantee, Reason: g.Name + ": " + string(condition.Status) + " " + message})
}

func honourableCondition(now time.Time, honourable bool, reason, message string) resource.Condition {
	status := resource.ConditionTrue
	if !honourable {
		status = resource.ConditionFalse
	}
	return resource.Condition{Type: resource.ConditionHonourable, Status: status, Reason: reason, Message: message, Since: now}
}

// hasCondition reports whether the conditions contain c, apart from its reason and time.
func hasCondition(conditions []resource.Condition, c resource.Condition) bool {
	return slices.ContainsFunc(conditions, func(old resource.Condition) bool {
		return old.Type == c.Type && old.Status == c.Status && old.Message == c.Message
	})
}

func sortByName(guarantees []*resource.Guarantee) {
	slices.SortFunc(guarantees, func(a, b *resource.Guarantee) int { return strings.Compare(a.Name, b.Name) })
}
