package state

import (
	"fmt"
	"maps"
	"slices"
	"strings"

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
	// LimitReached means that a limit of the state is reached.
	LimitReached Code = "limit"
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

// Policy returns the policy in force, with defaults filled in.
func (s *State) Policy() resource.PolicySpec {
	if policy, found := s.Policies[resource.DefaultPolicyName]; found {
		return policy.Spec.WithDefaults()
	}
	return resource.PolicySpec{}.WithDefaults()
}
