package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat     = 1500 * time.Millisecond
	maxHold       = 10 * time.Second
	stopTime      = 50 * time.Millisecond
	maxEnds       = 500
	executorCPU   = 64000
	executorMemMB = 131072
	executorGPU   = 8
	serviceName   = "planner"
	// firstClock is the reading of the steady clock after a crash.
	firstClock = 1000
)

// executor is a stand-in of one executor. A task with the Spec "work-ms=N" is done after N ms. One with "fail-ms=N-M" is at
// work until it fails by itself, at a random time between N and M ms after its start. Any other task runs until it is stopped.
type executor struct {
	w       *world
	id      string
	machine string
	kind    string
	rack    string
	address string
	server  *http.Server

	mu sync.Mutex
	// startedAt is the start of the steady clock, clockStart its reading then.
	startedAt  time.Time
	clockStart int64
	born       int64
	fence      int64
	dueMs      int64
	sequence   int64
	running    map[string]*running
	// highest is the highest run of each task that was stopped or has ended.
	highest map[string]int64
	ended   []end
	lastEnd int64
	// wake is closed and replaced when a run ends.
	wake     chan struct{}
	lastBeat time.Time
	// gone means that the executor has terminated, down that its process has crashed and will start again.
	gone, down bool
	// clockError is by how much the time of day of the executor's machine is ahead.
	clockError time.Duration
}

// running is a run at work.
type running struct {
	run      int64
	since    time.Time
	work     time.Duration
	fails    bool
	stopping bool
}

// end is an end of a run that was not acknowledged.
type end struct {
	number int64
	task   string
	run    int64
	how    string
}

func newExecutor(w *world, id, machine, kind, rack string) *executor {
	return &executor{
		w: w, id: id, machine: machine, kind: kind, rack: rack, startedAt: time.Now(), clockStart: rand.Int64N(9_000_000) + 1000,
		born: time.Now().UnixMilli(), running: make(map[string]*running), highest: make(map[string]int64), wake: make(chan struct{}),
	}
}

// clock returns the reading of the steady clock. The caller holds the mutex.
func (e *executor) clock() int64 { return e.clockStart + time.Since(e.startedAt).Milliseconds() }

// run serves heartbeats and the ends of runs until the executor is gone.
func (e *executor) run() {
	for {
		e.mu.Lock()
		if e.gone {
			e.mu.Unlock()
			return
		}
		e.advance()
		if !e.down && time.Since(e.lastBeat) >= heartbeat {
			e.lastBeat = time.Now()
			e.sequence++
			entry := e.entry()
			e.mu.Unlock()
			e.w.store.put("keyed.servers", e.id, entry)
		} else {
			e.mu.Unlock()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// entry returns the registry entry. The caller holds the mutex.
func (e *executor) entry() []byte {
	data, err := json.Marshal(map[string]any{
		"Service": serviceName, "Address": e.address, "Zone": "z1", "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMemMB, "Gpu": executorGPU}, "Labels": []string{e.kind, e.rack},
		"ClockMs": e.clock(), "Sequence": e.sequence, "born": e.born,
	})
	if err != nil {
		panic(err)
	}
	return data
}

// advance ends the runs that have done their work, and all runs when the lease has expired. The caller holds the mutex.
func (e *executor) advance() {
	lapsed := len(e.running) > 0 && e.clock() > e.dueMs
	for task, r := range e.running {
		switch {
		case lapsed:
			e.endRun(task, r, "lapsed")
		case r.work > 0 && time.Since(r.since) >= r.work && r.fails:
			e.endRun(task, r, "failed")
		case r.work > 0 && time.Since(r.since) >= r.work:
			e.endRun(task, r, "done")
		}
	}
}

// endRun ends a run. The caller holds the mutex.
func (e *executor) endRun(task string, r *running, how string) {
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.run)
	e.lastEnd++
	e.ended = append(e.ended, end{e.lastEnd, task, r.run, how})
	close(e.wake)
	e.wake = make(chan struct{})
	e.w.tasks.ended(task, r.run, e.id, how)
}

// terminate ends everything that runs on the executor and the executor itself. Its port refuses connections from then on.
// The platform removes its entry after three heartbeat intervals of silence.
func (e *executor) terminate() {
	e.mu.Lock()
	e.gone = true
	for task, r := range e.running {
		e.w.tasks.ended(task, r.run, e.id, "terminated")
	}
	e.running = make(map[string]*running)
	e.mu.Unlock()
	e.w.rec.note("executor", "terminated", "id", e.id, "machine", e.machine)
	_ = e.server.Close()
	time.AfterFunc(3*heartbeat, func() { e.w.store.put("keyed.servers", e.id, nil) })
}

// crash ends the process of the executor, and starts it again after a time: under its id and at its address, with nothing of
// before, another steady clock, and the time of day as it is then.
func (e *executor) crash(down time.Duration) error {
	e.mu.Lock()
	for task, r := range e.running {
		e.w.tasks.ended(task, r.run, e.id, "terminated")
	}
	e.down = true
	e.running, e.highest, e.ended, e.lastEnd = make(map[string]*running), make(map[string]int64), nil, 0
	e.fence, e.dueMs, e.sequence = 0, 0, 0
	e.mu.Unlock()
	e.w.rec.note("executor", "crashes", "id", e.id)
	_ = e.server.Close()
	time.Sleep(down)
	listener, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.startedAt, e.clockStart, e.down, e.lastBeat = time.Now(), firstClock, false, time.Time{}
	e.born = time.Now().Add(e.clockError).UnixMilli()
	e.server = &http.Server{Handler: e.handler()}
	e.w.rec.note("executor", "starts again", "id", e.id, "born", e.born)
	e.mu.Unlock()
	go func() { _ = e.server.Serve(listener) }()
	return nil
}

func (e *executor) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", e.command(e.start))
	mux.HandleFunc("POST /-/run-stop", e.command(e.stop))
	mux.HandleFunc("POST /-/hold", e.command(e.hold))
	mux.HandleFunc("POST /-/pace", e.command(e.pace))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// command is the body of any command.
type command struct {
	Task         string
	RunID        int64 `json:"RunId"`
	Spec         string
	DueMs        int64
	FencingToken int64
	AckedThrough int64
	WaitMs       int64
}

// command wraps a handler with the checks that all commands share. The handler is called with the mutex held.
func (e *executor) command(handle func(http.ResponseWriter, *http.Request, command)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var c command
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.gone || r.Header.Get("X-Expect-Instance") != e.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		e.advance()
		if c.FencingToken < e.fence {
			e.reject(w, "fence")
			return
		}
		e.fence = c.FencingToken
		handle(w, r, c)
	}
}

func (e *executor) reject(w http.ResponseWriter, reason string) {
	answer(w, http.StatusConflict, map[string]any{"ClockMs": e.clock(), "Reason": reason})
}

// extend extends the lease. It never shortens.
func (e *executor) extend(dueMs int64) {
	e.dueMs = max(e.dueMs, min(dueMs, e.clock()+maxHold.Milliseconds()))
}

func (e *executor) start(w http.ResponseWriter, _ *http.Request, c command) {
	if c.DueMs <= e.clock() {
		e.reject(w, "late")
		return
	}
	e.extend(c.DueMs)
	if r := e.running[c.Task]; r != nil && r.run == c.RunID {
		answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock()})
		return
	}
	if c.RunID <= e.highest[c.Task] || e.running[c.Task] != nil {
		e.reject(w, "old")
		return
	}
	r := &running{run: c.RunID, since: time.Now()}
	var least, most int
	if _, err := fmt.Sscanf(c.Spec, "fail-ms=%d-%d", &least, &most); err == nil {
		r.work, r.fails = time.Duration(least+rand.IntN(most-least+1))*time.Millisecond, true
	} else if _, err := fmt.Sscanf(c.Spec, "work-ms=%d", &least); err == nil {
		r.work = time.Duration(least) * time.Millisecond
	}
	e.running[c.Task] = r
	e.w.tasks.started(c.Task, c.RunID, e.id)
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock()})
}

func (e *executor) stop(w http.ResponseWriter, _ *http.Request, c command) {
	r := e.running[c.Task]
	if r == nil || r.run != c.RunID {
		e.highest[c.Task] = max(e.highest[c.Task], c.RunID)
	} else if !r.stopping {
		r.stopping = true
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.running[c.Task] == r {
				e.endRun(c.Task, r, "stopped")
			}
		})
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock()})
}

func (e *executor) pace(w http.ResponseWriter, _ *http.Request, _ command) {
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock()})
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, c command) {
	for len(e.ended) > 0 && e.ended[0].number <= c.AckedThrough {
		e.ended = e.ended[1:]
	}
	if c.DueMs > 0 {
		e.extend(c.DueMs)
	}
	timer := time.NewTimer(time.Duration(min(c.WaitMs, 2000)) * time.Millisecond)
	defer timer.Stop()
	for waiting := c.WaitMs > 0; waiting && len(e.ended) == 0; {
		wake := e.wake
		e.mu.Unlock()
		select {
		case <-wake:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	if e.gone {
		return
	}
	rows, ends := [][]any{}, [][]any{}
	for task, run := range e.running {
		percent := 100
		if run.work > 0 && !run.fails {
			percent = int(min(99, 100*time.Since(run.since)/run.work))
		}
		rows = append(rows, []any{task, run.run, "", percent, 0})
	}
	for _, x := range e.ended[:min(len(e.ended), maxEnds)] {
		ends = append(ends, []any{x.number, x.task, x.run, x.how, ""})
	}
	answer(w, http.StatusOK, map[string]any{"ClockMs": e.clock(), "born": e.born, "Running": rows, "Ended": ends})
}

// taskLog records what executors began and ended.
type taskLog struct {
	rec *recorder

	mu sync.Mutex
	// quiet leaves the tasks of these jobs out of the record; only their numbers are kept.
	quiet  map[string]bool
	starts map[string][]taskEvent
	ends   map[string][]taskEvent
	// begun and done are the numbers of starts and of ends "done" by job.
	begun, done map[string]int
}

// taskEvent is a start or an end of a run.
type taskEvent struct {
	at       time.Time
	run      int64
	executor string
	how      string
}

func newTaskLog(rec *recorder) *taskLog {
	return &taskLog{
		rec: rec, quiet: make(map[string]bool), starts: make(map[string][]taskEvent), ends: make(map[string][]taskEvent),
		begun: make(map[string]int), done: make(map[string]int),
	}
}

func jobOf(task string) string { return strings.SplitN(task, ".", 2)[0] }

func (l *taskLog) started(task string, run int64, executor string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begun[jobOf(task)]++
	if l.quiet[jobOf(task)] {
		return
	}
	l.starts[task] = append(l.starts[task], taskEvent{at: time.Now(), run: run, executor: executor})
	l.rec.note("executor", "task begins", "task", task, "run", run, "on", executor)
}

func (l *taskLog) ended(task string, run int64, executor, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if how == "done" {
		l.done[jobOf(task)]++
	}
	if l.quiet[jobOf(task)] {
		return
	}
	l.ends[task] = append(l.ends[task], taskEvent{at: time.Now(), run: run, executor: executor, how: how})
	l.rec.note("executor", "task ends", "task", task, "run", run, "on", executor, "how", how)
}

// setQuiet keeps the tasks of a job out of the record.
func (l *taskLog) setQuiet(job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quiet[job] = true
}

// counts returns how many starts and ends "done" the tasks of a job had.
func (l *taskLog) counts(job string) (begun, done int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun[job], l.done[job]
}

// startsOf returns the starts of a task.
func (l *taskLog) startsOf(task string) []taskEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]taskEvent(nil), l.starts[task]...)
}

// endsOf returns the ends of a task.
func (l *taskLog) endsOf(task string) []taskEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]taskEvent(nil), l.ends[task]...)
}

func taskName(job string, occurrence, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", job, occurrence, step, index)
}
