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

// ServiceName is the name of the service in the kernel and of its rpc receiver in lower case.
const ServiceName = "membership"

// receiverName is the name of the net/rpc receiver.
const receiverName = "Membership"

// Methods of the receiver.
const (
	methodProbe  = receiverName + ".Probe"
	methodAsk    = receiverName + ".Ask"
	methodSync   = receiverName + ".Sync"
	syncPeers    = 3
	announceTo   = 3
	syncDeadline = time.Second
)

// ErrNoResponse is returned by Ask when the target did not answer the indirect probe.
var ErrNoResponse = errors.New("membership: target did not answer")

// Metrics of the package; docs/operators/control.md explains them.
var (
	probesSent     = metrics.GetOrCreateCounter("oleanderbend_membership_probes_total")
	probesMissed   = metrics.GetOrCreateCounter("oleanderbend_membership_probes_missed_total")
	indirectSent   = metrics.GetOrCreateCounter("oleanderbend_membership_indirect_probes_total")
	statusesSilent = metrics.GetOrCreateCounter("oleanderbend_membership_silent_total")
)

// Config names this instance and its peers, and the dependencies of the service.
type Config struct {
	Self  Peer
	Peers []Peer
	// Seed makes the random order of probes repeatable.
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
	wake   chan struct{}
	probes sync.WaitGroup

	mu         sync.Mutex
	core       *core
	changed    chan struct{}
	answeredAt time.Time
}

// New returns the service. The process's incarnation is the current time.
func New(config Config) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	incarnation := uint64(config.Now().UnixNano())
	return &Service{
		config:  config,
		wake:    make(chan struct{}, 1),
		core:    newCore(config.Self, config.Peers, incarnation, config.Seed),
		changed: make(chan struct{}),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.kernel = k
	return eris.Wrap(s.config.Registrar.Register(receiverName, &Receiver{service: s}), "membership: register")
}

// Start implements kernel.Service. It asks a few peers for their tables and starts probing.
func (s *Service) Start(ctx context.Context) error {
	s.kernel.Go(ServiceName, "probe", s.run)
	return ctx.Err()
}

// Stop implements kernel.Service. It announces to some peers that this instance left.
func (s *Service) Stop(ctx context.Context) error {
	if ctx.Err() != nil {
		// An aborted stop is like a crash: the others have to detect it.
		return nil
	}
	s.mu.Lock()
	s.core.leave(s.config.Now())
	targets := s.core.helpers("", announceTo)
	s.mu.Unlock()
	var announcements sync.WaitGroup
	for _, target := range targets {
		announcements.Go(func() { _ = s.direct(ctx, target) })
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
		case <-s.wake:
			s.announce(ctx)
		}
	}
}

// sync fetches the tables of a few peers, so that a new instance knows the fleet at once.
func (s *Service) sync(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncDeadline)
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
	before := s.statuses()
	targets, changed := s.core.tick(s.config.Now())
	s.finish(before, changed)
	for _, target := range targets {
		s.probes.Go(func() { s.probe(ctx, target) })
	}
}

// announce sends urgent news to a few peers without waiting for the next period.
func (s *Service) announce(ctx context.Context) {
	s.mu.Lock()
	targets := s.core.helpers("", announceTo)
	s.mu.Unlock()
	for _, target := range targets {
		s.probes.Go(func() { _ = s.direct(ctx, target) })
	}
}

// probe probes a peer directly, then through others, and suspects it if all fail.
func (s *Service) probe(ctx context.Context, target string) {
	sent := s.config.Now()
	if s.Reachable(ctx, target) || ctx.Err() != nil {
		return
	}
	now := s.config.Now()
	if now.Sub(sent) > 2*(ProbeTimeout+IndirectProbeTimeout) {
		// This process was paused, so the missed answer says nothing about the peer.
		return
	}
	s.mu.Lock()
	before := s.statuses()
	s.finish(before, s.core.missed(now, target))
}

// Reachable reports whether an instance answers a direct probe or a probe by a helper.
func (s *Service) Reachable(ctx context.Context, target string) bool {
	probesSent.Inc()
	if s.direct(ctx, target) == nil {
		return true
	}
	probesMissed.Inc()
	s.mu.Lock()
	helpers := s.core.helpers(target, IndirectProbes)
	s.mu.Unlock()
	return s.indirect(ctx, target, helpers)
}

func (s *Service) direct(ctx context.Context, target string) error {
	ctx, cancel := context.WithTimeout(ctx, ProbeTimeout)
	defer cancel()
	return s.exchange(ctx, target, methodProbe)
}

func (s *Service) indirect(ctx context.Context, target string, helpers []string) bool {
	ctx, cancel := context.WithTimeout(ctx, IndirectProbeTimeout)
	defer cancel()
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		indirectSent.Inc()
		go func() {
			var reply AskReply
			err := s.config.Caller.Call(ctx, helper, methodAsk, &AskArgs{Target: target}, &reply)
			answers <- err == nil
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// exchange sends a message and merges the answer.
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
	before := s.statuses()
	if sent.After(s.answeredAt) {
		s.answeredAt = sent
	}
	s.finish(before, s.core.receive(s.config.Now(), reply))
	return nil
}

// LastAckedProbeAt returns the send time of the newest probe that a peer answered.
func (s *Service) LastAckedProbeAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answeredAt
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

// Publish implements View. Changes that others must learn soon are sent at once to a few peers.
// The maps and slices that change sets must not be modified afterwards.
func (s *Service) Publish(change func(*Info)) {
	s.mu.Lock()
	urgent := s.core.publish(change)
	s.notify()
	s.mu.Unlock()
	if urgent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
}

// statuses is called with the lock held, before a change.
func (s *Service) statuses() []Status {
	out := make([]Status, len(s.core.ids))
	for i, id := range s.core.ids {
		out[i] = s.core.entries[id].status
	}
	return out
}

// finish releases the lock after a change and reports statuses that differ from before.
func (s *Service) finish(before []Status, changed bool) {
	var events []Member
	for i, id := range s.core.ids {
		if e := s.core.entries[id]; e.status != before[i] {
			events = append(events, s.core.member(e))
		}
	}
	if changed {
		s.notify()
	}
	s.mu.Unlock()
	for _, m := range events {
		s.report(m)
	}
}

func (s *Service) report(m Member) {
	if m.Status == Unreachable {
		statusesSilent.Inc()
	}
	s.config.Log.Info().Str("event", "member-status").Str("member", m.Info.ID).
		Str("status", string(m.Status)).Uint64("incarnation", m.Info.Incarnation).Msg("")
	event := timeline.Event{Type: timeline.TypeMembership, Name: "member-" + string(m.Status), Reason: "member " + m.Info.ID}
	if m.Status == Alive || m.Status == Left {
		// Both follow a message of the member; the others follow from its silence.
		event.Cause = m.Info.ID
	}
	s.config.Timeline.Record(event)
}

// notify is called with the lock held.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
