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

// fill takes all free slots and returns the number taken of each target.
func fill(table *Table, now time.Time) map[string]int {
	counts := make(map[string]int)
	for target, ok := table.Pick(now, "", true); ok; target, ok = table.Pick(now, "", true) {
		counts[target.ID]++
	}
	return counts
}

// Guards against an idle target that fails fast and attracts the load, and against its
// return with full load.
func TestFastFailingTargetIsTakenOutAndTried(t *testing.T) {
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

// Guards against a caller whose requests always fail and so takes targets from the others.
func TestOneCallerCannotTakeTargetsOut(t *testing.T) {
	table := newTable(1)
	for range 100 {
		_, ok := table.Pick(testStart, "", true)
		require.True(t, ok)
		require.False(t, table.Finish(testStart, "t00", Result{Verdict: ErrorResponse, Caller: 1}))
	}
	table.Pick(testStart, "", true)
	require.True(t, table.Finish(testStart, "t00", Result{Verdict: ErrorResponse, Caller: 2}))
}

// Guards against a slow target that fills up with requests while others are free.
func TestSlowTargetGetsFewRequests(t *testing.T) {
	table := newTable(4)
	for range 50 {
		for id, count := range fill(table, testStart) {
			held := time.Second
			if id == "t00" {
				held = 10 * time.Second
			}
			for range count {
				table.Finish(testStart, id, Result{Verdict: Succeeded, ServiceTime: held, ExpectedServiceTime: time.Second})
			}
		}
	}
	counts := fill(table, testStart)
	require.LessOrEqual(t, counts["t00"], 2)
	require.Equal(t, 8, counts["t01"])
}

// Guards against new work for a target that leaves or is off the list, and against the loss
// of its requests in progress.
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

// Guards against targets that are restarted under their ids one after another and never get new
// work again, and against trusting a list that still shows a leaving target as live.
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
	require.True(t, picked(table, testStart), "the list showed it leaving and live again; a peer's notice is older")
	table.ApplyPeerNotice(testStart.Add(StaleNoticePeriod), "t00")
	require.False(t, picked(table, testStart), "a later notice counts")

	table = newTable(1)
	require.True(t, table.MarkLeaving(testStart, "t00"))
	late := testStart.Add(LeavingNoticeTTL)
	require.Empty(t, table.Update(late.Add(-1), live).Returned)
	require.False(t, picked(table, late.Add(-1)), "the list lags behind the target's own notice")
	require.Equal(t, []string{"t00"}, table.Update(late, live).Returned)
	require.True(t, picked(table, late))
}

// Guards against retries beyond the budget and against retries that come in waves.
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

// Guards against more requests at a target than its allowance under any order of events.
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
