package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against counts of workers that differ from the planner's own decision: each obstacle is counted once, and the
// workers that are able to take a task are those on which tasks start, with or without a conflict.
func TestExplanationCountsWorkersByObstacle(t *testing.T) {
	workers := makeWorkers(9, 3)
	workers[0].Service = "other"
	workers[1].AcceptsWork = false
	workers[2].AcceptsWork, workers[2].Evacuated = false, true
	workers[3].Slow = true
	for i := range workers {
		workers[i].Labels = []string{"l"}
	}
	workers[4].Labels = nil
	workers[5].Free.MemoryMB = 10
	occupy(&workers[6], Run{Group: 1, Need: resourcesWithGPUs(8), LostWork: 1e6})
	unit := Unit{Service: "s", Priority: 1, Tasks: 2, Need: resourcesWithGPUs(8), Label: "l", Gang: true, Deadline: 2}
	ahead := Unit{Service: "s", Priority: 0, Tasks: 1, Need: resourcesWithGPUs(8), Deadline: 1}
	s := Snapshot{Workers: workers, Units: []Unit{unit, ahead}}
	e := Explain(s, []int{0})[0]
	require.Equal(t, map[Obstacle]int{
		OtherService: 1, AcceptsNoWork: 1, EvacuatedZone: 1, SlowWorker: 1, MissingLabel: 1, TooSmall: 1, Busy: 1,
	}, e.Workers.Obstacles)
	require.Equal(t, 2, e.Workers.Able)
	require.Equal(t, []int{7, 8}, e.Places)
	require.False(t, e.Waits)
	require.Equal(t, 1, e.Ahead)
	require.Equal(t, 2, e.Waiting)

	s.Conflicts = Conflicts{{Victim: "a", Neighbour: "b"}: true}
	s.Units[0].Kind = "a"
	s.Workers[7].Kinds, s.Workers[6].Kinds = []string{"b"}, []string{"b"}
	e = Explain(s, []int{0})[0]
	require.Equal(t, []int{2, 1}, []int{e.Workers.Able, e.Workers.Conflicting})
	require.False(t, e.Waits)

	s.Workers[4].AcceptsWork = false
	e = Explain(s, []int{0})[0]
	require.Equal(t, 1, e.Workers.Obstacles[TakenAhead])
	require.True(t, e.Waits)
	require.Contains(t, e.Unblock(&unit, ""), "runs end until all 2 tasks")
}

// Guards against an explanation that is not what Decide does: reason of the wait, preempted groups, and no change of what
// another unit gets.
func TestExplanationIsTheDecision(t *testing.T) {
	workers := makeWorkers(1, 1)
	occupy(&workers[0], Run{Group: 7, Need: resourcesWithGPUs(8), Priority: 2, LostWork: 5})
	units := []Unit{
		{Service: "s", Guaranteed: true, Tasks: 1, Need: resourcesWithGPUs(8)},
		{Service: "s", Priority: 1, Tasks: 1, Need: resourcesWithGPUs(16)},
	}
	plan := Decide(Snapshot{Workers: workers, Units: units})
	e := Explain(Snapshot{Workers: workers, Units: units}, []int{1, 0})
	require.Len(t, plan.Stops, e[1].Stops)
	for n, index := range []int{1, 0} {
		require.Equal(t, plan.Waits[index], e[n].Wait)
	}
	require.Contains(t, e[0].Unblock(&units[1], ""), "registers that is large enough")
	require.Contains(t, e[1].Unblock(&units[0], ""), "being stopped")
}
