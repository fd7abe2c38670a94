package planreplay

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/interference"
	"github.com/oleanderbend/oleanderbend/internal/planner"
)

const (
	// pollInterval is the time between two polls of a worker.
	pollInterval = 900 * time.Millisecond
	// levelNoise is the standard deviation of the logarithm of a level: progress is reported in whole percent, and the tail
	// latency of half a second is rough.
	levelNoise = 0.1
	// minCompared is the number of other runs of a job that it takes for a level.
	minCompared = 3
	// harmTime is the time above its target after which a serving task is harmed.
	harmTime = 4500 * time.Millisecond
)

// interferenceState is the part of a replay that concerns kinds of work which slow each other down.
type interferenceState struct {
	table     *interference.Table
	random    *rand.Rand
	lastRunID int64
	conflicts planner.Conflicts
	// medians has the median pace of each job's runs, for one round of polls.
	medians map[*job]float64
}

// InterferenceResult is what a replay shows of kinds of work that slow each other down.
type InterferenceResult struct {
	// Serving is the number of serving tasks, Harmed that of the harmed ones.
	Serving, Harmed int
	// servingTime and aboveTarget are the times of all serving tasks, and above their target.
	servingTime, aboveTarget time.Duration
	// worked is the time of all other tasks that are no fillers, lost the part of it that interference took.
	worked, lost time.Duration
	// rounds is the number of rounds while jobs arrive; right and spurious are the sums of the known pairs that do and do not interfere, and
	// pairs that of those that do.
	rounds, right, spurious, pairs int
}

// AboveTarget returns the share of the time of serving tasks in which they were above their target.
func (res *InterferenceResult) AboveTarget() float64 {
	return res.aboveTarget.Seconds() / max(1e-9, res.servingTime.Seconds())
}

// LostTime returns the share of the time of other tasks, without fillers, that interference took.
func (res *InterferenceResult) LostTime() float64 {
	return res.lost.Seconds() / max(1e-9, res.worked.Seconds())
}

func (res *InterferenceResult) write(out io.Writer) error {
	rounds := float64(max(1, res.rounds))
	_, err := fmt.Fprintf(out, "serving tasks: %d, harmed: %d, time above target: %.1f %%; time of other tasks lost by interference: %.1f %%; pairs that interfere: %.1f, known: %.1f, others taken for such: %.2f\n",
		res.Serving, res.Harmed, 100*res.AboveTarget(), 100*res.LostTime(), float64(res.pairs)/rounds, float64(res.right)/rounds, float64(res.spurious)/rounds)
	return err
}

// inForce reports whether interference takes place at a time.
func (f *Interference) inForce(at time.Duration) bool {
	return at >= time.Duration(f.At) && (f.Length == 0 || at < time.Duration(f.At+f.Length))
}

// working reports whether a run works, as opposed to one that is being started or stopped.
func (run *run) working(now time.Duration) bool { return !run.stopping && run.startedAt <= now }

// kindCounts returns the number of working runs of each kind on a worker.
func (r *replay) kindCounts(w *worker) map[string]int {
	counts := make(map[string]int)
	for run := range w.runs {
		if kind := run.task.job.class.Kind; kind != "" && run.working(r.now) {
			counts[kind]++
		}
	}
	return counts
}

// interferenceFactor returns by how many times the other runs on the worker slow down a run.
func (r *replay) interferenceFactor(run *run, counts map[string]int) float64 {
	factor, kind := 1.0, run.task.job.class.Kind
	for i := range r.pattern.Interference {
		f := &r.pattern.Interference[i]
		others := counts[f.Neighbour]
		if f.Neighbour == kind {
			others--
		}
		if f.Victim == kind && others > 0 && f.inForce(r.now) {
			factor *= f.Factor
		}
	}
	return factor
}

// disturb updates the interference factors of the runs on a worker, and accounts for the time since the last round.
func (r *replay) disturb(w *worker) {
	if len(r.pattern.Interference) == 0 || len(w.runs) == 0 {
		return
	}
	res, step := r.result.Interference, time.Duration(r.pattern.Round)
	counts := r.kindCounts(w)
	for run := range w.runs {
		if !run.working(r.now) {
			continue
		}
		run.interference = r.interferenceFactor(run, counts)
		class := run.task.job.class
		switch {
		case class.ServingLevel > 0:
			res.servingTime += step
			if run.level(w) <= 1 {
				run.aboveSince = 0
				continue
			}
			res.aboveTarget += step
			if run.aboveSince == 0 {
				run.aboveSince = r.now
			}
			if r.now-run.aboveSince >= harmTime && !run.task.harmed {
				run.task.harmed, run.task.job.harmed = true, true
				res.Harmed++
			}
		case !class.Filler:
			res.worked += step
			res.lost += time.Duration(float64(step) * (1 - 1/run.interference))
		}
	}
}

// level returns the tail of the response times of a serving run divided by their target.
func (run *run) level(w *worker) float64 {
	return run.task.job.class.ServingLevel * run.interference * w.slowdown / w.speed
}

// pollWorkers feeds the table with the polls that are due: each worker has one every pollInterval, at a time of its own.
func (r *replay) pollWorkers() {
	if !r.pattern.LearnInterference {
		return
	}
	interval := max(1, int(pollInterval/time.Duration(r.pattern.Round)))
	round := int(r.now / time.Duration(r.pattern.Round))
	now := boottime.Instant(time.Hour + r.now)
	clear(r.learning.medians)
	for i, w := range r.workers {
		if (round+i)%interval == 0 && !w.lost {
			r.learning.table.Observe(now, w.id, r.observations(w))
		}
	}
	r.learning.conflicts = make(planner.Conflicts)
	for pair := range r.learning.table.Conflicts(now) {
		r.learning.conflicts[planner.Conflict(pair)] = true
	}
	r.countConflicts()
}

// countConflicts compares the known conflicts with the interference that takes place, while jobs arrive.
func (r *replay) countConflicts() {
	res := r.result.Interference
	if r.now >= time.Duration(r.pattern.Duration) {
		return
	}
	res.rounds++
	right := 0
	for i := range r.pattern.Interference {
		if f := &r.pattern.Interference[i]; f.Factor > 1 && f.inForce(r.now) {
			res.pairs++
			if r.learning.conflicts[planner.Conflict{Victim: f.Victim, Neighbour: f.Neighbour}] {
				right++
			}
		}
	}
	res.right += right
	res.spurious += len(r.learning.conflicts) - right
}

// observations returns what a poll shows of the runs on a worker.
func (r *replay) observations(w *worker) []interference.Run {
	var runs []interference.Run
	for _, run := range sortedRuns(w) {
		if !run.working(r.now) {
			continue
		}
		if run.id == 0 {
			r.learning.lastRunID++
			run.id = r.learning.lastRunID
		}
		class := run.task.job.class
		observed := interference.Run{ID: run.id, Kind: class.Kind, Serving: class.ServingLevel > 0}
		switch {
		case class.ServingLevel > 0:
			observed.Level = run.level(w)
		case !class.Filler:
			observed.Level = r.comparedLevel(run)
		}
		observed.Level *= math.Exp(levelNoise * r.learning.random.NormFloat64())
		run.polledAt, run.polledDone = r.now, run.done
		runs = append(runs, observed)
	}
	return runs
}

// comparedLevel returns how much longer a run takes than the median run of its job, by its progress since the last poll and
// corrected by the speeds of the workers; 0 if there are too few others.
func (r *replay) comparedLevel(run *run) float64 {
	if run.polledAt > 0 && r.now > run.polledAt {
		run.pace = float64(run.done-run.polledDone) / float64(r.now-run.polledAt) / run.worker.speed
	}
	if run.pace <= 0 {
		return 0
	}
	j := run.task.job
	median, known := r.learning.medians[j]
	if !known {
		var paces []float64
		for i := range j.tasks {
			if other := j.tasks[i].run; other != nil && other.pace > 0 {
				paces = append(paces, other.pace)
			}
		}
		if len(paces) > minCompared {
			slices.Sort(paces)
			median = paces[len(paces)/2]
		}
		r.learning.medians[j] = median
	}
	return median / run.pace
}
