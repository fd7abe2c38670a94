package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const validServe = `
id = "n1"
region = "central"
zone = "kenya-a"
caller_addr = "127.0.0.1:7000"
operator_addr = "127.0.0.1:7001"
peer_addr = "127.0.0.1:7002"
peer_key = "0123456789abcdef"
stop_timeout = "30s"

[platform]
log_url = "http://127.0.0.1:7100"
instances_url = "http://127.0.0.1:7101"

[[peers]]
id = "n2"
zone = "kenya-b"
region = "central"
addr = "127.0.0.1:7012"
operator_addr = "127.0.0.1:7011"
`

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "serve.toml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

// Guards against valid settings that are rejected or lose a value.
func TestReadServe(t *testing.T) {
	s, err := ReadServe(writeSettings(t, validServe))
	require.NoError(t, err)
	require.Equal(t, "n2", s.Peers[0].ID)
	require.Equal(t, "info", s.LogLevel)
}

// Guards against ignoring misspelt keys, and against reporting only the first of several problems.
func TestAllProblemsAreReported(t *testing.T) {
	_, err := ReadServe(writeSettings(t, "colour = 1\nsize = 2\n"+validServe))
	require.ErrorIs(t, err, ErrInvalid)
	require.ErrorContains(t, err, "colour: unknown key")
	require.ErrorContains(t, err, "size: unknown key")

	_, err = ReadServe(writeSettings(t, "id = \"n1\"\npeer_addr = \"localhost:1\"\nlog_level = \"loud\"\n"))
	require.ErrorContains(t, err, "peer_addr: must be IP:port")
	require.ErrorContains(t, err, "log_level: must be debug, info, warn or error")
	require.ErrorContains(t, err, "zone: must be set")
}

// Guards against caller limits that are ignored in the settings, and against accepting invalid ones.
func TestCallerLimits(t *testing.T) {
	s, err := ReadServe(writeSettings(t, validServe+"\n[caller_limits]\nconnections_per_address = 4096\nread_idle = \"5s\"\n"))
	require.NoError(t, err)
	require.Equal(t, CallerLimits{ConnectionsPerAddress: 4096, ReadIdle: Duration(5 * time.Second)}, s.CallerLimits)
	_, err = ReadServe(writeSettings(t, validServe+"\n[caller_limits]\nbody_bytes = -1\n"))
	require.ErrorContains(t, err, "caller_limits.body_bytes: must not be negative")
}

// Guards against reporting a syntax error without its position.
func TestSyntaxErrorHasPosition(t *testing.T) {
	_, err := ReadServe(writeSettings(t, "id = \n"))
	require.ErrorIs(t, err, ErrInvalid)
	require.ErrorContains(t, err, "line 1")
}

// Guards against sample settings of instances that are rejected or disagree about their peers.
func TestSampleInstances(t *testing.T) {
	for _, deployment := range []string{"tumaini", "hamnverket"} {
		files, err := filepath.Glob(filepath.Join("..", "..", "examples", deployment, "*.toml"))
		require.NoError(t, err)
		require.Len(t, files, 6)
		all := make(map[string]Serve)
		for _, file := range files {
			s, err := ReadServe(file)
			require.NoError(t, err)
			all[s.ID] = s
		}
		for _, s := range all {
			require.Len(t, s.Peers, len(all)-1)
			for _, p := range s.Peers {
				other := all[p.ID]
				require.Equal(t, Peer{ID: other.ID, Addr: other.PeerAddr, OperatorAddr: other.OperatorAddr, Zone: other.Zone, Region: other.Region}, p)
			}
		}
	}
}
