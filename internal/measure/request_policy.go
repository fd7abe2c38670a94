package measure

import (
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// fifoPolicy is the baseline policy of one instance. It has one queue in order of arrival, uses its
// base share of the slots of each target, picks the target with the fewest requests, and retries a
// failed idempotent request without backoff, up to 3 attempts in total. New requests are rejected
// if the queue is full; a retry is always queued, at the end. Deadlines are not observed.
type fifoPolicy struct {
	sim       *requestSim
	queue     []*simRequest
	targets   []platform.Instance
	baseSlots map[string]int
	inUse     map[string]int
}

const (
	fifoQueueLimit  = 4096
	fifoMaxAttempts = 3
)

// newFIFOPolicies adds a fifoPolicy for each instance.
func newFIFOPolicies(s *requestSim) {
	ids := s.deployment.instanceIDs()
	for _, id := range ids {
		p := &fifoPolicy{sim: s, targets: s.deployment.targetRows(), baseSlots: make(map[string]int), inUse: make(map[string]int)}
		for _, t := range p.targets {
			p.baseSlots[t.ID] = dispatch.BaseShares(t, ids)[id]
		}
		s.policies = append(s.policies, p)
	}
}

func (p *fifoPolicy) arrive(r *simRequest) {
	if len(p.queue) >= fifoQueueLimit {
		p.sim.reject(r)
		return
	}
	p.queue = append(p.queue, r)
	p.startQueued()
}

// startQueued starts queued requests while a target has a free slot.
func (p *fifoPolicy) startQueued() {
	for len(p.queue) > 0 {
		best := ""
		for _, t := range p.targets {
			free := p.inUse[t.ID] < p.baseSlots[t.ID]
			if free && (best == "" || p.inUse[t.ID] < p.inUse[best]) {
				best = t.ID
			}
		}
		if best == "" {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.inUse[best]++
		p.sim.attempt(r, best)
	}
}

func (p *fifoPolicy) finished(r *simRequest, target string, ok bool) {
	p.inUse[target]--
	switch {
	case ok:
		p.sim.answer(r)
	case r.source.idempotent && r.attempts < fifoMaxAttempts:
		p.queue = append(p.queue, r)
	default:
		p.sim.fail(r)
	}
	p.startQueued()
}

func (p *fifoPolicy) tick() {}

// requestSharing is a way to divide the slots of the targets between the instances, so that they
// together do not exceed the limit of a target.
type requestSharing string

// Ways to divide the slots.
const (
	// sharingSubsets assigns all slots of a target to one instance.
	sharingSubsets requestSharing = "static-subsets"
	// sharingBaseShares assigns to each instance its base share of each target.
	sharingBaseShares requestSharing = "static-shares"
	// sharingGrants lets the owner of each target, the instance that allocates its slots, grant the
	// slots on demand.
	sharingGrants requestSharing = "oleanderbend"
)

// gatewayPolicy is the policy of one instance that uses the packages admission and dispatch in the
// same way as the gateway.
type gatewayPolicy struct {
	sim       *requestSim
	id        string
	sharing   requestSharing
	queue     *admission.Queue
	table     *dispatch.Table
	grants    *dispatch.GrantTable
	allocator *dispatch.Allocator
	peers     map[string]*gatewayPolicy
	// owners contains the owners of the targets, sorted and without duplicates.
	owners []string
	// hadQueue reports whether requests were queued at the end of the latest startQueued.
	hadQueue bool
	// reportedAt is when the latest reports were sent.
	reportedAt time.Time
	reports    int
}

// newGatewayPolicies adds a gatewayPolicy for each instance and returns them.
func newGatewayPolicies(s *requestSim, sharing requestSharing, seed uint64) []*gatewayPolicy {
	ids := s.deployment.instanceIDs()
	rows := s.deployment.targetRows()
	peers := make(map[string]*gatewayPolicy)
	var all []*gatewayPolicy
	for i, id := range ids {
		p := &gatewayPolicy{
			sim: s, id: id, sharing: sharing, queue: admission.New(seed + uint64(i)), peers: peers,
			grants: dispatch.NewGrantTable(id, ids),
			// The allocator is created as of GrantTTL ago, as if the instance had been running
			// for a while when the simulation starts: during the first GrantTTL an allocator
			// rejects reports.
			allocator: dispatch.NewAllocator(id, ids, s.now.Add(-dispatch.GrantTTL)),
		}
		p.grants.SetTargets(rows)
		p.allocator.SetTargets(rows)
		fixed := p.fixedShares(rows, ids)
		p.table = dispatch.New(seed+uint64(i), func(t platform.Instance) int {
			if fixed != nil {
				return fixed[t.ID]
			}
			return p.grants.Allowance(s.now, t.ID)
		})
		p.table.Update(s.now, rows)
		for _, t := range rows {
			if owner := p.grants.OwnerOf(t.ID); !slices.Contains(p.owners, owner) {
				p.owners = append(p.owners, owner)
			}
		}
		slices.Sort(p.owners)
		peers[id] = p
		all = append(all, p)
		s.policies = append(s.policies, p)
	}
	return all
}

// fixedShares returns the slots of each target that the instance may use, by target id. It returns
// nil for sharingGrants, under which they change.
func (p *gatewayPolicy) fixedShares(rows []platform.Instance, ids []string) map[string]int {
	if p.sharing == sharingGrants {
		return nil
	}
	shares := make(map[string]int)
	for _, t := range rows {
		switch {
		case p.sharing == sharingBaseShares:
			shares[t.ID] = dispatch.BaseShares(t, ids)[p.id]
		case dispatch.Owner(t.ID, ids) == p.id:
			shares[t.ID] = dispatch.Slots(t)
		}
	}
	return shares
}

func (p *gatewayPolicy) arrive(r *simRequest) {
	_, total := p.table.Capacity(p.sim.now)
	p.reject(p.queue.Enqueue(p.sim.now, &r.Request, total))
	p.startQueued()
}

// reject ends the given requests: as failed if they have been attempted, as rejected otherwise.
func (p *gatewayPolicy) reject(rejections []admission.Rejection) {
	for _, rejection := range rejections {
		r := rejection.Request.UserData.(*simRequest)
		if r.attempts > 0 {
			p.sim.fail(r)
			continue
		}
		p.sim.reject(r)
	}
}

// startQueued starts queued requests while there are free slots. If requests start to queue, it
// reports to the owners at once unless the latest report is more recent than requestTick.
func (p *gatewayPolicy) startQueued() {
	now := p.sim.now
	free, total := p.table.Capacity(now)
	for free > 0 {
		next, rejections := p.queue.Next(now, free, total)
		p.reject(rejections)
		if next == nil {
			break
		}
		r := next.UserData.(*simRequest)
		target, ok := p.table.Pick(now, r.avoid, r.source.idempotent)
		if !ok {
			panic("measure: no target to pick although a slot is free")
		}
		free--
		if r.attempts == 0 {
			p.table.AddRetryBudget()
		}
		p.sim.attempt(r, target.ID)
	}
	queueFormed := p.queue.Queued() > 0 && !p.hadQueue
	p.hadQueue = p.queue.Queued() > 0
	if queueFormed && now.Sub(p.reportedAt) >= requestTick {
		p.report()
	}
}

func (p *gatewayPolicy) finished(r *simRequest, target string, ok bool) {
	now := p.sim.now
	verdict := dispatch.Succeeded
	if !ok {
		verdict = dispatch.Failed
	}
	// slotTime includes the network delays between the instance and the target.
	slotTime := now.Sub(r.started)
	p.table.Finish(now, target, dispatch.Result{Verdict: verdict, ServiceTime: slotTime, ExpectedServiceTime: p.queue.ServiceTime(r.Flow), Caller: 1})
	p.queue.Finish(now, &r.Request, slotTime, ok)
	switch {
	case ok:
		p.sim.answer(r)
	case r.source.idempotent && p.table.TakeRetry():
		r.avoid = target
		p.sim.after(p.table.Backoff(r.attempts), func() {
			p.queue.Requeue(p.sim.now, &r.Request)
			p.startQueued()
		})
	default:
		p.sim.fail(r)
	}
	p.startQueued()
}

func (p *gatewayPolicy) tick() {
	period := dispatch.IdleReportPeriod
	if p.queue.Queued() > 0 {
		period = dispatch.BusyReportPeriod
	}
	if p.sim.now.Sub(p.reportedAt) >= period {
		p.report()
	}
	p.reject(p.queue.Expire(p.sim.now))
	p.table.RefreshAllowances()
	p.startQueued()
}

// report sends a report to the owner of each target and applies the responses.
func (p *gatewayPolicy) report() {
	if p.sharing != sharingGrants {
		return
	}
	p.reportedAt = p.sim.now
	for _, owner := range p.owners {
		p.reports++
		sent, report := p.sim.now, p.slotReport(owner)
		p.sim.after(p.sim.deployment.peerDelay, func() {
			reply, err := p.peers[owner].allocator.HandleReport(p.sim.now, report)
			if err != nil {
				return
			}
			p.sim.after(p.sim.deployment.peerDelay, func() {
				p.grants.Apply(owner, reply, sent, p.sim.now)
				p.queue.SetScales(p.grants.Scales(p.sim.now))
				p.table.RefreshAllowances()
				p.startQueued()
			})
		})
	}
}

func (p *gatewayPolicy) slotReport(owner string) dispatch.SlotReport {
	report := dispatch.SlotReport{
		Instance: p.id, Confirmed: p.grants.Confirmed(owner), InUse: make(map[string]int),
		Demand: p.queue.Queued() + p.queue.Running(),
	}
	if p.queue.Queued() > 0 {
		report.Flows = dispatch.TopFlows(p.queue.Demand())
	}
	for id, n := range p.table.InUse() {
		if p.grants.OwnerOf(id) == owner {
			report.InUse[id] = n
		}
	}
	return report
}

// newRequestPolicies adds the named policy for each instance.
func newRequestPolicies(s *requestSim, name string, seed uint64) {
	if name == requestBaseline {
		newFIFOPolicies(s)
		return
	}
	newGatewayPolicies(s, requestSharing(name), seed)
}

// requestBaseline is the name of the first-in, first-out baseline.
const requestBaseline = "baseline-fifo"
