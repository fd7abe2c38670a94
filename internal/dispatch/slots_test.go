package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

var testStart = time.Unix(1_000_000, 0)

func targetRows(n int) []platform.Instance {
	rows := make([]platform.Instance, n)
	for i := range rows {
		rows[i] = platform.Instance{ID: fmt.Sprintf("t%02d", i), Kind: platform.KindTarget, State: platform.StateLive, Slots: 8, Connections: 64}
	}
	return rows
}

func instanceIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%d", i)
	}
	return ids
}

// slotNetwork connects allocators and grant tables of several instances. It delivers reports and
// responses late, out of order or not at all.
type slotNetwork struct {
	now        time.Time
	ids        []string
	targets    []platform.Instance
	allocators map[string]*Allocator
	grants     map[string]*GrantTable
	inFlight   []func()
}

func newSlotNetwork(instances, targets int) *slotNetwork {
	n := &slotNetwork{now: testStart, ids: instanceIDs(instances), targets: targetRows(targets), allocators: map[string]*Allocator{}, grants: map[string]*GrantTable{}}
	for _, id := range n.ids {
		n.startAllocator(id)
		n.startGrants(id)
	}
	return n
}

func (n *slotNetwork) startAllocator(id string) {
	n.allocators[id] = NewAllocator(id, n.ids, n.now)
	n.allocators[id].SetTargets(n.targets)
}

func (n *slotNetwork) startGrants(id string) {
	n.grants[id] = NewGrantTable(id, n.ids)
	n.grants[id].SetTargets(n.targets)
}

// report sends a report to an owner. The report and then its response are queued in inFlight.
func (n *slotNetwork) report(from, to string, demand int) {
	grants, sent := n.grants[from], n.now
	r := SlotReport{Instance: from, Confirmed: grants.Confirmed(to), Demand: demand}
	n.inFlight = append(n.inFlight, func() {
		response, err := n.allocators[to].HandleReport(n.now, r)
		if err != nil {
			return
		}
		n.inFlight = append(n.inFlight, func() { grants.Apply(to, response, sent, n.now) })
	})
}

// check returns an error if the allowances for a target add up to more than its slots.
func (n *slotNetwork) check() error {
	for _, t := range n.targets {
		sum := 0
		for _, id := range n.ids {
			sum += n.grants[id].Allowance(n.now, t.ID)
		}
		if sum > Slots(t) {
			return fmt.Errorf("%s: %d slots allowed of %d at %s", t.ID, sum, Slots(t), n.now.Sub(testStart))
		}
	}
	return nil
}

// Guards against allowances that add up to more than a target's slots while reports and responses are
// late, lost or out of order and owners restart.
func TestAllowancesNeverExceedSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := newSlotNetwork(rapid.IntRange(1, 10).Draw(t, "instances"), 3)
		id := rapid.SampledFrom(n.ids)
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if err := n.check(); err != nil {
					t.Fatal(err)
				}
			},
			"wait": func(t *rapid.T) {
				n.now = n.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
			"report": func(t *rapid.T) {
				n.report(id.Draw(t, "from"), id.Draw(t, "to"), rapid.IntRange(0, 100).Draw(t, "demand"))
			},
			"deliver": func(t *rapid.T) {
				if len(n.inFlight) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(n.inFlight)-1).Draw(t, "message")
				message := n.inFlight[i]
				n.inFlight = append(n.inFlight[:i], n.inFlight[i+1:]...)
				message()
			},
			"exchange": func(t *rapid.T) {
				for _, from := range n.ids {
					for _, to := range n.ids {
						grants, allocator := n.grants[from], n.allocators[to]
						response, err := allocator.HandleReport(n.now, SlotReport{Instance: from, Confirmed: grants.Confirmed(to), Demand: rapid.IntRange(0, 100).Draw(t, "demand")})
						if err == nil {
							grants.Apply(to, response, n.now, n.now)
						}
					}
				}
			},
			"lose":         func(*rapid.T) { n.inFlight = nil },
			"restartOwner": func(t *rapid.T) { n.startAllocator(id.Draw(t, "owner")) },
		})
	})
}

// Guards against slots that stay granted to idle instances while requests are queued at another one.
func TestSlotsFollowDemand(t *testing.T) {
	n := newSlotNetwork(6, 48)
	for range 20 {
		n.now = n.now.Add(BusyReportPeriod)
		for i, from := range n.ids {
			for _, to := range n.ids {
				demand := 0
				if i == 0 {
					demand = 1000
				}
				n.report(from, to, demand)
			}
		}
		for len(n.inFlight) > 0 {
			message := n.inFlight[0]
			n.inFlight = n.inFlight[1:]
			message()
		}
		require.NoError(t, n.check())
	}
	sum := 0
	for _, target := range n.targets {
		sum += n.grants["e0"].Allowance(n.now, target.ID)
	}
	// A quarter of the slots (minShare) is divided equally, whatever the demand.
	require.GreaterOrEqual(t, sum, 48*8*3/4)
}

// Guards against a caller that gains a larger share by sending its requests to several instances.
func TestFlowAtSeveralInstancesGetsOneShare(t *testing.T) {
	a := NewAllocator("e0", instanceIDs(2), testStart)
	a.SetTargets(targetRows(10))
	big := admission.Flow{Organisation: "o", Kind: "k", Caller: "big"}
	small := admission.Flow{Organisation: "o", Kind: "k", Caller: "small"}
	now := testStart.Add(GrantTTL)
	reports := []SlotReport{
		{Instance: "e0", Demand: 600, Flows: []FlowDemand{{big, 300}, {small, 300}}},
		{Instance: "e1", Demand: 300, Flows: []FlowDemand{{big, 300}}},
	}
	report := func(i int) SlotReply {
		response, err := a.HandleReport(now, reports[i])
		require.NoError(t, err)
		return response
	}
	report(0)
	report(1)
	now = now.Add(rebalancePeriod)
	report(1)
	response := report(1)
	fair := a.fairSlots(now, a.instances)
	require.InDelta(t, 60, fair["e0"], 0.01)
	require.InDelta(t, 20, fair["e1"], 0.01)
	require.Equal(t, []FlowScale{{Flow: big, Scale: 0.5}}, response.Scales)
}

// Guards against granting the base share of an instance to others while its reports arrive but all
// responses to it are lost: the instance returns to its base share when its last grant no longer
// binds it.
func TestUnconfirmedReductionIsNotGrantedToOthers(t *testing.T) {
	n := newSlotNetwork(2, 6)
	reports := func(loseFrom time.Duration) {
		for _, from := range n.ids {
			for _, to := range n.ids {
				grants := n.grants[from]
				demand := 1000 * int(from[1]-'0') // 0 for e0, 1000 for e1
				response, err := n.allocators[to].HandleReport(n.now, SlotReport{Instance: from, Confirmed: grants.Confirmed(to), Demand: demand})
				lost := from == "e0" && n.now.Sub(testStart) > loseFrom
				if err == nil && !lost {
					grants.Apply(to, response, n.now, n.now)
				}
			}
		}
	}
	for n.now.Sub(testStart) < 15*time.Second {
		n.now = n.now.Add(BusyReportPeriod)
		reports(5 * time.Second)
		require.NoError(t, n.check())
	}
}
