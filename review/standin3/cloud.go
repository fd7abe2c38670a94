package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// upkeepTime is UpkeepS.
const upkeepTime = 2 * time.Second

// machine is a machine of the stand-in of the machine service.
type machine struct {
	name     string
	state    string
	executor *executor
	// token is the highest fencing token of an order for the machine.
	token int64
	// upkept means that the upkeep of the wave was begun.
	upkept bool
	lives  int
}

// cloud is a stand-in of the service that manages the machines of one wave.
type cloud struct {
	w    *world
	wave int64
	cap  int

	mu       sync.Mutex
	machines []*machine
	// delay, if positive, is how much later the next order for upkeep is carried out. It gets no answer.
	delay time.Duration
	// delayed is closed when that order has arrived.
	delayed chan struct{}
	// over lists the upkeeps that began while cap machines were down.
	over []string
	// begun is the number of upkeeps that have begun.
	begun int
}

func newCloud(w *world, wave int64, limit int) *cloud {
	return &cloud{w: w, wave: wave, cap: limit, delayed: make(chan struct{})}
}

// add adds a machine with its first executor.
func (c *cloud) add(name, kind, rack string) error {
	m := &machine{name: name, state: "up"}
	c.mu.Lock()
	c.machines = append(c.machines, m)
	c.mu.Unlock()
	return c.boot(m, kind, rack)
}

// boot starts a new executor on a machine.
func (c *cloud) boot(m *machine, kind, rack string) error {
	m.lives++
	e := newExecutor(c.w, fmt.Sprintf("i-%s-%d", m.name, m.lives), m.name, kind, rack)
	if err := c.w.addExecutor(e); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m.executor, m.state = e, "up"
	return nil
}

func (c *cloud) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", c.list)
	mux.HandleFunc("POST /-/machine-upkeep", c.upkeep)
	return mux
}

func (c *cloud) list(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	rows := []any{}
	for _, m := range c.machines {
		rows = append(rows, map[string]any{
			"Machine": m.name, "Pool": serviceName, "State": m.state, "Zone": "z1", "Labels": []string{m.executor.kind, m.executor.rack},
			"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMemMB, "Gpu": executorGPU}, "Id": m.executor.id,
		})
	}
	c.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"Machines": rows, "NextPageToken": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string
		Wave    int64
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Lease-Holder")
	token, err := strconv.ParseInt(r.Header.Get("X-Fencing-Token"), 10, 64)
	if err != nil {
		token = 0
	}
	c.mu.Lock()
	delay := c.delay
	c.delay = 0
	c.mu.Unlock()
	if delay > 0 {
		c.w.rec.note("cloud", "order for upkeep gets no answer", "machine", body.Machine, "holder", holder, "token", token, "carried_out_after", delay)
		time.AfterFunc(delay, func() {
			status, reason := c.begin(body.Machine, body.Wave, token)
			c.w.rec.note("cloud", "late order for upkeep carried out", "machine", body.Machine, "holder", holder, "token", token, "result", status, "reason", reason)
		})
		close(c.delayed)
		<-r.Context().Done() // The caller gives up.
		return
	}
	status, reason := c.begin(body.Machine, body.Wave, token)
	c.w.rec.note("cloud", "order for upkeep", "machine", body.Machine, "holder", holder, "token", token, "answer", status, "reason", reason)
	if status == http.StatusOK {
		answer(w, status, map[string]any{})
		return
	}
	answer(w, status, map[string]any{"Reason": reason})
}

// begin carries out an order for upkeep and returns the status and the reason of its answer.
func (c *cloud) begin(name string, wave, token int64) (status int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.machines, func(m *machine) bool { return m.name == name })
	if i < 0 {
		return http.StatusBadRequest, ""
	}
	m := c.machines[i]
	switch {
	case token < m.token:
		return http.StatusConflict, "fence"
	case wave != c.wave:
		return http.StatusConflict, "wave"
	}
	m.token = token
	switch {
	case m.upkept:
		return http.StatusOK, "already done"
	case m.state != "up":
		return http.StatusConflict, "busy"
	}
	down := []string{}
	for _, other := range c.machines {
		if other.state == "upkeep" {
			down = append(down, other.name)
		}
	}
	c.begun++
	c.w.rec.note("cloud", "upkeep begins", "machine", name, "down_already", down, "cap", c.cap)
	if len(down) >= c.cap {
		c.over = append(c.over, fmt.Sprintf("upkeep of %s began while %v were down for theirs, the cap is %d", name, down, c.cap))
	}
	m.state, m.upkept = "upkeep", true
	previous := m.executor
	go previous.terminate(true)
	time.AfterFunc(upkeepTime, func() {
		c.w.rec.note("cloud", "upkeep ends", "machine", name)
		if err := c.boot(m, previous.kind, previous.rack); err != nil {
			c.w.rec.note("cloud", "no new executor", "cause", err)
		}
	})
	return http.StatusOK, ""
}

// result returns how many upkeeps have begun, and those that began over the cap.
func (c *cloud) result() (begun int, over []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun, slices.Clone(c.over)
}
