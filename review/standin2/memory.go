package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// memoryLimitMB is Limits.MemoryMb of the settings: the platform kills a process that exceeds it, and starts it again.
	memoryLimitMB = 284
	restartDelay  = 500 * time.Millisecond
)

// residentMB returns the resident memory of a process in megabytes, 0 if it has ended.
func residentMB(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return number(strings.Fields(rest)[0]) / 1024
		}
	}
	return 0
}

// watchMemory does what the platform does with a process that exceeds its memory. It returns how often that was for each
// instance, and the most memory that each used, in megabytes.
func (b *bed) watchMemory(done <-chan struct{}) (kills, most []atomic.Int64) {
	kills, most = make([]atomic.Int64, len(b.instances)), make([]atomic.Int64, len(b.instances))
	for i, in := range b.instances {
		go func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
				in.mu.Lock()
				pid, wanted := in.cmd.Process.Pid, in.wanted
				in.mu.Unlock()
				used := residentMB(pid)
				if used > most[i].Load() {
					most[i].Store(used)
				}
				if !wanted || used <= memoryLimitMB {
					continue
				}
				kills[i].Add(1)
				b.rec.logf("platform: %s uses %d MB, its limit is %d MB", in.name, used, memoryLimitMB)
				in.signal(syscall.SIGKILL)
				<-in.exited
				time.Sleep(restartDelay)
				in.start()
			}
		}()
	}
	return kills, most
}

// largeBodies: many large bodies of legal size come at once, whole. Ordinary jobs come beside them.
func largeBodies(dir string, trouble bool) *recorder {
	const (
		bodyBytes   = 250000 // Limits.MaxBodyBytes is 262144
		crowd       = 24
		crowdTime   = 30 * time.Second
		trafficTime = 40 * time.Second
		finishTime  = 14 * time.Second // finish_s
		observed    = 3 * time.Second
	)
	jobs := int64(1200)
	if s := os.Getenv("JOBS"); s != "" {
		jobs = number(s)
	}
	b := newBed(dir, 3)
	for i := range 8 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("r%d", i/4))
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	kills, most := b.watchMemory(done)
	begin := time.Now()
	c := b.startCrowd(crowd, jobs, begin.Add(crowdTime), func() string {
		if trouble {
			return largeBody(bodyBytes)
		}
		return `{"Spec":"ms=100","Steps":[{"Count":1,"Cpu":1000,"MemMb":500,"EstimatedMs":100}]}`
	})
	var ordinary []string
	for i := 0; time.Since(begin) < trafficTime; i++ {
		id := fmt.Sprintf("a%015x", i)
		if b.submitOrdinary(i, id, `ms=200|{"Count":1,"Cpu":1000,"MemMb":500,"EstimatedMs":200}`) {
			ordinary = append(ordinary, id)
		}
		time.Sleep(time.Second)
	}
	c.clients.Wait()
	b.rec.logf("clients: %d of %d jobs of the crowd accepted, %d bytes in all, none of more than 262144; %d ordinary jobs accepted; end of the traffic",
		c.accepted.Load(), jobs, c.bytes.Load(), len(ordinary))
	time.Sleep(finishTime)
	idle := b.waitIdle(observed)
	waiting := 0
	for i, id := range ordinary {
		if len(b.rec.startsOf(id)) == 0 {
			waiting++
		}
		if i >= len(ordinary)-3 {
			b.instances[i%3].state("urgent", id)
		}
	}
	close(done)
	b.logMemory(kills, most)
	if idle && waiting > 0 {
		b.rec.violation("LOST: %s after the end of the traffic, %d of %d accepted ordinary jobs have had nothing running, and nothing runs on any of the 8 executors for %s",
			finishTime, waiting, len(ordinary), observed)
	}
	return b.rec
}

// crowd is clients that hand jobs in at the same time.
type crowd struct {
	clients               sync.WaitGroup
	sent, accepted, bytes atomic.Int64
}

// startCrowd lets the given number of clients hand in jobs to the queue "bulk", until the given time at most.
func (b *bed) startCrowd(clients int, jobs int64, until time.Time, body func() string) *crowd {
	c := &crowd{}
	for i := range clients {
		c.clients.Go(func() {
			for n := c.sent.Add(1); n <= jobs && time.Now().Before(until); n = c.sent.Add(1) {
				b.submitInCrowd(c, i, n, body())
			}
		})
	}
	return c
}

// submitInCrowd hands a job in, at up to five instances.
func (b *bed) submitInCrowd(c *crowd, client int, n int64, body string) {
	for try := range 5 {
		if status, _ := b.instances[(client+try)%len(b.instances)].call("POST", fmt.Sprintf("/bulk/f%015x", n), body, 3*time.Second); status == 200 {
			c.accepted.Add(1)
			c.bytes.Add(int64(len(body)))
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// submitOrdinary hands an urgent job in, at up to three instances, and reports whether it was accepted.
func (b *bed) submitOrdinary(i int, id, steps string) bool {
	for try := range 3 {
		if b.instances[(i+try)%len(b.instances)].submit("urgent", id, steps) == 200 {
			return true
		}
	}
	return false
}

// logMemory records the results of watchMemory.
func (b *bed) logMemory(kills, most []atomic.Int64) {
	for i, in := range b.instances {
		b.rec.logf("%s: at most %d MB, killed %d times because it used more than %d MB", in.name, most[i].Load(), kills[i].Load(), memoryLimitMB)
	}
}

// largeBody returns the body of a job of about the given size, that executors can run.
func largeBody(size int) string {
	step := `{"Count":1,"Cpu":8000,"MemMb":8000,"Gpu":8,"EstimatedMs":10000,"Image":"` + strings.Repeat("x", 4000) + `"}`
	steps := strings.TrimSuffix(strings.Repeat(step+",", size/(len(step)+1)), ",")
	return `{"Spec":"ms=10000","Steps":[` + steps + `]}`
}

// waitIdle reports whether nothing runs on any executor for the given time.
func (b *bed) waitIdle(d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		b.fleet.mu.Lock()
		running := 0
		for _, e := range b.fleet.executors {
			running += len(e.runs)
		}
		b.fleet.mu.Unlock()
		if running > 0 {
			return false
		}
	}
	return true
}
