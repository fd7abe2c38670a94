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

// core holds the decisions of one instance under one lock: which request is next and which
// target it gets.
type core struct {
	now func() time.Time
	// starved is signalled when requests begin to wait for slots.
	starved chan struct{}

	mu      sync.Mutex
	queue   *admission.Queue
	table   *dispatch.Table
	waiting bool
}

// ticket is one request's place in the decisions.
type ticket struct {
	request    *admission.Request
	repeatable bool
	// avoid is the target of the last failed attempt.
	avoid string
	// decided receives one decision for each time the request is queued.
	decided chan decision
	// queued is true while the request is in the queue. Guarded by core.mu.
	queued bool
}

// decision is a slot of a target or a refusal.
type decision struct {
	target  platform.Instance
	refusal *admission.Rejection
	started time.Time
}

// errNoTarget means that no target is known.
var errNoTarget = errors.New("gateway: no target known")

// admit queues a request and waits for its decision. It returns the context's error if the
// caller leaves first.
func (c *core) admit(ctx context.Context, t *ticket, again bool) (decision, error) {
	c.enqueue(t, again)
	select {
	case d := <-t.decided:
		return d, nil
	case <-ctx.Done():
	}
	if c.withdraw(t) {
		return decision{}, ctx.Err()
	}
	// The decision was made at the same time. It is returned, so that its slot is given back.
	return <-t.decided, nil
}

func (c *core) enqueue(t *ticket, again bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	_, total := c.table.Capacity(now)
	t.queued = true
	if again {
		c.queue.Requeue(now, t.request)
	} else {
		if len(c.table.Targets()) == 0 {
			c.refuse([]admission.Rejection{{Request: t.request, Reason: errNoTarget, RetryAfter: time.Second}})
			return
		}
		c.refuse(c.queue.Enqueue(now, t.request, total))
	}
	c.pumpLocked(now)
}

// withdraw takes a request out of the queue. It reports false if it is no longer queued.
func (c *core) withdraw(t *ticket) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.queued {
		return false
	}
	t.queued = false
	c.queue.Cancel(t.request)
	return true
}

// release gives the slot of an ended attempt back and starts the next request.
func (c *core) release(t *ticket, d decision, verdict dispatch.Verdict, caller uint64) (ejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	held := now.Sub(d.started)
	expected := c.queue.ServiceTime(t.request.Flow)
	ejected = c.table.Finish(now, d.target.ID, dispatch.Result{
		Verdict: verdict, ServiceTime: held, ExpectedServiceTime: expected, Caller: caller,
	})
	c.queue.Finish(now, t.request, held, verdict == dispatch.Succeeded)
	c.pumpLocked(now)
	return ejected
}

// pump makes all decisions that are possible now.
func (c *core) pump() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	c.refuse(c.queue.Expire(now))
	c.table.RefreshAllowances()
	c.pumpLocked(now)
}

// busy reports whether requests wait.
func (c *core) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Queued() > 0
}

func (c *core) pumpLocked(now time.Time) {
	c.dispatchLocked(now)
	begins := c.queue.Queued() > 0 && !c.waiting
	c.waiting = c.queue.Queued() > 0
	if begins {
		select {
		case c.starved <- struct{}{}:
		default:
		}
	}
}

func (c *core) dispatchLocked(now time.Time) {
	free, total := c.table.Capacity(now)
	for free > 0 {
		next, refused := c.queue.Next(now, free, total)
		c.refuse(refused)
		if next == nil {
			return
		}
		t := next.UserData.(*ticket)
		target, ok := c.table.Pick(now, t.avoid, t.repeatable)
		if !ok {
			// Capacity and Pick apply the same limits, so this is not reached.
			panic("gateway: free slot without target")
		}
		free--
		t.queued = false
		t.decided <- decision{target: target, started: now}
	}
}

func (c *core) refuse(refusals []admission.Rejection) {
	for _, r := range refusals {
		t := r.Request.UserData.(*ticket)
		t.queued = false
		t.decided <- decision{refusal: &r}
	}
}
