package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against work that is thrown away for a unit that misses its objective anyway: only runs that lose next to nothing
// are preempted for it, unless a guarantee covers it.
func TestLateUnitPreemptsOnlyRunsThatLoseNothing(t *testing.T) {
	for _, c := range []struct {
		timeliness Timeliness
		guaranteed bool
		lost       float64
		want       int
	}{
		{timeliness: OnTime, lost: 50, want: 1},
		{timeliness: Late, lost: 50, want: 0},
		{timeliness: Late, lost: 0, want: 1},
		{timeliness: Late, guaranteed: true, lost: 50, want: 1},
	} {
		workers := makeWorkers(1, 1)
		occupy(&workers[0], Run{Group: 1, Need: resourcesWithGPUs(8), Priority: 2, LostWork: c.lost})
		plan := Decide(Snapshot{Workers: workers, Units: []Unit{
			{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), Work: 1000, Timeliness: c.timeliness, Guaranteed: c.guaranteed},
		}})
		require.Len(t, plan.Stops, c.want, "%+v", c)
	}
}
