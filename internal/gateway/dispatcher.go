package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// dispatcher queues the requests of one instance and assigns them slots of targets. It makes the
// combination of an admission.Queue and a dispatch.Table safe for concurrent use.
type dispatcher struct {
	now func() time.Time
	// queueingBegan receives a value when requests remain queued after a dispatch and none did
	// after the dispatch before it.
	queueingBegan chan struct{}

	mu    sync.Mutex
	queue *admission.Queue
	table *dispatch.Table
	// hadQueued is true if requests were queued after the last dispatch.
	hadQueued bool
}

// pendingRequest is a request that waits for a slot or occupies one.
type pendingRequest struct {
	request *admission.Request
	// idempotent is true if the request may be sent again although it may have run.
	idempotent bool
	// avoidTarget is the id of the target of the last attempt, or empty.
	avoidTarget string
	// assigned receives one assignment each time the request is queued.
	assigned chan assignment
	// queued is true while the request is in the queue. Guarded by dispatcher.mu.
	queued bool
}

// assignment is the result of queueing a request: a slot of a target, or a rejection if
// rejection is not nil. assignedAt is the time at which the slot was assigned.
type assignment struct {
	target     platform.Instance
	rejection  *admission.Rejection
	assignedAt time.Time
}

// errNoTarget means that no target is listed, apart from those that are leaving.
var errNoTarget = errors.New("gateway: no target is listed")

// admit queues a request and waits for its assignment. It returns the context's error if ctx
// ends first. isRetry is false for the first attempt of a request.
func (d *dispatcher) admit(ctx context.Context, p *pendingRequest, isRetry bool) (assignment, error) {
	d.enqueue(p, isRetry)
	select {
	case a := <-p.assigned:
		return a, nil
	case <-ctx.Done():
	}
	if d.withdraw(p) {
		return assignment{}, ctx.Err()
	}
	// The assignment was made at the same time. It is returned so that exchange.run either uses or
	// releases the slot.
	return <-p.assigned, nil
}

func (d *dispatcher) enqueue(p *pendingRequest, isRetry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	_, total := d.table.Capacity(now)
	p.queued = true
	if isRetry {
		d.queue.Requeue(now, p.request)
	} else {
		if len(d.table.Targets()) == 0 {
			d.rejectLocked([]admission.Rejection{{Request: p.request, Reason: errNoTarget, RetryAfter: time.Second}})
			return
		}
		d.rejectLocked(d.queue.Enqueue(now, p.request, total))
	}
	d.dispatchLocked(now)
}

// withdraw removes a request from the queue. It returns false if the request is not queued.
func (d *dispatcher) withdraw(p *pendingRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !p.queued {
		return false
	}
	p.queued = false
	d.queue.Cancel(p.request)
	return true
}

// release frees the slot of an ended attempt, records the result and dispatches queued requests.
// It reports whether the result ejected the target. callerHash identifies the caller
// of a failure; it is not used for dispatch.Abandoned.
func (d *dispatcher) release(p *pendingRequest, a assignment, verdict dispatch.Verdict, callerHash uint64) (ejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	serviceTime := now.Sub(a.assignedAt)
	expectedServiceTime := d.queue.ServiceTime(p.request.Flow)
	ejected = d.table.Finish(now, a.target.ID, dispatch.Result{
		Verdict: verdict, ServiceTime: serviceTime, ExpectedServiceTime: expectedServiceTime, Caller: callerHash,
	})
	d.queue.Finish(now, p.request, serviceTime, verdict == dispatch.Succeeded)
	d.dispatchLocked(now)
	return ejected
}

// expireAndDispatch rejects queued requests whose deadline has passed and dispatches the others
// as far as slots are free.
func (d *dispatcher) expireAndDispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.rejectLocked(d.queue.Expire(now))
	d.table.RefreshAllowances()
	d.dispatchLocked(now)
}

// hasQueued reports whether requests are queued.
func (d *dispatcher) hasQueued() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Queued() > 0
}

// dispatchLocked assigns free slots and signals queueingBegan if requests remain queued and none
// did after the last dispatch.
// d.mu must be held.
func (d *dispatcher) dispatchLocked(now time.Time) {
	d.assignSlotsLocked(now)
	queueingBegins := d.queue.Queued() > 0 && !d.hadQueued
	d.hadQueued = d.queue.Queued() > 0
	if queueingBegins {
		select {
		case d.queueingBegan <- struct{}{}:
		default:
		}
	}
}

// assignSlotsLocked assigns free slots to queued requests. d.mu must be held.
func (d *dispatcher) assignSlotsLocked(now time.Time) {
	free, total := d.table.Capacity(now)
	for free > 0 {
		next, rejected := d.queue.Next(now, free, total)
		d.rejectLocked(rejected)
		if next == nil {
			return
		}
		p := next.UserData.(*pendingRequest)
		target, ok := d.table.Pick(now, p.avoidTarget, p.idempotent)
		if !ok {
			// This cannot happen, because Capacity and Pick apply the same limits.
			panic("gateway: no target could be picked although a slot is free")
		}
		free--
		p.queued = false
		p.assigned <- assignment{target: target, assignedAt: now}
	}
}

// rejectLocked delivers rejections to the waiting requests. d.mu must be held.
func (d *dispatcher) rejectLocked(rejections []admission.Rejection) {
	for _, r := range rejections {
		p := r.Request.UserData.(*pendingRequest)
		p.queued = false
		p.assigned <- assignment{rejection: &r}
	}
}
