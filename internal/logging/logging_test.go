package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against events of several lines, unquoted values and a lost level filter.
func TestOneLineOfPairs(t *testing.T) {
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

// stuckWriter never takes a line.
type stuckWriter struct{ taken chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.taken
	return len(p), nil
}

// Guards against a process that stands still because nobody reads its log.
func TestStuckReaderDoesNotBlock(t *testing.T) {
	out := stuckWriter{taken: make(chan struct{})}
	logger, closeLog := NewAsync(out, "info", "n1")
	for n := range 3 * pendingLines {
		logger.Info().Int("line", n).Msg("event")
	}
	close(out.taken)
	closeLog()
}

// Guards against a data race between the goroutines that log, which the soak showed in every process
// (seed 1, race detector), and against lines that are written after the log was closed.
func TestLinesOfManyGoroutines(t *testing.T) {
	var out bytes.Buffer
	logger, closeLog := NewAsync(&out, "info", "n1")
	const writers, lines = 8, 200
	var all sync.WaitGroup
	for range writers {
		all.Go(func() {
			for n := range lines {
				logger.Info().Int("line", n).Msg("event")
			}
		})
	}
	all.Wait()
	closeLog()
	require.Equal(t, writers*lines, strings.Count(out.String(), "msg=event"))
	logger.Info().Msg("late")
	require.NotContains(t, out.String(), "late")
}

// Guards against lines that are dropped without a trace.
func TestDroppedLinesAreCounted(t *testing.T) {
	out := &blockedBuffer{release: make(chan struct{})}
	logger, closeLog := NewAsync(out, "info", "n1")
	for n := range pendingLines + 100 {
		logger.Info().Int("line", n).Msg("event")
	}
	close(out.release)
	closeLog()
	require.Contains(t, out.String(), `msg="log lines dropped" instance=n1 lines=`)
}

// blockedBuffer takes lines after it was released.
type blockedBuffer struct {
	release chan struct{}
	bytes.Buffer
}

func (b *blockedBuffer) Write(p []byte) (int, error) {
	<-b.release
	return b.Buffer.Write(p)
}
