package settings

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against sample settings of stand-ins that are rejected or differ in size from the
// deployments they represent.
func TestStandinSamples(t *testing.T) {
	cases := map[string]struct{ zones, cores, perRack int }{
		"standin-tumaini.toml":    {4, 128, 6},
		"standin-hamnverket.toml": {3, 64, 8},
	}
	for name, want := range cases {
		s, err := ReadStandin(filepath.Join("..", "..", "examples", name))
		require.NoError(t, err)
		require.Len(t, s.Zones, want.zones)
		workers, targets := 0, 0
		for _, zone := range s.Zones {
			workers += zone.Workers
			targets += zone.Targets
		}
		require.Equal(t, 48, workers)
		require.Equal(t, 48, targets)
		require.Len(t, s.Entries, 6)
		require.Equal(t, want.cores, s.Worker.Cores)
		require.Equal(t, want.perRack, s.Worker.PerRack)
		require.Equal(t, StandinTarget{Slots: 8, Connections: 64}, s.Target)
	}
}

// Guards against stand-ins that listen on an address that other machines can reach, and against
// reporting only the first of several problems.
func TestStandinRejectsInvalidSettings(t *testing.T) {
	file := writeSettings(t, "control_addr = \"0.0.0.0:7100\"\ninstances_lag = \"-1s\"\n")
	_, err := ReadStandin(file)
	var invalid *Error
	require.ErrorAs(t, err, &invalid)
	keys := make(map[string]bool)
	for _, p := range invalid.Problems {
		keys[p.Key] = true
	}
	require.True(t, keys["control_addr"] && keys["instances_lag"] && keys["zones"] && keys["name"], "%v", keys)
}
