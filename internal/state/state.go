package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Limits of the state. They are part of the meaning of a record: changing one raises
// RecordVersion.
const (
	// maxEndedJobs is how many ended jobs stay readable; older ones are forgotten.
	maxEndedJobs = 2000
	// MaxLiveJobs is the most jobs that have not ended, about a week's at the design size.
	MaxLiveJobs = 20_000
	// MaxPayloadBytes bounds the payloads of all live jobs together.
	MaxPayloadBytes = 8 << 20
	// MaxOrganisations, MaxGuarantees and MaxPolicies bound the other kinds.
	MaxOrganisations = 1000
	MaxGuarantees    = 4000
	MaxPolicies      = 100
	// maxZones and maxQuarantined bound what claims and zone updates can add.
	maxZones       = 256
	maxQuarantined = 4000
	// maxMessageBytes bounds the message of a remembered verdict.
	maxMessageBytes = 512
)

// Code classifies the effect of a record.
type Code string

// Codes of verdicts.
const (
	// Accepted means that the record took effect.
	Accepted Code = "accepted"
	// Conflict means that an expected version or epoch was not the current one.
	Conflict Code = "conflict"
	// RevisionConflict means that the guarantees of the zone changed after a guarantee was
	// checked against them, so the check must be made again.
	RevisionConflict Code = "revision-conflict"
	// NotFound means that the resource does not exist.
	NotFound Code = "not-found"
	// Invalid means that the content breaks a rule.
	Invalid Code = "invalid"
	// Stale means that the record landed more than AppendWindow offsets after its base.
	Stale Code = "stale"
	// Limit means that a limit of the state is reached.
	Limit Code = "limit"
)

// Verdict is the effect of a record on the state.
type Verdict struct {
	Code Code `json:"code"`
	// Version is the resource version after the record, set if a resource exists.
	Version uint64 `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
	// Resource is the kind and name that a put or a delete was about, for example "jobs/a".
	Resource string `json:"resource,omitempty"`
	// Delete is set if the record was a delete.
	Delete bool `json:"delete,omitempty"`
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
	// Format is the RecordVersion of the process that wrote the snapshot of this state.
	Format        int                               `json:"format"`
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
	// EndedJobs has the ended jobs, oldest first.
	EndedJobs []EndedJob `json:"endedJobs"`

	// history has the newest changes for watchers. It is not part of a snapshot.
	history history
	// liveJobs and payloadBytes count the jobs that have not ended. They follow from Jobs.
	liveJobs     int
	payloadBytes int
}

// EndedJob names one ended job. The uid tells it from a later job of the same name.
type EndedJob struct {
	Name string `json:"name"`
	UID  string `json:"uid"`
}

// New returns the state before the first record.
func New() *State {
	s := &State{Format: RecordVersion}
	s.init()
	return s
}

// Clone returns a copy that shares only the objects, which are never modified.
func (s *State) Clone() *State {
	c := *s
	c.Jobs = maps.Clone(s.Jobs)
	c.Guarantees = maps.Clone(s.Guarantees)
	c.Organisations = maps.Clone(s.Organisations)
	c.Policies = maps.Clone(s.Policies)
	c.Zones = maps.Clone(s.Zones)
	c.Workers = maps.Clone(s.Workers)
	c.GuaranteeRevision = maps.Clone(s.GuaranteeRevision)
	c.Verdicts = maps.Clone(s.Verdicts)
	c.VerdictOrder = slices.Clone(s.VerdictOrder)
	c.EndedJobs = slices.Clone(s.EndedJobs)
	c.history = history{start: s.Applied}
	return &c
}

// init makes the maps that a decoded snapshot may lack and the values that follow from them.
func (s *State) init() {
	initMap(&s.Jobs)
	initMap(&s.Guarantees)
	initMap(&s.Organisations)
	initMap(&s.Policies)
	initMap(&s.Zones)
	initMap(&s.Workers)
	initMap(&s.GuaranteeRevision)
	initMap(&s.Verdicts)
	s.history.start = s.Applied
	for _, job := range s.Jobs {
		s.countJob(job, +1)
	}
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

// Each calls f with each resource of a kind, in no fixed order.
func (s *State) Each(kind resource.Kind, f func(resource.Object)) {
	switch kind {
	case resource.KindJob:
		each(s.Jobs, f)
	case resource.KindGuarantee:
		each(s.Guarantees, f)
	case resource.KindOrganisation:
		each(s.Organisations, f)
	case resource.KindPolicy:
		each(s.Policies, f)
	}
}

func each[T resource.Object](m map[string]T, f func(resource.Object)) {
	for _, object := range m {
		f(object)
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
	v.Message = truncate(v.Message)
	s.remember(r, v)
	return v
}

func truncate(message string) string {
	if len(message) <= maxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
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
	if r.Base >= offset {
		return Verdict{Code: Invalid, Message: "the base is not before the record"}
	}
	if offset-r.Base > AppendWindow {
		return Verdict{Code: Stale, Message: "the record reached the log too late"}
	}
	switch {
	case r.Put != nil:
		v, name := s.applyPut(offset, r, *r.Put)
		v.Resource = truncate(string(r.Put.Kind) + "/" + name)
		return v
	case r.Delete != nil:
		v := s.applyDelete(offset, r, *r.Delete)
		v.Resource, v.Delete = truncate(string(r.Delete.Kind)+"/"+r.Delete.Name), true
		return v
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

// applyPut also returns the name of the object.
func (s *State) applyPut(offset platform.Offset, r Record, put Put) (Verdict, string) {
	object, err := resource.New(put.Kind)
	if err != nil {
		return Verdict{Code: Invalid, Message: err.Error()}, ""
	}
	if err := json.Unmarshal(put.Object, object); err != nil {
		return Verdict{Code: Invalid, Message: err.Error()}, ""
	}
	name := object.Meta().Name
	if errs := object.Validate(); len(errs) > 0 {
		return Verdict{Code: Invalid, Message: errs.Error()}, name
	}
	return s.putObject(offset, r, object), name
}

func (s *State) putObject(offset platform.Offset, r Record, object resource.Object) Verdict {
	put, meta := *r.Put, object.Meta()
	current, exists := s.Lookup(put.Kind, meta.Name)
	if exists && current.Meta().UID == r.ID {
		// The create that made this resource, repeated after its verdict was forgotten.
		return Verdict{Code: Accepted, Version: current.Meta().ResourceVersion}
	}
	if v, ok := checkVersion(current, exists, put.IfVersion); !ok {
		return v
	}
	if exists && isUnchanged(object, current) {
		return Verdict{Code: Accepted, Version: current.Meta().ResourceVersion}
	}
	if message, ok := s.checkLimit(object, exists); !ok {
		return Verdict{Code: Limit, Message: message}
	}
	inherit(object, current, exists, offset, r)
	if v, ok := s.store(object, current, exists, put); !ok {
		return v
	}
	s.changed(put.Kind, meta.Name, false)
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
	switch {
	case *expected == 0:
		message = fmt.Sprintf("it exists already, at version %d", version)
	case !exists:
		message = fmt.Sprintf("expected version %d, but it does not exist", *expected)
	}
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
	meta.Generation = old.Generation
	if !sameSpec(object, current) {
		meta.Generation++
	}
	meta.ObservedGeneration = old.ObservedGeneration
	if job, ok := object.(*resource.Job); ok {
		old := current.(*resource.Job)
		job.Status, job.Conditions = old.Status, old.Conditions
	}
}

// isUnchanged reports whether a put would change nothing that its writer decides.
func isUnchanged(object, current resource.Object) bool {
	if !sameSpec(object, current) || !maps.Equal(object.Meta().Labels, current.Meta().Labels) {
		return false
	}
	switch o := current.(type) {
	case *resource.Guarantee:
		return o.Status.Zone == object.(*resource.Guarantee).Status.Zone
	case *resource.Job:
		// A put of an ended job is refused, so that nobody waits for it to run again.
		return !o.Status.Phase.Terminal()
	default:
		return true
	}
}

// sameSpec compares encoded specs, because an empty map becomes nil in a snapshot.
func sameSpec(a, b resource.Object) bool {
	return bytes.Equal(encodedSpec(a), encodedSpec(b))
}

func encodedSpec(object resource.Object) []byte {
	var spec any
	switch o := object.(type) {
	case *resource.Job:
		spec = o.Spec
	case *resource.Guarantee:
		spec = o.Spec
	case *resource.Organisation:
		spec = o.Spec
	case *resource.Policy:
		spec = o.Spec
	}
	data, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("state: encode spec of %s: %v", object.Kind(), err))
	}
	return data
}

// checkLimit reports whether a new or changed object fits the limits of the state.
func (s *State) checkLimit(object resource.Object, exists bool) (string, bool) {
	if exists {
		return "", true
	}
	count, limit := 0, 0
	switch o := object.(type) {
	case *resource.Job:
		if s.payloadBytes+len(o.Spec.Payload) > MaxPayloadBytes {
			return fmt.Sprintf("payloads of all jobs together exceed %d bytes", MaxPayloadBytes), false
		}
		count, limit = s.liveJobs, MaxLiveJobs
	case *resource.Guarantee:
		count, limit = len(s.Guarantees), MaxGuarantees
	case *resource.Organisation:
		count, limit = len(s.Organisations), MaxOrganisations
	case *resource.Policy:
		count, limit = len(s.Policies), MaxPolicies
	}
	if count < limit {
		return "", true
	}
	return fmt.Sprintf("there are %d %s, the limit is %d", count, object.Kind(), limit), false
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
	s.changed(del.Kind, del.Name, true)
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// organisationUser names a resource that refers to the organisation. It returns the first by
// name, because the message of a verdict must be the same in every process.
func (s *State) organisationUser(org string) (string, bool) {
	user := ""
	add := func(name string) {
		if user == "" || name < user {
			user = name
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
	return user, user != ""
}

// cancelJob ends a job, or forgets one that has ended already.
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
	s.retireJob(&cancelled)
}

// retireJob stores an ended job without its payload, which no worker needs any more, and
// forgets the oldest ended jobs beyond maxEndedJobs.
func (s *State) retireJob(job *resource.Job) {
	job.Spec.Payload = ""
	s.setJob(job)
	s.changed(resource.KindJob, job.Name, false)
	s.EndedJobs = append(s.EndedJobs, EndedJob{Name: job.Name, UID: job.UID})
	for len(s.EndedJobs) > maxEndedJobs {
		oldest := s.EndedJobs[0]
		s.EndedJobs = s.EndedJobs[1:]
		if job, found := s.Jobs[oldest.Name]; found && job.UID == oldest.UID {
			s.removeJob(oldest.Name)
		}
	}
}

func (s *State) applyClaim(claim Claim) Verdict {
	if len(claim.Zone) > MaxIDBytes || len(claim.Epoch.Holder) > MaxIDBytes {
		return Verdict{Code: Invalid, Message: "the zone or the holder is too long"}
	}
	current, known := s.Zones[claim.Zone]
	if !known && len(s.Zones) >= maxZones {
		return Verdict{Code: Limit, Message: fmt.Sprintf("there are %d zones", maxZones)}
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

func (s *State) applyRelease(release Release) Verdict {
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

// updateJob replaces a status. An ended job keeps its phase: a cancellation that reached the
// log first wins over a late result.
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
		s.retireJob(&updated)
		return
	}
	s.setJob(&updated)
	s.changed(resource.KindJob, u.Name, false)
}

// attemptAllowed reports whether a status with this attempt may replace the job's. Attempts
// never go back, so an update that was appended late cannot undo a newer one. A job that must
// not run twice never gets a second attempt.
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
	s.changed(resource.KindGuarantee, u.Name, false)
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
