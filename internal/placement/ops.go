package placement

import (
	"errors"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Kinds of call that the zone makes and the state machine of a gang does not.
const (
	callRelease gang.CallKind = "release"
	callUsage   gang.CallKind = "usage"
)

// Op is one call to a worker, on behalf of a run or of the zone.
type Op struct {
	gang.Call
	// Worker is the worker's row of the instance list. Call.Worker has only its id.
	Worker platform.Instance
	// Task describes the task; it is used only by reservations.
	Task platform.TaskSpec
	// run identifies the run; zero for a call on behalf of the zone.
	run attemptID
}

// isList reports whether the op lists all leases of the worker for the zone.
func (o Op) isList() bool { return o.Kind == gang.CallQuery && o.run == attemptID{} }

// isUnreachable reports whether an error means that the worker did not respond.
func isUnreachable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome)
}

// release adds to z.ops a call that releases leases at a worker.
func (z *zone) release(worker string, leases []platform.LeaseID) {
	call := gang.Call{Kind: callRelease, Worker: worker, Leases: leases}
	z.ops = append(z.ops, Op{Call: call, Worker: z.row(worker)})
}

// Event is an event of the zone that is logged, counted and recorded in the timeline.
type Event struct {
	// Name is one of the Event constants.
	Name string
	// Job is the name of the job and Worker the id of the worker concerned; empty if there is none.
	Job    string
	Worker string
	Reason string
}

// Names of events as they appear in the log, the metrics and the timeline.
const (
	EventPlaced            = "gang-placed"
	EventCommitted         = "gang-committed"
	EventRunning           = "gang-running"
	EventEnded             = "gang-ended"
	EventAdopted           = "gang-adopted"
	EventPreempted         = "job-reclaimed"
	EventUnplaceable       = "job-unplaceable"
	EventMoved             = "moved-to-zone"
	EventWorkerUnreachable = "worker-silent"
	EventWorkerReachable   = "worker-answers"
	EventWorkerQuarantined = "worker-quarantined"
	EventQuarantineEnded   = "worker-returned"
	EventOveruse           = "task-overuse"
	EventGuarantee         = "guarantee-condition"
)

func (z *zone) event(e Event) { z.events = append(z.events, e) }
