package placement

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/ring"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// Guards against a call that leaves after the confirmation of the leadership has expired
// while the call waited.
func TestNoCallWithoutConfirmation(t *testing.T) {
	row := platform.Instance{ID: "w", Accelerators: 1}
	fleet := standin.NewFleet(standin.FleetConfig{Workers: []platform.Instance{row}})
	r := newDispatcher(fleet, platform.Epoch{Number: 1}, func() bool { return false }, time.Now)
	op := Op{Call: gang.Call{Kind: gang.CallReserve, Worker: "w", Leases: []platform.LeaseID{{JobUID: "u"}}, TTL: time.Second}, Worker: row}
	answers := r.callWithTimeout(context.Background(), []Op{op})
	require.ErrorIs(t, answers[0].Err, platform.ErrUnavailable)
	require.Empty(t, fleet.Snapshot("w"))
}

// Guards against one slow worker that delays the renewals of the others.
func TestSlowWorkerDelaysNoOther(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 3, perRack: 3, nodes: threeNodes})
		for i := range 3 {
			sys.put(testJob([]string{"a", "b", "c"}[i], 1, 8, "duration=1h"))
		}
		for _, name := range []string{"a", "b", "c"} {
			sys.eventually(time.Minute, "running", sys.phase(name, resource.PhaseRunning))
		}
		slow := sys.job("a").Status.Workers[0]
		require.NoError(t, sys.fleet.SetFaults(slow, standin.WorkerFaults{CallFaults: standin.CallFaults{Silent: true}}))
		time.Sleep(time.Minute)
		require.Equal(t, 1, sys.job("b").Status.Starts)
		require.Equal(t, 1, sys.job("c").Status.Starts)
		require.Equal(t, 2, sys.active())
	})
}

// Guards against a result that is released at its worker although it found no room to wait
// for the log.
func TestFullResultRingKeepsResultsAtWorkers(t *testing.T) {
	c := newZoneSimulation(t, 4, 2)
	c.run(time.Second)
	c.zone.dirty = ring.New[string](1)
	c.logDown = true
	for i := range 2 {
		for _, id := range c.state.Jobs[[]string{"job-0000", "job-0001"}[i]].Status.Workers[:1] {
			require.NoError(t, c.fleet.SetFaults(id, standin.WorkerFaults{FailAll: true}))
		}
	}
	c.run(10 * time.Second)
	require.Len(t, c.zone.pending, 1, "only one result fits")
	for i := range 2 {
		require.Equal(t, capacityMembers, c.leasesOf(1<<32+uint64(i)), "nothing is released before it is recorded")
	}
	c.logDown = false
	c.run(5 * time.Second)
	for i := range 2 {
		require.Zero(t, c.leasesOf(1<<32+uint64(i)))
	}
	for _, name := range []string{"job-0000", "job-0001"} {
		require.Positive(t, c.state.Jobs[name].Status.Failures, name)
	}
}

// leasesOf counts the leases of an attempt at all workers.
func (c *zoneSimulation) leasesOf(attempt uint64) int {
	n := 0
	for _, row := range c.rows {
		for _, lease := range c.fleet.Snapshot(row.ID) {
			if lease.ID.Attempt == attempt {
				n++
			}
		}
	}
	return n
}
