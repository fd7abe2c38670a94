package standin

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Query parameters of a request to a target.
const (
	// ParamID is the id under which the target records the request and from which it makes the
	// response body. It has precedence over the header Oleanderbend-Request-Id, whose value is the
	// default.
	ParamID = "id"
	// ParamServiceTime is the service time, for example 50ms.
	ParamServiceTime = "service"
	// ParamSize is the size of the response body in bytes.
	ParamSize = "size"
)

// HeaderBodyDigest is the response header with the xxhash64 of the request's body in hexadecimal.
const HeaderBodyDigest = "Standin-Body-Digest"

// Bounds of one request to a target. Sizes and lengths are in bytes.
const (
	maxServiceTime  = 10 * time.Minute
	maxResponseSize = 64 << 20
	maxBodySize     = 64 << 20
	maxRequestIDLen = 256
)

// maxExecutedIDs is the maximum number of executed request ids that one target records. When it is
// reached, the older half is dropped.
const maxExecutedIDs = 1_000_000

// TargetFaults are the faults of a target.
type TargetFaults struct {
	// Share is the fraction of the requests to which the faults below apply, between 0 and 1; 0 means
	// all requests.
	Share float64 `json:"share,omitempty"`
	// Outage closes the target's port, so that connections are refused. It does not depend on Share.
	Outage bool `json:"outage,omitempty"`
	// Silent neither carries out a request nor responds to it.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to the service time, after it has been multiplied by SlowdownFactor.
	Delay settings.Duration `json:"delay,omitzero"`
	// SlowdownFactor multiplies the service time; 0 means 1. The product is limited to
	// maxServiceTime.
	SlowdownFactor float64 `json:"slow,omitempty"`
	// FailFast responds with status 500 at once. The request counts as executed.
	FailFast bool `json:"failFast,omitempty"`
	// TruncateResponse closes the connection in the middle of the response body.
	TruncateResponse bool `json:"shortAnswer,omitempty"`
	// DropResponse carries out the request and closes the connection without a response.
	DropResponse bool `json:"cutAfterEffect,omitempty"`
	// WrongRequestID sends a response that belongs to another request id.
	WrongRequestID bool `json:"wrongRequestID,omitempty"`
	// Leaving sets the leaving header on responses. It does not depend on Share.
	Leaving bool `json:"leaving,omitempty"`
}

// TargetConfig configures a Target.
type TargetConfig struct {
	ID string
	// Clock is the system clock if nil.
	Clock Clock
	// Slots is the maximum number of requests executed at once.
	Slots int
	// Connections is the maximum number of connections served at once.
	Connections int
	// Seed determines, together with ID, to which requests the faults apply if TargetFaults.Share is
	// set.
	Seed uint64
}

// Target is the stand-in for a target. It executes requests, which takes their service time, and
// records their ids. It is an http.Handler, safe for concurrent use. The limit of connections
// applies only if TrackConnections was called for the http.Server.
type Target struct {
	config TargetConfig

	mu     sync.Mutex
	random *rand.Rand
	faults TargetFaults
	// listedAsLeaving is true while the target's state in the instance list is leaving.
	listedAsLeaving bool
	stats           TargetStats
	// conns contains the open connections. The value is true if the limit was reached when the
	// connection was opened; its requests are rejected.
	conns map[net.Conn]bool
	// executed is the number of executions by request id; executedOrder has the ids by their first
	// execution.
	executed      map[string]int
	executedOrder []string
}

// TargetStats contains the counters of a target.
type TargetStats struct {
	ID string `json:"id"`
	// Executed counts the requests whose execution began, Completed those that were executed to the
	// end.
	Executed  int `json:"executed"`
	Completed int `json:"completed"`
	// Rejected counts the requests that were not started because there was no free slot or because
	// their connection exceeded the limit.
	Rejected int `json:"refused"`
	// Repeated counts the executions of an id after its first one. An id that was dropped because
	// the target had recorded maxExecutedIDs counts as new.
	Repeated int `json:"repeated"`
	// Running and Connections are current values; the peaks are the highest since the start.
	Running         int `json:"running"`
	PeakRunning     int `json:"peakRunning"`
	Connections     int `json:"connections"`
	PeakConnections int `json:"peakConnections"`
	// LeavingSince is when the target began to leave: the leaving fault was set, or its state in the
	// instance list was changed (regardless of the list's lag), whichever came first. It is zero
	// while the target is not leaving.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
	// LastStarted is when the last execution began.
	LastStarted time.Time `json:"lastStarted,omitzero"`
}

// NewTarget returns an idle target.
func NewTarget(config TargetConfig) *Target {
	config.Clock = clockOrSystem(config.Clock)
	return &Target{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.ID))),
		stats:    TargetStats{ID: config.ID},
		conns:    make(map[net.Conn]bool),
		executed: make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.updateLeavingSince()
}

// setListedState is called when the target's state in the instance list changes.
func (t *Target) setListedState(state platform.InstanceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAsLeaving = state == platform.StateLeaving
	t.updateLeavingSince()
}

// updateLeavingSince sets or clears LeavingSince. It is called with the mutex held.
func (t *Target) updateLeavingSince() {
	switch leaving := t.faults.Leaving || t.listedAsLeaving; {
	case !leaving:
		t.stats.LeavingSince = time.Time{}
	case t.stats.LeavingSince.IsZero():
		t.stats.LeavingSince = t.config.Clock.Now()
	}
}

// Executed returns how often the execution of the request with the id began. It returns 0 for an id
// that was dropped because the target had recorded maxExecutedIDs.
func (t *Target) Executed(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executed[id]
}

// Stats returns the current counters.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// TrackConnections sets the ConnState callback of the server that serves the target, so that the
// target counts the connections and applies their limit. It must be called before the server
// starts.
func (t *Target) TrackConnections(server *http.Server) {
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		switch state {
		case http.StateNew:
			t.connected(conn)
		case http.StateClosed, http.StateHijacked:
			t.disconnected(conn)
		}
	}
}

func (t *Target) connected(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns[conn] = len(t.conns) >= t.config.Connections
	t.stats.Connections = len(t.conns)
	t.stats.PeakConnections = max(t.stats.PeakConnections, len(t.conns))
}

func (t *Target) disconnected(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
	t.stats.Connections = len(t.conns)
}

// requestSpec contains the parameters of one request.
type requestSpec struct {
	// recordID is the id under which the request is recorded; see ParamID.
	recordID string
	// requestID and attemptID are from the request's headers and are repeated in the response.
	requestID     string
	attemptID     string
	serviceTime   time.Duration
	responseBytes int64
}

var errBadRequest = errors.New("standin: invalid request to a target")

// parseRequestSpec parses the headers and the query of a request to a target. The error wraps
// errBadRequest.
func parseRequestSpec(header http.Header, query url.Values) (requestSpec, error) {
	spec := requestSpec{requestID: header.Get(platform.HeaderRequestID), attemptID: header.Get(platform.HeaderAttemptID)}
	spec.recordID = cmp.Or(query.Get(ParamID), spec.requestID)
	if len(spec.recordID) > maxRequestIDLen || len(spec.requestID) > maxRequestIDLen {
		return requestSpec{}, fmt.Errorf("%w: request id longer than %d bytes", errBadRequest, maxRequestIDLen)
	}
	if s := query.Get(ParamServiceTime); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > maxServiceTime {
			return requestSpec{}, fmt.Errorf("%w: %s must be between 0s and %v", errBadRequest, ParamServiceTime, maxServiceTime)
		}
		spec.serviceTime = d
	}
	if s := query.Get(ParamSize); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 || n > maxResponseSize {
			return requestSpec{}, fmt.Errorf("%w: %s must be between 0 and %d", errBadRequest, ParamSize, maxResponseSize)
		}
		spec.responseBytes = n
	}
	return spec, nil
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	faults := t.drawFaults()
	if faults.Leaving {
		rw.Header().Set(platform.HeaderLeaving, "true")
	}
	if faults.Silent {
		// The server detects that the connection was closed only after the body has been read.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(rw, r.Body, maxBodySize))
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	spec, err := parseRequestSpec(r.Header, r.URL.Query())
	if err != nil {
		reject(rw, spec, http.StatusBadRequest, err.Error())
		return
	}
	if !t.acquireSlot(r) {
		rw.Header().Set("Connection", "close")
		reject(rw, spec, http.StatusServiceUnavailable, "no free slot or connection")
		return
	}
	defer t.releaseSlot()
	digest := xxhash.New()
	if _, err := io.Copy(digest, http.MaxBytesReader(rw, r.Body, maxBodySize)); err != nil {
		reject(rw, spec, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	t.recordStart(spec.recordID)
	if faults.FailFast {
		rw.Header().Set(platform.HeaderRequestID, spec.requestID)
		http.Error(rw, "failed by the failFast fault", http.StatusInternalServerError)
		return
	}
	// The execution continues if the caller gives up, as on a real target.
	if d := faults.serviceTime(spec.serviceTime); d > 0 {
		<-t.config.Clock.After(d)
	}
	t.recordCompletion()
	rw.Header().Set(HeaderBodyDigest, strconv.FormatUint(digest.Sum64(), 16))
	writeResponse(rw, spec, faults)
}

// reject sends the response to a request that was not started.
func reject(rw http.ResponseWriter, spec requestSpec, status int, message string) {
	rw.Header().Set(platform.HeaderNotStarted, "true")
	rw.Header().Set(platform.HeaderRequestID, spec.requestID)
	http.Error(rw, message, status)
}

// writeResponse sends the response to an executed request, subject to the faults.
func writeResponse(rw http.ResponseWriter, spec requestSpec, faults TargetFaults) {
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongRequestID {
		spec.recordID, spec.requestID = "other-"+spec.recordID, "other-"+spec.requestID
	}
	header := rw.Header()
	header.Set(platform.HeaderRequestID, spec.requestID)
	if spec.attemptID != "" {
		header.Set(platform.HeaderAttemptID, spec.attemptID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.FormatInt(spec.responseBytes, 10))
	if faults.TruncateResponse {
		_, _ = io.Copy(rw, NewResponseBody(spec.recordID, spec.responseBytes/2))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(rw, NewResponseBody(spec.recordID, spec.responseBytes))
}

// serviceTime returns the time that a request with service time d takes under the faults.
func (f TargetFaults) serviceTime(d time.Duration) time.Duration {
	if f.SlowdownFactor > 0 {
		d = min(time.Duration(float64(d)*f.SlowdownFactor), maxServiceTime)
	}
	return d + time.Duration(f.Delay)
}

// drawFaults returns the faults that apply to one request. If a share is set, it is drawn at random
// whether they apply.
func (t *Target) drawFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Share > 0 && t.random.Float64() >= t.faults.Share {
		return TargetFaults{Leaving: t.faults.Leaving}
	}
	return t.faults
}

// connContextKey is the key of the net.Conn in a request's context.
type connContextKey struct{}

// acquireSlot reports whether the request can be started: its connection is within the limit and a
// slot is free, which the request then occupies until releaseSlot.
func (t *Target) acquireSlot(r *http.Request) bool {
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[conn] || t.stats.Running >= t.config.Slots {
		t.stats.Rejected++
		return false
	}
	t.stats.Running++
	t.stats.PeakRunning = max(t.stats.PeakRunning, t.stats.Running)
	return true
}

func (t *Target) releaseSlot() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Running--
}

// recordStart counts the start of an execution. Requests without an id are not recorded by id.
func (t *Target) recordStart(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Executed++
	t.stats.LastStarted = t.config.Clock.Now()
	if id == "" {
		return
	}
	if len(t.executedOrder) == maxExecutedIDs {
		for _, old := range t.executedOrder[:maxExecutedIDs/2] {
			delete(t.executed, old)
		}
		t.executedOrder = append([]string(nil), t.executedOrder[maxExecutedIDs/2:]...)
	}
	if t.executed[id] > 0 {
		t.stats.Repeated++
	} else {
		t.executedOrder = append(t.executedOrder, id)
	}
	t.executed[id]++
}

func (t *Target) recordCompletion() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Completed++
}
