// Package membership is a SWIM-like failure detector and gossip protocol for the instances of the
// system. Its results are used to share limits among instances and to choose leaders. Correctness
// must not depend on them, because they can be wrong or out of date.
package membership

import (
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Status is the liveness of a member in the view of this process.
type Status string

// Values of Status.
const (
	// Alive means that the member responds to probes.
	Alive Status = "alive"
	// Suspect means that a direct probe and all indirect probes failed. The member can still
	// refute this.
	Suspect Status = "suspect"
	// Unreachable means that the member stayed suspect for SuspicionTimeout, or was never seen.
	Unreachable Status = "silent"
	// Left means that the member announced its graceful stop.
	Left Status = "left"
)

// Info is the state that an instance publishes to its peers. Probes carry it, so it must stay small.
type Info struct {
	ID string `json:"id"`
	// Incarnation is at first the start time of the process in nanoseconds of Unix time. The instance
	// raises it above an incarnation that it refutes: one that is suspected, or one from before a
	// restart with a clock that was set back.
	Incarnation uint64 `json:"incarnation"`
	// Version rises with each change of the other fields except Applied and PolicyVersion, which
	// every message carries.
	Version uint64 `json:"version"`
	// Applied is the offset of the last log record applied to the instance's state.
	Applied platform.Offset `json:"applied"`
	// PolicyVersion is the version of the policy that the instance applies.
	PolicyVersion platform.Offset `json:"policyVersion"`
	// Ready reports whether the instance serves requests.
	Ready bool `json:"ready"`
	// Draining reports whether a graceful stop has begun.
	Draining bool `json:"draining"`
	// Epochs has the newest epoch of each zone known to the instance.
	Epochs map[string]platform.Epoch `json:"epochs,omitempty"`
	// LeavingTargets has the ids of targets that have announced that they are leaving.
	LeavingTargets []string `json:"leavingTargets,omitempty"`
	// FreeAccelerators and QueuedAccelerators have the totals of each zone that the instance
	// leads.
	FreeAccelerators   map[string]int `json:"freeAccelerators,omitempty"`
	QueuedAccelerators map[string]int `json:"queuedAccelerators,omitempty"`
}

// Member is one instance in the view of this process.
type Member struct {
	Info   Info   `json:"info"`
	Status Status `json:"status"`
	Zone   string `json:"zone"`
	Region string `json:"region"`
}

// View gives access to the members and publishes the Info of this instance.
type View interface {
	// Self returns the Member of this instance.
	Self() Member
	// Members returns all configured instances including this one, sorted by id.
	Members() []Member
	// Changed returns a channel that is closed at the next change of a Status or an Info.
	Changed() <-chan struct{}
	// Publish calls change on the Info of this instance and publishes the result. It raises
	// Info.Version unless only Applied or PolicyVersion changed.
	Publish(change func(*Info))
}
