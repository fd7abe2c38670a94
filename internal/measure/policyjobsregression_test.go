package measure

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// dayMetrics simulates a day under a policy and returns its metrics.
func dayMetrics(t *testing.T, site jobsSite, seed uint64, policy jobsPolicy) jobsMetrics {
	t.Helper()
	sim := policy.sim(jobsDay(site, seed))
	sim.simulate()
	require.Zero(t, sim.result.oversubscribed)
	return sim.metrics()
}

// Guards against guaranteed gangs that wait longer than 7.1 s, as they did with these seeds: either
// the gang's chosen workers changed while its victims were stopping, or the first workers that the
// scheduler tried violated the reservation plan. The bounds are the design targets.
func TestPolicyJobsGuaranteeSeeds(t *testing.T) {
	oleanderbend := jobsPolicies[len(jobsPolicies)-1]
	for _, c := range []struct {
		site jobsSite
		seed uint64
	}{{jobsTumaini, 6}, {jobsTumaini, 24}, {jobsHamnverket, 2}, {jobsHamnverket, 11}} {
		metrics := dayMetrics(t, c.site, c.seed, oleanderbend)
		require.Zero(t, metrics.guaranteeMisses, "%s seed %d", c.site.name, c.seed)
		require.Zero(t, metrics.partialGangs, "%s seed %d", c.site.name, c.seed)
		require.Zero(t, metrics.unfinished, "%s seed %d", c.site.name, c.seed)
	}
}

// Guards against a bad worker that stays in use because its failures are far apart in time. With
// that fault, 15 starts were lost with seed 3. The bounds are the design targets.
func TestPolicyJobsBadWorkerSeed(t *testing.T) {
	sim := jobsPolicies[len(jobsPolicies)-1].sim(jobsBadWorkerDay(3))
	sim.simulate()
	require.LessOrEqual(t, sim.result.lostStarts, 6)
	require.Empty(t, sim.result.healthyQuarantined)
}

// Guards against a mean completion time that is too long on a day with little queueing, when the
// gain over first come, first served is smallest. Seed 8 is the worst of seeds 1 to 40. The bound
// is the design target: at most half the mean completion time of first come, first served.
func TestPolicyJobsWorstSeed(t *testing.T) {
	for _, site := range []jobsSite{jobsTumaini, jobsHamnverket} {
		fcfs := dayMetrics(t, site, 8, jobsPolicies[0])
		oleanderbend := dayMetrics(t, site, 8, jobsPolicies[len(jobsPolicies)-1])
		require.GreaterOrEqual(t, fcfs.jctMeanRatio/oleanderbend.jctMeanRatio, 2.0, site.name)
	}
}
