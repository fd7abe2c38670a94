package gang

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// FoundLease is a lease that a new leader found in a worker's lease list.
type FoundLease struct {
	Worker string
	Lease  platform.Lease
}

// Adopt returns the state machine of an attempt that a new leader takes over. sent is the time
// at which the leader requested the lease lists. committed reports whether the log records the
// attempt as the newest of its job. possibleWorkers has the ids of the workers that may have
// members of the attempt which are not in found: workers whose lease lists the leader does not
// know, or may have requested before the attempt started. They are queried for these members.
func Adopt(now, sent time.Time, spec Spec, found []FoundLease, committed bool, possibleWorkers []string) *Gang {
	workers := make([]string, spec.Task.Members)
	copy(workers, spec.Workers)
	for _, f := range found {
		if f.Lease.ID.Member < len(workers) {
			workers[f.Lease.ID.Member] = f.Worker
		}
	}
	spec.Workers = workers
	g := newGang(now, spec, Adopting)
	// newGang made an entry for the members without a known worker.
	delete(g.callStates, "")
	g.workers = withoutEmpty(g.workers)
	g.mayHaveStarted = committed
	for _, f := range found {
		if f.Lease.ID.Member >= len(g.members) {
			continue
		}
		m := &g.members[f.Lease.ID.Member]
		m.state, m.lease, m.confirmedAt = f.Lease.State, f.Lease, sent
		// ExpiresInSeconds is the remaining time on the worker's clock, which the worker read
		// after sent. Counting it from now cannot end before the lease does.
		m.latestExpiry = now.Add(seconds(f.Lease.ExpiresInSeconds) + ExpiryMargin)
		if f.Lease.State != platform.LeaseReserved {
			g.mayHaveStarted = true
		}
	}
	g.markMissing(now, possibleWorkers)
	g.updatePhase(now)
	return g
}

// markMissing handles the members without a lease in the lists. If the worker of such a member is
// in possibleWorkers, it is marked for a query. If the worker is unknown, all of possibleWorkers
// are marked. If no worker can be marked, the member is missing.
func (g *Gang) markMissing(now time.Time, possibleWorkers []string) {
	isPossible := make(map[string]bool)
	for _, worker := range possibleWorkers {
		isPossible[worker] = true
	}
	for i := range g.members {
		m := &g.members[i]
		if m.state != "" {
			continue
		}
		switch {
		case m.worker == "" && len(possibleWorkers) > 0:
			for _, worker := range possibleWorkers {
				g.callState(worker).needsQuery = true
			}
			m.latestExpiry = now.Add(RunningTTL + ExpiryMargin)
		case m.worker != "" && isPossible[m.worker]:
			g.callState(m.worker).needsQuery = true
			m.latestExpiry = now.Add(RunningTTL + ExpiryMargin)
		default:
			m.missing = true
		}
	}
}

// updateAdopting ends the Adopting phase once the lease of every member is known, or stops the
// attempt if no worker remains to be queried and a member still has no lease.
func (g *Gang) updateAdopting(now time.Time) {
	pending := false
	for _, c := range g.callStates {
		pending = pending || c.needsQuery || c.inFlight
	}
	if g.allMembers(func(m *member) bool { return m.state != "" }) {
		g.finishAdoption(now)
		return
	}
	if !pending {
		g.stop(now, g.lossOutcome(), "a member has no lease at any worker", "")
	}
}

// finishAdoption selects the phase in which an adopted attempt continues. The leases of all
// members are known and none has failed.
func (g *Gang) finishAdoption(now time.Time) {
	reserved := func(m *member) bool { return m.state == platform.LeaseReserved }
	switch {
	case g.allMembers(reserved) && !g.mayHaveStarted:
		g.stop(now, NotStarted, "the attempt was not committed", "")
	case g.allMembers(func(m *member) bool { return !reserved(m) }):
		g.startedAt = now.Add(-g.RunTime())
		g.enterPhase(now, Running)
		g.nextRenewAt = now
		g.updateRunning(now)
	default:
		// Every member is reserved, running or succeeded. Starting the reserved ones completes
		// the gang.
		g.enterPhase(now, Starting)
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
