package controller

import (
	"cmp"
	"slices"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

// adviceRequest is a call to the advice service for a unit.
type adviceRequest struct {
	unit  *unit
	rules *batch.AdviceRules
	// workers are the workers to ask about.
	workers []*workerState
	// mayStart means that tasks of the unit could start now if all of these workers were granted: one task or, of a gang,
	// all fit, or other runs are preempted for them.
	mayStart bool
}

// nextAdviceRequest returns the call to send next, or nil if none would help. Units that could start at once go first.
// Among them, calls alternate between the unit of the highest priority and the one whose last call is the longest ago:
// units that need calls again and again must leave time for others.
func (l *leader) nextAdviceRequest(now boottime.Instant) *adviceRequest {
	requests := l.advisedUnits(now)
	if len(requests) == 0 {
		return nil
	}
	sortAdviceRequests(requests, l.adviceByAge)
	workers := l.workersForAdvice(now)
	var next *adviceRequest
	for _, request := range requests {
		request.chooseWorkers(workers, now)
		request.unit.advice.exhausted = len(request.workers) == 0
		switch {
		case request.mayStart:
			return request
		case next == nil && len(request.workers) > 0:
			next = request
		}
	}
	return next
}

// adviceLimit limits the waiting units of one job among which the next call is chosen, and about their tasks. Each is compared
// with all workers.
var adviceLimit = roundBudget{units: 48, tasks: 8192}

// advisedUnits returns requests without workers for the waiting units of queues with an advice service, of jobs with many
// units for some of them by turns.
func (l *leader) advisedUnits(now boottime.Instant) []*adviceRequest {
	var requests []*adviceRequest
	for _, j := range l.activeJobs() {
		rules := l.adviceRules(j)
		if rules == nil {
			continue
		}
		var units []*unit
		units, j.nextAdvised = j.roundUnits(j.nextAdvised, adviceLimit)
		for _, u := range units {
			if now >= u.advice.retryAt && l.due(j, u.occurrence) {
				requests = append(requests, &adviceRequest{unit: u, rules: rules})
			}
		}
	}
	return requests
}

// sortAdviceRequests sorts requests by the priority of their units and the order in which the jobs were accepted or, if
// byAge is set, by the time of the last call.
func sortAdviceRequests(requests []*adviceRequest, byAge bool) {
	slices.SortFunc(requests, func(x, y *adviceRequest) int {
		a, b := x.unit, y.unit
		if byAge && a.advice.calledAt != b.advice.calledAt {
			return cmp.Compare(a.advice.calledAt, b.advice.calledAt)
		}
		return cmp.Or(
			cmp.Compare(a.job.spec.Rules.Priority, b.job.spec.Rules.Priority),
			cmp.Compare(a.job.order, b.job.order),
			cmp.Compare(a.id, b.id),
		)
	})
}

// availableWorker is a worker that accepts work, with the resources that no run uses.
type availableWorker struct {
	*workerState
	free planner.Resources
}

// workersForAdvice returns the workers that accept work and are not in an evacuated zone, those with the most free accelerators first.
func (l *leader) workersForAdvice(now boottime.Instant) []availableWorker {
	var workers []availableWorker
	for _, ws := range l.workers {
		if ws.acceptsWork(now) && !l.evacuated(ws) && !l.maintenance.isPreparing(ws.id) {
			workers = append(workers, availableWorker{ws, ws.free()})
		}
	}
	slices.SortFunc(workers, func(a, b availableWorker) int {
		return cmp.Or(cmp.Compare(b.free.GPU, a.free.GPU), cmp.Compare(a.id, b.id))
	})
	return workers
}

// chooseWorkers sets the workers to ask about, at most maxWorkersPerCall, in the given order; none if a call would not
// help. These are workers that were granted and have no valid ticket any more, and workers without an answer: all of the
// latter while fewer workers were granted than tasks wait, and else those that have room.
func (r *adviceRequest) chooseWorkers(workers []availableWorker, now boottime.Instant) {
	u := r.unit
	waiting := u.waiting()
	granted, room := 0, 0
	var candidates []availableWorker
	for _, w := range workers {
		if !u.mayUse(w) {
			continue
		}
		answer, known := u.advice.answer(w.workerState)
		if answer.granted && known {
			granted++
		}
		if u.advice.hasTicket(w.workerState, now) {
			room += u.countFitting(w, waiting, now)
		} else if answer.granted || !known {
			candidates = append(candidates, w)
		}
	}
	if room >= waiting && now.Sub(u.advice.answeredAt) < moreAdviceAfter {
		return
	}
	added := 0
	for _, w := range candidates {
		fitting := u.countFitting(w, waiting, now)
		if _, known := u.advice.answer(w.workerState); known || fitting > 0 || granted < waiting {
			r.workers = append(r.workers, w.workerState)
			added += fitting
		}
	}
	r.workers = r.workers[:min(len(r.workers), maxWorkersPerCall)]
	fits := added > 0 && (!u.gang() || room+added >= waiting)
	r.mayStart = len(r.workers) > 0 && (fits || u.job.spec.Rules.Priority == 0)
}

// mayUse reports whether tasks of a unit can run on a worker, as far as is known without advice.
func (u *unit) mayUse(w availableWorker) bool {
	return w.info.Service == u.job.spec.Rules.Service && (u.step.Label == "" || w.info.HasLabel(u.step.Label)) &&
		needOf(u.step).CountFitting(w.capacity(), 1) == 1
}

// countFitting returns how many of the waiting tasks of a unit fit on a worker beside its runs. It returns 0 for a slow
// worker, which the planner uses only if there is no other.
func (u *unit) countFitting(w availableWorker, waiting int, now boottime.Instant) int {
	if now < w.slowUntil {
		return 0
	}
	limit := waiting
	if u.step.MaxPerWorker > 0 {
		limit = min(limit, u.step.MaxPerWorker-u.runsOn(w.workerState))
	}
	return needOf(u.step).CountFitting(w.free, max(0, limit))
}

// runsOn returns how many tasks of the unit have a run on a worker.
func (u *unit) runsOn(ws *workerState) int {
	n := 0
	for _, t := range u.tasks {
		if t.run != nil && t.run.worker == ws {
			n++
		}
	}
	return n
}
