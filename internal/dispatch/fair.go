package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/admission"
)

// fairSlots returns the number of slots of all targets that each live instance needs so that each
// flow gets its fair share over all instances. Demand at an instance that is not attributed to a
// reported flow counts as one additional flow of that instance.
func (a *Allocator) fairSlots(now time.Time, live []string) map[string]float64 {
	demand := a.demandByFlow(live)
	flows := make([]admission.Flow, 0, len(demand))
	for f := range demand {
		flows = append(flows, f)
	}
	slices.SortFunc(flows, compareFlows)
	shares := make(map[admission.Flow]float64, len(flows))
	a.divideFairly(flows, demand, float64(a.totalSlots), levelOrganisation, shares)
	a.recordUnsatisfied(demand, shares)
	result := make(map[string]float64, len(live))
	for _, f := range flows {
		total := demand[f].total
		for _, id := range live {
			if d := demand[f].byInstance[id]; d > 0 {
				result[id] += shares[f] * d / total
			}
		}
	}
	return result
}

// flowDemand is the number of requests of one flow that are queued or in progress.
type flowDemand struct {
	total      float64
	byInstance map[string]float64
}

// demandByFlow adds up the demand of each flow in the reports of the live instances.
func (a *Allocator) demandByFlow(live []string) map[admission.Flow]*flowDemand {
	demand := make(map[admission.Flow]*flowDemand)
	add := func(f admission.Flow, id string, amount float64) {
		d := demand[f]
		if d == nil {
			d = &flowDemand{byInstance: make(map[string]float64)}
			demand[f] = d
		}
		d.total += amount
		d.byInstance[id] += amount
	}
	for _, id := range live {
		report := a.reporters[id].report
		unreported := report.Demand
		for _, f := range report.Flows {
			add(f.Flow, id, float64(f.Demand))
			unreported -= f.Demand
		}
		if unreported > 0 {
			add(admission.Flow{Caller: id}, id, float64(unreported))
		}
	}
	return demand
}

// Levels of the tree of flows. At levelFlow, all parts of the flow's key are fixed.
const (
	levelOrganisation = iota
	levelKind
	levelCaller
	levelFlow
)

func levelKey(f admission.Flow, level int) string {
	switch level {
	case levelOrganisation:
		return f.Organisation
	case levelKind:
		return f.Kind
	default:
		return f.Caller
	}
}

// group is a set of flows that are equal down to one level of the tree.
type group struct {
	flows  []admission.Flow
	demand float64
	weight float64
}

// divideFairly divides slots among flows by weighted max-min fairness at each level of the tree, and
// stores the result in shares. flows must be sorted and be equal above the given level.
func (a *Allocator) divideFairly(flows []admission.Flow, demand map[admission.Flow]*flowDemand, slots float64, level int, shares map[admission.Flow]float64) {
	if level == levelFlow {
		shares[flows[0]] = min(slots, demand[flows[0]].total)
		return
	}
	var groups []group
	for _, f := range flows {
		last := len(groups) - 1
		if last < 0 || levelKey(groups[last].flows[0], level) != levelKey(f, level) {
			groups = append(groups, group{weight: a.weight(f, level)})
			last++
		}
		groups[last].flows = append(groups[last].flows, f)
		groups[last].demand += demand[f].total
	}
	// Groups with the lowest demand relative to their weight come first. What they do not need
	// is divided among the groups after them.
	slices.SortStableFunc(groups, func(x, y group) int { return cmp.Compare(x.demand/x.weight, y.demand/y.weight) })
	weights := 0.0
	for _, g := range groups {
		weights += g.weight
	}
	for _, g := range groups {
		allocated := min(g.demand, slots*g.weight/weights)
		a.divideFairly(g.flows, demand, allocated, level+1, shares)
		slots -= allocated
		weights -= g.weight
	}
}

// weight returns the weight of the group of f at a level: that of the organisation at
// levelOrganisation, and 1 for every kind and caller.
func (a *Allocator) weight(f admission.Flow, level int) float64 {
	if w := a.weights[f.Organisation]; level == levelOrganisation && w > 0 {
		return w
	}
	return 1
}

// recordUnsatisfied stores the total demand of each flow whose demand exceeds its fair share.
func (a *Allocator) recordUnsatisfied(demand map[admission.Flow]*flowDemand, shares map[admission.Flow]float64) {
	// A demand is a whole number, so a smaller difference is a rounding error.
	const rounding = 0.5
	clear(a.unsatisfiedDemand)
	for f, d := range demand {
		if shares[f] < d.total-rounding {
			a.unsatisfiedDemand[f] = d.total
		}
	}
}

// scales returns the scales of the reported flows at the reporting instance: the fraction of a flow's
// total demand that this instance has. Only flows with unsatisfied demand are scaled: a small demand
// is spread over instances by chance. Organisations and kinds have no scale: the scales of their flows
// suffice, and the fraction of an organisation's demand at one instance does not show how much of the
// demand of its small callers is there.
func (a *Allocator) scales(report SlotReport) []FlowScale {
	var result []FlowScale
	for _, f := range report.Flows {
		if total := a.unsatisfiedDemand[f.Flow]; total > float64(f.Demand) {
			result = append(result, FlowScale{Flow: f.Flow, Scale: float64(f.Demand) / total})
		}
	}
	return result
}
