// Package intake takes jobs, status requests and cancellations from callers. Every instance
// answers from its own mirror of the table of jobs.
package intake

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
)

// Ages past which an instance no longer relies on its mirrors.
const (
	// maxConfigAge keeps keyed calls within the time in which revoked keys must be refused,
	// with the time of a read and of an answer to spare.
	maxConfigAge = 3 * time.Second
	// maxTableAge is how current the table must be to say that a job does not exist: the age of
	// an idle mirror reaches two waits of a read, and jobs must be known within three seconds.
	maxTableAge = 2500 * time.Millisecond
	// maxReadyAge is the age of the configuration at which the instance asks for no new
	// connections, before calls have to be refused.
	maxReadyAge = 2500 * time.Millisecond
)

// retryAfter is when a caller that was refused for an outage may come back.
const retryAfter = time.Second

// Errors of the intake.
var (
	// ErrNoConfig means that no current configuration is known.
	ErrNoConfig = errors.New("intake: no current configuration")
	// ErrNoQueue means that no queue has the host and path.
	ErrNoQueue = errors.New("intake: no such queue")
	// ErrInvalidKey means that the call has no valid key.
	ErrInvalidKey = errors.New("intake: key not valid")
	// ErrNoJob means that the job does not exist.
	ErrNoJob = errors.New("intake: no such job")
)

// NotAcceptedError means that a job was not accepted and will never run because of this call.
type NotAcceptedError struct {
	Reason string
	// RetryAfter is when the caller may try again.
	RetryAfter time.Duration
}

func (e *NotAcceptedError) Error() string { return "intake: not accepted: " + e.Reason }

// AgeReporter tells the age of a mirror; false if it was never complete.
type AgeReporter interface {
	Age() (time.Duration, bool)
}

// Service answers callers.
type Service struct {
	writer    ledger.Storer
	configAge AgeReporter
	jobsAge   AgeReporter
	logger    *log.Logger
	now       func() time.Time

	mu            sync.RWMutex
	currentConfig *opconfig.Config
	jobs          *batch.Table
	// unstartedJobs counts the jobs without a schedule of each queue that have not begun.
	unstartedJobs map[string]int
	draining      bool

	accepted *metrics.Counter
	rejected *metrics.Counter
	unknown  *metrics.Counter
	latency  *metrics.Histogram
}

// Config describes a service.
type Config struct {
	// Writer stores jobs and cancellations.
	Writer ledger.Storer
	// ConfigAge and JobsAge tell how current the mirrors are.
	ConfigAge, JobsAge AgeReporter
	Metrics            *metrics.Set
	Logger             *log.Logger
}

// New returns a service that refuses calls until it has a configuration.
func New(cfg Config) *Service {
	return &Service{
		writer: cfg.Writer, configAge: cfg.ConfigAge, jobsAge: cfg.JobsAge, logger: cfg.Logger, now: time.Now,
		jobs:     batch.NewTable(),
		accepted: cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="accepted"}`),
		rejected: cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="refused"}`),
		unknown:  cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="unknown"}`),
		latency:  cfg.Metrics.GetOrCreateHistogram(`oleanderbend_submit_seconds`),
	}
}

// SetConfig puts a version in force. Older versions than the one in force are ignored.
func (s *Service) SetConfig(c *opconfig.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentConfig != nil && c.Version <= s.currentConfig.Version {
		return false
	}
	s.currentConfig = c
	return true
}

// CurrentConfig returns the version in force, or nil.
func (s *Service) CurrentConfig() *opconfig.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.currentConfig
}

// Apply takes an update of the table of jobs and returns the ids that it changed.
func (s *Service) Apply(u ledger.Update) []string {
	s.mu.Lock()
	changed, errs := s.jobs.Apply(u)
	s.unstartedJobs = nil
	s.mu.Unlock()
	for _, err := range errs {
		s.logger.Error().Err(err).Msg("record of a job passed over")
	}
	return changed
}

// Snapshot copies the states of the given jobs; those that are gone are left out.
func (s *Service) Snapshot(ids []string) map[string]batch.JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	states := make(map[string]batch.JobState, len(ids))
	for _, id := range ids {
		if state := s.jobs.Get(id); state != nil {
			states[id] = *state
		}
	}
	return states
}

// SnapshotAll copies the states of all jobs.
func (s *Service) SnapshotAll() map[string]batch.JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	states := make(map[string]batch.JobState)
	s.jobs.ForEach(func(state *batch.JobState) { states[state.Job.ID] = *state })
	return states
}

// Drain makes the instance not ready, ahead of a stop.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Ready says whether the instance should get new connections.
func (s *Service) Ready() bool {
	s.mu.RLock()
	draining, known := s.draining, s.currentConfig != nil
	s.mu.RUnlock()
	if draining || !known {
		return false
	}
	_, synced := s.jobsAge.Age()
	return synced && isCurrent(s.configAge, maxReadyAge)
}

func isCurrent(a AgeReporter, limit time.Duration) bool {
	age, ok := a.Age()
	return ok && age <= limit
}

// Access is a call that was let in.
type Access struct {
	Queue   *opconfig.Queue
	Org     string
	Version int64
}

// Authorize finds the queue of a call and checks its key. It returns ErrNoConfig, ErrNoQueue or
// ErrKey.
func (s *Service) Authorize(host, path, key string) (Access, error) {
	config := s.CurrentConfig()
	if config == nil {
		return Access{}, ErrNoConfig
	}
	current := isCurrent(s.configAge, maxConfigAge)
	queue := config.Route(host, path)
	if queue == nil {
		if !current {
			return Access{}, ErrNoConfig
		}
		return Access{}, ErrNoQueue
	}
	access := Access{Queue: queue, Version: config.Version}
	if queue.Public {
		return access, nil
	}
	if !current {
		return Access{}, ErrNoConfig
	}
	org, ok := config.OrgOfKey(key)
	if !ok {
		return Access{}, ErrInvalidKey
	}
	access.Org = org
	return access, nil
}

// Submit stores a job. It returns nil once the job is stored, *NotAcceptedError if it will
// not run because of this call, batch.ErrInvalid, and ledger.ErrUnknownOutcome if ctx ended first.
func (s *Service) Submit(ctx context.Context, access Access, job *batch.Job) error {
	start := time.Now()
	err := s.submit(ctx, access, job)
	s.latency.UpdateDuration(start)
	var refusal *NotAcceptedError
	outcome := "accepted"
	switch {
	case err == nil:
		s.accepted.Inc()
	case errors.As(err, &refusal), errors.Is(err, batch.ErrInvalid):
		s.rejected.Inc()
		outcome = "refused"
	default:
		s.unknown.Inc()
		outcome = "unknown"
	}
	s.logger.Info().Str("job", job.ID).Str("queue", access.Queue.Name).Str("org", access.Org).
		Int64("config", access.Version).Str("outcome", outcome).Dur("took", time.Since(start)).Err(err).Msg("submit")
	return err
}

func (s *Service) submit(ctx context.Context, access Access, job *batch.Job) error {
	if err := job.Validate(); err != nil {
		return err
	}
	if known := s.lookup(job.ID); known != nil {
		return nil
	}
	job.Queue, job.Org = access.Queue.Name, access.Org
	job.Rules = QueueRulesOf(access.Queue)
	job.AcceptedMS = s.now().UnixMilli()
	record, err := batch.JobRecord(job)
	if err != nil {
		return err
	}
	err = s.writer.Write(ctx, []ledger.Record{record})
	if errors.Is(err, ledger.ErrUnavailable) || errors.Is(err, ledger.ErrRejected) {
		return &NotAcceptedError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return err
}

// QueueRulesOf copies the rules of a queue that hold for its jobs.
func QueueRulesOf(q *opconfig.Queue) batch.QueueRules {
	return batch.QueueRules{
		Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts,
		Stretch: q.Stretch, TargetMS: q.Target.Milliseconds(),
	}
}

func (s *Service) lookup(id string) *batch.JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if state := s.jobs.Get(id); state != nil {
		copied := *state
		return &copied
	}
	return nil
}

// find returns a job that a call may see. It returns ErrNoJob, or ErrNoConfig if the table is
// too old to tell.
func (s *Service) find(access Access, id string) (*batch.JobState, error) {
	state := s.lookup(id)
	if state != nil && state.Job.Org == access.Org {
		return state, nil
	}
	if state == nil && !isCurrent(s.jobsAge, maxTableAge) {
		return nil, eris.Wrap(ErrNoConfig, "table of jobs not current")
	}
	return nil, ErrNoJob
}

// Status returns the phase of a job. It returns ErrNoJob or ErrNoConfig.
func (s *Service) Status(access Access, id string) (batch.Phase, error) {
	state, err := s.find(access, id)
	if err != nil {
		return "", err
	}
	return state.VisiblePhase(), nil
}

// Cancel stores the cancellation of a job. It returns ErrNoJob, *NotAcceptedError or
// ledger.ErrUnknownOutcome. Cancelling a finished job changes nothing.
func (s *Service) Cancel(ctx context.Context, access Access, id string) error {
	state, err := s.find(access, id)
	if err == nil && !state.Cancelled && !state.Phase.Phase.Final() {
		err = s.writer.Write(ctx, []ledger.Record{batch.CancelRecord(id)})
		if errors.Is(err, ledger.ErrUnavailable) {
			err = &NotAcceptedError{Reason: err.Error(), RetryAfter: retryAfter}
		}
	}
	s.logger.Info().Str("job", id).Str("queue", access.Queue.Name).Err(err).Msg("cancel")
	return err
}

// UnstartedJobs counts the jobs of a queue that have no schedule and have not begun.
func (s *Service) UnstartedJobs(queue string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unstartedJobs == nil {
		s.unstartedJobs = make(map[string]int)
		s.jobs.ForEach(func(state *batch.JobState) {
			if state.VisiblePhase() == batch.Queued && state.Job.Repeat == 0 {
				s.unstartedJobs[state.Job.Queue]++
			}
		})
	}
	return s.unstartedJobs[queue]
}
