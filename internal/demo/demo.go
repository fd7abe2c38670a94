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
	// limit bounds the whole demonstration.
	limit = 29 * time.Second
	// pollPeriod is the pause between two looks at a condition.
	pollPeriod = 50 * time.Millisecond
	// partialBound is the bound of the design page on a partial run: the running lease's TTL.
	partialBound = 10 * time.Second
	// configurationBound is how soon an accepted configuration is in force everywhere today.
	configurationBound = 2 * time.Second
	shownEvents        = 40
)

// ErrCheckFailed means that a check of the demonstration failed.
var ErrCheckFailed = errors.New("demo: a check did not hold")

// run is the state of one demonstration.
type run struct {
	out     io.Writer
	started time.Time
	cluster *cluster
	failed  []string
	killed  string
}

// Run runs the demonstration, prints what happens to out and log lines to logs. It returns
// ErrCheckFailed if a check failed.
func Run(ctx context.Context, out, logs io.Writer) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	c, err := startCluster(logs)
	if err != nil {
		return eris.Wrap(err, "start the demonstration")
	}
	defer c.close()
	r := &run{out: out, started: time.Now(), cluster: c}
	if err := r.steps(ctx); err != nil {
		r.fail(err.Error())
	}
	r.printTimeline()
	return r.verdict()
}

func (r *run) steps(ctx context.Context) error {
	if err := r.waitReady(ctx); err != nil {
		return err
	}
	if err := r.createResources(ctx); err != nil {
		return err
	}
	callers, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	results := make(chan *tally, 1)
	go func() { results <- r.cluster.sendRequests(callers) }()
	if err := r.runJobs(ctx); err != nil {
		return err
	}
	if err := r.killLeader(ctx); err != nil {
		return err
	}
	if err := r.changePolicy(ctx); err != nil {
		return err
	}
	if err := r.stopGracefully(); err != nil {
		return err
	}
	stopCallers()
	r.checkRequests(<-results)
	r.checkGangs()
	return nil
}

func (r *run) waitReady(ctx context.Context) error {
	err := r.eventually(ctx, "all instances are ready and every zone has a leader", func() bool {
		for _, n := range r.cluster.nodes {
			if !n.instance.IsReady() {
				return false
			}
		}
		for _, zone := range zones {
			if r.cluster.leader(zone) == nil {
				return false
			}
		}
		return true
	})
	if err == nil {
		r.say("%d instances are ready, zones %v have leaders", len(r.cluster.nodes), zones)
	}
	return err
}

func (r *run) createResources(ctx context.Context) error {
	objects := []resource.Object{
		organisation("hamnverket", 2),
		organisation("tumaini", 1),
		rackGuarantee("seasonal-forecast", "hamnverket"),
	}
	for _, object := range objects {
		if err := r.cluster.put(ctx, object); err != nil {
			return err
		}
	}
	r.say("2 organisations and 1 guarantee created")
	tooLarge := rackGuarantee("too-large", "tumaini")
	tooLarge.Spec.Gangs = 1000
	if err := r.cluster.put(ctx, tooLarge); !errors.Is(err, errRefused) {
		r.fail("a guarantee beyond the fleet was not refused")
	} else {
		r.say("a guarantee beyond the fleet was refused: %v", err)
	}
	return nil
}

// runJobs fills the fleet with reclaimable work, then calls the guarantee.
func (r *run) runJobs(ctx context.Context) error {
	for i := range len(zones) * workersPerZone {
		job := gang(fmt.Sprintf("small-%02d", i), "tumaini", 1, resource.AdjacentWorker, "duration=60s checkpoint=200ms")
		if err := r.cluster.put(ctx, job); err != nil {
			return err
		}
	}
	if err := r.waitPhase(ctx, "small-00", resource.PhaseRunning); err != nil {
		return err
	}
	if err := r.cluster.put(ctx, gang("forecast", "hamnverket", 2, resource.AdjacentRack, "duration=2s checkpoint=200ms")); err != nil {
		return err
	}
	if err := r.waitPhase(ctx, "forecast", resource.PhaseSucceeded); err != nil {
		return err
	}
	r.say("the guaranteed gang ran to its end while reclaimable work filled the fleet")
	return nil
}

// killLeader kills the leader of the zone that holds the guarantee and calls it again.
func (r *run) killLeader(ctx context.Context) error {
	job, err := r.cluster.job(ctx, "forecast")
	if err != nil {
		return err
	}
	zone := job.Status.Zone
	leader := r.cluster.leader(zone)
	if leader == nil {
		return eris.Wrapf(ErrCheckFailed, "zone %s has no leader", zone)
	}
	r.killed = leader.settings.ID
	r.say("killing %s, which leads zone %s", r.killed, zone)
	at := time.Now()
	if err := leader.kill(); err != nil && !errors.Is(err, context.Canceled) {
		r.say("%s ended: %v", r.killed, err)
	}
	if err := r.cluster.put(ctx, gang("forecast-2", "hamnverket", 2, resource.AdjacentRack, "duration=1s checkpoint=200ms")); err != nil {
		return err
	}
	if err := r.waitPhase(ctx, "forecast-2", resource.PhaseRunning, resource.PhaseSucceeded); err != nil {
		return err
	}
	r.say("the new leader of zone %s placed a gang %.1f s after the kill", zone, time.Since(at).Seconds())
	return r.waitPhase(ctx, "forecast-2", resource.PhaseSucceeded)
}

func (r *run) changePolicy(ctx context.Context) error {
	policy := &resource.Policy{Metadata: resource.Metadata{Name: resource.DefaultPolicyName}}
	policy.Spec.Admission.KindWeights = map[string]float64{"tide-check": 3}
	if err := r.cluster.put(ctx, policy); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, configurationBound)
	defer cancel()
	accepted := time.Now()
	err := r.eventually(ctx, "the policy is in force at every live instance", func() bool {
		for _, n := range r.cluster.liveNodes() {
			if n.instance.Policy().Admission.KindWeights["tide-check"] != 3 {
				return false
			}
		}
		return true
	})
	if err == nil {
		r.say("the policy was in force at every live instance after %d ms", time.Since(accepted).Milliseconds())
	}
	return err
}

// stopGracefully stops one instance while requests are in progress.
func (r *run) stopGracefully() error {
	n := r.cluster.liveNodes()[0]
	r.say("stopping %s gracefully", n.settings.ID)
	if err := n.shutdown(); err != nil {
		return eris.Wrapf(err, "graceful stop of %s", n.settings.ID)
	}
	return nil
}

func (r *run) checkRequests(t *tally) {
	r.say("requests: %d answers, %d not-run, %d unknown, %d cut by the kill", t.answers, t.notRun, t.unknown, t.cut)
	for _, wrong := range t.wrong {
		r.fail("wrong answer: " + wrong)
	}
	if t.answers == 0 {
		r.fail("no request was answered")
	}
	for _, id := range t.refused {
		if r.executed(id) != 0 {
			r.fail("request " + id + " was refused as not-run but ran")
		}
	}
	for _, id := range t.once {
		if n := r.executed(id); n > 1 {
			r.fail(fmt.Sprintf("non-idempotent request %s ran %d times", id, n))
		}
	}
}

func (r *run) executed(id string) int {
	total := 0
	for _, target := range r.cluster.platform.Targets {
		total += target.Executed(id)
	}
	return total
}

func (r *run) checkGangs() {
	longest := time.Duration(0)
	for _, partial := range r.cluster.platform.Fleet.LongestPartialTimes() {
		longest = max(longest, partial)
	}
	r.say("longest partial run of a gang: %d ms (bound %d ms)", longest.Milliseconds(), partialBound.Milliseconds())
	if longest > partialBound {
		r.fail("a gang ran partially beyond the bound")
	}
	held := make(map[platform.LeaseID]int)
	for _, run := range r.cluster.platform.Fleet.Runs() {
		held[run.ID]++
		if held[run.ID] > 1 {
			r.fail(fmt.Sprintf("member %d of attempt %d ran twice", run.ID.Member, run.ID.Attempt))
		}
	}
}

// waitPhase waits until a job is in one of the phases.
func (r *run) waitPhase(ctx context.Context, name string, phases ...resource.Phase) error {
	return r.eventually(ctx, fmt.Sprintf("job %s is %v", name, phases), func() bool {
		job, err := r.cluster.job(ctx, name)
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

func (r *run) eventually(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return eris.Wrapf(ErrCheckFailed, "not in time: %s", what)
		case <-time.After(pollPeriod):
		}
	}
	return nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, "%6.2fs  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *run) fail(what string) { r.failed = append(r.failed, what) }

func (r *run) printTimeline() {
	events := r.cluster.timeline()
	fmt.Fprintf(r.out, "\ntime line, newest %d of %d events:\n", min(shownEvents, len(events)), len(events))
	for _, e := range events[max(0, len(events)-shownEvents):] {
		fmt.Fprintln(r.out, formatEvent(r.started, e))
	}
	fmt.Fprintln(r.out)
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

func (r *run) verdict() error {
	if len(r.failed) == 0 {
		fmt.Fprintln(r.out, "demo: ok")
		return nil
	}
	for _, what := range r.failed {
		fmt.Fprintln(r.out, "did not hold:", what)
	}
	return eris.Wrapf(ErrCheckFailed, "%d of the checks", len(r.failed))
}
