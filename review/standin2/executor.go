package main

import (
	"encoding/json"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout  = 3 * time.Second
	stopTime     = 100 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	maxHold      = 6 * time.Second
	gpuCount     = 8
	cpuCapacity  = 64000
	memCapacity  = 131072
	runTick      = 10 * time.Millisecond
	checkpointMS = 1000
)

// fleet is the executors and what they see. Its lock covers all of them.
type fleet struct {
	mu        sync.Mutex
	executors map[string]*executor
	store     *store
	rec       *recorder
	// lateStart is asked for each start; a time above 0 means that the start gets no answer and is carried out after it.
	lateStart func(e *executor, c *command) time.Duration
}

// spec is what a task does; jobs carry it in Spec as "ms=4000 gang=3".
type spec struct {
	ms, gang, failRuns int64
	lasts, saves       bool
}

func parseSpec(text string) spec {
	var s spec
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "ms":
			s.ms = n
		case "gang":
			s.gang = n
		case "fail":
			s.failRuns = n
		case "lasts":
			s.lasts = true
		case "saves":
			s.saves = true
		}
	}
	return s
}

type taskRun struct {
	task          string
	run           int64
	spec          spec
	begun         time.Time
	worked, saved float64
	working       bool
	stopAt        time.Time
	percent       int64
}

type end struct {
	n    int64
	task string
	run  int64
	how  string
	save string
	at   time.Time
}

// executor is one executor; a restart under its id makes a new life.
type executor struct {
	id, address, machine, rack string
	fleet                      *fleet
	up                         bool
	state                      string
	born                       int64
	started                    time.Time
	token                      int64
	due                        int64
	runs                       map[string]*taskRun
	highest                    map[string]int64
	ends                       []end
	lastEnd                    int64
	acked                      int64
	changed                    chan struct{}
	sequence                   int64
	listener                   net.Listener
	retired                    bool
	// storeCutUntil is until when the executor can't reach the store.
	storeCutUntil time.Time
	// lapsedAt is when the executor last had no lease.
	lapsedAt time.Time
}

type command struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	DueMs        int64
	FencingToken int64
	Checkpoint   string
	AckedThrough int64
	WaitMs       int64
	Percent      int64
}

func newFleet(s *store, rec *recorder) *fleet {
	f := &fleet{executors: make(map[string]*executor), store: s, rec: rec}
	go f.work()
	return f
}

func (f *fleet) add(id, machine, rack string) *executor {
	e := &executor{id: id, machine: machine, rack: rack, fleet: f}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	e.listener, e.address = l, l.Addr().String()
	f.mu.Lock()
	f.executors[id] = e
	e.startLocked()
	f.mu.Unlock()
	go func() { _ = http.Serve(l, e.handler()) }()
	go e.beat()
	return e
}

// startLocked begins a life of the executor, which knows nothing of earlier ones.
func (e *executor) startLocked() {
	now := time.Now()
	e.up, e.state, e.born, e.started = true, "ready", now.UnixMilli(), now
	e.token, e.due, e.lastEnd, e.acked, e.sequence = 0, 0, 0, 0, 0
	e.runs, e.highest, e.ends, e.changed = make(map[string]*taskRun), make(map[string]int64), nil, make(chan struct{})
}

// crashLocked ends everything that runs on the executor, without a word.
func (e *executor) crashLocked() {
	for _, r := range e.runs {
		e.fleet.rec.logf("executor %s: %s run %d ends with its executor", e.id, r.task, r.run)
	}
	gone := e.runs
	e.runs = make(map[string]*taskRun)
	for _, r := range gone {
		e.fleet.breakGangLocked(r)
	}
	e.up = false
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) clock() int64 { return time.Since(e.started).Milliseconds() }

func (e *executor) entryLocked() map[string]any {
	e.sequence++
	return map[string]any{
		"Service": "pool", "Address": e.address, "Zone": "z0", "Version": "v1", "Slots": 8, "State": e.state, "ColdRemainingMs": 0,
		"Capacity": map[string]any{"Cpu": cpuCapacity, "MemMb": memCapacity, "Gpu": gpuCount},
		"Labels":   []string{"a", e.rack}, "ClockMs": e.clock(), "Sequence": e.sequence, "born": e.born,
	}
}

// beat writes the executor's entry while it is up, and removes it after three intervals of silence.
func (e *executor) beat() {
	silent := 0
	for {
		e.fleet.mu.Lock()
		if e.retired {
			e.fleet.mu.Unlock()
			return
		}
		up, entry := e.up && time.Now().After(e.storeCutUntil), map[string]any(nil)
		if up {
			entry = e.entryLocked()
		}
		e.fleet.mu.Unlock()
		if up {
			silent = 0
			e.fleet.store.put("keyed.servers", e.id, entry)
		} else if silent++; silent == 3 {
			e.fleet.store.put("keyed.servers", e.id, nil)
		}
		time.Sleep(heartbeat)
	}
}

func (e *executor) handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.fleet.mu.Lock()
		up := e.up
		e.fleet.mu.Unlock()
		if !up {
			panic(http.ErrAbortHandler)
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		switch r.URL.Path {
		case "/-/run-start":
			if e.fleet.lateStart != nil {
				if late := e.fleet.lateStart(e, &c); late > 0 {
					e.startLate(r, c, late)
				}
			}
			e.start(w, &c)
		case "/-/run-stop":
			e.stop(w, &c)
		case "/-/hold":
			e.hold(w, r, &c)
		case "/-/pace":
			e.reply(w, http.StatusOK, "")
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

// startLate gives a start no answer and carries it out later.
func (e *executor) startLate(r *http.Request, c command, late time.Duration) {
	e.fleet.rec.logf("executor %s: the start of %s run %d (token %d) gets no answer and is carried out in %s", e.id, c.Task, c.RunID, c.FencingToken, late)
	time.AfterFunc(late, func() {
		w := httptest.NewRecorder()
		e.start(w, &c)
		e.fleet.rec.logf("executor %s: the late start of %s run %d carried out: %d", e.id, c.Task, c.RunID, w.Code)
	})
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (e *executor) reply(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"ClockMs": e.clock()}
	if reason != "" {
		body["Reason"] = reason
	}
	answer(w, status, body)
}

// fencedLocked takes a fencing token and reports whether it is lower than one already seen.
func (e *executor) fencedLocked(token int64) bool {
	if token < e.token {
		return true
	}
	e.token = token
	return false
}

func (e *executor) extendLocked(due int64) {
	e.due = max(e.due, min(due, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, c *command) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if !e.up {
		panic(http.ErrAbortHandler)
	}
	if e.fencedLocked(c.FencingToken) {
		e.reply(w, http.StatusConflict, "fence")
		return
	}
	if r := e.runs[c.Task]; r != nil && r.run == c.RunID {
		e.extendLocked(c.DueMs)
		e.reply(w, http.StatusOK, "")
		return
	}
	if c.DueMs <= e.clock() {
		e.reply(w, http.StatusConflict, "late")
		return
	}
	e.extendLocked(c.DueMs)
	if c.RunID <= e.highest[c.Task] || e.runs[c.Task] != nil {
		e.reply(w, http.StatusConflict, "old")
		return
	}
	r := &taskRun{task: c.Task, run: c.RunID, spec: parseSpec(c.Spec), begun: time.Now()}
	if c.Checkpoint != "" {
		saved, _ := strconv.ParseFloat(c.Checkpoint, 64)
		r.worked, r.saved = saved, saved
	}
	e.runs[c.Task] = r
	f.rec.started(e, r, c)
	e.reply(w, http.StatusOK, "")
}

func (e *executor) stop(w http.ResponseWriter, c *command) {
	f := e.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	if e.fencedLocked(c.FencingToken) {
		e.reply(w, http.StatusConflict, "fence")
		return
	}
	if r := e.runs[c.Task]; r != nil && r.run <= c.RunID {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
		}
	} else if c.RunID <= e.highest[c.Task] {
		e.reply(w, http.StatusConflict, "old")
		return
	}
	e.highest[c.Task] = max(e.highest[c.Task], c.RunID)
	e.reply(w, http.StatusOK, "")
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, c *command) {
	f := e.fleet
	deadline := time.After(time.Duration(c.WaitMs) * time.Millisecond)
	f.mu.Lock()
	if e.fencedLocked(c.FencingToken) {
		defer f.mu.Unlock()
		e.reply(w, http.StatusConflict, "fence")
		return
	}
	if c.DueMs > 0 {
		e.extendLocked(c.DueMs)
	}
	if c.AckedThrough > e.acked {
		e.acked = c.AckedThrough
		f.rec.acknowledged(e, c.AckedThrough)
		for len(e.ends) > 0 && e.ends[0].n <= e.acked {
			e.ends = e.ends[1:]
		}
	}
	born := e.born
	for waiting := c.WaitMs > 0; waiting && e.up && len(e.ends) == 0 && len(e.runs) > 0; {
		changed := e.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		f.mu.Lock()
	}
	defer f.mu.Unlock()
	if !e.up || e.born != born {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range e.runs {
		running = append(running, []any{t.task, t.run, checkpointText(t.saved), t.percent, 0})
	}
	for _, x := range e.ends {
		if len(ended) < 500 {
			ended = append(ended, []any{x.n, x.task, x.run, x.how, x.save})
		}
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born, "Running": running, "Ended": ended})
}

func checkpointText(saved float64) string {
	if saved == 0 {
		return ""
	}
	return fmt.Sprintf("%.0f", saved)
}

func (e *executor) endLocked(r *taskRun, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.run, how, checkpointText(r.saved), time.Now()})
	e.fleet.rec.ended(e, r, how, e.lastEnd)
	close(e.changed)
	e.changed = make(chan struct{})
	if how != "done" && how != "broken" {
		e.fleet.breakGangLocked(r)
	}
}

func gangOf(r *taskRun) string {
	return r.task[:strings.LastIndex(r.task, ".")] + "/" + strconv.FormatInt(r.run, 10)
}

// membersLocked returns the runs of a gang and their executors.
func (f *fleet) membersLocked(r *taskRun) (runs []*taskRun, at []*executor) {
	for _, e := range f.executors {
		for _, other := range e.runs {
			if gangOf(other) == gangOf(r) {
				runs, at = append(runs, other), append(at, e)
			}
		}
	}
	return runs, at
}

func (f *fleet) breakGangLocked(r *taskRun) {
	if r.spec.gang == 0 || !r.working {
		return
	}
	runs, at := f.membersLocked(r)
	for i := range runs {
		at[i].endLocked(runs[i], "broken")
	}
}

// work lets the tasks work, and ends runs.
func (f *fleet) work() {
	last := time.Now()
	for range time.Tick(runTick) {
		now := time.Now()
		passed := float64(now.Sub(last).Microseconds()) / 1000
		last = now
		f.mu.Lock()
		ids := make([]string, 0, len(f.executors))
		for id := range f.executors {
			ids = append(ids, id)
		}
		sort.Strings(ids)
		for _, id := range ids {
			f.executors[id].workLocked(now, passed)
		}
		f.mu.Unlock()
	}
}

func (e *executor) workLocked(now time.Time, passed float64) {
	if !e.up {
		return
	}
	lapsed := e.clock() > e.due
	if lapsed {
		e.lapsedAt = now
	}
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.endLocked(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			e.endLocked(r, "stopped")
		case r.spec.gang > 0 && !r.working:
			e.gatherLocked(r, now)
		default:
			e.progressLocked(r, passed)
		}
	}
}

// gatherLocked begins the work of a gang once all members are present, and ends a member that has waited too long.
func (e *executor) gatherLocked(r *taskRun, now time.Time) {
	members, _ := e.fleet.membersLocked(r)
	if int64(len(members)) == r.spec.gang {
		for _, m := range members {
			m.working = true
		}
	} else if now.Sub(r.begun) > gangTimeout {
		e.endLocked(r, "alone")
	}
}

// progressLocked lets a run work for the given time in milliseconds.
func (e *executor) progressLocked(r *taskRun, passed float64) {
	r.working = true
	r.worked += passed
	if r.spec.saves {
		r.saved = math.Floor(r.worked/checkpointMS) * checkpointMS
	}
	if r.spec.lasts {
		r.percent = min(100, int64(r.worked/10))
		return
	}
	r.percent = min(99, int64(100*r.worked/float64(max(1, r.spec.ms))))
	switch {
	case r.worked < float64(r.spec.ms):
	case r.run <= r.spec.failRuns:
		e.endLocked(r, "failed")
	case r.spec.gang > 0:
		runs, at := e.fleet.membersLocked(r)
		for i := range runs {
			at[i].endLocked(runs[i], "done")
		}
	default:
		e.endLocked(r, "done")
	}
}
