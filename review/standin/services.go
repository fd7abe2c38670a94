package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// advisor is the advice service. Its policy allows some executors to run the steps of the queues with advice.
type advisor struct {
	bed *bed
	// allowed is the policy.
	allowed func(e *executor) bool

	mu      sync.Mutex
	tickets map[string]string
	issued  map[string]time.Time
	turns   map[string]*sync.Mutex
	calls   int
}

const ticketValidity = 3 * time.Second

func (b *bed) startAdvisor(allowed func(e *executor) bool) error {
	b.advisor = &advisor{
		bed: b, allowed: allowed, tickets: make(map[string]string), issued: make(map[string]time.Time), turns: make(map[string]*sync.Mutex),
	}
	_, err := b.serve(2, 4, b.advisor)
	return err
}

// ServeHTTP answers one call at a time for each calling machine.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string
		Workers []string
	}
	if r.URL.Path != "/-/advise" || json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	a.calls++
	turn := a.turns[host]
	if turn == nil {
		turn = &sync.Mutex{}
		a.turns[host] = turn
	}
	a.mu.Unlock()
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(20*time.Millisecond + time.Duration(len(body.Workers))*2*time.Millisecond)
	good := [][]string{}
	a.bed.mu.Lock()
	executors := a.bed.executors
	a.bed.mu.Unlock()
	for _, id := range body.Workers {
		for _, e := range executors {
			if e.id != id || !a.allowed(e) {
				continue
			}
			key := body.Step + " " + id
			a.mu.Lock()
			a.tickets[key], a.issued[key] = fmt.Sprintf("%08x", rand.Uint32()), time.Now()
			good = append(good, []string{id, a.tickets[key]})
			a.mu.Unlock()
		}
	}
	a.bed.log("advice", "%s: %d executors named, good: %v", body.Step, len(body.Workers), good)
	reply(w, http.StatusOK, object{"Good": good, "ValidMs": ticketValidity.Milliseconds()})
}

// valid reports whether a ticket of a step is valid at an executor.
func (a *advisor) valid(step, executor, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	key := step + " " + executor
	return ticket != "" && a.tickets[key] == ticket && time.Since(a.issued[key]) <= ticketValidity
}
