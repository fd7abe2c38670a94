package gang

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

var begin = time.Unix(1000, 0)

func pairSpec() Spec {
	return Spec{
		Job: "job", UID: "uid", Attempt: 7, Workers: []string{"a", "b"}, RenewalBase: begin,
		Task: platform.TaskSpec{Members: 2, Accelerators: 1},
	}
}

// respond passes g a response to call that reports the same state for all of its leases.
func respond(g *Gang, now time.Time, call Call, state platform.LeaseState) {
	result := CallResult{Sent: now}
	for _, id := range call.Leases {
		result.Results = append(result.Results, platform.LeaseResult{ID: id, Known: true, Lease: platform.Lease{ID: id, State: state}})
	}
	if call.Kind == CallReserve {
		result.Results = nil
	}
	g.HandleResult(now, call, result)
}

func respondAll(g *Gang, now time.Time, calls []Call, state platform.LeaseState) {
	for _, call := range calls {
		respond(g, now, call, state)
	}
}

func kinds(calls []Call) []CallKind {
	var out []CallKind
	for _, call := range calls {
		out = append(out, call.Kind)
	}
	return out
}

// running returns a gang whose two members have run since begin, one on each worker.
func running(t *testing.T) *Gang {
	t.Helper()
	g := New(begin, pairSpec())
	respondAll(g, begin, g.Next(begin), platform.LeaseReserved)
	g.Commit(begin)
	respondAll(g, begin, g.Next(begin), platform.LeaseRunning)
	require.Equal(t, Running, g.Phase())
	// The first renewal is due at once.
	respondAll(g, begin, g.Next(begin), platform.LeaseRunning)
	return g
}

// Guards against starting a member before all members are reserved and the attempt is committed.
func TestNoStartBeforeAllAreReservedAndCommitted(t *testing.T) {
	g := New(begin, pairSpec())
	calls := g.Next(begin)
	require.Equal(t, []CallKind{CallReserve, CallReserve}, kinds(calls))
	respond(g, begin, calls[0], platform.LeaseReserved)
	g.Commit(begin)
	require.Empty(t, g.Next(begin))
	respond(g, begin, calls[1], platform.LeaseReserved)
	require.True(t, g.NeedsCommit())
	require.Empty(t, g.Next(begin))
	g.Commit(begin)
	require.Equal(t, []CallKind{CallStart, CallStart}, kinds(g.Next(begin)))
}

// Guards against starting members after their reservations have expired. This happens if the
// leader process is paused between the reservation and the commit.
func TestExpiredReservationsAreRepeatedBeforeStart(t *testing.T) {
	g := New(begin, pairSpec())
	respondAll(g, begin, g.Next(begin), platform.LeaseReserved)
	now := begin.Add(ReservedTTL)
	g.Commit(now)
	calls := g.Next(now)
	require.Equal(t, []CallKind{CallReserve, CallReserve}, kinds(calls))
	respond(g, now, calls[0], platform.LeaseReserved)
	g.HandleResult(now, calls[1], CallResult{Sent: now, Err: platform.ErrNoCapacity})
	outcome, _ := g.Outcome()
	require.Equal(t, NotStarted, outcome)
}

// Guards against starting a member twice because the response to the first start was lost.
func TestWorkerIsQueriedAfterLostResponse(t *testing.T) {
	g := New(begin, pairSpec())
	respondAll(g, begin, g.Next(begin), platform.LeaseReserved)
	g.Commit(begin)
	calls := g.Next(begin)
	respond(g, begin, calls[0], platform.LeaseRunning)
	g.HandleResult(begin, calls[1], CallResult{Sent: begin, Err: platform.ErrUnknownOutcome})
	later := begin.Add(retryInterval)
	require.Equal(t, []CallKind{CallQuery}, kinds(g.Next(later)))
}

// Guards against renewing some members while another is not confirmed, after which only a part of
// the gang would continue to run.
func TestRenewalNeedsAllMembersConfirmed(t *testing.T) {
	g := running(t)
	now := begin.Add(RenewPeriod)
	calls := g.Next(now)
	require.Equal(t, []CallKind{CallRenew, CallRenew}, kinds(calls))
	respond(g, now, calls[0], platform.LeaseRunning)
	g.HandleResult(now, calls[1], CallResult{Sent: now, Err: platform.ErrUnknownOutcome})
	for now.Before(begin.Add(lossTimeout)) {
		now = now.Add(100 * time.Millisecond)
		for _, call := range g.Next(now) {
			require.Equal(t, CallQuery, call.Kind)
			g.HandleResult(now, call, CallResult{Sent: now, Err: platform.ErrUnknownOutcome})
		}
	}
	require.Equal(t, Running, g.Phase())
	g.Next(now.Add(time.Second))
	require.Equal(t, Stopping, g.Phase())
}

// Guards against a gang that continues to run after a member failed or was stopped.
func TestLossOfOneMemberStopsAll(t *testing.T) {
	for state, want := range map[platform.LeaseState]Outcome{platform.LeaseFailed: Failed, platform.LeaseStopped: Lost} {
		g := running(t)
		now := begin.Add(RenewPeriod)
		calls := g.Next(now)
		respond(g, now, calls[0], state)
		respond(g, now, calls[1], platform.LeaseRunning)
		require.Equal(t, Stopping, g.Phase())
		outcome, _ := g.Outcome()
		require.Equal(t, want, outcome)
		stops := g.Next(now)
		require.Equal(t, []CallKind{CallStop}, kinds(stops))
		require.Equal(t, "b", stops[0].Worker)
		respondAll(g, now, stops, platform.LeaseStopped)
		require.Equal(t, Done, g.Phase())
	}
}

// Guards against a new leader that restarts a gang, stops it without need or ignores it. The old
// leader may have failed at any step between the first reservation and the last result.
func TestAdoptionAtEveryStep(t *testing.T) {
	const (
		none      = platform.LeaseState("")
		reserved  = platform.LeaseReserved
		runs      = platform.LeaseRunning
		succeeded = platform.LeaseSucceeded
	)
	cases := []struct {
		a, b      platform.LeaseState
		committed bool
		phase     Phase
		outcome   Outcome
	}{
		{reserved, none, false, Stopping, NotStarted},
		{reserved, reserved, false, Stopping, NotStarted},
		{reserved, reserved, true, Starting, ""},
		{runs, reserved, true, Starting, ""},
		{runs, reserved, false, Starting, ""},
		{runs, none, true, Stopping, Lost},
		{runs, runs, true, Running, ""},
		{runs, succeeded, true, Running, ""},
		{succeeded, succeeded, true, Done, Succeeded},
		{runs, platform.LeaseFailed, true, Stopping, Failed},
		{none, none, true, Done, Lost},
	}
	for _, c := range cases {
		var found []FoundLease
		for member, state := range []platform.LeaseState{c.a, c.b} {
			if state != none {
				lease := platform.Lease{ID: platform.LeaseID{JobUID: "uid", Attempt: 7, Member: member}, State: state, ExpiresInSeconds: 3}
				found = append(found, FoundLease{Worker: pairSpec().Workers[member], Lease: lease})
			}
		}
		g := Adopt(begin, begin, pairSpec(), found, c.committed, nil)
		require.Equal(t, c.phase, g.Phase(), "%+v", c)
		outcome, _ := g.Outcome()
		require.Equal(t, c.outcome, outcome, "%+v", c)
	}
}

// Guards against placing a job again while an unreachable worker may still run a member.
func TestUnreachableWorkerBlocksJobUntilLeaseExpires(t *testing.T) {
	g := Adopt(begin, begin, pairSpec(), nil, true, []string{"a", "b"})
	require.Equal(t, Adopting, g.Phase())
	now := begin
	for !g.Settled() {
		for _, call := range g.Next(now) {
			g.HandleResult(now, call, CallResult{Sent: now, Err: platform.ErrUnavailable})
		}
		now = now.Add(100 * time.Millisecond)
		// The job must be released at most one ExpiryMargin after the lease counts as expired.
		require.Less(t, now.Sub(begin), RunningTTL+2*ExpiryMargin)
	}
	require.GreaterOrEqual(t, now.Sub(begin), RunningTTL+ExpiryMargin)
}
