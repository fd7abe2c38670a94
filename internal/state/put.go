package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// applyPut applies a put. It returns the verdict and the name of the object.
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
		// The record that created this resource was appended again after its verdict was dropped.
		return Verdict{Code: Accepted, Version: current.Meta().ResourceVersion}
	}
	if v, ok := checkVersion(current, exists, put.IfVersion); !ok {
		return v
	}
	if exists && isUnchanged(object, current) {
		return Verdict{Code: Accepted, Version: current.Meta().ResourceVersion}
	}
	if message, ok := s.checkLimit(object, exists); !ok {
		return Verdict{Code: LimitReached, Message: message}
	}
	setManagedFields(object, current, exists, offset, r)
	if v, ok := s.store(object, current, exists, put); !ok {
		return v
	}
	s.recordChange(put.Kind, meta.Name, false)
	return Verdict{Code: Accepted, Version: uint64(offset)}
}

// checkVersion compares the expected version of a write with the current one, which is 0 for a
// resource that does not exist. If they differ, it returns a Conflict verdict and false.
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

// setManagedFields sets the metadata that writers do not choose. For a job that exists it also
// keeps the current status and conditions.
func setManagedFields(object, current resource.Object, exists bool, offset platform.Offset, r Record) {
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

// isUnchanged reports whether a put leaves every field that its writer controls as it is.
func isUnchanged(object, current resource.Object) bool {
	if !sameSpec(object, current) || !maps.Equal(object.Meta().Labels, current.Meta().Labels) {
		return false
	}
	switch o := current.(type) {
	case *resource.Guarantee:
		return o.Status.Zone == object.(*resource.Guarantee).Status.Zone
	case *resource.Job:
		// A put of an ended job is rejected, so that its caller does not expect another run.
		return !o.Status.Phase.Terminal()
	default:
		return true
	}
}

// sameSpec reports whether two objects have the same spec. It compares the encoded specs, because
// a snapshot turns an empty map into nil.
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

// checkLimit reports whether an object fits the limits of the state, and otherwise returns the
// message of the verdict. A change to an object that exists always fits.
func (s *State) checkLimit(object resource.Object, exists bool) (string, bool) {
	if exists {
		return "", true
	}
	count, limit := 0, 0
	switch o := object.(type) {
	case *resource.Job:
		if s.payloadBytes+len(o.Spec.Payload) > MaxTotalPayloadBytes {
			return fmt.Sprintf("payloads of all jobs together exceed %d bytes", MaxTotalPayloadBytes), false
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
