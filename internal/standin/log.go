package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Defaults of LogConfig.
const (
	DefaultRetention        = time.Hour
	DefaultAppendsPerSecond = 300
)

// Bounds of one batch returned by Read: the number of entries, and the total size of their data in
// bytes. The first entry is returned whatever its size.
const (
	maxReadEntries = 10_000
	maxReadBytes   = 4 << 20
)

// LogConfig configures a Log.
type LogConfig struct {
	// Clock is the system clock if nil.
	Clock Clock
	// Retention is how long entries are retained; default DefaultRetention.
	Retention time.Duration
	// AppendsPerSecond is the maximum rate of appends. The burst is the number of appends of one
	// second. The default is DefaultAppendsPerSecond.
	AppendsPerSecond float64
}

// Log is the stand-in for the platform's log: an append-only log in memory. It is safe for
// concurrent use.
type Log struct {
	config   LogConfig
	injector faultInjector

	mu       sync.Mutex
	faults   LogFaults
	entries  []logEntry
	next     platform.Offset
	tokens   float64
	refilled time.Time
	// changed is closed and replaced at each append and each change of faults.
	changed chan struct{}
	// attempts is the result of AppendAttempts.
	attempts int
}

type logEntry struct {
	platform.Entry
	appendedAt time.Time
}

// NewLog returns an empty log.
func NewLog(config LogConfig) *Log {
	config.Clock = clockOrSystem(config.Clock)
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	if config.AppendsPerSecond == 0 {
		config.AppendsPerSecond = DefaultAppendsPerSecond
	}
	return &Log{
		config:   config,
		injector: faultInjector{clock: config.Clock},
		next:     1,
		tokens:   config.AppendsPerSecond,
		refilled: config.Clock.Now(),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults. It wakes all waiting reads, which then check for the new faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.injector.setFaults(f.CallFaults)
	l.faults = f
	l.wakeReaders()
}

// AppendAttempts returns how many appends reached the log, including those rejected by the rate
// limit.
func (l *Log) AppendAttempts() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.attempts
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, data []byte) (platform.Offset, error) {
	if len(data) > platform.MaxEntryBytes {
		return 0, fmt.Errorf("%w: %d bytes", platform.ErrTooLarge, len(data))
	}
	stored := append([]byte(nil), data...)
	var (
		offset    platform.Offset
		appendErr error
		late      time.Duration
	)
	err := l.injector.call(ctx, func() {
		if late = l.takeLateAppend(); late > 0 {
			l.appendAfter(late, stored)
			return
		}
		offset, appendErr = l.append(stored)
	})
	switch {
	case err != nil:
		return 0, err
	case late > 0:
		return 0, unknownOutcome(errResponseLost)
	}
	return offset, appendErr
}

// takeLateAppend returns the delay of an append to which the late-append fault applies, and
// decrements a positive LateAppends. It returns 0 if the fault does not apply.
func (l *Log) takeLateAppend() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LateBy > 0 && consumeOne(&l.faults.LateAppends) {
		return time.Duration(l.faults.LateBy)
	}
	return 0
}

func (l *Log) appendAfter(d time.Duration, data []byte) {
	arrival := l.config.Clock.After(d)
	go func() {
		<-arrival
		// The caller got ErrUnknownOutcome, so the rate limit may reject the append.
		_, _ = l.append(data)
	}()
}

func (l *Log) append(data []byte) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts++
	now := l.config.Clock.Now()
	if !l.takeToken(now) {
		return 0, unavailable(errRateLimit)
	}
	offset := l.next
	l.next++
	l.entries = append(l.entries, logEntry{Entry: platform.Entry{Offset: offset, Data: data}, appendedAt: now})
	l.wakeReaders()
	return offset, nil
}

// wakeReaders wakes all reads that are waiting. It is called with the mutex held.
func (l *Log) wakeReaders() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// takeToken takes a token from the token bucket of the rate limit and reports whether there was
// one. It is called with the mutex held.
func (l *Log) takeToken(now time.Time) bool {
	rate := l.config.AppendsPerSecond
	l.tokens = min(rate, l.tokens+now.Sub(l.refilled).Seconds()*rate)
	l.refilled = now
	if l.tokens < 1 {
		return false
	}
	l.tokens--
	return true
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if err := l.injector.read(ctx, func() {}); err != nil {
		return platform.Batch{}, err
	}
	deadline := l.config.Clock.After(wait)
	for {
		batch, changed, err := l.read(from, limit)
		if err != nil || len(batch.Entries) > 0 || wait <= 0 {
			return batch, err
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-ctx.Done():
			return platform.Batch{}, unavailable(ctx.Err())
		}
		// A fault that began during the wait ends the long poll.
		if err := l.injector.waitError(ctx); err != nil {
			return platform.Batch{}, err
		}
	}
}

// read returns the entries from offset from on that are present, and a channel that is closed at
// the next append or change of faults.
func (l *Log) read(from platform.Offset, limit int) (platform.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.prune()
	batch := platform.Batch{
		Oldest:           l.next - platform.Offset(len(l.entries)),
		Next:             l.next,
		RetentionSeconds: l.config.Retention.Seconds(),
	}
	if from < batch.Oldest {
		return batch, nil, fmt.Errorf("%w: offset %d, the oldest retained offset is %d", platform.ErrExpired, from, batch.Oldest)
	}
	if from >= l.next {
		return batch, l.changed, nil
	}
	entries := l.entries[from-batch.Oldest:]
	limit = min(max(limit, 1), maxReadEntries, len(entries))
	size := 0
	for _, entry := range entries[:limit] {
		size += len(entry.Data)
		if size > maxReadBytes && len(batch.Entries) > 0 {
			break
		}
		batch.Entries = append(batch.Entries, entry.Entry)
	}
	return batch, l.changed, nil
}

// prune drops the entries that are older than the retention. It is called with the mutex held.
func (l *Log) prune() {
	oldest := l.config.Clock.Now().Add(-l.config.Retention)
	n := 0
	for n < len(l.entries) && l.entries[n].appendedAt.Before(oldest) {
		n++
	}
	l.entries = l.entries[n:]
}
