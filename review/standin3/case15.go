package main

import (
	"fmt"
	"time"
)

func init() { cases["15"] = failingServices }

const (
	// restartTime is the time after the last run of a task that lasts from which it is judged.
	restartTime = 6 * time.Second
	// serviceTime is how long the tasks are watched.
	serviceTime = 60 * time.Second
	services    = 8
)

// failingServices runs eight jobs that last, of one task each, on the only executor of their kind. The tasks fail by
// themselves 4 to 20 s after their starts. The rule is broken if a task has no run for restartTime and idleTime although the
// executor has room for all tasks many times over.
func failingServices(w *world, trouble bool) (verdict, error) {
	for i := range 6 {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		if err := w.addExecutor(newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), kind, "r1-1")); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	spec := "fail-ms=4000-20000"
	if !trouble {
		spec = "until stopped"
	}
	var tasks []string
	for i := range services {
		id := newID()
		tasks = append(tasks, taskName(id, 0, 0, 0))
		body := job(spec, step{"Count": 1, "Cpu": 500, "MemMb": 256, "EstimatedMs": 1000, "LongRunning": true, "Requirements": "b"})
		if r := w.call(w.instances[i%3], "POST", planned+id, tenantKey, body); !r.ok() {
			return verdict{}, fmt.Errorf("a job was not accepted: status %d", r.status)
		}
	}
	accepted := time.Now()
	time.Sleep(serviceTime)
	until := time.Now()
	longest, longestTask, idle := time.Duration(0), "", 0
	for _, task := range tasks {
		gap := w.longestGap(task, accepted, until)
		if gap >= restartTime+idleTime {
			idle++
		}
		if gap > longest {
			longest, longestTask = gap, task
		}
	}
	text := fmt.Sprintf("%d of %d tasks had no run for %v or longer; the longest time was %.1f s, of task %s", idle, services, restartTime+idleTime, longest.Seconds(), longestTask)
	return verdict{broken: idle > 0, text: text}, nil
}

// longestGap returns the longest time between two instants in which a task had no run.
func (w *world) longestGap(task string, from, until time.Time) time.Duration {
	starts, ends := w.tasks.startsOf(task), w.tasks.endsOf(task)
	longest, idleSince := time.Duration(0), from
	for _, s := range starts {
		longest = max(longest, s.at.Sub(idleSince))
		idleSince = until
		for _, e := range ends {
			if e.run == s.run && e.executor == s.executor {
				idleSince = e.at
			}
		}
	}
	return max(longest, until.Sub(idleSince))
}
