package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// pendingAfterRestart: jobs with large bodies wait, an instance is killed and started again, and is asked directly for the
// number of jobs that wait.
func pendingAfterRestart(dir string, trouble bool) *recorder {
	const (
		jobs          = 540
		crowd         = 16
		bodyBytes     = 250000 // Limits.MaxBodyBytes is 262144
		answerTimeout = 3 * time.Second
		contact       = 3 * time.Second               // ContactMs
		settled       = 3*time.Second + 2*time.Second // visible_ms and 2 s
	)
	b := newBed(dir, 3)
	for i := range 4 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), "r0")
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	kills, most := b.watchMemory(done)
	var sent, accepted atomic.Int64
	var crowds sync.WaitGroup
	for c := range crowd {
		crowds.Go(func() {
			for n := sent.Add(1); n <= jobs; n = sent.Add(1) {
				body := `{"Spec":"ms=10000","Steps":[{"Count":1,"Cpu":8000,"MemMb":8000,"Gpu":8,"EstimatedMs":10000}]}`
				if trouble {
					body = largeBody(bodyBytes)
				}
				for try := range 5 {
					status, _ := b.instances[(c+try)%3].call("POST", fmt.Sprintf("/bulk/f%015x", n), body, answerTimeout)
					if status == 200 {
						accepted.Add(1)
						break
					}
				}
			}
		})
	}
	crowds.Wait()
	b.rec.logf("clients: %d jobs accepted", accepted.Load())
	time.Sleep(settled + contact)
	asked := b.instances[2]
	begin := time.Now()
	if trouble {
		asked.kill()
		time.Sleep(restartDelay)
		asked.start()
		begin = time.Now()
	}
	worst := int64(-1)
	for ; time.Since(begin) < 15*time.Second; time.Sleep(200 * time.Millisecond) {
		since := time.Since(begin)
		status, text := asked.call("GET", "/bulk/", "", answerTimeout)
		begun := b.rec.jobsBegun()
		b.rec.logf("client: GET /bulk/ at %s, %.2f s after its start -> %d %s; at least %d of the accepted jobs haven't begun", asked.name, since.Seconds(), status, text, accepted.Load()-begun)
		var body struct{ Pending *int64 }
		if status != 200 || since < contact || json.Unmarshal([]byte(text), &body) != nil || body.Pending == nil {
			continue
		}
		if waiting := accepted.Load() - begun; 2**body.Pending < waiting && worst < 0 {
			worst = *body.Pending
			b.rec.violation("MIXED: %s, in touch, %.1f s after its start, gives %d as Pending; %d jobs without times that were accepted over 5 s before haven't begun",
				asked.name, since.Seconds(), worst, waiting)
		}
	}
	close(done)
	for i, in := range b.instances {
		b.rec.logf("%s: at most %d MB, killed %d times because it used more than %d MB", in.name, most[i].Load(), kills[i].Load(), memoryLimitMB)
	}
	return b.rec
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
