// Package resource defines the kinds of resources of the resource API, with their specs, statuses
// and validation.
package resource

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Kind is a kind of resource. Its value is the path segment of the kind in the API.
type Kind string

// Kinds of resource.
const (
	KindJob          Kind = "jobs"
	KindGuarantee    Kind = "guarantees"
	KindOrganisation Kind = "organisations"
	KindPolicy       Kind = "policies"
)

// Kinds returns all kinds in a fixed order.
func Kinds() []Kind { return []Kind{KindOrganisation, KindGuarantee, KindPolicy, KindJob} }

// ErrUnknownKind is returned for a kind that is not in the API.
var ErrUnknownKind = errors.New("resource: unknown kind")

// Metadata holds the fields that all resources have.
type Metadata struct {
	Name   string            `json:"name" toml:"name"`
	UID    string            `json:"uid,omitempty" toml:"-"`
	Labels map[string]string `json:"labels,omitempty" toml:"labels"`
	// Generation counts the changes of the spec.
	Generation uint64 `json:"generation,omitempty" toml:"-"`
	// ObservedGeneration is the generation that the status reflects.
	ObservedGeneration uint64 `json:"observedGeneration,omitempty" toml:"-"`
	// ResourceVersion is the log offset of the last change of the spec or the status.
	ResourceVersion uint64    `json:"resourceVersion,omitempty" toml:"-"`
	Created         time.Time `json:"created,omitzero" toml:"-"`
}

// ConditionStatus is the value of a condition.
type ConditionStatus string

// Values of ConditionStatus.
const (
	ConditionTrue    ConditionStatus = "True"
	ConditionFalse   ConditionStatus = "False"
	ConditionUnknown ConditionStatus = "Unknown"
)

// Condition is one observed aspect of a resource.
type Condition struct {
	Type    string          `json:"type"`
	Status  ConditionStatus `json:"status"`
	Reason  string          `json:"reason"`
	Message string          `json:"message,omitempty"`
	Since   time.Time       `json:"since,omitzero"`
}

// Condition types.
const (
	// ConditionHonourable is a condition of a guarantee: beside the other guarantees, there is a
	// place for all of its gangs on usable workers that is free or can be reclaimed.
	ConditionHonourable = "Honourable"
	// ConditionScheduled is a condition of a job: all of its members have leases.
	ConditionScheduled = "Scheduled"
)

// Adjacency is the scope within which all members of a gang are placed: one worker, one rack or
// one zone. Empty means the zone.
type Adjacency string

// Values of Adjacency.
const (
	AdjacentWorker Adjacency = "worker"
	AdjacentRack   Adjacency = "rack"
	AdjacentZone   Adjacency = "zone"
)

// RestartPolicy determines whether a job may be started again after an attempt has ended. Empty
// means always.
type RestartPolicy string

// Values of RestartPolicy.
const (
	// RestartAlways allows any number of attempts. A new one starts from the last checkpoint.
	RestartAlways RestartPolicy = "always"
	// RestartNever allows at most one attempt.
	RestartNever RestartPolicy = "never"
)

// JobSpec is the part of a job that an operator declares.
type JobSpec struct {
	Organisation string `json:"organisation" toml:"organisation"`
	// Members is the size of the gang.
	Members int `json:"members" toml:"members"`
	// AcceleratorsPerMember, CoresPerMember and MemoryMBPerMember are the capacity that each
	// member is declared to use.
	AcceleratorsPerMember int       `json:"acceleratorsPerMember" toml:"accelerators_per_member"`
	CoresPerMember        int       `json:"coresPerMember,omitempty" toml:"cores_per_member"`
	MemoryMBPerMember     int       `json:"memoryMBPerMember,omitempty" toml:"memory_mb_per_member"`
	Adjacency             Adjacency `json:"adjacency,omitempty" toml:"adjacency"`
	// Urgency is 0 (most urgent) to 7, as in RFC 9218.
	Urgency int `json:"urgency" toml:"urgency"`
	// DeclaredSeconds is the run time that the operator expects; 0 means unknown.
	DeclaredSeconds float64       `json:"declaredSeconds,omitempty" toml:"declared_seconds"`
	Checkpointable  bool          `json:"checkpointable,omitempty" toml:"checkpointable"`
	Restart         RestartPolicy `json:"restart,omitempty" toml:"restart"`
	// Payload is passed to the worker unchanged.
	Payload string `json:"payload,omitempty" toml:"payload"`
}

// Accelerators returns the total number of accelerators of the gang.
func (s JobSpec) Accelerators() int { return s.Members * s.AcceleratorsPerMember }

// Phase is a phase of a job's life cycle.
type Phase string

// Phases of a job.
const (
	PhaseQueued    Phase = "Queued"
	PhaseRunning   Phase = "Running"
	PhaseSucceeded Phase = "Succeeded"
	PhaseFailed    Phase = "Failed"
	PhaseCancelled Phase = "Cancelled"
	// PhaseUnplaceable is the phase of a job that cannot fit on any set of workers, even if all
	// workers were idle.
	PhaseUnplaceable Phase = "Unplaceable"
)

// Terminal reports whether p is a final phase: a job in it never runs again.
func (p Phase) Terminal() bool {
	switch p {
	case PhaseSucceeded, PhaseFailed, PhaseCancelled, PhaseUnplaceable:
		return true
	default:
		return false
	}
}

// JobStatus is the observed state of a job.
type JobStatus struct {
	Phase Phase `json:"phase"`
	// Zone is the availability zone whose leader places the job.
	Zone string `json:"zone,omitempty"`
	// Attempt is the number of the newest committed attempt, or 0 before the first.
	Attempt uint64 `json:"attempt,omitempty"`
	// Workers has the worker id of each member while the job runs.
	Workers []string `json:"workers,omitempty"`
	// Checkpoint is the last checkpoint that all members completed.
	Checkpoint string `json:"checkpoint,omitempty"`
	// ConsumedSeconds is the run time, added over all attempts, that checkpoints preserve.
	ConsumedSeconds float64 `json:"consumedSeconds,omitempty"`
	// Starts is the number of committed attempts. One that ended before its members were started is
	// not counted if the job may be started again. Failures is the number of attempts that ended
	// because a task failed or used more than the job declares.
	Starts   int `json:"starts,omitempty"`
	Failures int `json:"failures,omitempty"`
	// Reason explains the phase; it may be empty.
	Reason     string    `json:"reason,omitempty"`
	StartedAt  time.Time `json:"startedAt,omitzero"`
	FinishedAt time.Time `json:"finishedAt,omitzero"`
}

// Job is a gang of members that run at the same time.
type Job struct {
	Metadata   `json:"metadata"`
	Spec       JobSpec     `json:"spec"`
	Status     JobStatus   `json:"status"`
	Conditions []Condition `json:"conditions,omitempty"`
}

// GuaranteeSpec is the guaranteed shape of capacity: room for Gangs gangs of Members members each.
type GuaranteeSpec struct {
	Organisation          string    `json:"organisation" toml:"organisation"`
	Gangs                 int       `json:"gangs" toml:"gangs"`
	Members               int       `json:"members" toml:"members"`
	AcceleratorsPerMember int       `json:"acceleratorsPerMember" toml:"accelerators_per_member"`
	Adjacency             Adjacency `json:"adjacency,omitempty" toml:"adjacency"`
	// Zone is the availability zone of the guarantee. If it is empty, the system chooses one.
	Zone string `json:"zone,omitempty" toml:"zone"`
}

// GuaranteeStatus is the observed state of a guarantee.
type GuaranteeStatus struct {
	// Zone is the availability zone whose workers provide the guaranteed capacity.
	Zone string `json:"zone,omitempty"`
}

// Guarantee is capacity of a given shape that is guaranteed to an organisation.
type Guarantee struct {
	Metadata   `json:"metadata"`
	Spec       GuaranteeSpec   `json:"spec"`
	Status     GuaranteeStatus `json:"status"`
	Conditions []Condition     `json:"conditions,omitempty"`
}

// OrganisationSpec holds the weight and the quota of an organisation.
type OrganisationSpec struct {
	// Weight determines the organisation's share of the capacity that is not used by guarantees,
	// and of the request slots under contention; default 1.
	Weight float64 `json:"weight,omitempty" toml:"weight"`
	// AcceleratorQuota is the maximum number of accelerators that the organisation's jobs may
	// use at the same time; 0 means no limit.
	AcceleratorQuota int `json:"acceleratorQuota,omitempty" toml:"accelerator_quota"`
}

// Organisation is a customer of the system.
type Organisation struct {
	Metadata   `json:"metadata"`
	Spec       OrganisationSpec `json:"spec"`
	Conditions []Condition      `json:"conditions,omitempty"`
}

// Policy is the configuration for the handling of jobs, guarantees and requests.
type Policy struct {
	Metadata   `json:"metadata"`
	Spec       PolicySpec  `json:"spec"`
	Conditions []Condition `json:"conditions,omitempty"`
}

// Object is a resource of any kind.
type Object interface {
	// Kind returns the object's kind.
	Kind() Kind
	// Meta returns a pointer to the object's metadata.
	Meta() *Metadata
	// Validate returns all fields that violate the rules of the kind.
	Validate() FieldErrors
	// Clone returns a deep copy of the object.
	Clone() Object
}

// Kind implements Object.
func (*Job) Kind() Kind { return KindJob }

// Kind implements Object.
func (*Guarantee) Kind() Kind { return KindGuarantee }

// Kind implements Object.
func (*Organisation) Kind() Kind { return KindOrganisation }

// Kind implements Object.
func (*Policy) Kind() Kind { return KindPolicy }

// Meta implements Object.
func (m *Metadata) Meta() *Metadata { return m }

// Clone implements Object.
func (j *Job) Clone() Object { return clone(j) }

// Clone implements Object.
func (g *Guarantee) Clone() Object { return clone(g) }

// Clone implements Object.
func (o *Organisation) Clone() Object { return clone(o) }

// Clone implements Object.
func (p *Policy) Clone() Object { return clone(p) }

// clone returns a deep copy by encoding to JSON and decoding; all resources support JSON.
func clone[T any](in *T) *T {
	data, err := json.Marshal(in)
	if err != nil {
		panic(fmt.Sprintf("resource: encode %T: %v", in, err))
	}
	out := new(T)
	if err := json.Unmarshal(data, out); err != nil {
		panic(fmt.Sprintf("resource: decode %T: %v", in, err))
	}
	return out
}

// New returns an empty object of the given kind, or ErrUnknownKind.
func New(kind Kind) (Object, error) {
	switch kind {
	case KindJob:
		return &Job{}, nil
	case KindGuarantee:
		return &Guarantee{}, nil
	case KindOrganisation:
		return &Organisation{}, nil
	case KindPolicy:
		return &Policy{}, nil
	default:
		return nil, eris.Wrap(ErrUnknownKind, string(kind))
	}
}
