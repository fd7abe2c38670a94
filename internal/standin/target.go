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
	// ParamID is the id under which the target records the request and makes its answer; the
	// default is the header Oleanderbend-Request-Id. An instance replaces that header by an id
	// of its own for each attempt, but passes on the query unchanged.
	ParamID = "id"
	// ParamServiceTime is the service time, for example 50ms.
	ParamServiceTime = "service"
	// ParamSize is the size of the answer in bytes.
	ParamSize = "size"
)

// HeaderBodyDigest is set on answers to the xxhash64 of the request's body, in hexadecimal.
const HeaderBodyDigest = "Standin-Body-Digest"

// Bounds of one request to a target.
const (
	maxServiceTime  = 10 * time.Minute
	maxResponseSize = 64 << 20
	maxBodySize     = 64 << 20
	maxRequestIDLen = 256
)

// maxExecutedIDs bounds the record of executed requests of one target; the oldest are dropped.
const maxExecutedIDs = 1_000_000

// TargetFaults are the faults of a target.
type TargetFaults struct {
	// Share is the share of requests that meet the faults below; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Outage refuses connections.
	Outage bool `json:"outage,omitempty"`
	// Silent neither carries out nor answers a request.
	Silent bool `json:"silent,omitempty"`
	// Delay is added to the service time; Slow multiplies it.
	Delay          settings.Duration `json:"delay,omitzero"`
	SlowdownFactor float64           `json:"slow,omitempty"`
	// FailFast answers 500 at once. The request counts as executed.
	FailFast bool `json:"failFast,omitempty"`
	// TruncateResponse cuts the connection in the middle of the answer.
	TruncateResponse bool `json:"shortAnswer,omitempty"`
	// DropResponse carries out the request and cuts the connection without an answer.
	DropResponse bool `json:"cutAfterEffect,omitempty"`
	// WrongRequestID answers as to another request.
	WrongRequestID bool `json:"wrongRequestID,omitempty"`
	// Leaving sets the leaving header on answers. It does not depend on Share.
	Leaving bool `json:"leaving,omitempty"`
}

// TargetConfig configures a Target.
type TargetConfig struct {
	ID string
	// Clock is the system clock if nil.
	Clock Clock
	// Slots is the number of requests executed at once.
	Slots int
	// Connections is the number of connections served at once.
	Connections int
	// Seed chooses the requests that meet a fault with a share.
	Seed uint64
}

// Target executes requests and records their ids. It is an http.Handler, safe for concurrent
// use. The connections limit needs Configure to be called on the http.Server.
type Target struct {
	config TargetConfig

	mu     sync.Mutex
	random *rand.Rand
	faults TargetFaults
	// listedAsLeaving is set while the instance list has the target as leaving.
	listedAsLeaving bool
	stats           TargetStats
	overLimit       map[net.Conn]bool
	executed        map[string]int
	executedOrder   []string
}

// TargetStats counts what a target has seen.
type TargetStats struct {
	ID string `json:"id"`
	// Executed counts requests whose execution began, Completed those that ran to the end.
	Executed  int `json:"executed"`
	Completed int `json:"completed"`
	// Rejected counts requests that were not started for want of a slot or a connection.
	Rejected int `json:"refused"`
	// Repeated counts executions of an id beyond its first.
	Repeated int `json:"repeated"`
	// Running and Connections are current; the peaks are since the start.
	Running         int `json:"running"`
	PeakRunning     int `json:"peakRunning"`
	Connections     int `json:"connections"`
	PeakConnections int `json:"peakConnections"`
	// LeavingSince is when the target began to leave, by its header or in the instance list
	// before the list's lag, whichever was first; LastStarted is the last begin of an execution.
	LeavingSince time.Time `json:"leavingSince,omitzero"`
	LastStarted  time.Time `json:"lastStarted,omitzero"`
}

// NewTarget returns an idle target.
func NewTarget(config TargetConfig) *Target {
	config.Clock = clockOrSystem(config.Clock)
	return &Target{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, xxhash.Sum64String(config.ID))),
		stats:     TargetStats{ID: config.ID},
		overLimit: make(map[net.Conn]bool),
		executed:  make(map[string]int),
	}
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
	t.updateLeavingSince()
}

// setListedState tells the target its state in the instance list.
func (t *Target) setListedState(state platform.InstanceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedAsLeaving = state == platform.StateLeaving
	t.updateLeavingSince()
}

// updateLeavingSince is called with the mutex held.
func (t *Target) updateLeavingSince() {
	switch leaving := t.faults.Leaving || t.listedAsLeaving; {
	case !leaving:
		t.stats.LeavingSince = time.Time{}
	case t.stats.LeavingSince.IsZero():
		t.stats.LeavingSince = t.config.Clock.Now()
	}
}

// Executed returns how often a request's execution began.
func (t *Target) Executed(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.executed[id]
}

// Stats returns the counts.
func (t *Target) Stats() TargetStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stats
}

// Configure makes a server count its connections for the target's limit.
func (t *Target) Configure(server *http.Server) {
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
	t.overLimit[conn] = len(t.overLimit) >= t.config.Connections
	t.stats.Connections = len(t.overLimit)
	t.stats.PeakConnections = max(t.stats.PeakConnections, len(t.overLimit))
}

func (t *Target) disconnected(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.overLimit, conn)
	t.stats.Connections = len(t.overLimit)
}

// requestSpec is what one request asks for.
type requestSpec struct {
	id string
	// requestID and attempt are the request id and the attempt id that the answer repeats.
	requestID     string
	attemptID     string
	serviceTime   time.Duration
	responseBytes int64
}

var errBadRequest = errors.New("standin: invalid request to a target")

// parseRequestSpec reads a request to a target.
func parseRequestSpec(header http.Header, query url.Values) (requestSpec, error) {
	spec := requestSpec{requestID: header.Get(platform.HeaderRequestID), attemptID: header.Get(platform.HeaderAttemptID)}
	spec.id = cmp.Or(query.Get(ParamID), spec.requestID)
	if len(spec.id) > maxRequestIDLen || len(spec.requestID) > maxRequestIDLen {
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
		// The end of the connection shows only once the body has been read.
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
	t.recordStart(spec.id)
	if faults.FailFast {
		rw.Header().Set(platform.HeaderRequestID, spec.requestID)
		http.Error(rw, "failing fast", http.StatusInternalServerError)
		return
	}
	// The work goes on after the caller gave up, as that of a real target would.
	if d := faults.serviceTime(spec.serviceTime); d > 0 {
		<-t.config.Clock.After(d)
	}
	t.recordCompletion()
	rw.Header().Set(HeaderBodyDigest, strconv.FormatUint(digest.Sum64(), 16))
	writeResponse(rw, spec, faults)
}

// reject answers a request that was not started.
func reject(rw http.ResponseWriter, spec requestSpec, status int, message string) {
	rw.Header().Set(platform.HeaderNotStarted, "true")
	rw.Header().Set(platform.HeaderRequestID, spec.requestID)
	http.Error(rw, message, status)
}

func writeResponse(rw http.ResponseWriter, spec requestSpec, faults TargetFaults) {
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongRequestID {
		spec.id, spec.requestID = "other-"+spec.id, "other-"+spec.requestID
	}
	header := rw.Header()
	header.Set(platform.HeaderRequestID, spec.requestID)
	if spec.attemptID != "" {
		header.Set(platform.HeaderAttemptID, spec.attemptID)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.FormatInt(spec.responseBytes, 10))
	if faults.TruncateResponse {
		_, _ = io.Copy(rw, NewResponseBody(spec.id, spec.responseBytes/2))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(rw, NewResponseBody(spec.id, spec.responseBytes))
}

func (f TargetFaults) serviceTime(d time.Duration) time.Duration {
	if f.SlowdownFactor > 0 {
		d = min(time.Duration(float64(d)*f.SlowdownFactor), maxServiceTime)
	}
	return d + time.Duration(f.Delay)
}

func (t *Target) drawFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Share > 0 && t.random.Float64() >= t.faults.Share {
		return TargetFaults{Leaving: t.faults.Leaving}
	}
	return t.faults
}

// connContextKey is the key of the connection in a request's context.
type connContextKey struct{}

func (t *Target) acquireSlot(r *http.Request) bool {
	conn, _ := r.Context().Value(connContextKey{}).(net.Conn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.overLimit[conn] || t.stats.Running >= t.config.Slots {
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
