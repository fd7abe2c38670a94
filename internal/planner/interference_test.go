package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against units that are placed beside a kind of work that slows them down, or that they slow down, although another worker
// has room, and against packing that comes before it.
func TestConflictingKindsAreKeptApart(t *testing.T) {
	conflicts := Conflicts{{"serve", "decode"}: true}
	for _, kinds := range [][2]string{{"serve", "decode"}, {"decode", "serve"}} {
		workers := makeWorkers(3, 3)
		workers[0].Kinds = []string{"index", kinds[1]}
		workers[0].Free.GPU, workers[0].Free.CPU = 2, 4000
		unit := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(1), Kind: kinds[0]}
		snapshot := Snapshot{Workers: workers, Units: []Unit{unit}}
		require.Equal(t, []int{0}, Decide(snapshot).Starts[0].Workers, "the fullest worker without conflicts")
		snapshot.Conflicts = conflicts
		require.Equal(t, []int{1}, Decide(snapshot).Starts[0].Workers)
		snapshot.Units[0].Kind = ""
		require.Equal(t, []int{0}, Decide(snapshot).Starts[0].Workers, "a unit of unknown kind")
	}
}

// Guards against units of one round that are placed side by side although they conflict.
func TestConflictsCountWithinARound(t *testing.T) {
	units := []Unit{
		{Service: "s", Deadline: 1, Tasks: 1, Need: resourcesWithGPUs(1), Kind: "serve"},
		{Service: "s", Deadline: 2, Tasks: 1, Need: resourcesWithGPUs(1), Kind: "decode"},
	}
	plan := Decide(Snapshot{Workers: makeWorkers(2, 2), Units: units, Conflicts: Conflicts{{"serve", "decode"}: true}})
	require.Equal(t, []Start{{0, []int{0}}, {1, []int{1}}}, plan.Starts)
}

// Guards against work that waits, or preempts, because of a conflict, and against conflicts that count more than workers
// to avoid, suspicion, cold workers or speeds.
func TestConflictsOnlyOrderWorkers(t *testing.T) {
	conflicts := Conflicts{{"serve", "decode"}: true}
	unit := Unit{Service: "s", Tasks: 2, Need: resourcesWithGPUs(8), Gang: true, RackLocal: true, Kind: "serve"}
	workers := makeWorkers(2, 2)
	for i := range workers {
		workers[i].Kinds = []string{"decode"}
	}
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{unit}, Conflicts: conflicts})
	require.Len(t, plan.Starts, 1)
	require.Empty(t, plan.Stops)

	single := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), MinSpeed: 0.7, Kind: "serve"}
	for name, worsen := range map[string]func(w *Worker, u *Unit){
		"cold":      func(w *Worker, _ *Unit) { w.Cold = true },
		"avoid":     func(w *Worker, u *Unit) { u.Avoid = map[string]bool{w.ID: true} },
		"suspicion": func(w *Worker, _ *Unit) { w.Suspicion = 1 },
		"speed":     func(w *Worker, _ *Unit) { w.Speed = 0.5 },
	} {
		workers, unit := makeWorkers(2, 2), single
		workers[0].Kinds = []string{"decode"}
		workers[0].Speed, workers[1].Speed = 1, 1
		worsen(&workers[1], &unit)
		plan := Decide(Snapshot{Workers: workers, Units: []Unit{unit}, Conflicts: conflicts})
		require.Equal(t, []int{0}, plan.Starts[0].Workers, name)
	}
}

// Guards against gangs in a rack where they conflict although another rack has room, against a count of tasks in place of
// workers, and against racks that conflicts make better than those that are fast enough.
func TestRacksAreComparedByConflicts(t *testing.T) {
	workers := makeWorkers(6, 2)
	for i := range workers {
		workers[i].Speed = 1
	}
	// Rack 0 conflicts on both workers and is the fullest, rack 1 on one worker, rack 2 is slow.
	workers[0].Kinds, workers[1].Kinds, workers[3].Kinds = []string{"decode"}, []string{"decode"}, []string{"decode"}
	workers[0].Free.GPU, workers[1].Free.GPU = 6, 6
	workers[4].Speed, workers[5].Speed = 0.4, 0.4
	unit := Unit{Service: "s", Tasks: 6, Need: resourcesWithGPUs(2), Gang: true, RackLocal: true, Kind: "serve", MinSpeed: 0.7}
	snapshot := Snapshot{Workers: workers, Units: []Unit{unit}}
	require.ElementsMatch(t, []int{0, 0, 0, 1, 1, 1}, Decide(snapshot).Starts[0].Workers)
	snapshot.Conflicts = Conflicts{{"serve", "decode"}: true}
	require.ElementsMatch(t, []int{2, 2, 2, 2, 3, 3}, Decide(snapshot).Starts[0].Workers)
	snapshot.Units[0].MinSpeed = 0
	require.ElementsMatch(t, []int{4, 4, 4, 4, 5, 5}, Decide(snapshot).Starts[0].Workers)
}
