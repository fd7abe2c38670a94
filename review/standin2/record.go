package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// recorder writes record.txt and checks what executors see.
type recorder struct {
	mu        sync.Mutex
	file      *os.File
	begin     time.Time
	live      map[string]map[string]int64 // task -> executor -> run
	starts    map[string][]startEvent
	done      map[string]time.Time // task -> when its end was taken note of
	doneEnds  map[string]string    // executor/number of an end -> task
	doneTasks map[string]bool
	broken    []string
}

type startEvent struct {
	at       time.Time
	run      int64
	executor string
}

func newRecorder(dir string) *recorder {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fatal("%v", err)
	}
	return &recorder{
		file: f, begin: time.Now(), live: make(map[string]map[string]int64), starts: make(map[string][]startEvent),
		done: make(map[string]time.Time), doneEnds: make(map[string]string), doneTasks: make(map[string]bool),
	}
}

func (r *recorder) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(format, args...)
}

func (r *recorder) writeLocked(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// violation records that a rule was broken.
func (r *recorder) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violationLocked(format, args...)
}

func (r *recorder) violationLocked(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.broken = append(r.broken, text)
	r.writeLocked("RULE BROKEN: %s", text)
}

func (r *recorder) started(e *executor, t *taskRun, c *command) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked("executor %s starts %s run %d, token %d", e.id, t.task, t.run, c.FencingToken)
	for other, run := range r.live[t.task] {
		r.violationLocked("TWICE: %s run %d starts on %s while run %d is on %s", t.task, t.run, e.id, run, other)
	}
	if at, ok := r.done[t.task]; ok {
		r.violationLocked("TWICE: %s run %d starts on %s, its end done was taken note of %.3f s ago", t.task, t.run, e.id, time.Since(at).Seconds())
	}
	if r.live[t.task] == nil {
		r.live[t.task] = make(map[string]int64)
	}
	r.live[t.task][e.id] = t.run
	r.starts[t.task] = append(r.starts[t.task], startEvent{time.Now(), t.run, e.id})
}

func (r *recorder) ended(e *executor, t *taskRun, how string, n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked("executor %s ends %s run %d: %s (end %d)", e.id, t.task, t.run, how, n)
	delete(r.live[t.task], e.id)
	if how == "done" && !t.spec.lasts {
		r.doneTasks[t.task] = true
		r.doneEnds[fmt.Sprintf("%s/%d/%d", e.id, e.born, n)] = t.task
	}
}

// gone records that an executor's runs ended with it.
func (r *recorder) gone(e *executor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, runs := range r.live {
		delete(runs, e.id)
	}
}

func (r *recorder) acknowledged(e *executor, through int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked("executor %s: ends through %d taken note of", e.id, through)
	for _, x := range e.ends {
		if task, ok := r.doneEnds[fmt.Sprintf("%s/%d/%d", e.id, e.born, x.n)]; ok && x.n <= through {
			if e.lapsedAt.After(x.at) {
				// An end isn't taken note of if the executor's lease lapsed between the two.
				r.writeLocked("end %d of %s: the lease has lapsed since", x.n, task)
				continue
			}
			r.done[task] = time.Now()
		}
	}
}

// startsOf returns the starts of the tasks of a job.
func (r *recorder) startsOf(job string) []startEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []startEvent
	for task, events := range r.starts {
		if strings.HasPrefix(task, job+".") {
			all = append(all, events...)
		}
	}
	return all
}

// finished reports whether a run of a task has ended done.
func (r *recorder) finished(task string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.doneTasks[task]
}
