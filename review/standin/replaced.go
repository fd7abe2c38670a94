package main

import (
	"fmt"
	"time"
)

func init() { cases["replaced"] = replacedExecutors }

// replacedExecutors: the two executors that may run a step are lost for good while it runs. New executors that may run
// it join.
func replacedExecutors(b *bed) (bool, error) {
	const path, executors, perRack = "/lohu930/", 16, 2
	b.putConfig(7, route{name: "r-1", prefix: path, priority: 1, advice: true})
	if err := b.startExecutors(executors, perRack); err != nil {
		return false, err
	}
	// The policy of the queue allows the executors of one rack.
	if err := b.startAdvisor(func(e *executor) bool { return e.rack == "r1" }); err != nil {
		return false, err
	}
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	id := newID()
	b.setAdvised(id)
	b.setWork(id, work{duration: 6 * time.Second})
	s := step{"Count": 2, "Cpu": 16000, "MemMb": 16384, "Gpu": 2, "EstimatedMs": 6000}
	if !b.submit(path, id, object{"Spec": "run", "Steps": []step{s}}) {
		return false, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if b.trouble {
		for _, e := range b.executors[:perRack] {
			b.log("trouble", "%s crashes for good", e.id)
			e.crash()
		}
	}
	time.Sleep(4 * time.Second)
	// New executors join on the same rack, also without the disruption.
	for range perRack {
		if _, err := b.addExecutor("r1"); err != nil {
			return false, err
		}
	}
	time.Sleep(20*time.Second + finishTime)
	used := b.used(2)
	n := b.stuck(path, map[string]int{id: 2})
	b.say("the job has %d of 2 tasks done; 34 s after the new executors joined, nothing of it runs for 3 s: %v; %.0f%% of the accelerators in use, advice called %d times",
		b.doneTasks(id), n > 0, 100*used, b.advisor.calls)
	return n > 0, nil
}
