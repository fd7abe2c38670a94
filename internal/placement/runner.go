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
	// maxOpenCalls bounds the worker calls of one zone that are open at once. It leaves room
	// for a rack of silent workers without delaying the calls to the others.
	maxOpenCalls = 256
	// resultsCapacity bounds the answers that wait for the loop. A full ring makes the callers
	// wait, so it only has to cover one step.
	resultsCapacity = 1024
)

// outcome is an answered op.
type outcome struct {
	op     Op
	answer Answer
}

// runner carries out ops. Calls to one worker are made one after the other, and ops of the
// same kind that wait for the same worker share one call.
type runner struct {
	workers platform.Workers
	epoch   platform.Epoch
	// mayCall is asked right before each call.
	mayCall func() bool
	now     func() time.Time
	results *ring.Ring[outcome]
	wake    chan struct{}
	open    chan struct{}
	calls   sync.WaitGroup

	mu     sync.Mutex
	queues map[string]*callQueue
}

type callQueue struct {
	ops  []Op
	busy bool
}

func newRunner(workers platform.Workers, epoch platform.Epoch, mayCall func() bool, now func() time.Time) *runner {
	return &runner{
		workers: workers, epoch: epoch, mayCall: mayCall, now: now,
		results: ring.New[outcome](resultsCapacity),
		wake:    make(chan struct{}, 1),
		open:    make(chan struct{}, maxOpenCalls),
		queues:  make(map[string]*callQueue),
	}
}

// submit queues ops and returns at once.
func (r *runner) submit(ctx context.Context, ops []Op) {
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
			r.calls.Go(func() { r.drain(ctx, q) })
		}
	}
}

// drain makes the calls of one worker until none is left.
func (r *runner) drain(ctx context.Context, q *callQueue) {
	for {
		r.mu.Lock()
		batch := q.take()
		if len(batch) == 0 {
			q.busy = false
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		select {
		case r.open <- struct{}{}:
		case <-ctx.Done():
			return
		}
		answers := r.call(ctx, batch)
		<-r.open
		for i, op := range batch {
			if r.results.Push(ctx, outcome{op: op, answer: answers[i]}) != nil {
				return
			}
		}
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

// take removes the most pressing op and all that can share its call. Renewals come first, so
// that starts and stops of other gangs do not delay them.
func (q *callQueue) take() []Op {
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

// call makes one call for a batch within the timeout and returns the answer to each op.
func (r *runner) call(ctx context.Context, batch []Op) []Answer {
	ctx, cancel := context.WithTimeout(ctx, gang.CallTimeout)
	defer cancel()
	return r.exchange(ctx, batch)
}

func (r *runner) exchange(ctx context.Context, batch []Op) []Answer {
	sent := r.now()
	shared := Answer{CallResult: gang.CallResult{Sent: sent}}
	if !r.mayCall() {
		// Nothing was sent, which is what ErrUnavailable states.
		shared.Err = eris.Wrap(platform.ErrUnavailable, "placement: leadership not confirmed")
		return slices.Repeat([]Answer{shared}, len(batch))
	}
	results := r.send(ctx, batch, &shared)
	countCall(batch[0].Kind, shared.Err, r.now().Sub(sent))
	answers := make([]Answer, len(batch))
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

// send makes the call and returns the results by lease.
func (r *runner) send(ctx context.Context, batch []Op, answer *Answer) map[platform.LeaseID]platform.LeaseResult {
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
func (r *runner) request(batch []Op) platform.LeaseRequest {
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
