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

// path is one way to a target under measurement.
type path struct {
	url       string
	client    *http.Client
	latency   *hdrhistogram.Histogram
	cpu       time.Duration
	mallocs   uint64
	requested int
}

func newPath(url string) *path {
	const highestMicros, digits = 60_000_000, 3
	transport := &http.Transport{MaxIdleConnsPerHost: 64}
	return &path{url: url, client: &http.Client{Transport: transport}, latency: hdrhistogram.New(1, highestMicros, digits)}
}

func (p *path) request() error {
	req, err := http.NewRequest(http.MethodPost, p.url, strings.NewReader("a request of an ordinary size"))
	if err != nil {
		return err
	}
	req.Header.Set(platform.HeaderRequestID, "r")
	resp, err := p.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// block sends requests one after the other on each of some connections and adds what they cost.
func (p *path) block(b *testing.B, connections, requests int) {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := cpuTime(b)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for range connections {
		wait.Go(func() {
			for range requests {
				started := time.Now()
				if err := p.request(); err != nil {
					b.Error(err)
					return
				}
				mu.Lock()
				_ = p.latency.RecordValue(time.Since(started).Microseconds())
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	p.cpu += cpuTime(b) - cpu
	runtime.ReadMemStats(&after)
	p.mallocs += after.Mallocs - before.Mallocs
	p.requested += connections * requests
}

// BenchmarkGateway compares the way through the gateway with the direct way to the same
// target, in alternating blocks of one run. CPU time and allocations are those of caller,
// gateway and target together, so the ratios understate the gateway's own cost.
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
	direct, through := newPath("http://"+target.Addr+"/work"), newPath(h.url+"/work")
	for b.Loop() {
		for range rounds {
			direct.block(b, connections, requests)
			through.block(b, connections, requests)
		}
	}
	perCPU := func(p *path) float64 { return float64(p.requested) / p.cpu.Seconds() }
	allocations := func(p *path) float64 { return float64(p.mallocs) / float64(p.requested) }
	b.ReportMetric(float64(through.latency.ValueAtQuantile(50)-direct.latency.ValueAtQuantile(50)), "added_p50_us")
	b.ReportMetric(float64(through.latency.ValueAtQuantile(99)-direct.latency.ValueAtQuantile(99)), "added_p99_us")
	b.ReportMetric(float64(through.latency.ValueAtQuantile(50))/float64(direct.latency.ValueAtQuantile(50)), "p50_ratio")
	b.ReportMetric(float64(through.latency.ValueAtQuantile(99))/float64(direct.latency.ValueAtQuantile(99)), "p99_ratio")
	b.ReportMetric(perCPU(through)/perCPU(direct), "requests_per_cpu_s_ratio")
	b.ReportMetric(allocations(through)/allocations(direct), "allocs_ratio")
	b.ReportMetric(allocations(through)-allocations(direct), "added_allocs")
}
