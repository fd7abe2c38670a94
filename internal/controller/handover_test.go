package controller

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// gatedLog holds the appends to a topic back, until they time out or the topic is released.
type gatedLog struct {
	ledger.Log
	mu   sync.Mutex
	held map[string]chan struct{}
	// rejectRenewals is how long after the last renewal that was passed on further ones are rejected as
	// unavailable.
	rejectRenewals time.Duration
	renewedAt      time.Time
}

func (g *gatedLog) hold(topic string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held == nil {
		g.held = make(map[string]chan struct{})
	}
	g.held[topic] = make(chan struct{})
}

func (g *gatedLog) release(topic string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.held[topic])
	delete(g.held, topic)
}

// sinceRenewal returns the time since the last renewal was passed on.
func (g *gatedLog) sinceRenewal() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(g.renewedAt)
}

func (g *gatedLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	g.mu.Lock()
	held := g.held[a.Topic]
	renewal := a.Topic == election.Topic
	if renewal && held != nil && time.Since(g.renewedAt) < g.rejectRenewals {
		g.mu.Unlock()
		return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnavailable, "rejected")
	}
	if renewal && held == nil {
		g.renewedAt = time.Now()
	}
	g.mu.Unlock()
	if held != nil {
		select {
		case <-held:
		case <-ctx.Done():
			return ledger.AppendResult{}, eris.Wrap(ledger.ErrUnknownOutcome, "no response")
		}
	}
	return g.Log.Append(ctx, a)
}

// startGated starts an instance whose leader appends through the returned log.
func (c *cluster) startGated(name string) (*instance, *gatedLog) {
	gate := &gatedLog{}
	c.wrapLog = func(l ledger.Log) ledger.Log {
		gate.Log = l
		return gate
	}
	defer func() { c.wrapLog = nil }()
	return c.startInstance(name), gate
}

// storedTask returns the stored record of a task.
func (c *cluster) storedTask(id batch.TaskID) batch.TaskRecord {
	value := c.log.LatestValues(batch.TasksTopic)[id.String()]
	_, record, err := batch.DecodeTask(ledger.Entry{Record: ledger.Record{Key: id.String(), Value: value}})
	require.NoError(c.t, err)
	return record
}

// Guards against a task that is never started, and keeps its place, because its placement was stored
// just while the response to a renewal of the leadership was late.
func TestPlacementStoredWhileRenewalIsLateIsStarted(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		i, gate := c.startGated("a")
		time.Sleep(4 * time.Second)
		epoch := c.epoch()
		gate.rejectRenewals = 1700 * time.Millisecond
		gate.hold(election.Topic)
		gate.hold(batch.TasksTopic)
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		c.waitFor(3*time.Second, "validity has passed", func() bool { return gate.sinceRenewal() > election.Validity })
		_, leads := i.elector.Leader()
		require.False(t, leads)
		gate.release(batch.TasksTopic)
		time.Sleep(150 * time.Millisecond)
		gate.release(election.Topic)
		c.waitFor(3*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Equal(t, epoch, c.epoch(), "the term has not ended")
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a scheduled task that runs twice because the clock of a new leader is behind that of
// the previous one: the occurrence that had been started was not due yet.
func TestStartedOccurrenceIsAdoptedBeforeItIsDue(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(2*time.Second), func(c *cluster) {
		info := c.addWorker("w1", "r1")
		task := batch.TaskID{Job: jobID(1), Occurrence: 1}
		c.submitJob(&batch.Job{
			ID: jobID(1), Steps: []batch.Step{{Count: 2, CPU: 1000, GPU: 1}}, Repeat: 2,
			StartAtMS: time.Now().Add(-time.Second).UnixMilli(), IntervalMS: 9000,
		})
		// The previous leader started one task of the occurrence that is due in 8 s.
		record, err := batch.EncodeTask(task, batch.TaskRecord{Run: 1, Worker: "w1", Address: info.Address, WorkerStartedAtMS: info.StartedAtMS})
		require.NoError(t, err)
		c.write(batch.TasksTopic, record)
		_, err = c.fleet.Start(context.Background(), worker.Endpoint{ID: "w1", Address: info.Address}, worker.StartCommand{
			Run: worker.Run{Task: task, Number: 1}, LeaseExpiryMS: 6000,
		})
		require.NoError(t, err)
		c.startInstance("a")
		time.Sleep(6 * time.Second)
		require.Zero(t, c.fleet.Starts(batch.TaskID{Job: jobID(1), Occurrence: 1, Index: 1}), "the other task is not due")
		c.waitFor(15*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Equal(t, 1, c.fleet.Starts(task))
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against a job that is shown as queued until its end because the previous leader lost its
// leadership before it could store that the job runs.
func TestRunningPhaseIsStoredAfterTakeover(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(20*time.Second), func(c *cluster) {
		c.addWorker("w1", "r1")
		a, gate := c.startGated("a")
		time.Sleep(4 * time.Second)
		c.startInstance("b")
		gate.hold(batch.JobsTopic)
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		task := batch.TaskID{Job: jobID(1)}
		c.waitFor(2*time.Second, "started", func() bool { return c.fleet.Starts(task) == 1 })
		a.log.SetDown(true)
		a.stop()
		require.Empty(t, c.phase(jobID(1)))
		c.waitFor(8*time.Second, "running", func() bool { return c.phase(jobID(1)) == batch.Running })
		require.Equal(t, 1, c.fleet.Starts(task))
	})
}

// Guards against task records that are kept for ever, and are read at each takeover, because the
// leader lost its leadership before it could remove those of a cancelled job.
func TestTaskRecordsOfFinishedJobAreRemovedAfterTakeover(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(time.Minute), func(c *cluster) {
		c.addWorker("w1", "r1")
		a, gate := c.startGated("a")
		task := batch.TaskID{Job: jobID(1)}
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		c.waitFor(4*time.Second, "running", func() bool { return c.phase(jobID(1)) == batch.Running })
		gate.hold(batch.JobsTopic)
		c.write(batch.JobsTopic, batch.EncodeCancellation(jobID(1)))
		c.waitFor(2*time.Second, "end stored", func() bool { return c.storedTask(task).Worker == "" })
		gate.hold(batch.TasksTopic)
		gate.release(batch.JobsTopic)
		c.waitFor(2*time.Second, "cancelled", func() bool { return c.phase(jobID(1)) == batch.Cancelled })
		a.kill()
		require.NotEmpty(t, c.log.LatestValues(batch.TasksTopic))
		c.startInstance("b")
		c.waitFor(15*time.Second, "removed", func() bool { return len(c.log.LatestValues(batch.TasksTopic)) == 0 })
		// The description follows once the removal of the last task records is stored.
		c.waitFor(time.Second, "description reduced", func() bool {
			return !strings.Contains(string(c.log.LatestValues(batch.JobsTopic)["j/"+jobID(1)]), "steps\":[{")
		})
	})
}

// lostStops loses all stops while lost is set.
type lostStops struct {
	*workertest.Fleet
	lost atomic.Bool
}

func (s *lostStops) Stop(ctx context.Context, to worker.Endpoint, r worker.Run, token int64) error {
	if s.lost.Load() {
		<-ctx.Done()
		return worker.ErrUnknownOutcome
	}
	return s.Fleet.Stop(ctx, to, r, token)
}

// Guards against a gang that waits for ever: one member had ended, and the previous leader lost its
// leadership before the others were stopped. The new leader adopted them and waited for their ends.
func TestIncompleteGangIsRestartedAfterTakeover(t *testing.T) {
	workOf := func(batch.TaskID) workertest.Work { return workertest.Work{Duration: 5 * time.Second, GangSize: 2} }
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		stops := &lostStops{Fleet: c.fleet}
		c.workers = stops
		c.addWorker("w1", "r1")
		c.addWorker("w2", "r1")
		a := c.startInstance("a")
		time.Sleep(4 * time.Second)
		c.startInstance("b")
		c.submit(jobID(1), batch.Step{Count: 2, CPU: 1000, GPU: 8, Gang: true})
		members := []batch.TaskID{{Job: jobID(1)}, {Job: jobID(1), Index: 1}}
		c.waitFor(2*time.Second, "running", func() bool { return c.fleet.RunCount("w1")+c.fleet.RunCount("w2") == 2 })
		time.Sleep(time.Second)
		stops.lost.Store(true)
		c.restartWorker("w1", 0)
		c.waitFor(3*time.Second, "end stored", func() bool {
			return c.storedTask(members[0]).Worker == "" || c.storedTask(members[1]).Worker == ""
		})
		a.log.SetDown(true)
		a.stop()
		stops.lost.Store(false)
		c.waitFor(20*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against runs whose leases lapse because the end of another run on their worker takes seconds to
// be stored.
func TestLeasesAreRenewedWhileAnEndIsNotStored(t *testing.T) {
	workOf := func(id batch.TaskID) workertest.Work {
		return workertest.Work{Duration: map[string]time.Duration{jobID(1): time.Second, jobID(2): 20 * time.Second}[id.Job]}
	}
	inVirtualTime(t, 1, workOf, func(c *cluster) {
		c.addWorker("w1", "r1")
		_, gate := c.startGated("a")
		time.Sleep(4 * time.Second)
		c.submit(jobID(2), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1})
		c.waitFor(2*time.Second, "running", func() bool { return c.phase(jobID(1)) == batch.Running && c.phase(jobID(2)) == batch.Running })
		gate.hold(batch.JobsTopic)
		time.Sleep(7 * time.Second)
		gate.release(batch.JobsTopic)
		c.waitFor(25*time.Second, "completed", func() bool { return c.phase(jobID(2)) == batch.Completed })
		require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(2)}))
	})
}

// heldReads holds the reads of a topic back while it is held, until they time out.
type heldReads struct {
	ledger.Log
	topic string
	held  atomic.Bool
}

func (h *heldReads) Read(ctx context.Context, topic string, from int64, wait time.Duration) (ledger.Page, error) {
	if topic == h.topic && h.held.Load() {
		<-ctx.Done()
		return ledger.Page{}, eris.Wrap(ledger.ErrUnavailable, "no response")
	}
	return h.Log.Read(ctx, topic, from, wait)
}

// Guards against a task that runs twice: the entry of a draining worker that was cut off from the log expired,
// but the leader read its last update late, together with the removal, and took that for a shutdown.
func TestExpiredEntryThatIsReadLateIsNoShutdown(t *testing.T) {
	inVirtualTime(t, 1, fixedWork(20*time.Second), func(c *cluster) {
		reads := &heldReads{topic: workersTopic}
		c.wrapLog = func(l ledger.Log) ledger.Log {
			reads.Log = l
			return reads
		}
		info := c.addWorker("w1", "r1")
		c.startInstance("a")
		time.Sleep(4 * time.Second)
		c.submit(jobID(1), batch.Step{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 20000})
		task := batch.TaskID{Job: jobID(1)}
		c.waitFor(2*time.Second, "started", func() bool { return c.fleet.Starts(task) == 1 })
		c.addWorker("w2", "r1")
		time.Sleep(time.Second)
		reads.held.Store(true)
		time.Sleep(1200 * time.Millisecond) // The read in flight returns.
		info.State, info.RemainingTime = worker.Draining, 30*time.Second
		c.register(info)
		time.Sleep(4600 * time.Millisecond)
		c.write(workersTopic, ledger.Record{Key: "w1"})
		time.Sleep(100 * time.Millisecond)
		reads.held.Store(false)
		c.waitFor(40*time.Second, "completed", func() bool { return c.phase(task.Job) == batch.Completed })
		require.Empty(t, c.fleet.Violations())
	})
}

// Guards against runs that end because their leases expire during an outage of the log that is shorter than the longest
// lease: the leader resigns after 1.3 s, before it has polled each worker again.
func TestLeasesOutlastAnOutageOfTheLog(t *testing.T) {
	for phase := time.Duration(0); phase < pollWait; phase += 100 * time.Millisecond {
		testOutageOfTheLog(t, time.Second+phase)
	}
}

// testOutageOfTheLog begins an outage of 5 s at the given time after the start of 20 runs.
func testOutageOfTheLog(t *testing.T, at time.Duration) {
	t.Helper()
	inVirtualTime(t, 1, fixedWork(9*time.Second), func(c *cluster) {
		const workers = 20
		for n := range workers {
			c.addWorker(fmt.Sprintf("w%02d", n), "r1")
		}
		a, b := c.startInstance("a"), c.startInstance("b")
		c.submit(jobID(1), batch.Step{Count: workers, CPU: 1000, GPU: 8, EstimateMS: 9000})
		c.waitFor(3*time.Second, "started", func() bool { return c.fleet.RunCount("w00") == 1 && c.fleet.RunCount("w19") == 1 })
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		for _, pair := range [][2]*instance{{a, b}, {b, a}} {
			go func() {
				for term := pair[1].elector.LeaderTerm(); ctx.Err() == nil; term = pair[1].elector.LeaderTerm() {
					if pair[0].elector.AwaitEnd(ctx, term) == election.Ended {
						pair[1].elector.ObserveEnd(term.Epoch)
					}
					time.Sleep(50 * time.Millisecond)
				}
			}()
		}
		time.Sleep(at)
		a.log.SetDown(true)
		b.log.SetDown(true)
		time.Sleep(5 * time.Second)
		a.log.SetDown(false)
		b.log.SetDown(false)
		c.waitFor(10*time.Second, "completed", func() bool { return c.phase(jobID(1)) == batch.Completed })
		for n := range workers {
			require.Equal(t, 1, c.fleet.Starts(batch.TaskID{Job: jobID(1), Index: n}))
		}
		require.Empty(t, c.fleet.Violations())
	})
}
