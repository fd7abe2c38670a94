package state

import (
	"fmt"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func (s *State) applyClaim(claim ZoneClaim) Verdict {
	if len(claim.Zone) > MaxIDBytes || len(claim.Epoch.Holder) > MaxIDBytes {
		return Verdict{Code: Invalid, Message: "the zone or the holder is too long"}
	}
	current, known := s.Zones[claim.Zone]
	if !known && len(s.Zones) >= maxZones {
		return Verdict{Code: LimitReached, Message: fmt.Sprintf("there are %d zones", maxZones)}
	}
	allowed := claim.Epoch.Compare(current.Epoch) > 0
	if !claim.Provisional {
		allowed = allowed && claim.Expected == current.Epoch
	}
	if !allowed {
		message := fmt.Sprintf("zone %s is led by %s at epoch %d", claim.Zone, current.Epoch.Holder, current.Epoch.Number)
		return Verdict{Code: Conflict, Message: message}
	}
	s.Zones[claim.Zone] = ZoneLeader{Epoch: claim.Epoch}
	return Verdict{Code: Accepted}
}

func (s *State) applyRelease(release ZoneRelease) Verdict {
	current, known := s.Zones[release.Zone]
	if !known || current.Epoch != release.Epoch {
		return Verdict{Code: Conflict, Message: "the zone has another leader"}
	}
	s.Zones[release.Zone] = ZoneLeader{Epoch: current.Epoch, Released: true, Successor: release.Successor}
	return Verdict{Code: Accepted}
}

func (s *State) applyZoneUpdate(offset platform.Offset, r Record, update ZoneUpdate) Verdict {
	if leader, known := s.Zones[update.Zone]; !known || leader.Epoch != update.Epoch {
		return Verdict{Code: Conflict, Message: "the epoch is not the zone's current one"}
	}
	for _, u := range update.Jobs {
		s.updateJob(offset, update.Zone, u)
	}
	for _, u := range update.Guarantees {
		s.updateGuarantee(offset, update.Zone, u)
	}
	for _, w := range update.Workers {
		s.updateWorker(w)
	}
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

func (s *State) updateWorker(w WorkerHealth) {
	_, known := s.Workers[w.Worker]
	w.Reason = truncate(w.Reason)
	switch {
	case len(w.Worker) > MaxIDBytes:
	case !w.Quarantined:
		delete(s.Workers, w.Worker)
	case known || len(s.Workers) < maxQuarantined:
		s.Workers[w.Worker] = w
	}
}

// updateJob replaces the status of a job. An ended job stays as it is: a cancellation that
// reached the log first takes precedence over a result that comes later.
func (s *State) updateJob(offset platform.Offset, zone string, u JobUpdate) {
	job, found := s.Jobs[u.Name]
	if !found || job.UID != u.UID || job.Status.Zone != zone || job.Status.Phase.Terminal() {
		return
	}
	if !attemptAllowed(job, u.Status.Attempt) {
		return
	}
	updated := *job
	updated.Status = u.Status
	updated.Conditions = u.Conditions
	updated.ObservedGeneration = job.Generation
	updated.ResourceVersion = uint64(offset)
	if updated.Status.Phase.Terminal() {
		s.endJob(&updated)
		return
	}
	s.setJob(&updated)
	s.recordChange(resource.KindJob, u.Name, false)
}

// attemptAllowed reports whether a status with this attempt may replace the status of the job.
// The attempt of a job never decreases, so an update that was appended late cannot undo a newer
// one. A job with RestartNever, which must not run twice, never gets a second attempt.
func attemptAllowed(job *resource.Job, attempt uint64) bool {
	committed := job.Status.Attempt
	if job.Spec.Restart == resource.RestartNever && committed != 0 {
		return attempt == committed
	}
	return attempt >= committed
}

func (s *State) updateGuarantee(offset platform.Offset, zone string, u GuaranteeUpdate) {
	g, found := s.Guarantees[u.Name]
	if !found || g.Status.Zone != zone {
		return
	}
	moved := u.Zone != zone
	if moved && s.GuaranteeRevision[u.Zone] != u.IfGuaranteeRevision {
		return
	}
	updated := *g
	updated.Status.Zone = u.Zone
	updated.Conditions = u.Conditions
	updated.ObservedGeneration = g.Generation
	updated.ResourceVersion = uint64(offset)
	s.Guarantees[u.Name] = &updated
	s.recordChange(resource.KindGuarantee, u.Name, false)
	if moved {
		s.bumpGuaranteeRevision(zone)
		s.bumpGuaranteeRevision(u.Zone)
	}
}
