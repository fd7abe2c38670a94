// Package api serves the resource API of the operators over HTTP and JSON.
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

// Name is the name of the service in the kernel.
const Name = "api"

// Limits of the server.
const (
	// maxBodyBytes bounds a request body: a job's largest payload, escaped, and its labels.
	maxBodyBytes = 128 << 10
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// maxConnections bounds the connections of all operators together.
	maxConnections = 256
	// headTimeout and bodyTimeout bound slow senders, idleTimeout unused connections.
	headTimeout = 5 * time.Second
	bodyTimeout = 20 * time.Second
	idleTimeout = 60 * time.Second
	// answerTimeout bounds the writing of one answer or of one line of a watch.
	answerTimeout = 20 * time.Second
	// writeTimeout is how long a write waits for its verdict.
	writeTimeout = 10 * time.Second
)

// ErrUnprotectedAddress means that an operator address beyond loopback has no tokens.
var ErrUnprotectedAddress = errors.New("api: operator address is not loopback and no tokens are set")

// GuaranteeChecker says whether a guarantee can be honoured.
type GuaranteeChecker interface {
	// CheckGuarantee returns the zone that would honour the guarantee and the verdict. An
	// error means that the check could not be made.
	CheckGuarantee(ctx context.Context, g *resource.Guarantee) (zone string, result scheduler.GuaranteeResult, err error)
}

// ZoneChooser chooses the zone of a new job.
type ZoneChooser interface {
	// ChooseZone returns the zone whose leader will place the job, or a reason why no zone can
	// ever hold it.
	ChooseZone(ctx context.Context, job *resource.Job) (zone, refusal string, err error)
}

// Explainer says why a queued job is not placed.
type Explainer interface {
	// Waiting returns the reason that holds now, or false if the job does not wait.
	Waiting(ctx context.Context, job string) (scheduler.Waiting, bool, error)
}

// Readiness tells whether the instance may serve.
type Readiness interface {
	IsReady() bool
}

// Dependencies are what the API uses. Reader, Writer, Ready, Now and Logger are required.
type Dependencies struct {
	// ID is the id of this instance.
	ID     string
	Reader state.Reader
	Writer state.Writer
	Ready  Readiness
	// View is the membership; nil for a single instance.
	View membership.View
	// Peers fetches the timelines of the other instances and Registrar serves this one's; nil
	// for a single instance.
	Peers     peer.Caller
	Registrar peer.Registrar
	// Guarantees, Zones and Explainer may be nil; then guarantees are refused, jobs get no
	// zone, and jobs are not explained.
	Guarantees GuaranteeChecker
	Zones      ZoneChooser
	Explainer  Explainer
	Now        func() time.Time
	Logger     *log.Logger
	Events     *timeline.Recorder
	// Metrics are written at /metrics and get the counters of the API.
	Metrics *metrics.Set
	// Addr is the operator address. Tokens and TLS are as in the settings.
	Addr   string
	Tokens []settings.Token
	TLS    settings.TLS
}

// API is the service.
type API struct {
	deps    Dependencies
	tokens  tokens
	kernel  *kernel.Kernel
	server  *http.Server
	handler http.Handler
	addr    net.Addr
	// stopping is closed when a stop begins, to end the watches.
	stopping chan struct{}
	watches  atomic.Int32
}

var _ kernel.Service = (*API)(nil)

// New returns the service. It listens after Start.
func New(deps Dependencies) *API {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewSet()
	}
	a := &API{deps: deps, tokens: newTokens(deps.Tokens), stopping: make(chan struct{})}
	a.handler = a.routes()
	return a
}

// Handler returns the HTTP handler of all paths of the operator address.
func (a *API) Handler() http.Handler { return a.handler }

// Addr returns the address of the listener, or nil before Start.
func (a *API) Addr() net.Addr { return a.addr }

// Provision implements kernel.Service. It returns ErrOpenAddress if anyone on the network
// could operate the system.
func (a *API) Provision(k *kernel.Kernel) error {
	a.kernel = k
	if len(a.deps.Tokens) == 0 && !isLoopback(a.deps.Addr) {
		return eris.Wrap(ErrUnprotectedAddress, a.deps.Addr)
	}
	if a.deps.Registrar == nil {
		return nil
	}
	return eris.Wrap(a.deps.Registrar.Register(rpcName, &Receiver{events: a.deps.Events}), "register timeline calls")
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

// serveOn prepares the server and returns the function that runs it.
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
		Handler: a.handler, ReadHeaderTimeout: headTimeout, ReadTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		BaseContext: func(net.Listener) context.Context { return ctx },
		ErrorLog:    a.deps.Logger.Std("", 0),
	}
	return func(context.Context) error {
		if err := a.server.Serve(limited); !errors.Is(err, http.ErrServerClosed) {
			return eris.Wrap(err, "serve operators")
		}
		return nil
	}, nil
}

// Stop implements kernel.Service. Watches end; requests in progress are finished.
func (a *API) Stop(ctx context.Context) error {
	close(a.stopping)
	if a.server == nil {
		return nil
	}
	return eris.Wrap(a.server.Shutdown(ctx), "stop serving operators")
}

// routes returns the handler of all paths.
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
