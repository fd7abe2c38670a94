package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// outcome is a value of platform.HeaderOutcome.
type outcome string

// The outcomes of a request.
const (
	// outcomeAnswer means that the response of a target was forwarded.
	outcomeAnswer outcome = "answer"
	// outcomeNotRun means that no target has started the request.
	outcomeNotRun outcome = "not-run"
	// outcomeUnknown means that a target may have started the request.
	outcomeUnknown outcome = "unknown"
)

// problem is a response of the gateway itself, in the format of RFC 9457.
type problem struct {
	outcome    outcome
	status     int
	reason     string
	detail     string
	retryAfter time.Duration
}

type problemBody struct {
	Type      string `json:"type"`
	Title     string `json:"title"`
	Status    int    `json:"status"`
	Detail    string `json:"detail,omitempty"`
	Reason    string `json:"reason"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"requestId,omitempty"`
}

// Reasons of outcomes other than outcomeAnswer. They are used in problem bodies, log lines, metrics
// and the timeline. No problem body has caller-left or answer-cut.
const (
	reasonInvalid               = "invalid-request"
	reasonBodyTooLarge          = "body-too-large"
	reasonQueueFull             = "queue-full"
	reasonDeadline              = "deadline"
	reasonNoTarget              = "no-target"
	reasonTargetUnreachable     = "target-unreachable"
	reasonTargetRejected        = "target-refused"
	reasonTargetFailed          = "target-failed"
	reasonWrongRequestID        = "wrong-request-id"
	reasonResponseWithoutLength = "answer-without-length"
	reasonResponseLate          = "answer-late"
	reasonKeyUsed               = "key-used"
	reasonKeyUnknown            = "key-not-vouched"
	reasonCallerDisconnected    = "caller-left"
	reasonResponseTruncated     = "answer-cut"
	reasonNotFound              = "not-found"
)

func (p problem) write(w http.ResponseWriter, requestID string) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(platform.HeaderOutcome, string(p.outcome))
	if requestID != "" {
		h.Set(platform.HeaderRequestID, requestID)
	}
	if p.retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	body, err := json.Marshal(problemBody{
		Type: "about:blank", Title: http.StatusText(p.status), Status: p.status,
		Detail: p.detail, Reason: p.reason, Outcome: string(p.outcome), RequestID: requestID,
	})
	if err != nil {
		body = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.status)
	_, _ = w.Write(body)
}
