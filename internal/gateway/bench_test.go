package gateway

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// measuredClient sends requests to a URL and adds up their cost.
type measuredClient struct {
	url      string
	client   *http.Client
	latency  *hdrhistogram.Histogram
	cpu      time.Duration
	mallocs  uint64
	requests int
}

func newMeasuredClient(url string) *measuredClient {
	const highestMicros, significantDigits = 60_000_000, 3
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &measuredClient{url: url, client: &http.Client{Transport: transport}, latency: hdrhistogram.New(1, highestMicros, significantDigits)}
}

func (r *measuredClient) request() error {
	req, err := http.NewRequest(http.MethodPost, r.url, strings.NewReader("a request of an ordinary size"))
	if err != nil {
		return err
	}
	req.Header.Set(platform.HeaderRequestID, "r")
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

// cpuTime returns the CPU time that the process has used so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sendBlock sends the given number of requests in sequence on each of the given number of
// connections, and adds their cost to the totals.
func (r *measuredClient) sendBlock(b *testing.B, connections, requests int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime(b)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range connections {
		wait.Go(func() {
			for range requests {
				started := time.Now()
				if err := r.request(); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = r.latency.RecordValue(time.Since(started).Microseconds())
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	r.cpu += cpuTime(b) - cpu
	runtime.ReadMemStats(&after)
	r.mallocs += after.Mallocs - before.Mallocs
	r.requests += connections * requests
}

// BenchmarkGateway compares requests through the gateway with requests directly to the same
// target, in alternating blocks of one run. CPU time and allocations are those of the whole
// process, which runs caller, gateway and target, so the ratios understate the gateway's own cost.
func BenchmarkGateway(b *testing.B) {
	const (
		connections = 4
		requests    = 250
		rounds      = 10
	)
	target := startTarget(b, "t1", echo)
	h := newHarness(b, func(cfg *Config) {
		cfg.Targets = &transport{http.Transport{MaxIdleConnsPerHost: 64}}
	}, target)
	direct, viaGateway := newMeasuredClient("http://"+target.Addr+"/work"), newMeasuredClient(h.url+"/work")
	for b.Loop() {
		for range rounds {
			direct.sendBlock(b, connections, requests)
			viaGateway.sendBlock(b, connections, requests)
		}
	}
	perCPU := func(r *measuredClient) float64 { return float64(r.requests) / r.cpu.Seconds() }
	allocations := func(r *measuredClient) float64 { return float64(r.mallocs) / float64(r.requests) }
	b.ReportMetric(float64(viaGateway.latency.ValueAtQuantile(50)-direct.latency.ValueAtQuantile(50)), "added_p50_us")
	b.ReportMetric(float64(viaGateway.latency.ValueAtQuantile(99)-direct.latency.ValueAtQuantile(99)), "added_p99_us")
	b.ReportMetric(float64(viaGateway.latency.ValueAtQuantile(50))/float64(direct.latency.ValueAtQuantile(50)), "p50_ratio")
	b.ReportMetric(float64(viaGateway.latency.ValueAtQuantile(99))/float64(direct.latency.ValueAtQuantile(99)), "p99_ratio")
	b.ReportMetric(perCPU(viaGateway)/perCPU(direct), "requests_per_cpu_s_ratio")
	b.ReportMetric(allocations(viaGateway)/allocations(direct), "allocs_ratio")
	b.ReportMetric(allocations(viaGateway)-allocations(direct), "added_allocs")
}
