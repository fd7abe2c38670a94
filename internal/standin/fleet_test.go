package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

func testRows(n int) []platform.Instance {
	rows := make([]platform.Instance, n)
	for i := range rows {
		rows[i] = platform.Instance{ID: string(rune('a' + i)), Kind: platform.KindWorker, State: platform.StateLive, Accelerators: 8}
	}
	return rows
}

func leaseID(member int) platform.LeaseID {
	return platform.LeaseID{JobUID: "job", Attempt: 1, Member: member}
}

var firstEpoch = platform.Epoch{Number: 1, Holder: "i1"}

func reserveAndStart(t *testing.T, f *Fleet, row platform.Instance, payload string, ttl float64, members ...platform.LeaseID) {
	t.Helper()
	task := platform.TaskSpec{Members: 2, Accelerators: 4, Cores: 10, Payload: payload}
	require.NoError(t, f.Reserve(t.Context(), row, platform.ReserveRequest{Epoch: firstEpoch, Leases: members, Task: task, TTLSeconds: 5}))
	_, err := f.Start(t.Context(), row, platform.LeaseRequest{Epoch: firstEpoch, Leases: members, TTLSeconds: ttl})
	require.NoError(t, err)
}

// Guards against a reservation that reserves some members of a gang and rejects others because the
// worker has too few free accelerators for all.
func TestReserveIsAllOrNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := testRows(1)[0]
		f := NewFleet(FleetConfig{Workers: []platform.Instance{row}})
		req := platform.ReserveRequest{Epoch: firstEpoch, Task: platform.TaskSpec{Accelerators: 4}, TTLSeconds: 5}
		req.Leases = []platform.LeaseID{leaseID(0), leaseID(1), leaseID(2)}
		require.ErrorIs(t, f.Reserve(t.Context(), row, req), platform.ErrNoCapacity)
		require.Empty(t, f.Snapshot("a"))
		req.Leases = req.Leases[:2]
		require.NoError(t, f.Reserve(t.Context(), row, req))
		require.NoError(t, f.Reserve(t.Context(), row, req), "repeating a call has no further effect")
		time.Sleep(5 * time.Second)
		require.Equal(t, platform.LeaseStopped, f.Snapshot("a")[0].State)
	})
}

// Guards against a replaced leader that still renews, stops or releases leases: the worker must
// reject its epoch after it has seen a newer one.
func TestStaleEpochIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := testRows(1)[0]
		f := NewFleet(FleetConfig{Workers: []platform.Instance{row}})
		reserveAndStart(t, f, row, "", 10, leaseID(0))
		_, err := f.Leases(t.Context(), row, platform.Epoch{Number: 1, Holder: "i2"})
		require.NoError(t, err)
		req := platform.LeaseRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{leaseID(0)}, TTLSeconds: 10}
		_, err = f.Renew(t.Context(), row, req)
		require.ErrorIs(t, err, platform.ErrStaleEpoch)
		_, err = f.Stop(t.Context(), row, req)
		require.ErrorIs(t, err, platform.ErrStaleEpoch)
		require.ErrorIs(t, f.Release(t.Context(), row, req), platform.ErrStaleEpoch)
		require.Equal(t, platform.LeaseRunning, f.Snapshot("a")[0].State)
	})
}

// Guards against errors in the simulated times of tasks: success, failure and expiry of the lease,
// also with a lease clock that runs fast or slow and on a frozen worker.
func TestTaskTimes(t *testing.T) {
	cases := map[string]struct {
		payload string
		ttl     float64
		faults  WorkerFaults
		after   time.Duration
		state   platform.LeaseState
		ran     float64
	}{
		"succeeds":       {payload: "duration=3s", ttl: 10, after: 5 * time.Second, state: platform.LeaseSucceeded, ran: 3},
		"fails":          {payload: "duration=3s fail=2s", ttl: 10, after: 5 * time.Second, state: platform.LeaseFailed, ran: 2},
		"bad payload":    {payload: "duration", ttl: 10, state: platform.LeaseFailed},
		"expires":        {payload: "duration=30s", ttl: 10, after: 11 * time.Second, state: platform.LeaseStopped, ran: 10},
		"fast clock":     {payload: "duration=30s", ttl: 10, faults: WorkerFaults{ClockRate: 2}, after: 6 * time.Second, state: platform.LeaseStopped, ran: 5},
		"slow clock":     {payload: "duration=30s", ttl: 10, faults: WorkerFaults{ClockRate: 0.5}, after: 12 * time.Second, state: platform.LeaseRunning, ran: 12},
		"frozen expires": {payload: "duration=3s", ttl: 10, faults: WorkerFaults{Frozen: true}, after: 12 * time.Second, state: platform.LeaseStopped},
		"fails all":      {payload: "duration=3s", ttl: 10, faults: WorkerFaults{FailAll: true}, state: platform.LeaseFailed},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				row := testRows(1)[0]
				f := NewFleet(FleetConfig{Workers: []platform.Instance{row}})
				reserveAndStart(t, f, row, c.payload, c.ttl, leaseID(0))
				require.NoError(t, f.SetFaults("a", c.faults))
				time.Sleep(c.after)
				got := f.Snapshot("a")[0]
				require.Equal(t, c.state, got.State)
				require.InDelta(t, c.ran, got.RanSeconds, 1e-6)
			})
		})
	}
}

// Guards against a checkpoint that is reported before it is complete, and against a task that loses
// or repeats work when it resumes from a checkpoint.
func TestCheckpointAndResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := testRows(1)[0]
		f := NewFleet(FleetConfig{Workers: []platform.Instance{row}})
		reserveAndStart(t, f, row, "duration=8s checkpoint=2s", 20, leaseID(0))
		time.Sleep(5 * time.Second)
		req := platform.LeaseRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{leaseID(0)}}
		_, err := f.Checkpoint(t.Context(), row, req)
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.Empty(t, f.Snapshot("a")[0].Checkpoint)
		time.Sleep(time.Second)
		checkpoint := f.Snapshot("a")[0].Checkpoint
		require.NotEmpty(t, checkpoint)
		require.InDelta(t, 2, f.Snapshot("a")[0].CheckpointAgeSeconds, 1e-6)
		_, err = f.Stop(t.Context(), row, req)
		require.NoError(t, err)
		require.NoError(t, f.Release(t.Context(), row, req))

		next := platform.LeaseID{JobUID: "job", Attempt: 2, Member: 0}
		task := platform.TaskSpec{Accelerators: 1, Payload: "duration=8s", Checkpoint: checkpoint}
		require.NoError(t, f.Reserve(t.Context(), row, platform.ReserveRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{next}, Task: task, TTLSeconds: 5}))
		_, err = f.Start(t.Context(), row, platform.LeaseRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{next}, TTLSeconds: 20})
		require.NoError(t, err)
		time.Sleep(4 * time.Second)
		got := f.Snapshot("a")[0]
		require.Equal(t, platform.LeaseSucceeded, got.State)
		require.InDelta(t, 3, got.RanSeconds, 1e-6)
	})
}

// Guards against recorded runs that miss a time in which only a part of a gang was running.
func TestLongestPartialTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := testRows(2)
		f := NewFleet(FleetConfig{Workers: rows})
		reserveAndStart(t, f, rows[0], "duration=60s", 10, leaseID(0))
		time.Sleep(2 * time.Second)
		reserveAndStart(t, f, rows[1], "duration=60s", 3, leaseID(1))
		time.Sleep(20 * time.Second)
		longest := f.LongestPartialTimes()[AttemptID{JobUID: "job", Attempt: 1}]
		require.Equal(t, 5*time.Second, longest, "from the expiry of the second member until that of the first")
	})
}

// Guards against faults that report a wrong outcome: a call that took effect although it returned
// ErrUnavailable, or a delayed call or a call to a frozen worker that never takes effect.
func TestWorkerCallFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		row := testRows(1)[0]
		f := NewFleet(FleetConfig{Workers: []platform.Instance{row}})
		reserve := func(member int) error {
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			return f.Reserve(ctx, row, platform.ReserveRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{leaseID(member)},
				Task: platform.TaskSpec{Accelerators: 1}, TTLSeconds: 60})
		}
		require.NoError(t, f.SetFaults("a", WorkerFaults{CallFaults: CallFaults{Outage: true}}))
		require.ErrorIs(t, reserve(0), platform.ErrUnavailable)
		require.Empty(t, f.Snapshot("a"))

		require.NoError(t, f.SetFaults("a", WorkerFaults{CallFaults: CallFaults{LoseResponses: 1}}))
		require.ErrorIs(t, reserve(1), platform.ErrUnknownOutcome)
		require.Len(t, f.Snapshot("a"), 1)

		require.NoError(t, f.SetFaults("a", WorkerFaults{Frozen: true}))
		require.ErrorIs(t, reserve(2), platform.ErrUnknownOutcome)
		require.Len(t, f.Snapshot("a"), 1)
		require.NoError(t, f.SetFaults("a", WorkerFaults{CallFaults: CallFaults{Delay: settings.Duration(3 * time.Second)}}))
		require.Len(t, f.Snapshot("a"), 2, "a call to a frozen worker takes effect when the worker continues")
		require.ErrorIs(t, reserve(3), platform.ErrUnknownOutcome)
		time.Sleep(3 * time.Second)
		require.Len(t, f.Snapshot("a"), 3, "a delayed call takes effect although its caller gave up")

		require.NoError(t, f.SetFaults("a", WorkerFaults{Crashed: true}))
		require.ErrorIs(t, reserve(4), platform.ErrUnavailable)
		require.Empty(t, f.Snapshot("a"))
	})
}
