package inventory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

type fakeSource struct {
	calls atomic.Int64
	down  atomic.Bool
}

func (f *fakeSource) List(context.Context) ([]platform.Instance, error) {
	f.calls.Add(1)
	time.Sleep(10 * time.Millisecond)
	if f.down.Load() {
		return nil, platform.ErrUnavailable
	}
	return []platform.Instance{{ID: "w1"}}, nil
}

// Guards against one request to the platform for each concurrent caller.
func TestCallersShareOneFetch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		c := New(source, time.Now)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() {
				list, err := c.List(context.Background())
				require.NoError(t, err)
				require.Len(t, list, 1)
			})
		}
		wg.Wait()
		require.EqualValues(t, 1, source.calls.Load())
	})
}

// Guards against losing all targets and workers while the platform's list is unreachable.
func TestOutageKeepsTheLastList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		c := New(source, time.Now)
		_, err := c.List(context.Background())
		require.NoError(t, err)
		source.down.Store(true)
		time.Sleep(time.Hour)
		list, err := c.List(context.Background())
		require.NoError(t, err)
		require.Len(t, list, 1)
	})
}

// Guards against an empty list without an error when the first request fails. Callers would conclude
// that there are no targets.
func TestFirstFailureIsAnError(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeSource{}
		source.down.Store(true)
		_, err := New(source, time.Now).List(context.Background())
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}
