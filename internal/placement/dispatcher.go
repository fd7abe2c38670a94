package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/ring"
)

const (
	// maxCallsInFlight is the greatest number of worker calls of one zone in flight at a time. A
	// rack of unreachable workers does not use it up and so does not delay the calls to other
	// workers.
	maxCallsInFlight = 256
	// resultsCapacity is the capacity of the ring of results that wait for the loop. While the
	// ring is full, the goroutines that make the calls block, so it only has to hold the results
	// that arrive during one step.
	resultsCapacity = 1024
)

// completedOp is an op with its result.
type completedOp struct {
	op     Op
	result OpResult
}

// dispatcher calls the workers to carry out ops. There is at most one call to a worker at a time.
// Ops of the same kind that wait for the same worker share one call.
type dispatcher struct {
	workers platform.Workers
	epoch   platform.Epoch
	// mayCall reports whether the leadership is confirmed. It is called right before each call.
	mayCall func() bool
	now     func() time.Time
	results *ring.Ring[completedOp]
	// wake has an element when results were added.
	wake chan struct{}
	// slots has one element for each call in flight.
	slots chan struct{}
	// goroutines counts the goroutines of the term: those that run a queue, and those of the loop that
	// write to the log.
	goroutines sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*callQueue
}

// callQueue has the ops that wait for one worker.
type callQueue struct {
	ops []Op
	// busy is set while a goroutine runs the queue.
	busy bool
}

func newDispatcher(workers platform.Workers, epoch platform.Epoch, mayCall func() bool, now func() time.Time) *dispatcher {
	return &dispatcher{
		workers: workers, epoch: epoch, mayCall: mayCall, now: now,
		results: ring.New[completedOp](resultsCapacity),
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxCallsInFlight),
		queues:  make(map[string]*callQueue),
	}
}

// submit queues ops and does not wait for them. Each result is added to results, unless ctx ends
// first.
func (d *dispatcher) submit(ctx context.Context, ops []Op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, op := range ops {
		q, found := d.queues[op.Call.Worker]
		if !found {
			q = &callQueue{}
			d.queues[op.Call.Worker] = q
		}
		q.ops = append(q.ops, op)
		if !q.busy {
			q.busy = true
			d.goroutines.Go(func() { d.runQueue(ctx, q) })
		}
	}
}

// runQueue makes the calls to one worker until its queue is empty or ctx ends.
func (d *dispatcher) runQueue(ctx context.Context, q *callQueue) {
	for {
		d.mu.Lock()
		batch := q.nextBatch()
		if len(batch) == 0 {
			q.busy = false
			d.mu.Unlock()
			return
		}
		d.mu.Unlock()
		select {
		case d.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		opResults := d.callWithTimeout(ctx, batch)
		<-d.slots
		for i, op := range batch {
			if d.results.Push(ctx, completedOp{op: op, result: opResults[i]}) != nil {
				return
			}
		}
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// nextBatch removes and returns the first op with the lowest callOrder and all ops that can share its
// call. It returns nil if the queue is empty.
func (q *callQueue) nextBatch() []Op {
	if len(q.ops) == 0 {
		return nil
	}
	first := 0
	for i, op := range q.ops {
		if callOrder(op.Kind) < callOrder(q.ops[first].Kind) {
			first = i
		}
	}
	firstOp := q.ops[first]
	var batch, rest []Op
	for i, op := range q.ops {
		if i == first || canShare(firstOp, op) {
			batch = append(batch, op)
		} else {
			rest = append(rest, op)
		}
	}
	q.ops = rest
	return batch
}

// callOrder returns the rank of a kind of call: calls with the lowest number are sent first. Renewals
// come first so that starts and stops of other gangs do not delay them.
func callOrder(kind gang.CallKind) int {
	switch kind {
	case gang.CallRenew:
		return 0
	case gang.CallStop:
		return 1
	case callRelease, callUsage:
		return 3
	default:
		return 2
	}
}

// canShare reports whether two ops for the same worker can be sent in one call.
func canShare(a, b Op) bool {
	if a.Kind != b.Kind || a.Kind == gang.CallReserve {
		return false
	}
	return a.Reason == b.Reason && a.Speed == b.Speed
}

// callWithTimeout makes one call for a batch, limited to gang.CallTimeout, and returns the result
// of each op.
func (d *dispatcher) callWithTimeout(ctx context.Context, batch []Op) []OpResult {
	ctx, cancel := context.WithTimeout(ctx, gang.CallTimeout)
	defer cancel()
	return d.callBatch(ctx, batch)
}

// callBatch makes one call for a batch and returns the result of each op. Without a confirmed
// leadership it makes no call.
func (d *dispatcher) callBatch(ctx context.Context, batch []Op) []OpResult {
	sent := d.now()
	shared := OpResult{CallResult: gang.CallResult{Sent: sent}}
	if !d.mayCall() {
		// ErrUnavailable is correct because nothing was sent, so that the call has no effect.
		shared.Err = eris.Wrap(platform.ErrUnavailable, "placement: leadership not confirmed")
		return slices.Repeat([]OpResult{shared}, len(batch))
	}
	results := d.sendBatch(ctx, batch, &shared)
	countCall(batch[0].Kind, shared.Err, d.now().Sub(sent))
	opResults := make([]OpResult, len(batch))
	for i, op := range batch {
		opResults[i] = shared
		if shared.Err != nil || op.Kind == gang.CallReserve {
			continue
		}
		for _, id := range op.Leases {
			opResults[i].Results = append(opResults[i].Results, resultOf(results, id))
		}
	}
	return opResults
}

// resultOf returns the result of a lease, or one that is not Known if the worker returned none.
func resultOf(results map[platform.LeaseID]platform.LeaseResult, id platform.LeaseID) platform.LeaseResult {
	if result, found := results[id]; found {
		return result
	}
	return platform.LeaseResult{ID: id}
}

// sendBatch calls the worker and returns the results by lease. It sets the fields of opResult that
// all ops of the batch share.
func (d *dispatcher) sendBatch(ctx context.Context, batch []Op, opResult *OpResult) map[platform.LeaseID]platform.LeaseResult {
	first := batch[0]
	var results []platform.LeaseResult
	request := d.request(batch)
	switch first.Kind {
	case gang.CallReserve:
		opResult.Err = d.workers.Reserve(ctx, first.Worker, platform.ReserveRequest{
			Epoch: d.epoch, Leases: first.Leases, Task: first.Task, TTLSeconds: first.TTL.Seconds(),
		})
	case gang.CallStart:
		results, opResult.Err = d.workers.Start(ctx, first.Worker, request)
	case gang.CallRenew:
		results, opResult.Err = d.workers.Renew(ctx, first.Worker, request)
	case gang.CallCheckpoint:
		results, opResult.Err = d.workers.Checkpoint(ctx, first.Worker, request)
	case gang.CallThrottle:
		results, opResult.Err = d.workers.Throttle(ctx, first.Worker, request)
	case gang.CallStop:
		results, opResult.Err = d.workers.Stop(ctx, first.Worker, request)
	case callRelease:
		opResult.Err = d.workers.Release(ctx, first.Worker, request)
	case callUsage:
		opResult.Usage, opResult.Err = d.workers.Usage(ctx, first.Worker)
	case gang.CallQuery:
		opResult.Leases, opResult.Err = d.workers.Leases(ctx, first.Worker, d.epoch)
		for _, lease := range opResult.Leases {
			results = append(results, platform.LeaseResult{ID: lease.ID, Known: true, Lease: lease})
		}
	}
	byID := make(map[platform.LeaseID]platform.LeaseResult, len(results))
	for _, result := range results {
		byID[result.ID] = result
	}
	return byID
}

// request returns the request for a batch, with the leases of all its ops and their shortest TTL.
func (d *dispatcher) request(batch []Op) platform.LeaseRequest {
	first := batch[0]
	request := platform.LeaseRequest{Epoch: d.epoch, Throttle: first.Speed, Reason: first.Reason}
	ttl := first.TTL
	for _, op := range batch {
		request.Leases = append(request.Leases, op.Leases...)
		ttl = min(ttl, op.TTL)
	}
	request.TTLSeconds = ttl.Seconds()
	return request
}
