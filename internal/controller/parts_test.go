package controller

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// storeTaskRecords stores task records as a previous leader did.
func (c *cluster) storeTaskRecords(records map[batch.TaskID]batch.TaskRecord) {
	var encoded []ledger.Record
	for id, record := range records {
		r, err := batch.EncodeTask(id, record)
		require.NoError(c.t, err)
		encoded = append(encoded, r)
	}
	for _, part := range ledger.Split(encoded) {
		c.write(batch.TasksTopic, part...)
	}
}

// storePhase stores the phase of a job as a previous leader did.
func (c *cluster) storePhase(id string, phase batch.Phase) {
	record, err := batch.EncodePhase(id, batch.PhaseRecord{Phase: phase, AtMS: time.Now().UnixMilli()})
	require.NoError(c.t, err)
	c.write(batch.JobsTopic, record)
}

// taskRecordsWritten returns how many records have been appended to the tasks' topic.
func (c *cluster) taskRecordsWritten() int64 {
	page, err := c.writer.Read(context.Background(), batch.TasksTopic, 0, 0)
	require.NoError(c.t, err)
	return page.End
}

// Guards against leaders that step down one after the other: the removal of the task records of a finished job was one append,
// larger than the log accepts, and each leader tried it right after its takeover.
func TestRecordsOfLargeJobAreRemovedInParts(t *testing.T) {
	const occurrences, count = 45, 900
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.log.MaxCallBytes = 1100 << 10
		j := overdueJob(jobID(1), occurrences, batch.Step{Count: count, CPU: 10, EstimateMS: 1000})
		c.submitJob(j)
		records := make(map[batch.TaskID]batch.TaskRecord)
		for n := range occurrences * count {
			id := batch.TaskID{Job: j.ID, Occurrence: n / count, Index: n % count}
			records[id] = batch.TaskRecord{Done: true, Started: true, Run: 1}
		}
		c.storeTaskRecords(records)
		c.storePhase(j.ID, batch.Completed)
		c.addWorker("w1", "r1")
		a := c.startInstance("a")
		c.submit(jobID(2), batch.Step{Count: 1, CPU: 1000, EstimateMS: 1000})
		c.waitFor(3*time.Second, "ordinary job", func() bool { return c.phase(jobID(2)) == batch.Completed })
		first := a.control.currentLeader()
		c.waitFor(30*time.Second, "removal of the records", func() bool { return len(c.log.LatestValues(batch.TasksTopic)) == 0 })
		require.NotNil(t, first)
		require.Same(t, first, a.control.currentLeader(), "the term went on")
	})
}

// Guards against a finished job whose records are never removed because a leader was killed between two parts of the removal.
func TestHalfClosedJobIsClosedAfterTakeover(t *testing.T) {
	const occurrences, count = 20, 300
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		j := overdueJob(jobID(1), occurrences, batch.Step{Count: count, CPU: 10, EstimateMS: 1000})
		c.submitJob(j)
		records := make(map[batch.TaskID]batch.TaskRecord)
		for n := range occurrences * count {
			records[batch.TaskID{Job: j.ID, Occurrence: n / count, Index: n % count}] = batch.TaskRecord{Done: true, Run: 1}
		}
		c.storeTaskRecords(records)
		c.storePhase(j.ID, batch.Completed)
		left := func() int { return len(c.log.LatestValues(batch.TasksTopic)) }
		for n := 0; left() > 0; n++ {
			require.Less(t, n, 20)
			before := left()
			i := c.startInstance("a")
			c.waitFor(20*time.Second, "a part is removed", func() bool { return left() < before })
			i.kill()
		}
		c.startInstance("b")
		c.waitFor(20*time.Second, "small description", func() bool {
			return len(c.log.LatestValues(batch.JobsTopic)["j/"+j.ID]) < 200
		})
	})
}

// Guards against writes whose size is the square of the size of a gang: the records of all members were stored at the end of each
// member.
func TestEndsOfGangMembersAreStoredOnce(t *testing.T) {
	const members = 200
	workOf := func(batch.TaskID) workertest.Work {
		return workertest.Work{Duration: time.Second, GangSize: members}
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		for n := range 4 {
			info := workerInfo(fmt.Sprintf("w%d", n), "r1")
			info.CPU = 100000
			c.register(c.fleet.Add(info, clockRate))
		}
		c.startInstance("a")
		c.submit(jobID(1), batch.Step{Count: members, CPU: 1000, Gang: true, EstimateMS: 1000})
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, c.taskRecordsWritten(), int64(5*members))
		require.Empty(t, c.log.LatestValues(batch.TasksTopic))
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a gang that runs again because a leader was killed after it had stored only some of its members as done.
func TestGangStoredInPartAsDoneDoesNotRunAgain(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		info := c.addWorker("w1", "r1")
		c.submit(jobID(1), batch.Step{Count: 3, CPU: 1000, Gang: true, EstimateMS: 1000})
		c.storeTaskRecords(map[batch.TaskID]batch.TaskRecord{
			firstStepTask(1, 0): {Done: true, Started: true, Run: 1},
			firstStepTask(1, 1): {Started: true, Run: 1, Worker: info.ID, Address: info.Address},
			firstStepTask(1, 2): {Started: true, Run: 1},
		})
		c.startInstance("a")
		c.waitFor(30*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		starts, _ := c.fleet.JobCounts(jobID(1))
		require.Zero(t, starts)
	})
}

// Guards against a gang that never starts because a leader was killed after it had stored the placements of only some members.
func TestGangStoredInPartAsPlacedIsStarted(t *testing.T) {
	workOf := func(batch.TaskID) workertest.Work { return workertest.Work{Duration: time.Second, GangSize: 3} }
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		info := c.addWorker("w1", "r1")
		c.submit(jobID(1), batch.Step{Count: 3, CPU: 1000, Gang: true, EstimateMS: 1000})
		c.storeTaskRecords(map[batch.TaskID]batch.TaskRecord{
			firstStepTask(1, 0): {Run: 1, Worker: info.ID, Address: info.Address},
			firstStepTask(1, 1): {Run: 1, Worker: info.ID, Address: info.Address},
		})
		c.startInstance("a")
		c.waitFor(30*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Empty(t, c.fleet.Violations())
		require.Zero(t, c.fleet.IncompleteGangRuns())
	})
}

// cutLog loses its connection at the n-th append of task records, which takes effect or not.
type cutLog struct {
	ledger.Log
	left       *atomic.Int64
	takeEffect bool
}

func (l cutLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	left := l.left.Load()
	if left > 0 && a.Topic == batch.TasksTopic && len(a.Records) > 0 {
		left = l.left.Add(-1)
		if left == 0 && l.takeEffect {
			_, _ = l.Log.Append(ctx, a)
		}
	}
	if left == 0 {
		<-ctx.Done()
		return ledger.AppendResult{}, ledger.ErrUnknownOutcome
	}
	return l.Log.Append(ctx, a)
}

// Guards against gangs and jobs that the next leader takes for something else because the last one lost the log between two parts of a
// write: placements, ends and the removal of records.
func TestLeaderLostBetweenParts(t *testing.T) {
	const members = 500
	workOf := func(id batch.TaskID) workertest.Work {
		if id.Job == jobID(1) {
			return workertest.Work{Duration: time.Second, GangSize: members}
		}
		return workertest.Work{Duration: time.Second}
	}
	for n := int64(1); ; n++ {
		cut := false
		for _, takeEffect := range []bool{false, true} {
			inVirtualTime(t, uint64(n), workOf, func(c *cluster) {
				for w := range 4 {
					info := workerInfo(fmt.Sprintf("w%d", w), "r1")
					info.CPU = 500000
					c.register(c.fleet.Add(info, clockRate))
				}
				var left atomic.Int64
				left.Store(n)
				c.wrapLog = func(log ledger.Log) ledger.Log { return cutLog{log, &left, takeEffect} }
				c.startInstance("a")
				time.Sleep(100 * time.Millisecond)
				c.wrapLog = nil
				c.startInstance("b")
				c.submit(jobID(1), batch.Step{Count: members, CPU: 1000, MemoryMB: 1, Gang: true, EstimateMS: 1000})
				c.submit(jobID(2), batch.Step{Count: members, CPU: 1000, MemoryMB: 1, EstimateMS: 1000})
				c.waitFor(60*time.Second, "completed", func() bool {
					return c.phase(jobID(1)) == batch.Completed && c.phase(jobID(2)) == batch.Completed
				})
				c.waitFor(20*time.Second, "removal of the records", func() bool { return len(c.log.LatestValues(batch.TasksTopic)) == 0 })
				cut = cut || left.Load() == 0
				require.Empty(t, c.fleet.Violations(), "append %d", n)
			})
		}
		if !cut {
			require.Greater(t, n, int64(8), "appends that can be cut")
			return
		}
	}
}
