package placement

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/leadership"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// memoryReplica applies the records of a log to a state. It replaces package replica in these tests.
type memoryReplica struct {
	log platform.Log
	id  string

	mu      sync.Mutex
	state   *state.State
	changed chan struct{}
	readAt  time.Time
}

func newMemoryReplica(log platform.Log, id string) *memoryReplica {
	return &memoryReplica{log: log, id: id, state: state.New(), changed: make(chan struct{})}
}

func (r *memoryReplica) follow(ctx context.Context) {
	const limit, wait, pause = 1000, 500 * time.Millisecond, 500 * time.Millisecond
	for ctx.Err() == nil {
		r.mu.Lock()
		from := r.state.Applied + 1
		r.mu.Unlock()
		sent := time.Now()
		batch, err := r.log.Read(ctx, from, limit, wait)
		if err != nil {
			time.Sleep(pause)
			continue
		}
		r.apply(batch, sent)
	}
}

func (r *memoryReplica) apply(batch platform.Batch, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readAt = sent
	for _, entry := range batch.Entries {
		record, err := state.DecodeRecord(entry.Data)
		if err != nil {
			r.state.Skip(entry.Offset)
			continue
		}
		r.state.Apply(entry.Offset, record)
	}
	if len(batch.Entries) > 0 {
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

func (r *memoryReplica) Read(f func(*state.State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.state)
}

func (r *memoryReplica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

func (r *memoryReplica) LastReadAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.readAt
}

func (r *memoryReplica) Write(ctx context.Context, record state.Record) (state.Verdict, error) {
	record.Version, record.Writer, record.Time = state.RecordVersion, r.id, time.Now()
	r.Read(func(s *state.State) { record.Base = s.Applied })
	if record.ID == "" {
		record.ID = uuid.NewString()
	}
	data, err := record.Encode()
	if err != nil {
		return state.Verdict{}, err
	}
	_, err = r.log.Append(ctx, data)
	if errors.Is(err, platform.ErrUnavailable) {
		return state.Verdict{}, state.ErrNotApplied
	}
	for {
		var verdict state.Verdict
		var found bool
		changed := r.Changed()
		r.Read(func(s *state.State) { verdict, found = s.Verdicts[record.ID] })
		if found {
			return verdict, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return state.Verdict{}, state.ErrUnknownOutcome
		}
	}
}

// network connects the instances of a testSystem in memory.
type network struct {
	mu sync.Mutex
	// nodes has the RPC receivers of each instance, by instance id and receiver name.
	nodes map[string]map[string]any
	// cut has the ids of instances that are cut off from all peers and workers.
	cut map[string]bool
	// dead has the ids of instances that cannot reach the log either.
	dead map[string]bool
}

func (n *network) isDead(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dead[id]
}

// endpoint is the connection of one instance to the network.
type endpoint struct {
	network *network
	id      string
}

func (e endpoint) Register(name string, receiver any) error {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	if e.network.nodes[e.id] == nil {
		e.network.nodes[e.id] = make(map[string]any)
	}
	e.network.nodes[e.id][name] = receiver
	return nil
}

func (e endpoint) Call(ctx context.Context, instance, method string, args, reply any) error {
	name, function, _ := strings.Cut(method, ".")
	e.network.mu.Lock()
	receiver := e.network.nodes[instance][name]
	cut := e.network.cut[e.id] || e.network.cut[instance]
	e.network.mu.Unlock()
	if cut || receiver == nil {
		<-ctx.Done()
		return peer.ErrUnknownOutcome
	}
	results := reflect.ValueOf(receiver).MethodByName(function).Call([]reflect.Value{reflect.ValueOf(args), reflect.ValueOf(reply)})
	err, _ := results[0].Interface().(error)
	return err
}

func (e endpoint) Peers() []string {
	e.network.mu.Lock()
	defer e.network.mu.Unlock()
	var ids []string
	for id := range e.network.nodes {
		if id != e.id {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// node is one instance of a testSystem.
type node struct {
	id         string
	replica    *memoryReplica
	membership *membership.Service
	leadership *leadership.Service
	placement  *Service
	stop       context.CancelFunc
	done       chan struct{}
}

// testSystem is a set of instances with stand-ins for the platform, under virtual time.
type testSystem struct {
	t         *testing.T
	log       *standin.Log
	instances *standin.Instances
	fleet     *standin.Fleet
	network   *network
	rows      []platform.Instance
	nodes     map[string]*node
	// stopCalls is the number of stop calls to workers.
	stopCalls atomic.Int64
}

// activeLeases returns the number of active leases at all workers.
func (sys *testSystem) activeLeases() int {
	n := 0
	for _, row := range sys.rows {
		for _, lease := range sys.fleet.Snapshot(row.ID) {
			if lease.State.Active() {
				n++
			}
		}
	}
	return n
}

// systemConfig describes a testSystem.
type systemConfig struct {
	// workers is the number of workers in each zone, perRack the number in each rack.
	workers, perRack int
	// nodes has the ids of the instances. An instance is in zone-a unless written as id@zone.
	nodes []string
	// workerZones has the zones that have workers; zone-a if empty.
	workerZones []string
}

func newSystem(t *testing.T, config systemConfig) *testSystem {
	// memoryReplica cannot fetch expired entries from a peer, so the log must retain all entries.
	sys := &testSystem{t: t, log: standin.NewLog(standin.LogConfig{Retention: 24 * time.Hour}), nodes: make(map[string]*node)}
	sys.network = &network{nodes: make(map[string]map[string]any), cut: make(map[string]bool), dead: make(map[string]bool)}
	if len(config.workerZones) == 0 {
		config.workerZones = []string{"zone-a"}
	}
	for _, zone := range config.workerZones {
		for i := range config.workers {
			sys.rows = append(sys.rows, platform.Instance{
				ID: fmt.Sprintf("%s-w%02d", zone, i), Kind: platform.KindWorker, State: platform.StateLive,
				Zone: zone, Region: "region-1", Rack: fmt.Sprintf("%s-r%d", zone, i/config.perRack),
				Cores: 64, MemoryMB: 128 << 10, Accelerators: 8,
			})
		}
	}
	sys.fleet = standin.NewFleet(standin.FleetConfig{Workers: sys.rows, UsageLag: time.Second})
	sys.instances = standin.NewInstances(nil, 0, sys.rows)
	var peers []membership.Peer
	for _, name := range config.nodes {
		id, zone, found := strings.Cut(name, "@")
		if !found {
			zone = "zone-a"
		}
		peers = append(peers, membership.Peer{ID: id, Zone: zone, Region: "region-1"})
		sys.network.nodes[id] = make(map[string]any)
	}
	for i := range peers {
		sys.start(peers[i], slices.Concat(peers[:i], peers[i+1:]))
	}
	t.Cleanup(sys.close)
	return sys
}

// start starts the services of one instance.
func (sys *testSystem) start(self membership.Peer, peers []membership.Peer) {
	end := endpoint{network: sys.network, id: self.ID}
	recorder := timeline.NewRecorder(self.ID, hlc.New(nil), 1000)
	logger := logging.Discard()
	n := &node{id: self.ID, replica: newMemoryReplica(gatedLog{sys.log, sys, self.ID}, self.ID), done: make(chan struct{})}
	n.membership = membership.New(membership.Config{
		Self: self, Peers: peers, Seed: 1, Caller: end, Registrar: end, Log: logger, Timeline: recorder,
	})
	n.leadership = leadership.New(leadership.Config{
		Self: self.ID, Peers: n.membership, Reader: n.replica, Writer: n.replica, Tail: n.replica,
		Instances: sys.instances, Log: logger, Timeline: recorder,
	})
	n.placement = New(Config{
		Self: self.ID, Leadership: n.leadership, Reader: n.replica, Writer: n.replica, Tail: n.replica,
		Instances: sys.instances, Workers: gatedWorkers{sys.fleet, sys, self.ID}, Publisher: n.membership,
		Caller: end, Registrar: end, NewScheduler: func() scheduler.Scheduler { return scheduler.New(1) },
		Log: logger, Timeline: recorder,
	})
	k := kernel.New()
	require.NoError(sys.t, k.Register(kernel.Registration{Name: membership.ServiceName, Service: n.membership}))
	require.NoError(sys.t, k.Register(kernel.Registration{Name: leadership.ServiceName, Service: n.leadership, Requires: []string{membership.ServiceName}}))
	require.NoError(sys.t, k.Register(kernel.Registration{Name: ServiceName, Service: n.placement, Requires: []string{leadership.ServiceName}}))
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	followCtx, stopFollowing := context.WithCancel(context.Background())
	var following sync.WaitGroup
	following.Go(func() { n.replica.follow(followCtx) })
	n.membership.Publish(func(i *membership.Info) { i.Ready = true })
	go func() {
		defer close(n.done)
		defer following.Wait()
		defer stopFollowing()
		_ = k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Minute)
		})
	}()
	sys.nodes[self.ID] = n
}

// gatedLog is the log as seen by one instance. Its calls fail while the instance is dead.
type gatedLog struct {
	platform.Log
	system *testSystem
	id     string
}

func (c gatedLog) Append(ctx context.Context, data []byte) (platform.Offset, error) {
	if c.system.network.isDead(c.id) {
		return 0, platform.ErrUnavailable
	}
	return c.Log.Append(ctx, data)
}

func (c gatedLog) Read(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if c.system.network.isDead(c.id) {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return c.Log.Read(ctx, from, limit, wait)
}

// isolate cuts an instance off from its peers and the workers but not from the log.
func (sys *testSystem) isolate(id string) {
	sys.network.mu.Lock()
	defer sys.network.mu.Unlock()
	sys.network.cut[id] = true
}

// kill cuts an instance off from its peers, the workers and the log. To them this looks like SIGKILL
// or a pause that never ends.
func (sys *testSystem) kill(id string) {
	sys.network.mu.Lock()
	defer sys.network.mu.Unlock()
	sys.network.cut[id] = true
	sys.network.dead[id] = true
}

func (sys *testSystem) close() {
	for _, n := range sys.nodes {
		n.stop()
	}
	for _, n := range sys.nodes {
		<-n.done
	}
	// The stand-ins may still process delayed calls. They must be finished before the synctest bubble
	// ends.
	time.Sleep(time.Minute)
}

// gatedWorkers calls the workers for one instance. Its list, reserve, start, renew and stop calls fail
// while the instance is cut off. Calls of the other kinds still reach the workers.
type gatedWorkers struct {
	platform.Workers
	system *testSystem
	id     string
}

func (g gatedWorkers) cut() bool { return g.system.network.isCut(g.id) }

func (g gatedWorkers) Leases(ctx context.Context, worker platform.Instance, epoch platform.Epoch) ([]platform.Lease, error) {
	if g.cut() {
		return nil, platform.ErrUnavailable
	}
	return g.Workers.Leases(ctx, worker, epoch)
}

func (g gatedWorkers) Reserve(ctx context.Context, worker platform.Instance, req platform.ReserveRequest) error {
	if g.cut() {
		return platform.ErrUnavailable
	}
	return g.Workers.Reserve(ctx, worker, req)
}

func (g gatedWorkers) Start(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	if g.cut() {
		return nil, platform.ErrUnavailable
	}
	return g.Workers.Start(ctx, worker, req)
}

func (g gatedWorkers) Renew(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	if g.cut() {
		return nil, platform.ErrUnavailable
	}
	return g.Workers.Renew(ctx, worker, req)
}

func (g gatedWorkers) Stop(ctx context.Context, worker platform.Instance, req platform.LeaseRequest) ([]platform.LeaseResult, error) {
	if g.cut() {
		return nil, platform.ErrUnavailable
	}
	g.system.stopCalls.Add(1)
	return g.Workers.Stop(ctx, worker, req)
}

// put writes a resource through an instance that is not cut off.
func (sys *testSystem) put(object resource.Object) {
	sys.t.Helper()
	data, err := json.Marshal(object)
	require.NoError(sys.t, err)
	sys.write(state.Record{Put: &state.Put{Kind: object.Kind(), Object: data}})
}

func (sys *testSystem) write(record state.Record) {
	sys.t.Helper()
	sys.writeThrough(sys.liveNode(), record)
}

func (sys *testSystem) writeThrough(n *node, record state.Record) {
	sys.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	verdict, err := n.replica.Write(ctx, record)
	require.NoError(sys.t, err)
	require.Equal(sys.t, state.Accepted, verdict.Code, verdict.Message)
}

// liveNode returns the first instance that is not cut off, or nil.
func (sys *testSystem) liveNode() *node { return sys.liveNodeExcept("") }

// liveNodeExcept returns the first instance that is not cut off and not the given one, or nil.
func (sys *testSystem) liveNodeExcept(except string) *node {
	for _, id := range slices.Sorted(maps.Keys(sys.nodes)) {
		if id == except {
			continue
		}
		sys.network.mu.Lock()
		cut := sys.network.cut[id]
		sys.network.mu.Unlock()
		if !cut {
			return sys.nodes[id]
		}
	}
	return nil
}

func (sys *testSystem) putOrganisation(name string) {
	sys.put(&resource.Organisation{Metadata: resource.Metadata{Name: name}, Spec: resource.OrganisationSpec{Weight: 1}})
}

func testJob(name string, members, accelerators int, payload string) *resource.Job {
	return &resource.Job{
		Metadata: resource.Metadata{Name: name},
		Spec: resource.JobSpec{
			Organisation: "org", Members: members, AcceleratorsPerMember: accelerators,
			Adjacency: resource.AdjacentZone, Urgency: 3, Payload: payload,
			Checkpointable: true, Restart: resource.RestartAlways,
		},
		Status: resource.JobStatus{Zone: "zone-a"},
	}
}

func (sys *testSystem) job(name string) *resource.Job {
	var job *resource.Job
	sys.liveNode().replica.Read(func(s *state.State) { job = s.Jobs[name] })
	return job
}

// leader returns the instance that leads a zone, or nil. It ignores instances that are cut off.
func (sys *testSystem) leader(zone string) *node {
	for _, id := range slices.Sorted(maps.Keys(sys.nodes)) {
		if sys.network.isCut(id) {
			continue
		}
		for _, term := range sys.nodes[id].leadership.Terms() {
			if term.Zone == zone {
				return sys.nodes[id]
			}
		}
	}
	return nil
}

func (n *network) isCut(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[id]
}

// eventually waits until the condition is true and returns how long that took. It fails the test
// if the condition is not true within limit. Times are virtual.
func (sys *testSystem) eventually(limit time.Duration, what string, condition func() bool) time.Duration {
	sys.t.Helper()
	begin := time.Now()
	for time.Since(begin) < limit {
		if condition() {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	sys.t.Fatalf("condition not met within %s: %s", limit, what)
	return limit
}

// inPhase returns a condition that is true while a job is in the phase.
func (sys *testSystem) inPhase(name string, phase resource.Phase) func() bool {
	return func() bool {
		job := sys.job(name)
		return job != nil && job.Status.Phase == phase
	}
}

// honourable returns a condition that is true while the Honourable condition of a guarantee has the
// status.
func (sys *testSystem) honourable(name string, status resource.ConditionStatus) func() bool {
	return func() (holds bool) {
		sys.liveNode().replica.Read(func(s *state.State) {
			holds = slices.ContainsFunc(s.Guarantees[name].Conditions, func(c resource.Condition) bool {
				return c.Type == resource.ConditionHonourable && c.Status == status
			})
		})
		return holds
	}
}

// sameState reports whether all instances that are not dead have applied the same records.
func (sys *testSystem) sameState() bool {
	offsets := make(map[platform.Offset]bool)
	for _, n := range sys.nodes {
		if sys.network.isDead(n.id) {
			continue
		}
		n.replica.Read(func(s *state.State) { offsets[s.Applied] = true })
	}
	return len(offsets) == 1
}

// requireNoPartial checks that no attempt ran with only some of its members for longer than bound.
func (sys *testSystem) requireNoPartial(bound time.Duration) {
	sys.t.Helper()
	for id, partial := range sys.fleet.LongestPartialTimes() {
		require.LessOrEqual(sys.t, partial, bound, "attempt %v ran with only some members", id)
	}
}

// inBubble runs a test in a synctest bubble, with virtual time.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, test)
}
