package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// readRetryInterval is the pause after a failed call. It is short compared with the time within which
// an instance must apply a new configuration.
const readRetryInterval = 60 * time.Millisecond

// Update is a change to be applied to the local copy of a topic.
type Update struct {
	// Reset reports whether Entries are the latest records of all keys. They replace the local copy:
	// keys that are not among them no longer exist.
	Reset   bool
	Entries []Entry
	// Position is the offset of the next record to read: with this update, the local copy includes
	// all records before it.
	Position int64
}

// FollowerConfig describes a follower.
type FollowerConfig struct {
	Log   Log
	Topic string
	// Wait is how long the log may delay its response to a read while there are no new records. It
	// limits how long the local copy goes without a confirmation that it is complete.
	Wait time.Duration
	// WaitLimit returns a limit of Wait for the next read. Nil means no limit.
	WaitLimit func() time.Duration
	// Pause returns the time to wait after a read that returned records. It limits the rate of reads
	// while records arrive one by one. Nil means no wait.
	Pause func() time.Duration
	// Apply is called with each update, in order. It must not block.
	Apply  func(Update)
	Logger *log.Logger
}

// Follower reads a topic continuously and passes its records on, so that a local copy of the topic can
// be maintained.
type Follower struct {
	cfg FollowerConfig
	// scan is the current scan of the latest records, or nil. Only Run uses it.
	scan *Scan

	mu sync.Mutex
	// synced reports whether the latest records have been read, so that reads continue at position.
	synced   bool
	position int64
	// confirmedAt is the send time of the last read whose response showed the local copy to be complete.
	confirmedAt boottime.Instant
	// failing reports whether the last call failed.
	failing bool
}

// NewFollower returns a follower that starts when Run is called.
func NewFollower(cfg FollowerConfig) *Follower {
	if cfg.Pause == nil {
		cfg.Pause = func() time.Duration { return 0 }
	}
	return &Follower{cfg: cfg}
}

// Run follows the topic until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := f.step(ctx)
		if errors.Is(err, ErrExpired) {
			f.cfg.Logger.Info().Str("topic", f.cfg.Topic).Int64("position", f.Position()).
				Msg("offset expired; reading the latest records of all keys")
			f.mu.Lock()
			f.synced = false
			f.mu.Unlock()
			continue
		}
		f.trackAvailability(err)
		if err != nil {
			boottime.Sleep(ctx, readRetryInterval)
		}
	}
}

func (f *Follower) step(ctx context.Context) error {
	f.mu.Lock()
	synced, position, failing := f.synced, f.position, f.failing
	f.mu.Unlock()
	if !synced {
		return f.readLatest(ctx)
	}
	wait := f.cfg.Wait
	if f.cfg.WaitLimit != nil {
		wait = min(wait, f.cfg.WaitLimit())
	}
	if failing {
		// After a failed call, read without waiting for new records, so that the end of the outage is
		// noticed at once.
		wait = 0
	}
	sent := boottime.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	page, err := f.cfg.Log.Read(callCtx, f.cfg.Topic, position, wait)
	if err != nil {
		return err
	}
	if n := len(page.Entries); n > 0 {
		position = page.Entries[n-1].Offset + 1
	}
	f.applyUpdate(Update{Entries: page.Entries, Position: position}, sent, position >= page.End)
	if len(page.Entries) > 0 {
		boottime.Sleep(ctx, f.cfg.Pause())
	}
	return nil
}

// readLatest reads a page of the latest records. After the last page, reads continue from the offset at
// which the topic ended when the first page was read.
func (f *Follower) readLatest(ctx context.Context) error {
	if f.scan == nil {
		f.scan = NewScan(f.cfg.Log, f.cfg.Topic)
	}
	done, err := f.scan.Step(ctx)
	if err != nil || !done {
		return err
	}
	scan := f.scan
	f.scan = nil
	f.applyUpdate(Update{Reset: true, Entries: scan.Entries, Position: scan.End}, scan.StartedAt, true)
	f.cfg.Logger.Info().Str("topic", f.cfg.Topic).Int("records", len(scan.Entries)).Int64("position", scan.End).
		Msg("latest records read")
	return nil
}

// applyUpdate passes an update on. If it makes the local copy complete, the copy is confirmed as of the
// time when the read was sent.
func (f *Follower) applyUpdate(u Update, sent boottime.Instant, complete bool) {
	if u.Reset || len(u.Entries) > 0 {
		f.cfg.Apply(u)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.synced = true
	f.position = u.Position
	if complete {
		f.confirmedAt = sent
	}
}

// trackAvailability logs when the topic becomes unavailable and when it is available again.
func (f *Follower) trackAvailability(err error) {
	f.mu.Lock()
	failing := f.failing
	f.failing = err != nil
	f.mu.Unlock()
	switch {
	case err != nil && !failing:
		f.cfg.Logger.Warn().Str("topic", f.cfg.Topic).Err(err).Msg("topic lost")
	case err == nil && failing:
		f.cfg.Logger.Info().Str("topic", f.cfg.Topic).Int64("position", f.Position()).Msg("topic regained")
	}
}

// Position returns the offset of the next record to read: the local copy includes all records before it.
func (f *Follower) Position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Age returns the time since the local copy was last known to be complete. It returns false until the
// latest records have been read for the first time, and after the offset expired until they have been read
// again.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.confirmedAt == 0 {
		return 0, false
	}
	return boottime.Since(f.confirmedAt), true
}
