package gang

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// FoundLease is a lease that a new leader found at a worker.
type FoundLease struct {
	Worker string
	Lease  platform.Lease
}

// Adopt returns an attempt that a new leader found. sent is when the lists were asked for.
// committed reports whether the log has the attempt as the job's newest. silent lists the
// workers of the zone that did not answer; a member that was not found may be at one of them.
func Adopt(now, sent time.Time, spec Spec, found []FoundLease, committed bool, silent []string) *Gang {
	workers := make([]string, spec.Task.Members)
	copy(workers, spec.Workers)
	for _, f := range found {
		if f.Lease.ID.Member < len(workers) {
			workers[f.Lease.ID.Member] = f.Worker
		}
	}
	spec.Workers = workers
	g := newGang(now, spec, Adopting)
	delete(g.contacts, "")
	g.order = withoutEmpty(g.order)
	g.started = committed
	for _, f := range found {
		if f.Lease.ID.Member >= len(g.members) {
			continue
		}
		m := &g.members[f.Lease.ID.Member]
		m.state, m.lease, m.confirmed = f.Lease.State, f.Lease, sent
		// The worker's clock gives the rest of the lease; it was read after sent.
		m.until = now.Add(seconds(f.Lease.ExpiresInSeconds) + ExpiryMargin)
		if f.Lease.State != platform.LeaseReserved {
			g.started = true
		}
	}
	g.markUnfound(now, silent)
	g.evaluate(now)
	return g
}

// markUnfound decides what a member without a lease means: it may be at a silent worker, or
// it does not exist.
func (g *Gang) markUnfound(now time.Time, silent []string) {
	quiet := make(map[string]bool)
	for _, worker := range silent {
		quiet[worker] = true
	}
	for i := range g.members {
		m := &g.members[i]
		if m.state != "" {
			continue
		}
		switch {
		case m.worker == "" && len(silent) > 0:
			for _, worker := range silent {
				g.contact(worker).unsure = true
			}
			m.until = now.Add(RunningTTL + ExpiryMargin)
		case m.worker != "" && quiet[m.worker]:
			g.contact(m.worker).unsure = true
			m.until = now.Add(RunningTTL + ExpiryMargin)
		default:
			m.gone = true
		}
	}
}

// evaluateAdoption continues once every member is known. A member that no worker has is gone.
func (g *Gang) evaluateAdoption(now time.Time) {
	unsure := false
	for _, c := range g.contacts {
		unsure = unsure || c.unsure || c.busy
	}
	if g.all(func(m *member) bool { return m.state != "" }) {
		g.adopted(now)
		return
	}
	if !unsure {
		g.stop(now, g.lossOutcome(), "a member has no lease at any worker", "")
	}
}

// adopted continues an attempt of which all members are known and none has failed.
func (g *Gang) adopted(now time.Time) {
	reserved := func(m *member) bool { return m.state == platform.LeaseReserved }
	switch {
	case g.all(reserved) && !g.started:
		g.stop(now, NotStarted, "the attempt was not committed", "")
	case g.all(func(m *member) bool { return !reserved(m) }):
		g.startedAt = now.Add(-g.RunTime())
		g.enter(now, Running)
		g.nextRenew = now
		g.evaluateRunning(now)
	default:
		// All members are reserved or run, so the remaining starts complete the gang.
		g.enter(now, Starting)
	}
}

func withoutEmpty(ids []string) []string {
	var out []string
	for _, id := range ids {
		if id != "" {
			out = append(out, id)
		}
	}
	return out
}
