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
	maxNameBytes   = 64
	maxKeyBytes    = 256
	maxDeadlineMs  = 24 * 3600 * 1000
	defaultUrgency = 3 // RFC 9218, section 4.1
	defaultName    = "default"
)

// headerError names a request header that breaks a rule.
type headerError struct {
	header string
	value  string
	rule   string
}

// Error implements error.
func (e *headerError) Error() string {
	return fmt.Sprintf("header %s: %q must be %s", e.header, e.value, e.rule)
}

// requestInfo is what the gateway reads from the headers of a request.
type requestInfo struct {
	id       string
	flow     admission.Flow
	urgency  int
	deadline time.Duration
	// idempotent permits a repeat of the request after it may have run.
	idempotent bool
	// key is set for requests that run at most once; empty if none was given.
	key string
}

// parseInfo reads the request headers. Missing organisation, kind and caller become
// "default"; a missing deadline is 0. Requests are idempotent if the header says so or, if
// it is missing, if the method is safe.
func parseInfo(method string, h http.Header) (requestInfo, error) {
	info := requestInfo{}
	var err error
	if info.flow, err = parseFlow(h); err != nil {
		return requestInfo{}, err
	}
	if info.urgency, err = parseUrgency(h); err != nil {
		return requestInfo{}, err
	}
	if info.deadline, err = parseDeadline(h.Get(platform.HeaderDeadlineMs)); err != nil {
		return requestInfo{}, err
	}
	if info.idempotent, err = parseIdempotent(method, h.Get(platform.HeaderIdempotent)); err != nil {
		return requestInfo{}, err
	}
	key := h.Get(platform.HeaderIdempotencyKey)
	if err := checkText(platform.HeaderIdempotencyKey, key, maxKeyBytes); err != nil {
		return requestInfo{}, err
	}
	if !info.idempotent {
		info.key = key
	}
	info.id = h.Get(platform.HeaderRequestID)
	if info.id == "" {
		info.id = uuid.NewString()
	}
	return info, checkText(platform.HeaderRequestID, info.id, maxNameBytes)
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
		if err := checkText(f.header, *f.value, maxNameBytes); err != nil {
			return admission.Flow{}, err
		}
	}
	return flow, nil
}

// checkText accepts visible ASCII only, so that values are safe in log lines.
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

// parseUrgency reads the urgency parameter of an RFC 9218 priority. As that RFC asks, unknown
// parameters and values out of range are ignored.
func parseUrgency(h http.Header) (int, error) {
	value := strings.Join(h.Values(platform.HeaderPriority), ",")
	if len(value) > maxKeyBytes {
		return 0, &headerError{platform.HeaderPriority, value[:maxKeyBytes], fmt.Sprintf("at most %d bytes", maxKeyBytes)}
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

func truncate(value string) string { return value[:min(len(value), maxNameBytes)] }

// hopByHopHeaders are removed in both directions (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

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
