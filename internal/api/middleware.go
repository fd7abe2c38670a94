package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// handlerFunc handles one request. A returned *Problem is written as the response; any other error
// is logged and becomes status 500.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// statusWriter records the response status for metrics and logs.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(data []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the underlying writer to http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wrap returns a handler that checks the caller's role and the instance's readiness, sets the write
// deadline, calls h, writes its error, and records the request in metrics and the log.
func (a *API) wrap(required role, h handlerFunc) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		started := a.deps.Now()
		w := &statusWriter{ResponseWriter: rw}
		_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(responseTimeout + writeTimeout))
		w.Header().Set("X-Content-Type-Options", "nosniff")
		w.Header().Set("Cache-Control", "no-store")
		caller, granted := a.tokens.authenticate(r)
		err := authorize(required, granted)
		if err == nil {
			err = a.requireReady(r)
		}
		if err == nil {
			err = h(w, r)
		}
		if err != nil {
			a.writeErrorResponse(w, err)
		}
		a.recordRequest(r, w, caller, required, a.deps.Now().Sub(started))
	})
}

// authorize returns status 401 for a caller without a valid token, and 403 for one whose role is too
// low.
func authorize(required, granted role) error {
	switch {
	case granted >= required:
		return nil
	case granted == roleNone:
		return problem(http.StatusUnauthorized, "a bearer token is required; set Authorization: Bearer TOKEN")
	default:
		return problem(http.StatusForbidden, "the token's role is read; this request needs the role operate")
	}
}

// requireReady rejects requests for resources while the instance is not ready. Its state may then
// be older than the state that it applied before, or that a live peer applies.
func (a *API) requireReady(r *http.Request) error {
	// Only the paths for resources have a kind.
	if r.PathValue("kind") == "" || a.deps.Ready.IsReady() {
		return nil
	}
	p := problem(http.StatusServiceUnavailable, "instance %s is starting or stopping; try another instance", a.deps.ID)
	if r.Method != http.MethodGet {
		p.Outcome = OutcomeRejected
	}
	return p
}

// writeErrorResponse writes err as a problem, unless the handler has already begun a response.
func (a *API) writeErrorResponse(w *statusWriter, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		a.deps.Logger.Error().Str("event", "request-failed").Err(err).Msg("")
		p = problem(http.StatusInternalServerError, "internal error; the log of the instance %s has the cause", a.deps.ID)
	}
	if w.status == 0 {
		writeProblem(w, p)
	}
}

// recordRequest counts a request and logs writes. The path is not a metric label because callers
// choose it, so the number of values is unlimited.
func (a *API) recordRequest(r *http.Request, w *statusWriter, caller string, required role, took time.Duration) {
	a.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("oleanderbend_api_requests_total{method=%q,status=\"%d\"}", methodLabel(r.Method), w.status)).Inc()
	if required != roleOperate {
		return
	}
	a.deps.Metrics.GetOrCreateHistogram("oleanderbend_api_write_seconds").Update(took.Seconds())
	a.deps.Logger.Info().Str("event", "operator-write").Str("method", r.Method).Str("path", r.URL.Path).
		Int("status", w.status).Str("token", caller).Str("request", w.Header().Get(platform.HeaderRequestID)).
		Float64("took_seconds", took.Seconds()).Msg("")
}

// methodLabel maps a method to one of a fixed set of metric label values.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPut, http.MethodDelete:
		return method
	default:
		return "other"
	}
}
