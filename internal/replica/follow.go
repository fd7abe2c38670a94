package replica

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

const (
	// maxReadEntries is the most entries of one read.
	maxReadEntries = 256
	// longPollWait is how long a long poll waits for an entry. It is well below the 2 s for which a
	// leader's confirmation holds, so that an idle log confirms the leaders too.
	longPollWait = time.Second
	// startupPollWait is used instead until the replica is ready.
	startupPollWait = 20 * time.Millisecond
	// minTimeoutMargin is added to a long poll's wait before the log counts as hanging. It doubles
	// with each such read up to maxReadMargin, so that a slow log still brings records. A log
	// that is slower counts as down; a larger margin would delay the notice of its return.
	minTimeoutMargin = 2 * time.Second
	maxTimeoutMargin = 10 * time.Second
)

// logHealth is what the replica knows of the log.
type logHealth struct {
	mu sync.Mutex
	// failing is set while reads of the log fail.
	failing bool
	// lastResponse is when the log last answered a read.
	lastResponse time.Time
	// timeoutMargin is the current timeoutMargin of reads.
	timeoutMargin time.Duration
	// endReadAt is when the newest read was sent that brought the state to the log's tail.
	endReadAt time.Time
	retention time.Duration
}

func (s *logHealth) recordEndReached(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReadAt = sent
}

// recordResponse notes the answer to a read that was sent at the time with the wait.
func (s *logHealth) recordResponse(sent, now time.Time, wait time.Duration, batch platform.Batch) (wasFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took := now.Sub(sent) - wait; took < minTimeoutMargin {
		s.timeoutMargin = minTimeoutMargin
	}
	wasFailing = s.failing
	s.failing = false
	s.lastResponse = now
	if batch.RetentionSeconds > 0 {
		s.retention = time.Duration(batch.RetentionSeconds * float64(time.Second))
	}
	return wasFailing
}

func (s *logHealth) recordFailure() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = !s.failing
	s.failing = true
	return first
}

// currentTimeoutMargin returns the margin of the next read.
func (s *logHealth) currentTimeoutMargin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.timeoutMargin, minTimeoutMargin)
}

// recordTimeout notes a read that was not answered in time.
func (s *logHealth) recordTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeoutMargin = min(2*max(s.timeoutMargin, minTimeoutMargin), maxTimeoutMargin)
}

func (s *logHealth) isFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing
}

func (s *logHealth) retentionTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retention
}

// follow reads the log until ctx is done.
func (r *Replica) follow(ctx context.Context) {
	pause := r.newBackoff()
	for ctx.Err() == nil {
		err := r.followOnce(ctx)
		if err == nil {
			pause.reset()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if r.logHealth.recordFailure() {
			r.deps.Logger.Warn().Str("event", "log-failing").Err(err).Msg("")
		}
		r.metrics.readFailures.Inc()
		sleep(ctx, pause.next())
	}
}

// followOnce recovers the state if necessary, reads once and applies what came.
func (r *Replica) followOnce(ctx context.Context) error {
	applied, recovered, failure := r.position()
	if errors.Is(failure, ErrNewerVersion) {
		return failure
	}
	if !recovered {
		return r.recoverFromLog(ctx)
	}
	sent := r.deps.Now()
	wait := longPollWait
	if !r.IsReady() {
		// An idle log must not delay the start by a long poll.
		wait = startupPollWait
	}
	batch, err := r.readLog(ctx, applied+1, wait)
	if errors.Is(err, platform.ErrExpired) {
		return r.recoverFromLog(ctx)
	}
	if err != nil {
		return err
	}
	r.clearHistoryLost()
	return r.applyBatch(batch, applied, sent)
}

// applyBatch applies a batch that was read from applied+1 on by a read that was sent at the time.
func (r *Replica) applyBatch(batch platform.Batch, applied platform.Offset, sent time.Time) error {
	if batch.Next < applied+1 {
		return eris.Errorf("replica: the log ends at %d, before the applied offset %d", batch.Next, applied)
	}
	if err := r.applyEntries(batch.Entries); err != nil {
		return err
	}
	reached := r.Applied()
	if reached+1 < batch.Next {
		return nil
	}
	r.logHealth.recordEndReached(sent)
	if reached >= r.highestLivePeer() {
		r.markReady()
	}
	return nil
}

// LastReadAt implements state.LogTail.
func (r *Replica) LastReadAt() time.Time {
	r.logHealth.mu.Lock()
	defer r.logHealth.mu.Unlock()
	return r.logHealth.endReadAt
}

func (r *Replica) position() (applied platform.Offset, recovered bool, failure error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Applied, r.recovered, r.failure
}

// readLog reads once and notes whether the log answers.
func (r *Replica) readLog(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	sent := r.deps.Now()
	attempt, cancel := context.WithTimeout(ctx, wait+r.logHealth.currentTimeoutMargin())
	defer cancel()
	batch, err := r.deps.Log.Read(attempt, from, maxReadEntries, wait)
	if err != nil && attempt.Err() != nil && ctx.Err() == nil {
		r.logHealth.recordTimeout()
	}
	if err != nil && !errors.Is(err, platform.ErrExpired) {
		return batch, eris.Wrap(err, "read the log")
	}
	if r.logHealth.recordResponse(sent, r.deps.Now(), wait, batch) {
		r.deps.Logger.Info().Str("event", "log-answers").Uint64("next", uint64(batch.Next)).Msg("")
	}
	return batch, err
}

// highestLivePeer returns the highest applied offset that a live member reports.
func (r *Replica) highestLivePeer() platform.Offset {
	var highest platform.Offset
	if r.deps.View == nil {
		return 0
	}
	for _, m := range r.deps.View.Members() {
		if m.Info.ID != r.deps.ID && m.Status == membership.Alive {
			highest = max(highest, m.Info.Applied)
		}
	}
	return highest
}

// recoverFromLog finds the newest complete snapshot in the log and installs it. The records
// after it are applied by later reads.
func (r *Replica) recoverFromLog(ctx context.Context) error {
	found, oldest, err := r.scanLog(ctx)
	if err != nil {
		return err
	}
	applied, recovered, _ := r.position()
	if found != nil && found.Applied+1 >= oldest && (!recovered || found.Applied > applied) {
		r.install(found, "log")
		return nil
	}
	if !recovered && oldest <= 1 {
		r.install(state.New(), "empty log")
		return nil
	}
	if recovered && applied+1 >= oldest {
		return nil
	}
	return r.recordHistoryLost(applied, oldest)
}

// recordHistoryLost records that the log alone cannot bring this replica up to date. A peer still
// can, so the replica goes on asking.
func (r *Replica) recordHistoryLost(applied, oldest platform.Offset) error {
	err := eris.Wrapf(ErrHistoryLost, "records %d to %d; no complete snapshot follows them", applied+1, oldest-1)
	r.mu.Lock()
	// A peer may have brought a newer state since the log was read.
	first := r.failure == nil && r.state.Applied == applied
	if first {
		r.failure = err
	}
	r.mu.Unlock()
	if first {
		r.deps.Logger.Error().Str("event", "history-lost").Err(err).Msg("")
	}
	return err
}

// clearHistoryLost ends ErrHistoryLost: the log still has the record after the applied one.
func (r *Replica) clearHistoryLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.failure, ErrHistoryLost) {
		r.failure = nil
	}
}

// scanLog reads the whole retained log and returns the newest complete snapshot, or nil, and the
// oldest retained offset.
func (r *Replica) scanLog(ctx context.Context) (*state.State, platform.Offset, error) {
	var found snapshotCollector
	from := platform.Offset(1)
	for {
		batch, err := r.readLog(ctx, from, 0)
		switch {
		case errors.Is(err, platform.ErrExpired) && batch.Oldest > from:
			from = batch.Oldest
			continue
		case err != nil:
			return nil, 0, err
		}
		for _, entry := range batch.Entries {
			if err := found.addEntry(entry); err != nil {
				return nil, 0, err
			}
			from = entry.Offset + 1
		}
		if len(batch.Entries) == 0 || from >= batch.Next {
			s, err := found.newest()
			return s, batch.Oldest, err
		}
	}
}
