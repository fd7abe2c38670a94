package controller

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// The check of takeover points. The long run is started by hand:
//
//	go test -run TestEveryTakeoverPoint -v -timeout 1h ./internal/controller -args -takeover-stride 1 -takeover-samples 5000
var (
	takeoverStride  = flag.Int("takeover-stride", 17, "check every n-th of the enumerated sequences, 1 for all; a prime, so that all kinds of faults occur")
	takeoverSamples = flag.Int("takeover-samples", 15, "number of random sequences of several faults")
	takeoverDepth   = flag.Int("takeover-depth", 2, "number of faults of a random sequence")
	takeoverSeed    = flag.Uint64("takeover-seed", 1, "seed of the random sequences")
	takeoverLogs    = flag.Bool("takeover-logs", false, "print the log lines of the instances (with -v)")
)

// Jobs of the scenario.
var (
	singleJob    = jobID(1)
	gangJob      = jobID(2)
	dependentJob = jobID(3)
	failingJob   = jobID(4)
	preemptedJob = jobID(5)
	urgentJob    = jobID(6)
)

// takeoverJobs are the jobs of the scenario with their steps. The single task is a filler, so that its speed is set when it
// is adopted. The preempted job has no guarantee and uses all workers; the urgent one needs one of them.
var takeoverJobs = map[string][]batch.Step{
	singleJob:    {{Count: 1, CPU: 1000, GPU: 1, Filler: true, EstimateMS: 1500}},
	gangJob:      {{Count: 2, CPU: 1000, GPU: 5, Gang: true, EstimateMS: 800}},
	dependentJob: {{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 300}, {Count: 1, CPU: 1000, GPU: 1, EstimateMS: 300, After: []int{0}}},
	failingJob:   {{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 200}},
	preemptedJob: {{Count: 3, CPU: 1000, GPU: 8, EstimateMS: 3000}},
	urgentJob:    {{Count: 1, CPU: 1000, GPU: 8, EstimateMS: 500}},
}

const (
	takeoverWave = 7
	// takeoverLimit is how long the jobs of a stage of the scenario may take, including two takeovers and the expiry of
	// leases.
	takeoverLimit = 60 * time.Second
)

// takeoverResult is what a sequence of faults led to.
type takeoverResult struct {
	calls [][]string
	// injected is how many faults of the sequence were injected.
	injected int
	problems []string
	// known means that all problems follow from a late start that reached another incarnation of its worker before a leader
	// knew of it, the fault that KNOWN-RED.txt lists for TestNoTaskRunsTwiceWithLateOrdersAndRestarts.
	known bool
}

// runTakeoverSequence plays the scenario with a sequence of faults.
func runTakeoverSequence(t *testing.T, sequence []faultPoint) takeoverResult {
	t.Helper()
	var injector *faultInjector
	early := new(atomic.Bool)
	workOf := func(id batch.TaskID) workertest.Work {
		step := takeoverJobs[id.Job][id.Step]
		work := workertest.Work{Duration: time.Duration(step.EstimateMS) * time.Millisecond, GPU: step.GPU, Fails: id.Job == failingJob}
		if step.Gang {
			work.GangSize = step.Count
		}
		for _, earlier := range step.After {
			if !injector.c.fleet.FinishedLocked(batch.TaskID{Job: id.Job, Step: earlier}) {
				early.Store(true)
			}
		}
		return work
	}
	var result takeoverResult
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		injector = &faultInjector{c: c, sequence: sequence, crashed: make(chan *faultyInstance, len(sequence)+1), exhausted: make(map[batch.TaskID]bool), polled: make(map[string]int64)}
		c.config = takeoverConfig()
		if !*takeoverLogs {
			c.logger = logging.Discard()
		}
		for _, id := range []string{"w1", "w2", "w3"} {
			c.addWorker(id, "r1")
		}
		c.machines = workertest.NewMachines(c.fleet, 2*time.Second,
			func(id string) { c.write(workersTopic, ledger.Record{Key: id}) }, c.register)
		c.waves = []worker.Wave{{Number: takeoverWave, Machines: []string{"m-w3"}, TimeLimit: 20 * time.Second, MaxDown: 1}}
		injector.startInstance("a")
		time.Sleep(100 * time.Millisecond)
		injector.startInstance("b")
		ctx, cancel := context.WithCancel(context.Background())
		replaced := make(chan struct{})
		go func() {
			defer close(replaced)
			injector.replaceCrashed(ctx)
		}()
		c.playTakeoverScenario(injector)
		cancel()
		<-replaced
		if early.Load() {
			injector.report("step started before the step it depends on was done")
		}
		result = injector.result()
	})
	return result
}

func takeoverConfig() *opconfig.Config {
	config := &opconfig.Config{
		Version: 1, Queues: testConfig.Queues,
		Orgs: []opconfig.Org{{Name: "o", Keys: []string{"k"}, GuaranteedGPU: 8}, {Name: "p", Keys: []string{"l"}}},
	}
	config.BuildIndexes()
	return config
}

// reached waits until the condition holds, and reports a problem if it does not within takeoverLimit.
func (f *faultInjector) reached(event string, condition func() bool) {
	for end := time.Now().Add(takeoverLimit); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.report("not within %v: %s", takeoverLimit, event)
			return
		}
	}
}

// submitTakeoverJob stores a job of the scenario.
func (c *cluster) submitTakeoverJob(id, org string) {
	j := &batch.Job{ID: id, Steps: takeoverJobs[id]}
	c.jobRecord(j, 0)
	j.Org = org
	record, err := batch.EncodeJob(j)
	require.NoError(c.t, err)
	c.write(batch.JobsTopic, record)
}

// playTakeoverScenario submits the jobs, waits for their ends and checks the results.
func (c *cluster) playTakeoverScenario(f *faultInjector) {
	ended := func(jobs ...string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(jobs, func(id string) bool { return !c.phase(id).Final() })
		}
	}
	time.Sleep(4 * time.Second)
	first := []string{singleJob, gangJob, dependentJob, failingJob}
	for _, id := range first {
		c.submitTakeoverJob(id, "o")
	}
	f.reached("first jobs ended", ended(first...))
	f.reached("wave completed", func() bool { return string(c.log.LatestValues(statusTopic)[fmt.Sprint(takeoverWave)]) == "true" })
	c.submitTakeoverJob(preemptedJob, "p")
	f.reached("all tasks of the job to be preempted run", func() bool {
		_, runs := c.fleet.JobCounts(preemptedJob)
		return runs == 3 || c.phase(preemptedJob).Final()
	})
	time.Sleep(500 * time.Millisecond)
	c.submitTakeoverJob(urgentJob, "o")
	f.reached("last jobs ended", ended(preemptedJob, urgentJob))
	time.Sleep(lateCommandDelay + time.Second) // Late commands have been executed.
	for id, steps := range takeoverJobs {
		want := batch.Completed
		if id == failingJob {
			want = batch.Failed
		}
		if got := c.phase(id); got != want {
			f.report("job %s is %q instead of %q", id, got, want)
		}
		if _, runs := c.fleet.JobCounts(id); runs > 0 {
			f.report("job %s has %d runs after its end", id, runs)
		}
		for step := range steps {
			for index := range steps[step].Count {
				task := batch.TaskID{Job: id, Step: step, Index: index}
				if !c.fleet.Finished(task) && want == batch.Completed {
					f.report("task %s never completed", task)
				}
			}
		}
	}
	for _, v := range c.fleet.Violations() {
		f.report("%s", v)
	}
}

func (f *faultInjector) result() takeoverResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := takeoverResult{calls: f.calls, injected: f.injected, problems: f.problems, known: len(f.problems) > 0}
	for _, problem := range f.problems {
		r.known = r.known && slices.ContainsFunc(f.lateStarts, func(start [2]string) bool {
			return strings.Contains(problem, start[0]+" run ") ||
				strings.HasPrefix(problem, "capacity exceeded") && strings.Contains(problem, " on "+start[1]+" ")
		})
	}
	return r
}

// singleFaults returns all sequences of one fault at one of the given calls.
func singleFaults(calls [][]string) [][]faultPoint {
	var all [][]faultPoint
	count := make(map[string]int)
	for _, names := range calls {
		for fault := noFault + 1; fault < callFaults; fault++ {
			all = append(all, []faultPoint{{call: names[0], skip: count[names[0]], fault: fault}})
		}
		for _, name := range names {
			count[name]++
		}
	}
	return all
}

// restartDelays are the numbers of calls from a late start to the restart of a worker in lateStartFaults.
var restartDelays = []int{0, 1, 2, 4, 6, 9, 13, 18}

// lateStartFaults returns sequences of a late start at each of the given calls that is a start, followed by the restart of a
// worker some calls later or right after a stop. In half of them the next stop, by which the leader keeps the start from taking
// effect in the new incarnation, is late as well.
func lateStartFaults(calls [][]string) [][]faultPoint {
	var all [][]faultPoint
	for _, first := range singleFaults(calls) {
		if !strings.HasPrefix(first[0].call, "start ") || (first[0].fault != callLate && first[0].fault != stopLate) {
			continue
		}
		restarts := []faultPoint{{call: "stop ", fault: restartW1After}, {call: "stop ", fault: restartW2After}}
		for _, delay := range restartDelays {
			restarts = append(restarts, faultPoint{skip: delay, fault: restartW1Before}, faultPoint{skip: delay, fault: restartW2Before})
		}
		for _, restart := range restarts {
			all = append(all, []faultPoint{first[0], restart}, []faultPoint{first[0], restart, {call: "stop ", fault: callLate}})
		}
	}
	return all
}

// maxSkip is the limit of the calls that may pass between two faults of a random sequence, by the kind of call of the second
// one. About 24 calls of all kinds follow within a takeover.
var maxSkip = []struct {
	call  string
	limit int
}{{"", 24}, {"", 24}, {"", 24}, {"store keyed.tasks", 6}, {"store keyed.jobs", 6}, {"start ", 4}, {"stop ", 2}, {"acknowledge ", 4}}

// randomFaults returns a random sequence that begins with one of the given faults.
func randomFaults(random *rand.Rand, first [][]faultPoint, depth int) []faultPoint {
	sequence := slices.Clone(first[random.IntN(len(first))])
	for len(sequence) < depth {
		kind := maxSkip[random.IntN(len(maxSkip))]
		sequence = append(sequence, faultPoint{call: kind.call, skip: random.IntN(kind.limit), fault: noFault + 1 + callFault(random.IntN(int(callFaults-1)))})
	}
	return sequence
}

// Guards against tasks that run twice or too often, lost jobs and workers over their capacity when the leader is killed
// before or after any record or command, alone and together with lost or late calls and restarted workers.
func TestEveryTakeoverPoint(t *testing.T) {
	began := time.Now()
	baseline := runTakeoverSequence(t, nil)
	require.Empty(t, baseline.problems)
	first := singleFaults(baseline.calls)
	late := lateStartFaults(baseline.calls)
	var sequences [][]faultPoint
	for n, sequence := range slices.Concat(first, late) {
		if n%*takeoverStride == 0 {
			sequences = append(sequences, sequence)
		}
	}
	enumerated := len(sequences)
	for n := range *takeoverSamples {
		random := rand.New(rand.NewPCG(*takeoverSeed+uint64(n), 11))
		sequences = append(sequences, randomFaults(random, first, *takeoverDepth))
	}
	known, partial := 0, 0
	for n, sequence := range sequences {
		r := runTakeoverSequence(t, sequence)
		name := describeFaults(sequence)
		if n >= enumerated {
			name = fmt.Sprintf("seed %d: %s", *takeoverSeed+uint64(n-enumerated), name)
		}
		if r.injected < len(sequence) {
			partial++
		}
		switch {
		case r.known:
			known++
			t.Logf("known fault (KNOWN-RED.txt), %s: %s", name, strings.Join(r.problems, "; "))
		case len(r.problems) > 0:
			t.Errorf("%s: %s", name, strings.Join(r.problems, "; "))
		}
	}
	t.Logf("%d calls; every %d. of %d sequences of one fault and %d of a late start and a restart, %d random ones of %d faults from "+
		"seed %d; %d did not reach all faults, %d known faults; %v", len(baseline.calls), *takeoverStride, len(first), len(late), *takeoverSamples, *takeoverDepth, *takeoverSeed, partial, known,
		time.Since(began).Round(time.Millisecond))
}
