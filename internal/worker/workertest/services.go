package workertest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Advisor is a stand-in of the advice service that issues tickets for a fixed set of workers. It
// implements worker.Advisor.
type Advisor struct {
	fleet          *Fleet
	permitted      map[string]bool
	ticketValidity time.Duration
	calls          int
}

// NewAdvisor returns a service that permits only the given workers. From then on the fleet rejects
// starts without a valid ticket; a ticket expires after ticketValidity.
func NewAdvisor(f *Fleet, ticketValidity time.Duration, permitted ...string) *Advisor {
	a := &Advisor{fleet: f, permitted: make(map[string]bool), ticketValidity: ticketValidity}
	for _, id := range permitted {
		a.permitted[id] = true
	}
	f.validTickets = make(map[string]string)
	return a
}

// Permit permits further workers.
func (a *Advisor) Permit(ids ...string) {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	for _, id := range ids {
		a.permitted[id] = true
	}
}

// Calls returns how often Advise was called.
func (a *Advisor) Calls() int {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return a.calls
}

// Advise implements worker.Advisor.
func (a *Advisor) Advise(_ context.Context, step string, workers []string) ([]worker.Grant, time.Duration, error) {
	// The latency of the service: a base and a part for each worker.
	time.Sleep(time.Duration(20+2*len(workers)) * time.Millisecond)
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.calls++
	var grants []worker.Grant
	for _, id := range workers {
		if !a.permitted[id] {
			continue
		}
		key, ticket := step+" "+id, fmt.Sprintf("t%d", a.calls)
		a.fleet.validTickets[key] = ticket
		time.AfterFunc(a.ticketValidity, func() {
			a.fleet.mu.Lock()
			defer a.fleet.mu.Unlock()
			if a.fleet.validTickets[key] == ticket {
				delete(a.fleet.validTickets, key)
			}
		})
		grants = append(grants, worker.Grant{Worker: id, Ticket: ticket})
	}
	return grants, a.ticketValidity, nil
}

// Machines is a stand-in of the service that manages the machines of the workers. It implements
// worker.Machines.
type Machines struct {
	fleet *Fleet
	// upkeepDuration is how long the maintenance of a machine takes.
	upkeepDuration time.Duration
	machines       []worker.Machine
	// token is the highest fencing token received.
	token int64
	// responseLoss is the share of commands that are executed without a response.
	responseLoss float64
	// lastCommands holds the last command for each machine, by its ID.
	lastCommands map[string]machineCommand
	// maintainedWave is the last wave in which the maintenance of each machine has begun.
	maintainedWave map[string]int64
	// down is the number of machines that are down now, maxDown its maximum so far.
	down    int
	maxDown int
	// onReturned is called with the new worker of a machine after its maintenance.
	onReturned func(worker.Info)
	// onGone is called with the id of the worker that stops when maintenance begins.
	onGone func(id string)
}

// machineCommand is the last maintenance command for a machine, recorded to detect concurrent
// holders.
type machineCommand struct {
	holder string
	token  int64
	at     time.Time
}

// holderChangeInterval is the minimum time between the commands of two holders for one machine.
const holderChangeInterval = 3 * time.Second

// SetResponseLoss makes a share of the commands get no response although they are executed.
func (m *Machines) SetResponseLoss(share float64) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.responseLoss = share
}

// recordHolderViolations records a violation if the last two commands for a machine came from different
// holders with the same token, or within holderChangeInterval.
func (m *Machines) recordHolderViolations(id, holder string, token int64) {
	last, found := m.lastCommands[id]
	m.lastCommands[id] = machineCommand{holder: holder, token: token, at: time.Now()}
	if !found || last.holder == holder {
		return
	}
	if last.token == token || time.Since(last.at) < holderChangeInterval {
		m.fleet.violations = append(m.fleet.violations, fmt.Sprintf("concurrent holders: machine %s commanded by %s with token %d, %v after %s with token %d",
			id, holder, token, time.Since(last.at), last.holder, last.token))
	}
}

// NewMachines returns a service with one machine for each worker of the fleet. Maintenance of a
// machine takes upkeepDuration. The service calls onGone with the id of the worker that stops when
// maintenance begins, and onReturned with the worker that replaces it afterwards.
func NewMachines(f *Fleet, upkeepDuration time.Duration, onGone func(string), onReturned func(worker.Info)) *Machines {
	m := &Machines{fleet: f, upkeepDuration: upkeepDuration, maintainedWave: make(map[string]int64), lastCommands: make(map[string]machineCommand), onGone: onGone, onReturned: onReturned}
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.workers {
		m.machines = append(m.machines, worker.Machine{ID: "m-" + id, Pool: "s", State: worker.MachineUp, Worker: id})
	}
	return m
}

// List implements worker.Machines.
func (m *Machines) List(context.Context) ([]worker.Machine, error) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return slices.Clone(m.machines), nil
}

// MaintenanceCounts returns the maximum number of machines that were down at the same time, and the
// number of machines whose maintenance has begun.
func (m *Machines) MaintenanceCounts() (maxDown, maintained int) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.maxDown, len(m.maintainedWave)
}

// Upkeep implements worker.Machines.
func (m *Machines) Upkeep(_ context.Context, id string, wave int64, holder string, token int64) error {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if token < m.token {
		return rejected(worker.RejectedStaleToken)
	}
	m.token = token
	m.recordHolderViolations(id, holder, token)
	err := m.startUpkeep(id, wave)
	if m.responseLoss > 0 && m.fleet.random.Float64() < m.responseLoss {
		return eris.Wrap(worker.ErrUnknownOutcome, "response lost")
	}
	return err
}

func (m *Machines) startUpkeep(id string, wave int64) error {
	at := slices.IndexFunc(m.machines, func(x worker.Machine) bool { return x.ID == id })
	switch {
	case at >= 0 && m.maintainedWave[id] == wave:
		return nil
	case at < 0 || m.machines[at].State != worker.MachineUp:
		return eris.Wrap(worker.ErrMachineBusy, id)
	}
	m.maintainedWave[id] = wave
	m.down++
	m.maxDown = max(m.maxDown, m.down)
	old := m.fleet.workers[m.machines[at].Worker]
	if len(old.runs) > 0 {
		m.fleet.violations = append(m.fleet.violations, fmt.Sprintf("runs lost: machine %s went down with %d runs in progress", id, len(old.runs)))
	}
	old.discardRuns()
	delete(m.fleet.workers, old.info.ID)
	m.machines[at].State = worker.MachineUpkeep
	info := old.info
	// onGone must be called without the fleet's lock, which the caller holds.
	time.AfterFunc(0, func() { m.onGone(info.ID) })
	time.AfterFunc(m.upkeepDuration, func() { m.finishUpkeep(at, info) })
	return nil
}

// finishUpkeep ends the maintenance of a machine and starts a new worker on it, whose id is the old
// one with "+" appended.
func (m *Machines) finishUpkeep(at int, info worker.Info) {
	info.ID += "+"
	info = m.fleet.Add(info, 1)
	m.fleet.mu.Lock()
	m.down--
	m.machines[at].State, m.machines[at].Worker = worker.MachineUp, info.ID
	m.fleet.mu.Unlock()
	m.onReturned(info)
}
