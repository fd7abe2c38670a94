package main

import (
	"fmt"
	"strings"
	"time"
)

// unlimitedAffinity: one client hands in a job with the largest whole number as AntiAffinity, for no limit.
func unlimitedAffinity(dir string, trouble bool) *recorder {
	limit := "1"
	if trouble {
		limit = "9223372036854775807"
	}
	return fewJobs(dir, 1, `{"Spec":"ms=500","Steps":[{"Count":2,"Cpu":1000,"Fills":true,"EstimatedMs":500,"AntiAffinity":`+limit+`}]}`)
}

// manyOccurrences: a client hands in two jobs of 10,000 occurrences each, all of which are due; no executor has the label
// that they require.
func manyOccurrences(dir string, trouble bool) *recorder {
	jobs, times := 2, 10000
	if !trouble {
		jobs, times = 1, 1
	}
	step := `{"Count":1,"Cpu":8000,"MemMb":8000,"Gpu":8,"EstimatedMs":10000,"Requirements":"b"}`
	return fewJobs(dir, jobs, fmt.Sprintf(`{"Spec":"ms=10000","Steps":[%s],"RepeatCount":%d,"IntervalMs":1000,"StartAtMs":%d}`,
		strings.TrimSuffix(strings.Repeat(step+",", 13), ","), times, time.Now().Add(-3*time.Hour).UnixMilli()))
}

// fewJobs hands a few jobs of one kind in beside ordinary ones, and checks that the ordinary ones run.
func fewJobs(dir string, jobs int, body string) *recorder {
	const (
		trafficTime = 25 * time.Second
		finishTime  = 14 * time.Second // finish_s
		observed    = 3 * time.Second
	)
	b := newBed(dir, 3)
	for i := range 8 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("r%d", i/4))
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	kills, most := b.watchMemory(done)
	begin := time.Now()
	var ordinary []string
	for i := 0; time.Since(begin) < trafficTime; i++ {
		if i >= 5 && i < 5+jobs {
			id := fmt.Sprintf("f%015x", i)
			status, text := b.instances[0].call("POST", "/bulk/"+id, body, 3*time.Second)
			b.rec.logf("client: POST bulk/%s %s at %s -> %d %s", id, body, b.instances[0].name, status, text)
		}
		id := fmt.Sprintf("a%015x", i)
		for try := range 3 {
			if b.instances[(i+try)%3].submit("urgent", id, `ms=1500|{"Count":1,"Cpu":1000,"MemMb":500,"Gpu":1,"EstimatedMs":1500}`) == 200 {
				ordinary = append(ordinary, id)
				break
			}
		}
		time.Sleep(time.Second)
	}
	b.rec.logf("%d ordinary jobs accepted; end of the traffic", len(ordinary))
	time.Sleep(finishTime)
	idle := b.waitIdle(observed)
	var waiting []string
	for _, id := range ordinary {
		if !b.rec.finished(id + ".0.0.0") {
			waiting = append(waiting, id)
		}
	}
	for i, id := range waiting[max(0, len(waiting)-3):] {
		b.instances[i%3].state("urgent", id)
	}
	close(done)
	for i, in := range b.instances {
		b.rec.logf("%s: at most %d MB, killed %d times because it used more than %d MB", in.name, most[i].Load(), kills[i].Load(), memoryLimitMB)
	}
	b.rec.logf("%d of %d ordinary jobs have not ended done; nothing runs for %s: %v", len(waiting), len(ordinary), observed, idle)
	if idle && len(waiting) > 0 {
		b.rec.violation("LOST: %s after the end of the traffic, %d of %d accepted ordinary jobs have not ended, and nothing runs on any of the 8 executors for %s",
			finishTime, len(waiting), len(ordinary), observed)
	}
	return b.rec
}
