package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
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
	// heartbeat is the time between two entries of a worker, as on the users' deployments.
	heartbeat = 1500 * time.Millisecond
	// silentBeats is how many entries a worker may miss before its entry is removed.
	silentBeats = 3
	// maxLease, grace and keepFinal are the bounds of the users' deployments.
	maxLease  = 6 * time.Second
	grace     = 6 * time.Second
	keepFinal = 2 * time.Minute
	// accelerators is the size of a worker.
	accelerators = 8
	// slowClock is the speed of a worker's clock: as slow as it may be.
	slowClock = 0.98
)

// world is the platform's stand-ins, the instances as separate processes, and what is between.
type world struct {
	cfg     Config
	dir     string
	log     *ledgertest.Log
	writer  *ledgertest.Client
	fleet   *workertest.Fleet
	servers []*http.Server
	// queues are those that every version of the configuration has.
	queues []opconfig.Queue

	mu        sync.Mutex
	instances []*process
	workers   map[string]*proxy
	beats     map[string]time.Time
	leaving   map[string]bool
	config    *opconfig.Config
	ended     []string
}

// process is one instance and the ways to it and from it.
type process struct {
	name     string
	settings node.Settings
	path     string
	store    *ledgertest.Client
	toStore  *proxy
	callers  *proxy
	output   *os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
	// killed says that the end of the process was asked for.
	killed bool
}

// newWorld starts the stand-ins; dir takes the logs of the processes.
func newWorld(cfg Config, dir string, plan func(batch.TaskID) workertest.Work) (*world, error) {
	w := &world{
		cfg: cfg, dir: dir, log: ledgertest.New(cfg.Seed), fleet: workertest.NewFleet(cfg.Seed, plan),
		workers: make(map[string]*proxy), beats: make(map[string]time.Time), leaving: make(map[string]bool),
	}
	w.writer = w.log.Client()
	w.queues = []opconfig.Queue{
		{Name: "urgent", Host: host, Prefix: "/urgent/", Service: service, MaxFailedRuns: maxAttempts, DurationFactor: 1.5, DurationOffset: 250 * time.Millisecond},
		{Name: "plain", Host: host, Prefix: "/plain/", Service: service, Priority: 1, MaxFailedRuns: maxAttempts, DurationFactor: 3, DurationOffset: time.Second},
	}
	w.config = &opconfig.Config{
		Version: 1, Queues: slices.Clone(w.queues),
		Orgs: []opconfig.Org{
			{Name: "first", Keys: []string{firstKey, revokedKey}, GuaranteedGPU: accelerators},
			{Name: "second", Keys: []string{secondKey}, GuaranteedGPU: accelerators},
		},
	}
	w.config.BuildIndexes()
	if err := w.publishConfig(); err != nil {
		return nil, err
	}
	for n := range cfg.Workers {
		if err := w.startWorker(fmt.Sprintf("w%d", n)); err != nil {
			return nil, err
		}
	}
	for n := range cfg.Instances {
		p, err := w.newProcess(n)
		if err != nil {
			return nil, err
		}
		w.instances = append(w.instances, p)
	}
	return w, nil
}

// serve answers on a free port of the loopback interface until the world ends.
func (w *world) serve(h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, ErrorLog: stdlog.New(io.Discard, "", 0)}
	w.servers = append(w.servers, s)
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			w.note("stand-in ended: " + err.Error())
		}
	}()
	return listener.Addr().String(), nil
}

func (w *world) write(topic string, r ledger.Record) error {
	_, err := w.writer.Append(context.Background(), ledger.Append{Topic: topic, Records: []ledger.Record{r}, ExpectedEnd: ledger.AnyEnd})
	return err
}

func (w *world) publishConfig() error {
	record, err := platform.EncodeConfig(w.config)
	if err != nil {
		return err
	}
	return w.write(platform.OperatorTopic, record)
}

// change publishes the next version of the configuration.
func (w *world) change(edit func(*opconfig.Config)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	next := &opconfig.Config{Version: w.config.Version + 2, Queues: slices.Clone(w.config.Queues)}
	for _, o := range w.config.Orgs {
		o.Keys = slices.Clone(o.Keys)
		next.Orgs = append(next.Orgs, o)
	}
	edit(next)
	next.BuildIndexes()
	w.config = next
	return w.publishConfig()
}

// startWorker starts a worker, or starts it again under its id.
func (w *world) startWorker(id string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.workers[id] == nil {
		address, err := w.serve(platform.NewWorkerHandler(w.fleet, id))
		if err != nil {
			return err
		}
		if w.workers[id], err = newProxy(address); err != nil {
			return err
		}
	}
	w.leaving[id] = false
	w.fleet.Add(worker.Info{
		ID: id, Address: w.workers[id].addr(), Service: service, Zone: "z", Labels: []string{"a", "r" + id[len(id)-1:]},
		CPU: 64000, MemoryMB: 128000, GPU: accelerators,
	}, slowClock)
	return w.beatLocked(id)
}

// beatLocked writes the entry of a worker, unless it is cut off.
func (w *world) beatLocked(id string) error {
	info, ok := w.fleet.Entry(id)
	if !ok {
		return nil
	}
	if w.leaving[id] {
		info.State, info.RemainingTime = worker.Draining, drainTime
	}
	record, err := platform.EncodeWorker(&info)
	if err != nil {
		return err
	}
	w.beats[id] = time.Now()
	return w.write(platform.WorkersTopic, record)
}

// runBeats writes the entries of the workers and removes those of silent ones.
func (w *world) runBeats(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(heartbeat / time.Duration(len(w.workers)))
		w.mu.Lock()
		for id, at := range w.beats {
			var err error
			switch age := time.Since(at); {
			case age > silentBeats*heartbeat:
				delete(w.beats, id)
				err = w.write(platform.WorkersTopic, ledger.Record{Key: id})
			case age > heartbeat:
				err = w.beatLocked(id)
			}
			if err != nil {
				w.ended = append(w.ended, "entry of "+id+": "+err.Error())
			}
		}
		w.mu.Unlock()
	}
}

// leave makes a worker drain, leave and come back as another life.
func (w *world) leave(id string) {
	w.mu.Lock()
	w.leaving[id] = true
	err := w.beatLocked(id)
	w.mu.Unlock()
	time.Sleep(drainTime)
	w.mu.Lock()
	w.fleet.Remove(id)
	delete(w.beats, id)
	err = errors.Join(err, w.write(platform.WorkersTopic, ledger.Record{Key: id}))
	w.mu.Unlock()
	time.Sleep(time.Second)
	if err = errors.Join(err, w.startWorker(id)); err != nil {
		w.note("worker " + id + ": " + err.Error())
	}
}

// note keeps an event that must not happen.
func (w *world) note(event string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = append(w.ended, event)
}

func (w *world) notes() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.ended)
}

// newProcess prepares an instance on a loopback address of its own.
func (w *world) newProcess(n int) (*process, error) {
	p := &process{name: fmt.Sprintf("i%d", n), store: w.log.Client()}
	address, err := w.serve(platform.NewLogHandler(p.store))
	if err != nil {
		return nil, err
	}
	if p.toStore, err = newProxy(address); err != nil {
		return nil, err
	}
	ip := loopback(n)
	at := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
	if p.callers, err = newProxy(at(frontPort)); err != nil {
		return nil, err
	}
	p.settings = node.Settings{
		Name: p.name, IP: ip, Zone: "z", FrontAddress: at(frontPort), ReadyAddress: at(readyPort), MetricsPort: metricsPort, RelayPort: metricsPort + 1,
		Cores: 1, MemoryMB: 256, LogAddress: p.toStore.addr(), HeartbeatInterval: heartbeat,
		Timing: node.Timing{GracePeriod: grace, MaxLease: maxLease, FinishedJobRetention: keepFinal, HolderChangeInterval: 3 * time.Second},
	}
	p.path = filepath.Join(w.dir, p.name+".json")
	if err := platform.WriteSettings(p.path, &p.settings); err != nil {
		return nil, err
	}
	if p.output, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
		return nil, err
	}
	return p, w.start(p)
}

// loopback is an address of the n-th instance that other runs on the machine do not use.
func loopback(n int) string {
	const perByte = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, 1+n)
}

// start starts the process of an instance.
func (w *world) start(p *process) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	cmd := exec.Command(w.cfg.Program, "instance", "--settings", p.path)
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "start instance")
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.killed = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		asked := p.killed
		p.mu.Unlock()
		var exit *exec.ExitError
		byKill := errors.As(err, &exit) && exit.Sys().(syscall.WaitStatus).Signaled()
		if !asked || (err != nil && !byKill) {
			w.note(fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of an instance.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.killed = true
	}
	// The process may have ended already.
	_ = p.cmd.Process.Signal(s)
}

// end waits for the end of a process that was asked to stop, and kills it past the grace period.
func (p *process) end(limit time.Duration) (graceful bool) {
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

// restart ends the process of an instance by a signal and starts it again.
func (w *world) restart(p *process, s syscall.Signal, pause time.Duration) {
	p.signal(s)
	if !p.end(grace) && s == syscall.SIGTERM {
		w.note(p.name + " did not stop within its grace period")
	}
	time.Sleep(pause)
	if err := w.start(p); err != nil {
		w.note(err.Error())
	}
}

// close ends all processes and stand-ins that the world has started.
func (w *world) close() {
	for _, p := range w.instances {
		p.signal(syscall.SIGKILL)
		p.end(grace)
		p.toStore.close()
		p.callers.close()
		_ = p.output.Close()
	}
	for _, p := range w.workers {
		p.close()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	w.fleet.Clear()
}

// anyInstance picks an instance.
func (w *world) anyInstance(random *rand.Rand) *process {
	return w.instances[random.IntN(len(w.instances))]
}
