package state

import (
	"fmt"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

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
	if !sameShape(job.Spec, old.Spec) {
		return Verdict{Code: Invalid, Message: "only urgency and declaredSeconds of a job can change"}, false
	}
	s.setJob(job)
	return Verdict{}, true
}

// setJob stores a job and keeps the counts of live jobs.
func (s *State) setJob(job *resource.Job) {
	s.countJob(s.Jobs[job.Name], -1)
	s.Jobs[job.Name] = job
	s.countJob(job, +1)
}

func (s *State) removeJob(name string) {
	s.countJob(s.Jobs[name], -1)
	delete(s.Jobs, name)
	s.changed(resource.KindJob, name, true)
}

func (s *State) countJob(job *resource.Job, sign int) {
	if job == nil || job.Status.Phase.Terminal() {
		return
	}
	s.liveJobs += sign
	s.payloadBytes += sign * len(job.Spec.Payload)
}

// sameShape reports whether two specs differ only in fields that may change.
func sameShape(a, b resource.JobSpec) bool {
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
		s.bumpGuarantees(current.(*resource.Guarantee).Status.Zone)
	}
	s.Guarantees[g.Name] = g
	s.bumpGuarantees(zone)
	return Verdict{}, true
}

func (s *State) bumpGuarantees(zone string) { s.GuaranteeRevision[zone]++ }
