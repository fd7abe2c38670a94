// Package admission queues requests, decides which one is dispatched next and rejects those that
// do not fit the queue or cannot meet their deadline. The queue is a tree with the levels
// organisation, kind of work and caller. The children of each node share slots by weighted
// start-time fair queueing, charged by service time: the time that a request occupies a slot.
// The package does no I/O and reads no clock: callers pass the current time and do the locking.
package admission

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// ErrQueueFull is the reason of a rejection because the queue of the flow or of the instance is
// full.
var ErrQueueFull = errors.New("admission: queue full")

// ErrDeadline is the reason of a rejection because the request cannot be completed before its
// deadline.
var ErrDeadline = errors.New("admission: deadline cannot be met")

const (
	// urgencyStep is added to a request's arrival time for each level of Request.Urgency.
	// Within the queue of one flow, requests are ordered by the sum. An urgent request can
	// therefore overtake requests that arrived at most 7 steps earlier.
	urgencyStep = 2 * time.Second
	// activeWindow is how long a node counts as active, and so keeps its share of the slots,
	// after its last request. It covers the gaps between requests of a caller that sends a few
	// per minute.
	activeWindow = 20 * time.Second
	// reserveDivisor is the inverse of the fraction of slots that is reserved for flows within
	// their share. Of 64 slots it reserves 3, which absorb a burst until long requests in progress end.
	reserveDivisor = 24
	// reserveWindow is how long slots are reserved after the arrival of a request whose flow is
	// within its share. While all flows exceed their share, a reserve would only waste capacity.
	reserveWindow = 2 * time.Second
	// weightSumTTL is how long a node caches the sum of the weights of its active children. It
	// is far below activeWindow.
	weightSumTTL = 100 * time.Millisecond
	// defaultServiceTime is assumed for a class without completed requests.
	defaultServiceTime = 100 * time.Millisecond
	// serviceTimeGain is the weight of the newest sample in the moving average of a class's
	// service time.
	serviceTimeGain = 0.1
	// maxServiceClasses bounds the number of classes with a stored average service time.
	maxServiceClasses = 1024
	// maxKinds is the maximum number of kinds of one organisation with a queue of their own.
	// Further kinds share the queue otherKind, so that callers cannot enlarge the state or
	// their share by inventing kinds.
	maxKinds  = 16
	otherKind = "other"
	// minRetryAfter and maxRetryAfter bound Rejection.RetryAfter: its mean is at least
	// minRetryAfter, and with jitter it lies between minRetryAfter/2 and maxRetryAfter.
	maxRetryAfter = 30 * time.Second
	minRetryAfter = time.Second
)

// Flow identifies the requests of one kind from one caller: a leaf of the queue's tree. The flows of
// one organisation and kind form a class, which has one average service time.
type Flow struct {
	Organisation string
	Kind         string
	Caller       string
}

// Request is a request that is queued or in progress, which means that it occupies a slot.
type Request struct {
	ID   string
	Flow Flow
	// Urgency is 0 (most urgent) to 7 (least urgent).
	Urgency int
	// Deadline is the time after which a response is useless. The zero value stands for the
	// policy's default deadline.
	Deadline time.Time
	// UserData is for use by the caller of this package, which does not read it.
	UserData any

	arrivedAt time.Time
	// effectiveArrival is arrivedAt plus urgencyStep for each level of Urgency.
	effectiveArrival time.Time
	sequence         uint64
	leaf             *node
	heapIndex        int
	// charged is the service time in seconds that the flow was charged at dispatch.
	charged float64
}

// Rejection is the decision not to run a request.
type Rejection struct {
	Request *Request
	// Reason is ErrQueueFull or ErrDeadline.
	Reason error
	// RetryAfter is how long the caller should wait before it tries again, with jitter.
	RetryAfter time.Duration
}

// Queue contains the queued requests of one instance and counts those in progress. It is not
// safe for concurrent use.
type Queue struct {
	policy     resource.AdmissionPolicy
	orgWeights map[string]float64
	scales     map[Flow]float64
	root       *node
	random     *rand.Rand
	sequence   uint64
	// totalSlots is the total in the last call of Enqueue or Next. It is not used.
	totalSlots int
	// serviceTimes has the average service time of each class in seconds, classOrder the classes
	// in the order in which they were added. The key of a class is a Flow without a caller.
	serviceTimes map[Flow]float64
	classOrder   []Flow
	// noneEligible is set when all free slots are reserved and no queued request may use a
	// reserved slot. It saves a search of the tree in each call of Next until that can change.
	noneEligible bool
	// withinShareAt is when the last request arrived whose flow was within its share.
	withinShareAt time.Time
}

// New returns an empty queue with the default policy. seed seeds the jitter of RetryAfter.
func New(seed uint64) *Queue {
	return &Queue{
		policy: resource.PolicySpec{}.WithDefaults().Admission,
		root:   &node{weight: 1},
		// Package dispatch uses another stream, so that equal seeds give different numbers there.
		random:       rand.New(rand.NewPCG(seed, 1)),
		serviceTimes: make(map[Flow]float64),
	}
}

// SetPolicy replaces the policy. Queued requests stay queued, even beyond new limits.
func (q *Queue) SetPolicy(p resource.AdmissionPolicy) {
	q.policy = resource.PolicySpec{Admission: p}.WithDefaults().Admission
	q.updateWeights()
}

// SetOrganisationWeights sets the weights of organisations. An organisation that is not in the
// map has the weight 1.
func (q *Queue) SetOrganisationWeights(weights map[string]float64) {
	q.orgWeights = weights
	q.updateWeights()
}

// SetScales sets the scales of flows. The scale of a flow is its weight within its kind of work at
// this instance; it is 1 for a flow that is not in the map. Scales below 1 keep a caller from gaining
// a larger share by sending requests to several instances.
func (q *Queue) SetScales(scales map[Flow]float64) {
	q.scales = scales
	q.updateWeights()
}

// Queued returns the number of queued requests.
func (q *Queue) Queued() int { return q.root.queued }

// Running returns the number of requests in progress.
func (q *Queue) Running() int { return q.root.running }

// Flows returns the number of leaves in the tree.
func (q *Queue) Flows() int {
	flows := 0
	q.root.eachLeaf(func(*node) { flows++ })
	return flows
}

// Demand returns the number of requests queued and in progress of each flow that has any.
func (q *Queue) Demand() map[Flow]int {
	demand := make(map[Flow]int)
	q.root.eachLeaf(func(n *node) {
		if n.queued+n.running > 0 {
			demand[n.flow] = n.queued + n.running
		}
	})
	return demand
}

// Enqueue queues a request. It returns the requests that it rejects: r itself or, when the queue of
// the instance is full, an evicted request of another flow, which has the largest backlog relative to
// its weight (see mostBacklogged). total is the number of slots that this instance may use.
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
	// The limit applies to each flow of a caller.
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

// Requeue queues a request again for a retry after a failed attempt, for which Finish must have been
// called. The request keeps its original arrival time in the order of its queue, and queue limits do
// not apply, since it was admitted before.
func (q *Queue) Requeue(now time.Time, r *Request) {
	q.push(q.leafFor(now, r.Flow), r)
	q.noneEligible = false
}

// Next removes and returns the request to dispatch next. It returns nil if no queued request may
// use a free slot. free is the number of free slots out of total. Requests that are next but can
// no longer meet their deadline are rejected and returned as the second result.
func (q *Queue) Next(now time.Time, free, total int) (*Request, []Rejection) {
	q.totalSlots = total
	var rejected []Rejection
	if free > q.reservedSlots(now, total) {
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

// Expire rejects queued requests whose deadline has passed and removes leaves that are idle for
// activeWindow.
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

// Finish records the end of a request that occupied a slot for serviceTime. The charge of its
// flow, which Next took from the expected service time, is corrected to serviceTime. Only
// successful requests update the expected service time, since failures can be far shorter.
func (q *Queue) Finish(now time.Time, r *Request, serviceTime time.Duration, succeeded bool) {
	q.noneEligible = false
	leaf := r.leaf
	leaf.finish(now, serviceTime.Seconds()-r.charged)
	r.charged = 0
	if succeeded {
		q.updateServiceTime(leaf.flow, serviceTime)
	}
}

// Cancel removes a queued request, for example because its caller disconnected.
func (q *Queue) Cancel(r *Request) {
	r.leaf.remove(r)
}

// Share returns the fair share of a flow now, as a number of slots out of total.
func (q *Queue) Share(now time.Time, f Flow, total int) float64 {
	leaf := q.leafFor(now, f)
	return leaf.share(now) * float64(total)
}

// ServiceTime returns the average service time of a flow's class (organisation and kind).
func (q *Queue) ServiceTime(f Flow) time.Duration { return q.serviceTime(f) }

func (q *Queue) reject(r *Request, reason error, wait time.Duration) Rejection {
	// A random factor between 0.5 and 1.5 keeps rejected callers from retrying at the same
	// time. The bounds apply before the factor, since otherwise all long waits would become
	// equal to the upper bound, which is therefore maxRetryAfter/(1+jitter).
	const jitter = 0.5
	base := min(max(wait, minRetryAfter), maxRetryAfter*2/3)
	wait = time.Duration(float64(base) * (1 - jitter + 2*jitter*q.random.Float64()))
	return Rejection{Request: r, Reason: reason, RetryAfter: wait}
}

// expectedWait estimates how long a request waits at the end of a leaf's queue. It assumes that
// the leaf has its share of the slots, or as many as it occupies now if these are more, and at
// least one.
func (q *Queue) expectedWait(now time.Time, leaf *node, total int) time.Duration {
	slots := max(leaf.share(now)*float64(total), float64(leaf.running), 1)
	rounds := float64(leaf.queued) / slots
	return time.Duration(rounds * float64(q.serviceTime(leaf.flow)))
}

// classOf returns the key of a flow's average service time: its organisation and kind.
func classOf(f Flow) Flow { return Flow{Organisation: f.Organisation, Kind: f.Kind} }

func (q *Queue) serviceTime(f Flow) time.Duration {
	if seconds, known := q.serviceTimes[classOf(f)]; known {
		return time.Duration(seconds * float64(time.Second))
	}
	return defaultServiceTime
}

// timeNeeded returns the time that must be left until the deadline of a request with the given
// expected wait. If the wait is shorter than the average service time, only a quarter of that time is
// added, since many requests take less than the average. Otherwise a quarter of the wait and twice
// the average service time are added as a margin, since work that ends after its deadline is wasted.
// Nothing is added for a class without completed requests.
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

// tooLate reports whether a request that is next should be rejected because it will probably not be
// completed by its deadline. If it waited for less than the average service time, a quarter of that
// must be left. After a longer wait, one and a half times the average must be left: a request that
// would end late is rejected, so that its slot serves one queued behind it that can still meet its
// deadline.
func (q *Queue) tooLate(now time.Time, r *Request) bool {
	service := q.serviceTime(r.leaf.flow)
	left := r.Deadline.Sub(now)
	if now.Sub(r.arrivedAt) < service {
		return left < service/4
	}
	return left < service+service/2
}

// updateServiceTime adds a sample to the moving average of a class. When maxServiceClasses classes
// are stored, a new class replaces the one that was added first.
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

// chooseLeaf returns the leaf whose request is dispatched next, or nil if only reserved slots are
// free and no backlogged leaf is within its share.
func (q *Queue) chooseLeaf(now time.Time, free, total int) *node {
	if free > q.reservedSlots(now, total) {
		return q.root.chooseLeaf()
	}
	return q.root.chooseLeafWithinShare(now, float64(total))
}

// reservedSlots returns the number of slots that are reserved now for flows within their share.
func (q *Queue) reservedSlots(now time.Time, total int) int {
	if now.Sub(q.withinShareAt) >= reserveWindow {
		return 0
	}
	return reserveSize(total)
}

// reserveSize returns total/reserveDivisor, rounded to the nearest integer. Half a slot is rounded
// down: at 12 slots a reserve of one would be a twelfth of the capacity.
func reserveSize(total int) int { return (total + reserveDivisor/2 - 1) / reserveDivisor }
