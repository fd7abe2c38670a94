package ring

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
)

// Guards against a producer that is never woken after the ring was full, and against reordering.
func TestPushWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := New[int](2)
		go func() {
			for i := range 5 {
				_ = r.Push(context.Background(), i)
			}
			r.Close()
		}()
		synctest.Wait()
		require.Equal(t, 2, r.Len())
		for i := range 5 {
			got, err := r.Pop(context.Background())
			require.NoError(t, err)
			require.Equal(t, i, got)
		}
		_, err := r.Pop(context.Background())
		require.ErrorIs(t, err, ErrClosed)
	})
}

// Guards against PushEvict blocking, or keeping old items instead of new ones, when the ring is full.
func TestPushEvictKeepsNewest(t *testing.T) {
	r := New[int](3)
	for i := range 5 {
		r.PushEvict(i)
	}
	require.Equal(t, []int{2, 3, 4}, r.Snapshot())
	require.ErrorIs(t, r.TryPush(9), ErrFull)
}
