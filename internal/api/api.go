// Package api serves the resource API for operators as JSON over HTTP.
package api

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/certs"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// Name is the service name that is registered with the kernel.
const Name = "api"

// Limits of the server.
const (
	// maxBodyBytes limits a request body. It fits the largest payload of a job in escaped form
	// and the job's labels.
	maxBodyBytes = 128 << 10
	// maxHeaderBytes limits the request line and headers of a request.
	maxHeaderBytes = 16 << 10
	// maxConnections limits the open connections of all callers together.
	maxConnections = 256
	// headerTimeout and bodyTimeout limit how long a caller may take to send the headers and the
	// whole request; idleTimeout closes unused keep-alive connections.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 20 * time.Second
	idleTimeout   = 60 * time.Second
	// responseTimeout limits the time for writing one response or one batch of watch lines.
	responseTimeout = 20 * time.Second
	// writeTimeout limits how long a PUT or DELETE waits for the verdict on its record.
	writeTimeout = 10 * time.Second
)

// ErrUnprotectedAddress is returned when the operator address is not a loopback address and no
// tokens are configured.
var ErrUnprotectedAddress = errors.New("api: operator address is not loopback and no tokens are set")

// GuaranteeChecker checks whether a guarantee can be honoured.
type GuaranteeChecker interface {
	// CheckGuarantee returns the zone that would provide the guaranteed capacity and the result
	// of the check. It returns an error if the check could not be made.
	CheckGuarantee(ctx context.Context, g *resource.Guarantee) (zone string, result scheduler.GuaranteeResult, err error)
}

// ZoneChooser chooses the zone of a new job.
type ZoneChooser interface {
	// ChooseZone returns the zone whose leader will place the job. If the job cannot fit in any
	// zone, rejection is the reason; otherwise rejection is empty.
	ChooseZone(ctx context.Context, job *resource.Job) (zone, rejection string, err error)
}

// Explainer explains why a queued job has not been placed.
type Explainer interface {
	// Waiting returns the current reason, or false if the job is not waiting.
	Waiting(ctx context.Context, job string) (scheduler.Waiting, bool, error)
}

// Readiness reports whether the instance is ready to serve requests.
type Readiness interface {
	IsReady() bool
}

// Dependencies holds the collaborators and settings of the API. Reader, Writer, Ready, Now and
// Logger are required.
type Dependencies struct {
	// ID is the id of this instance.
	ID     string
	Reader state.Reader
	Writer state.Writer
	Ready  Readiness
	// View lists the instances; nil for a single instance.
	View membership.View
	// Peers is used to fetch the timelines of the other instances, Registrar to serve the
	// timeline of this one to them. Both are nil for a single instance.
	Peers     peer.Caller
	Registrar peer.Registrar
	// Guarantees, Zones and Explainer are optional. Without Guarantees, writes of guarantees are
	// rejected; without Zones, jobs get no zone; without Explainer, the response for a queued job
	// has no reason.
	Guarantees GuaranteeChecker
	Zones      ZoneChooser
	Explainer  Explainer
	Now        func() time.Time
	Logger     *log.Logger
	Events     *timeline.Recorder
	// Metrics is served at /metrics. The API registers its own metrics in it.
	Metrics *metrics.Set
	// Addr is the operator address, as host:port. Tokens and TLS come from the settings.
	Addr   string
	Tokens []settings.Token
	TLS    settings.TLS
}

// API is the HTTP service for operators. It implements kernel.Service.
type API struct {
	deps    Dependencies
	tokens  tokens
	kernel  *kernel.Kernel
	server  *http.Server
	handler http.Handler
	addr    net.Addr
	// stopping is closed when Stop begins, which ends all watches.
	stopping chan struct{}
	watches  atomic.Int32
}

var _ kernel.Service = (*API)(nil)

// New returns the service. It does not listen before Start is called.
func New(deps Dependencies) *API {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewSet()
	}
	a := &API{deps: deps, tokens: newTokens(deps.Tokens), stopping: make(chan struct{})}
	a.handler = a.routes()
	return a
}

// Handler returns the HTTP handler for all paths of the operator address.
func (a *API) Handler() http.Handler { return a.handler }

// Addr returns the address of the listener, or nil before Start.
func (a *API) Addr() net.Addr { return a.addr }

// Provision implements kernel.Service. It returns ErrUnprotectedAddress if the settings would let
// anyone on the network operate the system without a token.
func (a *API) Provision(k *kernel.Kernel) error {
	a.kernel = k
	if len(a.deps.Tokens) == 0 && !isLoopback(a.deps.Addr) {
		return eris.Wrap(ErrUnprotectedAddress, a.deps.Addr)
	}
	if a.deps.Registrar == nil {
		return nil
	}
	return eris.Wrap(a.deps.Registrar.Register(rpcName, &Receiver{events: a.deps.Events}), "register the timeline RPC receiver")
}

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

// Start implements kernel.Service.
func (a *API) Start(ctx context.Context) error {
	listener, err := net.Listen("tcp", a.deps.Addr)
	if err != nil {
		return eris.Wrap(err, "listen on the operator address")
	}
	a.addr = listener.Addr()
	serve, err := a.serveOn(ctx, listener)
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	if a.kernel == nil {
		go func() { _ = serve(ctx) }()
	} else {
		a.kernel.Go(Name, "serve", serve)
	}
	a.deps.Logger.Info().Str("event", "operators-served").Str("addr", a.addr.String()).Msg("")
	return nil
}

// serveOn configures the HTTP server for listener and returns the function that runs it.
func (a *API) serveOn(ctx context.Context, listener net.Listener) (func(context.Context) error, error) {
	limited := limitListener(listener, maxConnections)
	if a.deps.TLS.CertFile != "" {
		config, err := certs.ServerConfig(a.deps.TLS, a.deps.Now)
		if err != nil {
			return nil, err
		}
		config.NextProtos = []string{"http/1.1"}
		limited = tls.NewListener(limited, config)
	}
	a.server = &http.Server{
		Handler: a.handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    a.deps.Logger.Std("", 0),
	}
	return func(context.Context) error {
		if err := a.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve on the operator address")
		}
		return nil
	}, nil
}

// Stop implements kernel.Service. It ends all watches and waits for requests in progress.
func (a *API) Stop(ctx context.Context) error {
	close(a.stopping)
	if a.server == nil {
		return nil
	}
	return eris.Wrap(a.server.Shutdown(ctx), "shut down the operator server")
}

// routes returns the handler for all paths.
func (a *API) routes() http.Handler {
	mux := http.NewServeMux()
	read := func(pattern string, h handlerFunc) { mux.Handle(pattern, a.wrap(roleRead, h)) }
	operate := func(pattern string, h handlerFunc) { mux.Handle(pattern, a.wrap(roleOperate, h)) }
	read("GET /v1/instances", a.getInstances)
	read("GET /v1/timeline", a.getTimeline)
	read("GET /v1/requests/{id}", a.getRequest)
	read("GET /v1/explain/jobs/{name}", a.explainJob)
	read("GET /v1/{kind}", a.listOrWatch)
	read("GET /v1/{kind}/{name}", a.get)
	operate("PUT /v1/{kind}/{name}", a.put)
	operate("DELETE /v1/{kind}/{name}", a.delete)
	read("GET /metrics", a.getMetrics)
	mux.Handle("GET /-/healthy", a.wrap(roleNone, a.healthy))
	mux.Handle("GET /-/ready", a.wrap(roleNone, a.ready))
	mux.Handle("/", a.wrap(roleNone, a.unknownPath))
	return mux
}
