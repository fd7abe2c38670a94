// Package node runs one instance: it wires the intake, the election and the scheduler to the
// platform and stops them gracefully.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Bounds are the platform's timing that the instance relies on.
type Bounds struct {
	// Grace is the time between the signals to stop and to be killed.
	Grace time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// KeepFinal is how long the state of a finished job can be asked for.
	KeepFinal time.Duration
	// HolderTurn is the least time between orders of two holders for one machine.
	HolderTurn time.Duration
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
