package gateway

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// BenchmarkCapacityGatewayRequests reports the CPU time of requests sent through the gateway and
// of requests sent directly to the target. Both include the caller and the target, so that the
// difference is the gateway's CPU time.
func BenchmarkCapacityGatewayRequests(b *testing.B) {
	const connections = 4
	for _, n := range []int{1000, 2000, 4000, 8000} {
		b.Run(fmt.Sprintf("requests=%d", n), func(b *testing.B) {
			target := startTarget(b, "t1", echo)
			h := newHarness(b, func(cfg *Config) {
				cfg.Targets = &transport{http.Transport{MaxIdleConnsPerHost: 64}}
			}, target)
			for range b.N {
				direct, viaGateway := newMeasuredClient("http://"+target.Addr+"/work"), newMeasuredClient(h.url+"/work")
				direct.sendBlock(b, connections, n/connections)
				viaGateway.sendBlock(b, connections, n/connections)
				b.ReportMetric(direct.cpu.Seconds()*1e3, "direct_cpu_ms")
				b.ReportMetric(viaGateway.cpu.Seconds()*1e3, "through_cpu_ms")
				b.ReportMetric((viaGateway.cpu-direct.cpu).Seconds()*1e3, "added_cpu_ms")
			}
		})
	}
}

// BenchmarkCapacityGatewayQueued reports the memory of requests that are queued at the gateway:
// the heap and stacks of this process, which runs the gateway, the callers and the target.
func BenchmarkCapacityGatewayQueued(b *testing.B) {
	for _, n := range []int{64, 128, 192, 248} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkQueued(b, n)
			}
		})
	}
}

// benchmarkQueued queues n requests beyond the target's slots and reports the memory they use.
func benchmarkQueued(b *testing.B, n int) {
	release := make(chan struct{})
	target := startTarget(b, "t1", func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	})
	h := newHarness(b, func(cfg *Config) {
		cfg.Targets = &transport{http.Transport{MaxIdleConnsPerHost: 64}}
	}, target)
	before := memoryInUse()
	results := make(chan error, n+target.Slots)
	client := &http.Client{Transport: &http.Transport{}}
	for i := range n + target.Slots {
		go func() { results <- sendQueued(client, h.url+"/work", i) }()
	}
	queued := func() bool {
		h.gateway.dispatcher.mu.Lock()
		defer h.gateway.dispatcher.mu.Unlock()
		return h.gateway.dispatcher.queue.Queued() == n
	}
	require.Eventually(b, queued, time.Minute, 5*time.Millisecond)
	b.ReportMetric(float64(memoryInUse()-before)/1024, "in_use_KiB")
	close(release)
	for range n + target.Slots {
		require.NoError(b, <-results)
	}
}

func sendQueued(client *http.Client, url string, i int) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("a request of an ordinary size"))
	if err != nil {
		return err
	}
	req.Header.Set("Oleanderbend-Caller", fmt.Sprintf("caller-%d", i%16))
	req.Header.Set("Oleanderbend-Deadline-Ms", "600000")
	req.Header.Set(platform.HeaderRequestID, fmt.Sprintf("r%d", i))
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
