package cli

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

const standinSettings = `
name = "test"
control_addr = "127.0.0.1:0"
log_addr = "127.0.0.1:0"
instances_addr = "127.0.0.1:0"
workers_addr = "127.0.0.1:0"
targets_addr = "127.0.0.1:0"
[target]
slots = 1
connections = 1
[[zones]]
name = "z1"
targets = 1
`

// Guards against a ready line that is printed before the stand-ins have been started, and against a command
// that does not end when it is cancelled.
func TestStandinCommand(t *testing.T) {
	file := filepath.Join(t.TempDir(), "standin.toml")
	require.NoError(t, os.WriteFile(file, []byte(standinSettings), 0o600))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	reader, writer := io.Pipe()
	var stderr bytes.Buffer
	code := make(chan int, 1)
	go func() {
		code <- Run(ctx, []string{"standin", "--config", file}, Env{Stdout: writer, Stderr: &stderr})
	}()
	line := make([]byte, 1024)
	n, err := reader.Read(line)
	require.NoError(t, err)
	require.Regexp(t, `^standin ready name=test control=http://127\.0\.0\.1:\d+ log=\S+ instances=\S+ workers=0 targets=1\n$`, string(line[:n]))
	cancel()
	require.Equal(t, ExitOK, <-code, stderr.String())
	require.Equal(t, ExitUsage, Run(t.Context(), []string{"standin"}, Env{Stdout: io.Discard, Stderr: io.Discard}))
}
