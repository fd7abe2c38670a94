// Package dispatch chooses the target of each request. It enforces a concurrency limit for each
// target, lowers the limit of targets that slow down, ejects targets that fail, and limits retries
// by a budget. It also divides the slots of targets among instances by demand. The package does no
// I/O and reads no clock: callers pass the current time and do the locking.
package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const (
	// slowdownGain is the weight of the newest sample in the moving average of a target's
	// slowdown: service time divided by the average service time of the request's class.
	slowdownGain = 0.1
	// slowdownThreshold is the ratio of a target's slowdown to the median of all targets above
	// which its concurrency limit is lowered. Service times of one class vary by a factor of
	// about 2 between requests, and their average over 1/slowdownGain samples by much less.
	slowdownThreshold = 2.0
	// limitDecreaseFactor multiplies the concurrency limit of a target for each success while it
	// is slow and for each rejection; limitIncreaseStep is added for each other success.
	limitDecreaseFactor = 0.9
	limitIncreaseStep   = 0.1
	// minSlowdownSamples is the number of samples from which a target's slowdown is used.
	minSlowdownSamples = 5
	// maxEjectionFactor bounds the growth of the ejection time, which doubles with each repeated
	// ejection, relative to the first. With the default first ejection of 5 s, an ejection lasts
	// at most a minute plus jitter.
	maxEjectionFactor = 12
	// ejectionJitter is the random part of an ejection time, up or down. It spreads the return
	// of targets that were ejected together.
	ejectionJitter = 0.2
	// maxRetryTokens is the maximum number of retries that the retry budget can accumulate.
	maxRetryTokens = 10.0
	// The upper bound of the wait before a retry is 2*backoffBase for the first retry, doubles
	// with each further one and is at most backoffMax. The wait is uniform between zero and the
	// bound, so that retries after a common fault do not arrive at the same time.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// failureSlowdown is the slowdown sample of a failed attempt, so that a target that fails
	// quickly never looks faster than a healthy one.
	failureSlowdown = 4.0
	// defaultSlots and defaultConnections apply to targets for which the platform's list has no
	// limits.
	defaultSlots       = 8
	defaultConnections = 64
)

// Verdict states what the end of an attempt implies about the target's health.
type Verdict int

// Verdicts of attempts.
const (
	// Succeeded means that the target sent a complete response without a server error.
	Succeeded Verdict = iota
	// Failed means a transport failure, or an invalid or truncated response.
	Failed
	// ErrorResponse means a complete response with a server error status. The cause may be the
	// request.
	ErrorResponse
	// Rejected means that the target declined the request without starting it.
	Rejected
	// Abandoned means that the attempt ended for a reason unrelated to the target.
	Abandoned
)

// Result describes the end of an attempt.
type Result struct {
	Verdict Verdict
	// ServiceTime is how long the attempt occupied its slot.
	ServiceTime time.Duration
	// ExpectedServiceTime is the average service time of the request's class. Zero means that
	// ServiceTime is not used as a sample.
	ExpectedServiceTime time.Duration
	// Caller identifies the caller, for example by a hash of its name. It distinguishes targets
	// that fail from callers whose requests always fail. The result of a failure must not have
	// the value 0, which stands for no caller.
	Caller uint64
}

// target is the state of one target.
type target struct {
	instance platform.Instance
	// leaving is set at leavingAt, by the first notice that the target is leaving. It is cleared
	// when the target has returned under the same id, as after a restart.
	leaving   bool
	leavingAt time.Time
	// listedLeaving is set when the platform's list has shown the target as leaving.
	listedLeaving bool
	// returnedAt is when the last return of the target was found.
	returnedAt time.Time
	// unlisted is set while the platform's list does not contain the target.
	unlisted bool
	// allowance is the number of slots that this instance may use.
	allowance        int
	inUse            int
	concurrencyLimit float64
	// slowdown is a moving average over slowdownSamples samples; see slowdownGain.
	slowdown            float64
	slowdownSamples     int
	consecutiveFailures int
	// failedCaller is the caller of the last failure, or 0 if there was none since the last
	// success. multipleCallers is set if the failures since the last success affected more than
	// one caller.
	failedCaller    uint64
	multipleCallers bool
	// ejections is increased by each ejection and decreased by each successful return.
	ejections    int
	ejectedUntil time.Time
	// halfOpen is set from an ejection until the next successful response. Until then, the
	// target gets one request at a time after ejectedUntil.
	halfOpen bool
}

// Table contains the state of all targets as seen by one instance. It is not safe for concurrent
// use.
type Table struct {
	policy      resource.DispatchPolicy
	targets     map[string]*target
	byID        []*target
	random      *rand.Rand
	retryTokens float64
	// allow returns the number of slots of a target that this instance may use now.
	allow func(t platform.Instance) int
}

// New returns an empty table. seed seeds random choices and jitter. allow returns how many slots of
// a target this instance may use; nil allows all.
func New(seed uint64, allow func(platform.Instance) int) *Table {
	if allow == nil {
		allow = Slots
	}
	return &Table{
		policy:  resource.PolicySpec{}.WithDefaults().Dispatch,
		targets: make(map[string]*target),
		// Package admission uses another stream, so that equal seeds give different numbers there.
		random: rand.New(rand.NewPCG(seed, 2)),
		allow:  allow,
	}
}

// Slots returns the maximum number of concurrent requests at a target: its slots or its connections,
// whichever are fewer.
func Slots(t platform.Instance) int {
	slots, connections := t.Slots, t.Connections
	if slots == 0 {
		slots = defaultSlots
	}
	if connections == 0 {
		connections = defaultConnections
	}
	return min(slots, connections)
}

// SetPolicy replaces the policy.
func (t *Table) SetPolicy(p resource.DispatchPolicy) {
	t.policy = resource.PolicySpec{Dispatch: p}.WithDefaults().Dispatch
}

// LeavingNoticeTTL is how long a notice that a target is leaving, from the target itself or from a
// peer, overrides the platform's list if the list shows the target as live. It is far longer than the
// list's lag of about a second. A target that restarts under its id so fast that the list never shows
// it as leaving or gone gets new requests only after this time.
const LeavingNoticeTTL = time.Minute

// StaleNoticePeriod is how long, after a target has returned, notices from peers that the target is
// leaving are ignored. A peer repeats its notice until it has read the new list itself, a second or
// two later.
const StaleNoticePeriod = 5 * time.Second

// Changes are the differences that Table.Update found.
type Changes struct {
	// Leaving has the ids of targets that are listed as leaving and were not marked as leaving
	// before.
	Leaving []string
	// Returned has the ids of targets that left and have returned.
	Returned []string
}

// Update applies the platform's current list of instances and returns the changes of targets.
func (t *Table) Update(now time.Time, list []platform.Instance) Changes {
	listed := make(map[string]bool)
	var changes Changes
	for _, instance := range list {
		if instance.Kind != platform.KindTarget {
			continue
		}
		listed[instance.ID] = true
		entry := t.targetFor(instance)
		switch {
		case instance.State == platform.StateLeaving:
			if t.MarkLeaving(now, instance.ID) {
				changes.Leaving = append(changes.Leaving, instance.ID)
			}
			entry.listedLeaving = true
		case entry.hasReturned(now):
			entry.leaving, entry.listedLeaving, entry.returnedAt = false, false, now
			changes.Returned = append(changes.Returned, instance.ID)
		}
		entry.instance = instance
		entry.unlisted = false
	}
	for _, entry := range t.byID {
		entry.unlisted = !listed[entry.instance.ID]
	}
	t.removeUnlisted()
	t.RefreshAllowances()
	return changes
}

// hasReturned reports whether a target that is listed as live has returned after it left: either an
// earlier list showed it as leaving or did not contain it, or its notice is at least LeavingNoticeTTL
// old, which is longer than any lag of the list.
func (e *target) hasReturned(now time.Time) bool {
	return e.leaving && (e.listedLeaving || e.unlisted || now.Sub(e.leavingAt) >= LeavingNoticeTTL)
}

// targetFor returns the state of a target, which it creates if needed.
func (t *Table) targetFor(instance platform.Instance) *target {
	entry, known := t.targets[instance.ID]
	if !known {
		entry = &target{instance: instance, concurrencyLimit: float64(Slots(instance)), slowdown: 1}
		t.targets[instance.ID] = entry
		t.byID = append(t.byID, entry)
		slices.SortFunc(t.byID, func(a, b *target) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	return entry
}

// removeUnlisted removes targets that are not listed and have no request in progress.
func (t *Table) removeUnlisted() {
	t.byID = slices.DeleteFunc(t.byID, func(e *target) bool {
		drop := e.unlisted && e.inUse == 0
		if drop {
			delete(t.targets, e.instance.ID)
		}
		return drop
	})
}

// RefreshAllowances updates the number of slots that this instance may use of each target.
func (t *Table) RefreshAllowances() {
	for _, e := range t.byID {
		e.allowance = t.allow(e.instance)
	}
}

// ApplyPeerNotice marks a target as leaving because a peer reports it, unless the target returned
// less than StaleNoticePeriod ago.
func (t *Table) ApplyPeerNotice(now time.Time, id string) {
	e, known := t.targets[id]
	if known && (e.returnedAt.IsZero() || now.Sub(e.returnedAt) >= StaleNoticePeriod) {
		t.MarkLeaving(now, id)
	}
}

// MarkLeaving stops new requests to a target. It returns false if the target is unknown or already
// marked.
func (t *Table) MarkLeaving(now time.Time, id string) bool {
	e, known := t.targets[id]
	if !known || e.leaving {
		return false
	}
	e.leaving, e.leavingAt = true, now
	return true
}

// Targets returns the targets that are listed and not leaving, as in the platform's list and ordered
// by id.
func (t *Table) Targets() []platform.Instance {
	var instances []platform.Instance
	for _, e := range t.byID {
		if !e.leaving && !e.unlisted {
			instances = append(instances, e.instance)
		}
	}
	return instances
}

// InUse returns the number of requests in progress at each target that has any, by target id.
func (t *Table) InUse() map[string]int {
	used := make(map[string]int)
	for _, e := range t.byID {
		if e.inUse > 0 {
			used[e.instance.ID] = e.inUse
		}
	}
	return used
}

// Capacity returns the numbers of free slots and of all slots that this instance may use now.
func (t *Table) Capacity(now time.Time) (free, total int) {
	for _, e := range t.byID {
		slots := e.usableSlots(now)
		total += slots
		free += max(slots-e.inUse, 0)
	}
	return free, total
}

// usableSlots returns the number of slots that may be used now. A target that returns from ejection
// gets one request at a time until one succeeds.
func (e *target) usableSlots(now time.Time) int {
	switch {
	case e.leaving || e.unlisted || now.Before(e.ejectedUntil):
		return 0
	case e.halfOpen:
		return min(e.allowance, 1)
	default:
		return min(e.allowance, max(1, int(math.Round(e.concurrencyLimit))))
	}
}

// Pick occupies a slot of the target with the lowest load relative to its slots and its speed. It
// prefers other targets to the one with the id avoid and, unless the request is repeatable (may be
// sent again after a failure), to half-open targets. It returns false if there is no free slot.
func (t *Table) Pick(now time.Time, avoid string, repeatable bool) (platform.Instance, bool) {
	var best *target
	bestScore := math.Inf(1)
	ties := 0
	for _, e := range t.byID {
		if e.inUse >= e.usableSlots(now) {
			continue
		}
		score := e.loadScore()
		if e.instance.ID == avoid || (e.halfOpen && !repeatable) {
			score += avoidPenalty
		}
		switch {
		case score < bestScore:
			best, bestScore, ties = e, score, 1
		case score == bestScore:
			// Ties are broken at random, so that instances do not all pick the first target.
			ties++
			if t.random.IntN(ties) == 0 {
				best = e
			}
		}
	}
	if best == nil {
		return platform.Instance{}, false
	}
	best.inUse++
	return best.instance, true
}

// avoidPenalty exceeds any realistic load score.
const avoidPenalty = 1e6

// loadScore returns the load that one more request would cause, relative to the target's slots and
// multiplied by its slowdown.
func (e *target) loadScore() float64 {
	return float64(e.inUse+1) / float64(Slots(e.instance)) * e.slowdown
}

// Finish frees the slot of an attempt and updates the target's state from the result. It reports
// whether this ejected the target.
func (t *Table) Finish(now time.Time, id string, r Result) (ejected bool) {
	e, known := t.targets[id]
	if !known {
		return false
	}
	e.inUse--
	switch r.Verdict {
	case Succeeded:
		t.recordSuccess(e, r)
	case Failed, ErrorResponse:
		ejected = t.recordFailure(now, e, r)
	case Rejected:
		e.concurrencyLimit = max(1, e.concurrencyLimit*limitDecreaseFactor)
	case Abandoned:
	}
	return ejected
}

// recordSuccess ends a half-open state and adapts the concurrency limit: it shrinks by a factor while
// the target is slow and grows by a step otherwise.
func (t *Table) recordSuccess(e *target, r Result) {
	e.consecutiveFailures, e.multipleCallers, e.failedCaller = 0, false, 0
	if e.halfOpen {
		e.halfOpen = false
		e.ejections = max(0, e.ejections-1)
		// The limit starts again at half the target's slots, since the target may have lost its
		// caches.
		e.concurrencyLimit = max(1, float64(Slots(e.instance))/2)
	}
	if r.ExpectedServiceTime > 0 {
		e.recordSlowdown(r.ServiceTime.Seconds() / r.ExpectedServiceTime.Seconds())
	}
	if e.slowdownSamples >= minSlowdownSamples && e.slowdown > slowdownThreshold*t.medianSlowdown() {
		e.concurrencyLimit = max(1, e.concurrencyLimit*limitDecreaseFactor)
		return
	}
	e.concurrencyLimit = min(float64(Slots(e.instance)), e.concurrencyLimit+limitIncreaseStep)
}

func (e *target) recordSlowdown(slowdown float64) {
	e.slowdownSamples++
	e.slowdown += slowdownGain * (slowdown - e.slowdown)
}

// medianSlowdown returns the median over targets with enough samples, or 1 if there is none.
func (t *Table) medianSlowdown() float64 {
	values := make([]float64, 0, len(t.byID))
	for _, e := range t.byID {
		if e.slowdownSamples >= minSlowdownSamples {
			values = append(values, e.slowdown)
		}
	}
	if len(values) == 0 {
		return 1
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// recordFailure counts a failure and ejects the target after too many in a row, or at the first one
// if the target is half-open. Error responses eject a target only if its failures affected more than
// one caller, so that a single caller whose requests always fail cannot eject targets.
func (t *Table) recordFailure(now time.Time, e *target, r Result) (ejected bool) {
	e.recordSlowdown(failureSlowdown)
	if e.failedCaller != 0 && e.failedCaller != r.Caller {
		e.multipleCallers = true
	}
	e.failedCaller = r.Caller
	e.consecutiveFailures++
	if r.Verdict == ErrorResponse && !e.multipleCallers {
		return false
	}
	if now.Before(e.ejectedUntil) || (!e.halfOpen && e.consecutiveFailures < t.policy.EjectAfterFailures) {
		return false
	}
	factor := min(math.Pow(2, float64(e.ejections)), maxEjectionFactor)
	if t.halfEjected(now) {
		// A common cause is more likely than many broken targets, so the ejection is as short
		// as a first one.
		factor = 1
	}
	jitter := 1 + ejectionJitter*(2*t.random.Float64()-1)
	ejection := time.Duration(t.policy.EjectSeconds * factor * jitter * float64(time.Second))
	e.ejections++
	e.ejectedUntil = now.Add(ejection)
	e.halfOpen = true
	e.consecutiveFailures = 0
	return true
}

// halfEjected reports whether at least half of the targets are ejected or half-open.
func (t *Table) halfEjected(now time.Time) bool {
	ejected := 0
	for _, e := range t.byID {
		if e.halfOpen || now.Before(e.ejectedUntil) {
			ejected++
		}
	}
	return 2*ejected >= len(t.byID)
}

// AddRetryBudget adds the budget that one first attempt earns: the policy's fraction of a retry. It
// is called once for each request.
func (t *Table) AddRetryBudget() {
	t.retryTokens = min(t.retryTokens+t.policy.RetryBudget, maxRetryTokens)
}

// TakeRetry takes one retry from the budget. It returns false if the budget is used up. The budget
// starts empty, so that the number of retries never exceeds the policy's fraction of first attempts.
func (t *Table) TakeRetry() bool {
	if t.retryTokens < 1 {
		return false
	}
	t.retryTokens--
	return true
}

// Backoff returns a random wait before a retry of a request. retry is 1 for the first retry.
func (t *Table) Backoff(retry int) time.Duration {
	// The limit of 10 keeps the shift from overflowing; the bound is far above backoffMax there.
	bound := min(backoffBase<<min(retry, 10), backoffMax)
	return time.Duration(t.random.Int64N(int64(bound)))
}

// TargetState describes a target for metrics and operators.
type TargetState struct {
	ID string
	// InUse is the number of requests in progress, Slots the number that may be in progress now.
	InUse int
	Slots int
	// Slowdown is the average ratio of service time to the average of the request's class.
	Slowdown float64
	Ejected  bool
	Leaving  bool
}

// States returns the state of each target, ordered by id.
func (t *Table) States(now time.Time) []TargetState {
	states := make([]TargetState, len(t.byID))
	for i, e := range t.byID {
		states[i] = TargetState{
			ID: e.instance.ID, InUse: e.inUse, Slots: e.usableSlots(now),
			Slowdown: e.slowdown, Ejected: now.Before(e.ejectedUntil), Leaving: e.leaving,
		}
	}
	return states
}
