// Package placement runs the control loop of a zone's leader. The loop passes a snapshot of the
// zone to the scheduler, drives the gang state machine of each placed job with calls to the
// workers, renews their leases, and writes the results to the log. The type zone decides without
// doing any I/O; Service does the I/O.
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
	// minScheduleInterval is the shortest time between two scheduling rounds.
	minScheduleInterval = 100 * time.Millisecond
	// maxScheduleInterval is the time after which a scheduling round takes place although nothing
	// has changed, because the passing of time alone can allow a placement.
	maxScheduleInterval = time.Second
	// commitTimeout is how long an attempt waits for its record in the log before it is
	// committed in memory only.
	commitTimeout = time.Second
	// minBackoff and maxBackoff bound the backoff of a job whose attempt did not start.
	minBackoff = 250 * time.Millisecond
	maxBackoff = 5 * time.Second
	// maxPending is the greatest number of job statuses that wait to be written to the log.
	maxPending = 8192
)

// View is the input of one step, apart from the results of calls to workers.
type View struct {
	// Jobs has all jobs of the zone by name. OtherJobs has the jobs of other zones that have not
	// ended.
	Jobs      map[string]*resource.Job
	OtherJobs []*resource.Job
	// Guarantees has the guarantees of the zone, sorted by name. AllGuarantees has those of all
	// zones by name.
	Guarantees    []*resource.Guarantee
	AllGuarantees map[string]*resource.Guarantee
	// GuaranteeRevision has the revision of the guarantees of each zone, by zone name.
	GuaranteeRevision map[string]uint64
	Organisations     map[string]*resource.Organisation
	Policy            resource.PlacementPolicy
	// Health has the recorded health of workers, by worker id.
	Health map[string]state.WorkerHealth
	// Offset is the log offset of the last record that is applied to the state.
	Offset platform.Offset
	// Instances is the platform's instance list; nil before the first one was fetched.
	Instances []platform.Instance
	// LogUp reports whether the log is up and contains this leader's claim of the zone.
	LogUp bool
	// Confirmed reports whether the confirmation of the leadership is recent enough to call
	// workers.
	Confirmed bool
}

// attemptID identifies one attempt to run a job. uid is the UID of the job.
type attemptID struct {
	uid    string
	number uint64
}

// run is an attempt that the leader manages, with its gang state machine.
type run struct {
	*gang.Gang
	job        string
	key        attemptID
	atMostOnce bool
	// commitRequestedAt is when the status with this attempt was queued for the log; zero before.
	commitRequestedAt time.Time
	// committed is set when the state shows this attempt as the newest of its job.
	committed  bool
	preemption *preemption
	// outcomeApplied is set when the outcome has been applied to the job's status.
	outcomeApplied  bool
	reportedRunning bool
	// healthRecorded is set when the outcome has been recorded in the health of the workers.
	healthRecorded bool
	// placedAt is when the run was placed or adopted.
	placedAt time.Time
	// probedWorker is the worker id of a probe, which belongs to no job; empty for other runs.
	probedWorker string
	// overuseStates has the state derived from each member's usage reports, by member.
	overuseStates map[int]scheduler.OveruseState
	// stoppedForOveruse is set when the run is being stopped because it uses more than its job
	// declares.
	stoppedForOveruse bool
}

// preemption is a request to checkpoint a running job and then stop it.
type preemption struct {
	// deadline is when the job is stopped even without a checkpoint.
	deadline time.Time
	reason   string
}

// backoff delays the next attempt of a job after one that did not start.
type backoff struct {
	until time.Time
	delay time.Duration
}

// zone is the state of the control loop of one zone in one epoch. It does no I/O. It is not safe
// for concurrent use.
type zone struct {
	name      string
	epoch     platform.Epoch
	startedAt time.Time
	sched     scheduler.Scheduler
	view      View
	workers   map[string]*worker
	runs      map[attemptID]*run
	// sortedRuns has the keys of runs, sorted; nil after a key was added or removed.
	sortedRuns []attemptID
	// sortedWorkers has the keys of workers, sorted; nil after a key was added or removed.
	sortedWorkers []string
	// anyLeaving is set while at least one worker of the zone is leaving.
	anyLeaving bool
	// syncedList is the first row of the instance list that was last compared with workers, which
	// identifies that list. syncedAt is when this was done.
	syncedList *platform.Instance
	syncedAt   time.Time
	// scheduleCount is the number of scheduling rounds so far.
	scheduleCount int
	// byJob has the newest run of each job, by job name, until its outcome has been applied.
	byJob map[string]*run
	// adopted is set once this leader has adopted the gangs that it found at the workers.
	adopted bool
	// attemptCounter is the number of attempt numbers used in this epoch, including those of probes.
	attemptCounter uint64
	// pending has the job statuses that the state does not show yet, by job name.
	pending map[string]*pendingJob
	// dirty has the names of jobs whose pending status is to be included in the next write.
	dirty *ring.Ring[string]
	// lastSeq is the sequence number of the latest pending status.
	lastSeq uint64
	write   writeState
	// guaranteeUpdates and healthUpdates have the updates that are not yet recorded in the log,
	// by guarantee name and worker id.
	guaranteeUpdates map[string]state.GuaranteeUpdate
	healthUpdates    map[string]state.WorkerHealth
	// tracker is nil until healthTracker is called for the first time.
	tracker  *scheduler.Health
	backoffs map[string]backoff
	// waiting has the reasons of jobs that are not placed, by job name.
	waiting map[string]scheduler.Waiting
	// changed is set when the input of the scheduler has changed since the last scheduling round.
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

// StepResult is the output of one step, which the caller has to carry out.
type StepResult struct {
	// Ops has the calls to workers. The caller passes the result of each to zone.handleResult.
	Ops []Op
	// Update is the update to write to the log; nil if there is nothing to write now.
	Update *state.ZoneUpdate
	// RecordID is the record id of Update. A write that is repeated under the same id takes
	// effect only once.
	RecordID string
	Events   []Event
	// Exhausted reports whether the epoch has no attempt numbers left.
	Exhausted bool
}

// step updates the zone for the time and the view, and returns what the caller has to do. While the
// leadership is not confirmed, it places no jobs and advances no runs.
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

// pruneBackoffs removes the backoffs of jobs that have ended or were deleted.
func (z *zone) pruneBackoffs() {
	maps.DeleteFunc(z.backoffs, func(name string, _ backoff) bool {
		job, found := z.view.Jobs[name]
		return !found || job.Status.Phase.Terminal()
	})
}

// result returns the collected ops and events, which it clears, and the next write.
func (z *zone) result(now time.Time) StepResult {
	step := StepResult{Ops: z.ops, Events: z.events, Exhausted: z.attemptCounter >= maxCounter}
	z.ops, z.events = nil, nil
	step.Update, step.RecordID = z.nextWrite(now)
	return step
}

// effectiveStatus returns the status of a job, including changes that the state does not show yet.
func (z *zone) effectiveStatus(job *resource.Job) resource.JobStatus {
	if p, found := z.pending[job.Name]; found && p.uid == job.UID && !job.Status.Phase.Terminal() {
		return p.status
	}
	return job.Status
}

// reconcile compares the runs with the jobs: it halts runs that no longer match a job, advances
// probes and preemptions, and adopts attempts that are recorded as running but have no run.
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
			z.stepPreemption(now, r)
		}
	}
	z.preemptOnLeavingWorkers(now)
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

// stepPreemption advances the preemption of a run, if any: the run is halted once its checkpoint is
// complete or the deadline has passed, or at once if it is not running or its job makes no
// checkpoints.
func (z *zone) stepPreemption(now time.Time, r *run) {
	if r.preemption == nil {
		return
	}
	job := z.view.Jobs[r.job]
	if r.Phase() == gang.Running && job.Spec.Checkpointable && now.Before(r.preemption.deadline) {
		r.RequestCheckpoint(now)
		if !r.CheckpointComplete() {
			return
		}
	}
	r.Halt(now, r.preemption.reason)
}

// requestPreemption begins the preemption of a run unless one is in progress.
func (z *zone) requestPreemption(r *run, deadline time.Time, reason string) {
	if r.preemption != nil {
		return
	}
	r.preemption = &preemption{deadline: deadline, reason: reason}
	z.event(Event{Name: EventPreempted, Job: r.job, Reason: reason})
}

// preemptOnLeavingWorkers preempts the running jobs on workers that the platform is about to
// remove. A job that runs at most once keeps running until its worker is gone, because it could
// not start again elsewhere.
func (z *zone) preemptOnLeavingWorkers(now time.Time) {
	if !z.anyLeaving {
		return
	}
	for _, key := range z.runIDs() {
		r := z.runs[key]
		if r.atMostOnce || r.probedWorker != "" || r.preemption != nil || r.Phase() != gang.Running {
			continue
		}
		for _, id := range r.Spec().Workers {
			if w, found := z.workers[id]; found && w.row.State == platform.StateLeaving {
				z.requestPreemption(r, now.Add(z.preemptionTime()), "worker "+id+" is leaving")
				break
			}
		}
	}
}

// preemptionTime returns how long a preempted run may take to complete its checkpoint.
func (z *zone) preemptionTime() time.Duration {
	return time.Duration(z.view.Policy.ReclaimSeconds * float64(time.Second))
}

// schedule runs the scheduler if it is due, and applies its plan. If the zone is lost, it moves
// the zone's work to other zones instead.
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
			z.requestPreemption(current, r.Deadline, r.Reason)
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
		s.Workers = append(s.Workers, z.workerForSnapshot(now, id))
		if accelerators := z.workers[id].orphanAccelerators(); accelerators > 0 {
			s.Orphaned[id] = accelerators
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

// workerForSnapshot returns a worker as the scheduler's input. Unlike worker.schedulerWorker alone,
// it also applies what the health tracker has found: whether the worker is usable and suspect.
func (z *zone) workerForSnapshot(now time.Time, id string) scheduler.Worker {
	w := z.workers[id].schedulerWorker(z.quarantined(id) || !z.healthTracker(now).Usable(id))
	w.Suspect = z.healthTracker(now).Suspect(id)
	return w
}

// withStatus returns the job with its effective status. It returns a copy if that differs from the
// status in the state.
func (z *zone) withStatus(job *resource.Job) *resource.Job {
	if _, found := z.pending[job.Name]; !found {
		return job
	}
	merged := *job
	merged.Status = z.effectiveStatus(job)
	return &merged
}

// queued reports whether the scheduler may place a job now.
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

// mayStartAtMostOnce reports whether a job that runs at most once may be placed: the log, which
// must record its attempt before it starts, is up and contains no attempt of the job.
func (z *zone) mayStartAtMostOnce(job *resource.Job) bool {
	return z.view.LogUp && job.Status.Attempt == 0
}

// addRunning adds a run to the snapshot: as a running job or, if it can no longer continue as one,
// as accelerators in Orphaned, which are in use but by no running job of the snapshot.
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
		Reclaiming:    r.preemption != nil || r.Phase() == gang.Stopping,
	})
}

// applyWaiting replaces the reasons of waiting jobs, and moves or ends jobs that can never run in
// this zone.
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

// waitsForLog reports whether a queued job cannot be placed because its attempt cannot be recorded.
func (z *zone) waitsForLog(job *resource.Job) bool {
	_, busy := z.byJob[job.Name]
	return !busy && !z.view.LogUp && job.Spec.Restart == resource.RestartNever &&
		z.effectiveStatus(job).Phase == resource.PhaseQueued
}

// An attempt number consists of 21 bits for the epoch number, 16 bits for a hash of the leader's id
// and 16 bits for a counter, from high to low. A number of 53 bits is exact in a float64, as which
// many programs decode a number in JSON. Nothing checks that the epoch number fits into 21 bits.
const (
	counterBits = 16
	hashBits    = 16
	maxCounter  = 1<<counterBits - 1
)

// nextAttempt returns an attempt number above newest, the job's newest attempt. It raises the bits
// of the epoch number if that attempt was made in another zone with a higher epoch, or by a leader
// with the same epoch number and a larger hash.
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

// place begins a new attempt of a job on the workers that the scheduler has chosen.
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

// commitRuns queues attempts with complete reservations for the log, and commits those that the
// state shows. If the log is down or does not record an attempt within commitTimeout, the attempt
// is committed in memory, except for a job that runs at most once.
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

// collectCalls adds to z.ops the calls that the gangs of all runs need now.
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

// row returns the worker's latest row of the instance list. For an unknown worker it returns a row
// without an address, so that calls to it fail.
func (z *zone) row(id string) platform.Instance {
	if w, found := z.workers[id]; found {
		return w.row
	}
	return platform.Instance{ID: id, Kind: platform.KindWorker, Zone: z.name}
}

// load returns the number of free accelerators of usable workers and of accelerators that queued
// jobs need.
func (z *zone) load() zoneLoad {
	var load zoneLoad
	for id, w := range z.workers {
		if w.schedulerWorker(z.quarantined(id)).Usable {
			load.free += w.row.Accelerators - w.orphanAccelerators()
		}
	}
	for _, r := range z.runs {
		for _, id := range r.Spec().Workers {
			if w, found := z.workers[id]; found && r.Phase() != gang.Done && w.schedulerWorker(z.quarantined(id)).Usable {
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
