package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// exchange is one request of a caller from its arrival to its outcome.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	info     requestInfo
	ticket   *ticket
	body     *replayBody
	attempts int
	// target is the id of the last target that was tried.
	target string
	// sent is true once a byte may have reached a target that has not said that it did not
	// start the request.
	sent bool
	// key is set while the request's idempotency key is granted to this exchange.
	key *keyClaim
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request, info requestInfo) *exchange {
	x := &exchange{g: g, w: w, r: r, control: http.NewResponseController(w), info: info}
	x.body = newReplayBody(r.Body, r.ContentLength, x.control, g.limits)
	request := &admission.Request{ID: info.id, Flow: info.flow, Urgency: info.urgency}
	if info.deadline > 0 {
		request.Deadline = g.now().Add(info.deadline)
	}
	x.ticket = &ticket{request: request, repeatable: info.idempotent, decided: make(chan decision, 1)}
	request.UserData = x.ticket
	return x
}

// run brings the exchange to its outcome and returns it with the reason, which is empty for
// an answer.
func (x *exchange) run() (outcome, string) {
	defer x.body.abandon()
	for {
		d, err := x.g.core.admit(x.r.Context(), x.ticket, x.attempts > 0)
		if err != nil {
			return x.callerLeft()
		}
		if d.refusal != nil {
			return x.refused(d.refusal)
		}
		if p := x.claim(d); p != nil {
			return x.end(*p)
		}
		result := x.attempt(d)
		x.account(d, result)
		if result.done {
			return result.problem.outcome, result.problem.reason
		}
		if !x.retry(result) {
			return x.end(x.final(result))
		}
	}
}

// claim takes the key of a request that must run at most once. On failure it gives the slot
// back and returns the problem to answer.
func (x *exchange) claim(d decision) *problem {
	if x.info.key == "" {
		return nil
	}
	var p *problem
	switch {
	case x.key == nil:
		x.key, p = x.g.claimKey(x.r.Context(), x.info)
	case x.key.expired(x.g.now()):
		p = &problem{
			outcome: outcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: time.Second,
			reason: reasonDeadline, detail: "no target started the request while its idempotency key was protected",
		}
	}
	if p != nil {
		x.g.core.release(x.ticket, d, dispatch.Abandoned, 0)
	}
	return p
}

func (x *exchange) account(d decision, result attemptResult) {
	x.sent = x.sent || result.sent
	ejected := x.g.core.release(x.ticket, d, result.verdict, xxhash.Sum64String(x.info.flow.Caller))
	if result.leaving {
		x.g.noticeLeaving(d.target.ID)
	}
	if ejected {
		x.g.metrics.ejections.Inc()
		x.g.event(timeline.TypeDecision, "target-ejected", "", d.target.ID+" "+result.problem.reason)
	}
	x.ticket.avoid = d.target.ID
}

// retry decides whether a failed attempt is repeated, and waits before it. An attempt is
// repeated if the target certainly did not start it or if the request is idempotent, within
// the retry budget.
func (x *exchange) retry(result attemptResult) bool {
	safe := !x.sent || x.info.idempotent
	if !safe || !x.body.rewind() || x.r.Context().Err() != nil {
		return false
	}
	x.g.core.mu.Lock()
	granted := x.g.core.table.TakeRetry()
	wait := x.g.core.table.Backoff(x.attempts)
	x.g.core.mu.Unlock()
	if !granted || x.g.now().Add(wait).After(x.ticket.request.Deadline) {
		return false
	}
	x.g.metrics.retries.Inc()
	x.g.event(timeline.TypeRetry, "request-retry", x.info.id, result.problem.reason)
	return sleep(x.r.Context(), wait)
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// final returns the answer to a request whose last attempt failed. It says not-run only if
// no attempt can have started the request.
func (x *exchange) final(last attemptResult) problem {
	p := last.problem
	if x.sent {
		p.outcome = outcomeUnknown
		if p.status == http.StatusServiceUnavailable {
			p.status = http.StatusBadGateway
		}
		return p
	}
	p.outcome = outcomeNotRun
	p.status = http.StatusServiceUnavailable
	p.retryAfter = time.Second
	return p
}

func (x *exchange) refused(r *admission.Rejection) (outcome, string) {
	p := problem{outcome: outcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: r.RetryAfter}
	switch {
	case errors.Is(r.Reason, admission.ErrQueueFull):
		p.status, p.reason, p.detail = http.StatusTooManyRequests, reasonQueueFull, "the queue of the caller or of the instance is full"
	case errors.Is(r.Reason, admission.ErrDeadline):
		p.reason, p.detail = reasonDeadline, "the request cannot be answered before its deadline"
	default:
		p.reason, p.detail = reasonNoTarget, "no target is known"
	}
	if x.sent {
		// An earlier attempt may have run, so the refusal of its repeat cannot say not-run.
		p.outcome, p.status, p.retryAfter = outcomeUnknown, http.StatusBadGateway, 0
	}
	return x.end(p)
}

func (x *exchange) callerLeft() (outcome, string) {
	if x.sent {
		return outcomeUnknown, reasonCallerLeft
	}
	x.releaseKey()
	return outcomeNotRun, reasonCallerLeft
}

// end answers with a problem.
func (x *exchange) end(p problem) (outcome, string) {
	if p.outcome == outcomeNotRun {
		x.releaseKey()
	}
	if p.outcome == outcomeNotRun || p.outcome == outcomeUnknown {
		x.g.event(timeline.TypeRefusal, string(p.outcome), x.info.id, p.reason)
	}
	if x.body.failed.Load() {
		x.w.Header().Set("Connection", "close")
	}
	p.write(x.w, x.info.id)
	return p.outcome, p.reason
}

// releaseKey forgets the claim of a request that certainly did not run, so that the caller
// may send it again with the same key.
func (x *exchange) releaseKey() {
	if x.key != nil {
		x.g.keys.Release(x.key.key, x.key.id)
		x.key = nil
	}
}
