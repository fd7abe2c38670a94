package ledger_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// inSimulatedTime runs a test in simulated time, with a log, a client of the log and a context that ends
// with the test.
func inSimulatedTime(t *testing.T, run func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client)) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		defer boottime.Simulate()()
		log := ledgertest.New(1)
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Simulated time stops when this function returns. Until then, all goroutines must end.
			time.Sleep(10 * time.Second)
		}()
		run(ctx, log, log.Client())
	})
}

func newWriter(ctx context.Context, c *ledgertest.Client, producer string, epoch int64, retryUntilStored bool) *ledger.Writer {
	w := ledger.NewWriter(ledger.WriterConfig{
		Log: c, Topic: topic, Producer: producer, Epoch: epoch, RetryUntilStored: retryUntilStored, Logger: logging.Discard(),
	})
	go func() { _ = w.Run(ctx) }()
	return w
}

func record(key string) []ledger.Record { return []ledger.Record{{Key: key, Value: []byte("v")}} }

// Guards against an append that is stored twice: its response is lost, it takes effect at once or seconds
// later, and the writer retries it.
func TestLostResponsesHaveOneEffect(t *testing.T) {
	for _, late := range []bool{false, true} {
		inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
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

// Guards against wrong outcomes of writes: "unavailable" means certainly not stored, for example because
// the log is down; an append without a response may still be stored and must be reported as unknown.
func TestUnavailableOrUnknownOutcome(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		w := newWriter(ctx, c, "w", 1, false)
		c.SetDown(true)
		require.ErrorIs(t, w.Write(ctx, record("a")), ledger.ErrUnavailable)
		c.SetDown(false)
		c.SetResponseLoss(1, true)
		short, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		require.ErrorIs(t, w.Write(short, record("b")), ledger.ErrUnknownOutcome)
		// Writes queued behind the retried append have not been sent: they fail as unavailable once that
		// append has ended, long before their deadlines.
		long, cancelLong := context.WithTimeout(ctx, 30*time.Second)
		defer cancelLong()
		waiting := make(chan error, 1)
		go func() { waiting <- w.Write(long, record("c")) }()
		time.Sleep(2 * time.Second)
		c.SetResponseLoss(0, false)
		require.ErrorIs(t, <-waiting, ledger.ErrUnavailable)
	})
}

// Guards against callers that wait until their deadlines, and are then told that the outcome is unknown, because of
// writes that were never sent: they are queued behind an append that gets no response.
func TestQueuedWritesFailBeforeTheirDeadlines(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
		w := newWriter(ctx, c, "w", 1, false)
		c.SetSilent(true)
		sent := make(chan error, 1)
		go func() { sent <- w.Write(ctx, record("sent")) }()
		time.Sleep(10 * time.Millisecond)
		for _, c := range []struct {
			deadline, returnsWithin time.Duration
		}{{3 * time.Second, 750 * time.Millisecond}, {300 * time.Millisecond, 300 * time.Millisecond}} {
			callCtx, cancel := context.WithTimeout(ctx, c.deadline)
			start := time.Now()
			require.ErrorIs(t, w.Write(callCtx, record("queued")), ledger.ErrUnavailable)
			require.LessOrEqual(t, time.Since(start), c.returnsWithin)
			cancel()
		}
		c.SetSilent(false)
		require.NoError(t, <-sent)
		time.Sleep(5 * time.Second)
		require.NotContains(t, log.LatestValues(topic), "queued", "what was reported as not stored")
	})
}

// Guards against a former leader that continues to write after its successor has fenced it.
func TestNewerEpochFencesOlderWriters(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		old := newWriter(ctx, c, "leader", 1, true)
		require.NoError(t, old.Write(ctx, record("a")))
		newer := ledger.NewWriter(ledger.WriterConfig{Log: c, Topic: topic, Producer: "leader", Epoch: 2, RetryUntilStored: true, Logger: logging.Discard()})
		end, err := newer.Fence(ctx)
		require.NoError(t, err)
		require.Equal(t, int64(1), end)
		require.ErrorIs(t, old.Write(ctx, record("b")), ledger.ErrFenced)
	})
}

// Guards against a local copy that differs from the topic after an outage during which the follower's
// offset expired, and against a wrong age of the copy.
func TestCopyIsCompleteAfterExpiredOffset(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
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
		require.Less(t, age, 2*time.Second+200*time.Millisecond, "the copy is confirmed as of the last read's request, up to 1 s before its response, and the next read may wait another 1 s")
		mu.Lock()
		defer mu.Unlock()
		require.Len(t, localCopy, 600, "599 of the 600 keys, and the new one")
		require.True(t, localCopy["new"])
		require.False(t, localCopy["k000"])
	})
}

// Guards against instances that never complete a scan after all of them restarted at once: their reads
// share the log's bandwidth, so that pages time out, and each timeout makes the scan start again.
func TestSlowPagesAreReadOnce(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
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
		case <-time.After(9 * time.Second): // The first request times out after 1.2 s; 3 pages take 2 s each.
			require.Fail(t, "the latest records were not read within 9 s")
		}
		require.Equal(t, 4, c.SetPageDelay(0), "one request timed out and was retried")
	})
}

// Guards against a local copy that is still out of date seconds after the log responds again, because the
// follower waits for the response to a read that it sent during the outage.
func TestFollowerIsCurrentSoonAfterSilence(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
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
			require.Less(t, age, 2500*time.Millisecond, "after %v without responses", silence)
		}
	})
}

// Guards against callers that are told that a write is stored although it is not, or that it is not
// stored although it is, while the log is down at times and loses responses.
func TestOutcomesOfWritesAreTrue(t *testing.T) {
	for seed := range uint64(30) {
		inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
			random := rand.New(rand.NewPCG(seed, 3))
			w := newWriter(ctx, c, "w", 1, seed%2 == 0)
			outcomes := make(map[string]error)
			var mu sync.Mutex
			var writes sync.WaitGroup
			for n := range 200 {
				c.SetDown(random.IntN(6) == 0)
				c.SetResponseLoss(float64(random.IntN(3))*0.3, random.IntN(2) == 0)
				writes.Go(func() {
					key := fmt.Sprint(n)
					callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
					defer cancel()
					err := w.Write(callCtx, record(key))
					mu.Lock()
					defer mu.Unlock()
					outcomes[key] = err
				})
				time.Sleep(time.Duration(random.IntN(120)) * time.Millisecond)
			}
			c.SetDown(false)
			c.SetResponseLoss(0, false)
			writes.Wait()
			time.Sleep(5 * time.Second) // Late appends take effect.
			stored := log.LatestValues(topic)
			counts := make(map[bool]int)
			for key, err := range outcomes {
				counts[err == nil]++
				if err == nil {
					require.Contains(t, stored, key, "seed %d", seed)
				}
				if errors.Is(err, ledger.ErrUnavailable) {
					require.NotContains(t, stored, key, "seed %d", seed)
				}
			}
			require.NotEmpty(t, counts[true], "seed %d", seed)
		})
	}
}

// Guards against a leader that steps down again and again because the log rejects an append: two writes
// that are each within the size limit of a call were combined into one that is not.
func TestCombinedWritesStayWithinSizeLimit(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
		log.MaxCallBytes = 2 << 20
		w := ledger.NewWriter(ledger.WriterConfig{Log: c, Topic: topic, Producer: "w", Epoch: 1, RetryUntilStored: true, Logger: logging.Discard()})
		outcomes := make(chan error, 3)
		for n, size := range []int{900 << 10, 1800 << 10, 100} {
			r := ledger.Record{Key: fmt.Sprint(n), Value: make([]byte, size)}
			require.True(t, w.Enqueue([]ledger.Record{r}, func(err error) { outcomes <- err }))
		}
		go func() { _ = w.Run(ctx) }()
		for range 3 {
			require.NoError(t, <-outcomes)
		}
		require.Len(t, log.LatestValues(topic), 3)
	})
}

// Guards against writes over the size of a call: all parts of a large write are small, in the order of the records, and a record that
// is large by itself has a part of its own.
func TestSplitKeepsPartsSmall(t *testing.T) {
	var records []ledger.Record
	for n := range 5000 {
		size := 30
		if n%1000 == 500 {
			size = 200 << 10
		}
		records = append(records, ledger.Record{Key: fmt.Sprint(n), Value: make([]byte, size)})
	}
	records = append(records, ledger.Record{Key: "large", Value: make([]byte, 900<<10)})
	n := 0
	for _, part := range ledger.Split(records) {
		bytes := 0
		for _, r := range part {
			require.Equal(t, records[n].Key, r.Key)
			bytes += len(r.Key) + len(r.Value)
			n++
		}
		require.True(t, bytes <= 300<<10 || len(part) == 1)
		require.LessOrEqual(t, len(part), 400)
	}
	require.Equal(t, len(records), n)
	require.Empty(t, ledger.Split(nil))
}

// Guards against a write that the log rejects and that makes others fail, which were appended with it.
func TestRejectedWriteFailsAlone(t *testing.T) {
	for _, retry := range []bool{false, true} {
		inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
			log.MaxCallBytes = 100 << 10
			w := ledger.NewWriter(ledger.WriterConfig{Log: c, Topic: topic, Producer: "w", Epoch: 1, RetryUntilStored: retry, Logger: logging.Discard()})
			outcomes := make([]error, 4)
			var writes sync.WaitGroup
			for n, size := range []int{60 << 10, 150 << 10, 60 << 10, 100} {
				writes.Add(1)
				r := ledger.Record{Key: fmt.Sprint(n), Value: make([]byte, size)}
				require.True(t, w.Enqueue([]ledger.Record{r}, func(err error) {
					outcomes[n] = err
					writes.Done()
				}))
			}
			go func() { _ = w.Run(ctx) }()
			writes.Wait()
			for n, err := range outcomes {
				if n == 1 {
					require.ErrorIs(t, err, ledger.ErrRejected)
				} else {
					require.NoError(t, err, "write %d", n)
				}
			}
			require.Len(t, log.LatestValues(topic), 3)
			require.NoError(t, w.Write(ctx, record("later")))
		})
	}
}

// deniedLog rejects all appends.
type deniedLog struct{ ledger.Log }

func (deniedLog) Append(context.Context, ledger.Append) (ledger.AppendResult, error) {
	return ledger.AppendResult{}, ledger.ErrRejected
}

// Guards against a leader that goes on although the log accepts nothing from it any more, while another instance could lead.
func TestWriterEndsIfTheLogRejectsEverything(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, _ *ledgertest.Log, c *ledgertest.Client) {
		w := ledger.NewWriter(ledger.WriterConfig{Log: deniedLog{c}, Topic: topic, Producer: "w", Epoch: 1, RetryUntilStored: true, Logger: logging.Discard()})
		outcomes := make(chan error, 2)
		for range 2 {
			require.True(t, w.Enqueue(record("a"), func(err error) { outcomes <- err }))
		}
		require.ErrorIs(t, w.Run(ctx), ledger.ErrRejected)
		for range 2 {
			require.ErrorIs(t, <-outcomes, ledger.ErrRejected)
		}
	})
}

// lateLog carries out the first append late, without a response, and rejects the second.
type lateLog struct {
	ledger.Log
	calls *atomic.Int64
}

func (l lateLog) Append(ctx context.Context, a ledger.Append) (ledger.AppendResult, error) {
	switch l.calls.Add(1) {
	case 1:
		time.AfterFunc(5*time.Second, func() { _, _ = l.Log.Append(context.Background(), a) })
		<-ctx.Done()
		return ledger.AppendResult{}, ledger.ErrUnknownOutcome
	case 2:
		return ledger.AppendResult{}, ledger.ErrRejected
	default:
		return l.Log.Append(ctx, a)
	}
}

// Guards against a write that counts as stored and is not: the append before it took effect late, after a later attempt of it had been
// rejected, and the log took the write for a repetition of that append.
func TestWriterEndsIfRejectedAppendMayTakeEffect(t *testing.T) {
	inSimulatedTime(t, func(ctx context.Context, log *ledgertest.Log, c *ledgertest.Client) {
		w := ledger.NewWriter(ledger.WriterConfig{
			Log: lateLog{c, new(atomic.Int64)}, Topic: topic, Producer: "w", Epoch: 1, RetryUntilStored: true, Logger: logging.Discard(),
		})
		outcomes := make(chan error, 2)
		require.True(t, w.Enqueue(record("first"), func(err error) { outcomes <- err }))
		ended := make(chan error, 1)
		go func() { ended <- w.Run(ctx) }()
		require.ErrorIs(t, <-outcomes, ledger.ErrRejected)
		time.Sleep(10 * time.Second)
		require.True(t, w.Enqueue(record("second"), func(err error) { outcomes <- err }))
		time.Sleep(time.Second)
		if len(outcomes) > 0 && <-outcomes == nil {
			require.Contains(t, log.LatestValues(topic), "second")
		}
		require.ErrorIs(t, <-ended, ledger.ErrRejected)
	})
}
