package standin

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Limits of requests to the control address: the size of a body in bytes, and the number of ids in
// one ExecutedRequest.
const (
	maxControlBytes = 4 << 20
	maxQueriedIDs   = 20_000
)

// faultTable contains the faults of the last PUT of each path that was not deleted since. It serves
// only to list them. It doesn't show which faults are in force at each worker or target: different
// paths can select the same worker, and faults that were set in the process are missing.
type faultTable struct {
	mu sync.Mutex
	// byPath contains the JSON of the faults by "SERVICE" or "SERVICE/SELECTOR".
	byPath map[string]json.RawMessage
}

func newFaultTable() *faultTable { return &faultTable{byPath: make(map[string]json.RawMessage)} }

func (t *faultTable) put(path string, faults json.RawMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if faults == nil {
		delete(t.byPath, path)
		return
	}
	t.byPath[path] = faults
}

func (t *faultTable) encode() ([]byte, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return json.Marshal(t.byPath)
}

// ExecutedRequest asks how often all targets together executed each of the requests with these ids.
type ExecutedRequest struct {
	IDs []string `json:"ids"`
}

// ExecutedResponse contains the number of executions by request id. It omits ids that were never
// executed, and ids that their targets dropped because they had recorded maxExecutedIDs.
type ExecutedResponse struct {
	Counts map[string]int `json:"counts"`
}

// Paths of the control address.
const (
	// FaultsPath lists with GET the faults of the last PUT of each path that was not deleted since.
	// Followed by SERVICE or SERVICE/SELECTOR, it sets faults with PUT and clears them with DELETE;
	// see Server.SetFaults.
	FaultsPath = "/faults/"
	// ExecutedPath responds to POST of an ExecutedRequest with an ExecutedResponse.
	ExecutedPath = "/executed"
	// RunsPath returns a list of Run.
	RunsPath = "/runs"
	// PartialGangsPath returns a list of PartialGang.
	PartialGangsPath = "/partial"
	// TargetsPath returns a list of TargetStats.
	TargetsPath = "/targets"
	// InstancePath, followed by an id, sets the state of an instance in the instance list with PUT
	// and removes the instance from the list with DELETE.
	InstancePath = "/instances/"
)

func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+FaultsPath, func(rw http.ResponseWriter, _ *http.Request) {
		data, err := s.faults.encode()
		writeControlResponse(rw, json.RawMessage(data), err)
	})
	for _, method := range []string{http.MethodPut, http.MethodDelete} {
		mux.HandleFunc(method+" "+FaultsPath+"{service}", s.handleFaults)
		mux.HandleFunc(method+" "+FaultsPath+"{service}/{selector}", s.handleFaults)
	}
	mux.HandleFunc("PUT "+InstancePath+"{id}", s.handleInstance)
	mux.HandleFunc("DELETE "+InstancePath+"{id}", func(rw http.ResponseWriter, r *http.Request) {
		s.Instances.Remove(r.PathValue("id"))
		rw.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST "+ExecutedPath, s.handleExecuted)
	mux.HandleFunc("GET "+RunsPath, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, s.Fleet.Runs())
	})
	mux.HandleFunc("GET "+PartialGangsPath, func(rw http.ResponseWriter, _ *http.Request) {
		writeJSON(rw, http.StatusOK, partialGangs(s.Fleet.LongestPartialTimes()))
	})
	mux.HandleFunc("GET "+TargetsPath, func(rw http.ResponseWriter, _ *http.Request) {
		stats := make([]TargetStats, len(s.Targets))
		for i, target := range s.Targets {
			stats[i] = target.Stats()
		}
		writeJSON(rw, http.StatusOK, stats)
	})
	return mux
}

// PartialGang is the longest continuous time in which only a part of the gang of one attempt was
// present, as LongestPartialTimes computes it.
type PartialGang struct {
	JobUID  string  `json:"jobUID"`
	Attempt uint64  `json:"attempt"`
	Seconds float64 `json:"seconds"`
}

// writeControlResponse sends value as JSON, or the error: ErrNotFound as status 404, any other as
// status 400.
func writeControlResponse(rw http.ResponseWriter, value any, err error) {
	switch {
	case err == nil:
		writeJSON(rw, http.StatusOK, value)
	case errors.Is(err, ErrNotFound):
		http.Error(rw, err.Error(), http.StatusNotFound)
	default:
		http.Error(rw, err.Error(), http.StatusBadRequest)
	}
}

func (s *Server) handleFaults(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, maxControlBytes))
	if err != nil {
		writeControlResponse(rw, nil, err)
		return
	}
	recorded := json.RawMessage(data)
	if r.Method == http.MethodDelete {
		data, recorded = []byte("{}"), nil
	}
	service, selector := r.PathValue("service"), r.PathValue("selector")
	if err := s.SetFaults(service, selector, data); err != nil {
		writeControlResponse(rw, nil, err)
		return
	}
	s.faults.put(strings.TrimSuffix(service+"/"+selector, "/"), recorded)
	rw.WriteHeader(http.StatusNoContent)
}

// SetFaults replaces the faults of a service (log, instances, workers or targets) by those in data,
// which is JSON. For workers and targets, the selector is an id, "*", "zone:NAME" or "rack:NAME";
// for the log and the instance list it is ignored.
// SetFaults returns ErrNotFound for an unknown service or if the selector matches nothing, and
// ErrInvalidFaults if data is malformed or out of bounds.
func (s *Server) SetFaults(service, selector string, data []byte) error {
	switch service {
	case "log":
		return setFaultsOf(data, s.Log.SetFaults)
	case "instances":
		return setFaultsOf(data, s.Instances.SetFaults)
	case "workers":
		return setFaultsOfEach(data, s.selectIDs(platform.KindWorker, selector), s.Fleet.SetFaults)
	case "targets":
		return setFaultsOfEach(data, s.selectIDs(platform.KindTarget, selector), s.setTargetFaults)
	default:
		return fmt.Errorf("%w: service %q", ErrNotFound, service)
	}
}

func setFaultsOf[T validator](data []byte, set func(T)) error {
	faults, err := decodeFaults[T](data)
	if err != nil {
		return err
	}
	set(faults)
	return nil
}

func setFaultsOfEach[T validator](data []byte, ids []string, set func(string, T) error) error {
	faults, err := decodeFaults[T](data)
	if err != nil {
		return err
	}
	if len(ids) == 0 {
		return fmt.Errorf("%w: the selector matches no worker or target", ErrNotFound)
	}
	var errs []error
	for _, id := range ids {
		errs = append(errs, set(id, faults))
	}
	return errors.Join(errs...)
}

// validator is implemented by the fault types of all services.
type validator interface{ Validate() error }

// decodeFaults decodes and validates faults. It rejects unknown fields, because a misspelt fault
// would otherwise be ignored silently.
func decodeFaults[T validator](data []byte) (T, error) {
	var faults T
	decoder := json.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&faults); err != nil {
		return faults, fmt.Errorf("%w: %w", ErrInvalidFaults, err)
	}
	return faults, faults.Validate()
}

// selectIDs returns the ids of the instances of a kind that match the selector of SetFaults.
func (s *Server) selectIDs(kind platform.InstanceKind, selector string) []string {
	key, value, _ := strings.Cut(selector, ":")
	var ids []string
	for _, row := range s.Instances.Current() {
		matches := selector == "*" || selector == row.ID ||
			key == "zone" && value == row.Zone || key == "rack" && value == row.Rack
		if row.Kind == kind && matches {
			ids = append(ids, row.ID)
		}
	}
	return ids
}

// setTargetFaults replaces the faults of one target, and closes the target's port for the time of
// an outage.
func (s *Server) setTargetFaults(id string, f TargetFaults) error {
	for _, target := range s.Targets {
		if target.config.ID != id {
			continue
		}
		target.SetFaults(f)
		if f.Outage {
			s.targetListeners[id].down()
			return nil
		}
		return s.targetListeners[id].up()
	}
	return fmt.Errorf("%w: target %q", ErrNotFound, id)
}

func (s *Server) handleInstance(rw http.ResponseWriter, r *http.Request) {
	var change struct {
		State platform.InstanceState `json:"state"`
	}
	if err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxControlBytes)).Decode(&change); err != nil {
		writeControlResponse(rw, nil, err)
		return
	}
	if change.State != platform.StateLive && change.State != platform.StateLeaving {
		writeControlResponse(rw, nil, fmt.Errorf("standin: unknown state %q", change.State))
		return
	}
	id := r.PathValue("id")
	if err := s.Instances.SetState(id, change.State); err != nil {
		writeControlResponse(rw, nil, err)
		return
	}
	for _, target := range s.Targets {
		if target.config.ID == id {
			target.setListedState(change.State)
		}
	}
	rw.WriteHeader(http.StatusNoContent)
}

func (s *Server) handleExecuted(rw http.ResponseWriter, r *http.Request) {
	var req ExecutedRequest
	err := json.NewDecoder(http.MaxBytesReader(rw, r.Body, maxControlBytes)).Decode(&req)
	if err == nil && len(req.IDs) > maxQueriedIDs {
		err = fmt.Errorf("standin: more than %d ids", maxQueriedIDs)
	}
	if err != nil {
		writeControlResponse(rw, nil, err)
		return
	}
	counts := make(map[string]int)
	for _, target := range s.Targets {
		for _, id := range req.IDs {
			if n := target.Executed(id); n > 0 {
				counts[id] += n
			}
		}
	}
	writeJSON(rw, http.StatusOK, ExecutedResponse{Counts: counts})
}

func partialGangs(times map[AttemptID]time.Duration) []PartialGang {
	rows := make([]PartialGang, 0, len(times))
	for id, d := range times {
		rows = append(rows, PartialGang{JobUID: id.JobUID, Attempt: id.Attempt, Seconds: d.Seconds()})
	}
	slices.SortFunc(rows, func(a, b PartialGang) int {
		return cmp.Or(strings.Compare(a.JobUID, b.JobUID), cmp.Compare(a.Attempt, b.Attempt))
	})
	return rows
}
