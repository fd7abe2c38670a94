package inventory

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/platform/httpclient"
)

// BenchmarkCapacityInventory reports the size of the platform's list as JSON, the time to decode it and
// the heap that the decoded list occupies.
func BenchmarkCapacityInventory(b *testing.B) {
	for _, n := range []int{100, 200, 400, 800} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkInventory(b, n)
			}
		})
	}
}

func benchmarkInventory(b *testing.B, workers int) {
	const times = 20
	var answer httpclient.InstancesResponse
	for i := range workers {
		answer.Instances = append(answer.Instances, platform.Instance{
			ID: fmt.Sprintf("zone-1-worker-%03d", i), Kind: platform.KindWorker, State: platform.StateLive,
			Addr: "192.168.100.100:7103", Region: "norrbotten", Zone: "zone-1", Rack: fmt.Sprintf("zone-1-rack-%02d", i/8),
			Cores: 128, MemoryMB: 256 << 10, Accelerators: 16,
		})
	}
	data, err := json.Marshal(answer)
	require.NoError(b, err)
	began := time.Now()
	for range times {
		var decoded httpclient.InstancesResponse
		require.NoError(b, json.Unmarshal(data, &decoded))
	}
	b.ReportMetric(time.Since(began).Seconds()*1e3/times, "decode_ms")
	b.ReportMetric(float64(len(data))/1024, "list_KiB")
	// The mean over many copies reduces the influence of other allocations of the process.
	copies := make([]httpclient.InstancesResponse, times)
	before := heapBytes()
	for i := range copies {
		require.NoError(b, json.Unmarshal(data, &copies[i]))
	}
	b.ReportMetric(float64(heapBytes()-before)/1024/times, "heap_KiB")
	runtime.KeepAlive(copies)
	runtime.KeepAlive(answer)
	runtime.KeepAlive(data)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
