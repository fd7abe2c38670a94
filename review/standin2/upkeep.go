package main

import (
	"fmt"
	"sync/atomic"
	"time"
)

// lateUpkeep: an order for upkeep gets no answer and is carried out late; the instance that sent it is killed.
func lateUpkeep(dir string, trouble bool) *recorder {
	b := newBed(dir, 3)
	names := []string{"m1", "m2", "m3", "m4", "m5", "m6"}
	for i, name := range names {
		b.cloud.add(name, fmt.Sprintf("r%d", i/3))
	}
	var ordered atomic.Bool
	killed := make(chan struct{})
	if trouble {
		b.cloud.late = func(_, holder string) time.Duration {
			if !ordered.CompareAndSwap(false, true) {
				return 0
			}
			time.AfterFunc(300*time.Millisecond, func() {
				b.byName(holder).kill()
				close(killed)
			})
			return 8 * time.Second
		}
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	// Five of the six executors are at work when the wave begins.
	for i := range 5 {
		b.instances[i%3].submit("plain", fmt.Sprintf("a00000000000000%d", i), `ms=7000|{"Count":1,"Cpu":32000,"MemMb":60000,"Gpu":8,"EstimatedMs":7000}`)
	}
	time.Sleep(3 * time.Second)
	b.cloud.announceWave(1, names, 40, 1)
	if trouble {
		select {
		case <-killed:
		case <-time.After(20 * time.Second):
			fatal("no order for upkeep")
		}
	} else {
		time.Sleep(time.Second)
	}
	for _, in := range b.instances {
		in.mu.Lock()
		up := in.wanted
		in.mu.Unlock()
		if up {
			in.submit("plain", "b000000000000001", `ms=9000|{"Count":1,"Cpu":32000,"MemMb":60000,"Gpu":8,"EstimatedMs":9000}`)
			break
		}
	}
	for range 60 {
		time.Sleep(time.Second)
		if string(b.store.get("keyed.status", "wave/1")) == `{"Wave":1,"State":"completed"}` {
			b.rec.logf("wave 1 is said to be completed")
			break
		}
	}
	return b.rec
}
