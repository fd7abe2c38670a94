package controller

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/forecast"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/planner"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// The cluster of these tests has 12 workers. Long tasks of the image noisy, job 1, run on four of them, and short ones of the image tender, jobs
// from 10 on, on all of them again and again. Jobs from 100 on only show the speeds of the workers.
const (
	noisyWorkers = 4
	allWorkers   = 12
	noisyJob     = 1
	tenderJobs   = 10
	speedJobs    = 100
)

func interferenceWork(id batch.TaskID) workertest.Work {
	if id.Job == jobID(noisyJob) {
		return workertest.Work{Duration: 10 * time.Minute}
	}
	return workertest.Work{Duration: 3 * time.Second}
}

// doublesTender makes tender tasks take twice as long beside noisy ones.
func doublesTender(id, neighbour batch.TaskID) int {
	if neighbour.Job == jobID(noisyJob) && id.Job != neighbour.Job && id.Job < jobID(speedJobs) {
		return 2
	}
	return 1
}

func tender(count int) batch.Step {
	return batch.Step{Count: count, CPU: 500, GPU: 1, MaxPerWorker: 1, EstimateMS: 3000, Image: "tender"}
}

// interferenceCluster adds the workers, those of the noisy tasks with the given slowdown, and starts an instance and the noisy tasks, when
// the speeds of the workers are known.
func (c *cluster) interferenceCluster(lines *syncBuffer, slowdown int) *instance {
	c.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: lines}}
	for n := range allWorkers {
		c.addWorker(fmt.Sprintf("w%02d", n), "r1")
		if n < noisyWorkers {
			c.fleet.SetSlowdown(fmt.Sprintf("w%02d", n), slowdown)
		}
	}
	i := c.startInstance("a")
	c.showSpeeds(0)
	c.submit(jobID(noisyJob), batch.Step{Count: noisyWorkers, CPU: 500, GPU: 1, MaxPerWorker: 1, EstimateMS: 600000, Image: "noisy"})
	c.waitFor(2*time.Second, "noisy", func() bool { return c.jobRuns(noisyJob) == noisyWorkers })
	return i
}

// showSpeeds runs two jobs that nothing disturbs on all workers.
func (c *cluster) showSpeeds(first int) {
	for n := first; n < first+2; n++ {
		c.submit(jobID(speedJobs+n), batch.Step{Count: allWorkers, CPU: 500, GPU: 1, MaxPerWorker: 1, EstimateMS: 3000, Image: "speed"})
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(speedJobs+n)) == batch.Completed })
	}
}

func (c *cluster) jobRuns(n int) int {
	_, runs := c.fleet.JobCounts(jobID(n))
	return runs
}

// runTender runs tender jobs on all workers, one after the other, and returns the number of the next job.
func (c *cluster) runTender(first, count int) int {
	for n := first; n < first+count; n++ {
		c.submit(jobID(n), tender(allWorkers))
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(n)) == batch.Completed })
	}
	return first + count
}

// sharedWorkers returns the number of workers that run tasks of both jobs.
func (c *cluster) sharedWorkers(a, b int) int {
	shared := 0
	for n := range allWorkers {
		jobs := c.fleet.JobsOn(fmt.Sprintf("w%02d", n))
		if jobs[jobID(a)] > 0 && jobs[jobID(b)] > 0 {
			shared++
		}
	}
	return shared
}

func (i *instance) conflicts() int { return int(i.control.metrics.conflicts.inForce.Get()) }

func conflictLine(victim, neighbour string) string {
	return fmt.Sprintf(`"service":"s","victim":%q,"neighbour":%q`, victim, neighbour)
}

// Guards against a conflict that is not learned from polls, or not used by the next placement; against work that waits because of
// it; against a new leader that does not learn it again, and against observations of workers that are gone.
func TestConflictIsLearnedAndUsed(t *testing.T) {
	var lines syncBuffer
	inVirtualTime(t, 1, interferenceWork, func(c *cluster) {
		c.fleet.SetInfluence(workertest.Influence{Slowdown: doublesTender})
		a := c.interferenceCluster(&lines, 1)
		c.submit(jobID(tenderJobs), tender(noisyWorkers))
		c.waitFor(2*time.Second, "started", func() bool { return c.jobRuns(tenderJobs) == noisyWorkers })
		require.Equal(t, noisyWorkers, c.sharedWorkers(tenderJobs, noisyJob), "without a conflict, workers in use are preferred")
		c.waitFor(10*time.Second, "completed", func() bool { return c.phase(jobID(tenderJobs)) == batch.Completed })
		require.Zero(t, a.conflicts(), "all tasks of the step are slow")
		next := c.runTender(tenderJobs+1, 3)
		require.Equal(t, 1, a.conflicts())
		require.Contains(t, lines.String(), conflictLine("tender", "noisy"))
		require.Equal(t, 1, strings.Count(lines.String(), "conflict begins"))

		e, err := a.control.Explain(c.t.Context(), c.hypothetical(tender(1)))
		require.NoError(t, err)
		require.Equal(t, []int{allWorkers, noisyWorkers}, []int{e.Steps[0].Able, e.Steps[0].Conflicting})
		placements := a.control.metrics.conflicts.placements.Get()
		c.submit(jobID(next), tender(allWorkers-noisyWorkers))
		c.waitFor(2*time.Second, "started", func() bool { return c.jobRuns(next) == allWorkers-noisyWorkers })
		require.Zero(t, c.sharedWorkers(next, noisyJob))
		require.Equal(t, placements, a.control.metrics.conflicts.placements.Get())

		// Every worker is needed, so the conflict must not keep any task waiting.
		c.submit(jobID(next+1), tender(allWorkers))
		c.waitFor(200*time.Millisecond, "all started", func() bool { return c.jobRuns(next+1) == allWorkers })
		require.Equal(t, placements+noisyWorkers, a.control.metrics.conflicts.placements.Get())
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(next+1)) == batch.Completed })

		a.kill()
		require.Zero(t, a.conflicts())
		b := c.startInstance("b")
		c.waitFor(20*time.Second, "new leader", func() bool { return b.control.currentLeader() != nil && c.epoch() > 1 })
		require.Zero(t, b.conflicts())
		c.showSpeeds(2)
		c.runTender(next+2, 4)
		require.Equal(t, 1, b.conflicts())
		require.Equal(t, 2, strings.Count(lines.String(), "conflict begins"))

		for n := range allWorkers {
			if id := fmt.Sprintf("w%02d", n); c.fleet.JobsOn(id)[jobID(noisyJob)] > 0 {
				c.fleet.Remove(id)
				c.write(workersTopic, ledger.Record{Key: id})
			}
		}
		c.waitFor(40*time.Second, "conflict of workers that are gone ends", func() bool { return b.conflicts() == 0 })
		require.Contains(t, lines.String(), "conflict ends")
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a slow worker that is taken for an effect of what runs there, both of workers that were always slow and of one that is
// slow for some seconds, and against a snapshot that differs for the planner although nothing is learned.
func TestSlowWorkerIsNoConflict(t *testing.T) {
	for _, fault := range []bool{false, true} {
		var lines syncBuffer
		inVirtualTime(t, 1, interferenceWork, func(c *cluster) {
			c.fleet.SetInfluence(workertest.Influence{Slowdown: func(_, _ batch.TaskID) int { return 1 }})
			slowdown := 2
			if fault {
				slowdown = 1
			}
			a := c.interferenceCluster(&lines, slowdown)
			for n := range noisyWorkers {
				require.Equal(t, 1, c.fleet.JobsOn(fmt.Sprintf("w%02d", n))[jobID(noisyJob)])
			}
			next := c.runTender(tenderJobs, 4)
			if fault {
				c.fleet.SetSlowdown("w00", 2)
			}
			c.runTender(next, 3)
			require.Zero(t, a.conflicts())
			c.submit(jobID(2), batch.Step{Count: 1, GPU: 9, EstimateMS: 3000, Image: "tender"})
			time.Sleep(time.Second)
			l, snapshot := a.control.currentLeader(), planner.Snapshot{}
			done := make(chan struct{})
			l.post(func() { defer close(done); snapshot, _, _ = l.snapshot() })
			<-done
			require.Nil(t, snapshot.Conflicts)
			require.Len(t, snapshot.Units, 1)
			require.Empty(t, snapshot.Units[0].Kind)
			for n := range snapshot.Workers {
				require.Nil(t, snapshot.Workers[n].Kinds)
			}
		})
		require.NotContains(t, lines.String(), "conflict begins")
	}
}

// servingCluster starts serving tasks with a target of 100 ms (job 3) on four workers, each beside a filler that has no effect (job 1) and one
// of the image greedy (job 2), and waits until the first observations are outdated. It returns the log lines and the number of conflicts.
func servingCluster(t *testing.T, tail func(id batch.TaskID, neighbours []batch.TaskID) int64) (lines string, conflicts int) {
	return servingClusterWithFillers(t, 4, tail)
}

// servingClusterWithFillers is servingCluster with the given number of fillers of each kind.
func servingClusterWithFillers(t *testing.T, fillers int, tail func(id batch.TaskID, neighbours []batch.TaskID) int64) (lines string, conflicts int) {
	var buffer syncBuffer
	workOf := func(batch.TaskID) workertest.Work { return workertest.Work{LongRunning: true} }
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		c.logger = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &buffer}}
		c.fleet.SetInfluence(workertest.Influence{Tail: tail})
		for n := range 4 {
			c.addWorker(fmt.Sprintf("w%02d", n), "r1")
		}
		a := c.startInstance("a")
		step := batch.Step{Count: fillers, CPU: 500, MaxPerWorker: 1, EstimateMS: 1000, LongRunning: true, Filler: true, Image: "harmless"}
		c.submit(jobID(1), step)
		step.Image = "greedy"
		c.submit(jobID(2), step)
		step.Count, step.Filler, step.Image, step.TailLatencyTargetMS = 4, false, "server", 100
		c.submit(jobID(3), step)
		c.waitFor(10*time.Second, "started", func() bool { return c.jobRuns(1)+c.jobRuns(2)+c.jobRuns(3) == 4+2*fillers })
		time.Sleep(3 * time.Minute)
		conflicts = a.conflicts()
	})
	return buffer.String(), conflicts
}

// Guards against an effect of fillers that stays hidden because they are halted soon.
func TestHaltedFillersShowConflict(t *testing.T) {
	var start time.Time
	lines, conflicts := servingCluster(t, func(_ batch.TaskID, neighbours []batch.TaskID) int64 {
		if slices.ContainsFunc(neighbours, func(n batch.TaskID) bool { return n.Job == jobID(2) }) {
			return 140
		}
		// Each halt counts once. The low load from time to time lets the fillers run again.
		if start.IsZero() {
			start = time.Now()
		}
		if int(time.Since(start).Seconds())%30 < 2 {
			return 50
		}
		return 70
	})
	require.Positive(t, conflicts)
	require.Contains(t, lines, conflictLine("server", "greedy"))
	require.NotContains(t, lines, "serving task over its target")
}

// Guards against harmless fillers that are blamed for peaks of the load of serving tasks: a single peak whose halt lasts because the latency
// then stays between the limits for slowing down and speeding up, and regular peaks, which are above the target while fillers are slowed down.
func TestLoadPeaksAreNoConflict(t *testing.T) {
	single := func(second int, _ batch.TaskID, besideFillers bool) int64 {
		switch {
		case !besideFillers || second < 1:
			return 60
		case second < 5:
			return 140
		default:
			return 70
		}
	}
	regular := func(period, length int) func(second int, id batch.TaskID, _ bool) int64 {
		return func(second int, id batch.TaskID, _ bool) int64 {
			if (second+3*id.Index)%period < length {
				return 140
			}
			return 50
		}
	}
	for _, c := range []struct {
		fillers int
		tail    func(second int, id batch.TaskID, besideFillers bool) int64
	}{{4, regular(10, 3)}, {4, regular(14, 5)}, {4, regular(9, 4)}, {4, regular(20, 6)}, {1, single}} {
		var start time.Time
		besideFillers := make(map[int]bool)
		lines, _ := servingClusterWithFillers(t, c.fillers, func(id batch.TaskID, neighbours []batch.TaskID) int64 {
			if start.IsZero() {
				start = time.Now()
			}
			besideFillers[id.Index] = besideFillers[id.Index] || len(neighbours) > 0
			return c.tail(int(time.Since(start).Seconds()), id, besideFillers[id.Index])
		})
		require.NotContains(t, lines, "conflict begins", "%d fillers of each kind", c.fillers)
	}
}

// Guards against a halt that is blamed on kinds that were not there when the level was measured: after other work has come or gone, after
// one of several halted fillers has ended, and after the worker has started again, perhaps on another machine.
func TestHaltIsForgottenWhenWorkChanges(t *testing.T) {
	for _, change := range []string{"", "arrives", "halted filler ends", "worker restarts"} {
		ws := newWorkerState("w", "", 0)
		add := func(image string, filler bool) *run {
			u := &unit{job: &job{spec: &batch.Job{}}, step: &batch.Step{Count: 1, Filler: filler, Image: image, TailLatencyTargetMS: 100}}
			r := &run{task: &task{id: batch.TaskID{Job: image}, unit: u}, worker: ws, state: running, speed: fullSpeed}
			ws.runs[r.task.id] = r
			return r
		}
		server, first, second := add("server", false), add("first", true), add("second", true)
		ws.observeFillers(nil)
		server.levelBesideFillers = 1.4
		first.speed, first.haltedSince, second.speed, second.haltedSince = 0, boottime.Instant(time.Hour), 0, boottime.Instant(time.Hour)
		switch change {
		case "arrives":
			add("other", false)
		case "halted filler ends":
			delete(ws.runs, second.task.id)
		case "worker restarts":
			(&leader{}).forgetInterference(ws)
		}
		if change != "worker restarts" {
			ws.observeFillers(nil)
		}
		require.Equal(t, change == "", server.levelBesideFillers > 0, change)
	}
}

// Guards against tasks that are blamed for serving tasks that are above their target by themselves, and against such serving tasks that
// nothing shows to the operator.
func TestServingTasksSlowByThemselves(t *testing.T) {
	lines, conflicts := servingCluster(t, func(id batch.TaskID, _ []batch.TaskID) int64 {
		if id.Index < 2 {
			return 140
		}
		return 70
	})
	require.Zero(t, conflicts)
	require.NotContains(t, lines, "conflict begins")
	require.Contains(t, lines, `"latency":140,"target":100`)
	require.LessOrEqual(t, strings.Count(lines, "serving task over its target"), 2*7, "bounded")
}

// Guards against fillers that are blamed although their halt changes nothing or the level drops only later, against one halt that counts
// more than once, and against levels beside slow fillers of which only the high ones count.
func TestHaltCountsOnlyWithEffect(t *testing.T) {
	now := boottime.Instant(time.Hour)
	u := &unit{job: &job{spec: &batch.Job{}}, step: &batch.Step{Count: 1, TailLatencyTargetMS: 100}}
	for _, firstDrop := range []time.Duration{time.Second, haltResponseTime + 1, longHalt} {
		r := &run{task: &task{unit: u}, worker: newWorkerState("w", "", 0), state: running, levelBesideFillers: 1.4}
		observe := func(usage int64, haltedFor time.Duration) (float64, bool) {
			r.usage = usage
			return r.servingLevel(fillerState{haltedSince: now}, now.Add(haltedFor))
		}
		level, byHalt := observe(120, firstDrop-1)
		require.Zero(t, level, "short halt")
		require.False(t, byHalt)
		if firstDrop < longHalt {
			level, byHalt = observe(70, firstDrop)
			require.Zero(t, level, "short halt")
			require.False(t, byHalt)
		}
		level, byHalt = observe(120, longHalt)
		require.Equal(t, 1.2, level)
		require.False(t, byHalt, "halt without effect")
		level, byHalt = observe(70, longHalt+1)
		require.Equal(t, firstDrop <= haltResponseTime, byHalt)
		require.Equal(t, byHalt, level == 1.4)
		for n := range time.Duration(3) {
			_, byHalt = observe(70, (n+2)*longHalt)
			require.False(t, byHalt, "counts once")
		}
	}
	r := &run{task: &task{unit: u}, worker: newWorkerState("w", "", 0), state: running}
	for _, c := range []struct {
		usage int64
		slow  bool
		level float64
	}{{70, true, 0}, {130, true, 0}, {70, false, 0.7}, {130, false, 1.3}} {
		r.usage = c.usage
		level, byHalt := r.servingLevel(fillerState{limited: true, slow: c.slow}, now)
		require.Equal(t, c.level, level)
		require.False(t, byHalt)
	}
}

// Guards against levels of runs that are slow for other reasons than what runs beside them, and of polls that do not show what runs there.
func TestDistortedRunsHaveNoLevel(t *testing.T) {
	now := boottime.Instant(time.Hour)
	newRun := func() (*run, *unit) {
		u := &unit{job: &job{spec: &batch.Job{Queue: "q"}}, step: &batch.Step{Count: 4}}
		ws := newWorkerState("w", "", 0)
		ws.needsPoll, ws.workingSince = false, now.Add(-6*time.Second)
		r := &run{task: &task{unit: u}, worker: ws, serial: 7, state: running, placedAt: now.Add(-10 * time.Second)}
		r.task.run, u.tasks = r, []*task{r.task}
		return r, u
	}
	deviations := []forecast.Deviation{{Run: 7, Factor: 2}, {Run: 3, Factor: 1}}
	for name, distort := range map[string]func(r *run, u *unit){
		"remote": func(r *run, _ *unit) { r.remote = true }, "resumed, cold or slow": func(r *run, _ *unit) { r.paceDistorted = true },
		"stopping":                              func(r *run, _ *unit) { r.state = stopping },
		"other neighbours for most of the time": func(r *run, _ *unit) { r.worker.workingSince = now.Add(-4 * time.Second) },
		"most others completed":                 func(_ *run, u *unit) { u.completedRuns = 2 },
	} {
		r, u := newRun()
		u.setLevels(deviations)
		require.Equal(t, 2.0, r.takeLevel(now))
		require.Zero(t, r.takeLevel(now), "a comparison counts once")
		distort(r, u)
		u.setLevels(deviations)
		require.Zero(t, r.takeLevel(now), name)
	}
	r, _ := newRun()
	command, response := &worker.PollCommand{Wait: pollWait}, &worker.PollResponse{}
	require.True(t, r.worker.showsPresent(pollWait, command, response))
	require.False(t, r.worker.showsPresent(pollWait+maxObservationDelay+1, command, response), "late")
	require.False(t, r.worker.showsPresent(pollWait, command, &worker.PollResponse{EndsTruncated: true}))
	r.worker.needsPoll = true
	require.False(t, r.worker.showsPresent(pollWait, command, response), "unknown runs")

	l := &leader{interference: interferenceState{services: make(map[string]*serviceInterference)}}
	for _, state := range []string{"slow worker", "no registry entry, so the service is unknown", "usual"} {
		r, u := newRun()
		r.worker.runs[r.task.id] = r
		r.worker.registered = true
		switch state {
		case "slow worker":
			r.worker.slowUntil = now.Add(1)
		case "no registry entry, so the service is unknown":
			r.worker.registered = false
		}
		l.observeInterference(r.worker, now.Add(-time.Second), true)
		r.worker.workingSince = now.Add(-time.Hour)
		u.setLevels(deviations)
		l.observeInterference(r.worker, now, true)
		require.Equal(t, state == "usual", len(l.interference.services) > 0, state)
	}
	r.task.unit.step = &batch.Step{Count: 4, Gang: true}
	require.False(t, r.disturbs(), "waits for the rest of its gang")
	r.clocked.Report(1, 0, true)
	require.True(t, r.disturbs(), "a gang that has begun works before it has completed 1 %")
}

// Guards against a pace that is credited to the wrong neighbours because a second run of the same kind has come or gone.
func TestSecondRunOfKindChangesNeighbours(t *testing.T) {
	ws, now := newWorkerState("w", "", 0), boottime.Instant(time.Hour)
	u := &unit{job: &job{spec: &batch.Job{Queue: "q"}}, step: &batch.Step{Count: 3}}
	for n, changes := range []bool{true, true, false} {
		now = now.Add(time.Second)
		ws.runs[batch.TaskID{Index: n}] = &run{task: &task{id: batch.TaskID{Index: n}, unit: u}, worker: ws, state: running}
		_, kinds := ws.observeFillers(nil)
		ws.updateWorkingKinds(kinds, now)
		require.Equal(t, changes, ws.workingSince == now, "%d runs", n+1)
	}
	delete(ws.runs, batch.TaskID{Index: 0})
	delete(ws.runs, batch.TaskID{Index: 1})
	_, kinds := ws.observeFillers(nil)
	ws.updateWorkingKinds(kinds, now)
	require.Equal(t, now, ws.workingSince)
}

// BenchmarkObserveInterference measures what one poll of a worker with eight runs costs, with 1,100 workers of which each is polled once in
// 0.9 s, with its share of the evaluations. Runs last for seven polls. Without levels nothing is learned.
func BenchmarkObserveInterference(b *testing.B) {
	for _, level := range []float64{0, 1} {
		b.Run(fmt.Sprint("level=", level), func(b *testing.B) { benchmarkObserveInterference(b, level) })
	}
}

func benchmarkObserveInterference(b *testing.B, level float64) {
	const workers, runs, polledTimes = 1100, 8, 7
	start := boottime.Instant(time.Hour)
	l := &leader{interference: interferenceState{services: make(map[string]*serviceInterference)}}
	states := make([]*workerState, workers)
	for n := range states {
		ws := newWorkerState(fmt.Sprintf("w%04d", n), "", 0)
		ws.info.Service, ws.registered = "s", true
		for i := range runs {
			u := &unit{job: &job{spec: &batch.Job{Queue: "q"}}, step: &batch.Step{Count: 1, Image: fmt.Sprintf("image-%d", (n+i)%20)}}
			t := &task{id: batch.TaskID{Job: fmt.Sprint(n), Index: i}, unit: u}
			ws.runs[t.id] = &run{task: t, worker: ws, state: running, placedAt: start}
		}
		states[n] = ws
	}
	s := l.interferenceOf("s")
	now, polls := start, 0
	for b.Loop() {
		ws := states[polls%workers]
		for _, r := range ws.runs {
			if polls/workers%polledTimes == 0 {
				l.nextRunSerial++
				r.serial = l.nextRunSerial
			}
			r.level = level
		}
		polls++
		now = now.Add(900 * time.Millisecond / workers)
		l.observeInterference(ws, now, true)
		if polls%(workers/2) == 0 {
			s.table.Conflicts(now)
		}
	}
	if level > 0 && polls > 3*workers {
		require.Equal(b, now, s.observedAt, "observations must reach the table")
	}
}

// Guards against conflicts, and other placements because of them, on deployments whose jobs name no images.
func TestWorkWithoutImageHasNoKind(t *testing.T) {
	u := &unit{job: &job{spec: &batch.Job{Queue: "q"}}, step: &batch.Step{Count: 1}}
	require.Empty(t, u.kind())
	u.step.Image = "image"
	require.Equal(t, "image", u.kind())
}
