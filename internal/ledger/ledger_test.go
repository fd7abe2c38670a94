package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/boottime"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/logging"
)

const topic = "keyed.t"

// inVirtualTime runs a test with a log, a client of it and a context that ends with the test.
func inVirtualTime(t *testing.T, run func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		defer boottime.Simulate()()
		log := ledgertest.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		run(ctx, log, log.Client())
	})
}

func newWriter(ctx context.Context, c *ledgertest.Client, producer string, epoch int64, persist bool) *ledger.Writer {
	w := ledger.NewWriter(ledger.WriterConfig{
		Log: c, Topic: topic, Producer: producer, Epoch: epoch, RetryUntilStored: persist, Logger: logging.Discard(),
	})
	go func() { _ = w.Run(ctx) }()
	return w
}

func record(key string) []ledger.Record { return []ledger.Record{{Key: key, Value: []byte("v")}} }

// Guards against a second effect of an append whose answer was lost, on time or seconds later.
func TestLostAnswersHaveOneEffect(t *testing.T) {
	for _, late := range []bool{false, true} {
		inVirtualTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
			w := newWriter(ctx, c, "w", 1, true)
			c.SetResponseLoss(0.5, late)
			for n := range 20 {
				require.NoError(t, w.Write(ctx, record(fmt.Sprint(n))))
			}
			c.SetResponseLoss(0, false)
			time.Sleep(5 * time.Second)
			page, err := c.Read(ctx, topic, 0, 0)
			require.NoError(t, err)
			require.Len(t, page.Entries, 20)
		})
	}
}

// Guards the truth of refusals: a write is refused while the log is down, and unknown when it may
// still be stored.
func TestRefusedOrUnknown(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		w := newWriter(ctx, c, "w", 1, false)
		c.SetDown(true)
		require.ErrorIs(t, w.Write(ctx, record("a")), ledger.ErrUnavailable)
		c.SetDown(false)
		c.SetResponseLoss(1, true)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.ErrorIs(t, w.Write(short, record("b")), ledger.ErrUnknownOutcome)
		// Writes behind it have not been sent: they are refused, long before their deadline.
		long, cancelLong := context.WithTimeout(ctx, 30*time.Second)
		defer cancelLong()
		waiting := make(chan error, 1)
		go func() { waiting <- w.Write(long, record("c")) }()
		time.Sleep(2 * time.Second)
		c.SetResponseLoss(0, false)
		require.ErrorIs(t, <-waiting, ledger.ErrUnavailable)
	})
}

// Guards against an earlier leader that goes on writing.
func TestNewerEpochFencesOlderWriters(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		old := newWriter(ctx, c, "leader", 1, true)
		require.NoError(t, old.Write(ctx, record("a")))
		newer := ledger.NewWriter(ledger.WriterConfig{Log: c, Topic: topic, Producer: "leader", Epoch: 2, RetryUntilStored: true, Logger: logging.Discard()})
		end, err := newer.Fence(ctx)
		require.NoError(t, err)
		require.Equal(t, int64(1), end)
		require.ErrorIs(t, old.Write(ctx, record("b")), ledger.ErrFenced)
	})
}

// Guards the mirror: it survives outages and dropped history, and knows its age.
func TestFollowerMirrorsTheNewestRecords(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
		var mu sync.Mutex
		localCopy := make(map[string]bool)
		f := ledger.NewFollower(ledger.FollowerConfig{
			Log: c, Topic: topic, Wait: time.Second, Logger: logging.Discard(),
			Apply: func(u ledger.Update) {
				mu.Lock()
				defer mu.Unlock()
				if u.Reset {
					clear(localCopy)
				}
				for _, e := range u.Entries {
					localCopy[e.Key] = len(e.Value) > 0
				}
			},
		})
		go f.Run(ctx)
		other := log.Client()
		w := newWriter(ctx, other, "w", 1, true)
		for n := range 600 {
			require.NoError(t, w.Write(ctx, record(fmt.Sprintf("k%03d", n))))
		}
		require.NoError(t, w.Write(ctx, []ledger.Record{{Key: "k000"}}))
		c.SetDown(true)
		time.Sleep(3 * time.Second)
		age, known := f.Age()
		require.True(t, known)
		require.Greater(t, age, 2*time.Second)
		require.NoError(t, w.Write(ctx, record("new")))
		log.Expire(topic)
		c.SetDown(false)
		time.Sleep(2 * time.Second)
		age, _ = f.Age()
		require.Less(t, age, 2*time.Second+200*time.Millisecond, "a read waits a second, and confirms when it was sent")
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, localCopy, 600, "599 keys that are left and the new one")
		require.True(t, localCopy["new"])
		require.False(t, localCopy["k000"])
	})
}

// Guards against instances that never learn the table after all of them were lost: their reads share the
// log's bandwidth, and each page that was given up made the reading begin again.
func TestSlowPagesAreReadOnce(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
		w := newWriter(ctx, log.Client(), "w", 1, true)
		for n := range 1200 {
			require.NoError(t, w.Write(ctx, record(fmt.Sprintf("k%04d", n))))
		}
		c.SetPageDelay(2 * time.Second)
		records := make(chan int, 1)
		f := ledger.NewFollower(ledger.FollowerConfig{
			Log: c, Topic: topic, Wait: time.Second, Logger: logging.Discard(),
			Apply: func(u ledger.Update) { records <- len(u.Entries) },
		})
		go f.Run(ctx)
		select {
		case n := <-records:
			require.Equal(t, 1200, n)
		case <-time.After(9 * time.Second):
			require.Fail(t, "the table was not read")
		}
		require.Equal(t, 4, c.SetPageDelay(0), "one page was given up")
	})
}

// Guards against a mirror that stays behind for seconds after a silent log is back, because it waits for the
// answer to a read from before.
func TestFollowerIsCurrentSoonAfterSilence(t *testing.T) {
	inVirtualTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		f := ledger.NewFollower(ledger.FollowerConfig{Log: c, Topic: topic, Wait: time.Second, Logger: logging.Discard(), Apply: func(ledger.Update) {}})
		go f.Run(ctx)
		for _, silence := range []time.Duration{3 * time.Second, 7 * time.Second, 20 * time.Second} {
			time.Sleep(3 * time.Second)
			c.SetSilent(true)
			time.Sleep(silence)
			c.SetSilent(false)
			time.Sleep(2500 * time.Millisecond)
			age, known := f.Age()
			require.True(t, known)
			require.Less(t, age, 2500*time.Millisecond, "%v of silence", silence)
		}
	})
}
