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

// followChanges applies changes of the instance list, of the state (policy and weights of
// organisations) and of the membership (leaving targets that peers report) until ctx is done.
// While the instance list is read, the other changes wait.
func (g *Gateway) followChanges(ctx context.Context) error {
	listTicker := time.NewTicker(instanceListPeriod)
	defer listTicker.Stop()
	for {
		viewChanged, stateChanged := g.cfg.View.Changed(), g.cfg.State.Changed()
		g.applyState()
		g.applyPeerNotices()
		select {
		case <-ctx.Done():
			return nil
		case <-listTicker.C:
			g.readInstances(ctx)
		case <-viewChanged:
		case <-stateChanged:
		}
	}
}

// expirePeriodically calls expireAndDispatch every tickPeriod until ctx is done.
func (g *Gateway) expirePeriodically(ctx context.Context) error {
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

// readInstances reads the platform's instance list and applies it. On an error the last list
// remains in use.
func (g *Gateway) readInstances(ctx context.Context) {
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
		g.publishLeaving(id, "platform-list")
	}
	for _, id := range changes.Returned {
		g.unpublishLeaving(id)
	}
}

// handleLeavingHeader is called when a target stated in a response that it is leaving.
func (g *Gateway) handleLeavingHeader(id string) {
	g.dispatcher.mu.Lock()
	marked := g.dispatcher.table.MarkLeaving(g.now(), id)
	g.dispatcher.mu.Unlock()
	if marked {
		g.publishLeaving(id, "target-header")
	}
}

// publishLeaving publishes a leaving target to the other instances. source is how this instance
// learned of it: platform-list or target-header.
func (g *Gateway) publishLeaving(id, source string) {
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

// unpublishLeaving removes a target that the platform lists as live again from the leaving targets
// that this instance publishes.
func (g *Gateway) unpublishLeaving(id string) {
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
