package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// lookEvery is how long a look at a worker waits for an end. Leases are renewed as often.
	lookEvery = 900 * time.Millisecond
	// lookTimeout is added to it for the answer.
	lookTimeout = 700 * time.Millisecond
	// lookRetry is the pause after a look without an answer.
	lookRetry = 150 * time.Millisecond
	// idleLookRetry is the same for a worker that runs nothing: each look has its price, and a worker
	// that was cut off is usually away for some seconds.
	idleLookRetry = time.Second
	// sameLife is the time after a look within which the worker has not started again: a start takes
	// longer.
	sameLife = time.Second
	// looseFor is how long an order without an answer may be on its way.
	looseFor = 15 * time.Second
)

// checkLink looks at a worker that needs it, and gives up runs whose leases have run out.
func (l *leader) checkLink(k *link, now boottime.Instant) {
	if k.silentSince != 0 && k.lapsed(now) {
		l.giveUpLapsed(k, now)
	}
	for _, r := range k.list() {
		l.checkRun(r, now)
	}
	if k.info.State == worker.Draining {
		l.saveDraining(k, now)
	}
	if !k.present && len(k.runs) == 0 {
		l.unlink(k)
		return
	}
	l.look(k)
}

// giveUpLapsed resolves the runs of a worker whose leases have run out. A start that the worker holds
// back could begin its run in a new life of the worker: that task waits until the run is stopped
// there, or the start can no longer arrive.
func (l *leader) giveUpLapsed(k *link, now boottime.Instant) {
	for _, r := range k.list() {
		if k.mayHoldBack(r.order(), now) {
			continue
		}
		l.logger.Warn().Str("worker", k.id).Str("task", r.task.id.String()).
			Dur("silent", now.Sub(k.silentSince)).Msg("lease has run out")
		l.resolve(r, endLost, "")
	}
}

// mayHoldBack says whether the worker may still carry out a start that got no answer. A worker that
// has answered nothing since was cut off: the start did not reach it.
func (k *link) mayHoldBack(o worker.Run, now boottime.Instant) bool {
	until, loose := k.loose[o]
	return loose && now < until && k.heard > until.Add(-looseFor)
}

// look asks a worker for its lists, unless a look is under way or nothing is expected.
func (l *leader) look(k *link) {
	now := boottime.Now()
	if k.looking || now < k.lookDue || k.unstored > 0 || !l.term.Valid() {
		return
	}
	if len(k.runs) == 0 && k.processed == k.acked && !k.resample && k.silentSince == 0 {
		return
	}
	order := worker.PollCommand{Token: l.term.Epoch}
	known := k.silentSince == 0 && now.Sub(k.listed) < sameLife
	if k.processed > k.acked && known {
		// A worker that was not heard of for a while may have started again: its new life would take the
		// acknowledgement for ends of its own, which nobody has seen.
		order.AcknowledgedThrough = k.processed
	}
	switch {
	case k.clockAt == 0 || k.adopting():
		// The first look only raises the fence and reads the clock.
	case k.silentSince != 0:
		// A due time that may or may not arrive would keep the runs from ever being given up.
	case len(k.runs) > 0:
		order.LeaseExpiryMS = l.due(k, now)
		order.Wait = lookEvery
		if k.waitsForStop() {
			order.Wait = stopLook
		}
		if k.processed > k.acked && !known {
			order.Wait = 0
		}
	}
	if !l.term.Valid() {
		return
	}
	k.looking = true
	l.c.metrics.holds.Inc()
	target := worker.Target{ID: k.id, Address: k.address}
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, order.Wait+lookTimeout)
		defer cancel()
		lists, err := l.c.cfg.Workers.Poll(ctx, target, order)
		l.post(func() { l.looked(k, now, order, lists, err) })
	}()
}

// looked takes the outcome of a look that was sent at the given instant.
func (l *leader) looked(k *link, sent boottime.Instant, o worker.PollCommand, lists worker.PollResponse, err error) {
	k.looking = false
	if l.links[k.id] != k {
		return
	}
	if err != nil {
		if o.AcknowledgedThrough > 0 && errors.Is(err, worker.ErrUnconfirmed) {
			k.looseAck = sent.Add(looseFor)
		}
		l.lookFailed(k, err)
		return
	}
	k.heard = boottime.Now()
	k.listed = k.heard
	if k.silentSince != 0 {
		l.logger.Info().Str("worker", k.id).Dur("silent", boottime.Since(k.silentSince)).Msg("worker answers again")
		k.silentSince = 0
		l.planDue = true
	}
	if lists.StartedAtMS != 0 && lists.StartedAtMS < k.born {
		return
	}
	l.noteBirth(k, lists.StartedAtMS)
	k.clock, k.clockAt, k.resample = lists.ClockMS, boottime.Now(), false
	if !k.answered {
		// An earlier leader may have given out the longest lease just before.
		k.answered = true
		k.maxDue = max(k.maxDue, k.clock+l.c.cfg.Timing.MaxLease.Milliseconds())
	}
	k.acked = max(k.acked, o.AcknowledgedThrough)
	l.takeEnds(k, lists.Ended)
	l.takeRunning(k, sent, lists)
	l.restartStalled(k)
	l.paceFillers(k)
	l.look(k)
}

func (l *leader) lookFailed(k *link, err error) {
	var refused *worker.RejectedError
	now := boottime.Now()
	k.lookDue = now.Add(lookRetry)
	if len(k.runs) == 0 {
		k.lookDue = now.Add(idleLookRetry)
	}
	if errors.As(err, &refused) {
		switch refused.Reason {
		case worker.RejectedStaleToken:
			l.stepDown("worker has seen a newer leader")
			return
		case worker.RejectedIncarnation:
			l.replaced(k)
			return
		}
	}
	if k.silentSince == 0 {
		k.silentSince = now
		l.logger.Warn().Str("worker", k.id).Err(err).Int("runs", len(k.runs)).Msg("worker does not answer")
	}
}

// replaced takes that another incarnation has the worker's address: this one runs nothing.
func (l *leader) replaced(k *link) {
	l.logger.Info().Str("worker", k.id).Int("runs", len(k.runs)).Msg("worker replaced at its address")
	for _, r := range k.list() {
		l.resolve(r, endLost, "")
	}
	k.processed = k.acked
	k.present = false
}

// takeEnds takes the ends that were not taken before.
func (l *leader) takeEnds(k *link, ends []worker.End) {
	for _, e := range ends {
		if e.Sequence <= k.processed {
			continue
		}
		k.processed = e.Sequence
		if r := k.runs[e.Task]; r != nil && r.number == e.Run.Number {
			l.resolve(r, e.Kind, e.Checkpoint)
		}
	}
}

// takeRunning compares the runs in progress with those expected.
func (l *leader) takeRunning(k *link, sent boottime.Instant, lists worker.PollResponse) {
	listed := make(map[batch.TaskID]bool, len(lists.Running))
	for i := range lists.Running {
		s := &lists.Running[i]
		r := k.runs[s.Task]
		if r == nil || r.number != s.Number {
			l.stopStray(k, s.Run)
			continue
		}
		listed[s.Task] = true
		l.seenRunning(r, s)
	}
	for _, r := range k.list() {
		if !listed[r.task.id] && r.settled != 0 && sent > r.settled {
			// The order was answered before the look was sent: the run is over, and was not
			// listed as ended because it never began or its end was forgotten.
			l.resolve(r, endLost, "")
		} else if !listed[r.task.id] && r.state == adopting {
			// The former leader's start may still be on its way.
			k.loose[r.order()] = boottime.Now().Add(looseFor)
			l.resolve(r, endLost, "")
		}
	}
}

// stopStray ends a run that the leader does not expect, or keeps it from beginning.
func (l *leader) stopStray(k *link, r worker.Run) {
	l.logger.Warn().Str("worker", k.id).Str("task", r.Task.String()).Int64("run", r.Number).Msg("stopping run that is not expected")
	target, token := worker.Target{ID: k.id, Address: k.address}, l.term.Epoch
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, orderTimeout)
		defer cancel()
		if err := l.c.cfg.Workers.Stop(ctx, target, r, token); err != nil {
			l.logger.Warn().Str("worker", target.ID).Str("task", r.Task.String()).Err(err).Msg("unexpected run not stopped")
		}
	}()
}

// adoptAll looks at every worker that an earlier leader may have given work.
func (l *leader) adoptAll() {
	for _, k := range l.links {
		l.look(k)
	}
}
