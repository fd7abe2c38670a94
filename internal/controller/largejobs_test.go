package controller

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
)

// overdueJob returns a job of which all occurrences are due.
func overdueJob(id string, occurrences int, steps ...batch.Step) *batch.Job {
	return &batch.Job{
		ID: id, Queue: "q", Steps: steps, Repeat: occurrences, StartAtMS: 1, IntervalMS: 1, Rules: batch.QueueRules{Service: "s", DurationFactor: 3},
	}
}

// hopelessStep returns a step that no worker can run.
func hopelessStep(count int) batch.Step {
	return batch.Step{Count: count, CPU: 1000, EstimateMS: 1000, Label: "on-no-worker"}
}

// loadOverdueJob gives a leader a job of which all occurrences are due, and creates all of them.
func loadOverdueJob(l *leader, job *batch.Job) *job {
	l.loadJob(batch.JobState{Job: job, Offset: 1 << 20, AcceptedAt: boottime.Now()}, nil)
	j := l.jobs[job.ID]
	for len(j.units) < j.totalUnits() {
		l.createAllDueOccurrences()
	}
	return j
}

// Guards against jobs that hold up the leader, and with it all others: a planning round took minutes because of two jobs of
// 10,000 occurrences of 13 steps that were all due, and their tasks were created in one go.
func TestLargeJobTakesBoundedPartOfRound(t *testing.T) {
	const occurrences, steps = 1000, 13
	l := leaderWithLoad(t, 3, 5, 0)
	large := overdueJob("a", occurrences, slices.Repeat([]batch.Step{hopelessStep(1)}, steps)...)
	l.loadJob(batch.JobState{Job: large, Offset: 1 << 20, AcceptedAt: boottime.Now()}, nil)
	j := l.jobs["a"]
	for calls := 0; len(j.units) < occurrences*steps; calls++ {
		before := len(j.units)
		l.createAllDueOccurrences()
		require.LessOrEqual(t, len(j.units)-before, 5000, "tasks created in one go")
		require.Less(t, calls, 100)
	}
	considered := make(map[*unit]bool)
	for range 80 {
		_, _, units := l.snapshot()
		require.LessOrEqual(t, len(units), 1000)
		require.Greater(t, len(units), 5, "the others are considered as well")
		for _, u := range units {
			considered[u] = true
		}
	}
	require.Len(t, considered, occurrences*steps+5, "each unit has its turn")
}

// Guards against occurrences of a job that are created late because another job has many more.
func TestDueOccurrencesAreCreatedFairly(t *testing.T) {
	l := leaderWithLoad(t, 1, 0, 0)
	var small []*job
	for n := range 20 {
		spec := overdueJob(fmt.Sprintf("b%02d", n), 9999, hopelessStep(13))
		if n%10 == 0 {
			spec = overdueJob(fmt.Sprintf("b%02d", n), 2, batch.Step{Count: 1, CPU: 1000})
			spec.StartAtMS = time.Now().Add(100 * time.Millisecond).UnixMilli()
		}
		l.loadJob(batch.JobState{Job: spec, Offset: int64(n), AcceptedAt: boottime.Now()}, nil)
		if n%10 == 0 {
			small = append(small, l.jobs[spec.ID])
		}
	}
	time.Sleep(150 * time.Millisecond)
	for range 20 {
		l.createAllDueOccurrences()
	}
	for _, j := range small {
		require.Len(t, j.units, 2)
	}
}

// Guards against units that never run because others of their job, which come first, cannot be placed, and against other jobs
// that wait for such a job.
func TestUnplaceableUnitsDoNotBlockOthers(t *testing.T) {
	const occurrences = 3000
	inVirtualTime(t, 1, fixedWork(200*time.Millisecond), func(c *cluster) {
		for n := range 4 {
			info := workerInfo(fmt.Sprintf("w%d", n), "r1")
			info.CPU = 400000
			c.register(c.fleet.Add(info, clockRate))
		}
		c.startInstance("a")
		small := batch.Step{Count: 1, CPU: 1000, EstimateMS: 200}
		c.submitJob(overdueJob(jobID(1), occurrences, hopelessStep(2), small))
		c.submitJob(overdueJob(jobID(2), occurrences, hopelessStep(13)))
		time.Sleep(time.Second)
		c.submit(jobID(3), small)
		c.waitFor(3*time.Second, "ordinary job", func() bool { return c.phase(jobID(3)) == batch.Completed })
		c.waitFor(30*time.Second, "all occurrences", func() bool {
			starts, _ := c.fleet.JobCounts(jobID(1))
			return starts == occurrences
		})
	})
}

// Guards against sets and counts of a job that miss a change: a unit without an entry would never be placed.
func TestUnitSetsFollowTasks(t *testing.T) {
	steps := []batch.Step{
		{Count: 3}, {Count: 4, Gang: true, GPU: 2}, {Count: 2, After: []int{0, 1}, GPU: 5}, {Count: 1, After: []int{2}, GPU: 1},
	}
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		l := leaderWithLoad(t, 1, 0, 0)
		j := loadOverdueJob(l, overdueJob("a", 30, steps...))
		require.Len(t, j.units, 120)
		for range 2000 {
			u := j.units[random.IntN(len(j.units))]
			task := u.tasks[random.IntN(len(u.tasks))]
			switch {
			case task.run != nil:
				task.setRun(nil)
			case random.IntN(2) == 0 && u.ready():
				task.setRun(&run{task: task})
			case u.ready():
				task.setDone()
			}
		}
		requireConsistentSets(t, j)
	}
}

// requireConsistentSets compares the sets and counts of a job with its tasks.
func requireConsistentSets(t *testing.T, j *job) {
	t.Helper()
	unfinished, waiting, withRuns, largest := 0, 0, 0, int64(0)
	done := func(u *unit) bool {
		for _, task := range u.tasks {
			if !task.rec.Done {
				return false
			}
		}
		return true
	}
	for i, u := range j.units {
		runs, idle, ready := 0, 0, true
		for _, task := range u.tasks {
			if task.run != nil {
				runs++
			} else if !task.rec.Done {
				idle++
			}
		}
		for _, earlier := range u.step.After {
			ready = ready && done(j.unitOf(u.occurrence, earlier))
		}
		if !done(u) {
			unfinished++
			largest = max(largest, u.step.GPU*int64(u.step.Count))
		}
		if runs > 0 {
			withRuns++
		}
		waits := ready && idle > 0 && (!u.gang() || runs == 0)
		if waits {
			waiting++
			require.Equal(t, idle, u.waiting())
		}
		require.Equal(t, done(u), u.done())
		require.Equal(t, runs == 0, u.idle())
		require.Equal(t, waits, j.waiting.has(i), "unit %d", i)
		require.Equal(t, !done(u), j.unfinished.has(i), "unit %d", i)
		require.Equal(t, runs > 0, j.withRuns.has(i), "unit %d", i)
	}
	require.Equal(t, []int{unfinished, waiting, withRuns}, []int{j.unfinished.count, j.waiting.count, j.withRuns.count})
	require.Equal(t, largest, j.maxUnfinishedGPU())
	require.Equal(t, unfinished == 0, j.complete())
}

// Guards against units that are left out by the choice of a round, or considered twice, whatever waits and whatever the limits are.
func TestRoundUnitsCoverAllByTurns(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 2))
		j := &job{spec: overdueJob("a", 100, batch.Step{Count: 1})}
		for n := range 100 {
			u := &unit{job: j, step: &batch.Step{}, occurrence: n}
			for range 1 + random.IntN(5) {
				u.addTask(&task{unit: u})
			}
			j.addUnit(u)
			j.waiting.set(n, random.IntN(3) > 0)
		}
		limit := roundBudget{units: 3 + random.IntN(40), tasks: 3 + random.IntN(60)}
		considered := make(map[*unit]bool)
		next := 0
		for range 120 {
			var units []*unit
			units, next = j.roundUnits(next, limit)
			require.LessOrEqual(t, len(units), limit.units, "seed %d", seed)
			for i, u := range units {
				require.True(t, j.waiting.has(u.position()), "seed %d", seed)
				require.True(t, i == 0 || units[i-1].position() < u.position(), "seed %d", seed)
				considered[u] = true
			}
		}
		require.Len(t, considered, j.waiting.count, "seed %d", seed)
	}
}

// BenchmarkSnapshotWithLargeJobs measures the building of the planner's input and the decision beside two jobs of 10,000
// occurrences of 13 steps that are all due and fit on no worker.
func BenchmarkSnapshotWithLargeJobs(b *testing.B) {
	for _, workers := range []int{350, 1100} {
		for _, large := range []int{0, 2} {
			b.Run(fmt.Sprintf("workers=%d/large=%d", workers, large), func(b *testing.B) {
				l := leaderWithLoad(b, workers, 40, 0)
				for n := range large {
					loadOverdueJob(l, overdueJob(fmt.Sprint(n), 10000, slices.Repeat([]batch.Step{hopelessStep(1)}, 13)...))
				}
				for b.Loop() {
					s, _, _ := l.snapshot()
					l.c.decide(s)
				}
			})
		}
	}
}
