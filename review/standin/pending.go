package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["pending"] = pendingCount }

// pendingCount: the only executor with room rejects all starts for some seconds.
func pendingCount(b *bed) (bool, error) {
	const path, executors, jobs = "/lohu930/", 10, 8
	const grey, visible = 6500 * time.Millisecond, 3 * time.Second
	b.putConfig(7, route{name: "r-1", prefix: path, priority: 1})
	if err := b.startExecutors(executors, 5); err != nil {
		return false, err
	}
	if err := b.startAdvisor(func(e *executor) bool { return true }); err != nil {
		return false, err
	}
	if err := b.startNodes(3); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	job := func(tasks int) string {
		id := newID()
		b.setWork(id, work{duration: 30 * time.Second})
		s := step{"Count": tasks, "Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimatedMs": 30000}
		if !b.submit(path, id, object{"Spec": "run", "Steps": []step{s}}) {
			return ""
		}
		return id
	}
	for range executors - 1 {
		job(8)
	}
	time.Sleep(2 * time.Second)
	for _, e := range b.executors {
		if e.runCount() == 0 && b.trouble {
			b.log("trouble", "%s rejects starts for %v", e.id, grey)
			e.turnGrey(grey)
		}
	}
	acceptedAt := make(map[string]time.Time)
	for range jobs {
		if id := job(1); id != "" {
			acceptedAt[id] = time.Now()
		}
	}
	began := time.Now()
	broken, samples, longest := 0, 0, 0
	for time.Since(began) < 12*time.Second {
		time.Sleep(100 * time.Millisecond)
		for _, p := range b.nodes {
			asked := time.Now()
			status, data := b.call(p, http.MethodGet, path, nil)
			var body struct{ Pending int }
			if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
				continue
			}
			waiting := 0
			for id, at := range acceptedAt {
				if asked.Sub(at) > visible+2*time.Second && b.startCount(id, time.Time{}) == 0 {
					waiting++
				}
			}
			if waiting == 0 {
				continue
			}
			samples++
			if 2*body.Pending < waiting {
				broken++
				longest = max(longest, waiting)
				b.log("broken", "%s gives %d as Pending, %d jobs have not begun", p.name, body.Pending, waiting)
			}
		}
	}
	b.say("%d jobs accepted; %d answers to a request for Pending were given while jobs had waited for over 5 s, %d of them were under half of these jobs, of which there were up to %d",
		len(acceptedAt), samples, broken, longest)
	return broken > 0, nil
}
