// Package platform defines the interfaces to the platform: its log, its list of instances,
// its workers and its targets. docs/platform.md specifies the wire format; package httpclient
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

// Batch is the response to a read of the log.
type Batch struct {
	Entries []Entry `json:"entries"`
	// Oldest is the offset of the oldest retained entry, or Next if none is retained.
	Oldest Offset `json:"oldest"`
	// Next is the offset of the next entry to be appended.
	Next Offset `json:"next"`
	// RetentionSeconds is how long the log retains an entry.
	RetentionSeconds float64 `json:"retentionSeconds"`
}

// Errors of the platform. Implementations return errors that wrap them.
var (
	// ErrUnavailable means that the operation certainly had no effect.
	ErrUnavailable = errors.New("platform: unavailable, no effect")
	// ErrUnknownOutcome means that the operation may or may not have taken effect.
	ErrUnknownOutcome = errors.New("platform: outcome unknown")
	// ErrExpired means that the requested offset is older than the oldest retained entry.
	ErrExpired = errors.New("platform: offset expired")
	// ErrStaleEpoch means that the worker has already received a newer epoch of its zone's leader.
	ErrStaleEpoch = errors.New("platform: stale epoch")
	// ErrNoCapacity means that the worker has too few free accelerators.
	ErrNoCapacity = errors.New("platform: no capacity")
	// ErrNoLease means that the worker has no such lease.
	ErrNoLease = errors.New("platform: no such lease")
	// ErrTooLarge means that an entry exceeds MaxEntryBytes.
	ErrTooLarge = errors.New("platform: entry too large")
)

// MaxEntryBytes is the size limit of one log entry.
const MaxEntryBytes = 256 << 10

// Log is the platform's append-only log.
type Log interface {
	// Append adds an entry and returns its offset. It returns ErrTooLarge if data exceeds
	// MaxEntryBytes, ErrUnavailable if the entry was certainly not added, and ErrUnknownOutcome
	// if it may have been added.
	Append(ctx context.Context, data []byte) (Offset, error)
	// Read returns up to limit entries, starting at offset from. If there is none yet, it waits
	// at most wait for one. It returns ErrExpired, with Batch.Oldest set, if the entry at from is
	// no longer retained.
	Read(ctx context.Context, from Offset, limit int, wait time.Duration) (Batch, error)
}

// InstanceKind is the role of an instance.
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

// Instance is one row of the platform's list of instances.
type Instance struct {
	ID    string        `json:"id"`
	Kind  InstanceKind  `json:"kind"`
	State InstanceState `json:"state"`
	// Addr is the IP:port at which the instance accepts connections.
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

// Instances is the platform's list of instances. Changes appear in it with a delay.
type Instances interface {
	// List returns all rows of the list.
	List(ctx context.Context) ([]Instance, error)
}

// Epoch identifies one term of a zone's leader. A worker rejects calls with an epoch older than
// the newest one it has received.
type Epoch struct {
	Number uint64 `json:"number"`
	// Holder is the instance id of the leader. It orders provisional epochs with the same number.
	Holder string `json:"holder"`
}

// Compare returns -1 if e is older than f, 0 if they are equal and +1 if e is newer.
func (e Epoch) Compare(f Epoch) int {
	return cmp.Or(cmp.Compare(e.Number, f.Number), cmp.Compare(e.Holder, f.Holder))
}

// LeaseID identifies the lease of one member in one attempt of a job.
type LeaseID struct {
	JobUID  string `json:"jobUID"`
	Attempt uint64 `json:"attempt"`
	Member  int    `json:"member"`
}

// LeaseState is the state of a lease at its worker.
type LeaseState string

// States of a lease.
const (
	// LeaseReserved means that accelerators are reserved but no task runs.
	LeaseReserved LeaseState = "reserved"
	// LeaseRunning means that the task may run until the lease expires.
	LeaseRunning LeaseState = "running"
	// LeaseSucceeded and LeaseFailed are the task's result. The worker retains it until the lease
	// is released.
	LeaseSucceeded LeaseState = "succeeded"
	LeaseFailed    LeaseState = "failed"
	// LeaseStopped means that the task was stopped or its lease expired. The worker retains the
	// lease until it is released.
	LeaseStopped LeaseState = "stopped"
)

// Active reports whether a lease in this state occupies accelerators.
func (s LeaseState) Active() bool { return s == LeaseReserved || s == LeaseRunning }

// TaskSpec describes the task that a worker runs for one member of a gang.
type TaskSpec struct {
	Organisation string `json:"organisation"`
	JobName      string `json:"jobName"`
	// Members is the size of the gang.
	Members      int    `json:"members"`
	Accelerators int    `json:"accelerators"`
	Cores        int    `json:"cores"`
	MemoryMB     int    `json:"memoryMB"`
	Payload      string `json:"payload,omitempty"`
	// Reclaimable is true if the job runs beyond its organisation's guarantee, so that its capacity
	// can be reclaimed.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// Checkpoint is the checkpoint to resume from; empty to start from the beginning.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Lease is one row of a worker's lease list.
type Lease struct {
	ID    LeaseID    `json:"id"`
	State LeaseState `json:"state"`
	// Task is set only in the response of Workers.Leases. Other responses omit it, because it would
	// be most of the bytes of a renewal.
	Task TaskSpec `json:"task,omitzero"`
	// ExpiresInSeconds is the remaining time of an active lease by the worker's clock.
	ExpiresInSeconds float64 `json:"expiresInSeconds,omitempty"`
	// RanSeconds is the run time of the task in this attempt.
	RanSeconds float64 `json:"ranSeconds,omitempty"`
	// Checkpoint is the last complete checkpoint of this member; empty if there is none.
	Checkpoint string `json:"checkpoint,omitempty"`
	// CheckpointAgeSeconds is the age of that checkpoint.
	CheckpointAgeSeconds float64 `json:"checkpointAgeSeconds,omitempty"`
	// Throttled reports whether the task runs at reduced speed.
	Throttled bool `json:"throttled,omitempty"`
	// Reason is why the task failed or was stopped.
	Reason string `json:"reason,omitempty"`
}

// Usage is a delayed report of the resources that one task uses.
type Usage struct {
	ID       LeaseID `json:"id"`
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memoryMB"`
	// AgeSeconds is the age of the report.
	AgeSeconds float64 `json:"ageSeconds"`
}

// ReserveRequest asks a worker to reserve accelerators for members of one attempt of a job.
type ReserveRequest struct {
	Epoch Epoch `json:"epoch"`
	// Leases are the leases to reserve: all of them or none.
	Leases     []LeaseID `json:"leases"`
	Task       TaskSpec  `json:"task"`
	TTLSeconds float64   `json:"ttlSeconds"`
}

// LeaseRequest is the argument of an operation on leases of one worker. Start and Renew use
// TTLSeconds.
type LeaseRequest struct {
	Epoch      Epoch     `json:"epoch"`
	Leases     []LeaseID `json:"leases"`
	TTLSeconds float64   `json:"ttlSeconds,omitempty"`
	// Throttle is the speed, greater than 0 and at most 1 (full speed). Workers.Throttle uses it.
	Throttle float64 `json:"throttle,omitempty"`
	// Reason is why the tasks are stopped. Stop records it.
	Reason string `json:"reason,omitempty"`
}

// LeaseResult is the outcome for one lease of a LeaseRequest.
type LeaseResult struct {
	ID LeaseID `json:"id"`
	// Known is false if the worker has no such lease; Lease is then empty.
	Known bool  `json:"known"`
	Lease Lease `json:"lease"`
}

// Workers calls workers, which run tasks under leases. The worker argument is the worker's row of
// the instance list. Each call except Usage carries the epoch of the caller and returns
// ErrStaleEpoch if the worker has received a newer one. Calls are idempotent: repeating one has no further effect.
type Workers interface {
	// Leases returns all leases of the worker, and raises the worker's epoch to the caller's.
	Leases(ctx context.Context, worker Instance, epoch Epoch) ([]Lease, error)
	// Reserve reserves accelerators for all leases of the request. If the worker has too few, it
	// reserves none and returns ErrNoCapacity.
	Reserve(ctx context.Context, worker Instance, req ReserveRequest) error
	// Start runs the tasks of reserved leases. A lease in a state other than reserved or running is
	// left unchanged and its state returned.
	Start(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Renew extends running leases and returns their state.
	Renew(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Checkpoint requests tasks to write a checkpoint, which Lease.Checkpoint names once it is
	// complete.
	Checkpoint(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Throttle sets the speed of tasks.
	Throttle(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Stop ends tasks and reservations immediately.
	Stop(ctx context.Context, worker Instance, req LeaseRequest) ([]LeaseResult, error)
	// Release deletes leases that are no longer active. Active leases are unchanged.
	Release(ctx context.Context, worker Instance, req LeaseRequest) error
	// Usage returns delayed reports of the resources that running tasks use.
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
	// HeaderAttemptID is unique to one attempt of a request. If a target echoes it, the gateway can
	// match a response to the attempt it belongs to.
	HeaderAttemptID = "Oleanderbend-Attempt-Id"
	HeaderOutcome   = "Oleanderbend-Outcome"
	// HeaderNotStarted is set to "true" by a target that rejected a request without starting it.
	HeaderNotStarted = "Oleanderbend-Not-Started"
	// HeaderLeaving is set to "true" in responses of a target that is about to leave.
	HeaderLeaving        = "Oleanderbend-Leaving"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderPriority       = "Priority"
)

// Targets sends requests to targets.
type Targets interface {
	// RoundTrip sends a request to a target, without retries, and returns the response as soon as
	// its header has arrived.
	RoundTrip(target Instance, req *http.Request) (*http.Response, error)
}
