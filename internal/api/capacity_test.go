package api

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// benchmarkAPI is an API with a replica that applies records immediately.
type benchmarkAPI struct {
	b   *testing.B
	api *API
}

func newBenchmarkAPI(b *testing.B, jobs int) *benchmarkAPI {
	replica := newFakeReplica()
	c := &benchmarkAPI{b: b, api: New(Dependencies{
		ID: "entry-1", Reader: replica, Writer: replica, Ready: replica,
		Guarantees: replica, Zones: replica, Explainer: replica,
		Now: time.Now, Logger: logging.Discard(), Events: timeline.NewRecorder("entry-1", hlc.New(nil), 100),
		Addr: "127.0.0.1:0",
	})}
	c.request("PUT", "/v1/organisations/org", orgBody)
	for i := range jobs {
		c.put(i)
	}
	return c
}

func (c *benchmarkAPI) put(i int) { c.request("PUT", fmt.Sprintf("/v1/jobs/job-%d", i), jobBody) }

// request sends one request that must succeed and returns the size of the response body.
func (c *benchmarkAPI) request(method, path, body string) int {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	w := httptest.NewRecorder()
	c.api.Handler().ServeHTTP(w, r)
	require.Less(c.b, w.Code, http.StatusMultipleChoices, w.Body.String())
	return w.Body.Len()
}

// cost reads a path a number of times and returns the processor time and body size per read.
func (c *benchmarkAPI) cost(path string, times int) (each time.Duration, bytes int) {
	started := processorTime(c.b)
	for range times {
		bytes = c.request("GET", path, "")
	}
	return (processorTime(c.b) - started) / time.Duration(times), bytes
}

func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// BenchmarkCapacityAPIRead reports the cost of reading one job and of listing jobs without a
// network connection.
func BenchmarkCapacityAPIRead(b *testing.B) {
	for _, n := range []int{100, 200, 400, 500, 2800} {
		b.Run(fmt.Sprintf("jobs=%d", n), func(b *testing.B) {
			c := newBenchmarkAPI(b, n)
			for range b.N {
				one, oneBytes := c.cost("/v1/jobs/job-7", 500)
				list, listBytes := c.cost("/v1/jobs", 20)
				b.ReportMetric(one.Seconds()*1e6, "get_cpu_us")
				b.ReportMetric(float64(oneBytes), "get_B")
				b.ReportMetric(list.Seconds()*1e3, "list_cpu_ms")
				b.ReportMetric(float64(listBytes)/1024, "list_KiB")
			}
		})
	}
}

// BenchmarkCapacityAPIWatch reports the cost of 100 new jobs with several watches over loopback.
// The processor time includes that of the watching clients.
func BenchmarkCapacityAPIWatch(b *testing.B) {
	for _, n := range []int{8, 32, 64, 128} {
		b.Run(fmt.Sprintf("watches=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkWatch(b, n)
			}
		})
	}
}

func benchmarkWatch(b *testing.B, watches int) {
	const changes = 100
	c := newBenchmarkAPI(b, 0)
	server := httptest.NewServer(c.api.Handler())
	defer server.Close()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	var puts, bytes atomic.Int64
	for range watches {
		request, err := http.NewRequestWithContext(ctx, "GET", server.URL+"/v1/jobs?watch=1&from=1", nil)
		require.NoError(b, err)
		response, err := http.DefaultClient.Do(request)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, response.StatusCode)
		go func() {
			defer response.Body.Close()
			for lines := bufio.NewScanner(response.Body); lines.Scan(); {
				if strings.Contains(lines.Text(), `"type":"put"`) {
					bytes.Add(int64(len(lines.Bytes()) + 1))
					puts.Add(1)
				}
			}
		}()
	}
	started := processorTime(b)
	for i := range changes {
		c.put(i)
	}
	require.Eventually(b, func() bool { return puts.Load() == int64(changes*watches) }, time.Minute, time.Millisecond)
	b.ReportMetric((processorTime(b)-started).Seconds()*1e6/changes, "change_cpu_us")
	b.ReportMetric(float64(bytes.Load())/changes, "change_B")
}
