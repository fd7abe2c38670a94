package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// Limits of the state. They decide the effect of a record, so a change to one of them requires a
// higher RecordVersion.
const (
	// maxEndedJobs is the number of ended jobs that stay readable; older ones are removed.
	maxEndedJobs = 2000
	// MaxLiveJobs is the maximum number of jobs that have not ended, about the jobs of a week at
	// the size that the system is designed for.
	MaxLiveJobs = 20_000
	// MaxTotalPayloadBytes is the maximum total size of the payloads of all live jobs.
	MaxTotalPayloadBytes = 8 << 20
	// MaxOrganisations, MaxGuarantees and MaxPolicies are the maximum numbers of the other kinds.
	MaxOrganisations = 1000
	MaxGuarantees    = 4000
	MaxPolicies      = 100
	// maxZones and maxQuarantined are the maximum numbers of zones that claims can add and of
	// quarantined workers that zone updates can add.
	maxZones       = 256
	maxQuarantined = 4000
	// maxMessageBytes is the length to which the message and the resource of a verdict, and the
	// reason of a quarantine, are truncated.
	maxMessageBytes = 512
)

// Code is the kind of effect that a record had.
type Code string

// Codes of verdicts.
const (
	// Accepted means that the record took effect.
	Accepted Code = "accepted"
	// Conflict means that an expected version or epoch was not the current one, that the job has
	// ended, or that an organisation to delete is still in use.
	Conflict Code = "conflict"
	// RevisionConflict means that the guarantees of the zone changed after a guarantee was
	// checked against them, so it must be checked again.
	RevisionConflict Code = "revision-conflict"
	// NotFound means that the resource does not exist.
	NotFound Code = "not-found"
	// Invalid means that the content of the record breaks a rule.
	Invalid Code = "invalid"
	// Stale means that the record is more than AppendWindow offsets after its base.
	Stale Code = "stale"
	// LimitReached means that the record would exceed a limit of the state.
	LimitReached Code = "limit"
)

// Verdict describes the effect of a record on the state.
type Verdict struct {
	Code Code `json:"code"`
	// Version is the resource version after the record, or 0 if the verdict reports none. After
	// an accepted delete or zone update it is the offset of the record.
	Version uint64 `json:"version,omitempty"`
	Message string `json:"message,omitempty"`
	// Resource is the kind and name of the resource of a put or a delete, for example "jobs/a".
	Resource string `json:"resource,omitempty"`
	// Delete is true if the record was a delete.
	Delete bool `json:"delete,omitempty"`
	// Offset is the offset at which the record was applied with this verdict.
	Offset platform.Offset `json:"offset"`
}

// ZoneLeader is the leader of a zone as recorded in the state.
type ZoneLeader struct {
	Epoch platform.Epoch `json:"epoch"`
	// Released is true after a planned handover. Successor is the instance to claim the zone next.
	Released  bool   `json:"released,omitempty"`
	Successor string `json:"successor,omitempty"`
}

// State is the durable state at one offset. It is not safe for concurrent use. The objects in
// its maps are replaced and never modified, so readers may retain them.
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
	// GuaranteeRevision has the number of changes to the guarantees of each zone.
	GuaranteeRevision map[string]uint64 `json:"guaranteeRevision"`
	// PolicyVersion is the offset of the last accepted change to a policy.
	PolicyVersion platform.Offset `json:"policyVersion"`
	// Verdicts has the verdicts of the last AppendWindow offsets, by record id.
	Verdicts map[string]Verdict `json:"verdicts"`
	// VerdictOrder has the ids of Verdicts, oldest first.
	VerdictOrder []string `json:"verdictOrder"`
	// EndedJobs has the ended jobs, oldest first.
	EndedJobs []EndedJob `json:"endedJobs"`

	// history has the newest changes, for watchers. It is not part of a snapshot.
	history history
	// liveJobs and payloadBytes are the number of jobs that have not ended and the total size of
	// their payloads. Both are derived from Jobs.
	liveJobs     int
	payloadBytes int
}

// EndedJob identifies an ended job. Its UID differs from that of a later job with the same name.
type EndedJob struct {
	Name string `json:"name"`
	UID  string `json:"uid"`
}

// New returns the empty state before the first record.
func New() *State {
	s := &State{Format: RecordVersion}
	s.init()
	return s
}

// Clone returns a copy of the state. The copy shares the objects, which are never modified, and
// has no history of changes.
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

// init creates the maps that a decoded snapshot may lack and computes the derived fields.
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
		s.countLiveJob(job, +1)
	}
}

func initMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = make(map[K]V)
	}
}

// Lookup returns the resource of a kind and name, or false if it does not exist.
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

// Each calls f for each resource of a kind, in no particular order.
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

// Apply applies the record at offset and returns its verdict. A record whose id was applied within
// the last AppendWindow offsets has no further effect and gets the verdict of its first
// application. Apply panics if offset is not above s.Applied. The caller applies every offset: it
// calls Skip for an entry that cannot be decoded.
func (s *State) Apply(offset platform.Offset, r Record) Verdict {
	s.advance(offset)
	if v, seen := s.Verdicts[r.ID]; seen {
		return v
	}
	v := s.apply(offset, r)
	v.Offset = offset
	v.Message = truncate(v.Message)
	s.storeVerdict(r, v)
	return v
}

func truncate(message string) string {
	if len(message) <= maxMessageBytes {
		return message
	}
	return strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
}

// Skip advances the state past an entry that has no effect.
func (s *State) Skip(offset platform.Offset) { s.advance(offset) }

func (s *State) advance(offset platform.Offset) {
	if offset <= s.Applied {
		panic(fmt.Sprintf("state: offset %d applied after %d", offset, s.Applied))
	}
	s.Applied = offset
	s.dropOldVerdicts()
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

// storeVerdict keeps the verdict of a record. Parts of a snapshot need none.
func (s *State) storeVerdict(r Record, v Verdict) {
	if r.SnapshotPart != nil {
		return
	}
	s.Verdicts[r.ID] = v
	s.VerdictOrder = append(s.VerdictOrder, r.ID)
}

// dropOldVerdicts removes the verdicts that are more than AppendWindow offsets old.
func (s *State) dropOldVerdicts() {
	for len(s.VerdictOrder) > 0 {
		id := s.VerdictOrder[0]
		if s.Verdicts[id].Offset+AppendWindow >= s.Applied {
			return
		}
		delete(s.Verdicts, id)
		s.VerdictOrder = s.VerdictOrder[1:]
	}
}

// Policy returns the policy in force, with defaults for the fields that it does not set.
func (s *State) Policy() resource.PolicySpec {
	if policy, found := s.Policies[resource.DefaultPolicyName]; found {
		return policy.Spec.WithDefaults()
	}
	return resource.PolicySpec{}.WithDefaults()
}
