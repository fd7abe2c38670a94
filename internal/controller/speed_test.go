package controller

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards serving tasks against fillers on the same worker: fillers are halted within a few polls
// while the tail latency is near or above its target, are sped up again when it is low, and keep
// their speed in between.
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
