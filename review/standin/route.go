package main

import (
	"time"
)

func init() { cases["route"] = removedRoute }

// removedRoute: a queue with advice is removed while accepted jobs of it wait for their second step.
func removedRoute(b *bed) (bool, error) {
	const path, jobs = "/lohu930/", 5
	kept := route{name: "r-2", prefix: "/pufi791/", priority: 2}
	b.putConfig(7, route{name: "r-1", prefix: path, priority: 1, advice: true}, kept)
	if err := b.startExecutors(6, 3); err != nil {
		return false, err
	}
	if err := b.startAdvisor(func(e *executor) bool { return true }); err != nil {
		return false, err
	}
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	accepted := make(map[string]int)
	for range jobs {
		id := newID()
		b.setAdvised(id)
		b.setWork(id, work{duration: 3 * time.Second})
		s := step{"Count": 2, "Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimatedMs": 3000}
		second := step{"Count": 2, "Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimatedMs": 3000, "DependsOn": []int{0}}
		if b.submit(path, id, object{"Spec": "run", "Steps": []step{s, second}}) {
			accepted[id] = 4
		}
	}
	time.Sleep(time.Second)
	if b.trouble {
		b.putConfig(9, kept)
	} else {
		b.putConfig(9, route{name: "r-1", prefix: path, priority: 1, advice: true}, kept, route{name: "r-3", prefix: "/pufi792/", priority: 2})
	}
	time.Sleep(6*time.Second + finishTime)
	n := b.stuck(path, accepted)
	b.say("%d jobs were accepted; %d of them have nothing running for 3 s though the turn of their second step has come", len(accepted), n)
	return n > 0, nil
}
