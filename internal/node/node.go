package node

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/clients"
	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/evacuation"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/relay"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// configWait is how long a read of the configuration waits for a new record. It limits the age of
	// the local copy, so it is well below the time within which revoked keys must be rejected.
	configWait = time.Second
	// jobsWait is how long a read of the jobs waits for a new record. It limits the age of the local
	// copy, from which the instance reports that a job does not exist.
	jobsWait = time.Second
	// nonLeaderReadPause is the pause after a read of new job records on an instance that is not the
	// leader and only answers status requests. It lets the next read return several records at once.
	nonLeaderReadPause = 120 * time.Millisecond
	// leaderWait is how long a read of the election topic waits for a new record.
	leaderWait = time.Second
	// unreadyDuration is how long a stopping instance continues to serve after it has become not ready.
	// The load balancer notices after two probes, which are a second apart.
	unreadyDuration = 2500 * time.Millisecond
	// killMargin is how long before the end of the grace period, when the process is killed, the
	// instance stops waiting for requests. It includes cancelledResponseTime.
	killMargin = 1200 * time.Millisecond
	// headerTimeout is the maximum time for reading the headers of a request, unless the operator sets one.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a connection may be idle before it is closed, unless the operator sets a time.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of the headers of a request, unless the operator sets one.
	maxHeaderBytes = 16 << 10
	// bodyTimeout is the maximum time for reading the body of a request without a deadline of the caller. A body
	// of 256 KB needs 9 KB/s.
	bodyTimeout = 30 * time.Second
	// internalBodyTimeout limits requests to the servers for probes and metrics, whose bodies are small.
	internalBodyTimeout = 5 * time.Second
	// maxProbeConns and maxMetricsConns are the maximum numbers of connections to these servers. A load balancer
	// and a few readers of metrics use one or two each.
	maxProbeConns   = 64
	maxMetricsConns = 32
)

// Platform is the clients, topics and codecs of the platform that the instance runs on.
type Platform struct {
	Log     ledger.Log
	Workers worker.Client
	// Advisor and Machines are nil if the platform has no such service.
	Advisor  worker.Advisor
	Machines worker.Machines
	// OperatorTopic and WorkersTopic are the names of the topics that the operator and the workers
	// write. StatusTopic is the name of the topic for reports to the operator.
	OperatorTopic, WorkersTopic, StatusTopic string
	// IsConfig reports whether a record of OperatorTopic is a configuration; DecodeConfig decodes it.
	IsConfig     func(ledger.Record) bool
	DecodeConfig func(ledger.Record) (*opconfig.Config, error)
	// DecodeWave decodes a wave of maintenance. It returns false for any other record.
	DecodeWave func(ledger.Record) (worker.Wave, bool, error)
	// DecodeEvacuation decodes the evacuation of a zone or its end. It returns false for any other record. The change
	// is valid also if there is an error.
	DecodeEvacuation func(ledger.Entry) (evacuation.Change, bool, error)
	DecodeWorker     func(ledger.Record) (worker.Info, error)
	// WaveStatus returns the record that reports the progress of a wave.
	WaveStatus func(wave int64, completed bool) ledger.Record
	// DecodeJob decodes the body of a submission, without validating the job.
	DecodeJob func(id string, data []byte) (*batch.Job, error)
	// FrontHandler returns the handler for the requests of callers (the front server). It reads their bodies
	// within the budget.
	FrontHandler func(*intake.Service, *clients.Budget) http.Handler
}

// Node is one instance of the service: the parts that run in one process.
type Node struct {
	settings Settings
	platform Platform
	logger   *log.Logger
	metrics  *metrics.Set
	refusals *clients.Refusals

	intake     *intake.Service
	elector    *election.Elector
	controller *controller.Controller
	// writer stores the records of jobs and cancellations.
	writer *ledger.Writer
	// operatorFollower, jobsFollower and electionFollower follow the topics of the operator, of the
	// jobs and of the election.
	operatorFollower *ledger.Follower
	jobsFollower     *ledger.Follower
	electionFollower *ledger.Follower

	mu sync.Mutex
	// waves is the requested waves of maintenance by their number.
	waves map[int64]worker.Wave
	// evacuated holds the operator's records of evacuated zones.
	evacuated evacuation.Records

	// explaining means that a request for an explanation is in progress; see explain.go.
	explaining atomic.Bool
}

// New returns an instance that is not running yet.
func New(s Settings, p Platform, logger *log.Logger) *Node {
	incarnation := uuid.NewString()
	n := &Node{settings: s, platform: p, logger: logger, metrics: metrics.NewSet(), waves: make(map[int64]worker.Wave)}
	n.refusals = clients.NewRefusals(n.metrics, logger)
	// The producer is new for each incarnation, so its epoch never changes.
	n.writer = ledger.NewWriter(ledger.WriterConfig{
		Log: p.Log, Topic: batch.JobsTopic, Producer: incarnation, Epoch: 1, Logger: logger,
	})
	n.operatorFollower = ledger.NewFollower(ledger.FollowerConfig{
		Log: p.Log, Topic: p.OperatorTopic, Wait: configWait, WaitLimit: n.operatorWaitLimit, Apply: n.applyOperatorRecords, Logger: logger,
	})
	n.jobsFollower = ledger.NewFollower(ledger.FollowerConfig{
		Log: p.Log, Topic: batch.JobsTopic, Wait: jobsWait, Pause: n.jobsReadPause, Apply: n.applyJobs, Logger: logger,
	})
	n.intake = intake.New(intake.Config{
		Writer: relay.NewWriter(n.writer, n.leaderRelayAddress, logger), ConfigAge: n.operatorFollower, JobsAge: n.jobsFollower, Metrics: n.metrics, Logger: logger,
	})
	n.controller = controller.New(controller.Config{
		Log: p.Log, Workers: p.Workers, Advisor: p.Advisor, Machines: p.Machines,
		Jobs: n.intake, JobsPosition: n.jobsFollower.Position,
		OperatorConfig: n.intake.CurrentConfig, Waves: n.allWaves, Evacuations: n.evacuations,
		WorkersTopic: p.WorkersTopic, DecodeWorker: p.DecodeWorker,
		StatusTopic: p.StatusTopic, WaveStatus: p.WaveStatus, Holder: s.Name,
		Timing: controller.Timing{
			MaxLease: s.Timing.MaxLease, FinishedJobRetention: s.Timing.FinishedJobRetention,
			HolderChangeInterval: s.Timing.HolderChangeInterval, HeartbeatInterval: s.HeartbeatInterval,
			EvacuationBound: s.Timing.EvacuationBound,
		},
		Metrics: n.metrics, Logger: logger,
	})
	n.elector = election.New(election.Config{
		Log: p.Log, Identity: election.Identity{Instance: s.IP, Incarnation: incarnation},
		ClaimDelay: claimDelay(s.Cores), Eligible: n.canLead, Lead: n.controller.Lead, Logger: logger,
	})
	n.electionFollower = n.follower(election.Topic, leaderWait, 0, n.elector.Observe)
	n.metrics.GetOrCreateGauge(`oleanderbend_evacuated_zones`, func() float64 { return float64(len(n.evacuations().Zones)) })
	n.metrics.GetOrCreateGauge(`oleanderbend_operator_records_age_seconds`, func() float64 { return n.evacuations().Age.Seconds() })
	return n
}

// halfCoreClaimDelay is how long an instance with half a core waits before it claims leadership. It is
// long enough for an instance with one core, which does not wait, to claim first.
const halfCoreClaimDelay = 120 * time.Millisecond

// claimDelay returns how long an instance waits before it claims leadership: longer with fewer cores, 0
// with at least one core or if the number is unknown.
func claimDelay(cores float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	return time.Duration(max(0, 1/cores-1) * float64(halfCoreClaimDelay))
}

// follower returns a follower of a topic that passes updates to apply and pauses for the given time after
// each read that returned records.
func (n *Node) follower(topic string, wait, pause time.Duration, apply func(ledger.Update)) *ledger.Follower {
	return ledger.NewFollower(ledger.FollowerConfig{
		Log: n.platform.Log, Topic: topic, Wait: wait, Pause: func() time.Duration { return pause },
		Apply: apply, Logger: n.logger,
	})
}

// jobsReadPause returns the pause after a read of new job records: 0 on the leader, which must
// start new jobs at once.
func (n *Node) jobsReadPause() time.Duration {
	if n.isLeader() {
		return 0
	}
	return nonLeaderReadPause
}

// leaderRelayAddress returns the address at which the leader stores records for this instance, or an
// empty string if this instance leads, no leader is known or the relay is not used.
func (n *Node) leaderRelayAddress() string {
	leader, self := n.elector.Leader()
	if self || leader == "" || n.settings.RelayPort == 0 {
		return ""
	}
	return n.relayAddress(leader)
}

// watchLeader learns from the leader itself when its term is over.
func (n *Node) watchLeader(ctx context.Context) {
	if n.settings.RelayPort == 0 {
		return
	}
	relay.WatchLeader(ctx, n.elector, n.relayAddress, n.logger)
}

// relayAddress returns the address of the relay of an instance.
func (n *Node) relayAddress(instance string) string {
	return net.JoinHostPort(instance, strconv.Itoa(n.settings.RelayPort))
}

func (n *Node) isLeader() bool {
	_, self := n.elector.Leader()
	return self
}

// canLead reports whether the instance may claim leadership. The condition is the same as for new
// connections: it is not stopping, its local copies are complete and its configuration is not too old. Moreover, no earlier
// term may still be worked on.
func (n *Node) canLead() bool { return n.intake.Ready() && n.controller.Idle() }

func (n *Node) applyJobs(u ledger.Update) {
	n.controller.JobsChanged(n.intake.Apply(u))
}

func (n *Node) applyOperatorRecords(u ledger.Update) {
	n.applyEvacuations(u)
	for _, entry := range u.Entries {
		if n.platform.IsConfig(entry.Record) {
			n.applyConfig(entry)
			continue
		}
		wave, isWave, err := n.platform.DecodeWave(entry.Record)
		switch {
		case err != nil:
			n.logger.Error().Err(err).Msg("maintenance wave not decodable, ignored")
		case isWave:
			n.mu.Lock()
			n.waves[wave.Number] = wave
			n.mu.Unlock()
		}
	}
}

// applyEvacuations updates the evacuated zones. An update with the latest records of all keys replaces them: a zone whose
// record was lost with the history of the log returns to service.
func (n *Node) applyEvacuations(u ledger.Update) {
	var changes []evacuation.Change
	for _, entry := range u.Entries {
		change, isEvacuation, err := n.platform.DecodeEvacuation(entry)
		if err != nil {
			n.logger.Warn().Err(err).Str("zone", change.Zone).Int64("offset", entry.Offset).Msg("value of evacuation not decodable, zone evacuated nevertheless")
		}
		if isEvacuation {
			changes = append(changes, change)
		}
	}
	if len(changes) == 0 && !u.Reset {
		return
	}
	n.mu.Lock()
	n.evacuated = n.evacuated.Apply(changes, u.Reset)
	n.mu.Unlock()
}

// evacuations returns the evacuated zones and the age of the local copy of the operator's records.
func (n *Node) evacuations() evacuation.Copy {
	// The age is read before the zones, so that the zones are at least as new.
	age, synced := n.operatorFollower.Age()
	n.mu.Lock()
	defer n.mu.Unlock()
	return evacuation.Copy{Zones: n.evacuated.Zones(), Age: age, Synced: synced}
}

// operatorWaitLimit returns how long a read of the operator's records may wait. The leader's copy must be younger than
// that of the other instances if the platform bounds starts in evacuated zones.
func (n *Node) operatorWaitLimit() time.Duration {
	if !n.isLeader() {
		return configWait
	}
	return evacuation.Bound(n.settings.Timing.EvacuationBound).ReadWait(configWait)
}

func (n *Node) applyConfig(entry ledger.Entry) {
	if len(entry.Value) == 0 {
		return // The record was deleted; the configuration in force stays.
	}
	config, err := n.platform.DecodeConfig(entry.Record)
	if err != nil {
		n.logger.Error().Err(err).Int64("offset", entry.Offset).Msg("configuration not decodable, ignored")
		return
	}
	if n.intake.SetConfig(config) {
		n.logger.Info().Int64("version", config.Version).Int("queues", len(config.Queues)).
			Int("orgs", len(config.Orgs)).Msg("configuration in force")
	}
}

// allWaves returns all waves that the operator has requested, in no particular order.
func (n *Node) allWaves() []worker.Wave {
	n.mu.Lock()
	defer n.mu.Unlock()
	waves := make([]worker.Wave, 0, len(n.waves))
	for _, w := range n.waves {
		waves = append(waves, w)
	}
	return waves
}

// Run serves until ctx is done and then stops gracefully. It calls reload on each value of hangups, which
// signals that the settings file has changed. It returns an error if a server fails.
func (n *Node) Run(ctx context.Context, hangups <-chan os.Signal, reload func() error) error {
	n.logger.Info().Str("zone", n.settings.Zone).Str("front", n.settings.FrontAddress).Msg("instance starts")
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var background sync.WaitGroup
	leadCtx, stopLeading := context.WithCancel(workCtx)
	defer stopLeading()
	electionDone := make(chan struct{})
	for _, run := range []func(context.Context){
		n.operatorFollower.Run, n.jobsFollower.Run, n.electionFollower.Run, n.runWriter,
		n.controller.WatchClock, n.watchLeader,
	} {
		background.Go(func() { run(workCtx) })
	}
	background.Go(func() {
		defer close(electionDone)
		n.elector.Run(leadCtx)
	})
	background.Go(func() { n.reloadOnHangup(workCtx, hangups, reload) })
	servers, err := n.startServers()
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-servers.failed:
	}
	n.stop(servers, stopLeading, electionDone)
	stopWork()
	background.Wait()
	n.logger.Info().Err(err).Msg("instance stops")
	return err
}

// reloadOnHangup calls reload on each value of hangups until ctx is done.
func (n *Node) reloadOnHangup(ctx context.Context, hangups <-chan os.Signal, reload func() error) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			n.logger.Info().Err(reload()).Msg("settings read again")
		}
	}
}

func (n *Node) runWriter(ctx context.Context) {
	if err := n.writer.Run(ctx); err != nil {
		n.logger.Error().Err(err).Msg("job writer stopped with an error")
	}
}

// stop steps down, gives the load balancer time to move callers to other instances (unreadyDuration), and
// waits for the requests in flight until shortly before the end of the grace period, but at least 1 s. Those
// that are still in flight then are cancelled.
func (n *Node) stop(s *servers, stopLeading func(), electionDone <-chan struct{}) {
	started := time.Now()
	n.logger.Info().Msg("stopping gracefully")
	n.intake.Drain()
	n.elector.StepDown()
	stopLeading()
	<-electionDone
	time.Sleep(max(0, unreadyDuration-time.Since(started)))
	limit := max(time.Second, n.settings.Timing.GracePeriod-killMargin-time.Since(started))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.front.stop(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("requests cancelled at the end of the stop timeout")
	}
	s.ready.Close()
}

// servers is the HTTP servers that stop shuts down: front for the requests of callers, ready for the
// probes of the load balancer.
type servers struct {
	front *frontServer
	ready *http.Server
	// failed receives the error of each server that has failed, also of the metrics server.
	failed chan error
}

// startServers starts the servers for callers, probes, other instances and metrics. The last two are not
// part of the result: they run until the process ends.
func (n *Node) startServers() (*servers, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.serveReady)
	s := &servers{
		ready: newServer(ready),
		// One error from each of the servers for callers, probes and metrics, so that none blocks.
		failed: make(chan error, 3),
	}
	var err error
	if s.front, err = n.startFront(s.failed); err != nil {
		return nil, err
	}
	if err := n.startInternal(s.ready, maxProbeConns, n.settings.ReadyAddress, s.failed); err != nil {
		return nil, err
	}
	if n.settings.RelayPort != 0 {
		listener, err := net.Listen("tcp", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.RelayPort)))
		if err != nil {
			return nil, eris.Wrap(err, "listen for relayed records of other instances")
		}
		if err := relay.Serve(listener, n.writer, n.isLeader, n.elector.AwaitEnd, n.answerExplain, relay.Limits{MaxConns: n.settings.maxRelayConns(), Refused: n.refusals.Count}); err != nil {
			return nil, err
		}
	}
	if n.settings.MetricsPort == 0 {
		return s, nil
	}
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	return s, n.startInternal(newServer(n.internalHandler()), maxMetricsConns, address, s.failed)
}

// startFront starts the server for callers.
func (n *Node) startFront(failed chan<- error) (*frontServer, error) {
	budget := clients.NewBudget(n.settings.bodyBytes(), n.settings.Cores, n.refusals)
	limiter := clients.NewLimiter(n.settings.maxCallers(), n.callerLimits, n.refusals)
	n.metrics.NewGauge("oleanderbend_caller_connections", func() float64 { return float64(limiter.Open()) })
	n.metrics.NewGauge("oleanderbend_body_bytes", func() float64 { return float64(budget.Used()) })
	server := newServer(n.platform.FrontHandler(n.intake, budget))
	return startFrontServer(server, limiter, n.settings.FrontAddress, failed)
}

// callerLimits returns the limits for the requests of callers: those of the operator, or the defaults.
func (n *Node) callerLimits() clients.Limits {
	limits := clients.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, BodyTimeout: bodyTimeout, MaxHeaderBytes: maxHeaderBytes}
	c := n.intake.CurrentConfig()
	if c == nil {
		return limits
	}
	if c.HeaderTimeout > 0 {
		limits.HeaderTimeout = c.HeaderTimeout
	}
	if c.IdleTimeout > 0 {
		limits.IdleTimeout = c.IdleTimeout
	}
	if c.MaxHeaderBytes > 0 {
		limits.MaxHeaderBytes = int(min(c.MaxHeaderBytes, math.MaxInt32))
	}
	return limits
}

// newServer returns a server whose time limits are set by a limiter.
func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ErrorLog: stdlog.New(io.Discard, "", 0)}
}

// startInternal starts a server for probes or metrics.
func (n *Node) startInternal(s *http.Server, maxConns int, address string, failed chan<- error) error {
	limits := clients.Limits{HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, BodyTimeout: internalBodyTimeout, MaxHeaderBytes: maxHeaderBytes}
	limiter := clients.NewLimiter(maxConns, func() clients.Limits { return limits }, n.refusals)
	limiter.Configure(s)
	listener, err := limiter.Listen(address)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.intake.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain")
	n.metrics.WritePrometheus(w)
}
