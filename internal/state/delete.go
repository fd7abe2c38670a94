package state

import (
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func (s *State) applyDelete(offset platform.Offset, r Record, del Delete) Verdict {
	current, exists := s.Lookup(del.Kind, del.Name)
	if !exists {
		return Verdict{Code: NotFound, Message: string(del.Kind) + " " + del.Name + " does not exist"}
	}
	if v, ok := checkVersion(current, exists, del.IfVersion); !ok {
		return v
	}
	switch o := current.(type) {
	case *resource.Job:
		s.cancelJob(o, offset, r.Time)
		return Verdict{Code: Accepted, Version: uint64(offset)}
	case *resource.Guarantee:
		delete(s.Guarantees, o.Name)
		s.bumpGuaranteeRevision(o.Status.Zone)
	case *resource.Organisation:
		if user, used := s.firstReferrer(o.Name); used {
			return Verdict{Code: Conflict, Version: o.ResourceVersion, Message: "the organisation is used by " + user}
		}
		delete(s.Organisations, o.Name)
	case *resource.Policy:
		delete(s.Policies, o.Name)
		s.PolicyVersion = offset
	}
	s.recordChange(del.Kind, del.Name, true)
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// firstReferrer returns the kind and name of a guarantee or unfinished job that refers to the
// organisation, and whether there is one. Of several it returns the first in alphabetical order,
// because the message of a verdict must be the same in every process.
func (s *State) firstReferrer(org string) (string, bool) {
	referrer := ""
	add := func(name string) {
		if referrer == "" || name < referrer {
			referrer = name
		}
	}
	for name, g := range s.Guarantees {
		if g.Spec.Organisation == org {
			add("guarantee " + name)
		}
	}
	for name, j := range s.Jobs {
		if j.Spec.Organisation == org && !j.Status.Phase.Terminal() {
			add("job " + name)
		}
	}
	return referrer, referrer != ""
}

// cancelJob cancels a job, or removes it if it has already ended.
func (s *State) cancelJob(job *resource.Job, offset platform.Offset, at time.Time) {
	if job.Status.Phase.Terminal() {
		s.removeJob(job.Name)
		return
	}
	cancelled := *job
	cancelled.ResourceVersion = uint64(offset)
	cancelled.Status.Phase = resource.PhaseCancelled
	cancelled.Status.Reason = "cancelled by an operator"
	cancelled.Status.FinishedAt = at
	s.endJob(&cancelled)
}

// endJob stores an ended job without its payload, which no worker needs any more, and
// removes the oldest ended jobs beyond maxEndedJobs. A newer job with the name of an old one
// is kept.
func (s *State) endJob(job *resource.Job) {
	job.Spec.Payload = ""
	s.setJob(job)
	s.recordChange(resource.KindJob, job.Name, false)
	s.EndedJobs = append(s.EndedJobs, EndedJob{Name: job.Name, UID: job.UID})
	for len(s.EndedJobs) > maxEndedJobs {
		oldest := s.EndedJobs[0]
		s.EndedJobs = s.EndedJobs[1:]
		if job, found := s.Jobs[oldest.Name]; found && job.UID == oldest.UID {
			s.removeJob(oldest.Name)
		}
	}
}
