package workertest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// Advisor is a stand-in of the advice service. Its tickets are valid for a limited time.
type Advisor struct {
	fleet *Fleet
	good  map[string]bool
	valid time.Duration
	calls int
}

// NewAdvisor returns a service that permits only the given workers, and makes the fleet ask for
// its tickets.
func NewAdvisor(f *Fleet, valid time.Duration, good ...string) *Advisor {
	a := &Advisor{fleet: f, good: make(map[string]bool), valid: valid}
	for _, id := range good {
		a.good[id] = true
	}
	f.tickets = make(map[string]string)
	return a
}

// Calls returns how often the service was asked.
func (a *Advisor) Calls() int {
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	return a.calls
}

// Advise implements worker.Advisor.
func (a *Advisor) Advise(_ context.Context, step string, workers []string) ([]worker.Grant, time.Duration, error) {
	time.Sleep(time.Duration(20+2*len(workers)) * time.Millisecond)
	a.fleet.mu.Lock()
	defer a.fleet.mu.Unlock()
	a.calls++
	var grants []worker.Grant
	for _, id := range workers {
		if !a.good[id] {
			continue
		}
		key, ticket := step+" "+id, fmt.Sprintf("t%d", a.calls)
		a.fleet.tickets[key] = ticket
		time.AfterFunc(a.valid, func() {
			a.fleet.mu.Lock()
			defer a.fleet.mu.Unlock()
			if a.fleet.tickets[key] == ticket {
				delete(a.fleet.tickets, key)
			}
		})
		grants = append(grants, worker.Grant{Worker: id, Ticket: ticket})
	}
	return grants, a.valid, nil
}

// Machines is a stand-in of the service of the machines under the workers.
type Machines struct {
	fleet *Fleet
	// away is how long an upkeep takes.
	away     time.Duration
	machines []worker.Machine
	token    int64
	// lose is the share of orders that are carried out without an answer.
	lose float64
	// orders holds the last order for each machine.
	orders   map[string]machineOrder
	served   map[string]int64
	down     int
	mostDown int
	// Returned is called with the worker that a machine comes back with.
	returned func(worker.Info)
	gone     func(id string)
}

// machineOrder is an order for a machine, as its fence knows it.
type machineOrder struct {
	holder string
	token  int64
	at     time.Time
}

// holderTurn is the least time between the orders of two holders for one machine.
const holderTurn = 3 * time.Second

// SetResponseLoss makes a share of the orders get no answer although they are carried out.
func (m *Machines) SetResponseLoss(share float64) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.lose = share
}

// checkOrder notes holders that share a token or take turns too fast.
func (m *Machines) checkOrder(id, holder string, token int64) {
	last, before := m.orders[id]
	m.orders[id] = machineOrder{holder: holder, token: token, at: time.Now()}
	if !before || last.holder == holder {
		return
	}
	if last.token == token || time.Since(last.at) < holderTurn {
		m.fleet.broken = append(m.fleet.broken, fmt.Sprintf("ONE: %s by %s with %d, %v after %s with %d",
			id, holder, token, time.Since(last.at), last.holder, last.token))
	}
}

// NewMachines returns a service with one machine for each worker of the fleet. It calls gone and
// returned as workers leave and come.
func NewMachines(f *Fleet, away time.Duration, gone func(string), returned func(worker.Info)) *Machines {
	m := &Machines{fleet: f, away: away, served: make(map[string]int64), orders: make(map[string]machineOrder), gone: gone, returned: returned}
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

// MaxDown returns how many machines were down at once, and how many had their upkeep.
func (m *Machines) MaxDown() (most, served int) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.mostDown, len(m.served)
}

// Upkeep implements worker.Machines.
func (m *Machines) Upkeep(_ context.Context, id string, wave int64, holder string, token int64) error {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if token < m.token {
		return refused(worker.RejectedStaleToken)
	}
	m.token = token
	m.checkOrder(id, holder, token)
	err := m.upkeep(id, wave)
	if m.lose > 0 && m.fleet.random.Float64() < m.lose {
		return eris.Wrap(worker.ErrUnconfirmed, "answer lost")
	}
	return err
}

func (m *Machines) upkeep(id string, wave int64) error {
	at := slices.IndexFunc(m.machines, func(x worker.Machine) bool { return x.ID == id })
	switch {
	case at >= 0 && m.served[id] == wave:
		return nil
	case at < 0 || m.machines[at].State != worker.MachineUp:
		return eris.Wrap(worker.ErrMachineBusy, id)
	}
	m.served[id] = wave
	m.down++
	m.mostDown = max(m.mostDown, m.down)
	old := m.fleet.workers[m.machines[at].Worker]
	if len(old.runs) > 0 {
		m.fleet.broken = append(m.fleet.broken, fmt.Sprintf("AVAIL: %s goes down with %d runs", id, len(old.runs)))
	}
	old.clear()
	delete(m.fleet.workers, old.info.ID)
	m.machines[at].State = worker.MachineUpkeep
	info := old.info
	time.AfterFunc(0, func() { m.gone(info.ID) })
	time.AfterFunc(m.away, func() { m.comeBack(at, info) })
	return nil
}

func (m *Machines) comeBack(at int, info worker.Info) {
	info.ID += "+"
	info = m.fleet.Add(info, 1)
	m.fleet.mu.Lock()
	m.down--
	m.machines[at].State, m.machines[at].Worker = worker.MachineUp, info.ID
	m.fleet.mu.Unlock()
	m.returned(info)
}
