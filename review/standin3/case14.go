package main

import (
	"fmt"
	"time"
)

func init() { cases["14"] = clockOfExecutor }

const (
	// clockStep is by how much the time of day of a machine is ahead before it jumps back.
	clockStep = 2400 * time.Millisecond
	// upTime is how long the executor is up before it crashes, downTime how long it is down then.
	upTime   = time.Second
	downTime = 600 * time.Millisecond
)

// clockOfExecutor lets an executor start while the time of day of its machine is ahead, and start again soon after it has jumped
// back. A job of two steps is then submitted that only this executor can run. The rule is broken if its second step doesn't begin
// within finishTime and idleTime after the tasks of the first have ended.
func clockOfExecutor(w *world, trouble bool) (verdict, error) {
	for i := range 7 {
		if err := w.addExecutor(newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), "a", "r1-1")); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	e := newExecutor(w, "i-08", "m-08", "b", "r1-1")
	e.clockStart = firstClock
	if trouble {
		e.clockError = clockStep
		e.born += clockStep.Milliseconds()
		w.rec.note("test", "time of day is ahead", "machine", e.machine, "by", clockStep)
	}
	if err := w.addExecutor(e); err != nil {
		return verdict{}, err
	}
	time.Sleep(upTime)
	e.mu.Lock()
	e.clockError = 0
	e.mu.Unlock()
	if trouble {
		w.rec.note("test", "time of day jumps back", "machine", e.machine, "by", clockStep)
	}
	if err := e.crash(downTime); err != nil {
		return verdict{}, err
	}
	time.Sleep(3 * time.Second)

	id := newID()
	body := job("work-ms=1000", step{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 1000, "Requirements": "b"},
		step{"Count": 2, "Cpu": 500, "MemMb": 256, "EstimatedMs": 1000, "Requirements": "b", "DependsOn": []int{0}})
	if r := w.call(w.instances[0], "POST", planned+id, tenantKey, body); !r.ok() {
		return verdict{}, fmt.Errorf("the job was not accepted: status %d", r.status)
	}
	accepted := time.Now()
	state := ""
	for time.Since(accepted) < finishTime+idleTime+5*time.Second {
		time.Sleep(time.Second)
		if state = w.call(w.instances[1], "GET", planned+id, tenantKey, nil).state; state == "completed" {
			return verdict{text: fmt.Sprintf("job %s is completed after %.1f s", id, time.Since(accepted).Seconds())}, nil
		}
	}
	first, second := len(w.tasks.endsOf(taskName(id, 0, 0, 0))), len(w.tasks.startsOf(taskName(id, 0, 1, 0)))
	return verdict{broken: true, text: fmt.Sprintf("job %s is %q %.1f s after its acceptance, with %d ends of the first task of step 0 and %d starts of that of step 1",
		id, state, time.Since(accepted).Seconds(), first, second)}, nil
}
