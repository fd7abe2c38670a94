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

// rpcName is the name of the net/rpc receiver of timelines.
const rpcName = "Timeline"

// timelineTimeout bounds the collection of the timelines of all instances.
const timelineTimeout = 3 * time.Second

// Instances is the answer of /v1/instances.
type Instances struct {
	// Instance is the instance that answered.
	Instance string              `json:"instance"`
	Members  []membership.Member `json:"members"`
	// PolicyVersion is the newest policy version that the answering instance knows.
	PolicyVersion platform.Offset `json:"policyVersion"`
}

func (a *API) getInstances(w http.ResponseWriter, _ *http.Request) error {
	answer := Instances{Instance: a.deps.ID}
	answer.Members, answer.PolicyVersion = a.members()
	return writeJSON(w, http.StatusOK, answer)
}

// members returns all instances and the newest policy version that this one knows.
func (a *API) members() ([]membership.Member, platform.Offset) {
	var applied, policy platform.Offset
	a.deps.Reader.Read(func(s *state.State) { policy, applied = s.PolicyVersion, s.Applied })
	if a.deps.View != nil {
		return a.deps.View.Members(), policy
	}
	info := membership.Info{ID: a.deps.ID, Applied: applied, PolicyVersion: policy, Ready: a.deps.Ready.IsReady()}
	return []membership.Member{{Info: info, Status: membership.Alive}}, policy
}

// InForce tells which version of the configuration an instance has in force.
type InForce struct {
	Instance      string            `json:"instance"`
	Status        membership.Status `json:"status"`
	PolicyVersion platform.Offset   `json:"policyVersion"`
	// Current is set if the instance has the version of the answer or a newer one.
	Current bool `json:"current"`
}

// writePolicy answers with a policy and, in the member inForce, the version at each instance.
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

// RequestStatus is the answer of /v1/requests/{id}.
type RequestStatus struct {
	ID string `json:"id"`
	// Known is false if no record with the id was applied within the last Window records.
	Known   bool            `json:"known"`
	Verdict *state.Verdict  `json:"verdict,omitempty"`
	Applied platform.Offset `json:"applied"`
	Window  int             `json:"window"`
	Detail  string          `json:"detail,omitempty"`
}

func (a *API) getRequest(w http.ResponseWriter, r *http.Request) error {
	id := r.PathValue("id")
	answer := RequestStatus{ID: id, Window: state.AppendWindow}
	a.deps.Reader.Read(func(s *state.State) {
		answer.Applied = s.Applied
		if v, attempts := findVerdict(s, id); attempts > 0 {
			answer.Known, answer.Verdict = true, &v
		}
	})
	status := http.StatusOK
	if !answer.Known {
		status = http.StatusNotFound
		answer.Detail = "not seen up to this version; a write whose outcome is unknown may still arrive, so repeat it with the same id"
	}
	return writeJSON(w, status, answer)
}

// Explanation is the answer of /v1/explain/jobs/{name}.
type Explanation struct {
	Job     string         `json:"job"`
	Phase   resource.Phase `json:"phase"`
	Zone    string         `json:"zone,omitempty"`
	Leader  string         `json:"leader,omitempty"`
	Waiting bool           `json:"waiting"`
	Code    string         `json:"code,omitempty"`
	Message string         `json:"message,omitempty"`
	// Unblock says what would let the job start.
	Unblock string `json:"unblock,omitempty"`
}

func (a *API) explainJob(w http.ResponseWriter, r *http.Request) error {
	name := r.PathValue("name")
	var job *resource.Job
	answer := Explanation{Job: name}
	a.deps.Reader.Read(func(s *state.State) {
		if job = s.Jobs[name]; job != nil {
			answer.Leader = s.Zones[job.Status.Zone].Epoch.Holder
		}
	})
	if job == nil {
		return problem(http.StatusNotFound, "there is no job %q", name)
	}
	answer.Phase, answer.Zone, answer.Message = job.Status.Phase, job.Status.Zone, job.Status.Reason
	if job.Status.Phase != resource.PhaseQueued || a.deps.Explainer == nil {
		return writeJSON(w, http.StatusOK, answer)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timelineTimeout)
	defer cancel()
	waiting, found, err := a.deps.Explainer.Waiting(ctx, name)
	if err != nil {
		return problem(http.StatusServiceUnavailable, "the leader %q of zone %s did not answer: %v", answer.Leader, answer.Zone, err)
	}
	if found {
		answer.Waiting, answer.Code = true, string(waiting.Code)
		answer.Message, answer.Unblock = waiting.Message, waiting.Unblock
	}
	return writeJSON(w, http.StatusOK, answer)
}

// Timeline is the answer of /v1/timeline.
type Timeline struct {
	Events []timeline.Event `json:"events"`
	// Missing has the instances that did not answer.
	Missing []string `json:"missing,omitempty"`
}

// EventsArgs asks an instance for its events.
type EventsArgs struct{ Filter timeline.Filter }

// EventsReply has the events of an instance.
type EventsReply struct{ Events []timeline.Event }

// Receiver has the net/rpc methods of the timeline, under the name Timeline.
type Receiver struct{ events *timeline.Recorder }

// Events returns the selected events of this instance.
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
	lanes := [][]timeline.Event{a.deps.Events.Events(filter)}
	var answer Timeline
	if query.Get("local") == "" && a.deps.Peers != nil {
		others, missing := a.collectTimelines(r.Context(), filter)
		lanes = append(lanes, others...)
		answer.Missing = missing
	}
	answer.Events = timeline.Merge(lanes...)
	return writeJSON(w, http.StatusOK, answer)
}

// collectTimelines asks all other instances at once.
func (a *API) collectTimelines(ctx context.Context, filter timeline.Filter) (lanes [][]timeline.Event, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, timelineTimeout)
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
		lanes = append(lanes, replies[i].Events)
	}
	return lanes, missing
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
