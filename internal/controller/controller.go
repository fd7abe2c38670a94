// Package controller drives the workers while this instance leads: it places waiting tasks,
// holds the leases of what runs, stores progress, and takes over what an earlier leader left.
//
// One goroutine owns all state of a term. Calls run in goroutines of their own and hand their
// outcomes back through a bounded channel.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Jobs is the mirror of the table of jobs.
type Jobs interface {
	Snapshot(ids []string) map[string]batch.JobState
	SnapshotAll() map[string]batch.JobState
}

// Timing are the timing rules of workers and jobs that the controller relies on.
type Timing struct {
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// HeartbeatInterval is the time between two entries of a worker.
	HeartbeatInterval time.Duration
	// FinishedJobRetention is how long the state of a finished job can be asked for.
	FinishedJobRetention time.Duration
	// HolderChangeInterval is the least time between orders of two holders for one machine.
	HolderChangeInterval time.Duration
}

// Config describes a controller.
type Config struct {
	Log     ledger.Log
	Workers worker.Client
	// Advisor and Machines may be nil.
	Advisor  worker.Advisor
	Machines worker.Machines
	Jobs     Jobs
	// JobsPosition is how far the mirror of the table of jobs is.
	JobsPosition func() int64
	// OperatorConfig returns the operator's configuration, or nil, Waves the waves of upkeep.
	OperatorConfig func() *opconfig.Config
	Waves          func() []worker.Wave
	// WorkersTopic holds the workers' entries, which DecodeWorker reads.
	WorkersTopic string
	DecodeWorker func(ledger.Record) (worker.Info, error)
	// StatusTopic takes the records that WaveStatus makes.
	StatusTopic string
	WaveStatus  func(wave int64, completed bool) ledger.Record
	// Holder names this instance in orders for machines.
	Holder  string
	Timing  Timing
	Metrics *metrics.Set
	Logger  *log.Logger
}

// Controller schedules while this instance leads.
type Controller struct {
	cfg Config

	mu      sync.Mutex
	changed map[string]bool
	wake    chan struct{}
	leading bool

	metrics counters
}

// counters are the controller's metrics.
type counters struct {
	starts, stops, polls, runsDone, runsNotDone *metrics.Counter
	planTime, startDelay                        *metrics.Histogram
}

// New returns a controller; Lead runs it for one term.
func New(cfg Config) *Controller {
	set := cfg.Metrics
	return &Controller{
		cfg: cfg, changed: make(map[string]bool), wake: make(chan struct{}, 1),
		metrics: counters{
			starts:      set.GetOrCreateCounter(`oleanderbend_orders_total{order="start"}`),
			stops:       set.GetOrCreateCounter(`oleanderbend_orders_total{order="stop"}`),
			polls:       set.GetOrCreateCounter(`oleanderbend_orders_total{order="hold"}`),
			runsDone:    set.GetOrCreateCounter(`oleanderbend_ends_total{kind="done"}`),
			runsNotDone: set.GetOrCreateCounter(`oleanderbend_ends_total{kind="other"}`),
			planTime:    set.GetOrCreateHistogram(`oleanderbend_plan_seconds`),
			startDelay:  set.GetOrCreateHistogram(`oleanderbend_start_delay_seconds`),
		},
	}
}

// JobsChanged tells of jobs that the mirror has changed. It does not block.
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

// Lead schedules until ctx is done or the term is lost.
func (c *Controller) Lead(ctx context.Context, term election.Term) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setLeading(true)
	defer c.setLeading(false)
	l := newLeader(ctx, c, cancel, term)
	if err := l.takeOver(); err != nil {
		c.cfg.Logger.Warn().Err(err).Int64("epoch", term.Epoch).Msg("takeover failed")
		return
	}
	l.run()
}
