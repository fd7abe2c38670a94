package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// zonedWorkers returns four racks of two workers. The first two racks are evacuated.
func zonedWorkers() []Worker {
	workers := makeWorkers(8, 2)
	for i := range 4 {
		workers[i].Evacuated = true
	}
	return workers
}

// Guards against starts and preemptions on evacuated workers, against a unit that waits for a rack that is evacuated, and
// against a wait whose reason does not name the evacuation.
func TestEvacuatedWorkersAreNotUsed(t *testing.T) {
	workers := zonedWorkers()
	occupy(&workers[0], Run{Group: 1, Priority: 2, Need: resourcesWithGPUs(8)})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{
		{Service: "s", Tasks: 4, Need: resourcesWithGPUs(8), Gang: true, RackLocal: true, WaitsForRack: true},
		{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), DataRack: "r01", WaitsForRack: true},
		{Service: "s", Guaranteed: true, Accepted: 1, Tasks: 5, Need: resourcesWithGPUs(8), Gang: true},
	}})
	require.Equal(t, Wait{Reason: WaitsForEvacuation, Behind: -1}, plan.Waits[2])
	require.Equal(t, []Start{{Unit: 0, Workers: []int{4, 5, 6, 7}}}, plan.Starts)
	require.Equal(t, Wait{Reason: WaitsForEvacuation, Behind: -1}, plan.Waits[1])
	require.Empty(t, plan.Stops)

	full := zonedWorkers()
	for i := range full {
		if i >= 4 {
			occupy(&full[i], Run{Group: i, Need: resourcesWithGPUs(8)})
		}
	}
	unit := Unit{Service: "s", Priority: 1, Tasks: 1, Need: resourcesWithGPUs(8), Label: "missing"}
	require.Equal(t, WaitsForCapacity, Decide(Snapshot{Workers: full, Units: []Unit{unit}}).Waits[0].Reason, "would not fit either way")
	unit.Label = ""
	require.Equal(t, WaitsForEvacuation, Decide(Snapshot{Workers: full, Units: []Unit{unit}, Headroom: map[string]int64{"s": 8}}).Waits[0].Reason)
}

// Guards against free accelerators of evacuated workers that count towards the headroom, so that none is kept free elsewhere.
func TestHeadroomIsKeptOutsideEvacuatedZones(t *testing.T) {
	unit := Unit{Service: "s", Priority: 1, Tasks: 40, Need: resourcesWithGPUs(1)}
	// The minimum share of priority 1 is 3 of the 32 accelerators, which may be used beside the headroom.
	plan := Decide(Snapshot{Workers: zonedWorkers(), Units: []Unit{unit}, Headroom: map[string]int64{"s": 16}})
	require.Equal(t, 16, countStarts(plan))
}

// Guards against a priority that gets no minimum share of the remaining workers because of its runs in an evacuated zone, and
// against a share of workers that cannot be used.
func TestMinimumShareIgnoresEvacuatedWorkers(t *testing.T) {
	workers := zonedWorkers()
	for i := range 4 {
		occupy(&workers[i], Run{Group: i, Priority: 2, Need: resourcesWithGPUs(8)})
	}
	units := []Unit{
		{Service: "s", Priority: 1, Tasks: 64, Need: resourcesWithGPUs(1)},
		{Service: "s", Priority: 2, Tasks: 64, Need: resourcesWithGPUs(1)},
	}
	started := make(map[int]int)
	for _, s := range Decide(Snapshot{Workers: workers, Units: units}).Starts {
		started[s.Unit] += len(s.Workers)
	}
	// Without the exemption, priority 2 would start nothing; with all 64 accelerators, 6.
	require.Equal(t, map[int]int{0: 29, 1: 3}, started)
}

// Guards against one gang that cannot be placed before the zone returns, and claims all remaining workers until then.
func TestGangThatNeedsEvacuatedWorkersClaimsNothing(t *testing.T) {
	workers := zonedWorkers()
	occupy(&workers[4], Run{Group: 1, Need: resourcesWithGPUs(1)})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{
		{Service: "s", Tasks: 6, Need: resourcesWithGPUs(8), Gang: true},
		{Service: "s", Deadline: 1, Tasks: 3, Need: resourcesWithGPUs(8)},
	}})
	require.Equal(t, WaitsForEvacuation, plan.Waits[0].Reason)
	require.Len(t, plan.Starts, 1)
	require.Len(t, plan.Starts[0].Workers, 3)
}

// Guards against cold workers that are used while others have room, and against work that waits although only they have room.
func TestColdWorkersAreUsedLast(t *testing.T) {
	workers := makeWorkers(4, 2)
	workers[0].Cold, workers[1].Cold, workers[2].Suspicion = true, true, 1
	gang := Unit{Service: "s", Tasks: 2, Need: resourcesWithGPUs(8), Gang: true, RackLocal: true}
	single := Unit{Service: "s", Tasks: 3, Need: resourcesWithGPUs(8), Avoid: map[string]bool{"w003": true}}
	require.Equal(t, []int{3, 2}, Decide(Snapshot{Workers: workers, Units: []Unit{gang}}).Starts[0].Workers)
	require.Equal(t, []int{2, 3, 0}, Decide(Snapshot{Workers: workers, Units: []Unit{single}}).Starts[0].Workers)
}
