package controller

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// overdueFactor times its objective, a job is worth nothing to its submitter any more.
	overdueFactor = 3
	// gpuCores is how many cores an accelerator counts for, in work that is thrown away.
	coresPerGPU = 8
	// patience is how long tasks wait for their rack before they run elsewhere, slower.
	rackWait = 4 * time.Second
	// headroomHalf is the time in which the headroom for the most urgent queue halves when
	// its load falls; it bridges the gaps between jobs, not the time after a burst.
	headroomHalfLife = 3 * time.Second
	// saveMargin is kept from the time at which a draining worker may be gone, for a stop.
	drainStopMargin = 700 * time.Millisecond
)

// plan decides a round and carries it out.
func (l *leader) plan() {
	started := time.Now()
	snapshot, workers, units := l.snapshot()
	if len(units) == 0 || len(workers) == 0 {
		return
	}
	decided := planner.Decide(snapshot)
	for _, stop := range decided.Stops {
		l.preempt(stop.Group, units[stop.Unit], snapshot.Units[stop.Unit].Guaranteed)
	}
	for _, s := range decided.Starts {
		l.startUnit(units[s.Unit], s.Workers, workers, snapshot.Units[s.Unit].Guaranteed)
	}
	l.c.metrics.planTime.UpdateDuration(started)
}

// snapshot describes the workers and the waiting units to the planner.
func (l *leader) snapshot() (planner.Snapshot, []*workerState, []*unit) {
	var s planner.Snapshot
	now := boottime.Now()
	ids := slices.Sorted(maps.Keys(l.workers))
	workers := make([]*workerState, 0, len(ids))
	for _, id := range ids {
		ws := l.workers[id]
		if !ws.registered {
			continue
		}
		workers = append(workers, ws)
		s.Workers = append(s.Workers, l.describeWorker(ws, now))
	}
	s.Headroom = l.headroom(now)
	entitled := l.entitlements()
	var units []*unit
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		j := l.jobs[id]
		if !j.live() {
			continue
		}
		for _, u := range j.units {
			n := u.waiting()
			if n == 0 || now < u.notBefore {
				continue
			}
			if u.readySince == 0 {
				u.readySince = now
			}
			d, ok := l.describeUnit(u, n, now, entitled[j])
			if ok {
				units = append(units, u)
				s.Units = append(s.Units, d)
			}
		}
	}
	return s, workers, units
}

// headroom is how many accelerators to keep free in each service: what the most urgent queue
// used at its recent peak, less what it uses now. Other work would be stopped for its next job.
func (l *leader) headroom(now boottime.Instant) map[string]int64 {
	used := make(map[string]float64)
	for _, ws := range l.workers {
		for _, r := range ws.runs {
			if r.task.unit.job.spec.Rules.Priority == 0 {
				used[ws.info.Service] += float64(r.task.unit.step.GPU)
			}
		}
	}
	decay := math.Exp2(-now.Sub(l.peaksUpdatedAt).Seconds() / headroomHalfLife.Seconds())
	l.peaksUpdatedAt = now
	headroom := make(map[string]int64)
	for service := range l.peakGPUs {
		l.peakGPUs[service] *= decay
	}
	for service, n := range used {
		l.peakGPUs[service] = max(l.peakGPUs[service], n)
	}
	for service, peak := range l.peakGPUs {
		headroom[service] = int64(peak - used[service])
	}
	return headroom
}

func (l *leader) describeWorker(ws *workerState, now boottime.Instant) planner.Worker {
	capacity := planner.Resources{CPU: ws.info.CPU, MemoryMB: ws.info.MemoryMB, GPU: ws.info.GPU}
	used, releasing := ws.usedResources()
	w := planner.Worker{
		ID: ws.id, Service: ws.info.Service, Rack: ws.info.Rack, Labels: ws.info.Labels, AcceptsWork: ws.acceptsWork(now) && !l.maintenance.isPreparing(ws.id),
		Free: capacity.Sub(used), Releasing: releasing, Suspicion: len(ws.failedJobs),
	}
	for _, r := range ws.runs {
		step := r.task.unit.step
		w.RunsServing = w.RunsServing || step.TailLatencyTargetMS > 0
		w.RunsFiller = w.RunsFiller || step.Filler
		if r.state == stopping {
			continue
		}
		w.Runs = append(w.Runs, planner.Run{
			Group: r.groupID(), Need: requestOf(step), Priority: r.task.unit.job.spec.Rules.Priority,
			Guaranteed: r.entitled, Protected: step.LongRunning || r.state == adopting, LostWork: r.preemptionLoss(now),
		})
	}
	return w
}

// groupBase separates the groups of single tasks from those of gangs.
const groupStride = 1 << 20

// group numbers what is stopped together: the unit of a gang, or a single task.
func (r *run) groupID() int {
	u := r.task.unit
	if u.gang() {
		return u.id * groupStride
	}
	return u.id*groupStride + r.task.id.Index + 1
}

// groupLoss is the work that stopping a run throws away, in weighted core-seconds.
func (r *run) preemptionLoss(now boottime.Instant) float64 {
	u := r.task.unit
	if u.step.Checkpoints {
		return 0
	}
	loss := u.workPerSecond() * now.Sub(r.placedAt).Seconds()
	if u.gang() {
		loss *= float64(len(u.tasks))
	}
	return loss
}

// weight is what a task of the unit works in a second, in weighted core-seconds.
func (u *unit) workPerSecond() float64 {
	return float64(u.step.CPU)/1000 + coresPerGPU*float64(u.step.GPU)
}

// describeUnit returns the planner's view of a unit; false while it must not be placed.
func (l *leader) describeUnit(u *unit, waiting int, now boottime.Instant, entitled bool) (planner.Unit, bool) {
	j := u.job
	d := planner.Unit{
		Service: j.spec.Rules.Service, Priority: j.spec.Rules.Priority, Guaranteed: entitled, Accepted: j.spec.AcceptedMS,
		Tasks: waiting, Need: requestOf(u.step), Work: u.workPerSecond() * float64(u.step.EstimateMS) / 1000 * float64(waiting), Gang: u.gang(), RackLocal: u.step.RackLocal && u.step.Count > 1,
		DataRack: u.step.DataRack, Label: u.step.Label, MaxPerWorker: u.step.MaxPerWorker,
		Checkpointed: u.step.Checkpoints, Filler: u.step.Filler, Serving: u.step.TailLatencyTargetMS > 0,
		WaitsForRack: now.Sub(u.readySince) < rackWait,
	}
	d.JobStarted = u.job.occurrenceBegun(u.occurrence)
	d.Urgency, d.Deadline = u.urgency()
	if u.step.MaxPerWorker > 0 {
		d.TasksByWorker = make(map[string]int)
		for _, t := range u.tasks {
			if t.run != nil {
				d.TasksByWorker[t.run.worker.id]++
			}
		}
	}
	d.Avoid = u.avoidedWorkers()
	if q := l.queueOf(j); q != nil && q.Advice != nil {
		allowed, ok := u.advice.permittedWorkers(now)
		if !ok {
			return d, false
		}
		d.Allowed = allowed
	}
	return d, true
}

// begun says whether a task of the occurrence is done or running.
func (j *job) occurrenceBegun(occurrence int) bool {
	for i := range j.spec.Steps {
		for _, t := range j.unitOf(occurrence, i).tasks {
			if t.rec.Done || t.run != nil {
				return true
			}
		}
	}
	return false
}

func (u *unit) avoidedWorkers() map[string]bool {
	var avoid map[string]bool
	for _, t := range u.tasks {
		if t.rec.Done || len(t.avoid) == 0 {
			continue
		}
		if avoid == nil {
			avoid = make(map[string]bool)
		}
		maps.Copy(avoid, t.avoid)
	}
	return avoid
}

// urgency tells what the job can still reach if the unit is started now, and its objective in
// Unix milliseconds.
func (u *unit) urgency() (planner.Urgency, int64) {
	j := u.job
	from := j.spec.AcceptedMS
	if j.spec.Repeat > 0 {
		from = j.spec.StartAtMS + int64(u.occurrence)*j.spec.IntervalMS
	}
	chain := longestChain(j.spec.Steps, -1)
	objective := int64(j.spec.Rules.Stretch*float64(chain)) + j.spec.Rules.TargetMS
	finish := time.Now().UnixMilli() + longestChain(j.spec.Steps, u.index)
	switch {
	case u.step.LongRunning || finish <= from+objective:
		return planner.OnTime, from + objective
	case finish <= from+overdueFactor*objective:
		return planner.Late, from + objective
	default:
		return planner.Overdue, from + objective
	}
}

// longestChain is the estimated time of the longest chain of steps, in milliseconds: of all
// steps, or of those that begin with the given one.
func longestChain(steps []batch.Step, from int) int64 {
	ends := make([]int64, len(steps))
	longest := int64(0)
	for i := range steps {
		if i < from {
			continue
		}
		begin, reached := int64(0), from < 0 || i == from
		for _, earlier := range steps[i].After {
			if ends[earlier] > 0 {
				begin, reached = max(begin, ends[earlier]), true
			}
		}
		if reached {
			ends[i] = begin + max(1, steps[i].EstimateMS)
			longest = max(longest, ends[i])
		}
	}
	return longest
}

// entitlements tells which jobs of priority 0 are covered by their organisation's guarantee,
// in the order of their acceptance.
func (l *leader) entitlements() map[*job]bool {
	config := l.c.cfg.OperatorConfig()
	if config == nil {
		return nil
	}
	var jobs []*job
	for _, j := range l.jobs {
		if j.live() && j.spec.Rules.Priority == 0 && j.spec.Org != "" && len(j.units) > 0 {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return int(a.spec.AcceptedMS - b.spec.AcceptedMS) })
	left := make(map[string]int64)
	for i := range config.Orgs {
		left[config.Orgs[i].Name] = config.Orgs[i].GuaranteedGPU
	}
	entitled := make(map[*job]bool)
	for _, j := range jobs {
		need := j.maxPendingGPU()
		if need > 0 && need <= left[j.spec.Org] {
			left[j.spec.Org] -= need
			entitled[j] = true
		}
	}
	for _, ws := range l.workers {
		for _, r := range ws.runs {
			r.entitled = entitled[r.task.unit.job]
		}
	}
	return entitled
}

// pendingGPU is what the job's widest unfinished step takes.
func (j *job) maxPendingGPU() int64 {
	widest := int64(0)
	for _, u := range j.units {
		if !u.done() {
			widest = max(widest, u.step.GPU*int64(u.step.Count))
		}
	}
	return widest
}

// preempt stops the runs of a group to make room for a unit.
func (l *leader) preempt(group int, u *unit, entitled bool) {
	stopped := 0
	for _, ws := range l.workers {
		for _, r := range ws.runList() {
			if r.groupID() == group {
				l.stopRun(r, "preempted")
				stopped++
			}
		}
	}
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("priority", u.job.spec.Rules.Priority).
		Bool("entitled", entitled).Int("group", group).Int("runs", stopped).Msg("making room")
}

// startUnit stores the places of tasks and orders them once they are stored.
func (l *leader) startUnit(u *unit, workers []int, states []*workerState, entitled bool) {
	number := int64(0)
	for _, t := range u.tasks {
		number = max(number, t.rec.Run+1)
	}
	var runs []*run
	var records []ledger.Record
	for _, t := range u.tasks {
		if len(runs) == len(workers) {
			break
		}
		if t.rec.Done || t.run != nil {
			continue
		}
		n := t.rec.Run + 1
		if u.gang() {
			n = number
		}
		ws := states[workers[len(runs)]]
		r, record := l.placeTask(t, ws, n, u.advice.ticket(ws.id), entitled)
		runs = append(runs, r)
		records = append(records, record)
	}
	l.c.metrics.startDelay.Update(boottime.Since(u.readySince).Seconds())
	l.logger.Info().Str("step", u.tasks[0].id.StepName()).Int("tasks", len(runs)).Int64("run", number).
		Bool("entitled", entitled).Dur("waited", boottime.Since(u.readySince)).Msg("step placed")
	l.storeTasks(records, func() {
		for _, r := range runs {
			l.sendStart(r)
		}
	})
	if u.job.phase == batch.Queued {
		l.setPhase(u.job, batch.Running, nil)
	}
}

// leaveDraining moves tasks off a worker that is about to leave, if they cannot finish there.
func (l *leader) stopUnfinishable(ws *workerState) {
	if ws.info.State != worker.Draining {
		return
	}
	for _, r := range ws.runList() {
		if r.state != running {
			continue
		}
		left := time.Duration(r.task.unit.step.EstimateMS)*time.Millisecond - boottime.Since(r.placedAt)
		if r.task.unit.step.LongRunning || left > ws.info.RemainingTime {
			l.stopRun(r, "worker is leaving")
		}
	}
}

// saveDraining stops tasks that save their work just before their worker may be gone.
func (l *leader) stopBeforeLeaving(ws *workerState, now boottime.Instant) {
	if now < ws.leavesAt.Add(-drainStopMargin) {
		return
	}
	for _, r := range ws.runList() {
		if r.state == running && r.task.unit.step.Checkpoints {
			l.stopRun(r, "worker is leaving")
		}
	}
}
