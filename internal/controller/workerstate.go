package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// link is what the leader knows of a worker.
type workerState struct {
	id      string
	address string
	info    worker.Info
	// present says that the registry has an entry for the worker.
	registered  bool
	startedAtMS int64
	runs        map[batch.TaskID]*run

	// clock is the worker's clock in ms at the instant clockAt, or a little later.
	clockMS     int64
	clockReadAt boottime.Instant
	// maxDue is the latest due time sent in this term, on the worker's clock.
	maxExpiryMS int64
	// adoptUntil bounds the leases that an earlier leader may have given out.
	formerLeasesEnd boottime.Instant

	// answered says that the worker has answered a look in this term.
	polledInTerm bool
	// resample asks for a look that reads the clock again.
	clockStale   bool
	pollInFlight bool
	nextPoll     boottime.Instant
	// silentSince is when the worker stopped answering; 0 while it answers.
	unreachableSince boottime.Instant
	// processed is the highest end taken, unstored how many of their records are under way,
	// acked what the worker was told it may forget.
	processedEnd, acknowledgedEnd int64
	unstoredEnds                  int

	// heard is when the worker last answered an order or a look, listed when it last gave its lists.
	lastResponse, lastPolled boottime.Instant
	// loose holds starts without an answer, which may still arrive, and until when.
	unconfirmedStarts map[worker.Run]boottime.Instant
	// looseAck is until when an acknowledgement without an answer may still arrive.
	unconfirmedAckUntil boottime.Instant

	noWorkUntil boottime.Instant
	// failedJobs are the jobs that failed since the last success.
	failedJobs map[string]bool
	// beatAt is when the entry last changed, leaves when a draining worker may be gone.
	heartbeatAt, leavesAt boottime.Instant
}

func newWorkerState(id, address string, born int64) *workerState {
	return &workerState{
		id: id, address: address, startedAtMS: born, runs: make(map[batch.TaskID]*run),
		unconfirmedStarts: make(map[worker.Run]boottime.Instant), failedJobs: make(map[string]bool),
	}
}

// linkOf returns the link of a worker that a stored record names.
func (l *leader) workerOfRecord(id, address string, born int64) *workerState {
	ws := l.workers[id]
	if ws == nil {
		ws = newWorkerState(id, address, born)
		l.workers[id] = ws
	}
	bound := l.term.PreviousValidFor + l.c.cfg.Timing.MaxLease
	ws.formerLeasesEnd = l.takeoverStartedAt.Add(bound + time.Duration(maxClockDrift*float64(bound)) + expiryMargin)
	return ws
}

// list copies the runs, for loops that change them.
func (ws *workerState) runList() []*run {
	runs := make([]*run, 0, len(ws.runs))
	for _, r := range ws.runs {
		runs = append(runs, r)
	}
	return runs
}
