// Package soak runs real instances as separate processes against stand-ins of the platform, disturbs
// them from outside at random and checks, from what callers and workers see, that the promises of
// the system hold.
package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
)

const (
	// startTimeout bounds the wait for the first answer of all instances.
	startTimeout = 30 * time.Second
	// settleTimeout bounds the time after the last fault within which all accepted jobs end. It
	// covers a takeover, leases that run out and late starts, and the backlog of an outage.
	settleTimeout = 60 * time.Second
	// maxStopTime is the time after which nothing of a finished job may run any more, as for cancelled
	// jobs on the users' deployments: 3 s and the time of a stop.
	maxStopTime = 3200 * time.Millisecond
	// pollInterval is the pause between two looks at what is not settled.
	pollInterval = 100 * time.Millisecond
	// maxReportedViolations bounds the broken promises in a report.
	maxReportedViolations = 20
	// callerCount is how many callerCount hand jobs in.
	callerCount = 4
)

// Config describes a run.
type Config struct {
	// Program is the path of the oleanderbend command.
	Program string
	Seed    uint64
	// Duration is how long faults are injected.
	Duration           time.Duration
	Instances, Workers int
	// Dir takes the logs of the processes; those of a run without a finding are removed.
	Dir string
}

// Report is the outcome of a run.
type Report struct {
	Seed           uint64
	Faults, Calls  map[string]int
	Jobs, Starts   int
	SettleTime     time.Duration
	Violations     []string
	LogDir         string
	InjectionError error
}

// Run injects faults for the given time and checks the promises of the system. It returns an error
// if the run could not be made; broken promises are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	dir, err := os.MkdirTemp(cfg.Dir, fmt.Sprintf("soak-%d-", cfg.Seed))
	if err != nil {
		return Report{}, eris.Wrap(err, "directory for logs")
	}
	c := &checker{jobs: make(map[string]*trackedJob), responseCounts: make(map[string]int)}
	tb, err := newTestbed(cfg, dir, c.workOf)
	if err != nil {
		return Report{}, err
	}
	defer tb.close()
	c.testbed = tb
	heartbeatCtx, stopHeartbeats := context.WithCancel(context.Background())
	defer stopHeartbeats()
	go tb.runHeartbeats(heartbeatCtx)
	r := Report{Seed: cfg.Seed, Calls: c.responseCounts}
	if err := tb.waitReady(ctx); err != nil {
		return r, err
	}
	r.Faults, r.InjectionError = injectFaults(ctx, tb, c, cfg)
	r.SettleTime = c.settle()
	c.checkFinalState()
	r.Violations = slices.Concat(c.violations, tb.fleet.Violations(), tb.unexpectedEvents())
	r.Jobs = len(c.jobs)
	for id := range c.jobs {
		starts, _ := tb.fleet.JobCounts(id)
		r.Starts += starts
	}
	if len(r.Violations) == 0 {
		return r, os.RemoveAll(dir)
	}
	r.LogDir = dir
	return r, nil
}

// injectFaults injects faults while callers hand jobs in.
func injectFaults(ctx context.Context, tb *testbed, c *checker, cfg Config) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	i := &injector{testbed: tb, seed: cfg.Seed, counts: make(map[string]int), busy: make(map[string]bool)}
	var tasks sync.WaitGroup
	tasks.Go(func() { i.run(ctx) })
	for n := range callerCount {
		tasks.Go(func() { c.submitJobs(ctx, rand.New(rand.NewPCG(cfg.Seed, uint64(10+n)))) })
	}
	tasks.Go(func() { c.useRevokedKey(ctx, rand.New(rand.NewPCG(cfg.Seed, 3)), cfg.Duration/4) })
	tasks.Wait()
	return i.counts, i.err
}

// waitReady waits until all instances are ready.
func (tb *testbed) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); ; time.Sleep(pollInterval) {
		ready := 0
		for _, p := range tb.instances {
			resp, err := client.Get("http://" + p.settings.ReadyAddress + "/")
			if err != nil {
				continue // Not listening yet.
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				ready++
			}
		}
		switch {
		case ready == len(tb.instances):
			return nil
		case ctx.Err() != nil:
			return ctx.Err()
		case time.Now().After(end):
			return eris.Errorf("soak: %d of %d instances are ready after %v", ready, len(tb.instances), startTimeout)
		}
	}
}

// settle waits until all accepted jobs have ended, and returns how long that took.
func (c *checker) settle() time.Duration {
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	for _, t := range c.jobs {
		t.mu.Lock()
		// A job whose key was taken away can't be asked for any more.
		accepted, cancelled := !t.accepted.IsZero() && t.key != revokedKey, t.cancelled
		t.mu.Unlock()
		for accepted && !c.checkState(t, random).Final() {
			if time.Since(began) > settleTimeout {
				c.addViolation("LOST: %s (hopeless %v, cancelled %v) has not ended %v after the last fault", t.job.ID, t.alwaysFails, cancelled, settleTimeout)
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began)
}

// checkFinalState checks what must hold at the end: refused jobs never ran, finished ones do not run, and no
// hopeless job was tried too often.
func (c *checker) checkFinalState() {
	for id, t := range c.jobs {
		starts, _ := c.testbed.fleet.JobCounts(id)
		if t.rejected && starts > 0 {
			c.addViolation("REFUSED: %s was started %d times", id, starts)
		}
		if t.lastPhase.Final() && !c.waitNoRuns(id) {
			c.addViolation("UNASKED: %s is %s and still runs %v later", id, t.lastPhase, maxStopTime)
		}
		if t.lastPhase == batch.Completed && t.alwaysFails {
			c.addViolation("MIXED: hopeless %s is shown as completed", id)
		}
	}
}

// waitNoRuns waits until a job has no run left: the stops of its runs may be under way.
func (c *checker) waitNoRuns(id string) bool {
	for end := time.Now().Add(maxStopTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if _, runs := c.testbed.fleet.JobCounts(id); runs == 0 {
			return true
		}
	}
	return false
}

// Write prints a report.
func (r *Report) Write(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d jobs, %d starts, settled after %v\n", r.Seed, r.Jobs, r.Starts, r.SettleTime.Round(time.Millisecond))
	fmt.Fprintf(out, "faults: %s\nanswers: %s\n", formatCounts(r.Faults), formatCounts(r.Calls))
	if r.InjectionError != nil {
		fmt.Fprintf(out, "injection failed: %v\n", r.InjectionError)
	}
	for _, b := range r.Violations[:min(len(r.Violations), maxReportedViolations)] {
		fmt.Fprintf(out, "BROKEN %s\n", b)
	}
	if len(r.Violations) > maxReportedViolations {
		fmt.Fprintf(out, "and %d more\n", len(r.Violations)-maxReportedViolations)
	}
	if r.LogDir != "" {
		fmt.Fprintf(out, "logs: %s\n", r.LogDir)
	}
}

func formatCounts(m map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		parts = append(parts, fmt.Sprintf("%s=%d", strings.ReplaceAll(name, " ", ":"), m[name]))
	}
	return strings.Join(parts, " ")
}
