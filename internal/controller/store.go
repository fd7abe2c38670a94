package controller

import (
	"errors"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// Pauses after the log has rejected a write: the pause doubles with each attempt.
const (
	minRejectedPause = time.Second
	maxRejectedPause = time.Minute
)

// rejectedPause returns the pause after a number of rejections.
func rejectedPause(rejections int) time.Duration {
	return min(minRejectedPause<<min(rejections-1, 10), maxRejectedPause)
}

// queuedWrite is a write that did not fit into the queue of its writer.
type queuedWrite struct {
	records []ledger.Record
	done    func(error)
}

// storeTasks stores the current state of tasks, in parts if it is too large for one append, and calls onStored once all of it is
// stored. While the log rejects a part, the part is tried again with the state that the tasks, which are of one job, have then.
func (l *leader) storeTasks(tasks []*task, onStored func()) {
	records := make([]ledger.Record, len(tasks))
	for i, t := range tasks {
		records[i] = l.taskRecord(t)
	}
	parts := ledger.Split(records)
	left := len(parts)
	partStored := func() {
		if left--; left == 0 {
			onStored()
		}
	}
	for _, part := range parts {
		group := tasks[:len(part)]
		tasks = tasks[len(part):]
		current := func() []ledger.Record {
			if group[0].unit.job.closing {
				// The records are being removed, and must not be stored after that.
				partStored()
				return nil
			}
			records := make([]ledger.Record, len(group))
			for i, t := range group {
				records[i] = l.taskRecord(t)
			}
			return records
		}
		l.storeUntilAccepted(l.taskWriter, part, current, partStored)
	}
}

// storeUntilAccepted stores records and calls onStored once they are stored. If the log rejects them, it stores after a pause what
// again returns, and gives up if that is nothing. The term goes on: a new leader would store the same.
func (l *leader) storeUntilAccepted(w *ledger.Writer, records []ledger.Record, again func() []ledger.Record, onStored func()) {
	rejections := 0
	var store func(records []ledger.Record)
	store = func(records []ledger.Record) {
		l.enqueue(w, records, onStored, func() {
			rejections++
			time.AfterFunc(rejectedPause(rejections), func() {
				l.post(func() {
					if records := again(); len(records) > 0 {
						store(records)
					}
				})
			})
		})
	}
	store(records)
}

// unchanged returns what storeUntilAccepted stores again: the same records, which nothing replaces.
func unchanged(records []ledger.Record) func() []ledger.Record {
	return func() []ledger.Record { return records }
}

// enqueue queues records for the log, and calls one of the functions with the outcome. The term ends if the writer fails for good.
func (l *leader) enqueue(w *ledger.Writer, records []ledger.Record, onStored, onRejected func()) {
	done := func(err error) {
		switch {
		case err == nil:
			l.post(onStored)
		case errors.Is(err, ledger.ErrRejected):
			l.c.metrics.rejectedWrites.Inc()
			l.post(onRejected)
		default:
			l.post(func() { l.stepDown(err.Error()) })
		}
	}
	if len(l.overflow[w]) > 0 || !w.Enqueue(records, done) {
		l.overflow[w] = append(l.overflow[w], queuedWrite{records, done})
	}
}

// queueOverflow queues the writes that did not fit into the queues of their writers before. As many runs can end at once as tasks are
// stored, with one write each.
func (l *leader) queueOverflow() {
	for w, writes := range l.overflow {
		for len(writes) > 0 && w.Enqueue(writes[0].records, writes[0].done) {
			writes[0] = queuedWrite{}
			writes = writes[1:]
		}
		l.overflow[w] = writes
	}
}

// storePlacements stores the placements of runs of a unit, and sends their starts once they are stored; those of a gang once all of
// them are. Other large placements are stored and sent in parts.
func (l *leader) storePlacements(u *unit, runs []*run, records []ledger.Record) {
	parts := ledger.Split(records)
	left := len(parts)
	sendAll := func() {
		if left--; left == 0 {
			l.sendStarts(runs)
		}
	}
	rest := runs
	for _, part := range parts {
		placed := rest[:len(part)]
		rest = rest[len(part):]
		onStored := sendAll
		if !u.gang() {
			onStored = func() { l.sendStarts(placed) }
		}
		l.enqueue(l.taskWriter, part, onStored, func() { l.abandonPlacements(u, placed) })
	}
}

func (l *leader) sendStarts(runs []*run) {
	for _, r := range runs {
		l.sendStart(r)
	}
}

// abandonPlacements ends runs whose placements the log has rejected. Their tasks are placed again after a pause.
func (l *leader) abandonPlacements(u *unit, runs []*run) {
	u.rejectedPlacements++
	for _, r := range runs {
		if r.task.run == r && r.state == storing {
			l.endRun(r, endRejected, "")
		}
	}
	u.notBefore = boottime.Now().Add(rejectedPause(u.rejectedPlacements))
}
