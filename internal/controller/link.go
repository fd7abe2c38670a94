package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// link is what the leader knows of a worker.
type link struct {
	id      string
	address string
	info    worker.Info
	// present says that the registry has an entry for the worker.
	present bool
	born    int64
	runs    map[batch.TaskID]*run

	// clock is the worker's clock in ms at the instant clockAt, or a little later.
	clock   int64
	clockAt boottime.Instant
	// maxDue is the latest due time sent in this term, on the worker's clock.
	maxDue int64
	// adoptUntil bounds the leases that an earlier leader may have given out.
	adoptUntil boottime.Instant

	// answered says that the worker has answered a look in this term.
	answered bool
	// resample asks for a look that reads the clock again.
	resample bool
	looking  bool
	lookDue  boottime.Instant
	// silentSince is when the worker stopped answering; 0 while it answers.
	silentSince boottime.Instant
	// processed is the highest end taken, unstored how many of their records are under way,
	// acked what the worker was told it may forget.
	processed, acked int64
	unstored         int

	// heard is when the worker last answered an order or a look, listed when it last gave its lists.
	heard, listed boottime.Instant
	// loose holds starts without an answer, which may still arrive, and until when.
	loose map[worker.Run]boottime.Instant
	// looseAck is until when an acknowledgement without an answer may still arrive.
	looseAck boottime.Instant

	closedUntil boottime.Instant
	// failedJobs are the jobs that failed since the last success.
	failedJobs map[string]bool
	// beatAt is when the entry last changed, leaves when a draining worker may be gone.
	beatAt, leaves boottime.Instant
}

func newLink(id, address string, born int64) *link {
	return &link{
		id: id, address: address, born: born, runs: make(map[batch.TaskID]*run),
		loose: make(map[worker.Run]boottime.Instant), failedJobs: make(map[string]bool),
	}
}

// linkOf returns the link of a worker that a stored record names.
func (l *leader) linkOf(id, address string, born int64) *link {
	k := l.links[id]
	if k == nil {
		k = newLink(id, address, born)
		l.links[id] = k
	}
	bound := l.term.PreviousValidFor + l.c.cfg.Timing.MaxLease
	k.adoptUntil = l.tookOver.Add(bound + time.Duration(clockDrift*float64(bound)) + lapseMargin)
	return k
}

// list copies the runs, for loops that change them.
func (k *link) list() []*run {
	runs := make([]*run, 0, len(k.runs))
	for _, r := range k.runs {
		runs = append(runs, r)
	}
	return runs
}
