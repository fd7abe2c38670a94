package planner

import (
	"fmt"
	"runtime/debug"
)

// Failure is a panic while a unit was being scheduled.
type Failure struct {
	// Unit is the index in Snapshot.Units.
	Unit         int
	Cause, Stack string
}

// TryDecide is Decide, except that a panic while a unit is being scheduled becomes a Failure, with an empty plan. Without the unit,
// the others can be planned in the next round. Other panics are passed on.
func TryDecide(s Snapshot) (Plan, *Failure) { return tryDecide(s, func(*unitPart) {}) }

// tryDecide is TryDecide. It calls observe with each part of a unit before that is scheduled.
func tryDecide(s Snapshot, observe func(*unitPart)) (plan Plan, failure *Failure) {
	unit := -1
	defer func() {
		if unit < 0 {
			return
		}
		if cause := recover(); cause != nil {
			plan, failure = Plan{}, &Failure{Unit: unit, Cause: fmt.Sprint(cause), Stack: string(debug.Stack())}
		}
	}()
	plan = decide(s, func(_ *round, part *unitPart) {
		unit = part.index
		observe(part)
	})
	return plan, nil
}
