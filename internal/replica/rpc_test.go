package replica

import (
	"context"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	return l.Addr().String()
}

// runProcess runs a replica and a peer service in a kernel of their own, as one process does.
func runProcess(t *testing.T, id string, log *standin.Log, addrs map[string]string) *Replica {
	t.Helper()
	others := make(map[string]string)
	for other, addr := range addrs {
		if other != id {
			others[other] = addr
		}
	}
	peers, err := peer.New(peer.Config{Listen: addrs[id], Key: "0123456789abcdef", Peers: others}, hlc.New(nil), logging.Discard())
	require.NoError(t, err)
	r := New(Dependencies{ID: id, Log: log, Peers: peers, Registrar: peers, Now: time.Now, Logger: logging.Discard()})
	k := kernel.New()
	require.NoError(t, k.Register(kernel.Registration{Name: peer.ServiceName, Service: peers}))
	require.NoError(t, k.Register(kernel.Registration{Name: Name, Service: r, Requires: []string{peer.ServiceName}}))
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), time.Second)
		})
	}()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	return r
}

// TestRecoveryOverNetRPC guards against methods or types that work with the fake network of cluster
// but not with net/rpc, and against a new instance that cannot recover from a live peer while the
// log is down.
func TestRecoveryOverNetRPC(t *testing.T) {
	addrs := map[string]string{"a": freeAddr(t), "b": freeAddr(t)}
	log, down := standin.NewLog(standin.LogConfig{}), standin.NewLog(standin.LogConfig{})
	down.SetFaults(logOutage)
	a := runProcess(t, "a", log, addrs)
	<-a.Ready()
	verdict, err := a.Write(t.Context(), policyRecord(t, 9))
	require.NoError(t, err)
	require.Equal(t, state.Accepted, verdict.Code)
	b := runProcess(t, "b", down, addrs)
	select {
	case <-b.Ready():
	case <-time.After(30 * time.Second):
		require.FailNow(t, "not ready")
	}
	require.Equal(t, verdict.Offset, b.Applied())
	_, err = a.Write(t.Context(), policyRecord(t, 10))
	require.NoError(t, err)
	require.NoError(t, b.fetchFromPeer(t.Context(), "a"), "fetch the newest entries of the peer")
	require.Equal(t, verdict.Offset+1, b.Applied())
	require.Equal(t, 1, int(b.metrics.recordsFromPeers.Get()))
}

// BenchmarkPolicyInForce measures the real time from the acceptance of a policy until it is in force
// at six replicas that share one log in this process.
func BenchmarkPolicyInForce(b *testing.B) {
	log := standin.NewLog(standin.LogConfig{AppendsPerSecond: 1e6})
	var replicas []*Replica
	for _, id := range sixInstances {
		r := New(Dependencies{ID: id, Log: log, Now: time.Now, Logger: logging.Discard()})
		require.NoError(b, r.Start(b.Context()))
		<-r.Ready()
		replicas = append(replicas, r)
	}
	var took []time.Duration
	limit := 0
	for b.Loop() {
		limit++
		verdict, err := replicas[limit%len(sixInstances)].Write(b.Context(), policyRecord(b, 1+limit%1000))
		require.NoError(b, err)
		accepted := time.Now()
		for _, r := range replicas {
			for {
				changed := r.Changed()
				if r.Applied() >= verdict.Offset {
					break
				}
				<-changed
			}
		}
		took = append(took, time.Since(accepted))
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50_ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99_ms")
	b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "max_ms")
}
