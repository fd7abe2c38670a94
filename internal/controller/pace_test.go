package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards serving tasks: fillers beside a tail that is near its target are halted within a few
// looks, get more again when it is low, and stay as they are in between.
func TestPaceFollowsTheWorstTail(t *testing.T) {
	pace := fullSpeed
	for range 3 {
		pace = nextPace(pace, true, 1.2)
	}
	require.Zero(t, pace)
	require.Zero(t, nextPace(pace, true, 0.8))
	require.Equal(t, paceUp, nextPace(pace, true, 0.3))
	require.Equal(t, fullSpeed, nextPace(0, false, 0))
}
