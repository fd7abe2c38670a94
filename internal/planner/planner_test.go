package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
)

// makeWorkers returns empty workers with 8 accelerators each.
func makeWorkers(count, perRack int) []Worker {
	workers := make([]Worker, count)
	for i := range workers {
		workers[i] = Worker{
			ID: fmt.Sprintf("w%03d", i), Service: "s", Rack: fmt.Sprintf("r%02d", i/perRack), AcceptsWork: true,
			Free: Resources{CPU: 128000, MemoryMB: 256000, GPU: 8},
		}
	}
	return workers
}

// occupy puts a run on a worker.
func occupy(w *Worker, r Run) {
	w.Free = w.Free.Sub(r.Need)
	w.Runs = append(w.Runs, r)
}

// countStarts counts the tasks that a plan starts.
func countStarts(p Plan) int {
	n := 0
	for _, start := range p.Starts {
		n += len(start.Workers)
	}
	return n
}

func gpus(n int64) Resources { return Resources{CPU: 1000 * n, MemoryMB: 1000, GPU: n} }

// Guards against gangs that are placed in part.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	unit := Unit{Service: "s", Priority: 1, Tasks: 3, Need: gpus(8), Gang: true}
	plan := Decide(Snapshot{Workers: makeWorkers(2, 2), Units: []Unit{unit}})
	require.Empty(t, plan.Starts)
	plan = Decide(Snapshot{Workers: makeWorkers(3, 3), Units: []Unit{unit}})
	require.Len(t, plan.Starts[0].Workers, 3)
}

// Guards against gangs that are spread over racks although one rack has room.
func TestRackBoundGangStaysInOneRack(t *testing.T) {
	workers := makeWorkers(6, 3)
	occupy(&workers[0], Run{Group: 1, Need: gpus(8)})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{
		{Service: "s", Tasks: 3, Need: gpus(8), Gang: true, RackLocal: true, WaitsForRack: true},
	}})
	require.Equal(t, []int{3, 4, 5}, plan.Starts[0].Workers)
}

// Guards against small tasks that break up empty workers while partly used ones have room.
func TestSmallTasksFillUsedWorkers(t *testing.T) {
	workers := makeWorkers(3, 3)
	occupy(&workers[1], Run{Group: 1, Need: gpus(5)})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{{Service: "s", Tasks: 2, Need: gpus(1)}}})
	require.Equal(t, []int{1, 1}, plan.Starts[0].Workers)
}

// Guards the guarantee when everything is full: covered work takes the place of the runs that
// lose the least, and keeps that place while they stop.
func TestEntitledUnitReclaimsTheCheapestRuns(t *testing.T) {
	workers := makeWorkers(2, 2)
	occupy(&workers[0], Run{Group: 1, Need: gpus(8), Priority: 2, LostWork: 500})
	occupy(&workers[1], Run{Group: 2, Need: gpus(8), Priority: 2, LostWork: 20})
	unit := Unit{Service: "s", Guaranteed: true, Tasks: 1, Need: gpus(8)}
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{unit}})
	require.Equal(t, []Stop{{Group: 2}}, plan.Stops)
	require.Empty(t, plan.Starts)

	workers[1].Releasing, workers[1].Runs = gpus(8), nil
	greedy := Unit{Service: "s", Priority: 1, Tasks: 1, Need: gpus(1)}
	plan = Decide(Snapshot{Workers: workers, Units: []Unit{greedy, unit}})
	require.Empty(t, plan.Stops, "the room that is being freed is enough")
	require.Empty(t, plan.Starts, "nobody else takes it")
}

// Guards against work of one guarantee that is stopped for another.
func TestEntitledRunsAreNotStopped(t *testing.T) {
	workers := makeWorkers(1, 1)
	occupy(&workers[0], Run{Group: 1, Need: gpus(8), Guaranteed: true})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{{Service: "s", Guaranteed: true, Tasks: 1, Need: gpus(8)}}})
	require.Empty(t, plan.Stops)
}

// Guards against a wide gang that waits for ever while small work takes every gap.
func TestBlockedGangHoldsRoom(t *testing.T) {
	workers := makeWorkers(2, 2)
	occupy(&workers[0], Run{Group: 1, Need: gpus(4), Priority: 1, Protected: true})
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{
		{Service: "s", Priority: 1, Tasks: 2, Need: gpus(8), Gang: true},
		{Service: "s", Priority: 2, Tasks: 8, Need: gpus(1)},
	}})
	for _, start := range plan.Starts {
		require.Equal(t, 1, start.Unit)
		require.LessOrEqual(t, len(start.Workers), 1, "no more than the kept share")
	}
}

// overload is the load at which decisions matter most: a full fleet, many waiting gangs of the
// most urgent queue, and a flood of the least urgent one.
func overload(workers, urgent, flood int) Snapshot {
	random := rand.New(rand.NewPCG(1, 1))
	s := Snapshot{Workers: makeWorkers(workers, 12)}
	for i := range s.Workers {
		for n := range 6 {
			occupy(&s.Workers[i], Run{Group: i*8 + n + 1, Need: gpus(1), Priority: 1 + n%2, LostWork: float64(random.IntN(500))})
		}
		occupy(&s.Workers[i], Run{Group: -1 - i/4, Need: gpus(2), Priority: 0, Guaranteed: i%2 == 0, LostWork: 100})
	}
	for n := range urgent {
		s.Units = append(s.Units, Unit{
			Service: "s", Priority: 0, Urgency: Urgency(n % 3), Deadline: int64(n), Guaranteed: n%4 == 0, Tasks: 1 + random.IntN(12),
			Need: gpus([]int64{1, 2, 4, 8}[random.IntN(4)]), Gang: true, RackLocal: n%4 != 1, WaitsForRack: true,
		})
	}
	for n := range flood {
		s.Units = append(s.Units, Unit{Service: "s", Priority: 2, Deadline: int64(n), Tasks: 40, Need: gpus(1)})
	}
	return s
}

// Guards against plans that use more than a worker has.
func TestOverloadedPlanFits(t *testing.T) {
	s := overload(48, 60, 20)
	free := make([]Resources, len(s.Workers))
	for i := range s.Workers {
		free[i] = s.Workers[i].Free
	}
	for _, start := range Decide(s).Starts {
		for _, w := range start.Workers {
			free[w] = free[w].Sub(s.Units[start.Unit].Need)
			require.GreaterOrEqual(t, free[w].GPU, int64(0))
			require.GreaterOrEqual(t, free[w].MemoryMB, int64(0))
		}
	}
}

// BenchmarkDecideOverload measures a round at the worst load.
func BenchmarkDecideOverload(b *testing.B) {
	for _, workers := range []int{48, 350} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for b.Loop() {
				Decide(overload(workers, 150, 50))
			}
		})
	}
}

// Guards against an overload in which many jobs are begun and none is finished.
func TestBegunJobGoesFirst(t *testing.T) {
	workers := makeWorkers(1, 1)
	plan := Decide(Snapshot{Workers: workers, Units: []Unit{
		{Service: "s", Priority: 2, Deadline: 1, Tasks: 8, Need: gpus(1)},
		{Service: "s", Priority: 2, Deadline: 2, Tasks: 8, Need: gpus(1), JobStarted: true},
	}})
	require.Len(t, plan.Starts, 1)
	require.Equal(t, 1, plan.Starts[0].Unit)
}

// Guards against work that is started only to be stopped for the next urgent job: between two
// urgent jobs their room stays free, except for work that loses nothing by a stop.
func TestHeadroomIsKeptForUrgentWork(t *testing.T) {
	s := Snapshot{Workers: makeWorkers(2, 2), Headroom: map[string]int64{"s": 10}, Units: []Unit{
		{Service: "s", Priority: 2, Tasks: 16, Need: gpus(1)},
	}}
	plan := Decide(s)
	require.Equal(t, 6, countStarts(plan))
	s.Workers, s.Units[0].Checkpointed = makeWorkers(2, 2), true
	require.Equal(t, 16, countStarts(Decide(s)))
	s.Workers, s.Units[0].Checkpointed, s.Units[0].Priority = makeWorkers(2, 2), false, 0
	require.Equal(t, 16, countStarts(Decide(s)))
}

// Guards the least urgent queue in a flood of more urgent work: it keeps a tenth of the fleet,
// and what runs there does not give way to work without a guarantee.
func TestEachQueueKeepsAShare(t *testing.T) {
	flood := Unit{Service: "s", Priority: 1, Tasks: 200, Need: gpus(1), Work: 1e6}
	modest := Unit{Service: "s", Priority: 2, Tasks: 20, Need: gpus(1)}
	placed := make(map[int]int)
	for _, start := range Decide(Snapshot{Workers: makeWorkers(10, 5), Units: []Unit{flood, modest}}).Starts {
		placed[start.Unit] += len(start.Workers)
	}
	require.Equal(t, map[int]int{0: 72, 1: 8}, placed)

	urgent := Unit{Service: "s", Priority: 0, Tasks: 1, Need: gpus(8), Work: 1e6}
	full := makeWorkers(20, 5)
	for i := range full {
		occupy(&full[i], Run{Group: i, Need: gpus(8), Priority: min(2, 1+i/19), LostWork: float64(1000 * (19 - i))})
	}
	plan := Decide(Snapshot{Workers: full, Units: []Unit{urgent}})
	require.Equal(t, []Stop{{Group: 18}}, plan.Stops, "the cheapest run but the only one of its queue")
}

// Guards against fillers beside tasks that serve while there is other room, and against fillers
// that wait for ever because tasks that serve are everywhere.
func TestFillersKeepAwayFromServingTasks(t *testing.T) {
	workers := makeWorkers(2, 2)
	workers[0].RunsServing = true
	filler := Unit{Service: "s", Priority: 2, Tasks: 1, Need: Resources{MemoryMB: 1000}, Filler: true}
	require.Equal(t, []int{1}, Decide(Snapshot{Workers: workers, Units: []Unit{filler}}).Starts[0].Workers)
	workers[1].RunsServing = true
	require.Equal(t, 1, countStarts(Decide(Snapshot{Workers: workers, Units: []Unit{filler}})))
}

// Guards a wide guaranteed job in a burst of short guaranteed ones: later ones do not take the
// room that is made for it.
func TestGuaranteesAreServedInTheOrderOfAcceptance(t *testing.T) {
	workers := makeWorkers(4, 4)
	for i := range workers {
		workers[i].Free, workers[i].Releasing = workers[i].Free.Sub(gpus(8)), gpus(8)
	}
	workers[0].Free, workers[0].Releasing = workers[0].Free.Add(gpus(8)), Resources{}
	wide := Unit{Service: "s", Guaranteed: true, Accepted: 1, Deadline: 9000, Urgency: Late, Tasks: 4, Need: gpus(8), Gang: true, RackLocal: true}
	short := Unit{Service: "s", Guaranteed: true, Accepted: 2, Deadline: 3000, Tasks: 1, Need: gpus(2), Gang: true}
	require.Empty(t, Decide(Snapshot{Workers: workers, Units: []Unit{short, wide}}).Starts)
}
