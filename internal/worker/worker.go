// Package worker defines the workers as the scheduler sees them: their entries in the
// registry, their lists of runs, and the orders that they take.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
)

// State of a worker's entry.
type State int

// States of a worker.
const (
	Ready State = iota
	Draining
)

// Info is a worker's entry in the registry.
type Info struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Rack is one of the labels.
	Rack   string
	Labels []string
	State  State
	// RemainingTime is the least time that is left while the worker drains.
	RemainingTime time.Duration
	// CPU is the capacity in thousandths of a core.
	CPU      int64
	MemoryMB int64
	GPU      int64
	// StartedAtMS tells lives of the worker apart, in Unix milliseconds.
	StartedAtMS int64
	// ClockMS is the worker's steady clock when the entry was written.
	ClockMS int64
}

// HasLabel says whether the worker has a label.
func (i *Info) HasLabel(label string) bool {
	for _, l := range i.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Target addresses one incarnation of a worker.
type Target struct {
	ID      string
	Address string
}

// Run identifies one run of a task.
type Run struct {
	Task batch.TaskID
	// Number counts the starts of the task from 1.
	Number int64
}

// StartCommand asks a worker to run a task.
type StartCommand struct {
	Run
	Spec       string
	Checkpoint string
	// Ticket is the advice service's permission, where the queue needs one.
	Ticket string
	// LeaseExpiryMS ends the lease of everything on the worker, on the worker's clock.
	LeaseExpiryMS int64
	Token         int64
}

// RejectReason is the reason of a definite refusal: the worker did nothing.
type RejectReason string

// Reasons of refusals.
const (
	// RejectedStaleToken means that the worker has seen a higher token.
	RejectedStaleToken RejectReason = "fence"
	// RejectedOldRun means that the run or a higher one was stopped or has ended there.
	RejectedOldRun RejectReason = "old"
	// RejectedLeaseExpired means that the due time has passed on the worker's clock.
	RejectedLeaseExpired RejectReason = "late"
	// RejectedNoCapacity means that the task does not fit.
	RejectedNoCapacity RejectReason = "room"
	// RejectedTicket means that the ticket does not hold.
	RejectedTicket RejectReason = "ticket"
	// RejectedUnhealthy means that the worker takes no work now.
	RejectedUnhealthy RejectReason = "unhealthy"
	// RejectedIncarnation means that another incarnation has the worker's address.
	RejectedIncarnation RejectReason = "instance"
	// RejectedInvalid means that the worker does not understand the order.
	RejectedInvalid RejectReason = "invalid"
)

// RejectedError is a definite refusal.
type RejectedError struct{ Reason RejectReason }

func (e *RejectedError) Error() string { return "worker: refused: " + string(e.Reason) }

// ErrUnconfirmed means that an order got no answer: it may have been carried out, or may be
// carried out seconds later.
var ErrUnconfirmed = errors.New("worker: outcome unknown")

// ErrUnreachable means that no connection to the worker could be made: nothing was sent.
var ErrUnreachable = errors.New("worker: unreachable")

// PollCommand extends the leases of everything on a worker and reads its lists.
type PollCommand struct {
	// LeaseExpiryMS is the new end of the leases on the worker's clock; 0 leaves it as it is.
	LeaseExpiryMS int64
	Token         int64
	// AcknowledgedThrough is the highest end that the worker may forget.
	AcknowledgedThrough int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// RunStatus is a run in progress.
type RunStatus struct {
	Run
	Checkpoint string
	// Percent is how much of its work the run has done; a lasting task is at work at 100.
	Percent int64
	// Usage is a rough figure of the last half second: the tail of the response times of a serving
	// task in milliseconds, the processor time of any other in thousandths of a core.
	Usage int64
}

// EndKind says how a run ended.
type EndKind string

// Ways in which runs end.
const (
	EndDone           EndKind = "done"
	EndFailed         EndKind = "failed"
	EndStopped        EndKind = "stopped"
	EndLeaseExpired   EndKind = "lapsed"
	EndGangBroken     EndKind = "broken"
	EndGangIncomplete EndKind = "alone"
)

// End is the end of a run.
type End struct {
	// Sequence counts the ends of one life of the worker.
	Sequence int64
	Run
	Kind       EndKind
	Checkpoint string
}

// PollResponse is what a worker says of its runs.
type PollResponse struct {
	// ClockMS is the worker's clock when it answered.
	ClockMS     int64
	StartedAtMS int64
	Running     []RunStatus
	Ended       []End
}

// Client sends orders to workers.
type Client interface {
	// Poll extends leases and reads the lists. It returns *RefusedError or ErrUnknown.
	Poll(ctx context.Context, to Target, o PollCommand) (PollResponse, error)
	// Start asks for a run. It returns *RefusedError or ErrUnknown.
	Start(ctx context.Context, to Target, o StartCommand) error
	// Stop ends a run, or keeps it from ever starting. It returns *RefusedError or ErrUnknown.
	Stop(ctx context.Context, to Target, r Run, token int64) error
	// CloseConnections releases what is kept for a worker's address that is no longer used.
	CloseConnections(address string)
	// SetSpeed sets the share of its speed at which a run works, in percent.
	SetSpeed(ctx context.Context, to Target, r Run, percent int, token int64) error
}

// Grant is the advice service's permission to run a step on a worker.
type Grant struct {
	Worker string
	Ticket string
}

// Advisor tells which workers may run a step.
type Advisor interface {
	// Advise names those of the given workers that may run the step, and how long the
	// tickets hold. At most MaxAdvised workers can be asked for at once.
	Advise(ctx context.Context, step string, workers []string) ([]Grant, time.Duration, error)
}

// MaxAdviceWorkers is how many workers one call to the advice service may name.
const MaxAdviceWorkers = 100

// Wave is the operator's request that machines have their upkeep.
type Wave struct {
	Number   int64
	Machines []string
	// TimeLimit is the time in which the operator wants it done.
	TimeLimit time.Duration
	// MaxDown is how many machines may be down for the wave at once.
	MaxDown int
}

// MachineState is the state of a machine.
type MachineState string

// States of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine that a worker lives on.
type Machine struct {
	ID     string
	Pool   string
	State  MachineState
	Worker string
}

// ErrMachineBusy means that a machine cannot have its upkeep now.
var ErrMachineBusy = errors.New("worker: machine busy")

// Machines is the interface to the machines under the workers.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its upkeep in a wave. It returns *RefusedError, ErrBusy
	// or ErrUnknown.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) error
}
