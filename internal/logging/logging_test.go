package logging

import (
	"bytes"
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
