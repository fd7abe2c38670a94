package state

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// maxEndedJobs is how many ended jobs stay readable; older ones are forgotten.
const maxEndedJobs = 2000

// Code classifies the effect of a record.
type Code string

// Codes of verdicts.
const (
	// Accepted means that the record took effect.
	Accepted Code = "accepted"
	// Conflict means that an expected version, revision or epoch was not the current one.
	Conflict Code = "conflict"
	// NotFound means that the resource does not exist.
	NotFound Code = "not-found"
	// Invalid means that the content breaks a rule.
	Invalid Code = "invalid"
	// Stale means that the record landed more than AppendWindow offsets after its base.
	Stale Code = "stale"
)

// Verdict is the effect of a record on the state.
type Verdict struct {
	Code Code `json:"code"`
	// Version is the resource version after the record, set if a resource exists.
	Version uint64 `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
	// Offset is where the record took its effect.
	Offset platform.Offset `json:"offset"`
}

// ZoneLeader is the recorded leadership of a zone.
type ZoneLeader struct {
	Epoch platform.Epoch `json:"epoch"`
	// Released is set after a planned handover; Successor should claim the zone next.
	Released  bool   `json:"released,omitempty"`
	Successor string `json:"successor,omitempty"`
}

// State is the durable state at one offset. It is not safe for concurrent use. Objects in
// its maps are replaced, never modified, so a reader may keep them.
type State struct {
	Applied       platform.Offset                   `json:"applied"`
	Jobs          map[string]*resource.Job          `json:"jobs"`
	Guarantees    map[string]*resource.Guarantee    `json:"guarantees"`
	Organisations map[string]*resource.Organisation `json:"organisations"`
	Policies      map[string]*resource.Policy       `json:"policies"`
	Zones         map[string]ZoneLeader             `json:"zones"`
	Workers       map[string]WorkerHealth           `json:"workers"`
	// GuaranteeRevision counts the changes of the guarantees of each zone.
	GuaranteeRevision map[string]uint64 `json:"guaranteeRevision"`
	// PolicyVersion is the offset of the last accepted change of a policy.
	PolicyVersion platform.Offset `json:"policyVersion"`
	// Verdicts has the verdicts of the last AppendWindow offsets by record id.
	Verdicts map[string]Verdict `json:"verdicts"`
	// VerdictOrder has the ids of Verdicts, oldest first.
	VerdictOrder []string `json:"verdictOrder"`
	// EndedJobs has the names of ended jobs, oldest first.
	EndedJobs []string `json:"endedJobs"`
}

// New returns the state before the first record.
func New() *State {
	s := &State{}
	s.init()
	return s
}

// init makes the maps that a decoded snapshot may lack.
func (s *State) init() {
	initMap(&s.Jobs)
	initMap(&s.Guarantees)
	initMap(&s.Organisations)
	initMap(&s.Policies)
	initMap(&s.Zones)
	initMap(&s.Workers)
	initMap(&s.GuaranteeRevision)
	initMap(&s.Verdicts)
}

func initMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}

// Lookup returns a resource, or false if there is none.
func (s *State) Lookup(kind resource.Kind, name string) (resource.Object, bool) {
	switch kind {
	case resource.KindJob:
		return lookup(s.Jobs, name)
	case resource.KindGuarantee:
		return lookup(s.Guarantees, name)
	case resource.KindOrganisation:
		return lookup(s.Organisations, name)
	case resource.KindPolicy:
		return lookup(s.Policies, name)
	default:
		return nil, false
	}
}

func lookup[T resource.Object](m map[string]T, name string) (resource.Object, bool) {
	object, found := m[name]
	if !found {
		return nil, false
	}
	return object, true
}

// Apply applies the record at the next offset. Entries that cannot be decoded are applied
// with Skip, so that offsets stay continuous.
func (s *State) Apply(offset platform.Offset, r Record) Verdict {
	s.advance(offset)
	if v, seen := s.Verdicts[r.ID]; seen {
		return v
	}
	v := s.apply(offset, r)
	v.Offset = offset
	s.remember(r, v)
	return v
}

// Skip advances the state past an entry without effect.
func (s *State) Skip(offset platform.Offset) { s.advance(offset) }

func (s *State) advance(offset platform.Offset) {
	if offset <= s.Applied {
		panic(fmt.Sprintf("state: offset %d applied after %d", offset, s.Applied))
	}
	s.Applied = offset
	s.forgetVerdicts()
}

func (s *State) apply(offset platform.Offset, r Record) Verdict {
	if offset > r.Base+AppendWindow {
		return Verdict{Code: Stale, Message: "the record reached the log too late"}
	}
	switch {
	case r.Put != nil:
		return s.applyPut(offset, r, *r.Put)
	case r.Delete != nil:
		return s.applyDelete(offset, r, *r.Delete)
	case r.Claim != nil:
		return s.applyClaim(*r.Claim)
	case r.Release != nil:
		return s.applyRelease(*r.Release)
	case r.ZoneUpdate != nil:
		return s.applyZoneUpdate(offset, r, *r.ZoneUpdate)
	default:
		return Verdict{Code: Accepted}
	}
}

func (s *State) remember(r Record, v Verdict) {
	if r.SnapshotPart != nil {
		return
	}
	s.Verdicts[r.ID] = v
	s.VerdictOrder = append(s.VerdictOrder, r.ID)
}

func (s *State) forgetVerdicts() {
	for len(s.VerdictOrder) > 0 {
		id := s.VerdictOrder[0]
		if s.Verdicts[id].Offset+AppendWindow >= s.Applied {
			return
		}
		delete(s.Verdicts, id)
		s.VerdictOrder = s.VerdictOrder[1:]
	}
}

func (s *State) applyPut(offset platform.Offset, r Record, put Put) Verdict {
	object, err := resource.New(put.Kind)
	if err != nil {
		return Verdict{Code: Invalid, Message: err.Error()}
	}
	if err := json.Unmarshal(put.Object, object); err != nil {
		return Verdict{Code: Invalid, Message: err.Error()}
	}
	if errs := object.Validate(); len(errs) > 0 {
		return Verdict{Code: Invalid, Message: errs.Error()}
	}
	meta := object.Meta()
	current, exists := s.Lookup(put.Kind, meta.Name)
	if v, ok := checkVersion(current, exists, put.IfVersion); !ok {
		return v
	}
	inherit(object, current, exists, offset, r)
	if v, ok := s.store(object, current, exists, put); !ok {
		return v
	}
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// checkVersion compares the expected version of a write with the current one.
func checkVersion(current resource.Object, exists bool, expected *uint64) (Verdict, bool) {
	var version uint64
	if exists {
		version = current.Meta().ResourceVersion
	}
	if expected == nil || *expected == version {
		return Verdict{}, true
	}
	message := fmt.Sprintf("expected version %d, current version is %d", *expected, version)
	return Verdict{Code: Conflict, Version: version, Message: message}, false
}

// inherit sets the metadata and keeps the observed state of the current object.
func inherit(object, current resource.Object, exists bool, offset platform.Offset, r Record) {
	meta := object.Meta()
	meta.ResourceVersion = uint64(offset)
	if !exists {
		meta.UID = r.ID
		meta.Created = r.Time
		meta.Generation = 1
		return
	}
	old := current.Meta()
	meta.UID = old.UID
	meta.Created = old.Created
	meta.Generation = old.Generation + 1
	meta.ObservedGeneration = old.ObservedGeneration
	switch o := object.(type) {
	case *resource.Job:
		job := current.(*resource.Job)
		o.Status, o.Conditions = job.Status, job.Conditions
	case *resource.Guarantee:
		o.Conditions = current.(*resource.Guarantee).Conditions
	}
}

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
		s.Jobs[job.Name] = job
		return Verdict{}, true
	}
	old := current.(*resource.Job)
	if old.Status.Phase.Terminal() {
		return Verdict{Code: Conflict, Version: old.ResourceVersion, Message: "the job has ended"}, false
	}
	if !sameShape(job.Spec, old.Spec) {
		return Verdict{Code: Invalid, Message: "only urgency and declaredSeconds of a job can change"}, false
	}
	s.Jobs[job.Name] = job
	return Verdict{}, true
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
		return Verdict{Code: Conflict, Message: message}, false
	}
	if exists {
		s.bumpGuarantees(current.(*resource.Guarantee).Status.Zone)
	}
	s.Guarantees[g.Name] = g
	s.bumpGuarantees(zone)
	return Verdict{}, true
}

func (s *State) bumpGuarantees(zone string) { s.GuaranteeRevision[zone]++ }

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
	case *resource.Guarantee:
		delete(s.Guarantees, o.Name)
		s.bumpGuarantees(o.Status.Zone)
	case *resource.Organisation:
		if user, used := s.organisationUser(o.Name); used {
			return Verdict{Code: Conflict, Version: o.ResourceVersion, Message: "the organisation is used by " + user}
		}
		delete(s.Organisations, o.Name)
	case *resource.Policy:
		delete(s.Policies, o.Name)
		s.PolicyVersion = offset
	}
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// organisationUser names a resource that refers to the organisation.
func (s *State) organisationUser(org string) (string, bool) {
	for name, g := range s.Guarantees {
		if g.Spec.Organisation == org {
			return "guarantee " + name, true
		}
	}
	for name, j := range s.Jobs {
		if j.Spec.Organisation == org && !j.Status.Phase.Terminal() {
			return "job " + name, true
		}
	}
	return "", false
}

// cancelJob ends a job, or forgets one that has ended already.
func (s *State) cancelJob(job *resource.Job, offset platform.Offset, at time.Time) {
	if job.Status.Phase.Terminal() {
		delete(s.Jobs, job.Name)
		return
	}
	cancelled := *job
	cancelled.ResourceVersion = uint64(offset)
	cancelled.Status.Phase = resource.PhaseCancelled
	cancelled.Status.Reason = "cancelled by an operator"
	cancelled.Status.FinishedAt = at
	s.Jobs[job.Name] = &cancelled
	s.retireJob(job.Name)
}

func (s *State) retireJob(name string) {
	s.EndedJobs = append(s.EndedJobs, name)
	for len(s.EndedJobs) > maxEndedJobs {
		oldest := s.EndedJobs[0]
		s.EndedJobs = s.EndedJobs[1:]
		if job, found := s.Jobs[oldest]; found && job.Status.Phase.Terminal() {
			delete(s.Jobs, oldest)
		}
	}
}

func (s *State) applyClaim(claim Claim) Verdict {
	current := s.Zones[claim.Zone]
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

func (s *State) applyRelease(release Release) Verdict {
	current := s.Zones[release.Zone]
	if current.Epoch != release.Epoch {
		return Verdict{Code: Conflict, Message: "the zone has another leader"}
	}
	s.Zones[release.Zone] = ZoneLeader{Epoch: current.Epoch, Released: true, Successor: release.Successor}
	return Verdict{Code: Accepted}
}

func (s *State) applyZoneUpdate(offset platform.Offset, r Record, update ZoneUpdate) Verdict {
	if s.Zones[update.Zone].Epoch != update.Epoch {
		return Verdict{Code: Conflict, Message: "the epoch is not the zone's current one"}
	}
	for _, u := range update.Jobs {
		s.updateJob(offset, update.Zone, u)
	}
	for _, u := range update.Guarantees {
		s.updateGuarantee(offset, update.Zone, u)
	}
	for _, w := range update.Workers {
		if w.Quarantined {
			s.Workers[w.Worker] = w
		} else {
			delete(s.Workers, w.Worker)
		}
	}
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// updateJob replaces a status. An ended job keeps its phase: a cancellation that reached the
// log first wins over a late result.
func (s *State) updateJob(offset platform.Offset, zone string, u JobUpdate) {
	job, found := s.Jobs[u.Name]
	if !found || job.UID != u.UID || job.Status.Zone != zone || job.Status.Phase.Terminal() {
		return
	}
	updated := *job
	updated.Status = u.Status
	updated.Conditions = u.Conditions
	updated.ObservedGeneration = job.Generation
	updated.ResourceVersion = uint64(offset)
	s.Jobs[u.Name] = &updated
	if updated.Status.Phase.Terminal() {
		s.retireJob(u.Name)
	}
}

func (s *State) updateGuarantee(offset platform.Offset, zone string, u GuaranteeUpdate) {
	g, found := s.Guarantees[u.Name]
	if !found || g.Status.Zone != zone {
		return
	}
	moves := u.Zone != zone
	if moves && s.GuaranteeRevision[u.Zone] != u.IfGuaranteeRevision {
		return
	}
	updated := *g
	updated.Status.Zone = u.Zone
	updated.Conditions = u.Conditions
	updated.ObservedGeneration = g.Generation
	updated.ResourceVersion = uint64(offset)
	s.Guarantees[u.Name] = &updated
	if moves {
		s.bumpGuarantees(zone)
		s.bumpGuarantees(u.Zone)
	}
}

// Policy returns the policy in force, with defaults filled in.
func (s *State) Policy() resource.PolicySpec {
	if policy, found := s.Policies[resource.DefaultPolicyName]; found {
		return policy.Spec.WithDefaults()
	}
	return resource.PolicySpec{}.WithDefaults()
}
