package forecast

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against estimates that are replaced although they are good, or before enough is known, and against expectations that
// follow estimates which are wrong by several times.
func TestExpectedDurations(t *testing.T) {
	const usual = 7 * time.Second
	logError := func(a, b time.Duration) float64 { return math.Abs(math.Log(a.Seconds() / b.Seconds())) }
	for _, c := range []struct {
		name          string
		estimateError float64
		corrected     bool
	}{{"good", 0.2, false}, {"bad", 0.9, true}} {
		random := rand.New(rand.NewPCG(3, 1))
		draw := func() (work, estimate time.Duration) {
			work = time.Duration(float64(usual) * math.Exp(0.3*random.NormFloat64()))
			return work, time.Duration(float64(work) * math.Exp(c.estimateError*random.NormFloat64()))
		}
		var d Durations
		require.Equal(t, time.Second, d.Expect("q", time.Second))
		for range 30 {
			work, estimate := draw()
			for range 4 {
				d.Add("q", estimate, work, 0.25)
			}
		}
		expectedError, estimateError := 0.0, 0.0
		for range 100 {
			work, estimate := draw()
			expected := d.Expect("q", estimate)
			if !c.corrected {
				require.Equal(t, estimate, expected, c.name)
			}
			expectedError += logError(expected, work)
			estimateError += logError(estimate, work)
		}
		if c.corrected {
			require.Less(t, expectedError, estimateError/2, c.name)
		}
		require.Equal(t, time.Second, d.Expect("other", time.Second))
	}
	var d Durations
	for range 20 {
		d.Add("q", 0, time.Second, 1)
		d.Add("q", time.Second, 0, 1)
	}
	require.Equal(t, time.Second, d.Expect("q", time.Second), "times that are not positive are ignored")
	require.Zero(t, d.Expect("q", 0))
}

// Guards against estimates that are corrected on a deployment where most of them are good (3 in 100 tasks take seven times as long
// as usual, and others are off by up to 30 %), against estimates that are all too short and taken as they are, and against a change that is
// reported again and again.
func TestEstimatesAreCorrectedOnlyWhereMostAreWrong(t *testing.T) {
	for _, c := range []struct {
		name                string
		bias, error         float64
		corrected, recovers bool
	}{
		{name: "off by up to 30 %", bias: 1, error: 0.3},
		{name: "off by up to 90 %", bias: 1, error: 0.9, corrected: true},
		{name: "half of the work", bias: 0.5, error: 0.1, corrected: true, recovers: true},
	} {
		random := rand.New(rand.NewPCG(7, 1))
		var d Durations
		changes := 0
		add := func(bias, spread float64) {
			work := 5.0
			if random.IntN(100) < 3 {
				work *= 7
			}
			estimate := 5 * bias * (1 + spread*(2*random.Float64()-1))
			change, changed := d.Add("q", time.Duration(estimate*float64(time.Second)), time.Duration(work*float64(time.Second)), 1)
			if changed {
				changes++
				require.GreaterOrEqual(t, change.Units, float64(minDurations))
				require.Equal(t, change.Misestimated, change.Share >= minMisestimatedShare, c.name)
				require.Positive(t, change.Bias)
			}
		}
		for range 300 {
			add(c.bias, c.error)
			if !c.corrected {
				require.Equal(t, 5*time.Second, d.Expect("q", 5*time.Second), c.name)
			}
		}
		require.Equal(t, c.corrected, d.Misestimated("q"), c.name)
		require.LessOrEqual(t, changes, 1, c.name)
		if c.recovers {
			require.Greater(t, d.Expect("q", 3*time.Second), 4*time.Second)
			for range 300 {
				add(1, 0.1)
			}
			require.False(t, d.Misestimated("q"))
			require.Equal(t, 2, changes)
		}
	}
}

// Guards against a queue that changes to and fro, with a log line each time, while about half of its estimates are wrong.
func TestEstimatesOfMixedQueueDoNotAlternate(t *testing.T) {
	var d Durations
	changes := 0
	for n := range 400 {
		estimate := 5 * time.Second
		if n < 20 || n%20 < 9 {
			estimate = time.Second
		}
		if _, changed := d.Add("q", estimate, 5*time.Second, 1); changed {
			changes++
		}
	}
	require.Equal(t, 1, changes)
}
