package controller

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

const (
	workersTopic = "keyed.workers"
	statusTopic  = "keyed.reports"
	// operatorTopic has the evacuated zones as keys.
	operatorTopic = "keyed.orders"
)

func waveStatus(wave int64, completed bool) ledger.Record {
	return ledger.Record{Key: fmt.Sprint(wave), Value: []byte(fmt.Sprint(completed))}
}

// cluster is a set of instances in virtual time, connected to stand-ins of the platform.
type cluster struct {
	t            *testing.T
	log          *ledgertest.Log
	writer       *ledgertest.Client
	fleet        *workertest.Fleet
	incarnations int
	instances    []*instance
	// Settings of instances that start later; a change of waves also applies to running instances.
	config   *opconfig.Config
	workers  worker.Client
	advisor  worker.Advisor
	machines worker.Machines
	waves    []worker.Wave
	// decode, if set, replaces decodeWorker on instances that start later.
	decode func(ledger.Record) (worker.Info, error)
	// logger, if set, gets the log lines of instances that start later.
	logger *log.Logger
	// wrapLog, if set, returns the log for the election and the controller of an instance.
	wrapLog func(ledger.Log) ledger.Log
	// evacuationBound is Timing.EvacuationBound of instances that start later.
	evacuationBound time.Duration
	// clockErrors is by how much the time of day of each instance is wrong, by the instance's name.
	clockErrors sync.Map
}

// setClockError makes the time of day of an instance wrong, ahead if the error is positive.
func (c *cluster) setClockError(name string, by time.Duration) { c.clockErrors.Store(name, by) }

// timeOfDay returns the time of day of an instance.
func (c *cluster) timeOfDay(name string) time.Time {
	if by, ok := c.clockErrors.Load(name); ok {
		return time.Now().Add(by.(time.Duration))
	}
	return time.Now()
}

// instance is one incarnation of an instance.
type instance struct {
	name string
	log  *ledgertest.Client
	// operatorLog is the connection with which the instance reads the operator's records.
	operatorLog *ledgertest.Client
	stop        context.CancelFunc
	goroutines  *sync.WaitGroup
	elector     *election.Elector
	control     *Controller
	intake      *intake.Service
}

// inVirtualTime runs a test in virtual time. workOf returns the work of a task's run.
func inVirtualTime(t *testing.T, seed uint64, workOf func(batch.TaskID) workertest.Work, run func(c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer boottime.Simulate()()
		c := &cluster{t: t, log: ledgertest.New(seed), fleet: workertest.NewFleet(seed, workOf), config: testConfig}
		c.workers = c.fleet
		c.writer = c.log.Client()
		defer c.killAll()
		run(c)
	})
}

var testConfig = &opconfig.Config{
	Version: 1,
	Queues:  []opconfig.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxFailedRuns: 3, DurationFactor: 3, DurationOffset: time.Second}},
	Orgs:    []opconfig.Org{{Name: "o", Keys: []string{"k"}, GuaranteedGPU: 8}},
}

func init() { testConfig.BuildIndexes() }

// startInstance starts an instance, or restarts it under its name.
func (c *cluster) startInstance(name string) *instance {
	c.incarnations++
	incarnation := fmt.Sprintf("%s-%d", name, c.incarnations)
	client := c.log.Client()
	ctx, stop := context.WithCancel(context.Background())
	i := &instance{name: name, log: client, operatorLog: c.log.Client(), stop: stop, goroutines: &sync.WaitGroup{}}
	logger := logging.Discard()
	switch {
	case c.logger != nil:
		logger = c.logger
	case testing.Verbose():
		logger = logging.New(c.t.Output(), "info", name)
	}
	decode := decodeWorker
	if c.decode != nil {
		decode = c.decode
	}
	var leaderLog ledger.Log = client
	if c.wrapLog != nil {
		leaderLog = c.wrapLog(client)
	}
	var control *Controller
	jobs := ledger.NewFollower(ledger.FollowerConfig{
		Log: client, Topic: batch.JobsTopic, Wait: time.Second, Logger: logger,
		Apply: func(u ledger.Update) { control.JobsChanged(i.intake.Apply(u)) },
	})
	operator := newOperatorCopy(i.operatorLog, c.evacuationBound, logger)
	set := metrics.NewSet()
	writer := ledger.NewWriter(ledger.WriterConfig{Log: client, Topic: batch.JobsTopic, Producer: incarnation, Epoch: 1, Logger: logger})
	timeOfDay := func() time.Time { return c.timeOfDay(name) }
	i.intake = intake.New(intake.Config{Writer: writer, ConfigAge: jobs, JobsAge: jobs, TimeOfDay: timeOfDay, Metrics: set, Logger: logger})
	i.intake.SetConfig(c.config)
	control = New(Config{
		Log: leaderLog, Workers: c.workers, Advisor: c.advisor, Machines: c.machines, Jobs: i.intake, JobsPosition: jobs.Position,
		OperatorConfig: i.intake.CurrentConfig, Waves: func() []worker.Wave { return c.waves },
		Evacuations: operator.copy, WorkersTopic: workersTopic, DecodeWorker: decode, Holder: name,
		StatusTopic: statusTopic, WaveStatus: waveStatus,
		Timing:    Timing{MaxLease: testMaxLease, FinishedJobRetention: time.Minute, HeartbeatInterval: 1500 * time.Millisecond, HolderChangeInterval: 3 * time.Second, EvacuationBound: c.evacuationBound},
		TimeOfDay: timeOfDay, Metrics: set, Logger: logger,
	})
	i.control = control
	i.elector = election.New(election.Config{
		Log: leaderLog, Identity: election.Identity{Instance: name, Incarnation: incarnation},
		Eligible: func() bool { return i.intake.Ready() && control.Idle() }, Lead: control.Lead, Logger: logger,
	})
	leader := ledger.NewFollower(ledger.FollowerConfig{
		Log: client, Topic: election.Topic, Wait: time.Second, Apply: i.elector.Observe, Logger: logger,
	})
	for _, run := range []func(context.Context){
		jobs.Run, leader.Run, operator.Run, i.elector.Run, control.WatchClock, func(ctx context.Context) { _ = writer.Run(ctx) },
	} {
		i.goroutines.Go(func() { run(ctx) })
	}
	c.instances = append(c.instances, i)
	return i
}

// kill ends an instance abruptly: it cannot even release its claim of the leadership.
func (i *instance) kill() {
	i.log.SetDown(true)
	i.operatorLog.SetDown(true)
	i.stop()
	i.goroutines.Wait()
}

func (c *cluster) killAll() {
	for _, i := range c.instances {
		i.kill()
	}
	c.fleet.Clear()
	time.Sleep(10 * time.Second) // Delayed commands are delivered.
}

func decodeWorker(r ledger.Record) (worker.Info, error) {
	var info worker.Info
	err := json.Unmarshal(r.Value, &info)
	return info, err
}

// addWorker starts a worker, or restarts it, and registers it.
func (c *cluster) addWorker(id, rack string) worker.Info {
	info := c.fleet.Add(workerInfo(id, rack), clockRate)
	c.register(info)
	return info
}

// restartWorker restarts a worker under its ID. Its registry entry follows after the given time.
func (c *cluster) restartWorker(id string, registersAfter time.Duration) {
	info := c.fleet.Add(workerInfo(id, "r1"), clockRate)
	time.Sleep(registersAfter)
	c.register(info)
}

// testMaxLease is the longest lease that workers accept, as far as instances know. Fleets shorten longer leases only after SetMaxLease.
const testMaxLease = 6 * time.Second

// clockRate is the speed of the workers' clocks, the lowest allowed: 1 - maxClockDrift.
const clockRate = 0.98

func workerInfo(id, rack string) worker.Info {
	return worker.Info{ID: id, Service: "s", Rack: rack, CPU: 8000, MemoryMB: 8000, GPU: 8}
}

func (c *cluster) register(info worker.Info) {
	value, err := json.Marshal(info)
	require.NoError(c.t, err)
	c.write(workersTopic, ledger.Record{Key: info.ID, Value: value})
}

func (c *cluster) write(topic string, records ...ledger.Record) {
	_, err := c.writer.Append(context.Background(), ledger.Append{Topic: topic, Records: records, ExpectedEnd: ledger.AnyEnd})
	require.NoError(c.t, err)
}

// submit stores a job of the given steps as an instance does.
func (c *cluster) submit(id string, steps ...batch.Step) {
	c.submitJob(&batch.Job{ID: id, Steps: steps})
}

func (c *cluster) submitJob(j *batch.Job) { c.write(batch.JobsTopic, c.jobRecord(j, 0)) }

// submitWithClockError stores a job as an instance does whose time of day is wrong.
func (c *cluster) submitWithClockError(by time.Duration, id string, steps ...batch.Step) {
	c.write(batch.JobsTopic, c.jobRecord(&batch.Job{ID: id, Steps: steps}, by))
}

// jobRecord returns the record of a job that is accepted now, by a time of day with the given error.
func (c *cluster) jobRecord(j *batch.Job, clockError time.Duration) ledger.Record {
	j.Queue, j.Org, j.Rules = "q", "o", intake.QueueRulesOf(&c.config.Queues[0])
	j.AcceptedMS = time.Now().Add(clockError).UnixMilli()
	record, err := batch.EncodeJob(j)
	require.NoError(c.t, err)
	return record
}

// phase returns the stored phase of a job.
func (c *cluster) phase(id string) batch.Phase {
	var p batch.PhaseRecord
	if value, ok := c.log.LatestValues(batch.JobsTopic)["p/"+id]; ok {
		require.NoError(c.t, json.Unmarshal(value, &p))
	}
	return p.Phase
}

// epoch returns the epoch in the latest leader record. Until the leader's first renewal it is 0: a
// claim does not contain its epoch.
func (c *cluster) epoch() int64 {
	var claim struct{ Epoch int64 }
	for _, value := range c.log.LatestValues(election.Topic) {
		require.NoError(c.t, json.Unmarshal(value, &claim))
	}
	return claim.Epoch
}

// waitFor waits until the condition holds, and fails the test after the limit.
func (c *cluster) waitFor(limit time.Duration, event string, condition func() bool) {
	c.t.Helper()
	for end := time.Now().Add(limit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			require.Fail(c.t, "not within "+limit.String(), event)
		}
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", n) }

func fixedWork(d time.Duration) func(batch.TaskID) workertest.Work {
	return func(batch.TaskID) workertest.Work { return workertest.Work{Duration: d} }
}
