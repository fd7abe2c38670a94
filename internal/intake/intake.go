// Package intake handles the requests of callers: submission, status and cancellation of jobs. Each
// instance answers from its own local copy of the jobs.
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

// Maximum ages of the local copies of the configuration and of the jobs.
const (
	// maxConfigAge is the age up to which the configuration is used to check keys. It is shorter than
	// the time within which revoked keys must be rejected, to leave time for a read and a response.
	maxConfigAge = 3 * time.Second
	// maxTableAge is the age of the local copy of the jobs up to which a missing job is reported as not
	// existing. The age of an idle copy reaches twice the wait of a read, which is jobsWait of package
	// node, and each instance must know a job within 3 s.
	maxTableAge = 2500 * time.Millisecond
	// maxReadyAge is the age of the configuration up to which the instance reports itself ready. It is
	// shorter than maxConfigAge, so that new connections stop before requests have to be rejected.
	maxReadyAge = 2500 * time.Millisecond
)

// retryAfter is the time after which a caller may retry a request that was not stored.
const retryAfter = time.Second

// Errors of Service.
var (
	// ErrStaleCopy means that the local copy of the configuration or of the jobs is missing or too old.
	ErrStaleCopy = errors.New("intake: local copy missing or too old")
	// ErrNoQueue means that no queue matches the host and path.
	ErrNoQueue = errors.New("intake: no such queue")
	// ErrInvalidKey means that the request has no valid key.
	ErrInvalidKey = errors.New("intake: missing or invalid key")
	// ErrNoJob means that the job does not exist or belongs to another organisation.
	ErrNoJob = errors.New("intake: no such job")
)

// RejectedError means that a job or cancellation was not stored: the request has no effect, now or
// later. The log was unavailable, or it rejected the record.
type RejectedError struct {
	Reason string
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
}

func (e *RejectedError) Error() string { return "intake: request rejected: " + e.Reason }

// AgeReporter is a local copy of a topic that reports its age.
type AgeReporter interface {
	// Age returns the time since the copy was last known to be complete; false if it never was.
	Age() (time.Duration, bool)
}

// Service handles the requests of callers.
type Service struct {
	writer    ledger.Storer
	configAge AgeReporter
	jobsAge   AgeReporter
	logger    *log.Logger
	timeOfDay func() time.Time

	mu            sync.RWMutex
	currentConfig *opconfig.Config
	jobs          *batch.Table
	// unstartedJobs caches the number of jobs of each queue that have no schedule and are still queued.
	// It is nil after a change of jobs, until UnstartedJobs computes it again.
	unstartedJobs map[string]int
	draining      bool

	accepted *metrics.Counter
	rejected *metrics.Counter
	unknown  *metrics.Counter
	latency  *metrics.Histogram
}

// Config configures a Service.
type Config struct {
	// Writer stores jobs and cancellations.
	Writer ledger.Storer
	// ConfigAge and JobsAge report the age of the local copies of the configuration and of the jobs.
	ConfigAge, JobsAge AgeReporter
	// TimeOfDay reads the time of day of this instance, which may be wrong and may jump. Nil means time.Now.
	TimeOfDay func() time.Time
	Metrics   *metrics.Set
	Logger    *log.Logger
}

// New returns a service that rejects requests until SetConfig is called.
func New(cfg Config) *Service {
	if cfg.TimeOfDay == nil {
		cfg.TimeOfDay = time.Now
	}
	return &Service{
		writer: cfg.Writer, configAge: cfg.ConfigAge, jobsAge: cfg.JobsAge, logger: cfg.Logger, timeOfDay: cfg.TimeOfDay,
		jobs:     batch.NewTable(cfg.TimeOfDay),
		accepted: cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="accepted"}`),
		rejected: cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="refused"}`),
		unknown:  cfg.Metrics.GetOrCreateCounter(`oleanderbend_submits_total{outcome="unknown"}`),
		latency:  cfg.Metrics.GetOrCreateHistogram(`oleanderbend_submit_seconds`),
	}
}

// SetConfig puts a configuration into force and returns true, unless a configuration of the same or a
// later version is in force already.
func (s *Service) SetConfig(c *opconfig.Config) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.currentConfig != nil && c.Version <= s.currentConfig.Version {
		return false
	}
	s.currentConfig = c
	return true
}

// CurrentConfig returns the configuration in force, or nil.
func (s *Service) CurrentConfig() *opconfig.Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.currentConfig
}

// Apply applies an update to the local copy of the jobs and returns the ids of the jobs that may have changed.
func (s *Service) Apply(u ledger.Update) []string {
	s.mu.Lock()
	changed, errs := s.jobs.Apply(u)
	s.unstartedJobs = nil
	s.mu.Unlock()
	for _, err := range errs {
		s.logger.Error().Err(err).Msg("job record not decodable, ignored")
	}
	return changed
}

// Snapshot returns copies of the states of the given jobs, without those that do not exist.
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

// SnapshotAll returns copies of the states of all jobs, by id.
func (s *Service) SnapshotAll() map[string]batch.JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	states := make(map[string]batch.JobState)
	s.jobs.ForEach(func(state *batch.JobState) { states[state.Job.ID] = *state })
	return states
}

// Drain makes Ready return false, so that callers move to other instances before this one stops.
func (s *Service) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// Ready reports whether the instance should get new connections.
func (s *Service) Ready() bool {
	s.mu.RLock()
	draining, configured := s.draining, s.currentConfig != nil
	s.mu.RUnlock()
	if draining || !configured {
		return false
	}
	_, synced := s.jobsAge.Age()
	return synced && isFresh(s.configAge, maxReadyAge)
}

// isFresh reports whether a local copy was known to be complete at most maxAge ago.
func isFresh(a AgeReporter, maxAge time.Duration) bool {
	age, ok := a.Age()
	return ok && age <= maxAge
}

// Access is the result of authorizing a request.
type Access struct {
	Queue *opconfig.Queue
	// Org is the organisation that the key belongs to; empty on public queues.
	Org string
	// Version is the version of the configuration that was used.
	Version int64
}

// Authorize finds the queue for a request and checks the key. It returns ErrStaleCopy, ErrNoQueue or
// ErrInvalidKey. An old configuration suffices for a public queue, because there is no key to check.
func (s *Service) Authorize(host, path, key string) (Access, error) {
	config := s.CurrentConfig()
	if config == nil {
		return Access{}, ErrStaleCopy
	}
	fresh := isFresh(s.configAge, maxConfigAge)
	queue := config.Route(host, path)
	if queue == nil {
		if !fresh {
			return Access{}, ErrStaleCopy
		}
		return Access{}, ErrNoQueue
	}
	access := Access{Queue: queue, Version: config.Version}
	if queue.Public {
		return access, nil
	}
	if !fresh {
		return Access{}, ErrStaleCopy
	}
	org, ok := config.OrgOfKey(key)
	if !ok {
		return Access{}, ErrInvalidKey
	}
	access.Org = org
	return access, nil
}

// Submit stores a job. It returns nil once the job is stored, or if a job with its id is known already.
// It returns *RejectedError if the job was not stored and will not run because of this request, an
// error that wraps batch.ErrInvalid if the description is invalid, and ledger.ErrUnknownOutcome if ctx
// ended before the outcome was known.
func (s *Service) Submit(ctx context.Context, access Access, job *batch.Job) error {
	start := time.Now()
	err := s.submit(ctx, access, job)
	s.latency.UpdateDuration(start)
	var rejected *RejectedError
	outcome := "accepted"
	switch {
	case err == nil:
		s.accepted.Inc()
	case errors.As(err, &rejected), errors.Is(err, batch.ErrInvalid):
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
	job.AcceptedMS = s.timeOfDay().UnixMilli()
	record, err := batch.EncodeJob(job)
	if err != nil {
		return err
	}
	err = s.writer.Write(ctx, []ledger.Record{record})
	if errors.Is(err, ledger.ErrUnavailable) || errors.Is(err, ledger.ErrRejected) {
		return &RejectedError{Reason: err.Error(), RetryAfter: retryAfter}
	}
	return err
}

// QueueRulesOf returns the rules of a queue that are stored with its jobs.
func QueueRulesOf(q *opconfig.Queue) batch.QueueRules {
	rules := batch.QueueRules{
		Service: q.Service, Priority: q.Priority, MaxFailedRuns: q.MaxFailedRuns,
		DurationFactor: q.DurationFactor, DurationOffsetMS: q.DurationOffset.Milliseconds(),
	}
	if q.Advice != nil {
		rules.Advice = &batch.AdviceRules{BaseLatency: q.Advice.BaseLatency, LatencyPerWorker: q.Advice.LatencyPerWorker}
	}
	return rules
}

// lookup returns a copy of the state of a job, or nil.
func (s *Service) lookup(id string) *batch.JobState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if state := s.jobs.Get(id); state != nil {
		copied := *state
		return &copied
	}
	return nil
}

// find returns the state of a job that the request may access. It returns ErrNoJob, or ErrStaleCopy if
// the job is missing from the local copy and the copy is too old to conclude that there is no such job.
func (s *Service) find(access Access, id string) (*batch.JobState, error) {
	state := s.lookup(id)
	if state != nil && state.Job.Org == access.Org {
		return state, nil
	}
	if state == nil && !isFresh(s.jobsAge, maxTableAge) {
		return nil, eris.Wrap(ErrStaleCopy, "local copy of the jobs is missing or too old")
	}
	return nil, ErrNoJob
}

// Status returns the phase of a job. It returns ErrNoJob or ErrStaleCopy.
func (s *Service) Status(access Access, id string) (batch.Phase, error) {
	state, err := s.find(access, id)
	if err != nil {
		return "", err
	}
	return state.VisiblePhase(), nil
}

// Cancel stores the cancellation of a job. It returns ErrNoJob, ErrStaleCopy, *RejectedError if the log is
// unavailable, ledger.ErrRejected or ledger.ErrUnknownOutcome. Cancelling a job that has ended has no
// effect.
func (s *Service) Cancel(ctx context.Context, access Access, id string) error {
	state, err := s.find(access, id)
	if err == nil && !state.Cancelled && !state.Phase.Phase.Final() {
		err = s.writer.Write(ctx, []ledger.Record{batch.EncodeCancellation(id)})
		if errors.Is(err, ledger.ErrUnavailable) {
			err = &RejectedError{Reason: err.Error(), RetryAfter: retryAfter}
		}
	}
	s.logger.Info().Str("job", id).Str("queue", access.Queue.Name).Err(err).Msg("cancel")
	return err
}

// UnstartedJobs returns the number of jobs of a queue that have no schedule and are still queued.
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
