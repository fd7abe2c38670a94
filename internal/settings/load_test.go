package settings

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sample settings of load runs that are rejected or lose a default.
func TestLoadSamples(t *testing.T) {
	for _, name := range []string{"load-tumaini.toml", "load-hamnverket.toml"} {
		l, err := ReadLoad(filepath.Join("..", "..", "examples", name), false)
		require.NoError(t, err)
		require.Len(t, l.Flows, 3)
		require.Len(t, l.URLs, 6)
		require.Equal(t, l.Duration, l.Flows[0].Stop)
		require.Equal(t, 3, *l.Flows[1].Urgency)
	}
}

// Guards against load runs that are unbounded, send requests to other machines without permission
// or run work twice because they resend requests that are not idempotent.
func TestLoadRejectsInvalidSettings(t *testing.T) {
	file := writeSettings(t, `
name = "x"
duration = "2h"
max_requests = 10
urls = ["http://192.0.2.1:80", "http://localhost:80"]
[[flows]]
organisation = "o"
caller = "c"
kind = "k"
rate = 100.0
resend = "always"
`)
	keysOf := func(allowRemote bool) map[string]bool {
		_, err := ReadLoad(file, allowRemote)
		var invalid *Error
		require.ErrorAs(t, err, &invalid)
		keys := make(map[string]bool)
		for _, p := range invalid.Problems {
			keys[p.Key] = true
		}
		return keys
	}
	want := map[string]bool{"duration": true, "urls[0]": true, "urls[1]": true, "control_url": true, "flows": true, "flows[0].key": true}
	require.Equal(t, want, keysOf(false))
	delete(want, "urls[0]")
	require.Equal(t, want, keysOf(true))
}
