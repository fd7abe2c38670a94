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
	// maxReadEntries is the maximum number of entries of one read.
	maxReadEntries = 256
	// longPollWait is how long a read waits at the log for an entry. It is well below the 2 s for
	// which the confirmation of a leader is valid, so that leaders are confirmed while the log is
	// idle too.
	longPollWait = time.Second
	// startupPollWait replaces longPollWait until the replica is ready.
	startupPollWait = 20 * time.Millisecond
	// A read times out a margin after its wait. The margin is minTimeoutMargin at first and doubles
	// with each timeout up to maxTimeoutMargin, so that a slow log still delivers records. A log
	// that is slower than maxTimeoutMargin counts as unreachable; a larger margin would delay the
	// detection of its return.
	minTimeoutMargin = 2 * time.Second
	maxTimeoutMargin = 10 * time.Second
)

// logHealth describes how the log responds to reads. It is safe for concurrent use.
type logHealth struct {
	mu sync.Mutex
	// followFailing is true from the first failed call of followOnce to the next response of the
	// log. A call also fails with ErrNewerVersion, ErrGap or ErrHistoryLost while the log responds.
	followFailing bool
	// lastResponse is when the log last responded to a read.
	lastResponse time.Time
	// timeoutMargin is the time after its wait at which a read times out; 0 means minTimeoutMargin.
	timeoutMargin time.Duration
	// endReadAt is the send time of the newest read that brought the state to the end of the log.
	endReadAt time.Time
	// retention is how long the log keeps a record; 0 until the log has reported it.
	retention time.Duration
}

// recordEndReached records that a read brought the state to the end of the log.
func (s *logHealth) recordEndReached(sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endReadAt = sent
}

// recordResponse records the response to a read that was sent at sent and allowed the log to wait for
// the given time. It reports whether followFailing was set before.
func (s *logHealth) recordResponse(sent, now time.Time, wait time.Duration, batch platform.Batch) (wasFailing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if took := now.Sub(sent) - wait; took < minTimeoutMargin {
		s.timeoutMargin = minTimeoutMargin
	}
	wasFailing = s.followFailing
	s.followFailing = false
	s.lastResponse = now
	if batch.RetentionSeconds > 0 {
		s.retention = time.Duration(batch.RetentionSeconds * float64(time.Second))
	}
	return wasFailing
}

// recordFailure records that followOnce failed, and reports whether it is the first failure since
// the last response of the log.
func (s *logHealth) recordFailure() (first bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = !s.followFailing
	s.followFailing = true
	return first
}

// currentTimeoutMargin returns the time after its wait at which the next read times out.
func (s *logHealth) currentTimeoutMargin() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.timeoutMargin, minTimeoutMargin)
}

// recordTimeout records that a read timed out and doubles the margin of the next one.
func (s *logHealth) recordTimeout() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timeoutMargin = min(2*max(s.timeoutMargin, minTimeoutMargin), maxTimeoutMargin)
}

func (s *logHealth) isFollowFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followFailing
}

func (s *logHealth) retentionTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retention
}

// follow reads the log and applies its entries until ctx is done.
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

// followOnce recovers the state from the log if necessary; otherwise it reads and applies one batch.
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
		// With a long poll, an idle log would delay the start.
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

// applyBatch applies the batch returned by a read of offsets from applied+1 on that was sent at sent.
// It marks the replica ready when the state reaches the end of the log and the applied offset of every
// alive peer.
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
	if reached >= r.highestAlivePeer() {
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

// position returns the applied offset, whether the replica has a state, and what prevents it from
// applying records.
func (r *Replica) position() (applied platform.Offset, recovered bool, failure error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.state.Applied, r.recovered, r.failure
}

// readLog reads from the log once and records in logHealth how the log responded.
func (r *Replica) readLog(ctx context.Context, from platform.Offset, wait time.Duration) (platform.Batch, error) {
	sent := r.deps.Now()
	readCtx, cancel := context.WithTimeout(ctx, wait+r.logHealth.currentTimeoutMargin())
	defer cancel()
	batch, err := r.deps.Log.Read(readCtx, from, maxReadEntries, wait)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
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

// highestAlivePeer returns the highest applied offset that an alive peer reports, or 0 without peers.
func (r *Replica) highestAlivePeer() platform.Offset {
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

// recoverFromLog installs the newest complete snapshot in the log, or the empty state if the log
// still has its first record. Later reads apply the records after it. It returns ErrHistoryLost if
// records that the state lacks have expired.
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

// recordHistoryLost records that the log alone cannot bring this replica up to date, and returns the
// error. The replica goes on and asks its peers, which may have the missing records.
func (r *Replica) recordHistoryLost(applied, oldest platform.Offset) error {
	err := eris.Wrapf(ErrHistoryLost, "records %d to %d; no complete snapshot follows them", applied+1, oldest-1)
	r.mu.Lock()
	// The state of a peer may have been installed since the log was read.
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

// clearHistoryLost removes the failure ErrHistoryLost. It is called when the log still has the
// record after the applied one.
func (r *Replica) clearHistoryLost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(r.failure, ErrHistoryLost) {
		r.failure = nil
	}
}

// scanLog reads all records that the log retains. It returns the state of the newest complete
// snapshot, or nil if there is none, and the oldest retained offset.
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
