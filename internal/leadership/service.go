package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "leadership"

// Timing of the service.
const (
	decideInterval = 100 * time.Millisecond
	listInterval   = time.Second
	// writeTimeout bounds one claim. A claim that takes longer counts as a log that is down.
	writeTimeout = time.Second
	// logUpAge is the age of the last read of the log's tail up to which the log counts as up.
	logUpAge = 3 * time.Second
	// retryPause limits how often a failed claim or record is tried again.
	retryPause = 500 * time.Millisecond
)

// Metrics of the package; docs/operators/control.md explains them.
var (
	claimsAccepted = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="accepted"}`)
	claimsRefused  = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="refused"}`)
	claimsProvis   = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="provisional"}`)
	stepDowns      = metrics.GetOrCreateCounter("oleanderbend_leadership_step_downs_total")
	releases       = metrics.GetOrCreateCounter("oleanderbend_leadership_releases_total")
)

// Peers is what leadership needs of membership.
type Peers interface {
	membership.View
	// LastAckedProbeAt returns the send time of the newest probe that a peer answered.
	LastAckedProbeAt() time.Time
	// Reachable reports whether an instance answers a direct or an indirect probe.
	Reachable(ctx context.Context, id string) bool
}

// Config holds the dependencies of the service.
type Config struct {
	Self      string
	Peers     Peers
	Reader    state.Reader
	Writer    state.Writer
	Tail      state.LogTail
	Instances platform.Instances
	Now       func() time.Time
	Log       *log.Logger
	Timeline  *timeline.Recorder
}

// Service claims zones and knows which zones this instance leads.
type Service struct {
	config Config
	kernel *kernel.Kernel
	claims sync.WaitGroup

	mu      sync.Mutex
	core    *core
	listed  []Zone
	changed chan struct{}
	stopped bool
}

// New returns the service.
func New(config Config) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Service{config: config, core: newCore(config.Self, config.Now()), changed: make(chan struct{})}
}

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.kernel = k
	return nil
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	s.kernel.Go(ServiceName, "decide", s.run)
	s.kernel.Go(ServiceName, "zones", s.listZones)
	return ctx.Err()
}

// Stop implements kernel.Service. It hands each led zone over to the next candidate.
func (s *Service) Stop(ctx context.Context) error {
	in := s.input()
	s.mu.Lock()
	s.stopped = true
	terms := slices.Collect(maps.Values(s.core.terms))
	clear(s.core.terms)
	s.notify()
	s.mu.Unlock()
	if ctx.Err() != nil {
		return nil
	}
	var handovers sync.WaitGroup
	for _, term := range terms {
		handovers.Go(func() { s.release(ctx, term, in) })
	}
	handovers.Wait()
	return nil
}

func (s *Service) release(ctx context.Context, term Term, in Input) {
	var successor string
	if order := candidates(zoneOf(in.Zones, term.Zone), in.Members, s.config.Self); len(order) > 0 {
		successor = order[0]
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	record := state.Record{Release: &state.ZoneRelease{Zone: term.Zone, Epoch: term.Epoch, Successor: successor}}
	_, err := s.config.Writer.Write(ctx, record)
	releases.Inc()
	s.report("zone-released", term.Zone, term.Epoch, "", "graceful stop, successor "+successor, err)
}

func zoneOf(zones []Zone, name string) Zone {
	for _, zone := range zones {
		if zone.Name == name {
			return zone
		}
	}
	return Zone{Name: name}
}

func (s *Service) run(ctx context.Context) error {
	ticker := time.NewTicker(decideInterval)
	defer ticker.Stop()
	defer s.claims.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-s.config.Peers.Changed():
		}
		s.step(ctx)
	}
}

// step decides once and carries the actions out.
func (s *Service) step(ctx context.Context) {
	in := s.input()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	actions := s.core.decide(s.config.Now(), in)
	for _, action := range actions {
		s.begin(ctx, action)
	}
	s.mu.Unlock()
	s.publishEpochs(in)
}

// begin carries out one action with the lock held.
func (s *Service) begin(ctx context.Context, action Action) {
	if action.Kind == ActStepDown {
		term := s.core.terms[action.Zone]
		delete(s.core.terms, action.Zone)
		s.notify()
		stepDowns.Inc()
		s.report("stepped-down", term.Zone, term.Epoch, "", action.Reason, nil)
		return
	}
	s.core.pending[action.Zone] = true
	s.claims.Go(func() {
		if action.Kind == ActClaim {
			s.claim(ctx, action)
		} else {
			s.record(ctx, action)
		}
		s.mu.Lock()
		delete(s.core.pending, action.Zone)
		s.mu.Unlock()
	})
}

// claim claims a zone in the log or, if the log is down, provisionally.
func (s *Service) claim(ctx context.Context, action Action) {
	if action.VerifyHolder != "" && s.config.Peers.Reachable(ctx, action.VerifyHolder) {
		s.report("claim-dropped", action.Zone, action.Epoch, action.VerifyHolder, action.VerifyHolder+" answers", nil)
		return
	}
	if !s.logUp() {
		s.take(action, false)
		return
	}
	record := state.Record{
		ID:    uuid.NewString(),
		Claim: &state.ZoneClaim{Zone: action.Zone, Epoch: action.Epoch, Expected: action.Expected},
	}
	verdict, err := s.write(ctx, record)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		// The claim may still land; it has the same epoch as the provisional term.
		s.take(action, false)
	case verdict.Code == state.Accepted:
		s.take(action, true)
	default:
		claimsRefused.Inc()
		s.report("claim-refused", action.Zone, action.Epoch, "", verdict.Message, nil)
		s.pause(ctx)
	}
}

func (s *Service) take(action Action, recorded bool) {
	name := "zone-claimed"
	if recorded {
		claimsAccepted.Inc()
	} else {
		name = "zone-claimed-provisionally"
		claimsProvis.Inc()
	}
	s.mu.Lock()
	if !s.stopped {
		s.core.take(s.config.Now(), action.Zone, action.Epoch, recorded)
		s.notify()
	}
	s.mu.Unlock()
	s.report(name, action.Zone, action.Epoch, action.Expected.Holder, action.Reason, nil)
	s.publishEpochs(s.input())
}

// record writes the claim of a provisional term. The term ends if another claim was first.
func (s *Service) record(ctx context.Context, action Action) {
	claim := &state.ZoneClaim{Zone: action.Zone, Epoch: action.Epoch, Provisional: true}
	verdict, err := s.write(ctx, state.Record{ID: uuid.NewString(), Claim: claim})
	recorded := err == nil && verdict.Code == state.Accepted || s.recordedEpoch(action.Zone) == action.Epoch
	switch {
	case recorded:
		s.markRecorded(action)
	case err != nil:
		s.pause(ctx)
	default:
		s.EpochRejected(action.Zone, action.Epoch)
	}
}

func (s *Service) markRecorded(action Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term, held := s.core.terms[action.Zone]
	if !held || term.Epoch != action.Epoch {
		return
	}
	term.Recorded = true
	s.core.terms[action.Zone] = term
	s.notify()
	s.report("claim-recorded", action.Zone, action.Epoch, "", action.Reason, nil)
}

// write appends a record and repeats it once, with the same id, if the answer was lost.
func (s *Service) write(ctx context.Context, record state.Record) (state.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	verdict, err := s.config.Writer.Write(ctx, record)
	if errors.Is(err, state.ErrUnknownOutcome) && ctx.Err() == nil {
		return s.config.Writer.Write(ctx, record)
	}
	return verdict, err
}

func (s *Service) pause(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryPause):
	}
}

// Terms returns the zones that this instance leads, sorted by name.
func (s *Service) Terms() []Term {
	s.mu.Lock()
	defer s.mu.Unlock()
	terms := slices.Collect(maps.Values(s.core.terms))
	slices.SortFunc(terms, func(a, b Term) int { return strings.Compare(a.Zone, b.Zone) })
	return terms
}

// Changed returns a channel that is closed when Terms next changes.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed reports whether this instance leads a zone in the given epoch and may act now.
func (s *Service) Confirmed(zone string, epoch platform.Epoch) bool {
	return s.config.Now().Before(s.ConfirmedUntil(zone, epoch))
}

// ConfirmedUntil returns until when this instance may act as the leader of a zone in the given
// epoch: ConfirmationAge after its last confirmation on the monotonic clock. It is zero if
// the instance does not hold the epoch or knows a newer one.
func (s *Service) ConfirmedUntil(zone string, epoch platform.Epoch) time.Time {
	in := s.input()
	s.mu.Lock()
	defer s.mu.Unlock()
	term, held := s.core.terms[zone]
	if !held || term.Epoch != epoch || s.core.newest(zone, in) != epoch {
		return time.Time{}
	}
	if len(in.Members) <= 1 {
		return s.config.Now().Add(MaxConfirmationAge)
	}
	confirmed := s.config.Peers.LastAckedProbeAt()
	if in.Recorded[zone].Epoch == epoch {
		confirmed = later(confirmed, s.config.Tail.LastReadAt())
	}
	return confirmed.Add(MaxConfirmationAge)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// EpochRejected tells that a worker or the log refused an epoch as too old. The term ends at once.
func (s *Service) EpochRejected(zone string, epoch platform.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.refuse(s.config.Now(), zone, epoch) {
		return
	}
	s.notify()
	stepDowns.Inc()
	s.report("stepped-down", zone, epoch, "", "the epoch was refused", nil)
}

// Leader returns the newest known epoch of a zone; its Holder is the leader.
func (s *Service) Leader(zone string) platform.Epoch {
	in := s.input()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.newest(zone, in)
}

func (s *Service) logUp() bool {
	at := s.config.Tail.LastReadAt()
	return !at.IsZero() && s.config.Now().Sub(at) < logUpAge
}

func (s *Service) recordedEpoch(zone string) platform.Epoch {
	var epoch platform.Epoch
	s.config.Reader.Read(func(st *state.State) { epoch = st.Zones[zone].Epoch })
	return epoch
}

func (s *Service) input() Input {
	in := Input{Members: s.config.Peers.Members(), LogUp: s.logUp()}
	s.config.Reader.Read(func(st *state.State) { in.Recorded = maps.Clone(st.Zones) })
	s.mu.Lock()
	in.Zones = slices.Clone(s.listed)
	s.mu.Unlock()
	for _, m := range in.Members {
		in.Zones = addZone(in.Zones, Zone{Name: m.Zone, Region: m.Region})
	}
	for name := range in.Recorded {
		in.Zones = addZone(in.Zones, Zone{Name: name})
	}
	slices.SortFunc(in.Zones, func(a, b Zone) int { return strings.Compare(a.Name, b.Name) })
	return in
}

func addZone(zones []Zone, zone Zone) []Zone {
	if slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == zone.Name }) {
		return zones
	}
	return append(zones, zone)
}

// listZones follows the zones of the platform's workers.
func (s *Service) listZones(ctx context.Context) error {
	for {
		list, err := s.config.Instances.List(ctx)
		if err == nil {
			var zones []Zone
			for _, instance := range list {
				if instance.Kind == platform.KindWorker {
					zones = addZone(zones, Zone{Name: instance.Zone, Region: instance.Region})
				}
			}
			s.mu.Lock()
			s.listed = zones
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listInterval):
		}
	}
}

// publishEpochs tells the peers the newest epoch of each zone that this instance knows.
func (s *Service) publishEpochs(in Input) {
	known := make(map[string]platform.Epoch)
	s.mu.Lock()
	for _, zone := range in.Zones {
		if newest := s.core.newest(zone.Name, in); newest.Number > 0 {
			known[zone.Name] = newest
		}
	}
	s.mu.Unlock()
	if !maps.Equal(known, s.config.Peers.Self().Info.Epochs) {
		s.config.Peers.Publish(func(info *membership.Info) { info.Epochs = known })
	}
}

// report logs and records a change of leadership. cause is the instance whose message led to it,
// or empty.
func (s *Service) report(name, zone string, epoch platform.Epoch, cause, reason string, err error) {
	entry := s.config.Log.Info().Str("event", name).Str("zone", zone).Uint64("epoch", epoch.Number).
		Str("holder", epoch.Holder).Str("reason", reason)
	if err != nil {
		entry = entry.Str("error", err.Error())
	}
	entry.Msg("")
	s.config.Timeline.Record(timeline.Event{Type: timeline.TypeLeadership, Name: name, Zone: zone, Reason: reason, Cause: cause})
}

// notify is called with the lock held.
func (s *Service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
