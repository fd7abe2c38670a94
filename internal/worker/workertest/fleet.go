// Package workertest provides an in-memory stand-in of the workers for tests. Each worker checks
// leases on its own clock and can be made to execute commands late. The package records violations of
// the scheduler's invariants: two simultaneous runs of one task, a start after a successful end was
// acknowledged, exceeded capacity, concurrent holders of a machine, and runs lost to maintenance.
package workertest

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Behaviour of the stand-in workers.
const (
	// stopDuration is the time from a stop command to the end of the run.
	stopDuration = 150 * time.Millisecond
	// startupDuration is the startup time of a long-running task.
	startupDuration = 300 * time.Millisecond
	// gangJoinTimeout is how long a member of a gang waits for the other members.
	gangJoinTimeout = 3 * time.Second
	// maxEndsPerResponse is the number of ends that a response to a poll lists.
	maxEndsPerResponse = 500
)

// errConnectionLost means that the connection of a call was to an earlier incarnation of the worker.
var errConnectionLost = errors.New("workertest: connection lost")

// Work describes the course of a run.
type Work struct {
	// Duration is how long the run works.
	Duration time.Duration
	// Fails makes the run end with EndFailed.
	Fails bool
	// GangSize is the number of members that must be present before any of them works; 0 for a
	// single task.
	GangSize int
	// LongRunning runs work until they are stopped, after a short startup. They ignore Duration.
	LongRunning bool
	// GPU is the number of the worker's accelerators that the run uses.
	GPU int64
}

// Influence is how tasks at work on one worker influence each other. Fields may be nil for no influence. The functions are called with
// the fleet's lock held.
type Influence struct {
	// Slowdown returns by what the neighbour multiplies the time of the task's work; 1 for no influence.
	Slowdown func(id, neighbour batch.TaskID) int
	// Tail returns the tail latency in milliseconds of a serving task beside the given neighbours, which have no halted task.
	Tail func(id batch.TaskID, neighbours []batch.TaskID) int64
}

// Fleet is a set of stand-in workers. It implements worker.Client.
type Fleet struct {
	mu      sync.Mutex
	workers map[string]*standinWorker
	random  *rand.Rand
	// workOf returns the work of a task's run. It is called with mu held.
	workOf func(batch.TaskID) Work
	// latency is the time until a command is executed. delayedShare is the share of commands that
	// get no response and are executed later by delay.
	latency      time.Duration
	delayedShare float64
	delay        time.Duration
	// jitter is the upper bound of a random time added to the latency, which lets commands overtake
	// each other. unreachableShare is the share of commands for which no connection can be made.
	jitter           time.Duration
	unreachableShare float64
	// incompleteGangRuns counts the runs that ended because their gang did not become complete.
	incompleteGangRuns int
	// maxLease is the longest lease that workers accept; longer ones are shortened to it. 0 means that there is no limit.
	maxLease time.Duration
	// losesConnections makes polls in progress get no response when their worker restarts.
	losesConnections bool

	// validTickets holds the valid ticket of each step and worker, by "step worker"; nil if no
	// tickets are needed.
	validTickets map[string]string
	// finished holds the tasks with a run that ended with EndDone; acknowledged holds those of them
	// whose end the leader has acknowledged.
	finished, acknowledged map[batch.TaskID]bool
	starts                 map[batch.TaskID]int
	// noStartsAfter is from when a start in a zone is a violation, by zone.
	noStartsAfter map[string]time.Time
	influence     Influence
	// violations describes the violated invariants.
	violations []string
}

type standinWorker struct {
	info    worker.Info
	started time.Time
	// clockRate is the speed of the worker's clock relative to real time. The clock showed info.ClockMS at the start.
	clockRate float64
	// connectedAt is when the first command was sent to this incarnation, 0 if none was.
	connectedAt boottime.Instant
	// partitioned workers receive no commands.
	partitioned bool
	// stalled stops the progress of all runs; slowdown multiplies the time that their work takes.
	stalled  bool
	slowdown time.Duration
	// token is the highest fencing token received.
	token int64
	// leaseExpiryMS is when the lease expires, on the worker's clock.
	leaseExpiryMS int64
	// expiries counts the expirations of the lease; expiredMS is the value of leaseExpiryMS at the
	// last one.
	expiries  int
	expiredMS int64
	runs      map[batch.TaskID]*standinRun
	// endedRun is the highest run number of each task that was stopped or has ended.
	endedRun map[batch.TaskID]int64
	// ends lists the ended runs that are not yet acknowledged.
	ends []worker.End
	// expiriesAtEnd is the value of expiries when a run ended, by the sequence number of the end.
	expiriesAtEnd map[int64]int
	lastSequence  int64
	// changed is closed and replaced when a run ends.
	changed chan struct{}
}

type standinRun struct {
	number  int64
	work    Work
	working bool
	// workedBefore is the time worked before resumedAt, the time of the last start or resumption.
	workedBefore time.Duration
	resumedAt    time.Time
	stalled      bool
	slowdown     time.Duration
	// workDone is set for a gang member that has finished its work and waits for the other members.
	workDone bool
	timer    *time.Timer
	// halted means that the last speed command was 0. It ends the influence on others, not the progress of the run.
	halted bool
}

// stopTimer stops the run's pending timer, if there is one.
func (r *standinRun) stopTimer() {
	if r.timer != nil {
		r.timer.Stop()
	}
}

// progressPercent returns the completed share of the run's work, in percent.
func (r *standinRun) progressPercent() int64 {
	worked := r.workedBefore
	if r.working && !r.stalled && !r.workDone {
		worked += time.Since(r.resumedAt) / r.slowdown
	}
	if r.work.LongRunning {
		return min(100, int64(100*worked/startupDuration))
	}
	if r.work.Duration <= 0 {
		return 100
	}
	return min(100, int64(100*worked/r.work.Duration))
}

// NewFleet returns an empty fleet. The seed determines the injected faults; workOf returns the
// work of a task's run and is called with the fleet's lock held.
func NewFleet(seed uint64, workOf func(batch.TaskID) Work) *Fleet {
	return &Fleet{
		workers: make(map[string]*standinWorker), random: rand.New(rand.NewPCG(seed, 2)), workOf: workOf,
		latency: 3 * time.Millisecond, finished: make(map[batch.TaskID]bool), acknowledged: make(map[batch.TaskID]bool),
		starts: make(map[batch.TaskID]int), noStartsAfter: make(map[string]time.Time),
	}
}

// ForbidStarts makes each start on a worker of a zone after the given time a violation, until AllowStarts is called.
func (f *Fleet) ForbidStarts(zone string, after time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noStartsAfter[zone] = after
}

// AllowStarts ends the effect of ForbidStarts.
func (f *Fleet) AllowStarts(zone string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.noStartsAfter, zone)
}

// SetDelayedCommands makes a share of the commands get no response and be executed after a delay.
func (f *Fleet) SetDelayedCommands(share float64, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delayedShare, f.delay = share, delay
}

// SetNetworkFaults adds a random time of up to jitter to the latency of each command and makes
// connections fail for a share of the commands.
func (f *Fleet) SetNetworkFaults(jitter time.Duration, unreachableShare float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.jitter, f.unreachableShare = jitter, unreachableShare
}

// IncompleteGangRuns returns how many runs ended because their gang did not become complete.
func (f *Fleet) IncompleteGangRuns() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.incompleteGangRuns
}

// SetMaxLease sets the longest lease that workers accept. Longer ones are shortened to it.
func (f *Fleet) SetMaxLease(longest time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxLease = longest
}

// SetLosesConnections determines whether polls in progress get no response when their worker restarts. Otherwise the new
// incarnation responds to them.
func (f *Fleet) SetLosesConnections(loses bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.losesConnections = loses
}

// Add starts a worker, or restarts the worker of the same id as a new incarnation. The worker's
// clock starts at info.ClockMS and runs at clockRate relative to real time. Add returns the registry entry of the worker.
func (f *Fleet) Add(info worker.Info, clockRate float64) worker.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	info.StartedAtMS = time.Now().UnixMilli()
	if info.Address == "" {
		info.Address = info.ID
	}
	if old := f.workers[info.ID]; old != nil {
		old.discardRuns()
		// Tickets are valid for one incarnation.
		maps.DeleteFunc(f.validTickets, func(key, _ string) bool { return strings.HasSuffix(key, " "+info.ID) })
	}
	f.workers[info.ID] = &standinWorker{
		info: info, started: time.Now(), clockRate: clockRate, slowdown: 1, runs: make(map[batch.TaskID]*standinRun),
		endedRun: make(map[batch.TaskID]int64), changed: make(chan struct{}), expiriesAtEnd: make(map[int64]int),
	}
	return info
}

// Remove stops a worker and its runs permanently.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.discardRuns()
		delete(f.workers, id)
	}
}

// Clear removes all workers.
func (f *Fleet) Clear() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, w := range f.workers {
		w.discardRuns()
		delete(f.workers, id)
	}
}

// SetPartitioned disconnects a worker or connects it again. A disconnected worker continues its runs
// until its lease expires.
func (f *Fleet) SetPartitioned(id string, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.partitioned = partitioned
	}
}

// Violations describes the violations of the scheduler's invariants.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// EndAcknowledged reports whether a run of a task has ended with EndDone and the leader has
// acknowledged that end.
func (f *Fleet) EndAcknowledged(id batch.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.acknowledged[id]
}

// Finished reports whether a run of a task has ended with EndDone.
func (f *Fleet) Finished(id batch.TaskID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished[id]
}

// FinishedLocked is Finished for the workOf function, which is called with the fleet's lock held.
func (f *Fleet) FinishedLocked(id batch.TaskID) bool { return f.finished[id] }

// JobCounts returns how often tasks of a job were started, and how many runs of it are in progress.
func (f *Fleet) JobCounts(job string) (starts, runs int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.starts {
		if id.Job == job {
			starts += n
		}
	}
	for _, w := range f.workers {
		f.expireLease(w)
		for id := range w.runs {
			if id.Job == job {
				runs++
			}
		}
	}
	return starts, runs
}

// Entry returns the current registry entry of a worker; false if there is no such worker or it is
// partitioned.
func (f *Fleet) Entry(id string) (worker.Info, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil || w.partitioned {
		return worker.Info{}, false
	}
	info := w.info
	info.ClockMS = w.clockMS()
	return info, true
}

// Starts returns how often a task was started.
func (f *Fleet) Starts(id batch.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts[id]
}

// RunCount returns the number of runs on a worker.
func (f *Fleet) RunCount(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		return len(w.runs)
	}
	return 0
}

// JobsOn returns the number of runs on a worker by job.
func (f *Fleet) JobsOn(id string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	jobs := make(map[string]int)
	if w := f.workers[id]; w != nil {
		for task := range w.runs {
			jobs[task.Job]++
		}
	}
	return jobs
}

// discardRuns removes all runs without reporting their ends, as when the worker's process ends.
func (w *standinWorker) discardRuns() {
	for _, r := range w.runs {
		r.stopTimer()
	}
	w.runs = make(map[batch.TaskID]*standinRun)
}

func (w *standinWorker) clockMS() int64 {
	return w.info.ClockMS + int64(float64(time.Since(w.started).Milliseconds())*w.clockRate)
}

// extendLease extends the lease of a worker to a reading of its clock.
func (f *Fleet) extendLease(w *standinWorker, expiryMS int64) {
	if f.maxLease > 0 {
		expiryMS = min(expiryMS, w.clockMS()+f.maxLease.Milliseconds())
	}
	w.leaseExpiryMS = max(w.leaseExpiryMS, expiryMS)
}

// expireLease ends all runs of a worker if its lease has expired.
func (f *Fleet) expireLease(w *standinWorker) {
	if w.clockMS() <= w.leaseExpiryMS || w.expiredMS == w.leaseExpiryMS {
		return
	}
	w.expiredMS = w.leaseExpiryMS
	w.expiries++
	for id, r := range w.runs {
		f.endRun(w, id, r, worker.EndLeaseExpired)
	}
}

func (f *Fleet) endRun(w *standinWorker, id batch.TaskID, r *standinRun, kind worker.EndKind) {
	if w.runs[id] != r {
		return
	}
	r.stopTimer()
	delete(w.runs, id)
	w.endedRun[id] = max(w.endedRun[id], r.number)
	if kind == worker.EndDone {
		f.finished[id] = true
	}
	w.lastSequence++
	w.expiriesAtEnd[w.lastSequence] = w.expiries
	w.ends = append(w.ends, worker.End{
		Sequence: w.lastSequence, Run: worker.Run{Task: id, Number: r.number}, Kind: kind,
	})
	close(w.changed)
	w.changed = make(chan struct{})
	f.updateProgress(w)
}

// SetInfluence sets how the tasks of one worker influence each other.
func (f *Fleet) SetInfluence(influence Influence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.influence = influence
}

// neighbours returns the other tasks at work beside a run, without halted ones.
func (w *standinWorker) neighbours(id batch.TaskID) []batch.TaskID {
	var others []batch.TaskID
	for other, r := range w.runs {
		if other != id && r.working && !r.halted {
			others = append(others, other)
		}
	}
	return others
}

// slowdownOf returns by what the worker and the neighbours of a run multiply the time of its work.
func (f *Fleet) slowdownOf(w *standinWorker, id batch.TaskID) time.Duration {
	slowdown := w.slowdown
	if f.influence.Slowdown != nil {
		for _, other := range w.neighbours(id) {
			slowdown *= time.Duration(f.influence.Slowdown(id, other))
		}
	}
	return slowdown
}

// deliver executes a command on a worker. If the worker is partitioned or the command is delayed,
// it returns ErrUnknownOutcome when ctx is done; a delayed command is executed after f.delay.
func (f *Fleet) deliver(ctx context.Context, to worker.Endpoint, command func(*standinWorker) error) error {
	latency, connected := f.drawNetworkFaults()
	if !connected {
		return eris.Wrap(worker.ErrUnreachable, "no connection")
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return eris.Wrap(worker.ErrUnknownOutcome, "no response")
	}
	f.mu.Lock()
	w := f.workers[to.ID]
	delayed := f.random.Float64() < f.delayedShare
	if w == nil {
		f.mu.Unlock()
		return eris.Wrap(worker.ErrUnreachable, "connection refused")
	}
	if w.partitioned || delayed {
		if delayed && !w.partitioned {
			time.AfterFunc(f.delay, func() { f.executeDelayed(to, command) })
		}
		f.mu.Unlock()
		<-ctx.Done()
		return eris.Wrap(worker.ErrUnknownOutcome, "no response")
	}
	f.expireLease(w)
	err := command(w)
	f.mu.Unlock()
	return err
}

// drawNetworkFaults draws the latency of a command and whether a connection can be made.
func (f *Fleet) drawNetworkFaults() (latency time.Duration, connected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	latency = f.latency
	if f.jitter > 0 {
		latency += time.Duration(f.random.Int64N(int64(f.jitter)))
	}
	return latency, f.unreachableShare == 0 || f.random.Float64() >= f.unreachableShare
}

func (f *Fleet) executeDelayed(to worker.Endpoint, command func(*standinWorker) error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[to.ID]; w != nil {
		f.expireLease(w)
		_ = command(w) // No response is sent.
	}
}

func rejected(reason worker.RejectReason) error { return &worker.RejectedError{Reason: reason} }

// acceptToken records a fencing token; it returns false if a higher one was received before.
func (w *standinWorker) acceptToken(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// Start implements worker.Client.
func (f *Fleet) Start(ctx context.Context, to worker.Endpoint, cmd worker.StartCommand) (worker.StartResponse, error) {
	response := worker.StartResponse{ConnectedAt: f.connect(to.ID)}
	var clockMS atomic.Int64
	err := f.deliver(ctx, to, func(w *standinWorker) error {
		clockMS.Store(w.clockMS())
		return f.startRun(w, cmd)
	})
	if err == nil {
		response.ClockMS = clockMS.Load()
	}
	return response, err
}

// connect returns when the connection to a worker was made, which is kept until the worker restarts.
func (f *Fleet) connect(id string) boottime.Instant {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return 0
	}
	if w.connectedAt == 0 {
		w.connectedAt = boottime.Now()
	}
	return w.connectedAt
}

func (f *Fleet) startRun(w *standinWorker, cmd worker.StartCommand) error {
	if !w.acceptToken(cmd.Token) {
		return rejected(worker.RejectedStaleToken)
	}
	if r := w.runs[cmd.Task]; r != nil && r.number == cmd.Number {
		f.extendLease(w, cmd.LeaseExpiryMS)
		return nil
	}
	if cmd.Number <= w.endedRun[cmd.Task] {
		f.extendLease(w, cmd.LeaseExpiryMS)
		return rejected(worker.RejectedOldRun)
	}
	if w.clockMS() > cmd.LeaseExpiryMS {
		return rejected(worker.RejectedLeaseExpired)
	}
	if f.validTickets != nil && (cmd.Ticket == "" || f.validTickets[cmd.Task.StepName()+" "+w.info.ID] != cmd.Ticket) {
		return rejected(worker.RejectedTicket)
	}
	f.extendLease(w, cmd.LeaseExpiryMS)
	work := f.workOf(cmd.Task)
	f.recordStartViolations(w, cmd, work)
	r := &standinRun{number: cmd.Number, work: work, stalled: w.stalled, slowdown: w.slowdown}
	w.runs[cmd.Task] = r
	f.starts[cmd.Task]++
	if work.GangSize > 1 {
		r.timer = time.AfterFunc(gangJoinTimeout, func() { f.endIncompleteGangRun(w, cmd.Task, r) })
		f.startGangIfComplete(cmd.Task, cmd.Number, work)
		return nil
	}
	f.beginWork(w, cmd.Task, r)
	return nil
}

// recordStartViolations records the invariants that a start violates.
func (f *Fleet) recordStartViolations(w *standinWorker, cmd worker.StartCommand, work Work) {
	used := work.GPU
	for _, r := range w.runs {
		used += r.work.GPU
	}
	if used > w.info.GPU {
		f.violations = append(f.violations, fmt.Sprintf("capacity exceeded: %s run %d on %s brings the worker to %d of %d accelerators", cmd.Task, cmd.Number, w.info.ID, used, w.info.GPU))
	}
	if limit, forbidden := f.noStartsAfter[w.info.Zone]; forbidden && time.Now().After(limit) {
		f.violations = append(f.violations, fmt.Sprintf("start in an evacuated zone: %s run %d on %s, %v after the bound", cmd.Task, cmd.Number, w.info.ID, time.Since(limit)))
	}
	if f.acknowledged[cmd.Task] {
		f.violations = append(f.violations, fmt.Sprintf("duplicate run: %s run %d started after a successful end was acknowledged", cmd.Task, cmd.Number))
	}
	for id, other := range f.workers {
		f.expireLease(other)
		if other.runs[cmd.Task] != nil {
			f.violations = append(f.violations, fmt.Sprintf("duplicate run: %s run %d started on %s while run %d is on %s",
				cmd.Task, cmd.Number, w.info.ID, other.runs[cmd.Task].number, id))
		}
	}
}

func (f *Fleet) beginWork(w *standinWorker, id batch.TaskID, r *standinRun) {
	r.working = true
	f.resumeWork(w, id, r)
	f.updateProgress(w)
}

// resumeWork lets a run work until its end, unless its worker is stalled.
func (f *Fleet) resumeWork(w *standinWorker, id batch.TaskID, r *standinRun) {
	r.resumedAt = time.Now()
	if r.stalled || r.work.LongRunning {
		return
	}
	kind := worker.EndDone
	if r.work.Fails {
		kind = worker.EndFailed
	}
	r.timer = time.AfterFunc((r.work.Duration-r.workedBefore)*r.slowdown, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.expireLease(w)
		switch {
		case r.work.GangSize <= 1:
			f.endRun(w, id, r, kind)
		case kind == worker.EndFailed:
			f.endRun(w, id, r, kind)
			f.breakGang(id, r.number)
		default:
			f.finishMember(id, r)
		}
	})
}

// finishMember marks the work of a gang member as done and ends the gang once all of its members
// are done.
func (f *Fleet) finishMember(id batch.TaskID, r *standinRun) {
	r.workedBefore, r.workDone = r.work.Duration, true
	done := 0
	f.forEachMember(id, r.number, func(_ *standinWorker, _ batch.TaskID, member *standinRun) {
		if member.workDone {
			done++
		}
	})
	if done < r.work.GangSize {
		return
	}
	f.forEachMember(id, r.number, func(w *standinWorker, task batch.TaskID, member *standinRun) {
		f.endRun(w, task, member, worker.EndDone)
	})
}

// SetStalled stops the progress of all runs on a worker, or resumes it.
func (f *Fleet) SetStalled(id string, stalled bool) {
	f.changeWorker(id, func(w *standinWorker) { w.stalled = stalled })
}

// SetSlowdown makes the work of all runs on a worker take a multiple of its time from now on; 1 is the usual time.
func (f *Fleet) SetSlowdown(id string, factor int) {
	f.changeWorker(id, func(w *standinWorker) { w.slowdown = time.Duration(factor) })
}

// changeWorker changes how the runs on a worker progress from now on.
func (f *Fleet) changeWorker(id string, change func(*standinWorker)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	change(w)
	f.updateProgress(w)
}

// updateProgress lets the runs on a worker progress as the worker and their neighbours determine now.
func (f *Fleet) updateProgress(w *standinWorker) {
	for task, r := range w.runs {
		slowdown := f.slowdownOf(w, task)
		if r.stalled == w.stalled && r.slowdown == slowdown {
			continue
		}
		working := r.working && !r.workDone
		if working && !r.stalled {
			r.workedBefore += time.Since(r.resumedAt) / r.slowdown
			r.stopTimer()
		}
		r.stalled, r.slowdown = w.stalled, slowdown
		if working {
			f.resumeWork(w, task, r)
		}
	}
}

// sameGang reports whether two tasks belong to the same step of the same occurrence.
func sameGang(a, b batch.TaskID) bool {
	return a.Job == b.Job && a.Occurrence == b.Occurrence && a.Step == b.Step
}

// forEachMember calls visit for each present member of the gang's run with the given number.
func (f *Fleet) forEachMember(id batch.TaskID, number int64, visit func(*standinWorker, batch.TaskID, *standinRun)) {
	for _, w := range f.workers {
		for other, r := range w.runs {
			if sameGang(id, other) && r.number == number {
				visit(w, other, r)
			}
		}
	}
}

// startGangIfComplete lets all members of a gang begin their work if all of them are present.
func (f *Fleet) startGangIfComplete(id batch.TaskID, number int64, work Work) {
	present := 0
	f.forEachMember(id, number, func(*standinWorker, batch.TaskID, *standinRun) { present++ })
	if present < work.GangSize {
		return
	}
	f.forEachMember(id, number, func(w *standinWorker, member batch.TaskID, r *standinRun) {
		r.timer.Stop()
		f.beginWork(w, member, r)
	})
}

func (f *Fleet) endIncompleteGangRun(w *standinWorker, id batch.TaskID, r *standinRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !r.working && w.runs[id] == r {
		f.incompleteGangRuns++
		f.endRun(w, id, r, worker.EndGangIncomplete)
	}
}

// breakGang ends the present members of a gang because another member failed or was stopped.
func (f *Fleet) breakGang(id batch.TaskID, number int64) {
	f.forEachMember(id, number, func(w *standinWorker, member batch.TaskID, r *standinRun) {
		f.endRun(w, member, r, worker.EndGangBroken)
	})
}

// Stop implements worker.Client.
func (f *Fleet) Stop(ctx context.Context, to worker.Endpoint, r worker.Run, token int64) error {
	return f.deliver(ctx, to, func(w *standinWorker) error {
		if !w.acceptToken(token) {
			return rejected(worker.RejectedStaleToken)
		}
		present := w.runs[r.Task]
		if present == nil || present.number != r.Number {
			w.endedRun[r.Task] = max(w.endedRun[r.Task], r.Number)
			return nil
		}
		time.AfterFunc(stopDuration, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.endRun(w, r.Task, present, worker.EndStopped)
			if present.work.GangSize > 1 {
				f.breakGang(r.Task, r.Number)
			}
		})
		return nil
	})
}

// CloseConnections implements worker.Client.
func (f *Fleet) CloseConnections(string) {}

// SetSpeed implements worker.Client. It checks the token. Only the speed 0 has an effect; see Influence.
func (f *Fleet) SetSpeed(ctx context.Context, to worker.Endpoint, run worker.Run, percent int, token int64) error {
	return f.deliver(ctx, to, func(w *standinWorker) error {
		if !w.acceptToken(token) {
			return rejected(worker.RejectedStaleToken)
		}
		if r := w.runs[run.Task]; r != nil && r.number == run.Number {
			r.halted = percent == 0
			f.updateProgress(w)
		}
		return nil
	})
}

// Poll implements worker.Client.
func (f *Fleet) Poll(ctx context.Context, to worker.Endpoint, cmd worker.PollCommand) (worker.PollResponse, error) {
	connectedAt := f.connect(to.ID)
	var changed chan struct{}
	var asked *standinWorker
	err := f.deliver(ctx, to, func(w *standinWorker) error {
		asked = w
		if !w.acceptToken(cmd.Token) {
			return rejected(worker.RejectedStaleToken)
		}
		f.extendLease(w, cmd.LeaseExpiryMS)
		f.acknowledge(w, cmd.AcknowledgedThrough)
		changed = w.changed
		return nil
	})
	if err != nil {
		return worker.PollResponse{}, err
	}
	select {
	case <-changed:
	case <-time.After(cmd.Wait):
	case <-ctx.Done():
		return worker.PollResponse{}, eris.Wrap(worker.ErrUnknownOutcome, "no response")
	}
	var response worker.PollResponse
	err = f.deliver(ctx, to, func(w *standinWorker) error {
		if f.losesConnections && w != asked {
			return errConnectionLost
		}
		response = f.pollResponse(w)
		response.ConnectedAt = connectedAt
		return nil
	})
	if errors.Is(err, errConnectionLost) {
		// The peer does not know of the connection and sends nothing.
		<-ctx.Done()
		err = eris.Wrap(worker.ErrUnknownOutcome, "no response")
	}
	if err != nil {
		// A delayed command still writes into response after this return.
		return worker.PollResponse{}, err
	}
	return response, nil
}

// acknowledge discards the ends up to a sequence number. A successful end counts as acknowledged only
// if the lease did not expire between the end and its acknowledgement: once it has expired, the task may
// have been started on another worker.
func (f *Fleet) acknowledge(w *standinWorker, through int64) {
	remaining := w.ends[:0]
	for _, e := range w.ends {
		if e.Sequence > through {
			remaining = append(remaining, e)
			continue
		}
		if e.Kind == worker.EndDone && w.expiriesAtEnd[e.Sequence] == w.expiries {
			f.acknowledged[e.Task] = true
		}
	}
	w.ends = slices.Clone(remaining)
}

func (f *Fleet) pollResponse(w *standinWorker) worker.PollResponse {
	response := worker.PollResponse{ClockMS: w.clockMS(), StartedAtMS: w.info.StartedAtMS}
	response.Ended = slices.Clone(w.ends[:min(len(w.ends), maxEndsPerResponse)])
	response.EndsTruncated = len(response.Ended) == maxEndsPerResponse
	for id, r := range w.runs {
		status := worker.RunStatus{Run: worker.Run{Task: id, Number: r.number}, Percent: r.progressPercent()}
		if f.influence.Tail != nil {
			status.Usage = f.influence.Tail(id, w.neighbours(id))
		}
		response.Running = append(response.Running, status)
	}
	return response
}
