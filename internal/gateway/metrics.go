package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// gatewayMetrics contains the metrics of a gateway. docs/operators/policy-requests.md describes
// them.
type gatewayMetrics struct {
	set                 *metrics.Set
	received            *metrics.Counter
	attempts            *metrics.Counter
	retries             *metrics.Counter
	ejections           *metrics.Counter
	connectionsRejected *metrics.Counter
	duration            *metrics.Histogram
}

func newMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set:                 set,
		received:            set.NewCounter("oleanderbend_gateway_requests_received_total"),
		attempts:            set.NewCounter("oleanderbend_gateway_attempts_total"),
		retries:             set.NewCounter("oleanderbend_gateway_retries_total"),
		ejections:           set.NewCounter("oleanderbend_gateway_ejections_total"),
		connectionsRejected: set.NewCounter("oleanderbend_gateway_connections_refused_total"),
		duration:            set.NewHistogram("oleanderbend_gateway_request_duration_seconds"),
	}
}

// countOutcome counts a request by its outcome and reason. It is called once for each request.
func (m *gatewayMetrics) countOutcome(o outcome, reason string) {
	name := fmt.Sprintf("oleanderbend_gateway_requests_total{outcome=%q,reason=%q}", o, reason)
	m.set.GetOrCreateCounter(name).Inc()
}

// registerGauges registers the gauges that read the state of the dispatcher.
func (m *gatewayMetrics) registerGauges(d *dispatcher) {
	locked := func(read func() int) func() float64 {
		return func() float64 {
			d.mu.Lock()
			defer d.mu.Unlock()
			return float64(read())
		}
	}
	m.set.NewGauge("oleanderbend_gateway_queued_requests", locked(func() int { return d.queue.Queued() }))
	m.set.NewGauge("oleanderbend_gateway_running_requests", locked(func() int { return d.queue.Running() }))
	m.set.NewGauge("oleanderbend_gateway_flows", locked(func() int { return d.queue.Flows() }))
	m.set.NewGauge("oleanderbend_gateway_slots", locked(func() int {
		_, total := d.table.Capacity(d.now())
		return total
	}))
	m.set.NewGauge("oleanderbend_gateway_targets_out", locked(func() int {
		ejected := 0
		for _, t := range d.table.States(d.now()) {
			if t.Ejected {
				ejected++
			}
		}
		return ejected
	}))
}
