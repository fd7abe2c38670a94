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

// Each target has one owner among the instances in the settings. The owner lends the slots of
// its targets to the instances by demand. Without a reply of the owner, an instance uses its
// base share, which sums to the target's slots over all instances, so that no limit is
// exceeded while the owner is silent and no view needs to be agreed on.
const (
	// GrantTTL is how long slots beyond the base share may be used, from the sending of the
	// report that they answer.
	GrantTTL = 1500 * time.Millisecond
	// reductionTTL is how long an instance keeps to a grant below its base share, from the receipt
	// of the reply. Slots of a yielded base share are lent only while reductionTTL-GrantTTL has
	// not passed, so the borrower's right ends before the lender's returns.
	reductionTTL = 3500 * time.Millisecond
	// BusyReportPeriod and IdleReportPeriod are the periods of reports to owners.
	BusyReportPeriod = 250 * time.Millisecond
	IdleReportPeriod = time.Second
	// minShare is the part of its equal share that each live instance keeps without demand,
	// so that the first requests of a small caller need not wait for a grant.
	minShare = 0.25
	// maxReportedFlows bounds the size of a report.
	maxReportedFlows = 64
	// rebalancePeriod bounds the work of dividing slots; it is below BusyReportPeriod.
	rebalancePeriod = 100 * time.Millisecond
	// rebalanceThreshold is the difference from its part, relative to an equal part, that an
	// instance may have before slots are moved. Then all differences are evened out.
	rebalanceThreshold = 0.25
	// maxUnconfirmedReplies bounds the replies that the owner remembers for one instance.
	maxUnconfirmedReplies = 8
)

// ErrOwnerStarting means that the owner does not know yet what its predecessor lent.
var ErrOwnerStarting = errors.New("dispatch: owner is starting")

// FlowDemand is the number of requests, queued and in progress, of one flow at one instance.
type FlowDemand struct {
	Flow   admission.Flow
	Demand int
}

// SlotReport tells the owner what an instance uses and wants.
type SlotReport struct {
	Instance string
	// Confirmed is the sequence number of the last reply that the instance applies.
	Confirmed uint64
	// InUse has the requests in progress at the owner's targets.
	InUse map[string]int
	// Demand is the number of requests queued and in progress at the instance.
	Demand int
	// Flows has the flows with the highest demand. It is empty without a queue.
	Flows []FlowDemand
}

// SlotReply grants slots until GrantTTL has passed from the sending of the report.
type SlotReply struct {
	Sequence uint64
	Slots    map[string]int
	// Scales are factors for the shares of the reported flows at the reporting instance.
	Scales []FlowScale
}

// FlowScale is a factor for the share of a flow at one instance.
type FlowScale struct {
	Flow  admission.Flow
	Scale float64
}

func rendezvousHash(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}

// RankInstances returns the instances by rendezvous hash of a key, highest first.
func RankInstances(key string, instances []string) []string {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(key, b), rendezvousHash(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Owner returns the instance that lends the slots of a target.
func Owner(target string, instances []string) string { return RankInstances(target, instances)[0] }

// BaseShares returns the slots of a target that each instance may use without a grant. They
// sum to the target's slots.
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

// GrantTable keeps the grants of one instance.
type GrantTable struct {
	instance   string
	instances  []string
	baseShares map[string]int
	owners     map[string]string
	grants     map[string]grant
}

type grant struct {
	reply SlotReply
	// expiresAt ends the use beyond the base share, yields the duty to keep to less.
	expiresAt    time.Time
	bindingUntil time.Time
}

// NewGrantTable returns a holder without grants. instances are all instances in the settings.
func NewGrantTable(instance string, instances []string) *GrantTable {
	return &GrantTable{
		instance: instance, instances: instances,
		baseShares: make(map[string]int), owners: make(map[string]string), grants: make(map[string]grant),
	}
}

// SetTargets computes base shares and owners of the given targets.
func (g *GrantTable) SetTargets(targets []platform.Instance) {
	clear(g.baseShares)
	clear(g.owners)
	for _, t := range targets {
		g.baseShares[t.ID] = BaseShares(t, g.instances)[g.instance]
		g.owners[t.ID] = Owner(t.ID, g.instances)
	}
}

// OwnerOf returns the owner of a tracked target.
func (g *GrantTable) OwnerOf(target string) string { return g.owners[target] }

// Confirmed returns the sequence number of the last reply of an owner.
func (g *GrantTable) Confirmed(owner string) uint64 { return g.grants[owner].reply.Sequence }

// Apply takes a reply to the report sent at the given time.
func (g *GrantTable) Apply(owner string, reply SlotReply, sent, now time.Time) {
	if reply.Sequence <= g.grants[owner].reply.Sequence && now.Before(g.grants[owner].bindingUntil) {
		return
	}
	g.grants[owner] = grant{reply: reply, expiresAt: sent.Add(GrantTTL), bindingUntil: now.Add(reductionTTL)}
}

// Allowance returns the slots of a target that the instance may use now.
func (g *GrantTable) Allowance(now time.Time, target string) int {
	base := g.baseShares[target]
	current, known := g.grants[g.owners[target]]
	granted, listed := current.reply.Slots[target]
	switch {
	case !known || !listed || !now.Before(current.bindingUntil):
		return base
	case now.Before(current.expiresAt):
		return granted
	default:
		return min(granted, base)
	}
}

// Scales merges the scales of all valid replies. They come from the same reports, so the
// last one in order of the owners' ids is as good as any.
func (g *GrantTable) Scales(now time.Time) map[admission.Flow]float64 {
	merged := make(map[admission.Flow]float64)
	for _, owner := range slices.Sorted(maps.Keys(g.grants)) {
		current := g.grants[owner]
		if !now.Before(current.expiresAt) {
			continue
		}
		for _, s := range current.reply.Scales {
			merged[s.Flow] = s.Scale
		}
	}
	return merged
}

// TopFlows returns the flows with the highest demand, at most maxReportedFlows.
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

// Allocator is the owner's side: it divides the slots of its targets.
type Allocator struct {
	id        string
	instances []string
	startedAt time.Time
	weights   map[string]float64
	targets   []platform.Instance
	// baseShares has the baseShares shares of the owned targets by target and instance.
	baseShares map[string]map[string]int
	// desired has the division of the owned targets that the lender works towards.
	desired      map[string]map[string]int
	rebalancedAt time.Time
	// unsatisfiedDemand has the total demand of flows that want more than their fair share.
	unsatisfiedDemand map[admission.Flow]float64
	totalSlots        int
	sequence          uint64
	reporters         map[string]*reporter
}

type reporter struct {
	reportedAt time.Time
	report     SlotReport
	// replies are the last confirmed reply and those after it, any of which may be in use.
	replies []sentReply
}

type sentReply struct {
	reply  SlotReply
	sentAt time.Time
}

// NewAllocator returns the lender of an instance that starts now.
func NewAllocator(id string, instances []string, now time.Time) *Allocator {
	return &Allocator{
		id: id, instances: slices.Sorted(slices.Values(instances)), startedAt: now,
		// The sequence begins at the start time, so that replies of a restarted owner are newer.
		sequence:  uint64(max(now.UnixNano(), 0)),
		reporters: make(map[string]*reporter), desired: make(map[string]map[string]int),
		unsatisfiedDemand: make(map[admission.Flow]float64),
	}
}

// SetWeights sets the weights of organisations; those not named have weight 1.
func (a *Allocator) SetWeights(weights map[string]float64) { a.weights = weights }

// SetTargets takes the current targets and keeps those that this instance owns.
func (a *Allocator) SetTargets(targets []platform.Instance) {
	a.targets = a.targets[:0]
	a.baseShares = make(map[string]map[string]int)
	a.totalSlots = 0
	for _, t := range targets {
		a.totalSlots += Slots(t)
		if Owner(t.ID, a.instances) == a.id {
			a.targets = append(a.targets, t)
			a.baseShares[t.ID] = BaseShares(t, a.instances)
			if a.desired[t.ID] == nil {
				a.desired[t.ID] = maps.Clone(a.baseShares[t.ID])
			}
		}
	}
	maps.DeleteFunc(a.desired, func(id string, _ map[string]int) bool { return a.baseShares[id] == nil })
}

// HandleReport answers the report of an instance. It returns ErrOwnerStarting until grants of an
// earlier run of this owner have expired.
func (a *Allocator) HandleReport(now time.Time, report SlotReport) (SlotReply, error) {
	if now.Sub(a.startedAt) < GrantTTL {
		return SlotReply{}, ErrOwnerStarting
	}
	b := a.reporters[report.Instance]
	if b == nil {
		b = &reporter{}
		a.reporters[report.Instance] = b
	}
	b.reportedAt, b.report = now, report
	b.dropBefore(report.Confirmed)
	if last := len(b.replies) - 1; last+1 >= maxUnconfirmedReplies {
		b.replies[last].sentAt = now
		return b.replies[last].reply, nil
	}
	a.sequence++
	reply := SlotReply{Sequence: a.sequence, Slots: a.slotsFor(now, report.Instance), Scales: a.scales(report)}
	b.replies = append(b.replies, sentReply{reply, now})
	return reply, nil
}

func (b *reporter) dropBefore(sequence uint64) {
	for len(b.replies) > 1 && b.replies[0].reply.Sequence < sequence {
		b.replies = b.replies[1:]
	}
}

// committed returns the slots of a target that an instance may be using.
func (a *Allocator) committed(now time.Time, target platform.Instance, instance string) int {
	base := a.baseShares[target.ID][instance]
	b := a.reporters[instance]
	if b == nil {
		return base
	}
	used := b.report.InUse[target.ID]
	most, listed := 0, false
	for _, s := range b.replies {
		slots, has := s.reply.Slots[target.ID]
		if !has {
			slots = base
		}
		if now.Sub(s.sentAt) > GrantTTL {
			slots = min(slots, base)
		}
		most, listed = max(most, slots), true
	}
	if !listed || !b.confirmedRecently(now) {
		return max(base, most, used)
	}
	return max(most, used)
}

// confirmedRecently reports whether the instance certainly keeps to its replies: it has confirmed one
// that it received less than yieldTTL-GrantTTL ago.
func (b *reporter) confirmedRecently(now time.Time) bool {
	if len(b.replies) == 0 || b.replies[0].reply.Sequence != b.report.Confirmed {
		return false
	}
	return now.Sub(b.replies[0].sentAt) <= reductionTTL-GrantTTL
}

// isLive reports whether an instance reports lately.
func (a *Allocator) isLive(now time.Time, instance string) bool {
	b := a.reporters[instance]
	return b != nil && now.Sub(b.reportedAt) <= reductionTTL-GrantTTL
}

// slotsFor returns the slots of each owned target for one instance: the wanted division, as
// far as others have given back what they hold.
func (a *Allocator) slotsFor(now time.Time, instance string) map[string]int {
	a.rebalance(now)
	slots := make(map[string]int, len(a.targets))
	for _, t := range a.targets {
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

// rebalance moves wanted slots from instances that have more than their part to those that
// have less. Small differences are left, since a slot on the move serves nobody.
func (a *Allocator) rebalance(now time.Time) {
	if now.Sub(a.rebalancedAt) < rebalancePeriod {
		return
	}
	a.rebalancedAt = now
	shares := a.instanceShares(now)
	total := 0
	surplus := make(map[string]float64)
	for _, t := range a.targets {
		a.restoreBaseShares(t, shares)
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

// restoreBaseShares gives instances that are not live their base share of a target back and hands
// slots that nobody has to the live instances.
func (a *Allocator) restoreBaseShares(t platform.Instance, shares map[string]float64) {
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

// moveSlot moves one slot from the instance with the largest surplus to the one with the
// largest lack, if both exceed the band. It reports whether it did.
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
	for _, t := range a.targets {
		w := a.desired[t.ID]
		if w[from] > 0 && (best == "" || w[from]-w[to] > a.desired[best][from]-a.desired[best][to]) {
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

// instanceShares returns the part of all slots that each live instance should have.
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
