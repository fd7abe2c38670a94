package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/relay"
)

const (
	// ExplainJobPath is the path prefix for explaining a known job (GET), which is followed by the job's id.
	ExplainJobPath = "/explain/job/"
	// ExplainRequestPath is the path for explaining a job that is not submitted (POST). The body is that of a submission,
	// host and path are in the parameters "host" and "path", the key is in the Authorization header.
	ExplainRequestPath = "/explain/request"
	// explainReadTimeout limits the time for reading the body of a request, during which other calls are rejected.
	explainReadTimeout = 2 * time.Second
	// explainWriteTimeout limits the time until a caller has taken the answer.
	explainWriteTimeout = 8 * time.Second
	// maxExplainBytes is the maximum size of a body if the configuration has no limit.
	maxExplainBytes = 256 << 10
	// explainStaleAge is the age of a local copy above which an answer says so. Copies are read at least once a second.
	explainStaleAge = 3 * time.Second
	// explainedJobID is the id of a job that is not submitted.
	explainedJobID = "request"
)

// Explanation is the answer of an instance. What the instance knows itself is always set; Decision is from the leader.
type Explanation struct {
	Instance string `json:"instance"`
	// ConfigVersion is the version of the configuration in force at the instance.
	ConfigVersion int64 `json:"configVersion"`
	// Job is the id of a known job; empty for a request.
	Job string `json:"job,omitempty"`
	// Phase is the phase of a known job in the copy of the instance.
	Phase    batch.Phase `json:"phase,omitempty"`
	Queue    string      `json:"queue"`
	Service  string      `json:"service"`
	Priority int         `json:"priority"`
	// Org is the organisation of the job; empty on public queues and for a request without a key.
	Org string `json:"org,omitempty"`
	// Notes say what the answer assumes.
	Notes []string `json:"notes,omitempty"`
	// Leader is the address of the leader as far as the instance knows.
	Leader string `json:"leader,omitempty"`
	// LeaderProblem says why there is no Decision.
	LeaderProblem string                  `json:"leaderProblem,omitempty"`
	Decision      *controller.Explanation `json:"decision,omitempty"`
}

// explainError is an error with the HTTP status that reports it.
type explainError struct {
	status int
	detail string
}

func (e *explainError) Error() string { return e.detail }

// internalHandler returns the handler of the internal address: metrics and explanations.
func (n *Node) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+ExplainJobPath+"{id}", func(w http.ResponseWriter, r *http.Request) { n.serveExplain(w, r, n.explainJob) })
	mux.HandleFunc("POST "+ExplainRequestPath, func(w http.ResponseWriter, r *http.Request) { n.serveExplain(w, r, n.explainRequest) })
	mux.HandleFunc("/explain/", http.NotFound)
	mux.HandleFunc("/", n.serveMetrics)
	return mux
}

// serveExplain answers one call at a time and rejects others at once.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request, answer func(http.ResponseWriter, *http.Request) (*Explanation, error)) {
	if !n.explaining.CompareAndSwap(false, true) {
		n.countExplanation("rejected")
		writeExplainError(w, &explainError{http.StatusServiceUnavailable, "another explanation is in progress at this instance"})
		return
	}
	var explanation *Explanation
	var err error
	func() {
		defer n.explaining.Store(false)
		explanation, err = answer(w, r)
	}()
	// The time limit would also apply to later requests on the connection.
	w.Header().Set("Connection", "close")
	// If this fails, the answer is written without a time limit.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(explainWriteTimeout))
	switch {
	case err != nil:
		n.countExplanation("rejected")
		writeExplainError(w, err)
		return
	case explanation.Decision == nil:
		n.countExplanation("partial")
	default:
		n.countExplanation("answered")
	}
	writeExplainJSON(w, http.StatusOK, explanation)
}

// countExplanation counts a request for an explanation: answered, partial (without the leader's decision) or rejected.
func (n *Node) countExplanation(outcome string) {
	n.metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderbend_explanations_total{outcome=%q}`, outcome)).Inc()
}

// explainJob explains a known job.
func (n *Node) explainJob(_ http.ResponseWriter, r *http.Request) (*Explanation, error) {
	id := r.PathValue("id")
	if !batch.ValidJobID(id) {
		return nil, &explainError{http.StatusBadRequest, "the id of a job is 16 hexadecimal digits"}
	}
	state, known := n.intake.Snapshot([]string{id})[id]
	if !known {
		return nil, &explainError{http.StatusNotFound, "this instance knows no job " + id}
	}
	e := n.newExplanation(state.Job)
	e.Job, e.Phase = id, state.VisiblePhase()
	return e, n.askLeader(r.Context(), e, controller.ExplainRequest{ID: id})
}

// explainRequest explains a job that is not submitted.
func (n *Node) explainRequest(w http.ResponseWriter, r *http.Request) (*Explanation, error) {
	config := n.intake.CurrentConfig()
	if config == nil {
		return nil, &explainError{http.StatusServiceUnavailable, "this instance has no configuration yet"}
	}
	queue, org, notes, err := n.resolveQueue(config, r)
	if err != nil {
		return nil, err
	}
	job, err := n.readExplainedJob(w, r, config)
	if err != nil {
		return nil, err
	}
	if job.Repeat > 0 {
		notes = append(notes, "the job has a schedule: the answer is for an occurrence that is due now")
	}
	// The text of the submitter has no effect on the decision.
	job.Queue, job.Org, job.Rules, job.Spec = queue.Name, org, intake.QueueRulesOf(queue), ""
	e := n.newExplanation(job)
	e.Notes = append(e.Notes, notes...)
	return e, n.askLeader(r.Context(), e, controller.ExplainRequest{Job: job})
}

// resolveQueue finds the queue of a request and, if it has a key, its organisation.
func (n *Node) resolveQueue(config *opconfig.Config, r *http.Request) (queue *opconfig.Queue, org string, notes []string, err error) {
	host, path := r.URL.Query().Get("host"), r.URL.Query().Get("path")
	if host == "" || path == "" {
		return nil, "", nil, &explainError{http.StatusBadRequest, "the parameters host and path are required"}
	}
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	key := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
	if key == "" {
		if queue = config.Route(host, path); queue == nil {
			return nil, "", nil, &explainError{http.StatusNotFound, "no queue for this host and path"}
		}
		if !queue.Public {
			notes = append(notes, "no key: the answer is for a job without an organisation, which no guarantee covers")
		}
		return queue, "", notes, nil
	}
	access, err := n.intake.Authorize(host, path, key)
	switch {
	case err == nil:
		return access.Queue, access.Org, nil, nil
	case errors.Is(err, intake.ErrNoQueue):
		return nil, "", nil, &explainError{http.StatusNotFound, "no queue for this host and path"}
	case errors.Is(err, intake.ErrInvalidKey):
		return nil, "", nil, &explainError{http.StatusUnauthorized, "the key is not valid"}
	default:
		return nil, "", nil, &explainError{http.StatusServiceUnavailable, "the configuration at this instance is too old to check a key"}
	}
}

// readExplainedJob reads and validates the body of a submission.
func (n *Node) readExplainedJob(w http.ResponseWriter, r *http.Request, config *opconfig.Config) (*batch.Job, error) {
	limit := int64(maxExplainBytes)
	if config.MaxBodyBytes > 0 {
		limit = config.MaxBodyBytes
	}
	if err := http.NewResponseController(w).SetReadDeadline(time.Now().Add(explainReadTimeout)); err != nil {
		return nil, &explainError{http.StatusInternalServerError, "no time limit for the body: " + err.Error()}
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &explainError{http.StatusRequestEntityTooLarge, fmt.Sprintf("the body has more than %d bytes", limit)}
	case err != nil:
		return nil, &explainError{http.StatusBadRequest, "the body did not arrive completely"}
	}
	job, err := n.platform.DecodeJob(explainedJobID, data)
	if err == nil {
		err = job.Validate()
	}
	if err != nil {
		return nil, &explainError{http.StatusBadRequest, err.Error()}
	}
	return job, nil
}

// newExplanation returns what this instance knows itself about a job.
func (n *Node) newExplanation(job *batch.Job) *Explanation {
	e := &Explanation{
		Instance: n.settings.Name, Queue: job.Queue, Service: job.Rules.Service, Priority: job.Rules.Priority, Org: job.Org,
	}
	if config := n.intake.CurrentConfig(); config != nil {
		e.ConfigVersion = config.Version
	}
	for _, c := range []struct {
		name   string
		copied intake.AgeReporter
	}{{"configuration", n.operatorFollower}, {"jobs", n.jobsFollower}} {
		if age, ok := c.copied.Age(); !ok || age > explainStaleAge {
			e.Notes = append(e.Notes, fmt.Sprintf("the copy of the %s at this instance may be out of date: it was last known to be complete %v ago", c.name, age.Round(time.Second)))
		}
	}
	return e
}

// askLeader adds the leader's decision to an explanation, or why there is none. It returns an error if the leader is busy.
func (n *Node) askLeader(ctx context.Context, e *Explanation, request controller.ExplainRequest) error {
	leader, self := n.elector.Leader()
	e.Leader = leader
	var err error
	switch {
	case self:
		e.Decision, err = n.controller.Explain(ctx, request)
	case leader == "":
		e.LeaderProblem = "no leader is known"
	case n.settings.RelayPort == 0:
		e.LeaderProblem = "the settings have no port for calls between instances"
	default:
		e.Decision, err = n.askOtherLeader(ctx, leader, request)
	}
	switch {
	case errors.Is(err, controller.ErrExplainBusy), errors.Is(err, relay.ErrBusy):
		return &explainError{http.StatusServiceUnavailable, "another explanation is in progress at the leader"}
	case err != nil:
		e.LeaderProblem = err.Error()
	}
	return nil
}

func (n *Node) askOtherLeader(ctx context.Context, leader string, request controller.ExplainRequest) (*controller.Explanation, error) {
	encoded, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	answer, err := relay.AskLeader(ctx, n.relayAddress(leader), encoded)
	if err != nil {
		return nil, err
	}
	var decision controller.Explanation
	if err := json.Unmarshal(answer, &decision); err != nil {
		return nil, fmt.Errorf("answer of the leader: %w", err)
	}
	return &decision, nil
}

// answerExplain answers the call of another instance. It is a relay.ExplainFunc.
func (n *Node) answerExplain(ctx context.Context, encoded []byte) ([]byte, error) {
	var request controller.ExplainRequest
	if err := json.Unmarshal(encoded, &request); err != nil {
		return nil, err
	}
	decision, err := n.controller.Explain(ctx, request)
	if errors.Is(err, controller.ErrExplainBusy) {
		return nil, relay.ErrBusy
	}
	if err != nil {
		return nil, err
	}
	return json.Marshal(decision)
}

// writeExplainError writes an error as a problem (RFC 9457).
func writeExplainError(w http.ResponseWriter, err error) {
	problem := struct {
		Type   string `json:"type"`
		Title  string `json:"title"`
		Status int    `json:"status"`
		Detail string `json:"detail"`
	}{"about:blank", "", http.StatusInternalServerError, err.Error()}
	var known *explainError
	if errors.As(err, &known) {
		problem.Status = known.status
	}
	problem.Title = http.StatusText(problem.Status)
	if problem.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeExplainJSON(w, problem.Status, problem)
}

func writeExplainJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // This fails only if the caller has disconnected.
}
