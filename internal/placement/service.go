package placement

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/leadership"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// ServiceName is the name of the service in the kernel.
const ServiceName = "placement"

// Timing of the service.
const (
	// stepInterval is the period of the steps of a zone's loop. Results of calls and writes
	// trigger a step earlier.
	stepInterval = 100 * time.Millisecond
	// batchDelay is the pause after a step, so that results that arrive together are handled in
	// one step.
	batchDelay = 5 * time.Millisecond
	// writeTimeout is the timeout of one write to the log.
	writeTimeout = 2 * time.Second
	// maxTailAge is the greatest age of the last successful read of the log's tail at which the
	// log counts as up.
	maxTailAge = 3 * time.Second
	// listInterval is the period at which the platform's instance list is fetched.
	listInterval = 500 * time.Millisecond
	// publishInterval is the period at which changes in the zones' loads are published to the
	// peers.
	publishInterval = 2 * time.Second
)

// Leadership provides the zones that this instance leads and whether it may act as their leader.
type Leadership interface {
	// Terms returns the terms of this instance that are in force.
	Terms() []leadership.Term
	// Changed returns a channel that is closed when the result of Terms next changes.
	Changed() <-chan struct{}
	// ConfirmedUntil returns the time until which the leader of a term may act, or zero if it
	// may not act now.
	ConfirmedUntil(zone string, epoch platform.Epoch) time.Time
	// EpochRejected ends the term of the epoch. It is called when a worker or the log has rejected
	// the epoch, or when the epoch has no attempt numbers left.
	EpochRejected(zone string, epoch platform.Epoch)
	// Leader returns the newest known epoch of a zone.
	Leader(zone string) platform.Epoch
}

// Publisher publishes information about this instance to its peers.
type Publisher interface {
	// Publish applies change to the information and publishes the result.
	Publish(change func(*membership.Info))
}

// Config holds the dependencies of the service.
type Config struct {
	Self       string
	Leadership Leadership
	Reader     state.Reader
	Writer     state.Writer
	Tail       state.LogTail
	Instances  platform.Instances
	Workers    platform.Workers
	Publisher  Publisher
	Caller     peer.Caller
	Registrar  peer.Registrar
	// NewScheduler returns a new scheduler. It is called once for each term.
	NewScheduler func() scheduler.Scheduler
	// Now returns the current time; time.Now if nil.
	Now      func() time.Time
	Log      *log.Logger
	Timeline *timeline.Recorder
}

// Service runs the loops of the zones that this instance leads.
type Service struct {
	config Config
	kernel *kernel.Kernel
	cancel context.CancelFunc
	done   chan struct{}

	mu        sync.Mutex
	instances []platform.Instance
	// waiting has the reasons of jobs that are not placed, by zone and job name.
	waiting map[string]map[string]scheduler.Waiting
	loads   map[string]zoneLoad
}

// zoneLoad is the load of a zone as published to the peers: the number of free accelerators and
// of those that queued jobs need.
type zoneLoad struct{ free, queued int }

// New returns a Service. The kernel starts and stops it.
func New(config Config) *Service {
	if config.Now == nil {
		config.Now = time.Now
	}
	return &Service{
		config: config, done: make(chan struct{}),
		waiting: make(map[string]map[string]scheduler.Waiting),
		loads:   make(map[string]zoneLoad),
	}
}

// Provision implements kernel.Service.
func (s *Service) Provision(k *kernel.Kernel) error {
	s.kernel = k
	return eris.Wrap(s.config.Registrar.Register(receiverName, &Receiver{service: s}), "placement: register RPC receiver")
}

// Start implements kernel.Service.
func (s *Service) Start(ctx context.Context) error {
	ctx, s.cancel = context.WithCancel(ctx)
	s.kernel.Go(ServiceName, "instances", func(context.Context) error { return s.listInstances(ctx) })
	s.kernel.Go(ServiceName, "publish", func(context.Context) error { return s.publishLoads(ctx) })
	s.kernel.Go(ServiceName, "terms", func(context.Context) error {
		defer close(s.done)
		return s.followTerms(ctx)
	})
	return nil
}

// Stop implements kernel.Service. It does not stop running gangs; the next leader adopts them.
func (s *Service) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// followTerms runs one loop for each term in force, and ends it with the term.
func (s *Service) followTerms(ctx context.Context) error {
	loops := make(map[leadership.Term]context.CancelFunc)
	var running sync.WaitGroup
	defer running.Wait()
	for {
		changed := s.config.Leadership.Changed()
		current := make(map[leadership.Term]bool)
		for _, term := range s.config.Leadership.Terms() {
			// A term continues when its claim is recorded in the log, so Recorded must not be
			// part of the key of loops.
			term.Recorded = false
			current[term] = true
			if loops[term] == nil {
				termCtx, cancel := context.WithCancel(ctx)
				loops[term] = cancel
				running.Go(func() { s.lead(termCtx, term) })
			}
		}
		for term, cancel := range loops {
			if !current[term] {
				cancel()
				delete(loops, term)
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			for _, cancel := range loops {
				cancel()
			}
			return nil
		}
	}
}

// loop does the input and output for the zone of one term.
type loop struct {
	service    *Service
	term       leadership.Term
	zone       *zone
	dispatcher *dispatcher
	// confirmedUntil is the time until which the leadership is confirmed.
	confirmedUntil sharedTime
	cachedView     View
	writeResults   chan writeResult
	// placementReported is set once the time from startedAt to the first placement has been added to
	// the takeover metric. That time includes any time for which no job was queued.
	placementReported bool
	startedAt         time.Time
	// storedCount is the zone's scheduleCount at the last storeZoneInfo.
	storedCount int
}

// sharedTime is a time that is shared with the goroutines of the dispatcher.
type sharedTime struct {
	mu sync.Mutex
	at time.Time
}

func (u *sharedTime) set(at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.at = at
}

// after reports whether the shared time is after now.
func (u *sharedTime) after(now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return now.Before(u.at)
}

type writeResult struct {
	verdict state.Verdict
	err     error
}

// lead runs the loop of one zone until the term ends.
func (s *Service) lead(ctx context.Context, term leadership.Term) {
	now := s.config.Now()
	l := &loop{
		service: s, term: term, startedAt: now,
		zone:         newZone(now, term.Zone, term.Epoch, s.config.NewScheduler()),
		writeResults: make(chan writeResult, 1),
	}
	l.dispatcher = newDispatcher(s.config.Workers, term.Epoch, func() bool { return l.confirmedUntil.after(s.config.Now()) }, s.config.Now)
	defer s.deleteZoneInfo(term.Zone)
	defer l.dispatcher.goroutines.Wait()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(batchDelay):
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-l.dispatcher.wake:
		case w := <-l.writeResults:
			l.handleWriteResult(w)
		}
	}
}

func (l *loop) step(ctx context.Context) {
	s := l.service
	begin := s.config.Now()
	l.handleResults()
	l.confirmedUntil.set(s.config.Leadership.ConfirmedUntil(l.term.Zone, l.term.Epoch))
	step := l.zone.step(s.config.Now(), l.view())
	l.dispatcher.submit(ctx, step.Ops)
	if step.Update != nil {
		l.dispatcher.goroutines.Go(func() { l.write(ctx, step.Update, step.RecordID) })
	}
	if step.Exhausted {
		s.config.Leadership.EpochRejected(l.term.Zone, l.term.Epoch)
	}
	for _, e := range step.Events {
		l.report(e)
	}
	if l.storedCount != l.zone.scheduleCount {
		l.storedCount = l.zone.scheduleCount
		s.storeZoneInfo(l.zone)
	}
	stepSeconds.Update(s.config.Now().Sub(begin).Seconds())
}

func (l *loop) handleResults() {
	for {
		result, found := l.dispatcher.results.TryPop()
		if !found {
			return
		}
		if errors.Is(result.result.Err, platform.ErrStaleEpoch) {
			l.service.config.Leadership.EpochRejected(l.term.Zone, l.term.Epoch)
		}
		l.zone.handleResult(l.service.config.Now(), result.op, result.result)
	}
}

func (l *loop) write(ctx context.Context, update *state.ZoneUpdate, id string) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	writesTotal.Inc()
	verdict, err := l.service.config.Writer.Write(ctx, state.Record{ID: id, ZoneUpdate: update})
	if err != nil {
		writesFailed.Inc()
	}
	l.writeResults <- writeResult{verdict: verdict, err: err}
}

func (l *loop) handleWriteResult(w writeResult) {
	if l.zone.handleWriteResult(l.service.config.Now(), w.verdict, w.err) {
		l.service.config.Leadership.EpochRejected(l.term.Zone, l.term.Epoch)
	}
}

// view returns the input of the next step. It rebuilds the part from the state only if the state
// has changed.
func (l *loop) view() View {
	s := l.service
	s.config.Reader.Read(func(st *state.State) {
		if l.cachedView.Jobs == nil || st.Applied != l.cachedView.Offset {
			l.cachedView = newView(st, l.term.Zone)
		}
	})
	v := l.cachedView
	now := s.config.Now()
	v.Confirmed = l.confirmedUntil.after(now)
	v.LogUp = now.Sub(s.config.Tail.LastReadAt()) < maxTailAge && l.claimRecorded()
	s.mu.Lock()
	v.Instances = s.instances
	s.mu.Unlock()
	return v
}

func (l *loop) claimRecorded() bool {
	for _, term := range l.service.config.Leadership.Terms() {
		if term.Zone == l.term.Zone && term.Epoch == l.term.Epoch {
			return term.Recorded
		}
	}
	return false
}

// newView returns the part of a zone's View that comes from the state.
func newView(st *state.State, zone string) View {
	v := View{
		Jobs: make(map[string]*resource.Job), AllGuarantees: maps.Clone(st.Guarantees),
		GuaranteeRevision: maps.Clone(st.GuaranteeRevision), Organisations: maps.Clone(st.Organisations),
		Policy: st.Policy().Placement, Health: maps.Clone(st.Workers), Offset: st.Applied,
	}
	for name, job := range st.Jobs {
		switch {
		case job.Status.Zone == zone:
			v.Jobs[name] = job
		case !job.Status.Phase.Terminal():
			v.OtherJobs = append(v.OtherJobs, job)
		}
	}
	for _, g := range st.Guarantees {
		if g.Status.Zone == zone {
			v.Guarantees = append(v.Guarantees, g)
		}
	}
	sortByName(v.Guarantees)
	return v
}

func (l *loop) report(e Event) {
	s := l.service
	countEvent(e.Name)
	if e.Name == EventPlaced && !l.placementReported {
		l.placementReported = true
		takeoverSeconds.Update(s.config.Now().Sub(l.startedAt).Seconds())
	}
	entry := s.config.Log.Info().Str("event", e.Name).Str("zone", l.term.Zone)
	for _, field := range [][2]string{{"job", e.Job}, {"worker", e.Worker}, {"reason", e.Reason}} {
		if field[1] != "" {
			entry = entry.Str(field[0], field[1])
		}
	}
	entry.Msg("")
	s.config.Timeline.Record(timeline.Event{
		Type: e.timelineType(), Name: e.Name, Job: e.Job, Zone: l.term.Zone, Worker: e.Worker, Reason: e.Reason,
	})
}

func (e Event) timelineType() timeline.Type {
	switch e.Name {
	case EventCommitted, EventRunning, EventEnded, EventAdopted:
		return timeline.TypeLease
	case EventWorkerUnreachable, EventWorkerQuarantined:
		return timeline.TypeFault
	default:
		return timeline.TypeDecision
	}
}

// storeZoneInfo stores the latest waiting reasons and the load of a zone for Waiting and
// publishLoads.
func (s *Service) storeZoneInfo(z *zone) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting[z.name] = maps.Clone(z.waiting)
	s.loads[z.name] = z.load()
}

func (s *Service) deleteZoneInfo(zone string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, zone)
	delete(s.loads, zone)
}

// listInstances fetches the platform's instance list every listInterval.
func (s *Service) listInstances(ctx context.Context) error {
	for {
		if list, err := s.config.Instances.List(ctx); err == nil {
			s.mu.Lock()
			s.instances = list
			s.mu.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(listInterval):
		}
	}
}

// publishLoads publishes the loads of the zones that this instance leads whenever they have
// changed.
func (s *Service) publishLoads(ctx context.Context) error {
	var published map[string]zoneLoad
	for {
		s.mu.Lock()
		loads := maps.Clone(s.loads)
		s.mu.Unlock()
		if !maps.Equal(loads, published) {
			published = loads
			free, queued := make(map[string]int), make(map[string]int)
			for zone, load := range loads {
				free[zone], queued[zone] = load.free, load.queued
			}
			s.config.Publisher.Publish(func(info *membership.Info) {
				info.FreeAccelerators, info.QueuedAccelerators = free, queued
			})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(publishInterval):
		}
	}
}
