package main

import (
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"
)

// lateStart: a start gets no answer and is repeated; the run ends done. Then the leader that sent it is killed, and the
// executor is cut off from the store, crashes and starts again. Behind the cut it carries the start out.
func lateStart(dir string, trouble bool) *recorder {
	const (
		lateBy   = 9500 * time.Millisecond // carried out 2 to 12 s later
		cutTime  = 5 * time.Second
		downTime = 700 * time.Millisecond
	)
	b := newBed(dir, 3)
	for i := range 8 {
		b.cloud.add(fmt.Sprintf("m%d", i+1), fmt.Sprintf("r%d", i/4))
	}
	var late atomic.Pointer[executor]
	if trouble {
		b.fleet.lateStart = func(e *executor, _ *command) time.Duration {
			if late.CompareAndSwap(nil, e) {
				return lateBy
			}
			return 0
		}
	}
	b.startAll()
	time.Sleep(2 * time.Second)
	sent := time.Now()
	for i := range 5 {
		b.instances[i%3].submit("plain", fmt.Sprintf("a%015x", i), `ms=2000|{"Count":4,"Cpu":8000,"MemMb":8000,"Gpu":2,"EstimatedMs":2000}`)
	}
	time.Sleep(time.Until(sent.Add(4500 * time.Millisecond)))
	if !trouble {
		time.Sleep(10 * time.Second)
		return b.rec
	}
	var leader struct{ Instance string }
	_ = json.Unmarshal(b.store.get("keyed.leader", "scheduler"), &leader) // Without a leader nobody is killed below.
	for _, in := range b.instances {
		if in.ip == leader.Instance {
			in.kill()
			time.AfterFunc(3500*time.Millisecond, in.start)
		}
	}
	time.Sleep(time.Until(sent.Add(7500 * time.Millisecond)))
	e := late.Load()
	if e == nil {
		fatal("no start was sent")
	}
	b.fleet.mu.Lock()
	b.rec.logf("executor %s is cut off from the store, and crashes", e.id)
	e.storeCutUntil = time.Now().Add(cutTime)
	e.crashLocked()
	b.fleet.mu.Unlock()
	b.rec.gone(e)
	time.Sleep(downTime)
	b.fleet.mu.Lock()
	e.startLocked()
	b.rec.logf("executor %s is up again under its id, born %d", e.id, e.born)
	b.fleet.mu.Unlock()
	time.Sleep(8 * time.Second)
	return b.rec
}
