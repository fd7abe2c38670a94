package node

import (
	"context"
	"errors"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/internal/relay"
	"github.com/oleanderbend/oleanderbend/internal/worker"
)

const (
	// configWait is how long a read of the configuration waits for news. It bounds the age of
	// a confirmation, so it is well under the time in which revoked keys must be refused.
	configWait = time.Second
	// jobsWait is the same for the table of jobs, which tells that a job does not exist.
	jobsWait = time.Second
	// updateInterval collects changes of the table on instances that only answer status requests.
	updateInterval = 120 * time.Millisecond
	// leaderWait is how long a read of the leader's record waits.
	leaderWait = time.Second
	// unreadyDuration lets the balancer see that the instance is not ready, after two probes a
	// second apart.
	unreadyDuration = 2500 * time.Millisecond
	// killMargin is kept from the time between the signals to stop and to be killed.
	killMargin = 1200 * time.Millisecond
	// headerTimeout bounds how long a caller may take to send a header.
	headerTimeout = 3 * time.Second
	// idleTimeout is how long a caller's connection may be idle.
	idleTimeout = 60 * time.Second
)

// Platform is what the instance needs of the platform it runs on.
type Platform struct {
	Log     ledger.Log
	Workers worker.Client
	// Advisor and Machines are nil where the platform has no such service.
	Advisor  worker.Advisor
	Machines worker.Machines
	// Names of the topics that the operator and the workers write, and of the one for reports.
	OperatorTopic, WorkersTopic, StatusTopic string
	IsConfig                                 func(ledger.Record) bool
	DecodeConfig                             func(ledger.Record) (*opconfig.Config, error)
	DecodeWave                               func(ledger.Record) (worker.Wave, bool, error)
	DecodeWorker                             func(ledger.Record) (worker.Info, error)
	WaveStatus                               func(wave int64, completed bool) ledger.Record
	// FrontHandler makes the handler of the callers' requests.
	FrontHandler func(*intake.Service) http.Handler
}

// Node is one instance.
type Node struct {
	settings Settings
	platform Platform
	logger   *log.Logger
	metrics  *metrics.Set

	intake     *intake.Service
	elector    *election.Elector
	controller *controller.Controller
	writer     *ledger.Writer
	config     *ledger.Follower
	jobs       *ledger.Follower
	leader     *ledger.Follower

	mu    sync.Mutex
	waves map[int64]worker.Wave
}

// New wires an instance.
func New(s Settings, p Platform, logger *log.Logger) *Node {
	incarnation := uuid.NewString()
	n := &Node{settings: s, platform: p, logger: logger, metrics: metrics.NewSet(), waves: make(map[int64]worker.Wave)}
	n.writer = ledger.NewWriter(ledger.WriterConfig{
		Log: p.Log, Topic: batch.JobsTopic, Producer: incarnation, Epoch: 1, Logger: logger,
	})
	n.config = n.follower(p.OperatorTopic, configWait, 0, n.applyOperator)
	n.jobs = ledger.NewFollower(ledger.FollowerConfig{
		Log: p.Log, Topic: batch.JobsTopic, Wait: jobsWait, Pause: n.jobsUpdateInterval, Apply: n.applyJobs, Logger: logger,
	})
	n.intake = intake.New(intake.Config{
		Writer: relay.NewWriter(n.writer, n.leaderRelayAddress, logger), ConfigAge: n.config, JobsAge: n.jobs, Metrics: n.metrics, Logger: logger,
	})
	n.controller = controller.New(controller.Config{
		Log: p.Log, Workers: p.Workers, Advisor: p.Advisor, Machines: p.Machines,
		Jobs: n.intake, JobsPosition: n.jobs.Position,
		OperatorConfig: n.intake.CurrentConfig, Waves: n.allWaves,
		WorkersTopic: p.WorkersTopic, DecodeWorker: p.DecodeWorker,
		StatusTopic: p.StatusTopic, WaveStatus: p.WaveStatus, Holder: s.Name,
		Timing: controller.Timing{
			MaxLease: s.Timing.MaxLease, FinishedJobRetention: s.Timing.FinishedJobRetention,
			HolderChangeInterval: s.Timing.HolderChangeInterval, HeartbeatInterval: s.HeartbeatInterval,
		},
		Metrics: n.metrics, Logger: logger,
	})
	n.elector = election.New(election.Config{
		Log: p.Log, Identity: election.Identity{Instance: s.IP, Incarnation: incarnation},
		ClaimDelay: claimDelay(s.Cores), Eligible: n.canLead, Lead: n.controller.Lead, Logger: logger,
	})
	n.leader = n.follower(election.Topic, leaderWait, 0, n.elector.Observe)
	return n
}

// claimDelayUnit is the delay of an instance of half a core before it claims the leadership, long
// enough for one of a whole core to be first.
const claimDelayUnit = 120 * time.Millisecond

// claimDelay delays the claims of instances with little processor time.
func claimDelay(cores float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	return time.Duration(max(0, 1/cores-1) * float64(claimDelayUnit))
}

func (n *Node) follower(topic string, wait, pause time.Duration, apply func(ledger.Update)) *ledger.Follower {
	return ledger.NewFollower(ledger.FollowerConfig{
		Log: n.platform.Log, Topic: topic, Wait: wait, Pause: func() time.Duration { return pause },
		Apply: apply, Logger: n.logger,
	})
}

// jobsUpdateInterval is short on the leader, which starts new jobs at once.
func (n *Node) jobsUpdateInterval() time.Duration {
	if n.isLeader() {
		return 0
	}
	return updateInterval
}

// leaderRelayAddress returns the address at which another instance that leads stores records.
func (n *Node) leaderRelayAddress() string {
	leader, self := n.elector.Leader()
	if self || leader == "" || n.settings.RelayPort == 0 {
		return ""
	}
	return net.JoinHostPort(leader, strconv.Itoa(n.settings.RelayPort))
}

func (n *Node) isLeader() bool {
	_, self := n.elector.Leader()
	return self
}

// canLead says whether the instance knows enough to lead.
func (n *Node) canLead() bool { return n.intake.Ready() }

func (n *Node) applyJobs(u ledger.Update) {
	n.controller.JobsChanged(n.intake.Apply(u))
}

func (n *Node) applyOperator(u ledger.Update) {
	for _, entry := range u.Entries {
		if n.platform.IsConfig(entry.Record) {
			n.applyConfig(entry)
			continue
		}
		wave, is, err := n.platform.DecodeWave(entry.Record)
		switch {
		case err != nil:
			n.logger.Error().Err(err).Msg("wave passed over")
		case is:
			n.mu.Lock()
			n.waves[wave.Number] = wave
			n.mu.Unlock()
		}
	}
}

func (n *Node) applyConfig(entry ledger.Entry) {
	if len(entry.Value) == 0 {
		return
	}
	config, err := n.platform.DecodeConfig(entry.Record)
	if err != nil {
		n.logger.Error().Err(err).Int64("offset", entry.Offset).Msg("configuration passed over")
		return
	}
	if n.intake.SetConfig(config) {
		n.logger.Info().Int64("version", config.Version).Int("queues", len(config.Queues)).
			Int("orgs", len(config.Orgs)).Msg("configuration in force")
	}
}

func (n *Node) allWaves() []worker.Wave {
	n.mu.Lock()
	defer n.mu.Unlock()
	waves := make([]worker.Wave, 0, len(n.waves))
	for _, w := range n.waves {
		waves = append(waves, w)
	}
	return waves
}

// Run serves until ctx is done and then stops gracefully. It calls reload when the process is
// told that its settings have changed.
func (n *Node) Run(ctx context.Context, reload func() error) error {
	n.logger.Info().Str("zone", n.settings.Zone).Str("front", n.settings.FrontAddress).Msg("instance starts")
	workCtx, stopWork := context.WithCancel(context.Background())
	defer stopWork()
	var background sync.WaitGroup
	leadCtx, stopLeading := context.WithCancel(workCtx)
	defer stopLeading()
	electionDone := make(chan struct{})
	for _, run := range []func(context.Context){
		n.config.Run, n.jobs.Run, n.leader.Run, n.runWriter,
	} {
		background.Go(func() { run(workCtx) })
	}
	background.Go(func() {
		defer close(electionDone)
		n.elector.Run(leadCtx)
	})
	background.Go(func() { n.watchSettings(workCtx, reload) })
	servers, err := n.listen()
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

// watchSettings takes the signal that the settings file has changed.
func (n *Node) watchSettings(ctx context.Context, reload func() error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			n.logger.Info().Err(reload()).Msg("settings read again")
		}
	}
}

func (n *Node) runWriter(ctx context.Context) {
	if err := n.writer.Run(ctx); err != nil {
		n.logger.Error().Err(err).Msg("writer of jobs ended")
	}
}

// stop hands over the leadership, lets the balancer move callers away and finishes what is in
// progress.
func (n *Node) stop(s *servers, stopLeading func(), electionDone <-chan struct{}) {
	started := time.Now()
	n.logger.Info().Msg("stopping gracefully")
	n.intake.Drain()
	n.elector.Resign()
	stopLeading()
	<-electionDone
	time.Sleep(max(0, unreadyDuration-time.Since(started)))
	s.front.SetKeepAlivesEnabled(false)
	limit := max(time.Second, n.settings.Timing.GracePeriod-killMargin-time.Since(started))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := s.front.Shutdown(ctx); err != nil {
		n.logger.Warn().Err(err).Msg("requests in progress were cut")
	}
	s.ready.Close()
}

type servers struct {
	front, ready *http.Server
	failed       chan error
}

func (n *Node) listen() (*servers, error) {
	ready := http.NewServeMux()
	ready.HandleFunc("/", n.serveReady)
	s := &servers{
		front:  n.server(n.platform.FrontHandler(n.intake)),
		ready:  n.server(ready),
		failed: make(chan error, 3),
	}
	if err := serve(s.front, n.settings.FrontAddress, s.failed); err != nil {
		return nil, err
	}
	if err := serve(s.ready, n.settings.ReadyAddress, s.failed); err != nil {
		return nil, err
	}
	if n.settings.RelayPort != 0 {
		listener, err := net.Listen("tcp", net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.RelayPort)))
		if err != nil {
			return nil, eris.Wrap(err, "listen for other instances")
		}
		if err := relay.Serve(listener, n.writer, n.isLeader); err != nil {
			return nil, err
		}
	}
	if n.settings.MetricsPort == 0 {
		return s, nil
	}
	address := net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort))
	return s, serve(n.server(http.HandlerFunc(n.serveMetrics)), address, s.failed)
}

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
}

func serve(s *http.Server, address string, failed chan<- error) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "listen on %s", address)
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
