package controller

import (
	"context"
	"errors"
	"fmt"
	"math"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// explainTimeout limits a call of Explain. A leader on a fraction of a core may need several hundred milliseconds for
	// the events that are queued before the call.
	explainTimeout = 2 * time.Second
	// maxExplainedSteps is the maximum number of steps in an explanation: as many as one occurrence of a job has.
	maxExplainedSteps = 64
	// maxListedPlaces is the maximum number of workers that the explanation of a step names.
	maxListedPlaces = 16
)

// Errors of Controller.Explain.
var (
	// ErrNotLeading means that this instance does not lead, or is still taking over.
	ErrNotLeading = errors.New("controller: not the leader, or still taking over")
	// ErrExplainBusy means that another call is in progress.
	ErrExplainBusy = errors.New("controller: another explanation is in progress")
	// ErrExplainTimeout means that the explanation was not ready within the time limit.
	ErrExplainTimeout = errors.New("controller: explanation not ready in time")
	// ErrUnknownJob means that the leader does not know the job.
	ErrUnknownJob = errors.New("controller: job not known to the leader")
	// errExplainPanicked means that the explanation ended with a panic, which is logged.
	errExplainPanicked = errors.New("controller: internal error in an explanation")
)

// ExplainRequest selects what to explain: the known job with the given ID or, if Job is not nil, a job that is not
// submitted. Queue, Org and Rules of Job must be set; Spec is not used.
type ExplainRequest struct {
	ID  string     `json:"id,omitempty"`
	Job *batch.Job `json:"job,omitempty"`
}

// Explanation describes how the leader would schedule a job if it planned now.
type Explanation struct {
	Phase     batch.Phase `json:"phase"`
	Guarantee Guarantee   `json:"guarantee"`
	// Steps has the unfinished steps of the occurrences that are due, at most 64. MoreSteps is the number of further ones.
	Steps     []StepExplanation `json:"steps,omitempty"`
	MoreSteps int               `json:"moreSteps,omitempty"`
	// LaterOccurrences is the number of occurrences of a scheduled job that are not due yet.
	LaterOccurrences int `json:"laterOccurrences,omitempty"`
	// AssumesAdvice means that the queue has an advice service, which was not asked: the answer assumes that it permits
	// all workers.
	AssumesAdvice bool `json:"assumesAdvice,omitempty"`
}

// Guarantee is how the guarantee of the organisation applies to a job. Amounts are numbers of accelerators.
type Guarantee struct {
	// GPU is the guarantee of the organisation, UsedByEarlierJobs what it covers of jobs that were accepted earlier.
	GPU               int64 `json:"gpu"`
	UsedByEarlierJobs int64 `json:"usedByEarlierJobs"`
	// Need is the accelerators of the largest unfinished step of the job.
	Need int64 `json:"need"`
	// Covered means that the guarantee covers the job. Only jobs of priority 0 are covered.
	Covered bool `json:"covered"`
}

// StepState is what happens to a step in a planning round.
type StepState string

// Values of StepState.
const (
	// StepStarts means that all waiting tasks start now.
	StepStarts StepState = "starts"
	// StepWaits means that waiting tasks do not start now; some of them may.
	StepWaits StepState = "waits"
	// StepRuns means that all unfinished tasks have runs.
	StepRuns StepState = "runs"
	// StepFollows means that steps that it depends on are not done.
	StepFollows StepState = "follows"
	// StepDelayed means that the step is not planned now: a worker rejected it, its occurrence is not due, or the planner has
	// panicked on it in this term.
	StepDelayed StepState = "delayed"
	// StepEnds means that the job has ended or is being cancelled, so that nothing of it starts.
	StepEnds StepState = "ends"
)

// StepExplanation describes how a step would be scheduled. Ahead and all fields after it are set only if the step was
// planned.
type StepExplanation struct {
	Step       int       `json:"step"`
	Occurrence int       `json:"occurrence"`
	State      StepState `json:"state"`
	// Tasks is the number of tasks that wait.
	Tasks int `json:"tasks"`
	// Reason, Message and Unblock say why tasks wait and what ends the wait.
	Reason  planner.WaitReason `json:"reason,omitempty"`
	Message string             `json:"message,omitempty"`
	Unblock string             `json:"unblock,omitempty"`

	// Ahead is the number of waiting steps of the service that are scheduled first, Waiting the number of all waiting
	// steps of the service, including this one.
	Ahead   int `json:"ahead"`
	Waiting int `json:"waiting"`
	// Timeliness is whether the job can still meet its objective: "on-time", "late" or "overdue".
	Timeliness string `json:"timeliness,omitempty"`
	// UsesMinShare means that the step goes ahead of more urgent queues within the minimum share of its priority. ShareLeft
	// is how many accelerators of that share are not used; negative if more are used.
	UsesMinShare bool  `json:"usesMinShare,omitempty"`
	ShareLeft    int64 `json:"shareLeft"`
	// Headroom is the accelerators kept free for priority 0, FreeGPU the accelerators that are free.
	Headroom int64 `json:"headroom"`
	FreeGPU  int64 `json:"freeGpu"`
	// Workers is the number of workers of all services, Able the number of those with room for a task, Obstacles the
	// number of the others by reason.
	Workers   int            `json:"workers"`
	Able      int            `json:"able"`
	Obstacles map[string]int `json:"obstacles,omitempty"`
	// Conflicting is the number of able workers that are less preferred because they run a kind of work that conflicts
	// with that of the step.
	Conflicting int `json:"conflicting,omitempty"`
	// Starts is the number of tasks that start now, on StartsOn workers, of which Places lists at most 16.
	Starts   int     `json:"starts"`
	StartsOn int     `json:"startsOn"`
	Places   []Place `json:"places,omitempty"`
	// Stops is the number of gangs and single runs that are stopped to make room.
	Stops int `json:"stops,omitempty"`
}

// Place is a worker on which tasks would start.
type Place struct {
	Worker string `json:"worker"`
	Rack   string `json:"rack,omitempty"`
	Tasks  int    `json:"tasks"`
}

// waitMessages describes the reasons of waits.
var waitMessages = map[planner.WaitReason]string{
	planner.WaitsForCapacity:   "the free resources do not suffice",
	planner.WaitsForRelease:    "runs are being stopped, and their resources are claimed for the step",
	planner.WaitsForHeadroom:   "the free accelerators are headroom for the queues of priority 0",
	planner.WaitsForRack:       "only racks that it does not prefer have room",
	planner.WaitsBehindGang:    "a blocked gang claims the free resources",
	planner.WaitsForEvacuation: "it would fit if no availability zone were evacuated",
	waitsForAdvice:             "it has no valid ticket of the advice service",
	waitsForPermittedWorker:    "the advice service has refused all workers that suit the step, or there is no such worker",
}

var timelinessNames = map[planner.Timeliness]string{planner.OnTime: "on-time", planner.Late: "late", planner.Overdue: "overdue"}

func (c *Controller) setCurrent(l *leader) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = l
}

func (c *Controller) currentLeader() *leader {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Explain describes how the leader would schedule a job if it planned now, with one planning round on a copy of the
// leader's state. It changes and stores nothing. It returns ErrNotLeading, ErrExplainBusy, ErrExplainTimeout, ErrUnknownJob or, for
// an invalid Job, an error that wraps batch.ErrInvalid.
func (c *Controller) Explain(ctx context.Context, request ExplainRequest) (*Explanation, error) {
	if request.Job != nil {
		if err := request.Job.Validate(); err != nil {
			return nil, err
		}
	}
	l := c.currentLeader()
	if l == nil {
		return nil, ErrNotLeading
	}
	if !c.explaining.CompareAndSwap(false, true) {
		return nil, ErrExplainBusy
	}
	type result struct {
		explanation *Explanation
		err         error
	}
	results := make(chan result, 1)
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	go func() {
		e, err := l.explain(ctx, request)
		// A round cannot be interrupted, so the next call is rejected until this one has ended, also after a timeout.
		c.explaining.Store(false)
		results <- result{e, err}
	}()
	select {
	case r := <-results:
		return r.explanation, r.err
	case <-ctx.Done():
		return nil, ErrExplainTimeout
	}
}

// explain copies the state on the goroutine that owns it, and plans on the calling goroutine. It turns panics into errors: an
// explanation must neither end the term nor the process.
func (l *leader) explain(ctx context.Context, request ExplainRequest) (e *Explanation, err error) {
	defer l.recoverExplain(&err)
	var v *explainView
	copied := make(chan error, 1)
	copyState := func() {
		if ctx.Err() != nil {
			return
		}
		err := func() (err error) {
			defer l.recoverExplain(&err)
			v, err = l.newExplainView(request, boottime.Now())
			return err
		}()
		copied <- err
	}
	select {
	case l.inbox <- copyState:
	case <-l.ctx.Done():
		return nil, ErrNotLeading
	case <-ctx.Done():
		return nil, ErrExplainTimeout
	}
	select {
	case err := <-copied:
		if err != nil {
			return nil, err
		}
	case <-l.ctx.Done():
		return nil, ErrNotLeading
	case <-ctx.Done():
		return nil, ErrExplainTimeout
	}
	return v.explain(), nil
}

// recoverExplain turns a panic into an error.
func (l *leader) recoverExplain(err *error) {
	if p := recover(); p != nil {
		*err = errExplainPanicked
		l.logger.Error().Str("panic", fmt.Sprint(p)).Str("stack", string(debug.Stack())).Msg("explanation ended by a panic")
	}
}

// explainView is a copy of the leader's state for an explanation.
type explainView struct {
	snapshot    planner.Snapshot
	explanation *Explanation
	// targets has the index in the snapshot for each of the planned steps, steps their indices in explanation.Steps.
	targets, steps []int
	// names has the first task of each unit of the snapshot.
	names []batch.TaskID
}

// newExplainView copies the state. It is called on the goroutine that owns the state, and does not change it.
func (l *leader) newExplainView(request ExplainRequest, now boottime.Instant) (*explainView, error) {
	if !l.term.Valid() {
		return nil, ErrNotLeading
	}
	j := l.jobs[request.ID]
	var extra *job
	if request.Job != nil {
		extra = hypotheticalJob(request.Job, now)
		j = extra
	}
	if j == nil {
		return nil, eris.Wrapf(ErrUnknownJob, "%q", request.ID)
	}
	v := &explainView{explanation: &Explanation{Phase: j.phase}}
	if extra != nil {
		v.explanation.LaterOccurrences = request.Job.Occurrences() - 1
		v.explanation.AssumesAdvice = l.adviceRules(j) != nil
	} else if j.active() {
		v.explanation.LaterOccurrences = j.spec.Occurrences() - j.createdOccurrences()
	}
	covered := l.coveredJobs(extra)
	v.explanation.Guarantee = l.guaranteeOf(j, covered)
	v.snapshot, _ = l.describeWorkers(now)
	peaks := l.peaks.Clone()
	v.snapshot.Headroom = peaks.Update(time.Duration(now), l.urgentUsage())
	units, unplanned := l.describeUnits(&v.snapshot, extra, covered, now)
	index := make(map[*unit]int, len(units))
	for i, u := range units {
		v.names = append(v.names, u.tasks[0].id)
		index[u] = i
	}
	withoutTicket := make(map[*unit]bool, len(unplanned))
	for _, u := range unplanned {
		withoutTicket[u] = true
	}
	for i := j.unfinished.next(0); i >= 0; i = j.unfinished.next(i + 1) {
		if len(v.explanation.Steps) == maxExplainedSteps {
			v.explanation.MoreSteps = j.unfinished.count - maxExplainedSteps
			break
		}
		u := j.units[i]
		step := l.explainUnplanned(u, withoutTicket[u], now)
		if i, planned := index[u]; planned {
			step.State, step.Tasks = StepWaits, v.snapshot.Units[i].Tasks
			v.targets, v.steps = append(v.targets, i), append(v.steps, len(v.explanation.Steps))
		}
		v.explanation.Steps = append(v.explanation.Steps, step)
	}
	return v, nil
}

// hypotheticalJob returns a job as if it were accepted now, after all others. Of a scheduled job it has one occurrence,
// which is due.
func hypotheticalJob(submitted *batch.Job, now boottime.Instant) *job {
	spec := *submitted
	spec.Repeat, spec.Spec = 0, ""
	j := &job{spec: &spec, order: math.MaxInt64, acceptedAt: now, phase: batch.Queued, hypothetical: true}
	for i := range spec.Steps {
		// One task stands for all tasks of the step: the planner gets only their number.
		u := &unit{job: j, step: &spec.Steps[i], index: i}
		u.addTask(&task{id: batch.TaskID{Job: spec.ID, Step: i}, unit: u})
		j.addUnit(u)
	}
	return j
}

// guaranteeOf returns how the guarantee of its organisation applies to a job.
func (l *leader) guaranteeOf(j *job, covered map[*job]bool) Guarantee {
	g := Guarantee{Need: j.maxUnfinishedGPU(), Covered: covered[j]}
	if config := l.c.cfg.OperatorConfig(); config != nil {
		if org := config.Org(j.spec.Org); org != nil {
			g.GPU = org.GuaranteedGPU
		}
	}
	for other := range covered {
		if other != j && other.spec.Org == j.spec.Org && other.order < j.order {
			g.UsedByEarlierJobs += other.maxUnfinishedGPU()
		}
	}
	return g
}

// explainUnplanned describes a unit that is not part of a planning round.
func (l *leader) explainUnplanned(u *unit, withoutTicket bool, now boottime.Instant) StepExplanation {
	e := StepExplanation{Step: u.index, Occurrence: u.occurrence, Tasks: u.waiting()}
	switch {
	case !u.job.active():
		e.State, e.Message = StepEnds, "the job has ended or is being cancelled"
	case withoutTicket:
		e.State, e.Reason = StepWaits, l.adviceWaitReason(u)
		e.Message, e.Unblock = waitMessages[e.Reason], "the advice service permits a worker"
	case !u.ready():
		e.State, e.Message, e.Unblock = StepFollows, "steps that it depends on are not done", "those steps are done"
	case e.Tasks == 0:
		e.State = StepRuns
	case u.excluded:
		e.State, e.Message, e.Unblock = StepDelayed, "the planner has panicked on the step", "another instance leads"
	case now < u.notBefore:
		e.State, e.Message = StepDelayed, "a worker has rejected a start"
		e.Unblock = fmt.Sprintf("%v have passed", u.notBefore.Sub(now).Round(time.Millisecond))
	case !l.due(u.job, u.occurrence):
		e.State, e.Message, e.Unblock = StepDelayed, "the occurrence is not due", "it is due"
	default:
		e.State, e.Message, e.Unblock = StepDelayed, "a round considers only a part of the job's waiting steps", "it is the step's turn"
	}
	return e
}

// explain plans and describes the decision.
func (v *explainView) explain() *Explanation {
	for n, planned := range planner.Explain(v.snapshot, v.targets) {
		v.describe(&v.explanation.Steps[v.steps[n]], &planned, v.targets[n])
	}
	return v.explanation
}

// describe adds the decision about a unit of the snapshot.
func (v *explainView) describe(e *StepExplanation, planned *planner.Explanation, unit int) {
	u := &v.snapshot.Units[unit]
	e.Ahead, e.Waiting, e.Timeliness = planned.Ahead, planned.Waiting, timelinessNames[u.Timeliness]
	e.UsesMinShare, e.ShareLeft = planned.UsesMinShare, planned.ShareLeft
	e.Headroom, e.FreeGPU = planned.Headroom, planned.FreeGPU
	e.Workers, e.Able, e.Stops = planned.Workers.Total, planned.Workers.Able, planned.Stops
	e.Conflicting = planned.Workers.Conflicting
	e.Obstacles = make(map[string]int, len(planned.Workers.Obstacles))
	for obstacle, n := range planned.Workers.Obstacles {
		e.Obstacles[obstacle.String()] = n
	}
	e.Starts = len(planned.Places)
	positions := make(map[int]int)
	for _, w := range planned.Places {
		at, known := positions[w]
		if !known {
			at = len(positions)
			positions[w] = at
			if at < maxListedPlaces {
				e.Places = append(e.Places, Place{Worker: v.snapshot.Workers[w].ID, Rack: v.snapshot.Workers[w].Rack})
			}
		}
		if at < maxListedPlaces {
			e.Places[at].Tasks++
		}
	}
	e.StartsOn = len(positions)
	if !planned.Waits {
		e.State = StepStarts
		return
	}
	behind := ""
	if planned.Wait.Behind >= 0 {
		behind = v.names[planned.Wait.Behind].StepName()
	}
	e.State, e.Reason, e.Message = StepWaits, planned.Wait.Reason, waitMessages[planned.Wait.Reason]
	e.Unblock = planned.Unblock(u, behind)
}
