// Package demo runs the whole system on loopback in one process: the platform's stand-ins and
// six instances. It creates organisations, a guarantee and jobs, sends requests, kills the
// leader of a zone, stops another instance gracefully, and checks what must hold.
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
	// timeLimit bounds the whole demonstration.
	timeLimit = 29 * time.Second
	// checkPeriod is the pause between two looks at a condition.
	checkPeriod = 50 * time.Millisecond
	// partialRunLimit is the bound of the design page on a partial run: the running lease's TTL.
	partialRunLimit = 10 * time.Second
	// configurationDelayLimit is how soon an accepted configuration is in force everywhere today.
	configurationDelayLimit = 2 * time.Second
	maxPrintedEvents        = 40
)

// ErrCheckFailed means that a check of the demonstration failed.
var ErrCheckFailed = errors.New("demo: a check did not hold")

// demonstration is the state of one demonstration.
type demonstration struct {
	out      io.Writer
	started  time.Time
	cluster  *cluster
	failures []string
	killedID string
}

// Run runs the demonstration, prints what happens to out and log lines to logs. It returns
// ErrCheckFailed if a check failed.
func Run(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, timeLimit)
	defer cancel()
	c, err := startCluster(logs)
	if err != nil {
		return eris.Wrap(err, "start the demonstration")
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
		for _, n := range d.cluster.nodes {
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
		d.printf("%d instances are ready, zones %v have leaders", len(d.cluster.nodes), zones)
	}
	return err
}

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
		d.addFailure("a guarantee beyond the fleet was not refused")
	} else {
		d.printf("a guarantee beyond the fleet was refused: %v", err)
	}
	return nil
}

// runJobs fills the fleet with reclaimable work, then calls the guarantee.
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
	d.printf("the guaranteed gang ran to its end while reclaimable work filled the fleet")
	return nil
}

// killLeader kills the leader of the zone that holds the guarantee and calls it again.
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
		d.printf("%s ended: %v", d.killedID, err)
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
		for _, n := range d.cluster.liveNodes() {
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

// stopGracefully stops one instance while requests are in progress.
func (d *demonstration) stopGracefully() error {
	n := d.cluster.liveNodes()[0]
	d.printf("stopping %s gracefully", n.settings.ID)
	if err := n.shutdown(); err != nil {
		return eris.Wrapf(err, "graceful stop of %s", n.settings.ID)
	}
	return nil
}

func (d *demonstration) checkRequests(t *requestTally) {
	d.printf("requests: %d answers, %d not-run, %d unknown, %d cut by the kill", t.answers, t.notRun, t.unknown, t.brokenConnections)
	for _, wrong := range t.wrongResponses {
		d.addFailure("wrong answer: " + wrong)
	}
	if t.answers == 0 {
		d.addFailure("no request was answered")
	}
	for _, id := range t.notRunIDs {
		if d.timesExecuted(id) != 0 {
			d.addFailure("request " + id + " was refused as not-run but ran")
		}
	}
	for _, id := range t.nonIdempotentIDs {
		if n := d.timesExecuted(id); n > 1 {
			d.addFailure(fmt.Sprintf("non-idempotent request %s ran %d times", id, n))
		}
	}
}

func (d *demonstration) timesExecuted(id string) int {
	total := 0
	for _, target := range d.cluster.platform.Targets {
		total += target.Executed(id)
	}
	return total
}

func (d *demonstration) checkGangs() {
	longest := time.Duration(0)
	for _, partial := range d.cluster.platform.Fleet.LongestPartialTimes() {
		longest = max(longest, partial)
	}
	d.printf("longest partial run of a gang: %d ms (bound %d ms)", longest.Milliseconds(), partialRunLimit.Milliseconds())
	if longest > partialRunLimit {
		d.addFailure("a gang ran partially beyond the bound")
	}
	runsByLease := make(map[platform.LeaseID]int)
	for _, run := range d.cluster.platform.Fleet.Runs() {
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

func (d *demonstration) waitFor(ctx context.Context, description string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ErrCheckFailed, "not in time: %s", description)
		case <-time.After(checkPeriod):
		}
	}
	return nil
}

func (d *demonstration) printf(format string, args ...any) {
	fmt.Fprintf(d.out, "%6.2fs  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demonstration) addFailure(failure string) { d.failures = append(d.failures, failure) }

func (d *demonstration) printTimeline() {
	events := d.cluster.timeline()
	fmt.Fprintf(d.out, "\ntime line, newest %d of %d events:\n", min(maxPrintedEvents, len(events)), len(events))
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

func (d *demonstration) printResult() error {
	if len(d.failures) == 0 {
		fmt.Fprintln(d.out, "demo: ok")
		return nil
	}
	for _, failure := range d.failures {
		fmt.Fprintln(d.out, "did not hold:", failure)
	}
	return eris.Wrapf(ErrCheckFailed, "%d of the checks", len(d.failures))
}
