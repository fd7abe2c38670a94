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
	adviceMargin = 400 * time.Millisecond
	// adviceSlack is added to the time that the advice service says it takes.
	adviceSlack = time.Second
	// advisedAtOnce bounds the workers of one question: the service takes time for each.
	advisedAtOnce = 60
)

// advice is what the advice service has said about a unit.
type advice struct {
	tickets map[string]string
	until   boottime.Instant
	// good remembers the permitted workers beyond the validity of their tickets.
	good map[string]bool
	// asked are the workers that the service was asked about.
	asked map[string]bool
}

// workers returns the workers whose tickets hold; false if there are none.
func (a *advice) workers(now boottime.Instant) (map[string]bool, bool) {
	if a == nil || now.Add(adviceMargin) > a.until || len(a.tickets) == 0 {
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
	if l.advising || l.c.cfg.Advisor == nil || !l.term.Valid() {
		return
	}
	now := boottime.Now()
	var next *unit
	var queue *opconfig.Queue
	for _, j := range l.byID {
		q := l.queueOf(j)
		if !j.live() || q == nil || q.Advice == nil {
			continue
		}
		for _, u := range j.units {
			if u.waiting() == 0 {
				continue
			}
			if _, ok := u.advice.workers(now); ok && !u.advice.short(u) {
				continue
			}
			if next == nil || before(u, next) {
				next, queue = u, q
			}
		}
	}
	if next != nil {
		l.ask(next, queue)
	}
}

// short says whether too few workers are permitted for the unit.
func (a *advice) short(u *unit) bool { return len(a.good) < u.waiting() }

func before(a, b *unit) bool {
	return cmp.Or(
		cmp.Compare(a.job.spec.Rules.Priority, b.job.spec.Rules.Priority),
		cmp.Compare(a.job.spec.AcceptedMS, b.job.spec.AcceptedMS),
		cmp.Compare(a.id, b.id),
	) < 0
}

func (l *leader) ask(u *unit, q *opconfig.Queue) {
	ids := l.adviceCandidates(u)
	if len(ids) == 0 {
		return
	}
	l.advising = true
	step := u.tasks[0].id.StepName()
	limit := q.Advice.BaseLatency + time.Duration(len(ids))*q.Advice.LatencyPerWorker + adviceSlack
	go func() {
		ctx, cancel := context.WithTimeout(l.ctx, limit)
		defer cancel()
		asked := boottime.Now()
		grants, valid, err := l.c.cfg.Advisor.Advise(ctx, step, ids)
		l.post(func() {
			l.advising = false
			if err != nil {
				l.logger.Warn().Err(err).Str("step", step).Int("workers", len(ids)).Msg("no advice")
				return
			}
			l.advised(u, ids, grants, asked.Add(valid))
			l.requestAdvice()
		})
	}()
}

// adviceCandidates names workers to ask about: those known as permitted if there are enough of
// them, otherwise further ones, the freest first.
func (l *leader) adviceCandidates(u *unit) []string {
	now := boottime.Now()
	var open []*link
	for _, k := range l.links {
		if k.open(now) && k.info.Service == u.job.spec.Rules.Service && (u.step.Label == "" || k.info.HasLabel(u.step.Label)) {
			open = append(open, k)
		}
	}
	slices.SortFunc(open, func(a, b *link) int {
		usedA, _ := a.used()
		usedB, _ := b.used()
		return cmp.Or(cmp.Compare(b.info.GPU-usedB.GPU, a.info.GPU-usedA.GPU), cmp.Compare(a.id, b.id))
	})
	known := u.advice != nil
	var ids []string
	for _, k := range open {
		if known && !u.advice.good[k.id] && (u.advice.asked[k.id] || !u.advice.short(u)) {
			continue
		}
		ids = append(ids, k.id)
		if len(ids) == min(advisedAtOnce, worker.MaxAdviceWorkers) {
			break
		}
	}
	return ids
}

func (l *leader) advised(u *unit, asked []string, grants []worker.Grant, until boottime.Instant) {
	if u.advice == nil {
		u.advice = &advice{good: make(map[string]bool), asked: make(map[string]bool)}
	}
	u.advice.tickets = make(map[string]string, len(grants))
	for _, id := range asked {
		u.advice.asked[id] = true
	}
	for _, g := range grants {
		u.advice.tickets[g.Worker] = g.Ticket
		u.advice.good[g.Worker] = true
	}
	u.advice.until = until
	l.planDue = true
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("asked", len(asked)).Int("good", len(grants)).Msg("advice received")
}
