package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against runs that are spared on a deployment whose preemptions do not hit the same runs again within seconds, or only for urgent
// units, and against a rule that ends as soon as it works or never ends.
func TestRepeatTracker(t *testing.T) {
	const second = time.Second
	add := func(tracker *RepeatTracker, n int, now, previous time.Duration, cause StopCause, lostWork float64) {
		for range n {
			tracker.Add("s", now, previous, cause, lostWork)
		}
	}
	for name, c := range map[string]struct {
		first, again int
		previous     time.Duration
		cause        StopCause
		lostWork     float64
		spares       bool
	}{
		"repeated":                      {8, 8, 95 * second, StopForPriority, 0, true},
		"few":                           {0, 7, 95 * second, StopForPriority, 0, false},
		"a small share":                 {25, 8, 95 * second, StopForPriority, 0, false},
		"long ago":                      {8, 8, 80 * second, StopForPriority, 0, false},
		"for urgent units":              {8, 8, 95 * second, StopForUrgent, 0, false},
		"for guarantees":                {8, 8, 95 * second, StopForGuarantee, 0, false},
		"unsaved work":                  {8, 8, 95 * second, StopForPriority, 100, false},
		"never preempted before at all": {50, 0, 0, StopForPriority, 0, false},
	} {
		var tracker RepeatTracker
		add(&tracker, c.first, 99*second, -1, c.cause, c.lostWork)
		add(&tracker, c.again, 100*second, c.previous, c.cause, c.lostWork)
		changes := tracker.Update(100 * second)
		require.Equal(t, c.spares, tracker.Spares("s"), name)
		require.False(t, tracker.Spares("other"), name)
		if !c.spares {
			require.Empty(t, changes, name)
			continue
		}
		require.Equal(t, []RepeatChange{{Service: "s", Spares: true, Stops: c.first + c.again, Repeated: c.again}}, changes, name)
		// The spared runs are not preempted again, but others still are.
		for at := 101 * second; at < 130*second; at += second {
			add(&tracker, 2, at, -1, StopForPriority, 0)
			require.Empty(t, tracker.Update(at))
		}
		require.True(t, tracker.Spares("s"))
		require.Equal(t, []RepeatChange{{Service: "s"}}, tracker.Update(140*second))
		require.False(t, tracker.Spares("s"))
	}
}
