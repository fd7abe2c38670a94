package controller

import (
	"context"
	"fmt"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

// leaderWithLoad returns a leader with the given number of workers with 8 runs each, and of waiting and of finished jobs.
func leaderWithLoad(tb testing.TB, workers, waiting, finished int) *leader {
	config := &opconfig.Config{Orgs: []opconfig.Org{{Name: "o", GuaranteedGPU: 100}}}
	c := New(Config{Metrics: metrics.NewSet(), Logger: &log.Logger{Level: log.PanicLevel}, OperatorConfig: func() *opconfig.Config { return config }})
	ctx, cancel := context.WithCancel(context.Background())
	tb.Cleanup(cancel)
	l := newLeader(ctx, c, cancel, election.Term{})
	load := func(n int, phase batch.Phase, step batch.Step) *job {
		id := fmt.Sprintf("%08x-%d", uint32(n)*2654435761, n)
		rules := batch.QueueRules{Service: "s", Priority: n % 3, DurationFactor: 3, DurationOffsetMS: 1000}
		l.loadJob(batch.JobState{
			Job: &batch.Job{ID: id, Queue: "q", Org: "o", Steps: []batch.Step{step}, Rules: rules}, Offset: int64(n), AcceptedAt: boottime.Now(),
			Phase: batch.PhaseRecord{Phase: phase},
		}, nil)
		return l.jobs[id]
	}
	step := batch.Step{Count: 8, CPU: 1000, MemoryMB: 1000, GPU: 1, EstimateMS: 5000}
	for n := range workers {
		id := fmt.Sprintf("w%05d", n)
		ws := newWorkerState(id, "", 1)
		ws.registered, ws.needsPoll = true, false
		ws.info = worker.Info{ID: id, Service: "s", Zone: "z", Rack: fmt.Sprintf("r%d", n/12), State: worker.Ready, CPU: 32000, MemoryMB: 128000, GPU: 8}
		l.workers[id] = ws
		for _, t := range load(n, batch.Running, step).units[0].tasks {
			t.setRun(&run{task: t, worker: ws, placedAt: boottime.Now()})
			ws.runs[t.id] = t.run
		}
	}
	for n := range waiting {
		load(workers+n, batch.Queued, step)
	}
	for n := range finished {
		load(workers+waiting+n, batch.Completed, step)
	}
	return l
}

// BenchmarkSnapshot measures the building of the planner's input on the largest deployment.
func BenchmarkSnapshot(b *testing.B) {
	for _, finished := range []int{0, 20000} {
		b.Run(fmt.Sprintf("workers=1100/finished=%d", finished), func(b *testing.B) {
			l := leaderWithLoad(b, 1100, 400, finished)
			for b.Loop() {
				l.snapshot()
			}
		})
	}
}

// Guards against planning rounds that take the longer the more jobs and occurrences have finished: only those that are
// not finished may be examined, in the order of their IDs.
func TestSnapshotExaminesOnlyUnfinishedWork(t *testing.T) {
	l := leaderWithLoad(t, 3, 5, 100)
	repeated := &batch.Job{
		ID: "5", Queue: "q", Steps: []batch.Step{{Count: 2, CPU: 1000, EstimateMS: 1000}}, Repeat: 50, StartAtMS: 1, IntervalMS: 1,
		Rules: batch.QueueRules{Service: "s"},
	}
	l.loadJob(batch.JobState{Job: repeated, Offset: 200, AcceptedAt: boottime.Now()}, nil)
	j := l.jobs["5"]
	require.Len(t, j.units, 50)
	for _, u := range j.units[:49] {
		for _, task := range u.tasks {
			task.setDone()
		}
	}
	s, _, units := l.snapshot()
	require.Len(t, s.Units, 6)
	require.Contains(t, units, j.units[49])
	require.Len(t, l.activeJobs(), 9, "finished jobs")
	require.Equal(t, 1, j.unfinished.count, "finished occurrences")

	l.jobs["5"].phase = batch.Cancelled
	_, _, units = l.snapshot()
	require.Len(t, units, 5)
	for i := range units[1:] {
		require.Less(t, units[i].job.spec.ID, units[i+1].job.spec.ID)
	}
}
