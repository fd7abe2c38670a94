package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// attemptResult describes how one attempt ended.
type attemptResult struct {
	verdict dispatch.Verdict
	// mayHaveRun is true if the target may have started the request.
	mayHaveRun bool
	// leaving is true if the target stated in its response that it is leaving.
	leaving bool
	// done is true if the exchange has ended: a response was forwarded, in whole or in part, or
	// the caller disconnected.
	done bool
	// problem is the response to the caller if the attempt failed and is not retried. If done is
	// true, only its outcome and reason are used.
	problem problem
}

const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}

// attempt sends the request to a target once and forwards the response.
func (x *exchange) attempt(a assignment) attemptResult {
	x.attempts++
	x.target = a.target.ID
	x.g.metrics.attempts.Inc()
	if x.attempts == 1 {
		x.g.dispatcher.mu.Lock()
		x.g.dispatcher.table.AddRetryBudget()
		x.g.dispatcher.mu.Unlock()
	}
	ctx, cancel := context.WithCancelCause(x.r.Context())
	defer cancel(nil)
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	// The deadline applies until the headers of the response arrive. The response body may take
	// longer.
	deadlineTimer := time.AfterFunc(x.pending.request.Deadline.Sub(x.g.now()), func() { cancel(errResponseLate) })
	defer deadlineTimer.Stop()
	attemptID := newAttemptID()
	req := x.newTargetRequest(ctx, a.target, attemptID)
	defer req.Body.Close()
	resp, err := x.g.cfg.Targets.RoundTrip(a.target, req)
	if err != nil {
		return x.handleRoundTripError(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	if !deadlineTimer.Stop() {
		// The deadline passed while the response arrived.
		return attemptResult{verdict: dispatch.Failed, mayHaveRun: true, problem: lateResponseProblem()}
	}
	return x.handleResponse(resp, attemptID)
}

var errResponseLate = errors.New("gateway: no response before the deadline")

// newAttemptID returns a random id for one attempt. It distinguishes the response to this attempt
// from those to earlier attempts and to other requests with the same request id. It is sent in a
// separate header, so that targets record the caller's request id unchanged.
func newAttemptID() string {
	var random [6]byte
	_, _ = rand.Read(random[:])
	return hex.EncodeToString(random[:])
}

// newTargetRequest returns the request to send to the target in one attempt.
func (x *exchange) newTargetRequest(ctx context.Context, target platform.Instance, attemptID string) *http.Request {
	in := x.r
	req := (&http.Request{
		Method:        in.Method,
		URL:           &url.URL{Scheme: "http", Host: target.Addr, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery},
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        in.Header.Clone(),
		Host:          in.Host,
		ContentLength: in.ContentLength,
		Body:          x.body.newReader(),
	}).WithContext(ctx)
	removeHopByHopHeaders(req.Header)
	// The gateway's HTTP server handles "Expect: 100-continue" itself.
	req.Header.Del("Expect")
	req.Header.Set(platform.HeaderRequestID, x.headers.id)
	req.Header.Set(platform.HeaderAttemptID, attemptID)
	if host, _, err := net.SplitHostPort(in.RemoteAddr); err == nil {
		// This replaces a value that the caller sent; it is not appended to it.
		req.Header.Set("X-Forwarded-For", host)
	}
	if _, given := req.Header["Accept-Encoding"]; !given {
		// Without this, net/http requests gzip and decompresses it, which changes the response.
		req.Header.Set("Accept-Encoding", "identity")
	}
	if _, given := req.Header["User-Agent"]; !given {
		// Without this, net/http adds its own User-Agent.
		req.Header["User-Agent"] = nil
	}
	return req
}

func lateResponseProblem() problem {
	return problem{
		outcome: outcomeUnknown, status: http.StatusGatewayTimeout,
		reason: reasonResponseLate, detail: "the target did not answer before the deadline",
	}
}

// handleRoundTripError returns the result of an attempt that got no response. connected states
// whether a connection was obtained. The request counts as not sent only if no connection was
// obtained and provesNotSent(err) is true.
func (x *exchange) handleRoundTripError(ctx context.Context, err error, connected bool) attemptResult {
	mayHaveRun := connected || !provesNotSent(err)
	if x.r.Context().Err() != nil {
		o := outcomeUnknown
		if !mayHaveRun && !x.mayHaveRun {
			o = outcomeNotRun
			x.releaseKey()
		}
		return attemptResult{verdict: dispatch.Abandoned, mayHaveRun: mayHaveRun, done: true, problem: problem{outcome: o, reason: reasonCallerDisconnected}}
	}
	if x.body.failed.Load() {
		return attemptResult{verdict: dispatch.Abandoned, mayHaveRun: mayHaveRun, problem: x.bodyProblem()}
	}
	if errors.Is(context.Cause(ctx), errResponseLate) {
		return attemptResult{verdict: dispatch.Failed, mayHaveRun: mayHaveRun, problem: lateResponseProblem()}
	}
	p := problem{outcome: outcomeUnknown, status: http.StatusBadGateway, reason: reasonTargetFailed, detail: "the target failed before it answered"}
	if !mayHaveRun {
		p = problem{outcome: outcomeNotRun, status: http.StatusServiceUnavailable, reason: reasonTargetUnreachable, detail: "no target could be reached"}
	}
	return attemptResult{verdict: dispatch.Failed, mayHaveRun: mayHaveRun, problem: p}
}

// bodyProblem returns the problem of an attempt that ended because the request body could not be
// read or is too large. A failed read from the caller has the reason target-failed, too, since it
// has no reason of its own.
func (x *exchange) bodyProblem() problem {
	x.body.mu.Lock()
	tooLarge := errors.Is(x.body.err, errBodyTooLarge)
	x.body.mu.Unlock()
	p := problem{outcome: outcomeUnknown, status: http.StatusBadGateway, reason: reasonTargetFailed, detail: "the request body could not be read"}
	if tooLarge {
		p.reason, p.detail = reasonBodyTooLarge, "the request body exceeds the limit"
	}
	return p
}

// provesNotSent reports whether an error proves that no part of the request was sent: the platform
// reports that the call had no effect, or the connection could not be made.
func provesNotSent(err error) bool {
	var op *net.OpError
	return errors.Is(err, platform.ErrUnavailable) || (errors.As(err, &op) && op.Op == "dial")
}

// handleResponse validates the headers of a response and forwards it if they are valid.
func (x *exchange) handleResponse(resp *http.Response, attemptID string) attemptResult {
	result := attemptResult{mayHaveRun: true, leaving: resp.Header.Get(platform.HeaderLeaving) == "true"}
	if !x.isResponseToAttempt(resp, attemptID) {
		result.verdict = dispatch.Failed
		result.problem = problem{
			outcome: outcomeUnknown, status: http.StatusBadGateway,
			reason: reasonWrongRequestID, detail: "the target answered another request",
		}
		return result
	}
	if resp.Header.Get(platform.HeaderNotStarted) == "true" {
		result.mayHaveRun = false
		result.verdict = dispatch.Rejected
		result.problem = problem{reason: reasonTargetRejected, detail: "the target did not start the request", status: http.StatusServiceUnavailable}
		return result
	}
	if !hasDetectableEnd(resp) {
		result.verdict = dispatch.Failed
		result.problem = problem{
			outcome: outcomeUnknown, status: http.StatusBadGateway,
			reason: reasonResponseWithoutLength, detail: "the answer does not state where it ends",
		}
		return result
	}
	result.done = true
	x.forwardResponse(resp, &result)
	return result
}

// hasDetectableEnd reports whether truncation of the response can be detected. A truncated
// response looks complete if its end is marked only by the close of the connection.
func hasDetectableEnd(resp *http.Response) bool {
	if resp.ContentLength >= 0 || resp.Request != nil && resp.Request.Method == http.MethodHead {
		return true
	}
	for _, coding := range resp.TransferEncoding {
		if coding == "chunked" {
			return true
		}
	}
	return resp.ProtoMajor >= 2
}

// isResponseToAttempt reports whether a response belongs to this attempt. Targets must echo the
// request id. The attempt id is compared only if the target echoes it.
func (x *exchange) isResponseToAttempt(resp *http.Response, attemptID string) bool {
	if resp.Header.Get(platform.HeaderRequestID) != x.headers.id {
		return false
	}
	echoed := resp.Header.Get(platform.HeaderAttemptID)
	return echoed == "" || echoed == attemptID
}

// forwardResponse streams a response to the caller and sets the verdict and the problem in
// result. If the response is truncated, ServeHTTP aborts the caller's connection after the result
// was recorded.
func (x *exchange) forwardResponse(resp *http.Response, result *attemptResult) {
	h := x.w.Header()
	for name, values := range resp.Header {
		h[name] = values
	}
	removeHopByHopHeaders(h)
	h.Del(platform.HeaderLeaving)
	h.Del(platform.HeaderAttemptID)
	h.Set(platform.HeaderRequestID, x.headers.id)
	h.Set(platform.HeaderOutcome, string(outcomeAnswer))
	if x.g.draining.Load() {
		h.Set("Connection", "close")
	}
	announceTrailers(h, resp)
	if !x.body.complete.Load() {
		// Without this, the server reads the rest of the request before it sends the response.
		_ = x.control.EnableFullDuplex()
	}
	x.w.WriteHeader(resp.StatusCode)
	readErr, writeErr := x.copyBody(resp)
	switch {
	case writeErr != nil:
		result.verdict = dispatch.Abandoned
		result.problem = problem{outcome: outcomeUnknown, reason: reasonCallerDisconnected}
	case readErr != nil && x.r.Context().Err() != nil:
		result.verdict = dispatch.Abandoned
		result.problem = problem{outcome: outcomeUnknown, reason: reasonCallerDisconnected}
	case readErr != nil:
		result.verdict = dispatch.Failed
		result.problem = problem{outcome: outcomeUnknown, reason: reasonResponseTruncated}
		x.g.event(timeline.TypeFault, "answer-cut", x.headers.id, readErr.Error())
	default:
		copyTrailers(h, resp)
		result.problem = problem{outcome: outcomeAnswer}
		result.verdict = dispatch.Succeeded
		if resp.StatusCode >= http.StatusInternalServerError {
			result.verdict = dispatch.ErrorResponse
		}
	}
}

func announceTrailers(h http.Header, resp *http.Response) {
	for name := range resp.Trailer {
		h.Add("Trailer", name)
	}
}

func copyTrailers(h http.Header, resp *http.Response) {
	for name, values := range resp.Trailer {
		h[name] = values
	}
}

// copyBody streams the body of a response to the caller. It flushes each part unless it is the
// last one of a body of known length.
func (x *exchange) copyBody(resp *http.Response) (readErr, writeErr error) {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	remaining := resp.ContentLength
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			remaining -= int64(n)
			_ = x.control.SetWriteDeadline(time.Now().Add(x.g.limits.WriteIdle))
			if _, writeErr := x.w.Write(buffer[:n]); writeErr != nil {
				return nil, writeErr
			}
			if remaining != 0 {
				if writeErr := x.control.Flush(); writeErr != nil {
					return nil, writeErr
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return nil, nil
		}
		if err != nil {
			return err, nil
		}
	}
}
