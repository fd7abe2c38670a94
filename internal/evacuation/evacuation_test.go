package evacuation

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a zone that stays evacuated after its record was dropped by a loss of history, against one that returns
// while another record of it exists, and against changes of a set that other goroutines read.
func TestRecordsFollowTheOperator(t *testing.T) {
	first := Records{}.Apply([]Change{{"evacuate/a", "a", true, 1}, {"evacuate/b", "b", true, 2}, {"op/evacuate/b", "b", true, 3}}, false)
	require.Equal(t, map[string]int64{"a": 1, "b": 3}, first.Zones())
	second := first.Apply([]Change{{"evacuate/a", "a", false, 4}, {"evacuate/a", "a", true, 5}, {"evacuate/b", "b", false, 6}}, false)
	require.Equal(t, map[string]int64{"a": 5, "b": 3}, second.Zones())
	require.Equal(t, map[string]int64{"a": 1, "b": 3}, first.Zones())
	removed := second.Apply([]Change{{"op/evacuate/b", "b", false, 7}, {"evacuate/unknown", "unknown", false, 8}}, false)
	require.Equal(t, map[string]int64{"a": 5}, removed.Zones(), "in service once all of its records are removed")
	third := second.Apply([]Change{{"evacuate/c", "c", true, 9}}, true)
	require.Equal(t, map[string]int64{"c": 9}, third.Zones())
	began, ended := Difference(second.Zones(), third.Zones())
	require.Equal(t, []string{"c"}, began)
	require.Equal(t, []string{"a", "b"}, ended)
	for range 20 { // Maps are read in random order.
		began, ended = Difference(map[string]int64{"stays": 1, "z": 1, "y": 1}, map[string]int64{"stays": 7, "d": 1, "c": 1})
		require.Equal(t, []string{"c", "d"}, began, "a zone whose record is replaced stays evacuated")
		require.Equal(t, []string{"y", "z"}, ended)
	}
}

// Guards against starts on the basis of a copy that is too old or incomplete, against starts that a worker executes
// after the bound, and against starts that are withheld where there is no bound.
func TestFreshness(t *testing.T) {
	bound := Bound(5 * time.Second)
	for _, c := range []struct {
		copied Copy
		fresh  bool
	}{
		{Copy{Age: time.Second, Synced: true}, true}, {Copy{Age: 3 * time.Second, Synced: true}, true},
		{Copy{Age: 3100 * time.Millisecond, Synced: true}, false}, {Copy{}, false},
	} {
		require.Equal(t, c.fresh, bound.Fresh(c.copied), "%+v", c.copied)
		require.True(t, Bound(0).Fresh(c.copied), "%+v", c.copied)
	}
	limit, limited := bound.StartTime(Copy{Age: 2 * time.Second, Synced: true})
	require.True(t, limited)
	require.Less(t, 2*time.Second+limit, 5*time.Second)
	limit, _ = bound.StartTime(Copy{Age: 6 * time.Second, Synced: true})
	require.Zero(t, limit, "never negative")
	_, limited = Bound(0).StartTime(Copy{})
	require.False(t, limited)
	require.Equal(t, time.Second, Bound(0).ReadWait(time.Second))
	require.Equal(t, 500*time.Millisecond, bound.ReadWait(time.Second))
}

// Guards against runs in an evacuated zone that are stopped although they execute, that get another start, or that hold
// back the other members of their gang, and against adopted gangs that lose their work.
func TestStops(t *testing.T) {
	in := func(p Progress) Run { return Run{p, true} }
	out := func(p Progress) Run { return Run{Progress: p} }
	for _, c := range []struct {
		name  string
		gang  bool
		runs  []Run
		stops []bool
	}{
		{"single", false, []Run{in(NotSent), in(InFlight), in(Unanswered), in(Executing), in(Stopping), in(Unreported)}, []bool{true, false, true, false, false, false}},
		{"elsewhere", false, []Run{out(NotSent), out(Unanswered)}, []bool{false, false}},
		{"gang elsewhere", true, []Run{out(NotSent), out(Unanswered)}, []bool{false, false}},
		{"gang begun", true, []Run{in(Executing), out(Executing)}, []bool{false, false}},
		{"gang half begun", true, []Run{in(Executing), out(InFlight), out(Stopping)}, []bool{true, true, false}},
		{"gang stopping", true, []Run{in(Stopping), out(Stopping)}, []bool{false, false}},
		{"gang sent", true, []Run{in(InFlight), out(Executing)}, []bool{true, true}},
		{"gang adopted", true, []Run{in(Unreported), in(Executing)}, []bool{false, false}},
	} {
		require.Equal(t, c.stops, Stops(c.gang, c.runs), c.name)
	}
}

// Guards against a burst of starts at a zone that returns to service, and against one that is not used at once.
func TestAdmitted(t *testing.T) {
	for since, want := range map[time.Duration]int{-time.Second: 30, 0: 30, 500 * time.Millisecond: 60, 1200 * time.Millisecond: 120, time.Hour: 120} {
		require.Equal(t, want, Admitted(120, since), "%v", since)
	}
	require.Equal(t, 1, Admitted(1, 0))
	require.Zero(t, Admitted(0, 0))
}
