package gateway

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// gatewayMetrics are described in docs/operators/policy-requests.md.
type gatewayMetrics struct {
	set       *metrics.Set
	received  *metrics.Counter
	attempts  *metrics.Counter
	retries   *metrics.Counter
	ejections *metrics.Counter
	refused   *metrics.Counter
	duration  *metrics.Histogram
}

func newMetrics() *gatewayMetrics {
	set := metrics.NewSet()
	return &gatewayMetrics{
		set:       set,
		received:  set.NewCounter("oleanderbend_gateway_requests_received_total"),
		attempts:  set.NewCounter("oleanderbend_gateway_attempts_total"),
		retries:   set.NewCounter("oleanderbend_gateway_retries_total"),
		ejections: set.NewCounter("oleanderbend_gateway_ejections_total"),
		refused:   set.NewCounter("oleanderbend_gateway_connections_refused_total"),
		duration:  set.NewHistogram("oleanderbend_gateway_request_duration_seconds"),
	}
}

// ended counts the one outcome of a request.
func (m *gatewayMetrics) ended(o outcome, reason string) {
	name := fmt.Sprintf("oleanderbend_gateway_requests_total{outcome=%q,reason=%q}", o, reason)
	m.set.GetOrCreateCounter(name).Inc()
}

// gauges registers the gauges that read the state of the core.
func (m *gatewayMetrics) gauges(c *core) {
	locked := func(read func() int) func() float64 {
		return func() float64 {
			c.mu.Lock()
			defer c.mu.Unlock()
			return float64(read())
		}
	}
	m.set.NewGauge("oleanderbend_gateway_queued_requests", locked(func() int { return c.queue.Queued() }))
	m.set.NewGauge("oleanderbend_gateway_running_requests", locked(func() int { return c.queue.Running() }))
	m.set.NewGauge("oleanderbend_gateway_flows", locked(func() int { return c.queue.Flows() }))
	m.set.NewGauge("oleanderbend_gateway_slots", locked(func() int {
		_, total := c.table.Capacity(c.now())
		return total
	}))
	m.set.NewGauge("oleanderbend_gateway_targets_out", locked(func() int {
		out := 0
		for _, t := range c.table.States(c.now()) {
			if t.Ejected {
				out++
			}
		}
		return out
	}))
}
