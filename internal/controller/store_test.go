package controller

import (
	"bytes"
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
)

// rejectingLog is a log that rejects appends with certain records.
type rejectingLog struct {
	ledger.Log
	rejects func(topic string, r ledger.Record) bool
}

func (l rejectingLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	for _, r := range a.Records {
		if l.rejects(a.Topic, r) {
			return ledger.AppendResult{}, ledger.ErrRejected
		}
	}
	return l.Log.Append(ctx, a)
}

// Guards against a rejected write that ends the term of each leader, since each of them tries it again. Other jobs go on meanwhile, and
// the job itself once the log accepts its records.
func TestRejectedWritesDoNotEndTheTerm(t *testing.T) {
	isTask := func(topic string, r ledger.Record) bool {
		return topic == batch.TasksTopic && strings.HasPrefix(r.Key, jobID(1))
	}
	for name, rejects := range map[string]func(topic string, r ledger.Record) bool{
		"placement": func(topic string, r ledger.Record) bool {
			return isTask(topic, r) && bytes.Contains(r.Value, []byte(`"w":`))
		},
		"end": func(topic string, r ledger.Record) bool {
			return isTask(topic, r) && len(r.Value) > 0 && !bytes.Contains(r.Value, []byte(`"w":`))
		},
		"removal of task records": func(topic string, r ledger.Record) bool { return isTask(topic, r) && len(r.Value) == 0 },
		"phase":                   func(_ string, r ledger.Record) bool { return r.Key == "p/"+jobID(1) },
		"description of closed job": func(topic string, r ledger.Record) bool {
			return topic == batch.JobsTopic && r.Key == "j/"+jobID(1)
		},
	} {
		t.Run(name, func(t *testing.T) {
			inVirtualTime(t, 1, fixedWork(time.Second), func(c *cluster) {
				var rejecting atomic.Bool
				rejecting.Store(true)
				c.wrapLog = func(log ledger.Log) ledger.Log {
					return rejectingLog{log, func(topic string, r ledger.Record) bool { return rejecting.Load() && rejects(topic, r) }}
				}
				c.addWorker("w1", "r1")
				a := c.startInstance("a")
				c.submit(jobID(1), batch.Step{Count: 3, CPU: 1000, EstimateMS: 1000})
				c.submit(jobID(2), batch.Step{Count: 1, CPU: 1000, EstimateMS: 1000})
				c.waitFor(5*time.Second, "other job", func() bool { return c.phase(jobID(2)) == batch.Completed })
				first := a.control.currentLeader()
				time.Sleep(10 * time.Second)
				rejecting.Store(false)
				c.waitFor(maxRejectedPause, "job", func() bool { return c.phase(jobID(1)) == batch.Completed })
				time.Sleep(maxRejectedPause)
				require.NotNil(t, first)
				require.Same(t, first, a.control.currentLeader(), "the term went on")
				require.Empty(t, c.log.LatestValues(batch.TasksTopic), "closed")
				for n := range 3 {
					require.Equal(t, 1, c.fleet.Starts(firstStepTask(1, n)))
				}
				require.Empty(t, c.fleet.Violations())
			})
		})
	}
}

// Guards against terms that end because more runs end at once than the queue for the log has room for.
func TestFullWriteQueueDoesNotEndTheTerm(t *testing.T) {
	const writes = writeQueueLimit + 5000
	l := leaderWithLoad(t, 1, 0, 0)
	for range writes {
		l.enqueue(l.taskWriter, nil, func() {}, func() {})
	}
	require.NoError(t, l.ctx.Err())
	require.Len(t, l.overflow[l.taskWriter], writes-writeQueueLimit)
	l.queueOverflow()
	require.Len(t, l.overflow[l.taskWriter], writes-writeQueueLimit, "the queue is still full")
}
