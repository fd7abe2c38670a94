package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

const upkeepTime = 2 * time.Second

// cloud is a stand-in of the service that manages the machines.
type cloud struct {
	bed *bed
	// late is asked for each order for upkeep; a time above 0 means that the order gets no answer and is carried out
	// after that time.
	late func(machine, holder string) time.Duration

	mu       sync.Mutex
	machines map[string]*machine
	order    []string
	caps     map[int]int
}

type machine struct {
	name, state, rack string
	executor          *executor
	lives             int
	token             int64
	done              map[int]bool
	wave              int
}

func (c *cloud) add(name, rack string) {
	m := &machine{name: name, state: "up", rack: rack, done: make(map[int]bool)}
	c.mu.Lock()
	c.machines[name] = m
	c.order = append(c.order, name)
	c.bootLocked(m)
	c.mu.Unlock()
}

func (c *cloud) bootLocked(m *machine) {
	m.lives++
	m.executor = c.bed.fleet.add(fmt.Sprintf("i-%s-%d", m.name, m.lives), m.name, m.rack)
}

// announceWave writes the operator's record of a wave.
func (c *cloud) announceWave(n int, machines []string, durationS, limit int) {
	c.mu.Lock()
	if c.caps == nil {
		c.caps = make(map[int]int)
	}
	c.caps[n] = limit
	c.mu.Unlock()
	c.bed.rec.logf("operator: wave %d of %v, at most %d at once", n, machines, limit)
	c.bed.store.put("keyed.op", fmt.Sprintf("wave/%d", n), map[string]any{"Wave": n, "Machines": machines, "DurationS": durationS, "Cap": limit})
}

func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/machines":
		c.list(w)
	case "/-/machine-upkeep":
		c.upkeep(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rows := []map[string]any{}
	for _, name := range c.order {
		m := c.machines[name]
		rows = append(rows, map[string]any{
			"Machine": m.name, "Pool": "pool", "State": m.state, "Zone": "z0", "Labels": []string{"a", m.rack},
			"Capacity": map[string]any{"Cpu": cpuCapacity, "MemMb": memCapacity, "Gpu": gpuCount}, "Id": m.executor.id,
		})
	}
	answer(w, http.StatusOK, map[string]any{"Machines": rows, "NextPageToken": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string
		Wave    int
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder, token := r.Header.Get("X-Lease-Holder"), number(r.Header.Get("X-Fencing-Token"))
	if c.late != nil {
		if late := c.late(body.Machine, holder); late > 0 {
			c.bed.rec.logf("cloud: order of %s (token %d) for upkeep of %s in wave %d gets no answer and is carried out in %s", holder, token, body.Machine, body.Wave, late)
			time.AfterFunc(late, func() {
				status, reason := c.begin(body.Machine, body.Wave, token)
				c.bed.rec.logf("cloud: late order of %s (token %d) for upkeep of %s carried out: %d %s", holder, token, body.Machine, status, reason)
			})
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	status, reason := c.begin(body.Machine, body.Wave, token)
	c.bed.rec.logf("cloud: order of %s (token %d) for upkeep of %s in wave %d -> %d %s", holder, token, body.Machine, body.Wave, status, reason)
	if reason == "" {
		answer(w, status, map[string]any{})
		return
	}
	answer(w, status, map[string]any{"Reason": reason})
}

// begin begins an upkeep, and checks that fewer than Cap machines of the wave are down for theirs.
func (c *cloud) begin(name string, wave int, token int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	if m == nil {
		return http.StatusBadRequest, ""
	}
	if token < m.token {
		return http.StatusConflict, "fence"
	}
	m.token = token
	if m.done[wave] {
		return http.StatusOK, ""
	}
	if m.state != "up" {
		return http.StatusConflict, "busy"
	}
	down := 0
	for _, other := range c.machines {
		if other.state == "upkeep" && other.wave == wave {
			down++
		}
	}
	if down >= c.caps[wave] {
		c.bed.rec.violation("LIMIT: the upkeep of %s begins while %d machines of wave %d are down for theirs; Cap is %d", name, down, wave, c.caps[wave])
	}
	m.state, m.wave, m.done[wave] = "upkeep", wave, true
	c.bed.rec.logf("cloud: upkeep of %s begins", name)
	c.bed.fleet.mu.Lock()
	m.executor.crashLocked()
	c.bed.fleet.mu.Unlock()
	c.bed.rec.gone(m.executor)
	c.bed.store.put("keyed.servers", m.executor.id, nil)
	m.executor.retired = true
	m.executor.listener.Close()
	time.AfterFunc(upkeepTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		m.state = "up"
		c.bootLocked(m)
		c.bed.rec.logf("cloud: %s is up again", name)
	})
	return http.StatusOK, ""
}
