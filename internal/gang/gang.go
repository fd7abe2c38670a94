// Package gang is the state machine of one attempt to run a job: reserve, commit, start,
// renew as a whole, stop. It is pure: the time and the workers' answers go in, calls to
// workers come out.
package gang

import (
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Timing of leases. Durations are measured on the worker's clock unless stated otherwise.
const (
	// ReservedTTL is how long a reservation lasts.
	ReservedTTL = 5 * time.Second
	// StartTTL is the first running lease. It bounds a partial run at start.
	StartTTL = 3 * time.Second
	// RunningTTL bounds a partial run after the loss of a member or of the leader.
	RunningTTL = 10 * time.Second
	// RenewPeriod is the time between two renewals, on the leader's clock.
	RenewPeriod = 2 * time.Second
	// ExpiryMargin is added to a TTL before a lease at a silent worker counts as lapsed.
	ExpiryMargin = 2 * time.Second
	// CallTimeout bounds one call to a worker.
	CallTimeout = time.Second

	// confirmSlack is how much older than one period a confirmation may be at a renewal.
	confirmSlack = 500 * time.Millisecond
	// renewTTL is what a renewal asks for. A frozen worker can take a renewal that waits for it
	// at the very end of the lease, so a member can run for two of these after the last moment
	// at which the gang was whole. Together they make RunningTTL.
	renewTTL = RunningTTL / 2
	// lossAfter is the age of a member's confirmation at which the member counts as lost. The
	// other members are not stopped before their leases lapse: a frozen worker may still take a
	// renewal that waits for it, and the gang would be partial for longer.
	lossAfter = RunningTTL - CallTimeout
	// reserveDeadline bounds the time to reserve on all workers.
	reserveDeadline = 3 * time.Second
	// reserveKeep is how often reservations are repeated while the commit is pending.
	reserveKeep = 2 * time.Second
	// restartUntil is how long after the commit a start may be repeated. A later start would
	// leave its member less of the grace than the others need to be confirmed.
	restartUntil = time.Second
	// startDeadline is how long after the commit all members must run.
	startDeadline = 2 * time.Second
	// retryPause is the time between two calls to a worker that does not answer.
	retryPause = 500 * time.Millisecond
)

// Phase is the phase of an attempt.
type Phase string

// Phases of an attempt.
const (
	Reserving  Phase = "reserving"
	Committing Phase = "committing"
	Starting   Phase = "starting"
	Running    Phase = "running"
	// Adopting is a gang that a new leader found and of which some workers do not answer.
	Adopting Phase = "adopting"
	Stopping Phase = "stopping"
	Done     Phase = "done"
)

// Outcome is how an attempt ends.
type Outcome string

// Outcomes of an attempt.
const (
	// NotStarted means that no member was ever started.
	NotStarted Outcome = "not-started"
	Succeeded  Outcome = "succeeded"
	// Failed means that a task failed by itself.
	Failed Outcome = "failed"
	// Lost means that a lease lapsed, a worker was lost or a start did not complete.
	Lost Outcome = "lost"
	// Halted means that the leader ended the attempt: cancellation, reclaim, overuse.
	Halted Outcome = "halted"
)

// Spec describes an attempt.
type Spec struct {
	Job     string
	UID     string
	Attempt uint64
	Task    platform.TaskSpec
	// Workers has the worker id of each member; empty if a new leader does not know it.
	Workers []string
	// RenewalBase aligns the renewals of all gangs of a leader, so that they share calls.
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
	// CallQuery lists the worker's leases.
	CallQuery CallKind = "query"
)

// Call is one call to one worker for the members of the gang there.
type Call struct {
	Kind     CallKind
	Worker   string
	Leases   []platform.LeaseID
	TTL      time.Duration
	Throttle float64
	Reason   string
}

// Response is the outcome of a call.
type Response struct {
	// Sent is when the call left the leader, on the leader's monotonic clock.
	Sent    time.Time
	Results []platform.LeaseResult
	Err     error
}

// member is the leader's knowledge of one member. The truth is at the worker.
type member struct {
	worker string
	// state is empty until the worker reported the lease.
	state platform.LeaseState
	lease platform.Lease
	// gone is set when the worker answered that it has no such lease.
	gone bool
	// confirmed is the send time of the newest call whose answer showed the lease active.
	confirmed time.Time
	// until is the latest time at which the lease can still be active, allowing for lost answers.
	until time.Time
	// checkpointBefore is the checkpoint at the time of the last checkpoint request.
	checkpointBefore string
}

func (m *member) ended() bool {
	return m.gone || m.state != "" && !m.state.Active()
}

// contact is the leader's dealing with one worker of the gang.
type contact struct {
	busy bool
	// retryAt is the earliest time of the next call after one without an answer.
	retryAt time.Time
	// unsure is set while the outcome of the last call is unknown.
	unsure bool
	// pollAt is the earliest time of the next look for a checkpoint.
	pollAt time.Time
	// stopped is set when the worker answered a stop.
	stopped bool
}

// Gang is one attempt. It is not safe for concurrent use.
type Gang struct {
	spec     Spec
	phase    Phase
	outcome  Outcome
	reason   string
	culprit  string
	members  []member
	contacts map[string]*contact
	// order lists the workers in the order of their first member.
	order       []string
	entered     time.Time
	reservedAt  time.Time
	nextRenew   time.Time
	started     bool
	startedAt   time.Time
	checkpoint  request
	throttle    request
	throttledTo float64
}

// request is a wish to call all workers once.
type request struct {
	wanted  bool
	at      time.Time
	pending map[string]bool
}

// New returns an attempt that begins to reserve.
func New(now time.Time, spec Spec) *Gang {
	g := newGang(now, spec, Reserving)
	g.reservedAt = now
	return g
}

func newGang(now time.Time, spec Spec, phase Phase) *Gang {
	g := &Gang{spec: spec, phase: phase, entered: now, contacts: make(map[string]*contact)}
	for _, worker := range spec.Workers {
		g.members = append(g.members, member{worker: worker})
		g.contact(worker)
	}
	return g
}

func (g *Gang) contact(worker string) *contact {
	c, found := g.contacts[worker]
	if !found {
		c = &contact{}
		g.contacts[worker] = c
		g.order = append(g.order, worker)
	}
	return c
}

// Spec returns what the attempt runs.
func (g *Gang) Spec() Spec { return g.spec }

// Phase returns the phase.
func (g *Gang) Phase() Phase { return g.phase }

// Outcome returns how the attempt ends or ended, with the reason.
func (g *Gang) Outcome() (Outcome, string) { return g.outcome, g.reason }

// FailedWorker returns the worker on which the attempt failed, if it was one worker.
func (g *Gang) FailedWorker() string { return g.culprit }

// StartedAt returns when all members first ran, or zero.
func (g *Gang) StartedAt() time.Time { return g.startedAt }

// Started reports whether a start may have reached a worker.
func (g *Gang) Started() bool { return g.started }

// Speed returns the speed that the tasks were last set to, 0 if never.
func (g *Gang) Speed() float64 { return g.throttledTo }

func (g *Gang) id(i int) platform.LeaseID {
	return platform.LeaseID{JobUID: g.spec.UID, Attempt: g.spec.Attempt, Member: i}
}

// Leases returns the ids of all members by worker.
func (g *Gang) Leases() map[string][]platform.LeaseID {
	byWorker := make(map[string][]platform.LeaseID)
	for i, m := range g.members {
		if m.worker != "" {
			byWorker[m.worker] = append(byWorker[m.worker], g.id(i))
		}
	}
	return byWorker
}

// leasesAt returns the members at a worker that satisfy keep.
func (g *Gang) leasesAt(worker string, keep func(*member) bool) []platform.LeaseID {
	var ids []platform.LeaseID
	for i := range g.members {
		if m := &g.members[i]; m.worker == worker && keep(m) {
			ids = append(ids, g.id(i))
		}
	}
	return ids
}

// Next returns the calls to make now. Each call must be answered with Answer. At most one
// call to each worker is open at a time.
func (g *Gang) Next(now time.Time) []Call {
	g.expire(now)
	switch g.phase {
	case Reserving:
		return g.each(now, g.reserveCall)
	case Committing:
		return g.keepReserved(now)
	case Starting:
		return g.each(now, g.startCall)
	case Running:
		return g.runningCalls(now)
	case Adopting:
		return g.each(now, g.adoptCall)
	case Stopping:
		calls := g.each(now, g.stopCall)
		g.finishStop(now)
		return calls
	default:
		return nil
	}
}

// each asks for a call to every worker that is not busy and not in a pause.
func (g *Gang) each(now time.Time, call func(now time.Time, worker string, c *contact) (Call, bool)) []Call {
	var calls []Call
	for _, worker := range g.order {
		c := g.contacts[worker]
		if c.busy || now.Before(c.retryAt) {
			continue
		}
		if next, wanted := call(now, worker, c); wanted {
			next.Worker = worker
			c.busy = true
			calls = append(calls, next)
		}
	}
	return calls
}

// query also names the members whose worker is not known.
func (g *Gang) query(worker string) Call {
	anywhere := func(*member) bool { return true }
	ids := g.leasesAt(worker, anywhere)
	if worker != "" {
		ids = append(ids, g.leasesAt("", anywhere)...)
	}
	return Call{Kind: CallQuery, Leases: ids}
}

func (g *Gang) reserveCall(now time.Time, worker string, c *contact) (Call, bool) {
	if c.unsure {
		return g.query(worker), true
	}
	missing := g.leasesAt(worker, func(m *member) bool { return m.state != platform.LeaseReserved })
	if len(missing) == 0 {
		return Call{}, false
	}
	return g.reserve(now, worker), true
}

// reserve names all leases at the worker, because a reservation holds all or none.
func (g *Gang) reserve(now time.Time, worker string) Call {
	g.extend(worker, now.Add(ReservedTTL+ExpiryMargin))
	return Call{Kind: CallReserve, Leases: g.leasesAt(worker, func(*member) bool { return true }), TTL: ReservedTTL}
}

// keepReserved repeats the reservations while the commit is pending.
func (g *Gang) keepReserved(now time.Time) []Call {
	if now.Sub(g.reservedAt) < reserveKeep {
		return nil
	}
	g.reservedAt = now
	return g.each(now, func(now time.Time, worker string, _ *contact) (Call, bool) {
		return g.reserve(now, worker), true
	})
}

func (g *Gang) startCall(now time.Time, worker string, c *contact) (Call, bool) {
	if c.unsure {
		return g.query(worker), true
	}
	reserved := g.leasesAt(worker, func(m *member) bool { return m.state == platform.LeaseReserved })
	if len(reserved) == 0 || now.Sub(g.entered) > restartUntil {
		return Call{}, false
	}
	g.extend(worker, now.Add(StartTTL+ExpiryMargin))
	return Call{Kind: CallStart, Leases: reserved, TTL: StartTTL}, true
}

func (g *Gang) adoptCall(_ time.Time, worker string, c *contact) (Call, bool) {
	if !c.unsure {
		return Call{}, false
	}
	return g.query(worker), true
}

func (g *Gang) stopCall(now time.Time, worker string, c *contact) (Call, bool) {
	active := g.leasesAt(worker, func(m *member) bool { return !m.ended() && now.Before(m.until) })
	if len(active) == 0 || c.stopped {
		return Call{}, false
	}
	return Call{Kind: CallStop, Leases: active, Reason: g.reason}, true
}

// runningCalls renews all members together, and only if each was confirmed lately.
func (g *Gang) runningCalls(now time.Time) []Call {
	if now.Before(g.nextRenew) && !g.needsAttention() {
		return nil
	}
	oldest := g.oldestConfirmation()
	if now.Before(g.nextRenew) || !g.quiet() || now.Sub(oldest) > RenewPeriod+confirmSlack {
		return g.each(now, g.sideCall)
	}
	g.nextRenew = g.renewAfter(now)
	return g.each(now, func(now time.Time, worker string, _ *contact) (Call, bool) {
		active := g.leasesAt(worker, (*member).active)
		if len(active) == 0 {
			return Call{}, false
		}
		g.extend(worker, now.Add(RunningTTL))
		return Call{Kind: CallRenew, Leases: active, TTL: renewTTL}, true
	})
}

// needsAttention reports whether there is something to do between two renewals.
func (g *Gang) needsAttention() bool {
	if g.checkpoint.wanted || len(g.throttle.pending) > 0 {
		return true
	}
	for _, worker := range g.order {
		if g.contacts[worker].unsure {
			return true
		}
	}
	return false
}

// renewAfter returns the next multiple of the period since the base.
func (g *Gang) renewAfter(now time.Time) time.Time {
	periods := now.Sub(g.spec.RenewalBase)/RenewPeriod + 1
	return g.spec.RenewalBase.Add(periods * RenewPeriod)
}

// quiet reports whether no worker with active members has an open or unanswered call.
func (g *Gang) quiet() bool {
	return g.all(func(m *member) bool {
		c := g.contacts[m.worker]
		return m.ended() || !c.busy && !c.unsure
	})
}

func (m *member) active() bool { return !m.ended() }

// sideCall queries a worker whose last outcome is unknown or whose checkpoint is awaited, and
// carries out wishes that are not renewals.
func (g *Gang) sideCall(now time.Time, worker string, c *contact) (Call, bool) {
	active := g.leasesAt(worker, (*member).active)
	switch {
	case len(active) == 0:
		return Call{}, false
	case c.unsure || g.overdue(now, worker):
		return g.query(worker), true
	case g.checkpoint.take(worker):
		return Call{Kind: CallCheckpoint, Leases: active}, true
	case g.throttle.take(worker):
		return Call{Kind: CallThrottle, Leases: active, Throttle: g.throttledTo}, true
	case g.checkpoint.wanted && !g.checkpointedAt(worker) && !now.Before(c.pollAt):
		c.pollAt = now.Add(retryPause)
		return g.query(worker), true
	}
	return Call{}, false
}

// overdue reports whether a member at the worker was not confirmed for more than a period
// although its renewal is due.
func (g *Gang) overdue(now time.Time, worker string) bool {
	if now.Before(g.nextRenew) {
		return false
	}
	old := func(m *member) bool { return m.active() && now.Sub(m.confirmed) > RenewPeriod+confirmSlack }
	return len(g.leasesAt(worker, old)) > 0
}

func (r *request) take(worker string) bool {
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
		if m.active() && (oldest.IsZero() || m.confirmed.Before(oldest)) {
			oldest = m.confirmed
		}
	}
	return oldest
}

// extend notes until when leases at a worker may be active because of a call sent now.
func (g *Gang) extend(worker string, until time.Time) {
	for i := range g.members {
		m := &g.members[i]
		if m.worker == worker && !m.ended() && until.After(m.until) {
			m.until = until
		}
	}
}

// expire ends phases whose time is over.
func (g *Gang) expire(now time.Time) {
	switch g.phase {
	case Reserving:
		if now.Sub(g.entered) > reserveDeadline {
			g.stop(now, NotStarted, "reservation timed out", g.unansweredWorker())
		}
	case Starting:
		if now.Sub(g.entered) > startDeadline {
			g.stop(now, Lost, "start timed out", g.unansweredWorker())
		}
	case Adopting:
		if now.Sub(g.entered) > lossAfter {
			g.stop(now, Lost, "a worker did not answer the new leader", "")
		}
	case Running:
		if now.Sub(g.oldestConfirmation()) > lossAfter {
			g.stop(now, Lost, "a worker did not confirm its lease", g.unansweredWorker())
		}
	}
}

// unansweredWorker returns a worker with an open question.
func (g *Gang) unansweredWorker() string {
	for _, worker := range g.order {
		if c := g.contacts[worker]; c.unsure || c.busy {
			return worker
		}
	}
	return ""
}

// HandleResponse merges the outcome of a call.
func (g *Gang) HandleResponse(now time.Time, call Call, answer Response) {
	c := g.contact(call.Worker)
	c.busy = false
	switch {
	case answer.Err == nil:
		c.unsure, c.retryAt = false, time.Time{}
	case errors.Is(answer.Err, platform.ErrNoCapacity):
		g.refused(now, call, answer.Err)
		return
	case errors.Is(answer.Err, platform.ErrUnavailable):
		// The call had no effect, so what was known of the leases still holds.
		c.retryAt = now.Add(retryPause)
		c.unsure = g.phase != Reserving
		g.renewSoon(now)
		return
	default:
		c.unsure, c.retryAt = true, now.Add(retryPause)
		g.renewSoon(now)
		return
	}
	if call.Kind == CallReserve {
		g.reserved(call, answer.Sent)
	}
	for _, result := range answer.Results {
		g.observe(call, result, answer.Sent)
	}
	if call.Kind == CallStop {
		c.stopped = true
	}
	g.evaluate(now)
}

// renewSoon makes up for a call that may not have arrived: once the worker is confirmed, all
// members are renewed without waiting for the next period.
func (g *Gang) renewSoon(now time.Time) {
	if g.phase == Running && now.Before(g.nextRenew) {
		g.nextRenew = now
	}
}

func (g *Gang) refused(now time.Time, call Call, err error) {
	if g.phase == Reserving || g.phase == Committing {
		g.stop(now, NotStarted, err.Error(), call.Worker)
	}
}

func (g *Gang) reserved(call Call, sent time.Time) {
	for _, id := range call.Leases {
		if m := &g.members[id.Member]; !m.ended() {
			m.state, m.confirmed = platform.LeaseReserved, sent
		}
	}
}

// observe merges a worker's report of one lease.
func (g *Gang) observe(call Call, result platform.LeaseResult, sent time.Time) {
	if result.ID.JobUID != g.spec.UID || result.ID.Attempt != g.spec.Attempt || result.ID.Member >= len(g.members) {
		return
	}
	m := &g.members[result.ID.Member]
	if m.worker != "" && m.worker != call.Worker || m.state != "" && !m.state.Active() {
		return
	}
	if !result.Known && m.worker == "" {
		return
	}
	if !result.Known {
		// A reservation whose answer was lost may not have arrived; it is repeated.
		m.gone = g.phase != Reserving
		if !m.gone {
			m.state = ""
		}
		return
	}
	m.worker = call.Worker
	m.lease, m.state = result.Lease, result.Lease.State
	if m.state.Active() {
		m.confirmed = sent
	}
}

// evaluate moves on after the members' states changed.
func (g *Gang) evaluate(now time.Time) {
	if g.phase == Stopping || g.phase == Done {
		g.finishStop(now)
		return
	}
	if i, found := g.firstMember(func(m *member) bool { return m.state == platform.LeaseFailed }); found {
		g.stop(now, Failed, g.members[i].lease.Reason, g.members[i].worker)
		return
	}
	lost := func(m *member) bool { return m.gone || m.state == platform.LeaseStopped }
	if i, found := g.firstMember(lost); found {
		g.stop(now, g.lossOutcome(), g.lossReason(i), g.members[i].worker)
		return
	}
	switch g.phase {
	case Reserving:
		if g.all(func(m *member) bool { return m.state == platform.LeaseReserved }) {
			g.enter(now, Committing)
		}
	case Starting:
		g.evaluateStart(now)
	case Running:
		g.evaluateRunning(now)
	case Adopting:
		g.evaluateAdoption(now)
	}
}

func (g *Gang) lossOutcome() Outcome {
	if g.started {
		return Lost
	}
	return NotStarted
}

func (g *Gang) lossReason(i int) string {
	m := &g.members[i]
	if m.gone {
		return "worker " + m.worker + " has no lease of the job"
	}
	return "worker " + m.worker + ": " + m.lease.Reason
}

func (g *Gang) evaluateStart(now time.Time) {
	if !g.all(func(m *member) bool { return m.state != "" && m.state != platform.LeaseReserved }) {
		return
	}
	g.enter(now, Running)
	if g.startedAt.IsZero() {
		g.startedAt = now
	}
	g.nextRenew = now
	g.evaluateRunning(now)
}

func (g *Gang) evaluateRunning(now time.Time) {
	if g.all(func(m *member) bool { return m.state == platform.LeaseSucceeded }) {
		g.outcome, g.reason = Succeeded, ""
		g.enter(now, Done)
	}
}

func (g *Gang) firstMember(match func(*member) bool) (int, bool) {
	for i := range g.members {
		if match(&g.members[i]) {
			return i, true
		}
	}
	return 0, false
}

func (g *Gang) all(match func(*member) bool) bool {
	_, found := g.firstMember(func(m *member) bool { return !match(m) })
	return !found
}

func (g *Gang) enter(now time.Time, phase Phase) {
	g.phase, g.entered = phase, now
}

// NeedsCommit reports whether the attempt waits for Commit.
func (g *Gang) NeedsCommit() bool { return g.phase == Committing }

// Commit tells that the attempt is committed and lets the members start. It has no effect
// while a reservation may have lapsed, as after a pause of the leader; the reservations are
// then repeated first.
func (g *Gang) Commit(now time.Time) {
	if g.phase != Committing || now.Sub(g.oldestConfirmation()) > ReservedTTL-CallTimeout {
		return
	}
	g.started = true
	g.enter(now, Starting)
}

// Halt ends the attempt on the leader's wish. An attempt without a start ends as NotStarted.
func (g *Gang) Halt(now time.Time, reason string) {
	if g.phase == Stopping || g.phase == Done {
		return
	}
	outcome := Halted
	if !g.started {
		outcome = NotStarted
	}
	g.stop(now, outcome, reason, "")
}

func (g *Gang) stop(now time.Time, outcome Outcome, reason, culprit string) {
	g.outcome, g.reason, g.culprit = outcome, reason, culprit
	g.enter(now, Stopping)
	for _, c := range g.contacts {
		c.retryAt = time.Time{}
	}
	g.finishStop(now)
}

// finishStop ends the attempt once no member can be active any more.
func (g *Gang) finishStop(now time.Time) {
	if g.phase != Stopping {
		return
	}
	for i := range g.members {
		m := &g.members[i]
		c := g.contacts[m.worker]
		if !m.ended() && now.Before(m.until) && (c == nil || !c.stopped) {
			return
		}
	}
	if g.all(func(m *member) bool { return m.state == platform.LeaseSucceeded }) {
		g.outcome, g.reason, g.culprit = Succeeded, "", ""
	}
	g.enter(now, Done)
}

// Settled reports whether no member can be running any more, so that the job may be placed
// again. An attempt without a start is settled while its reservations are still given back.
func (g *Gang) Settled() bool {
	return g.phase == Done || g.phase == Stopping && g.outcome == NotStarted
}

// RequestCheckpoint asks all members to write a checkpoint.
func (g *Gang) RequestCheckpoint(now time.Time) {
	if g.phase != Running || g.checkpoint.wanted {
		return
	}
	g.checkpoint = g.request(now)
	for i := range g.members {
		g.members[i].checkpointBefore = g.members[i].lease.Checkpoint
	}
}

func (g *Gang) request(now time.Time) request {
	r := request{wanted: true, at: now, pending: make(map[string]bool)}
	for _, worker := range g.order {
		r.pending[worker] = true
	}
	return r
}

// SetSpeed sets the speed of all tasks.
func (g *Gang) SetSpeed(now time.Time, speed float64) {
	if g.phase != Running || g.throttledTo == speed {
		return
	}
	g.throttledTo = speed
	g.throttle = g.request(now)
}

// CheckpointComplete reports whether all members completed the requested checkpoint.
func (g *Gang) CheckpointComplete() bool {
	return g.checkpoint.wanted && g.all(func(m *member) bool { return m.checkpointed() })
}

func (m *member) checkpointed() bool {
	return m.ended() || m.lease.Checkpoint > m.checkpointBefore
}

func (g *Gang) checkpointedAt(worker string) bool {
	return len(g.leasesAt(worker, func(m *member) bool { return !m.checkpointed() })) == 0
}

// CheckpointRequested returns when a checkpoint was requested and not yet taken back.
func (g *Gang) CheckpointRequested() (time.Time, bool) { return g.checkpoint.at, g.checkpoint.wanted }

// ClearCheckpointRequest forgets a checkpoint request, so that another can be made.
func (g *Gang) ClearCheckpointRequest() { g.checkpoint = request{} }

// Checkpoint returns the last checkpoint that all members completed and the run time that it
// keeps of this attempt. Names of checkpoints sort in the order in which they were written,
// so all members can resume from the least of their newest names.
func (g *Gang) Checkpoint() (name string, kept time.Duration) {
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
	return least, g.kept()
}

func (g *Gang) kept() time.Duration {
	var kept time.Duration
	for i := range g.members {
		lease := g.members[i].lease
		d := max(0, seconds(lease.RanSeconds-lease.CheckpointAgeSeconds))
		if i == 0 || d < kept {
			kept = d
		}
	}
	return kept
}

// CheckpointAge returns the work that would be lost by stopping now.
func (g *Gang) CheckpointAge() time.Duration {
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

// RunTime returns the longest run time of a member in this attempt.
func (g *Gang) RunTime() time.Duration {
	var ran time.Duration
	for i := range g.members {
		ran = max(ran, seconds(g.members[i].lease.RanSeconds))
	}
	return ran
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
