package placement

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Guards against a fault anywhere between a job in the log and its result in the log: the job must
// run with all its members, succeed, and leave no leases at the workers.
func TestJobRunsFromLogToResult(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := newSystem(t, systemConfig{workers: 4, perRack: 2, nodes: []string{"i1", "i2", "i3"}})
		sys.eventually(5*time.Second, "zone-a has a leader", func() bool { return sys.leader("zone-a") != nil })
		sys.putOrganisation("org")
		sys.put(testJob("gang", 4, 4, "duration=5s"))
		sys.eventually(2*time.Second, "running", sys.inPhase("gang", resource.PhaseRunning))
		sys.eventually(10*time.Second, "succeeded", sys.inPhase("gang", resource.PhaseSucceeded))
		sys.requireNoPartial(0)
		require.Len(t, sys.fleet.Runs(), 4)
		sys.eventually(time.Second, "leases released", func() bool {
			for _, row := range sys.rows {
				if len(sys.fleet.Snapshot(row.ID)) > 0 {
					return false
				}
			}
			return true
		})
	})
}

// Guards against a takeover that is slow or that disturbs running gangs while a worker is unreachable.
// A new leader that waited for this worker could renew the leases of the gangs too late.
func TestTakeoverAdoptsRunningGangs(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := newSystem(t, systemConfig{workers: 4, perRack: 2, nodes: []string{"i1", "i2", "i3"}})
		sys.eventually(5*time.Second, "zone-a has a leader", func() bool { return sys.leader("zone-a") != nil })
		sys.putOrganisation("org")
		sys.put(testJob("long", 4, 4, "duration=60s"))
		sys.eventually(2*time.Second, "running", sys.inPhase("long", resource.PhaseRunning))
		first := sys.leader("zone-a")
		time.Sleep(10 * time.Second)

		used := sys.job("long").Status.Workers
		for _, row := range sys.rows {
			if !slices.Contains(used, row.ID) {
				// The leases at the other workers must not expire because of this one.
				require.NoError(t, sys.fleet.SetFaults(row.ID, standin.WorkerFaults{CallFaults: standin.CallFaults{Silent: true}}))
				break
			}
		}
		sys.kill(first.id)
		sys.put(testJob("next", 2, 2, "duration=5s"))
		took := sys.eventually(5*time.Second, "placed by the new leader", sys.inPhase("next", resource.PhaseRunning))
		require.LessOrEqual(t, took, 3*time.Second)
		require.NotEqual(t, first.id, sys.leader("zone-a").id)
		sys.eventually(60*time.Second, "the running gang succeeds", sys.inPhase("long", resource.PhaseSucceeded))
		require.Equal(t, 1, sys.job("long").Status.Starts)
		sys.requireNoPartial(0)
	})
}

// startSystem starts a testSystem with a leader of zone-a and the organisation "org".
func startSystem(t *testing.T, config systemConfig) *testSystem {
	sys := newSystem(t, config)
	sys.eventually(5*time.Second, "zone-a has a leader", func() bool { return sys.leader("zone-a") != nil })
	sys.putOrganisation("org")
	return sys
}

var threeNodes = []string{"i1", "i2", "i3"}

// Guards against one stop call for each cancelled job: when many jobs are cancelled at once, the stops
// for a worker share calls, at most 3 for each worker.
func TestCancellationWaveIsBatched(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 4, perRack: 2, nodes: threeNodes})
		const jobs = 32
		for i := range jobs {
			sys.put(testJob(fmt.Sprintf("job%d", i), 1, 1, "duration=1h"))
		}
		running := func() int {
			n := 0
			for i := range jobs {
				if sys.inPhase(fmt.Sprintf("job%d", i), resource.PhaseRunning)() {
					n++
				}
			}
			return n
		}
		sys.eventually(2*time.Minute, "all running", func() bool { return running() == jobs })
		before := sys.stopCalls.Load()
		for i := range jobs {
			sys.write(state.Record{Delete: &state.Delete{Kind: resource.KindJob, Name: fmt.Sprintf("job%d", i)}})
		}
		sys.eventually(3*time.Second, "all stopped", func() bool { return sys.activeLeases() == 0 })
		require.LessOrEqual(t, sys.stopCalls.Load()-before, int64(3*4), "stop calls for %d jobs on 4 workers", jobs)
	})
}

// Guards against a reclaim that stops a job before its checkpoint is complete although the deadline
// leaves time for it, so that work since the last checkpoint is lost.
func TestReclaimWaitsForCheckpoint(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: threeNodes})
		sys.put(&resource.Organisation{Metadata: resource.Metadata{Name: "owner"}})
		sys.put(testJob("filler", 4, 4, "duration=1h checkpoint=500ms"))
		sys.eventually(3*time.Second, "running", sys.inPhase("filler", resource.PhaseRunning))
		time.Sleep(20 * time.Second)
		g := &resource.Guarantee{
			Metadata: resource.Metadata{Name: "promise"},
			Spec:     resource.GuaranteeSpec{Organisation: "owner", Gangs: 1, Members: 2, AcceleratorsPerMember: 8, Adjacency: resource.AdjacentZone},
			Status:   resource.GuaranteeStatus{Zone: "zone-a"},
		}
		sys.put(g)
		owner := testJob("owner", 2, 8, "duration=5s")
		owner.Spec.Organisation = "owner"
		sys.put(owner)
		took := sys.eventually(10*time.Second, "owner runs", sys.inPhase("owner", resource.PhaseRunning))
		require.LessOrEqual(t, took, 7100*time.Millisecond)
		filler := sys.job("filler").Status
		require.NotEmpty(t, filler.Checkpoint)
		require.Greater(t, filler.ConsumedSeconds, 18.0)
		sys.eventually(20*time.Second, "filler runs again", sys.inPhase("filler", resource.PhaseRunning))
		sys.requireNoPartial(time.Second)
	})
}

// Guards against a log outage that stops placement, loses results, or lets a job that runs at most
// once start without a record of its attempt. The outage lasts over an hour and includes the death of
// the leader.
func TestHourWithoutLog(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: threeNodes})
		sys.put(testJob("first", 2, 8, "duration=30s"))
		sys.put(testJob("second", 2, 8, "duration=30s"))
		never := testJob("never", 1, 1, "duration=1s")
		never.Spec.Restart = resource.RestartNever
		sys.eventually(3*time.Second, "running", sys.inPhase("first", resource.PhaseRunning))
		sys.put(never)
		sys.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{Outage: true}})
		sys.eventually(2*time.Minute, "the second job ran during the outage", func() bool {
			return len(sys.fleet.Runs()) == 4 && sys.activeLeases() == 0
		})
		waiting, found, err := sys.nodes["i2"].placement.Explain(context.Background(), "zone-a", "never")
		require.NoError(t, err)
		require.True(t, found, "any instance can get the reason from the leader")
		require.Equal(t, scheduler.ReasonLogUnavailable, waiting.Code)
		sys.kill(sys.leader("zone-a").id)
		time.Sleep(time.Hour)
		require.NotNil(t, sys.leader("zone-a"), "a provisional leader")
		require.Len(t, sys.fleet.Runs(), 4, "no result was lost and no job ran again")

		sys.log.SetFaults(standin.LogFaults{})
		sys.eventually(10*time.Second, "results recorded", func() bool {
			return sys.inPhase("first", resource.PhaseSucceeded)() && sys.inPhase("second", resource.PhaseSucceeded)()
		})
		sys.eventually(20*time.Second, "the waiting job ran", sys.inPhase("never", resource.PhaseSucceeded))
		require.Len(t, sys.fleet.Runs(), 5)
	})
}

// Guards against a gang that keeps running for too long after one of its workers became unreachable, a
// job that is not placed again, and a guarantee that is shown as honourable although it cannot be
// honoured without that worker.
func TestUnreachableWorkerEndsItsGang(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 4, perRack: 2, nodes: threeNodes})
		sys.put(&resource.Guarantee{
			Metadata: resource.Metadata{Name: "all"},
			Spec:     resource.GuaranteeSpec{Organisation: "org", Gangs: 4, Members: 1, AcceleratorsPerMember: 8, Adjacency: resource.AdjacentZone},
			Status:   resource.GuaranteeStatus{Zone: "zone-a"},
		})
		sys.put(testJob("gang", 2, 8, "duration=40s"))
		sys.eventually(3*time.Second, "running", sys.inPhase("gang", resource.PhaseRunning))
		time.Sleep(5 * time.Second)
		lost := sys.job("gang").Status.Workers[0]
		require.NoError(t, sys.fleet.SetFaults(lost, standin.WorkerFaults{CallFaults: standin.CallFaults{Silent: true}}))
		took := sys.eventually(time.Minute, "placed elsewhere", func() bool {
			status := sys.job("gang").Status
			return status.Phase == resource.PhaseRunning && status.Starts == 2
		})
		t.Logf("placed again after %s", took)
		require.NotContains(t, sys.job("gang").Status.Workers, lost)
		sys.requireNoPartial(10 * time.Second)
		sys.eventually(time.Second, "the guarantee is not honourable", sys.honourable("all", resource.ConditionFalse))
		require.NoError(t, sys.fleet.SetFaults(lost, standin.WorkerFaults{}))
		sys.eventually(10*time.Second, "the guarantee is honourable again", sys.honourable("all", resource.ConditionTrue))
	})
}

// Guards against a job that stays queued although the zone's workers could not run it even if they
// were all free.
func TestImpossibleJobEndsAtOnce(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: threeNodes})
		sys.put(testJob("huge", 5, 8, ""))
		sys.eventually(2*time.Second, "unplaceable", sys.inPhase("huge", resource.PhaseUnplaceable))
		require.NotEmpty(t, sys.job("huge").Status.Reason)
	})
}

// Guards against jobs and guarantees that stay in a zone whose workers are all unreachable.
func TestLostZoneMovesItsWork(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{
			workers: 2, perRack: 2, workerZones: []string{"zone-a", "zone-b"},
			nodes: []string{"i1@zone-a", "i2@zone-a", "i3@zone-b", "i4@zone-b"},
		})
		sys.put(&resource.Guarantee{
			Metadata: resource.Metadata{Name: "promise"},
			Spec:     resource.GuaranteeSpec{Organisation: "org", Gangs: 1, Members: 1, AcceleratorsPerMember: 8, Adjacency: resource.AdjacentZone},
			Status:   resource.GuaranteeStatus{Zone: "zone-a"},
		})
		sys.put(testJob("gang", 2, 4, "duration=30s"))
		sys.eventually(3*time.Second, "running", sys.inPhase("gang", resource.PhaseRunning))
		sys.kill("i1")
		sys.kill("i2")
		for _, row := range sys.rows {
			if row.Zone == "zone-a" {
				require.NoError(t, sys.fleet.SetFaults(row.ID, standin.WorkerFaults{CallFaults: standin.CallFaults{Outage: true}}))
			}
		}
		sys.eventually(time.Minute, "the job runs in the other zone", func() bool {
			status := sys.job("gang").Status
			return status.Zone == "zone-b" && status.Phase == resource.PhaseRunning
		})
		sys.eventually(time.Minute, "the guarantee moved", func() bool {
			zone := ""
			sys.liveNode().replica.Read(func(s *state.State) { zone = s.Guarantees["promise"].Status.Zone })
			return zone == "zone-b"
		})
		sys.requireNoPartial(10 * time.Second)
	})
}

// Guards against a worker that fails every task and still gets jobs, and against a quarantine that
// does not end after the worker is repaired.
func TestFailingWorkerIsQuarantinedAndReturns(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 4, perRack: 2, nodes: threeNodes})
		sys.putOrganisation("other")
		bad := sys.rows[0].ID
		require.NoError(t, sys.fleet.SetFaults(bad, standin.WorkerFaults{FailAll: true}))
		for i := range 12 {
			job := testJob(fmt.Sprintf("job%d", i), 1, 4, "duration=10s")
			if i%2 == 0 {
				job.Spec.Organisation = "other"
			}
			sys.put(job)
		}
		quarantined := func() bool {
			found := false
			sys.liveNode().replica.Read(func(s *state.State) { found = s.Workers[bad].Quarantined })
			return found
		}
		sys.eventually(time.Minute, "the bad worker is quarantined", quarantined)
		for i := range 12 {
			sys.eventually(time.Minute, "jobs succeed elsewhere", sys.inPhase(fmt.Sprintf("job%d", i), resource.PhaseSucceeded))
		}
		require.NoError(t, sys.fleet.SetFaults(bad, standin.WorkerFaults{}))
		sys.eventually(10*time.Minute, "the quarantine ended", func() bool { return !quarantined() })
	})
}

// Guards against a task that permanently uses more than its job declares, at the expense of other tasks
// on its worker. It must be throttled and then stopped.
func TestOveruseIsThrottledThenStopped(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: threeNodes})
		greedy := testJob("greedy", 1, 1, "duration=1h memory=64000 checkpoint=500ms")
		greedy.Spec.MemoryMBPerMember, greedy.Spec.CoresPerMember = 1000, 2
		sys.put(greedy)
		sys.eventually(3*time.Second, "running", sys.inPhase("greedy", resource.PhaseRunning))
		sys.eventually(time.Minute, "throttled with the reason", func() bool {
			return strings.HasPrefix(sys.job("greedy").Status.Reason, "throttled: member 0 uses")
		})
		sys.eventually(5*time.Minute, "ended with the reason", sys.inPhase("greedy", resource.PhaseFailed))
		require.Contains(t, sys.job("greedy").Status.Reason, "more than it declared")
	})
}

// Guards against repeated takeovers by instances that reach the log but no peer and no worker.
func TestIsolatedInstanceDoesNotTakeOverRepeatedly(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: []string{"i1", "i2", "i3", "i4"}})
		sys.isolate("i1")
		sys.isolate("i2")
		time.Sleep(5 * time.Minute)
		var epoch uint64
		sys.liveNode().replica.Read(func(s *state.State) { epoch = s.Zones["zone-a"].Epoch.Number })
		// At most 5 epochs: the first claim, one claim by each of the two isolated instances, and a
		// takeover after each of these.
		require.LessOrEqual(t, epoch, uint64(5))
		leader := sys.leader("zone-a")
		require.NotNil(t, leader)
		require.Contains(t, []string{"i3", "i4"}, leader.id)
	})
}

// Guards against takeovers that take longer than 3 s after the death of the leader, with the log up or
// down, or longer than 1 s after a graceful stop. The time is measured from the fault until the next
// job, which the new leader places, runs.
func TestTakeoverTimes(t *testing.T) {
	cases := []struct {
		name  string
		logUp bool
		stop  bool
		limit time.Duration
	}{
		{"death, log up", true, false, 3 * time.Second},
		{"death, log down", false, false, 3 * time.Second},
		{"graceful stop, log up", true, true, time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T) {
				sys := startSystem(t, systemConfig{workers: 4, perRack: 2, nodes: []string{"i1", "i2", "i3", "i4", "i5", "i6"}})
				sys.put(testJob("long", 4, 8, "duration=1h"))
				sys.eventually(3*time.Second, "running", sys.inPhase("long", resource.PhaseRunning))
				sys.put(testJob("next", 2, 8, "duration=10s"))
				time.Sleep(time.Second)
				first, begin := sys.leader("zone-a"), time.Now()
				if c.stop {
					first.stop()
				} else {
					sys.kill(first.id)
				}
				// The running gang is cancelled only after the fault, so that it is the new leader
				// that places the next job.
				sys.writeThrough(sys.liveNodeExcept(first.id), state.Record{Delete: &state.Delete{Kind: resource.KindJob, Name: "long"}})
				if !c.logUp {
					sys.eventually(time.Second, "all live instances have the same state", sys.sameState)
					sys.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{Outage: true}})
				}
				sys.eventually(10*time.Second, "the next job runs", func() bool { return len(sys.fleet.Runs()) == 6 })
				took := time.Since(begin)
				t.Logf("case=%q took=%s", c.name, took)
				require.LessOrEqual(t, took, c.limit)
			})
		})
	}
}

// Guards against a slow log that stops placement, loses results or starts a job twice. Each call to
// the log is delayed by 1.5 s.
func TestSlowLog(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		sys := startSystem(t, systemConfig{workers: 2, perRack: 2, nodes: threeNodes})
		never := testJob("never", 2, 2, "duration=5s")
		never.Spec.Restart = resource.RestartNever
		sys.put(testJob("gang", 4, 2, "duration=5s"))
		sys.put(never)
		sys.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{Delay: settings.Duration(1500 * time.Millisecond)}})
		sys.eventually(2*time.Minute, "recorded", sys.inPhase("gang", resource.PhaseSucceeded))
		sys.eventually(2*time.Minute, "recorded", sys.inPhase("never", resource.PhaseSucceeded))
		require.Len(t, sys.fleet.Runs(), 6)
		require.NotNil(t, sys.leader("zone-a"))
	})
}
