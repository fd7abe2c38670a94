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
	// appendTimeout bounds one append, so that a log that hangs is noticed and asked again.
	appendTimeout = 2 * time.Second
	// rejectionTimeout is how long the log may refuse the appends of a write that certainly had
	// no effect. It is longer than a burst beyond the log's rate limit.
	rejectionTimeout = 2 * time.Second
	// outageRejectionTimeout is used instead while reads of the log fail too, so that an operator is
	// told at once that the log is down.
	outageRejectionTimeout = 300 * time.Millisecond
	// verdictTimeout is how long a writer waits for the verdict of an append whose answer
	// was lost before it appends again.
	verdictTimeout = 300 * time.Millisecond
)

// waiter waits for the verdict of one record id. Several writers of the same id share it.
type waiter struct {
	done    chan struct{}
	verdict state.Verdict
	writers int
}

// pendingWrite is one write in progress.
type pendingWrite struct {
	record state.Record
	data   []byte
	waiter *waiter
	// installCount is Replica.installCount when the base was taken.
	installCount int
	// baseFromCaller is set if the caller chose the base and may have written the record before.
	baseFromCaller bool
}

// deliver gives a verdict to the writers that wait for it. The lock is held.
func (r *Replica) deliver(id string, v state.Verdict) {
	w, found := r.waiters[id]
	if !found {
		return
	}
	delete(r.waiters, id)
	w.verdict = v
	close(w.done)
}

// deliverFromState gives the verdicts that a newly installed state knows. The lock is held.
func (r *Replica) deliverFromState() {
	for id := range r.waiters {
		if v, found := r.state.Verdicts[id]; found {
			r.deliver(id, v)
		}
	}
}

// register returns a waiter for the id. If the verdict is known already, it is done.
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

func (r *Replica) unregister(id string, w *waiter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	w.writers--
	if w.writers == 0 && r.waiters[id] == w {
		delete(r.waiters, id)
	}
}

// Write implements state.Writer. It appends the record again with the same id while the answer
// is lost, until the verdict is found or ctx is done.
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
		// An append of an earlier call may have taken effect and been forgotten.
		err = eris.Wrapf(state.ErrUnknownOutcome, "request %s is too old to be repeated", record.ID)
	}
	r.metrics.writeSeconds.Update(r.deps.Now().Sub(started).Seconds())
	r.metrics.countWrite(verdict, err)
	return verdict, err
}

// prepare fills in the envelope of a record.
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

// appendUntilVerdict alternates appends and waits for the verdict.
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
			// The entry is in the log for certain; only the reader's side is awaited.
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

func (r *Replica) currentRejectionTimeout() time.Duration {
	if r.logHealth.isFailing() {
		return outageRejectionTimeout
	}
	return rejectionTimeout
}

// noVerdictError says what is known of a write whose verdict was not found in time.
func noVerdictError(ctx context.Context, id string, mayBeInLog bool) error {
	if mayBeInLog {
		return eris.Wrapf(state.ErrUnknownOutcome, "request %s: %v", id, context.Cause(ctx))
	}
	return eris.Wrapf(state.ErrNotApplied, "request %s: %v", id, context.Cause(ctx))
}

// windowPassed reports whether the record can have no effect any more. The writer has seen every
// record since the base, unless the state was replaced by a snapshot meanwhile.
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

// noTimeout makes waitVerdict wait as long as the context allows.
const noTimeout = time.Duration(-1)

// waitVerdict waits for the verdict for up to patience and reports whether it came.
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
