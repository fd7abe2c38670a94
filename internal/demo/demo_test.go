package demo

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against failures on the whole path from operators and callers to workers and targets,
// also when the leader of a zone is killed.
func TestDemo(t *testing.T) {
	var out bytes.Buffer
	err := Run(t.Context(), &out, io.Discard)
	require.NoError(t, err, out.String())
	require.Contains(t, out.String(), "demo: ok")
}
