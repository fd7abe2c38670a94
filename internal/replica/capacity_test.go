package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// propagationBound is the longest time that the design allows from a change of the configuration
// until it is in force at every instance.
const propagationBound = 14 * time.Second

// twoRegions starts five instances with a delay of 1 ms to the log and five with the delay oneWay,
// and waits until all are ready.
func twoRegions(c *cluster, oneWay time.Duration) (near, far []string) {
	for i := range 5 {
		near = append(near, fmt.Sprintf("near-%d", i))
		far = append(far, fmt.Sprintf("remote-%d", i))
		c.oneWay[near[i]], c.oneWay[far[i]] = time.Millisecond, oneWay
	}
	all := slices.Concat(near, far)
	c.start(all...)
	c.waitReady(time.Minute, all...)
	return near, far
}

// Guards against a configuration change that takes longer than propagationBound to reach all
// instances of two regions. It reports the longest time of 20 changes from the start of the write,
// in virtual time.
func TestCapacityConfigurationSpread(t *testing.T) {
	for _, oneWay := range []time.Duration{5, 10, 20, 50, 100, 200} {
		oneWay *= time.Millisecond
		t.Run(fmt.Sprintf("one_way=%s", oneWay), func(t *testing.T) {
			runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
				near, far := twoRegions(c, oneWay)
				fromNear := longestPropagation(c, near[0], 100, near, far)
				fromFar := longestPropagation(c, far[0], 200, near, far)
				t.Logf("written near the log: %s, far from it: %s", fromNear, fromFar)
				require.LessOrEqual(t, max(fromNear, fromFar), propagationBound)
			})
		})
	}
}

// longestPropagation writes 20 policies at one instance, with queue limits from first on. It returns
// the longest time from the start of a write until the policy is in force at all instances.
func longestPropagation(c *cluster, writer string, first int, near, far []string) time.Duration {
	var longest time.Duration
	for i := range 20 {
		// The writes start at different moments of the long polls.
		time.Sleep(time.Duration(i) * 137 * time.Millisecond)
		began := time.Now()
		c.mustWritePolicy(writer, first+i)
		c.waitPolicy(first+i, time.Minute, slices.Concat(near, far)...)
		longest = max(longest, time.Since(began))
	}
	return longest
}

// Guards against a region that is cut off from the log and does not get changes from its peers.
func TestCapacityConfigurationSpreadFromPeers(t *testing.T) {
	runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		near, far := twoRegions(c, 20*time.Millisecond)
		c.cut(true, false, far...)
		longest := longestPropagation(c, near[0], 100, near, far)
		t.Logf("far region cut off from the log, peers reachable: %s", longest)
		require.LessOrEqual(t, longest, propagationBound)
	})
}

// Guards against a region that stays behind after its links to the log and the peers are restored.
// While they are down, no change can reach the region, so the bound counts from their restoration.
func TestCapacityConfigurationAfterRegionLink(t *testing.T) {
	for _, outage := range []time.Duration{time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute} {
		t.Run(fmt.Sprintf("outage=%s", outage), func(t *testing.T) {
			runCluster(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
				near, far := twoRegions(c, 20*time.Millisecond)
				c.cut(true, true, far...)
				// The cut does not affect reads that were sent before it, so they must end first.
				time.Sleep(longPollWait + minTimeoutMargin)
				c.mustWritePolicy(near[0], 100)
				c.waitPolicy(100, propagationBound, near...)
				time.Sleep(outage)
				require.NotEqual(t, 100, c.inForce(far[0]))
				c.cut(false, false, far...)
				took := c.waitPolicy(100, propagationBound, far...)
				t.Logf("in force in the far region %s after the links were restored", took)
			})
		})
	}
}
