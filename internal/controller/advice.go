package controller

import (
	"context"
	"maps"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// ticketMargin is the remaining validity that a ticket needs so that the start can be stored
	// and sent before the ticket expires.
	ticketMargin = 400 * time.Millisecond
	// adviceTimeoutMargin is added to the expected duration of a call to get its timeout.
	adviceTimeoutMargin = time.Second
	// maxWorkersPerCall limits the workers in one call, because the service needs time for each of
	// them.
	maxWorkersPerCall = min(60, worker.MaxAdviceWorkers)
	// moreAdviceAfter is how long tasks wait although the workers with tickets have room, before other workers
	// are asked about: the planner may keep that room free for other units.
	moreAdviceAfter = time.Second
	// adviceRetryInterval is the pause after a failed call before the next one for the same unit.
	adviceRetryInterval = 250 * time.Millisecond
)

// advice holds the answers of the advice service for a unit.
type advice struct {
	// answers holds the last answer about each worker, by the worker's ID.
	answers map[string]adviceAnswer
	// calledAt is when the last call was sent, answeredAt when the last response arrived. retryAt is the
	// earliest time of the next call after one that failed.
	calledAt, answeredAt, retryAt boottime.Instant
	// exhausted means that at the last look there was no worker left to ask about.
	exhausted bool
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

// adviceRules returns the rules for advice of a job's queue, or nil if the queue has no advice service. Once the queue
// is gone, its last known rules still hold for its jobs: workers go on asking for tickets.
func (l *leader) adviceRules(j *job) *batch.AdviceRules {
	if config := l.c.cfg.OperatorConfig(); config != nil {
		if q := config.Queue(j.spec.Queue); q != nil {
			j.spec.Rules.Advice = intake.QueueRulesOf(q).Advice
		}
	}
	return j.spec.Rules.Advice
}

// requestAdvice calls the advice service for a unit that needs it. The service handles one call at a time.
func (l *leader) requestAdvice() {
	if l.adviceInFlight || l.c.cfg.Advisor == nil || !l.term.Valid() {
		return
	}
	if next := l.nextAdviceRequest(boottime.Now()); next != nil {
		l.adviceByAge = !l.adviceByAge
		l.callAdvisor(next)
	}
}

func (l *leader) callAdvisor(request *adviceRequest) {
	l.adviceInFlight = true
	u := request.unit
	u.advice.calledAt = boottime.Now()
	step := u.tasks[0].id.StepName()
	ids := make([]string, len(request.workers))
	asked := make(map[string]adviceAnswer, len(request.workers))
	for i, ws := range request.workers {
		ids[i] = ws.id
		asked[ws.id] = adviceAnswer{startedAtMS: ws.startedAtMS}
	}
	limit := request.rules.Latency(len(ids)) + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		sentAt := boottime.Now()
		grants, valid, err := l.c.cfg.Advisor.Advise(ctx, step, ids)
		l.post(func() {
			l.adviceInFlight = false
			if err != nil {
				// The next tick sends a call for another unit.
				u.advice.retryAt = boottime.Now().Add(adviceRetryInterval)
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
