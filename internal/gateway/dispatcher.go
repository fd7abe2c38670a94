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

// dispatcher holds the decisions of one instance under one lock: which request is next and which
// target it gets.
type dispatcher struct {
	now func() time.Time
	// backlogBegan is signalled when requests begin to wait for slots.
	backlogBegan chan struct{}

	mu        sync.Mutex
	queue     *admission.Queue
	table     *dispatch.Table
	hadQueued bool
}

// pendingRequest is one request's place in the decisions.
type pendingRequest struct {
	request    *admission.Request
	repeatable bool
	// avoidTarget is the target of the last failed attempt.
	avoidTarget string
	// assigned receives one decision for each time the request is queued.
	assigned chan assignment
	// queued is true while the request is in the queue. Guarded by core.mu.
	queued bool
}

// assignment is a slot of a target or a refusal.
type assignment struct {
	target    platform.Instance
	rejection *admission.Rejection
	startedAt time.Time
}

// errNoTarget means that no target is known.
var errNoTarget = errors.New("gateway: no target known")

// admit queues a request and waits for its decision. It returns the context's error if the
// caller leaves first.
func (d *dispatcher) admit(ctx context.Context, t *pendingRequest, isRetry bool) (assignment, error) {
	d.enqueue(t, isRetry)
	select {
	case a := <-t.assigned:
		return a, nil
	case <-ctx.Done():
	}
	if d.withdraw(t) {
		return assignment{}, ctx.Err()
	}
	// The decision was made at the same time. It is returned, so that its slot is given back.
	return <-t.assigned, nil
}

func (d *dispatcher) enqueue(t *pendingRequest, isRetry bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	_, total := d.table.Capacity(now)
	t.queued = true
	if isRetry {
		d.queue.Requeue(now, t.request)
	} else {
		if len(d.table.Targets()) == 0 {
			d.rejectLocked([]admission.Rejection{{Request: t.request, Reason: errNoTarget, RetryAfter: time.Second}})
			return
		}
		d.rejectLocked(d.queue.Enqueue(now, t.request, total))
	}
	d.dispatchLocked(now)
}

// withdraw takes a request out of the queue. It reports false if it is no longer queued.
func (d *dispatcher) withdraw(t *pendingRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !t.queued {
		return false
	}
	t.queued = false
	d.queue.Cancel(t.request)
	return true
}

// release gives the slot of an ended attempt back and starts the next request.
func (d *dispatcher) release(t *pendingRequest, a assignment, verdict dispatch.Verdict, caller uint64) (ejected bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	serviceTime := now.Sub(a.startedAt)
	expectedServiceTime := d.queue.ServiceTime(t.request.Flow)
	ejected = d.table.Finish(now, a.target.ID, dispatch.Result{
		Verdict: verdict, ServiceTime: serviceTime, ExpectedServiceTime: expectedServiceTime, Caller: caller,
	})
	d.queue.Finish(now, t.request, serviceTime, verdict == dispatch.Succeeded)
	d.dispatchLocked(now)
	return ejected
}

// expireAndDispatch makes all decisions that are possible now.
func (d *dispatcher) expireAndDispatch() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	d.rejectLocked(d.queue.Expire(now))
	d.table.RefreshAllowances()
	d.dispatchLocked(now)
}

// hasQueued reports whether requests wait.
func (d *dispatcher) hasQueued() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.queue.Queued() > 0
}

func (d *dispatcher) dispatchLocked(now time.Time) {
	d.assignSlotsLocked(now)
	backlogBegins := d.queue.Queued() > 0 && !d.hadQueued
	d.hadQueued = d.queue.Queued() > 0
	if backlogBegins {
		select {
		case d.backlogBegan <- struct{}{}:
		default:
		}
	}
}

func (d *dispatcher) assignSlotsLocked(now time.Time) {
	free, total := d.table.Capacity(now)
	for free > 0 {
		next, rejected := d.queue.Next(now, free, total)
		d.rejectLocked(rejected)
		if next == nil {
			return
		}
		t := next.UserData.(*pendingRequest)
		target, ok := d.table.Pick(now, t.avoidTarget, t.repeatable)
		if !ok {
			// Capacity and Pick apply the same limits, so this is not reached.
			panic("gateway: free slot without target")
		}
		free--
		t.queued = false
		t.assigned <- assignment{target: target, startedAt: now}
	}
}

func (d *dispatcher) rejectLocked(rejections []admission.Rejection) {
	for _, r := range rejections {
		t := r.Request.UserData.(*pendingRequest)
		t.queued = false
		t.assigned <- assignment{rejection: &r}
	}
}
