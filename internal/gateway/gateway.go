// Package gateway is the HTTP reverse proxy between callers and targets. It queues each request
// until it gets a slot of a target, streams the bodies of the request and of the response, and
// retries failed attempts if that is safe. Each request ends with exactly one outcome: answer (a
// target's response was forwarded), not-run or unknown.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/admission"
	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/idempotency"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// Name is the name under which the service is registered at the kernel.
const Name = "gateway"

const (
	// instanceListPeriod is the period at which the platform's instance list is read. Together
	// with the notices of leaving targets in membership probes, it ensures that a target gets no
	// new requests more than 2 s after it began to leave.
	instanceListPeriod = 500 * time.Millisecond
	// tickPeriod is the period at which requests past their deadline are rejected and slots are
	// assigned that have become free without the end of a request, such as those of a target
	// whose ejection has ended.
	tickPeriod = 100 * time.Millisecond
	// drainGrace is the wait at the start of a stop, before the listener and idle connections are
	// closed. Responses carry "Connection: close" during this time, which lets callers open their
	// next connection to another instance.
	drainGrace = 200 * time.Millisecond
	// maxPublishedLeaving limits the number of leaving targets in membership probes. If there are
	// more, the oldest are not published.
	maxPublishedLeaving = 64
)

// Gateway forwards the requests that callers send to one instance.
type Gateway struct {
	cfg        Config
	limits     Limits
	now        func() time.Time
	dispatcher *dispatcher
	metrics    *gatewayMetrics
	log        *log.Logger
	kernel     *kernel.Kernel
	server     *http.Server
	listener   net.Listener
	draining   atomic.Bool
	slots      *slotSharing
	keys       *idempotency.Service
}

// New returns a gateway. Provision checks its configuration.
func New(cfg Config) *Gateway {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Seed == 0 {
		cfg.Seed = rand.Uint64()
	}
	if cfg.Logger == nil {
		cfg.Logger = &log.Logger{Level: log.PanicLevel, Writer: log.IOWriter{Writer: discard{}}}
	}
	g := &Gateway{cfg: cfg, limits: cfg.Limits.withDefaults(), now: cfg.Now, metrics: newMetrics(), log: cfg.Logger}
	g.dispatcher = &dispatcher{now: cfg.Now, queue: admission.New(cfg.Seed), queueingBegan: make(chan struct{}, 1)}
	return g
}

type discard struct{}

// Write implements io.Writer.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Metrics returns the metrics of the gateway.
func (g *Gateway) Metrics() *metrics.Set { return g.metrics.set }

// Addr returns the address of the caller listener. It must not be called before Start.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Provision implements kernel.Service. It returns ErrConfig if a required dependency or setting
// is missing, and otherwise the error of a failed registration of an RPC receiver.
func (g *Gateway) Provision(k *kernel.Kernel) error {
	g.kernel = k
	if err := g.cfg.check(); err != nil {
		return err
	}
	g.slots = newSlotSharing(g)
	g.dispatcher.table = dispatch.New(g.cfg.Seed, func(t platform.Instance) int {
		return g.slots.grants.Allowance(g.now(), t.ID)
	})
	g.metrics.registerGauges(g.dispatcher)
	if err := g.slots.register(); err != nil {
		return err
	}
	var err error
	g.keys, err = idempotency.New(g.cfg.ID, g.cfg.Caller, g.cfg.Registrar, g.now, g.cfg.NoEarlierKeys)
	return err
}

// Start implements kernel.Service. It listens on Config.Addr and starts the goroutines.
func (g *Gateway) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", g.cfg.Addr)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	g.listener = newLimitedListener(listener, g.limits, g.metrics.connectionsRejected.Inc)
	g.server = &http.Server{
		Handler:           g,
		TLSConfig:         g.cfg.TLS,
		ReadHeaderTimeout: g.limits.HeaderTimeout,
		IdleTimeout:       g.limits.KeepAliveIdle,
		MaxHeaderBytes:    g.limits.HeaderBytes,
		// nil means that net/http writes its errors to the standard logger, not to g.log.
		ErrorLog: nil,
	}
	g.applyState()
	g.readInstances(ctx)
	g.kernel.Go(Name, "serve", g.serve)
	g.kernel.Go(Name, "follow", g.followChanges)
	g.kernel.Go(Name, "tick", g.expirePeriodically)
	g.kernel.Go(Name, "slots", g.slots.run)
	g.kernel.Go(Name, "keys", g.keys.Recover)
	g.log.Info().Str("addr", g.Addr()).Msg("gateway-started")
	return nil
}

func (g *Gateway) serve(context.Context) error {
	var err error
	if g.cfg.TLS != nil {
		err = g.server.ServeTLS(g.listener, "", "")
	} else {
		err = g.server.Serve(g.listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve callers")
}

// Stop implements kernel.Service. It publishes that the instance is draining, waits drainGrace,
// closes the listener and waits for the requests in progress. If they do not end before ctx, it
// closes their connections and returns the context's error.
func (g *Gateway) Stop(ctx context.Context) error {
	g.draining.Store(true)
	g.event(timeline.TypeShutdown, "gateway-draining", "", "")
	g.cfg.View.Publish(func(info *membership.Info) { info.Draining = true })
	sleep(ctx, drainGrace)
	err := g.server.Shutdown(ctx)
	if err != nil {
		_ = g.server.Close()
		return eris.Wrap(err, "stop gateway: the connections of requests in progress were closed")
	}
	g.event(timeline.TypeShutdown, "gateway-stopped", "", "")
	return nil
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	started := g.now()
	g.metrics.received.Inc()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	o, reason := g.serveExchange(w, r)
	g.metrics.countOutcome(o, reason)
	g.metrics.duration.Update(g.now().Sub(started).Seconds())
	if reason == reasonResponseTruncated || reason == reasonCallerDisconnected {
		// Abort the connection, so that a truncated response does not look complete.
		panic(http.ErrAbortHandler)
	}
}

func (g *Gateway) serveExchange(w http.ResponseWriter, r *http.Request) (outcome, string) {
	if p := g.checkRequest(r); p != nil {
		p.write(w, "")
		return p.outcome, p.reason
	}
	headers, err := parseHeaders(r.Method, r.Header)
	if err != nil {
		p := problem{outcome: outcomeNotRun, status: http.StatusBadRequest, reason: reasonInvalid, detail: err.Error()}
		p.write(w, "")
		return p.outcome, p.reason
	}
	x := newExchange(g, w, r, headers)
	o, reason := x.run()
	if o != outcomeAnswer {
		g.log.Info().Str("request", headers.id).Str("organisation", headers.flow.Organisation).Str("caller", headers.flow.Caller).
			Str("kind", headers.flow.Kind).Str("outcome", string(o)).Str("reason", reason).Int("attempts", x.attempts).
			Str("target", x.target).Msg("request-ended")
	}
	return o, reason
}

// checkRequest returns the problem of a request that is not forwarded, or nil. Paths below /-/ are
// those of the platform's control interfaces.
func (g *Gateway) checkRequest(r *http.Request) *problem {
	switch {
	case strings.HasPrefix(r.URL.Path, "/-/") || r.Method == http.MethodConnect:
		return &problem{outcome: outcomeNotRun, status: http.StatusNotFound, reason: reasonNotFound, detail: "this path is not forwarded"}
	case r.ContentLength > g.limits.BodyBytes:
		return &problem{outcome: outcomeNotRun, status: http.StatusRequestEntityTooLarge, reason: reasonBodyTooLarge, detail: "the request body exceeds the limit"}
	default:
		return nil
	}
}

// event records a timeline event. request is the request id, or empty.
func (g *Gateway) event(eventType timeline.Type, name, request, reason string) {
	g.cfg.Recorder.Record(timeline.Event{Type: eventType, Name: name, Request: request, Reason: reason})
}
