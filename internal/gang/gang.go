// Package gang implements the state machine of one attempt of a job, that is, of one run of its
// gang. It reserves capacity for all members, waits until the attempt is committed to the log,
// starts the members, renews their leases together and stops them. The package does no I/O: the
// caller passes in the time and the responses of the workers and sends the calls that the state
// machine returns.
package gang

import (
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Lease durations and timeouts. TTLs are measured on the worker's clock, all other durations on
// the leader's clock.
const (
	// ReservedTTL is the duration of a reservation.
	ReservedTTL = 5 * time.Second
	// StartTTL is the duration of the first running lease. It bounds how long only some members
	// run when a start fails.
	StartTTL = 3 * time.Second
	// RunningTTL bounds how long only some members run after the loss of a member or of the
	// leader. It is not the TTL of a lease, which is renewTTL, but the longest time for which a
	// renewal can extend a lease, counted from when the renewal is sent.
	RunningTTL = 10 * time.Second
	// RenewPeriod is the period of lease renewals.
	RenewPeriod = 2 * time.Second
	// ExpiryMargin is added to the TTL of a reservation or a start, and on adoption to the
	// remaining time of a lease or to RunningTTL, before the lease counts as expired. It is not
	// added to RunningTTL when a renewal is sent.
	ExpiryMargin = 2 * time.Second
	// CallTimeout is the timeout of one call to a worker.
	CallTimeout = time.Second

	// confirmSlack is added to RenewPeriod: the leases are renewed only if every member was
	// confirmed within the last RenewPeriod+confirmSlack.
	confirmSlack = 500 * time.Millisecond
	// renewTTL is the TTL of a renewal. Just before its lease expires, a frozen worker may process
	// a renewal that was queued for it. A member can therefore run for up to twice renewTTL after
	// the last time at which all members ran; this must not exceed RunningTTL.
	renewTTL = RunningTTL / 2
	// lossTimeout is the age of a member's confirmation at which the member counts as lost.
	// If the other members were stopped earlier, the frozen worker could still process a queued
	// renewal, and its member would run without the others for longer.
	lossTimeout = RunningTTL - CallTimeout
	// reserveTimeout is the timeout of the Reserving phase.
	reserveTimeout = 3 * time.Second
	// reserveRefreshPeriod is the period at which reservations are repeated while the commit is
	// pending.
	reserveRefreshPeriod = 2 * time.Second
	// startSendWindow is the time after the commit after which no start is sent. A later start would
	// leave too little of StartTTL to confirm all members before the first leases expire.
	startSendWindow = time.Second
	// startTimeout is the time after the commit within which all members must run.
	startTimeout = 2 * time.Second
	// retryInterval is the pause before the next call to a worker that did not respond, and the
	// period of queries for a checkpoint that is not complete.
	retryInterval = 500 * time.Millisecond
)

// Phase is the phase of an attempt.
type Phase string

// Phases of an attempt.
const (
	Reserving  Phase = "reserving"
	Committing Phase = "committing"
	Starting   Phase = "starting"
	Running    Phase = "running"
	// Adopting is the phase of a gang that a new leader takes over until it knows the lease of
	// every member. Workers that may have the leases not found so far are queried.
	Adopting Phase = "adopting"
	Stopping Phase = "stopping"
	Done     Phase = "done"
)

// Outcome is the result of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	// NotStarted means that no member was ever started.
	NotStarted Outcome = "not-started"
	Succeeded  Outcome = "succeeded"
	// Failed means that a task reported a failure.
	Failed Outcome = "failed"
	// Lost means that a worker has no lease for a member or stopped it, that a member was not
	// confirmed in time, or that a start did not complete.
	Lost Outcome = "lost"
	// Halted means that the leader ended the attempt, for example because the job was cancelled,
	// was preempted or used more than it declared.
	Halted Outcome = "halted"
)

// Spec describes an attempt.
type Spec struct {
	Job     string
	UID     string
	Attempt uint64
	Task    platform.TaskSpec
	// Workers has the worker id of each member, or "" where a new leader does not know it.
	Workers []string
	// RenewalBase is the time from which renewal times are counted in multiples of RenewPeriod.
	// All gangs of a leader have the same base, so that the caller can combine
	// their renewals in one call to a worker.
	RenewalBase time.Time
}

// CallKind is the kind of a Call.
type CallKind string

// Kinds of call to a worker.
const (
	CallReserve    CallKind = "reserve"
	CallStart      CallKind = "start"
	CallRenew      CallKind = "renew"
	CallCheckpoint CallKind = "checkpoint"
	CallThrottle   CallKind = "throttle"
	CallStop       CallKind = "stop"
	// CallQuery reads the state of the leases from the worker's list of leases.
	CallQuery CallKind = "query"
)

// Call is one call to one worker for the members of the gang there.
type Call struct {
	Kind   CallKind
	Worker string
	Leases []platform.LeaseID
	TTL    time.Duration
	// Speed is the speed of CallThrottle; see SetSpeed.
	Speed  float64
	Reason string
}

// CallResult is the result of a call to a worker.
type CallResult struct {
	// Sent is when the call left the leader, on the leader's monotonic clock.
	Sent    time.Time
	Results []platform.LeaseResult
	// Err is the error of a call that was rejected or got no response. It wraps
	// platform.ErrUnavailable if the call had no effect.
	Err error
}

// member is the leader's view of one member's lease. The worker has the authoritative state.
type member struct {
	worker string
	// state is empty until the worker has reported the lease.
	state platform.LeaseState
	lease platform.Lease
	// missing is set when the worker has responded that it has no such lease, or when a new leader
	// found the lease in no worker's list and has no worker to query for it.
	missing bool
	// confirmedAt is the send time of the latest call whose response showed the lease as active.
	confirmedAt time.Time
	// latestExpiry is the latest time at which the lease can still be active, including the
	// effect of calls whose responses were lost.
	latestExpiry time.Time
	// checkpointBefore is the member's checkpoint at the time of the last checkpoint request.
	checkpointBefore string
}

func (m *member) ended() bool {
	return m.missing || m.state != "" && !m.state.Active()
}

// callState is the state of the calls to one worker of the gang.
type callState struct {
	inFlight bool
	// retryAt is the earliest time of the next call after a call without a response.
	retryAt time.Time
	// needsQuery is set while the worker must be queried before its leases are started or renewed:
	// after a call that got no response or, outside phase Reserving, had no effect, or because the
	// worker may have a lease that a new leader has not found. Reservations repeated while the
	// commit is pending, and stops, are sent without a query.
	needsQuery bool
	// checkpointPollAt is the earliest time of the next query for a checkpoint.
	checkpointPollAt time.Time
	// stopped is set when the worker has responded to a stop.
	stopped bool
}

// Gang is the state machine of one attempt. It is not safe for concurrent use.
type Gang struct {
	spec         Spec
	phase        Phase
	outcome      Outcome
	reason       string
	failedWorker string
	members      []member
	callStates   map[string]*callState
	// workers lists the worker ids in the order of each worker's first member.
	workers        []string
	phaseStartedAt time.Time
	lastReserveAt  time.Time
	nextRenewAt    time.Time
	// mayHaveStarted is set at the commit, before any start is sent, or when a new leader adopts a
	// committed attempt or finds a started member. startedAt is the time at
	// which all members had started.
	mayHaveStarted    bool
	startedAt         time.Time
	checkpointRequest callRequest
	speedRequest      callRequest
	speed             float64
}

// callRequest is a request for one call to each worker. pending contains the workers that have not
// been called yet.
type callRequest struct {
	requested   bool
	requestedAt time.Time
	pending     map[string]bool
}

// New returns the state machine of a new attempt in phase Reserving.
func New(now time.Time, spec Spec) *Gang {
	g := newGang(now, spec, Reserving)
	g.lastReserveAt = now
	return g
}

func newGang(now time.Time, spec Spec, phase Phase) *Gang {
	g := &Gang{spec: spec, phase: phase, phaseStartedAt: now, callStates: make(map[string]*callState)}
	for _, worker := range spec.Workers {
		g.members = append(g.members, member{worker: worker})
		g.callState(worker)
	}
	return g
}

func (g *Gang) callState(worker string) *callState {
	c, found := g.callStates[worker]
	if !found {
		c = &callState{}
		g.callStates[worker] = c
		g.workers = append(g.workers, worker)
	}
	return c
}

// Spec returns the description of the attempt.
func (g *Gang) Spec() Spec { return g.spec }

// Phase returns the current phase.
func (g *Gang) Phase() Phase { return g.phase }

// Outcome returns the outcome and its reason. The outcome is empty before the attempt is stopping
// or done.
func (g *Gang) Outcome() (Outcome, string) { return g.outcome, g.reason }

// FailedWorker returns the id of the worker that caused the attempt to end, or "" if none is
// known.
func (g *Gang) FailedWorker() string { return g.failedWorker }

// StartedAt returns the time at which all members had started, or the zero time before that.
func (g *Gang) StartedAt() time.Time { return g.startedAt }

// MayHaveStarted reports whether a worker may have received a start. It is true from the commit on,
// even before the first start is sent.
func (g *Gang) MayHaveStarted() bool { return g.mayHaveStarted }

// Speed returns the last speed set by SetSpeed, or 0 if there was none.
func (g *Gang) Speed() float64 { return g.speed }

func (g *Gang) leaseID(i int) platform.LeaseID {
	return platform.LeaseID{JobUID: g.spec.UID, Attempt: g.spec.Attempt, Member: i}
}

// Leases returns the lease ids of the members by worker id. Members without a known worker are
// left out.
func (g *Gang) Leases() map[string][]platform.LeaseID {
	byWorker := make(map[string][]platform.LeaseID)
	for i, m := range g.members {
		if m.worker != "" {
			byWorker[m.worker] = append(byWorker[m.worker], g.leaseID(i))
		}
	}
	return byWorker
}

// leasesAt returns the lease ids of the members at a worker for which keep returns true.
func (g *Gang) leasesAt(worker string, keep func(*member) bool) []platform.LeaseID {
	var ids []platform.LeaseID
	for i := range g.members {
		if m := &g.members[i]; m.worker == worker && keep(m) {
			ids = append(ids, g.leaseID(i))
		}
	}
	return ids
}

// Next returns the calls to send now. The result of each call must be passed to HandleResult.
// At most one call to each worker is in flight at a time.
func (g *Gang) Next(now time.Time) []Call {
	g.checkTimeouts(now)
	switch g.phase {
	case Reserving:
		return g.callEach(now, g.reserveCallIfNeeded)
	case Committing:
		return g.refreshReservations(now)
	case Starting:
		return g.callEach(now, g.startCall)
	case Running:
		return g.runningCalls(now)
	case Adopting:
		return g.callEach(now, g.adoptCall)
	case Stopping:
		calls := g.callEach(now, g.stopCall)
		g.finishIfStopped(now)
		return calls
	default:
		return nil
	}
}

// callEach invokes call for every worker that has no call in flight and whose retry interval has
// passed. It returns the calls that call returns.
func (g *Gang) callEach(now time.Time, call func(now time.Time, worker string, c *callState) (Call, bool)) []Call {
	var calls []Call
	for _, worker := range g.workers {
		c := g.callStates[worker]
		if c.inFlight || now.Before(c.retryAt) {
			continue
		}
		if next, wanted := call(now, worker, c); wanted {
			next.Worker = worker
			c.inFlight = true
			calls = append(calls, next)
		}
	}
	return calls
}

// queryCall returns a query for the members at worker and for those whose worker is unknown.
func (g *Gang) queryCall(worker string) Call {
	every := func(*member) bool { return true }
	ids := g.leasesAt(worker, every)
	if worker != "" {
		ids = append(ids, g.leasesAt("", every)...)
	}
	return Call{Kind: CallQuery, Leases: ids}
}

// reserveCallIfNeeded returns a query if the worker needs one, or else a reservation if a lease at
// the worker is not reserved.
func (g *Gang) reserveCallIfNeeded(now time.Time, worker string, c *callState) (Call, bool) {
	if c.needsQuery {
		return g.queryCall(worker), true
	}
	missing := g.leasesAt(worker, func(m *member) bool { return m.state != platform.LeaseReserved })
	if len(missing) == 0 {
		return Call{}, false
	}
	return g.reserveCall(now, worker), true
}

// reserveCall returns a reservation of all leases at the worker, because a worker reserves either
// all leases of a call or none.
func (g *Gang) reserveCall(now time.Time, worker string) Call {
	g.extendExpiry(worker, now.Add(ReservedTTL+ExpiryMargin))
	return Call{Kind: CallReserve, Leases: g.leasesAt(worker, func(*member) bool { return true }), TTL: ReservedTTL}
}

// refreshReservations repeats the reservations while the commit is pending.
func (g *Gang) refreshReservations(now time.Time) []Call {
	if now.Sub(g.lastReserveAt) < reserveRefreshPeriod {
		return nil
	}
	g.lastReserveAt = now
	return g.callEach(now, func(now time.Time, worker string, _ *callState) (Call, bool) {
		return g.reserveCall(now, worker), true
	})
}

// startCall returns a query if the worker needs one, or else a start of the reserved leases at the
// worker until startSendWindow has passed.
func (g *Gang) startCall(now time.Time, worker string, c *callState) (Call, bool) {
	if c.needsQuery {
		return g.queryCall(worker), true
	}
	reserved := g.leasesAt(worker, func(m *member) bool { return m.state == platform.LeaseReserved })
	if len(reserved) == 0 || now.Sub(g.phaseStartedAt) > startSendWindow {
		return Call{}, false
	}
	g.extendExpiry(worker, now.Add(StartTTL+ExpiryMargin))
	return Call{Kind: CallStart, Leases: reserved, TTL: StartTTL}, true
}

func (g *Gang) adoptCall(_ time.Time, worker string, c *callState) (Call, bool) {
	if !c.needsQuery {
		return Call{}, false
	}
	return g.queryCall(worker), true
}

// stopCall returns a stop of the leases at the worker that may still be active, unless the worker
// has responded to a stop.
func (g *Gang) stopCall(now time.Time, worker string, c *callState) (Call, bool) {
	mayBeHeld := g.leasesAt(worker, func(m *member) bool { return !m.ended() && now.Before(m.latestExpiry) })
	if len(mayBeHeld) == 0 || c.stopped {
		return Call{}, false
	}
	return Call{Kind: CallStop, Leases: mayBeHeld, Reason: g.reason}, true
}

// runningCalls renews the leases of all members together, and only if each member was confirmed
// within the last RenewPeriod plus confirmSlack. Otherwise it returns the other due calls.
func (g *Gang) runningCalls(now time.Time) []Call {
	if now.Before(g.nextRenewAt) && !g.mayHaveOtherCalls() {
		return nil
	}
	oldest := g.oldestConfirmation()
	if now.Before(g.nextRenewAt) || !g.allCallsConfirmed() || now.Sub(oldest) > RenewPeriod+confirmSlack {
		return g.callEach(now, g.nonRenewalCall)
	}
	g.nextRenewAt = g.nextRenewalTime(now)
	return g.callEach(now, func(now time.Time, worker string, _ *callState) (Call, bool) {
		leases := g.leasesAt(worker, (*member).notEnded)
		if len(leases) == 0 {
			return Call{}, false
		}
		// The worker may process the renewal just before its lease expires, which is at most
		// renewTTL from now. RunningTTL is twice renewTTL.
		g.extendExpiry(worker, now.Add(RunningTTL))
		return Call{Kind: CallRenew, Leases: leases, TTL: renewTTL}, true
	})
}

// mayHaveOtherCalls reports whether calls other than renewals may be due between two renewals.
func (g *Gang) mayHaveOtherCalls() bool {
	if g.checkpointRequest.requested || len(g.speedRequest.pending) > 0 {
		return true
	}
	for _, worker := range g.workers {
		if g.callStates[worker].needsQuery {
			return true
		}
	}
	return false
}

// nextRenewalTime returns the first time after now that is a multiple of RenewPeriod after
// RenewalBase.
func (g *Gang) nextRenewalTime(now time.Time) time.Time {
	periods := now.Sub(g.spec.RenewalBase)/RenewPeriod + 1
	return g.spec.RenewalBase.Add(periods * RenewPeriod)
}

// allCallsConfirmed reports whether every worker with members that have not ended has responded to
// its last call.
func (g *Gang) allCallsConfirmed() bool {
	return g.allMembers(func(m *member) bool {
		c := g.callStates[m.worker]
		return m.ended() || !c.inFlight && !c.needsQuery
	})
}

// notEnded is the negation of ended, as a filter for leasesAt.
func (m *member) notEnded() bool { return !m.ended() }

// nonRenewalCall returns the next call to a worker that is not a renewal, the first that applies
// of: a query if the worker needs one or a confirmation is overdue, a requested checkpoint, a
// requested speed, and a query if a requested checkpoint is not complete.
func (g *Gang) nonRenewalCall(now time.Time, worker string, c *callState) (Call, bool) {
	leases := g.leasesAt(worker, (*member).notEnded)
	switch {
	case len(leases) == 0:
		return Call{}, false
	case c.needsQuery || g.confirmationOverdue(now, worker):
		return g.queryCall(worker), true
	case g.checkpointRequest.takePending(worker):
		return Call{Kind: CallCheckpoint, Leases: leases}, true
	case g.speedRequest.takePending(worker):
		return Call{Kind: CallThrottle, Leases: leases, Speed: g.speed}, true
	case g.checkpointRequest.requested && !g.workerCheckpointed(worker) && !now.Before(c.checkpointPollAt):
		c.checkpointPollAt = now.Add(retryInterval)
		return g.queryCall(worker), true
	}
	return Call{}, false
}

// confirmationOverdue reports whether a renewal is due and the last confirmation of a member at
// the worker is older than RenewPeriod plus confirmSlack.
func (g *Gang) confirmationOverdue(now time.Time, worker string) bool {
	if now.Before(g.nextRenewAt) {
		return false
	}
	old := func(m *member) bool { return m.notEnded() && now.Sub(m.confirmedAt) > RenewPeriod+confirmSlack }
	return len(g.leasesAt(worker, old)) > 0
}

// takePending removes a worker from the workers that have not been called yet. It returns false if
// the worker is not among them.
func (r *callRequest) takePending(worker string) bool {
	if !r.pending[worker] {
		return false
	}
	delete(r.pending, worker)
	return true
}

func (g *Gang) oldestConfirmation() time.Time {
	var oldest time.Time
	for i := range g.members {
		m := &g.members[i]
		if m.notEnded() && (oldest.IsZero() || m.confirmedAt.Before(oldest)) {
			oldest = m.confirmedAt
		}
	}
	return oldest
}

// extendExpiry raises latestExpiry of the leases at a worker to until. It is called before a call
// that may extend the leases is sent.
func (g *Gang) extendExpiry(worker string, until time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.worker == worker && !m.ended() && until.After(m.latestExpiry) {
			m.latestExpiry = until
		}
	}
}

// checkTimeouts stops the attempt if the timeout of the current phase has passed.
func (g *Gang) checkTimeouts(now time.Time) {
	switch g.phase {
	case Reserving:
		if now.Sub(g.phaseStartedAt) > reserveTimeout {
			g.stop(now, NotStarted, "reservation timed out", g.unconfirmedWorker())
		}
	case Starting:
		if now.Sub(g.phaseStartedAt) > startTimeout {
			g.stop(now, Lost, "start timed out", g.unconfirmedWorker())
		}
	case Adopting:
		if now.Sub(g.phaseStartedAt) > lossTimeout {
			g.stop(now, Lost, "a worker did not answer the new leader", "")
		}
	case Running:
		if now.Sub(g.oldestConfirmation()) > lossTimeout {
			g.stop(now, Lost, "a worker did not confirm its lease", g.unconfirmedWorker())
		}
	}
}

// unconfirmedWorker returns the first worker that needs a query or has a call in flight, or "".
func (g *Gang) unconfirmedWorker() string {
	for _, worker := range g.workers {
		if c := g.callStates[worker]; c.needsQuery || c.inFlight {
			return worker
		}
	}
	return ""
}

// HandleResult updates the state from the result of a call.
func (g *Gang) HandleResult(now time.Time, call Call, result CallResult) {
	c := g.callState(call.Worker)
	c.inFlight = false
	switch {
	case result.Err == nil:
		c.needsQuery, c.retryAt = false, time.Time{}
	case errors.Is(result.Err, platform.ErrNoCapacity):
		g.handleRejection(now, call, result.Err)
		return
	case errors.Is(result.Err, platform.ErrUnavailable):
		// The call had no effect. In phase Reserving the reservation is repeated without a query.
		c.retryAt = now.Add(retryInterval)
		c.needsQuery = g.phase != Reserving
		g.makeRenewalDue(now)
		return
	default:
		c.needsQuery, c.retryAt = true, now.Add(retryInterval)
		g.makeRenewalDue(now)
		return
	}
	if call.Kind == CallReserve {
		g.markReserved(call, result.Sent)
	}
	for _, leaseResult := range result.Results {
		g.mergeResult(call, leaseResult, result.Sent)
	}
	if call.Kind == CallStop {
		c.stopped = true
	}
	g.updatePhase(now)
}

// makeRenewalDue schedules the next renewal for now. It is called when a call may not have
// reached its worker, which may have missed a renewal. The renewal of all members is sent as soon
// as the worker is confirmed, without waiting for the next period.
func (g *Gang) makeRenewalDue(now time.Time) {
	if g.phase == Running && now.Before(g.nextRenewAt) {
		g.nextRenewAt = now
	}
}

// handleRejection stops an attempt whose reservation was rejected. A rejection that arrives in a
// later phase has no effect.
func (g *Gang) handleRejection(now time.Time, call Call, err error) {
	if g.phase == Reserving || g.phase == Committing {
		g.stop(now, NotStarted, err.Error(), call.Worker)
	}
}

func (g *Gang) markReserved(call Call, sent time.Time) {
	for _, id := range call.Leases {
		if m := &g.members[id.Member]; !m.ended() {
			m.state, m.confirmedAt = platform.LeaseReserved, sent
		}
	}
}

// mergeResult updates a member from a worker's report of its lease.
func (g *Gang) mergeResult(call Call, result platform.LeaseResult, sent time.Time) {
	if result.ID.JobUID != g.spec.UID || result.ID.Attempt != g.spec.Attempt || result.ID.Member >= len(g.members) {
		return
	}
	m := &g.members[result.ID.Member]
	if m.worker != "" && m.worker != call.Worker || m.state != "" && !m.state.Active() {
		// The lease is at another worker or has already ended.
		return
	}
	if !result.Known && m.worker == "" {
		// Another worker may have the lease.
		return
	}
	if !result.Known {
		// A reservation without a response may not have reached the worker; it is repeated.
		m.missing = g.phase != Reserving
		if !m.missing {
			m.state = ""
		}
		return
	}
	m.worker = call.Worker
	m.lease, m.state = result.Lease, result.Lease.State
	if m.state.Active() {
		m.confirmedAt = sent
	}
}

// updatePhase changes the phase as required by the states of the members.
func (g *Gang) updatePhase(now time.Time) {
	if g.phase == Stopping || g.phase == Done {
		g.finishIfStopped(now)
		return
	}
	if i, found := g.findMember(func(m *member) bool { return m.state == platform.LeaseFailed }); found {
		g.stop(now, Failed, g.members[i].lease.Reason, g.members[i].worker)
		return
	}
	lost := func(m *member) bool { return m.missing || m.state == platform.LeaseStopped }
	if i, found := g.findMember(lost); found {
		g.stop(now, g.lossOutcome(), g.lossReason(i), g.members[i].worker)
		return
	}
	switch g.phase {
	case Reserving:
		if g.allMembers(func(m *member) bool { return m.state == platform.LeaseReserved }) {
			g.enterPhase(now, Committing)
		}
	case Starting:
		g.updateStarting(now)
	case Running:
		g.updateRunning(now)
	case Adopting:
		g.updateAdopting(now)
	}
}

func (g *Gang) lossOutcome() Outcome {
	if g.mayHaveStarted {
		return Lost
	}
	return NotStarted
}

func (g *Gang) lossReason(i int) string {
	m := &g.members[i]
	if m.missing {
		return "worker " + m.worker + " has no lease of the job"
	}
	return "worker " + m.worker + ": " + m.lease.Reason
}

func (g *Gang) updateStarting(now time.Time) {
	if !g.allMembers(func(m *member) bool { return m.state != "" && m.state != platform.LeaseReserved }) {
		return
	}
	g.enterPhase(now, Running)
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	g.nextRenewAt = now
	g.updateRunning(now)
}

func (g *Gang) updateRunning(now time.Time) {
	if g.allMembers(func(m *member) bool { return m.state == platform.LeaseSucceeded }) {
		g.outcome, g.reason = Succeeded, ""
		g.enterPhase(now, Done)
	}
}

func (g *Gang) findMember(match func(*member) bool) (int, bool) {
	for i := range g.members {
		if match(&g.members[i]) {
			return i, true
		}
	}
	return 0, false
}

func (g *Gang) allMembers(match func(*member) bool) bool {
	_, found := g.findMember(func(m *member) bool { return !match(m) })
	return !found
}

func (g *Gang) enterPhase(now time.Time, phase Phase) {
	g.phase, g.phaseStartedAt = phase, now
}

// NeedsCommit reports whether the attempt waits for a call of Commit.
func (g *Gang) NeedsCommit() bool { return g.phase == Committing }

// Commit is called when the attempt is committed to the log, and starts the members. It has no
// effect if a member was last confirmed more than ReservedTTL-CallTimeout ago, for example after a
// pause of the leader process, because a reservation may expire before a start reaches its worker.
// In this case the reservations are repeated and Commit must be called again.
func (g *Gang) Commit(now time.Time) {
	if g.phase != Committing || now.Sub(g.oldestConfirmation()) > ReservedTTL-CallTimeout {
		return
	}
	g.mayHaveStarted = true
	g.enterPhase(now, Starting)
}

// Halt stops the attempt with outcome Halted, or NotStarted if no worker can have received a
// start.
func (g *Gang) Halt(now time.Time, reason string) {
	if g.phase == Stopping || g.phase == Done {
		return
	}
	outcome := Halted
	if !g.mayHaveStarted {
		outcome = NotStarted
	}
	g.stop(now, outcome, reason, "")
}

func (g *Gang) stop(now time.Time, outcome Outcome, reason, failedWorker string) {
	g.outcome, g.reason, g.failedWorker = outcome, reason, failedWorker
	g.enterPhase(now, Stopping)
	for _, c := range g.callStates {
		c.retryAt = time.Time{}
	}
	g.finishIfStopped(now)
}

// finishIfStopped moves a stopping attempt to Done once no member can hold a lease any more.
func (g *Gang) finishIfStopped(now time.Time) {
	if g.phase != Stopping {
		return
	}
	for i := range g.members {
		m := &g.members[i]
		c := g.callStates[m.worker]
		if !m.ended() && now.Before(m.latestExpiry) && (c == nil || !c.stopped) {
			return
		}
	}
	if g.allMembers(func(m *member) bool { return m.state == platform.LeaseSucceeded }) {
		// All members finished before a stop took effect.
		g.outcome, g.reason, g.failedWorker = Succeeded, "", ""
	}
	g.enterPhase(now, Done)
}

// Settled reports whether no member can be running any more; the job can then be placed again.
// An attempt that was never started is settled as soon as it is stopping, while its reservations
// are still being stopped.
func (g *Gang) Settled() bool {
	return g.phase == Done || g.phase == Stopping && g.outcome == NotStarted
}

// RequestCheckpoint requests a checkpoint from all members. It has no effect outside phase Running
// or while there is an earlier request that ClearCheckpointRequest has not removed.
func (g *Gang) RequestCheckpoint(now time.Time) {
	if g.phase != Running || g.checkpointRequest.requested {
		return
	}
	g.checkpointRequest = g.newCallRequest(now)
	for i := range g.members {
		g.members[i].checkpointBefore = g.members[i].lease.Checkpoint
	}
}

func (g *Gang) newCallRequest(now time.Time) callRequest {
	r := callRequest{requested: true, requestedAt: now, pending: make(map[string]bool)}
	for _, worker := range g.workers {
		r.pending[worker] = true
	}
	return r
}

// SetSpeed requests that all members run at the given speed, between 0 (exclusive) and 1 (full
// speed). It has no effect outside phase Running.
func (g *Gang) SetSpeed(now time.Time, speed float64) {
	if g.phase != Running || g.speed == speed {
		return
	}
	g.speed = speed
	g.speedRequest = g.newCallRequest(now)
}

// CheckpointComplete reports whether all members have completed the requested checkpoint.
func (g *Gang) CheckpointComplete() bool {
	return g.checkpointRequest.requested && g.allMembers(func(m *member) bool { return m.checkpointed() })
}

func (m *member) checkpointed() bool {
	return m.ended() || m.lease.Checkpoint > m.checkpointBefore
}

func (g *Gang) workerCheckpointed(worker string) bool {
	return len(g.leasesAt(worker, func(m *member) bool { return !m.checkpointed() })) == 0
}

// CheckpointRequested returns the time of the current checkpoint request and whether there is one.
func (g *Gang) CheckpointRequested() (time.Time, bool) {
	return g.checkpointRequest.requestedAt, g.checkpointRequest.requested
}

// ClearCheckpointRequest removes the current checkpoint request, after which another can be made.
func (g *Gang) ClearCheckpointRequest() { g.checkpointRequest = callRequest{} }

// Checkpoint returns the name of the last checkpoint that all members completed, and how much run
// time of this attempt the checkpoint preserves. Checkpoint names sort in the order in which they
// were written, so all members can resume from the least of the members' newest names. If there is
// no such checkpoint in this attempt, Checkpoint returns the one from which the attempt started,
// and 0.
func (g *Gang) Checkpoint() (name string, saved time.Duration) {
	name = g.spec.Task.Checkpoint
	var least string
	for i := range g.members {
		checkpoint := g.members[i].lease.Checkpoint
		if checkpoint == "" {
			return name, 0
		}
		if i == 0 || checkpoint < least {
			least = checkpoint
		}
	}
	if least <= name {
		return name, 0
	}
	return least, g.checkpointedRunTime()
}

func (g *Gang) checkpointedRunTime() time.Duration {
	var saved time.Duration
	for i := range g.members {
		lease := g.members[i].lease
		d := max(0, seconds(lease.RanSeconds-lease.CheckpointAgeSeconds))
		if i == 0 || d < saved {
			saved = d
		}
	}
	return saved
}

// UnsavedRunTime returns the greatest run time that a member would lose if it were stopped now:
// the time since its last checkpoint, or its whole run time in this attempt if it has none.
func (g *Gang) UnsavedRunTime() time.Duration {
	var age time.Duration
	for i := range g.members {
		lease := g.members[i].lease
		lost := lease.RanSeconds
		if lease.Checkpoint != "" {
			lost = lease.CheckpointAgeSeconds
		}
		age = max(age, seconds(lost))
	}
	return age
}

// RunTime returns the longest run time of any member in this attempt.
func (g *Gang) RunTime() time.Duration {
	var ran time.Duration
	for i := range g.members {
		ran = max(ran, seconds(g.members[i].lease.RanSeconds))
	}
	return ran
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
