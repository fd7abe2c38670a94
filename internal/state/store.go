package state

import (
	"fmt"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// store checks the rules of the kind and stores the object. If a rule is broken, it returns the
// verdict and false.
func (s *State) store(object, current resource.Object, exists bool, put Put) (Verdict, bool) {
	switch o := object.(type) {
	case *resource.Job:
		return s.storeJob(o, current, exists)
	case *resource.Guarantee:
		return s.storeGuarantee(o, current, exists, put)
	case *resource.Organisation:
		s.Organisations[o.Name] = o
	case *resource.Policy:
		s.Policies[o.Name] = o
		s.PolicyVersion = platform.Offset(o.ResourceVersion)
	}
	return Verdict{}, true
}

func (s *State) storeJob(job *resource.Job, current resource.Object, exists bool) (Verdict, bool) {
	if _, found := s.Organisations[job.Spec.Organisation]; !found {
		return Verdict{Code: Invalid, Message: "organisation " + job.Spec.Organisation + " does not exist"}, false
	}
	if !exists {
		job.Status = resource.JobStatus{Phase: resource.PhaseQueued, Zone: job.Status.Zone}
		job.Conditions = nil
		s.setJob(job)
		return Verdict{}, true
	}
	old := current.(*resource.Job)
	if old.Status.Phase.Terminal() {
		return Verdict{Code: Conflict, Version: old.ResourceVersion, Message: "the job has ended"}, false
	}
	if !sameImmutableFields(job.Spec, old.Spec) {
		return Verdict{Code: Invalid, Message: "only urgency and declaredSeconds of a job can change"}, false
	}
	s.setJob(job)
	return Verdict{}, true
}

// setJob stores a job and updates the number and the payload bytes of live jobs.
func (s *State) setJob(job *resource.Job) {
	s.countLiveJob(s.Jobs[job.Name], -1)
	s.Jobs[job.Name] = job
	s.countLiveJob(job, +1)
}

func (s *State) removeJob(name string) {
	s.countLiveJob(s.Jobs[name], -1)
	delete(s.Jobs, name)
	s.recordChange(resource.KindJob, name, true)
}

// countLiveJob adds a job to the counts of live jobs, or subtracts it if sign is -1. Nil and
// ended jobs do not count.
func (s *State) countLiveJob(job *resource.Job, sign int) {
	if job == nil || job.Status.Phase.Terminal() {
		return
	}
	s.liveJobs += sign
	s.payloadBytes += sign * len(job.Spec.Payload)
}

// sameImmutableFields reports whether two specs differ at most in fields that may change.
func sameImmutableFields(a, b resource.JobSpec) bool {
	a.Urgency, a.DeclaredSeconds = b.Urgency, b.DeclaredSeconds
	return a == b
}

func (s *State) storeGuarantee(g *resource.Guarantee, current resource.Object, exists bool, put Put) (Verdict, bool) {
	if _, found := s.Organisations[g.Spec.Organisation]; !found {
		return Verdict{Code: Invalid, Message: "organisation " + g.Spec.Organisation + " does not exist"}, false
	}
	zone := g.Status.Zone
	if revision := s.GuaranteeRevision[zone]; revision != put.IfGuaranteeRevision {
		message := fmt.Sprintf("guarantees of zone %s changed: revision %d, checked at %d", zone, revision, put.IfGuaranteeRevision)
		return Verdict{Code: RevisionConflict, Message: message}, false
	}
	if exists {
		s.bumpGuaranteeRevision(current.(*resource.Guarantee).Status.Zone)
	}
	s.Guarantees[g.Name] = g
	s.bumpGuaranteeRevision(zone)
	return Verdict{}, true
}

func (s *State) bumpGuaranteeRevision(zone string) { s.GuaranteeRevision[zone]++ }
