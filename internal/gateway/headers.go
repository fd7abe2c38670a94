package gateway

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// maxIDBytes limits request ids and the names of a flow, and truncates values in errors.
	maxIDBytes = 64
	// maxTextBytes limits idempotency keys and the Priority header.
	maxTextBytes   = 256
	maxDeadlineMs  = 24 * 3600 * 1000
	defaultUrgency = 3 // RFC 9218, section 4.1
	defaultName    = "default"
)

// headerError means that the value of a request header is invalid. value may be truncated.
type headerError struct {
	header string
	value  string
	rule   string
}

// Error implements error.
func (e *headerError) Error() string {
	return fmt.Sprintf("header %s: %q must be %s", e.header, e.value, e.rule)
}

// requestHeaders contains what the gateway reads from the headers of a request.
type requestHeaders struct {
	id       string
	flow     admission.Flow
	urgency  int
	deadline time.Duration
	// idempotent means that the request may be retried although it may have run.
	idempotent bool
	// key is the idempotency key of a request that must run at most once. It is empty if the
	// request has none or is idempotent.
	key string
}

// parseHeaders reads the request headers. A missing organisation, kind or caller becomes "default",
// a missing deadline 0, and a missing request id a new UUID. A request is idempotent if
// platform.HeaderIdempotent is true or, if this header is missing, if the method is safe. The key is
// left empty for idempotent requests. All errors are of type *headerError.
func parseHeaders(method string, h http.Header) (requestHeaders, error) {
	parsed := requestHeaders{}
	var err error
	if parsed.flow, err = parseFlow(h); err != nil {
		return requestHeaders{}, err
	}
	if parsed.urgency, err = parseUrgency(h); err != nil {
		return requestHeaders{}, err
	}
	if parsed.deadline, err = parseDeadline(h.Get(platform.HeaderDeadlineMs)); err != nil {
		return requestHeaders{}, err
	}
	if parsed.idempotent, err = parseIdempotent(method, h.Get(platform.HeaderIdempotent)); err != nil {
		return requestHeaders{}, err
	}
	key := h.Get(platform.HeaderIdempotencyKey)
	if err := checkText(platform.HeaderIdempotencyKey, key, maxTextBytes); err != nil {
		return requestHeaders{}, err
	}
	if !parsed.idempotent {
		parsed.key = key
	}
	parsed.id = h.Get(platform.HeaderRequestID)
	if parsed.id == "" {
		parsed.id = uuid.NewString()
	}
	return parsed, checkText(platform.HeaderRequestID, parsed.id, maxIDBytes)
}

func parseFlow(h http.Header) (admission.Flow, error) {
	flow := admission.Flow{}
	fields := []struct {
		header string
		value  *string
	}{
		{platform.HeaderOrganisation, &flow.Organisation},
		{platform.HeaderKind, &flow.Kind},
		{platform.HeaderCaller, &flow.Caller},
	}
	for _, f := range fields {
		*f.value = h.Get(f.header)
		if *f.value == "" {
			*f.value = defaultName
		}
		if err := checkText(f.header, *f.value, maxIDBytes); err != nil {
			return admission.Flow{}, err
		}
	}
	return flow, nil
}

// checkText returns an error if a value exceeds limit bytes or contains anything but visible
// ASCII, which is safe in log lines.
func checkText(header, value string, limit int) error {
	if len(value) > limit {
		return &headerError{header, value[:limit], fmt.Sprintf("at most %d bytes", limit)}
	}
	for _, c := range []byte(value) {
		if c <= ' ' || c > '~' {
			return &headerError{header, value, "visible ASCII without spaces"}
		}
	}
	return nil
}

// parseUrgency reads the urgency parameter of the RFC 9218 Priority header. Unknown parameters and
// values out of range are ignored, as the RFC requires.
func parseUrgency(h http.Header) (int, error) {
	value := strings.Join(h.Values(platform.HeaderPriority), ",")
	if len(value) > maxTextBytes {
		return 0, &headerError{platform.HeaderPriority, value[:maxTextBytes], fmt.Sprintf("at most %d bytes", maxTextBytes)}
	}
	urgency := defaultUrgency
	for member := range strings.SplitSeq(value, ",") {
		member, _, _ = strings.Cut(member, ";")
		name, text, found := strings.Cut(strings.TrimSpace(member), "=")
		if !found || name != "u" {
			continue
		}
		if u, err := strconv.Atoi(text); err == nil && u >= 0 && u <= resource.MaxUrgency {
			urgency = u
		}
	}
	return urgency, nil
}

func parseDeadline(value string) (time.Duration, error) {
	if value == "" {
		return 0, nil
	}
	ms, err := strconv.ParseUint(value, 10, 32)
	if err != nil || ms == 0 || ms > maxDeadlineMs {
		return 0, &headerError{platform.HeaderDeadlineMs, truncate(value), fmt.Sprintf("an integer from 1 to %d", maxDeadlineMs)}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

func parseIdempotent(method, value string) (bool, error) {
	switch value {
	case "true":
		return true, nil
	case "false":
		return false, nil
	case "":
		switch method {
		case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
			return true, nil
		}
		return false, nil
	default:
		return false, &headerError{platform.HeaderIdempotent, truncate(value), "true or false"}
	}
}

func truncate(value string) string { return value[:min(len(value), maxIDBytes)] }

// hopByHopHeaders are not forwarded in either direction (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// removeHopByHopHeaders removes hopByHopHeaders and the headers that Connection names.
func removeHopByHopHeaders(h http.Header) {
	for _, value := range h.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		h.Del(name)
	}
}
