package resource

// PolicySpec holds the parameters of admission, dispatch and placement. A parameter with the zero
// value has its default.
type PolicySpec struct {
	Admission AdmissionPolicy `json:"admission" toml:"admission"`
	Dispatch  DispatchPolicy  `json:"dispatch" toml:"dispatch"`
	Placement PlacementPolicy `json:"placement" toml:"placement"`
}

// AdmissionPolicy configures the request queues of an instance.
type AdmissionPolicy struct {
	// QueueLimit is the maximum number of requests that one instance queues; default 4096.
	QueueLimit int `json:"queueLimit,omitempty" toml:"queue_limit"`
	// CallerQueueLimit is the maximum number of queued requests per caller at one instance;
	// default 256.
	CallerQueueLimit int `json:"callerQueueLimit,omitempty" toml:"caller_queue_limit"`
	// KindWeights holds the weight of each kind of work, which determines its share of dispatches
	// under contention; default 1 each.
	KindWeights map[string]float64 `json:"kindWeights,omitempty" toml:"kind_weights"`
	// DefaultDeadlineMs is the deadline in milliseconds of requests that specify none; default
	// 30000.
	DefaultDeadlineMs int `json:"defaultDeadlineMs,omitempty" toml:"default_deadline_ms"`
}

// DispatchPolicy configures the choice of targets and the retries.
type DispatchPolicy struct {
	// RetryBudget is the maximum number of retries as a fraction of the first attempts; default
	// 0.08.
	RetryBudget float64 `json:"retryBudget,omitempty" toml:"retry_budget"`
	// EjectAfterFailures is the number of consecutive failures after which a target is ejected;
	// default 5.
	EjectAfterFailures int `json:"ejectAfterFailures,omitempty" toml:"eject_after_failures"`
	// EjectSeconds is the duration of a target's first ejection, before random variation; default
	// 5. Later ejections are longer.
	EjectSeconds float64 `json:"ejectSeconds,omitempty" toml:"eject_seconds"`
}

// PlacementPolicy configures the placement of jobs.
type PlacementPolicy struct {
	// ReclaimSeconds is the time that a preempted job has to write a checkpoint before it is
	// stopped; default 5.
	ReclaimSeconds float64 `json:"reclaimSeconds,omitempty" toml:"reclaim_seconds"`
	// UrgentAtMost is the urgency value up to which jobs count as urgent; 0 is the most urgent. nil
	// means the default 1, since 0 is valid.
	UrgentAtMost *int `json:"urgentAtMost,omitempty" toml:"urgent_at_most"`
	// QuarantineAfterJobs is the number of distinct jobs that must fail on a worker before it is
	// quarantined; default 3.
	QuarantineAfterJobs int `json:"quarantineAfterJobs,omitempty" toml:"quarantine_after_jobs"`
	// MaxFailures is the number of failed attempts on distinct workers after which a job has
	// failed; default 3.
	MaxFailures int `json:"maxFailures,omitempty" toml:"max_failures"`
}

// DefaultPolicyName is the name of the policy that is in force. Other policies have no effect.
const DefaultPolicyName = "default"

// Defaults of the policy parameters.
const (
	DefaultQueueLimit          = 4096
	DefaultCallerQueueLimit    = 256
	DefaultDeadlineMs          = 30_000
	DefaultRetryBudget         = 0.08
	DefaultEjectAfterFailures  = 5
	DefaultEjectSeconds        = 5
	DefaultReclaimSeconds      = 5
	DefaultUrgentAtMost        = 1
	DefaultQuarantineAfterJobs = 3
	DefaultMaxFailures         = 3
)

// WithDefaults returns a copy of the policy in which each parameter with the zero value has its
// default.
func (p PolicySpec) WithDefaults() PolicySpec {
	setDefault(&p.Admission.QueueLimit, DefaultQueueLimit)
	setDefault(&p.Admission.CallerQueueLimit, DefaultCallerQueueLimit)
	setDefault(&p.Admission.DefaultDeadlineMs, DefaultDeadlineMs)
	setDefault(&p.Dispatch.RetryBudget, DefaultRetryBudget)
	setDefault(&p.Dispatch.EjectAfterFailures, DefaultEjectAfterFailures)
	setDefault(&p.Dispatch.EjectSeconds, DefaultEjectSeconds)
	setDefault(&p.Placement.ReclaimSeconds, DefaultReclaimSeconds)
	setDefault(&p.Placement.QuarantineAfterJobs, DefaultQuarantineAfterJobs)
	setDefault(&p.Placement.MaxFailures, DefaultMaxFailures)
	if p.Placement.UrgentAtMost == nil {
		urgent := DefaultUrgentAtMost
		p.Placement.UrgentAtMost = &urgent
	}
	return p
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}
