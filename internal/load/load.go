// Package load sends requests to instances or targets at times that do not depend on the
// answers, and checks every outcome. Latency is measured from the scheduled arrival, so a
// stalled system is not measured less often than a fast one.
package load

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/google/uuid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// ErrVerify means that the record of what ran could not be read.
var ErrVerify = errors.New("load: cannot read what ran")

// ExecutionCounter tells how often requests ran. Ids that never ran are left out.
type ExecutionCounter func(ctx context.Context, ids []string) (map[string]int, error)

// Config configures a run.
type Config struct {
	Settings settings.Load
	Targets  platform.Targets
	// CountExecutions is nil if what ran is not known.
	CountExecutions ExecutionCounter
	// Progress is called once a second with the counts so far; nil for no progress.
	Progress func(Progress)
}

// Progress is the state of a run in progress.
type Progress struct {
	At time.Duration
	// Sent counts requests, Done those with an outcome.
	Sent, Done int
	Outcomes   map[Outcome]int
	Violations int
}

// Bounds of the latency histograms: 1 µs to 2 h with two significant digits.
const (
	minLatency      = time.Microsecond
	maxLatency      = 2 * time.Hour
	latencyDigits   = 2
	progressPeriod  = time.Second
	maxExamples     = 20
	verifyBatchSize = 10_000
)

// record is what is kept of one request.
type record struct {
	idempotent bool
	sent       bool
	// notRun is set if every send was answered with NotRun or never left the caller.
	notRun bool
	// succeeded is set if a whole answer with status 2xx arrived.
	succeeded bool
}

// sample is one point of the plot.
type sample struct {
	at, latency time.Duration
}

// flowRun is the state of one flow.
type flowRun struct {
	flow     settings.LoadFlow
	arrivals []arrival
	// first is the index of the flow's first request in run.records.
	first int

	mu       sync.Mutex
	outcomes map[Outcome]int
	failed   int
	answered *hdrhistogram.Histogram
	notRun   *hdrhistogram.Histogram
	samples  []sample
}

type run struct {
	config Config
	id     string
	addrs  []string
	start  time.Time
	flows  []*flowRun
	// records has one element for each request; each is written by the request's goroutine only.
	records []record

	mu         sync.Mutex
	sent, done int
	rules      map[Rule]int
	examples   []Violation
}

// Run sends all requests, waits for their outcomes, and checks them. When ctx ends, it sends
// no more requests and reports those that are left as unsent. It returns ErrVerify with the
// result if the record of what ran cannot be read.
func Run(ctx context.Context, config Config) (Result, error) {
	r, err := newRun(config)
	if err != nil {
		return Result{}, err
	}
	stopProgress := r.startProgress()
	// Waiting arrivals are given up one timeout after the end, so that a run of requests that
	// all time out is bounded.
	sendTime := time.Duration(config.Settings.Duration + config.Settings.Timeout)
	sending, cancel := context.WithTimeout(ctx, sendTime)
	defer cancel()
	var flows sync.WaitGroup
	for _, f := range r.flows {
		flows.Go(func() { r.runFlow(sending, f) })
	}
	flows.Wait()
	stopProgress()
	if config.CountExecutions == nil {
		return r.result(false), nil
	}
	time.Sleep(time.Duration(config.Settings.Settle))
	if err := r.verify(context.WithoutCancel(ctx)); err != nil {
		return r.result(false), fmt.Errorf("%w: %w", ErrVerify, err)
	}
	return r.result(true), nil
}

func newRun(config Config) (*run, error) {
	r := &run{config: config, id: uuid.NewString(), rules: make(map[Rule]int)}
	for _, u := range config.Settings.URLs {
		parsed, err := url.Parse(u)
		if err != nil {
			return nil, err
		}
		r.addrs = append(r.addrs, parsed.Host)
	}
	total := 0
	for _, flow := range config.Settings.Flows {
		f := &flowRun{
			flow:     flow,
			arrivals: arrivals(config.Settings, flow, config.Settings.MaxRequests-total),
			first:    total,
			outcomes: make(map[Outcome]int),
			answered: newHistogram(),
			notRun:   newHistogram(),
		}
		total += len(f.arrivals)
		r.flows = append(r.flows, f)
	}
	r.records = make([]record, total)
	r.start = time.Now()
	return r, nil
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(int64(minLatency/time.Microsecond), int64(maxLatency/time.Microsecond), latencyDigits)
}

func (r *run) requestID(n int) string { return fmt.Sprintf("%s-%d", r.id, n) }

// runFlow sends the requests of one flow and waits for their outcomes.
func (r *run) runFlow(ctx context.Context, f *flowRun) {
	slots := make(chan struct{}, r.config.Settings.MaxInFlight)
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for n, next := range f.arrivals {
		if !waitUntil(ctx, r.start.Add(next.at)) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		inFlight.Go(func() {
			// A request in progress is finished when the run is interrupted, within its timeout.
			r.runRequest(context.WithoutCancel(ctx), f, f.first+n, next)
			<-slots
		})
	}
}

func waitUntil(ctx context.Context, at time.Time) bool {
	if ctx.Err() != nil {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) runRequest(ctx context.Context, f *flowRun, n int, next arrival) {
	r.mu.Lock()
	r.sent++
	r.mu.Unlock()
	c := newCall(f.flow, r.requestID(n))
	c.direct = r.config.Settings.Direct
	timeout := time.Duration(r.config.Settings.Timeout)
	send := func(instance int) reply { return c.send(ctx, r.config.Targets, r.addrs[instance], timeout) }
	var replies []reply
	if f.flow.Resend == settings.ResendAlways {
		second := make(chan reply, 1)
		go func() { second <- send(next.other) }()
		replies = []reply{send(next.url), <-second}
	} else {
		replies = []reply{send(next.url)}
		if f.flow.Resend == settings.ResendUnknown && replies[0].outcome == Unknown {
			replies = append(replies, send(next.other))
		}
	}
	outcome, failed := combine(replies)
	f.add(next.at, time.Since(r.start)-next.at, outcome, failed)
	rec := record{idempotent: f.flow.Idempotent, sent: true, notRun: outcome == NotRun || outcome == Unreachable}
	rec.succeeded = outcome == Answered && !failed
	r.records[n] = rec
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	for _, reply := range replies {
		for _, v := range reply.violations {
			r.addViolation(v, c.id)
		}
	}
}

// combine returns what a caller knows after all sends of one request: any answer counts, and
// work did not run only if no send can have run it.
func combine(replies []reply) (outcome Outcome, failed bool) {
	rank := map[Outcome]int{Unreachable: 0, NotRun: 1, Unknown: 2, Answered: 3}
	best := replies[0]
	for _, r := range replies[1:] {
		better := rank[r.outcome] > rank[best.outcome]
		if better || r.outcome == Answered && best.failed && !r.failed {
			best = r
		}
	}
	return best.outcome, best.failed
}

func (f *flowRun) add(at, latency time.Duration, outcome Outcome, failed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[outcome]++
	clamped := min(max(latency, minLatency), maxLatency).Microseconds()
	// The value is within the bounds of the histogram, so recording cannot fail.
	switch outcome {
	case Answered:
		if failed {
			f.failed++
			return
		}
		_ = f.answered.RecordValue(clamped)
		f.samples = append(f.samples, sample{at: at, latency: latency})
	case NotRun:
		_ = f.notRun.RecordValue(clamped)
	}
}

// addViolation is called with the mutex held.
func (r *run) addViolation(v violation, id string) {
	r.rules[v.rule]++
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, Violation{Rule: v.rule, Request: id, Detail: v.detail})
	}
}

// verify compares the outcomes with the record of what ran.
func (r *run) verify(ctx context.Context) error {
	for from := 0; from < len(r.records); from += verifyBatchSize {
		to := min(from+verifyBatchSize, len(r.records))
		ids := make([]string, 0, to-from)
		for n := from; n < to; n++ {
			ids = append(ids, r.requestID(n))
		}
		ctx, cancel := context.WithTimeout(ctx, time.Duration(r.config.Settings.Timeout))
		counts, err := r.config.CountExecutions(ctx, ids)
		cancel()
		if err != nil {
			return err
		}
		r.mu.Lock()
		for n := from; n < to; n++ {
			if v, broken := r.records[n].check(counts[r.requestID(n)]); broken {
				r.addViolation(v, r.requestID(n))
			}
		}
		r.mu.Unlock()
	}
	return nil
}

// check compares the outcome of a request with the number of times it ran.
func (rec record) check(ran int) (violation, bool) {
	switch {
	case rec.notRun && ran > 0:
		return violation{RuleNotRunButRan, fmt.Sprintf("ran %d times", ran)}, true
	case !rec.idempotent && ran > 1:
		return violation{RuleRanMoreThanOnce, fmt.Sprintf("ran %d times", ran)}, true
	case rec.succeeded && ran == 0:
		return violation{RuleAnswerWithoutRun, "no target ran it"}, true
	}
	return violation{}, false
}

func (r *run) startProgress() (stop func()) {
	if r.config.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var loop sync.WaitGroup
	loop.Go(func() {
		ticker := time.NewTicker(progressPeriod)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.config.Progress(r.progress())
			case <-done:
				return
			}
		}
	})
	return func() {
		close(done)
		loop.Wait()
	}
}

func (r *run) progress() Progress {
	p := Progress{At: time.Since(r.start), Outcomes: make(map[Outcome]int)}
	for _, f := range r.flows {
		f.mu.Lock()
		for outcome, n := range f.outcomes {
			p.Outcomes[outcome] += n
		}
		f.mu.Unlock()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.Sent, p.Done = r.sent, r.done
	for _, n := range r.rules {
		p.Violations += n
	}
	return p
}
