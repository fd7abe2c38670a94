package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Values of Problem.Outcome, for writes that did not succeed.
const (
	// OutcomeRejected means that the write was rejected: it has not taken effect and never will.
	OutcomeRejected = "refused"
	// OutcomeUnknown means that the write may have taken effect or may still take effect.
	OutcomeUnknown = "unknown"
)

// Problem is the body of an error response, in the format of RFC 9457.
type Problem struct {
	// Type is always "about:blank"; Title is the standard text of the status code.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Outcome and RequestID are set for writes only.
	Outcome   string `json:"outcome,omitempty"`
	RequestID string `json:"requestId,omitempty"`
	// CurrentVersion is the current version of the resource, set if a write conflicted with it.
	CurrentVersion uint64 `json:"currentVersion,omitempty"`
	// Fields lists the fields that break a rule.
	Fields []resource.FieldError `json:"fields,omitempty"`
}

// Error implements error.
func (p *Problem) Error() string { return fmt.Sprintf("%d %s: %s", p.Status, p.Title, p.Detail) }

func problem(status int, format string, args ...any) *Problem {
	return &Problem{Type: "about:blank", Title: http.StatusText(status), Status: status, Detail: fmt.Sprintf(format, args...)}
}

// retryAfterSeconds is the Retry-After header of responses with status 503 (log or instance
// unavailable) and 429 (too many watches).
const retryAfterSeconds = "1"

func writeProblem(w http.ResponseWriter, p *Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	switch p.Status {
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", `Bearer realm="oleanderbend"`)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	if p.RequestID != "" {
		w.Header().Set(platform.HeaderRequestID, p.RequestID)
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// writeFailureProblem returns the problem for a write that failed without a verdict. The outcome is
// OutcomeRejected if the record was certainly not applied, otherwise OutcomeUnknown.
func writeFailureProblem(id string, err error) *Problem {
	if errors.Is(err, state.ErrNotApplied) {
		p := problem(http.StatusServiceUnavailable, "not applied: %v; try again", err)
		p.Outcome, p.RequestID = OutcomeRejected, id
		return p
	}
	p := problem(http.StatusGatewayTimeout, "the outcome is not known: %v; ask /v1/requests/%s or repeat the request with the same id", err, id)
	p.Outcome, p.RequestID = OutcomeUnknown, id
	return p
}

// verdictProblem returns the problem for a verdict, or nil if the record was accepted. conditional
// reports whether a Conflict verdict means that the version expected by the caller did not match;
// the status is then 412 instead of 409.
func verdictProblem(id string, v state.Verdict, conditional bool) *Problem {
	status := http.StatusConflict
	switch v.Code {
	case state.Accepted:
		return nil
	case state.RevisionConflict:
	case state.Conflict:
		if conditional {
			status = http.StatusPreconditionFailed
		}
	case state.NotFound:
		status = http.StatusNotFound
	case state.Invalid, state.LimitReached:
		status = http.StatusUnprocessableEntity
	case state.Stale:
		status = http.StatusServiceUnavailable
	}
	p := problem(status, "%s", v.Message)
	p.Outcome, p.RequestID, p.CurrentVersion = OutcomeRejected, id, v.Version
	return p
}
