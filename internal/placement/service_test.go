package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Guards against a break anywhere between a job in the log and its result in the log.
func TestJobRunsFromLogToResult(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, worldConfig{workers: 4, perRack: 2, nodes: []string{"i1", "i2", "i3"}})
		w.eventually(5*time.Second, "a leader", func() bool { return w.leader("zone-a") != nil })
		w.organisation("org")
		w.put(testJob("gang", 4, 4, "duration=5s"))
		w.eventually(2*time.Second, "running", w.phase("gang", resource.PhaseRunning))
		w.eventually(10*time.Second, "succeeded", w.phase("gang", resource.PhaseSucceeded))
		w.requireNoPartial(0)
		require.Len(t, w.fleet.Runs(), 4)
		w.eventually(time.Second, "leases released", func() bool {
			for _, row := range w.rows {
				if len(w.fleet.Snapshot(row.ID)) > 0 {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a takeover that is slow or that disturbs running gangs.
func TestTakeoverAdoptsRunningGangs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		w := newWorld(t, worldConfig{workers: 4, perRack: 2, nodes: []string{"i1", "i2", "i3"}})
		w.eventually(5*time.Second, "a leader", func() bool { return w.leader("zone-a") != nil })
		w.organisation("org")
		w.put(testJob("long", 4, 4, "duration=60s"))
		w.eventually(2*time.Second, "running", w.phase("long", resource.PhaseRunning))
		first := w.leader("zone-a")
		time.Sleep(10 * time.Second)

		w.kill(first.id)
		w.put(testJob("next", 2, 2, "duration=5s"))
		took := w.eventually(5*time.Second, "placed by the new leader", w.phase("next", resource.PhaseRunning))
		require.LessOrEqual(t, took, 3*time.Second)
		require.NotEqual(t, first.id, w.leader("zone-a").id)
		w.eventually(60*time.Second, "undisturbed", w.phase("long", resource.PhaseSucceeded))
		require.Equal(t, 1, w.job("long").Status.Starts)
		w.requireNoPartial(0)
	})
}
