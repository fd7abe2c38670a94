package standin

import (
	"math"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// never is a duration longer than any test.
const never = time.Duration(math.MaxInt64)

// leasedTask is one lease of a worker and the task that runs under it. The task has not started
// while the lease is only reserved.
type leasedTask struct {
	lease   platform.Lease
	program program
	// expires is when the lease expires, as a time on the lease clock of the worker.
	expires time.Duration
	// work is the progress, including that of earlier attempts up to the checkpoint from which the
	// task was resumed. ran is how long the task has run in this attempt.
	work, ran time.Duration
	// speed is between minTaskSpeed and 1, which is full speed.
	speed float64
	// checkpointRemaining is the time until the checkpoint in progress is complete; negative if there
	// is none.
	checkpointRemaining time.Duration
	// checkpointWork is the work that the checkpoint in progress saves.
	checkpointWork time.Duration
	// checkpointRequestedAt is when the checkpoint in progress was requested.
	checkpointRequestedAt time.Time
	// lastCheckpointAt is when the last complete checkpoint, which saves the work done until then,
	// was requested, or the start of the task if this attempt has completed none.
	lastCheckpointAt time.Time
	// checkpointCount is the number of complete checkpoints of this attempt.
	checkpointCount int
	// runIndex is the index of the task's run among all runs of the worker, including those dropped
	// from the front of worker.runs. It is valid after the start of the task.
	runIndex int
	// startedAt is when the task was started. Usage reports omit the task until the usage lag has
	// passed since then.
	startedAt time.Time
}

// advance advances a running task between two times. If the task ends in this span, advance returns
// the time of the end, the state of the lease and the reason; otherwise the end is zero. clock is
// the lease clock at the start of the span and rate is its speed. active is false while the worker
// is frozen: the task makes no progress, but its lease can expire.
func (t *leasedTask) advance(from, to time.Time, clock time.Duration, rate float64, active bool) (end time.Time, state platform.LeaseState, reason string) {
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

// untilEnd returns the time, at the current speed, until the task succeeds or fails, with the state
// and the reason that it then has. It returns never for a frozen worker.
func (t *leasedTask) untilEnd(active bool) (d time.Duration, state platform.LeaseState, reason string) {
	if !active {
		return never, "", ""
	}
	if t.program.failAt >= 0 && t.program.failAt <= t.program.duration {
		return scale(t.program.failAt-t.work, 1/t.speed), platform.LeaseFailed, reasonTaskFailed
	}
	return scale(t.program.duration-t.work, 1/t.speed), platform.LeaseSucceeded, ""
}

// scale multiplies a duration by a factor and rounds up to whole nanoseconds, so that the time until
// an end is never computed too short. Progress and the lease clock can therefore be ahead by up to
// 1 ns per computation. If the product would overflow, scale returns never.
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
