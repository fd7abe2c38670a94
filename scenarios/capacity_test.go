package scenarios

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	capacitySettle = 8 * time.Second
	capacityWindow = 15 * time.Second
	// ticksPerSecond is the unit of processor time in /proc on Linux.
	ticksPerSecond = 100
)

// usage is what the kernel counted for one process.
type usage struct {
	processor time.Duration
	// read and written are the bytes of read and write calls: sockets and log lines.
	read, written float64
	residentKiB   float64
}

// BenchmarkCapacityProcess measures idle serve processes with the kernel's counters. All
// metrics are of a real run, so they change a little from run to run.
func BenchmarkCapacityProcess(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "oleanderbend")
	out, err := exec.Command("go", "build", "-o", binary, "../cmd/oleanderbend").CombinedOutput()
	require.NoError(b, err, string(out))
	for _, n := range []int{2, 4, 6, 12} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkProcess(b, binary, n, 10)
			}
		})
	}
	for _, n := range []int{50, 200, 400, 800} {
		b.Run(fmt.Sprintf("workers=%d", n), func(b *testing.B) {
			for range b.N {
				benchmarkProcess(b, binary, 5, n/5)
			}
		})
	}
}

func benchmarkProcess(b *testing.B, binary string, instances, workersPerZone int) {
	zones := []string{"a", "b", "c", "d", "e"}
	c, err := newCluster(b.TempDir(), binary, instances, zones)
	require.NoError(b, err)
	defer func() { require.NoError(b, c.close()) }()
	require.NoError(b, c.writeStandinSettings(zones, fleetSize{Workers: workersPerZone, Targets: 10, Retention: "1h"}))
	require.NoError(b, c.writeSettings())
	require.NoError(b, c.start("standin", "standin", "--config", c.settingsFile("standin")))
	require.NoError(b, waitFor(func() error { return c.control(http.MethodGet, "/faults/", nil, nil) }))
	for _, in := range c.instances {
		require.NoError(b, c.start(in.ID, "serve", "--first-start", "--config", c.settingsFile(in.ID)))
	}
	for _, in := range c.instances {
		require.NoError(b, waitFor(func() error { return ready(in) }))
	}
	time.Sleep(capacitySettle)
	before := c.usages(b)
	time.Sleep(capacityWindow)
	after := c.usages(b)
	var sum, largest usage
	for i, u := range after {
		u.processor -= before[i].processor
		u.read -= before[i].read
		u.written -= before[i].written
		sum.processor += u.processor
		sum.read += u.read
		sum.written += u.written
		sum.residentKiB += u.residentKiB
		largest.processor = max(largest.processor, u.processor)
		largest.residentKiB = max(largest.residentKiB, u.residentKiB)
	}
	n, seconds := float64(instances), capacityWindow.Seconds()
	b.ReportMetric(sum.processor.Seconds()/seconds/n*100, "core_%")
	b.ReportMetric(largest.processor.Seconds()/seconds*100, "largest_core_%")
	b.ReportMetric(sum.read/seconds/n, "read_B/s")
	b.ReportMetric(sum.written/seconds/n, "written_B/s")
	b.ReportMetric(sum.residentKiB/1024/n, "resident_MiB")
	b.ReportMetric(largest.residentKiB/1024, "largest_resident_MiB")
}

// usages reads the counters of all instances.
func (c *cluster) usages(b *testing.B) []usage {
	var all []usage
	for _, in := range c.instances {
		c.mu.Lock()
		pid := c.processes[in.ID].cmd.Process.Pid
		c.mu.Unlock()
		all = append(all, readUsage(b, pid))
	}
	return all
}

func readUsage(b *testing.B, pid int) usage {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(b, err)
	// The name may have spaces; the fields after it begin with the state, which is field 3.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	const userTicks, systemTicks = 14 - 3, 15 - 3
	ticks := number(b, fields[userTicks]) + number(b, fields[systemTicks])
	return usage{
		processor:   time.Duration(ticks * float64(time.Second) / ticksPerSecond),
		read:        procField(b, pid, "io", "rchar:"),
		written:     procField(b, pid, "io", "wchar:"),
		residentKiB: procField(b, pid, "status", "VmRSS:"),
	}
}

// procField returns the number after a key in a file of /proc.
func procField(b *testing.B, pid int, file, key string) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", pid, file))
	require.NoError(b, err)
	_, rest, found := strings.Cut(string(data), key)
	require.True(b, found, key)
	return number(b, strings.Fields(rest)[0])
}

func number(b *testing.B, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	require.NoError(b, err)
	return n
}
