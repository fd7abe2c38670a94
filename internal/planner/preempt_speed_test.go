package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// busyWorkers returns the workers of unevenWorkers, each with a run of the given loss that uses the whole worker. Its group is the
// index of the worker.
func busyWorkers(loss func(worker int) float64) []Worker {
	workers := unevenWorkers()
	for i := range workers {
		occupy(&workers[i], Run{Group: i, Need: resourcesWithGPUs(8), Priority: 2, LostWork: loss(i)})
	}
	return workers
}

// stopped returns the groups that are preempted for a unit.
func stopped(workers []Worker, u Unit) []int {
	var groups []int
	for _, stop := range Decide(Snapshot{Workers: workers, Units: []Unit{u}}).Stops {
		groups = append(groups, stop.Group)
	}
	return groups
}

// Guards against a run that is preempted on a worker on which the unit misses its objective, while victims on other workers
// let the unit meet it, and against a unit that gets no room because only such workers have victims.
func TestPreemptionTakesSpeedsIntoAccount(t *testing.T) {
	single := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), Work: 1e6, MinSpeed: 0.7}
	with := func(change func(u *Unit)) Unit {
		u := single
		change(&u)
		return u
	}
	equal := func(int) float64 { return 50 }
	slowCheap := func(i int) float64 { return float64(10 + 40*min(1, i%3)) }
	fastHuge := func(i int) float64 { return []float64{10, 1e9, 1e9}[i%3] }
	gang := with(func(u *Unit) { u.Tasks, u.Gang, u.RackLocal = 2, true, true })
	for name, c := range map[string]struct {
		loss func(int) float64
		unit Unit
		want []int
	}{
		"equal loss: a fast worker":               {equal, single, []int{2}},
		"a higher loss on a worker fast enough":   {slowCheap, single, []int{2}},
		"a loss that exceeds the unit's gain":     {fastHuge, single, []int{0}},
		"a guaranteed unit, whose gain is higher": {fastHuge, with(func(u *Unit) { u.Guaranteed = true }), []int{2}},
		"without a minimum speed":                 {slowCheap, with(func(u *Unit) { u.MinSpeed = 0 }), []int{0}},
		"a loose objective: a slow worker":        {equal, with(func(u *Unit) { u.MinSpeed = 0.3 }), []int{0}},
		"a gang in one rack":                      {slowCheap, gang, []int{2, 1}},
		"a gang that needs a slow worker":         {equal, with(func(u *Unit) { u.Tasks, u.Gang, u.RackLocal = 3, true, true }), []int{2, 1, 0}},
		"one task in the data rack":               {slowCheap, with(func(u *Unit) { u.DataRack = "r01" }), []int{5}},
		"a data rack that needs its slow worker":  {slowCheap, with(func(u *Unit) { u.Tasks, u.Gang, u.DataRack = 3, true, "r01" }), []int{3, 5, 4}},
	} {
		workers := busyWorkers(c.loss)
		require.Equal(t, c.want, stopped(workers, c.unit), name)
	}
}

// Guards against a gang that gets the first of two racks of equal loss although only the second is known to be fast enough, and against
// changed decisions while no speed is known.
func TestPreemptionPrefersRackOfKnownSpeed(t *testing.T) {
	workers := busyWorkers(func(int) float64 { return 50 })
	for i := range workers {
		workers[i].Speed = 0
	}
	gang := Unit{Service: "s", Tasks: 3, Need: resourcesWithGPUs(8), Work: 1e6, Gang: true, RackLocal: true}
	require.Equal(t, []int{0, 1, 2}, stopped(workers, gang))
	gang.MinSpeed = 0.7
	require.Equal(t, []int{0, 1, 2}, stopped(workers, gang), "no speed is known")
	for i := 6; i < 9; i++ {
		workers[i].Speed = 1
	}
	require.Equal(t, []int{6, 7, 8}, stopped(workers, gang))

	workers[0].Runs[0].LostWork = 10
	single := Unit{Service: "s", Tasks: 1, Need: resourcesWithGPUs(8), Work: 1e6, MinSpeed: 0.7}
	require.Equal(t, []int{0}, stopped(workers, single), "a worker of unknown speed may be fast enough")
}
