// Package membership detects which instances of the system are alive by probes among them.
// It is used for sharing limits and for leadership, never for safety.
package membership

import (
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Status is the liveness of a member as this process sees it.
type Status string

// Values of Status.
const (
	// Alive members answered a probe lately.
	Alive Status = "alive"
	// Suspect members missed a direct and all indirect probes and may still refute it.
	Suspect Status = "suspect"
	// Unreachable members stayed suspect for the suspicion time, or were never seen.
	Unreachable Status = "silent"
	// Left members announced their graceful stop.
	Left Status = "left"
)

// Info is what an instance tells others of itself. It travels on every probe, so it is small.
type Info struct {
	ID string `json:"id"`
	// Incarnation is the start time of the process in nanoseconds; a restart has a higher one.
	Incarnation uint64 `json:"incarnation"`
	// Version rises with each change of the other fields except the two offsets, which every
	// message carries.
	Version uint64 `json:"version"`
	// Applied is the log offset that the instance's state has reached.
	Applied platform.Offset `json:"applied"`
	// PolicyVersion is the version of the configuration in force at the instance.
	PolicyVersion platform.Offset `json:"policyVersion"`
	// Ready reports whether the instance serves requests.
	Ready bool `json:"ready"`
	// Draining reports that a graceful stop has begun.
	Draining bool `json:"draining"`
	// Epochs has the newest epoch of each zone that the instance knows.
	Epochs map[string]platform.Epoch `json:"epochs,omitempty"`
	// LeavingTargets are ids of targets that announced that they leave.
	LeavingTargets []string `json:"leavingTargets,omitempty"`
	// FreeAccelerators and QueuedAccelerators summarise each zone that the instance leads.
	FreeAccelerators   map[string]int `json:"freeAccelerators,omitempty"`
	QueuedAccelerators map[string]int `json:"queuedAccelerators,omitempty"`
}

// Member is one instance as this process sees it.
type Member struct {
	Info   Info   `json:"info"`
	Status Status `json:"status"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// View gives access to the members and to what this instance tells of itself.
type View interface {
	// Self returns this instance's own row.
	Self() Member
	// Members returns all configured instances, this one included, sorted by id.
	Members() []Member
	// Changed returns a channel that is closed when a status or an Info next changes.
	Changed() <-chan struct{}
	// Publish changes what this instance tells of itself. It raises Info.Version unless only
	// the offsets change.
	Publish(change func(*Info))
}
