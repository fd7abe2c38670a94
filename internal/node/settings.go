// Package node runs one instance of the service. It connects the intake, the election and the controller
// to the platform, and stops them gracefully.
package node

import (
	"cmp"
	"errors"
	"fmt"
	"time"
)

// Timing has the time limits that the platform sets.
type Timing struct {
	// GracePeriod is the time between the signal to stop and the signal that kills the process.
	GracePeriod time.Duration
	// MaxLease is the maximum duration of a lease on a worker.
	MaxLease time.Duration
	// FinishedJobRetention is how long the status of a finished job stays available.
	FinishedJobRetention time.Duration
	// HolderChangeInterval is the minimum time between commands of two holders for one machine.
	HolderChangeInterval time.Duration
	// EvacuationBound is the longest time from the evacuation of a zone to the last start of a task there; 0 if the
	// platform sets no limit.
	EvacuationBound time.Duration
}

// Settings are the settings of one process.
type Settings struct {
	Name string
	// IP is the address at which other instances reach this one.
	IP   string
	Zone string
	// FrontAddress is the address for the requests of callers, ReadyAddress that for the readiness
	// probes of the load balancer.
	FrontAddress, ReadyAddress string
	// MetricsPort is the port that serves metrics; 0 for none.
	MetricsPort int
	// RelayPort is the port at which the leader stores records for other instances; 0 for none. It must
	// be the same on all instances.
	RelayPort int
	// Cores is the processor time of the instance, in cores; 0 if unknown.
	Cores float64
	// MemoryMB is the memory of the instance in megabytes; 0 if unknown.
	MemoryMB int64
	// MaxFDs is the maximum number of open file descriptors of the process; 0 if unknown.
	MaxFDs int64
	// LogAddress is the address of the log.
	LogAddress string
	// AdviceAddress and MachinesAddress are the addresses of the advice service and of the service that
	// manages the machines; empty if there is no such service.
	AdviceAddress, MachinesAddress string
	// HeartbeatInterval is the time between two updates of a worker's registry entry.
	HeartbeatInterval time.Duration
	Timing            Timing
}

const (
	// defaultMemoryMB and defaultMaxFDs stand for limits that the settings do not give. They are those of the
	// smallest deployment.
	defaultMemoryMB = 144
	defaultMaxFDs   = 3075
	// reservedFDs is the number of descriptors for files.
	reservedFDs = 200
	// callerFDFraction is the fraction of the other descriptors that callers may use. The leader has up to three
	// connections to each of 350 workers with 3,075 descriptors, and two from each of up to 150 instances.
	callerFDFraction = 0.25
	// relayFDFraction is the fraction for other instances at the leader: 1,950 of 4,100 descriptors, two each for
	// 900 instances.
	relayFDFraction = 0.5
	// callerMemoryFraction is the fraction of the memory that connections of callers may use.
	callerMemoryFraction = 0.25
	// callerBytes is the memory of a connection: two buffers of 4 KB and the goroutines of net/http, a header of
	// 16 KB, and what waits in the kernel in both directions (clients.Limiter).
	callerBytes = 64 << 10
	// bodyMemoryFraction is the fraction of the memory for request bodies.
	bodyMemoryFraction = 0.125
	// minCallers is the smallest limit of connections of callers.
	minCallers = 16
)

// maxCallers returns the maximum number of connections of callers: 576 with 144 MB, 718 with 3,075 descriptors.
func (s *Settings) maxCallers() int {
	fds := cmp.Or(max(0, s.MaxFDs), defaultMaxFDs) - reservedFDs
	return max(minCallers, min(int(float64(fds)*callerFDFraction), int(s.memoryBytes()*callerMemoryFraction/callerBytes)))
}

// maxRelayConns returns the maximum number of connections of other instances.
func (s *Settings) maxRelayConns() int {
	return max(minCallers, int(float64(cmp.Or(max(0, s.MaxFDs), defaultMaxFDs)-reservedFDs)*relayFDFraction))
}

// bodyBytes returns the memory for request bodies in bytes.
func (s *Settings) bodyBytes() int64 { return int64(s.memoryBytes() * bodyMemoryFraction) }

func (s *Settings) memoryBytes() float64 {
	return float64(cmp.Or(max(0, s.MemoryMB), defaultMemoryMB)) * (1 << 20)
}

// ErrInvalidSettings means that a required setting is missing.
var ErrInvalidSettings = errors.New("node: invalid settings")

// Validate returns an error that wraps ErrInvalidSettings and names the first missing setting, or nil.
func (s *Settings) Validate() error {
	for _, field := range []struct{ name, value string }{
		{"name", s.Name}, {"ip", s.IP}, {"front address", s.FrontAddress},
		{"ready address", s.ReadyAddress}, {"log address", s.LogAddress},
	} {
		if field.value == "" {
			return fmt.Errorf("%w: %s is missing", ErrInvalidSettings, field.name)
		}
	}
	if s.Timing.MaxLease <= 0 {
		return fmt.Errorf("%w: maximum lease is missing", ErrInvalidSettings)
	}
	return nil
}
