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
	// kickInterval is the least time between reports that a queue asks for.
	kickInterval = 100 * time.Millisecond
)

// errUnknownInstance means that a report names an instance that is not in the settings.
var errUnknownInstance = errors.New("gateway: report of an unknown instance")

// slotSharing reports to the owners of targets and answers reports as an owner.
type slotSharing struct {
	g         *Gateway
	instances []string
	// holder is guarded by core.mu, lender by mu.
	holder *dispatch.GrantTable
	mu     sync.Mutex
	lender *dispatch.Allocator
	// pending has the owners whose reply is awaited. Guarded by mu.
	pending map[string]bool
}

func newSlotSharing(g *Gateway) *slotSharing {
	ids := append(slices.Clone(g.cfg.Caller.Peers()), g.cfg.ID)
	slices.Sort(ids)
	return &slotSharing{
		g: g, instances: ids, pending: make(map[string]bool),
		holder: dispatch.NewGrantTable(g.cfg.ID, ids),
		lender: dispatch.NewAllocator(g.cfg.ID, ids, g.now()),
	}
}

func (s *slotSharing) register() error {
	return eris.Wrap(s.g.cfg.Registrar.Register(slotReceiver, &slotRPC{s}), "register slots")
}

// setTargets takes the targets that may get requests. It is called with core.mu held.
func (s *slotSharing) setTargets(targets []platform.Instance) {
	s.holder.SetTargets(targets)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lender.SetTargets(targets)
}

func (s *slotSharing) setWeights(weights map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lender.SetWeights(weights)
}

// run sends reports until ctx is done: often while requests wait, seldom otherwise.
func (s *slotSharing) run(ctx context.Context) error {
	for {
		s.reportAll(ctx)
		period := dispatch.IdleReportPeriod
		if s.g.core.busy() {
			period = dispatch.BusyReportPeriod
		}
		if !sleep(ctx, kickInterval) {
			return nil
		}
		timer := time.NewTimer(period - kickInterval)
		select {
		case <-timer.C:
		case <-s.g.core.starved:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// reportAll sends a report to each owner that has answered the last one.
func (s *slotSharing) reportAll(ctx context.Context) {
	for owner, report := range s.reports() {
		s.mu.Lock()
		waiting := s.pending[owner]
		s.pending[owner] = true
		s.mu.Unlock()
		if waiting {
			continue
		}
		if owner == s.g.cfg.ID {
			s.exchange(ctx, owner, report)
			continue
		}
		go s.exchange(ctx, owner, report)
	}
}

func (s *slotSharing) exchange(ctx context.Context, owner string, report dispatch.SlotReport) {
	sent := s.g.now()
	reply, err := s.report(ctx, owner, report)
	s.mu.Lock()
	s.pending[owner] = false
	s.mu.Unlock()
	if err != nil {
		return
	}
	c := s.g.core
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s.holder.Apply(owner, reply, sent, now)
	c.queue.SetScales(s.holder.Scales(now))
	c.table.RefreshAllowances()
	c.pumpLocked(now)
}

func (s *slotSharing) report(ctx context.Context, owner string, report dispatch.SlotReport) (dispatch.SlotReply, error) {
	if owner == s.g.cfg.ID {
		return s.answer(report)
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply dispatch.SlotReply
	err := s.g.cfg.Caller.Call(ctx, owner, slotReceiver+".Report", report, &reply)
	return reply, err
}

func (s *slotSharing) answer(report dispatch.SlotReport) (dispatch.SlotReply, error) {
	if !slices.Contains(s.instances, report.Instance) {
		return dispatch.SlotReply{}, errUnknownInstance
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lender.HandleReport(s.g.now(), report)
}

// reports returns the report to each owner.
func (s *slotSharing) reports() map[string]dispatch.SlotReport {
	c := s.g.core
	c.mu.Lock()
	defer c.mu.Unlock()
	demand := c.queue.Queued() + c.queue.Running()
	var flows []dispatch.FlowDemand
	if c.queue.Queued() > 0 {
		flows = dispatch.TopFlows(c.queue.Demand())
	}
	used := c.table.InUse()
	reports := make(map[string]dispatch.SlotReport)
	for _, t := range c.table.Targets() {
		owner := s.holder.OwnerOf(t.ID)
		report, begun := reports[owner]
		if !begun {
			report = dispatch.SlotReport{
				Instance: s.g.cfg.ID, Confirmed: s.holder.Confirmed(owner),
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
	answer, err := r.s.answer(report)
	*reply = answer
	return err
}
