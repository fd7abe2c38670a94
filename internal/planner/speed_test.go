package planner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unevenWorkers returns four racks of three workers: a slow, a usual and a fast one in each.
func unevenWorkers() []Worker {
	workers := makeWorkers(12, 3)
	for i := range workers {
		workers[i].Speed = []float64{0.6, 1.0, 1.6}[i%3]
	}
	return workers
}

// Guards against urgent gangs with a member on a worker that is too slow, or only just fast enough by a rough estimate, while
// others have room, and against work with a loose objective that takes the fast workers.
func TestUnitsGetWorkersThatAreFastEnough(t *testing.T) {
	gang := Unit{Service: "s", Tasks: 2, Need: resourcesWithGPUs(8), Gang: true, RackLocal: true, MinSpeed: 0.7}
	loose := Unit{Service: "s", Priority: 2, Deadline: 1, Tasks: 1, Need: resourcesWithGPUs(8), MinSpeed: 0.3}
	plan := Decide(Snapshot{Workers: unevenWorkers(), Units: []Unit{gang, loose}})
	require.Equal(t, []Start{{Unit: 0, Workers: []int{2, 1}}, {Unit: 1, Workers: []int{0}}}, plan.Starts)

	single := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), MinSpeed: 0.7}
	require.Equal(t, []int{2}, Decide(Snapshot{Workers: unevenWorkers(), Units: []Unit{single}}).Starts[0].Workers)
	workers := unevenWorkers()
	for i := range workers {
		workers[i].Speed = []float64{0.6, 0.75, 1.0}[i%3]
	}
	require.Equal(t, []int{2}, Decide(Snapshot{Workers: workers, Units: []Unit{single}}).Starts[0].Workers, "0.75 is within the error of 0.7")
	single.MinSpeed = 1.3
	require.Equal(t, []int{2}, Decide(Snapshot{Workers: unevenWorkers(), Units: []Unit{single}}).Starts[0].Workers)
}

// Guards against work that waits for a fast worker while a slow one is free, and against a gang that is spread over racks, where
// it is slower than on a slow worker.
func TestSlowWorkersAreBetterThanNone(t *testing.T) {
	gang := Unit{Service: "s", Tasks: 3, Need: resourcesWithGPUs(8), Gang: true, RackLocal: true, MinSpeed: 0.7}
	plan := Decide(Snapshot{Workers: unevenWorkers(), Units: []Unit{gang}})
	require.ElementsMatch(t, []int{0, 1, 2}, plan.Starts[0].Workers)
}

// Guards against workers whose speed never becomes known because all work goes to known ones, and against a step that takes all
// of their room, so that no task that needs a whole worker fits.
func TestLooseWorkShowsUnknownSpeeds(t *testing.T) {
	workers := unevenWorkers()
	for _, i := range []int{4, 7} {
		workers[i].Speed = 0
	}
	loose := Unit{Service: "s", Priority: 2, Tasks: 6, Need: resourcesWithGPUs(1), MinSpeed: 0.3}
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{loose}})
	require.Equal(t, []int{4, 7, 0, 0, 0, 0}, plan.Starts[0].Workers)
	urgent := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(1), MinSpeed: 0.7}
	require.Equal(t, []int{2}, Decide(Snapshot{Workers: workers, Units: []Unit{urgent}}).Starts[0].Workers)
}

// Guards against a minimum speed that no worker has, after which all workers would seem equal, and against one of 0, which means
// that speeds do not matter.
func TestMinSpeed(t *testing.T) {
	const second = time.Second
	require.InDelta(t, 0.625, MinSpeed(0, 2*second, 3200*time.Millisecond, 1.6), 0.001)
	require.InDelta(t, 1.25, MinSpeed(1600*time.Millisecond, 2*second, 3200*time.Millisecond, 1.6), 0.001)
	require.InDelta(t, 2.0/7.6, MinSpeed(2*second, 2*second, 3200*time.Millisecond, 1.6), 0.001, "late: not overdue")
	require.Positive(t, MinSpeed(20*second, 2*second, 3200*time.Millisecond, 1.6))
	require.Positive(t, MinSpeed(0, 0, 3200*time.Millisecond, 1.6))
}
