package planner

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a figure of stranded capacity that counts capacity that a waiting task can use, or that of workers that
// accept no work.
func TestStranded(t *testing.T) {
	workers := makeWorkers(4, 4)
	workers[0].Free = Resources{CPU: 9000, MemoryMB: 500, GPU: 3}
	workers[1].Free = Resources{CPU: 9000, MemoryMB: 5000, GPU: 3}
	workers[2].Free = Resources{CPU: 9000, MemoryMB: 500, GPU: 3}
	workers[2].AcceptsWork = false
	workers[3].Service = "other"
	units := []Unit{{Service: "s", Need: resourcesWithGPUs(2)}, {Service: "s", Need: resourcesWithGPUs(8)}}
	require.Equal(t, map[string]Resources{"s": {CPU: 9000, GPU: 3}}, Stranded(workers, units))
	require.Empty(t, Stranded(workers, nil))
}
