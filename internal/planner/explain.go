package planner

import (
	"fmt"
	"maps"
	"slices"
)

// Obstacle is a reason why a worker cannot take a task of a unit. It is a number because obstacles are compared in the
// innermost loops of a round.
type Obstacle uint8

// Obstacles, in the order in which they are checked: a worker counts for the first one that applies.
const (
	// noObstacle means that the worker has room for a task.
	noObstacle Obstacle = iota
	// OtherService means that the worker belongs to another service.
	OtherService
	// EvacuatedZone means that the availability zone of the worker is evacuated.
	EvacuatedZone
	// AcceptsNoWork means that no new tasks may start on the worker: it leaves, is unreachable, or was not polled yet.
	AcceptsNoWork
	// SlowWorker means that work takes several times as long on the worker.
	SlowWorker
	// MissingLabel means that the worker lacks the label that the tasks require.
	MissingLabel
	// NoTicket means that there is no valid ticket of the advice service for the worker.
	NoTicket
	// TooSmall means that a task would not fit even if the worker ran nothing.
	TooSmall
	// SpreadLimit means that the worker runs as many tasks of the step as it may.
	SpreadLimit
	// Busy means that runs use the resources.
	Busy
	// TakenAhead means that tasks of units ahead in the order start on the worker now.
	TakenAhead
	// ClaimedAhead means that free resources are claimed for units ahead in the order.
	ClaimedAhead
)

// String returns the name of the obstacle in answers.
func (o Obstacle) String() string {
	names := [...]string{
		"none", "other-service", "evacuated", "accepts-no-work", "slow", "label", "no-ticket", "too-small", "spread-limit", "busy",
		"taken-ahead", "claimed-ahead",
	}
	return names[o]
}

// obstacle returns why a worker cannot run tasks of a unit, regardless of its free resources.
func (r *round) obstacle(u *Unit, worker int) Obstacle {
	w := &r.snapshot.Workers[worker]
	switch {
	case w.Service != u.Service:
		return OtherService
	case w.Evacuated:
		return EvacuatedZone
	case !w.AcceptsWork:
		return AcceptsNoWork
	}
	return r.mismatch(u, worker)
}

// mismatch returns why a worker does not suit a unit, even if the worker accepts work.
func (r *round) mismatch(u *Unit, worker int) Obstacle {
	w := &r.snapshot.Workers[worker]
	switch {
	case w.Service != u.Service:
		return OtherService
	case w.Slow && !u.AcceptsSlow:
		return SlowWorker
	case u.Label != "" && !slices.Contains(w.Labels, u.Label):
		return MissingLabel
	case u.Allowed != nil && !u.Allowed[w.ID]:
		return NoTicket
	}
	return noObstacle
}

// roomObstacle returns why a worker that is usable for the unit has no room for a task now.
func (r *round) roomObstacle(u *Unit, worker int) Obstacle {
	w := &r.snapshot.Workers[worker]
	switch {
	case !u.Need.fitsInto(&r.emptied[worker]):
		return TooSmall
	case u.remainingPerWorker(w.ID) == 0:
		return SpreadLimit
	case u.Need.fitsInto(&r.free[worker]):
		return noObstacle
	case u.Need.fitsInto(&r.idle[worker]):
		return ClaimedAhead
	case u.Need.fitsInto(&w.Free):
		return TakenAhead
	default:
		return Busy
	}
}

// WorkerCounts counts the workers of a snapshot by whether they can take a task of a unit.
type WorkerCounts struct {
	Total int
	// Able is the number of workers with room for a task.
	Able int
	// Conflicting is the number of those among them that are less preferred because they run a kind of work that conflicts with
	// that of the unit.
	Conflicting int
	// Obstacles is the number of other workers by the first reason that applies.
	Obstacles map[Obstacle]int
	// LargeEnough is the number of workers of the service with the required label on which a task would fit if they ran
	// nothing. Usable is the number of those that may run tasks of the unit now, whatever runs there.
	LargeEnough, Usable int
	// FitEmpty means that all tasks of the unit would fit on the usable workers together if these ran nothing.
	FitEmpty bool
}

func (r *round) countWorkers(u *Unit) WorkerCounts {
	counts := WorkerCounts{Total: len(r.snapshot.Workers), Obstacles: make(map[Obstacle]int), FitEmpty: r.fitsWhenEmpty(u, r.all())}
	for i := range r.snapshot.Workers {
		w := &r.snapshot.Workers[i]
		large := w.Service == u.Service && (u.Label == "" || slices.Contains(w.Labels, u.Label)) && u.Need.fitsInto(&r.emptied[i])
		obstacle := r.obstacle(u, i)
		if large {
			counts.LargeEnough++
			if obstacle == noObstacle {
				counts.Usable++
			}
		}
		if obstacle == noObstacle {
			obstacle = r.roomObstacle(u, i)
		}
		if obstacle == noObstacle {
			counts.Able++
			if r.conflictsWith(u, w) {
				counts.Conflicting++
			}
		} else {
			counts.Obstacles[obstacle]++
		}
	}
	return counts
}

// Explanation describes what a planning round decides for a unit.
type Explanation struct {
	// Ahead is the number of units of the same service that are scheduled before the first tasks of the unit, Waiting
	// the number of all waiting units of the service, including this one.
	Ahead, Waiting int
	// UsesMinShare means that the first tasks are scheduled ahead of more urgent priorities, within the minimum share
	// of their own priority.
	UsesMinShare bool
	// ShareLeft is how many accelerators of that minimum share the queues of the priority do not use; negative if they
	// use more. It has no meaning for priority 0.
	ShareLeft int64
	// Headroom is the number of accelerators of the service that are kept free for priority 0, FreeGPU the number that
	// are free on workers that accept work; both when the round begins.
	Headroom, FreeGPU int64
	// Workers counts the workers when the first tasks of the unit are scheduled.
	Workers WorkerCounts
	// Places has the index in Snapshot.Workers for each task that starts.
	Places []int
	// Stops is the number of groups of runs that are preempted for the unit.
	Stops int
	// Waits means that some tasks do not start, for the reason in Wait.
	Waits bool
	Wait  Wait
}

// Explain runs one round of Decide and describes what it decides for the given units, which are indices in s.Units. Like
// Decide, it may update the snapshot. The result is indexed like targets.
func Explain(s Snapshot, targets []int) []Explanation {
	explanations := make([]Explanation, len(targets))
	wanted := make(map[int]int, len(targets))
	for n, index := range targets {
		wanted[index] = n
	}
	ahead := make(map[string]int)
	seen := make([]bool, len(s.Units))
	var sharesLeft map[priorityKey]int64
	free := make(map[string]int64)
	for i := range s.Workers {
		if w := &s.Workers[i]; w.Usable() {
			free[w.Service] += max(0, w.Free.GPU)
		}
	}
	plan := decide(s, func(r *round, part *unitPart) {
		if seen[part.index] {
			return
		}
		seen[part.index] = true
		u := &part.unit
		if n, ok := wanted[part.index]; ok {
			if sharesLeft == nil {
				sharesLeft = r.remainingShares()
			}
			explanations[n] = Explanation{
				Ahead: ahead[u.Service], UsesMinShare: u.usesMinShare, ShareLeft: sharesLeft[priorityKey{u.Service, u.Priority}],
				Headroom: s.Headroom[u.Service], FreeGPU: free[u.Service], Workers: r.countWorkers(u),
			}
		}
		ahead[u.Service]++
	})
	for n, index := range targets {
		e := &explanations[n]
		e.Waiting = ahead[s.Units[index].Service]
		for _, start := range plan.Starts {
			if start.Unit == index {
				e.Places = append(e.Places, start.Workers...)
			}
		}
		for _, stop := range plan.Stops {
			if stop.Unit == index {
				e.Stops++
			}
		}
		e.Wait, e.Waits = plan.Waits[index]
	}
	return explanations
}

// Unblock describes what ends the wait of a unit. behind is the name of the unit Wait.Behind.
func (e *Explanation) Unblock(u *Unit, behind string) string {
	held := ""
	if e.Wait.HeldBack {
		held = fmt.Sprintf("; at the latest %v after the job is held back, one task or the gang may use what is kept for others", MaxHeldBack)
	}
	switch e.Wait.Reason {
	case WaitsForRelease:
		return "the runs that are being stopped for it end"
	case WaitsForHeadroom:
		return fmt.Sprintf("more than %d accelerators are free (%d are): the headroom for priority 0 halves every %v without such load, or runs end", e.Headroom, e.FreeGPU, headroomHalfLife) + held
	case WaitsForRack:
		return fmt.Sprintf("a preferred rack has room, or the step has waited %v and starts in other racks", RackWait) + held
	case WaitsBehindGang:
		return fmt.Sprintf("the gang %s has started, or runs end", behind) + held
	case WaitsForEvacuation:
		return "an evacuated zone returns to service, or runs end in the others"
	case WaitsForCapacity:
		return e.unblockCapacity(u)
	default:
		return "the reason " + string(e.Wait.Reason) + " ends"
	}
}

// unblockCapacity describes what ends a wait for capacity.
func (e *Explanation) unblockCapacity(u *Unit) string {
	w := &e.Workers
	switch {
	case w.LargeEnough == 0 && u.Label != "":
		return fmt.Sprintf("a worker of service %s with the label %s registers that is large enough for a task", u.Service, u.Label)
	case w.LargeEnough == 0:
		return fmt.Sprintf("a worker of service %s registers that is large enough for a task", u.Service)
	case w.Usable == 0:
		return fmt.Sprintf("one of the %d workers that are large enough may run the tasks again", w.LargeEnough)
	case u.Gang && !w.FitEmpty:
		return fmt.Sprintf("more workers may run the tasks: the %d usable ones have no room for all %d tasks of the gang even when they are empty", w.Usable, u.Tasks)
	case u.Gang:
		return fmt.Sprintf("runs end until all %d tasks of the gang fit at the same time", u.Tasks)
	default:
		return fmt.Sprintf("runs end on one of the %d usable workers that are large enough", w.Usable)
	}
}

// Clone returns an independent copy.
func (h *HeadroomTracker) Clone() HeadroomTracker {
	return HeadroomTracker{peaks: maps.Clone(h.peaks), updatedAt: h.updatedAt}
}
