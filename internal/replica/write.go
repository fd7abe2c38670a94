package replica

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

const (
	// appendTimeout limits one append. When the log does not respond within this time, the append
	// is repeated.
	appendTimeout = 2 * time.Second
	// rejectionTimeout is how long a write retries appends that the log rejects without effect,
	// before it fails. It is longer than a burst of appends above the rate limit of the log.
	rejectionTimeout = 2 * time.Second
	// outageRejectionTimeout replaces rejectionTimeout while reading or applying the log fails too, so
	// that operators learn without delay that the log is unavailable.
	outageRejectionTimeout = 300 * time.Millisecond
	// verdictTimeout is how long a write waits for the verdict of an append whose response was
	// lost, before it appends again.
	verdictTimeout = 300 * time.Millisecond
)

// waiter receives the verdict of one record id. Concurrent writes of the same id share it.
type waiter struct {
	// done is closed when verdict is set.
	done    chan struct{}
	verdict state.Verdict
	// writers is the number of writes that share the waiter.
	writers int
}

// pendingWrite is a write that has no verdict yet.
type pendingWrite struct {
	record state.Record
	data   []byte
	waiter *waiter
	// installCount is the value of Replica.installCount when the base was read.
	installCount int
	// baseFromCaller is true if the caller set the base and may have written the record before.
	baseFromCaller bool
}

// deliver passes a verdict to the writes that wait for it. The caller holds r.mu.
func (r *Replica) deliver(id string, v state.Verdict) {
	w, found := r.waiters[id]
	if !found {
		return
	}
	delete(r.waiters, id)
	w.verdict = v
	close(w.done)
}

// deliverFromState delivers the verdicts that a newly installed state contains. The caller holds
// r.mu.
func (r *Replica) deliverFromState() {
	for id := range r.waiters {
		if v, found := r.state.Verdicts[id]; found {
			r.deliver(id, v)
		}
	}
}

// register returns a waiter for the id. The waiter is done at once if the state already has the
// verdict.
func (r *Replica) register(id string) *waiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, found := r.state.Verdicts[id]; found {
		done := make(chan struct{})
		close(done)
		return &waiter{done: done, verdict: v}
	}
	w, found := r.waiters[id]
	if !found {
		w = &waiter{done: make(chan struct{})}
		r.waiters[id] = w
	}
	w.writers++
	return w
}

// unregister ends the use of a waiter by one write and removes a waiter that no write uses.
func (r *Replica) unregister(id string, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.writers--
	if w.writers == 0 && r.waiters[id] == w {
		delete(r.waiters, id)
	}
}

// Write implements state.Writer. It repeats an append that failed or whose response was lost, with
// the same record id, until it has the verdict, the write certainly fails, or ctx is done.
func (r *Replica) Write(ctx context.Context, record state.Record) (state.Verdict, error) {
	baseFromCaller := record.Base != 0
	record, installCount, err := r.prepare(record)
	if err != nil {
		return state.Verdict{}, err
	}
	data, err := record.Encode()
	if err != nil {
		return state.Verdict{}, eris.Wrap(state.ErrNotApplied, err.Error())
	}
	if len(data) > platform.MaxEntryBytes {
		return state.Verdict{}, eris.Wrapf(state.ErrNotApplied, "record of %d bytes exceeds %d", len(data), platform.MaxEntryBytes)
	}
	w := r.register(record.ID)
	defer r.unregister(record.ID, w)
	started := r.deps.Now()
	verdict, err := r.appendUntilVerdict(ctx, pendingWrite{record: record, data: data, waiter: w, installCount: installCount, baseFromCaller: baseFromCaller})
	if err == nil && verdict.Code == state.Stale && baseFromCaller {
		// An append by an earlier call may have taken effect, and its verdict been dropped since.
		err = eris.Wrapf(state.ErrUnknownOutcome, "request %s is too old to be repeated", record.ID)
	}
	r.metrics.writeSeconds.Update(r.deps.Now().Sub(started).Seconds())
	r.metrics.countWrite(verdict, err)
	return verdict, err
}

// prepare returns the record with Version, Writer, Time, Base and ID set, and the current
// installCount. It returns state.ErrNotApplied if the replica cannot write.
func (r *Replica) prepare(record state.Record) (state.Record, int, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	switch {
	case r.failure != nil:
		return record, 0, eris.Wrap(state.ErrNotApplied, r.failure.Error())
	case !r.recovered:
		return record, 0, eris.Wrap(state.ErrNotApplied, "this instance has not recovered its state")
	}
	record.Version = state.RecordVersion
	record.Writer = r.deps.ID
	record.Time = r.deps.Now().UTC()
	if record.Base == 0 {
		record.Base = r.state.Applied
	}
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	return record, r.installCount, nil
}

// appendUntilVerdict appends the record and waits for the verdict, and repeats both until there is a
// verdict, the record certainly has no effect, or ctx is done.
func (r *Replica) appendUntilVerdict(ctx context.Context, p pendingWrite) (state.Verdict, error) {
	w := p.waiter
	backoff := r.newBackoff()
	mayBeInLog := false
	started := r.deps.Now()
	for {
		if v, done := waitVerdict(ctx, w, 0); done {
			return v, nil
		}
		if !p.baseFromCaller && r.windowPassed(p.record, p.installCount) {
			return state.Verdict{}, eris.Wrap(state.ErrNotApplied, "the record did not reach the log in time")
		}
		_, err := r.appendOnce(ctx, p.data)
		wait := backoff.next()
		switch {
		case err == nil:
			mayBeInLog = true
			// The entry is in the log, so the verdict comes as soon as the entry is applied.
			if v, done := waitVerdict(ctx, w, noTimeout); done {
				return v, nil
			}
		case errors.Is(err, platform.ErrTooLarge):
			return state.Verdict{}, eris.Wrap(state.ErrNotApplied, err.Error())
		case errors.Is(err, platform.ErrUnavailable):
			if took := r.deps.Now().Sub(started); !mayBeInLog && took >= r.currentRejectionTimeout() {
				return state.Verdict{}, eris.Wrapf(state.ErrNotApplied, "the log refused the append for %s: %v", took.Round(time.Millisecond), err)
			}
		default:
			mayBeInLog = true
			wait = max(wait, verdictTimeout)
			r.deps.Events.Record(timeline.Event{Type: timeline.TypeRetry, Name: "append-repeated", Request: p.record.ID, Reason: err.Error()})
		}
		if v, done := waitVerdict(ctx, w, wait); done {
			return v, nil
		}
		if ctx.Err() != nil {
			return state.Verdict{}, noVerdictError(ctx, p.record.ID, mayBeInLog)
		}
	}
}

// currentRejectionTimeout returns how long the log may currently reject the appends of a write.
func (r *Replica) currentRejectionTimeout() time.Duration {
	if r.logHealth.isFollowFailing() {
		return outageRejectionTimeout
	}
	return rejectionTimeout
}

// noVerdictError returns the error of a write that got no verdict before ctx was done:
// state.ErrUnknownOutcome if the log may have the record, otherwise state.ErrNotApplied.
func noVerdictError(ctx context.Context, id string, mayBeInLog bool) error {
	if mayBeInLog {
		return eris.Wrapf(state.ErrUnknownOutcome, "request %s: %v", id, context.Cause(ctx))
	}
	return eris.Wrapf(state.ErrNotApplied, "request %s: %v", id, context.Cause(ctx))
}

// windowPassed reports whether the record can no longer take effect, because the append window
// after its base has been applied without it. It reports false if this replica has not applied every
// record since the base itself, because it has failed or installed another state since.
func (r *Replica) windowPassed(record state.Record, installCount int) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.failure == nil && r.installCount == installCount && r.state.Applied >= record.Base+state.AppendWindow
}

func (r *Replica) appendOnce(ctx context.Context, data []byte) (platform.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r.metrics.appends.Inc()
	return r.deps.Log.Append(ctx, data)
}

// noTimeout makes waitVerdict wait until its context is done.
const noTimeout = time.Duration(-1)

// waitVerdict returns the verdict and true as soon as w has it, or false after the timeout or when
// ctx is done. A timeout of 0 does not wait.
func waitVerdict(ctx context.Context, w *waiter, timeout time.Duration) (state.Verdict, bool) {
	select {
	case <-w.done:
		return w.verdict, true
	default:
	}
	if timeout == 0 {
		return state.Verdict{}, false
	}
	var expired <-chan time.Time
	if timeout > 0 {
		timer := time.NewTimer(timeout)
		defer timer.Stop()
		expired = timer.C
	}
	select {
	case <-w.done:
		return w.verdict, true
	case <-ctx.Done():
	case <-expired:
	}
	return state.Verdict{}, false
}
