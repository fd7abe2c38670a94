package controller

import (
	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/progress"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// workerState is the leader's knowledge of one worker.
type workerState struct {
	id      string
	address string
	info    worker.Info
	// registered means that the worker has a registry entry.
	registered bool
	// startedAtMS is the start time of the worker's incarnation, in Unix milliseconds; 0 if
	// unknown.
	startedAtMS int64
	runs        map[batch.TaskID]*run

	// clockMS is a lower bound of the worker's clock at clockReadAt, in milliseconds.
	clockMS     int64
	clockReadAt boottime.Instant
	// leastClockMS is a reading of the worker's clock that the clock has certainly reached at leastClockAt. Unlike clockMS,
	// it is renewed by each registry entry of the incarnation: see evacuationExpiry.
	leastClockMS int64
	leastClockAt boottime.Instant
	// maxExpiryMS is an upper bound of the lease expiries that were sent to the worker's incarnation, in
	// milliseconds of its clock; 0 if none was sent.
	maxExpiryMS int64
	// aliveAt is the latest known time at which the incarnation was alive, 0 if none is known. Connections made until then do not
	// lead to a later incarnation.
	aliveAt boottime.Instant
	// lastGrantAt is when this leader last sent a lease expiry to the worker, 0 if it has not.
	lastGrantAt boottime.Instant
	// lateGrantUntil is the time until which a command without a response that extends leases may still be executed.
	lateGrantUntil boottime.Instant
	// otherClockLeasesEnd is when all leases have certainly expired that the incarnation may have accepted from commands with an
	// expiry by the clock of an earlier one.
	otherClockLeasesEnd boottime.Instant
	// previousLeasesEnd is when all leases granted by previous leaders have certainly expired.
	previousLeasesEnd boottime.Instant

	// polledInTerm means that the worker has responded to a poll in this term.
	polledInTerm bool
	// needsPoll means that a poll must read the worker's clock and runs before the worker gets new work.
	// This applies to each incarnation that is new to this leader: the poll also raises the fencing token,
	// which starts of previous leaders that arrive late could otherwise pass.
	needsPoll    bool
	pollInFlight bool
	// pollQueued means that the worker is in leader.queuedPolls.
	pollQueued bool
	nextPoll   boottime.Instant
	// unreachableSince is when a poll first failed; 0 while polls succeed. Rejected polls count as
	// failed, except for RejectedStaleToken and RejectedWrongWorker, which are handled at once.
	unreachableSince boottime.Instant
	// processedEnd is the highest End.Sequence applied, unstoredEnds the number of applied ends
	// whose records are not stored yet, and acknowledgedEnd the highest sequence that the worker
	// was told it may discard.
	processedEnd, acknowledgedEnd int64
	unstoredEnds                  int

	// lastStartOrPollResponse is when the worker last accepted a start or answered a poll;
	// rejections and responses to stops don't count. lastPollResponse is when it last answered a
	// poll.
	lastStartOrPollResponse, lastPollResponse boottime.Instant
	// unconfirmedStarts holds the starts without a response, which may still be delivered, with the
	// time until which that is possible.
	unconfirmedStarts map[worker.Run]boottime.Instant
	// ackInFlight means that the poll in flight acknowledges ends.
	ackInFlight bool
	// unconfirmedAckUntil is the time until which an acknowledgement without a response may still
	// be delivered.
	unconfirmedAckUntil boottime.Instant

	// speed is how fast the worker's runs progress. The worker is slow until slowUntil; see updateSlowWorkers.
	speed     progress.Speed
	slowUntil boottime.Instant
	// noWorkUntil is when the worker may get new work again.
	noWorkUntil boottime.Instant
	// failedJobs holds the IDs of the jobs of which a run has failed on the worker since its last
	// successful run.
	failedJobs map[string]bool
	// coldUntil is until when the worker is slow because it has started lately, 0 if it is not.
	coldUntil boottime.Instant
	// workingKinds are the kinds of work that work on the worker as of its last poll, sorted and twice if several runs of a kind
	// work, workingSince since when.
	workingKinds []string
	// presentKinds has the kind of each run that works and of each halted filler as of the last poll, sorted.
	presentKinds []string
	workingSince boottime.Instant
	// heartbeatAt is an instant before the last update of the registry entry, 0 if not known; shutdownAt is when
	// a draining worker may have shut down.
	heartbeatAt, shutdownAt boottime.Instant
}

func newWorkerState(id, address string, startedAtMS int64) *workerState {
	return &workerState{
		id: id, address: address, startedAtMS: startedAtMS, needsPoll: true, runs: make(map[batch.TaskID]*run),
		unconfirmedStarts: make(map[worker.Run]boottime.Instant), failedJobs: make(map[string]bool),
	}
}

// workerOfRecord returns the state of a worker that is named in a stored task record, and sets its
// previousLeasesEnd. It creates the state if necessary; the address and start time of an existing
// state stay, even if the record names another incarnation.
func (l *leader) workerOfRecord(id, address string, startedAtMS int64) *workerState {
	ws := l.workers[id]
	if ws == nil {
		ws = newWorkerState(id, address, startedAtMS)
		l.workers[id] = ws
	}
	ws.previousLeasesEnd = l.takeoverStartedAt.Add(allowForDrift(l.term.PreviousValidFor + l.c.cfg.Timing.MaxLease))
	return ws
}

// forgettable reports whether the state of the worker is of no more use: it is not registered, has no runs,
// and no effect of earlier commands or ends is outstanding. A new state of the same worker would
// acknowledge ends whose records are not stored, and would not stop starts that arrive late.
func (ws *workerState) forgettable(now boottime.Instant) bool {
	return !ws.registered && len(ws.runs) == 0 && ws.unstoredEnds == 0 && !ws.pollInFlight && now >= ws.unconfirmedAckUntil && now >= ws.lateGrantUntil &&
		!ws.expectsLateStart(now)
}

// expectsLateStart reports whether a start without a response may still be delivered to the worker.
func (ws *workerState) expectsLateStart(now boottime.Instant) bool {
	for _, until := range ws.unconfirmedStarts {
		if now < until {
			return true
		}
	}
	return false
}

// isIdle reports whether the worker has no runs and no ends that are to be acknowledged.
func (ws *workerState) isIdle() bool {
	return len(ws.runs) == 0 && ws.processedEnd == ws.acknowledgedEnd
}

// tracks reports whether a run is among the runs of the worker that the leader knows of.
func (ws *workerState) tracks(r worker.Run) bool {
	known := ws.runs[r.Task]
	return known != nil && known.number == r.Number
}

// runList returns a copy of the runs, for loops that add or remove runs.
func (ws *workerState) runList() []*run {
	runs := make([]*run, 0, len(ws.runs))
	for _, r := range ws.runs {
		runs = append(runs, r)
	}
	return runs
}
