package hlc

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an effect with a timestamp before that of its cause when the wall clocks differ.
func TestObserveOrdersEffectAfterCause(t *testing.T) {
	fast := New(func() time.Time { return time.Unix(2000, 0) })
	slow := New(func() time.Time { return time.Unix(1000, 0) })
	cause := fast.Now()
	received := slow.Observe(cause)
	require.Positive(t, received.Compare(cause))
	require.Positive(t, slow.Now().Compare(received))
}

// Guards against equal or decreasing timestamps when the wall clock stops or steps back.
func TestNowRisesWhenWallClockDoesNot(t *testing.T) {
	wall := time.Unix(1000, 0)
	clock := New(func() time.Time { return wall })
	last := clock.Now()
	for range 3 {
		wall = wall.Add(-time.Second)
		next := clock.Now()
		require.Positive(t, next.Compare(last))
		last = next
	}
}
