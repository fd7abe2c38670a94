package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

const (
	// slotReceiver is the name of the RPC receiver of slot reports.
	slotReceiver = "Slots"
	// reportTimeout is the timeout of a slot report. It is shorter than dispatch.GrantTTL, because
	// a grant that arrives later than GrantTTL after the report was sent has expired already.
	reportTimeout = time.Second
	// minReportInterval is the minimum time between reports, also when requests begin to queue.
	minReportInterval = 100 * time.Millisecond
)

// errUnknownInstance means that a slot report names an instance that is not in the settings.
var errUnknownInstance = errors.New("gateway: slot report names an instance that is not in the settings")

// slotSharing reports the demand of this instance to the owners of targets and applies their
// grants. The owner of a target is the instance that divides the target's slots among all
// instances. As the owner of some targets, this instance replies to the reports of all instances.
type slotSharing struct {
	g         *Gateway
	instances []string
	// grants is guarded by dispatcher.mu, allocator by mu.
	grants    *dispatch.GrantTable
	mu        sync.Mutex
	allocator *dispatch.Allocator
	// inFlight has the value true for owners to which a report is in flight. Guarded by mu.
	inFlight map[string]bool
}

func newSlotSharing(g *Gateway) *slotSharing {
	ids := append(slices.Clone(g.cfg.Caller.Peers()), g.cfg.ID)
	slices.Sort(ids)
	return &slotSharing{
		g: g, instances: ids, inFlight: make(map[string]bool),
		grants:    dispatch.NewGrantTable(g.cfg.ID, ids),
		allocator: dispatch.NewAllocator(g.cfg.ID, ids, g.now()),
	}
}

func (s *slotSharing) register() error {
	return eris.Wrap(s.g.cfg.Registrar.Register(slotReceiver, &slotRPC{s}), "register slots")
}

// setTargets sets the targets that may get new requests. dispatcher.mu must be held.
func (s *slotSharing) setTargets(targets []platform.Instance) {
	s.grants.SetTargets(targets)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetTargets(targets)
}

func (s *slotSharing) setWeights(weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.allocator.SetWeights(weights)
}

// run sends reports until ctx is done: every dispatch.BusyReportPeriod while requests are queued,
// otherwise every dispatch.IdleReportPeriod. It sends them earlier when requests begin to queue.
func (s *slotSharing) run(ctx context.Context) error {
	for {
		s.reportAll(ctx)
		period := dispatch.IdleReportPeriod
		if s.g.dispatcher.hasQueued() {
			period = dispatch.BusyReportPeriod
		}
		if !sleep(ctx, minReportInterval) {
			return nil
		}
		timer := time.NewTimer(period - minReportInterval)
		select {
		case <-timer.C:
		case <-s.g.dispatcher.queueingBegan:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reportAll sends a report to each owner to which none is in flight. It does not wait for the
// replies of other instances.
func (s *slotSharing) reportAll(ctx context.Context) {
	for owner, report := range s.buildReports() {
		s.mu.Lock()
		alreadyInFlight := s.inFlight[owner]
		s.inFlight[owner] = true
		s.mu.Unlock()
		if alreadyInFlight {
			continue
		}
		if owner == s.g.cfg.ID {
			s.reportTo(ctx, owner, report)
			continue
		}
		go s.reportTo(ctx, owner, report)
	}
}

// reportTo sends a report to an owner and applies the reply.
func (s *slotSharing) reportTo(ctx context.Context, owner string, report dispatch.SlotReport) {
	sent := s.g.now()
	reply, err := s.sendReport(ctx, owner, report)
	s.mu.Lock()
	s.inFlight[owner] = false
	s.mu.Unlock()
	if err != nil {
		// The next report follows after the report period; grants that are not renewed expire.
		return
	}
	d := s.g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	s.grants.Apply(owner, reply, sent, now)
	// Scales are the weights of flows in the queue of this instance.
	d.queue.SetScales(s.grants.Scales(now))
	d.table.RefreshAllowances()
	d.dispatchLocked(now)
}

func (s *slotSharing) sendReport(ctx context.Context, owner string, report dispatch.SlotReport) (dispatch.SlotReply, error) {
	if owner == s.g.cfg.ID {
		return s.handleReport(report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply dispatch.SlotReply
	err := s.g.cfg.Caller.Call(ctx, owner, slotReceiver+".Report", report, &reply)
	return reply, err
}

// handleReport returns the reply of this instance to a report, in its role as an owner.
func (s *slotSharing) handleReport(report dispatch.SlotReport) (dispatch.SlotReply, error) {
	if !slices.Contains(s.instances, report.Instance) {
		return dispatch.SlotReply{}, errUnknownInstance
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.HandleReport(s.g.now(), report)
}

// buildReports returns the report to each owner, by the owner's id.
func (s *slotSharing) buildReports() map[string]dispatch.SlotReport {
	d := s.g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	demand := d.queue.Queued() + d.queue.Running()
	var flows []dispatch.FlowDemand
	if d.queue.Queued() > 0 {
		flows = dispatch.TopFlows(d.queue.Demand())
	}
	used := d.table.InUse()
	reports := make(map[string]dispatch.SlotReport)
	for _, t := range d.table.Targets() {
		owner := s.grants.OwnerOf(t.ID)
		report, found := reports[owner]
		if !found {
			report = dispatch.SlotReport{
				Instance: s.g.cfg.ID, Confirmed: s.grants.Confirmed(owner),
				InUse: make(map[string]int), Demand: demand, Flows: flows,
			}
			reports[owner] = report
		}
		if n := used[t.ID]; n > 0 {
			report.InUse[t.ID] = n
		}
	}
	return reports
}

// slotRPC is the RPC receiver of slot reports.
type slotRPC struct{ s *slotSharing }

// Report replies to the slot report of an instance. It returns an error if the instance is not in
// the settings, or dispatch.ErrOwnerStarting.
func (r *slotRPC) Report(report dispatch.SlotReport, reply *dispatch.SlotReply) error {
	result, err := r.s.handleReport(report)
	*reply = result
	return err
}
