package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Guards against reads that miss or repeat entries, and against entries that remain after the
// retention.
func TestLogReadAndRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogConfig{Retention: time.Minute})
		for i := range 3 {
			offset, err := l.Append(t.Context(), []byte{byte(i)})
			require.NoError(t, err)
			require.Equal(t, platform.Offset(i+1), offset)
		}
		batch, err := l.Read(t.Context(), 2, 1, 0)
		require.NoError(t, err)
		require.Equal(t, []platform.Entry{{Offset: 2, Data: []byte{1}}}, batch.Entries)
		require.Equal(t, platform.Offset(4), batch.Next)

		time.Sleep(30 * time.Second)
		go func() {
			time.Sleep(time.Second)
			_, _ = l.Append(context.Background(), []byte{3})
		}()
		start := time.Now()
		batch, err = l.Read(t.Context(), 4, 10, 20*time.Second)
		require.NoError(t, err)
		require.Len(t, batch.Entries, 1)
		require.Equal(t, time.Second, time.Since(start), "the long poll ends with the append")

		time.Sleep(30 * time.Second)
		batch, err = l.Read(t.Context(), 3, 10, 0)
		require.ErrorIs(t, err, platform.ErrExpired)
		require.Equal(t, platform.Offset(4), batch.Oldest)
	})
}

// Guards against a stand-in of the log that accepts more appends than the platform's rate limit
// allows.
func TestLogRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogConfig{AppendsPerSecond: 10})
		accepted := 0
		for range 100 {
			if _, err := l.Append(t.Context(), nil); err == nil {
				accepted++
			} else {
				require.ErrorIs(t, err, platform.ErrUnavailable)
			}
			time.Sleep(10 * time.Millisecond)
		}
		require.InDelta(t, 20, accepted, 1, "a burst of 10 and 10/s for 1 s")
	})
}

// Guards against faults of the log that report a wrong outcome: an append whose response is lost or
// that takes effect late must return ErrUnknownOutcome, one during an outage ErrUnavailable.
func TestLogFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogConfig{})
		next := func() platform.Offset {
			batch, err := l.Read(t.Context(), 1, 1, 0)
			require.NoError(t, err)
			return batch.Next
		}
		l.SetFaults(LogFaults{CallFaults: CallFaults{Outage: true}})
		_, err := l.Append(t.Context(), nil)
		require.ErrorIs(t, err, platform.ErrUnavailable)
		l.SetFaults(LogFaults{CallFaults: CallFaults{LoseResponses: 1}})
		_, err = l.Append(t.Context(), nil)
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		require.Equal(t, platform.Offset(2), next())
		l.SetFaults(LogFaults{LateAppends: 1, LateBy: settings.Duration(time.Minute)})
		_, err = l.Append(t.Context(), nil)
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		require.Equal(t, platform.Offset(2), next())
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Equal(t, platform.Offset(3), next())
	})
}

// Guards against a list that shows a change before the lag has passed.
func TestInstancesLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rows := []platform.Instance{{ID: "t1", State: platform.StateLive}}
		i := NewInstances(nil, time.Second, rows)
		require.NoError(t, i.SetState("t1", platform.StateLeaving))
		require.ErrorIs(t, i.SetState("t2", platform.StateLeaving), ErrNotFound)
		listed, err := i.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, platform.StateLive, listed[0].State)
		time.Sleep(time.Second)
		listed, err = i.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, platform.StateLeaving, listed[0].State)
	})
}

// Guards against a long poll that continues after the start of an outage, and against a read that
// uses up a lost-response fault meant for an append.
func TestLongPollEndsAtOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLog(LogConfig{})
		failed := make(chan error, 1)
		go func() {
			_, err := l.Read(t.Context(), 1, 1, time.Minute)
			failed <- err
		}()
		time.Sleep(time.Second)
		l.SetFaults(LogFaults{CallFaults: CallFaults{Outage: true}})
		start := time.Now()
		require.ErrorIs(t, <-failed, platform.ErrUnavailable)
		require.Zero(t, time.Since(start))
		l.SetFaults(LogFaults{CallFaults: CallFaults{LoseResponses: 1}})
		_, err := l.Read(t.Context(), 1, 1, 0)
		require.NoError(t, err)
		_, err = l.Append(t.Context(), nil)
		require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		_, err = l.Append(t.Context(), nil)
		require.NoError(t, err)
	})
}
