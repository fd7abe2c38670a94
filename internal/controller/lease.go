package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// normalLease is longer than the longest time between two renewals of a lease when the leader
	// changes: the duration of a poll, the time until a new leader claims leadership, and the
	// delivery of its first commands. A longer lease would delay the restart of the tasks of a lost
	// worker.
	normalLease = 4 * time.Second
	// maxClockDrift is the maximum fraction by which a worker's clock runs slower than this
	// machine's clock.
	maxClockDrift = 0.02
	// expiryMargin covers the rounding of times to milliseconds.
	expiryMargin = 30 * time.Millisecond
	// maxCallTime is the longest time from the sending of a command that grants a lease until the call ends.
	maxCallTime = pollWait + pollTimeoutMargin
)

// minClock returns the lowest value that the worker's clock can show now, in milliseconds.
func (ws *workerState) minClock(now boottime.Instant) int64 {
	passed := float64(now.Sub(ws.clockReadAt).Milliseconds()) * (1 - maxClockDrift)
	return ws.clockMS + int64(passed)
}

// allowForDrift returns the time in which a worker's clock certainly advances by the given time.
func allowForDrift(d time.Duration) time.Duration {
	return d + time.Duration(maxClockDrift*float64(d)) + expiryMargin
}

// leasesExpired reports whether all leases on the worker have certainly expired. After the first
// poll of the term, maxExpiryMS also covers the leases granted by previous leaders.
func (ws *workerState) leasesExpired(now boottime.Instant) bool {
	if now < ws.otherClockLeasesEnd || (!ws.polledInTerm && now < ws.previousLeasesEnd) {
		return false
	}
	return ws.maxExpiryMS == 0 || (ws.clockReadAt != 0 && ws.minClock(now) > ws.maxExpiryMS+expiryMargin.Milliseconds())
}

// leaseExpired reports whether the lease of a run has certainly expired. If it is not known which incarnation of the worker took
// the start, only MaxLease limits the lease: the expiries that were sent are by the clock of the known one.
func (l *leader) leaseExpired(r *run, now boottime.Instant) bool {
	ws := r.worker
	if !ws.leasesExpired(now) {
		return false
	}
	return !r.incarnationUnknown || ws.lastGrantAt == 0 || now >= ws.lastGrantAt.Add(maxCallTime+allowForDrift(l.c.cfg.Timing.MaxLease))
}

// awaitsAdoption reports whether the worker has runs of previous leaders and has not reported its runs in this term.
func (ws *workerState) awaitsAdoption() bool {
	if ws.polledInTerm {
		return false
	}
	for _, r := range ws.runs {
		if r.state == adopting {
			return true
		}
	}
	return false
}

// nextExpiry returns the lease expiry to send, in milliseconds of the worker's clock, and records
// it in maxExpiryMS. While the log is failing, the longest lease is used, so that runs survive a
// period without a valid leader.
func (l *leader) nextExpiry(ws *workerState, now boottime.Instant) int64 {
	lease := min(normalLease, l.c.cfg.Timing.MaxLease)
	if !l.term.RenewedRecently() {
		lease = l.c.cfg.Timing.MaxLease
	}
	expiry := ws.clockMS + now.Sub(ws.clockReadAt).Milliseconds() + lease.Milliseconds()
	ws.maxExpiryMS = max(ws.maxExpiryMS, expiry)
	ws.lastGrantAt = now
	return expiry
}

// extendLeasesOnce gives all runs the longest lease as soon as the log is failing, once for each time that it fails: the
// term may end before each worker has been polled again, and nobody renews leases until there is another leader.
func (l *leader) extendLeasesOnce(now boottime.Instant) {
	if l.term.RenewedRecently() {
		l.leasesExtended = false
		return
	}
	if l.leasesExtended || !l.term.Valid() {
		return
	}
	l.leasesExtended = true
	count := 0
	for _, ws := range l.workers {
		if len(ws.runs) > 0 && ws.clockReadAt != 0 && !ws.awaitsAdoption() && ws.unreachableSince == 0 {
			count++
			l.extendLease(ws, now)
		}
	}
	l.logger.Warn().Int("workers", count).Int64("epoch", l.term.Epoch).Msg("log is failing, leases extended")
}

// extendLease renews the leases on a worker beside the poll that may be in flight. The ends in the response are reported
// again to the next poll.
func (l *leader) extendLease(ws *workerState, now boottime.Instant) {
	command := worker.PollCommand{Token: l.term.Epoch, LeaseExpiryMS: l.nextExpiry(ws, now)}
	target, startedAtMS := worker.Endpoint{ID: ws.id, Address: ws.address}, ws.startedAtMS
	l.c.metrics.polls.Inc()
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, pollTimeoutMargin)
		defer cancel()
		_, err := l.c.cfg.Workers.Poll(ctx, target, command)
		var rejected *worker.RejectedError
		if errors.As(err, &rejected) && rejected.Reason == worker.RejectedStaleToken {
			l.post(func() { l.stepDown("worker has seen a newer leader") })
		}
		if errors.Is(err, worker.ErrUnknownOutcome) {
			l.post(func() { l.recordUnconfirmedGrant(ws, now, startedAtMS) })
		}
	}()
}

// acceptsWork reports whether new runs may be placed on the worker, as far as its own state allows.
// It doesn't cover the preparation of a machine for maintenance. A new incarnation may be of another kind, so
// the registry entry must be its own.
func (ws *workerState) acceptsWork(now boottime.Instant) bool {
	if ws.info.StartedAtMS != 0 && ws.info.StartedAtMS != ws.startedAtMS {
		return false
	}
	return ws.registered && ws.info.State == worker.Ready && ws.unreachableSince == 0 && !ws.needsPoll && now >= ws.noWorkUntil
}

// capacity returns the resources of the worker, whether used or not.
func (ws *workerState) capacity() planner.Resources {
	return planner.Resources{CPU: ws.info.CPU, MemoryMB: ws.info.MemoryMB, GPU: ws.info.GPU}
}

// free returns the resources of the worker that no run uses.
func (ws *workerState) free() planner.Resources {
	free := ws.capacity()
	for _, r := range ws.runs {
		free = free.Sub(needOf(r.task.unit.step))
	}
	return free
}

// needOf returns the resources of a worker that a task of the step occupies.
func needOf(s *batch.Step) planner.Resources {
	need := requestOf(s)
	if s.Filler {
		need.CPU = 0
	}
	return need
}

// requestOf returns what a task of the step requests.
func requestOf(s *batch.Step) planner.Resources {
	return planner.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
}
