package placement

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oleanderbend/oleanderbend/internal/gang"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Metrics of the package; docs/operators/control.md explains them.
var (
	stepSeconds     = metrics.GetOrCreateHistogram("oleanderbend_placement_step_seconds")
	takeoverSeconds = metrics.GetOrCreateHistogram("oleanderbend_placement_takeover_seconds")
	writesTotal     = metrics.GetOrCreateCounter("oleanderbend_placement_writes_total")
	writesFailed    = metrics.GetOrCreateCounter("oleanderbend_placement_writes_failed_total")
)

func countEnd(outcome gang.Outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleanderbend_placement_attempts_ended_total{outcome=%q}", outcome)).Inc()
}

func countEvent(name string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("oleanderbend_placement_events_total{event=%q}", name)).Inc()
}

// countCall counts a call to a worker by kind and result, and records how long it took.
func countCall(kind gang.CallKind, err error, took time.Duration) {
	result := "ok"
	switch {
	case err == nil:
	case errors.Is(err, platform.ErrStaleEpoch):
		result = "stale-epoch"
	case errors.Is(err, platform.ErrUnknownOutcome):
		result = "unknown"
	case errors.Is(err, platform.ErrUnavailable):
		result = "unavailable"
	default:
		result = "refused"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("oleanderbend_placement_worker_calls_total{kind=%q,result=%q}", kind, result)).Inc()
	metrics.GetOrCreateHistogram("oleanderbend_placement_worker_call_seconds").Update(took.Seconds())
}
