package placement

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

const (
	// capacityMembers is the number of members of each gang.
	capacityMembers = 7
	// headerBytes is the estimated size in bytes of the HTTP headers of one call and its response.
	headerBytes = 300
)

// zoneSimulation runs the control loop of one zone with a given number of workers and gangs under
// virtual time. Workers respond at once.
type zoneSimulation struct {
	clock *manualClock
	fleet *standin.Fleet
	state *state.State
	zone  *zone
	rows  []platform.Instance
	calls map[gang.CallKind]int
	bytes int
	// stepTimes has the real duration of each step.
	stepTimes []time.Duration
	// logDown makes the log unavailable.
	logDown bool
}

func newZoneSimulation(tb testing.TB, workers, gangs int) *zoneSimulation {
	c := &zoneSimulation{
		clock: &manualClock{at: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)},
		state: state.New(), calls: make(map[gang.CallKind]int),
	}
	for i := range workers {
		c.rows = append(c.rows, platform.Instance{
			ID: fmt.Sprintf("worker-%03d", i), Kind: platform.KindWorker, State: platform.StateLive, Zone: "z",
			Rack: fmt.Sprintf("rack-%02d", i/8), Cores: 128, MemoryMB: 256 << 10, Accelerators: 16,
		})
	}
	c.fleet = standin.NewFleet(standin.FleetConfig{Clock: c.clock, Workers: c.rows, UsageLag: time.Second})
	c.state.Organisations["org"] = &resource.Organisation{Metadata: resource.Metadata{Name: "org"}}
	c.state.Zones["z"] = state.ZoneLeader{Epoch: platform.Epoch{Number: 1, Holder: "i1"}}
	for i := range gangs {
		c.runGang(tb, i)
	}
	c.state.Applied = 1000
	epoch := platform.Epoch{Number: 2, Holder: "i2"}
	c.state.Zones["z"] = state.ZoneLeader{Epoch: epoch}
	c.zone = newZone(c.clock.at, "z", epoch, scheduler.New(1))
	return c
}

// runGang reserves and starts a gang at the workers under the epoch of an earlier leader, and adds its
// job to the state.
func (c *zoneSimulation) runGang(tb testing.TB, i int) {
	job := testJob(fmt.Sprintf("job-%04d", i), capacityMembers, 1, "duration=10h")
	job.UID, job.Spec.CoresPerMember, job.Spec.MemoryMBPerMember = fmt.Sprintf("uid-%04d-0123456789abcdef0123", i), 4, 8<<10
	job.Status = resource.JobStatus{Phase: resource.PhaseRunning, Zone: "z", Attempt: 1<<32 + uint64(i), StartedAt: c.clock.at}
	task := platform.TaskSpec{Organisation: "org", JobName: job.Name, Members: capacityMembers, Accelerators: 1, Cores: 4, MemoryMB: 8 << 10, Payload: job.Spec.Payload}
	epoch := platform.Epoch{Number: 1, Holder: "i1"}
	for m := range capacityMembers {
		row := c.rows[(i*capacityMembers+m)%len(c.rows)]
		job.Status.Workers = append(job.Status.Workers, row.ID)
		id := platform.LeaseID{JobUID: job.UID, Attempt: job.Status.Attempt, Member: m}
		ctx := context.Background()
		require.NoError(tb, c.fleet.Reserve(ctx, row, platform.ReserveRequest{Epoch: epoch, Leases: []platform.LeaseID{id}, Task: task, TTLSeconds: 5}))
		_, err := c.fleet.Start(ctx, row, platform.LeaseRequest{Epoch: epoch, Leases: []platform.LeaseID{id}, TTLSeconds: 7})
		require.NoError(tb, err)
	}
	c.state.Jobs[job.Name] = job
}

// run advances the virtual time by d, and carries out the calls and the write of each step at once.
func (c *zoneSimulation) run(d time.Duration) {
	for end := c.clock.at.Add(d); c.clock.at.Before(end); {
		c.clock.at = c.clock.at.Add(stepInterval)
		view := newView(c.state, "z")
		view.Instances, view.Confirmed, view.LogUp = c.rows, true, !c.logDown
		begin := time.Now()
		step := c.zone.step(c.clock.at, view)
		c.stepTimes = append(c.stepTimes, time.Since(begin))
		c.callAll(step.Ops)
		if step.Update != nil {
			v := c.state.Apply(c.state.Applied+1, state.Record{ID: step.RecordID, Base: c.state.Applied, ZoneUpdate: step.Update})
			c.zone.handleWriteResult(c.clock.at, v, nil)
		}
	}
}

// callAll makes the calls for ops, which share calls in the same way as in the dispatcher.
func (c *zoneSimulation) callAll(ops []Op) {
	queues := make(map[string]*callQueue)
	var order []string
	for _, op := range ops {
		id := op.Call.Worker
		if queues[id] == nil {
			queues[id] = &callQueue{}
			order = append(order, id)
		}
		queues[id].ops = append(queues[id].ops, op)
	}
	d := &dispatcher{
		workers: c.fleet, epoch: c.zone.epoch,
		mayCall: func() bool { return true }, now: c.clock.Now,
	}
	for _, id := range order {
		for batch := queues[id].nextBatch(); len(batch) > 0; batch = queues[id].nextBatch() {
			opResults := d.callBatch(context.Background(), batch)
			c.countCalls(batch, opResults)
			for i, op := range batch {
				c.zone.handleResult(c.clock.at, op, opResults[i])
			}
		}
	}
}

func (c *zoneSimulation) countCalls(batch []Op, opResults []OpResult) {
	c.calls[batch[0].Kind]++
	c.bytes += headerBytes
	for i, op := range batch {
		request, _ := json.Marshal(op.Leases)
		response, _ := json.Marshal(opResults[i].Results)
		if op.isList() {
			response, _ = json.Marshal(opResults[i].Leases)
		}
		usage, _ := json.Marshal(opResults[i].Usage)
		c.bytes += len(request) + len(response) + len(usage)
	}
}

func (c *zoneSimulation) totalCalls() int {
	n := 0
	for _, count := range c.calls {
		n += count
	}
	return n
}

func (c *zoneSimulation) reset() {
	clear(c.calls)
	c.bytes, c.stepTimes = 0, nil
}

// Guards against one renewal call for each gang on a worker: the renewals of all gangs on a worker
// must share one call in each gang.RenewPeriod.
func TestRenewalsShareOneCallForEachWorker(t *testing.T) {
	c := newZoneSimulation(t, 16, 24)
	c.run(5 * time.Second)
	c.reset()
	c.run(20 * time.Second)
	periods := int(20 * time.Second / gang.RenewPeriod)
	require.LessOrEqual(t, c.calls[gang.CallRenew], 16*(periods+1))
	require.Zero(t, c.calls[gang.CallStop])
}

// BenchmarkCapacityPlacement reports the calls to workers and their bytes in the steady state, the
// CPU time of the steps, the time of the adoption by a new leader, the heap size, and the stop calls
// when half of the jobs are cancelled at once.
func BenchmarkCapacityPlacement(b *testing.B) {
	sizes := []struct{ workers, gangs int }{{48, 72}, {200, 300}, {400, 600}, {800, 1200}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("workers=%d/tasks=%d", size.workers, size.gangs*capacityMembers), func(b *testing.B) {
			for range b.N {
				benchmarkPlacement(b, size.workers, size.gangs)
			}
		})
	}
}

func benchmarkPlacement(b *testing.B, workers, gangs int) {
	c := newZoneSimulation(b, workers, gangs)
	begin := time.Now()
	c.run(200 * time.Millisecond)
	adoption := time.Since(begin)
	require.Len(b, c.zone.runs, gangs)
	c.run(30 * time.Second)
	c.reset()
	const measured = 30 * time.Second
	c.run(measured)
	seconds := measured.Seconds()
	b.ReportMetric(float64(c.totalCalls())/seconds/float64(workers), "worker_calls/s")
	b.ReportMetric(float64(c.bytes)/seconds/float64(workers), "worker_B/s")
	b.ReportMetric(float64(c.bytes)/seconds/1024, "leader_KiB/s")
	b.ReportMetric(adoption.Seconds()*1000, "adopt_ms")
	slices.Sort(c.stepTimes)
	var sum time.Duration
	for _, d := range c.stepTimes {
		sum += d
	}
	b.ReportMetric(sum.Seconds()/seconds*100, "step_core_%")
	b.ReportMetric(c.stepTimes[len(c.stepTimes)*99/100].Seconds()*1000, "step_p99_ms")
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	b.ReportMetric(float64(memory.HeapAlloc)/(1<<20), "heap_MiB")
	c.reset()
	c.cancelJobs(gangs / 2)
	b.ReportMetric(float64(c.calls[gang.CallStop])/float64(workers), "wave_stops/worker")
	require.Len(b, c.zone.runs, gangs-gangs/2)
}

// cancelJobs deletes the first jobs in consecutive records and runs the loop for 5 s.
func (c *zoneSimulation) cancelJobs(jobs int) {
	for i := range jobs {
		offset := c.state.Applied + 1
		c.state.Apply(offset, state.Record{
			ID: fmt.Sprintf("cancel-%d", i), Base: c.state.Applied,
			Delete: &state.Delete{Kind: resource.KindJob, Name: fmt.Sprintf("job-%04d", i)},
		})
	}
	c.run(5 * time.Second)
}
