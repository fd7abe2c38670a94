package node

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against limits that ordinary callers of a deployment reach, and that leave the leader too few descriptors for
// its workers and the other instances.
func TestLimitsFitDeployments(t *testing.T) {
	const (
		callers       = 500
		usualBody     = 16 << 10 // The chunks of a body of 10 KB.
		relayConns    = 512
		connsToWorker = 3
	)
	for _, c := range []struct{ memoryMB, maxFDs, workers int64 }{{144, 3075, 350}, {284, 3075, 350}, {536, 10250, 1100}, {0, 0, 350}} {
		s := Settings{MemoryMB: c.memoryMB, MaxFDs: c.maxFDs}
		require.GreaterOrEqual(t, s.maxCallers(), callers, "%+v", c)
		require.GreaterOrEqual(t, s.bodyBytes(), int64(callers*usualBody), "%+v", c)
		used := int64(s.maxCallers()) + reservedFDs + maxProbeConns + maxMetricsConns + relayConns + connsToWorker*c.workers
		if c.maxFDs > 0 {
			require.Less(t, used, c.maxFDs, "%+v", c)
		}
	}
}
