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
	preferredLease = 4 * time.Second
	// clockDrift is how much slower a worker's clock may run.
	clockDrift = 0.02
	// lapseMargin covers rounding to milliseconds.
	lapseMargin = 30 * time.Millisecond
)

// clockLow is the least that the worker's clock can show now.
func (k *link) clockLow(now boottime.Instant) int64 {
	passed := float64(now.Sub(k.clockAt).Milliseconds()) * (1 - clockDrift)
	return k.clock + int64(passed)
}

// lapsed says whether every lease on the worker has certainly run out.
func (k *link) lapsed(now boottime.Instant) bool {
	if !k.answered && now < k.adoptUntil {
		return false
	}
	return k.maxDue == 0 || (k.clockAt != 0 && k.clockLow(now) > k.maxDue+lapseMargin.Milliseconds())
}

func (k *link) adopting() bool {
	for _, r := range k.runs {
		if r.state == adopting {
			return true
		}
	}
	return false
}

// due returns the due time to send, and remembers it. While the log is failing the longest
// lease is given, so that runs outlive the time without a valid leader.
func (l *leader) due(k *link, now boottime.Instant) int64 {
	lease := min(preferredLease, l.c.cfg.Timing.MaxLease)
	if !l.term.RenewedRecently() {
		lease = l.c.cfg.Timing.MaxLease
	}
	due := k.clock + now.Sub(k.clockAt).Milliseconds() + lease.Milliseconds()
	k.maxDue = max(k.maxDue, due)
	return due
}

// open says whether the planner may use a worker.
func (k *link) open(now boottime.Instant) bool {
	return k.present && k.info.State == worker.Ready && k.silentSince == 0 && !k.resample && now >= k.closedUntil
}

// used sums what runs on a worker, and what of it is being stopped.
func (k *link) used() (all, releasing planner.Resources) {
	for _, r := range k.runs {
		need := needOf(r.task.unit.step)
		all = all.Add(need)
		if r.state == stopping {
			releasing = releasing.Add(need)
		}
	}
	return all, releasing
}

// needOf is what a task takes of a worker's capacity.
func needOf(s *batch.Step) planner.Resources {
	need := planner.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
	if s.Filler {
		need.CPU = 0
	}
	return need
}
