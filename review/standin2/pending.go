package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// pendingAfterRestart: jobs with large bodies wait, an instance is killed and started again, and is asked directly for the
// number of jobs that wait.
func pendingAfterRestart(dir string, trouble bool) *recorder {
	const (
		jobs      = 540
		crowd     = 16
		bodyBytes = 250000                        // Limits.MaxBodyBytes is 262144
		contact   = 3 * time.Second               // ContactMs
		settled   = 3*time.Second + 2*time.Second // visible_ms and 2 s
	)
	b := newBed(dir, 3)
	for i := range 4 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), "r0")
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	kills, most := b.watchMemory(done)
	c := b.startCrowd(crowd, jobs, time.Now().Add(30*time.Second), func() string {
		if trouble {
			return largeBody(bodyBytes)
		}
		return `{"Spec":"ms=10000","Steps":[{"Count":1,"Cpu":8000,"MemMb":8000,"Gpu":8,"EstimatedMs":10000}]}`
	})
	c.clients.Wait()
	accepted := c.accepted.Load()
	b.rec.logf("clients: %d jobs accepted", accepted)
	time.Sleep(settled + contact)
	asked := b.instances[2]
	begin := time.Now()
	if trouble {
		asked.kill()
		time.Sleep(restartDelay)
		asked.start()
		begin = time.Now()
	}
	for broken := false; time.Since(begin) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		since := time.Since(begin)
		pending, ok := asked.pending(since)
		waiting := accepted - b.rec.jobsBegun()
		b.rec.logf("at least %d of the accepted jobs haven't begun", waiting)
		if ok && since >= contact && 2*pending < waiting && !broken {
			broken = true
			b.rec.violation("MIXED: %s, in touch, %.1f s after its start, gives %d as Pending; %d jobs without times that were accepted over 5 s before haven't begun",
				asked.name, since.Seconds(), pending, waiting)
		}
	}
	close(done)
	b.logMemory(kills, most)
	return b.rec
}

// pending asks an instance for the number of jobs that wait in the queue "bulk", and reports whether it gave one.
func (in *instance) pending(since time.Duration) (int64, bool) {
	status, text := in.call("GET", "/bulk/", "", 3*time.Second)
	in.bed.rec.logf("client: GET /bulk/ at %s, %.2f s after its start -> %d %s", in.name, since.Seconds(), status, text)
	var body struct{ Pending *int64 }
	if status != 200 || json.Unmarshal([]byte(text), &body) != nil || body.Pending == nil {
		return 0, false
	}
	return *body.Pending, true
}

// jobsBegun returns the number of jobs of which a task has started.
func (r *recorder) jobsBegun() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	jobs := make(map[string]bool)
	for task := range r.starts {
		jobs[task[:16]] = true
	}
	return int64(len(jobs))
}
