package main

import (
	"fmt"
	"time"
)

func init() { cases["11"] = overdueSchedules }

const (
	// overdueOccurrences and overdueSteps are the numbers of occurrences and of steps of an overdue schedule.
	overdueOccurrences, overdueSteps = 10000, 13
	// overdueInterval is the time between two occurrences.
	overdueInterval = time.Minute
	// doableJobs is the number of jobs of the same queue that can be done: 2 of 40 can't.
	doableJobs = 38
	// ordinaryTime is how long the ordinary job is watched.
	ordinaryTime = 40 * time.Second
)

// overdueSchedules submits two scheduled jobs that no executor can run and whose occurrences are all due already. Then another
// tenant submits an ordinary job. The rule is broken if that has nothing running from finishTime after its submission until
// idleTime later.
func overdueSchedules(w *world, trouble bool) (verdict, error) {
	for i := range 6 {
		if err := w.addExecutor(newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), "a", "r1-1")); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	for i := range doableJobs {
		if r := w.call(w.instances[i%3], "POST", planned+newID(), tenantKey, job("work-ms=500", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 500})); !r.ok() {
			return verdict{}, fmt.Errorf("a job was not accepted: status %d", r.status)
		}
	}
	time.Sleep(3 * time.Second)
	var steps []step
	for range overdueSteps {
		steps = append(steps, step{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 1000, "Requirements": "none"})
	}
	for i := range 2 {
		body := job("no executor has the label", steps...)
		body["RepeatCount"], body["IntervalMs"] = overdueOccurrences, overdueInterval.Milliseconds()
		body["StartAtMs"] = time.Now().Add(-overdueOccurrences * overdueInterval).UnixMilli()
		if !trouble {
			body["RepeatCount"] = 1
		}
		if r := w.call(w.instances[i], "POST", planned+newID(), tenantKey, body); !r.ok() {
			return verdict{}, fmt.Errorf("a scheduled job was not accepted: status %d", r.status)
		}
	}
	time.Sleep(time.Second)
	id := newID()
	r := w.call(w.instances[2], "POST", urgent+id, otherKey, job("work-ms=1000", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimatedMs": 1000}))
	if !r.ok() {
		return verdict{}, fmt.Errorf("the ordinary job was not accepted: status %d", r.status)
	}
	state := ""
	for time.Since(r.at) < ordinaryTime && state != "completed" {
		time.Sleep(time.Second)
		state = w.call(w.instances[2], "GET", urgent+id, otherKey, nil).state
	}
	took := time.Since(r.at)
	begun, _ := w.tasks.counts(id)
	text := fmt.Sprintf("the ordinary job is %q %.1f s after its acceptance, with %d starts; claims of leadership: %d", state, took.Seconds(), begun, w.terms())
	return verdict{broken: begun == 0 && took > finishTime+idleTime, text: text}, nil
}
