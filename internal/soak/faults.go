package soak

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/platform"
)

const (
	// maxFaultInterval is the longest interval between the starts of two faults. Together with
	// maxFaultDuration it makes two or three faults overlap.
	maxFaultInterval = 1200 * time.Millisecond
	// maxFleetFaultInterval is the longest interval between two of fleetFaults.
	maxFleetFaultInterval = 3 * time.Second
	// minFaultDuration and maxFaultDuration bound the duration of a fault. The upper bound is the
	// longest lease.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// maxEvacuationInterval is the longest interval between the starts of two evacuations.
	maxEvacuationInterval = 6 * time.Second
	// drainTime is the time for which a worker announces that it is draining before it leaves.
	drainTime = 2 * time.Second
	// maxRestartDelay is the longest time between the exit of a process and its next start.
	maxRestartDelay = time.Second
)

// fault is one kind of fault. Its run function injects the fault, waits until it is over and then
// restores normal operation.
type fault struct {
	name string
	run  func(i *injector, random *rand.Rand, duration time.Duration)
}

// faults lists the kinds of fault. Several are active at the same time.
var faults = []fault{
	{"kill", func(i *injector, r *rand.Rand, _ time.Duration) { i.restart(r, syscall.SIGKILL) }},
	{"stop", func(i *injector, r *rand.Rand, _ time.Duration) { i.restart(r, syscall.SIGTERM) }},
	{"stop-in-turn", (*injector).restartInTurn},
	{"kill-all", (*injector).killAll},
	{"freeze", (*injector).freeze},
	{"reload", func(i *injector, r *rand.Rand, _ time.Duration) {
		i.withClaim(i.testbed.randomInstance(r), func(p *instance) { p.signal(syscall.SIGHUP) })
	}},
	{"store-way", func(i *injector, r *rand.Rand, d time.Duration) {
		i.disturbProxy(i.testbed.randomInstance(r).logProxy, r, d)
	}},
	{"caller-way", func(i *injector, r *rand.Rand, d time.Duration) {
		i.disturbProxy(i.testbed.randomInstance(r).callerProxy, r, d)
	}},
	{"worker-way", func(i *injector, r *rand.Rand, d time.Duration) {
		i.disturbProxy(i.testbed.workerProxies[i.randomWorkerID(r)], r, d)
	}},
	{"store-down", (*injector).logDown},
	{"store-refuses-one", func(i *injector, r *rand.Rand, d time.Duration) {
		p := i.testbed.randomInstance(r)
		p.logClient.SetDown(true)
		time.Sleep(d)
		p.logClient.SetDown(false)
	}},
	{"store-answers-lost", func(i *injector, r *rand.Rand, d time.Duration) {
		p := i.testbed.randomInstance(r)
		p.logClient.SetResponseLoss(0.4, r.IntN(2) == 0)
		time.Sleep(d)
		p.logClient.SetResponseLoss(0, false)
	}},
	{"store-forgets", func(i *injector, _ *rand.Rand, _ time.Duration) {
		for _, topic := range []string{batch.JobsTopic, platform.OperatorTopic, platform.WorkersTopic} {
			i.testbed.log.Expire(topic)
		}
	}},
	{"worker-cut", func(i *injector, r *rand.Rand, d time.Duration) {
		id := i.randomWorkerID(r)
		i.testbed.fleet.SetPartitioned(id, true)
		time.Sleep(d)
		i.testbed.fleet.SetPartitioned(id, false)
	}},
	{"worker-crash", func(i *injector, r *rand.Rand, d time.Duration) {
		id := i.randomWorkerID(r)
		i.testbed.fleet.SetPartitioned(id, true)
		time.Sleep(d)
		i.recordError(i.testbed.startWorker(id))
	}},
	{"worker-leaves", func(i *injector, r *rand.Rand, _ time.Duration) { i.testbed.drainAndRestartWorker(i.randomWorkerID(r)) }},
	{"configuration", func(i *injector, r *rand.Rand, _ time.Duration) {
		i.recordError(i.testbed.updateConfig(func(c *opconfig.Config) {
			c.Queues[r.IntN(len(c.Queues))].DurationFactor += 0.1
			c.Queues = append(c.Queues, opconfig.Queue{Name: "extra", Host: host, Prefix: "/extra-" + strconv.Itoa(int(c.Version)) + "/", Service: service})
		}))
	}},
}

// fleetFaults lists kinds of fault that concern all parts at once. They come in a sequence of their own, beside the other
// ones, so that a seed still gives the same sequence of those.
var fleetFaults = []fault{
	{"odd-entries", func(i *injector, r *rand.Rand, _ time.Duration) { i.recordError(i.testbed.writeOddEntries(r)) }},
	{"reset-connections", func(i *injector, r *rand.Rand, _ time.Duration) {
		for _, p := range i.testbed.allProxies() {
			p.resetShare(r.Float64())
		}
	}},
}

// zoneFaults lists kinds of fault of whole zones, in a sequence of their own like fleetFaults.
var zoneFaults = []fault{{"evacuation", (*injector).evacuate}}

// injector starts random faults that overlap in time.
type injector struct {
	testbed *testbed
	seed    uint64

	mu     sync.Mutex
	counts map[string]int
	// claimed contains the names of the instances and zones that a fault has claimed for itself.
	claimed map[string]bool
	// err joins the errors of injecting faults that are not violations by the system.
	err error
}

// run injects faults until ctx is done and returns when all of them have ended.
func (i *injector) run(ctx context.Context) {
	var sequences sync.WaitGroup
	sequences.Go(func() { i.runSequence(ctx, faults, 1, maxFaultInterval) })
	sequences.Go(func() { i.runSequence(ctx, fleetFaults, 3, maxFleetFaultInterval) })
	sequences.Go(func() { i.runSequence(ctx, zoneFaults, 4, maxEvacuationInterval) })
	sequences.Wait()
}

// runSequence injects faults of the given kinds until ctx is done and returns when all of them have ended. The seed and
// the stream determine their order.
func (i *injector) runSequence(ctx context.Context, kinds []fault, stream uint64, maxInterval time.Duration) {
	random := rand.New(rand.NewPCG(i.seed, stream))
	var running sync.WaitGroup
	for ctx.Err() == nil {
		f := kinds[random.IntN(len(kinds))]
		duration := minFaultDuration + rand.N(maxFaultDuration-minFaultDuration)
		faultRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
		i.mu.Lock()
		i.counts[f.name]++
		i.mu.Unlock()
		running.Go(func() { f.run(i, faultRandom, duration) })
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.Int64N(int64(maxInterval)))):
		}
	}
	running.Wait()
}

func (i *injector) recordError(err error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.err = errors.Join(i.err, err)
}

// claim claims the instance or the zone with the given name for one fault. It returns false if another fault has
// claimed it.
func (i *injector) claim(name string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.claimed[name] {
		return false
	}
	i.claimed[name] = true
	return true
}

func (i *injector) release(name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.claimed, name)
}

// withClaim runs action on an instance unless another fault has claimed it. Faults that signal a
// process must exclude each other; faults of its connections may overlap with them.
func (i *injector) withClaim(p *instance, action func(*instance)) {
	if !i.claim(p.name) {
		return
	}
	defer i.release(p.name)
	action(p)
}

func (i *injector) restart(r *rand.Rand, s syscall.Signal) {
	pause := time.Duration(r.Int64N(int64(maxRestartDelay)))
	i.withClaim(i.testbed.randomInstance(r), func(p *instance) { i.testbed.restart(p, s, pause) })
}

// restartInTurn stops and starts the instances one after another, except those that another fault has
// claimed.
func (i *injector) restartInTurn(_ *rand.Rand, _ time.Duration) {
	for _, p := range i.testbed.instances {
		i.withClaim(p, func(p *instance) { i.testbed.restart(p, syscall.SIGTERM, 0) })
	}
}

// killAll kills and restarts all instances at the same time, except those that another fault has claimed.
func (i *injector) killAll(_ *rand.Rand, _ time.Duration) {
	var all sync.WaitGroup
	for _, p := range i.testbed.instances {
		all.Go(func() {
			i.withClaim(p, func(p *instance) { i.testbed.restart(p, syscall.SIGKILL, maxRestartDelay) })
		})
	}
	all.Wait()
}

func (i *injector) freeze(r *rand.Rand, duration time.Duration) {
	i.withClaim(i.testbed.randomInstance(r), func(p *instance) {
		p.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		p.signal(syscall.SIGCONT)
	})
}

// disturbProxy puts a proxy into a random failure mode for the given duration.
func (i *injector) disturbProxy(p *proxy, r *rand.Rand, duration time.Duration) {
	p.setMode([]proxyMode{modeDelay, modeBlackhole, modeOneWay, modeReset}[r.IntN(4)])
	time.Sleep(duration)
	p.setMode(modeForward)
}

func (i *injector) logDown(_ *rand.Rand, duration time.Duration) {
	for _, p := range i.testbed.instances {
		p.logClient.SetDown(true)
	}
	time.Sleep(duration)
	for _, p := range i.testbed.instances {
		p.logClient.SetDown(false)
	}
}

// evacuate evacuates a zone for the given duration beyond the bound, and returns it to service. A start there after the bound
// is a violation.
func (i *injector) evacuate(r *rand.Rand, duration time.Duration) {
	zone := zones[r.IntN(len(zones))]
	if !i.claim(zone) {
		return
	}
	defer i.release(zone)
	i.recordError(i.testbed.appendRecord(platform.OperatorTopic, platform.EncodeEvacuation(zone, true)))
	i.testbed.fleet.ForbidStarts(zone, time.Now().Add(evacuationBound))
	time.Sleep(evacuationBound + duration)
	i.testbed.fleet.AllowStarts(zone)
	i.recordError(i.testbed.appendRecord(platform.OperatorTopic, platform.EncodeEvacuation(zone, false)))
}

func (i *injector) randomWorkerID(r *rand.Rand) string {
	return "w" + strconv.Itoa(r.IntN(i.testbed.cfg.Workers))
}
