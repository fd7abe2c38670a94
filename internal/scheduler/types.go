// Package scheduler decides which queued jobs start on which workers of one availability zone,
// and which running jobs are asked to stop for them. It does no I/O and reads no clock: a
// decision depends on the snapshot of the zone, the time passed in and what earlier calls have
// learned.
package scheduler

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Worker is one worker of the zone with its capacity.
type Worker struct {
	ID           string
	Rack         string
	Accelerators int
	Cores        int
	MemoryMB     int
	// Usable is false while the worker is unreachable, draining or quarantined.
	Usable bool
	// Suspect is set for a usable worker on which a job has failed since the last success, or
	// which has returned from quarantine and had no success yet. Such a worker is given one new
	// gang at a time, and only if the other workers do not suffice.
	Suspect bool
}

// Running is a job whose members have leases on workers.
type Running struct {
	Job *resource.Job
	// Workers contains the worker id of each member.
	Workers   []string
	StartedAt time.Time
	// CheckpointAge is the run time since the last checkpoint, which is lost if the job stops
	// now.
	CheckpointAge time.Duration
	// Reclaiming is set once the job has been asked to checkpoint and stop.
	Reclaiming bool
	// Reclaimable is Placement.Reclaimable of the placement that started the job. If that is
	// not known, false is safe: the scheduler then decides by start time which jobs a guarantee
	// covers.
	Reclaimable bool
}

// Snapshot is the state of one zone on which a decision is based. The scheduler does not modify
// it.
type Snapshot struct {
	Zone          string
	Workers       []Worker
	Queued        []*resource.Job
	Running       []Running
	Organisations map[string]*resource.Organisation
	Guarantees    []*resource.Guarantee
	Policy        resource.PlacementPolicy
	// Orphaned maps a worker id to the number of its accelerators that are in use, but not by a
	// job in Running: by leases that belong to no run, and by runs that can no longer continue
	// as a running job.
	Orphaned map[string]int
	// Avoid maps the name of a queued job to the ids of the workers on which it has failed. The
	// job is not placed on them again.
	Avoid map[string][]string
}

// Placement is the decision to start a job.
type Placement struct {
	Job *resource.Job
	// Workers contains the worker id of each member.
	Workers []string
	// Reclaimable is true if the job may be stopped for other jobs: it is restartable, and its
	// organisation's guarantee does not cover it.
	Reclaimable bool
}

// Reclaim is the decision to ask a running job to checkpoint and stop so that another job can
// be placed.
type Reclaim struct {
	Job      string
	Deadline time.Time
	// NeededBy is the name of the job that needs the accelerators.
	NeededBy string
	Reason   string
}

// ReasonCode is the reason why a queued job is not placed.
type ReasonCode string

// Reason codes of waiting jobs.
const (
	ReasonQuota       ReasonCode = "quota"
	ReasonAdjacency   ReasonCode = "adjacency"
	ReasonCapacity    ReasonCode = "capacity"
	ReasonReservation ReasonCode = "reservation"
	ReasonBadWorkers  ReasonCode = "bad-workers"
	ReasonReclaiming  ReasonCode = "reclaiming"
	ReasonImpossible  ReasonCode = "impossible"
	// ReasonLogUnavailable is the code of a job that runs at most once and therefore waits
	// until the log, which records its start, is available again.
	ReasonLogUnavailable ReasonCode = "log"
)

// Waiting describes why a queued job is not placed.
type Waiting struct {
	Job     string
	Code    ReasonCode
	Message string
	// Unblock describes what would let the job start.
	Unblock string
}

// GuaranteeResult reports whether a guarantee can be honoured now: whether each of its gangs
// has a place on usable workers that is free or can be reclaimed.
type GuaranteeResult struct {
	Guarantee  string
	Honourable bool
	Reason     string
}

// Plan is the result of one decision.
type Plan struct {
	Placements []Placement
	Reclaims   []Reclaim
	Waiting    []Waiting
	Guarantees []GuaranteeResult
}

// Scheduler decides for one zone. Implementations may carry over learned data, such as errors
// of declared run times by organisation, but do not need it for a valid plan: a new Scheduler
// that is given the same snapshot returns a valid plan too.
type Scheduler interface {
	// Schedule returns the jobs to start and to stop now, and why the other queued jobs wait.
	Schedule(now time.Time, snapshot Snapshot) Plan
	// RecordRunTime records the actual run time of a finished job, from which later run time
	// estimates are derived.
	RecordRunTime(job *resource.Job, ran time.Duration)
	// CheckGuarantee reports whether the candidate could be honoured together with the
	// guarantees in the snapshot. It is called before a guarantee is created.
	CheckGuarantee(snapshot Snapshot, candidate *resource.Guarantee) GuaranteeResult
}
