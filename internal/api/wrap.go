package api

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// handlerFunc handles one request. A returned *Problem becomes the answer.
type handlerFunc func(w http.ResponseWriter, r *http.Request) error

// statusWriter remembers the status for metrics and logs.
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

// Unwrap lets http.ResponseController find the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// wrap checks the caller's role, bounds the time of the answer, and logs and counts it.
func (a *API) wrap(required role, h handlerFunc) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		started := a.deps.Now()
		w := &statusWriter{ResponseWriter: rw}
		_ = http.NewResponseController(rw).SetWriteDeadline(time.Now().Add(answerTimeout + writeTimeout))
		w.Header().Set("X-Content-Type-Options", "nosniff")
		w.Header().Set("Cache-Control", "no-store")
		caller, granted := a.tokens.check(r)
		err := allowed(required, granted)
		if err == nil {
			err = a.current(r)
		}
		if err == nil {
			err = h(w, r)
		}
		if err != nil {
			a.answerError(w, err)
		}
		a.account(r, w, caller, required, a.deps.Now().Sub(started))
	})
}

func allowed(required, granted role) error {
	switch {
	case granted >= required:
		return nil
	case granted == roleNone:
		return problem(http.StatusUnauthorized, "a bearer token is required; set Authorization: Bearer TOKEN")
	default:
		return problem(http.StatusForbidden, "the token's role is read; this request needs the role operate")
	}
}

// current refuses requests for resources while the state may be older than what this
// instance or a live peer has in force.
func (a *API) current(r *http.Request) error {
	if r.PathValue("kind") == "" || a.deps.Ready.IsReady() {
		return nil
	}
	p := problem(http.StatusServiceUnavailable, "instance %s is starting or stopping; try another instance", a.deps.ID)
	if r.Method != http.MethodGet {
		p.Outcome = OutcomeRefused
	}
	return p
}

func (a *API) answerError(w *statusWriter, err error) {
	var p *Problem
	if !errors.As(err, &p) {
		a.deps.Logger.Error().Str("event", "request-failed").Err(err).Msg("")
		p = problem(http.StatusInternalServerError, "internal error; the log of the instance %s has the cause", a.deps.ID)
	}
	if w.status == 0 {
		writeProblem(w, p)
	}
}

// account counts a request and logs writes. Paths come from callers, so they are not labels.
func (a *API) account(r *http.Request, w *statusWriter, caller string, required role, took time.Duration) {
	a.deps.Metrics.GetOrCreateCounter(fmt.Sprintf("oleanderbend_api_requests_total{method=%q,status=\"%d\"}", methodLabel(r.Method), w.status)).Inc()
	if required != roleOperate {
		return
	}
	a.deps.Metrics.GetOrCreateHistogram("oleanderbend_api_write_seconds").Update(took.Seconds())
	a.deps.Logger.Info().Str("event", "operator-write").Str("method", r.Method).Str("path", r.URL.Path).
		Int("status", w.status).Str("token", caller).Str("request", w.Header().Get(platform.HeaderRequestID)).
		Float64("took_seconds", took.Seconds()).Msg("")
}

// methodLabel bounds the values of the method label.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPut, http.MethodDelete:
		return method
	default:
		return "other"
	}
}
