package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// maxPartialTime is the longest time for which only some members of a gang may run. It equals
// gang.RunningTTL.
const maxPartialTime = 10 * time.Second

// makeUnreachable makes the workers unreachable for calls. Their tasks run until the leases expire.
func (sys *testSystem) makeUnreachable(ids ...string) {
	for _, id := range ids {
		require.NoError(sys.t, sys.fleet.SetFaults(id, standin.WorkerFaults{CallFaults: standin.CallFaults{Silent: true}}))
	}
}

// clearFaults ends the faults of all workers, so that no call is in flight when the test ends.
func (sys *testSystem) clearFaults() {
	for _, row := range sys.rows {
		require.NoError(sys.t, sys.fleet.SetFaults(row.ID, standin.WorkerFaults{}))
	}
}

// runsElsewhere returns a condition that is true while all jobs run and none uses a lost worker.
func (sys *testSystem) runsElsewhere(lost []string, jobs ...string) func() bool {
	return func() bool {
		for _, name := range jobs {
			job := sys.job(name)
			if job == nil || job.Status.Phase != resource.PhaseRunning {
				return false
			}
			if slices.ContainsFunc(job.Status.Workers, func(id string) bool { return slices.Contains(lost, id) }) {
				return false
			}
		}
		return true
	}
}

// Guards against gangs that, after the loss of 1 to 4 racks, run with only some of their members for
// too long or do not start again on other racks. The test logs the virtual time from the loss until
// all gangs run again.
func TestCapacityRackLoss(t *testing.T) {
	for racks := 1; racks <= 4; racks++ {
		t.Run(fmt.Sprintf("racks=%d", racks), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				sys := startSystem(t, systemConfig{workers: 32, perRack: 4, nodes: threeNodes})
				var jobs, lost []string
				for i := range 4 {
					job := testJob(fmt.Sprintf("job-%d", i), 4, 8, "duration=10h")
					job.Spec.Adjacency = resource.AdjacentRack
					sys.put(job)
					jobs = append(jobs, job.Name)
				}
				for _, name := range jobs {
					sys.eventually(5*time.Second, name, sys.inPhase(name, resource.PhaseRunning))
				}
				time.Sleep(time.Minute)
				for _, name := range jobs[:racks] {
					lost = append(lost, sys.job(name).Status.Workers...)
				}
				sys.makeUnreachable(lost...)
				took := sys.eventually(2*time.Minute, "all run again", sys.runsElsewhere(lost, jobs...))
				t.Logf("racks=%d lost, gangs run again after %s", racks, took)
				sys.requireNoPartial(maxPartialTime)
				sys.clearFaults()
			})
		})
	}
}

// Guards against jobs that stay in a lost availability zone, of which all workers and instances are
// unreachable. The test logs the virtual time from the loss until the gangs run in the other zone.
func TestCapacityZoneLoss(t *testing.T) {
	for _, count := range []int{1, 2, 4, 8} {
		t.Run(fmt.Sprintf("gangs=%d", count), func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				sys := startSystem(t, systemConfig{
					workers: 32, perRack: 4, workerZones: []string{"zone-a", "zone-b"},
					nodes: []string{"i1@zone-a", "i2@zone-a", "i3@zone-b", "i4@zone-b"},
				})
				var jobs, lost []string
				for i := range count {
					job := testJob(fmt.Sprintf("job-%d", i), 4, 8, "duration=10h")
					sys.put(job)
					jobs = append(jobs, job.Name)
				}
				for _, name := range jobs {
					sys.eventually(5*time.Second, name, sys.inPhase(name, resource.PhaseRunning))
				}
				time.Sleep(time.Minute)
				for _, row := range sys.rows {
					if row.Zone == "zone-a" {
						lost = append(lost, row.ID)
					}
				}
				sys.makeUnreachable(lost...)
				sys.kill("i1")
				sys.kill("i2")
				took := sys.eventually(2*time.Minute, "all run again", sys.runsElsewhere(lost, jobs...))
				t.Logf("gangs=%d of the lost zone run again after %s", count, took)
				sys.requireNoPartial(maxPartialTime)
				sys.clearFaults()
			})
		})
	}
}
