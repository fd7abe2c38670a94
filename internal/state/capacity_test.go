package state

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// BenchmarkCapacityLog reports the number of records of a day, their total size, and the total size
// of the responses, without HTTP headers, if a follower reads each record separately.
func BenchmarkCapacityLog(b *testing.B) {
	for _, n := range []workload{{32, 350, 350}, {32, 350, 700}, {65, 1400, 1450}, {130, 2800, 2900}} {
		b.Run(fmt.Sprintf("jobs=%d", n.jobsPerDay), func(b *testing.B) {
			for range b.N {
				entries := dayOfRecords(b, n)
				records, reads := 0, 0
				for i, data := range entries {
					offset := platform.Offset(i + 1)
					batch := platform.Batch{Entries: []platform.Entry{{Offset: offset, Data: data}}, Oldest: 1, Next: offset + 1, RetentionSeconds: 3600}
					encoded, err := json.Marshal(batch)
					require.NoError(b, err)
					records += len(data)
					reads += len(encoded)
				}
				b.ReportMetric(float64(len(entries)), "records")
				b.ReportMetric(float64(records)/1024, "records_KiB")
				b.ReportMetric(float64(reads)/1024, "reads_KiB")
			}
		})
	}
}
