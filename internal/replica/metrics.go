package replica

import (
	"errors"
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/state"
)

// replicaMetrics contains the metrics of a replica. They are documented in
// docs/design/state.md.
type replicaMetrics struct {
	set              *metrics.Set
	applied          *metrics.Counter
	entriesSkipped   *metrics.Counter
	appends          *metrics.Counter
	readFailures     *metrics.Counter
	recordsFromPeers *metrics.Counter
	stateCopies      *metrics.Counter
	snapshots        *metrics.Counter
	snapshotFailures *metrics.Counter
	writeSeconds     *metrics.Histogram
}

func newMetrics(set *metrics.Set, r *Replica) replicaMetrics {
	set.GetOrCreateGauge("oleanderbend_replica_applied_offset", func() float64 { return float64(r.Applied()) })
	set.GetOrCreateGauge("oleanderbend_replica_policy_version", func() float64 {
		var version float64
		r.Read(func(s *state.State) { version = float64(s.PolicyVersion) })
		return version
	})
	set.GetOrCreateGauge("oleanderbend_replica_ready", func() float64 {
		if r.IsReady() {
			return 1
		}
		return 0
	})
	set.GetOrCreateGauge("oleanderbend_replica_log_failing", func() float64 {
		if r.logHealth.isFollowFailing() {
			return 1
		}
		return 0
	})
	return replicaMetrics{
		set:              set,
		applied:          set.GetOrCreateCounter("oleanderbend_replica_records_applied_total"),
		entriesSkipped:   set.GetOrCreateCounter("oleanderbend_replica_entries_skipped_total"),
		appends:          set.GetOrCreateCounter("oleanderbend_replica_appends_total"),
		readFailures:     set.GetOrCreateCounter("oleanderbend_replica_log_read_failures_total"),
		recordsFromPeers: set.GetOrCreateCounter("oleanderbend_replica_records_from_peers_total"),
		stateCopies:      set.GetOrCreateCounter("oleanderbend_replica_state_copies_total"),
		snapshots:        set.GetOrCreateCounter("oleanderbend_replica_snapshots_written_total"),
		snapshotFailures: set.GetOrCreateCounter("oleanderbend_replica_snapshot_failures_total"),
		writeSeconds:     set.GetOrCreateHistogram("oleanderbend_replica_write_seconds"),
	}
}

// countWrite counts a write by its outcome: the code of the verdict, "not-applied" or "unknown".
func (m replicaMetrics) countWrite(v state.Verdict, err error) {
	outcome := string(v.Code)
	switch {
	case errors.Is(err, state.ErrNotApplied):
		outcome = "not-applied"
	case err != nil:
		outcome = "unknown"
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("oleanderbend_replica_writes_total{outcome=%q}", outcome)).Inc()
}
