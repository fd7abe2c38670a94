package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// cluster is a set of replicas that share one log. runCluster runs it in virtual time.
type cluster struct {
	t   *testing.T
	log *standin.Log

	mu      sync.Mutex
	members map[string]*member
	// cutFromLog has the instances that are cut off from the log, cutFromPeers those that are cut off
	// from all peers.
	cutFromLog, cutFromPeers map[string]bool
	// oneWay has the delay of a message in either direction between an instance and the log.
	oneWay map[string]time.Duration
}

// member is one instance of a cluster. It implements the interfaces that its replica uses.
type member struct {
	cluster *cluster
	id      string
	replica *Replica
	info    membership.Info
	alive   bool
	stop    context.CancelFunc
	changed chan struct{}
}

func newCluster(t *testing.T, config standin.LogConfig) *cluster {
	return &cluster{
		t: t, log: standin.NewLog(config), members: make(map[string]*member),
		cutFromLog: make(map[string]bool), cutFromPeers: make(map[string]bool), oneWay: make(map[string]time.Duration),
	}
}

// start starts instances, or restarts them with an empty state.
func (c *cluster) start(ids ...string) {
	for _, id := range ids {
		c.kill(id)
		m := &member{cluster: c, id: id, alive: true, info: membership.Info{ID: id}, changed: make(chan struct{})}
		events := timeline.NewRecorder(id, hlc.New(nil), 100)
		m.replica = New(Dependencies{
			ID: id, Log: m, Peers: m, View: m, Now: time.Now, Logger: logging.Discard(), Events: events, Metrics: metrics.NewSet(), Seed: uint64(id[0]),
		})
		ctx, cancel := context.WithCancel(c.t.Context())
		m.stop = cancel
		c.mu.Lock()
		c.members[id] = m
		c.mu.Unlock()
		require.NoError(c.t, m.replica.Start(ctx))
	}
}

// kill stops instances without a graceful shutdown.
func (c *cluster) kill(ids ...string) {
	for _, id := range ids {
		c.mu.Lock()
		m := c.members[id]
		c.mu.Unlock()
		if m == nil {
			continue
		}
		m.stop()
		c.mu.Lock()
		m.alive = false
		c.mu.Unlock()
	}
}

func (c *cluster) killAll() {
	c.mu.Lock()
	ids := slices.Collect(maps.Keys(c.members))
	c.mu.Unlock()
	c.kill(ids...)
}

func (c *cluster) replica(id string) *Replica {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.members[id].replica
}

// cut sets for instances whether they are cut off from the log and from all peers.
func (c *cluster) cut(fromLog, fromPeers bool, ids ...string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.cutFromLog[id], c.cutFromPeers[id] = fromLog, fromPeers
	}
}

// reachable returns the members that the instance can call.
func (c *cluster) reachable(from string) []*member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*member
	for _, id := range slices.Sorted(maps.Keys(c.members)) {
		if id != from && c.members[id].alive && !c.cutFromPeers[id] && !c.cutFromPeers[from] {
			found = append(found, c.members[id])
		}
	}
	return found
}

func (m *member) isCutFromLog() bool {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return m.cluster.cutFromLog[m.id]
}

// Append implements platform.Log.
func (m *member) Append(ctx context.Context, data []byte) (platform.Offset, error) {
	if m.isCutFromLog() {
		return 0, platform.ErrUnavailable
	}
	defer m.simulateNetworkDelay()
	m.simulateNetworkDelay()
	return m.cluster.log.Append(ctx, data)
}

// Read implements platform.Log.
func (m *member) Read(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if m.isCutFromLog() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	defer m.simulateNetworkDelay()
	m.simulateNetworkDelay()
	return m.cluster.log.Read(ctx, from, limit, wait)
}

// simulateNetworkDelay waits as long as a message takes between the instance and the log.
func (m *member) simulateNetworkDelay() {
	m.cluster.mu.Lock()
	delay := m.cluster.oneWay[m.id]
	m.cluster.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// Peers implements peer.Caller.
func (m *member) Peers() []string {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return slices.DeleteFunc(slices.Sorted(maps.Keys(m.cluster.members)), func(id string) bool { return id == m.id })
}

// Call implements peer.Caller.
func (m *member) Call(_ context.Context, id, method string, args, reply any) error {
	for _, other := range m.cluster.reachable(m.id) {
		if other.id != id {
			continue
		}
		receiver := &Receiver{replica: other.replica}
		switch method {
		case "Replica.Position":
			return receiver.Position(args.(*PositionArgs), reply.(*PositionReply))
		case "Replica.State":
			return receiver.State(args.(*StateArgs), reply.(*StateReply))
		case "Replica.Tail":
			return receiver.Tail(args.(*TailArgs), reply.(*TailReply))
		}
	}
	return peer.ErrUnreachable
}

// Self implements membership.View.
func (m *member) Self() membership.Member {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	return membership.Member{Info: m.info, Status: membership.Alive}
}

// Members implements membership.View.
func (m *member) Members() []membership.Member {
	members := []membership.Member{m.Self()}
	for _, other := range m.cluster.reachable(m.id) {
		members = append(members, other.Self())
	}
	slices.SortFunc(members, func(a, b membership.Member) int {
		if a.Info.ID < b.Info.ID {
			return -1
		}
		return 1
	})
	return members
}

// Changed implements membership.View.
func (m *member) Changed() <-chan struct{} { return m.changed }

// Publish implements membership.View.
func (m *member) Publish(change func(*membership.Info)) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	change(&m.info)
}

// runCluster runs a test with a cluster in virtual time and stops the cluster at the end.
func runCluster(t *testing.T, config standin.LogConfig, f func(t *testing.T, c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, config)
		defer func() {
			c.killAll()
			// Calls that the log delays outlive their callers. synctest fails if a goroutine is left, so
			// this waits until they have ended.
			time.Sleep(2 * time.Minute)
		}()
		f(t, c)
	})
}

// writePolicy writes the default policy. The queue limit identifies the version in checks.
func (c *cluster) writePolicy(id string, limit int) (state.Verdict, error) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 10*time.Second)
	defer cancel()
	return c.replica(id).Write(ctx, policyRecord(c.t, limit))
}

func policyRecord(t require.TestingT, limit int) state.Record {
	policy := &resource.Policy{Metadata: resource.Metadata{Name: resource.DefaultPolicyName}}
	policy.Spec.Admission.QueueLimit = limit
	data, err := json.Marshal(policy)
	require.NoError(t, err)
	return state.Record{Put: &state.Put{Kind: resource.KindPolicy, Object: data}}
}

func (c *cluster) mustWritePolicy(id string, limit int) platform.Offset {
	c.t.Helper()
	verdict, err := c.writePolicy(id, limit)
	require.NoError(c.t, err)
	require.Equal(c.t, state.Accepted, verdict.Code, verdict.Message)
	return verdict.Offset
}

// inForce returns the queue limit of the policy that is in force at an instance.
func (c *cluster) inForce(id string) int {
	limit := 0
	c.replica(id).Read(func(s *state.State) { limit = s.Policy().Admission.QueueLimit })
	return limit
}

// waitReady waits until the instances are ready. The test fails if one is not ready within the limit.
func (c *cluster) waitReady(limit time.Duration, ids ...string) {
	c.t.Helper()
	for _, id := range ids {
		select {
		case <-c.replica(id).Ready():
		case <-time.After(limit):
			require.FailNow(c.t, fmt.Sprintf("%s is not ready after %s", id, limit))
		}
	}
}

// waitPolicy waits until the policy with the queue limit is in force at all the instances and returns
// how long that took. The test fails if it takes longer than within.
func (c *cluster) waitPolicy(limit int, within time.Duration, ids ...string) time.Duration {
	c.t.Helper()
	started := time.Now()
	for _, id := range ids {
		for c.inForce(id) != limit {
			changed := c.replica(id).Changed()
			if c.inForce(id) == limit {
				break
			}
			select {
			case <-changed:
			case <-time.After(within - time.Since(started)):
				require.FailNow(c.t, fmt.Sprintf("policy %d is not in force at %s after %s, but %d", limit, id, within, c.inForce(id)))
			}
		}
	}
	return time.Since(started)
}
