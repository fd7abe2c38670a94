// Package platform defines the interfaces to the platform: its log, its list of instances,
// its workers and its targets. Wire forms are in docs/platform.md; package httpclient
// implements the interfaces over HTTP.
package platform

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"time"
)

// Offset is the position of an entry in the log. The first entry has offset 1.
type Offset uint64

// Entry is one entry of the log.
type Entry struct {
	Offset Offset `json:"offset"`
	Data   []byte `json:"data"`
}

// Batch is the answer to a read of the log.
type Batch struct {
	Entries []Entry `json:"entries"`
	// Oldest is the offset of the oldest retained entry, or Next if none is retained.
	Oldest Offset `json:"oldest"`
	// Next is the offset that the next append will get.
	Next Offset `json:"next"`
	// RetentionSeconds is how long the log keeps an entry.
	RetentionSeconds float64 `json:"retentionSeconds"`
}

// Errors of the platform. Implementations wrap them.
var (
	// ErrUnavailable means that the operation certainly had no effect.
	ErrUnavailable = errors.New("platform: unavailable, no effect")
	// ErrUnknownOutcome means that the operation may or may not have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrExpired means that the offset asked for is older than the oldest retained entry.
	ErrExpired = errors.New("platform: offset expired")
	// ErrStaleEpoch means that a worker has seen a newer epoch of its zone's leader.
	ErrStaleEpoch = errors.New("platform: stale epoch")
	// ErrNoCapacity means that a worker has too few free accelerators.
	ErrNoCapacity = errors.New("platform: no capacity")
	// ErrNoLease means that the worker holds no such lease.
	ErrNoLease = errors.New("platform: no such lease")
	// ErrTooLarge means that an entry exceeds MaxEntryBytes.
	ErrTooLarge = errors.New("platform: entry too large")
)

// MaxEntryBytes is the size limit of one log entry.
const MaxEntryBytes = 256 << 10

// Log is the platform's append-only log.
type Log interface {
	// Append adds an entry. It returns ErrUnavailable if the entry was certainly not added,
	// ErrUnknownOutcome if it may have been.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit entries from offset from on. If there is none yet, it waits up
	// to wait for one. It returns ErrExpired, with Batch.Oldest set, if from is no longer kept.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceKind tells what an instance does.
type InstanceKind string

// Kinds of instance.
const (
	KindEntry  InstanceKind = "entry"
	KindTarget InstanceKind = "target"
	KindWorker InstanceKind = "worker"
)

// InstanceState is the life-cycle state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID    string        `json:"id"`
	Kind  InstanceKind  `json:"kind"`
	State InstanceState `json:"state"`
	// Addr is IP:port.
	Addr   string `json:"addr"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	// Rack, Cores, MemoryMB and Accelerators describe a worker.
	Rack         string `json:"rack,omitempty"`
	Cores        int    `json:"cores,omitempty"`
	MemoryMB     int    `json:"memoryMB,omitempty"`
	Accelerators int    `json:"accelerators,omitempty"`
	// Slots and Connections are the limits of a target.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
}

// Instances is the platform's list of instances. It lags behind the truth.
type Instances interface {
	List(ctx context.Context) ([]Instance, error)
}

// Epoch identifies one term of a zone's leader. Workers refuse calls with an epoch older
// than the newest they have seen.
type Epoch struct {
	Number uint64 `json:"number"`
	// Holder is the leader's instance id. It orders provisional epochs of equal number.
	Holder string `json:"holder"`
}

// Compare returns -1, 0 or +1 as e is older than, equal to or newer than f.
func (e Epoch) Compare(f Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, f.Number), cmp.Compare(e.Holder, f.Holder))
}

// LeaseID identifies a lease of one member of one attempt of a job.
type LeaseID struct {
	JobUID  string `json:"jobUID"`
	Attempt uint64 `json:"attempt"`
	Member  int    `json:"member"`
}

// LeaseState is the state of a lease at its worker.
type LeaseState string

// States of a lease.
const (
	// LeaseReserved holds accelerators; nothing runs.
	LeaseReserved LeaseState = "reserved"
	// LeaseRunning means that the task may run until the lease expires.
	LeaseRunning LeaseState = "running"
	// LeaseSucceeded and LeaseFailed keep the task's result until it is released.
	LeaseSucceeded LeaseState = "succeeded"
	LeaseFailed    LeaseState = "failed"
	// LeaseStopped means that the task was stopped or its lease expired; kept until released.
	LeaseStopped LeaseState = "stopped"
)

// Active reports whether a lease in this state holds accelerators.
func (s LeaseState) Active() bool { return s == LeaseReserved || s == LeaseRunning }

// TaskSpec is what a worker needs to run one member of a gang.
type TaskSpec struct {
	Organisation string `json:"organisation"`
	JobName      string `json:"jobName"`
	// Members is the size of the gang.
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Payload      string `json:"payload,omitempty"`
	// Reclaimable marks work beyond its organisation's guarantee.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// Checkpoint is the checkpoint to resume from, empty for a start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Lease is one row of a worker's lease list.
type Lease struct {
	ID    LeaseID    `json:"id"`
	State LeaseState `json:"state"`
	// Task is set in lists only. Answers to other calls leave it out, because it would be most
	// of the bytes of a renewal.
	Task TaskSpec `json:"task,omitzero"`
	// ExpiresInSeconds is the remaining time of an active lease on the worker's clock.
	ExpiresInSeconds float64 `json:"expiresInSeconds,omitempty"`
	// RanSeconds is how long the task has run in this attempt.
	RanSeconds float64 `json:"ranSeconds,omitempty"`
	// Checkpoint is the last complete checkpoint of this member, empty if none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// CheckpointAgeSeconds is the age of that checkpoint.
	CheckpointAgeSeconds float64 `json:"checkpointAgeSeconds,omitempty"`
	// Throttled reports whether the task runs at reduced speed.
	Throttled bool `json:"throttled,omitempty"`
	// Reason says why a task failed or stopped.
	Reason string `json:"reason,omitempty"`
}

// Usage is a lagging report of what one task uses.
type Usage struct {
	ID       LeaseID `json:"id"`
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memoryMB"`
	// AgeSeconds is how old the report is.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ReserveRequest asks a worker to hold accelerators for members of one attempt.
type ReserveRequest struct {
	Epoch Epoch `json:"epoch"`
	// Leases are reserved all or none.
	Leases     []LeaseID `json:"leases"`
	Task       TaskSpec  `json:"task"`
	TTLSeconds float64   `json:"ttlSeconds"`
}

// LeaseRequest names leases of one worker. TTLSeconds is used by start and renew.
type LeaseRequest struct {
	Epoch      Epoch     `json:"epoch"`
	Leases     []LeaseID `json:"leases"`
	TTLSeconds float64   `json:"ttlSeconds,omitempty"`
	// Throttle is the speed between 0 (exclusive) and 1 (full speed), used by throttle.
	Throttle float64 `json:"throttle,omitempty"`
	// Reason is recorded with a stop.
	Reason string `json:"reason,omitempty"`
}

// LeaseResult is the outcome for one lease of a LeaseRequest.
type LeaseResult struct {
	ID LeaseID `json:"id"`
	// Known is false if the worker holds no such lease, and then the rest is empty.
	Known bool  `json:"known"`
	Lease Lease `json:"lease"`
}

// Workers runs tasks under leases. Each call names the worker by its row of the instance
// list. Each call carries the epoch of the caller and fails with ErrStaleEpoch if the worker
// has seen a newer one. Calls are idempotent: a repeated call has the effect of one.
type Workers interface {
	// Leases lists all leases, and raises the worker's epoch to the caller's.
	Leases(ctx context.Context, worker Instance, epoch Epoch) ([]Lease, error)
	// Reserve holds accelerators for all leases of the request or, with ErrNoCapacity, for none.
	Reserve(ctx context.Context, worker Instance, req ReserveRequest) error
	// Start runs reserved tasks. A lease that is not reserved or running is reported as it is.
	Start(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Renew extends running leases and reports their state.
	Renew(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Checkpoint asks tasks to write a checkpoint; Lease.Checkpoint shows when it is complete.
	Checkpoint(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Throttle sets the speed of tasks.
	Throttle(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Stop ends tasks or reservations at once.
	Stop(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Release forgets leases that hold no accelerators any more. Active leases are unchanged.
	Release(ctx context.Context, worker Instance, req LeaseRequest) error
	// Usage reports what running tasks use, with a lag.
	Usage(ctx context.Context, worker Instance) ([]Usage, error)
}

// Headers of the protocol between callers, gateway and targets.
const (
	HeaderOrganisation = "Oleanderbend-Organisation"
	HeaderCaller       = "Oleanderbend-Caller"
	HeaderKind         = "Oleanderbend-Kind"
	HeaderDeadlineMs   = "Oleanderbend-Deadline-Ms"
	HeaderIdempotent   = "Oleanderbend-Idempotent"
	HeaderRequestID    = "Oleanderbend-Request-Id"
	// HeaderAttemptID is unique to one attempt of a request. A target that echoes it lets the
	// gateway tell the answer of one attempt from that of another.
	HeaderAttemptID = "Oleanderbend-Attempt-Id"
	HeaderOutcome   = "Oleanderbend-Outcome"
	// HeaderNotStarted is set to "true" by a target that refused a request without starting it.
	HeaderNotStarted = "Oleanderbend-Not-Started"
	// HeaderLeaving is set to "true" on answers of a target that is about to leave.
	HeaderLeaving        = "Oleanderbend-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
)

// Targets sends requests to targets.
type Targets interface {
	// RoundTrip sends one request to a target and returns the answer's head. It makes one attempt.
	RoundTrip(target Instance, req *http.Request) (*http.Response, error)
}
