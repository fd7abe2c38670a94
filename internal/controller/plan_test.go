package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a leader that places nothing for seconds after one long round: rounds that took 300 ms, while other
// goroutines used the processor, were followed by a pause of 1.8 s in which 40 jobs waited.
func TestPauseAfterLongRoundIsShort(t *testing.T) {
	require.Equal(t, minPlanInterval, planPause(time.Millisecond))
	require.Equal(t, 30*time.Millisecond, planPause(10*time.Millisecond))
	require.LessOrEqual(t, planPause(300*time.Millisecond), 100*time.Millisecond)
}
