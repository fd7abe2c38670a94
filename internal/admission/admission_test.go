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

var epoch = time.Unix(1_000_000, 0)

func flow(org, kind, caller string) Flow { return Flow{Organisation: org, Kind: kind, Caller: caller} }

func enqueue(q *Queue, now time.Time, f Flow, urgency int) *Request {
	r := &Request{Flow: f, Urgency: urgency, Deadline: now.Add(time.Hour)}
	q.Enqueue(now, r, 8)
	return r
}

// serve dispatches count requests one at a time, each holding a slot for the given time, and
// counts them by flow.
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

// Guards against a caller, kind or organisation that gains share by queueing more.
func TestShareDoesNotGrowWithQueue(t *testing.T) {
	for name, pair := range map[string][2]Flow{
		"caller":       {flow("o", "k", "big"), flow("o", "k", "small")},
		"kind":         {flow("o", "flood", "c"), flow("o", "other", "c")},
		"organisation": {flow("big", "k", "c"), flow("small", "k", "c")},
	} {
		t.Run(name, func(t *testing.T) {
			q := New(1)
			for range 200 {
				enqueue(q, epoch, pair[0], 0)
			}
			for range 20 {
				enqueue(q, epoch, pair[1], 7)
			}
			served := serve(q, epoch, 40, time.Second)
			require.Equal(t, 20, served[pair[0]])
			require.Equal(t, 20, served[pair[1]])
		})
	}
}

// Guards against charging requests instead of the time they hold a slot.
func TestShareIsOfSlotTime(t *testing.T) {
	q := New(1)
	long, short := flow("o", "k", "long"), flow("o", "k", "short")
	used := make(map[Flow]time.Duration)
	for range 250 {
		enqueue(q, epoch, long, 3)
		enqueue(q, epoch, short, 3)
	}
	now := epoch
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

// Guards against urgent requests of a caller that starve its other ones.
func TestUrgencyOrdersWithoutStarving(t *testing.T) {
	q := New(1)
	f := flow("o", "k", "c")
	leastUrgent := enqueue(q, epoch, f, 7)
	urgent := enqueue(q, epoch, f, 0)
	first, _ := q.Next(epoch, 8, 8)
	require.Same(t, urgent, first)
	now := epoch
	for now.Before(epoch.Add(7*urgencyStep + time.Second)) {
		now = now.Add(time.Second)
		enqueue(q, now, f, 0)
		if r, _ := q.Next(now, 8, 8); r == leastUrgent {
			return
		}
	}
	t.Fatal("the request of urgency 7 was not dispatched within 7 steps")
}

// Guards against a flood that takes the last free slots from a class below its share.
func TestReserveIsKeptForOthers(t *testing.T) {
	q := New(1)
	const total = 32
	enqueue(q, epoch, flow("o", "other", "c"), 3)
	first, _ := q.Next(epoch, total, total)
	q.Finish(epoch, first, time.Second, true)
	for range 100 {
		enqueue(q, epoch, flow("o", "flood", "c"), 0)
	}
	free := total
	for r, _ := q.Next(epoch, free, total); r != nil; r, _ = q.Next(epoch, free, total) {
		free--
	}
	require.Equal(t, reserveSize(total), free)
	enqueue(q, epoch, flow("o", "other", "c"), 3)
	r, _ := q.Next(epoch, free, total)
	require.NotNil(t, r)
	require.Equal(t, "other", r.Flow.Kind)
}

// Guards against state that grows with made-up kinds and callers, and against idle state
// that is kept for ever.
func TestStateIsBounded(t *testing.T) {
	q := New(1)
	q.SetPolicy(resource.AdmissionPolicy{QueueLimit: 100})
	for i := range 1000 {
		enqueue(q, epoch, flow("o", fmt.Sprintf("kind-%d", i), fmt.Sprintf("caller-%d", i)), 3)
	}
	require.LessOrEqual(t, q.Queued(), 100)
	require.LessOrEqual(t, len(q.root.children[0].children), maxKinds+1)
	serve(q, epoch, 1000, 0)
	q.Expire(epoch.Add(activeWindow))
	require.Zero(t, q.Flows())
}

// Guards against a full queue that shuts out callers with few requests.
func TestFullQueueEvictsTheLongest(t *testing.T) {
	q := New(1)
	q.SetPolicy(resource.AdmissionPolicy{QueueLimit: 10, CallerQueueLimit: 10})
	for range 10 {
		enqueue(q, epoch, flow("o", "k", "big"), 3)
	}
	rejected := q.Enqueue(epoch, &Request{Flow: flow("o", "k", "small"), Deadline: epoch.Add(time.Hour)}, 8)
	require.Len(t, rejected, 1)
	require.Equal(t, "big", rejected[0].Request.Flow.Caller)
	require.ErrorIs(t, rejected[0].Reason, ErrQueueFull)
}

// Guards against requests that wait although their deadline cannot be met, and against
// advice that brings all refused callers back at once.
func TestDeadlineIsRefusedEarlyWithJitter(t *testing.T) {
	q := New(1)
	f := flow("o", "k", "c")
	enqueue(q, epoch, f, 3)
	r, _ := q.Next(epoch, 1, 1)
	q.Finish(epoch, r, 10*time.Second, true)
	for range 10 {
		enqueue(q, epoch, f, 3)
	}
	advice := make(map[time.Duration]bool)
	for range 10 {
		rejected := q.Enqueue(epoch, &Request{Flow: f, Deadline: epoch.Add(12 * time.Second)}, 1)
		require.Len(t, rejected, 1)
		require.ErrorIs(t, rejected[0].Reason, ErrDeadline)
		advice[rejected[0].RetryAfter] = true
	}
	require.Greater(t, len(advice), 5)
}

// Guards against a class that waits without bound: with a backlog in every class, each is
// served once in as many dispatches as there are classes, whatever its urgency and length.
func TestWaitIsBoundedForEveryClass(t *testing.T) {
	q := New(1)
	flows := make(map[Flow]int)
	for org := range 3 {
		for kind := range 3 {
			for caller := range 3 {
				f := flow(fmt.Sprint("o", org), fmt.Sprint("k", kind), fmt.Sprint("c", caller))
				flows[f] = 0
				for range 20 {
					enqueue(q, epoch, f, (org+kind+caller)%8)
				}
			}
		}
	}
	now := epoch
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

// queueModel checks that each request is decided once.
type queueModel struct {
	q               *Queue
	now             time.Time
	queued, running map[*Request]bool
	// enqueued has all requests in order, so that a choice among them is the same in every run.
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
	class := rapid.IntRange(0, 2)
	f := flow(fmt.Sprint("o", class.Draw(t, "org")), fmt.Sprint("k", class.Draw(t, "kind")), fmt.Sprint("c", class.Draw(t, "caller")))
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

// cancel withdraws a queued request, as when its caller goes away.
func (m *queueModel) cancel(t *rapid.T) {
	queued := m.inArrivalOrder(m.queued)
	if len(queued) == 0 {
		t.Skip()
	}
	r := rapid.SampledFrom(queued).Draw(t, "cancelled")
	m.q.Cancel(r)
	m.markDecided(t, r)
}

// Guards against requests that are lost or decided twice, and against queued requests that
// are never decided once arrivals end.
func TestConservation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{q: New(1), now: epoch, queued: make(map[*Request]bool), running: make(map[*Request]bool)}
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
				m.finish(time.Duration(rapid.IntRange(0, 5000).Draw(t, "held")) * time.Millisecond)
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
