package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["pending"] = pendingCount }

// pendingAge is visible_ms and 2 s: how long a job must have been accepted before it has to be counted as pending.
const pendingAge = 5 * time.Second

// pendingCount: the only executor with room rejects all starts for some seconds.
func pendingCount(b *bed) (bool, error) {
	const path, executors, jobs = "/lohu930/", 10, 8
	const grey, watched = 6500 * time.Millisecond, 12 * time.Second
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
	for range executors - 1 {
		b.submitSmall(path, 8)
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
		if id := b.submitSmall(path, 1); id != "" {
			acceptedAt[id] = time.Now()
		}
	}
	broken, samples, most := 0, 0, 0
	for began := time.Now(); time.Since(began) < watched; time.Sleep(100 * time.Millisecond) {
		for _, p := range b.nodes {
			pending, waiting := b.askPending(p, path, acceptedAt)
			if waiting == 0 {
				continue
			}
			samples++
			if 2*pending < waiting {
				broken++
				most = max(most, waiting)
				b.log("broken", "%s gives %d as Pending, %d jobs have not begun", p.name, pending, waiting)
			}
		}
	}
	b.say("%d jobs accepted; %d answers to a request for Pending were given while jobs had waited for over 5 s, %d of them were under half of these jobs, of which there were up to %d",
		len(acceptedAt), samples, broken, most)
	return broken > 0, nil
}

// submitSmall hands in a job of tasks with one accelerator each and returns its id, or "" if it was not accepted.
func (b *bed) submitSmall(path string, tasks int) string {
	id := newID()
	b.setWork(id, work{duration: 30 * time.Second})
	s := step{"Count": tasks, "Cpu": 4000, "MemMb": 4096, "Gpu": 1, "EstimatedMs": 30000}
	if !b.submit(path, id, object{"Spec": "run", "Steps": []step{s}}) {
		return ""
	}
	return id
}

// askPending asks an instance for Pending. It also returns how many of the jobs were accepted over pendingAge before the
// request and have not begun even after the answer; 0 without an answer.
func (b *bed) askPending(p *node, path string, acceptedAt map[string]time.Time) (pending, waiting int) {
	asked := time.Now()
	status, data := b.call(p, http.MethodGet, path, nil)
	var body struct{ Pending int }
	if status != http.StatusOK || json.Unmarshal(data, &body) != nil {
		return 0, 0
	}
	for id, at := range acceptedAt {
		if asked.Sub(at) > pendingAge && b.startCount(id, time.Time{}) == 0 {
			waiting++
		}
	}
	return body.Pending, waiting
}
