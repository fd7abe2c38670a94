package measure

import (
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

func requestPolicyNames() []string {
	return []string{requestBaseline, string(sharingSubsets), string(sharingBaseShares), string(sharingGrants)}
}

// benchmarkRequests calls measure for each deployment and policy and reports the metrics.
func benchmarkRequests(b *testing.B, measure func(d requestDeployment, policy string) requestMetrics) {
	for _, d := range requestDeployments() {
		for _, policy := range requestPolicyNames() {
			b.Run("deployment="+d.name+"/policy="+policy, func(b *testing.B) {
				var metrics requestMetrics
				for b.Loop() {
					metrics = measure(d, policy)
				}
				for _, unit := range slices.Sorted(maps.Keys(metrics)) {
					b.ReportMetric(metrics[unit], unit)
				}
			})
		}
	}
}

// BenchmarkPolicyFlood measures the effect of a flood of requests with low or high urgency on the
// ordinary load; see measureFlood for the metrics and TestRequestWorstSeeds for the targets.
func BenchmarkPolicyFlood(b *testing.B) {
	for _, flood := range []struct {
		name    string
		urgency int
	}{{"low", 7}, {"high", 0}} {
		b.Run("flood="+flood.name, func(b *testing.B) {
			benchmarkRequests(b, func(d requestDeployment, policy string) requestMetrics {
				return measureFlood(d, policy, requestSeed, flood.urgency)
			})
		})
	}
}

// BenchmarkPolicySmallCallers measures the effect of a large caller on small ones; see
// measureSmallCallers for the metrics and TestRequestWorstSeeds for the targets.
func BenchmarkPolicySmallCallers(b *testing.B) {
	benchmarkRequests(b, func(d requestDeployment, policy string) requestMetrics {
		return measureSmallCallers(d, policy, requestSeed)
	})
}

// BenchmarkPolicyRetry measures the retries while targets fail; see measureRetry for the metrics and
// TestRequestWorstSeeds for the targets.
func BenchmarkPolicyRetry(b *testing.B) {
	benchmarkRequests(b, func(d requestDeployment, policy string) requestMetrics {
		return measureRetry(d, policy, requestSeed)
	})
}

// BenchmarkPolicySharing compares the ways to divide the slots of targets between the instances
// when callers use only a few of the instances.
func BenchmarkPolicySharing(b *testing.B) {
	benchmarkRequests(b, func(d requestDeployment, policy string) requestMetrics {
		return measureSharing(d, policy, requestSeed)
	})
}

// Guards against simulation results that depend on the iteration order of maps or on the wall
// clock.
func TestRequestMeasuresRepeat(t *testing.T) {
	d := requestDeployment{name: "tiny", instances: 3, targets: 6, slots: 8, orgs: 2}
	first := measureFlood(d, string(sharingGrants), 1, 0)
	require.Equal(t, first, measureFlood(d, string(sharingGrants), 1, 0))
}
