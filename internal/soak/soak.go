// Package soak runs real instances as separate processes against stand-ins of the platform, injects
// random faults from outside, and checks the invariants of the system that callers and workers can
// observe.
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
	// startTimeout bounds the wait until all instances are ready.
	startTimeout = 30 * time.Second
	// settleTimeout bounds the time from the last fault until all accepted jobs have ended. It
	// covers a takeover, the expiry of leases, late starts, and the backlog of an outage.
	settleTimeout = 60 * time.Second
	// maxStopTime is the longest time for which runs of a finished job may continue: 3 s, as for cancelled
	// jobs in production deployments, plus the duration of a stop.
	maxStopTime = 3200 * time.Millisecond
	// pollInterval is the time between two checks of a condition that is not met yet.
	pollInterval = 100 * time.Millisecond
	// maxReportedViolations bounds the violations that a report lists.
	maxReportedViolations = 20
	// callerCount is the number of callers that submit jobs concurrently.
	callerCount = 4
)

// Config describes a run.
type Config struct {
	// Program is the path of the oleanderbend command.
	Program string
	Seed    uint64
	// Duration is the time for which faults are injected.
	Duration           time.Duration
	Instances, Workers int
	// Dir is the parent directory for the logs of the processes. The logs are removed if the run is
	// carried out without violations. They stay if Run returns an error.
	Dir string
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults counts the started faults by name, including those that had no effect because another fault
	// had claimed the instance. Calls counts the responses by operation and status;
	// status 0 stands for a call without a response.
	Faults, Calls map[string]int
	// Jobs counts the submitted jobs and Starts the runs that workers started for them.
	Jobs, Starts int
	// SettleTime is the time from the end of the faults until all accepted jobs had ended.
	SettleTime time.Duration
	// Violations describes the violations of invariants and the unexpected events of the run. Those
	// found by the checker begin with the time and one of these words:
	//   - LOST: an accepted job has not ended after the faults, or is reported as gone, or a job is shown as
	//     failed or cancelled without a cause
	//   - REFUSED: a rejected job was started or has a state
	//   - UNASKED: a task of an unknown job was started, or a finished job still has runs
	//   - ORDER: a task was started before a step that it depends on was done
	//   - MIXED: a final phase changed, or a job is shown as completed although not all its tasks
	//     succeeded
	//   - CONFIG: a call returned an unexpected HTTP status, or a revoked key was accepted
	//
	// A revocation of a key that could not be published is listed here too.
	Violations []string
	// LogDir is the directory with the logs of the processes. It is empty if there are no violations or
	// Run returned an error.
	LogDir string
	// InjectionError joins the errors of restarting crashed workers and of publishing random
	// configurations. Other errors of the testbed, such as a failed restart of an instance, are in Violations.
	InjectionError error
}

// Run injects faults for cfg.Duration and checks the invariants of the system. It returns an error if
// the run could not be carried out; violations of invariants are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	dir, err := os.MkdirTemp(cfg.Dir, fmt.Sprintf("soak-%d-", cfg.Seed))
	if err != nil {
		return Report{}, eris.Wrap(err, "create log directory")
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

// injectFaults injects faults while callers submit jobs. It returns the number of faults by name and
// the errors of the injection.
func injectFaults(ctx context.Context, tb *testbed, c *checker, cfg Config) (map[string]int, error) {
	ctx, cancel := context.WithTimeout(ctx, cfg.Duration)
	defer cancel()
	i := &injector{testbed: tb, seed: cfg.Seed, counts: make(map[string]int), claimed: make(map[string]bool)}
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
				continue // The instance does not listen yet.
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
			return eris.Errorf("soak: only %d of %d instances are ready after %v", ready, len(tb.instances), startTimeout)
		}
	}
}

// settle waits until all accepted jobs have ended and returns how long that took.
func (c *checker) settle() time.Duration {
	began := time.Now()
	random := rand.New(rand.NewPCG(1, 1))
	for _, t := range c.jobs {
		t.mu.Lock()
		// The state of a job with a revoked key can't be read any more.
		accepted, cancelled := !t.acceptedAt.IsZero() && t.key != revokedKey, t.cancelled
		t.mu.Unlock()
		for accepted && !c.checkState(t, random).Final() {
			if time.Since(began) > settleTimeout {
				c.addViolation("LOST: job %s (always fails: %v, cancelled: %v) has not ended within %v after the last fault", t.job.ID, t.alwaysFails, cancelled, settleTimeout)
				break
			}
			time.Sleep(pollInterval)
		}
	}
	return time.Since(began)
}

// checkFinalState checks the invariants that must hold at the end: rejected jobs never ran,
// finished jobs have no run left, and no job whose runs all fail is shown as completed. A job counts as
// rejected only if every submit request was rejected.
func (c *checker) checkFinalState() {
	for id, t := range c.jobs {
		starts, _ := c.testbed.fleet.JobCounts(id)
		if t.rejected && starts > 0 {
			c.addViolation("REFUSED: rejected job %s was started %d times", id, starts)
		}
		if t.lastPhase.Final() && !c.waitNoRuns(id) {
			c.addViolation("UNASKED: job %s is %s but still has runs %v later", id, t.lastPhase, maxStopTime)
		}
		if t.lastPhase == batch.Completed && t.alwaysFails {
			c.addViolation("MIXED: job %s is shown as completed although all its runs fail", id)
		}
	}
}

// waitNoRuns waits for at most maxStopTime until a job has no run left, because the stops of its runs
// may be in progress. It reports whether none is left.
func (c *checker) waitNoRuns(id string) bool {
	for end := time.Now().Add(maxStopTime); time.Now().Before(end); time.Sleep(pollInterval) {
		if _, runs := c.testbed.fleet.JobCounts(id); runs == 0 {
			return true
		}
	}
	return false
}

// Write writes the report as text.
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
