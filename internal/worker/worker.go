// Package worker defines what the scheduler exchanges with workers: their registry entries,
// the commands that the leader sends to them, and the runs that they report. It also defines the
// clients of the advice service and of the machines that host the workers.
package worker

import (
	"context"
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// State is the state in a worker's registry entry.
type State int

// States of a worker.
const (
	// Ready workers accept new runs.
	Ready State = iota
	// Draining workers finish or stop their runs and then shut down.
	Draining
)

// Info is a worker's registry entry.
type Info struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Rack is the rack of the worker; it is also one of Labels.
	Rack   string
	Labels []string
	State  State
	// RemainingTime is the minimum time until a draining worker shuts down.
	RemainingTime time.Duration
	// ColdRemaining is how much longer the worker is slow because it has started lately, 0 if it is not.
	ColdRemaining time.Duration
	// CPU is the capacity in thousandths of a core.
	CPU      int64
	MemoryMB int64
	// GPU is the number of accelerators.
	GPU int64
	// StartedAtMS is the start time of this incarnation, in Unix milliseconds. It distinguishes
	// the incarnations of a worker.
	StartedAtMS int64
	// ClockMS is the reading of the worker's monotonic clock when it wrote the entry, in
	// milliseconds.
	ClockMS int64
}

// HasLabel reports whether the worker has a label.
func (i *Info) HasLabel(label string) bool {
	for _, l := range i.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// Endpoint is where a worker is expected: its id and its address. It does not tell the incarnations of
// the worker apart.
type Endpoint struct {
	ID      string
	Address string
}

// Run identifies one run (execution) of a task.
type Run struct {
	Task batch.TaskID
	// Number counts the starts of the task from 1.
	Number int64
}

// StartCommand tells a worker to run a task.
type StartCommand struct {
	Run
	// Spec is Job.Spec of package batch, passed on unread.
	Spec       string
	Checkpoint string
	// Ticket proves that the advice service permits the run; empty if the queue has no advice service.
	Ticket string
	// LeaseExpiryMS is when the leases of all runs on the worker expire, in milliseconds of the
	// worker's clock.
	LeaseExpiryMS int64
	// Token is the fencing token: the epoch of the sending leader.
	Token int64
}

// RejectReason is why a worker or service rejected a call. A rejected call had no effect.
type RejectReason string

// Reasons of rejections.
const (
	// RejectedStaleToken means that the worker has seen a higher token.
	RejectedStaleToken RejectReason = "fence"
	// RejectedOldRun means that the run, or one of the task with a higher number, was stopped or
	// has ended on the worker.
	RejectedOldRun RejectReason = "old"
	// RejectedLeaseExpired means that LeaseExpiryMS has passed on the worker's clock.
	RejectedLeaseExpired RejectReason = "late"
	// RejectedNoCapacity means that the worker has too few free resources for the task.
	RejectedNoCapacity RejectReason = "room"
	// RejectedTicket means that the ticket is not valid.
	RejectedTicket RejectReason = "ticket"
	// RejectedUnhealthy means that the called worker or service accepts no requests at present, or
	// that a service gave an unexpected response.
	RejectedUnhealthy RejectReason = "unhealthy"
	// RejectedWrongWorker means that another worker now listens at the address.
	RejectedWrongWorker RejectReason = "instance"
	// RejectedInvalid means that the worker could not interpret the command.
	RejectedInvalid RejectReason = "invalid"
)

// RejectedError means that a worker, the advice service or the machine service rejected a call, which
// therefore had no effect.
type RejectedError struct{ Reason RejectReason }

func (e *RejectedError) Error() string { return "worker: call rejected: " + string(e.Reason) }

// ErrUnknownOutcome means that no usable response to a call was received: the call may have been
// executed, or may still be executed seconds later.
var ErrUnknownOutcome = errors.New("worker: no response, outcome unknown")

// ErrUnreachable means that no connection to the worker could be made, so the command was not
// sent.
var ErrUnreachable = errors.New("worker: unreachable")

// PollCommand renews the leases of all runs on a worker and asks for the state of its runs.
type PollCommand struct {
	// LeaseExpiryMS is when the leases expire, in milliseconds of the worker's clock; 0 leaves
	// them unchanged.
	LeaseExpiryMS int64
	// Token is the fencing token: the epoch of the sending leader.
	Token int64
	// AcknowledgedThrough is the highest End.Sequence that the worker may discard.
	AcknowledgedThrough int64
	// Wait is the longest time for which the worker may hold the response to wait for the end of a run.
	Wait time.Duration
}

// RunStatus is a run in progress.
type RunStatus struct {
	Run
	Checkpoint string
	// Percent is the completed share of the run's work. A long-running task has finished its
	// startup at 100.
	Percent int64
	// Usage is an approximate figure for the last half second: the tail latency in milliseconds if
	// the task is a serving task, otherwise the processor time in thousandths of a core.
	Usage int64
}

// EndKind is how a run ended.
type EndKind string

// Ways in which runs end.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndLeaseExpired means that the worker ended the run because its lease had expired.
	EndLeaseExpired EndKind = "lapsed"
	// EndGangBroken means that another member of the gang failed or was stopped.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete means that the other members of the gang did not arrive in time.
	EndGangIncomplete EndKind = "alone"
)

// End is the end of a run.
type End struct {
	// Sequence numbers the ended runs of one incarnation of the worker.
	Sequence int64
	Run
	Kind       EndKind
	Checkpoint string
}

// StartResponse is a worker's response to a start.
type StartResponse struct {
	// ClockMS is the worker's clock when it sent the response, in milliseconds; 0 if not known.
	ClockMS int64
	// ConnectedAt is when the connection was made on which the command was sent; 0 if not known. A connection leads to the
	// incarnation that the worker had at that time.
	ConnectedAt boottime.Instant
}

// PollResponse is a worker's report of its runs.
type PollResponse struct {
	// ConnectedAt is when the connection was made on which the poll was sent; 0 if not known.
	ConnectedAt boottime.Instant
	// ClockMS is the worker's clock when it sent the response, in milliseconds.
	ClockMS int64
	// StartedAtMS is the start time of the incarnation, in Unix milliseconds.
	StartedAtMS int64
	Running     []RunStatus
	// Ended lists the ended runs that are not yet acknowledged, in the order of their sequence numbers.
	Ended []End
	// EndsTruncated means that Ended may lack the last ends: a response has room for a limited number of
	// them. A run that is neither in Running nor in Ended may then have ended in any way.
	EndsTruncated bool
}

// Client sends commands to workers.
type Client interface {
	// Poll renews the leases and returns the state of the runs. It returns *RejectedError,
	// ErrUnknownOutcome or ErrUnreachable.
	Poll(ctx context.Context, to Endpoint, cmd PollCommand) (PollResponse, error)
	// Start starts a run. It returns *RejectedError, ErrUnknownOutcome or ErrUnreachable. With ErrUnknownOutcome,
	// StartResponse.ConnectedAt is valid.
	Start(ctx context.Context, to Endpoint, cmd StartCommand) (StartResponse, error)
	// Stop stops a run, or prevents it from starting later. It returns *RejectedError,
	// ErrUnknownOutcome or ErrUnreachable.
	Stop(ctx context.Context, to Endpoint, r Run, token int64) error
	// CloseConnections closes the connections to a worker's address that is no longer used.
	CloseConnections(address string)
	// SetSpeed limits a run to a percentage of its full speed. It returns *RejectedError,
	// ErrUnknownOutcome or ErrUnreachable.
	SetSpeed(ctx context.Context, to Endpoint, r Run, percent int, token int64) error
}

// Grant is the ticket of the advice service for running a step on one worker.
type Grant struct {
	Worker string
	Ticket string
}

// Advisor is the client of the advice service, which decides which workers may run a step.
type Advisor interface {
	// Advise returns a grant for each of the given workers that may run the step, and how long
	// the tickets are valid. The step is the result of batch.TaskID.StepName. A call may name at
	// most MaxAdviceWorkers workers. Advise returns *RejectedError or ErrUnknownOutcome.
	Advise(ctx context.Context, step string, workers []string) ([]Grant, time.Duration, error)
}

// MaxAdviceWorkers is the maximum number of workers that the advice service accepts in one call.
const MaxAdviceWorkers = 100

// Wave is the operator's request for maintenance (upkeep) of a set of machines.
type Wave struct {
	Number   int64
	Machines []string
	// TimeLimit is the time in which the operator wants the wave completed.
	TimeLimit time.Duration
	// MaxDown is how many machines may be down for the wave at the same time.
	MaxDown int
}

// MachineState is the state of a machine.
type MachineState string

// States of a machine.
const (
	// MachineUp machines can start maintenance. The scheduler does not distinguish the other states.
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	// MachineUpkeep machines are down for maintenance.
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
)

// Machine is a machine that hosts a worker.
type Machine struct {
	ID string
	// Pool is the machine's pool as reported by the service; the scheduler does not use it.
	Pool  string
	State MachineState
	// Worker is the ID of the hosted worker.
	Worker string
}

// ErrMachineBusy means that the maintenance of a machine cannot start at present: the request had no
// effect.
var ErrMachineBusy = errors.New("worker: machine cannot start maintenance now")

// Machines is the client of the service that manages the machines of the workers.
type Machines interface {
	// List returns all machines. It returns *RejectedError or ErrUnknownOutcome.
	List(ctx context.Context) ([]Machine, error)
	// Upkeep takes a machine down for its maintenance in a wave. The holder is the name of the
	// calling instance; the token is the fencing token. It returns *RejectedError, ErrMachineBusy
	// or ErrUnknownOutcome.
	Upkeep(ctx context.Context, machine string, wave int64, holder string, token int64) error
}
