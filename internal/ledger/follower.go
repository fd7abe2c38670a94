package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// readRetryInterval is the pause after a failed call, short against the bounds of configuration.
const readRetryInterval = 60 * time.Millisecond

// Update is a change of the mirrored topic.
type Update struct {
	// Reset says that the entries are all newest records, and that other keys are gone.
	Reset   bool
	Entries []Entry
	// Position is the offset up to which the mirror is complete.
	Position int64
}

// FollowerConfig describes a follower.
type FollowerConfig struct {
	Log   Log
	Topic string
	// Wait is how long a read waits at the log. It bounds the age of a confirmation.
	Wait time.Duration
	// Pause is the least time between two reads that found records. It bounds the number of
	// reads while records come one by one.
	Pause func() time.Duration
	// Apply receives each update, in order. It must not block.
	Apply  func(Update)
	Logger *log.Logger
}

// Follower mirrors one topic.
type Follower struct {
	cfg FollowerConfig
	// scan is the reading of the newest records that is under way. Only Run uses it.
	scan *Scan

	mu          sync.Mutex
	synced      bool
	position    int64
	confirmedAt boottime.Instant
	failing     bool
}

// NewFollower returns a follower; Run starts it.
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
				Msg("history expired, reading newest records")
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
	if failing {
		// The first answer after an outage shall not wait for news.
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

// readLatest reads a page of the newest records, and starts to follow the topic after the last one.
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
		Msg("newest records read")
	return nil
}

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

// trackAvailability logs the loss and the return of the topic, once each.
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

// Position is the offset up to which the mirror is complete.
func (f *Follower) Position() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.position
}

// Age is the time since the mirror was last known to be complete. It is unknown (false) before
// the first read.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.synced || f.confirmedAt == 0 {
		return 0, false
	}
	return boottime.Since(f.confirmedAt), true
}
