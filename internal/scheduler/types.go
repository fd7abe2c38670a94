// Package scheduler decides where jobs run. It is pure: a snapshot of one availability zone
// and the time go in, a plan comes out.
package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Worker is one worker of the zone.
type Worker struct {
	ID           string
	Rack         string
	Accelerators int
	Cores        int
	MemoryMB     int
	// Usable is false while the worker is silent, leaving or quarantined.
	Usable bool
	// Suspect is set for a usable worker on which starts have failed lately. It takes one new
	// gang at a time, and only if other workers do not suffice.
	Suspect bool
}

// Running is a job whose members hold leases.
type Running struct {
	Job *resource.Job
	// Workers has the worker id of each member.
	Workers   []string
	StartedAt time.Time
	// CheckpointAge is the work that would be lost by stopping now.
	CheckpointAge time.Duration
	// Reclaiming is set when the job has been asked to checkpoint and stop.
	Reclaiming bool
	// Reclaimable is the value of the placement that started the job. If it is not known,
	// false is safe: the plan then decides by age which jobs a guarantee covers.
	Reclaimable bool
}

// Snapshot is the state of one zone that a decision is made on. The scheduler does not
// modify it.
type Snapshot struct {
	Zone          string
	Workers       []Worker
	Queued        []*resource.Job
	Running       []Running
	Organisations map[string]*resource.Organisation
	Guarantees    []*resource.Guarantee
	Policy        resource.PlacementPolicy
	// Orphaned has accelerators that are in use by leases of no known job, by worker id.
	Orphaned map[string]int
	// Avoid has the workers on which a queued job has failed, by job name. The job is not
	// placed there again.
	Avoid map[string][]string
}

// Placement starts a job.
type Placement struct {
	Job *resource.Job
	// Workers has the worker id of each member.
	Workers []string
	// Reclaimable is true if the job goes beyond its organisation's unused guarantee.
	Reclaimable bool
}

// Reclaim asks a running job to checkpoint and stop, so that others can be placed.
type Reclaim struct {
	Job      string
	Deadline time.Time
	// NeededBy names the job or guarantee that needs the accelerators.
	NeededBy string
	Reason   string
}

// ReasonCode says why a queued job is not placed.
type ReasonCode string

// Reason codes.
const (
	ReasonQuota       ReasonCode = "quota"
	ReasonAdjacency   ReasonCode = "adjacency"
	ReasonCapacity    ReasonCode = "capacity"
	ReasonReservation ReasonCode = "reservation"
	ReasonBadWorkers  ReasonCode = "bad-workers"
	ReasonReclaiming  ReasonCode = "reclaiming"
	ReasonImpossible  ReasonCode = "impossible"
	// ReasonLogUnavailable is a job that runs at most once and waits for the log to be back.
	ReasonLogUnavailable ReasonCode = "log"
)

// Waiting says why a queued job is not placed and what would free it.
type Waiting struct {
	Job     string
	Code    ReasonCode
	Message string
	// Unblock says what would let the job start.
	Unblock string
}

// GuaranteeResult says whether a guarantee can be honoured now.
type GuaranteeResult struct {
	Guarantee  string
	Honourable bool
	Reason     string
}

// Plan is the outcome of one decision.
type Plan struct {
	Placements []Placement
	Reclaims   []Reclaim
	Waiting    []Waiting
	Guarantees []GuaranteeResult
}

// Scheduler decides for one zone. Implementations keep only what they learned, such as
// run-time errors by organisation; a new one with the same snapshot is always valid.
type Scheduler interface {
	// Schedule returns what to do now.
	Schedule(now time.Time, snapshot Snapshot) Plan
	// RecordRunTime reports how long a job really ran, for learning.
	RecordRunTime(job *resource.Job, ran time.Duration)
	// CheckGuarantee reports whether the guarantee could be honoured together with those of
	// the snapshot, for admission at creation.
	CheckGuarantee(snapshot Snapshot, candidate *resource.Guarantee) GuaranteeResult
}
