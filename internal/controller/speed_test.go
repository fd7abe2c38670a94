package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards serving tasks: fillers beside a tail that is near its target are halted within a few
// looks, get more again when it is low, and stay as they are in between.
func TestFillerSpeedFollowsWorstTail(t *testing.T) {
	speed := fullSpeed
	for range 3 {
		speed = nextSpeed(speed, true, 1.2)
	}
	require.Zero(t, speed)
	require.Zero(t, nextSpeed(speed, true, 0.8))
	require.Equal(t, speedIncrement, nextSpeed(speed, true, 0.3))
	require.Equal(t, fullSpeed, nextSpeed(0, false, 0))
}
