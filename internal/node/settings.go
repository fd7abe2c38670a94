// Package node runs one instance: it wires the intake, the election and the scheduler to the
// platform and stops them gracefully.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Bounds are the operator's promises and the workers' timing that the instance relies on.
type Bounds struct {
	// Revoke is how soon a key that was taken away must be refused everywhere.
	Revoke time.Duration
	// Grace is the time between the signals to stop and to be killed.
	Grace time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// Stop is the longest time that a worker takes to stop a run.
	Stop time.Duration
	// GangWait is how long a member of a gang waits for the others.
	GangWait time.Duration
	// CancelAllowed is the time after a cancellation within which runs must end.
	CancelAllowed time.Duration
	// Visible is how soon an accepted job must be known everywhere.
	Visible time.Duration
	// KeepFinal is how long the state of a finished job can be asked for.
	KeepFinal time.Duration
	// RemoteFactor is how much slower tasks are away from their data or their gang.
	RemoteFactor float64
	// Checkpoint is the time of work between checkpoints, Restore the time to resume.
	Checkpoint, Restore time.Duration
	// Notice is how long a lasting task must be away to count as absent.
	Notice time.Duration
	// Upkeep is how long a machine is away for its upkeep.
	Upkeep time.Duration
	// HolderTurn is the least time between orders of two holders for one machine.
	HolderTurn time.Duration
	// Harm is how long a serving task may be disturbed, Reclaim how long guaranteed work waits.
	Harm, Reclaim time.Duration
}

// Settings are the settings of one process.
type Settings struct {
	Name string
	IP   string
	Zone string
	// Front, Ready are the addresses for callers and for the balancer's probes.
	Front, Ready string
	// MetricsPort serves metrics; 0 for none.
	MetricsPort int
	// RelayPort is where the leader stores records for other instances, the same on all; 0 for
	// none.
	RelayPort int
	// Cores is the processor time of the instance, in cores; 0 if unknown.
	Cores        float64
	MemoryMB     int64
	StoreAddress string
	// Advice and Machines are addresses of services; empty where there is none.
	Advice, Machines string
	Heartbeat        time.Duration
	Bounds           Bounds
}

// ErrSettings means that the settings cannot be used.
var ErrSettings = errors.New("node: settings")

// Validate names the first missing setting.
func (s *Settings) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", s.Name}, {"ip", s.IP}, {"front address", s.Front},
		{"ready address", s.Ready}, {"store address", s.StoreAddress},
	} {
		if field.value == "" {
			return fmt.Errorf("%w: no %s", ErrSettings, field.name)
		}
	}
	if s.Bounds.MaxLease <= 0 {
		return fmt.Errorf("%w: no longest lease", ErrSettings)
	}
	return nil
}
