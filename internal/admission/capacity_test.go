package admission

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// BenchmarkCapacityAdmission reports the heap memory of queued requests and the elapsed time of
// enqueueing (arrive_cpu_ms) and dispatching (dispatch_cpu_ms) them. The requests come from 130
// organisations with four callers each. Buffers for request bodies are not included.
func BenchmarkCapacityAdmission(b *testing.B) {
	for _, n := range []int{1000, 2000, 4000, 8000, 16000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkAdmission(b, n)
			}
		})
	}
}

func benchmarkAdmission(b *testing.B, n int) {
	const organisations, callers, slots = 130, 4, 64
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	before := heapBytes()
	q := New(1)
	q.SetPolicy(resource.AdmissionPolicy{QueueLimit: n, CallerQueueLimit: n})
	began := time.Now()
	for i := range n {
		r := &Request{
			ID: fmt.Sprintf("request-%d", i), Urgency: i % 8, Deadline: now.Add(24 * time.Hour),
			Flow: Flow{
				Organisation: fmt.Sprintf("organisation-%d", i%organisations), Kind: "plan",
				Caller: fmt.Sprintf("caller-%d", i/organisations%callers),
			},
		}
		require.Empty(b, q.Enqueue(now, r, slots))
	}
	enqueueTime := time.Since(began)
	require.Equal(b, n, q.Queued())
	b.ReportMetric(float64(heapBytes()-before)/1024, "heap_KiB")
	began = time.Now()
	for range n {
		r, rejected := q.Next(now, slots, slots)
		require.Empty(b, rejected)
		require.NotNil(b, r)
		q.Finish(now, r, time.Second, true)
	}
	b.ReportMetric(enqueueTime.Seconds()*1e3, "arrive_cpu_ms")
	b.ReportMetric(time.Since(began).Seconds()*1e3, "dispatch_cpu_ms")
	runtime.KeepAlive(q)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
