package api

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// rpcName is the name of the net/rpc receiver that serves the timeline to peers.
const rpcName = "Timeline"

// peerTimeout limits the calls to other instances in one request: the collection of all timelines,
// or the query for the reason why a job is waiting.
const peerTimeout = 3 * time.Second

// Instances is the response of /v1/instances.
type Instances struct {
	// Instance is the id of the instance that handled the request.
	Instance string              `json:"instance"`
	Members  []membership.Member `json:"members"`
	// PolicyVersion is the newest policy version in the state of that instance.
	PolicyVersion platform.Offset `json:"policyVersion"`
}

func (a *API) getInstances(w http.ResponseWriter, _ *http.Request) error {
	response := Instances{Instance: a.deps.ID}
	response.Members, response.PolicyVersion = a.members()
	return writeJSON(w, http.StatusOK, response)
}

// members returns all instances and the newest policy version in the state of this one.
func (a *API) members() ([]membership.Member, platform.Offset) {
	var applied, policy platform.Offset
	a.deps.Reader.Read(func(s *state.State) { policy, applied = s.PolicyVersion, s.Applied })
	if a.deps.View != nil {
		return a.deps.View.Members(), policy
	}
	info := membership.Info{ID: a.deps.ID, Applied: applied, PolicyVersion: policy, Ready: a.deps.Ready.IsReady()}
	return []membership.Member{{Info: info, Status: membership.Alive}}, policy
}

// InForce is the policy version that an instance applies.
type InForce struct {
	Instance      string            `json:"instance"`
	Status        membership.Status `json:"status"`
	PolicyVersion platform.Offset   `json:"policyVersion"`
	// Current reports whether the instance applies the returned version of the policy or a newer
	// one.
	Current bool `json:"current"`
}

// writePolicy writes a policy as the response and adds the member inForce, which has the policy
// version of each instance.
func (a *API) writePolicy(w http.ResponseWriter, object resource.Object) error {
	members, _ := a.members()
	rows := make([]InForce, 0, len(members))
	version := platform.Offset(object.Meta().ResourceVersion)
	for _, m := range members {
		rows = append(rows, InForce{
			Instance: m.Info.ID, Status: m.Status, PolicyVersion: m.Info.PolicyVersion, Current: m.Info.PolicyVersion >= version,
		})
	}
	data, err := EncodeObject(object)
	if err != nil {
		return err
	}
	tail, err := json.Marshal(rows)
	if err != nil {
		return err
	}
	data = append(data[:len(data)-1], `,"inForce":`...)
	data = append(append(data, tail...), '}')
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(object.Meta().ResourceVersion, 10)))
	return writeJSON(w, http.StatusOK, json.RawMessage(data))
}

// RequestStatus is the response of /v1/requests/{id}.
type RequestStatus struct {
	ID string `json:"id"`
	// Known reports whether a record with the id is among the last Window applied records.
	Known   bool            `json:"known"`
	Verdict *state.Verdict  `json:"verdict,omitempty"`
	Applied platform.Offset `json:"applied"`
	Window  int             `json:"window"`
	Detail  string          `json:"detail,omitempty"`
}

func (a *API) getRequest(w http.ResponseWriter, r *http.Request) error {
	id := r.PathValue("id")
	response := RequestStatus{ID: id, Window: state.AppendWindow}
	a.deps.Reader.Read(func(s *state.State) {
		response.Applied = s.Applied
		if v, attempts := findVerdict(s, id); attempts > 0 {
			response.Known, response.Verdict = true, &v
		}
	})
	status := http.StatusOK
	if !response.Known {
		status = http.StatusNotFound
		response.Detail = "not seen up to this version; a write whose outcome is unknown may still arrive, so repeat it with the same id"
	}
	return writeJSON(w, status, response)
}

// Explanation is the response of /v1/explain/jobs/{name}.
type Explanation struct {
	Job     string         `json:"job"`
	Phase   resource.Phase `json:"phase"`
	Zone    string         `json:"zone,omitempty"`
	Leader  string         `json:"leader,omitempty"`
	Waiting bool           `json:"waiting"`
	Code    string         `json:"code,omitempty"`
	Message string         `json:"message,omitempty"`
	// Unblock describes what has to happen before the job can start.
	Unblock string `json:"unblock,omitempty"`
}

func (a *API) explainJob(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	var job *resource.Job
	response := Explanation{Job: name}
	a.deps.Reader.Read(func(s *state.State) {
		if job = s.Jobs[name]; job != nil {
			response.Leader = s.Zones[job.Status.Zone].Epoch.Holder
		}
	})
	if job == nil {
		return problem(http.StatusNotFound, "there is no job %q", name)
	}
	response.Phase, response.Zone, response.Message = job.Status.Phase, job.Status.Zone, job.Status.Reason
	if job.Status.Phase != resource.PhaseQueued || a.deps.Explainer == nil {
		return writeJSON(w, http.StatusOK, response)
	}
	ctx, cancel := context.WithTimeout(r.Context(), peerTimeout)
	defer cancel()
	waiting, found, err := a.deps.Explainer.Waiting(ctx, name)
	if err != nil {
		return problem(http.StatusServiceUnavailable, "the leader %q of zone %s did not answer: %v", response.Leader, response.Zone, err)
	}
	if found {
		response.Waiting, response.Code = true, string(waiting.Code)
		response.Message, response.Unblock = waiting.Message, waiting.Unblock
	}
	return writeJSON(w, http.StatusOK, response)
}

// Timeline is the response of /v1/timeline.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing lists the ids of instances whose events could not be fetched.
	Missing []string `json:"missing,omitempty"`
}

// EventsArgs is the request of Receiver.Events.
type EventsArgs struct{ Filter timeline.Filter }

// EventsReply is the reply of Receiver.Events.
type EventsReply struct{ Events []timeline.Event }

// Receiver is the net/rpc receiver registered as Timeline.
type Receiver struct{ events *timeline.Recorder }

// Events returns the events of this instance that match the filter.
func (c *Receiver) Events(args *EventsArgs, reply *EventsReply) error {
	reply.Events = c.events.Events(args.Filter)
	return nil
}

func (a *API) getTimeline(w http.ResponseWriter, r *http.Request) error {
	query := r.URL.Query()
	filter := timeline.Filter{Job: query.Get("job"), Request: query.Get("request")}
	if text := query.Get("since"); text != "" {
		since, err := time.Parse(time.RFC3339Nano, text)
		if err != nil {
			return problem(http.StatusBadRequest, "since must be a time as in RFC 3339")
		}
		filter.Since = since
	}
	perInstance := [][]timeline.Event{a.deps.Events.Events(filter)}
	var response Timeline
	if query.Get("local") == "" && a.deps.Peers != nil {
		others, missing := a.collectTimelines(r.Context(), filter)
		perInstance = append(perInstance, others...)
		response.Missing = missing
	}
	response.Events = timeline.Merge(perInstance...)
	return writeJSON(w, http.StatusOK, response)
}

// collectTimelines fetches the events of all other instances in parallel. It returns the event
// list of each instance that responded and the ids of those that did not.
func (a *API) collectTimelines(ctx context.Context, filter timeline.Filter) (perInstance [][]timeline.Event, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	peers := a.deps.Peers.Peers()
	replies := make([]EventsReply, len(peers))
	failed := make([]bool, len(peers))
	var group sync.WaitGroup
	for i, id := range peers {
		group.Go(func() {
			failed[i] = a.deps.Peers.Call(ctx, id, rpcName+".Events", &EventsArgs{Filter: filter}, &replies[i]) != nil
		})
	}
	group.Wait()
	for i, id := range peers {
		if failed[i] {
			missing = append(missing, id)
			continue
		}
		perInstance = append(perInstance, replies[i].Events)
	}
	return perInstance, missing
}

func (a *API) getMetrics(w http.ResponseWriter, _ *http.Request) error {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	a.deps.Metrics.WritePrometheus(w)
	return nil
}

func (a *API) healthy(w http.ResponseWriter, _ *http.Request) error {
	return writeJSON(w, http.StatusOK, map[string]bool{"healthy": true})
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) error {
	if !a.deps.Ready.IsReady() {
		return problem(http.StatusServiceUnavailable, "the instance has not reached the log's tail or its peers")
	}
	return writeJSON(w, http.StatusOK, map[string]bool{"ready": true})
}

func (a *API) unknownPath(_ http.ResponseWriter, r *http.Request) error {
	return problem(http.StatusNotFound, "there is no %s %s", methodLabel(r.Method), r.URL.Path)
}
