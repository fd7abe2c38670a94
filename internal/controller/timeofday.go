package controller

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// stepConfirmation is how long a clock that has jumped forward must stay there before its time is used.
	// A longer time guards against longer errors, but delays occurrences when a clock that was behind at the
	// start of the process is corrected.
	stepConfirmation = 20 * time.Second
	// maxClockSlew is the largest change of the clock's error that does not count as a jump.
	maxClockSlew = time.Second
	// clockCheckInterval is how often the clock is checked for jumps when it is not read.
	clockCheckInterval = time.Second
)

// cautiousTimeOfDay is the time of day of this instance, except that it follows a jump forward only after
// stepConfirmation. A scheduled occurrence must not start early, and a clock that jumps may jump back. If
// the jump corrects a clock that was behind, occurrences are late for that time.
type cautiousTimeOfDay struct {
	timeOfDay func() time.Time
	logger    *log.Logger

	mu sync.Mutex
	// offset is the time of day minus the boottime clock at the last reading; steppedAt is when it jumped.
	offset    time.Duration
	steppedAt boottime.Instant
	// confirmed is the last offset that was in use for stepConfirmation; until then, the first one.
	confirmed time.Duration
}

func newCautiousTimeOfDay(timeOfDay func() time.Time, logger *log.Logger) *cautiousTimeOfDay {
	c := &cautiousTimeOfDay{timeOfDay: timeOfDay, logger: logger, steppedAt: boottime.Now()}
	c.offset = time.Duration(timeOfDay().UnixNano()) - time.Duration(c.steppedAt)
	c.confirmed = c.offset
	return c
}

// unixMilli returns the time of day in Unix milliseconds.
func (c *cautiousTimeOfDay) unixMilli() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := boottime.Now()
	offset := time.Duration(c.timeOfDay().UnixNano()) - time.Duration(now)
	if by := offset - c.offset; by.Abs() > maxClockSlew {
		c.steppedAt = now
		c.logger.Warn().Dur("by", by).Msg("time of day has jumped")
	}
	c.offset = offset
	if now.Sub(c.steppedAt) >= stepConfirmation {
		c.confirmed = offset
	}
	if offset > c.confirmed+maxClockSlew {
		offset = c.confirmed
	}
	return (time.Duration(now) + offset).Milliseconds()
}

// WatchClock notices jumps of the time of day until ctx is done. It must run on all instances: one that takes
// over must know whether its clock has just jumped.
func (c *Controller) WatchClock(ctx context.Context) {
	for ctx.Err() == nil {
		c.timeOfDay.unixMilli()
		boottime.Sleep(ctx, clockCheckInterval)
	}
}
