package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// follow applies changes of the instance list, of the state (policy and weights of organisations)
// and of the membership (leaving targets that peers report) until ctx is done.
func (g *Gateway) follow(ctx context.Context) error {
	poll := time.NewTicker(instanceListPeriod)
	defer poll.Stop()
	for {
		members, changed := g.cfg.View.Changed(), g.cfg.State.Changed()
		g.applyState()
		g.applyPeerNotices()
		select {
		case <-ctx.Done():
			return nil
		case <-poll.C:
			g.pollInstances(ctx)
		case <-members:
		case <-changed:
		}
	}
}

func (g *Gateway) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			g.dispatcher.expireAndDispatch()
		}
	}
}

// pollInstances reads the platform's instance list and applies it. On an error the last list
// remains in use.
func (g *Gateway) pollInstances(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, 4*instanceListPeriod)
	defer cancel()
	list, err := g.cfg.Instances.List(ctx)
	if err != nil {
		g.log.Warn().Err(err).Msg("instance-list-failed")
		return
	}
	g.dispatcher.mu.Lock()
	changes := g.dispatcher.table.Update(g.now(), list)
	g.slots.setTargets(g.dispatcher.table.Targets())
	g.dispatcher.table.RefreshAllowances()
	g.dispatcher.dispatchLocked(g.now())
	g.dispatcher.mu.Unlock()
	for _, id := range changes.Leaving {
		g.announceLeaving(id, "platform-list")
	}
	for _, id := range changes.Returned {
		g.retractLeaving(id)
	}
}

// handleLeavingHeader is called when a target stated in a response that it is leaving.
func (g *Gateway) handleLeavingHeader(id string) {
	g.dispatcher.mu.Lock()
	marked := g.dispatcher.table.MarkLeaving(g.now(), id)
	g.dispatcher.mu.Unlock()
	if marked {
		g.announceLeaving(id, "target-header")
	}
}

// announceLeaving publishes a leaving target to the other instances. source is how this instance
// learned of it: platform-list or target-header.
func (g *Gateway) announceLeaving(id, source string) {
	g.event(timeline.TypeDecision, "target-leaving", "", id+" "+source)
	g.log.Info().Str("target", id).Str("source", source).Msg("target-leaving")
	g.cfg.View.Publish(func(info *membership.Info) {
		if slices.Contains(info.LeavingTargets, id) {
			return
		}
		ids := append(slices.Clone(info.LeavingTargets), id)
		info.LeavingTargets = ids[max(0, len(ids)-maxPublishedLeaving):]
	})
}

// retractLeaving removes a target that has returned from the published leaving targets.
func (g *Gateway) retractLeaving(id string) {
	g.event(timeline.TypeDecision, "target-returned", "", id)
	g.log.Info().Str("target", id).Msg("target-returned")
	g.cfg.View.Publish(func(info *membership.Info) {
		info.LeavingTargets = slices.DeleteFunc(slices.Clone(info.LeavingTargets), func(other string) bool { return other == id })
	})
}

// applyPeerNotices applies the leaving targets that the members publish.
func (g *Gateway) applyPeerNotices() {
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	for _, m := range g.cfg.View.Members() {
		for _, id := range m.Info.LeavingTargets {
			g.dispatcher.table.ApplyPeerNotice(g.now(), id)
		}
	}
}

// applyState applies the current policy and the weights of organisations.
func (g *Gateway) applyState() {
	policy := resource.PolicySpec{}
	weights := make(map[string]float64)
	g.cfg.State.Read(func(s *state.State) {
		if p, found := s.Policies[resource.DefaultPolicyName]; found {
			policy = p.Spec
		}
		for name, org := range s.Organisations {
			weights[name] = org.Spec.Weight
		}
	})
	g.slots.setWeights(weights)
	g.dispatcher.mu.Lock()
	defer g.dispatcher.mu.Unlock()
	g.dispatcher.queue.SetPolicy(policy.Admission)
	g.dispatcher.queue.SetOrganisationWeights(weights)
	g.dispatcher.table.SetPolicy(policy.Dispatch)
}
