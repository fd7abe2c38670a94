// Package admission decides which queued request is dispatched next and which are refused.
// Requests are queued in a tree: organisation, kind of work, caller. Each level shares the
// slots in progress by weighted start-time fair queueing, and the charge is the time that
// requests held a slot. The package is pure: callers pass the time and hold their own lock.
package admission

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// ErrQueueFull means that the queue of the caller or of the instance is full.
var ErrQueueFull = errors.New("admission: queue full")

// ErrDeadline means that the request cannot be answered before its deadline.
var ErrDeadline = errors.New("admission: deadline cannot be met")

const (
	// urgencyStep is how much later a request counts as arrived for each step of urgency. It
	// bounds how long urgent requests of a caller can delay its others to 7 steps.
	urgencyStep = 2 * time.Second
	// activeWindow is how long a class keeps its reserve after its last request. It covers
	// the gaps between requests of a caller that sends a few a minute.
	activeWindow = 20 * time.Second
	// reserveDivisor is the inverse of the share of slots that is kept free for classes below
	// their share. With 64 slots it keeps 3, which absorb a burst while longer work drains.
	reserveDivisor = 24
	// reserveWindow is how long the reserve is kept after an arrival of a class within its
	// share. When all classes are above their share, the reserve would only lose capacity.
	reserveWindow = 2 * time.Second
	// weightSumTTL is how long sums of weights are kept. It is far below activeWindow.
	weightSumTTL = 100 * time.Millisecond
	// defaultServiceTime is the assumed time in a slot of a class without finished requests.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeGain is the weight of the newest sample in the learned time in a slot.
	serviceTimeGain = 0.1
	// maxServiceClasses bounds the table of learned times.
	maxServiceClasses = 1024
	// maxKinds bounds the kinds of one organisation that are told apart; the others share
	// the queue otherKind, so that made-up kinds cannot grow the state or a caller's share.
	maxKinds  = 16
	otherKind = "other"
	// maxRetryAfter and minRetryAfter bound the advice in a refusal.
	maxRetryAfter = 30 * time.Second
	minRetryAfter = time.Second
)

// Flow identifies a leaf of the tree.
type Flow struct {
	Organisation string
	Kind         string
	Caller       string
}

// Request is a request that waits for dispatch or is in progress.
type Request struct {
	ID   string
	Flow Flow
	// Urgency is 0 (most urgent) to 7.
	Urgency int
	// Deadline is the time until which an answer is useful.
	Deadline time.Time
	// UserData is kept for the caller of this package.
	UserData any

	arrivedAt        time.Time
	effectiveArrival time.Time
	sequence         uint64
	leaf             *node
	heapIndex        int
	charged          float64
}

// Rejection is a decision not to run a request.
type Rejection struct {
	Request *Request
	// Reason is ErrQueueFull or ErrDeadline.
	Reason error
	// RetryAfter is the advised wait, with jitter.
	RetryAfter time.Duration
}

// Queue holds the requests of one instance. It is not safe for concurrent use.
type Queue struct {
	policy       resource.AdmissionPolicy
	orgWeights   map[string]float64
	scales       map[Flow]float64
	root         *node
	random       *rand.Rand
	sequence     uint64
	totalSlots   int
	serviceTimes map[Flow]float64
	classOrder   []Flow
	// noneEligible is set while no queued request may take one of the last free slots, so that
	// arrivals need not search the tree again.
	noneEligible bool
	// withinShareAt is when a request of a class within its share last arrived.
	withinShareAt time.Time
}

// New returns an empty queue with the default policy.
func New(seed uint64) *Queue {
	return &Queue{
		policy:       resource.PolicySpec{}.WithDefaults().Admission,
		root:         &node{weight: 1},
		random:       rand.New(rand.NewPCG(seed, 1)),
		serviceTimes: make(map[Flow]float64),
	}
}

// SetPolicy puts a policy in force. Queued requests stay queued.
func (q *Queue) SetPolicy(p resource.AdmissionPolicy) {
	q.policy = resource.PolicySpec{Admission: p}.WithDefaults().Admission
	q.updateWeights()
}

// SetOrganisationWeights sets the shares of organisations; those not named have weight 1.
func (q *Queue) SetOrganisationWeights(weights map[string]float64) {
	q.orgWeights = weights
	q.updateWeights()
}

// SetScales sets factors for the shares of flows. What is not named has the factor 1. They keep a caller from gaining a larger share by
// spreading over instances.
func (q *Queue) SetScales(scales map[Flow]float64) {
	q.scales = scales
	q.updateWeights()
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return q.root.queued }

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.root.running }

// Flows returns the number of flows with state.
func (q *Queue) Flows() int {
	flows := 0
	q.root.eachLeaf(func(*node) { flows++ })
	return flows
}

// Demand returns the requests queued and in progress of each flow.
func (q *Queue) Demand() map[Flow]int {
	demand := make(map[Flow]int)
	q.root.eachLeaf(func(n *node) {
		if n.queued+n.running > 0 {
			demand[n.flow] = n.queued + n.running
		}
	})
	return demand
}

// Enqueue queues a request. It returns the requests that are refused because of it, which may
// be the request itself. total is the number of slots that this instance may use.
func (q *Queue) Enqueue(now time.Time, r *Request, total int) []Rejection {
	q.totalSlots = total
	r.arrivedAt = now
	r.effectiveArrival = now.Add(time.Duration(r.Urgency) * urgencyStep)
	q.sequence++
	r.sequence = q.sequence
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(time.Duration(q.policy.DefaultDeadlineMs) * time.Millisecond)
	}
	leaf := q.leafFor(now, r.Flow)
	wait := q.expectedWait(now, leaf, total)
	if leaf.queued >= q.policy.CallerQueueLimit {
		return []Rejection{q.reject(r, ErrQueueFull, wait)}
	}
	if now.Add(q.timeNeeded(leaf.flow, wait)).After(r.Deadline) {
		return []Rejection{q.reject(r, ErrDeadline, wait)}
	}
	var rejected []Rejection
	if q.root.queued >= q.policy.QueueLimit {
		fullest := q.mostBacklogged(leaf)
		if fullest == leaf {
			return []Rejection{q.reject(r, ErrQueueFull, wait)}
		}
		evicted := fullest.lastRequest()
		q.Cancel(evicted)
		rejected = append(rejected, q.reject(evicted, ErrQueueFull, q.expectedWait(now, fullest, total)))
	}
	q.push(leaf, r)
	if leaf.withinShare(leaf.share(now) * float64(total)) {
		q.noneEligible = false
		q.withinShareAt = now
	}
	return rejected
}

// Requeue queues a request again after a failed attempt that may be repeated. It keeps its
// place by arrival and is not refused for lack of room, since it was admitted before.
func (q *Queue) Requeue(now time.Time, r *Request) {
	q.push(q.leafFor(now, r.Flow), r)
	q.noneEligible = false
}

// Next removes the request to dispatch next, or returns nil if none may take a slot. free is
// the number of free slots out of total. Requests whose deadline has passed are refused.
func (q *Queue) Next(now time.Time, free, total int) (*Request, []Rejection) {
	q.totalSlots = total
	var rejected []Rejection
	if free > q.reserve(now, total) {
		q.noneEligible = false
	}
	for free > 0 && q.root.queued > 0 && !q.noneEligible {
		leaf := q.chooseLeaf(now, free, total)
		if leaf == nil {
			q.noneEligible = true
			break
		}
		r := leaf.pop()
		if q.tooLate(now, r) {
			q.removeIdle(now, leaf)
			rejected = append(rejected, q.reject(r, ErrDeadline, minRetryAfter))
			continue
		}
		r.charged = q.serviceTime(leaf.flow).Seconds()
		leaf.start(now, r.charged)
		return r, rejected
	}
	return nil, rejected
}

// Expire refuses queued requests whose deadline has passed and forgets idle callers.
func (q *Queue) Expire(now time.Time) []Rejection {
	q.noneEligible = false
	var rejected []Rejection
	var leaves []*node
	q.root.eachLeaf(func(n *node) { leaves = append(leaves, n) })
	for _, leaf := range leaves {
		for _, r := range leaf.expired(now) {
			q.Cancel(r)
			rejected = append(rejected, q.reject(r, ErrDeadline, minRetryAfter))
		}
		q.removeIdle(now, leaf)
	}
	return rejected
}

// Finish ends a request in progress that held a slot for the given time. The flow's charge
// is corrected from the expected to the real time. Only answered requests teach the expected
// time, since failures can be far shorter.
func (q *Queue) Finish(now time.Time, r *Request, serviceTime time.Duration, succeeded bool) {
	q.noneEligible = false
	leaf := r.leaf
	leaf.finish(now, serviceTime.Seconds()-r.charged)
	r.charged = 0
	if succeeded {
		q.updateServiceTime(leaf.flow, serviceTime)
	}
}

// Cancel removes a queued request, for example because its caller left.
func (q *Queue) Cancel(r *Request) {
	r.leaf.remove(r)
}

// Share returns the number of slots out of total that a flow is entitled to now.
func (q *Queue) Share(now time.Time, f Flow, total int) float64 {
	leaf := q.leafFor(now, f)
	return leaf.share(now) * float64(total)
}

// ServiceTime returns the learned mean time in a slot of a flow's class.
func (q *Queue) ServiceTime(f Flow) time.Duration { return q.serviceTime(f) }

func (q *Queue) reject(r *Request, reason error, wait time.Duration) Rejection {
	// Jitter between half and one and a half keeps refused callers from returning together.
	// The bound applies before it, since long waits would otherwise all become the same.
	const jitter = 0.5
	base := min(max(wait, minRetryAfter), maxRetryAfter*2/3)
	wait = time.Duration(float64(base) * (1 - jitter + 2*jitter*q.random.Float64()))
	return Rejection{Request: r, Reason: reason, RetryAfter: wait}
}

// expectedWait estimates the wait at the end of a leaf's queue from the slots it can count on.
func (q *Queue) expectedWait(now time.Time, leaf *node, total int) time.Duration {
	slots := max(leaf.share(now)*float64(total), float64(leaf.running), 1)
	rounds := float64(leaf.queued) / slots
	return time.Duration(rounds * float64(q.serviceTime(leaf.flow)))
}

func classOf(f Flow) Flow { return Flow{Organisation: f.Organisation, Kind: f.Kind} }

func (q *Queue) serviceTime(f Flow) time.Duration {
	if seconds, known := q.serviceTimes[classOf(f)]; known {
		return time.Duration(seconds * float64(time.Second))
	}
	return defaultServiceTime
}

// timeNeeded is the time that an answer needs after the given expected wait. A request that does
// not wait is given the benefit of the doubt, since many need less than the mean. One that
// waits is refused with a margin, since work that ends after its deadline is lost.
func (q *Queue) timeNeeded(f Flow, wait time.Duration) time.Duration {
	service := q.serviceTime(f)
	if _, known := q.serviceTimes[classOf(f)]; !known {
		return wait
	}
	if wait < service {
		return wait + service/4
	}
	return wait + wait/4 + 2*service
}

// tooLate reports whether a request that is next can no longer be answered in time. After a
// long wait there are others behind it that can, so the whole mean is asked for.
func (q *Queue) tooLate(now time.Time, r *Request) bool {
	service := q.serviceTime(r.leaf.flow)
	left := r.Deadline.Sub(now)
	if now.Sub(r.arrivedAt) < service {
		return left < service/4
	}
	return left < service+service/2
}

func (q *Queue) updateServiceTime(f Flow, serviceTime time.Duration) {
	key := classOf(f)
	mean, known := q.serviceTimes[key]
	if !known {
		if len(q.classOrder) == maxServiceClasses {
			delete(q.serviceTimes, q.classOrder[0])
			q.classOrder = q.classOrder[1:]
		}
		q.classOrder = append(q.classOrder, key)
		q.serviceTimes[key] = serviceTime.Seconds()
		return
	}
	q.serviceTimes[key] = mean + serviceTimeGain*(serviceTime.Seconds()-mean)
}

// chooseLeaf returns the leaf whose request takes the next slot.
func (q *Queue) chooseLeaf(now time.Time, free, total int) *node {
	if free > q.reserve(now, total) {
		return q.root.chooseLeaf()
	}
	return q.root.chooseLeafWithinShare(now, float64(total))
}

// reserve returns the number of slots that are kept free for classes within their share.
func (q *Queue) reserve(now time.Time, total int) int {
	if now.Sub(q.withinShareAt) >= reserveWindow {
		return 0
	}
	return reserveSize(total)
}

// reserveSize is rounded to the nearest number; half a slot is rounded down, since a reserve
// of one is a twelfth of the capacity there.
func reserveSize(total int) int { return (total + reserveDivisor/2 - 1) / reserveDivisor }
