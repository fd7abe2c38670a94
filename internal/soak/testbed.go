package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/node"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
	"github.com/oleanderbend/oleanderbend/platform"
)

const (
	frontPort   = 8521
	readyPort   = 8523
	metricsPort = 7000
	// heartbeatInterval is the time between two writes of a worker's entry, as in production deployments.
	heartbeatInterval = 1500 * time.Millisecond
	// maxMissedHeartbeats is the number of heartbeats that a worker may miss before its entry is removed.
	maxMissedHeartbeats = 3
	// maxLease, gracePeriod, finishedJobRetention and evacuationBound are as in production deployments.
	maxLease = 6 * time.Second
	// maxFirstClock is the highest reading of a worker's clock when it starts.
	maxFirstClock         = time.Hour
	gracePeriod           = 6 * time.Second
	finishedJobRetention  = 2 * time.Minute
	evacuationBound       = 5 * time.Second
	acceleratorsPerWorker = 8
	// workerClockRate is the rate of a worker's clock relative to real time. It is the slowest rate that
	// the system must tolerate.
	workerClockRate = 0.98
)

// zones are the zones of the workers, in turn.
var zones = []string{"z0", "z1"}

// testbed consists of the platform's stand-ins, the instances as separate processes, and the proxies
// between them.
type testbed struct {
	cfg     Config
	dir     string
	log     *ledgertest.Log
	writer  *ledgertest.Client
	fleet   *workertest.Fleet
	servers []*http.Server
	// queues are the queues that every version of the configuration has.
	queues []opconfig.Queue

	mu             sync.Mutex
	instances      []*instance
	workerProxies  map[string]*proxy
	lastHeartbeats map[string]time.Time
	draining       map[string]bool
	currentConfig  *opconfig.Config
	// unexpected lists events that must not happen, such as a process that exits on its own.
	unexpected []string
	// workerStarts counts the starts of workers.
	workerStarts uint64
}

// instance is one instance with the proxies between callers and it, and between it and the log.
type instance struct {
	name         string
	settings     node.Settings
	settingsPath string
	logClient    *ledgertest.Client
	logProxy     *proxy
	callerProxy  *proxy
	output       *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// stopRequested is set once the process was sent SIGTERM or SIGKILL.
	stopRequested bool
}

// newTestbed starts the stand-ins, the workers and the instances. The logs of the processes are
// written to dir.
func newTestbed(cfg Config, dir string, workOf func(batch.TaskID) workertest.Work) (*testbed, error) {
	tb := &testbed{
		cfg: cfg, dir: dir, log: ledgertest.New(cfg.Seed), fleet: workertest.NewFleet(cfg.Seed, workOf),
		workerProxies: make(map[string]*proxy), lastHeartbeats: make(map[string]time.Time), draining: make(map[string]bool),
	}
	tb.fleet.SetMaxLease(maxLease)
	tb.fleet.SetLosesConnections(true)
	tb.writer = tb.log.Client()
	tb.queues = []opconfig.Queue{
		{Name: "urgent", Host: host, Prefix: "/urgent/", Service: service, MaxFailedRuns: maxFailedRuns, DurationFactor: 1.5, DurationOffset: 250 * time.Millisecond},
		{Name: "plain", Host: host, Prefix: "/plain/", Service: service, Priority: 1, MaxFailedRuns: maxFailedRuns, DurationFactor: 3, DurationOffset: time.Second},
	}
	tb.currentConfig = &opconfig.Config{
		Version: 1, Queues: slices.Clone(tb.queues),
		Orgs: []opconfig.Org{
			{Name: "first", Keys: []string{firstKey, revokedKey}, GuaranteedGPU: acceleratorsPerWorker},
			{Name: "second", Keys: []string{secondKey}, GuaranteedGPU: acceleratorsPerWorker},
		},
	}
	tb.currentConfig.BuildIndexes()
	if err := tb.publishConfig(); err != nil {
		return nil, err
	}
	for n := range cfg.Workers {
		if err := tb.startWorker(fmt.Sprintf("w%d", n)); err != nil {
			return nil, err
		}
	}
	for n := range cfg.Instances {
		p, err := tb.newInstance(n)
		if err != nil {
			return nil, err
		}
		tb.instances = append(tb.instances, p)
	}
	return tb, nil
}

// serve serves h on a free port of the loopback interface until the testbed is closed, and returns
// the address.
func (tb *testbed) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: stdlog.New(io.Discard, "", 0)}
	tb.servers = append(tb.servers, s)
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			tb.addUnexpected("HTTP server of a stand-in ended: " + err.Error())
		}
	}()
	return listener.Addr().String(), nil
}

func (tb *testbed) appendRecord(topic string, r ledger.Record) error {
	_, err := tb.writer.Append(context.Background(), ledger.Append{Topic: topic, Records: []ledger.Record{r}, ExpectedEnd: ledger.AnyEnd})
	return err
}

func (tb *testbed) publishConfig() error {
	record, err := platform.EncodeConfig(tb.currentConfig)
	if err != nil {
		return err
	}
	return tb.appendRecord(platform.OperatorTopic, record)
}

// updateConfig applies edit to a copy of the configuration and publishes it with a version that is
// higher by 2.
func (tb *testbed) updateConfig(edit func(*opconfig.Config)) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	next := &opconfig.Config{Version: tb.currentConfig.Version + 2, Queues: slices.Clone(tb.currentConfig.Queues)}
	for _, o := range tb.currentConfig.Orgs {
		o.Keys = slices.Clone(o.Keys)
		next.Orgs = append(next.Orgs, o)
	}
	edit(next)
	next.BuildIndexes()
	tb.currentConfig = next
	return tb.publishConfig()
}

// startWorker starts a worker, or restarts it under the same id: connections to it are reset, and its clock starts at any reading.
func (tb *testbed) startWorker(id string) error {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if tb.workerProxies[id] == nil {
		address, err := tb.serve(platform.NewWorkerHandler(tb.fleet, id))
		if err != nil {
			return err
		}
		if tb.workerProxies[id], err = newProxy(address); err != nil {
			return err
		}
	}
	tb.draining[id] = false
	tb.workerProxies[id].resetShare(1)
	tb.workerStarts++
	clock := rand.New(rand.NewPCG(tb.cfg.Seed, tb.workerStarts)).Int64N(maxFirstClock.Milliseconds())
	tb.fleet.Add(worker.Info{
		ID: id, Address: tb.workerProxies[id].addr(), Service: service, Zone: zoneOf(id), Labels: []string{"a", "r" + id[len(id)-1:]},
		CPU: 64000, MemoryMB: 128000, GPU: acceleratorsPerWorker, ClockMS: clock,
	}, workerClockRate)
	return tb.publishEntryLocked(id)
}

// zoneOf returns the zone of a worker.
func zoneOf(id string) string { return zones[int(id[len(id)-1])%len(zones)] }

// publishEntryLocked writes the entry of a worker unless the worker is partitioned.
func (tb *testbed) publishEntryLocked(id string) error {
	info, ok := tb.fleet.Entry(id)
	if !ok {
		return nil
	}
	if tb.draining[id] {
		info.State, info.RemainingTime = worker.Draining, drainTime
	}
	record, err := platform.EncodeWorker(&info)
	if err != nil {
		return err
	}
	tb.lastHeartbeats[id] = time.Now()
	return tb.appendRecord(platform.WorkersTopic, record)
}

// runHeartbeats writes the entries of the workers until ctx is done, and removes the entry of a worker
// that has missed more than maxMissedHeartbeats heartbeats.
func (tb *testbed) runHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeatInterval / time.Duration(len(tb.workerProxies)))
		tb.mu.Lock()
		for id, at := range tb.lastHeartbeats {
			var err error
			switch age := time.Since(at); {
			case age > maxMissedHeartbeats*heartbeatInterval:
				delete(tb.lastHeartbeats, id)
				err = tb.appendRecord(platform.WorkersTopic, ledger.Record{Key: id})
			case age > heartbeatInterval:
				err = tb.publishEntryLocked(id)
			}
			if err != nil {
				tb.unexpected = append(tb.unexpected, "entry of worker "+id+": "+err.Error())
			}
		}
		tb.mu.Unlock()
	}
}

// oddEntries are entries of another program in the registry of the workers, which no worker can have written.
var oddEntries = []string{
	"\xff\x00\xfe", `{"Service":{}}`, strings.Repeat("[", 20_000), strings.Repeat(`{"Capacity":`, 9_000) + "1" + strings.Repeat("}", 9_000),
	`{"Service":"` + service + `","Address":"127.0.0.1:99999","State":"ready","Capacity":{"Cpu":1000,"MemMb":1000,"Gpu":8}}`,
	`{"Service":"` + service + `","Address":"127.0.0.1:9","State":"ready","Capacity":{"Cpu":1e400,"MemMb":1000,"Gpu":8}}`,
	`{"Service":"` + service + `","Address":"127.0.0.1:9","State":"ready","Capacity":{"Cpu":9223372036854775807,"MemMb":9223372036854775807,"Gpu":9223372036854775807}}`,
	`{"Service":"` + service + `","Address":"127.0.0.1:9","State":"ready","born":9000000000000,"Capacity":{"Cpu":1000,"MemMb":1000,"Gpu":8}}`,
}

// writeOddEntries writes odd entries, some of them under the ids of workers, which write their own again.
func (tb *testbed) writeOddEntries(r *rand.Rand) error {
	var err error
	for _, value := range oddEntries {
		key := "odd" + strconv.Itoa(r.IntN(4))
		if r.IntN(3) == 0 {
			key = "w" + strconv.Itoa(r.IntN(tb.cfg.Workers))
		}
		err = errors.Join(err, tb.appendRecord(platform.WorkersTopic, ledger.Record{Key: key, Value: []byte(value)}))
	}
	return err
}

// allProxies returns the proxies of all instances and workers.
func (tb *testbed) allProxies() []*proxy {
	proxies := slices.Collect(maps.Values(tb.workerProxies))
	for _, p := range tb.instances {
		proxies = append(proxies, p.logProxy, p.callerProxy)
	}
	return proxies
}

// drainAndRestartWorker makes a worker drain, leave, and return as a new incarnation.
func (tb *testbed) drainAndRestartWorker(id string) {
	tb.mu.Lock()
	tb.draining[id] = true
	err := tb.publishEntryLocked(id)
	tb.mu.Unlock()
	time.Sleep(drainTime)
	tb.mu.Lock()
	tb.fleet.Remove(id)
	delete(tb.lastHeartbeats, id)
	err = errors.Join(err, tb.appendRecord(platform.WorkersTopic, ledger.Record{Key: id}))
	tb.mu.Unlock()
	time.Sleep(time.Second)
	if err = errors.Join(err, tb.startWorker(id)); err != nil {
		tb.addUnexpected("worker " + id + ": " + err.Error())
	}
}

// addUnexpected records an event that must not happen.
func (tb *testbed) addUnexpected(event string) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.unexpected = append(tb.unexpected, event)
}

func (tb *testbed) unexpectedEvents() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return slices.Clone(tb.unexpected)
}

// newInstance starts an instance on its own loopback address.
func (tb *testbed) newInstance(n int) (*instance, error) {
	p := &instance{name: fmt.Sprintf("i%d", n), logClient: tb.log.Client()}
	address, err := tb.serve(platform.NewLogHandler(p.logClient))
	if err != nil {
		return nil, err
	}
	if p.logProxy, err = newProxy(address); err != nil {
		return nil, err
	}
	ip := instanceIP(n)
	addressFor := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	if p.callerProxy, err = newProxy(addressFor(frontPort)); err != nil {
		return nil, err
	}
	p.settings = node.Settings{
		Name: p.name, IP: ip, Zone: "z", FrontAddress: addressFor(frontPort), ReadyAddress: addressFor(readyPort), MetricsPort: metricsPort, RelayPort: metricsPort + 1,
		Cores: 1, MemoryMB: 256, LogAddress: p.logProxy.addr(), HeartbeatInterval: heartbeatInterval,
		Timing: node.Timing{GracePeriod: gracePeriod, MaxLease: maxLease, FinishedJobRetention: finishedJobRetention, HolderChangeInterval: 3 * time.Second, EvacuationBound: evacuationBound},
	}
	p.settingsPath = filepath.Join(tb.dir, p.name+".json")
	if err := platform.WriteSettings(p.settingsPath, &p.settings); err != nil {
		return nil, err
	}
	if p.output, err = os.Create(filepath.Join(tb.dir, p.name+".log")); err != nil {
		return nil, err
	}
	return p, tb.start(p)
}

// instanceIP returns the loopback address of the n-th instance. It is derived from the process id, so
// that concurrent runs on one machine use different addresses.
func instanceIP(n int) string {
	const perByte = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, 1+n)
}

// start starts the process of an instance.
func (tb *testbed) start(p *instance) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(tb.cfg.Program, "instance", "--settings", p.settingsPath)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start instance")
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopRequested = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		requested := p.stopRequested
		p.mu.Unlock()
		var exit *exec.ExitError
		bySignal := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
		if !requested || (err != nil && !bySignal) {
			tb.addUnexpected(fmt.Sprintf("%s exited without a stop request or with an error: %v", p.name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of an instance.
func (p *instance) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopRequested = true
	}
	// The process may have ended already.
	_ = p.cmd.Process.Signal(s)
}

// waitExit waits until a process that was signalled exits, and kills it after limit. It reports whether
// the process exited within the limit.
func (p *instance) waitExit(limit time.Duration) (inTime bool) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		p.signal(syscall.SIGKILL)
		<-exited
		return false
	}
}

// restart stops the process of an instance with a signal and starts it again after delay.
func (tb *testbed) restart(p *instance, s syscall.Signal, delay time.Duration) {
	p.signal(s)
	if !p.waitExit(gracePeriod) && s == syscall.SIGTERM {
		tb.addUnexpected(p.name + " did not exit within its grace period")
	}
	time.Sleep(delay)
	if err := tb.start(p); err != nil {
		tb.addUnexpected(err.Error())
	}
}

// close stops all processes and stand-ins of the testbed.
func (tb *testbed) close() {
	for _, p := range tb.instances {
		p.signal(syscall.SIGKILL)
		p.waitExit(gracePeriod)
		p.logProxy.close()
		p.callerProxy.close()
		_ = p.output.Close()
	}
	for _, p := range tb.workerProxies {
		p.close()
	}
	for _, s := range tb.servers {
		_ = s.Close()
	}
	tb.fleet.Clear()
}

func (tb *testbed) randomInstance(random *rand.Rand) *instance {
	return tb.instances[random.IntN(len(tb.instances))]
}
