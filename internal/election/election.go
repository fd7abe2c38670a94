// Package election elects the leader: the one instance that schedules. A candidate claims leadership
// with a conditional append to a topic of the platform's log. The epoch of the term, which is also the
// leader's fencing token, is the offset of that record plus 1.
package election

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Topic and key of the leader record.
const (
	Topic = "keyed.leader"
	key   = "scheduler"
)

// Timing of the election.
const (
	// Validity is how long a leader considers itself leader after it sent a claim or renewal that
	// succeeded.
	Validity = 2 * time.Second
	// renewInterval is the time between renewals. Validity covers three of these intervals, so there is
	// time for two more renewals after the first one. A renewal that times out takes longer than an
	// interval (see appendTimeout).
	renewInterval = 600 * time.Millisecond
	// electionTimeout is the time without a new leader record after which candidates claim leadership.
	// It exceeds Validity by a margin for the drift between the clocks of two instances over that time.
	electionTimeout = Validity + 200*time.Millisecond
	// claimJitter is the range of the random delay that keeps candidates from claiming at the same time.
	claimJitter = 100 * time.Millisecond
	// maxRenewalAge is the age of the last successful renewal above which the next one is overdue and
	// the log is considered to be failing. It is renewInterval plus 300 ms for the log's response.
	maxRenewalAge = 900 * time.Millisecond
	// resignAge is the age of the last successful renewal above which the leader resigns, if other instances wait for
	// that: it has lost the log, and an instance that has not can claim leadership about a second earlier than
	// after electionTimeout. It leaves time for two renewals that the log rejects, or for one that times out, and then
	// for the leader to extend the leases of all runs, which it does when the renewal is overdue (maxRenewalAge).
	resignAge = maxRenewalAge + 400*time.Millisecond
	// refusedTimeout is the time without a new leader record after which candidates claim leadership if nothing listens
	// at the leader's address: its process has ended. A leader that lives renews earlier unless the log is slow, even if
	// the candidate is cut off from it in a way that refuses connections.
	refusedTimeout = renewInterval + 300*time.Millisecond
	// refusalAge is how long the observation holds that nothing listens at the leader's address.
	refusalAge = 500 * time.Millisecond
	// checkInterval is the period at which the elector checks its state.
	checkInterval = 50 * time.Millisecond
	// releaseTimeout limits the attempts to release leadership. It is well within the time for a
	// graceful stop. After Validity, which is as long, the term has expired even without a release.
	releaseTimeout = 2 * time.Second
	// appendTimeout is the timeout of an append. After a renewal that timed out, there is time within
	// Validity for one more that is answered within about 600 ms.
	appendTimeout = 700 * time.Millisecond
)

// Identity identifies an incarnation of an instance.
type Identity struct {
	// Instance is the address of the instance. At most one process at a time uses it.
	Instance string
	// Incarnation differs for each start of the process.
	Incarnation string
}

// record is the leader record as stored: the latest claim, renewal or release of leadership.
type record struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"life"`
	// Epoch is the epoch of the term. It is 0 in a claim, whose epoch is its offset plus 1.
	Epoch int64 `json:"epoch"`
	// Number is the number of the record among those of its incarnation.
	Number int64 `json:"renewal"`
	// Released means that the leader has given up its leadership.
	Released bool `json:"released,omitempty"`
}

// Term is a period of leadership of this instance.
type Term struct {
	Epoch int64
	// PreviousValidFor is an upper limit of the time, from the start of this term, for which the previous
	// leader may still consider itself leader. It is 0 unless that leader was this incarnation, in an
	// earlier term, or was taken for dead because nothing listened at its address.
	PreviousValidFor time.Duration
	elector          *Elector
}

// Valid reports whether this instance still leads in this term.
func (t Term) Valid() bool { return t.elector.validAt(t.Epoch, boottime.Now()) }

// RenewedRecently reports whether the last successful claim or renewal was sent less than maxRenewalAge
// ago, which shows that the log accepts appends.
func (t Term) RenewedRecently() bool {
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	return t.elector.validUntil.Sub(boottime.Now()) > Validity-maxRenewalAge
}

// Config describes an elector.
type Config struct {
	Log      ledger.Log
	Identity Identity
	// ClaimDelay is the delay before a claim. Instances with more processor time have a shorter one, so
	// that they are more likely to be elected.
	ClaimDelay time.Duration
	// Eligible reports whether this instance may claim leadership now.
	Eligible func() bool
	// Lead is called when this instance becomes leader. Its context ends with the term. The term ends
	// when Lead returns.
	Lead   func(ctx context.Context, term Term)
	Logger *log.Logger
}

// Elector claims leadership when there is no leader, and renews it while this instance leads.
type Elector struct {
	cfg Config

	mu sync.Mutex
	// current is the latest leader record, observed at observedAt.
	current record
	// synced reports whether the topic has been read.
	synced     bool
	observedAt boottime.Instant
	// position is the offset of the next record to read.
	position int64
	// conflictEnd is the end of the topic as given in the response to the last claim that failed with a
	// conflict, at conflictAt. Records up to it may not have been read yet.
	conflictEnd int64
	conflictAt  boottime.Instant
	// unobserved contains this incarnation's records that have been sent and neither observed nor known to
	// have failed, by Number.
	unobserved map[int64]unobservedRecord
	lastNumber int64
	// epoch is the epoch of this incarnation's latest term; 0 if it had none. validUntil is when that
	// term ends unless it is renewed.
	validUntil  boottime.Instant
	epoch       int64
	steppedDown bool
	// endingEpoch is the epoch of this incarnation's latest term that cannot be renewed any more, endedEpoch that of the
	// latest one in which nothing is done any more. termEnded is closed and replaced when a term ends. waiting is
	// the number of calls of AwaitEnd.
	endingEpoch, endedEpoch int64
	termEnded               chan struct{}
	waiting                 int
	// refusedEpoch is the epoch of the leader at whose address nothing listened at refusedAt.
	refusedEpoch int64
	refusedAt    boottime.Instant
	// resignedEpoch is the highest epoch whose leader has reported the end of its term.
	resignedEpoch int64
}

// unobservedRecord is a record that was sent to the log and has not been observed yet.
type unobservedRecord struct {
	sentAt boottime.Instant
	// observed is closed when the record has been observed; *epoch is set just before that.
	observed chan struct{}
	epoch    *int64
}

// New returns an elector that starts when Run is called.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, unobserved: make(map[int64]unobservedRecord), termEnded: make(chan struct{})}
}

// Observe processes an update of Topic. It must be called with all updates, in order.
func (e *Elector) Observe(u ledger.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	previous := e.position
	e.position = max(previous, u.Position)
	e.synced = true
	for _, entry := range u.Entries {
		if entry.Key != key || entry.Offset < previous {
			// Records before the position have been observed already, in the response to an append.
			continue
		}
		var r record
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			e.cfg.Logger.Error().Err(err).Int64("offset", entry.Offset).Msg("cannot decode leader record")
			continue
		}
		if r.Epoch == 0 {
			r.Epoch = entry.Offset + 1
		}
		e.observeLocked(r)
	}
}

func (e *Elector) observeLocked(r record) {
	if r.Epoch != e.current.Epoch {
		e.cfg.Logger.Info().Str("holder", r.Instance).Int64("epoch", r.Epoch).Msg("leader observed")
	}
	e.current = r
	e.observedAt = boottime.Now()
	if r.Instance != e.cfg.Identity.Instance || r.Incarnation != e.cfg.Identity.Incarnation {
		return
	}
	if p, ok := e.unobserved[r.Number]; ok {
		delete(e.unobserved, r.Number)
		*p.epoch = r.Epoch
		close(p.observed)
		if !r.Released {
			e.extendLocked(r.Epoch, p.sentAt)
		}
	}
}

// isOwnLeadership reports whether a record shows this incarnation as the leader: it is this incarnation's
// claim or renewal, not a release.
func (e *Elector) isOwnLeadership(r record) bool {
	return r.Instance == e.cfg.Identity.Instance && r.Incarnation == e.cfg.Identity.Incarnation && !r.Released
}

// extendLocked extends the validity of the term, counted from the time when the record was sent.
func (e *Elector) extendLocked(epoch int64, sent boottime.Instant) {
	if epoch <= e.endingEpoch {
		return // A renewal that was stored late does not revive the term.
	}
	e.epoch = epoch
	if until := sent.Add(Validity); until > e.validUntil {
		e.validUntil = until
	}
}

func (e *Elector) validAt(epoch int64, now boottime.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch == epoch && now < e.validUntil && e.isOwnLeadership(e.current)
}

// Leader returns the address of the last observed leader, and whether this process is the leader now.
func (e *Elector) Leader() (instance string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.Instance, e.isOwnLeadership(e.current) && boottime.Now() < e.validUntil
}

// LeaderTerm is the term of the last observed leader.
type LeaderTerm struct {
	Identity
	// Epoch is 0 if no leader is known, it has given up its leadership, or it is this incarnation.
	Epoch int64
}

// LeaderTerm returns the term of another instance that leads, as far as is known.
func (e *Elector) LeaderTerm() LeaderTerm {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := LeaderTerm{Identity: Identity{Instance: e.current.Instance, Incarnation: e.current.Incarnation}}
	if t.Identity != e.cfg.Identity && !e.releasedLocked() {
		t.Epoch = e.current.Epoch
	}
	return t
}

// ObserveRefusal reports that nothing listens at the address of the leader with the given epoch.
func (e *Elector) ObserveRefusal(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusedEpoch, e.refusedAt = epoch, boottime.Now()
}

// releasedLocked reports whether the latest term has been given up by its leader.
func (e *Elector) releasedLocked() bool {
	return e.current.Released || (e.current.Epoch != 0 && e.current.Epoch <= e.resignedEpoch)
}

// ObserveEnd reports that the leader itself says that its term with the given epoch is over. Leadership can be claimed
// then without waiting for the election timeout.
func (e *Elector) ObserveEnd(epoch int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resignedEpoch = max(e.resignedEpoch, epoch)
}

// EndState is the result of AwaitEnd.
type EndState int

// Values of EndState.
const (
	// NotEnded means that the term may not be over.
	NotEnded EndState = iota
	// Ended means that the term is over: the leader does nothing in it any more, or its process has been replaced by
	// this one.
	Ended
)

// AwaitEnd waits until the given term is over, if it is one of this instance. It returns NotEnded if ctx ends before that,
// or if this incarnation does not know of the term.
func (e *Elector) AwaitEnd(ctx context.Context, term LeaderTerm) EndState {
	if term.Instance == e.cfg.Identity.Instance && term.Incarnation != e.cfg.Identity.Incarnation {
		return Ended // At most one process at a time uses the address.
	}
	epoch := term.Epoch
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting++
	defer func() { e.waiting-- }()
	for {
		if e.epoch != epoch {
			return NotEnded
		}
		if e.endedEpoch >= epoch {
			return Ended
		}
		ended := e.termEnded
		e.mu.Unlock()
		select {
		case <-ended:
		case <-ctx.Done():
		}
		e.mu.Lock()
		if ctx.Err() != nil {
			return NotEnded
		}
	}
}

// StepDown makes the current term, if any, end at the next check of its renewal, and keeps this instance
// from claiming leadership again. It is called for a graceful stop.
func (e *Elector) StepDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.steppedDown = true
}

// Run takes part in the election until ctx is done.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if term, won := e.tryClaim(ctx); won {
			e.runTerm(ctx, term)
			continue
		}
		boottime.Sleep(ctx, checkInterval)
	}
}

// tryClaim appends a claim if the last term has expired or was released. It returns the new term and
// whether the claim succeeded.
func (e *Elector) tryClaim(ctx context.Context) (Term, bool) {
	delay, previousValidFor, ok := e.claimable()
	if !ok || !e.cfg.Eligible() {
		return Term{}, false
	}
	boottime.Sleep(ctx, delay+rand.N(claimJitter))
	if _, _, ok := e.claimable(); !ok || ctx.Err() != nil {
		return Term{}, false
	}
	epoch, err := e.append(ctx, record{})
	if err != nil {
		e.saveConflictEnd(err)
		e.cfg.Logger.Info().Err(err).Msg("claim of leadership failed")
		return Term{}, false
	}
	return Term{Epoch: epoch, PreviousValidFor: previousValidFor, elector: e}, true
}

// saveConflictEnd saves where the topic ends if a claim failed because of records that have not been read
// yet.
func (e *Elector) saveConflictEnd(err error) {
	var conflict *ledger.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conflictEnd, e.conflictAt = conflict.End, boottime.Now()
}

// claimable reports whether leadership can be claimed. It returns the delay before the claim and how
// long the previous leader may still consider itself leader.
func (e *Elector) claimable() (delay, previousValidFor time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.synced || e.steppedDown {
		return 0, 0, false
	}
	if e.position < e.conflictEnd && boottime.Since(e.conflictAt) <= electionTimeout {
		// Until these records are read, another claim would conflict with them again. After
		// electionTimeout another claim is tried even if they were not read.
		return 0, 0, false
	}
	if e.current.Epoch == 0 || e.releasedLocked() {
		return e.cfg.ClaimDelay, 0, true
	}
	if e.current.Instance == e.cfg.Identity.Instance {
		// The leader was an earlier incarnation of this instance, or this incarnation in a lost term.
		// The delay of -claimJitter makes the sum with the jitter at most 0, so that the claim is sent at
		// once.
		return -claimJitter, max(0, e.validUntil.Sub(boottime.Now())), true
	}
	age := boottime.Since(e.observedAt)
	if e.refusedEpoch == e.current.Epoch && boottime.Since(e.refusedAt) < refusalAge && age > refusedTimeout {
		// Should the leader live nevertheless, it is fenced, and leases last as if it were valid until then.
		return e.cfg.ClaimDelay, max(0, Validity-age), true
	}
	return e.cfg.ClaimDelay, 0, age > electionTimeout
}

// runTerm runs Lead and renews leadership until the term is lost, Lead returns, the instance steps down or
// ctx is done. Then it releases leadership if the latest leader record is still from this term.
func (e *Elector) runTerm(ctx context.Context, term Term) {
	e.cfg.Logger.Info().Int64("epoch", term.Epoch).Msg("leadership won")
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.cfg.Lead(leadCtx, term)
	}()
	e.renew(ctx, term, ended)
	e.invalidate(term)
	cancel()
	<-ended
	e.endTerm(term)
	if e.releasable(term) {
		e.release(term)
	}
	e.cfg.Logger.Info().Int64("epoch", term.Epoch).Msg("leadership ended")
}

// invalidate makes a term of this incarnation invalid for good, so that nothing more is begun in it.
func (e *Elector) invalidate(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.validUntil = 0
	e.endingEpoch = max(e.endingEpoch, term.Epoch)
}

// endTerm reports to the callers of AwaitEnd that a term is over.
func (e *Elector) endTerm(term Term) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endedEpoch = max(e.endedEpoch, term.Epoch)
	close(e.termEnded)
	e.termEnded = make(chan struct{})
}

// shouldResign reports whether renewals have failed for so long that another instance should take over, and others wait
// for the end of the term.
func (e *Elector) shouldResign() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.waiting > 0 && boottime.Now().Sub(e.validUntil) > resignAge-Validity
}

// renew renews leadership until the term is lost, Lead has ended, the instance steps down or resigns, or ctx is done.
func (e *Elector) renew(ctx context.Context, term Term, ended <-chan struct{}) {
	lastSentAt := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(checkInterval):
		}
		if !term.Valid() || e.hasSteppedDown() {
			return
		}
		if e.shouldResign() {
			e.cfg.Logger.Warn().Int64("epoch", term.Epoch).Msg("resigning leadership")
			return
		}
		if boottime.Since(lastSentAt) < renewInterval {
			continue
		}
		lastSentAt = boottime.Now()
		_, err := e.append(ctx, record{Epoch: term.Epoch})
		if err != nil {
			e.cfg.Logger.Warn().Err(err).Int64("epoch", term.Epoch).Msg("renewal failed")
			// Retry two check intervals after this attempt was sent, or at the next check if it took longer.
			lastSentAt = lastSentAt.Add(2*checkInterval - renewInterval)
		}
	}
}

func (e *Elector) hasSteppedDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.steppedDown
}

// releasable reports whether the latest leader record is from this term, so that leadership can be released.
func (e *Elector) releasable(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOwnLeadership(e.current) && e.current.Epoch == term.Epoch
}

// release releases leadership, so that candidates need not wait for the election timeout.
func (e *Elector) release(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := e.append(ctx, record{Epoch: term.Epoch, Released: true})
		if err == nil || !e.releasable(term) {
			break
		}
		e.cfg.Logger.Warn().Err(err).Msg("releasing leadership failed")
		boottime.Sleep(ctx, checkInterval)
	}
}

// append appends a record on the condition that the topic has no records beyond those observed, and
// returns the record's epoch. If the record is read from the topic before the call ends, append succeeds
// without the log's response.
func (e *Elector) append(ctx context.Context, r record) (int64, error) {
	r.Instance, r.Incarnation = e.cfg.Identity.Instance, e.cfg.Identity.Incarnation
	p := unobservedRecord{sentAt: boottime.Now(), observed: make(chan struct{}), epoch: new(int64)}
	e.mu.Lock()
	e.lastNumber++
	r.Number = e.lastNumber
	end := e.position
	e.unobserved[r.Number] = p
	e.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	responded := make(chan error, 1)
	go func() {
		result, err := e.cfg.Log.Append(callCtx, ledger.Append{
			Topic: Topic, ExpectedEnd: end, Records: []ledger.Record{{Key: key, Value: value}},
		})
		if err == nil {
			e.observeAppend(r, result)
		}
		responded <- err
	}()
	select {
	case <-p.observed:
		return *p.epoch, nil
	case err = <-responded:
	}
	select {
	case <-p.observed:
		return *p.epoch, nil
	default:
	}
	// Records with an unknown outcome remain in unobserved, because they may still be observed.
	if !errors.Is(err, ledger.ErrUnknownOutcome) {
		e.removeUnobserved(r.Number)
	}
	return 0, err
}

// observeAppend processes the response to an append as if the record had been read from the topic.
func (e *Elector) observeAppend(r record, result ledger.AppendResult) {
	if r.Epoch == 0 {
		r.Epoch = result.Offset + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if result.End > e.position {
		e.position = result.End
		e.observeLocked(r)
	}
}

// removeUnobserved removes a record that certainly was not stored.
func (e *Elector) removeUnobserved(number int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.unobserved, number)
}
