package controller

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/forecast"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// inboxCapacity limits the results of calls that wait for the goroutine that owns the state.
	// post blocks while the inbox is full.
	inboxCapacity = 1024
	// tickInterval is how often timeouts and due occurrences are checked.
	tickInterval = 50 * time.Millisecond
	// minPlanInterval is the minimum time between two planning rounds, so that one round handles a
	// whole burst of events.
	minPlanInterval = 15 * time.Millisecond
	// planPauseFactor limits the share of time spent on planning to a quarter: after a round, the next one
	// waits at least this many times the duration of the round, but at most maxPlanPause.
	planPauseFactor = 3
	// maxPlanPause limits the pause because the duration of a round includes the time in which other goroutines
	// use the processor, and urgent jobs have a second or two in all.
	maxPlanPause = 60 * time.Millisecond
	// replanInterval is how often units that could not be placed are tried again when no event
	// triggers a planning round.
	replanInterval = 250 * time.Millisecond
	// writeQueueLimit limits the writes queued for the log. All runs of a fleet may end at once,
	// when their leases expire, with one write each; the limit is more than twice the runs of 3,000
	// workers with 8 accelerators each.
	writeQueueLimit = 1 << 16
	// producer is the producer name in the leader's appends. Their epoch is that of the term.
	producer = "scheduler"
	// workersReadWait is how long a read of the workers' entries waits for new records.
	workersReadWait = time.Second
	// jobsCatchUpInterval is how often a takeover checks whether the local copy of the jobs is
	// current.
	jobsCatchUpInterval = 5 * time.Millisecond
	// takeoverRetryInterval is the pause before a failed step of a takeover is retried.
	takeoverRetryInterval = 50 * time.Millisecond
)

// leader is the state of one leadership term. Only the goroutine that runs it may use it, except
// where noted.
type leader struct {
	c      *Controller
	ctx    context.Context
	cancel context.CancelFunc
	term   election.Term
	logger *log.Logger

	// inbox receives functions that apply the results of calls. Any goroutine may call post.
	inbox      chan func()
	taskWriter *ledger.Writer
	jobWriter  *ledger.Writer
	// waveWriter stores the reports of maintenance waves, in the order of their creation.
	waveWriter *ledger.Writer
	// speedWriter stores the speeds of workers.
	speedWriter *ledger.Writer
	// overflow holds, in their order, the writes that did not fit into the queue of a writer.
	overflow map[*ledger.Writer][]queuedWrite

	jobs map[string]*job
	// active holds the jobs that activeJobs returns, and some that have become inactive since its last call.
	active  []*job
	workers map[string]*workerState
	// registryRead means that the registry of workers has been read in this term.
	registryRead bool

	// skippedEntries holds why the last registry entry of a key was skipped, by key.
	skippedEntries map[string]string

	// firstPolls is the number of first polls in flight, queuedPolls are the workers whose first poll waits for them.
	firstPolls  int
	queuedPolls []*workerState
	// peaks is the recent usage of accelerators by the queues of priority 0.
	peaks planner.HeadroomTracker
	// repeats tracks the repeated preemptions of the last seconds.
	repeats planner.RepeatTracker

	rounds roundStats
	// strandedAt is when the stranded capacity was last computed.
	strandedAt time.Time
	// leasesExtended means that the leases have been extended since the log began to fail.
	leasesExtended bool
	// speeds holds the speeds of the workers of each service, storedSpeeds what earlier leaders have stored of
	// workers that are not registered yet.
	speeds       map[string]*serviceSpeeds
	storedSpeeds map[string]forecast.StoredSpeed
	// durations is how long the work of each queue takes.
	durations forecast.Durations
	// slowCheckedAt is when updateSlowWorkers last compared the workers.
	slowCheckedAt boottime.Instant
	planDue       bool
	// planInterval is the minimum time from lastPlanAt to the next planning round. planTimerSet
	// means that a timer will wake the leader at the end of that time.
	planInterval      time.Duration
	planTimerSet      bool
	lastPlanAt        boottime.Instant
	takeoverStartedAt boottime.Instant
	lastCleanupAt     boottime.Instant
	// nextCreating is the index in active of the job with which createAllDueOccurrences begins.
	nextCreating int
	// unitsLeft is the number of waiting units that the last planning round did not consider; see job.roundUnits.
	unitsLeft     int
	nextUnitID    int
	nextRunSerial int64
	// adviceInFlight means that a call to the advice service is in flight, adviceByAge that the next one goes to
	// the unit whose last call is the longest ago.
	adviceInFlight, adviceByAge bool
	maintenance                 *maintenanceState
	evacuation                  evacuationState
	interference                interferenceState
}

func newLeader(ctx context.Context, c *Controller, cancel context.CancelFunc, term election.Term) *leader {
	l := &leader{
		c: c, ctx: ctx, cancel: cancel, term: term, logger: c.cfg.Logger,
		inbox: make(chan func(), inboxCapacity),
		jobs:  make(map[string]*job), workers: make(map[string]*workerState), skippedEntries: make(map[string]string),
		maintenance: newMaintenanceState(), interference: interferenceState{services: make(map[string]*serviceInterference)},
		overflow: make(map[*ledger.Writer][]queuedWrite), speeds: make(map[string]*serviceSpeeds), storedSpeeds: make(map[string]forecast.StoredSpeed),
	}
	l.taskWriter = l.newWriter(batch.TasksTopic)
	l.jobWriter = l.newWriter(batch.JobsTopic)
	l.waveWriter = l.newWriter(l.c.cfg.StatusTopic)
	l.speedWriter = l.newWriter(forecast.Topic)
	return l
}

func (l *leader) newWriter(topic string) *ledger.Writer {
	return ledger.NewWriter(ledger.WriterConfig{
		Log: l.c.cfg.Log, Topic: topic, Producer: producer, Epoch: l.term.Epoch, RetryUntilStored: true, QueueLimit: writeQueueLimit,
		Logger: l.logger,
	})
}

// post passes a function to the goroutine that owns the state. It drops the function if the term
// has ended.
func (l *leader) post(f func()) {
	select {
	case l.inbox <- f:
	case <-l.ctx.Done():
	}
}

// stepDown ends the term. Only the first reason is logged: all queued writes may fail for the same
// cause.
func (l *leader) stepDown(reason string) {
	if l.ctx.Err() != nil {
		return
	}
	l.logger.Warn().Str("reason", reason).Int64("epoch", l.term.Epoch).Msg("stepping down")
	l.cancel()
}

// takeOver fences previous leaders out of the topics of tasks and jobs, reads the state that they
// stored and determines which workers may have runs. It does not fence them out of StatusTopic: the
// log rejects their reports of maintenance waves only from the first append of waveWriter on.
func (l *leader) takeOver() error {
	l.takeoverStartedAt = boottime.Now()
	if _, err := l.fence(l.taskWriter); err != nil {
		return err
	}
	end, err := l.fence(l.jobWriter)
	if err != nil {
		return err
	}
	records, err := l.readTasks()
	if err != nil {
		return err
	}
	for l.c.cfg.JobsPosition() < end {
		if l.ctx.Err() != nil {
			return l.ctx.Err()
		}
		boottime.Sleep(l.ctx, jobsCatchUpInterval)
	}
	for _, state := range l.c.cfg.Jobs.SnapshotAll() {
		l.loadJob(state, records[state.Job.ID])
	}
	l.logger.Info().Int64("epoch", l.term.Epoch).Int("jobs", len(l.jobs)).Int("jobs_with_tasks", len(records)).
		Int("workers", len(l.workers)).Dur("took", boottime.Since(l.takeoverStartedAt)).Msg("took over")
	return nil
}

// fence fences previous leaders out of the topic of a writer and returns the end of the topic. It
// retries until it succeeds, this leader is fenced itself, or the term ends.
func (l *leader) fence(w *ledger.Writer) (int64, error) {
	for {
		end, err := w.Fence(l.ctx)
		if err == nil || errors.Is(err, ledger.ErrFenced) {
			return end, err
		}
		if err := l.waitBeforeRetry(err); err != nil {
			return 0, err
		}
	}
}

func (l *leader) readTasks() (map[string]taskRecords, error) {
	scan := ledger.NewScan(l.c.cfg.Log, batch.TasksTopic)
	for done := false; !done; {
		var err error
		if done, err = scan.Step(l.ctx); err != nil {
			if err := l.waitBeforeRetry(err); err != nil {
				return nil, err
			}
		}
	}
	records := make(map[string]taskRecords)
	for _, entry := range scan.Entries {
		id, record, err := batch.DecodeTask(entry)
		if err != nil {
			l.logger.Error().Err(err).Str("key", entry.Key).Msg("skipping task record that cannot be decoded")
			continue
		}
		if records[id.Job] == nil {
			records[id.Job] = make(taskRecords)
		}
		records[id.Job][id] = record
	}
	return records, nil
}

// waitBeforeRetry waits before a retry, or returns an error if the term has ended.
func (l *leader) waitBeforeRetry(cause error) error {
	select {
	case <-l.ctx.Done():
		return eris.Wrap(l.ctx.Err(), cause.Error())
	case <-time.After(takeoverRetryInterval):
	}
	if !l.term.Valid() {
		return eris.Wrap(cause, "the term is no longer valid")
	}
	return nil
}

// run handles all events of the term until it ends. It is the only user of the state.
func (l *leader) run() {
	go func() {
		if err := l.speedWriter.Run(l.ctx); err != nil {
			// The speeds of workers are not needed to go on; a newer leader also fences the other writers.
			l.logger.Warn().Err(err).Msg("speeds of workers are no longer stored in this term")
		}
	}()
	for _, w := range []*ledger.Writer{l.taskWriter, l.jobWriter, l.waveWriter} {
		go func() {
			if err := w.Run(l.ctx); err != nil {
				l.post(func() { l.stepDown(err.Error()) })
			}
		}()
	}
	var workers *ledger.Follower
	workers = ledger.NewFollower(ledger.FollowerConfig{
		Log: l.c.cfg.Log, Topic: l.c.cfg.WorkersTopic, Wait: workersReadWait,
		Pause: func() time.Duration { return workersReadPause },
		Apply: func(u ledger.Update) {
			// The copy was complete when the read before this one was sent, so the records are newer.
			writtenAfter := boottime.Instant(0)
			if age, ok := workers.Age(); ok {
				writtenAfter = boottime.Now().Add(-age)
			}
			l.post(func() { l.applyWorkers(u, writtenAfter) })
		},
		Logger: l.logger,
	})
	go workers.Run(l.ctx)
	go l.restoreSpeeds()
	l.pollAll()
	l.planDue = true
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case f := <-l.inbox:
			l.turn(f)
		case <-l.c.wake:
			l.turn(func() { l.applyJobs(l.c.takeChanged()) })
		case <-ticker.C:
			l.turn(l.tick)
		}
	}
}

// handleQueuedResults handles all queued results, so that one planning round takes all of them into
// account.
func (l *leader) handleQueuedResults() {
	for range inboxCapacity {
		select {
		case f := <-l.inbox:
			f()
		default:
			return
		}
	}
}

func (l *leader) planIfDue() {
	if !l.planDue || !l.term.Valid() {
		return
	}
	if wait := l.planInterval - boottime.Since(l.lastPlanAt); wait > 0 {
		if !l.planTimerSet {
			l.planTimerSet = true
			time.AfterFunc(wait, func() { l.post(func() { l.planTimerSet = false }) })
		}
		return
	}
	l.planDue = false
	started := boottime.Now()
	l.plan()
	l.lastPlanAt = boottime.Now()
	l.planInterval = planPause(l.lastPlanAt.Sub(started))
}

// planPause returns the minimum time from the end of a planning round to the next one.
func planPause(round time.Duration) time.Duration {
	return min(max(minPlanInterval, planPauseFactor*round), maxPlanPause)
}

// tick checks timeouts, due occurrences and maintenance waves, requests advice, makes a planning
// round due if tasks wait, and cleans up.
func (l *leader) tick() {
	now := boottime.Now()
	l.queueOverflow()
	l.updateEvacuations()
	for _, ws := range l.workers {
		l.checkWorker(ws, now)
	}
	l.extendLeasesOnce(now)
	l.logRounds(now)
	l.updateSlowWorkers(now)
	l.updateConflicts(now)
	l.createAllDueOccurrences()
	l.checkWaves()
	l.requestAdvice()
	if l.unitsLeft > 0 || (boottime.Since(l.lastPlanAt) > replanInterval && l.hasWaiting()) {
		l.planDue = true
	}
	if boottime.Since(l.lastCleanupAt) > cleanupInterval {
		l.lastCleanupAt = now
		l.cleanUp()
	}
}
