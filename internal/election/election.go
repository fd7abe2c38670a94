// Package election chooses the one instance that schedules. A claim is a conditional append to
// a topic of the platform's log; its offset is the leader's epoch and fencing token.
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

// Topic and key of the leader's record.
const (
	Topic = "keyed.leader"
	key   = "scheduler"
)

// Timing of the election.
const (
	// Validity is how long a leader considers itself leader after sending a renewal.
	Validity = 2 * time.Second
	// renewEvery leaves two more tries within Validity.
	renewEvery = 600 * time.Millisecond
	// claimAfter exceeds Validity by the drift of two clocks over it.
	claimAfter = Validity + 200*time.Millisecond
	// claimSpread keeps candidates from claiming at the same moment.
	claimSpread = 100 * time.Millisecond
	// freshFor is the age of a renewal after which the log counts as failing: one is overdue.
	freshFor = 900 * time.Millisecond
	// tick is the step at which the state is checked.
	tick = 50 * time.Millisecond
	// releaseTimeout bounds the tries to give a claim up, well within a graceful stop.
	releaseTimeout = 2 * time.Second
	// appendTimeout leaves time for another renewal within Validity.
	appendTimeout = 700 * time.Millisecond
)

// Identity names one life of an instance.
type Identity struct {
	// Instance is the address of the instance: at most one process at a time has it.
	Instance string
	// Incarnation differs for each start of the process.
	Incarnation string
}

// record is the leader's record as stored.
type record struct {
	Instance string `json:"instance"`
	Life     string `json:"life"`
	Epoch    int64  `json:"epoch"`
	// Renewal numbers the records of one life.
	Renewal  int64 `json:"renewal"`
	Released bool  `json:"released,omitempty"`
}

// Term is a period of leadership.
type Term struct {
	Epoch int64
	// PreviousValidFor is how long the former leader may still consider itself leader.
	PreviousValidFor time.Duration
	elector          *Elector
}

// Valid says whether the term still holds at this moment.
func (t Term) Valid() bool { return t.elector.validAt(t.Epoch, boottime.Now()) }

// RenewedRecently says whether the last renewal is recent, so that the log takes renewals.
func (t Term) RenewedRecently() bool {
	t.elector.mu.Lock()
	defer t.elector.mu.Unlock()
	return t.elector.validUntil.Sub(boottime.Now()) > Validity-freshFor
}

// Config describes an elector.
type Config struct {
	Log      ledger.Log
	Identity Identity
	// ClaimDelay delays claims: instances with more processor time get ahead of others.
	ClaimDelay time.Duration
	// Eligible says whether this instance should stand for election now.
	Eligible func() bool
	// Lead runs while this instance leads. Its context ends with the term.
	Lead   func(ctx context.Context, term Term)
	Logger *log.Logger
}

// Elector stands for election and renews the claim that it holds.
type Elector struct {
	cfg Config

	mu       sync.Mutex
	current  record
	known    bool
	seen     boottime.Instant
	position int64
	// conflictEnd is an end of the topic beyond what was read, which a claim ran into at conflictAt.
	conflictEnd int64
	conflictAt  boottime.Instant
	// sent holds the records of this life whose outcome is not known.
	sent       map[int64]pending
	renewal    int64
	validUntil boottime.Instant
	epoch      int64
	resigned   bool
}

// pending is a record on its way.
type pending struct {
	at boottime.Instant
	// observed is closed when the record is read from the log, and epoch set before.
	observed chan struct{}
	epoch    *int64
}

// New returns an elector; Run starts it.
func New(cfg Config) *Elector {
	return &Elector{cfg: cfg, sent: make(map[int64]pending)}
}

// Observe takes an update of Topic.
func (e *Elector) Observe(u ledger.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.position
	e.position = max(known, u.Position)
	e.known = true
	for _, entry := range u.Entries {
		if entry.Key != key || entry.Offset < known {
			continue
		}
		var r record
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			e.cfg.Logger.Error().Err(err).Int64("offset", entry.Offset).Msg("leader record not readable")
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
	e.seen = boottime.Now()
	if r.Instance != e.cfg.Identity.Instance || r.Life != e.cfg.Identity.Incarnation {
		return
	}
	if p, ok := e.sent[r.Renewal]; ok {
		delete(e.sent, r.Renewal)
		*p.epoch = r.Epoch
		close(p.observed)
		if !r.Released {
			e.confirmLocked(r.Epoch, p.at)
		}
	}
}

func (e *Elector) isOurs(r record) bool {
	return r.Instance == e.cfg.Identity.Instance && r.Life == e.cfg.Identity.Incarnation && !r.Released
}

func (e *Elector) confirmLocked(epoch int64, sent boottime.Instant) {
	e.epoch = epoch
	if until := sent.Add(Validity); until > e.validUntil {
		e.validUntil = until
	}
}

func (e *Elector) validAt(epoch int64, now boottime.Instant) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.epoch == epoch && now < e.validUntil && e.isOurs(e.current)
}

// Leader returns the address of the last observed leader, and whether it is this process.
func (e *Elector) Leader() (instance string, self bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current.Instance, e.isOurs(e.current) && boottime.Now() < e.validUntil
}

// Resign keeps this instance from leading again, for a graceful stop.
func (e *Elector) Resign() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resigned = true
}

// Run stands for election until ctx is done.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if term, won := e.tryClaim(ctx); won {
			e.hold(ctx, term)
			continue
		}
		boottime.Sleep(ctx, tick)
	}
}

// tryClaim appends a claim if the last one has run out or was given up.
func (e *Elector) tryClaim(ctx context.Context) (Term, bool) {
	wait, former, ok := e.claimable()
	if !ok || !e.cfg.Eligible() {
		return Term{}, false
	}
	boottime.Sleep(ctx, wait+rand.N(claimSpread))
	if _, _, ok := e.claimable(); !ok || ctx.Err() != nil {
		return Term{}, false
	}
	epoch, err := e.append(ctx, record{})
	if err != nil {
		e.noteConflict(err)
		e.cfg.Logger.Info().Err(err).Msg("claim of leadership not won")
		return Term{}, false
	}
	return Term{Epoch: epoch, PreviousValidFor: former, elector: e}, true
}

// noteConflict takes that a claim found records that were not read yet.
func (e *Elector) noteConflict(err error) {
	var conflict *ledger.ConflictError
	if !errors.As(err, &conflict) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conflictEnd, e.conflictAt = conflict.End, boottime.Now()
}

// claimable says whether the leadership can be claimed, how long to hold back, and how long the
// former leader may still act.
func (e *Elector) claimable() (delay, former time.Duration, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.known || e.resigned {
		return 0, 0, false
	}
	if e.position < e.conflictEnd && boottime.Since(e.conflictAt) <= claimAfter {
		// Another claim would run into the same records.
		return 0, 0, false
	}
	if e.current.Epoch == 0 || e.current.Released {
		return e.cfg.ClaimDelay, 0, true
	}
	if e.current.Instance == e.cfg.Identity.Instance {
		// The holder is an earlier life of this instance, or this life after a lost term.
		return -claimSpread, max(0, e.validUntil.Sub(boottime.Now())), true
	}
	return e.cfg.ClaimDelay, 0, boottime.Since(e.seen) > claimAfter
}

// hold renews the claim and runs Lead until the term is lost or ctx is done.
func (e *Elector) hold(ctx context.Context, term Term) {
	e.cfg.Logger.Info().Int64("epoch", term.Epoch).Msg("leadership won")
	leadCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		e.cfg.Lead(leadCtx, term)
	}()
	e.renew(ctx, term, ended)
	cancel()
	<-ended
	if e.releasable(term) {
		e.release(term)
	}
	e.cfg.Logger.Info().Int64("epoch", term.Epoch).Msg("leadership ended")
}

func (e *Elector) renew(ctx context.Context, term Term, ended <-chan struct{}) {
	last := boottime.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case <-time.After(tick):
		}
		if !term.Valid() || e.isResigned() {
			return
		}
		if boottime.Since(last) < renewEvery {
			continue
		}
		last = boottime.Now()
		_, err := e.append(ctx, record{Epoch: term.Epoch})
		if err != nil {
			e.cfg.Logger.Warn().Err(err).Int64("epoch", term.Epoch).Msg("renewal failed")
			last = last.Add(2*tick - renewEvery)
		}
	}
}

func (e *Elector) isResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

// releasable says whether the record still is this term's, so that it can be given up.
func (e *Elector) releasable(term Term) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOurs(e.current) && e.current.Epoch == term.Epoch
}

// release gives the claim up, so that the next leader need not wait for its end.
func (e *Elector) release(term Term) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		_, err := e.append(ctx, record{Epoch: term.Epoch, Released: true})
		if err == nil || !e.releasable(term) {
			break
		}
		e.cfg.Logger.Warn().Err(err).Msg("leadership not released")
		boottime.Sleep(ctx, tick)
	}
	e.mu.Lock()
	e.validUntil = 0
	e.mu.Unlock()
}

// append writes a record on the condition that none was written since the last observed one,
// and returns its epoch. An answer that is lost is made up for by reading the record.
func (e *Elector) append(ctx context.Context, r record) (int64, error) {
	r.Instance, r.Life = e.cfg.Identity.Instance, e.cfg.Identity.Incarnation
	p := pending{at: boottime.Now(), observed: make(chan struct{}), epoch: new(int64)}
	e.mu.Lock()
	e.renewal++
	r.Renewal = e.renewal
	end := e.position
	e.sent[r.Renewal] = p
	e.mu.Unlock()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	answered := make(chan error, 1)
	go func() {
		done, err := e.cfg.Log.Append(callCtx, ledger.Append{
			Topic: Topic, ExpectedEnd: end, Records: []ledger.Record{{Key: key, Value: value}},
		})
		if err == nil {
			e.appended(r, done)
		}
		answered <- err
	}()
	select {
	case <-p.observed:
		return *p.epoch, nil
	case err = <-answered:
	}
	select {
	case <-p.observed:
		return *p.epoch, nil
	default:
	}
	if !errors.Is(err, ledger.ErrUnknownOutcome) {
		e.forget(r.Renewal)
	}
	return 0, err
}

// appended takes the answer to an append as if the record had been read.
func (e *Elector) appended(r record, done ledger.AppendResult) {
	if r.Epoch == 0 {
		r.Epoch = done.Offset + 1
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if done.End > e.position {
		e.position = done.End
		e.observeLocked(r)
	}
}

func (e *Elector) forget(renewal int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.sent, renewal)
}
