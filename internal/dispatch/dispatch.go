// Package dispatch chooses the target of each request. It keeps per-target limits, lowers
// the concurrency of targets that slow down, takes out targets that fail, and decides which
// failed attempts are repeated. The package is pure: callers pass the time and hold their
// own lock.
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
	// slowdownGain is the weight of the newest sample in a target's slowdown.
	slowdownGain = 0.1
	// slowdownThreshold is the slowdown relative to the median target at which the limit is lowered.
	// Service times of one class vary by a factor of about 2 between requests, and the mean
	// over 1/slowdownGain samples by much less.
	slowdownThreshold = 2.0
	// limitDecreaseFactor and limitIncrease change the concurrency limit for each answer.
	limitDecreaseFactor = 0.9
	limitIncreaseStep   = 0.1
	// minSlowdownSamples is the number of answers before a target's slowdown counts.
	minSlowdownSamples = 5
	// maxEjectionFactor bounds the growth of the time out over repeated ejections.
	maxEjectionFactor = 12
	// ejectionJitter spreads the return of targets that were taken out together.
	ejectionJitter = 0.2
	// maxRetryTokens is the most retries that the budget saves up.
	maxRetryTokens = 10.0
	// backoffBase and backoffMax bound the wait before a retry; the wait is uniform between
	// zero and the bound, so that retries of one fault do not form waves.
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	// failureSlowdown is the slowdown counted for a failed attempt, so that a target that
	// fails fast never looks faster than a healthy one.
	failureSlowdown = 4.0
	// defaultSlots and defaultConnections apply to targets that do not state their limits.
	defaultSlots       = 8
	defaultConnections = 64
)

// Verdict classifies how an attempt ended, as far as the target's health is concerned.
type Verdict int

// Verdicts of attempts.
const (
	// Succeeded is a whole answer.
	Succeeded Verdict = iota
	// Failed is a transport failure, a wrong or short answer.
	Failed
	// ErrorResponse is a whole answer with a server error status, which may be the request's fault.
	ErrorResponse
	// Rejected means that the target itself refused to start.
	Rejected
	// Abandoned means that the attempt ended for a reason that says nothing about the target.
	Abandoned
)

// Result describes the end of an attempt.
type Result struct {
	Verdict Verdict
	// ServiceTime is how long the attempt held its slot, Expected the learned mean of its class.
	ServiceTime         time.Duration
	ExpectedServiceTime time.Duration
	// Caller identifies the caller, to tell failing targets from a caller whose requests fail.
	Caller uint64
}

// target is the state of one target.
type target struct {
	instance platform.Instance
	// leaving is set at the first notice. It is cleared when the target is back under its id, as
	// after a restart.
	leaving   bool
	leavingAt time.Time
	// listedLeaving is set once the list showed the target as leaving.
	listedLeaving bool
	// returnedAt is when the target was last found to be back.
	returnedAt time.Time
	unlisted   bool
	// allowance is the number of slots that this instance may use.
	allowance           int
	inUse               int
	concurrencyLimit    float64
	slowdown            float64
	slowdownSamples     int
	consecutiveFailures int
	failedCaller        uint64
	multipleCallers     bool
	ejections           int
	ejectedUntil        time.Time
	// halfOpen is set from an ejection until the next answer.
	halfOpen bool
}

// Table holds the targets as seen by one instance. It is not safe for concurrent use.
type Table struct {
	policy      resource.DispatchPolicy
	targets     map[string]*target
	byID        []*target
	random      *rand.Rand
	retryTokens float64
	// allow returns the number of slots of a target that this instance may use now.
	allow func(t platform.Instance) int
}

// New returns an empty table. allow returns how many slots of a target this instance may
// use; nil allows all.
func New(seed uint64, allow func(platform.Instance) int) *Table {
	if allow == nil {
		allow = Slots
	}
	return &Table{
		policy:  resource.PolicySpec{}.WithDefaults().Dispatch,
		targets: make(map[string]*target),
		random:  rand.New(rand.NewPCG(seed, 2)),
		allow:   allow,
	}
}

// Slots returns the number of requests that a target takes at a time: its slots, and never
// more than its connections.
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

// SetPolicy puts a policy in force.
func (t *Table) SetPolicy(p resource.DispatchPolicy) {
	t.policy = resource.PolicySpec{Dispatch: p}.WithDefaults().Dispatch
}

// LeavingNoticeTTL is how long a target's own notice that it leaves outweighs a list that shows it as
// live. It is far above the list's lag of about a second; a target that restarts under its id
// without the list having shown it gets new work after it.
const LeavingNoticeTTL = time.Minute

// StaleNoticePeriod is how long after a return the notices of peers do not count. A peer repeats its
// notice until it has read the new list itself, a second or two later.
const StaleNoticePeriod = 5 * time.Second

// Changes are what a new list changed.
type Changes struct {
	// Leaving has the targets that the list shows as leaving for the first time.
	Leaving []string
	// Returned has the targets that left and are back.
	Returned []string
}

// Update takes the platform's list and returns what it changed.
func (t *Table) Update(now time.Time, list []platform.Instance) Changes {
	listed := make(map[string]bool)
	var changes Changes
	for _, row := range list {
		if row.Kind != platform.KindTarget {
			continue
		}
		listed[row.ID] = true
		entry := t.targetFor(row)
		switch {
		case row.State == platform.StateLeaving:
			if t.MarkLeaving(now, row.ID) {
				changes.Leaving = append(changes.Leaving, row.ID)
			}
			entry.listedLeaving = true
		case entry.hasReturned(now):
			entry.leaving, entry.listedLeaving, entry.returnedAt = false, false, now
			changes.Returned = append(changes.Returned, row.ID)
		}
		entry.instance = row
		entry.unlisted = false
	}
	for _, entry := range t.byID {
		entry.unlisted = !listed[entry.instance.ID]
	}
	t.removeUnlisted()
	t.RefreshAllowances()
	return changes
}

// hasReturned reports whether a target that is listed as live has returned since it left: the list
// showed it leaving or gone before, or the notice is older than any lag of the list.
func (e *target) hasReturned(now time.Time) bool {
	return e.leaving && (e.listedLeaving || e.unlisted || now.Sub(e.leavingAt) >= LeavingNoticeTTL)
}

func (t *Table) targetFor(row platform.Instance) *target {
	entry, known := t.targets[row.ID]
	if !known {
		entry = &target{instance: row, concurrencyLimit: float64(Slots(row)), slowdown: 1}
		t.targets[row.ID] = entry
		t.byID = append(t.byID, entry)
		slices.SortFunc(t.byID, func(a, b *target) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	return entry
}

// removeUnlisted drops targets that are off the list and hold no request.
func (t *Table) removeUnlisted() {
	t.byID = slices.DeleteFunc(t.byID, func(e *target) bool {
		drop := e.unlisted && e.inUse == 0
		if drop {
			delete(t.targets, e.instance.ID)
		}
		return drop
	})
}

// RefreshAllowances reads the allowance of each target again.
func (t *Table) RefreshAllowances() {
	for _, e := range t.byID {
		e.allowance = t.allow(e.instance)
	}
}

// ApplyPeerNotice takes the notice of a peer that a target leaves.
func (t *Table) ApplyPeerNotice(now time.Time, id string) {
	e, known := t.targets[id]
	if known && (e.returnedAt.IsZero() || now.Sub(e.returnedAt) >= StaleNoticePeriod) {
		t.MarkLeaving(now, id)
	}
}

// MarkLeaving stops new requests to a target. It reports whether this is news.
func (t *Table) MarkLeaving(now time.Time, id string) bool {
	e, known := t.targets[id]
	if !known || e.leaving {
		return false
	}
	e.leaving, e.leavingAt = true, now
	return true
}

// Targets returns the rows of the targets that may take requests, by id.
func (t *Table) Targets() []platform.Instance {
	var rows []platform.Instance
	for _, e := range t.byID {
		if !e.leaving && !e.unlisted {
			rows = append(rows, e.instance)
		}
	}
	return rows
}

// InUse returns the number of requests in progress at each target with any.
func (t *Table) InUse() map[string]int {
	used := make(map[string]int)
	for _, e := range t.byID {
		if e.inUse > 0 {
			used[e.instance.ID] = e.inUse
		}
	}
	return used
}

// Capacity returns the free and the total slots that this instance may use now.
func (t *Table) Capacity(now time.Time) (free, total int) {
	for _, e := range t.byID {
		slots := e.usableSlots(now)
		total += slots
		free += max(slots-e.inUse, 0)
	}
	return free, total
}

// usableSlots returns the number of usableSlots that may be used now. A target that was taken out
// returns with one request at a time until one is answered.
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

// Pick takes a slot of the target with the least load relative to its limit and speed. It
// passes over the target named avoid if there is another one, and keeps requests that may
// not be repeated from targets on trial likewise. It returns false if there is no free slot.
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
			// Equal targets are chosen at random, so that instances do not all pick the first.
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

// avoidPenalty exceeds all scores of loaded targets.
const avoidPenalty = 1e6

func (e *target) loadScore() float64 {
	return float64(e.inUse+1) / float64(Slots(e.instance)) * e.slowdown
}

// Finish gives the slot of an attempt back and learns from the result. It reports whether
// the target was taken out because of it.
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

func (t *Table) recordSuccess(e *target, r Result) {
	e.consecutiveFailures, e.multipleCallers, e.failedCaller = 0, false, 0
	if e.halfOpen {
		e.halfOpen = false
		e.ejections = max(0, e.ejections-1)
		// A returned target starts small, since it may have lost its caches.
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

// recordFailure counts a failure. Error answers count only when they hit more than one caller, so
// that a caller whose requests always fail cannot take targets out.
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
	if t.mostEjected(now) {
		// A common cause is likelier than many broken targets, so they are tried again soon.
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

// mostEjected reports whether at least half of the targets are out.
func (t *Table) mostEjected(now time.Time) bool {
	ejected := 0
	for _, e := range t.byID {
		if e.halfOpen || now.Before(e.ejectedUntil) {
			ejected++
		}
	}
	return 2*ejected >= len(t.byID)
}

// AddRetryBudget adds the share of one first attempt to the retry budget.
func (t *Table) AddRetryBudget() {
	t.retryTokens = min(t.retryTokens+t.policy.RetryBudget, maxRetryTokens)
}

// TakeRetry takes one retry from the budget and reports whether there was one. The budget
// starts empty, so retries never exceed the policy's share of first attempts.
func (t *Table) TakeRetry() bool {
	if t.retryTokens < 1 {
		return false
	}
	t.retryTokens--
	return true
}

// Backoff returns the wait before the given retry, counted from 1.
func (t *Table) Backoff(retry int) time.Duration {
	bound := min(backoffBase<<min(retry, 10), backoffMax)
	return time.Duration(t.random.Int64N(int64(bound)))
}

// TargetState describes a target for metrics and for operators.
type TargetState struct {
	ID       string
	InUse    int
	Slots    int
	Slowdown float64
	Ejected  bool
	Leaving  bool
}

// States returns the state of each target, by id.
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
