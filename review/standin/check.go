package main

import (
	"fmt"
	"time"
)

// finishTime is finish_s of the bounds: how long after the end of the traffic each job must be known and running.
const finishTime = 14 * time.Second

func (b *bed) startExecutors(count, perRack int) error {
	for n := range count {
		if _, err := b.addExecutor(fmt.Sprintf("r%d", 1+n/perRack)); err != nil {
			return err
		}
	}
	return nil
}

// stuck returns how many of the jobs are unfinished although nothing of them has run in the last 3 s.
func (b *bed) stuck(path string, jobs map[string]int) int {
	const calm = 3 * time.Second
	idle := make(map[string]bool)
	for id, tasks := range jobs {
		idle[id] = b.doneTasks(id) < tasks && b.running(id) == 0
	}
	since := time.Now()
	for time.Since(since) < calm {
		for id := range jobs {
			idle[id] = idle[id] && b.running(id) == 0
		}
		time.Sleep(50 * time.Millisecond)
	}
	n := 0
	for id, tasks := range jobs {
		if idle[id] && b.startCount(id, since) == 0 {
			n++
			b.log("stuck", "%s: %d of %d tasks done, nothing running, state %q", id, b.doneTasks(id), tasks, b.state(path, id))
		}
	}
	return n
}

// used returns the share of the accelerators of the executors that are up that is in use, if each run uses perRun.
func (b *bed) used(perRun int) float64 {
	b.mu.Lock()
	executors := b.executors
	b.mu.Unlock()
	runs, up := 0, 0
	for _, e := range executors {
		e.mu.Lock()
		if !e.down {
			up++
		}
		runs += len(e.runs)
		e.mu.Unlock()
	}
	return float64(runs*perRun) / float64(8*up)
}
