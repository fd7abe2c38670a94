package dispatch

import (
	"cmp"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Periods and bounds of reports, grants and the division of slots.
const (
	// GrantTTL is how long an instance may use slots beyond its base share, measured from when
	// it sent the report that led to the grant.
	GrantTTL = 1500 * time.Millisecond
	// reductionTTL is how long a grant below the base share binds its instance, measured from
	// the receipt of the response. Meanwhile other instances may use the rest of the base share.
	// The owner grants the rest only until reductionTTL-GrantTTL after it sent the response, so
	// these grants have expired when the instance may use its whole base share again.
	reductionTTL = 3500 * time.Millisecond
	// BusyReportPeriod is the period of reports to owners while requests are queued,
	// IdleReportPeriod the period otherwise.
	BusyReportPeriod = 250 * time.Millisecond
	IdleReportPeriod = time.Second
	// minShare is the fraction of an equal share that each live instance gets even without
	// demand, so that the first requests of a small caller need not wait for a grant.
	minShare = 0.25
	// maxReportedFlows is the maximum number of flows in a report; it bounds the report's size.
	maxReportedFlows = 64
	// rebalancePeriod is the minimum time between two computations of the desired division of
	// slots. It limits the work of reports and is below BusyReportPeriod.
	rebalancePeriod = 100 * time.Millisecond
	// rebalanceThreshold limits rebalancing, as a fraction of an equal share. Slots are moved
	// only when the surpluses of two instances over their shares differ by more than twice this
	// amount (at least by more than two slots). Then they are moved until no two surpluses differ
	// by more than two slots.
	rebalanceThreshold = 0.25
	// maxStoredResponses bounds the responses that the owner stores for one instance: the last
	// confirmed one and all later ones. At the bound the owner repeats the last response.
	maxStoredResponses = 8
)

// ErrOwnerStarting means that an owner makes no grants yet, since grants from before its restart,
// which it does not know, may still be valid.
var ErrOwnerStarting = errors.New("dispatch: slot owner is starting; grants from before its restart may still be valid")

// FlowDemand is the number of requests of one flow that are queued or in progress at one instance.
type FlowDemand struct {
	Flow   admission.Flow
	Demand int
}

// SlotReport is sent by an instance to an owner of targets. It states the use of and the demand for
// slots.
type SlotReport struct {
	Instance string
	// Confirmed is the sequence number of the last response that the instance has applied.
	Confirmed uint64
	// InUse is the number of requests of the instance in progress at each of the owner's
	// targets, by target id.
	InUse map[string]int
	// Demand is the number of requests that are queued or in progress at the instance, for any
	// target.
	Demand int
	// Flows has the flows with the highest demand. It is empty while no request is queued.
	Flows []FlowDemand
}

// SlotReply is the owner's response to a SlotReport. It grants the reporting instance slots of the
// owner's targets, by target id.
type SlotReply struct {
	Sequence uint64
	Slots    map[string]int
	// Scales has the scales of reported flows at the reporting instance; see admission.Queue's
	// SetScales. A flow that is not listed has the scale 1.
	Scales []FlowScale
}

// FlowScale is the scale of a flow at one instance: its weight within its kind of work.
type FlowScale struct {
	Flow  admission.Flow
	Scale float64
}

func rendezvousHash(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}

// RankInstances returns the instances ordered by their rendezvous hash with a key, highest first.
func RankInstances(key string, instances []string) []string {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(key, b), rendezvousHash(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Owner returns the instance that grants the slots of a target.
func Owner(target string, instances []string) string { return RankInstances(target, instances)[0] }

// BaseShares returns the number of slots of a target that each instance may use without a grant, by
// instance id. The numbers add up to the target's slots.
func BaseShares(target platform.Instance, instances []string) map[string]int {
	slots, n := Slots(target), len(instances)
	shares := make(map[string]int, n)
	for rank, id := range RankInstances(target.ID, instances) {
		shares[id] = slots / n
		if rank < slots%n {
			shares[id]++
		}
	}
	return shares
}

// GrantTable contains the grants that one instance has received, by owner. It is not safe for
// concurrent use.
type GrantTable struct {
	instance   string
	instances  []string
	baseShares map[string]int
	owners     map[string]string
	grants     map[string]grant
}

type grant struct {
	response SlotReply
	// expiresAt is when slots beyond the base share may no longer be used.
	expiresAt time.Time
	// bindingUntil is when a grant of less than the base share no longer binds the instance.
	bindingUntil time.Time
}

// NewGrantTable returns the table of the given instance, without grants. instances are the ids of all
// instances in the settings.
func NewGrantTable(instance string, instances []string) *GrantTable {
	return &GrantTable{
		instance: instance, instances: instances,
		baseShares: make(map[string]int), owners: make(map[string]string), grants: make(map[string]grant),
	}
}

// SetTargets replaces the known targets and computes their owners and base shares.
func (g *GrantTable) SetTargets(targets []platform.Instance) {
	clear(g.baseShares)
	clear(g.owners)
	for _, t := range targets {
		g.baseShares[t.ID] = BaseShares(t, g.instances)[g.instance]
		g.owners[t.ID] = Owner(t.ID, g.instances)
	}
}

// OwnerOf returns the owner of a target, or an empty string if the target is not known.
func (g *GrantTable) OwnerOf(target string) string { return g.owners[target] }

// Confirmed returns the sequence number of the last applied response of an owner, or 0.
func (g *GrantTable) Confirmed(owner string) uint64 { return g.grants[owner].response.Sequence }

// Apply stores the grant in an owner's response to the report that was sent at the time sent. While
// the stored grant is binding, it ignores responses that are not newer than the stored one.
func (g *GrantTable) Apply(owner string, response SlotReply, sent, now time.Time) {
	if response.Sequence <= g.grants[owner].response.Sequence && now.Before(g.grants[owner].bindingUntil) {
		return
	}
	g.grants[owner] = grant{response: response, expiresAt: sent.Add(GrantTTL), bindingUntil: now.Add(reductionTTL)}
}

// Allowance returns the number of slots of a target that the instance may use now.
func (g *GrantTable) Allowance(now time.Time, target string) int {
	base := g.baseShares[target]
	current, known := g.grants[g.owners[target]]
	granted, listed := current.response.Slots[target]
	switch {
	case !known || !listed || !now.Before(current.bindingUntil):
		return base
	case now.Before(current.expiresAt):
		return granted
	default:
		return min(granted, base)
	}
}

// Scales merges the scales in the unexpired responses of all owners. Owners compute them from the same
// demand, so if they differ, any may be used; the scale from the owner with the highest id is returned.
func (g *GrantTable) Scales(now time.Time) map[admission.Flow]float64 {
	merged := make(map[admission.Flow]float64)
	for _, owner := range slices.Sorted(maps.Keys(g.grants)) {
		current := g.grants[owner]
		if !now.Before(current.expiresAt) {
			continue
		}
		for _, s := range current.response.Scales {
			merged[s.Flow] = s.Scale
		}
	}
	return merged
}

// TopFlows returns the flows with the highest demand in descending order, at most maxReportedFlows.
func TopFlows(demand map[admission.Flow]int) []FlowDemand {
	flows := make([]FlowDemand, 0, len(demand))
	for f, d := range demand {
		flows = append(flows, FlowDemand{f, d})
	}
	slices.SortFunc(flows, func(a, b FlowDemand) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), compareFlows(a.Flow, b.Flow))
	})
	return flows[:min(len(flows), maxReportedFlows)]
}

func compareFlows(a, b admission.Flow) int {
	return cmp.Or(cmp.Compare(a.Organisation, b.Organisation), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Caller, b.Caller))
}

// Allocator divides the slots of the targets that one instance owns among all instances. It is not
// safe for concurrent use.
//
// Each target has one owner among the instances in the settings. Instances report their demand to
// the owner, which grants them slots of the target. An instance without a valid grant uses its base
// share. The base shares of all instances add up to the target's slots. The requests at a target
// therefore never exceed its slots, also while the owner is unreachable, and instances need not agree
// on which of them are alive.
type Allocator struct {
	id           string
	instances    []string
	startedAt    time.Time
	weights      map[string]float64
	ownedTargets []platform.Instance
	// baseShares has the base shares of the owned targets, by target and instance.
	baseShares map[string]map[string]int
	// desired is the division of the owned targets' slots, by target and instance, that grants
	// approach as other instances release slots.
	desired      map[string]map[string]int
	rebalancedAt time.Time
	// unsatisfiedDemand has the total demand of each flow whose demand exceeds its fair share.
	unsatisfiedDemand map[admission.Flow]float64
	// totalSlots is the number of slots of all targets, including those of other owners.
	totalSlots int
	sequence   uint64
	reporters  map[string]*reporter
}

// reporter is what the owner stores about one reporting instance.
type reporter struct {
	reportedAt time.Time
	report     SlotReport
	// responses has the last confirmed response and all later ones. The instance may be using
	// the grant in any of them.
	responses []sentResponse
}

type sentResponse struct {
	response SlotReply
	sentAt   time.Time
}

// NewAllocator returns the allocator of the instance with the given id, which has just started.
// instances are the ids of all instances in the settings.
func NewAllocator(id string, instances []string, now time.Time) *Allocator {
	return &Allocator{
		id: id, instances: slices.Sorted(slices.Values(instances)), startedAt: now,
		// The sequence starts at the current time, so that the numbers of a restarted owner are
		// higher than those before.
		sequence:  uint64(max(now.UnixNano(), 0)),
		reporters: make(map[string]*reporter), desired: make(map[string]map[string]int),
		unsatisfiedDemand: make(map[admission.Flow]float64),
	}
}

// SetWeights sets the weights of organisations. An organisation that is not in the map has the
// weight 1.
func (a *Allocator) SetWeights(weights map[string]float64) { a.weights = weights }

// SetTargets replaces the targets. Only the slots of the targets that this instance owns are divided.
func (a *Allocator) SetTargets(targets []platform.Instance) {
	a.ownedTargets = a.ownedTargets[:0]
	a.baseShares = make(map[string]map[string]int)
	a.totalSlots = 0
	for _, t := range targets {
		a.totalSlots += Slots(t)
		if Owner(t.ID, a.instances) == a.id {
			a.ownedTargets = append(a.ownedTargets, t)
			a.baseShares[t.ID] = BaseShares(t, a.instances)
			if a.desired[t.ID] == nil {
				a.desired[t.ID] = maps.Clone(a.baseShares[t.ID])
			}
		}
	}
	maps.DeleteFunc(a.desired, func(id string, _ map[string]int) bool { return a.baseShares[id] == nil })
}

// HandleReport returns the response to the report of an instance. It returns ErrOwnerStarting during the
// first GrantTTL after the start, until grants from before a restart have expired.
func (a *Allocator) HandleReport(now time.Time, report SlotReport) (SlotReply, error) {
	if now.Sub(a.startedAt) < GrantTTL {
		return SlotReply{}, ErrOwnerStarting
	}
	r := a.reporters[report.Instance]
	if r == nil {
		r = &reporter{}
		a.reporters[report.Instance] = r
	}
	r.reportedAt, r.report = now, report
	r.dropBefore(report.Confirmed)
	if last := len(r.responses) - 1; last+1 >= maxStoredResponses {
		r.responses[last].sentAt = now
		return r.responses[last].response, nil
	}
	a.sequence++
	response := SlotReply{Sequence: a.sequence, Slots: a.slotsFor(now, report.Instance), Scales: a.scales(report)}
	r.responses = append(r.responses, sentResponse{response, now})
	return response, nil
}

// dropBefore removes responses older than the confirmed one with the given sequence number.
func (r *reporter) dropBefore(sequence uint64) {
	for len(r.responses) > 1 && r.responses[0].response.Sequence < sequence {
		r.responses = r.responses[1:]
	}
}

// committed returns the maximum number of slots of a target that an instance may be using, given
// the responses sent to it and its last report.
func (a *Allocator) committed(now time.Time, target platform.Instance, instance string) int {
	base := a.baseShares[target.ID][instance]
	r := a.reporters[instance]
	if r == nil {
		return base
	}
	used := r.report.InUse[target.ID]
	most, anyResponse := 0, false
	for _, s := range r.responses {
		slots, has := s.response.Slots[target.ID]
		if !has {
			slots = base
		}
		if now.Sub(s.sentAt) > GrantTTL {
			slots = min(slots, base)
		}
		most, anyResponse = max(most, slots), true
	}
	if !anyResponse || !r.confirmedRecently(now) {
		return max(base, most, used)
	}
	return max(most, used)
}

// confirmedRecently reports whether grants below its base share certainly bind the instance for at
// least another GrantTTL: it has confirmed a response that was sent at most reductionTTL-GrantTTL ago.
func (r *reporter) confirmedRecently(now time.Time) bool {
	if len(r.responses) == 0 || r.responses[0].response.Sequence != r.report.Confirmed {
		return false
	}
	return now.Sub(r.responses[0].sentAt) <= reductionTTL-GrantTTL
}

// isLive reports whether an instance sent a report within reductionTTL-GrantTTL.
func (a *Allocator) isLive(now time.Time, instance string) bool {
	r := a.reporters[instance]
	return r != nil && now.Sub(r.reportedAt) <= reductionTTL-GrantTTL
}

// slotsFor returns the number of slots of each owned target to grant to an instance: the desired
// number, limited to what other instances certainly do not use.
func (a *Allocator) slotsFor(now time.Time, instance string) map[string]int {
	a.rebalance(now)
	slots := make(map[string]int, len(a.ownedTargets))
	for _, t := range a.ownedTargets {
		free := Slots(t)
		for _, other := range a.instances {
			if other != instance {
				free -= a.committed(now, t, other)
			}
		}
		slots[t.ID] = max(0, min(a.desired[t.ID][instance], free))
	}
	return slots
}

// rebalance changes the desired division: it moves slots from instances with more than their share
// to those with less. It accepts small deviations, since a moved slot is idle after one instance has
// given it up and until another one has the grant.
func (a *Allocator) rebalance(now time.Time) {
	if now.Sub(a.rebalancedAt) < rebalancePeriod {
		return
	}
	a.rebalancedAt = now
	shares := a.instanceShares(now)
	total := 0
	surplus := make(map[string]float64)
	for _, t := range a.ownedTargets {
		a.fitToSlots(t, shares)
		for _, id := range a.instances {
			if _, live := shares[id]; live {
				surplus[id] += float64(a.desired[t.ID][id])
				total += a.desired[t.ID][id]
			}
		}
	}
	for id, share := range shares {
		surplus[id] -= share * float64(total)
	}
	threshold := max(1, rebalanceThreshold*float64(total)/float64(max(1, len(shares))))
	if !a.moveSlot(surplus, threshold) {
		return
	}
	for a.moveSlot(surplus, 1) {
	}
}

// fitToSlots makes the desired numbers of a target add up to its slots as far as one step allows. It
// sets those of instances that are not live to their base share, takes excess slots from the live
// instances and gives each live instance below its base share one unassigned slot while there are any.
// shares has an entry for each live instance.
func (a *Allocator) fitToSlots(t platform.Instance, shares map[string]float64) {
	desired := a.desired[t.ID]
	sum := 0
	for _, id := range a.instances {
		if _, live := shares[id]; !live {
			desired[id] = a.baseShares[t.ID][id]
		}
		sum += desired[id]
	}
	for sum > Slots(t) {
		most := ""
		for _, id := range a.instances {
			if _, live := shares[id]; live && (most == "" || desired[id] > desired[most]) {
				most = id
			}
		}
		desired[most]--
		sum--
	}
	for _, id := range a.instances {
		if _, live := shares[id]; live && sum < Slots(t) && desired[id] < a.baseShares[t.ID][id] {
			desired[id]++
			sum++
		}
	}
}

// moveSlot moves one desired slot from the instance with the largest surplus to the one with the
// smallest, if the largest is at least one slot and their difference exceeds twice the threshold. A
// negative surplus is a lack of slots.
// It reports whether it moved a slot.
func (a *Allocator) moveSlot(surplus map[string]float64, threshold float64) bool {
	from, to := "", ""
	for _, id := range a.instances {
		if _, live := surplus[id]; !live {
			continue
		}
		if from == "" || surplus[id] > surplus[from] {
			from = id
		}
		if to == "" || surplus[id] < surplus[to] {
			to = id
		}
	}
	if from == "" || surplus[from]-surplus[to] <= 2*threshold || surplus[from] < 1 {
		return false
	}
	best := ""
	for _, t := range a.ownedTargets {
		desired := a.desired[t.ID]
		if desired[from] > 0 && (best == "" || desired[from]-desired[to] > a.desired[best][from]-a.desired[best][to]) {
			best = t.ID
		}
	}
	if best == "" {
		return false
	}
	a.desired[best][from]--
	a.desired[best][to]++
	surplus[from]--
	surplus[to]++
	return true
}

// instanceShares returns the fraction of all slots that each live instance should have. It returns
// nil if no instance is live.
func (a *Allocator) instanceShares(now time.Time) map[string]float64 {
	var live []string
	for _, id := range a.instances {
		if a.isLive(now, id) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return nil
	}
	minimum := minShare / float64(len(live))
	fair := a.fairSlots(now, live)
	total := 0.0
	for _, id := range live {
		total += fair[id]
	}
	shares := make(map[string]float64, len(live))
	spare := max(0, float64(a.totalSlots)-total) / float64(len(live))
	for _, id := range live {
		share := (fair[id] + spare) / (total + spare*float64(len(live)))
		shares[id] = minimum + (1-minShare)*share
	}
	return shares
}
