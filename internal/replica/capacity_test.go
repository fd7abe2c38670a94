package replica

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// spreadBound is the design's bound on the time until a change is in force everywhere.
const spreadBound = 14 * time.Second

// twoRegions starts five instances near the log and five at a distance from it, and waits
// until all are ready.
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

// Guards against a configuration that takes longer than the design's bound over two regions.
// It reports the longest time of 20 changes from the call of the writer, in virtual time.
func TestCapacityConfigurationSpread(t *testing.T) {
	for _, oneWay := range []time.Duration{5, 10, 20, 50, 100, 200} {
		oneWay *= time.Millisecond
		t.Run(fmt.Sprintf("one_way=%s", oneWay), func(t *testing.T) {
			bubble(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
				near, far := twoRegions(c, oneWay)
				fromNear := longestSpread(c, near[0], 100, near, far)
				fromFar := longestSpread(c, far[0], 200, near, far)
				t.Logf("written near the log: %s, far from it: %s", fromNear, fromFar)
				require.LessOrEqual(t, max(fromNear, fromFar), spreadBound)
			})
		})
	}
}

func longestSpread(c *cluster, writer string, first int, near, far []string) time.Duration {
	var longest time.Duration
	for i := range 20 {
		// Changes fall on different moments of the long polls.
		time.Sleep(time.Duration(i) * 137 * time.Millisecond)
		began := time.Now()
		c.mustWrite(writer, first+i)
		c.waitPolicy(first+i, time.Minute, slices.Concat(near, far)...)
		longest = max(longest, time.Since(began))
	}
	return longest
}

// Guards against a region that is cut from the log and does not take changes from its peers.
func TestCapacityConfigurationSpreadFromPeers(t *testing.T) {
	bubble(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
		near, far := twoRegions(c, 20*time.Millisecond)
		c.cut(true, false, far...)
		longest := longestSpread(c, near[0], 100, near, far)
		t.Logf("far region cut from the log, peers reachable: %s", longest)
		require.LessOrEqual(t, longest, spreadBound)
	})
}

// Guards against a region that stays behind after its link returns. While the link is down,
// no change can reach the region; the bound counts from the return of the link.
func TestCapacityConfigurationAfterRegionLink(t *testing.T) {
	for _, outage := range []time.Duration{time.Minute, 5 * time.Minute, 10 * time.Minute, 30 * time.Minute} {
		t.Run(fmt.Sprintf("outage=%s", outage), func(t *testing.T) {
			bubble(t, standin.LogConfig{}, func(t *testing.T, c *cluster) {
				near, far := twoRegions(c, 20*time.Millisecond)
				c.cut(true, true, far...)
				// The cut does not stop reads that were sent before it, so these must end first.
				time.Sleep(longPollWait + minTimeoutMargin)
				c.mustWrite(near[0], 100)
				c.waitPolicy(100, spreadBound, near...)
				time.Sleep(outage)
				require.NotEqual(t, 100, c.inForce(far[0]))
				c.cut(false, false, far...)
				took := c.waitPolicy(100, spreadBound, far...)
				t.Logf("in force in the far region %s after the link returned", took)
			})
		})
	}
}
