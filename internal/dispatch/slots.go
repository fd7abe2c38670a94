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
	// yieldTTL is how long an instance keeps to a grant below its base share, from the receipt
	// of the reply. Slots of a yielded base share are lent only while yieldTTL-GrantTTL has
	// not passed, so the borrower's right ends before the lender's returns.
	yieldTTL = 3500 * time.Millisecond
	// BusyReportPeriod and IdleReportPeriod are the periods of reports to owners.
	BusyReportPeriod = 250 * time.Millisecond
	IdleReportPeriod = time.Second
	// floorShare is the part of its equal share that each live instance keeps without demand,
	// so that the first requests of a small caller need not wait for a grant.
	floorShare = 0.25
	// maxReportedFlows bounds the size of a report.
	maxReportedFlows = 64
	// rebalancePeriod bounds the work of dividing slots; it is below BusyReportPeriod.
	rebalancePeriod = 100 * time.Millisecond
	// rebalanceBand is the difference from its part, relative to an equal part, that an
	// instance may have before slots are moved. Then all differences are evened out.
	rebalanceBand = 0.25
	// maxUnconfirmed bounds the replies that the owner remembers for one instance.
	maxUnconfirmed = 8
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

func rendezvous(key, instance string) uint64 {
	return xxhash.Sum64String(key + "\x00" + instance)
}

// RankInstances returns the instances by rendezvous hash of a key, highest first.
func RankInstances(key string, instances []string) []string {
	ranked := slices.Clone(instances)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvous(key, b), rendezvous(key, a)), cmp.Compare(a, b))
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
	instance  string
	instances []string
	base      map[string]int
	owner     map[string]string
	grants    map[string]grant
}

type grant struct {
	reply SlotReply
	// until ends the use beyond the base share, yields the duty to keep to less.
	until  time.Time
	yields time.Time
}

// NewGrantTable returns a holder without grants. instances are all instances in the settings.
func NewGrantTable(instance string, instances []string) *GrantTable {
	return &GrantTable{
		instance: instance, instances: instances,
		base: make(map[string]int), owner: make(map[string]string), grants: make(map[string]grant),
	}
}

// SetTargets computes base shares and owners of the given targets.
func (h *GrantTable) SetTargets(targets []platform.Instance) {
	clear(h.base)
	clear(h.owner)
	for _, t := range targets {
		h.base[t.ID] = BaseShares(t, h.instances)[h.instance]
		h.owner[t.ID] = Owner(t.ID, h.instances)
	}
}

// OwnerOf returns the owner of a tracked target.
func (h *GrantTable) OwnerOf(target string) string { return h.owner[target] }

// Confirmed returns the sequence number of the last reply of an owner.
func (h *GrantTable) Confirmed(owner string) uint64 { return h.grants[owner].reply.Sequence }

// Apply takes a reply to the report sent at the given time.
func (h *GrantTable) Apply(owner string, reply SlotReply, sent, now time.Time) {
	if reply.Sequence <= h.grants[owner].reply.Sequence && now.Before(h.grants[owner].yields) {
		return
	}
	h.grants[owner] = grant{reply: reply, until: sent.Add(GrantTTL), yields: now.Add(yieldTTL)}
}

// Allowance returns the slots of a target that the instance may use now.
func (h *GrantTable) Allowance(now time.Time, target string) int {
	base := h.base[target]
	g, known := h.grants[h.owner[target]]
	granted, listed := g.reply.Slots[target]
	switch {
	case !known || !listed || !now.Before(g.yields):
		return base
	case now.Before(g.until):
		return granted
	default:
		return min(granted, base)
	}
}

// Scales merges the scales of all valid replies. They come from the same reports, so the
// last one in order of the owners' ids is as good as any.
func (h *GrantTable) Scales(now time.Time) map[admission.Flow]float64 {
	merged := make(map[admission.Flow]float64)
	for _, owner := range slices.Sorted(maps.Keys(h.grants)) {
		g := h.grants[owner]
		if !now.Before(g.until) {
			continue
		}
		for _, s := range g.reply.Scales {
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
	started   time.Time
	weights   map[string]float64
	targets   []platform.Instance
	// base has the base shares of the owned targets by target and instance.
	base map[string]map[string]int
	// wanted has the division of the owned targets that the lender works towards.
	wanted     map[string]map[string]int
	rebalanced time.Time
	// unsatisfied has the total demand of flows that want more than their fair share.
	unsatisfied map[admission.Flow]float64
	allSlots    int
	sequence    uint64
	borrowers   map[string]*borrower
}

type borrower struct {
	reported time.Time
	report   SlotReport
	// replies are the last confirmed reply and those after it, any of which may be in use.
	replies []sentReply
}

type sentReply struct {
	reply SlotReply
	at    time.Time
}

// NewAllocator returns the lender of an instance that starts now.
func NewAllocator(id string, instances []string, now time.Time) *Allocator {
	return &Allocator{
		id: id, instances: slices.Sorted(slices.Values(instances)), started: now,
		// The sequence begins at the start time, so that replies of a restarted owner are newer.
		sequence:  uint64(max(now.UnixNano(), 0)),
		borrowers: make(map[string]*borrower), wanted: make(map[string]map[string]int),
		unsatisfied: make(map[admission.Flow]float64),
	}
}

// SetWeights sets the weights of organisations; those not named have weight 1.
func (l *Allocator) SetWeights(weights map[string]float64) { l.weights = weights }

// SetTargets takes the current targets and keeps those that this instance owns.
func (l *Allocator) SetTargets(targets []platform.Instance) {
	l.targets = l.targets[:0]
	l.base = make(map[string]map[string]int)
	l.allSlots = 0
	for _, t := range targets {
		l.allSlots += Slots(t)
		if Owner(t.ID, l.instances) == l.id {
			l.targets = append(l.targets, t)
			l.base[t.ID] = BaseShares(t, l.instances)
			if l.wanted[t.ID] == nil {
				l.wanted[t.ID] = maps.Clone(l.base[t.ID])
			}
		}
	}
	maps.DeleteFunc(l.wanted, func(id string, _ map[string]int) bool { return l.base[id] == nil })
}

// HandleReport answers the report of an instance. It returns ErrOwnerStarting until grants of an
// earlier run of this owner have expired.
func (l *Allocator) HandleReport(now time.Time, report SlotReport) (SlotReply, error) {
	if now.Sub(l.started) < GrantTTL {
		return SlotReply{}, ErrOwnerStarting
	}
	b := l.borrowers[report.Instance]
	if b == nil {
		b = &borrower{}
		l.borrowers[report.Instance] = b
	}
	b.reported, b.report = now, report
	b.confirm(report.Confirmed)
	if last := len(b.replies) - 1; last+1 >= maxUnconfirmed {
		b.replies[last].at = now
		return b.replies[last].reply, nil
	}
	l.sequence++
	reply := SlotReply{Sequence: l.sequence, Slots: l.divide(now, report.Instance), Scales: l.scales(report)}
	b.replies = append(b.replies, sentReply{reply, now})
	return reply, nil
}

func (b *borrower) confirm(sequence uint64) {
	for len(b.replies) > 1 && b.replies[0].reply.Sequence < sequence {
		b.replies = b.replies[1:]
	}
}

// committed returns the slots of a target that an instance may be using.
func (l *Allocator) committed(now time.Time, target platform.Instance, instance string) int {
	base := l.base[target.ID][instance]
	b := l.borrowers[instance]
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
		if now.Sub(s.at) > GrantTTL {
			slots = min(slots, base)
		}
		most, listed = max(most, slots), true
	}
	if !listed || !b.bound(now) {
		return max(base, most, used)
	}
	return max(most, used)
}

// bound reports whether the instance certainly keeps to its replies: it has confirmed one
// that it received less than yieldTTL-GrantTTL ago.
func (b *borrower) bound(now time.Time) bool {
	if len(b.replies) == 0 || b.replies[0].reply.Sequence != b.report.Confirmed {
		return false
	}
	return now.Sub(b.replies[0].at) <= yieldTTL-GrantTTL
}

// live reports whether an instance reports lately.
func (l *Allocator) live(now time.Time, instance string) bool {
	b := l.borrowers[instance]
	return b != nil && now.Sub(b.reported) <= yieldTTL-GrantTTL
}

// divide returns the slots of each owned target for one instance: the wanted division, as
// far as others have given back what they hold.
func (l *Allocator) divide(now time.Time, instance string) map[string]int {
	l.rebalance(now)
	slots := make(map[string]int, len(l.targets))
	for _, t := range l.targets {
		free := Slots(t)
		for _, other := range l.instances {
			if other != instance {
				free -= l.committed(now, t, other)
			}
		}
		slots[t.ID] = max(0, min(l.wanted[t.ID][instance], free))
	}
	return slots
}

// rebalance moves wanted slots from instances that have more than their part to those that
// have less. Small differences are left, since a slot on the move serves nobody.
func (l *Allocator) rebalance(now time.Time) {
	if now.Sub(l.rebalanced) < rebalancePeriod {
		return
	}
	l.rebalanced = now
	parts := l.parts(now)
	total := 0
	surplus := make(map[string]float64)
	for _, t := range l.targets {
		l.returnBase(t, parts)
		for _, id := range l.instances {
			if _, live := parts[id]; live {
				surplus[id] += float64(l.wanted[t.ID][id])
				total += l.wanted[t.ID][id]
			}
		}
	}
	for id, part := range parts {
		surplus[id] -= part * float64(total)
	}
	band := max(1, rebalanceBand*float64(total)/float64(max(1, len(parts))))
	if !l.moveSlot(surplus, band) {
		return
	}
	for l.moveSlot(surplus, 1) {
	}
}

// returnBase gives instances that are not live their base share of a target back and hands
// slots that nobody has to the live instances.
func (l *Allocator) returnBase(t platform.Instance, parts map[string]float64) {
	wanted := l.wanted[t.ID]
	sum := 0
	for _, id := range l.instances {
		if _, live := parts[id]; !live {
			wanted[id] = l.base[t.ID][id]
		}
		sum += wanted[id]
	}
	for sum > Slots(t) {
		most := ""
		for _, id := range l.instances {
			if _, live := parts[id]; live && (most == "" || wanted[id] > wanted[most]) {
				most = id
			}
		}
		wanted[most]--
		sum--
	}
	for _, id := range l.instances {
		if _, live := parts[id]; live && sum < Slots(t) && wanted[id] < l.base[t.ID][id] {
			wanted[id]++
			sum++
		}
	}
}

// moveSlot moves one slot from the instance with the largest surplus to the one with the
// largest lack, if both exceed the band. It reports whether it did.
func (l *Allocator) moveSlot(surplus map[string]float64, band float64) bool {
	from, to := "", ""
	for _, id := range l.instances {
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
	if from == "" || surplus[from]-surplus[to] <= 2*band || surplus[from] < 1 {
		return false
	}
	best := ""
	for _, t := range l.targets {
		w := l.wanted[t.ID]
		if w[from] > 0 && (best == "" || w[from]-w[to] > l.wanted[best][from]-l.wanted[best][to]) {
			best = t.ID
		}
	}
	if best == "" {
		return false
	}
	l.wanted[best][from]--
	l.wanted[best][to]++
	surplus[from]--
	surplus[to]++
	return true
}

// parts returns the part of all slots that each live instance should have.
func (l *Allocator) parts(now time.Time) map[string]float64 {
	var live []string
	for _, id := range l.instances {
		if l.live(now, id) {
			live = append(live, id)
		}
	}
	if len(live) == 0 {
		return nil
	}
	floor := floorShare / float64(len(live))
	fair := l.fairSlots(now, live)
	total := 0.0
	for _, id := range live {
		total += fair[id]
	}
	parts := make(map[string]float64, len(live))
	spare := max(0, float64(l.allSlots)-total) / float64(len(live))
	for _, id := range live {
		share := (fair[id] + spare) / (total + spare*float64(len(live)))
		parts[id] = floor + (1-floorShare)*share
	}
	return parts
}
