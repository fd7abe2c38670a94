package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"
)

func init() { cases["15"] = lateUpkeep }

// lateBy is how much later the first order for upkeep is carried out: orders without an answer are carried out 2 to
// 12 s later.
const lateBy = 9 * time.Second

// lateUpkeep requests a wave of upkeep of eight machines, one at a time. The first order of the leader gets no answer and is
// carried out late, and the leader is restarted meanwhile. The rule is broken if an upkeep begins while another machine of the
// wave is down for its own.
func lateUpkeep(w *world, trouble bool) (verdict, error) {
	const waveNumber, machines = 1, 8
	c := newCloud(w, waveNumber, 1)
	var err error
	if w.cloudAddress, _, err = serve(c.handler()); err != nil {
		return verdict{}, err
	}
	var names []string
	for i := range machines {
		kind := "a"
		if i == 0 {
			kind = "b"
		}
		names = append(names, fmt.Sprintf("m-%02d", i+1))
		if err := c.add(names[i], kind, "r1-1"); err != nil {
			return verdict{}, err
		}
	}
	w.putConfig(1)
	if err := w.startInstances(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)

	if trouble {
		c.mu.Lock()
		c.delay = lateBy
		c.mu.Unlock()
	}
	wave, err := json.Marshal(map[string]any{"Wave": waveNumber, "Machines": names, "DurationS": 60, "Cap": 1})
	if err != nil {
		return verdict{}, err
	}
	w.rec.note("operator", "writes op/wave/1", "record", string(wave))
	w.store.put("keyed.op", fmt.Sprintf("wave/%d", waveNumber), wave)
	caller := w.instances[0]
	if trouble {
		select {
		case <-c.delayed:
		case <-time.After(10 * time.Second):
			return verdict{}, errors.New("no order for upkeep was sent")
		}
		leader := w.leader()
		if leader == nil {
			return verdict{}, errors.New("no leader")
		}
		if leader == caller {
			caller = w.instances[1]
		}
		go func() {
			if err := w.restart(leader); err != nil {
				w.rec.note("test", "restart failed", "cause", err)
			}
		}()
	}
	// A job for machines of kind b, of which there is one.
	id := newID()
	if r := w.call(caller, "POST", urgent+id, tenantKey, job("work-ms=25000", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "Gpu": 1, "EstimatedMs": 25000, "Requirements": "b"})); !r.ok() {
		return verdict{}, fmt.Errorf("the job was not accepted: status %d", r.status)
	}
	time.Sleep(25 * time.Second)
	begun, over := c.result()
	w.rec.note("test", "wave", "upkeeps_begun", begun)
	if begun == 0 {
		return verdict{}, errors.New("no upkeep has begun")
	}
	if len(over) > 0 {
		return verdict{broken: true, text: strings.Join(over, "; ")}, nil
	}
	return verdict{text: fmt.Sprintf("%d upkeeps began, one at a time", begun)}, nil
}
