package controller

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// adviceMargin is kept from the validity of tickets for storing and sending a start.
	ticketMargin = 400 * time.Millisecond
	// adviceSlack is added to the time that the advice service says it takes.
	adviceTimeoutMargin = time.Second
	// advisedAtOnce bounds the workers of one question: the service takes time for each.
	maxWorkersPerCall = 60
)

// advice is what the advice service has said about a unit.
type advice struct {
	tickets    map[string]string
	validUntil boottime.Instant
	// good remembers the permitted workers beyond the validity of their tickets.
	permitted map[string]bool
	// asked are the workers that the service was asked about.
	asked map[string]bool
}

// workers returns the workers whose tickets hold; false if there are none.
func (a *advice) permittedWorkers(now boottime.Instant) (map[string]bool, bool) {
	if a == nil || now.Add(ticketMargin) > a.validUntil || len(a.tickets) == 0 {
		return nil, false
	}
	allowed := make(map[string]bool, len(a.tickets))
	for id := range a.tickets {
		allowed[id] = true
	}
	return allowed, true
}

// ticket returns the ticket for a worker; empty on queues without advice.
func (a *advice) ticket(id string) string {
	if a == nil {
		return ""
	}
	return a.tickets[id]
}

func (l *leader) queueOf(j *job) *opconfig.Queue {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return nil
	}
	return config.Queue(j.spec.Queue)
}

// requestAdvice asks about the most urgent unit that waits for it. The service serves one
// call at a time.
func (l *leader) requestAdvice() {
	if l.adviceInFlight || l.c.cfg.Advisor == nil || !l.term.Valid() {
		return
	}
	now := boottime.Now()
	var next *unit
	var queue *opconfig.Queue
	for _, j := range l.jobs {
		q := l.queueOf(j)
		if !j.live() || q == nil || q.Advice == nil {
			continue
		}
		for _, u := range j.units {
			if u.waiting() == 0 {
				continue
			}
			if _, ok := u.advice.permittedWorkers(now); ok && !u.advice.insufficient(u) {
				continue
			}
			if next == nil || moreUrgent(u, next) {
				next, queue = u, q
			}
		}
	}
	if next != nil {
		l.callAdvisor(next, queue)
	}
}

// short says whether too few workers are permitted for the unit.
func (a *advice) insufficient(u *unit) bool { return len(a.permitted) < u.waiting() }

func moreUrgent(a, b *unit) bool {
	return cmp.Or(
		cmp.Compare(a.job.spec.Rules.Priority, b.job.spec.Rules.Priority),
		cmp.Compare(a.job.spec.AcceptedMS, b.job.spec.AcceptedMS),
		cmp.Compare(a.id, b.id),
	) < 0
}

func (l *leader) callAdvisor(u *unit, q *opconfig.Queue) {
	ids := l.adviceCandidates(u)
	if len(ids) == 0 {
		return
	}
	l.adviceInFlight = true
	step := u.tasks[0].id.StepName()
	limit := q.Advice.BaseLatency + time.Duration(len(ids))*q.Advice.LatencyPerWorker + adviceTimeoutMargin
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		asked := boottime.Now()
		grants, valid, err := l.c.cfg.Advisor.Advise(ctx, step, ids)
		l.post(func() {
			l.adviceInFlight = false
			if err != nil {
				l.logger.Warn().Err(err).Str("step", step).Int("workers", len(ids)).Msg("no advice")
				return
			}
			l.applyAdvice(u, ids, grants, asked.Add(valid))
			l.requestAdvice()
		})
	}()
}

// adviceCandidates names workers to ask about: those known as permitted if there are enough of
// them, otherwise further ones, the freest first.
func (l *leader) adviceCandidates(u *unit) []string {
	now := boottime.Now()
	var open []*workerState
	for _, ws := range l.workers {
		if ws.acceptsWork(now) && ws.info.Service == u.job.spec.Rules.Service && (u.step.Label == "" || ws.info.HasLabel(u.step.Label)) {
			open = append(open, ws)
		}
	}
	slices.SortFunc(open, func(a, b *workerState) int {
		usedA, _ := a.usedResources()
		usedB, _ := b.usedResources()
		return cmp.Or(cmp.Compare(b.info.GPU-usedB.GPU, a.info.GPU-usedA.GPU), cmp.Compare(a.id, b.id))
	})
	known := u.advice != nil
	var ids []string
	for _, ws := range open {
		if known && !u.advice.permitted[ws.id] && (u.advice.asked[ws.id] || !u.advice.insufficient(u)) {
			continue
		}
		ids = append(ids, ws.id)
		if len(ids) == min(maxWorkersPerCall, worker.MaxAdviceWorkers) {
			break
		}
	}
	return ids
}

func (l *leader) applyAdvice(u *unit, asked []string, grants []worker.Grant, until boottime.Instant) {
	if u.advice == nil {
		u.advice = &advice{permitted: make(map[string]bool), asked: make(map[string]bool)}
	}
	u.advice.tickets = make(map[string]string, len(grants))
	for _, id := range asked {
		u.advice.asked[id] = true
	}
	for _, g := range grants {
		u.advice.tickets[g.Worker] = g.Ticket
		u.advice.permitted[g.Worker] = true
	}
	u.advice.validUntil = until
	l.planDue = true
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("asked", len(asked)).Int("good", len(grants)).Msg("advice received")
}
