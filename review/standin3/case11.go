package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["11"] = largeBodies }

const (
	// largeJobs is the number of jobs that strangers submit until they are accepted, strangers that of the clients that submit
	// them. They stop after strangerTime in any case.
	largeJobs, strangers = 1260, 6
	strangerTime         = 40 * time.Second
	// imageBytes is the length of the name of an image: 64 steps with it make a body of 256 KB, below MaxBodyBytes (262,144).
	imageBytes = 3900
	// retries is how often an ordinary client repeats a request, at other instances.
	retries = 4
	// askTime is how long the ordinary job is asked for.
	askTime = 30 * time.Second
)

// largeBodies lets clients of one tenant submit jobs with bodies of legal size that can never be done. All that is accepted is
// kept by each instance. The rule is broken if a job of an ordinary client, accepted before, is asked for from finishTime
// after the last submission on, and a request and its retries get no answer with its state.
func largeBodies(w *world, trouble bool) (verdict, error) {
	for i := range 4 {
		if err := w.addExecutor(newExecutor(w, fmt.Sprintf("i-%02d", i+1), fmt.Sprintf("m-%02d", i+1), "a", "r1-1")); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	w.limitMemory()
	time.Sleep(2 * time.Second)
	ordinary := newID()
	if r := w.call(w.instances[0], "POST", urgent+ordinary, otherKey, job("work-ms=1000", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimatedMs": 1000})); !r.ok() {
		return verdict{}, fmt.Errorf("the ordinary job was not accepted: status %d", r.status)
	}

	image := strings.Repeat("x", imageBytes)
	if !trouble {
		image = "planner"
	}
	var steps []step
	for range 64 {
		steps = append(steps, step{"Count": 1, "Cpu": 1000, "MemMb": 100, "EstimatedMs": 1000, "Requirements": "none", "Image": image})
	}
	body := job("no executor has the label", steps...)
	var accepted atomic.Int64
	var clients sync.WaitGroup
	stop := time.Now().Add(strangerTime)
	for c := range strangers {
		clients.Go(func() {
			for n := 0; accepted.Load() < largeJobs && time.Now().Before(stop); n++ {
				if w.call(w.instances[(c+n)%3], "POST", planned+newID(), tenantKey, body).ok() {
					accepted.Add(1)
				} else {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	clients.Wait()
	w.rec.note("test", "strangers have submitted their jobs", "accepted", accepted.Load())
	time.Sleep(finishTime)

	unanswered, answered := 0, 0
	for until := time.Now().Add(askTime); time.Now().Before(until); time.Sleep(time.Second) {
		known := false
		for n := 0; n <= retries && !known; n++ {
			known = w.call(w.instances[n%3], "GET", urgent+ordinary, otherKey, nil).state != ""
			if !known {
				time.Sleep(200 * time.Millisecond)
			}
		}
		if known {
			answered++
		} else {
			unanswered++
		}
	}
	_, ends := w.endsOf()
	text := fmt.Sprintf("of %d requests for the state of an ordinary job, %d and all their retries got no answer with it; %d jobs of strangers were accepted; processes ended over %d MB: %s",
		answered+unanswered, unanswered, accepted.Load(), memoryMB, ends)
	return verdict{broken: unanswered > 0, text: text}, nil
}
