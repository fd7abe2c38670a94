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

// Outcome is what a caller knows of its request.
type Outcome string

// Outcomes. The first three are values of the header Oleanderbend-Outcome.
const (
	// Answered means that the whole answer arrived.
	Answered Outcome = "answer"
	// NotRun means that the work certainly did not run.
	NotRun Outcome = "not-run"
	// Unknown means that the work may have run.
	Unknown Outcome = "unknown"
	// Unreachable means that no byte of the request left the caller.
	Unreachable Outcome = "unreachable"
)

// Rule names a check that a request can break.
type Rule string

// Rules.
const (
	// RuleOutcome is broken by an answer whose outcome header and status do not fit.
	RuleOutcome Rule = "outcome-header"
	// RuleRequestID is broken by an answer with the id of another request.
	RuleRequestID Rule = "wrong-request-id"
	// RuleBody is broken by an answer that is not whole or not that of the request.
	RuleBody Rule = "wrong-body"
	// RuleRequestBody is broken if the target received another body than was sent.
	RuleRequestBody Rule = "wrong-request-body"
	// RuleNotRunButRan is broken by a request that ran although the caller was told not-run.
	RuleNotRunButRan Rule = "not-run-but-ran"
	// RuleRanMoreThanOnce is broken by a request that is not idempotent and ran more than once.
	RuleRanMoreThanOnce Rule = "ran-more-than-once"
	// RuleAnswerWithoutRun is broken by a successful answer to a request that never ran.
	RuleAnswerWithoutRun Rule = "answer-without-run"
	// RuleUnsent is broken by arrivals that could not be sent before the run ended.
	RuleUnsent Rule = "unsent"
)

// violation is a broken rule, found on one answer.
type violation struct {
	rule   Rule
	detail string
}

// reply is what came back for one request.
type reply struct {
	outcome Outcome
	// failed is set for a whole answer with a status other than 2xx.
	failed     bool
	violations []violation
}

// call has what is needed to send one request, again if needed.
type call struct {
	flow   settings.LoadFlow
	id     string
	body   []byte
	digest string
	// direct is set if answers come from a target and have no outcome header.
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
	// The host is replaced by that of the instance.
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

// send makes one attempt and checks what comes back.
func (c call) send(ctx context.Context, targets platform.Targets, addr string, timeout time.Duration) reply {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(ctx)
	if err != nil {
		return reply{outcome: Unreachable}
	}
	resp, err := targets.RoundTrip(platform.Instance{Addr: addr}, req)
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return reply{outcome: Unreachable}
	case err != nil:
		return reply{outcome: Unknown}
	}
	defer resp.Body.Close()
	return c.check(resp)
}

// check reads an answer to its end. A connection that breaks on the way makes the outcome
// unknown, whatever the header said.
func (c call) check(resp *http.Response) reply {
	var r reply
	r.outcome, r.violations = outcomeOf(resp, c.direct)
	whole := resp.StatusCode/100 == 2 && r.outcome == Answered
	if whole {
		matches, err := sameContent(resp.Body, standin.NewResponseBody(c.id, c.flow.ResponseBytes))
		if err != nil {
			return reply{outcome: Unknown}
		}
		if !matches {
			r.violations = append(r.violations, violation{RuleBody, "body differs from the answer to this request"})
		}
	} else if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return reply{outcome: Unknown}
	}
	if r.outcome != Answered {
		return r
	}
	r.failed = !whole
	if id := resp.Header.Get(platform.HeaderRequestID); id != c.id {
		r.violations = append(r.violations, violation{RuleRequestID, fmt.Sprintf("answer has the id %q", id)})
	}
	if digest := resp.Header.Get(standin.HeaderBodyDigest); whole && digest != c.digest {
		r.violations = append(r.violations, violation{RuleRequestBody, fmt.Sprintf("target received a body of digest %q", digest)})
	}
	return r
}

// outcomeOf reads the outcome from the header. An answer that comes directly from a target
// has no outcome header.
func outcomeOf(resp *http.Response, direct bool) (Outcome, []violation) {
	header := resp.Header.Get(platform.HeaderOutcome)
	if direct && header == "" {
		if resp.Header.Get(platform.HeaderNotStarted) == "true" {
			return NotRun, nil
		}
		return Answered, nil
	}
	status := resp.StatusCode
	fits := true
	outcome := Outcome(header)
	switch outcome {
	case Answered:
	case NotRun:
		fits = status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
	case Unknown:
		fits = status == http.StatusBadGateway || status == http.StatusGatewayTimeout
	default:
		return Unknown, []violation{{RuleOutcome, fmt.Sprintf("outcome %q", header)}}
	}
	if !fits {
		return outcome, []violation{{RuleOutcome, fmt.Sprintf("outcome %q with status %d", header, status)}}
	}
	return outcome, nil
}

// compareBlock is the size of the buffers of sameContent, in bytes.
const compareBlock = 16 << 10

// sameContent compares two streams. Its error is that of reading got.
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

// readBlock fills p. Unlike io.ReadFull it returns the error of the reader unchanged, which
// tells a clean end from a broken connection.
func readBlock(r io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var m int
		m, err = r.Read(p[n:])
		n += m
	}
	return n, err
}
