// Package load sends requests to instances or targets at times that do not depend on the
// responses (an open-loop load generator), and checks every outcome. Latency is measured from the
// scheduled arrival, so that a stalled system is not measured less often than a fast one (no
// coordinated omission).
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

// ErrVerify means that the execution counts could not be read.
var ErrVerify = errors.New("load: cannot read execution counts")

// ExecutionCounter returns the number of times that each of the requests ran, by request id. Ids of
// requests that never ran are left out.
type ExecutionCounter func(ctx context.Context, ids []string) (map[string]int, error)

// Config configures a run.
type Config struct {
	Settings settings.Load
	// Targets sends the requests to the URLs of the settings, which are those of instances or targets.
	Targets platform.Targets
	// CountExecutions returns the execution counts for the verification; nil for no verification.
	CountExecutions ExecutionCounter
	// Progress is called once a second with the counts so far; nil for no progress.
	Progress func(Progress)
}

// Progress is the state of a run in progress.
type Progress struct {
	At time.Duration
	// Sent is the number of requests sent, Done the number of those with an outcome.
	Sent, Done int
	Outcomes   map[Outcome]int
	Violations int
}

const (
	// minLatency and maxLatency are the bounds of the latency histograms, which have latencyDigits
	// significant digits: 1 µs to 2 h with two digits.
	minLatency    = time.Microsecond
	maxLatency    = 2 * time.Hour
	latencyDigits = 2
	// progressPeriod is the time between two calls of Config.Progress.
	progressPeriod = time.Second
	// maxExamples is the number of violations that a result describes.
	maxExamples = 20
	// verifyBatchSize is the number of request ids in one call of Config.CountExecutions.
	verifyBatchSize = 10_000
)

// record contains the properties of one request that are compared with its execution count.
type record struct {
	idempotent bool
	sent       bool
	// notRun is set if the outcome of every send was NotRun or Unreachable.
	notRun bool
	// succeeded is set if a complete response with status 2xx arrived.
	succeeded bool
}

// sample is the latency of one successful request, at the time of its scheduled arrival.
type sample struct {
	at, latency time.Duration
}

// flowRun is the state of one flow during a run.
type flowRun struct {
	flow     settings.LoadFlow
	arrivals []arrival
	// firstRecord is the index of the flow's first request in run.records.
	firstRecord int

	mu             sync.Mutex
	outcomes       map[Outcome]int
	failed         int
	successLatency *hdrhistogram.Histogram
	notRunLatency  *hdrhistogram.Histogram
	samples        []sample
}

type run struct {
	config Config
	id     string
	addrs  []string
	start  time.Time
	flows  []*flowRun
	// records has one element per request; each is written only by the goroutine of its request.
	records []record

	mu              sync.Mutex
	sent, done      int
	violationCounts map[Rule]int
	examples        []Violation
}

// Run sends all requests, waits for their outcomes and checks them. When ctx is done, it sends no
// more requests and reports the remaining ones as unsent. If the execution counts cannot be read, it
// returns ErrVerify together with the result.
func Run(ctx context.Context, config Config) (Result, error) {
	r, err := newRun(config)
	if err != nil {
		return Result{}, err
	}
	stopProgress := r.startProgress()
	// No request is first sent later than one timeout after the scheduled end, which bounds the duration of
	// a run in which all requests time out. Resends may come later.
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
	r := &run{config: config, id: uuid.NewString(), violationCounts: make(map[Rule]int)}
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
			flow:           flow,
			arrivals:       arrivals(config.Settings, flow, config.Settings.MaxRequests-total),
			firstRecord:    total,
			outcomes:       make(map[Outcome]int),
			successLatency: newHistogram(),
			notRunLatency:  newHistogram(),
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
		if !sleepUntil(ctx, r.start.Add(next.at)) {
			return
		}
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		inFlight.Go(func() {
			// If the run is interrupted, a request in progress still completes or times out.
			r.runRequest(context.WithoutCancel(ctx), f, f.firstRecord+n, next)
			<-slots
		})
	}
}

func sleepUntil(ctx context.Context, at time.Time) bool {
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
	send := func(instance int) sendResult { return c.send(ctx, r.config.Targets, r.addrs[instance], timeout) }
	var results []sendResult
	if f.flow.Resend == settings.ResendAlways {
		second := make(chan sendResult, 1)
		go func() { second <- send(next.resendInstance) }()
		results = []sendResult{send(next.instance), <-second}
	} else {
		results = []sendResult{send(next.instance)}
		if f.flow.Resend == settings.ResendUnknown && results[0].outcome == Unknown {
			results = append(results, send(next.resendInstance))
		}
	}
	outcome, failed := combineResults(results)
	f.add(next.at, time.Since(r.start)-next.at, outcome, failed)
	rec := record{idempotent: f.flow.Idempotent, sent: true, notRun: outcome == NotRun || outcome == Unreachable}
	rec.succeeded = outcome == Answered && !failed
	r.records[n] = rec
	r.mu.Lock()
	defer r.mu.Unlock()
	r.done++
	for _, result := range results {
		for _, v := range result.violations {
			r.addViolation(v, c.id)
		}
	}
}

// combineResults returns the outcome that a caller can conclude from all sends of one request. A
// response to any send is the response to the request; otherwise the outcome is NotRun only if no send
// can have run.
func combineResults(results []sendResult) (outcome Outcome, failed bool) {
	rank := map[Outcome]int{Unreachable: 0, NotRun: 1, Unknown: 2, Answered: 3}
	best := results[0]
	for _, r := range results[1:] {
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
	// RecordValue cannot fail because the value is within the bounds of the histogram.
	switch outcome {
	case Answered:
		if failed {
			f.failed++
			return
		}
		_ = f.successLatency.RecordValue(clamped)
		f.samples = append(f.samples, sample{at: at, latency: latency})
	case NotRun:
		_ = f.notRunLatency.RecordValue(clamped)
	}
}

// addViolation is called with the mutex held.
func (r *run) addViolation(v violation, id string) {
	r.violationCounts[v.rule]++
	if len(r.examples) < maxExamples {
		r.examples = append(r.examples, Violation{Rule: v.rule, Request: id, Detail: v.detail})
	}
}

// verify compares the outcomes with the execution counts.
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

// check compares the outcome of a request with the number of times that it ran.
func (rec record) check(ran int) (violation, bool) {
	switch {
	case rec.notRun && ran > 0:
		return violation{RuleNotRunButRan, fmt.Sprintf("ran %d times", ran)}, true
	case !rec.idempotent && ran > 1:
		return violation{RuleRanMoreThanOnce, fmt.Sprintf("ran %d times", ran)}, true
	case rec.succeeded && ran == 0:
		return violation{RuleAnswerWithoutRun, "no target ran the request"}, true
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
	for _, n := range r.violationCounts {
		p.Violations += n
	}
	return p
}
