package standin

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// step is one random action on a worker, after a random time.
type step struct {
	after  time.Duration
	action string
	member int
	faults WorkerFaults
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			after:  time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond,
			action: rapid.SampledFrom([]string{"reserve", "start", "renew", "checkpoint", "throttle", "stop", "release", "faults"}).Draw(t, "act"),
			member: rapid.IntRange(0, 1).Draw(t, "member"),
			faults: WorkerFaults{
				Frozen:    rapid.Bool().Draw(t, "frozen"),
				FailAll:   rapid.IntRange(0, 9).Draw(t, "failAll") == 0,
				ClockRate: rapid.SampledFrom([]float64{0, 0.5, 1.3, 2}).Draw(t, "rate"),
			},
		}
	}), 1, 40).Draw(t, "steps")
}

// apply changes the state of the worker directly, because the methods of Fleet would wait for a
// frozen worker.
func (s step) apply(f *Fleet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers["a"]
	w.advance(f.clock.Now())
	id := leaseID(s.member)
	t, known := w.leasedTasks[id]
	switch {
	case s.action == "reserve":
		task := platform.TaskSpec{Members: 4, Accelerators: 2, Payload: "duration=7s checkpoint=1500ms"}
		_ = w.reserve(platform.ReserveRequest{Leases: []platform.LeaseID{id}, Task: task, TTLSeconds: 5})
	case s.action == "faults":
		w.setFaults(s.faults)
	case !known:
	case s.action == "start":
		w.start(t, 3*time.Second)
	case s.action == "renew":
		w.renew(t, 10*time.Second)
	case s.action == "checkpoint":
		w.beginCheckpoint(t)
	case s.action == "throttle":
		w.throttle(t, 0.5)
	case s.action == "stop":
		w.stop(t, "test")
	case s.action == "release":
		w.release([]platform.LeaseID{id})
	}
}

// Guards against a worker whose tasks end at a different time, or save different work, depending on
// how often the state of the worker is read. This can happen because the state is computed on
// demand.
func TestStateDoesNotDependOnObservation(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := drawSteps(rt)
		synctest.Test(t, func(*testing.T) {
			observed := NewFleet(FleetConfig{Workers: testRows(1)})
			unobserved := NewFleet(FleetConfig{Workers: testRows(1)})
			running := []step{{action: "reserve"}, {action: "start"}, {action: "checkpoint"}}
			for _, s := range append(running, steps...) {
				for left := s.after; left > 0; left -= 150 * time.Millisecond {
					time.Sleep(min(left, 150*time.Millisecond))
					observed.Snapshot("a")
				}
				s.apply(observed)
				s.apply(unobserved)
			}
			time.Sleep(30 * time.Second)
			requireSameState(rt, observed, unobserved)
		})
	})
}

// requireSameState compares the runs, leases and checkpoints of two fleets. It allows for the
// rounding to whole nanoseconds each time that the state is computed.
func requireSameState(t require.TestingT, a, b *Fleet) {
	const rounding = float64(time.Microsecond)
	runsA, runsB := a.Runs(), b.Runs()
	require.Len(t, runsB, len(runsA))
	for i := range runsA {
		require.Equal(t, runsA[i].EndState, runsB[i].EndState)
		require.InDelta(t, 0, runsA[i].To.Sub(runsB[i].To), rounding)
	}
	leasesA, leasesB := a.Snapshot("a"), b.Snapshot("a")
	require.Len(t, leasesB, len(leasesA))
	for i := range leasesA {
		require.Equal(t, leasesA[i].State, leasesB[i].State)
		require.Equal(t, leasesA[i].Checkpoint, leasesB[i].Checkpoint)
		require.InDelta(t, leasesA[i].RanSeconds, leasesB[i].RanSeconds, time.Microsecond.Seconds())
	}
	require.Len(t, b.workers["a"].checkpoints.work, len(a.workers["a"].checkpoints.work))
	for key, work := range a.workers["a"].checkpoints.work {
		require.InDelta(t, work, b.workers["a"].checkpoints.work[key], rounding, key.name)
	}
}
