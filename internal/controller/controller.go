package controller

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Jobs is the local copy of the table of jobs.
type Jobs interface {
	// Snapshot returns the states of the given jobs by job ID, without those that do not exist.
	Snapshot(ids []string) map[string]batch.JobState
	// SnapshotAll returns the states of all jobs, by job ID.
	SnapshotAll() map[string]batch.JobState
}

// Timing holds the timing rules of workers and jobs that the controller relies on.
type Timing struct {
	// MaxLease is the longest lease that workers accept.
	MaxLease time.Duration
	// HeartbeatInterval is the time between two updates of a worker's registry entry.
	HeartbeatInterval time.Duration
	// FinishedJobRetention is how long callers can query the state of a finished job.
	FinishedJobRetention time.Duration
	// HolderChangeInterval is the minimum time between commands of two different holders
	// (instances) for one machine.
	HolderChangeInterval time.Duration
	// EvacuationBound is the longest time from the evacuation of a zone to the last start of a task there. If it is 0,
	// starts do not depend on the age of Config.Evacuations.
	EvacuationBound time.Duration
}

// Config holds the settings and dependencies of a controller.
type Config struct {
	Log     ledger.Log
	Workers worker.Client
	// Advisor and Machines are optional and may be nil.
	Advisor  worker.Advisor
	Machines worker.Machines
	Jobs     Jobs
	// JobsPosition returns the position in the jobs topic up to which Jobs is current.
	JobsPosition func() int64
	// OperatorConfig returns the operator's configuration, or nil if none is known yet. Waves
	// returns the maintenance waves.
	OperatorConfig func() *opconfig.Config
	Waves          func() []worker.Wave
	// Evacuations returns the evacuated zones. Nil means that no zone is ever evacuated.
	Evacuations func() evacuation.Copy
	// WorkersTopic is the topic of the workers' registry entries; DecodeWorker decodes its records.
	WorkersTopic string
	DecodeWorker func(ledger.Record) (worker.Info, error)
	// StatusTopic is the topic for the records that WaveStatus creates.
	StatusTopic string
	WaveStatus  func(wave int64, completed bool) ledger.Record
	// Holder is the name of this instance in maintenance requests for machines.
	Holder string
	Timing Timing
	// TimeOfDay reads the time of day of this instance, which may be wrong and may jump. Nil means time.Now.
	TimeOfDay func() time.Time
	Metrics   *metrics.Set
	Logger    *log.Logger
}

// Controller schedules jobs while this instance is the leader.
type Controller struct {
	cfg       Config
	timeOfDay *cautiousTimeOfDay

	mu      sync.Mutex
	changed map[string]bool
	wake    chan struct{}
	leading bool
	// current is the state of the term, nil before it has been taken over.
	current *leader

	// decide computes the plan of a round.
	decide func(planner.Snapshot) (planner.Plan, *planner.Failure)

	// explaining means that a call of Explain is in progress.
	explaining atomic.Bool
	// terms is the number of terms whose goroutine has not ended, including those that Lead has abandoned.
	terms atomic.Int32

	metrics controllerMetrics
}

// controllerMetrics are the controller's metrics.
type controllerMetrics struct {
	starts, stops, polls, runsDone, runsNotDone, skippedEntries, panics, excludedUnits, evacuationStops, rejectedWrites *metrics.Counter
	planTime, startDelay                                                                                                *metrics.Histogram
	turns                                                                                                               turnMetrics
	// knownSpeeds is the number of workers of known speed, slowerWorkers that of those among them that are too slow for
	// the tightest objective.
	knownSpeeds, slowerWorkers *metrics.Gauge
	// waiting is the number of steps that wait, as of the last planning round.
	waiting  map[planner.WaitReason]*metrics.Gauge
	losses   lossMetrics
	stranded strandedMetrics
	// conflicts counts the pairs of kinds of work that are kept apart.
	conflicts conflictMetrics
}

// New returns a controller. Lead runs it for one leadership term.
func New(cfg Config) *Controller {
	set := cfg.Metrics
	if cfg.TimeOfDay == nil {
		cfg.TimeOfDay = time.Now
	}
	if cfg.Evacuations == nil {
		cfg.Evacuations = func() evacuation.Copy { return evacuation.Copy{} }
	}
	c := &Controller{
		cfg: cfg, timeOfDay: newCautiousTimeOfDay(cfg.TimeOfDay, cfg.Logger), changed: make(map[string]bool), wake: make(chan struct{}, 1), decide: planner.TryDecide,
		metrics: controllerMetrics{
			starts:          set.GetOrCreateCounter(`oleanderbend_orders_total{order="start"}`),
			stops:           set.GetOrCreateCounter(`oleanderbend_orders_total{order="stop"}`),
			polls:           set.GetOrCreateCounter(`oleanderbend_orders_total{order="hold"}`),
			runsDone:        set.GetOrCreateCounter(`oleanderbend_ends_total{kind="done"}`),
			runsNotDone:     set.GetOrCreateCounter(`oleanderbend_ends_total{kind="other"}`),
			skippedEntries:  set.GetOrCreateCounter(`oleanderbend_registry_entries_skipped_total`),
			panics:          set.GetOrCreateCounter(`oleanderbend_terms_ended_by_panic_total`),
			excludedUnits:   set.GetOrCreateCounter(`oleanderbend_units_excluded_after_panic_total`),
			evacuationStops: set.GetOrCreateCounter(`oleanderbend_runs_stopped_by_evacuation_total`),
			rejectedWrites:  set.GetOrCreateCounter(`oleanderbend_rejected_writes_total`),
			planTime:        set.GetOrCreateHistogram(`oleanderbend_plan_seconds`),
			startDelay:      set.GetOrCreateHistogram(`oleanderbend_start_delay_seconds`),
			turns:           newTurnMetrics(set),
			knownSpeeds:     set.GetOrCreateGauge(`oleanderbend_workers_of_known_speed`, nil),
			slowerWorkers:   set.GetOrCreateGauge(`oleanderbend_workers_too_slow_for_tightest_objective`, nil),
			waiting:         newWaitGauges(set),
			losses:          newLossMetrics(set),
			stranded:        newStrandedMetrics(set),
			conflicts:       newConflictMetrics(set),
		},
	}
	set.GetOrCreateGauge(`oleanderbend_leader_longest_turn_seconds`, c.metrics.turns.longestSeconds)
	return c
}

// JobsChanged reports that the given jobs have changed in the local copy of the table. It does not
// block.
func (c *Controller) JobsChanged(ids []string) {
	c.mu.Lock()
	if c.leading {
		for _, id := range ids {
			c.changed[id] = true
		}
	}
	c.mu.Unlock()
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Controller) setLeading(leading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leading = leading
	c.changed = make(map[string]bool)
}

func (c *Controller) takeChanged() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.changed))
	for id := range c.changed {
		ids = append(ids, id)
	}
	clear(c.changed)
	return ids
}

// Lead schedules jobs until ctx is done, the leadership term has ended, or the leader makes no progress (maxTurn).
func (c *Controller) Lead(ctx context.Context, term election.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setLeading(true)
	defer c.setLeading(false)
	defer c.metrics.setWaiting(nil)
	defer c.metrics.conflicts.inForce.Set(0)
	l := newLeader(ctx, c, cancel, term)
	c.metrics.turns.reset()
	defer c.setCurrent(nil)
	ended := make(chan struct{})
	c.terms.Add(1)
	go func() {
		defer close(ended)
		defer c.terms.Add(-1)
		c.runTerm(l)
	}()
	l.awaitEnd(ended)
}

// runTerm takes over and handles the events of the term until it ends.
func (c *Controller) runTerm(l *leader) {
	// The state in memory may be inconsistent after a panic. The next term begins with what is stored.
	defer func() {
		if p := recover(); p != nil {
			c.metrics.panics.Inc()
			c.cfg.Logger.Error().Int64("epoch", l.term.Epoch).Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("term ended by a panic")
		}
	}()
	if err := l.takeOver(); err != nil {
		c.cfg.Logger.Warn().Err(err).Int64("epoch", l.term.Epoch).Msg("takeover failed")
		return
	}
	c.setCurrent(l)
	l.run()
}

// Idle reports whether no term is being worked on. While it is false after the end of a term, the instance must not claim
// leadership again: the leader of that term still handles the event for which it was abandoned.
func (c *Controller) Idle() bool { return c.terms.Load() == 0 }
