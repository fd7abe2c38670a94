package controller

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// preferredLease outlives a takeover: a look's length, the time until a claim, and the way to
	// the workers. A longer one keeps the tasks of a lost worker waiting.
	preferredLease = 4 * time.Second
	// lookEvery is how long a look at a worker waits for an end. Leases are renewed as often.
	lookEvery = 900 * time.Millisecond
	// lookTimeout is added to it for the answer.
	lookTimeout = 700 * time.Millisecond
	// lookRetry is the pause after a look without an answer.
	lookRetry = 150 * time.Millisecond
	// idleLookRetry is the same for a worker that runs nothing: each look has its price, and a worker
	// that was cut off is usually away for some seconds.
	idleLookRetry = time.Second
	// clockDrift is how much slower a worker's clock may run.
	clockDrift = 0.02
	// lapseMargin covers rounding to milliseconds.
	lapseMargin = 30 * time.Millisecond
	// workersPause collects the entries that workers write one by one.
	workersPause = 100 * time.Millisecond
	// shunAfter is how many jobs must fail in a row on a worker before it gets no more work.
	shunAfter = 2
	// shunFor is how long it gets none, the length of a usual disturbance.
	shunFor = 6 * time.Second
	// looseFor is how long an order without an answer may be on its way.
	looseFor = 15 * time.Second
	// leftWithin times the heartbeat is the age of an entry up to which its end means that the
	// worker has left; silent workers keep theirs for three.
	leftWithin = 2
	// saveMargin is kept from the time at which a draining worker may be gone, for a stop.
	saveMargin = 700 * time.Millisecond
	// unhealthyPause is how long a worker that refused an order gets no more.
	unhealthyPause = time.Second
)

// link is what the leader knows of a worker.
type link struct {
	id      string
	address string
	info    worker.Info
	// present says that the registry has an entry for the worker.
	present bool
	born    int64
	runs    map[batch.TaskID]*run

	// clock is the worker's clock in ms at the instant clockAt, or a little later.
	clock   int64
	clockAt boottime.Instant
	// maxDue is the latest due time sent in this term, on the worker's clock.
	maxDue int64
	// adoptUntil bounds the leases that an earlier leader may have given out.
	adoptUntil boottime.Instant

	// answered says that the worker has answered a look in this term.
	answered bool
	// resample asks for a look that reads the clock again.
	resample bool
	looking  bool
	lookDue  boottime.Instant
	// silentSince is when the worker stopped answering; 0 while it answers.
	silentSince boottime.Instant
	// processed is the highest end taken, unstored how many of their records are under way,
	// acked what the worker was told it may forget.
	processed, acked int64
	unstored         int

	// heard is when the worker last answered an order or a look.
	heard boottime.Instant
	// loose holds starts without an answer, which may still arrive, and until when.
	loose map[worker.Run]boottime.Instant
	// looseAck is until when an acknowledgement without an answer may still arrive.
	looseAck boottime.Instant

	closedUntil boottime.Instant
	// failedJobs are the jobs that failed since the last success.
	failedJobs map[string]bool
	// beatAt is when the entry last changed, leaves when a draining worker may be gone.
	beatAt, leaves boottime.Instant
}

func newLink(id, address string, born int64) *link {
	return &link{
		id: id, address: address, born: born, runs: make(map[batch.TaskID]*run),
		loose: make(map[worker.Run]boottime.Instant), failedJobs: make(map[string]bool),
	}
}

// linkOf returns the link of a worker that a stored record names.
func (l *leader) linkOf(id, address string, born int64) *link {
	k := l.links[id]
	if k == nil {
		k = newLink(id, address, born)
		l.links[id] = k
	}
	bound := l.term.FormerValid + l.c.cfg.Bounds.MaxLease
	k.adoptUntil = l.tookOver.Add(bound + time.Duration(clockDrift*float64(bound)) + lapseMargin)
	return k
}

// applyWorkers takes changes of the registry.
func (l *leader) applyWorkers(u ledger.Update) {
	seen := make(map[string]bool)
	for _, entry := range u.Entries {
		seen[entry.Key] = true
		l.applyWorker(entry.Record)
	}
	if u.Reset {
		for id, k := range l.links {
			if !seen[id] && k.present {
				l.workerGone(k)
			}
		}
	}
	l.planDue = true
}

func (l *leader) applyWorker(r ledger.Record) {
	k := l.links[r.Key]
	if len(r.Value) == 0 {
		if k != nil && k.present {
			l.workerGone(k)
		}
		return
	}
	info, err := l.c.cfg.DecodeWorker(r)
	if err != nil {
		l.logger.Info().Err(err).Str("worker", r.Key).Msg("worker's entry passed over")
		return
	}
	if k == nil {
		k = newLink(info.ID, info.Address, info.Born)
		l.links[info.ID] = k
	}
	if info.Born < k.born {
		return
	}
	l.noteBirth(k, info.Born)
	if !k.present || k.info.State != info.State {
		l.logger.Info().Str("worker", k.id).Str("rack", info.Rack).Int("state", int(info.State)).
			Int64("born", info.Born).Int("runs", len(k.runs)).Msg("worker's state changed")
	}
	k.beatAt = boottime.Now()
	k.leaves = k.beatAt.Add(info.Leaving)
	k.present, k.info, k.address = true, info, info.Address
	if now := boottime.Now(); k.clockAt == 0 || info.ClockMS > k.clock+now.Sub(k.clockAt).Milliseconds() {
		k.clock, k.clockAt = info.ClockMS, now
	}
	l.leaveDraining(k)
}

// workerGone takes the loss of an entry. Entries of silent workers are kept for several
// heartbeats: one that goes sooner was taken back by a worker that has left.
func (l *leader) workerGone(k *link) {
	age := boottime.Since(k.beatAt)
	left := k.info.State == worker.Draining && age < leftWithin*l.c.cfg.Bounds.Heartbeat
	l.logger.Info().Str("worker", k.id).Int("runs", len(k.runs)).Dur("beat_age", age).Bool("left", left).
		Msg("worker's entry gone")
	k.present = false
	if left {
		for _, r := range k.list() {
			l.resolve(r, endLost, "")
		}
	}
	if len(k.runs) == 0 {
		l.unlink(k)
	}
}

// unlink forgets a worker that is gone and runs nothing.
func (l *leader) unlink(k *link) {
	delete(l.links, k.id)
	l.c.cfg.Workers.Forget(k.address)
}

// noteBirth takes the birth time that a worker reports. A later one means that the worker was
// started again: it runs nothing of what it ran before.
func (l *leader) noteBirth(k *link, born int64) {
	if born == k.born || born == 0 {
		return
	}
	before := k.born
	k.born = born
	if before == 0 {
		return
	}
	l.logger.Info().Str("worker", k.id).Int64("born", born).Int("runs", len(k.runs)).Msg("worker started again")
	k.processed, k.acked = 0, 0
	k.clock, k.clockAt = 0, boottime.Now()
	k.maxDue = l.c.cfg.Bounds.MaxLease.Milliseconds()
	// A late acknowledgement would make the new life forget ends that nobody has seen.
	k.closedUntil = max(k.closedUntil, k.looseAck)
	l.stopLoose(k)
	for _, r := range k.list() {
		switch {
		case r.unanswered > 0 && r.state != adopting:
			l.stopRun(r, "worker started again")
		case r.settled != 0:
			// The new life may have taken the start: the next look tells.
			r.settled = boottime.Now()
		}
	}
	k.lookDue = 0
}

// stopLoose keeps starts without an answer from beginning in a new life of the worker, which
// does not know that their runs have ended.
func (l *leader) stopLoose(k *link) {
	now := boottime.Now()
	for r, until := range k.loose {
		if now < until && (k.runs[r.Task] == nil || k.runs[r.Task].number != r.Number) {
			l.stopStray(k, r)
		}
	}
}

// list copies the runs, for loops that change them.
func (k *link) list() []*run {
	runs := make([]*run, 0, len(k.runs))
	for _, r := range k.runs {
		runs = append(runs, r)
	}
	return runs
}

// clockLow is the least that the worker's clock can show now.
func (k *link) clockLow(now boottime.Instant) int64 {
	passed := float64(now.Sub(k.clockAt).Milliseconds()) * (1 - clockDrift)
	return k.clock + int64(passed)
}

// lapsed says whether every lease on the worker has certainly run out.
func (k *link) lapsed(now boottime.Instant) bool {
	if !k.answered && now < k.adoptUntil {
		return false
	}
	return k.maxDue == 0 || (k.clockAt != 0 && k.clockLow(now) > k.maxDue+lapseMargin.Milliseconds())
}

func (k *link) adopting() bool {
	for _, r := range k.runs {
		if r.state == adopting {
			return true
		}
	}
	return false
}

// due returns the due time to send, and remembers it. While the log is failing the longest
// lease is given, so that runs outlive the time without a valid leader.
func (l *leader) due(k *link, now boottime.Instant) int64 {
	lease := min(preferredLease, l.c.cfg.Bounds.MaxLease)
	if !l.term.Fresh() {
		lease = l.c.cfg.Bounds.MaxLease
	}
	due := k.clock + now.Sub(k.clockAt).Milliseconds() + lease.Milliseconds()
	k.maxDue = max(k.maxDue, due)
	return due
}

// open says whether the planner may use a worker.
func (k *link) open(now boottime.Instant) bool {
	return k.present && k.info.State == worker.Ready && k.silentSince == 0 && !k.resample && now >= k.closedUntil
}

// used sums what runs on a worker, and what of it is being stopped.
func (k *link) used() (all, releasing planner.Resources) {
	for _, r := range k.runs {
		need := needOf(r.task.unit.step)
		all = all.Add(need)
		if r.state == stopping {
			releasing = releasing.Add(need)
		}
	}
	return all, releasing
}

// needOf is what a task takes of a worker's capacity.
func needOf(s *batch.Step) planner.Resources {
	need := planner.Resources{CPU: s.CPU, MemoryMB: s.MemoryMB, GPU: s.GPU}
	if s.Filler {
		need.CPU = 0
	}
	return need
}

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
	order := worker.HoldOrder{Token: l.term.Epoch}
	if k.processed > k.acked {
		// Ends are acknowledged once only: a late order must not acknowledge ends of a new life
		// of the worker.
		order.Acknowledged = k.processed
	}
	switch {
	case k.clockAt == 0 || k.adopting():
		// The first look only raises the fence and reads the clock.
	case k.silentSince != 0:
		// A due time that may or may not arrive would keep the runs from ever being given up.
	case len(k.runs) > 0:
		order.DueMS = l.due(k, now)
		order.Wait = lookEvery
		if k.waitsForStop() {
			order.Wait = stopLook
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
		lists, err := l.c.cfg.Workers.Hold(ctx, target, order)
		l.post(func() { l.looked(k, now, order, lists, err) })
	}()
}

// looked takes the outcome of a look that was sent at the given instant.
func (l *leader) looked(k *link, sent boottime.Instant, o worker.HoldOrder, lists worker.Lists, err error) {
	k.looking = false
	if l.links[k.id] != k {
		return
	}
	if err != nil {
		if o.Acknowledged > 0 && errors.Is(err, worker.ErrUnknown) {
			k.looseAck = sent.Add(looseFor)
		}
		l.lookFailed(k, err)
		return
	}
	k.heard = boottime.Now()
	if k.silentSince != 0 {
		l.logger.Info().Str("worker", k.id).Dur("silent", boottime.Since(k.silentSince)).Msg("worker answers again")
		k.silentSince = 0
		l.planDue = true
	}
	if lists.Born != 0 && lists.Born < k.born {
		return
	}
	l.noteBirth(k, lists.Born)
	k.clock, k.clockAt, k.resample = lists.ClockMS, boottime.Now(), false
	if !k.answered {
		// An earlier leader may have given out the longest lease just before.
		k.answered = true
		k.maxDue = max(k.maxDue, k.clock+l.c.cfg.Bounds.MaxLease.Milliseconds())
	}
	k.acked = max(k.acked, o.Acknowledged)
	l.takeEnds(k, lists.Ended)
	l.takeRunning(k, sent, lists)
	l.paceFillers(k)
	l.look(k)
}

func (l *leader) lookFailed(k *link, err error) {
	var refused *worker.RefusedError
	now := boottime.Now()
	k.lookDue = now.Add(lookRetry)
	if len(k.runs) == 0 {
		k.lookDue = now.Add(idleLookRetry)
	}
	if errors.As(err, &refused) {
		switch refused.Reason {
		case worker.RefusedFence:
			l.stepDown("worker has seen a newer leader")
			return
		case worker.RefusedInstance:
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
		if e.Number <= k.processed {
			continue
		}
		k.processed = e.Number
		if r := k.runs[e.Task]; r != nil && r.number == e.Run.Number {
			l.resolve(r, e.Kind, e.Checkpoint)
		}
	}
}

// takeRunning compares the runs in progress with those expected.
func (l *leader) takeRunning(k *link, sent boottime.Instant, lists worker.Lists) {
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
