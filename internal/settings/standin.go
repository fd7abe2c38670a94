package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Standin holds the settings of the standin command, which runs stand-ins for the platform's
// services.
type Standin struct {
	Name string `toml:"name"`
	// All addresses are loopback addresses in the form IP:port. The operating system chooses
	// the port if it is 0.
	ControlAddr   string `toml:"control_addr"`
	LogAddr       string `toml:"log_addr"`
	InstancesAddr string `toml:"instances_addr"`
	// WorkersAddr is the address of all workers.
	WorkersAddr string `toml:"workers_addr"`
	// TargetsAddr is the address of the first target. The n-th target after it listens n ports
	// higher, or on a port that the operating system chooses if the port is 0.
	TargetsAddr string `toml:"targets_addr"`
	// InstancesLag is the delay until a change appears in the instance list; default 1s.
	InstancesLag Duration `toml:"instances_lag"`
	// UsageLag is the age of the workers' usage reports; default 5s.
	UsageLag Duration       `toml:"usage_lag"`
	Log      StandinLog     `toml:"log"`
	Worker   StandinWorker  `toml:"worker"`
	Target   StandinTarget  `toml:"target"`
	Zones    []StandinZone  `toml:"zones"`
	Entries  []StandinEntry `toml:"entries"`
}

// StandinLog holds the settings of the log's stand-in.
type StandinLog struct {
	// Retention is the time for which the log retains a record; default 1h.
	Retention Duration `toml:"retention"`
	// AppendsPerSecond is the maximum rate of appends; default 300.
	AppendsPerSecond float64 `toml:"appends_per_second"`
}

// StandinWorker describes the capacity of each worker. All workers have the same.
type StandinWorker struct {
	Cores        int `toml:"cores"`
	MemoryMB     int `toml:"memory_mb"`
	Accelerators int `toml:"accelerators"`
	// PerRack is the number of workers in each rack.
	PerRack int `toml:"per_rack"`
}

// StandinTarget describes the limits of each target. All targets have the same.
type StandinTarget struct {
	Slots       int `toml:"slots"`
	Connections int `toml:"connections"`
}

// StandinZone is one availability zone with its numbers of workers and targets.
type StandinZone struct {
	Name    string `toml:"name"`
	Region  string `toml:"region"`
	Workers int    `toml:"workers"`
	Targets int    `toml:"targets"`
}

// StandinEntry is one instance of kind "entry" in the instance list.
type StandinEntry struct {
	ID     string `toml:"id"`
	Addr   string `toml:"addr"`
	Zone   string `toml:"zone"`
	Region string `toml:"region"`
}

// Defaults and bounds of the stand-ins.
const (
	defaultInstancesLag     = time.Second
	defaultUsageLag         = 5 * time.Second
	defaultRetention        = time.Hour
	defaultAppendsPerSecond = 300
	// maxStandinWorkers limits the memory that one process needs, maxStandinTargets its memory and
	// its ports.
	maxStandinWorkers = 5000
	maxStandinTargets = 1000
)

// ReadStandin reads and validates the settings of the stand-ins. Invalid content is reported as an
// *Error.
func ReadStandin(file string) (Standin, error) {
	var s Standin
	err := readAndCheck(file, &s, func() []Problem {
		s.setDefaults()
		return s.check()
	})
	if err != nil {
		return Standin{}, err
	}
	return s, nil
}

func (s *Standin) setDefaults() {
	setDefault(&s.InstancesLag, Duration(defaultInstancesLag))
	setDefault(&s.UsageLag, Duration(defaultUsageLag))
	setDefault(&s.Log.Retention, Duration(defaultRetention))
	setDefault(&s.Log.AppendsPerSecond, defaultAppendsPerSecond)
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (s Standin) check() []Problem {
	var p problems
	p.require(s.Name != "", "name", "must be set")
	p.requireLoopback("control_addr", s.ControlAddr)
	p.requireLoopback("log_addr", s.LogAddr)
	p.requireLoopback("instances_addr", s.InstancesAddr)
	p.requireLoopback("workers_addr", s.WorkersAddr)
	p.requireLoopback("targets_addr", s.TargetsAddr)
	p.require(s.InstancesLag > 0, "instances_lag", "must be positive")
	p.require(s.UsageLag > 0, "usage_lag", "must be positive")
	p.require(s.Log.Retention > 0, "log.retention", "must be positive")
	p.require(s.Log.AppendsPerSecond > 0, "log.appends_per_second", "must be positive")
	p.require(len(s.Zones) > 0, "zones", "must not be empty")
	workers, targets := 0, 0
	seen := make(map[string]bool)
	for i, zone := range s.Zones {
		key := fmt.Sprintf("zones[%d]", i)
		p.require(zone.Name != "" && !seen[zone.Name], key+".name", "must be set and unique")
		p.require(zone.Workers >= 0, key+".workers", "must not be negative")
		p.require(zone.Targets >= 0, key+".targets", "must not be negative")
		seen[zone.Name] = true
		workers += zone.Workers
		targets += zone.Targets
	}
	p.require(workers <= maxStandinWorkers, "zones", fmt.Sprintf("must have at most %d workers", maxStandinWorkers))
	p.require(targets <= maxStandinTargets, "zones", fmt.Sprintf("must have at most %d targets", maxStandinTargets))
	p.checkStandinSizes(s, workers, targets)
	for i, entry := range s.Entries {
		key := fmt.Sprintf("entries[%d]", i)
		p.require(entry.ID != "", key+".id", "must be set")
		p.requireAddr(key+".addr", entry.Addr)
		p.require(seen[entry.Zone], key+".zone", "must be the name of one of the zones")
	}
	return p
}

func (p *problems) checkStandinSizes(s Standin, workers, targets int) {
	if workers > 0 {
		p.require(s.Worker.Accelerators > 0, "worker.accelerators", "must be positive")
		p.require(s.Worker.Cores > 0, "worker.cores", "must be positive")
		p.require(s.Worker.MemoryMB > 0, "worker.memory_mb", "must be positive")
		p.require(s.Worker.PerRack > 0, "worker.per_rack", "must be positive")
	}
	if targets > 0 {
		p.require(s.Target.Slots > 0, "target.slots", "must be positive")
		p.require(s.Target.Connections > 0, "target.connections", "must be positive")
	}
}

func (p *problems) requireLoopback(key, value string) {
	addr, err := netip.ParseAddrPort(value)
	p.require(err == nil && addr.Addr().IsLoopback(), key, "must be a loopback IP:port")
}
