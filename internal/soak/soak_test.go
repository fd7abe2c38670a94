package soak_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/cli"
	"github.com/oleanderbend/oleanderbend/internal/soak"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleanderbend": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// regressions are seeds that have found a fault, each with its cause.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "the library's asynchronous log writer raced in every process, and ended some that logged after it was closed"},
	{20015, "ends of a worker's earlier life were acknowledged to its new one, which forgot an end that nobody had seen"},
	{5002, "the soak took a run for left over whose stop was under way"},
}

// Guards the promises to callers and workers while real processes are killed, stopped and frozen, and
// their connections and the store fail. Faults are drawn from the seed; their timing is the machine's.
func TestPromisesHoldUnderFaults(t *testing.T) {
	program, err := exec.LookPath("oleanderbend")
	require.NoError(t, err)
	dir, err := os.MkdirTemp("", "oleanderbend-soak-")
	require.NoError(t, err)
	// Remove fails if a run with a finding left its logs in the folder, so that they are kept.
	t.Cleanup(func() { _ = os.Remove(dir) })
	for _, r := range regressions {
		report, err := soak.Run(t.Context(), soak.Config{
			Program: program, Seed: r.seed, Duration: 8 * time.Second, Instances: 3, Workers: 4, Dir: dir,
		})
		require.NoError(t, err)
		var text strings.Builder
		report.Write(&text)
		t.Log(text.String())
		require.NoError(t, report.InjectionError)
		require.Empty(t, report.Violations, "seed %d", r.seed)
		require.NotZero(t, report.Starts)
	}
}
