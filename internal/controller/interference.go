package controller

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/forecast"
	"github.com/oleanderbend/oleanderbend/internal/interference"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/progress"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// conflictInterval is the time between two evaluations of the tables of interference. A table evaluates each kind of work
	// once a second, so each evaluation takes a tenth of that work.
	conflictInterval = 100 * time.Millisecond
	// usageWindow is the time that RunStatus.Usage covers. A figure that covers a change of the worker's runs says
	// nothing about the kinds that run there now.
	usageWindow = 500 * time.Millisecond
	// maxObservationDelay is how long after its wait a poll may be answered so that its figures still belong to the runs
	// that the leader knows of. Network and queues usually take some milliseconds.
	maxObservationDelay = 300 * time.Millisecond
	// minSteadyShare is the share of the time of a run that it must have spent beside the present kinds so that its pace, an average
	// over its whole time, counts as observed beside them.
	minSteadyShare = 0.5
	// maxCompletedShare is the number of runs of a step that may have completed since a run began, relative to the number of
	// compared ones. More of them would move the median of the others.
	maxCompletedShare = 0.5
	// longHalt is how long the fillers of a worker must be halted so that the halt itself indicates a conflict. A filler whose
	// halt was due to a short peak is sped up again earlier.
	longHalt = 5 * time.Second
	// haltResponseTime is the time after a halt, two polls, in which the level must drop. A later drop has another cause.
	haltResponseTime = 2 * time.Second
	// minObservedSpeed is the speed in percent of fillers from which levels count as measured beside them.
	minObservedSpeed = 50
	// haltGain is the factor by which the level of a serving run must have dropped since its fillers were halted so that they
	// count as the cause. Reported latencies are rough.
	haltGain = 1.3
	// harmfulTime is how long the latency of a serving task may be above its target before callers are harmed, and overTargetLogInterval
	// the time between two log lines about one that stays above it.
	harmfulTime           = 4500 * time.Millisecond
	overTargetLogInterval = 30 * time.Second
	// maxConflictLines limits the log lines of one evaluation. Each service may have more conflicts than anybody reads.
	maxConflictLines = 16
	// unusedTableTime is the time without observations after which the table of a service is dropped. All of its observations are
	// outdated by then.
	unusedTableTime = 3 * time.Minute
)

// serviceInterference is what the leader knows of the interference between kinds of work in one service.
type serviceInterference struct {
	table *interference.Table
	// conflicts are those in force, with what they rested on at the last evaluation.
	conflicts map[interference.Pair]interference.Evidence
	// names holds the names for the planner of the kinds that have a conflict. A kind may have a conflict in one service only, so the
	// names contain the service.
	names      map[string]string
	observedAt boottime.Instant
}

// interferenceState is the leader's knowledge of interference. It is not stored: interference changes within seconds, and a new
// leader learns it as fast.
type interferenceState struct {
	services map[string]*serviceInterference
	// conflicts are those of all services for the planner. The map is replaced, never changed, because explanations read it on
	// other goroutines.
	conflicts   planner.Conflicts
	evaluatedAt boottime.Instant
	// runs and kinds are reused for each poll.
	runs  []interference.Run
	kinds []string
}

// conflictMetrics are the metrics of conflicts between kinds of work.
type conflictMetrics struct {
	inForce    *metrics.Gauge
	placements *metrics.Counter
}

func newConflictMetrics(set *metrics.Set) conflictMetrics {
	return conflictMetrics{
		inForce:    set.GetOrCreateGauge(`oleanderbend_conflicts_in_force`, nil),
		placements: set.GetOrCreateCounter(`oleanderbend_placements_beside_conflict_total`),
	}
}

// kind returns the kind of work of the unit: its image. Work without one is of no known kind, so nothing is learned of it: the steps
// of a queue need not be alike, and a queue once seemed to slow itself down by chance.
func (u *unit) kind() string { return u.step.Image }

// disturbs reports whether the run works, so that it may slow others down. A halted filler and a member of a gang that waits for
// the others do not.
func (r *run) disturbs() bool {
	u := r.task.unit
	switch {
	case r.state != running && r.state != stopping:
		return false
	case u.step.Filler:
		return r.haltedSince == 0
	default:
		return !u.gang() || r.clocked.Begun() || r.progress.Percent() > 0
	}
}

// fillerState describes the fillers on a worker.
type fillerState struct {
	// limited means that a filler is slowed down but not halted, or that its speed is unknown.
	limited bool
	// slow means that a filler that is not halted runs below minObservedSpeed, or that its speed is unknown.
	slow bool
	// haltedSince is when the last filler was halted if all are halted, otherwise 0.
	haltedSince boottime.Instant
}

// observeFillers returns the state of the fillers on a worker, and adds the kind of each run that disturbs others to kinds. It drops
// the levels before a halt if other work has come or gone, because they were not measured beside what is there now.
func (ws *workerState) observeFillers(kinds []string) (fillerState, []string) {
	var s fillerState
	present := make([]string, 0, len(ws.runs))
	working := false
	for _, r := range ws.runs {
		disturbs := r.disturbs()
		if disturbs {
			kinds = append(kinds, r.task.unit.kind())
		}
		if disturbs || (r.haltedSince != 0 && r.state == running) {
			present = append(present, r.task.unit.kind())
		}
		if !r.task.unit.step.Filler {
			continue
		}
		working = working || disturbs
		s.limited = s.limited || (disturbs && r.speed != fullSpeed)
		s.slow = s.slow || (disturbs && r.speed < minObservedSpeed)
		s.haltedSince = max(s.haltedSince, r.haltedSince)
	}
	if working {
		s.haltedSince = 0
	}
	slices.Sort(present)
	if !slices.Equal(present, ws.presentKinds) {
		ws.presentKinds = present
		for _, r := range ws.runs {
			r.levelBesideFillers = 0
		}
	}
	return s, kinds
}

// updateWorkingKinds records since when the given kinds, and no others, work on the worker. It sorts them. Like the table, it tells apart
// one run and several runs of a kind.
func (ws *workerState) updateWorkingKinds(kinds []string, now boottime.Instant) {
	slices.Sort(kinds)
	kept := 0
	for _, kind := range kinds {
		if kept < 2 || kind != kinds[kept-2] {
			kinds[kept] = kind
			kept++
		}
	}
	kinds = kinds[:kept]
	if !slices.Equal(kinds, ws.workingKinds) {
		ws.workingKinds = append(ws.workingKinds[:0], kinds...)
		ws.workingSince = now
	}
}

// showsPresent reports whether the response to a poll that was sent the given time ago shows all runs that work on the worker now. It must
// have been applied.
func (ws *workerState) showsPresent(age time.Duration, command *worker.PollCommand, response *worker.PollResponse) bool {
	return age <= command.Wait+maxObservationDelay && !response.EndsTruncated && !ws.needsPoll
}

// observeInterference passes what a poll shows of a worker to the table of its service. The status of all of its runs must have been
// applied. Complete is the result of showsPresent. The service of a worker without a registry entry is not known.
func (l *leader) observeInterference(ws *workerState, now boottime.Instant, complete bool) {
	fillers, kinds := ws.observeFillers(l.interference.kinds[:0])
	l.interference.kinds = kinds
	ws.updateWorkingKinds(kinds, now)
	l.logSlowServing(ws, fillers, now)
	if !complete || !ws.registered || now < ws.slowUntil || now < ws.coldUntil {
		return
	}
	runs, halted := ws.observedRuns(l.interference.runs[:0], fillers, now)
	if halted {
		runs = ws.observeHalt(runs, now)
	}
	l.interference.runs = runs
	if !slices.ContainsFunc(runs, func(o interference.Run) bool { return o.Level > 0 }) {
		return
	}
	s := l.interferenceOf(ws.info.Service)
	s.observedAt = now
	s.table.Observe(now, ws.id, runs)
}

// observedRuns adds the runs of the worker that disturb others, with their levels. Halted means that a level counts as measured beside
// the halted fillers.
func (ws *workerState) observedRuns(runs []interference.Run, fillers fillerState, now boottime.Instant) (_ []interference.Run, halted bool) {
	for _, r := range ws.runs {
		if !r.disturbs() {
			continue
		}
		o := interference.Run{ID: r.serial, Kind: r.task.unit.kind(), Serving: r.task.unit.step.TailLatencyTargetMS > 0}
		if o.Serving {
			level, byHalt := r.servingLevel(fillers, now)
			o.Level, halted = level, halted || byHalt
		} else {
			o.Level = r.takeLevel(now)
		}
		runs = append(runs, o)
	}
	return runs, halted
}

// observeHalt adds the halted fillers of the worker. Of the levels, only those count that were measured beside the fillers.
func (ws *workerState) observeHalt(runs []interference.Run, now boottime.Instant) []interference.Run {
	besideFillers := make(map[int64]bool)
	for _, r := range ws.runs {
		besideFillers[r.serial] = r.haltObservedAt == now
	}
	for i := range runs {
		if !besideFillers[runs[i].ID] {
			runs[i].Level = 0
		}
	}
	for _, r := range ws.runs {
		if r.haltedSince != 0 && r.state == running {
			runs = append(runs, interference.Run{ID: r.serial, Kind: r.task.unit.kind()})
		}
	}
	return runs
}

// servingLevel returns the tail latency of a serving run as a multiple of its target, 0 if it is not known or says nothing about the kinds
// beside the run.
//
// Fillers are slowed down while the latency is high, which would hide that they are the cause. Levels beside slow fillers do not count,
// whether high or low: counting only high ones would blame the fillers for each peak of the run's own load. Once the fillers have been
// halted for a long time and the level dropped at the halt, the level before it counts once as observed beside them. In this case byHalt
// is true. Levels during shorter halts do not count: a halt begins at a peak and ends when the level is low, so they would make the level
// without fillers seem low.
func (r *run) servingLevel(fillers fillerState, now boottime.Instant) (level float64, byHalt bool) {
	step := r.task.unit.step
	starting := step.LongRunning && r.progress.Percent() < progress.Complete
	if r.state != running || r.remote || r.usage <= 0 || starting {
		return 0, false
	}
	level = float64(r.usage) / float64(step.TailLatencyTargetMS)
	steady := now.Sub(r.worker.workingSince) >= usageWindow
	switch {
	case fillers.haltedSince != 0:
		dropped := level*haltGain <= r.levelBesideFillers
		if dropped && now.Sub(fillers.haltedSince) <= haltResponseTime {
			r.haltDroppedAt = now
		}
		long := now.Sub(fillers.haltedSince) >= longHalt
		if long && dropped && r.haltDroppedAt >= fillers.haltedSince && r.haltObservedAt < fillers.haltedSince {
			r.haltObservedAt = now
			return r.levelBesideFillers, true
		}
		if !long {
			return 0, false
		}
	case fillers.limited:
		r.levelBesideFillers = max(r.levelBesideFillers, level)
	default:
		r.levelBesideFillers = level
	}
	if !steady || fillers.slow {
		return 0, false
	}
	return level, false
}

// takeLevel returns the level of a run that does not serve, 0 if it is not known or says nothing about the kinds beside the run. Each
// comparison of paces counts for one observation.
func (r *run) takeLevel(now boottime.Instant) float64 {
	level := r.level
	r.level = 0
	steady := now.Sub(r.worker.workingSince).Seconds() >= minSteadyShare*now.Sub(r.placedAt).Seconds()
	if r.state != running || r.remote || r.paceDistorted || !steady {
		return 0
	}
	return level
}

// setLevels keeps the deviations of the runs of a unit for the next observation of their workers. It sorts the deviations. Once many others have
// completed since a run began, it is compared mainly with others that are as slow, so that its deviation says nothing.
func (u *unit) setLevels(deviations []forecast.Deviation) {
	slices.SortFunc(deviations, func(a, b forecast.Deviation) int { return cmp.Compare(a.Run, b.Run) })
	for _, t := range u.tasks {
		if t.run == nil || float64(u.completedRuns-t.run.completedBefore) > maxCompletedShare*float64(len(deviations)) {
			continue
		}
		if i, found := slices.BinarySearchFunc(deviations, t.run.serial, func(d forecast.Deviation, serial int64) int { return cmp.Compare(d.Run, serial) }); found {
			t.run.level = deviations[i].Factor
		}
	}
}

// logSlowServing logs the serving tasks on a worker whose latency stays above its target, and when it no longer is.
func (l *leader) logSlowServing(ws *workerState, fillers fillerState, now boottime.Instant) {
	for _, r := range ws.runs {
		target := r.task.unit.step.TailLatencyTargetMS
		if target == 0 || r.state != running {
			continue
		}
		event := "serving task over its target"
		switch {
		case r.usage > target && r.overTargetSince == 0:
			r.overTargetSince, r.overTargetLogged = now, 0
			continue
		case r.usage > target:
			if now.Sub(r.overTargetSince) < harmfulTime || (r.overTargetLogged != 0 && now.Sub(r.overTargetLogged) < overTargetLogInterval) {
				continue
			}
			r.overTargetLogged = now
		case r.overTargetSince != 0 && r.overTargetLogged != 0:
			event = "serving task within its target"
		default:
			r.overTargetSince = 0
			continue
		}
		l.logger.Info().Str("task", r.task.id.String()).Str("worker", ws.id).Str("kind", r.task.unit.kind()).Int64("latency", r.usage).
			Int64("target", target).Dur("over", now.Sub(r.overTargetSince)).Strs("kinds", ws.workingKinds).Bool("fillers_slowed", fillers.limited).
			Bool("fillers_halted", fillers.haltedSince != 0).Bool("worker_slow", now < ws.slowUntil).Bool("beside_conflict", l.besideConflict(r.task.unit, ws)).
			Msg(event)
		if r.usage <= target {
			r.overTargetSince = 0
		}
	}
}

// interferenceOf returns the table of a service and creates it if necessary.
func (l *leader) interferenceOf(service string) *serviceInterference {
	s := l.interference.services[service]
	if s == nil {
		s = &serviceInterference{table: interference.NewTable()}
		l.interference.services[service] = s
	}
	return s
}

// forgetInterference drops what was observed on a worker: its next incarnation may run on another machine.
func (l *leader) forgetInterference(ws *workerState) {
	if s := l.interference.services[ws.info.Service]; s != nil {
		s.table.Forget(ws.id)
	}
	ws.workingKinds, ws.presentKinds = nil, nil
	for _, r := range ws.runs {
		r.levelBesideFillers = 0
	}
}

// updateConflicts evaluates the tables of all services from time to time.
func (l *leader) updateConflicts(now boottime.Instant) {
	if now.Sub(l.interference.evaluatedAt) < conflictInterval {
		return
	}
	l.interference.evaluatedAt = now
	changed, inForce := false, 0
	for _, service := range slices.Sorted(maps.Keys(l.interference.services)) {
		s := l.interference.services[service]
		changed = l.updateServiceConflicts(service, s, now) || changed
		inForce += len(s.conflicts)
		if now.Sub(s.observedAt) > unusedTableTime && len(s.conflicts) == 0 {
			delete(l.interference.services, service)
		}
	}
	if !changed {
		return
	}
	l.c.metrics.conflicts.inForce.Set(float64(inForce))
	l.interference.conflicts = nil
	if inForce > 0 {
		l.interference.conflicts = make(planner.Conflicts, inForce)
	}
	for _, s := range l.interference.services {
		for pair := range s.conflicts {
			l.interference.conflicts[planner.Conflict{Victim: s.names[pair.Victim], Neighbour: s.names[pair.Neighbour]}] = true
		}
	}
}

// updateServiceConflicts evaluates the table of a service, logs the conflicts that begin and end, and reports whether any
// begins or ends.
func (l *leader) updateServiceConflicts(service string, s *serviceInterference, now boottime.Instant) bool {
	current := s.table.Conflicts(now)
	if len(current) == 0 && len(s.conflicts) == 0 {
		return false
	}
	previous := s.conflicts
	s.conflicts = make(map[interference.Pair]interference.Evidence, len(current))
	for pair := range current {
		s.conflicts[pair], _ = s.table.Evidence(pair)
	}
	lines := conflictLines{l: l, service: service}
	for _, pair := range sortedPairs(s.conflicts) {
		if _, known := previous[pair]; !known {
			lines.log("conflict begins", pair, s.conflicts[pair])
		}
	}
	for _, pair := range sortedPairs(previous) {
		if _, inForce := s.conflicts[pair]; !inForce {
			lines.log("conflict ends", pair, previous[pair])
		}
	}
	if lines.count == 0 {
		return false
	}
	if more := lines.count - maxConflictLines; more > 0 {
		l.logger.Info().Str("service", service).Int("count", more).Msg("more conflicts begin or end")
	}
	s.names = make(map[string]string)
	for pair := range s.conflicts {
		s.names[pair.Victim], s.names[pair.Neighbour] = service+"/"+pair.Victim, service+"/"+pair.Neighbour
	}
	return true
}

func sortedPairs(conflicts map[interference.Pair]interference.Evidence) []interference.Pair {
	return slices.SortedFunc(maps.Keys(conflicts), func(a, b interference.Pair) int {
		return cmp.Or(cmp.Compare(a.Victim, b.Victim), cmp.Compare(a.Neighbour, b.Neighbour))
	})
}

// conflictLines logs up to maxConflictLines changes of conflicts and counts all.
type conflictLines struct {
	l       *leader
	service string
	count   int
}

func (c *conflictLines) log(event string, pair interference.Pair, e interference.Evidence) {
	c.count++
	if c.count > maxConflictLines {
		return
	}
	c.l.logger.Info().Str("service", c.service).Str("victim", pair.Victim).Str("neighbour", pair.Neighbour).
		Float64("beside", e.Beside).Float64("without", e.Without).Float64("effect", e.Effect).Int("observations", e.ObservationsBeside).
		Int("observations_without", e.ObservationsWithout).Int("workers", e.Workers).Msg(event)
}

// conflictKind returns the name for the planner of a kind of work of a service; empty if it has no conflict.
func (l *leader) conflictKind(service, kind string) string {
	s := l.interference.services[service]
	if s == nil {
		return ""
	}
	return s.names[kind]
}

// addConflictKinds adds the kinds of work with conflicts that run on a worker to its description. Without conflicts it costs nothing.
func (l *leader) addConflictKinds(w *planner.Worker, ws *workerState) {
	s := l.interference.services[ws.info.Service]
	if s == nil || len(s.names) == 0 {
		return
	}
	for _, r := range ws.runs {
		if kind := s.names[r.task.unit.kind()]; kind != "" && r.state != stopping && !slices.Contains(w.Kinds, kind) {
			w.Kinds = append(w.Kinds, kind)
		}
	}
}

// besideConflict reports whether the worker runs a kind of work that conflicts with that of the unit.
func (l *leader) besideConflict(u *unit, ws *workerState) bool {
	if len(l.interference.conflicts) == 0 {
		return false
	}
	s := l.interference.services[ws.info.Service]
	if s == nil || s.names[u.kind()] == "" {
		return false
	}
	conflict := func(victim, neighbour string) bool {
		_, inForce := s.conflicts[interference.Pair{Victim: victim, Neighbour: neighbour}]
		return inForce
	}
	for _, r := range ws.runs {
		kind := r.task.unit.kind()
		if r.state != stopping && (conflict(u.kind(), kind) || conflict(kind, u.kind())) {
			return true
		}
	}
	return false
}
