package main

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	// missedHeartbeats is the number of heartbeats after which the entry of a silent executor is removed.
	missedHeartbeats = 3
	maxHold          = 10 * time.Second
	stopTime         = 100 * time.Millisecond
	// endsPerResponse is the largest number of ends in one response.
	endsPerResponse = 500
	// connectionsPerExecutor is the number of connections that an executor serves.
	connectionsPerExecutor = 64
)

// work is what a task does: it runs for a time and then ends as done.
type work struct {
	duration time.Duration
	// lasts means that the task runs until it is stopped.
	lasts bool
}

// executor is one incarnation of an executor.
type executor struct {
	bed *bed
	id  string
	// name is the id, with the number of the incarnation from the second on.
	name    string
	rack    string
	address string
	server  *http.Server
	started time.Time

	mu       sync.Mutex
	cond     chan struct{}
	down     bool
	token    int64
	dueMS    int64
	lapses   int
	lapsedMS int64
	runs     map[string]*run
	highest  map[string]int64
	ends     []*runEnd
	lastEnd  int64
	sequence int
	// cutUntil is when the executor is reachable again.
	cutUntil time.Time
	// late decides which starts get no answer and are carried out later, at the incarnation that is there then; nil
	// for none.
	late func(task string) bool
	// greyUntil is when the executor stops rejecting starts as unhealthy.
	greyUntil time.Time
}

// run is a run in progress.
type run struct {
	task     string
	number   int64
	began    time.Time
	duration time.Duration
	timer    *time.Timer
	stopping bool
}

// runEnd is the end of a run as listed, with what the checks need.
type runEnd struct {
	n      int64
	task   string
	number int64
	how    string
	at     time.Time
	lapses int
	// ackedAt is when the end was taken note of; zero before that, or if a lease lapsed in between.
	ackedAt time.Time
}

// runStart is a start that an executor has carried out.
type runStart struct {
	task     string
	number   int64
	executor string
	at       time.Time
}

func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() + 1 }

func (e *executor) notifyLocked() {
	close(e.cond)
	e.cond = make(chan struct{})
}

// lapseLocked kills everything if the lease has run out.
func (e *executor) lapseLocked() {
	if e.clock() <= e.dueMS || e.lapsedMS == e.dueMS {
		return
	}
	e.lapsedMS = e.dueMS
	e.lapses++
	for _, r := range e.runs {
		e.endLocked(r, "lapsed")
	}
}

func (e *executor) endLocked(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	end := &runEnd{n: e.lastEnd, task: r.task, number: r.number, how: how, at: time.Now(), lapses: e.lapses}
	e.ends = append(e.ends, end)
	e.bed.recordEnd(e, end)
	e.notifyLocked()
}

// extendLocked applies a lease time, which never shortens the lease.
func (e *executor) extendLocked(dueMS int64) {
	e.dueMS = max(e.dueMS, min(dueMS, e.clock()+maxHold.Milliseconds()))
}

type orderBody struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	DueMs        int64
	FencingToken int64
	Ticket       string
	AckedThrough int64
	WaitMs       int64
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.order(e.start))
	mux.HandleFunc("POST /-/run-stop", e.order(e.stop))
	mux.HandleFunc("POST /-/hold", e.order(e.hold))
	mux.HandleFunc("POST /-/pace", e.order(func(w http.ResponseWriter, _ *http.Request, _ *orderBody) {
		reply(w, http.StatusOK, e.stamp())
	}))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return mux
}

func (e *executor) stamp() object { return object{"ClockMs": e.clock(), "born": e.started.UnixMilli()} }

func (e *executor) conflict(w http.ResponseWriter, reason string) {
	body := e.stamp()
	body["Reason"] = reason
	reply(w, http.StatusConflict, body)
}

// isCut reports whether packets to and from the executor are dropped now.
func (e *executor) isCut() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.cutUntil)
}

// order decodes an order, checks the incarnation and the fencing token, and applies the lease.
func (e *executor) order(serve func(http.ResponseWriter, *http.Request, *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if e.isCut() {
			<-r.Context().Done() // Dropped: the caller gets no response and the order has no effect.
			panic(http.ErrAbortHandler)
		}
		var body orderBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, e.stamp())
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
			reply(w, http.StatusMisdirectedRequest, e.stamp())
			return
		}
		e.mu.Lock()
		e.lapseLocked()
		stale := body.FencingToken < e.token
		if !stale {
			e.token = body.FencingToken
		}
		e.mu.Unlock()
		if stale {
			e.conflict(w, "fence")
			return
		}
		serve(w, r, &body)
	}
}

func (e *executor) start(w http.ResponseWriter, r *http.Request, body *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.late != nil && e.late(body.Task) {
		e.bed.holdBack(e, body)
		e.mu.Unlock()
		<-r.Context().Done()
		e.mu.Lock()
		panic(http.ErrAbortHandler)
	}
	if time.Now().Before(e.greyUntil) {
		e.bed.log("reject", "%s run %d at %s: 503", body.Task, body.RunID, e.name)
		reply(w, http.StatusServiceUnavailable, e.stamp())
		return
	}
	if reason := e.beginLocked(body); reason != "" {
		e.conflict(w, reason)
		return
	}
	reply(w, http.StatusOK, e.stamp())
}

// carryOut carries out a start without an answer.
func (e *executor) carryOut(body *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapseLocked()
	reason := "fence"
	if body.FencingToken >= e.token {
		e.token = body.FencingToken
		reason = e.beginLocked(body)
	}
	e.bed.log("late", "start of %s run %d with token %d at %s: %q", body.Task, body.RunID, body.FencingToken, e.name, reason)
}

// beginLocked begins a run. It returns why the start is rejected, or "".
func (e *executor) beginLocked(body *orderBody) (reason string) {
	job, _, _ := strings.Cut(body.Task, ".")
	if r := e.runs[body.Task]; r != nil && r.number == body.RunID {
		e.extendLocked(body.DueMs)
		return ""
	}
	if body.RunID <= e.highest[body.Task] || e.runs[body.Task] != nil {
		e.extendLocked(body.DueMs)
		return "old"
	}
	if body.DueMs <= e.clock() {
		return "late"
	}
	if !e.bed.ticketValid(job, body.Task, e, body.Ticket) {
		e.bed.log("reject", "%s run %d at %s: ticket %q", body.Task, body.RunID, e.name, body.Ticket)
		return "ticket"
	}
	e.extendLocked(body.DueMs)
	todo := e.bed.workOf(body.Task)
	run := &run{task: body.Task, number: body.RunID, began: time.Now(), duration: todo.duration}
	e.runs[body.Task] = run
	if !todo.lasts {
		run.timer = time.AfterFunc(todo.duration, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.lapseLocked()
			if !e.down {
				e.endLocked(run, "done")
			}
		})
	}
	e.bed.recordStart(&runStart{body.Task, body.RunID, e.name, run.began})
	return ""
}

func (e *executor) stop(w http.ResponseWriter, _ *http.Request, body *orderBody) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if r := e.runs[body.Task]; r != nil && r.number == body.RunID {
		if !r.stopping {
			r.stopping = true
			time.AfterFunc(stopTime, func() {
				e.mu.Lock()
				defer e.mu.Unlock()
				e.endLocked(r, "stopped")
			})
		}
	} else {
		e.highest[body.Task] = max(e.highest[body.Task], body.RunID)
	}
	reply(w, http.StatusOK, e.stamp())
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, body *orderBody) {
	e.mu.Lock()
	if body.DueMs > 0 {
		e.extendLocked(body.DueMs)
	}
	kept := e.ends[:0:0]
	for _, end := range e.ends {
		if end.n > body.AckedThrough {
			kept = append(kept, end)
		} else if end.lapses == e.lapses {
			end.ackedAt = time.Now()
		}
	}
	e.ends = kept
	listed, cond := e.lastEnd, e.cond
	waiting := len(e.ends) == 0
	e.mu.Unlock()
	if wait := time.Duration(min(body.WaitMs, 2000)) * time.Millisecond; wait > 0 && waiting {
		deadline := time.NewTimer(wait)
		defer deadline.Stop()
		for done := false; !done; {
			select {
			case <-cond:
			case <-deadline.C:
				done = true
			case <-r.Context().Done():
				return
			}
			e.mu.Lock()
			done = done || e.lastEnd > listed
			cond = e.cond
			e.mu.Unlock()
		}
	}
	if e.isCut() {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapseLocked()
	body2 := e.stamp()
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		percent := 100
		if r.duration > 0 {
			percent = min(100, int(100*time.Since(r.began)/r.duration))
		}
		running = append(running, []any{r.task, r.number, "", percent, 0})
	}
	for _, end := range e.ends[:min(len(e.ends), endsPerResponse)] {
		ended = append(ended, []any{end.n, end.task, end.number, end.how, ""})
	}
	body2["Running"], body2["Ended"] = running, ended
	reply(w, http.StatusOK, body2)
}

// entry is the executor's report about itself.
func (e *executor) entry(state string) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sequence++
	data, _ := json.Marshal(object{
		"Service": serviceName, "Address": e.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
		"Capacity": object{"Cpu": 64000, "MemMb": 131072, "Gpu": 8}, "Labels": []string{"a", e.rack}, "ClockMs": e.clock(),
		"Sequence": e.sequence, "born": e.started.UnixMilli(),
	})
	return data
}

// beat reports to the store until the executor is down, but not while it is cut off from the store. When it has been
// silent for some heartbeats, its entry is removed.
func (e *executor) beat() {
	last := time.Now()
	for {
		e.mu.Lock()
		down := e.down
		e.mu.Unlock()
		if !down && time.Now().After(e.bed.storeCutUntil(e.id)) {
			e.bed.store.put("keyed.servers", e.id, e.entry("ready"))
			last = time.Now()
		} else if e.bed.isReplaced(e) {
			return
		} else if time.Since(last) > missedHeartbeats*heartbeat {
			e.bed.store.put("keyed.servers", e.id, nil)
			return
		}
		wait := heartbeat
		if cut := time.Until(e.bed.storeCutUntil(e.id)); cut > 0 {
			wait = min(wait, cut+time.Millisecond)
		}
		time.Sleep(wait)
	}
}

// crash ends the executor for good, without a word.
func (e *executor) crash() {
	e.mu.Lock()
	e.down = true
	for _, r := range e.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.bed.recordLost(e, r)
	}
	e.runs = make(map[string]*run)
	e.mu.Unlock()
	_ = e.server.Close()
}

func (e *executor) cut(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutUntil = time.Now().Add(d)
}

// turnGrey makes the executor reject all starts for a time, as an unhealthy executor does.
func (e *executor) turnGrey(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.greyUntil = time.Now().Add(d)
}

func (e *executor) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}
