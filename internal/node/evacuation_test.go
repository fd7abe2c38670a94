package node

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/worker"
	"github.com/oleanderbend/oleanderbend/internal/worker/workertest"
)

// Guards against a zone that stays evacuated after its record was lost with the history of the log, against one that is not
// evacuated because the value of its record is unreadable, and against reads that wait longer than the bound permits.
func TestEvacuationsFollowOperatorRecords(t *testing.T) {
	n := New(Settings{Timing: Timing{EvacuationBound: 5 * time.Second}}, Platform{
		Log:        ledgertest.New(1).Client(),
		IsConfig:   func(ledger.Record) bool { return false },
		DecodeWave: func(ledger.Record) (worker.Wave, bool, error) { return worker.Wave{}, false, nil },
		DecodeEvacuation: func(e ledger.Entry) (evacuation.Change, bool, error) {
			var err error
			if string(e.Value) == "odd" {
				err = errors.New("odd")
			}
			return evacuation.Change{Key: e.Key, Zone: e.Key, Evacuated: len(e.Value) > 0, Offset: e.Offset}, !strings.HasPrefix(e.Key, "other"), err
		},
	}, logging.Discard())
	apply := func(reset bool, keysAndValues ...string) {
		u := ledger.Update{Reset: reset}
		for i := 0; i < len(keysAndValues); i += 2 {
			u.Entries = append(u.Entries, ledger.Entry{Record: ledger.Record{Key: keysAndValues[i], Value: []byte(keysAndValues[i+1])}, Offset: int64(i / 2)})
		}
		n.applyOperatorRecords(u)
	}
	apply(true, "a", "{}", "b", "odd", "other", "{}")
	require.Equal(t, map[string]int64{"a": 0, "b": 1}, n.evacuations().Zones)
	require.False(t, n.evacuations().Synced, "the follower has read nothing")
	apply(false, "a", "")
	require.Equal(t, map[string]int64{"b": 1}, n.evacuations().Zones)
	apply(false, "other", "{}")
	require.Equal(t, map[string]int64{"b": 1}, n.evacuations().Zones)
	apply(true)
	require.Empty(t, n.evacuations().Zones)
	require.Equal(t, configWait, n.operatorWaitLimit(), "does not lead")
}

// operatorFault is a log whose topic of the operator's records can be made unreadable, while all other topics stay readable.
type operatorFault struct {
	ledger.Log
	topic string
	down  atomic.Bool
}

func (l *operatorFault) Read(ctx context.Context, topic string, from int64, wait time.Duration) (ledger.Page, error) {
	page, err := l.Log.Read(ctx, topic, from, wait)
	if topic == l.topic && l.down.Load() {
		return ledger.Page{}, eris.Wrap(ledger.ErrUnavailable, "down")
	}
	return page, err
}

// Guards against a leader that starts work on the basis of a copy of the operator's records that is older than the limit, and
// against a leader whose reads wait so long that its copy exceeds the limit although the log responds. The bound is so low
// that a read without the leader's limit of the wait (configWait) would exceed it.
func TestLeaderStartsNothingOnOldOperatorRecords(t *testing.T) {
	const bound = 1200 * time.Millisecond
	const limit = 720 * time.Millisecond // 0.6 of the bound
	synctest.Test(t, func(t *testing.T) {
		defer boottime.Simulate()()
		store := ledgertest.New(1)
		records := &operatorFault{Log: store.Client(), topic: "orders"}
		fleet := workertest.NewFleet(1, func(batch.TaskID) workertest.Work { return workertest.Work{Duration: 100 * time.Millisecond} })
		config := &opconfig.Config{
			Version: 1, Queues: []opconfig.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", MaxFailedRuns: 3, DurationFactor: 3}},
			Orgs: []opconfig.Org{{Name: "o", Keys: []string{"k"}}},
		}
		config.BuildIndexes()
		n := New(Settings{Name: "a", IP: "a", Cores: 1, HeartbeatInterval: time.Second, Timing: Timing{EvacuationBound: bound, MaxLease: 6 * time.Second, FinishedJobRetention: time.Minute}}, Platform{
			Log: records, Workers: fleet, OperatorTopic: records.topic, WorkersTopic: "workers", StatusTopic: "reports",
			IsConfig:         func(r ledger.Record) bool { return r.Key == "config" },
			DecodeConfig:     func(ledger.Record) (*opconfig.Config, error) { return config, nil },
			DecodeWave:       func(ledger.Record) (worker.Wave, bool, error) { return worker.Wave{}, false, nil },
			DecodeEvacuation: func(ledger.Entry) (evacuation.Change, bool, error) { return evacuation.Change{}, false, nil },
			DecodeWorker: func(r ledger.Record) (info worker.Info, err error) {
				err = json.Unmarshal(r.Value, &info)
				return info, err
			},
		}, logging.Discard())
		write := func(topic string, r ledger.Record) {
			_, err := store.Client().Append(t.Context(), ledger.Append{Topic: topic, Records: []ledger.Record{r}, ExpectedEnd: ledger.AnyEnd})
			require.NoError(t, err)
		}
		submit := func(id string) {
			r, err := batch.EncodeJob(&batch.Job{ID: id, Queue: "q", Org: "o", AcceptedMS: time.Now().UnixMilli(), Rules: intake.QueueRulesOf(&config.Queues[0]), Steps: []batch.Step{{Count: 1, CPU: 1000, EstimateMS: 100}}})
			require.NoError(t, err)
			write(batch.JobsTopic, r)
		}
		starts := func(id string) int {
			count, _ := fleet.JobCounts(id)
			return count
		}
		write(records.topic, ledger.Record{Key: "config", Value: []byte("{}")})
		info, err := json.Marshal(fleet.Add(worker.Info{ID: "w", Service: "s", Zone: "z", CPU: 8000, MemoryMB: 8000, GPU: 8}, 1))
		require.NoError(t, err)
		write("workers", ledger.Record{Key: "w", Value: info})
		ctx, stop := context.WithCancel(t.Context())
		var running sync.WaitGroup
		for _, run := range []func(context.Context){n.operatorFollower.Run, n.jobsFollower.Run, n.electionFollower.Run, n.controller.WatchClock, n.elector.Run} {
			running.Go(func() { run(ctx) })
		}
		defer func() { stop(); running.Wait(); fleet.Clear() }()
		time.Sleep(8 * time.Second)
		require.True(t, n.isLeader())
		for range 300 {
			require.Less(t, n.evacuations().Age, limit)
			time.Sleep(10 * time.Millisecond)
		}
		submit("0000000000000001")
		time.Sleep(limit)
		require.Equal(t, 1, starts("0000000000000001"))

		records.down.Store(true)
		time.Sleep(limit)
		submit("0000000000000002")
		time.Sleep(1500 * time.Millisecond)
		require.True(t, n.isLeader())
		require.Zero(t, starts("0000000000000002"), "the copy is older than the limit")
		records.down.Store(false)
		time.Sleep(limit)
		require.Equal(t, 1, starts("0000000000000002"))
	})
}
