package placement

import (
	"errors"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Calls that do not belong to the state machine of a gang.
const (
	callRelease gang.CallKind = "release"
	callUsage   gang.CallKind = "usage"
)

// Op is one call to a worker on behalf of a run or, without a run, of the zone.
type Op struct {
	gang.Call
	Worker platform.Instance
	// Task is used by reservations.
	Task platform.TaskSpec
	run  attemptID
}

// isList reports whether the op asks for all leases of the worker.
func (o Op) isList() bool { return o.Kind == gang.CallQuery && o.run == attemptID{} }

// isUnreachable reports whether an error means that the worker did not answer.
func isUnreachable(err error) bool {
	return errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome)
}

func (z *zone) release(worker string, leases []platform.LeaseID) {
	call := gang.Call{Kind: callRelease, Worker: worker, Leases: leases}
	z.ops = append(z.ops, Op{Call: call, Worker: z.row(worker)})
}

// Event is something that an operator can see on the time line.
type Event struct {
	Name   string
	Job    string
	Worker string
	Reason string
}

// Names of events.
const (
	EventPlaced            = "gang-placed"
	EventCommitted         = "gang-committed"
	EventRunning           = "gang-running"
	EventEnded             = "gang-ended"
	EventAdopted           = "gang-adopted"
	EventReclaim           = "job-reclaimed"
	EventUnplaceable       = "job-unplaceable"
	EventMoved             = "moved-to-zone"
	EventWorkerUnreachable = "worker-silent"
	EventWorkerReachable   = "worker-answers"
	EventWorkerQuarantined = "worker-quarantined"
	EventWorkerReturned    = "worker-returned"
	EventOveruse           = "task-overuse"
	EventGuarantee         = "guarantee-condition"
)

func (z *zone) event(e Event) { z.events = append(z.events, e) }
