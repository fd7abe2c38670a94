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

// maxGuaranteeChecks bounds the checks of one guarantee when others of the zone change.
const maxGuaranteeChecks = 5

// maxRequestIDBytes leaves room for the number of an attempt in the id of its record.
const maxRequestIDBytes = state.MaxIDBytes - 8

// request is one write of an operator.
type request struct {
	id string
	// delete tells a delete from a put.
	delete bool
	kind   resource.Kind
	name   string
	// version is the expected resource version; nil accepts any, 0 none.
	version *uint64
	// mustExist is set by If-Match: *.
	mustExist bool
}

// parseRequest reads what is common to all writes.
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

// requestID returns the id that makes a repeated write have one effect. The caller chooses it;
// otherwise it is new.
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

// expectedVersion reads If-Match and If-None-Match.
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
	if err := req.completePut(object); err != nil {
		return err
	}
	if req.mustExist && !a.exists(req) {
		return refusedProblem(req, http.StatusPreconditionFailed, fmt.Sprintf("there is no %s %q to replace", req.kind, req.name))
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	verdict, err := a.putObject(ctx, req, object)
	if err != nil {
		return err
	}
	return a.answerPut(w, req, object, verdict)
}

// completePut checks the object of a put and takes over the name of the path. A version in
// the body counts as If-Match, so that a copy read earlier cannot undo a later change.
func (req *request) completePut(object resource.Object) error {
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

// attemptID returns the record id of an attempt of a request. Each check of a guarantee has its
// own record, and a repeated request uses the same ids again.
func attemptID(id string, attempt int) string {
	if attempt == 1 {
		return id
	}
	return fmt.Sprintf("%s#%d", id, attempt)
}

// findVerdict returns the verdict of the last attempt of a request and the attempt's number.
// The number is 0 if no attempt is known.
func findVerdict(s *state.State, id string) (state.Verdict, int) {
	var last state.Verdict
	for attempt := 1; attempt <= maxGuaranteeChecks; attempt++ {
		v, found := s.Verdicts[attemptID(id, attempt)]
		if !found {
			return last, attempt - 1
		}
		last = v
	}
	return last, maxGuaranteeChecks
}

// putObject writes a put until it has a verdict that is not a change of the guarantees that
// it was checked against. An earlier request with the same id is continued.
func (a *API) putObject(ctx context.Context, req request, object resource.Object) (state.Verdict, error) {
	verdict, attempt, err := a.earlierVerdict(req)
	if err != nil {
		return verdict, err
	}
	for attempt < maxGuaranteeChecks && (attempt == 0 || verdict.Code == state.RevisionConflict) {
		attempt++
		put := state.Put{Kind: req.kind, IfVersion: req.version}
		if err := a.assign(ctx, req, object, &put); err != nil {
			return verdict, err
		}
		if put.Object, err = json.Marshal(object); err != nil {
			return verdict, err
		}
		verdict, err = a.deps.Writer.Write(ctx, state.Record{ID: attemptID(req.id, attempt), Put: &put})
		if err != nil {
			return verdict, writeError(req.id, err)
		}
	}
	return verdict, nil
}

// isVersionConflict reports whether a conflict is about the version that the caller expects.
func isVersionConflict(v state.Verdict, req request) bool {
	return req.version != nil && *req.version != v.Version
}

// earlierVerdict finds the verdict of an earlier request with the same id, and how many
// attempts it made. An id that was used for another resource is refused.
func (a *API) earlierVerdict(req request) (state.Verdict, int, error) {
	var verdict state.Verdict
	var attempts int
	a.deps.Reader.Read(func(s *state.State) { verdict, attempts = findVerdict(s, req.id) })
	if attempts > 0 && (verdict.Resource != string(req.kind)+"/"+req.name || verdict.Delete != req.delete) {
		detail := fmt.Sprintf("the request id was used before, for another write (%q)", verdict.Resource)
		return verdict, attempts, refusedProblem(req, http.StatusUnprocessableEntity, detail)
	}
	return verdict, attempts, nil
}

// assign sets the part of the status that is decided at creation. What the body has there is
// ignored.
func (a *API) assign(ctx context.Context, req request, object resource.Object, put *state.Put) error {
	switch o := object.(type) {
	case *resource.Job:
		o.Status, o.Conditions = resource.JobStatus{}, nil
		return a.assignJob(ctx, req, o)
	case *resource.Guarantee:
		return a.assignGuarantee(ctx, req, o, put)
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

func (a *API) assignJob(ctx context.Context, req request, job *resource.Job) error {
	if a.deps.Zones == nil || a.exists(req) {
		return nil
	}
	zone, refusal, err := a.deps.Zones.ChooseZone(ctx, job)
	switch {
	case err != nil:
		return refusedProblem(req, http.StatusServiceUnavailable, "no zone could be chosen: "+err.Error())
	case refusal != "":
		a.refused(req, refusal)
		return refusedProblem(req, http.StatusUnprocessableEntity, "the job can never run: "+refusal)
	}
	job.Status.Zone = zone
	return nil
}

func (a *API) assignGuarantee(ctx context.Context, req request, g *resource.Guarantee, put *state.Put) error {
	if a.deps.Guarantees == nil {
		return refusedProblem(req, http.StatusServiceUnavailable, "this instance cannot check guarantees")
	}
	// The revisions are read before the check, so that a change during it is a conflict.
	var revisions map[string]uint64
	a.deps.Reader.Read(func(s *state.State) { revisions = maps.Clone(s.GuaranteeRevision) })
	zone, result, err := a.deps.Guarantees.CheckGuarantee(ctx, g)
	switch {
	case err != nil:
		return refusedProblem(req, http.StatusServiceUnavailable, "the guarantee could not be checked: "+err.Error())
	case !result.Honourable:
		a.refused(req, result.Reason)
		return refusedProblem(req, http.StatusUnprocessableEntity, "the guarantee cannot be honoured: "+result.Reason)
	}
	g.Status.Zone = zone
	put.IfGuaranteeRevision = revisions[zone]
	g.Conditions = []resource.Condition{{
		Type: resource.ConditionHonourable, Status: resource.ConditionTrue, Reason: "Checked", Since: a.deps.Now().UTC(),
	}}
	return nil
}

func refusedProblem(req request, status int, detail string) *Problem {
	p := problem(status, "%s", detail)
	p.Outcome, p.RequestID = OutcomeRefused, req.id
	return p
}

func (a *API) refused(req request, reason string) {
	event := timeline.Event{Type: timeline.TypeRefusal, Name: string(req.kind) + "-refused", Request: req.id, Reason: reason}
	if req.kind == resource.KindJob {
		event.Job = req.name
	}
	a.deps.Events.Record(event)
}

// answerPut answers with the resource as this write made it, even if another write has followed.
// Status 201 is for a create.
func (a *API) answerPut(w http.ResponseWriter, req request, written resource.Object, v state.Verdict) error {
	if p := verdictProblem(req.id, v, isVersionConflict(v, req) && *req.version != 0); p != nil {
		a.refused(req, v.Message)
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

// isCreate reports whether the request made the resource.
func isCreate(object resource.Object, req request) bool {
	uid := object.Meta().UID
	return uid == req.id || strings.HasPrefix(uid, req.id+"#")
}

// Deleted is the answer to a delete that removed a resource.
type Deleted struct {
	Kind    resource.Kind `json:"kind"`
	Name    string        `json:"name"`
	Deleted bool          `json:"deleted"`
	Version uint64        `json:"resourceVersion"`
}

// delete removes a resource or cancels a job.
func (a *API) delete(w http.ResponseWriter, r *http.Request) error {
	req, err := parseRequest(r)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	verdict, attempts, err := a.earlierVerdict(req)
	if err != nil {
		return err
	}
	if attempts == 0 {
		record := state.Record{ID: req.id, Delete: &state.Delete{Kind: req.kind, Name: req.name, IfVersion: req.version}}
		if verdict, err = a.deps.Writer.Write(ctx, record); err != nil {
			return writeError(req.id, err)
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
