package controller

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// ticketMargin is the remaining validity that a ticket needs so that the start can be stored
	// and sent before the ticket expires.
	ticketMargin = 400 * time.Millisecond
	// adviceTimeoutMargin is added to the expected duration of a call, which is BaseLatency plus
	// LatencyPerWorker for each worker, to get its timeout.
	adviceTimeoutMargin = time.Second
	// maxWorkersPerCall limits the workers in one call, because the service needs time for each of
	// them. It must not exceed worker.MaxAdviceWorkers.
	maxWorkersPerCall = 60
	// moreAdviceAfter is how long tasks wait although the workers with tickets have room, before other workers
	// are asked about: the planner may keep that room free for other units.
	moreAdviceAfter = time.Second
)

// advice holds the answers of the advice service for a unit.
type advice struct {
	// answers holds the last answer about each worker, by the worker's ID.
	answers map[string]adviceAnswer
	// answeredAt is when the last response arrived.
	answeredAt boottime.Instant
}

// adviceAnswer is the last answer about a worker. Whether a worker may run a step does not change, but holds
// only for one incarnation: the next one may be of another kind.
type adviceAnswer struct {
	// startedAtMS is the start time of the incarnation, in Unix milliseconds.
	startedAtMS int64
	granted     bool
	// ticket is valid until validUntil. It is empty unless granted.
	ticket     string
	validUntil boottime.Instant
}

// answer returns the answer about the current incarnation of a worker, and false if there is none.
func (a *advice) answer(ws *workerState) (adviceAnswer, bool) {
	answer, ok := a.answers[ws.id]
	return answer, ok && answer.startedAtMS == ws.startedAtMS
}

// hasTicket reports whether there is a valid ticket for the current incarnation of a worker.
func (a *advice) hasTicket(ws *workerState, now boottime.Instant) bool {
	answer, ok := a.answer(ws)
	return ok && answer.ticket != "" && now.Add(ticketMargin) <= answer.validUntil
}

// ticket returns the last ticket for a worker. It is empty if the queue uses no advice service.
func (a *advice) ticket(id string) string { return a.answers[id].ticket }

// expireTickets makes all tickets invalid.
func (a *advice) expireTickets() {
	for id, answer := range a.answers {
		answer.validUntil = 0
		a.answers[id] = answer
	}
}

// workersWithTickets returns the IDs of the workers for which a unit has valid tickets, and whether there are any.
func (l *leader) workersWithTickets(u *unit, now boottime.Instant) (map[string]bool, bool) {
	ids := make(map[string]bool)
	for id := range u.advice.answers {
		if ws := l.workers[id]; ws != nil && u.advice.hasTicket(ws, now) {
			ids[id] = true
		}
	}
	return ids, len(ids) > 0
}

func (l *leader) queueOf(j *job) *opconfig.Queue {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return nil
	}
	return config.Queue(j.spec.Queue)
}

// requestAdvice calls the advice service for the unit of the highest priority that needs it. The
// service handles one call at a time.
func (l *leader) requestAdvice() {
	if l.adviceInFlight || l.c.cfg.Advisor == nil || !l.term.Valid() {
		return
	}
	now := boottime.Now()
	var next *unit
	var queue *opconfig.Queue
	for _, j := range l.jobs {
		q := l.queueOf(j)
		if !j.active() || q == nil || q.Advice == nil {
			continue
		}
		for _, u := range j.units {
			if u.waiting() == 0 || !l.needsAdvice(u, now) {
				continue
			}
			if next == nil || higherPriority(u, next) {
				next, queue = u, q
			}
		}
	}
	if next != nil {
		l.callAdvisor(next, queue, l.adviceCandidates(next, now))
	}
}

// higherPriority reports whether advice is requested for a before b: by priority, then in the order
// in which the jobs were accepted.
func higherPriority(a, b *unit) bool {
	return cmp.Or(
		cmp.Compare(a.job.spec.Rules.Priority, b.job.spec.Rules.Priority),
		cmp.Compare(a.job.order, b.job.order),
		cmp.Compare(a.id, b.id),
	) < 0
}

// callAdvisor asks about the given workers for a unit. It does nothing if there are none.
func (l *leader) callAdvisor(u *unit, q *opconfig.Queue, workers []*workerState) {
	if len(workers) == 0 {
		return
	}
	l.adviceInFlight = true
	step := u.tasks[0].id.StepName()
	ids := make([]string, len(workers))
	asked := make(map[string]adviceAnswer, len(workers))
	for i, ws := range workers {
		ids[i] = ws.id
		asked[ws.id] = adviceAnswer{startedAtMS: ws.startedAtMS}
	}
	limit := q.Advice.BaseLatency + time.Duration(len(ids))*q.Advice.LatencyPerWorker + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		sentAt := boottime.Now()
		grants, valid, err := l.c.cfg.Advisor.Advise(ctx, step, ids)
		l.post(func() {
			l.adviceInFlight = false
			if err != nil {
				l.logger.Warn().Err(err).Str("step", step).Int("workers", len(ids)).Msg("call to advice service failed")
				return
			}
			l.applyAdvice(u, asked, grants, sentAt.Add(valid))
			l.requestAdvice()
		})
	}()
}

// applyAdvice applies a response. asked holds an answer without a grant for each worker that was asked about.
func (l *leader) applyAdvice(u *unit, asked map[string]adviceAnswer, grants []worker.Grant, until boottime.Instant) {
	for _, g := range grants {
		if answer, ok := asked[g.Worker]; ok {
			answer.granted, answer.ticket, answer.validUntil = true, g.Ticket, until
			asked[g.Worker] = answer
		}
	}
	if u.advice.answers == nil {
		u.advice.answers = make(map[string]adviceAnswer)
	}
	maps.Copy(u.advice.answers, asked)
	maps.DeleteFunc(u.advice.answers, func(id string, _ adviceAnswer) bool { return l.workers[id] == nil })
	u.advice.answeredAt = boottime.Now()
	l.planDue = true
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("asked", len(asked)).Int("good", len(grants)).Msg("advice received")
}

// needsAdvice reports whether the workers with valid tickets lack the room for the waiting tasks of a unit, or the
// tasks have waited for moreAdviceAfter since the last answer.
func (l *leader) needsAdvice(u *unit, now boottime.Instant) bool {
	return now.Sub(u.advice.answeredAt) >= moreAdviceAfter || l.roomWithTickets(u, now) < u.waiting()
}

// roomWithTickets returns how many of the waiting tasks of a unit fit on the workers with valid tickets.
func (l *leader) roomWithTickets(u *unit, now boottime.Instant) int {
	room := 0
	for id := range u.advice.answers {
		if ws := l.workers[id]; ws != nil && u.advice.hasTicket(ws, now) && l.suits(ws, u, now) {
			room += u.countFitting(ws, now)
		}
	}
	return room
}

// suits reports whether a worker accepts work and can run tasks of a unit, as far as the leader knows without advice.
func (l *leader) suits(ws *workerState, u *unit, now boottime.Instant) bool {
	return ws.acceptsWork(now) && !l.maintenance.isPreparing(ws.id) && ws.info.Service == u.job.spec.Rules.Service &&
		(u.step.Label == "" || ws.info.HasLabel(u.step.Label)) && needOf(u.step).CountFitting(ws.capacity(), 1) == 1
}

// countFitting returns how many of the waiting tasks of a unit fit on a worker beside its runs. It returns 0 for a slow
// worker, which the planner uses only if there is no other.
func (u *unit) countFitting(ws *workerState, now boottime.Instant) int {
	if now < ws.slowUntil {
		return 0
	}
	limit := u.waiting()
	if u.step.MaxPerWorker > 0 {
		present := 0
		for _, t := range u.tasks {
			if t.run != nil && t.run.worker == ws {
				present++
			}
		}
		limit = min(limit, max(0, u.step.MaxPerWorker-present))
	}
	return needOf(u.step).CountFitting(ws.free(), limit)
}

// adviceCandidates returns the workers to ask about for a unit, at most maxWorkersPerCall, those with the most free
// accelerators first. These are the workers that were granted and have no valid ticket any more, and workers
// without an answer: all of them while fewer workers that suit the unit were granted than tasks wait, and later
// those that have room.
func (l *leader) adviceCandidates(u *unit, now boottime.Instant) []*workerState {
	var candidates, unasked []*workerState
	granted := 0
	for _, ws := range l.workers {
		if !l.suits(ws, u, now) {
			continue
		}
		answer, known := u.advice.answer(ws)
		switch {
		case !known:
			unasked = append(unasked, ws)
		case answer.granted:
			granted++
			if !u.advice.hasTicket(ws, now) {
				candidates = append(candidates, ws)
			}
		}
	}
	for _, ws := range unasked {
		if granted < u.waiting() || u.countFitting(ws, now) > 0 {
			candidates = append(candidates, ws)
		}
	}
	freeGPU := make(map[*workerState]int64, len(candidates))
	for _, ws := range candidates {
		freeGPU[ws] = ws.free().GPU
	}
	slices.SortFunc(candidates, func(a, b *workerState) int {
		return cmp.Or(cmp.Compare(freeGPU[b], freeGPU[a]), cmp.Compare(a.id, b.id))
	})
	return candidates[:min(len(candidates), maxWorkersPerCall)]
}
