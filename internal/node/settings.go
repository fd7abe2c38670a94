// Package node runs one instance: it wires the intake, the election and the scheduler to the
// platform and stops them gracefully.
package node

import (
	"errors"
	"fmt"
	"time"
)

// Timing are the platform's timing that the instance relies on.
type Timing struct {
	// GracePeriod is the time between the signals to stop and to be killed.
	GracePeriod time.Duration
	// MaxLease is the longest lease that workers grant.
	MaxLease time.Duration
	// FinishedJobRetention is how long the state of a finished job can be asked for.
	FinishedJobRetention time.Duration
	// HolderChangeInterval is the least time between orders of two holders for one machine.
	HolderChangeInterval time.Duration
}

// Settings are the settings of one process.
type Settings struct {
	Name string
	IP   string
	Zone string
	// FrontAddress, ReadyAddress are the addresses for callers and for the balancer's probes.
	FrontAddress, ReadyAddress string
	// MetricsPort serves metrics; 0 for none.
	MetricsPort int
	// RelayPort is where the leader stores records for other instances, the same on all; 0 for
	// none.
	RelayPort int
	// Cores is the processor time of the instance, in cores; 0 if unknown.
	Cores        float64
	MemoryMB     int64
	StoreAddress string
	// AdviceAddress and MachinesAddress are addresses of services; empty where there is none.
	AdviceAddress, MachinesAddress string
	HeartbeatInterval              time.Duration
	Timing                         Timing
}

// ErrInvalidSettings means that the settings cannot be used.
var ErrInvalidSettings = errors.New("node: settings")

// Validate names the first missing setting.
func (s *Settings) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", s.Name}, {"ip", s.IP}, {"front address", s.FrontAddress},
		{"ready address", s.ReadyAddress}, {"store address", s.StoreAddress},
	} {
		if field.value == "" {
			return fmt.Errorf("%w: no %s", ErrInvalidSettings, field.name)
		}
	}
	if s.Timing.MaxLease <= 0 {
		return fmt.Errorf("%w: no longest lease", ErrInvalidSettings)
	}
	return nil
}
