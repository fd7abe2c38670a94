package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

func newTable(targets int) *Table {
	t := New(1, nil)
	t.Update(testStart, targetRows(targets))
	return t
}

// fill occupies all free slots and returns the number of slots occupied at each target.
func fill(table *Table, now time.Time) map[string]int {
	counts := make(map[string]int)
	for target, ok := table.Pick(now, "", true); ok; target, ok = table.Pick(now, "", true) {
		counts[target.ID]++
	}
	return counts
}

// Guards against a target that fails quickly, therefore always has free slots and attracts most
// requests, and against full load on a target that returns from ejection.
func TestFastFailingTargetIsEjectedAndReturnsHalfOpen(t *testing.T) {
	table := newTable(4)
	now, hits := testStart, 0
	for range 1000 {
		now = now.Add(time.Millisecond)
		for id, count := range fill(table, now) {
			r := Result{Verdict: Succeeded, ServiceTime: time.Millisecond, ExpectedServiceTime: time.Millisecond, Caller: 1}
			if id == "t00" {
				r.Verdict = Failed
				hits += count
			}
			for range count {
				table.Finish(now, id, r)
			}
		}
	}
	require.Equal(t, 8, hits)
	require.Equal(t, 1, fill(table, now.Add(10*time.Second))["t00"])
}

// Guards against a single caller whose requests always fail and thereby eject targets that other
// callers need.
func TestOneCallerCannotEjectTargets(t *testing.T) {
	table := newTable(1)
	for range 100 {
		_, ok := table.Pick(testStart, "", true)
		require.True(t, ok)
		require.False(t, table.Finish(testStart, "t00", Result{Verdict: ErrorResponse, Caller: 1}))
	}
	table.Pick(testStart, "", true)
	require.True(t, table.Finish(testStart, "t00", Result{Verdict: ErrorResponse, Caller: 2}))
}

// Guards against a slow target that accumulates requests while other targets have free slots.
func TestSlowTargetGetsFewRequests(t *testing.T) {
	table := newTable(4)
	for range 50 {
		for id, count := range fill(table, testStart) {
			serviceTime := time.Second
			if id == "t00" {
				serviceTime = 10 * time.Second
			}
			for range count {
				table.Finish(testStart, id, Result{Verdict: Succeeded, ServiceTime: serviceTime, ExpectedServiceTime: time.Second})
			}
		}
	}
	counts := fill(table, testStart)
	require.LessOrEqual(t, counts["t00"], 2)
	require.Equal(t, 8, counts["t01"])
}

// Guards against new requests to a target that leaves or is no longer listed, and against losing
// count of its requests in progress.
func TestLeavingTargetIsNotPicked(t *testing.T) {
	rows := targetRows(2)
	table := newTable(2)
	for range 16 {
		table.Pick(testStart, "", true)
	}
	rows[0].State = platform.StateLeaving
	require.Equal(t, []string{"t00"}, table.Update(testStart, rows).Leaving)
	require.Equal(t, 8, table.InUse()["t00"])
	table.Update(testStart, rows[1:])
	require.Equal(t, 8, table.InUse()["t00"])
	table.Finish(testStart, "t00", Result{Verdict: Succeeded})
	_, ok := table.Pick(testStart, "", true)
	require.False(t, ok)
}

// Guards against targets that never get requests again after a restart under the same id, as in a
// rolling update, and against requests to a leaving target that an outdated list shows as live.
func TestRestartedTargetReturns(t *testing.T) {
	live, leaving := targetRows(1), targetRows(1)
	leaving[0].State = platform.StateLeaving
	picked := func(table *Table, now time.Time) bool {
		_, ok := table.Pick(now, "", true)
		return ok
	}

	table := newTable(1)
	table.Update(testStart, leaving)
	require.False(t, picked(table, testStart))
	require.Equal(t, []string{"t00"}, table.Update(testStart, live).Returned)
	table.ApplyPeerNotice(testStart.Add(StaleNoticePeriod-1), "t00")
	require.True(t, picked(table, testStart), "a peer's notice soon after the return is ignored")
	table.ApplyPeerNotice(testStart.Add(StaleNoticePeriod), "t00")
	require.False(t, picked(table, testStart), "a peer's notice after StaleNoticePeriod counts")

	table = newTable(1)
	require.True(t, table.MarkLeaving(testStart, "t00"))
	late := testStart.Add(LeavingNoticeTTL)
	require.Empty(t, table.Update(late.Add(-1), live).Returned)
	require.False(t, picked(table, late.Add(-1)), "the target's own notice overrides the list until LeavingNoticeTTL")
	require.Equal(t, []string{"t00"}, table.Update(late, live).Returned)
	require.True(t, picked(table, late))
}

// Guards against retries that exceed the budget, and against equal waits, with which all retries
// after a common fault would arrive at the same time.
func TestRetriesAreBudgetedAndSpread(t *testing.T) {
	table := newTable(1)
	retries := 0
	waits := make(map[time.Duration]bool)
	for range 10_000 {
		table.AddRetryBudget()
		for table.TakeRetry() {
			retries++
			waits[table.Backoff(3)] = true
		}
	}
	require.LessOrEqual(t, retries, 1000)
	require.Greater(t, len(waits), 100)
}

// Guards against more requests at a target than its allowance, under any order of events.
func TestLimitsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		allowed := rapid.IntRange(0, 8).Draw(t, "allowed")
		table := New(1, func(platform.Instance) int { return allowed })
		table.Update(testStart, targetRows(3))
		now := testStart
		running := make(map[string]int)
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				free, _ := table.Capacity(now)
				target, ok := table.Pick(now, "t01", rapid.Bool().Draw(t, "repeatable"))
				if ok != (free > 0) {
					t.Fatalf("%d free slots, picked %v", free, ok)
				}
				if !ok {
					return
				}
				running[target.ID]++
				if running[target.ID] > allowed {
					t.Fatalf("%d requests at %s of %d allowed", running[target.ID], target.ID, allowed)
				}
			},
			"finish": func(t *rapid.T) {
				id := rapid.SampledFrom([]string{"t00", "t01", "t02"}).Draw(t, "target")
				if running[id] == 0 {
					t.Skip()
				}
				running[id]--
				verdict := Verdict(rapid.IntRange(int(Succeeded), int(Abandoned)).Draw(t, "verdict"))
				table.Finish(now, id, Result{Verdict: verdict, ServiceTime: time.Second, ExpectedServiceTime: time.Second, Caller: rapid.Uint64Range(1, 2).Draw(t, "caller")})
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
