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

// regressions lists seeds whose runs have found a defect, each with the cause of the defect.
var regressions = []struct {
	seed  uint64
	cause string
}{
	{1, "the logging library's asynchronous writer had a data race in every process and crashed processes that logged after it was closed"},
	{20015, "run ends that an earlier incarnation of a worker had reported were acknowledged to its new incarnation, which then dropped the end of a run that no instance had received"},
	{5002, "the soak reported a run as left over although its stop was in progress"},
}

// Guards the invariants that callers and workers rely on while real processes are killed, stopped and
// frozen, and while their connections and the log fail. The seed determines the kinds and the order of
// the faults. Their durations, their timing, and the jobs whose states are read vary from run to run.
func TestPromisesHoldUnderFaults(t *testing.T) {
	program, err := exec.LookPath("oleanderbend")
	require.NoError(t, err)
	dir, err := os.MkdirTemp("", "oleanderbend-soak-")
	require.NoError(t, err)
	// Remove fails if the folder is not empty, so the logs of a run with violations are kept.
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
