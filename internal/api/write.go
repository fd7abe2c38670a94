package api

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// maxGuaranteeChecks is the maximum number of checks of one guarantee in a request. A check is
// repeated if another guarantee of the zone changed during it.
const maxGuaranteeChecks = 5

// maxRequestIDBytes leaves room for the number that checkRecordID appends.
const maxRequestIDBytes = state.MaxIDBytes - 8

// request is one write request of an operator.
type request struct {
	id string
	// delete is true for a delete and false for a put.
	delete bool
	kind   resource.Kind
	name   string
	// version is the expected resource version. nil accepts any version; 0 requires that the
	// resource does not exist.
	version *uint64
	// mustExist is set by the header If-Match: *.
	mustExist bool
}

// parseRequest reads the path and headers that all writes have in common.
func parseRequest(r *http.Request) (request, error) {
	req := request{delete: r.Method == http.MethodDelete, kind: resource.Kind(r.PathValue("kind")), name: r.PathValue("name")}
	if _, err := resource.New(req.kind); err != nil {
		return req, unknownKind(string(req.kind))
	}
	var err error
	if req.id, err = requestID(r); err != nil {
		return req, err
	}
	req.version, err = expectedVersion(r)
	req.mustExist = r.Header.Get("If-Match") == "*"
	return req, err
}

// requestID returns the id that makes repeated writes idempotent: that of the caller's headers, or a
// new one if the caller sent none.
func requestID(r *http.Request) (string, error) {
	id := r.Header.Get(platform.HeaderIdempotencyKey)
	if id == "" {
		id = r.Header.Get(platform.HeaderRequestID)
	}
	if id == "" {
		return uuid.NewString(), nil
	}
	if !validID(id) {
		return "", problem(http.StatusBadRequest, "the request id must be 1 to %d visible ASCII characters without spaces", maxRequestIDBytes)
	}
	return id, nil
}

func validID(id string) bool {
	if id == "" || len(id) > maxRequestIDBytes {
		return false
	}
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// expectedVersion returns the version that If-Match and If-None-Match require, with the meaning of
// request.version.
func expectedVersion(r *http.Request) (*uint64, error) {
	match, noneMatch := r.Header.Get("If-Match"), r.Header.Get("If-None-Match")
	switch {
	case noneMatch != "" && (noneMatch != "*" || match != ""):
		return nil, problem(http.StatusBadRequest, "If-None-Match must be * and cannot be used with If-Match")
	case noneMatch == "*":
		return new(uint64), nil
	case match == "" || match == "*":
		return nil, nil
	}
	version, err := strconv.ParseUint(strings.Trim(match, `"`), 10, 64)
	if err != nil || version == 0 {
		return nil, problem(http.StatusBadRequest, "If-Match must be a resource version, for example \"42\"")
	}
	return &version, nil
}

// put creates or replaces a resource.
func (a *API) put(w http.ResponseWriter, r *http.Request) error {
	req, err := parseRequest(r)
	if err != nil {
		return err
	}
	data, err := readBody(w, r)
	if err != nil {
		return err
	}
	object, err := DecodeObject(req.kind, data)
	if err != nil {
		return err
	}
	if err := req.preparePut(object); err != nil {
		return err
	}
	if req.mustExist && !a.exists(req) {
		return rejectedProblem(req, http.StatusPreconditionFailed, fmt.Sprintf("there is no %s %q to replace", req.kind, req.name))
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	verdict, err := a.putObject(ctx, req, object)
	if err != nil {
		return err
	}
	return a.writePutResponse(w, req, object, verdict)
}

// preparePut validates the object of a put and sets its name from the path. A resource version in
// the body is treated as If-Match, so that writing back a copy read earlier cannot undo a later
// change. All other metadata except the labels is cleared.
func (req *request) preparePut(object resource.Object) error {
	meta := object.Meta()
	if meta.Name == "" {
		meta.Name = req.name
	}
	if meta.Name != req.name {
		return fieldProblem("metadata.name", meta.Name, "equal to the name in the path, "+strconv.Quote(req.name))
	}
	if errs := object.Validate(); len(errs) > 0 {
		return fieldsProblem(errs)
	}
	if req.version == nil && meta.ResourceVersion != 0 {
		version := meta.ResourceVersion
		req.version = &version
	}
	*meta = resource.Metadata{Name: meta.Name, Labels: meta.Labels}
	return nil
}

// checkRecordID returns the id of the record that a request writes after its check with the given
// number, counted from 1. Each check of a guarantee writes a record of its own; a repeated request
// uses the same ids again.
func checkRecordID(id string, attempt int) string {
	if attempt == 1 {
		return id
	}
	return fmt.Sprintf("%s#%d", id, attempt)
}

// findVerdict returns the verdict on the last attempt of a request and the attempt number, which is
// 0 if the state has no attempt of the request.
func findVerdict(s *state.State, id string) (state.Verdict, int) {
	var last state.Verdict
	for attempt := 1; attempt <= maxGuaranteeChecks; attempt++ {
		v, found := s.Verdicts[checkRecordID(id, attempt)]
		if !found {
			return last, attempt - 1
		}
		last = v
	}
	return last, maxGuaranteeChecks
}

// putObject writes a put and returns the verdict. If the guarantees that it was checked against
// changed before it was applied (RevisionConflict), it checks and writes again, up to
// maxGuaranteeChecks times. An earlier request with the same id is continued.
func (a *API) putObject(ctx context.Context, req request, object resource.Object) (state.Verdict, error) {
	verdict, attempt, err := a.previousVerdict(req)
	if err != nil {
		return verdict, err
	}
	for attempt < maxGuaranteeChecks && (attempt == 0 || verdict.Code == state.RevisionConflict) {
		attempt++
		put := state.Put{Kind: req.kind, IfVersion: req.version}
		if err := a.assignStatus(ctx, req, object, &put); err != nil {
			return verdict, err
		}
		if put.Object, err = json.Marshal(object); err != nil {
			return verdict, err
		}
		verdict, err = a.deps.Writer.Write(ctx, state.Record{ID: checkRecordID(req.id, attempt), Put: &put})
		if err != nil {
			return verdict, writeFailureProblem(req.id, err)
		}
	}
	return verdict, nil
}

// isVersionConflict reports whether a conflict is due to the version that the caller expected.
func isVersionConflict(v state.Verdict, req request) bool {
	return req.version != nil && *req.version != v.Version
}

// previousVerdict returns the verdict on an earlier request with the same id and the number of its
// attempts, 0 if there was none. It returns a problem if the id was used for a write of another
// resource or for another kind of write.
func (a *API) previousVerdict(req request) (state.Verdict, int, error) {
	var verdict state.Verdict
	var attempts int
	a.deps.Reader.Read(func(s *state.State) { verdict, attempts = findVerdict(s, req.id) })
	if attempts > 0 && (verdict.Resource != string(req.kind)+"/"+req.name || verdict.Delete != req.delete) {
		detail := fmt.Sprintf("the request id was used before, for another write (%q)", verdict.Resource)
		return verdict, attempts, rejectedProblem(req, http.StatusUnprocessableEntity, detail)
	}
	return verdict, attempts, nil
}

// assignStatus sets the parts of the status and conditions that are decided when a resource is
// written. Values from the request body are ignored.
func (a *API) assignStatus(ctx context.Context, req request, object resource.Object, put *state.Put) error {
	switch o := object.(type) {
	case *resource.Job:
		o.Status, o.Conditions = resource.JobStatus{}, nil
		return a.assignJobZone(ctx, req, o)
	case *resource.Guarantee:
		return a.assignGuaranteeZone(ctx, req, o, put)
	case *resource.Organisation:
		o.Conditions = nil
	case *resource.Policy:
		o.Conditions = nil
	}
	return nil
}

func (a *API) exists(req request) bool {
	exists := false
	a.deps.Reader.Read(func(s *state.State) { _, exists = s.Lookup(req.kind, req.name) })
	return exists
}

// assignJobZone chooses the zone of a new job. An existing job keeps its zone.
func (a *API) assignJobZone(ctx context.Context, req request, job *resource.Job) error {
	if a.deps.Zones == nil || a.exists(req) {
		return nil
	}
	zone, rejection, err := a.deps.Zones.ChooseZone(ctx, job)
	switch {
	case err != nil:
		return rejectedProblem(req, http.StatusServiceUnavailable, "no zone could be chosen: "+err.Error())
	case rejection != "":
		a.recordRejection(req, rejection)
		return rejectedProblem(req, http.StatusUnprocessableEntity, "the job can never run: "+rejection)
	}
	job.Status.Zone = zone
	return nil
}

// assignGuaranteeZone checks a guarantee, sets its zone and condition, and makes the put conditional
// on the guarantees of that zone.
func (a *API) assignGuaranteeZone(ctx context.Context, req request, g *resource.Guarantee, put *state.Put) error {
	if a.deps.Guarantees == nil {
		return rejectedProblem(req, http.StatusServiceUnavailable, "this instance cannot check guarantees")
	}
	// The revisions are read before the check, so a change during the check makes the put fail
	// with RevisionConflict.
	var revisions map[string]uint64
	a.deps.Reader.Read(func(s *state.State) { revisions = maps.Clone(s.GuaranteeRevision) })
	zone, result, err := a.deps.Guarantees.CheckGuarantee(ctx, g)
	switch {
	case err != nil:
		return rejectedProblem(req, http.StatusServiceUnavailable, "the guarantee could not be checked: "+err.Error())
	case !result.Honourable:
		a.recordRejection(req, result.Reason)
		return rejectedProblem(req, http.StatusUnprocessableEntity, "the guarantee cannot be honoured: "+result.Reason)
	}
	g.Status.Zone = zone
	put.IfGuaranteeRevision = revisions[zone]
	g.Conditions = []resource.Condition{{
		Type: resource.ConditionHonourable, Status: resource.ConditionTrue, Reason: "Checked", Since: a.deps.Now().UTC(),
	}}
	return nil
}

func rejectedProblem(req request, status int, detail string) *Problem {
	p := problem(status, "%s", detail)
	p.Outcome, p.RequestID = OutcomeRejected, req.id
	return p
}

// recordRejection adds an event for a rejected request to the timeline.
func (a *API) recordRejection(req request, reason string) {
	event := timeline.Event{Type: timeline.TypeRefusal, Name: string(req.kind) + "-refused", Request: req.id, Reason: reason}
	if req.kind == resource.KindJob {
		event.Job = req.name
	}
	a.deps.Events.Record(event)
}

// writePutResponse writes the resource in the version of this write, even if a later write has
// changed it since. The status is 201 if the write created the resource.
func (a *API) writePutResponse(w http.ResponseWriter, req request, written resource.Object, v state.Verdict) error {
	// Version 0 requires that the resource does not exist; a conflict with that gets status 409, not 412.
	if p := verdictProblem(req.id, v, isVersionConflict(v, req) && *req.version != 0); p != nil {
		a.recordRejection(req, v.Message)
		return p
	}
	w.Header().Set(platform.HeaderRequestID, req.id)
	object := written
	object.Meta().ResourceVersion = v.Version
	a.deps.Reader.Read(func(s *state.State) {
		current, found := s.Lookup(req.kind, req.name)
		if found && current.Meta().ResourceVersion == v.Version {
			object = current
		}
	})
	status := http.StatusOK
	if object.Meta().ResourceVersion == v.Version && isCreate(object, req) {
		status = http.StatusCreated
	}
	return writeObject(w, status, object)
}

// isCreate reports whether the request created the resource. The UID of a resource is the record id
// of the write that created it.
func isCreate(object resource.Object, req request) bool {
	uid := object.Meta().UID
	return uid == req.id || strings.HasPrefix(uid, req.id+"#")
}

// Deleted is the response to a delete that removed a resource.
type Deleted struct {
	Kind    resource.Kind `json:"kind"`
	Name    string        `json:"name"`
	Deleted bool          `json:"deleted"`
	Version uint64        `json:"resourceVersion"`
}

// delete removes a resource. A job that has not ended is cancelled instead.
func (a *API) delete(w http.ResponseWriter, r *http.Request) error {
	req, err := parseRequest(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	verdict, attempts, err := a.previousVerdict(req)
	if err != nil {
		return err
	}
	if attempts == 0 {
		record := state.Record{ID: req.id, Delete: &state.Delete{Kind: req.kind, Name: req.name, IfVersion: req.version}}
		if verdict, err = a.deps.Writer.Write(ctx, record); err != nil {
			return writeFailureProblem(req.id, err)
		}
	}
	if p := verdictProblem(req.id, verdict, isVersionConflict(verdict, req)); p != nil {
		return p
	}
	w.Header().Set(platform.HeaderRequestID, req.id)
	var current resource.Object
	a.deps.Reader.Read(func(s *state.State) { current, _ = s.Lookup(req.kind, req.name) })
	if current != nil && current.Meta().ResourceVersion == verdict.Version {
		return writeObject(w, http.StatusOK, current)
	}
	return writeJSON(w, http.StatusOK, Deleted{Kind: req.kind, Name: req.name, Deleted: true, Version: verdict.Version})
}
