package main

import (
	"fmt"
	"strings"
	"time"
)

// unlimitedAffinity: one client hands in a job with the largest whole number as AntiAffinity, for no limit. Its 64 steps follow
// one another; they may run on the two executors of one rack.
func unlimitedAffinity(dir string, trouble bool) *recorder {
	limit := "1"
	if trouble {
		limit = "9223372036854775807"
	}
	const steps = 64
	var text strings.Builder
	for i := range steps {
		after := ""
		if i > 0 {
			after = fmt.Sprintf(`,"DependsOn":[%d]`, i-1)
		}
		fmt.Fprintf(&text, `{"Count":2,"Cpu":1000,"Fills":true,"EstimatedMs":100,"Requirements":"r0","AntiAffinity":%s%s},`, limit, after)
	}
	return oneJob(dir, `{"Spec":"ms=100","Steps":[`+strings.TrimSuffix(text.String(), ",")+`]}`)
}

// oneJob hands one job in beside ordinary ones, and checks that the ordinary ones run.
func oneJob(dir, body string) *recorder {
	const (
		trafficTime = 25 * time.Second
		finishTime  = 14 * time.Second // finish_s
		observed    = 3 * time.Second
	)
	b := newBed(dir, 3)
	for i := range 8 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("r%d", i/2))
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	kills, most := b.watchMemory(done)
	begin := time.Now()
	var ordinary []string
	for i := 0; time.Since(begin) < trafficTime; i++ {
		if i == 5 {
			status, text := b.instances[0].call("POST", "/bulk/f000000000000000", body, 3*time.Second)
			b.rec.logf("client: POST bulk/f000000000000000 at %s -> %d %s; %s", b.instances[0].name, status, text, body)
		}
		id := fmt.Sprintf("a%015x", i)
		if b.submitOrdinary(i, id, `ms=1500|{"Count":1,"Cpu":1000,"MemMb":500,"Gpu":1,"EstimatedMs":1500}`) {
			ordinary = append(ordinary, id)
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
	b.logMemory(kills, most)
	b.rec.logf("%d of %d ordinary jobs have not ended done; nothing runs for %s: %v", len(waiting), len(ordinary), observed, idle)
	if idle && len(waiting) > 0 {
		b.rec.violation("LOST: %s after the end of the traffic, %d of %d accepted ordinary jobs have not ended, and nothing runs on any of the 8 executors for %s",
			finishTime, len(waiting), len(ordinary), observed)
	}
	return b.rec
}
