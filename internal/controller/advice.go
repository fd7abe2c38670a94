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
	// ticketMargin is the remaining validity that a ticket needs so that the start can be stored
	// and sent before the ticket expires.
	ticketMargin = 400 * time.Millisecond
	// adviceTimeoutMargin is added to the expected duration of a call, which is BaseLatency plus
	// LatencyPerWorker for each worker, to get its timeout.
	adviceTimeoutMargin = time.Second
	// maxWorkersPerCall limits the workers in one call, because the service needs time for each of
	// them. It is below worker.MaxAdviceWorkers.
	maxWorkersPerCall = 60
)

// advice holds the responses of the advice service for a unit.
type advice struct {
	tickets    map[string]string
	validUntil boottime.Instant
	// everGranted holds the workers that were ever granted a ticket.
	everGranted map[string]bool
	// askedWorkers holds the workers named in calls so far.
	askedWorkers map[string]bool
}

// workersWithTickets returns the workers with valid tickets, and whether there are any.
func (a *advice) workersWithTickets(now boottime.Instant) (map[string]bool, bool) {
	if a == nil || now.Add(ticketMargin) > a.validUntil || len(a.tickets) == 0 {
		return nil, false
	}
	workers := make(map[string]bool, len(a.tickets))
	for id := range a.tickets {
		workers[id] = true
	}
	return workers, true
}

// ticket returns the ticket for a worker. It is empty if the queue uses no advice service.
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
			if u.waiting() == 0 {
				continue
			}
			if _, ok := u.advice.workersWithTickets(now); ok && !u.advice.insufficient(u) {
				continue
			}
			if next == nil || higherPriority(u, next) {
				next, queue = u, q
			}
		}
	}
	if next != nil {
		l.callAdvisor(next, queue)
	}
}

// insufficient reports whether fewer workers were ever granted a ticket than tasks are waiting.
func (a *advice) insufficient(u *unit) bool { return len(a.everGranted) < u.waiting() }

// higherPriority reports whether advice is requested for a before b: by priority, then in the order
// in which the jobs were accepted.
func higherPriority(a, b *unit) bool {
	return cmp.Or(
		cmp.Compare(a.job.spec.Rules.Priority, b.job.spec.Rules.Priority),
		cmp.Compare(a.job.order, b.job.order),
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
		sentAt := boottime.Now()
		grants, valid, err := l.c.cfg.Advisor.Advise(ctx, step, ids)
		l.post(func() {
			l.adviceInFlight = false
			if err != nil {
				l.logger.Warn().Err(err).Str("step", step).Int("workers", len(ids)).Msg("call to advice service failed")
				return
			}
			l.applyAdvice(u, ids, grants, sentAt.Add(valid))
			l.requestAdvice()
		})
	}()
}

// adviceCandidates returns the workers to ask about, those with the most free accelerators first:
// only those that were ever granted a ticket if there are enough of them, otherwise also workers
// that were not asked about before.
func (l *leader) adviceCandidates(u *unit) []string {
	now := boottime.Now()
	var candidates []*workerState
	for _, ws := range l.workers {
		if ws.acceptsWork(now) && ws.info.Service == u.job.spec.Rules.Service && (u.step.Label == "" || ws.info.HasLabel(u.step.Label)) {
			candidates = append(candidates, ws)
		}
	}
	slices.SortFunc(candidates, func(a, b *workerState) int {
		usedA, _ := a.usedResources()
		usedB, _ := b.usedResources()
		return cmp.Or(cmp.Compare(b.info.GPU-usedB.GPU, a.info.GPU-usedA.GPU), cmp.Compare(a.id, b.id))
	})
	advised := u.advice != nil
	var ids []string
	for _, ws := range candidates {
		if advised && !u.advice.everGranted[ws.id] && (u.advice.askedWorkers[ws.id] || !u.advice.insufficient(u)) {
			continue
		}
		ids = append(ids, ws.id)
		if len(ids) == min(maxWorkersPerCall, worker.MaxAdviceWorkers) {
			break
		}
	}
	return ids
}

func (l *leader) applyAdvice(u *unit, ids []string, grants []worker.Grant, until boottime.Instant) {
	if u.advice == nil {
		u.advice = &advice{everGranted: make(map[string]bool), askedWorkers: make(map[string]bool)}
	}
	u.advice.tickets = make(map[string]string, len(grants))
	for _, id := range ids {
		u.advice.askedWorkers[id] = true
	}
	for _, g := range grants {
		u.advice.tickets[g.Worker] = g.Ticket
		u.advice.everGranted[g.Worker] = true
	}
	u.advice.validUntil = until
	l.planDue = true
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("asked", len(ids)).Int("good", len(grants)).Msg("advice received")
}
