package controller

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

const (
	// maxTurn is the time after which a leader that still handles the same events is abandoned, so that another instance can
	// lead. Runs lose their leases after a few seconds without renewals; turns usually take some milliseconds, also beside
	// thousands of workers.
	maxTurn = 5 * time.Second
	// turnCheckInterval is how often awaitEnd checks the current turn.
	turnCheckInterval = 250 * time.Millisecond
	// minLoggedTurn is the duration from which on a turn is logged.
	minLoggedTurn = 500 * time.Millisecond
)

// turnMetrics measure the turns of the goroutine that owns the state of a term: the events that it handles at a time, with the
// planning round that may follow. During a turn it does nothing else.
type turnMetrics struct {
	duration  *metrics.Histogram
	abandoned *metrics.Counter
	// current is the turn in progress.
	current *currentTurn
}

// currentTurn holds instants of the boottime clock and durations in nanoseconds.
type currentTurn struct {
	// startedAt is 0 between turns. longest is the longest completed turn of the term.
	startedAt, longest atomic.Int64
}

func newTurnMetrics(set *metrics.Set) turnMetrics {
	return turnMetrics{
		duration:  set.GetOrCreateHistogram(`oleanderbend_leader_turn_seconds`),
		abandoned: set.GetOrCreateCounter(`oleanderbend_terms_abandoned_total`),
		current:   &currentTurn{},
	}
}

// reset begins a new term.
func (m *turnMetrics) reset() {
	m.current.startedAt.Store(0)
	m.current.longest.Store(0)
}

// elapsed returns how long the turn in progress has taken, 0 if there is none.
func (m *turnMetrics) elapsed() time.Duration {
	started := m.current.startedAt.Load()
	if started == 0 {
		return 0
	}
	return boottime.Since(boottime.Instant(started))
}

// longestSeconds returns the duration of the longest turn of the term, including that in progress.
func (m *turnMetrics) longestSeconds() float64 {
	return max(m.elapsed(), time.Duration(m.current.longest.Load())).Seconds()
}

// turn handles an event and those queued behind it, and plans if a planning round is due.
func (l *leader) turn(event func()) {
	m := &l.c.metrics.turns
	started := boottime.Now()
	m.current.startedAt.Store(int64(started))
	defer m.current.startedAt.Store(0)
	event()
	l.handleQueuedResults()
	l.planIfDue()
	took := boottime.Since(started)
	m.duration.Update(took.Seconds())
	m.current.longest.Store(max(m.current.longest.Load(), int64(took)))
	if took >= minLoggedTurn {
		l.logger.Warn().Dur("took", took).Int("jobs", len(l.active)).Int("workers", len(l.workers)).Msg("leader was busy with one turn")
	}
}

// awaitEnd waits until the goroutine of the term has ended, or abandons it after maxTurn in the same turn. What an abandoned leader
// still decides has no effect: its context is done and its term invalid, so it stores nothing and sends no commands.
func (l *leader) awaitEnd(ended <-chan struct{}) {
	ticker := time.NewTicker(turnCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		if elapsed := l.c.metrics.turns.elapsed(); elapsed > maxTurn {
			l.c.metrics.turns.abandoned.Inc()
			l.logger.Error().Int64("epoch", l.term.Epoch).Dur("elapsed", elapsed).Msg("leader makes no progress, term abandoned")
			l.cancel()
			return
		}
	}
}
