package main

import (
	"fmt"
	"time"
)

func init() { cases["12"] = largeScheduledJob }

const (
	// occurrences and width make 85,500 tasks, whose records have 2.2 MB of keys. Instances accept jobs of up to 131,072 tasks.
	occurrences = 95
	width       = 900
	// fewOccurrences is the number for a run without the disruption.
	fewOccurrences = 20
	interval       = 400 * time.Millisecond
	// finishTime is finish_s: how long after the end of the traffic jobs are judged.
	finishTime = 14 * time.Second
	// idleTime is how long a job may have nothing running then while its turn has come.
	idleTime = 3 * time.Second
)

// largeScheduledJob lets a scheduled job with many tasks complete. Then an executor is lost that runs the task of another
// job; the others have room for it. The rule is broken if the task runs nowhere from finishTime after the last call of a
// client that changes anything until idleTime later.
func largeScheduledJob(w *world, trouble bool) (verdict, error) {
	executors := make(map[string]*executor)
	for i := range 12 {
		e := newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), "a", fmt.Sprintf("r1-%d", i/6+1))
		executors[e.id] = e
		if err := w.addExecutor(e); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)

	large := newID()
	w.tasks.setQuiet(large)
	body := job("work-ms=150", step{"Count": width, "Cpu": 10, "MemMb": 10, "EstimatedMs": 150})
	body["RepeatCount"], body["IntervalMs"], body["StartAtMs"] = occurrences, interval.Milliseconds(), time.Now().UnixMilli()+500
	if !trouble {
		body["RepeatCount"] = fewOccurrences
	}
	if r := w.call(w.instances[0], "POST", planned+large, tenantKey, body); !r.ok() {
		return verdict{}, fmt.Errorf("the scheduled job was not accepted: status %d", r.status)
	}
	state := ""
	for deadline := time.Now().Add(65 * time.Second); state != "completed" && time.Now().Before(deadline); {
		time.Sleep(time.Second)
		state = w.call(w.instances[1], "GET", planned+large, tenantKey, nil).state
	}
	begun, done := w.tasks.counts(large)
	w.rec.note("test", "scheduled job", "state", state, "begun", begun, "done", done)
	if state != "completed" {
		return verdict{}, fmt.Errorf("the scheduled job is %q after %d tasks", state, done)
	}

	small := newID()
	task := taskName(small, 0, 0, 0)
	if r := w.call(w.instances[2], "POST", urgent+small, tenantKey, job("work-ms=20000", step{"Count": 1, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimatedMs": 20000})); !r.ok() {
		return verdict{}, fmt.Errorf("the small job was not accepted: status %d", r.status)
	}
	accepted := time.Now()
	for len(w.tasks.startsOf(task)) == 0 && time.Since(accepted) < 10*time.Second {
		time.Sleep(50 * time.Millisecond)
	}
	starts := w.tasks.startsOf(task)
	if len(starts) == 0 {
		return verdict{}, fmt.Errorf("the small job has not begun")
	}
	time.Sleep(time.Second)
	lost := time.Now()
	executors[starts[len(starts)-1].executor].terminate()
	for time.Since(lost) < finishTime+idleTime+time.Second {
		time.Sleep(time.Second)
		w.call(w.instances[1], "GET", urgent+small, tenantKey, nil)
	}
	again := 0
	for _, s := range w.tasks.startsOf(task) {
		if s.at.After(lost) {
			again++
		}
	}
	text := fmt.Sprintf("job %s had nothing running for %.1f s after its executor was lost, %d starts since, with 11 idle executors; claims of leadership: %d",
		small, time.Since(lost).Seconds(), again, w.terms())
	if again > 0 {
		text = fmt.Sprintf("job %s was started again after its executor was lost; claims of leadership: %d", small, w.terms())
	}
	return verdict{broken: again == 0, text: text}, nil
}
