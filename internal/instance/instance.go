// Package instance assembles one instance of the serve command: it creates the services and registers
// them with a kernel.
package instance

import (
	"context"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/gateway"
	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/inventory"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/leadership"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/placement"
	"github.com/oleanderbend/oleanderbend/internal/platform/httpclient"
	"github.com/oleanderbend/oleanderbend/internal/replica"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// timelineEvents is the number of events that an instance retains. At about 300 bytes per event this
// is less than 2 MB.
const timelineEvents = 4096

// drainName is the kernel name of drainService.
const drainName = "drain"

// Instance is one serve process of the system.
type Instance struct {
	settings settings.Serve
	logger   *log.Logger
	now      func() time.Time
	kernel   *kernel.Kernel
	metrics  *metrics.Set
	recorder *timeline.Recorder
	// noEarlierKeys is the value of gateway.Config.NoEarlierKeys.
	noEarlierKeys bool

	peers      *peer.Service
	members    *membership.Service
	replica    *replica.Replica
	leadership *leadership.Service
	placement  *placement.Service
	gateway    *gateway.Gateway
	api        *api.API
}

// Option is an option of New.
type Option func(*Instance)

// WithNoEarlierKeys declares that the system starts for the first time, so that no idempotency key
// can have been used before.
func WithNoEarlierKeys() Option { return func(i *Instance) { i.noEarlierKeys = true } }

// New creates an instance that writes its log lines to out. Run starts it.
func New(s settings.Serve, out io.Writer, options ...Option) (*Instance, error) {
	i := &Instance{
		settings: s,
		logger:   logging.New(out, s.LogLevel, s.ID),
		now:      time.Now,
		kernel:   kernel.New(),
		metrics:  metrics.NewSet(),
	}
	for _, option := range options {
		option(i)
	}
	clock := hlc.New(i.now)
	i.recorder = timeline.NewRecorder(s.ID, clock, timelineEvents)
	if err := i.build(clock); err != nil {
		return nil, err
	}
	if err := i.register(); err != nil {
		return nil, err
	}
	return i, nil
}

// Run serves until ctx is done, then stops gracefully. The graceful stop ends after the stop timeout of
// the settings, or earlier when abort is done.
func (i *Instance) Run(ctx, abort context.Context) error {
	i.logger.Info().Str("zone", i.settings.Zone).Str("caller_addr", i.settings.CallerAddr).
		Str("operator_addr", i.settings.OperatorAddr).Msg("instance starting")
	err := i.kernel.Run(ctx, func() (context.Context, context.CancelFunc) {
		return context.WithTimeout(abort, time.Duration(i.settings.StopTimeout))
	})
	if err != nil {
		i.logger.Error().Err(err).Msg("instance stopped")
		return eris.Wrapf(err, "instance %s", i.settings.ID)
	}
	i.logger.Info().Msg("instance stopped")
	return nil
}

// IsReady reports whether the instance has recovered its state and is not stopping.
func (i *Instance) IsReady() bool { return i.replica.IsReady() && !i.members.Self().Info.Draining }

// Policy returns the policy in force at this instance.
func (i *Instance) Policy() resource.PolicySpec {
	var policy resource.PolicySpec
	i.replica.Read(func(s *state.State) { policy = s.Policy() })
	return policy
}

// Events returns the timeline events that this process recorded.
func (i *Instance) Events() []timeline.Event { return i.recorder.Events(timeline.Filter{}) }

// Leads reports whether this instance is the leader of the zone.
func (i *Instance) Leads(zone string) bool {
	return i.leadership.Leader(zone).Holder == i.settings.ID
}

// build creates the services.
func (i *Instance) build(clock *hlc.Clock) error {
	s := i.settings
	addrs := make(map[string]string, len(s.Peers))
	for _, p := range s.Peers {
		addrs[p.ID] = p.Addr
	}
	peers, err := peer.New(peer.Config{Listen: s.PeerAddr, Key: s.PeerKey, Peers: addrs}, clock, i.logger)
	if err != nil {
		return err
	}
	i.peers = peers
	i.members = i.newMembership()
	i.replica = i.newReplica()
	instances := inventory.New(httpclient.NewInstances(s.Platform.InstancesURL, httpclient.Options{}), i.now)
	i.leadership = leadership.New(leadership.Config{
		Self: s.ID, Peers: i.members, Reader: i.replica, Writer: i.replica, Tail: i.replica,
		Instances: instances, Now: i.now, Log: i.logger, Timeline: i.recorder,
	})
	i.placement = placement.New(placement.Config{
		Self: s.ID, Leadership: i.leadership, Reader: i.replica, Writer: i.replica, Tail: i.replica,
		Instances: instances, Workers: httpclient.NewWorkers(httpclient.Options{}),
		Publisher: i.members, Caller: peers, Registrar: peers,
		NewScheduler: func() scheduler.Scheduler { return newScheduler(s.ID) },
		Now:          i.now, Log: i.logger, Timeline: i.recorder,
	})
	if i.gateway, err = i.newGateway(instances); err != nil {
		return err
	}
	i.metrics.RegisterMetricsWriter(i.gateway.Metrics().WritePrometheus)
	i.metrics.RegisterMetricsWriter(metrics.WriteProcessMetrics)
	i.api = i.newAPI(instances)
	return nil
}

func (i *Instance) newMembership() *membership.Service {
	s := i.settings
	var peers []membership.Peer
	for _, p := range s.Peers {
		peers = append(peers, membership.Peer{ID: p.ID, Zone: p.Zone, Region: p.Region})
	}
	return membership.New(membership.Config{
		Self:  membership.Peer{ID: s.ID, Zone: s.Zone, Region: s.Region},
		Peers: peers, Seed: seed(s.ID),
		Caller: i.peers, Registrar: i.peers,
		Now: i.now, Log: i.logger, Timeline: i.recorder,
	})
}

func (i *Instance) newReplica() *replica.Replica {
	s := i.settings
	return replica.New(replica.Dependencies{
		ID: s.ID, Log: httpclient.NewLog(s.Platform.LogURL, httpclient.Options{}),
		Peers: i.peers, Registrar: i.peers, View: i.members,
		Now: i.now, Logger: i.logger, Events: i.recorder, Metrics: i.metrics, Seed: seed(s.ID),
	})
}

func (i *Instance) newGateway(instances *inventory.Cache) (*gateway.Gateway, error) {
	s := i.settings
	callers, err := callerTLS(s.TLS, i.now)
	if err != nil {
		return nil, err
	}
	return gateway.New(gateway.Config{
		ID: s.ID, Addr: s.CallerAddr, TLS: callers,
		Instances: instances, Targets: httpclient.NewTargets(httpclient.Options{}),
		View: i.members, Caller: i.peers, Registrar: i.peers, State: i.replica,
		Recorder: i.recorder, Logger: i.logger, Now: i.now, Seed: seed(s.ID),
		NoEarlierKeys: i.noEarlierKeys, Limits: callerLimits(s.CallerLimits),
	}), nil
}

func (i *Instance) newAPI(instances *inventory.Cache) *api.API {
	s := i.settings
	zones := &zoneAdapter{
		instances: instances, reader: i.replica, scheduler: newScheduler(s.ID),
	}
	return api.New(api.Dependencies{
		ID: s.ID, Reader: i.replica, Writer: i.replica, Ready: i, View: i.members,
		Peers: i.peers, Registrar: i.peers,
		Guarantees: zones, Zones: zones,
		Explainer: &explainer{reader: i.replica, placement: i.placement},
		Now:       i.now, Logger: i.logger, Events: i.recorder, Metrics: i.metrics,
		Addr: s.OperatorAddr, Tokens: s.Tokens, TLS: s.TLS,
	})
}

// publishReady announces to the other instances that this one is ready, for example to be a leader.
func (i *Instance) publishReady() {
	i.members.Publish(func(info *membership.Info) { info.Ready = !info.Draining })
}

// register registers the services with the kernel. Requires determines the order in which they start;
// they stop in the reverse order. On a graceful stop the instance first announces the stop, then hands over its zones,
// then finishes the requests in progress. It serves operators until all of this is done.
func (i *Instance) register() error {
	gated := &gatedService{name: gateway.Name, inner: i.gateway, ready: i.replica.Ready(), onReady: i.publishReady}
	drain := &drainService{members: i.members, recorder: i.recorder, logger: i.logger}
	services := []kernel.Registration{
		{Name: peer.ServiceName, Service: i.peers},
		{Name: membership.ServiceName, Service: i.members, Requires: []string{peer.ServiceName}},
		{Name: replica.Name, Service: i.replica, Requires: []string{membership.ServiceName}},
		{Name: api.Name, Service: i.api, Requires: []string{replica.Name}},
		{Name: gateway.Name, Service: gated, Requires: []string{replica.Name}},
		{Name: leadership.ServiceName, Service: i.leadership, Requires: []string{gateway.Name}},
		{Name: placement.ServiceName, Service: i.placement, Requires: []string{leadership.ServiceName}},
		{Name: drainName, Service: drain, Requires: []string{placement.ServiceName}},
	}
	for _, r := range services {
		if err := i.kernel.Register(r); err != nil {
			return err
		}
	}
	return nil
}
