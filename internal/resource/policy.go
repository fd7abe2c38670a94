package resource

// PolicySpec holds the knobs of all decisions. A zero value of a knob means its default.
type PolicySpec struct {
	Admission AdmissionPolicy `json:"admission" toml:"admission"`
	Dispatch  DispatchPolicy  `json:"dispatch" toml:"dispatch"`
	Placement PlacementPolicy `json:"placement" toml:"placement"`
}

// AdmissionPolicy governs the queues of requests at an instance.
type AdmissionPolicy struct {
	// QueueLimit is the most requests that one instance queues; default 4096.
	QueueLimit int `json:"queueLimit,omitempty" toml:"queue_limit"`
	// CallerQueueLimit is the most requests queued of one caller at one instance; default 256.
	CallerQueueLimit int `json:"callerQueueLimit,omitempty" toml:"caller_queue_limit"`
	// KindWeights gives kinds of work their share of dispatches under contention; default 1 each.
	KindWeights map[string]float64 `json:"kindWeights,omitempty" toml:"kind_weights"`
	// DefaultDeadlineMs applies to requests without a deadline; default 30000.
	DefaultDeadlineMs int `json:"defaultDeadlineMs,omitempty" toml:"default_deadline_ms"`
}

// DispatchPolicy governs the choice of targets and retries.
type DispatchPolicy struct {
	// RetryBudget is the most retries as a share of first attempts; default 0.08.
	RetryBudget float64 `json:"retryBudget,omitempty" toml:"retry_budget"`
	// EjectAfterFailures is how many failures in a row take a target out; default 5.
	EjectAfterFailures int `json:"ejectAfterFailures,omitempty" toml:"eject_after_failures"`
	// EjectSeconds is how long a target is first taken out; default 5.
	EjectSeconds float64 `json:"ejectSeconds,omitempty" toml:"eject_seconds"`
}

// PlacementPolicy governs the placement of jobs.
type PlacementPolicy struct {
	// ReclaimSeconds is the deadline of a reclaimed job's checkpoint before it is stopped; default 5.
	ReclaimSeconds float64 `json:"reclaimSeconds,omitempty" toml:"reclaim_seconds"`
	// UrgentAtMost is the largest urgency value that counts as urgent; default 1.
	UrgentAtMost *int `json:"urgentAtMost,omitempty" toml:"urgent_at_most"`
	// QuarantineAfterJobs is how many distinct jobs must fail on a worker before it is taken out; default 3.
	QuarantineAfterJobs int `json:"quarantineAfterJobs,omitempty" toml:"quarantine_after_jobs"`
	// MaxFailures is how many failed attempts on distinct workers end a job as failed; default 3.
	MaxFailures int `json:"maxFailures,omitempty" toml:"max_failures"`
}

// DefaultPolicyName names the policy that is in force.
const DefaultPolicyName = "default"

// Defaults of the knobs.
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

// WithDefaults returns the policy with each zero knob replaced by its default.
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
