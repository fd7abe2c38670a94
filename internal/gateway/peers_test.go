package gateway

import (
	"context"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/dispatch"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// peerNet connects instances by net/rpc in memory. Calls to and from unreachable instances fail.
type peerNet struct {
	mu          sync.Mutex
	ids         []string
	servers     map[string]*rpc.Server
	unreachable map[string]bool
}

func newPeerNet(ids ...string) *peerNet {
	return &peerNet{ids: ids, servers: make(map[string]*rpc.Server), unreachable: make(map[string]bool)}
}

func (n *peerNet) setUnreachable(id string, unreachable bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[id] = unreachable
}

// node implements peer.Caller and peer.Registrar for one instance of a peerNet.
type node struct {
	net    *peerNet
	id     string
	server *rpc.Server
}

func (n *peerNet) node(id string) *node {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.servers[id] = rpc.NewServer()
	return &node{net: n, id: id, server: n.servers[id]}
}

func (n *node) Register(name string, receiver any) error {
	return n.server.RegisterName(name, receiver)
}

func (n *node) Peers() []string {
	return slices.DeleteFunc(slices.Clone(n.net.ids), func(id string) bool { return id == n.id })
}

func (n *node) Call(ctx context.Context, instance, method string, args, reply any) error {
	n.net.mu.Lock()
	server, unreachable := n.net.servers[instance], n.net.unreachable[instance] || n.net.unreachable[n.id]
	n.net.mu.Unlock()
	if server == nil || unreachable {
		return peer.ErrUnreachable
	}
	ours, theirs := net.Pipe()
	go server.ServeConn(theirs)
	client := rpc.NewClient(ours)
	defer client.Close()
	// net/rpc may decode a response that arrives after ctx is done. Like package peer, decode it into a
	// separate variable, because the caller reads reply by then.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case call := <-client.Go(method, args, received.Interface(), make(chan *rpc.Call, 1)).Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return call.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

// newCluster starts one gateway for each instance of n, all with the same targets.
func newCluster(t testing.TB, n *peerNet, noEarlierKeys bool, targets ...platform.Instance) []*harness {
	var cluster []*harness
	for _, id := range n.ids {
		node := n.node(id)
		cluster = append(cluster, newHarness(t, func(cfg *Config) {
			cfg.ID, cfg.Caller, cfg.Registrar, cfg.NoEarlierKeys = id, node, node, noEarlierKeys
		}, targets...))
	}
	return cluster
}

// sendKeyed sends a non-idempotent request with an idempotency key.
func sendKeyed(h *harness, key string) (*http.Response, error) {
	resp, _, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "false", platform.HeaderIdempotencyKey, key)
	return resp, err
}

// Guards against running a request twice that is sent with one key to several instances at once
// and then once more.
func TestKeyRunsOnceAcrossInstances(t *testing.T) {
	var calls atomic.Int64
	cluster := newCluster(t, newPeerNet("a", "b", "c"), true, startTarget(t, "t1", countRequests(&calls, echo)))
	for range 5 {
		calls.Store(0)
		key := uuid.NewString()
		var wait sync.WaitGroup
		for _, h := range cluster {
			wait.Go(func() {
				resp, err := sendKeyed(h, key)
				if err != nil || resp.Header.Get(platform.HeaderOutcome) == string(outcomeNotRun) {
					t.Errorf("keyed request: %v", err)
				}
			})
		}
		wait.Wait()
		ran := calls.Load()
		resp, err := sendKeyed(cluster[0], key)
		require.NoError(t, err)
		require.LessOrEqual(t, calls.Load(), int64(1))
		if ran == 1 {
			cluster[0].requireOutcome(resp, outcomeUnknown, http.StatusBadGateway)
		}
	}
}

// Guards against dispatching a request while the replicas of its key cannot exclude that the key
// was used before: after a restart of all replicas, and with two of three unreachable.
func TestUnknownKeyIsNotDispatched(t *testing.T) {
	var calls atomic.Int64
	target := startTarget(t, "t1", countRequests(&calls, echo))
	for _, noEarlierKeys := range []bool{false, true} {
		peers := newPeerNet("a", "b", "c")
		cluster := newCluster(t, peers, noEarlierKeys, target)
		if noEarlierKeys {
			peers.setUnreachable("b", true)
			peers.setUnreachable("c", true)
		}
		resp, err := sendKeyed(cluster[0], "k1")
		require.NoError(t, err)
		cluster[0].requireOutcome(resp, outcomeUnknown, http.StatusBadGateway)
		require.Zero(t, calls.Load())
	}
}

// Guards against a key that cannot be used again although no target started its request.
func TestKeyOfRequestThatDidNotRunIsReusable(t *testing.T) {
	var reject atomic.Bool
	reject.Store(true)
	target := startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		if reject.Load() {
			w.Header().Set(platform.HeaderNotStarted, "true")
		}
		echo(w, r)
	})
	h := newCluster(t, newPeerNet("a"), true, target)[0]
	resp, err := sendKeyed(h, "k1")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	reject.Store(false)
	resp, err = sendKeyed(h, "k1")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeAnswer, http.StatusOK)
}

// Guards against more requests in progress at a target than it has slots when four instances use
// it at once, and against unused slots when one instance receives all requests.
func TestSlotLimitHoldsAcrossInstances(t *testing.T) {
	var running, peak atomic.Int64
	target := startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		now := running.Add(1)
		defer running.Add(-1)
		for previous := peak.Load(); now > previous && !peak.CompareAndSwap(previous, now); previous = peak.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		echo(w, r)
	})
	cluster := newCluster(t, newPeerNet("a", "b", "c", "d"), true, target)
	// Owners make no grants in the first GrantTTL after their start.
	time.Sleep(dispatch.GrantTTL)
	load := func(instances []*harness) {
		peak.Store(0)
		var wait sync.WaitGroup
		for i := range 24 {
			wait.Go(func() {
				for range 25 {
					if _, _, err := instances[i%len(instances)].send(http.MethodPost, "x"); err != nil {
						t.Error(err)
					}
				}
			})
		}
		wait.Wait()
		require.LessOrEqual(t, peak.Load(), int64(8))
	}
	load(cluster)
	load(cluster[:1])
	// 2 is the base share of one of four instances in the 8 slots of the target.
	require.Greater(t, peak.Load(), int64(2))
}
