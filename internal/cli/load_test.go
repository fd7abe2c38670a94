package cli

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

const loadSettings = `
name = "test"
duration = "200ms"
max_requests = 100
settle = "1ms"
direct = true
control_url = %q
urls = [%q]
[[flows]]
organisation = "o"
caller = "c"
kind = "k"
rate = 100.0
even = true
answer_bytes = 100
`

// Guards against an exit code or a printed result that hides a wrong response.
func TestLoadCommand(t *testing.T) {
	const anyPort = "127.0.0.1:0"
	server, err := standin.Start(settings.Standin{
		ControlAddr: anyPort, LogAddr: anyPort, InstancesAddr: anyPort, WorkersAddr: anyPort, TargetsAddr: anyPort,
		Target: settings.StandinTarget{Slots: 50, Connections: 50},
		Zones:  []settings.StandinZone{{Name: "z1", Targets: 1}},
	})
	require.NoError(t, err)
	defer server.Close()
	dir := t.TempDir()
	file := filepath.Join(dir, "load.toml")
	target := "http://" + server.Instances.Current()[0].Addr
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, loadSettings, server.ControlURL, target), 0o600))

	run := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := Run(context.Background(), append([]string{"load", "--config", file}, args...), Env{Stdout: &out, Stderr: &out})
		return code, out.String()
	}
	code, out := run("--json", filepath.Join(dir, "result.json"), "--plot", filepath.Join(dir, "plot.svg"))
	require.Equal(t, ExitOK, code, out)
	require.FileExists(t, filepath.Join(dir, "result.json"))
	require.FileExists(t, filepath.Join(dir, "plot.svg"))

	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, server.ControlURL+"/faults/targets/*", strings.NewReader(`{"wrongRequestID":true}`))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	resp.Body.Close()
	code, out = run()
	require.Equal(t, ExitFailure, code, out)
	// An even rate of 100 per second gives 19 arrivals in 200 ms: the first after 10 ms, none at 200 ms.
	require.Contains(t, out, "broken: wrong-request-id 19 times")

	require.NoError(t, os.WriteFile(file, []byte("duratoin = 1"), 0o600))
	code, out = run()
	require.Equal(t, ExitUsage, code, out)
}
