// Package placement is the loop of a zone's leader: it hands a snapshot of the zone to the
// scheduler, runs each placement through the gang state machine against the workers, renews,
// and writes results to the log. The decisions are in the pure type zone; Service does the
// input and output.
package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/ring"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// Timing of a zone's loop.
const (
	// minScheduleInterval bounds how often the scheduler runs.
	minScheduleInterval = 100 * time.Millisecond
	// maxScheduleInterval is how often the scheduler runs without a change, because the passing of
	// time alone can allow a placement.
	maxScheduleInterval = time.Second
	// commitTimeout is how long an attempt waits for its record before it is committed in memory.
	commitTimeout = time.Second
	// minBackoff and backoffMost are pauses of a job whose reservation was refused.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxPending bounds the results that wait for the log.
	maxPending = 8192
)

// View is what one step is decided on, apart from the answers of workers.
type View struct {
	// Jobs has all jobs of the zone by name, Others those of other zones that have not ended.
	Jobs              map[string]*resource.Job
	OtherJobs         []*resource.Job
	Guarantees        []*resource.Guarantee
	AllGuarantees     map[string]*resource.Guarantee
	GuaranteeRevision map[string]uint64
	Organisations     map[string]*resource.Organisation
	Policy            resource.PlacementPolicy
	Health            map[string]state.WorkerHealth
	// Offset is the log offset of the state.
	Offset platform.Offset
	// Instances is the platform's list; nil if there was none yet.
	Instances []platform.Instance
	// LogUp reports that the log is up and has this leader's claim.
	LogUp bool
	// Confirmed reports that the leadership was confirmed lately, so that calls may be made.
	Confirmed bool
}

// attemptID identifies one attemptID of a job.
type attemptID struct {
	uid    string
	number uint64
}

// run is an attempt that the leader takes care of.
type run struct {
	*gang.Gang
	job        string
	key        attemptID
	atMostOnce bool
	// commitRequestedAt is when the commit was asked for, zero before.
	commitRequestedAt time.Time
	// committed is set when the state shows the attempt as the job's newest.
	committed bool
	reclaim   *reclaim
	// outcomeApplied is set when the outcome was taken over into the job's status.
	outcomeApplied  bool
	reportedRunning bool
	// healthRecorded is set when the health of workers has taken the outcome into account.
	healthRecorded bool
	// placedAt is when the run was placed or adopted.
	placedAt time.Time
	// probedWorker names the worker of a probedWorker task, which belongs to no job.
	probedWorker string
	// overuseStates has what is remembered of each member's usage reports.
	overuseStates map[int]scheduler.OveruseState
	// stoppedForOveruse is set when the run is stopped because it uses more than it declared.
	stoppedForOveruse bool
}

// reclaim is the wish to checkpoint and stop a running job.
type reclaim struct {
	deadline time.Time
	reason   string
}

// backoff delays a job after a refused reservation.
type backoff struct {
	until time.Time
	delay time.Duration
}

// zone is the pure part of the loop of one zone under one epoch. It is not safe for
// concurrent use.
type zone struct {
	name      string
	epoch     platform.Epoch
	startedAt time.Time
	sched     scheduler.Scheduler
	view      View
	workers   map[string]*worker
	runs      map[attemptID]*run
	// sortedRuns has the keys of runs, sorted; nil after a change of runs.
	sortedRuns []attemptID
	// sortedWorkers has the keys of workers, sorted; nil after a change of workers.
	sortedWorkers []string
	// anyLeaving is set while a worker of the zone is anyLeaving.
	anyLeaving bool
	// syncedList and syncedAt tell which list the workers follow.
	syncedList *platform.Instance
	syncedAt   time.Time
	// scheduleCount counts the runs of the scheduler.
	scheduleCount int
	// byJob has the newest attempt of each job that is not settled.
	byJob            map[string]*run
	adopted          bool
	attemptCounter   uint64
	pending          map[string]*pendingJob
	dirty            *ring.Ring[string]
	lastSeq          uint64
	write            writeState
	guaranteeUpdates map[string]state.GuaranteeUpdate
	healthUpdates    map[string]state.WorkerHealth
	tracker          *scheduler.Health
	backoffs         map[string]backoff
	waiting          map[string]scheduler.Waiting
	// changed is set when the scheduler has something new to decide on.
	changed     bool
	scheduledAt time.Time
	ops         []Op
	events      []Event
}

func newZone(now time.Time, name string, epoch platform.Epoch, sched scheduler.Scheduler) *zone {
	return &zone{
		name: name, epoch: epoch, startedAt: now, sched: sched,
		workers:          make(map[string]*worker),
		runs:             make(map[attemptID]*run),
		byJob:            make(map[string]*run),
		pending:          make(map[string]*pendingJob),
		dirty:            ring.New[string](maxPending),
		guaranteeUpdates: make(map[string]state.GuaranteeUpdate),
		healthUpdates:    make(map[string]state.WorkerHealth),
		backoffs:         make(map[string]backoff),
		waiting:          make(map[string]scheduler.Waiting),
		changed:          true,
	}
}

// StepResult is what one step asks for.
type StepResult struct {
	Ops []Op
	// Update is written to the log; nil if there is nothing to write now.
	Update *state.ZoneUpdate
	// RecordID identifies the write, so that a repeated write has one effect.
	RecordID string
	Events   []Event
	// Exhausted reports that the epoch has no attempt numbers left.
	Exhausted bool
}

// step moves the zone on. Nothing is asked of the workers without a confirmed leadership.
func (z *zone) step(now time.Time, view View) StepResult {
	newState := view.Offset != z.view.Offset || z.view.Jobs == nil
	z.changed = z.changed || newState || view.LogUp != z.view.LogUp
	z.view = view
	z.syncWorkers(now)
	z.dropRecorded()
	if newState {
		z.markCommitted()
		z.pruneBackoffs()
	}
	if !view.Confirmed {
		return z.result(now)
	}
	z.listWorkers(now)
	if !z.adopted {
		if !z.firstListsDone(now) {
			return z.result(now)
		}
		z.adopt(now)
	}
	z.reconcile(now)
	z.applyHealthActions(now)
	z.requestUsage(now)
	z.schedule(now)
	z.commitRuns(now)
	z.collectCalls(now)
	z.finishRuns(now)
	return z.result(now)
}

// pruneBackoffs forgets the pauses of jobs that are gone.
func (z *zone) pruneBackoffs() {
	maps.DeleteFunc(z.backoffs, func(name string, _ backoff) bool {
		job, found := z.view.Jobs[name]
		return !found || job.Status.Phase.Terminal()
	})
}

func (z *zone) result(now time.Time) StepResult {
	step := StepResult{Ops: z.ops, Events: z.events, Exhausted: z.attemptCounter >= maxCounter}
	z.ops, z.events = nil, nil
	step.Update, step.RecordID = z.nextWrite(now)
	return step
}

// effectiveStatus returns the status of a job with the results that are not yet in the log.
func (z *zone) effectiveStatus(job *resource.Job) resource.JobStatus {
	if p, found := z.pending[job.Name]; found && p.uid == job.UID && !job.Status.Phase.Terminal() {
		return p.status
	}
	return job.Status
}

// reconcile compares the runs with the jobs and starts what the difference asks for.
func (z *zone) reconcile(now time.Time) {
	for _, key := range z.runIDs() {
		r := z.runs[key]
		job, found := z.view.Jobs[r.job]
		switch {
		case r.probedWorker != "":
			z.stepProbe(now, r)
		case !found || job.UID != key.uid:
			r.Halt(now, "the job was deleted")
		case job.Status.Phase == resource.PhaseCancelled:
			r.Halt(now, job.Status.Reason)
		case job.Status.Phase.Terminal():
			r.Halt(now, "the job has ended")
		case job.Status.Attempt > key.number:
			r.Halt(now, "another leader recorded a newer attempt")
		default:
			z.stepReclaim(now, r)
		}
	}
	z.reclaimFromLeavingWorkers(now)
	if z.changed {
		z.adoptRecorded(now)
	}
}

// runIDs returns the keys of the runs in a fixed order. The result must not be modified.
func (z *zone) runIDs() []attemptID {
	if z.sortedRuns == nil {
		z.sortedRuns = slices.Collect(maps.Keys(z.runs))
		slices.SortFunc(z.sortedRuns, func(a, b attemptID) int {
			return cmp.Or(strings.Compare(a.uid, b.uid), cmp.Compare(a.number, b.number))
		})
	}
	return z.sortedRuns
}

func (z *zone) addRun(r *run) {
	z.runs[r.key] = r
	z.sortedRuns = nil
}

// stepReclaim stops a reclaimed run after its checkpoint or at its deadline.
func (z *zone) stepReclaim(now time.Time, r *run) {
	if r.reclaim == nil {
		return
	}
	job := z.view.Jobs[r.job]
	if r.Phase() == gang.Running && job.Spec.Checkpointable && now.Before(r.reclaim.deadline) {
		r.RequestCheckpoint(now)
		if !r.CheckpointComplete() {
			return
		}
	}
	r.Halt(now, r.reclaim.reason)
}

func (z *zone) requestReclaim(r *run, deadline time.Time, reason string) {
	if r.reclaim != nil {
		return
	}
	r.reclaim = &reclaim{deadline: deadline, reason: reason}
	z.event(Event{Name: EventReclaim, Job: r.job, Reason: reason})
}

// reclaimFromLeavingWorkers empties workers that the platform is about to take away. A job that must
// not start twice stays until its worker goes.
func (z *zone) reclaimFromLeavingWorkers(now time.Time) {
	if !z.anyLeaving {
		return
	}
	for _, key := range z.runIDs() {
		r := z.runs[key]
		if r.atMostOnce || r.probedWorker != "" || r.reclaim != nil || r.Phase() != gang.Running {
			continue
		}
		for _, id := range r.Spec().Workers {
			if w, found := z.workers[id]; found && w.row.State == platform.StateLeaving {
				z.requestReclaim(r, now.Add(z.reclaimTime()), "worker "+id+" is leaving")
				break
			}
		}
	}
}

func (z *zone) reclaimTime() time.Duration {
	return time.Duration(z.view.Policy.ReclaimSeconds * float64(time.Second))
}

// schedule runs the scheduler if something changed, and begins its placements.
func (z *zone) schedule(now time.Time) {
	since := now.Sub(z.scheduledAt)
	if since < minScheduleInterval || !z.changed && since < maxScheduleInterval {
		return
	}
	z.scheduledAt, z.changed = now, false
	z.scheduleCount++
	if z.moveFromLostZone(now) {
		return
	}
	snapshot := z.snapshot(now)
	plan := z.sched.Schedule(now, snapshot)
	z.applyWaiting(now, plan.Waiting)
	for _, p := range plan.Placements {
		z.place(now, p)
	}
	for _, r := range plan.Reclaims {
		if current, found := z.byJob[r.Job]; found {
			z.requestReclaim(current, r.Deadline, r.Reason)
		}
	}
	z.applyGuaranteeResults(now, plan.Guarantees)
}

// snapshot builds the scheduler's input.
func (z *zone) snapshot(now time.Time) scheduler.Snapshot {
	s := scheduler.Snapshot{
		Zone: z.name, Organisations: z.view.Organisations, Guarantees: z.view.Guarantees,
		Policy: z.view.Policy, Orphaned: make(map[string]int), Avoid: make(map[string][]string),
	}
	for _, id := range z.workerIDs() {
		s.Workers = append(s.Workers, z.describeWorker(now, id))
		if held := z.workers[id].orphanAccelerators(); held > 0 {
			s.Orphaned[id] = held
		}
	}
	for _, key := range z.runIDs() {
		z.addRunning(&s, z.runs[key])
	}
	for _, name := range slices.Sorted(maps.Keys(z.view.Jobs)) {
		if job := z.view.Jobs[name]; z.queued(now, job) {
			s.Queued = append(s.Queued, z.withStatus(job))
			if avoid := z.healthTracker(now).FailedWorkers(name); len(avoid) > 0 {
				s.Avoid[name] = avoid
			}
		}
	}
	return s
}

func (z *zone) describeWorker(now time.Time, id string) scheduler.Worker {
	w := z.workers[id].describe(z.quarantined(id) || !z.healthTracker(now).Usable(id))
	w.Suspect = z.healthTracker(now).Suspect(id)
	return w
}

// withStatus returns the job with the results that are not yet in the log.
func (z *zone) withStatus(job *resource.Job) *resource.Job {
	if _, found := z.pending[job.Name]; !found {
		return job
	}
	merged := *job
	merged.Status = z.effectiveStatus(job)
	return &merged
}

// queued reports whether a job can be placed now as far as the leader is concerned.
func (z *zone) queued(now time.Time, job *resource.Job) bool {
	if _, busy := z.byJob[job.Name]; busy {
		return false
	}
	status := z.effectiveStatus(job)
	if status.Phase != resource.PhaseQueued || status.Zone != z.name {
		return false
	}
	if p, found := z.pending[job.Name]; found && p.blocksPlacement() {
		return false
	}
	if job.Spec.Restart == resource.RestartNever && !z.mayStartAtMostOnce(job) {
		return false
	}
	return !now.Before(z.backoffs[job.Name].until)
}

// mayStartAtMostOnce reports whether a job that must run at most once can be committed: the log is
// up and has never had an attempt of it.
func (z *zone) mayStartAtMostOnce(job *resource.Job) bool {
	return z.view.LogUp && job.Status.Attempt == 0
}

func (z *zone) addRunning(s *scheduler.Snapshot, r *run) {
	if r.Phase() == gang.Done {
		return
	}
	job, found := z.view.Jobs[r.job]
	workers := r.Spec().Workers
	known := !slices.Contains(workers, "")
	if !found || job.UID != r.key.uid || r.Settled() || !known || job.Status.Phase.Terminal() {
		for _, id := range workers {
			if id != "" {
				s.Orphaned[id] += r.Spec().Task.Accelerators
			}
		}
		return
	}
	startedAt := r.StartedAt()
	if startedAt.IsZero() {
		startedAt = r.placedAt
	}
	s.Running = append(s.Running, scheduler.Running{
		Job: z.withStatus(job), Workers: workers, StartedAt: startedAt,
		CheckpointAge: r.UnsavedRunTime(),
		Reclaimable:   r.Spec().Task.Reclaimable,
		Reclaiming:    r.reclaim != nil || r.Phase() == gang.Stopping,
	})
}

// applyWaiting keeps the reasons and ends jobs that can never run.
func (z *zone) applyWaiting(now time.Time, waiting []scheduler.Waiting) {
	clear(z.waiting)
	for _, w := range waiting {
		z.waiting[w.Job] = w
		if w.Code == scheduler.ReasonImpossible {
			z.handleImpossible(now, w)
		}
	}
	for name, job := range z.view.Jobs {
		if _, found := z.waiting[name]; !found && z.waitsForLog(job) {
			z.waiting[name] = scheduler.Waiting{
				Job: name, Code: scheduler.ReasonLogUnavailable,
				Message: "the job runs at most once and its attempt cannot be recorded while the log is down",
				Unblock: "the job starts when the platform's log is back",
			}
		}
	}
}

func (z *zone) waitsForLog(job *resource.Job) bool {
	_, busy := z.byJob[job.Name]
	return !busy && !z.view.LogUp && job.Spec.Restart == resource.RestartNever &&
		z.effectiveStatus(job).Phase == resource.PhaseQueued
}

// Attempt numbers have 21 bits of epoch number, 16 bits of a hash of the leader's id and 16
// bits of a counter.
const (
	counterBits = 16
	hashBits    = 16
	maxCounter  = 1<<counterBits - 1
)

// nextAttempt returns a number above the job's newest attempt. The epoch field is raised if
// that attempt came from another zone with higher epochs, or from a leader of the same epoch
// number with a larger hash.
func (z *zone) nextAttempt(newest uint64) uint64 {
	z.attemptCounter++
	hash := xxhash.Sum64String(z.epoch.Holder) & (1<<hashBits - 1)
	low := hash<<counterBits | z.attemptCounter
	high := max(z.epoch.Number, newest>>(hashBits+counterBits))
	if high<<(hashBits+counterBits)|low <= newest {
		high++
	}
	return high<<(hashBits+counterBits) | low
}

// place begins an attempt.
func (z *zone) place(now time.Time, p scheduler.Placement) {
	job, found := z.view.Jobs[p.Job.Name]
	if !found || !z.queued(now, job) || z.attemptCounter >= maxCounter {
		return
	}
	spec := gang.Spec{
		Job: job.Name, UID: job.UID, Attempt: z.nextAttempt(z.effectiveStatus(job).Attempt), Workers: p.Workers,
		Task: z.task(job, p.Reclaimable), RenewalBase: z.startedAt,
	}
	r := &run{
		Gang: gang.New(now, spec), job: job.Name,
		key: attemptID{job.UID, spec.Attempt}, atMostOnce: job.Spec.Restart == resource.RestartNever,
		placedAt: now,
	}
	z.addRun(r)
	z.byJob[job.Name] = r
	delete(z.waiting, job.Name)
	z.event(Event{Name: EventPlaced, Job: job.Name})
}

func (z *zone) task(job *resource.Job, reclaimable bool) platform.TaskSpec {
	return platform.TaskSpec{
		Organisation: job.Spec.Organisation, JobName: job.Name, Members: job.Spec.Members,
		Accelerators: job.Spec.AcceleratorsPerMember, Cores: job.Spec.CoresPerMember,
		MemoryMB: job.Spec.MemoryMBPerMember, Payload: job.Spec.Payload,
		Reclaimable: reclaimable, Checkpoint: z.effectiveStatus(job).Checkpoint,
	}
}

// commitRuns asks for the record of attempts that are fully reserved, and starts those that
// are committed.
func (z *zone) commitRuns(now time.Time) {
	for _, key := range z.runIDs() {
		r := z.runs[key]
		if !r.NeedsCommit() {
			continue
		}
		job := z.view.Jobs[r.job]
		if r.commitRequestedAt.IsZero() {
			status := z.effectiveStatus(job)
			status.Phase, status.Attempt, status.Workers = resource.PhaseRunning, key.number, r.Spec().Workers
			status.Starts++
			status.StartedAt, status.Reason = now, ""
			if !z.setStatus(now, job, status, nil) {
				continue
			}
			r.commitRequestedAt = now
		}
		inMemory := !r.atMostOnce && (!z.view.LogUp || now.Sub(r.commitRequestedAt) >= commitTimeout)
		if r.committed || inMemory {
			r.Commit(now)
		}
		if r.Phase() == gang.Starting {
			z.event(Event{Name: EventCommitted, Job: r.job})
		}
	}
}

// collectCalls collects the calls of all runs.
func (z *zone) collectCalls(now time.Time) {
	for _, key := range z.runIDs() {
		r := z.runs[key]
		for _, call := range r.Next(now) {
			z.ops = append(z.ops, Op{Call: call, Worker: z.row(call.Worker), Task: r.Spec().Task, run: key})
		}
		if r.Phase() == gang.Running && !r.reportedRunning {
			r.reportedRunning = true
			z.event(Event{Name: EventRunning, Job: r.job})
		}
	}
}

// row returns the row of a worker, or one with only its id, to which calls fail.
func (z *zone) row(id string) platform.Instance {
	if w, found := z.workers[id]; found {
		return w.row
	}
	return platform.Instance{ID: id, Kind: platform.KindWorker, Zone: z.name}
}

// load returns the free accelerators of usable workers and the accelerators of queued jobs.
func (z *zone) load() zoneLoad {
	var load zoneLoad
	for id, w := range z.workers {
		if w.describe(z.quarantined(id)).Usable {
			load.free += w.row.Accelerators - w.orphanAccelerators()
		}
	}
	for _, r := range z.runs {
		for _, id := range r.Spec().Workers {
			if w, found := z.workers[id]; found && r.Phase() != gang.Done && w.describe(z.quarantined(id)).Usable {
				load.free -= r.Spec().Task.Accelerators
			}
		}
	}
	for _, job := range z.view.Jobs {
		if _, busy := z.byJob[job.Name]; !busy && z.effectiveStatus(job).Phase == resource.PhaseQueued {
			load.queued += job.Spec.Accelerators()
		}
	}
	return load
}
