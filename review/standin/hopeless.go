package main

import (
	"time"
)

func init() { cases["hopeless"] = hopelessJob }

// hopelessJob: one of twenty jobs on a queue with advice can never be done, because no executor has the label that it
// requires.
func hopelessJob(b *bed) (bool, error) {
	const path, jobs, hopelessIndex = "/lohu930/", 20, 4
	b.putConfig(7, route{name: "r-1", prefix: path, priority: 1, advice: true})
	if err := b.startExecutors(8, 4); err != nil {
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
	for n := range jobs {
		id, tasks := newID(), 1+n%3
		b.setAdvised(id)
		b.setWork(id, work{duration: 800 * time.Millisecond})
		s := step{"Count": tasks, "Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimatedMs": 800}
		hopeless := b.trouble && n == hopelessIndex
		if hopeless {
			s["Requirements"] = "kind-z"
		}
		if b.submit(path, id, object{"Spec": "run", "Steps": []step{s}}) && !hopeless {
			accepted[id] = tasks
		}
		if hopeless {
			b.log("note", "%s can never be done", id)
		}
		time.Sleep(150 * time.Millisecond)
	}
	time.Sleep(finishTime)
	used := b.used(1)
	n := b.stuck(path, accepted)
	b.say("%d jobs that can be done were accepted; %v after the last one, %d of them have nothing running for 3 s though their turn has come; %.0f%% of the accelerators in use, advice called %d times",
		len(accepted), finishTime, n, 100*used, b.advisor.calls)
	return n > 0, nil
}
