package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

var testStart = time.Unix(1_000_000, 0)

func flow(org, kind, caller string) Flow { return Flow{Organisation: org, Kind: kind, Caller: caller} }

func enqueue(q *Queue, now time.Time, f Flow, urgency int) *Request {
	r := &Request{Flow: f, Urgency: urgency, Deadline: now.Add(time.Hour)}
	q.Enqueue(now, r, 8)
	return r
}

// serve dispatches up to count requests one at a time, each with the given service time. It returns
// the number of dispatched requests of each flow.
func serve(q *Queue, now time.Time, count int, serviceTime time.Duration) map[Flow]int {
	served := make(map[Flow]int)
	for range count {
		r, _ := q.Next(now, 8, 8)
		if r == nil {
			break
		}
		served[r.Flow]++
		now = now.Add(serviceTime)
		q.Finish(now, r, serviceTime, true)
	}
	return served
}

// Guards against a caller, kind or organisation that gains a larger share by queueing more requests
// than others of equal weight.
func TestShareDoesNotGrowWithQueue(t *testing.T) {
	for name, pair := range map[string][2]Flow{
		"caller":       {flow("o", "k", "big"), flow("o", "k", "small")},
		"kind":         {flow("o", "flood", "c"), flow("o", "other", "c")},
		"organisation": {flow("big", "k", "c"), flow("small", "k", "c")},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for range 200 {
				enqueue(q, testStart, pair[0], 0)
			}
			for range 20 {
				enqueue(q, testStart, pair[1], 7)
			}
			served := serve(q, testStart, 40, time.Second)
			require.Equal(t, 20, served[pair[0]])
			require.Equal(t, 20, served[pair[1]])
		})
	}
}

// Guards against shares that are counted in requests instead of service time: a caller with
// requests that take ten times as long would get ten times the capacity.
func TestShareIsOfServiceTime(t *testing.T) {
	q := New(1)
	long, short := flow("o", "k", "long"), flow("o", "k", "short")
	used := make(map[Flow]time.Duration)
	for range 250 {
		enqueue(q, testStart, long, 3)
		enqueue(q, testStart, short, 3)
	}
	now := testStart
	for used[short]+used[long] < 100*time.Second {
		r, _ := q.Next(now, 8, 8)
		serviceTime := time.Second
		if r.Flow == long {
			serviceTime = 10 * time.Second
		}
		used[r.Flow] += serviceTime
		now = now.Add(serviceTime)
		q.Finish(now, r, serviceTime, true)
	}
	require.InDelta(t, used[long].Seconds(), used[short].Seconds(), 15)
}

// Guards against urgent requests of a caller that starve its less urgent ones.
func TestUrgencyOrdersWithoutStarving(t *testing.T) {
	q := New(1)
	f := flow("o", "k", "c")
	leastUrgent := enqueue(q, testStart, f, 7)
	urgent := enqueue(q, testStart, f, 0)
	first, _ := q.Next(testStart, 8, 8)
	require.Same(t, urgent, first)
	now := testStart
	for now.Before(testStart.Add(7*urgencyStep + time.Second)) {
		now = now.Add(time.Second)
		enqueue(q, now, f, 0)
		if r, _ := q.Next(now, 8, 8); r == leastUrgent {
			return
		}
	}
	t.Fatal("the request of urgency 7 was not dispatched within 7 steps")
}

// Guards against a flood of one kind of work that occupies all slots, so that a kind within its
// share finds none free.
func TestFloodDoesNotTakeReservedSlots(t *testing.T) {
	q := New(1)
	const total = 32
	enqueue(q, testStart, flow("o", "other", "c"), 3)
	first, _ := q.Next(testStart, total, total)
	q.Finish(testStart, first, time.Second, true)
	for range 100 {
		enqueue(q, testStart, flow("o", "flood", "c"), 0)
	}
	free := total
	for r, _ := q.Next(testStart, free, total); r != nil; r, _ = q.Next(testStart, free, total) {
		free--
	}
	require.Equal(t, reserveSize(total), free)
	enqueue(q, testStart, flow("o", "other", "c"), 3)
	r, _ := q.Next(testStart, free, total)
	require.NotNil(t, r)
	require.Equal(t, "other", r.Flow.Kind)
}

// Guards against memory that grows without bound when callers invent names of kinds and callers,
// and against idle flows that are never removed.
func TestStateIsBounded(t *testing.T) {
	q := New(1)
	q.SetPolicy(resource.AdmissionPolicy{QueueLimit: 100})
	for i := range 1000 {
		enqueue(q, testStart, flow("o", fmt.Sprintf("kind-%d", i), fmt.Sprintf("caller-%d", i)), 3)
	}
	require.LessOrEqual(t, q.Queued(), 100)
	require.LessOrEqual(t, len(q.root.children[0].children), maxKinds+1)
	serve(q, testStart, 1000, 0)
	q.Expire(testStart.Add(activeWindow))
	require.Zero(t, q.Flows())
}

// Guards against a full queue that rejects callers with few requests because another caller filled
// it.
func TestFullQueueEvictsFromLongestBacklog(t *testing.T) {
	q := New(1)
	q.SetPolicy(resource.AdmissionPolicy{QueueLimit: 10, CallerQueueLimit: 10})
	for range 10 {
		enqueue(q, testStart, flow("o", "k", "big"), 3)
	}
	rejected := q.Enqueue(testStart, &Request{Flow: flow("o", "k", "small"), Deadline: testStart.Add(time.Hour)}, 8)
	require.Len(t, rejected, 1)
	require.Equal(t, "big", rejected[0].Request.Flow.Caller)
	require.ErrorIs(t, rejected[0].Reason, ErrQueueFull)
}

// Guards against requests that are queued although their deadline cannot be met, and against equal
// values of RetryAfter, with which all rejected callers would retry at the same time.
func TestMissedDeadlineIsRejectedEarlyWithJitter(t *testing.T) {
	q := New(1)
	f := flow("o", "k", "c")
	enqueue(q, testStart, f, 3)
	r, _ := q.Next(testStart, 1, 1)
	q.Finish(testStart, r, 10*time.Second, true)
	for range 10 {
		enqueue(q, testStart, f, 3)
	}
	retryAfters := make(map[time.Duration]bool)
	for range 10 {
		rejected := q.Enqueue(testStart, &Request{Flow: f, Deadline: testStart.Add(12 * time.Second)}, 1)
		require.Len(t, rejected, 1)
		require.ErrorIs(t, rejected[0].Reason, ErrDeadline)
		retryAfters[rejected[0].RetryAfter] = true
	}
	require.Greater(t, len(retryAfters), 5)
}

// Guards against a flow that waits without bound. While each of n flows has queued requests, each
// flow is served at least once in any 2n dispatches, whatever the urgency of its requests.
func TestWaitIsBoundedForEveryFlow(t *testing.T) {
	q := New(1)
	flows := make(map[Flow]int)
	for org := range 3 {
		for kind := range 3 {
			for caller := range 3 {
				f := flow(fmt.Sprint("o", org), fmt.Sprint("k", kind), fmt.Sprint("c", caller))
				flows[f] = 0
				for range 20 {
					enqueue(q, testStart, f, (org+kind+caller)%8)
				}
			}
		}
	}
	now := testStart
	for i := 1; i <= 10*len(flows); i++ {
		r, _ := q.Next(now, 8, 8)
		flows[r.Flow] = i
		now = now.Add(time.Second)
		q.Finish(now, r, time.Second, true)
		for f, last := range flows {
			require.LessOrEqual(t, i-last, 2*len(flows), "%v", f)
		}
	}
}

// queueModel drives a queue and checks that each request is decided exactly once: dispatched,
// rejected or cancelled.
type queueModel struct {
	q               *Queue
	now             time.Time
	queued, running map[*Request]bool
	// enqueued has all requests in the order of arrival. Choices are made from it instead of the
	// maps, whose random order would make runs irreproducible.
	enqueued []*Request
}

// inArrivalOrder returns the requests of a set in the order of their arrival.
func (m *queueModel) inArrivalOrder(set map[*Request]bool) []*Request {
	return slices.DeleteFunc(slices.Clone(m.enqueued), func(r *Request) bool { return !set[r] })
}

const modelSlots = 8

func (m *queueModel) markDecided(t *rapid.T, r *Request) {
	if !m.queued[r] {
		t.Fatalf("a request that was not queued was decided")
	}
	delete(m.queued, r)
}

func (m *queueModel) reject(t *rapid.T, rejections []Rejection) {
	for _, r := range rejections {
		m.markDecided(t, r.Request)
	}
}

func (m *queueModel) enqueue(t *rapid.T) {
	index := rapid.IntRange(0, 2)
	f := flow(fmt.Sprint("o", index.Draw(t, "org")), fmt.Sprint("k", index.Draw(t, "kind")), fmt.Sprint("c", index.Draw(t, "caller")))
	deadline := m.now.Add(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
	r := &Request{Flow: f, Urgency: rapid.IntRange(0, 7).Draw(t, "urgency"), Deadline: deadline}
	m.queued[r] = true
	m.enqueued = append(m.enqueued, r)
	m.reject(t, m.q.Enqueue(m.now, r, modelSlots))
}

func (m *queueModel) dispatch(t *rapid.T) {
	r, rejected := m.q.Next(m.now, modelSlots-len(m.running), modelSlots)
	m.reject(t, rejected)
	if r != nil {
		m.markDecided(t, r)
		m.running[r] = true
	}
}

func (m *queueModel) finish(serviceTime time.Duration) {
	if running := m.inArrivalOrder(m.running); len(running) > 0 {
		m.q.Finish(m.now, running[0], serviceTime, true)
		delete(m.running, running[0])
	}
}

// cancel removes a queued request, as happens when its caller disconnects.
func (m *queueModel) cancel(t *rapid.T) {
	queued := m.inArrivalOrder(m.queued)
	if len(queued) == 0 {
		t.Skip()
	}
	r := rapid.SampledFrom(queued).Draw(t, "cancelled")
	m.q.Cancel(r)
	m.markDecided(t, r)
}

// Guards against requests that are lost or decided twice under any order of events, and against
// queued requests that are never decided after arrivals have ended.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{q: New(1), now: testStart, queued: make(map[*Request]bool), running: make(map[*Request]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if m.q.Queued() != len(m.queued) || m.q.Running() != len(m.running) {
					t.Fatalf("queued %d, want %d; running %d, want %d", m.q.Queued(), len(m.queued), m.q.Running(), len(m.running))
				}
			},
			"arrive":   m.enqueue,
			"dispatch": m.dispatch,
			"cancel":   m.cancel,
			"finish": func(t *rapid.T) {
				m.finish(time.Duration(rapid.IntRange(0, 5000).Draw(t, "serviceTime")) * time.Millisecond)
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
				m.reject(t, m.q.Expire(m.now))
			},
		})
		for range len(m.queued) {
			for len(m.running) > 0 {
				m.finish(time.Second)
			}
			m.dispatch(t)
		}
		if len(m.queued) > 0 {
			t.Fatalf("%d requests were never decided", len(m.queued))
		}
	})
}
