package measure

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// requestEpoch is the start of virtual time.
var requestEpoch = time.Unix(1_000_000_000, 0)

// requestDeployment is the size of a simulated system.
type requestDeployment struct {
	name      string
	instances int
	targets   int
	slots     int
	orgs      int
	// callerDelay and peerDelay are one-way network delays: between callers and instances, and
	// between instances or from an instance to a target.
	callerDelay time.Duration
	peerDelay   time.Duration
}

// requestDeployments returns the deployments of docs/design.md. For the design size, the document
// gives neither the number of targets nor that of instances; 160 and 20 are assumptions.
func requestDeployments() []requestDeployment {
	return []requestDeployment{
		{"tumaini", 6, 48, 8, 4, 3 * time.Millisecond, 1500 * time.Microsecond},
		{"hamnverket", 6, 48, 8, 4, time.Millisecond, time.Millisecond},
		{"design", 20, 160, 8, 130, 3 * time.Millisecond, 1500 * time.Microsecond},
	}
}

// capacity returns the number of slots of all targets.
func (d requestDeployment) capacity() float64 { return float64(d.targets * d.slots) }

func (d requestDeployment) instanceIDs() []string {
	ids := make([]string, d.instances)
	for i := range ids {
		ids[i] = fmt.Sprintf("entry-%02d", i)
	}
	return ids
}

// targetRows returns the targets as entries of the platform's list of instances.
func (d requestDeployment) targetRows() []platform.Instance {
	rows := make([]platform.Instance, d.targets)
	for i := range rows {
		rows[i] = platform.Instance{
			ID: fmt.Sprintf("target-%03d", i), Kind: platform.KindTarget, State: platform.StateLive,
			Slots: d.slots, Connections: 64,
		}
	}
	return rows
}

// requestSource sends requests of one flow. The times between requests are exponentially
// distributed.
type requestSource struct {
	flow    admission.Flow
	urgency int
	// rate is in requests per second.
	rate float64
	// service is the mean service time, without network delays.
	service time.Duration
	// sigma is the standard deviation of the logarithm of the service time, which is
	// log-normally distributed.
	sigma      float64
	deadline   time.Duration
	idempotent bool
	// group is the name under which the results of several sources are added up.
	group string
	// instances contains the indexes of the instances that the source uses. Empty means all.
	instances []int
	// from and to are when the source starts and stops, as time since the start of the
	// simulation. A zero to means that it does not stop.
	from, to time.Duration
}

// load returns the mean number of slots that the source needs.
func (s requestSource) load() float64 { return s.rate * s.service.Seconds() }

// simRequest is one request of the simulation.
type simRequest struct {
	admission.Request
	source   *requestSource
	sent     time.Time
	service  time.Duration
	attempts int
	instance int
	// avoid is the target of the latest failed attempt.
	avoid string
	// started is when the latest attempt started.
	started time.Time
	done    bool
}

// requestPolicy makes the decisions of one instance.
type requestPolicy interface {
	// arrive is called when a request reaches the instance.
	arrive(r *simRequest)
	// finished is called when the result of an attempt at the target reaches the instance.
	finished(r *simRequest, target string, ok bool)
	// tick is called with the period requestTick.
	tick()
}

// requestTick is the period at which the policies are called, also without a change.
const requestTick = 100 * time.Millisecond

// requestSim simulates sources, instances and targets in virtual time.
type requestSim struct {
	deployment requestDeployment
	now        time.Time
	events     requestEvents
	sequence   uint64
	random     *rand.Rand
	policies   []requestPolicy
	targets    map[string]*simTarget
	result     requestResult
	warmup     time.Duration
}

// simTarget is a target of the simulation.
type simTarget struct {
	slots int
	inUse int
	// failing means that every request fails.
	failing bool
	// slowdown is the factor by which requests take longer than drawn.
	slowdown float64
}

// requestGroup contains the results of one group of sources.
type requestGroup struct {
	sent      int
	answered  int
	rejected  int
	failed    int
	latencies []time.Duration
}

// requestResult contains the results of one simulation.
type requestResult struct {
	groups        map[string]*requestGroup
	firstAttempts int
	attempts      int
	// overLimit counts the attempts that started at a target without a free slot.
	overLimit int
	// pending is the number of requests that have not ended.
	pending int
	// busy is the total service time of attempts, without network delays. useful is the part of it
	// that led to answers before the deadline. Both count only what ended after the warm-up.
	busy, useful time.Duration
}

func newRequestSim(d requestDeployment, seed uint64) *requestSim {
	s := &requestSim{
		deployment: d, now: requestEpoch, random: rand.New(rand.NewPCG(seed, 7)),
		targets: make(map[string]*simTarget), result: requestResult{groups: make(map[string]*requestGroup)},
	}
	for _, row := range d.targetRows() {
		s.targets[row.ID] = &simTarget{slots: row.Slots, slowdown: 1}
	}
	return s
}

// elapsed returns the virtual time since the start.
func (s *requestSim) elapsed() time.Duration { return s.now.Sub(requestEpoch) }

// after schedules an action for the time d from now.
func (s *requestSim) after(d time.Duration, action func()) {
	s.sequence++
	heap.Push(&s.events, requestEvent{at: s.now.Add(d), sequence: s.sequence, action: action})
}

// run simulates the sources for the given duration and returns the result.
func (s *requestSim) run(sources []requestSource, until time.Duration) requestResult {
	for i := range sources {
		src := &sources[i]
		if s.result.groups[src.group] == nil {
			s.result.groups[src.group] = &requestGroup{}
		}
		s.after(src.from+s.gap(src), func() { s.sendNext(src) })
	}
	s.after(requestTick, s.tick)
	end := requestEpoch.Add(until)
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		event := heap.Pop(&s.events).(requestEvent)
		s.now = event.at
		event.action()
	}
	for _, g := range s.result.groups {
		slices.Sort(g.latencies)
	}
	return s.result
}

// gap returns a random time between two requests of a source.
func (s *requestSim) gap(src *requestSource) time.Duration {
	return time.Duration(s.random.ExpFloat64() / src.rate * float64(time.Second))
}

func (s *requestSim) tick() {
	for _, p := range s.policies {
		p.tick()
	}
	s.after(requestTick, s.tick)
}

// sendNext sends one request of a source and schedules the next one.
func (s *requestSim) sendNext(src *requestSource) {
	if src.to > 0 && s.elapsed() >= src.to {
		return
	}
	s.after(s.gap(src), func() { s.sendNext(src) })
	instance := s.random.IntN(len(s.policies))
	if len(src.instances) > 0 {
		instance = src.instances[s.random.IntN(len(src.instances))]
	}
	// The mean of a log-normal value is exp(mu + sigma^2/2).
	scale := math.Exp(src.sigma*s.random.NormFloat64() - src.sigma*src.sigma/2)
	r := &simRequest{
		source: src, sent: s.now, instance: instance,
		service: time.Duration(float64(src.service) * scale),
	}
	r.Flow, r.Urgency, r.Deadline = src.flow, src.urgency, s.now.Add(src.deadline)
	r.UserData = r
	s.count(r, func(g *requestGroup) { g.sent++ })
	s.result.pending++
	s.after(s.deployment.callerDelay, func() { s.policies[instance].arrive(r) })
}

// count applies change to the group of a request, if the request was sent after the warm-up.
func (s *requestSim) count(r *simRequest, change func(*requestGroup)) {
	if r.sent.Sub(requestEpoch) >= s.warmup {
		change(s.result.groups[r.source.group])
	}
}

// attempt starts a request at a target and schedules the call of the policy's finished method.
func (s *requestSim) attempt(r *simRequest, target string) {
	r.attempts++
	s.result.attempts++
	if r.attempts == 1 {
		s.result.firstAttempts++
	}
	r.started = s.now
	t := s.targets[target]
	t.inUse++
	if t.inUse > t.slots {
		s.result.overLimit++
	}
	const failTime = time.Millisecond
	serviceTime, ok := time.Duration(float64(r.service)*t.slowdown), true
	if t.failing {
		serviceTime, ok = failTime, false
	}
	s.after(2*s.deployment.peerDelay+serviceTime, func() {
		t.inUse--
		if s.elapsed() >= s.warmup {
			s.result.busy += serviceTime
		}
		s.policies[r.instance].finished(r, target, ok)
	})
}

// answer ends a request with an answer. A request answered after the deadline counts as failed.
func (s *requestSim) answer(r *simRequest) {
	if s.elapsed() >= s.warmup && !s.now.After(r.Deadline) {
		s.result.useful += r.service
	}
	s.endRequest(r, func(g *requestGroup) {
		latency := s.now.Add(s.deployment.callerDelay).Sub(r.sent)
		g.latencies = append(g.latencies, latency)
		if s.now.After(r.Deadline) {
			g.failed++
			return
		}
		g.answered++
	})
}

func (s *requestSim) reject(r *simRequest) { s.endRequest(r, func(g *requestGroup) { g.rejected++ }) }

func (s *requestSim) fail(r *simRequest) { s.endRequest(r, func(g *requestGroup) { g.failed++ }) }

// endRequest ends a request and applies change to its group. It panics if the request has already
// ended.
func (s *requestSim) endRequest(r *simRequest, change func(*requestGroup)) {
	if r.done {
		panic("measure: request ended twice")
	}
	r.done = true
	s.result.pending--
	s.count(r, change)
}

// p99 returns the 99th percentile of the latency of a group. If the number of latencies is a
// multiple of 100, it is one rank higher than that of jobsPercentile.
func (g *requestGroup) p99() time.Duration {
	if len(g.latencies) == 0 {
		return 0
	}
	return g.latencies[min(len(g.latencies)-1, len(g.latencies)*99/100)]
}

type requestEvent struct {
	at       time.Time
	sequence uint64
	action   func()
}

// requestEvents is a heap of events, ordered by time and then by the order of scheduling.
type requestEvents []requestEvent

// Len implements heap.Interface.
func (h requestEvents) Len() int { return len(h) }

// Less implements heap.Interface.
func (h requestEvents) Less(i, j int) bool {
	if c := h[i].at.Compare(h[j].at); c != 0 {
		return c < 0
	}
	return h[i].sequence < h[j].sequence
}

// Swap implements heap.Interface.
func (h requestEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *requestEvents) Push(x any) { *h = append(*h, x.(requestEvent)) }

// Pop implements heap.Interface.
func (h *requestEvents) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
