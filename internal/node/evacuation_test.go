package node

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/worker"
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
