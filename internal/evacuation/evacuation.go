// Package evacuation holds the decisions about availability zones that the operator evacuates: which zones are
// evacuated, whether the local copy of the operator's records is fresh enough to start tasks, which runs are
// stopped, and how quickly a zone that returns to service is used. It has no input, output or clock.
package evacuation

import (
	"maps"
	"slices"
	"time"
)

// Change is one record of the operator about a zone.
type Change struct {
	// Key is the key of the record. Records with different keys may name the same zone.
	Key  string
	Zone string
	// Evacuated is false if the record was removed.
	Evacuated bool
	// Offset is the offset of the record in its topic.
	Offset int64
}

// Records holds the operator's records of evacuated zones by key. A value is never changed after its creation.
type Records map[string]Change

// Apply returns the records after the given changes, in their order. If reset is set, the changes replace all
// earlier records: a zone whose record is not among them is in service.
func (r Records) Apply(changes []Change, reset bool) Records {
	next := make(Records, len(r)+len(changes))
	if !reset {
		maps.Copy(next, r)
	}
	for _, c := range changes {
		if c.Evacuated {
			next[c.Key] = c
		} else {
			delete(next, c.Key)
		}
	}
	return next
}

// Zones returns the evacuated zones, each with the offset of the last record that evacuates it.
func (r Records) Zones() map[string]int64 {
	zones := make(map[string]int64, len(r))
	for _, c := range r {
		if offset, known := zones[c.Zone]; !known || c.Offset > offset {
			zones[c.Zone] = c.Offset
		}
	}
	return zones
}

// Difference returns the zones that are only in after (began) and those that are only in before (ended), sorted.
func Difference(before, after map[string]int64) (began, ended []string) {
	for zone := range after {
		if _, known := before[zone]; !known {
			began = append(began, zone)
		}
	}
	for zone := range before {
		if _, known := after[zone]; !known {
			ended = append(ended, zone)
		}
	}
	slices.Sort(began)
	slices.Sort(ended)
	return began, ended
}

// Copy describes the local copy of the operator's records.
type Copy struct {
	// Zones is the evacuated zones with the offsets of their records. It must not be changed.
	Zones map[string]int64
	// Age is the time since the copy was last known to be complete. It is meaningful only if Synced is set.
	Age time.Duration
	// Synced means that the copy is complete up to some time.
	Synced bool
}

const (
	// maxAgeShare is the share of the bound up to which the copy may be old when a start is sent. The rest is left
	// for the delivery of the start, whose lease must be longer than it takes to renew it.
	maxAgeShare = 0.6
	// readWaitShare is the share of the bound for which a read of the operator's records by the leader may wait.
	// Between two responses the copy becomes as old as two such waits, well below maxAgeShare.
	readWaitShare = 0.1
	// expiryMargin covers the rounding of times to milliseconds.
	expiryMargin = 30 * time.Millisecond
)

// Bound is the longest time from the acknowledgement of a record that evacuates a zone to the last start of a task
// there. It is 0 if the deployment sets no bound: then starts do not depend on the age of the copy.
type Bound time.Duration

// Fresh reports whether a start may be sent on the basis of a copy.
func (b Bound) Fresh(c Copy) bool {
	return b <= 0 || (c.Synced && c.Age <= time.Duration(maxAgeShare*float64(b)))
}

// StartTime returns how long a worker may take to begin a task on the basis of a copy. A record that is not in the
// copy was acknowledged after the copy was last complete, so a start within this time is within the bound. It returns
// false if there is no limit.
func (b Bound) StartTime(c Copy) (time.Duration, bool) {
	if b <= 0 {
		return 0, false
	}
	return max(0, time.Duration(b)-c.Age-expiryMargin), true
}

// ReadWait returns the longest time for which a read of the operator's records may wait for new ones, at most limit.
func (b Bound) ReadWait(limit time.Duration) time.Duration {
	if b <= 0 {
		return limit
	}
	return min(limit, time.Duration(readWaitShare*float64(b)))
}

// Progress is how far the run of a task has come.
type Progress int

// Values of Progress.
const (
	// NotSent means that no start has been sent.
	NotSent Progress = iota
	// InFlight means that a start has been sent and its outcome is not known yet.
	InFlight
	// Unanswered means that the last start got no response, and none is in flight.
	Unanswered
	// Executing means that the worker has confirmed the run.
	Executing
	// Stopping means that the run is being stopped.
	Stopping
	// Unreported means that an earlier leader has stored the run and the worker has not reported it to this leader. It
	// may have been executing for long, or it may never start.
	Unreported
)

// Run is the run of a task of a step.
type Run struct {
	Progress Progress
	// Evacuated means that the zone of its worker is evacuated.
	Evacuated bool
}

// Stops returns which runs of a step are stopped because of evacuated zones. Runs that are executing finish, since
// stopping them would lose their work. The runs of a gang that has not begun everywhere are stopped together, as it
// could not begin without its members in the evacuated zone.
func Stops(gang bool, runs []Run) []bool {
	stops := make([]bool, len(runs))
	if !gang {
		for i, r := range runs {
			stops[i] = r.Evacuated && (r.Progress == NotSent || r.Progress == Unanswered)
		}
		return stops
	}
	evacuated, begun := false, true
	for _, r := range runs {
		if r.Progress == Unreported {
			// A gang of an earlier leader is placed as a whole. Whether it has begun shows once its workers have
			// reported; members that are missing then end it.
			return stops
		}
		evacuated = evacuated || r.Evacuated
		begun = begun && r.Progress == Executing
	}
	if !evacuated || begun {
		return stops
	}
	for i, r := range runs {
		stops[i] = r.Progress != Stopping
	}
	return stops
}

const (
	// returnSteps is the number of steps in which the workers of a zone that returns to service are used again.
	// Otherwise all waiting work would be sent there in one burst, to workers that may be cold.
	returnSteps = 4
	// returnStep is the time between two of these steps. All of them together take less than the time within which
	// guaranteed work must begin (ReclaimMs, 2.7 s).
	returnStep = 400 * time.Millisecond
)

// Admitted returns how many of the given number of workers of a zone may get work at the given time after its return
// to service: a part at once, and all of them after 1.2 s.
func Admitted(workers int, sinceReturn time.Duration) int {
	steps := min(returnSteps, 1+max(0, sinceReturn)/returnStep)
	return (workers*int(steps) + returnSteps - 1) / returnSteps
}
