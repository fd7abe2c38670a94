package resource

import (
	"fmt"
	"math"
	"regexp"
	"strings"
)

// Limits of resources.
const (
	// MaxMembers is the largest gang that is accepted.
	MaxMembers = 1024
	// MaxAcceleratorsPerMember is the largest member that is accepted.
	MaxAcceleratorsPerMember = 64
	// MaxPayloadBytes bounds a job's payload.
	MaxPayloadBytes = 16 << 10
	// MaxLabels and MaxLabelBytes bound the labels of a resource.
	MaxLabels     = 32
	MaxLabelBytes = 128
	// MaxDeclaredSeconds is one year.
	MaxDeclaredSeconds = 365 * 24 * 3600
	// MaxUrgency is the least urgent value of RFC 9218.
	MaxUrgency = 7
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

const nameRule = "1 to 63 characters of a-z, 0-9, '-' and '.', beginning and ending with a letter or digit"

// FieldError names a field that breaks a rule.
type FieldError struct {
	Field string `json:"field"`
	Value string `json:"value"`
	Rule  string `json:"rule"`
}

// FieldErrors is the list of all violations in one object.
type FieldErrors []FieldError

// Error implements error.
func (e FieldErrors) Error() string {
	parts := make([]string, len(e))
	for i, f := range e {
		parts[i] = fmt.Sprintf("%s: %q must be %s", f.Field, f.Value, f.Rule)
	}
	return strings.Join(parts, "; ")
}

// checker collects violations.
type checker struct{ errs FieldErrors }

func (c *checker) require(ok bool, field string, value any, rule string) {
	if ok {
		return
	}
	const maxValueBytes = 100
	text := fmt.Sprint(value)
	if len(text) > maxValueBytes {
		text = text[:maxValueBytes] + "..."
	}
	c.errs = append(c.errs, FieldError{Field: field, Value: text, Rule: rule})
}

func (c *checker) intRange(field string, value, low, high int) {
	c.require(value >= low && value <= high, field, value, fmt.Sprintf("from %d to %d", low, high))
}

func (c *checker) floatRange(field string, value, low, high float64) {
	ok := !math.IsNaN(value) && value >= low && value <= high
	c.require(ok, field, value, fmt.Sprintf("from %g to %g", low, high))
}

func (c *checker) name(field, value string) {
	c.require(namePattern.MatchString(value), field, value, nameRule)
}

func (c *checker) metadata(m Metadata) {
	c.name("metadata.name", m.Name)
	c.require(len(m.Labels) <= MaxLabels, "metadata.labels", len(m.Labels), fmt.Sprintf("at most %d labels", MaxLabels))
	for key, value := range m.Labels {
		c.name("metadata.labels key", key)
		ok := len(value) <= MaxLabelBytes
		c.require(ok, "metadata.labels."+key, value, fmt.Sprintf("at most %d bytes", MaxLabelBytes))
	}
}

func (c *checker) adjacency(field string, a Adjacency) {
	ok := a == "" || a == AdjacentWorker || a == AdjacentRack || a == AdjacentZone
	c.require(ok, field, a, "worker, rack or zone")
}

// Validate implements Object.
func (j *Job) Validate() FieldErrors {
	var c checker
	c.metadata(j.Metadata)
	s := j.Spec
	c.name("spec.organisation", s.Organisation)
	c.intRange("spec.members", s.Members, 1, MaxMembers)
	c.intRange("spec.acceleratorsPerMember", s.AcceleratorsPerMember, 1, MaxAcceleratorsPerMember)
	c.intRange("spec.coresPerMember", s.CoresPerMember, 0, 1<<16)
	c.intRange("spec.memoryMBPerMember", s.MemoryMBPerMember, 0, 1<<30)
	c.adjacency("spec.adjacency", s.Adjacency)
	c.intRange("spec.urgency", s.Urgency, 0, MaxUrgency)
	c.floatRange("spec.declaredSeconds", s.DeclaredSeconds, 0, MaxDeclaredSeconds)
	okRestart := s.Restart == "" || s.Restart == RestartAlways || s.Restart == RestartNever
	c.require(okRestart, "spec.restart", s.Restart, "always or never")
	okPayload := len(s.Payload) <= MaxPayloadBytes
	c.require(okPayload, "spec.payload", s.Payload, fmt.Sprintf("at most %d bytes", MaxPayloadBytes))
	return c.errs
}

// Validate implements Object.
func (g *Guarantee) Validate() FieldErrors {
	var c checker
	c.metadata(g.Metadata)
	s := g.Spec
	c.name("spec.organisation", s.Organisation)
	c.intRange("spec.gangs", s.Gangs, 1, MaxMembers)
	c.intRange("spec.members", s.Members, 1, MaxMembers)
	c.intRange("spec.acceleratorsPerMember", s.AcceleratorsPerMember, 1, MaxAcceleratorsPerMember)
	c.adjacency("spec.adjacency", s.Adjacency)
	if s.Zone != "" {
		c.name("spec.zone", s.Zone)
	}
	return c.errs
}

// Validate implements Object.
func (o *Organisation) Validate() FieldErrors {
	var c checker
	c.metadata(o.Metadata)
	c.floatRange("spec.weight", o.Spec.Weight, 0, 1000)
	c.intRange("spec.acceleratorQuota", o.Spec.AcceleratorQuota, 0, 1<<20)
	return c.errs
}

// Validate implements Object.
func (p *Policy) Validate() FieldErrors {
	var c checker
	c.metadata(p.Metadata)
	c.admission(p.Spec.Admission)
	c.dispatch(p.Spec.Dispatch)
	c.placement(p.Spec.Placement)
	return c.errs
}

func (c *checker) admission(a AdmissionPolicy) {
	c.intRange("spec.admission.queueLimit", a.QueueLimit, 0, 1<<20)
	c.intRange("spec.admission.callerQueueLimit", a.CallerQueueLimit, 0, 1<<20)
	c.intRange("spec.admission.defaultDeadlineMs", a.DefaultDeadlineMs, 0, 3_600_000)
	for kind, weight := range a.KindWeights {
		c.name("spec.admission.kindWeights key", kind)
		c.floatRange("spec.admission.kindWeights."+kind, weight, 0.001, 1000)
	}
}

func (c *checker) dispatch(d DispatchPolicy) {
	c.floatRange("spec.dispatch.retryBudget", d.RetryBudget, 0, 0.1)
	c.intRange("spec.dispatch.ejectAfterFailures", d.EjectAfterFailures, 0, 1000)
	c.floatRange("spec.dispatch.ejectSeconds", d.EjectSeconds, 0, 3600)
}

func (c *checker) placement(p PlacementPolicy) {
	c.floatRange("spec.placement.reclaimSeconds", p.ReclaimSeconds, 0, 3600)
	if p.UrgentAtMost != nil {
		c.intRange("spec.placement.urgentAtMost", *p.UrgentAtMost, 0, MaxUrgency)
	}
	c.intRange("spec.placement.quarantineAfterJobs", p.QuarantineAfterJobs, 0, 1000)
	c.intRange("spec.placement.maxFailures", p.MaxFailures, 0, 1000)
}
