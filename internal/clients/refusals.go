// Package clients limits what the clients of a server can use up: connections, memory for request bodies, and
// time. A client that nobody controls loses its request or its connection; others are served.
package clients

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
)

// Cause says why a request was rejected or a connection closed.
type Cause string

// Causes of rejected requests and closed connections.
const (
	// BodyBudget means that an incomplete body was abandoned because bodies had used up their memory.
	BodyBudget Cause = "body-budget"
	// Handling means that a whole body was rejected because too many were being decoded or handled.
	Handling Cause = "handling"
	// BodyTimeout means that a body did not arrive in time.
	BodyTimeout Cause = "body-timeout"
	// BodySize means that a body exceeded the size limit.
	BodySize Cause = "body-size"
	// HeaderTimeout means that the header of a request did not arrive in time.
	HeaderTimeout Cause = "header-timeout"
	// HeaderSize means that the header of a request exceeded the size limit.
	HeaderSize Cause = "header-size"
	// Idle means that a connection without a request reached the idle timeout.
	Idle Cause = "idle"
	// Connections means that the connection had waited longest when the limit of connections was reached.
	Connections Cause = "connections"
	// UnreadAnswer means that the client did not take its answers.
	UnreadAnswer Cause = "unread-answer"
)

// refusalLogInterval is the minimum time between two log lines about refusals.
const refusalLogInterval = 5 * time.Second

// Refusals counts rejected requests and closed connections by cause, in metrics and in a log line of bounded rate.
type Refusals struct {
	metrics *metrics.Set
	logger  *log.Logger

	mu sync.Mutex
	// pending is the numbers since the last log line.
	pending  map[Cause]int
	loggedAt time.Time
}

// NewRefusals returns a recorder that has counted nothing.
func NewRefusals(set *metrics.Set, logger *log.Logger) *Refusals {
	return &Refusals{metrics: set, logger: logger, pending: make(map[Cause]int)}
}

// Count counts one rejected request or closed connection. Idle connections are not logged: they are usual.
func (r *Refusals) Count(cause Cause) {
	r.metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderbend_clients_refused_total{cause=%q}`, string(cause))).Inc()
	if cause == Idle {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[cause]++
	r.logLocked()
}

// Flush logs what was counted since the last line, unless that line is too recent.
func (r *Refusals) Flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked()
}

func (r *Refusals) logLocked() {
	if len(r.pending) == 0 || time.Since(r.loggedAt) < refusalLogInterval {
		return
	}
	line := r.logger.Warn()
	for cause, n := range r.pending {
		line.Int(string(cause), n)
	}
	line.Msg("clients refused")
	clear(r.pending)
	r.loggedAt = time.Now()
}
