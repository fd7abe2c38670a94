package main

import (
	"fmt"
	"time"
)

func init() { cases["13"] = guaranteeBehindServices }

const (
	// reclaimTime is ReclaimMs.
	reclaimTime = 2700 * time.Millisecond
	// patience is how long the guaranteed job is watched.
	patience = 30 * time.Second
	gpus     = 4 * executorGPU
)

// guaranteeBehindServices lets a job of one tenant, whose tasks last, use all accelerators while they are idle. Then another
// tenant submits an urgent job within its guarantee. The rule is broken if that has not begun all tasks of its first step
// reclaimTime after its acceptance.
func guaranteeBehindServices(w *world, trouble bool) (verdict, error) {
	for i := range 4 {
		if err := w.addExecutor(newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), "a", "r1-1")); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	services := newID()
	service := step{"Count": gpus, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstimatedMs": 1000, "LongRunning": true}
	if !trouble {
		delete(service, "LongRunning")
	}
	spec := "work-ms=120000"
	if r := w.call(w.instances[0], "POST", planned+services, otherKey, job(spec, service)); !r.ok() {
		return verdict{}, fmt.Errorf("the job that lasts was not accepted: status %d", r.status)
	}
	time.Sleep(5 * time.Second)
	begun, _ := w.tasks.counts(services)
	w.rec.note("test", "tasks that last", "begun", begun)

	urgentJob := newID()
	r := w.call(w.instances[1], "POST", urgent+urgentJob, tenantKey, job("work-ms=2000", step{"Count": 2, "Cpu": 1000, "MemMb": 1000, "Gpu": 1, "EstimatedMs": 2000}))
	if !r.ok() {
		return verdict{}, fmt.Errorf("the urgent job was not accepted: status %d", r.status)
	}
	first, second := taskName(urgentJob, 0, 0, 0), taskName(urgentJob, 0, 0, 1)
	for time.Since(r.at) < patience && (len(w.tasks.startsOf(first)) == 0 || len(w.tasks.startsOf(second)) == 0) {
		time.Sleep(10 * time.Millisecond)
	}
	took := time.Since(r.at)
	text := fmt.Sprintf("the urgent job of 2 of 10 guaranteed accelerators had begun after %.1f s", took.Seconds())
	if took >= patience {
		text = fmt.Sprintf("the urgent job of 2 of 10 guaranteed accelerators has not begun after %.1f s", took.Seconds())
	}
	return verdict{broken: took > reclaimTime, text: text}, nil
}
