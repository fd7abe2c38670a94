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
	// maxCallsInFlight bounds the worker calls of one zone that are open at once. It leaves room
	// for a rack of silent workers without delaying the calls to the others.
	maxCallsInFlight = 256
	// resultsCapacity bounds the answers that wait for the loop. A full ring makes the callers
	// wait, so it only has to cover one step.
	resultsCapacity = 1024
)

// opResult is an answered op.
type opResult struct {
	op       Op
	response OpResponse
}

// dispatcher carries out ops. Calls to one worker are made one after the other, and ops of the
// same kind that wait for the same worker share one call.
type dispatcher struct {
	workers platform.Workers
	epoch   platform.Epoch
	// mayCall is asked right before each call.
	mayCall func() bool
	now     func() time.Time
	results *ring.Ring[opResult]
	wake    chan struct{}
	slots   chan struct{}
	calls   sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*callQueue
}

type callQueue struct {
	ops  []Op
	busy bool
}

func newDispatcher(workers platform.Workers, epoch platform.Epoch, mayCall func() bool, now func() time.Time) *dispatcher {
	return &dispatcher{
		workers: workers, epoch: epoch, mayCall: mayCall, now: now,
		results: ring.New[opResult](resultsCapacity),
		wake:    make(chan struct{}, 1),
		slots:   make(chan struct{}, maxCallsInFlight),
		queues:  make(map[string]*callQueue),
	}
}

// submit queues ops and returns at once.
func (r *dispatcher) submit(ctx context.Context, ops []Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, op := range ops {
		q, found := r.queues[op.Call.Worker]
		if !found {
			q = &callQueue{}
			r.queues[op.Call.Worker] = q
		}
		q.ops = append(q.ops, op)
		if !q.busy {
			q.busy = true
			r.calls.Go(func() { r.runQueue(ctx, q) })
		}
	}
}

// runQueue makes the calls of one worker until none is left.
func (r *dispatcher) runQueue(ctx context.Context, q *callQueue) {
	for {
		r.mu.Lock()
		batch := q.nextBatch()
		if len(batch) == 0 {
			q.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		select {
		case r.slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		answers := r.callWithTimeout(ctx, batch)
		<-r.slots
		for i, op := range batch {
			if r.results.Push(ctx, opResult{op: op, response: answers[i]}) != nil {
				return
			}
		}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// nextBatch removes the most pressing op and all that can share its call. Renewals come first, so
// that starts and stops of other gangs do not delay them.
func (q *callQueue) nextBatch() []Op {
	if len(q.ops) == 0 {
		return nil
	}
	first := 0
	for i, op := range q.ops {
		if priority(op.Kind) < priority(q.ops[first].Kind) {
			first = i
		}
	}
	lead := q.ops[first]
	var batch, rest []Op
	for i, op := range q.ops {
		if i == first || canShare(lead, op) {
			batch = append(batch, op)
		} else {
			rest = append(rest, op)
		}
	}
	q.ops = rest
	return batch
}

func priority(kind gang.CallKind) int {
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

func canShare(a, b Op) bool {
	if a.Kind != b.Kind || a.Kind == gang.CallReserve {
		return false
	}
	return a.Reason == b.Reason && a.Speed == b.Speed
}

// callWithTimeout makes one callWithTimeout for a batch within the timeout and returns the answer to each op.
func (r *dispatcher) callWithTimeout(ctx context.Context, batch []Op) []OpResponse {
	ctx, cancel := context.WithTimeout(ctx, gang.CallTimeout)
	defer cancel()
	return r.callBatch(ctx, batch)
}

func (r *dispatcher) callBatch(ctx context.Context, batch []Op) []OpResponse {
	sent := r.now()
	shared := OpResponse{CallResult: gang.CallResult{Sent: sent}}
	if !r.mayCall() {
		// Nothing was sent, which is what ErrUnavailable states.
		shared.Err = eris.Wrap(platform.ErrUnavailable, "placement: leadership not confirmed")
		return slices.Repeat([]OpResponse{shared}, len(batch))
	}
	results := r.sendBatch(ctx, batch, &shared)
	countCall(batch[0].Kind, shared.Err, r.now().Sub(sent))
	answers := make([]OpResponse, len(batch))
	for i, op := range batch {
		answers[i] = shared
		if shared.Err != nil || op.Kind == gang.CallReserve {
			continue
		}
		for _, id := range op.Leases {
			answers[i].Results = append(answers[i].Results, resultOf(results, id))
		}
	}
	return answers
}

func resultOf(results map[platform.LeaseID]platform.LeaseResult, id platform.LeaseID) platform.LeaseResult {
	if result, found := results[id]; found {
		return result
	}
	return platform.LeaseResult{ID: id}
}

// sendBatch makes the call and returns the results by lease.
func (r *dispatcher) sendBatch(ctx context.Context, batch []Op, answer *OpResponse) map[platform.LeaseID]platform.LeaseResult {
	lead := batch[0]
	var results []platform.LeaseResult
	request := r.request(batch)
	switch lead.Kind {
	case gang.CallReserve:
		answer.Err = r.workers.Reserve(ctx, lead.Worker, platform.ReserveRequest{
			Epoch: r.epoch, Leases: lead.Leases, Task: lead.Task, TTLSeconds: lead.TTL.Seconds(),
		})
	case gang.CallStart:
		results, answer.Err = r.workers.Start(ctx, lead.Worker, request)
	case gang.CallRenew:
		results, answer.Err = r.workers.Renew(ctx, lead.Worker, request)
	case gang.CallCheckpoint:
		results, answer.Err = r.workers.Checkpoint(ctx, lead.Worker, request)
	case gang.CallThrottle:
		results, answer.Err = r.workers.Throttle(ctx, lead.Worker, request)
	case gang.CallStop:
		results, answer.Err = r.workers.Stop(ctx, lead.Worker, request)
	case callRelease:
		answer.Err = r.workers.Release(ctx, lead.Worker, request)
	case callUsage:
		answer.Usage, answer.Err = r.workers.Usage(ctx, lead.Worker)
	case gang.CallQuery:
		answer.Leases, answer.Err = r.workers.Leases(ctx, lead.Worker, r.epoch)
		for _, lease := range answer.Leases {
			results = append(results, platform.LeaseResult{ID: lease.ID, Known: true, Lease: lease})
		}
	}
	byID := make(map[platform.LeaseID]platform.LeaseResult, len(results))
	for _, result := range results {
		byID[result.ID] = result
	}
	return byID
}

// request merges the leases of a batch. The shortest TTL serves all.
func (r *dispatcher) request(batch []Op) platform.LeaseRequest {
	lead := batch[0]
	request := platform.LeaseRequest{Epoch: r.epoch, Throttle: lead.Speed, Reason: lead.Reason}
	ttl := lead.TTL
	for _, op := range batch {
		request.Leases = append(request.Leases, op.Leases...)
		ttl = min(ttl, op.TTL)
	}
	request.TTLSeconds = ttl.Seconds()
	return request
}
