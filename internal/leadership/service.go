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

// ServiceName is the service name that is registered with the kernel.
const ServiceName = "leadership"

// Intervals and time limits of the service.
const (
	// decideInterval is the period of the decisions. A change of the members triggers one earlier.
	decideInterval = 100 * time.Millisecond
	// listInterval is the period at which the platform's instance list is fetched.
	listInterval = time.Second
	// writeTimeout limits a write to the log including its repetition. A claim that takes longer
	// starts a provisional term.
	writeTimeout = time.Second
	// maxTailAge is the time since the last read of the log's tail after which the log counts as
	// down.
	maxTailAge = 3 * time.Second
	// retryInterval is the time between a failed claim or record and the next one.
	retryInterval = 500 * time.Millisecond
)

// Metrics of the package; docs/operators/control.md explains them.
var (
	claimsAccepted    = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="accepted"}`)
	claimsRejected    = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="refused"}`)
	claimsProvisional = metrics.GetOrCreateCounter(`oleanderbend_leadership_claims_total{result="provisional"}`)
	stepDowns         = metrics.GetOrCreateCounter("oleanderbend_leadership_step_downs_total")
	releases          = metrics.GetOrCreateCounter("oleanderbend_leadership_releases_total")
)

// Peers is the part of membership.Service that leadership uses.
type Peers interface {
	membership.View
	// LastAckedProbeAt returns the send time of the newest probe to which a peer responded.
	LastAckedProbeAt() time.Time
	// Reachable reports whether an instance responds to a direct or an indirect probe.
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

// Service claims zones and provides the terms of this instance. It implements kernel.Service.
type Service struct {
	config Config
	kernel *kernel.Kernel
	claims sync.WaitGroup

	mu          sync.Mutex
	core        *core
	workerZones []Zone
	changed     chan struct{}
	stopped     bool
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

// Stop implements kernel.Service. It hands each zone that this instance leads over to the next
// candidate, unless ctx has ended.
func (s *Service) Stop(ctx context.Context) error {
	in := s.readInput()
	s.mu.Lock()
	s.stopped = true
	terms := slices.Collect(maps.Values(s.core.terms))
	clear(s.core.terms)
	s.notifyLocked()
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

// release records in the log that this instance gives up a term, and names the successor.
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

// zoneOf returns the zone with a name; if it is not in zones, the zone has no region.
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

// step decides once, starts the resulting actions, and publishes the known epochs.
func (s *Service) step(ctx context.Context) {
	in := s.readInput()
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	actions := s.core.decide(s.config.Now(), in)
	for _, action := range actions {
		s.execute(ctx, action)
	}
	s.mu.Unlock()
	s.publishEpochs(in)
}

// execute carries out an action. It is called with the lock held and runs claims and records in a
// goroutine.
func (s *Service) execute(ctx context.Context, action Action) {
	if action.Kind == ActStepDown {
		term := s.core.terms[action.Zone]
		delete(s.core.terms, action.Zone)
		s.notifyLocked()
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
		s.startTerm(action, false)
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
		// The claim may still be applied; it has the same epoch as the provisional term.
		s.startTerm(action, false)
	case verdict.Code == state.Accepted:
		s.startTerm(action, true)
	default:
		claimsRejected.Inc()
		s.report("claim-refused", action.Zone, action.Epoch, "", verdict.Message, nil)
		s.waitRetry(ctx)
	}
}

// startTerm starts a term, recorded or provisional, and publishes its epoch.
func (s *Service) startTerm(action Action, recorded bool) {
	name := "zone-claimed"
	if recorded {
		claimsAccepted.Inc()
	} else {
		name = "zone-claimed-provisionally"
		claimsProvisional.Inc()
	}
	s.mu.Lock()
	if !s.stopped {
		s.core.startTerm(s.config.Now(), action.Zone, action.Epoch, recorded)
		s.notifyLocked()
	}
	s.mu.Unlock()
	s.report(name, action.Zone, action.Epoch, action.Expected.Holder, action.Reason, nil)
	s.publishEpochs(s.readInput())
}

// record records the claim of a provisional term in the log. The term ends if the log
// gives another verdict than accepted, for example because another claim was recorded first.
func (s *Service) record(ctx context.Context, action Action) {
	claim := &state.ZoneClaim{Zone: action.Zone, Epoch: action.Epoch, Provisional: true}
	verdict, err := s.write(ctx, state.Record{ID: uuid.NewString(), Claim: claim})
	recorded := err == nil && verdict.Code == state.Accepted || s.recordedEpoch(action.Zone) == action.Epoch
	switch {
	case recorded:
		s.markRecorded(action)
	case err != nil:
		s.waitRetry(ctx)
	default:
		s.EpochRejected(action.Zone, action.Epoch)
	}
}

// markRecorded marks a term as recorded, unless it has ended.
func (s *Service) markRecorded(action Action) {
	s.mu.Lock()
	defer s.mu.Unlock()
	term, held := s.core.terms[action.Zone]
	if !held || term.Epoch != action.Epoch {
		return
	}
	term.Recorded = true
	s.core.terms[action.Zone] = term
	s.notifyLocked()
	s.report("claim-recorded", action.Zone, action.Epoch, "", action.Reason, nil)
}

// write appends a record. If the outcome is unknown, it writes the record once more with the same id,
// so the record takes effect once.
func (s *Service) write(ctx context.Context, record state.Record) (state.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	verdict, err := s.config.Writer.Write(ctx, record)
	if errors.Is(err, state.ErrUnknownOutcome) && ctx.Err() == nil {
		return s.config.Writer.Write(ctx, record)
	}
	return verdict, err
}

// waitRetry waits for retryInterval or the end of ctx.
func (s *Service) waitRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryInterval):
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

// Changed returns a channel that is closed at the next change of Terms.
func (s *Service) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Confirmed reports whether this instance leads a zone in the given epoch and its leadership was
// confirmed recently enough to act.
func (s *Service) Confirmed(zone string, epoch platform.Epoch) bool {
	return s.config.Now().Before(s.ConfirmedUntil(zone, epoch))
}

// ConfirmedUntil returns the time until which this instance may act as the leader of a zone in the
// given epoch: MaxConfirmationAge after the last confirmation, on the monotonic clock. A confirmation
// is a probe to which a peer responded or, while the epoch is the recorded one, a read of the log's
// tail. An instance without peers is always confirmed. ConfirmedUntil returns the zero time if the
// instance does not hold the epoch or a newer one is known.
func (s *Service) ConfirmedUntil(zone string, epoch platform.Epoch) time.Time {
	in := s.readInput()
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

// EpochRejected is called when a worker or the log rejected an epoch, or when the epoch has no attempt
// numbers left. The term with this epoch ends at once.
func (s *Service) EpochRejected(zone string, epoch platform.Epoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.core.rejectTerm(s.config.Now(), zone, epoch) {
		return
	}
	s.notifyLocked()
	stepDowns.Inc()
	s.report("stepped-down", zone, epoch, "", "the epoch was refused", nil)
}

// Leader returns the newest known epoch of a zone. Its Holder is the leader.
func (s *Service) Leader(zone string) platform.Epoch {
	in := s.readInput()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.newest(zone, in)
}

// logUp reports whether the tail of the log was read within maxTailAge.
func (s *Service) logUp() bool {
	at := s.config.Tail.LastReadAt()
	return !at.IsZero() && s.config.Now().Sub(at) < maxTailAge
}

// recordedEpoch returns the epoch of a zone according to the log.
func (s *Service) recordedEpoch(zone string) platform.Epoch {
	var epoch platform.Epoch
	s.config.Reader.Read(func(st *state.State) { epoch = st.Zones[zone].Epoch })
	return epoch
}

// readInput collects the current Input. Its zones are those of workers, members and recorded leaders.
func (s *Service) readInput() Input {
	in := Input{Members: s.config.Peers.Members(), LogUp: s.logUp()}
	s.config.Reader.Read(func(st *state.State) { in.Recorded = maps.Clone(st.Zones) })
	s.mu.Lock()
	in.Zones = slices.Clone(s.workerZones)
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

// addZone appends a zone unless zones has one with the same name.
func addZone(zones []Zone, zone Zone) []Zone {
	if slices.ContainsFunc(zones, func(z Zone) bool { return z.Name == zone.Name }) {
		return zones
	}
	return append(zones, zone)
}

// listZones polls the platform's list of instances for the zones that have workers.
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
			s.workerZones = zones
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listInterval):
		}
	}
}

// publishEpochs publishes the newest known epoch of each zone to the peers if one has changed.
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

// report logs an event of the leadership and adds it to the timeline. cause is the other
// instance concerned, or empty: the previous leader, or the one that responded to a probe.
func (s *Service) report(name, zone string, epoch platform.Epoch, cause, reason string, err error) {
	entry := s.config.Log.Info().Str("event", name).Str("zone", zone).Uint64("epoch", epoch.Number).
		Str("holder", epoch.Holder).Str("reason", reason)
	if err != nil {
		entry = entry.Str("error", err.Error())
	}
	entry.Msg("")
	s.config.Timeline.Record(timeline.Event{Type: timeline.TypeLeadership, Name: name, Zone: zone, Reason: reason, Cause: cause})
}

// notifyLocked closes the current channel of Changed. It is called with the lock held.
func (s *Service) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}
