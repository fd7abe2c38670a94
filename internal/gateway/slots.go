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
	// slotReceiver is the name of the rpc receiver of slot reports.
	slotReceiver = "Slots"
	// reportTimeout is below dispatch.GrantTTL, since a later reply grants nothing.
	reportTimeout = time.Second
	// minReportInterval is the least time between reports that a queue asks for.
	minReportInterval = 100 * time.Millisecond
)

// errUnknownInstance means that a report names an instance that is not in the settings.
var errUnknownInstance = errors.New("gateway: report of an unknown instance")

// slotSharing reports to the owners of targets and answers reports as an owner.
type slotSharing struct {
	g         *Gateway
	instances []string
	// grants is guarded by core.mu, lender by mu.
	grants    *dispatch.GrantTable
	mu        sync.Mutex
	allocator *dispatch.Allocator
	// inFlight has the owners whose reply is awaited. Guarded by mu.
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

// setTargets takes the targets that may get requests. It is called with core.mu held.
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

// run sends reports until ctx is done: often while requests wait, seldom otherwise.
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
		case <-s.g.dispatcher.backlogBegan:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reportAll sends a report to each owner that has answered the last one.
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

func (s *slotSharing) reportTo(ctx context.Context, owner string, report dispatch.SlotReport) {
	sent := s.g.now()
	reply, err := s.sendReport(ctx, owner, report)
	s.mu.Lock()
	s.inFlight[owner] = false
	s.mu.Unlock()
	if err != nil {
		return
	}
	d := s.g.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	s.grants.Apply(owner, reply, sent, now)
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

func (s *slotSharing) handleReport(report dispatch.SlotReport) (dispatch.SlotReply, error) {
	if !slices.Contains(s.instances, report.Instance) {
		return dispatch.SlotReply{}, errUnknownInstance
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.allocator.HandleReport(s.g.now(), report)
}

// buildReports returns the report to each owner.
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

// slotRPC has the rpc methods of slot sharing.
type slotRPC struct{ s *slotSharing }

// Report answers the report of an instance.
func (r *slotRPC) Report(report dispatch.SlotReport, reply *dispatch.SlotReply) error {
	result, err := r.s.handleReport(report)
	*reply = result
	return err
}
