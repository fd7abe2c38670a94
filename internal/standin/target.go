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
	maxAnswerSize   = 64 << 20
	maxBodySize     = 64 << 20
	maxRequestIDLen = 256
)

// maxExecuted bounds the record of executed requests of one target; the oldest are dropped.
const maxExecuted = 1_000_000

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
	// listedLeaving is set while the instance list has the target as leaving.
	listedLeaving bool
	stats         TargetStats
	conns         map[net.Conn]bool
	executed      map[string]int
	order         []string
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
	config.Clock = orSystem(config.Clock)
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
	t.noteLeaving()
}

// setListed tells the target its state in the instance list.
func (t *Target) setListed(state platform.InstanceState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listedLeaving = state == platform.StateLeaving
	t.noteLeaving()
}

// noteLeaving is called with the mutex held.
func (t *Target) noteLeaving() {
	switch leaving := t.faults.Leaving || t.listedLeaving; {
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

// work is what one request asks for.
type work struct {
	id string
	// echo and attempt are the request id and the attempt id that the answer repeats.
	echo    string
	attempt string
	service time.Duration
	size    int64
}

var errBadRequest = errors.New("standin: invalid request to a target")

// parseWork reads a request to a target.
func parseWork(header http.Header, query url.Values) (work, error) {
	w := work{echo: header.Get(platform.HeaderRequestID), attempt: header.Get(platform.HeaderAttemptID)}
	w.id = cmp.Or(query.Get(ParamID), w.echo)
	if len(w.id) > maxRequestIDLen || len(w.echo) > maxRequestIDLen {
		return work{}, fmt.Errorf("%w: request id longer than %d bytes", errBadRequest, maxRequestIDLen)
	}
	if s := query.Get(ParamServiceTime); s != "" {
		d, err := time.ParseDuration(s)
		if err != nil || d < 0 || d > maxServiceTime {
			return work{}, fmt.Errorf("%w: %s must be between 0s and %v", errBadRequest, ParamServiceTime, maxServiceTime)
		}
		w.service = d
	}
	if s := query.Get(ParamSize); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil || n < 0 || n > maxAnswerSize {
			return work{}, fmt.Errorf("%w: %s must be between 0 and %d", errBadRequest, ParamSize, maxAnswerSize)
		}
		w.size = n
	}
	return w, nil
}

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	faults := t.chooseFaults()
	if faults.Leaving {
		rw.Header().Set(platform.HeaderLeaving, "true")
	}
	if faults.Silent {
		// The end of the connection shows only once the body has been read.
		_, _ = io.Copy(io.Discard, http.MaxBytesReader(rw, r.Body, maxBodySize))
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	job, err := parseWork(r.Header, r.URL.Query())
	if err != nil {
		refuse(rw, job, http.StatusBadRequest, err.Error())
		return
	}
	if !t.acquire(r) {
		rw.Header().Set("Connection", "close")
		refuse(rw, job, http.StatusServiceUnavailable, "no free slot or connection")
		return
	}
	defer t.releaseSlot()
	digest := xxhash.New()
	if _, err := io.Copy(digest, http.MaxBytesReader(rw, r.Body, maxBodySize)); err != nil {
		refuse(rw, job, http.StatusBadRequest, "request body: "+err.Error())
		return
	}
	t.begin(job.id)
	if faults.FailFast {
		rw.Header().Set(platform.HeaderRequestID, job.echo)
		http.Error(rw, "failing fast", http.StatusInternalServerError)
		return
	}
	// The work goes on after the caller gave up, as that of a real target would.
	if d := faults.serviceTime(job.service); d > 0 {
		<-t.config.Clock.After(d)
	}
	t.complete()
	rw.Header().Set(HeaderBodyDigest, strconv.FormatUint(digest.Sum64(), 16))
	answer(rw, job, faults)
}

// refuse answers a request that was not started.
func refuse(rw http.ResponseWriter, job work, status int, message string) {
	rw.Header().Set(platform.HeaderNotStarted, "true")
	rw.Header().Set(platform.HeaderRequestID, job.echo)
	http.Error(rw, message, status)
}

func answer(rw http.ResponseWriter, job work, faults TargetFaults) {
	if faults.DropResponse {
		panic(http.ErrAbortHandler)
	}
	if faults.WrongRequestID {
		job.id, job.echo = "other-"+job.id, "other-"+job.echo
	}
	header := rw.Header()
	header.Set(platform.HeaderRequestID, job.echo)
	if job.attempt != "" {
		header.Set(platform.HeaderAttemptID, job.attempt)
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.FormatInt(job.size, 10))
	if faults.TruncateResponse {
		_, _ = io.Copy(rw, NewResponseBody(job.id, job.size/2))
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.Copy(rw, NewResponseBody(job.id, job.size))
}

func (f TargetFaults) serviceTime(d time.Duration) time.Duration {
	if f.SlowdownFactor > 0 {
		d = min(time.Duration(float64(d)*f.SlowdownFactor), maxServiceTime)
	}
	return d + time.Duration(f.Delay)
}

func (t *Target) chooseFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.faults.Share > 0 && t.random.Float64() >= t.faults.Share {
		return TargetFaults{Leaving: t.faults.Leaving}
	}
	return t.faults
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

func (t *Target) acquire(r *http.Request) bool {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
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

func (t *Target) begin(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Executed++
	t.stats.LastStarted = t.config.Clock.Now()
	if id == "" {
		return
	}
	if len(t.order) == maxExecuted {
		for _, old := range t.order[:maxExecuted/2] {
			delete(t.executed, old)
		}
		t.order = append([]string(nil), t.order[maxExecuted/2:]...)
	}
	if t.executed[id] > 0 {
		t.stats.Repeated++
	} else {
		t.order = append(t.order, id)
	}
	t.executed[id]++
}

func (t *Target) complete() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stats.Completed++
}
