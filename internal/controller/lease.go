package controller

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// preferredLease outlives a takeover: a look's length, the time until a claim, and the way to
	// the workers. A longer one keeps the tasks of a lost worker waiting.
	normalLease = 4 * time.Second
	// clockDrift is how much slower a worker's clock may run.
	maxClockDrift = 0.02
	// lapseMargin covers rounding to milliseconds.
	expiryMargin = 30 * time.Millisecond
)

// clockLow is the least that the worker's clock can show now.
func (ws *workerState) minClock(now boottime.Instant) int64 {
	passed := float64(now.Sub(ws.clockReadAt).Milliseconds()) * (1 - maxClockDrift)
	return ws.clockMS + int64(passed)
}

// lapsed says whether every lease on the worker has certainly run out.
func (ws *workerState) leasesExpired(now boottime.Instant) bool {
	if !ws.polledInTerm && now < ws.formerLeasesEnd {
		return false
	}
	return ws.maxExpiryMS == 0 || (ws.clockReadAt != 0 && ws.minClock(now) > ws.maxExpiryMS+expiryMargin.Milliseconds())
}

func (ws *workerState) hasAdopting() bool {
	for _, r := range ws.runs {
		if r.state == adopting {
			return true
		}
	}
	return false
}

// due returns the due time to send, and remembers it. While the log is failing the longest
// lease is given, so that runs outlive the time without a valid leader.
func (l *leader) nextExpiry(ws *workerState, now boottime.Instant) int64 {
	lease := min(normalLease, l.c.cfg.Timing.MaxLease)
	if !l.term.RenewedRecently() {
		lease = l.c.cfg.Timing.MaxLease
	}
	due := ws.clockMS + now.Sub(ws.clockReadAt).Milliseconds() + lease.Milliseconds()
	ws.maxExpiryMS = max(ws.maxExpiryMS, due)
	return due
}

// open says whether the planner may use a worker.
func (ws *workerState) acceptsWork(now boottime.Instant) bool {
	return ws.registered && ws.info.State == worker.Ready && ws.unreachableSince == 0 && !ws.clockStale && now >= ws.noWorkUntil
}

// used sums what runs on a worker, and what of it is being stopped.
func (ws *workerState) usedResources() (all, releasing planner.Resources) {
	for _, r := range ws.runs {
		need := requestOf(r.task.unit.step)
		all = all.Add(need)
		if r.state == stopping {
			releasing = releasing.Add(need)
		}
	}
	return all, releasing
}

// needOf is what a task takes of a worker's capacity.
func requestOf(s *batch.Step) planner.Resources {
	need := planner.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
	if s.Filler {
		need.CPU = 0
	}
	return need
}
