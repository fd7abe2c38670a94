package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

const (
	// chaosTick is the virtual time between two steps of the simulation.
	chaosTick = 50 * time.Millisecond
	// faultTime is how long faults occur. recoveryTime is the time that the jobs then have to end.
	faultTime    = 40 * time.Second
	recoveryTime = 90 * time.Second
)

// manualClock is a clock that only the test advances. Its timers never fire.
type manualClock struct{ at time.Time }

func (c *manualClock) Now() time.Time                       { return c.at }
func (c *manualClock) After(time.Duration) <-chan time.Time { return make(chan time.Time) }

// noWaitContext is a context whose Done channel is closed although Err returns nil. A call is made
// under it, but every wait ends at once, so that a call to a frozen worker returns with an unknown
// outcome.
type noWaitContext struct{ context.Context }

func (noWaitContext) Done() <-chan struct{} {
	done := make(chan struct{})
	close(done)
	return done
}

// message is a call in transit or, if result is set, the result of a call.
type message struct {
	// at is when the message arrives.
	at time.Time
	// leader receives the result; nil if it has stopped waiting for it.
	leader *chaosLeader
	epoch  platform.Epoch
	op     Op
	sent   time.Time
	result *OpResult
}

// chaosLeader is an instance that leads the zone or has not yet noticed that it no longer does.
type chaosLeader struct {
	epoch platform.Epoch
	zone  *zone
	// recorded is set once the log contains the leader's claim.
	recorded bool
	// dead is set when the instance has died or its epoch was rejected.
	dead bool
	// staleState is the state of a leader that has stopped reading the log; nil for others.
	staleState *state.State
	// pausedUntil is when a paused leader resumes.
	pausedUntil time.Time
	view        View
}

// chaos simulates leaders of one zone and stand-in workers, with faults drawn by rapid.
type chaos struct {
	t           *rapid.T
	clock       *manualClock
	fleet       *standin.Fleet
	rows        []platform.Instance
	state       *state.State
	logUp       bool
	leaders     []*chaosLeader
	lastEpoch   uint64
	messages    []message
	nextFaultAt time.Time
	faultsEnded bool
	// reserved has the leases that a worker had after some call, whether or not the response to
	// that call arrived.
	reserved map[platform.LeaseID]bool
	// history has the faults and the calls that arrived, to be printed when a check fails.
	history []string
}

func (c *chaos) recordf(format string, args ...any) {
	c.history = append(c.history, c.clock.at.Format("05.00 ")+fmt.Sprintf(format, args...))
}

// historyOf returns the faults, and the calls and runs of one attempt.
func (c *chaos) historyOf(id standin.AttemptID) string {
	var out strings.Builder
	for _, line := range c.history {
		if strings.Contains(line, "fault") || strings.Contains(line, fmt.Sprint(id.Attempt)) {
			fmt.Fprintln(&out, line)
		}
	}
	for _, run := range c.fleet.Runs() {
		if run.ID.Attempt == id.Attempt {
			fmt.Fprintf(&out, "run %s %d %s..%s %s\n", run.Worker, run.ID.Member, run.From.Format("05.00"), run.To.Format("05.00"), run.EndState)
		}
	}
	return out.String()
}

func newChaos(t *rapid.T) *chaos {
	c := &chaos{
		t: t, clock: &manualClock{at: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}, logUp: true,
		state: state.New(), reserved: make(map[platform.LeaseID]bool),
	}
	for i := range 4 {
		c.rows = append(c.rows, platform.Instance{
			ID: fmt.Sprintf("w%d", i), Kind: platform.KindWorker, State: platform.StateLive, Zone: "z",
			Rack: fmt.Sprintf("r%d", i/2), Cores: 64, MemoryMB: 64 << 10, Accelerators: 4,
		})
	}
	c.fleet = standin.NewFleet(standin.FleetConfig{Clock: c.clock, Workers: c.rows})
	c.put(&resource.Organisation{Metadata: resource.Metadata{Name: "org"}})
	c.putJob("gang", 4, 2, resource.RestartAlways, "duration=18s checkpoint=500ms")
	c.putJob("once", 3, 2, resource.RestartNever, "duration=12s")
	c.putJob("single", 1, 1, resource.RestartAlways, "duration=25s checkpoint=500ms")
	c.newLeader()
	return c
}

func (c *chaos) apply(r state.Record) state.Verdict {
	r.Version, r.Base, r.Time = state.RecordVersion, c.state.Applied, c.clock.at
	if r.ID == "" {
		r.ID = fmt.Sprintf("record-%d", c.state.Applied+1)
	}
	return c.state.Apply(c.state.Applied+1, r)
}

func (c *chaos) put(object resource.Object) {
	data, err := json.Marshal(object)
	require.NoError(c.t, err)
	v := c.apply(state.Record{Put: &state.Put{Kind: object.Kind(), Object: data}})
	require.Equal(c.t, state.Accepted, v.Code, v.Message)
}

func (c *chaos) putJob(name string, members, accelerators int, restart resource.RestartPolicy, payload string) {
	job := testJob(name, members, accelerators, payload)
	job.Spec.Restart, job.Status.Zone = restart, "z"
	c.put(job)
}

// newLeader starts a leader with the next epoch. Its claim is recorded once the log is up.
func (c *chaos) newLeader() {
	c.lastEpoch++
	epoch := platform.Epoch{Number: c.lastEpoch, Holder: fmt.Sprintf("i%d", c.lastEpoch%3)}
	l := &chaosLeader{epoch: epoch, zone: newZone(c.clock.at, "z", epoch, scheduler.New(1))}
	c.leaders = append(c.leaders, l)
}

func (c *chaos) leader() *chaosLeader { return c.leaders[len(c.leaders)-1] }

// run lets faults occur for faultTime, ends them, and checks that all jobs end within recoveryTime.
func (c *chaos) run() {
	end := c.clock.at.Add(faultTime)
	for c.clock.at.Before(end) {
		c.maybeFault()
		c.tick()
	}
	c.endFaults()
	end = c.clock.at.Add(recoveryTime)
	for c.clock.at.Before(end) && !c.finished() {
		c.tick()
	}
	c.check()
	for name, job := range c.state.Jobs {
		require.True(c.t, job.Status.Phase.Terminal(), "job %s is %s after the faults\n%s", name, job.Status.Phase, c.describe())
	}
}

// describe returns the state of the leaders, the workers and the jobs, to be printed when a check
// fails.
func (c *chaos) describe() string {
	var out strings.Builder
	for _, l := range c.leaders {
		if l.dead {
			continue
		}
		fmt.Fprintf(&out, "leader %v recorded=%v adopted=%v write=%+v\n", l.epoch, l.recorded, l.zone.adopted, l.zone.write)
		for key, r := range l.zone.runs {
			result, reason := r.Outcome()
			fmt.Fprintf(&out, "  run %s %d %s %s %s commitAt=%v committed=%v ended=%v\n", r.job, key.number, r.Phase(), result, reason, r.commitRequestedAt, r.committed, r.outcomeApplied)
		}
		for name, p := range l.zone.pending {
			fmt.Fprintf(&out, "  pending %s %+v\n", name, *p)
		}
		for id, w := range l.zone.workers {
			fmt.Fprintf(&out, "  worker %s listed=%v unreachable=%v orphans=%v\n", id, w.listed, w.unreachable, w.orphans)
		}
		fmt.Fprintf(&out, "  waiting %v\n", l.zone.waiting)
	}
	for _, row := range c.rows {
		for _, lease := range c.fleet.Snapshot(row.ID) {
			fmt.Fprintf(&out, "lease %s %+v\n", row.ID, lease)
		}
	}
	for name, job := range c.state.Jobs {
		fmt.Fprintf(&out, "job %s %+v\n", name, job.Status)
	}
	return out.String()
}

func (c *chaos) finished() bool {
	for _, job := range c.state.Jobs {
		if !job.Status.Phase.Terminal() {
			return false
		}
	}
	return true
}

func (c *chaos) tick() {
	c.clock.at = c.clock.at.Add(chaosTick)
	c.deliver()
	for _, l := range c.leaders {
		if !l.dead {
			c.stepLeader(l)
		}
	}
}

func (c *chaos) stepLeader(l *chaosLeader) {
	now := c.clock.at
	if now.Before(l.pausedUntil) {
		return
	}
	if !l.recorded && c.logUp {
		v := c.apply(state.Record{Claim: &state.ZoneClaim{Zone: "z", Epoch: l.epoch, Provisional: true}})
		l.recorded = v.Code == state.Accepted
		if !l.recorded {
			l.dead = true
			return
		}
	}
	st := c.state
	if l.staleState != nil {
		st = l.staleState
	}
	if l.view.Jobs == nil || l.view.Offset != st.Applied {
		l.view = newView(st, "z")
	}
	view := l.view
	view.Instances, view.Confirmed, view.LogUp = c.rows, true, c.logUp && l.recorded && l.staleState == nil
	step := l.zone.step(now, view)
	for _, op := range step.Ops {
		c.send(l, op)
	}
	if step.Update != nil {
		c.write(l, step)
	}
}

func (c *chaos) write(l *chaosLeader, step StepResult) {
	outcomes := []string{"ok", "ok", "ok", "lost", "not-applied"}
	outcome := "ok"
	if !c.faultsEnded {
		outcome = rapid.SampledFrom(outcomes).Draw(c.t, "write")
	}
	var verdict state.Verdict
	var err error
	switch {
	case !c.logUp || outcome == "not-applied":
		err = state.ErrNotApplied
	default:
		update := cloneUpdate(*step.Update)
		verdict = c.apply(state.Record{ID: step.RecordID, ZoneUpdate: &update})
		if outcome == "lost" {
			err = state.ErrUnknownOutcome
		}
	}
	if l.zone.handleWriteResult(c.clock.at, verdict, err) {
		l.dead = true
	}
}

func cloneUpdate(u state.ZoneUpdate) state.ZoneUpdate {
	u.Jobs = slices.Clone(u.Jobs)
	return u
}

// send sends a call. It arrives at once, late or never.
func (c *chaos) send(l *chaosLeader, op Op) {
	now := c.clock.at
	delivery := "ok"
	if !c.faultsEnded {
		delivery = rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "ok", "late", "lost"}).Draw(c.t, "delivery")
	}
	m := message{at: now, leader: l, epoch: l.epoch, op: op, sent: now}
	switch delivery {
	case "late":
		// The call arrives after the caller has timed out.
		m.at, m.leader = now.Add(gang.CallTimeout), nil
		c.respondLater(l, op, now, OpResult{CallResult: gang.CallResult{Sent: now, Err: platform.ErrUnknownOutcome}})
	case "lost":
		c.respondLater(l, op, now, OpResult{CallResult: gang.CallResult{Sent: now, Err: platform.ErrUnknownOutcome}})
		return
	}
	c.messages = append(c.messages, m)
	c.checkStart(op)
}

func (c *chaos) respondLater(l *chaosLeader, op Op, sent time.Time, opResult OpResult) {
	c.messages = append(c.messages, message{at: sent.Add(gang.CallTimeout), leader: l, op: op, sent: sent, result: &opResult})
}

func (c *chaos) deliver() {
	due, rest := []message{}, []message{}
	for _, m := range c.messages {
		if m.at.After(c.clock.at) {
			rest = append(rest, m)
		} else {
			due = append(due, m)
		}
	}
	c.messages = rest
	for _, m := range due {
		switch {
		case m.result != nil:
			c.respond(m.leader, m.op, *m.result)
		default:
			c.arrive(m)
		}
	}
}

// arrive makes a call at its worker and returns the result to the leader.
func (c *chaos) arrive(m message) {
	c.recordf("%s at %s of attempt %d by %v sent %s ttl %v", m.op.Kind, m.op.Call.Worker, m.op.run.number, m.epoch, m.sent.Format("05.00"), m.op.TTL)
	d := &dispatcher{
		workers: c.fleet, epoch: m.epoch,
		mayCall: func() bool { return true }, now: func() time.Time { return m.sent },
	}
	opResult := d.callBatch(noWaitContext{context.Background()}, []Op{m.op})[0]
	for _, lease := range c.fleet.Snapshot(m.op.Call.Worker) {
		c.reserved[lease.ID] = true
	}
	if m.leader == nil {
		return
	}
	if errors.Is(opResult.Err, platform.ErrUnknownOutcome) {
		c.respondLater(m.leader, m.op, m.sent, opResult)
		return
	}
	c.respond(m.leader, m.op, opResult)
}

func (c *chaos) respond(l *chaosLeader, op Op, opResult OpResult) {
	if l.dead {
		return
	}
	if errors.Is(opResult.Err, platform.ErrStaleEpoch) {
		l.dead = true
		return
	}
	l.zone.handleResult(c.clock.at, op, opResult)
}

// checkStart checks that a start is sent only after all members were reserved, and for a job that
// runs at most once only after the attempt is in the log.
func (c *chaos) checkStart(op Op) {
	if op.Kind != gang.CallStart {
		return
	}
	for i := range op.Task.Members {
		id := platform.LeaseID{JobUID: op.run.uid, Attempt: op.run.number, Member: i}
		if !c.reserved[id] {
			c.t.Fatalf("start of %v before member %d is reserved\n%s", op.run, i, c.historyOf(standin.AttemptID{Attempt: op.run.number}))
		}
	}
	job := c.state.Jobs[op.Task.JobName]
	if job.Spec.Restart == resource.RestartNever {
		require.Equal(c.t, op.run.number, job.Status.Attempt, "start before the attempt is in the log")
	}
}

func (c *chaos) maybeFault() {
	if c.clock.at.Before(c.nextFaultAt) {
		return
	}
	c.nextFaultAt = c.clock.at.Add(time.Duration(rapid.IntRange(4, 60).Draw(c.t, "ticks to next fault")) * chaosTick)
	fault := rapid.SampledFrom([]string{"die", "pause", "two-leaders", "log", "worker", "worker", "worker", "heal"}).Draw(c.t, "fault")
	c.recordf("fault: %s", fault)
	switch fault {
	case "die":
		c.leader().dead = true
		c.newLeader()
	case "pause":
		c.leader().pausedUntil = c.clock.at.Add(time.Duration(rapid.IntRange(1, 5).Draw(c.t, "pause")) * time.Second)
		c.newLeader()
	case "two-leaders":
		// The old leader continues with a state that is no longer updated.
		c.leader().staleState = c.state.Clone()
		c.newLeader()
	case "log":
		c.logUp = !c.logUp
	case "worker":
		c.faultWorker()
	case "heal":
		c.heal()
	}
}

func (c *chaos) faultWorker() {
	id := rapid.SampledFrom(c.rows).Draw(c.t, "worker").ID
	var faults standin.WorkerFaults
	switch rapid.SampledFrom([]string{"outage", "frozen", "crashed", "lose"}).Draw(c.t, "worker fault") {
	case "outage":
		faults.Outage = true
	case "frozen":
		faults.Frozen = true
	case "crashed":
		faults.Crashed = true
	case "lose":
		faults.LoseResponses = rapid.IntRange(1, 4).Draw(c.t, "responses")
	}
	c.recordf("fault at %s: %+v", id, faults)
	require.NoError(c.t, c.fleet.SetFaults(id, faults))
}

func (c *chaos) heal() {
	c.recordf("fault: healed")
	for _, row := range c.rows {
		require.NoError(c.t, c.fleet.SetFaults(row.ID, standin.WorkerFaults{}))
	}
}

func (c *chaos) endFaults() {
	c.heal()
	c.faultsEnded, c.logUp = true, true
	for _, l := range c.leaders {
		l.staleState = nil
	}
	if c.leader().dead {
		c.newLeader()
	}
}

// check checks the invariants on the runs recorded by the stand-in workers: no attempt runs with only
// some of its members for longer than gang.RunningTTL, and a job that runs at most once has at most
// one attempt, of which no member runs twice.
func (c *chaos) check() {
	for id, partial := range c.fleet.LongestPartialTimes() {
		if partial > gang.RunningTTL {
			c.t.Fatalf("attempt %v ran with only some members for %s, limit %s\n%s", id, partial, gang.RunningTTL, c.historyOf(id))
		}
	}
	attempts := make(map[uint64]bool)
	members := make(map[platform.LeaseID]int)
	once := c.state.Jobs["once"]
	for _, run := range c.fleet.Runs() {
		if run.ID.JobUID == once.UID {
			attempts[run.ID.Attempt] = true
			members[run.ID]++
			require.Equal(c.t, 1, members[run.ID], "member %v ran twice", run.ID)
		}
	}
	require.LessOrEqual(c.t, len(attempts), 1, "the job that runs at most once had several attempts")
}

// Guards against gangs that run with only some of their members, second runs of a job that runs at
// most once, and jobs that never end, under random sequences of leader deaths, pauses, two leaders at
// once, log outages, lost and late calls, and crashed, frozen or unreachable workers.
func TestGangInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { newChaos(t).run() })
}
