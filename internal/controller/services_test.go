package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards queues that use the advice service: tasks run only on workers that were granted a ticket,
// and tickets are renewed after they have expired.
func TestAdvisedStepRunsOnWorkersWithTickets(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(1500*time.Millisecond), func(c *cluster) {
		for _, id := range []string{"w1", "w2", "w3", "w4"} {
			c.addWorker(id, "r1")
		}
		advisor := c.useAdvice(time.Second, "w2", "w3")
		c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: 6, CPU: 1000, GPU: 4})
		c.waitFor(10*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(1), Index: 5}))
		require.Greater(t, advisor.Calls(), 1, "tickets were renewed")
		require.Less(t, advisor.Calls(), 6)
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards maintenance waves: each machine goes down once, never more at a time than MaxDown, no task
// is lost, and the wave is reported as completed only at its end.
func TestMaintenanceWave(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(3*time.Second), func(c *cluster) {
		var names []string
		for _, id := range []string{"w1", "w2", "w3", "w4"} {
			c.addWorker(id, "r1")
			names = append(names, "m-"+id)
		}
		machines := workertest.NewMachines(c.fleet, 2*time.Second,
			func(id string) { c.write(workersTopic, ledger.Record{Key: id}) }, func(info worker.Info) { c.register(info) })
		c.machines = machines
		c.waves = []worker.Wave{{Number: 7, Machines: names, TimeLimit: 40 * time.Second, MaxDown: 1}}
		c.startInstance("a")
		for n := range 6 {
			c.submit(jobID(n), batch.Step{Count: 2, CPU: 1000, GPU: 4, Checkpoints: n%2 == 0})
		}
		c.waitFor(60*time.Second, "wave completed", func() bool {
			return string(c.log.LatestValues(statusTopic)["7"]) == "true"
		})
		most, maintained := machines.MaintenanceCounts()
		require.Equal(t, 1, most)
		require.Equal(t, 4, maintained)
		for n := range 6 {
			c.waitFor(30*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
			starts := c.fleet.Starts(batch.TaskID{Job: jobID(n)})
			if n%2 == 0 {
				require.LessOrEqual(t, starts, len(names), "checkpointing tasks move at most once per machine")
			} else {
				require.Equal(t, 1, starts, "tasks without checkpoints may finish")
			}
		}
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a new leader that reports a completed wave as running again.
func TestCompletedWaveStaysCompleted(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.machines = workertest.NewMachines(c.fleet, 2*time.Second,
			func(id string) { c.write(workersTopic, ledger.Record{Key: id}) }, func(info worker.Info) { c.register(info) })
		c.waves = []worker.Wave{{Number: 7, Machines: []string{"m-w1"}, TimeLimit: 30 * time.Second, MaxDown: 1}}
		completed := func() bool { return string(c.log.LatestValues(statusTopic)["7"]) == "true" }
		a := c.startInstance("a")
		c.waitFor(20*time.Second, "wave completed", completed)
		a.kill()
		c.startInstance("b")
		for range 150 {
			time.Sleep(100 * time.Millisecond)
			require.True(t, completed())
		}
	})
}

// Guards a maintenance wave against killed leaders, a failing log and lost responses of the machine
// service. No more machines are down than the wave allows, two holders do not send commands to a
// machine too soon after each other, no machine goes down while tasks run on it, and the wave
// completes.
func TestMaintenanceWaveUnderFaults(t *testing.T) {
	for n := range *sequences {
		seed := *firstSeed + n
		random := rand.New(rand.NewPCG(seed, 10))
		workOf := func(id batch.TaskID) workertest.Work {
			return workertest.Work{Duration: time.Second, GPU: 2, LongRunning: id.Job == jobID(0)}
		}
		inVirtualTime(t, seed, workOf, func(c *cluster) {
			var names []string
			for n := range 5 {
				id := fmt.Sprintf("w%d", n)
				c.addWorker(id, "r1")
				names = append(names, "m-"+id)
			}
			machines := workertest.NewMachines(c.fleet, 2*time.Second,
				func(id string) { c.write(workersTopic, ledger.Record{Key: id}) }, func(info worker.Info) { c.register(info) })
			c.machines = machines
			c.waves = []worker.Wave{{Number: 7, Machines: names, TimeLimit: 30 * time.Second, MaxDown: 2}}
			instances := []*instance{c.startInstance("a"), c.startInstance("b"), c.startInstance("c")}
			c.submit(jobID(0), batch.Step{Count: 3, CPU: 1000, GPU: 2, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1})
			machines.SetResponseLoss(0.3)
			faults := []fault{killInstance, logDown, responsesLost, expireRecords, networkFaults, endFaults}
			for n := range 8 {
				c.submit(jobID(n+1), batch.Step{Count: 2, CPU: 1000, GPU: 2, Checkpoints: n%2 == 0, EstimateMS: 1000})
				c.injectFault(random, faults[random.IntN(len(faults))], instances, nil)
				time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
			}
			c.clearFaults(instances, nil)
			c.waitFor(90*time.Second, "wave completed", func() bool { return string(c.log.LatestValues(statusTopic)["7"]) == "true" })
			most, maintained := machines.MaintenanceCounts()
			require.LessOrEqual(t, most, 2, "seed %d", seed)
			require.Equal(t, len(names), maintained, "seed %d", seed)
			require.Empty(t, c.fleet.Violations(), "seed %d", seed)
		})
	}
}

// Guards long-running tasks: they restart after every kind of end, a wave stops no more of them
// than their step allows, and cancellation stops them.
func TestLongRunningTasksRestart(t *testing.T) {
	workOf := func(id batch.TaskID) workertest.Work {
		if id.Index == 0 {
			return workertest.Work{Duration: 2 * time.Second, Fails: true}
		}
		return workertest.Work{Duration: time.Hour}
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		c.addWorker("w1", "r1")
		machines := workertest.NewMachines(c.fleet, 2*time.Second, func(string) {}, func(worker.Info) {})
		c.machines = machines
		c.waves = []worker.Wave{{Number: 1, Machines: []string{"m-w1"}, TimeLimit: 10 * time.Second, MaxDown: 1}}
		c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: 2, CPU: 1000, GPU: 1, LongRunning: true})
		time.Sleep(15 * time.Second)
		require.GreaterOrEqual(t, c.fleet.Starts(batch.TaskID{Job: jobID(1)}), 4, "more starts than the limit of failures")
		require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(1), Index: 1}))
		require.Equal(t, batch.Running, c.phase(jobID(1)))
		_, maintained := machines.MaintenanceCounts()
		require.Zero(t, maintained, "no task may be unavailable")
		c.write(batch.JobsTopic, batch.EncodeCancellation(jobID(1)))
		c.waitFor(2*time.Second, "stopped", func() bool { return c.fleet.RunCount("w1") == 0 })
	})
}

// Guards scheduled jobs: each occurrence runs once, at its due time.
func TestScheduledJob(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(500*time.Millisecond), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.startInstance("a")
		j := &batch.Job{
			ID: jobID(1), Queue: "q", Org: "o", Steps: []batch.Step{{Count: 1, CPU: 1000, GPU: 1}},
			Rules: batch.QueueRules{Service: "s", MaxFailedRuns: 3, DurationFactor: 2}, Repeat: 3,
			StartAtMS: time.Now().Add(2 * time.Second).UnixMilli(), IntervalMS: 1000,
		}
		record, err := batch.EncodeJob(j)
		require.NoError(t, err)
		c.write(batch.JobsTopic, record)
		starts := func(n int) int { return c.fleet.Starts(batch.TaskID{Job: jobID(1), Occurrence: n}) }
		time.Sleep(1900 * time.Millisecond)
		require.Zero(t, starts(0))
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 1, starts(0))
		require.Zero(t, starts(1))
		c.waitFor(4*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Equal(t, 1, starts(2))
	})
}

// slowUpkeep is a service of machines that takes 900 ms over each request for maintenance.
type slowUpkeep struct {
	*workertest.Machines
	// loseFirst makes it lose the first request.
	loseFirst atomic.Bool
}

func (m *slowUpkeep) Upkeep(ctx context.Context, id string, wave int64, holder string, token int64) error {
	time.Sleep(900 * time.Millisecond)
	if m.loseFirst.CompareAndSwap(true, false) {
		return worker.ErrUnknownOutcome
	}
	return m.Machines.Upkeep(ctx, id, wave, holder, token)
}

// newMachines returns a service with one machine for each worker. Maintenance takes 2 s.
func (c *cluster) newMachines() *workertest.Machines {
	return workertest.NewMachines(c.fleet, 2*time.Second,
		func(id string) { c.write(workersTopic, ledger.Record{Key: id}) }, func(info worker.Info) { c.register(info) })
}

func (c *cluster) waveCompleted() bool { return string(c.log.LatestValues(statusTopic)["7"]) == "true" }

// Guards against a wave that is reported as completed while a request for maintenance is in flight: if
// the request is lost, the machine never goes down.
func TestWaveIsNotCompletedBeforeLastRequestReturns(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		machines := &slowUpkeep{Machines: c.newMachines()}
		machines.loseFirst.Store(true)
		c.machines = machines
		c.waves = []worker.Wave{{Number: 7, Machines: []string{"m-w1"}, TimeLimit: 30 * time.Second, MaxDown: 1}}
		c.startInstance("a")
		c.waitFor(20*time.Second, "wave completed", c.waveCompleted)
		_, maintained := machines.MaintenanceCounts()
		require.Equal(t, 1, maintained)
	})
}

// Guards against more machines down than a wave allows: one for which the request is in flight was not
// counted.
func TestRequestInFlightCountsAsMachineDown(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		machines := &slowUpkeep{Machines: c.newMachines()}
		c.machines = machines
		c.waves = []worker.Wave{{Number: 7, Machines: []string{"m-w1", "m-w2"}, TimeLimit: 30 * time.Second, MaxDown: 1}}
		c.startInstance("a")
		c.waitFor(20*time.Second, "wave completed", c.waveCompleted)
		most, maintained := machines.MaintenanceCounts()
		require.Equal(t, 1, most)
		require.Equal(t, 2, maintained)
	})
}

// lateUpkeep is a service of machines that gives no response to the first request for maintenance and
// carries it out 3 s later.
type lateUpkeep struct {
	*workertest.Machines
	requested atomic.Bool
}

func (m *lateUpkeep) Upkeep(ctx context.Context, id string, wave int64, holder string, token int64) error {
	if !m.requested.CompareAndSwap(false, true) {
		return m.Machines.Upkeep(ctx, id, wave, holder, token)
	}
	time.AfterFunc(3*time.Second, func() { _ = m.Machines.Upkeep(context.Background(), id, wave, holder, token) })
	return worker.ErrUnknownOutcome
}

// Guards against runs that are lost because a request for maintenance without a response is carried out
// late: the worker got new work in the meantime.
func TestWorkerGetsNoWorkAfterUnconfirmedRequest(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(10*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		machines := &lateUpkeep{Machines: c.newMachines()}
		c.machines = machines
		c.waves = []worker.Wave{{Number: 7, Machines: []string{"m-w1"}, TimeLimit: 60 * time.Second, MaxDown: 1}}
		c.startInstance("a")
		c.waitFor(10*time.Second, "requested", machines.requested.Load)
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 8})
		c.waitFor(60*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed && c.waveCompleted() })
		require.Empty(t, c.fleet.Violations())
	})
}
