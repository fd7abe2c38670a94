// Package demo runs the whole system on loopback addresses in one process: stand-ins of the
// platform and six instances. It creates organisations, a guarantee and jobs, sends requests,
// kills the leader of a zone, stops another instance gracefully, and checks the outcomes of the
// requests and the runs of the gangs.
package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

const (
	// timeLimit is the maximum duration of the whole demonstration.
	timeLimit = 29 * time.Second
	// checkPeriod is the time between two checks of a condition in waitFor.
	checkPeriod = 50 * time.Millisecond
	// partialTimeLimit is how long a gang may run with only a part of its members: the TTL of the
	// lease of a running member, as specified in the design document.
	partialTimeLimit = 10 * time.Second
	// configurationDelayLimit is the maximum time from the acceptance of a configuration until it
	// is in force at all live instances.
	configurationDelayLimit = 2 * time.Second
	// maxPrintedEvents is the number of newest events that are printed.
	maxPrintedEvents = 40
)

// ErrCheckFailed is returned if a check of the demonstration fails.
var ErrCheckFailed = errors.New("demo: check failed")

// demonstration is the state of one demonstration.
type demonstration struct {
	out      io.Writer
	started  time.Time
	cluster  *cluster
	failures []string
	killedID string
}

// Run runs the demonstration. It prints the steps, the newest events and the failed checks to out;
// the instances write their log lines to logs. It returns an error that wraps ErrCheckFailed if a
// check or a step fails.
func Run(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	c, err := startCluster(logs)
	if err != nil {
		return eris.Wrap(err, "start the cluster")
	}
	defer c.close()
	d := &demonstration{out: out, started: time.Now(), cluster: c}
	if err := d.runSteps(ctx); err != nil {
		d.addFailure(err.Error())
	}
	d.printTimeline()
	return d.printResult()
}

func (d *demonstration) runSteps(ctx context.Context) error {
	if err := d.waitReady(ctx); err != nil {
		return err
	}
	if err := d.createResources(ctx); err != nil {
		return err
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	results := make(chan *requestTally, 1)
	go func() { results <- d.cluster.sendRequests(callers) }()
	if err := d.runJobs(ctx); err != nil {
		return err
	}
	if err := d.killLeader(ctx); err != nil {
		return err
	}
	if err := d.changePolicy(ctx); err != nil {
		return err
	}
	if err := d.stopGracefully(); err != nil {
		return err
	}
	stopCallers()
	d.checkRequests(<-results)
	d.checkGangs()
	return nil
}

func (d *demonstration) waitReady(ctx context.Context) error {
	err := d.waitFor(ctx, "all instances are ready and every zone has a leader", func() bool {
		for _, n := range d.cluster.instances {
			if !n.instance.IsReady() {
				return false
			}
		}
		for _, zone := range zones {
			if d.cluster.leader(zone) == nil {
				return false
			}
		}
		return true
	})
	if err == nil {
		d.printf("%d instances are ready, zones %v have leaders", len(d.cluster.instances), zones)
	}
	return err
}

// createResources creates the organisations and a guarantee, and checks that a guarantee beyond the
// capacity is rejected.
func (d *demonstration) createResources(ctx context.Context) error {
	objects := []resource.Object{
		newOrganisation("hamnverket", 2),
		newOrganisation("tumaini", 1),
		newRackGuarantee("seasonal-forecast", "hamnverket"),
	}
	for _, object := range objects {
		if err := d.cluster.put(ctx, object); err != nil {
			return err
		}
	}
	d.printf("2 organisations and 1 guarantee created")
	tooLarge := newRackGuarantee("too-large", "tumaini")
	tooLarge.Spec.Gangs = 1000
	if err := d.cluster.put(ctx, tooLarge); !errors.Is(err, errRejected) {
		d.addFailure("a guarantee larger than the fleet was not rejected")
	} else {
		d.printf("a guarantee larger than the fleet was rejected: %v", err)
	}
	return nil
}

// runJobs submits a reclaimable job for each worker, waits until the first of them is running, and
// then runs a job within the guarantee.
func (d *demonstration) runJobs(ctx context.Context) error {
	for i := range len(zones) * workersPerZone {
		job := newJob(fmt.Sprintf("small-%02d", i), "tumaini", 1, resource.AdjacentWorker, "duration=60s checkpoint=200ms")
		if err := d.cluster.put(ctx, job); err != nil {
			return err
		}
	}
	if err := d.waitPhase(ctx, "small-00", resource.PhaseRunning); err != nil {
		return err
	}
	if err := d.cluster.put(ctx, newJob("forecast", "hamnverket", 2, resource.AdjacentRack, "duration=2s checkpoint=200ms")); err != nil {
		return err
	}
	if err := d.waitPhase(ctx, "forecast", resource.PhaseSucceeded); err != nil {
		return err
	}
	d.printf("the guaranteed gang completed although reclaimable jobs for all workers had been submitted before it")
	return nil
}

// killLeader kills the leader of the zone in which the guaranteed job ran, then runs another job
// within the guarantee.
func (d *demonstration) killLeader(ctx context.Context) error {
	job, err := d.cluster.job(ctx, "forecast")
	if err != nil {
		return err
	}
	zone := job.Status.Zone
	leader := d.cluster.leader(zone)
	if leader == nil {
		return eris.Wrapf(ErrCheckFailed, "zone %s has no leader", zone)
	}
	d.killedID = leader.settings.ID
	d.printf("killing %s, which leads zone %s", d.killedID, zone)
	at := time.Now()
	if err := leader.kill(); err != nil && !errors.Is(err, context.Canceled) {
		d.printf("%s ended with an error: %v", d.killedID, err)
	}
	if err := d.cluster.put(ctx, newJob("forecast-2", "hamnverket", 2, resource.AdjacentRack, "duration=1s checkpoint=200ms")); err != nil {
		return err
	}
	if err := d.waitPhase(ctx, "forecast-2", resource.PhaseRunning, resource.PhaseSucceeded); err != nil {
		return err
	}
	d.printf("the new leader of zone %s placed a gang %.1f s after the kill", zone, time.Since(at).Seconds())
	return d.waitPhase(ctx, "forecast-2", resource.PhaseSucceeded)
}

// changePolicy changes the policy and waits until it is in force at all live instances.
func (d *demonstration) changePolicy(ctx context.Context) error {
	policy := &resource.Policy{Metadata: resource.Metadata{Name: resource.DefaultPolicyName}}
	policy.Spec.Admission.KindWeights = map[string]float64{"tide-check": 3}
	if err := d.cluster.put(ctx, policy); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configurationDelayLimit)
	defer cancel()
	accepted := time.Now()
	err := d.waitFor(ctx, "the policy is in force at every live instance", func() bool {
		for _, n := range d.cluster.liveInstances() {
			if n.instance.Policy().Admission.KindWeights["tide-check"] != 3 {
				return false
			}
		}
		return true
	})
	if err == nil {
		d.printf("the policy was in force at every live instance after %d ms", time.Since(accepted).Milliseconds())
	}
	return err
}

// stopGracefully stops one instance while requests are in progress. sendRequests sends no new
// requests during the stop, because isLive blocks until shutdown returns.
func (d *demonstration) stopGracefully() error {
	n := d.cluster.liveInstances()[0]
	d.printf("stopping %s gracefully", n.settings.ID)
	if err := n.shutdown(); err != nil {
		return eris.Wrapf(err, "graceful stop of %s", n.settings.ID)
	}
	return nil
}

// checkRequests checks the outcomes of requests against the executions at the targets.
func (d *demonstration) checkRequests(t *requestTally) {
	d.printf("requests: %d answers, %d not-run, %d unknown, %d connection errors", t.answers, t.notRun, t.unknown, t.connectionErrors)
	for _, wrong := range t.wrongResponses {
		d.addFailure("wrong response: " + wrong)
	}
	if t.answers == 0 {
		d.addFailure("no request was answered")
	}
	for _, id := range t.notRunIDs {
		if d.timesExecuted(id) != 0 {
			d.addFailure("request " + id + " had the outcome not-run but was executed")
		}
	}
	for _, id := range t.nonIdempotentIDs {
		if n := d.timesExecuted(id); n > 1 {
			d.addFailure(fmt.Sprintf("non-idempotent request %s was executed %d times", id, n))
		}
	}
}

// timesExecuted returns how often a request was executed, summed over all targets.
func (d *demonstration) timesExecuted(id string) int {
	total := 0
	for _, target := range d.cluster.standins.Targets {
		total += target.Executed(id)
	}
	return total
}

// checkGangs checks that no gang ran partially for longer than partialTimeLimit, and that no member
// was started twice in one attempt.
func (d *demonstration) checkGangs() {
	longest := time.Duration(0)
	for _, partial := range d.cluster.standins.Fleet.LongestPartialTimes() {
		longest = max(longest, partial)
	}
	d.printf("longest time in which only a part of a gang was present: %d ms (limit %d ms)", longest.Milliseconds(), partialTimeLimit.Milliseconds())
	if longest > partialTimeLimit {
		d.addFailure("a gang ran partially for longer than the limit")
	}
	runsByLease := make(map[platform.LeaseID]int)
	for _, run := range d.cluster.standins.Fleet.Runs() {
		runsByLease[run.ID]++
		if runsByLease[run.ID] > 1 {
			d.addFailure(fmt.Sprintf("member %d of attempt %d ran twice", run.ID.Member, run.ID.Attempt))
		}
	}
}

// waitPhase waits until a job is in one of the phases.
func (d *demonstration) waitPhase(ctx context.Context, name string, phases ...resource.Phase) error {
	return d.waitFor(ctx, fmt.Sprintf("job %s is %v", name, phases), func() bool {
		job, err := d.cluster.job(ctx, name)
		if err != nil {
			return false
		}
		for _, phase := range phases {
			if job.Status.Phase == phase {
				return true
			}
		}
		return false
	})
}

// waitFor waits until condition returns true. It returns an error with the description if ctx is
// done first.
func (d *demonstration) waitFor(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ErrCheckFailed, "timed out waiting until %s", description)
		case <-time.After(checkPeriod):
		}
	}
	return nil
}

// printf prints a line with the time since the start.
func (d *demonstration) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demonstration) addFailure(failure string) { d.failures = append(d.failures, failure) }

func (d *demonstration) printTimeline() {
	events := d.cluster.timeline()
	fmt.Fprintf(d.out, "\ntimeline, newest %d of %d events:\n", min(maxPrintedEvents, len(events)), len(events))
	for _, e := range events[max(0, len(events)-maxPrintedEvents):] {
		fmt.Fprintln(d.out, formatEvent(d.started, e))
	}
	fmt.Fprintln(d.out)
}

func formatEvent(started time.Time, e timeline.Event) string {
	line := fmt.Sprintf("%6.2fs  %-3s %-13s %-24s", e.At.Time().Sub(started).Seconds(), e.Instance, e.Type, e.Name)
	fields := []struct{ key, value string }{
		{"zone", e.Zone}, {"job", e.Job}, {"request", e.Request}, {"worker", e.Worker}, {"reason", e.Reason},
	}
	for _, f := range fields {
		if f.value != "" {
			line += fmt.Sprintf(" %s=%s", f.key, f.value)
		}
	}
	return line
}

// printResult prints the failed checks, if any, and returns an error if there are any.
func (d *demonstration) printResult() error {
	if len(d.failures) == 0 {
		fmt.Fprintln(d.out, "demo: ok")
		return nil
	}
	for _, failure := range d.failures {
		fmt.Fprintln(d.out, "check failed:", failure)
	}
	return eris.Wrapf(ErrCheckFailed, "%d failures", len(d.failures))
}
