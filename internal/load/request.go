package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// Outcome is the result of a request as far as its caller can know it.
type Outcome string

// Outcomes. The first three are values of the header Oleanderbend-Outcome.
const (
	// Answered means that the complete response arrived.
	Answered Outcome = "answer"
	// NotRun means that the work certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the work may or may not have run.
	Unknown Outcome = "unknown"
	// Unreachable means that no byte of the request left the caller.
	Unreachable Outcome = "unreachable"
)

// Rule is the name of a check that a request can violate.
type Rule string

// Rules.
const (
	// RuleOutcome is violated by a response whose outcome header does not match its status.
	RuleOutcome Rule = "outcome-header"
	// RuleRequestID is violated by a response with the id of another request.
	RuleRequestID Rule = "wrong-request-id"
	// RuleBody is violated by a response body that is incomplete or belongs to another request.
	RuleBody Rule = "wrong-body"
	// RuleRequestBody is violated if the body that the target received differs from the body sent.
	RuleRequestBody Rule = "wrong-request-body"
	// RuleNotRunButRan is violated by a request that ran although its outcome was NotRun or
	// Unreachable.
	RuleNotRunButRan Rule = "not-run-but-ran"
	// RuleRanMoreThanOnce is violated by a non-idempotent request that ran more than once.
	RuleRanMoreThanOnce Rule = "ran-more-than-once"
	// RuleAnswerWithoutRun is violated by a successful response to a request that never ran.
	RuleAnswerWithoutRun Rule = "answer-without-run"
	// RuleUnsent is violated by a request that could not be sent before the run ended.
	RuleUnsent Rule = "unsent"
)

// violation is the violation of a rule by one request.
type violation struct {
	rule   Rule
	detail string
}

// sendResult is the result of sending a request once.
type sendResult struct {
	outcome Outcome
	// failed is set for a complete response with a status other than 2xx.
	failed     bool
	violations []violation
}

// call contains the data to send one request one or more times.
type call struct {
	flow   settings.LoadFlow
	id     string
	body   []byte
	digest string
	// direct is set if the request goes directly to a target, whose responses have no outcome header.
	direct bool
}

func newCall(flow settings.LoadFlow, id string) call {
	body := bytes.Repeat([]byte("x"), flow.BodyBytes)
	return call{flow: flow, id: id, body: body, digest: strconv.FormatUint(xxhash.Sum64(body), 16)}
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	query := url.Values{
		standin.ParamID:          {c.id},
		standin.ParamServiceTime: {time.Duration(c.flow.ServiceTime).String()},
		standin.ParamSize:        {strconv.FormatInt(c.flow.ResponseBytes, 10)},
	}
	// RoundTrip replaces the host with the address of the instance.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://instance/work?"+query.Encode(), bytes.NewReader(c.body))
	if err != nil {
		return nil, err
	}
	header := req.Header
	header.Set("Content-Type", "application/octet-stream")
	header.Set(platform.HeaderOrganisation, c.flow.Organisation)
	header.Set(platform.HeaderCaller, c.flow.Caller)
	header.Set(platform.HeaderKind, c.flow.Kind)
	header.Set(platform.HeaderPriority, fmt.Sprintf("u=%d", *c.flow.Urgency))
	header.Set(platform.HeaderIdempotent, strconv.FormatBool(c.flow.Idempotent))
	header.Set(platform.HeaderRequestID, c.id)
	if c.flow.Deadline > 0 {
		header.Set(platform.HeaderDeadlineMs, strconv.FormatInt(time.Duration(c.flow.Deadline).Milliseconds(), 10))
	}
	if c.flow.WithIdempotencyKey {
		header.Set(platform.HeaderIdempotencyKey, c.id)
	}
	return req, nil
}

// send sends the request once to addr and checks the response.
func (c call) send(ctx context.Context, targets platform.Targets, addr string, timeout time.Duration) sendResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx)
	if err != nil {
		return sendResult{outcome: Unreachable}
	}
	resp, err := targets.RoundTrip(platform.Instance{Addr: addr}, req)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return sendResult{outcome: Unreachable}
	case err != nil:
		return sendResult{outcome: Unknown}
	}
	defer resp.Body.Close()
	return c.check(resp)
}

// check reads a response to its end and checks it. If the connection breaks before the end, the outcome
// is Unknown, whatever the header said.
func (c call) check(resp *http.Response) sendResult {
	var r sendResult
	r.outcome, r.violations = outcomeOf(resp, c.direct)
	succeeded := resp.StatusCode/100 == 2 && r.outcome == Answered
	if succeeded {
		matches, err := sameContent(resp.Body, standin.NewResponseBody(c.id, c.flow.ResponseBytes))
		if err != nil {
			return sendResult{outcome: Unknown}
		}
		if !matches {
			r.violations = append(r.violations, violation{RuleBody, "body differs from the expected response to this request"})
		}
	} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return sendResult{outcome: Unknown}
	}
	if r.outcome != Answered {
		return r
	}
	r.failed = !succeeded
	if id := resp.Header.Get(platform.HeaderRequestID); id != c.id {
		r.violations = append(r.violations, violation{RuleRequestID, fmt.Sprintf("response has the id %q", id)})
	}
	if digest := resp.Header.Get(standin.HeaderBodyDigest); succeeded && digest != c.digest {
		r.violations = append(r.violations, violation{RuleRequestBody, fmt.Sprintf("target received a body with the digest %q", digest)})
	}
	return r
}

// outcomeOf returns the outcome from the headers of a response. If direct is set, the response may lack
// the outcome header because it comes directly from a target.
func outcomeOf(resp *http.Response, direct bool) (Outcome, []violation) {
	header := resp.Header.Get(platform.HeaderOutcome)
	if direct && header == "" {
		if resp.Header.Get(platform.HeaderNotStarted) == "true" {
			return NotRun, nil
		}
		return Answered, nil
	}
	status := resp.StatusCode
	consistent := true
	outcome := Outcome(header)
	switch outcome {
	case Answered:
	case NotRun:
		consistent = status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	case Unknown:
		consistent = status == http.StatusBadGateway || status == http.StatusGatewayTimeout
	default:
		return Unknown, []violation{{RuleOutcome, fmt.Sprintf("outcome %q", header)}}
	}
	if !consistent {
		return outcome, []violation{{RuleOutcome, fmt.Sprintf("outcome %q with status %d", header, status)}}
	}
	return outcome, nil
}

// compareBlock is the buffer size of sameContent in bytes.
const compareBlock = 16 << 10

// sameContent reports whether two streams have the same content. It returns the error of reading got,
// if any.
func sameContent(got, want io.Reader) (bool, error) {
	gotBlock, wantBlock := make([]byte, compareBlock), make([]byte, compareBlock)
	same := true
	for {
		n, err := readBlock(got, gotBlock)
		m, _ := readBlock(want, wantBlock)
		same = same && bytes.Equal(gotBlock[:n], wantBlock[:m])
		switch {
		case errors.Is(err, io.EOF):
			return same, nil
		case err != nil:
			return false, err
		}
	}
}

// readBlock reads until p is full or the reader returns an error. Unlike io.ReadFull, it returns the
// reader's error unchanged, so that a clean end differs from a broken connection.
func readBlock(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}
