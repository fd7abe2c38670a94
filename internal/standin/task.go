package standin

import (
	"math"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// never is a time span longer than any test.
const never = time.Duration(math.MaxInt64)

// task is one lease of a worker and what runs under it.
type task struct {
	lease   platform.Lease
	program program
	// expires is on the lease clock of the worker.
	expires time.Duration
	// work is the progress over all attempts that the task resumed; ran is of this attempt.
	work, ran time.Duration
	speed     float64
	// checkpointRemaining is the time until a checkpoint in progress is complete, negative if there is none.
	checkpointRemaining time.Duration
	// checkpointWork is the work kept by the checkpoint in progress.
	checkpointWork time.Duration
	// checkpointRequestedAt is when the checkpoint in progress was asked for.
	checkpointRequestedAt time.Time
	// lastCheckpointAt is when the work of the last complete checkpoint was done.
	lastCheckpointAt time.Time
	checkpointCount  int
	// runIndex is the index in worker.runs, valid once the task was started.
	runIndex int
	// startedAt is when the task was started, for the lag of usage reports.
	startedAt time.Time
}

// advance lets a running task go on from one time to another and returns when and how it
// ended. clock is the lease clock at the start of the span and rate its speed. active is
// false while the worker is frozen: then no work is done, but leases lapse.
func (t *task) advance(from, to time.Time, clock time.Duration, rate float64, active bool) (end time.Time, state platform.LeaseState, reason string) {
	untilExpiry := scale(t.expires-clock, 1/rate)
	untilEnd, state, reason := t.untilEnd(active)
	if untilExpiry < untilEnd {
		untilEnd, state, reason = untilExpiry, platform.LeaseStopped, reasonExpired
	}
	span := to.Sub(from)
	ended := untilEnd <= span
	if ended {
		span = max(untilEnd, 0)
	}
	if active {
		t.work += scale(span, t.speed)
		t.ran += span
	}
	if !ended {
		return time.Time{}, "", ""
	}
	return from.Add(span), state, reason
}

// untilEnd returns the true time until the task ends by itself.
func (t *task) untilEnd(active bool) (d time.Duration, state platform.LeaseState, reason string) {
	if !active {
		return never, "", ""
	}
	if t.program.failAt >= 0 && t.program.failAt <= t.program.duration {
		return scale(t.program.failAt-t.work, 1/t.speed), platform.LeaseFailed, reasonTaskFailed
	}
	return scale(t.program.duration-t.work, 1/t.speed), platform.LeaseSucceeded, ""
}

// scale multiplies a span and rounds up, so that the end computed from it is never early.
func scale(d time.Duration, factor float64) time.Duration {
	if factor == 1 {
		return d
	}
	scaled := math.Ceil(float64(d) * factor)
	if scaled >= math.MaxInt64 {
		return never
	}
	return time.Duration(scaled)
}
