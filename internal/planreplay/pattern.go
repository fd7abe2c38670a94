// Package planreplay replays patterns of load against the decisions of package planner, in virtual time and without
// input or output. It shows how long work waits, which jobs meet their objectives and how much work is thrown away, so
// that two versions of the planner can be compared on the load of a bad day within seconds.
//
// The replay knows no failures of instances or of the network: starts and stops take a fixed time.
package planreplay

import (
	"bytes"
	"errors"
	"fmt"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// ErrInvalid is wrapped by all errors that concern the content of a pattern.
var ErrInvalid = errors.New("planreplay: invalid pattern")

// Pattern is a pattern of load, as written in a TOML file.
type Pattern struct {
	// Seed determines the arrivals, sizes and failures.
	Seed uint64 `toml:"seed"`
	// Duration is the time for which jobs arrive. The replay ends when all of them have ended, or after three times
	// the duration.
	Duration settings.Duration `toml:"duration"`
	// Round is the time between two planning rounds.
	Round   settings.Duration `toml:"round"`
	Workers Workers           `toml:"workers"`
	// Orgs are the organisations; jobs are divided among them by their weights.
	Orgs    []Org   `toml:"orgs"`
	Classes []Class `toml:"classes"`
	Bursts  []Burst `toml:"bursts"`
	// Losses are workers that are lost with their runs at the same moment, and Slowdowns workers that are slow.
	Losses    []Loss     `toml:"losses"`
	Slowdowns []Slowdown `toml:"slowdowns"`
	// Interference is the kinds of work that slow each other down on one worker.
	Interference []Interference `toml:"interference"`
	// LearnInterference means that the planner is told which kinds conflict, as learned from what polls would show.
	LearnInterference bool `toml:"learn_interference"`
	// Evacuations are zones that accept nothing for a time.
	Evacuations []Evacuation `toml:"evacuations"`
}

// Workers describes the fleet.
type Workers struct {
	Count   int `toml:"count"`
	PerRack int `toml:"per_rack"`
	// Cores, MemoryMB and GPU are the capacity of each worker.
	Cores    int64 `toml:"cores"`
	MemoryMB int64 `toml:"memory_mb"`
	GPU      int64 `toml:"gpu"`
	// Speeds are the speeds of the workers in turn; empty means that all have speed 1. Work takes its duration divided by the
	// speed.
	Speeds []float64 `toml:"speeds"`
	// SpeedsKnownAfter is the time for which a worker must have run tasks until the planner is told its speed; 0 for never.
	SpeedsKnownAfter settings.Duration `toml:"speeds_known_after"`
}

// Org is an organisation.
type Org struct {
	Name string `toml:"name"`
	// Weight is its share of the jobs, relative to the other weights.
	Weight float64 `toml:"weight"`
	// GuaranteedGPU is the number of accelerators guaranteed to its jobs of priority 0.
	GuaranteedGPU int64 `toml:"guaranteed_gpu"`
}

// Class is a kind of job with one step.
type Class struct {
	Name     string `toml:"name"`
	Priority int    `toml:"priority"`
	// PerSecond is the rate of arrivals without bursts.
	PerSecond float64 `toml:"per_second"`
	// Tasks and MaxTasks are the mean and the maximum of the number of tasks, TasksSpread is the standard deviation of
	// its logarithm.
	Tasks       float64 `toml:"tasks"`
	TasksSpread float64 `toml:"tasks_spread"`
	MaxTasks    int     `toml:"max_tasks"`
	// Work is the mean duration of a task, WorkSpread the standard deviation of its logarithm, MaxWork its maximum.
	Work       settings.Duration `toml:"work"`
	WorkSpread float64           `toml:"work_spread"`
	MaxWork    settings.Duration `toml:"max_work"`
	// Cores, MemoryMB and GPUs are the request of a task; each job has one of GPUs.
	Cores    int64   `toml:"cores"`
	MemoryMB int64   `toml:"memory_mb"`
	GPUs     []int64 `toml:"gpus"`
	// GangShare, RackLocalShare and CheckpointShare are the shares of jobs that are gangs, that are slow if they are
	// spread over racks, and that save their progress.
	GangShare       float64 `toml:"gang_share"`
	RackLocalShare  float64 `toml:"rack_local_share"`
	CheckpointShare float64 `toml:"checkpoint_share"`
	// The objective is DurationFactor times the duration of a task, plus Offset.
	DurationFactor float64           `toml:"duration_factor"`
	Offset         settings.Duration `toml:"offset"`
	// Value is what a job of mean work is worth within its objective, LateValue within three times the objective.
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`
	// Kind is the kind of work; see Pattern.Interference.
	Kind string `toml:"kind"`
	// ServingLevel is the tail of the response times of serving tasks divided by their target, without interference; 0 for
	// other tasks. A serving task takes as long beside others; it is harmed if it is above its target for 4.5 s, and its job
	// is then worth no more than a late one.
	ServingLevel float64 `toml:"serving_level"`
	// Filler tasks use processor time that others leave idle.
	Filler bool `toml:"filler"`
}

// Interference is a kind of work that is Factor times as slow beside another one on the same worker: its work takes as many
// times as long or, if it is serving, its response times are as many times as long.
type Interference struct {
	Victim    string  `toml:"victim"`
	Neighbour string  `toml:"neighbour"`
	Factor    float64 `toml:"factor"`
	// At and Length limit it in time; a Length of 0 means until the end.
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
}

// Burst multiplies the arrivals of a class, or of all classes.
type Burst struct {
	Class  string            `toml:"class"`
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
	Factor float64           `toml:"factor"`
}

// Loss is a share of the workers that are lost with all their runs, and return after Length.
type Loss struct {
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
	Share  float64           `toml:"share"`
}

// Slowdown is a share of the workers on which work takes Factor times as long.
type Slowdown struct {
	At     settings.Duration `toml:"at"`
	Length settings.Duration `toml:"length"`
	Share  float64           `toml:"share"`
	Factor float64           `toml:"factor"`
	// DetectedAfter is when the planner is told that these workers are slow; 0 for never.
	DetectedAfter settings.Duration `toml:"detected_after"`
}

// Parse reads a pattern. It returns an error that wraps ErrInvalid and names the key for unknown keys and invalid values.
func Parse(data []byte) (*Pattern, error) {
	p := &Pattern{Seed: 1, Round: settings.Duration(50 * time.Millisecond)}
	d := toml.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(p); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) {
			return nil, eris.Wrap(ErrInvalid, strict.String())
		}
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	return p, p.validate()
}

func (p *Pattern) validate() error {
	var errs []error
	check := func(ok bool, key, rule string) {
		if !ok {
			errs = append(errs, fmt.Errorf("%w: %s: %s", ErrInvalid, key, rule))
		}
	}
	check(p.Duration > 0, "duration", "must be positive")
	check(time.Duration(p.Round) >= time.Millisecond, "round", "must be at least 1ms")
	w := &p.Workers
	check(w.Count > 0 && w.Count <= 10000, "workers.count", "must be from 1 to 10000")
	check(w.PerRack > 0 && w.Cores > 0 && w.MemoryMB > 0 && w.GPU >= 0, "workers", "sizes must be positive")
	for i, speed := range w.Speeds {
		check(speed > 0 && speed <= 100, fmt.Sprintf("workers.speeds.%d", i), "must be positive and at most 100")
	}
	check(len(p.Orgs) > 0, "orgs", "at least one is needed")
	for i, o := range p.Orgs {
		check(o.Weight > 0 && o.GuaranteedGPU >= 0, fmt.Sprintf("orgs.%d", i), "the weight must be positive, the guarantee not negative")
	}
	check(len(p.Classes) > 0, "classes", "at least one is needed")
	names, kinds := map[string]bool{"": true}, map[string]bool{}
	for i := range p.Classes {
		c := &p.Classes[i]
		key := "classes." + c.Name
		check(!names[c.Name], key, "the name must be there and differ from the others")
		names[c.Name] = true
		check(c.PerSecond >= 0 && c.PerSecond <= 10000, key+".per_second", "must be from 0 to 10000")
		check(c.Tasks >= 1 && c.MaxTasks >= 1 && c.MaxTasks <= 4096 && c.TasksSpread >= 0, key+".tasks", "must be from 1 to 4096")
		check(c.Work > 0 && c.MaxWork >= c.Work && c.WorkSpread >= 0, key+".work", "must be positive and at most max_work")
		check(c.Cores >= 0 && c.MemoryMB >= 0 && len(c.GPUs) > 0, key, "requests must not be negative, and gpus not empty")
		check(share(c.GangShare) && share(c.RackLocalShare) && share(c.CheckpointShare), key, "shares must be from 0 to 1")
		check(c.DurationFactor >= 1 && c.Offset >= 0, key+".duration_factor", "must be at least 1, the offset not negative")
		check(c.Value >= c.LateValue && c.LateValue >= 0, key+".value", "must be at least late_value")
		check(c.Priority >= 0, key+".priority", "must not be negative")
		check(c.ServingLevel >= 0 && c.ServingLevel <= 1 && (c.ServingLevel == 0 || !c.Filler), key+".serving_level", "must be from 0 to 1, and 0 for fillers")
		kinds[c.Kind] = true
	}
	p.checkInterference(check, kinds)
	p.checkEvents(check, names)
	return errors.Join(errs...)
}

func (p *Pattern) checkInterference(check func(ok bool, key, rule string), kinds map[string]bool) {
	for i, f := range p.Interference {
		check(f.Victim != "" && f.Neighbour != "" && kinds[f.Victim] && kinds[f.Neighbour] && f.Factor >= 1 && f.At >= 0 && f.Length >= 0,
			fmt.Sprintf("interference.%d", i), "unknown kind, a factor below 1, or a negative time")
	}
}

// share reports whether x is a share.
func share(x float64) bool { return x >= 0 && x <= 1 }

// checkEvents checks what happens at certain times.
func (p *Pattern) checkEvents(check func(ok bool, key, rule string), names map[string]bool) {
	for i, b := range p.Bursts {
		check(names[b.Class] && b.Factor > 0 && b.Length > 0, fmt.Sprintf("bursts.%d", i), "unknown class, or factor or length not positive")
	}
	for i, l := range p.Losses {
		check(share(l.Share) && l.Length > 0, fmt.Sprintf("losses.%d", i), "the share must be from 0 to 1, the length positive")
	}
	for i, s := range p.Slowdowns {
		check(share(s.Share) && s.Factor >= 1 && s.Length > 0, fmt.Sprintf("slowdowns.%d", i), "the share must be from 0 to 1, the factor at least 1, the length positive")
	}
	for i, e := range p.Evacuations {
		check(share(e.Share) && e.At >= 0 && e.Length > 0, fmt.Sprintf("evacuations.%d", i), "the share must be from 0 to 1, the length positive")
	}
}
