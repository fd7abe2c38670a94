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

// Guards against a call to a worker without a confirmed leadership. The confirmation can expire while
// an op waits in the queue, so it must be checked right before the call.
func TestNoCallWithoutConfirmation(t *testing.T) {
	row := platform.Instance{ID: "w", Accelerators: 1}
	fleet := standin.NewFleet(standin.FleetConfig{Workers: []platform.Instance{row}})
	d := newDispatcher(fleet, platform.Epoch{Number: 1}, func() bool { return false }, time.Now)
	op := Op{Call: gang.Call{Kind: gang.CallReserve, Worker: "w", Leases: []platform.LeaseID{{JobUID: "u"}}, TTL: time.Second}, Worker: row}
	opResults := d.callWithTimeout(context.Background(), []Op{op})
	require.ErrorIs(t, opResults[0].Err, platform.ErrUnavailable)
	require.Empty(t, fleet.Snapshot("w"))
}

// Guards against a worker that does not respond and thereby delays the renewals at other workers, so
// that their gangs lose their leases and start again.
func TestSlowWorkerDelaysNoOther(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 3, perRack: 3, nodes: threeNodes})
		for i := range 3 {
			sys.put(testJob([]string{"a", "b", "c"}[i], 1, 8, "duration=1h"))
		}
		for _, name := range []string{"a", "b", "c"} {
			sys.eventually(time.Minute, "running", sys.inPhase(name, resource.PhaseRunning))
		}
		slow := sys.job("a").Status.Workers[0]
		require.NoError(t, sys.fleet.SetFaults(slow, standin.WorkerFaults{CallFaults: standin.CallFaults{Silent: true}}))
		time.Sleep(time.Minute)
		require.Equal(t, 1, sys.job("b").Status.Starts)
		require.Equal(t, 1, sys.job("c").Status.Starts)
		require.Equal(t, 2, sys.activeLeases())
	})
}

// Guards against the release of leases at a worker before the outcome of their attempt is recorded.
// While the log is down, an outcome may find the ring of dirty statuses full; the leases must then
// stay at the worker until the outcome is recorded.
func TestFullDirtyRingKeepsLeasesAtWorkers(t *testing.T) {
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
	require.Len(t, c.zone.pending, 1, "only one status fits into the ring")
	for i := range 2 {
		require.Equal(t, capacityMembers, c.countLeases(1<<32+uint64(i)), "nothing is released before it is recorded")
	}
	c.logDown = false
	c.run(5 * time.Second)
	for i := range 2 {
		require.Zero(t, c.countLeases(1<<32+uint64(i)))
	}
	for _, name := range []string{"job-0000", "job-0001"} {
		require.Positive(t, c.state.Jobs[name].Status.Failures, name)
	}
}

// countLeases returns the number of leases of an attempt at all workers.
func (c *zoneSimulation) countLeases(attempt uint64) int {
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
