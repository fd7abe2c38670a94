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
