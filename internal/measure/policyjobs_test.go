package measure

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
)

// jobsPolicy is a policy to measure. If health is true, it tracks the health of workers.
type jobsPolicy struct {
	name   string
	make   func() scheduler.Scheduler
	health bool
}

var jobsPolicies = []jobsPolicy{
	{"baseline-fcfs", func() scheduler.Scheduler { return jobsBaseline{} }, false},
	{"baseline-backfill", func() scheduler.Scheduler { return jobsBaseline{backfill: true} }, false},
	{"oleanderbend", func() scheduler.Scheduler { return scheduler.New(1) }, true},
}

func (p jobsPolicy) sim(load *jobsWorkload) *jobsSim {
	var health *scheduler.Health
	if p.health {
		health = scheduler.NewHealth(resource.PlacementPolicy{})
	}
	return newJobsSim(load, p.make(), health)
}

// BenchmarkPolicyJobs measures a day with bursts and wrong declared sizes and run times, at the
// deployments and the design size. The lower bounds of the completion times are described at
// jobsSim.metrics. Targets: jct_mean_ratio at most half that of baseline-fcfs; partial_gangs 0;
// guarantee_misses 0.
func BenchmarkPolicyJobs(b *testing.B) {
	for _, site := range []jobsSite{jobsTumaini, jobsHamnverket, jobsDesign} {
		for _, policy := range jobsPolicies {
			b.Run("site="+site.name+"/policy="+policy.name, func(b *testing.B) {
				var f jobsMetrics
				for b.Loop() {
					sim := policy.sim(jobsDay(site, 1))
					sim.simulate()
					require.Zero(b, sim.result.oversubscribed, "oversubscribed placements")
					f = sim.metrics()
					require.Zero(b, f.unfinished, "jobs unfinished at the horizon")
				}
				b.ReportMetric(f.jctMeanRatio, "jct_mean_ratio")
				b.ReportMetric(f.jctP95Ratio, "jct_p95_ratio")
				b.ReportMetric(f.largeGangWaitP95, "large_gang_wait_p95_s")
				b.ReportMetric(f.fragmentation, "fragmentation")
				b.ReportMetric(f.utilisation, "utilisation")
				b.ReportMetric(float64(f.partialGangs), "partial_gangs")
				b.ReportMetric(float64(f.guaranteeMisses), "guarantee_misses")
			})
		}
	}
}
