package membership

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// ServiceName is the service name that is registered with the kernel.
const ServiceName = "membership"

// receiverName is the name of the net/rpc receiver.
const receiverName = "Membership"

// Names of the RPC methods, and limits of the exchanges with peers.
const (
	methodProbe = receiverName + ".Probe"
	methodAsk   = receiverName + ".Ask"
	methodSync  = receiverName + ".Sync"
	// syncPeers is the number of peers from which all members are fetched at the start, within
	// syncTimeout; announcePeers is the number of peers that are sent urgent updates at once.
	syncPeers     = 3
	announcePeers = 3
	syncTimeout   = time.Second
)

// ErrNoResponse is returned by Ask when the target did not respond to the indirect probe.
var ErrNoResponse = errors.New("membership: target did not respond to the probe")

// Metrics of the package; docs/operators/control.md explains them.
var (
	probesSent        = metrics.GetOrCreateCounter("oleanderbend_membership_probes_total")
	probesMissed      = metrics.GetOrCreateCounter("oleanderbend_membership_probes_missed_total")
	indirectSent      = metrics.GetOrCreateCounter("oleanderbend_membership_indirect_probes_total")
	becameUnreachable = metrics.GetOrCreateCounter("oleanderbend_membership_silent_total")
)

// Config has the identity of this instance, its peers, and the dependencies of the service.
type Config struct {
	Self  Peer
	Peers []Peer
	// Seed is the seed of the random order of probes; the order also
	// depends on the incarnation.
	Seed      uint64
	Caller    peer.Caller
	Registrar peer.Registrar
	Now       func() time.Time
	Log       *log.Logger
	Timeline  *timeline.Recorder
}

// Service runs the failure detector. It implements View.
type Service struct {
	config Config
	kernel *kernel.Kernel
	// announceNow wakes run to announce urgent updates.
	announceNow chan struct{}
	probes      sync.WaitGroup

	mu               sync.Mutex
	core             *core
	changed          chan struct{}
	lastAckedProbeAt time.Time
}

// New returns the service. The incarnation of this process is the current time.
func New(config Config) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	incarnation := uint64(config.Now().UnixNano())
	return &Service{
		config:      config,
		announceNow: make(chan struct{}, 1),
		core:        newCore(config.Self, config.Peers, incarnation, config.Seed),
		changed:     make(chan struct{}),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.kernel = k
	return eris.Wrap(s.config.Registrar.Register(receiverName, &Receiver{service: s}), "membership: register RPC receiver")
}

// Start implements kernel.Service. It starts probing, which begins with fetching the known members
// from a few peers.
func (s *Service) Start(ctx context.Context) error {
	s.kernel.Go(ServiceName, "probe", s.run)
	return ctx.Err()
}

// Stop implements kernel.Service. It announces to a few peers that this instance has left.
func (s *Service) Stop(ctx context.Context) error {
	if ctx.Err() != nil {
		// An aborted stop is treated like a crash: the peers have to detect it.
		return nil
	}
	s.mu.Lock()
	s.core.leave(s.config.Now())
	targets := s.core.randomAlivePeers("", announcePeers)
	s.mu.Unlock()
	var announcements sync.WaitGroup
	for _, target := range targets {
		announcements.Go(func() { _ = s.probeDirect(ctx, target) })
	}
	announcements.Wait()
	return nil
}

func (s *Service) run(ctx context.Context) error {
	s.sync(ctx)
	ticker := time.NewTicker(ProbeInterval)
	defer ticker.Stop()
	defer s.probes.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.tick(ctx)
		case <-s.announceNow:
			s.announce(ctx)
		}
	}
}

// sync fetches all known members from a few peers, so a new instance has the state of all members
// at once.
func (s *Service) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	peers := s.config.Caller.Peers()
	s.mu.Lock()
	s.core.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	s.mu.Unlock()
	var calls sync.WaitGroup
	for _, target := range peers[:min(syncPeers, len(peers))] {
		calls.Go(func() { _ = s.exchange(ctx, target, methodSync) })
	}
	calls.Wait()
}

func (s *Service) tick(ctx context.Context) {
	s.mu.Lock()
	before := s.statusesLocked()
	targets, changed := s.core.tick(s.config.Now())
	s.unlockAndReport(before, changed)
	for _, target := range targets {
		s.probes.Go(func() { s.probe(ctx, target) })
	}
}

// announce sends urgent updates to a few peers without waiting for the next probe interval.
func (s *Service) announce(ctx context.Context) {
	s.mu.Lock()
	targets := s.core.randomAlivePeers("", announcePeers)
	s.mu.Unlock()
	for _, target := range targets {
		s.probes.Go(func() { _ = s.probeDirect(ctx, target) })
	}
}

// probe probes a peer directly, then through other peers, and marks it as suspect if all fail.
func (s *Service) probe(ctx context.Context, target string) {
	sent := s.config.Now()
	if s.Reachable(ctx, target) || ctx.Err() != nil {
		return
	}
	now := s.config.Now()
	if now.Sub(sent) > 2*(ProbeTimeout+IndirectProbeTimeout) {
		// This process was paused, so the timeout does not show that the peer failed.
		return
	}
	s.mu.Lock()
	before := s.statusesLocked()
	s.unlockAndReport(before, s.core.probeFailed(now, target))
}

// Reachable reports whether an instance responds to a direct probe or to an indirect one through
// another peer.
func (s *Service) Reachable(ctx context.Context, target string) bool {
	probesSent.Inc()
	if s.probeDirect(ctx, target) == nil {
		return true
	}
	probesMissed.Inc()
	s.mu.Lock()
	helpers := s.core.randomAlivePeers(target, IndirectProbes)
	s.mu.Unlock()
	return s.probeIndirect(ctx, target, helpers)
}

func (s *Service) probeDirect(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return s.exchange(ctx, target, methodProbe)
}

// probeIndirect asks the helpers in parallel to probe the target and reports whether one succeeded.
func (s *Service) probeIndirect(ctx context.Context, target string, helpers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, IndirectProbeTimeout)
	defer cancel()
	acked := make(chan bool, len(helpers))
	for _, helper := range helpers {
		indirectSent.Inc()
		go func() {
			var reply AskReply
			err := s.config.Caller.Call(ctx, helper, methodAsk, &AskArgs{Target: target}, &reply)
			acked <- err == nil
		}()
	}
	for range helpers {
		if <-acked {
			return true
		}
	}
	return false
}

// exchange sends a message with the given RPC method and merges the reply.
func (s *Service) exchange(ctx context.Context, target, method string) error {
	sent := s.config.Now()
	s.mu.Lock()
	message := s.core.compose(target)
	s.mu.Unlock()
	var reply Message
	if err := s.config.Caller.Call(ctx, target, method, &message, &reply); err != nil {
		return eris.Wrap(err, "membership: probe "+target)
	}
	s.mu.Lock()
	before := s.statusesLocked()
	if sent.After(s.lastAckedProbeAt) {
		s.lastAckedProbeAt = sent
	}
	s.unlockAndReport(before, s.core.receive(s.config.Now(), reply))
	return nil
}

// LastAckedProbeAt returns the send time of the newest probe to which a peer responded, on the clock
// of Config.Now.
func (s *Service) LastAckedProbeAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAckedProbeAt
}

// Self implements View.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.member(s.core.self)
}

// Members implements View.
func (s *Service) Members() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.members()
}

// Changed implements View.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Publish implements View. Urgent changes are sent to a few peers at once. The maps and slices that
// change sets must not be modified afterwards.
func (s *Service) Publish(change func(*Info)) {
	s.mu.Lock()
	urgent := s.core.publish(change)
	s.notifyLocked()
	s.mu.Unlock()
	if urgent {
		select {
		case s.announceNow <- struct{}{}:
		default:
		}
	}
}

// statusesLocked returns the statuses of all members in the order of core.ids. It is called with the
// lock held, before a change.
func (s *Service) statusesLocked() []Status {
	out := make([]Status, len(s.core.ids))
	for i, id := range s.core.ids {
		out[i] = s.core.entries[id].status
	}
	return out
}

// unlockAndReport releases the lock after a change, and then logs each member whose status differs
// from before. If changed is set, it also notifies the readers of Changed.
func (s *Service) unlockAndReport(before []Status, changed bool) {
	var events []Member
	for i, id := range s.core.ids {
		if e := s.core.entries[id]; e.status != before[i] {
			events = append(events, s.core.member(e))
		}
	}
	if changed {
		s.notifyLocked()
	}
	s.mu.Unlock()
	for _, m := range events {
		s.reportStatus(m)
	}
}

func (s *Service) reportStatus(m Member) {
	if m.Status == Unreachable {
		becameUnreachable.Inc()
	}
	s.config.Log.Info().Str("event", "member-status").Str("member", m.Info.ID).
		Str("status", string(m.Status)).Uint64("incarnation", m.Info.Incarnation).Msg("")
	event := timeline.Event{Type: timeline.TypeMembership, Name: "member-" + string(m.Status), Reason: "member " + m.Info.ID}
	if m.Status == Alive || m.Status == Left {
		// These statuses result from a message of the member, the others from missing responses.
		event.Cause = m.Info.ID
	}
	s.config.Timeline.Record(event)
}

// notifyLocked closes the current channel of Changed. It is called with the lock held.
func (s *Service) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
