package resource

import (
	"fmt"
	"math"
	"regexp"
	"strings"
)

// Limits of resources.
const (
	// MaxMembers is the maximum number of members of a gang, and of gangs of a guarantee.
	MaxMembers = 1024
	// MaxAcceleratorsPerMember is the maximum number of accelerators of a member.
	MaxAcceleratorsPerMember = 64
	// MaxPayloadBytes is the maximum size of a job's payload.
	MaxPayloadBytes = 16 << 10
	// MaxLabels is the maximum number of labels of a resource, and MaxLabelBytes the maximum
	// size of a label's value.
	MaxLabels     = 32
	MaxLabelBytes = 128
	// MaxDeclaredSeconds is the maximum declared run time of a job: one year.
	MaxDeclaredSeconds = 365 * 24 * 3600
	// MaxUrgency is the least urgent value of RFC 9218.
	MaxUrgency = 7
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 characters of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"

// FieldError describes a field whose value violates a rule. Value may be truncated.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Rule  string `json:"rule"`
}

// FieldErrors lists all invalid fields of one object.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = fmt.Sprintf("%s: %q must be %s", f.Field, f.Value, f.Rule)
	}
	return strings.Join(parts, "; ")
}

// validator collects the invalid fields of an object.
type validator struct{ errs FieldErrors }

func (v *validator) require(ok bool, field string, value any, rule string) {
	if ok {
		return
	}
	const maxValueBytes = 100
	text := fmt.Sprint(value)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes] + "..."
	}
	v.errs = append(v.errs, FieldError{Field: field, Value: text, Rule: rule})
}

func (v *validator) intRange(field string, value, low, high int) {
	v.require(value >= low && value <= high, field, value, fmt.Sprintf("from %d to %d", low, high))
}

func (v *validator) floatRange(field string, value, low, high float64) {
	ok := !math.IsNaN(value) && value >= low && value <= high
	v.require(ok, field, value, fmt.Sprintf("from %g to %g", low, high))
}

func (v *validator) name(field, value string) {
	v.require(namePattern.MatchString(value), field, value, nameRule)
}

func (v *validator) metadata(m Metadata) {
	v.name("metadata.name", m.Name)
	v.require(len(m.Labels) <= MaxLabels, "metadata.labels", len(m.Labels), fmt.Sprintf("at most %d labels", MaxLabels))
	for key, value := range m.Labels {
		v.name("metadata.labels key", key)
		ok := len(value) <= MaxLabelBytes
		v.require(ok, "metadata.labels."+key, value, fmt.Sprintf("at most %d bytes", MaxLabelBytes))
	}
}

func (v *validator) adjacency(field string, a Adjacency) {
	ok := a == "" || a == AdjacentWorker || a == AdjacentRack || a == AdjacentZone
	v.require(ok, field, a, "worker, rack or zone")
}

// Validate implements Object.
func (j *Job) Validate() FieldErrors {
	var v validator
	v.metadata(j.Metadata)
	s := j.Spec
	v.name("spec.organisation", s.Organisation)
	v.intRange("spec.members", s.Members, 1, MaxMembers)
	v.intRange("spec.acceleratorsPerMember", s.AcceleratorsPerMember, 1, MaxAcceleratorsPerMember)
	v.intRange("spec.coresPerMember", s.CoresPerMember, 0, 1<<16)
	v.intRange("spec.memoryMBPerMember", s.MemoryMBPerMember, 0, 1<<30)
	v.adjacency("spec.adjacency", s.Adjacency)
	v.intRange("spec.urgency", s.Urgency, 0, MaxUrgency)
	v.floatRange("spec.declaredSeconds", s.DeclaredSeconds, 0, MaxDeclaredSeconds)
	validRestart := s.Restart == "" || s.Restart == RestartAlways || s.Restart == RestartNever
	v.require(validRestart, "spec.restart", s.Restart, "always or never")
	validPayload := len(s.Payload) <= MaxPayloadBytes
	v.require(validPayload, "spec.payload", s.Payload, fmt.Sprintf("at most %d bytes", MaxPayloadBytes))
	return v.errs
}

// Validate implements Object.
func (g *Guarantee) Validate() FieldErrors {
	var v validator
	v.metadata(g.Metadata)
	s := g.Spec
	v.name("spec.organisation", s.Organisation)
	v.intRange("spec.gangs", s.Gangs, 1, MaxMembers)
	v.intRange("spec.members", s.Members, 1, MaxMembers)
	v.intRange("spec.acceleratorsPerMember", s.AcceleratorsPerMember, 1, MaxAcceleratorsPerMember)
	v.adjacency("spec.adjacency", s.Adjacency)
	if s.Zone != "" {
		v.name("spec.zone", s.Zone)
	}
	return v.errs
}

// Validate implements Object.
func (o *Organisation) Validate() FieldErrors {
	var v validator
	v.metadata(o.Metadata)
	v.floatRange("spec.weight", o.Spec.Weight, 0, 1000)
	v.intRange("spec.acceleratorQuota", o.Spec.AcceleratorQuota, 0, 1<<20)
	return v.errs
}

// Validate implements Object.
func (p *Policy) Validate() FieldErrors {
	var v validator
	v.metadata(p.Metadata)
	v.admission(p.Spec.Admission)
	v.dispatch(p.Spec.Dispatch)
	v.placement(p.Spec.Placement)
	return v.errs
}

func (v *validator) admission(a AdmissionPolicy) {
	v.intRange("spec.admission.queueLimit", a.QueueLimit, 0, 1<<20)
	v.intRange("spec.admission.callerQueueLimit", a.CallerQueueLimit, 0, 1<<20)
	v.intRange("spec.admission.defaultDeadlineMs", a.DefaultDeadlineMs, 0, 3_600_000)
	for kind, weight := range a.KindWeights {
		v.name("spec.admission.kindWeights key", kind)
		v.floatRange("spec.admission.kindWeights."+kind, weight, 0.001, 1000)
	}
}

func (v *validator) dispatch(d DispatchPolicy) {
	v.floatRange("spec.dispatch.retryBudget", d.RetryBudget, 0, 0.1)
	v.intRange("spec.dispatch.ejectAfterFailures", d.EjectAfterFailures, 0, 1000)
	v.floatRange("spec.dispatch.ejectSeconds", d.EjectSeconds, 0, 3600)
}

func (v *validator) placement(p PlacementPolicy) {
	v.floatRange("spec.placement.reclaimSeconds", p.ReclaimSeconds, 0, 3600)
	if p.UrgentAtMost != nil {
		v.intRange("spec.placement.urgentAtMost", *p.UrgentAtMost, 0, MaxUrgency)
	}
	v.intRange("spec.placement.quarantineAfterJobs", p.QuarantineAfterJobs, 0, 1000)
	v.intRange("spec.placement.maxFailures", p.MaxFailures, 0, 1000)
}
