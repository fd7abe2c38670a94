package replica

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// inForceBound is the longest allowed time from the acceptance of a policy until it is in force at
// every instance.
const inForceBound = 2 * time.Second

var sixInstances = []string{"a", "b", "c", "d", "e", "f"}

// logOutage makes every call of the log fail, logSilent leaves every call without a response.
var (
	logOutage = standin.LogFaults{CallFaults: standin.CallFaults{Outage: true}}
	logSilent = standin.LogFaults{CallFaults: standin.CallFaults{Silent: true}}
)

// TestPolicyInForceEverywhere guards against a configuration that reaches some instances late: from
// the log, from a peer when an instance is cut off from the log, after an outage, and from a slow log.
func TestPolicyInForceEverywhere(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start(sixInstances...)
		c.waitReady(time.Second, sixInstances...)
		c.mustWritePolicy("a", 1)
		t.Logf("log up: %s", c.waitPolicy(1, inForceBound, sixInstances...))
		c.cut(true, false, "f")
		time.Sleep(3 * time.Second)
		c.mustWritePolicy("a", 2)
		t.Logf("one instance cut off from the log: %s", c.waitPolicy(2, inForceBound, sixInstances...))
		c.log.SetFaults(logOutage)
		time.Sleep(time.Hour)
		c.log.SetFaults(standin.LogFaults{})
		started := time.Now()
		for {
			if _, err := c.writePolicy("b", 3); err == nil {
				break
			}
		}
		c.waitPolicy(3, inForceBound, sixInstances...)
		t.Logf("after an outage of an hour: %s", time.Since(started))
		require.LessOrEqual(t, time.Since(started), inForceBound)
		c.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{Delay: settings.Duration(500 * time.Millisecond)}})
		c.mustWritePolicy("c", 4)
		t.Logf("log slow by 0.5 s: %s", c.waitPolicy(4, inForceBound, sixInstances...))
	})
}

// TestVerySlowLog guards against a replica that treats a log as unreachable because it responds only
// after seconds. Such a replica would never become ready or never apply a record.
func TestVerySlowLog(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a")
		c.waitReady(time.Second, "a")
		c.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{Delay: settings.Duration(5 * time.Second)}})
		_, err := c.writePolicy("a", 1)
		if err != nil {
			require.ErrorIs(t, err, state.ErrUnknownOutcome)
		}
		c.waitPolicy(1, time.Minute, "a")
		c.kill("a")
		c.start("b")
		c.waitReady(time.Minute, "b")
		require.Equal(t, 1, c.inForce("b"))
	})
}

// TestLostResponsesAreResolved guards against a write that fails although its verdict can be found
// after the response of the log was lost, and against a late append that takes effect again.
func TestLostResponsesAreResolved(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a", "b")
		c.waitReady(time.Second, "a", "b")
		c.log.SetFaults(standin.LogFaults{CallFaults: standin.CallFaults{LoseResponses: 3}})
		c.mustWritePolicy("a", 1)
		c.log.SetFaults(standin.LogFaults{LateAppends: 2, LateBy: settings.Duration(20 * time.Second)})
		c.mustWritePolicy("a", 2)
		c.mustWritePolicy("b", 3)
		time.Sleep(time.Minute)
		require.Equal(t, 3, c.inForce("a"), "a late append undid a later write")
		require.Equal(t, 3, c.inForce("b"))
	})
}

// TestOutcomeDuringOutage guards against a wrong error while the log is down. ErrNotApplied is
// correct only if the record has no effect, and ErrUnknownOutcome only if it may have one.
func TestOutcomeDuringOutage(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a")
		c.waitReady(time.Second, "a")
		c.log.SetFaults(logOutage)
		_, err := c.writePolicy("a", 1)
		require.ErrorIs(t, err, state.ErrNotApplied)
		c.log.SetFaults(logSilent)
		_, err = c.writePolicy("a", 2)
		require.ErrorIs(t, err, state.ErrUnknownOutcome)
		c.log.SetFaults(standin.LogFaults{LateAppends: 1, LateBy: settings.Duration(time.Minute)})
		record := policyRecord(t, 3)
		record.ID = "late"
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err = c.replica("a").Write(ctx, record)
		require.ErrorIs(t, err, state.ErrUnknownOutcome)
		verdict, err := c.replica("a").Write(t.Context(), record)
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		again, err := c.replica("a").Write(t.Context(), record)
		require.NoError(t, err)
		require.Equal(t, verdict, again, "the same id took effect twice")
	})
}

// TestRateLimitIsWaitedOut guards against writes that fail because the log accepts only a limited
// number of appends per second: they must be repeated.
func TestRateLimitIsWaitedOut(t *testing.T) {
	runCluster(t, standin.LogConfig{AppendsPerSecond: 50}, func(t *testing.T, c *cluster) {
		c.start("a", "b")
		c.waitReady(time.Second, "a", "b")
		var group sync.WaitGroup
		var mu sync.Mutex
		applied, rejected := 0, 0
		for i := range 200 {
			group.Go(func() {
				_, err := c.writePolicy([]string{"a", "b"}[i%2], i+1)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					applied++
				} else if errors.Is(err, state.ErrNotApplied) {
					rejected++
				}
			})
		}
		group.Wait()
		require.Equal(t, 200, applied+rejected, "an outcome was unknown")
		time.Sleep(2 * time.Second)
		require.Equal(t, platform.Offset(applied), c.replica("b").Applied(), "a rejected write took effect")
		t.Logf("applied %d, rejected %d", applied, rejected)
		require.Greater(t, applied, 100)
	})
}

// TestRestartNeverServesAnOlderPolicy guards against a restarted instance that serves a policy older
// than one that was in force at it or at a live peer. The log is up, down, silent, or has lost all
// records to retention, or the instance is cut off.
func TestRestartNeverServesAnOlderPolicy(t *testing.T) {
	runCluster(t, standin.LogConfig{Retention: 10 * time.Minute}, func(t *testing.T, c *cluster) {
		c.start(sixInstances...)
		c.waitReady(time.Second, sixInstances...)
		for i := range 30 {
			c.mustWritePolicy(sixInstances[i%6], i+1)
			time.Sleep(time.Minute)
		}
		c.start("a")
		c.waitReady(2*time.Second, "a")
		require.Equal(t, 30, c.inForce("a"), "from a snapshot in the log and the tail")

		c.mustWritePolicy("b", 31)
		// If the outage began before a live peer had read the record, only the log would have it. A
		// restarted instance has to reach only the highest offset of its live peers.
		c.waitPolicy(31, inForceBound, sixInstances...)
		c.log.SetFaults(logOutage)
		c.start("a", "b")
		c.waitReady(5*time.Second, "a", "b")
		require.Equal(t, 31, c.inForce("a"), "from a peer while the log is down")
		require.Equal(t, 31, c.inForce("b"))

		c.log.SetFaults(logSilent)
		c.start("c")
		c.waitReady(8*time.Second, "c")
		require.Equal(t, 31, c.inForce("c"), "from a peer while the log hangs")

		c.log.SetFaults(logOutage)
		c.cut(false, true, "d")
		c.start("d")
		time.Sleep(time.Minute)
		require.False(t, c.replica("d").IsReady(), "cut off from the log and all peers")
		c.cut(false, false, "d")
		c.waitReady(5*time.Second, "d")
		require.Equal(t, 31, c.inForce("d"))

		time.Sleep(30 * time.Minute)
		c.log.SetFaults(standin.LogFaults{})
		c.start("e")
		c.waitReady(5*time.Second, "e")
		require.Equal(t, 31, c.inForce("e"), "every entry expired during the outage")
		time.Sleep(time.Minute)
		c.killAll()
		c.start("f")
		c.waitReady(5*time.Second, "f")
		require.Equal(t, 31, c.inForce("f"), "the snapshot after the outage was not written")
	})
}

// TestSnapshotsOutliveRetention guards against a state that is lost because its records expired
// before a snapshot was complete, and against an incomplete snapshot that counts as a complete one.
func TestSnapshotsOutliveRetention(t *testing.T) {
	runCluster(t, standin.LogConfig{Retention: 10 * time.Minute}, func(t *testing.T, c *cluster) {
		c.start("a", "b")
		c.waitReady(time.Second, "a", "b")
		c.mustWritePolicy("a", 7)
		for range 10 {
			time.Sleep(8 * time.Minute)
			// An incomplete snapshot: one of two parts, at an offset above all others.
			part := state.SnapshotPart{Offset: 1 << 20, Snapshot: "torn", Parts: 2, Digest: 1, Data: []byte("x")}
			_, err := c.replica("a").Write(t.Context(), state.Record{ID: "torn", SnapshotPart: &part})
			_ = err
		}
		require.Greater(t, c.replica("a").metrics.snapshots.Get()+c.replica("b").metrics.snapshots.Get(), uint64(8))
		c.killAll()
		c.start("c")
		c.waitReady(5*time.Second, "c")
		require.Equal(t, 7, c.inForce("c"))
	})
}

// TestGapAfterExpiry guards against an instance that was cut off from the log for longer than the
// retention time and then skips the records that have expired.
func TestGapAfterExpiry(t *testing.T) {
	runCluster(t, standin.LogConfig{Retention: 10 * time.Minute}, func(t *testing.T, c *cluster) {
		c.start("a", "b")
		c.waitReady(time.Second, "a", "b")
		c.mustWritePolicy("a", 1)
		c.cut(true, true, "b")
		time.Sleep(2 * longPollWait)
		for i := range 30 {
			c.mustWritePolicy("a", i+2)
			time.Sleep(time.Minute)
		}
		require.Equal(t, 1, c.inForce("b"))
		c.cut(false, true, "b")
		c.waitPolicy(31, inForceBound, "b")
		require.True(t, c.replica("b").IsReady())
		require.Equal(t, c.replica("a").Applied(), c.replica("b").Applied())
	})
}

// TestHistoryLost guards against an instance that serves an empty state after records have expired
// that no snapshot includes.
func TestHistoryLost(t *testing.T) {
	runCluster(t, standin.LogConfig{Retention: time.Minute}, func(t *testing.T, c *cluster) {
		_, err := c.log.Append(t.Context(), []byte("x"))
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		c.start("a")
		time.Sleep(time.Minute)
		require.False(t, c.replica("a").IsReady())
		require.ErrorIs(t, c.replica("a").Err(), ErrHistoryLost)
		_, err = c.writePolicy("a", 1)
		require.ErrorIs(t, err, state.ErrNotApplied)
	})
}

// TestDamagedSnapshotFallsBackToPrevious guards against a recovery that fails, or loses
// records, because the newest snapshot has a wrong digest or is incomplete.
func TestDamagedSnapshotFallsBackToPrevious(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a")
		c.waitReady(time.Second, "a")
		c.mustWritePolicy("a", 1)
		a := c.replica("a")
		require.NoError(t, a.writeSnapshot(t.Context(), "test"))
		c.mustWritePolicy("a", 2)
		s, _, err := a.copyState()
		require.NoError(t, err)
		data, err := s.EncodeSnapshot()
		require.NoError(t, err)
		damaged := s.SplitSnapshot("damaged", data)
		damaged[0].Data = data[:len(data)/2]
		incomplete := s.SplitSnapshot("half", data)
		incomplete[0].Parts = 2
		for i, part := range []state.SnapshotPart{damaged[0], incomplete[0]} {
			record := state.Record{Version: state.RecordVersion, ID: fmt.Sprint("part", i), Base: 1, SnapshotPart: &part}
			entry, err := record.Encode()
			require.NoError(t, err)
			_, err = c.log.Append(t.Context(), entry)
			require.NoError(t, err)
		}
		c.mustWritePolicy("a", 3)
		c.kill("a")
		c.start("b")
		c.waitReady(time.Second, "b")
		require.Equal(t, 3, c.inForce("b"))
		require.Equal(t, a.Applied(), c.replica("b").Applied())
	})
}

// TestNewerRecordStopsTheReplica guards against an old binary that skips a record of a newer version
// and continues with a state that differs from the state of newer binaries.
func TestNewerRecordStopsTheReplica(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a")
		c.waitReady(time.Second, "a")
		c.mustWritePolicy("a", 1)
		_, err := c.log.Append(t.Context(), []byte(`{"v":2,"id":"new"}`))
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.False(t, c.replica("a").IsReady())
		require.ErrorIs(t, c.replica("a").Err(), ErrNewerVersion)
		_, err = c.writePolicy("a", 2)
		require.ErrorIs(t, err, state.ErrNotApplied)
		require.Equal(t, 1, c.inForce("a"))
		c.start("b")
		time.Sleep(time.Minute)
		require.False(t, c.replica("b").IsReady())
	})
}

// TestConcurrentWritersLoseNoUpdate guards against a lost update. Writers at six replicas increment
// one value with expected versions, while the log loses responses and appends some records late.
func TestConcurrentWritersLoseNoUpdate(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start(sixInstances...)
		c.waitReady(time.Second, sixInstances...)
		c.mustWritePolicy("a", 1)
		c.waitPolicy(1, inForceBound, sixInstances...)
		c.log.SetFaults(standin.LogFaults{
			CallFaults: standin.CallFaults{Delay: settings.Duration(time.Millisecond), LoseResponses: 50}, LateAppends: 20, LateBy: settings.Duration(5 * time.Second),
		})
		var group sync.WaitGroup
		var mu sync.Mutex
		accepted := 0
		for i := range 48 {
			group.Go(func() {
				if incrementQueueLimit(t.Context(), c.replica(sixInstances[i%6])) {
					mu.Lock()
					accepted++
					mu.Unlock()
				}
			})
		}
		group.Wait()
		time.Sleep(10 * time.Second)
		for _, id := range sixInstances {
			require.Equal(t, 1+accepted, c.inForce(id), "accepted updates at %s", id)
		}
		require.Equal(t, 48, accepted)
	})
}

// incrementQueueLimit increments the queue limit by one with the expected version and repeats that
// after a conflict. It reports whether the increment was accepted.
func incrementQueueLimit(ctx context.Context, r *Replica) bool {
	for range 500 {
		var version uint64
		limit := 0
		r.Read(func(s *state.State) {
			version, limit = s.Policies[resource.DefaultPolicyName].ResourceVersion, s.Policy().Admission.QueueLimit
		})
		record := policyRecord(panicT{}, limit+1)
		record.Put.IfVersion = &version
		writeCtx, cancel := context.WithTimeout(ctx, 30*time.Second)
		verdict, err := r.Write(writeCtx, record)
		cancel()
		if err == nil && verdict.Code == state.Accepted {
			return true
		}
		if err != nil && !errors.Is(err, state.ErrNotApplied) {
			return false
		}
	}
	return false
}

// panicT panics on a failed check, for helpers that run outside the goroutine of the test.
type panicT struct{}

// Errorf implements require.TestingT.
func (panicT) Errorf(format string, args ...any) { panic(fmt.Sprintf(format, args...)) }

// FailNow implements require.TestingT.
func (panicT) FailNow() { panic("failed") }

// TestSnapshotTrigger guards against snapshots that are written too late, after records that they
// replace have expired, and against snapshots that all instances write at once.
func TestSnapshotTrigger(t *testing.T) {
	now := time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	for _, tc := range []struct {
		age     time.Duration
		records uint64
		rank    int
		due     bool
	}{
		{29 * time.Minute, 4999, 0, false},
		{30 * time.Minute, 1, 0, true},
		{time.Minute, 5000, 0, true},
		{30 * time.Minute, 1, 1, false},
		{32 * time.Minute, 1, 1, true},
		{45 * time.Minute, 1, 100, true},
		{time.Minute, 5000, 1, false},
		{time.Minute, 7500, 100, true},
	} {
		trigger := SnapshotTrigger{Now: now, Since: now.Add(-tc.age), Records: tc.records, Retention: time.Hour, Rank: tc.rank}
		_, due := trigger.Due()
		require.Equal(t, tc.due, due, "%+v", tc)
	}
}

// TestWriterReadsItsOwnPolicy guards against a writer that has the verdict of its record but still
// reads a state without the record.
func TestWriterReadsItsOwnPolicy(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		c.start("a")
		c.waitReady(time.Second, "a")
		for i := range 20 {
			c.mustWritePolicy("a", i+1)
			require.Equal(t, i+1, c.inForce("a"))
		}
		synctest.Wait()
		var names []string
		for _, e := range c.replica("a").deps.Events.Events(timeline.Filter{}) {
			names = append(names, e.Name)
		}
		require.Equal(t, 20, strings.Count(strings.Join(names, " "), "policy-in-force"))
	})
}
