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

// exchange handles one request of a caller from its arrival to its outcome.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	control  *http.ResponseController
	headers  requestHeaders
	pending  *pendingRequest
	body     *replayBody
	attempts int
	// target is the id of the target of the last attempt.
	target string
	// mayHaveRun is true once any byte of the request may have reached a target, unless that
	// target responded that it did not start the request.
	mayHaveRun bool
	// claim is the granted claim of the request's idempotency key; nil if there is none.
	claim *keyClaim
}

func newExchange(g *Gateway, w http.ResponseWriter, r *http.Request, headers requestHeaders) *exchange {
	x := &exchange{g: g, w: w, r: r, control: http.NewResponseController(w), headers: headers}
	x.body = newReplayBody(r.Body, r.ContentLength, x.control, g.limits)
	request := &admission.Request{ID: headers.id, Flow: headers.flow, Urgency: headers.urgency}
	// A zero Deadline is replaced by the policy's default in admission.Queue.Enqueue.
	if headers.deadline > 0 {
		request.Deadline = g.now().Add(headers.deadline)
	}
	x.pending = &pendingRequest{request: request, idempotent: headers.idempotent, assigned: make(chan assignment, 1)}
	request.UserData = x.pending
	return x
}

// run forwards the request, with retries, and responds to the caller. It returns the outcome and
// the reason, which is empty for outcomeAnswer.
func (x *exchange) run() (outcome, string) {
	defer x.body.interruptRead()
	for {
		a, err := x.g.dispatcher.admit(x.r.Context(), x.pending, x.attempts > 0)
		if err != nil {
			return x.endCallerDisconnected()
		}
		if a.rejection != nil {
			return x.endRejected(a.rejection)
		}
		if p := x.ensureKeyClaim(a); p != nil {
			return x.endWithProblem(*p)
		}
		result := x.attempt(a)
		x.recordResult(a, result)
		if result.done {
			return result.problem.outcome, result.problem.reason
		}
		if !x.prepareRetry(result) {
			return x.endWithProblem(x.finalProblem(result))
		}
	}
}

// ensureKeyClaim claims the idempotency key of a request that has one, or checks before a retry
// that the claim has not expired. On failure it releases the slot and returns the problem to
// respond with.
func (x *exchange) ensureKeyClaim(a assignment) *problem {
	if x.headers.key == "" {
		return nil
	}
	var p *problem
	switch {
	case x.claim == nil:
		x.claim, p = x.g.claimKey(x.r.Context(), x.headers)
	case x.claim.expired(x.g.now()):
		// The deadline here is the validity of the claim, not the deadline of the request.
		p = &problem{
			outcome: outcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: time.Second,
			reason: reasonDeadline, detail: "no target started the request while its idempotency key was protected",
		}
	}
	if p != nil {
		x.g.dispatcher.release(x.pending, a, dispatch.Abandoned, 0)
	}
	return p
}

// recordResult releases the slot of an attempt and records its result.
func (x *exchange) recordResult(a assignment, result attemptResult) {
	x.mayHaveRun = x.mayHaveRun || result.mayHaveRun
	ejected := x.g.dispatcher.release(x.pending, a, result.verdict, xxhash.Sum64String(x.headers.flow.Caller))
	if result.leaving {
		x.g.handleLeavingHeader(a.target.ID)
	}
	if ejected {
		x.g.metrics.ejections.Inc()
		x.g.event(timeline.TypeDecision, "target-ejected", "", a.target.ID+" "+result.problem.reason)
	}
	x.pending.avoidTarget = a.target.ID
}

// prepareRetry reports whether to send the request again after a failed attempt. If so, it takes
// the retry from the retry budget and waits for the backoff. A request is retried only if it is
// idempotent or no target can have started it, if its body can be sent again, and if the retry
// budget and the deadline allow it. prepareRetry also returns false if the caller disconnects
// during the wait.
func (x *exchange) prepareRetry(result attemptResult) bool {
	safe := !x.mayHaveRun || x.headers.idempotent
	if !safe || !x.body.canReplay() || x.r.Context().Err() != nil {
		return false
	}
	x.g.dispatcher.mu.Lock()
	withinBudget := x.g.dispatcher.table.TakeRetry()
	wait := x.g.dispatcher.table.Backoff(x.attempts)
	x.g.dispatcher.mu.Unlock()
	if !withinBudget || x.g.now().Add(wait).After(x.pending.request.Deadline) {
		return false
	}
	x.g.metrics.retries.Inc()
	x.g.event(timeline.TypeRetry, "request-retry", x.headers.id, result.problem.reason)
	return sleep(x.r.Context(), wait)
}

// sleep waits for the duration d. It returns false if ctx is done first.
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

// finalProblem returns the problem to respond with if the last attempt of a request failed. The
// outcome is not-run only if no target can have started the request.
func (x *exchange) finalProblem(last attemptResult) problem {
	p := last.problem
	if x.mayHaveRun {
		p.outcome = outcomeUnknown
		// The gateway's own 503 responses mean that the request has not run.
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

// endRejected ends the exchange after the request was rejected instead of getting a slot.
func (x *exchange) endRejected(r *admission.Rejection) (outcome, string) {
	p := problem{outcome: outcomeNotRun, status: http.StatusServiceUnavailable, retryAfter: r.RetryAfter}
	switch {
	case errors.Is(r.Reason, admission.ErrQueueFull):
		p.status, p.reason, p.detail = http.StatusTooManyRequests, reasonQueueFull, "the queue of the caller or of the instance is full"
	case errors.Is(r.Reason, admission.ErrDeadline):
		p.reason, p.detail = reasonDeadline, "the request cannot be answered before its deadline"
	default:
		p.reason, p.detail = reasonNoTarget, "no target is known"
	}
	if x.mayHaveRun {
		// A target may have started an earlier attempt, so the outcome is not known to be not-run
		// although the retry was rejected.
		p.outcome, p.status, p.retryAfter = outcomeUnknown, http.StatusBadGateway, 0
	}
	return x.endWithProblem(p)
}

// endCallerDisconnected ends the exchange after the caller disconnected while the request was
// queued.
func (x *exchange) endCallerDisconnected() (outcome, string) {
	if x.mayHaveRun {
		return outcomeUnknown, reasonCallerDisconnected
	}
	x.releaseKey()
	return outcomeNotRun, reasonCallerDisconnected
}

// endWithProblem ends the exchange and responds with a problem.
func (x *exchange) endWithProblem(p problem) (outcome, string) {
	if p.outcome == outcomeNotRun {
		x.releaseKey()
	}
	if p.outcome == outcomeNotRun || p.outcome == outcomeUnknown {
		// TypeRefusal covers both outcomes.
		x.g.event(timeline.TypeRefusal, string(p.outcome), x.headers.id, p.reason)
	}
	if x.body.failed.Load() {
		// The rest of the request body was not read, so the connection cannot be used again.
		x.w.Header().Set("Connection", "close")
	}
	p.write(x.w, x.headers.id)
	return p.outcome, p.reason
}

// releaseKey releases the claim of a request that no target has started, so that the caller can
// send it again with the same key.
func (x *exchange) releaseKey() {
	if x.claim != nil {
		x.g.keys.Release(x.claim.key, x.claim.id)
		x.claim = nil
	}
}
