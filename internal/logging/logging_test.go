package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event that takes several lines, values without quotes, and a level that is not applied.
func TestEventIsOneLineOfPairs(t *testing.T) {
	var out bytes.Buffer
	logger := New(&out, "info", "n1")
	logger.Debug().Msg("hidden")
	logger.Info().Str("zone", "kenya a").Int("epoch", 3).Msg("zone claimed\nby n1")
	require.Equal(t, 1, bytes.Count(out.Bytes(), []byte("\n")))
	require.Contains(t, out.String(), "instance=n1")
	require.Contains(t, out.String(), `zone="kenya a"`)
	require.Contains(t, out.String(), "epoch=3")
	require.NotContains(t, out.String(), "hidden")
}

// stuckWriter blocks each write until release is closed.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// Guards against a process that blocks because nobody reads its log.
func TestStuckReaderDoesNotBlockLogging(t *testing.T) {
	out := stuckWriter{release: make(chan struct{})}
	logger, closeLog := NewAsync(out, "info", "n1")
	for n := range 3 * queueCapacity {
		logger.Info().Int("line", n).Msg("event")
	}
	close(out.release)
	closeLog()
}

// Guards against a data race between goroutines that log at the same time, which the race detector
// found in every process of a soak (seed 1), and against lines written after the log was closed.
func TestConcurrentLoggers(t *testing.T) {
	var out bytes.Buffer
	logger, closeLog := NewAsync(&out, "info", "n1")
	const writers, lines = 8, 200
	var group sync.WaitGroup
	for range writers {
		group.Go(func() {
			for n := range lines {
				logger.Info().Int("line", n).Msg("event")
			}
		})
	}
	group.Wait()
	closeLog()
	require.Equal(t, writers*lines, strings.Count(out.String(), "msg=event"))
	logger.Info().Msg("late")
	require.NotContains(t, out.String(), "late")
}

// Guards against dropped lines that are not reported in the log with the next line that is written.
func TestDroppedLinesAreCounted(t *testing.T) {
	out := &blockedBuffer{release: make(chan struct{})}
	logger, closeLog := NewAsync(out, "info", "n1")
	for n := range queueCapacity + 100 {
		logger.Info().Int("line", n).Msg("event")
	}
	close(out.release)
	closeLog()
	require.Contains(t, out.String(), `msg="log lines dropped" instance=n1 lines=`)
}

// blockedBuffer blocks each write until release is closed, then appends it to the buffer.
type blockedBuffer struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedBuffer) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}
