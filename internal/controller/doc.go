// Package controller schedules jobs while this instance is the leader: it places waiting tasks on
// workers, renews the leases of their runs, stores their progress, and takes over the runs of the
// previous leader.
//
// One goroutine owns the whole state of a leadership term. Calls to other systems run in goroutines
// of their own and pass their results to the owner through a bounded channel (leader.post).
//
// Where to find what:
//
//   - controller.go: Controller and its Config; starts and ends the terms of this instance, metrics.
//   - leader.go: the leader of one term; takeover, event loop, periodic checks, writes to the log.
//   - store.go: writes of the leader, in parts where they are large, and what follows when the log rejects one.
//   - turn.go: measures how long the event loop is busy, and abandons a leader that makes no progress.
//   - timeofday.go: the time of day for due times, which follows a jump forward only once it is confirmed.
//
// Jobs and runs:
//
//   - jobs.go: jobs, units (a step of one occurrence) and tasks; what a takeover restores of them,
//     phases, cancellation, clean-up.
//   - unitset.go: sets of the units of a job, so that no event walks over all of them.
//   - runs.go: the life of a run, from its stored placement over start and stop to its stored end.
//   - losses.go: metrics of the work that stopped runs lose, by cause, and of stranded capacity.
//   - stall.go, slow.go: find runs without progress and runs on slow workers, and restart them.
//   - forecast.go: learns the speeds of workers and the durations of work, and stores the speeds.
//
// Workers:
//
//   - registry.go: registry entries, new incarnations of workers, workers that are gone.
//   - workerstate.go: what the leader knows of one worker.
//   - poll.go: polls; acknowledgements of ends, runs that the leader does not track, late starts.
//   - lease.go: bounds of the workers' clocks and leases, resources that are free.
//   - speed.go: slows fillers down beside serving tasks.
//
// Decisions:
//
//   - plan.go: builds the snapshot for internal/planner and carries its plan out.
//   - wait.go: why units wait, for the log and the metrics.
//   - advice.go, adviceplan.go: tickets of the advice service, and which call to it comes next.
//   - evacuation.go: evacuated zones; which starts are permitted and which runs are stopped there.
//   - maintenance.go: maintenance waves and the preparation of their machines.
//   - explain.go: explains why a job waits, without a change of state.
//
// The order of writes is what makes a takeover safe: a start is sent only after its placement is
// stored, and an end is acknowledged only after it is stored. takeoverpoints_test.go kills the leader
// at every write and command of a small scenario.
package controller
