package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/replica"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// stubZones is a stub that assigns all jobs and guarantees to zone z1. It cannot honour guarantees of more
// than 10 gangs.
type stubZones struct{}

func (stubZones) ChooseZone(context.Context, *resource.Job) (string, string, error) {
	return "z1", "", nil
}

func (stubZones) CheckGuarantee(_ context.Context, g *resource.Guarantee) (string, scheduler.GuaranteeResult, error) {
	if g.Spec.Gangs > 10 {
		return "", scheduler.GuaranteeResult{Reason: "zone z1 has 80 accelerators"}, nil
	}
	return "z1", scheduler.GuaranteeResult{Honourable: true}, nil
}

func (stubZones) Waiting(context.Context, string) (scheduler.Waiting, bool, error) {
	return scheduler.Waiting{Code: scheduler.ReasonQuota, Message: "quota of 8 reached", Unblock: "a job of tumaini ends"}, true, nil
}

// testInstance is one replica with its API server.
type testInstance struct {
	replica *replica.Replica
	server  *httptest.Server
	events  *timeline.Recorder
}

// newInstance starts an instance on a log and waits until its replica is ready.
func newInstance(t *testing.T, id string, log *standin.Log) *testInstance {
	t.Helper()
	events := timeline.NewRecorder(id, hlc.New(nil), 100)
	r := replica.New(replica.Dependencies{ID: id, Log: log, Now: time.Now, Logger: logging.Discard(), Events: events})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	require.NoError(t, r.Start(ctx))
	<-r.Ready()
	zones := stubZones{}
	a := api.New(api.Dependencies{
		ID: id, Reader: r, Writer: r, Ready: r, Now: time.Now, Logger: logging.Discard(), Events: events,
		Zones: zones, Guarantees: zones, Explainer: zones,
	})
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return &testInstance{replica: r, server: server, events: events}
}

// run runs the command line and returns the exit code and the output.
func run(t *testing.T, stdin string, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = Run(t.Context(), args, Env{Stdin: strings.NewReader(stdin), Stdout: &out, Stderr: &errs})
	return code, out.String(), errs.String()
}

func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

const sampleResources = `
[[organisations]]
[organisations.metadata]
name = "tumaini"
[organisations.spec]
weight = 2.0

[[guarantees]]
[guarantees.metadata]
name = "clinic"
[guarantees.spec]
organisation = "tumaini"
gangs = 1
members = 2
accelerators_per_member = 4

[[jobs]]
[jobs.metadata]
name = "nightly"
[jobs.metadata.labels]
team = "a"
[jobs.spec]
organisation = "tumaini"
members = 2
accelerators_per_member = 4
urgency = 3
`

// TestResourceRoundTrip guards against commands that do not take effect in the log. It applies,
// gets, changes and deletes resources through one instance and reads the result through another.
func TestResourceRoundTrip(t *testing.T) {
	log := standin.NewLog(standin.LogConfig{})
	first, second := newInstance(t, "a", log), newInstance(t, "b", log)
	server := "--server=" + first.server.URL
	code, stdout, stderr := run(t, "", "apply", "-f", writeFile(t, "r.toml", sampleResources), server)
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, stdout, "organisations/tumaini created, version 1")
	require.Contains(t, stdout, "jobs/nightly created, version 3")

	code, stdout, stderr = run(t, "", "get", "job", "nightly", "-o", "json", server)
	require.Equal(t, ExitOK, code, stderr)
	var job resource.Job
	require.NoError(t, json.Unmarshal([]byte(stdout), &job))
	require.Equal(t, "z1", job.Status.Zone)
	require.Equal(t, resource.PhaseQueued, job.Status.Phase)

	changed := strings.Replace(stdout, `"urgency": 3`, `"urgency": 1`, 1)
	code, stdout, stderr = run(t, changed, "apply", "-f", "-", server)
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, stdout, "changed, version 4: spec.urgency 3 -> 1")
	code, _, stderr = run(t, changed, "apply", "-f", "-", server)
	require.Equal(t, ExitFailure, code, "a copy read before the change must not undo it")
	require.Contains(t, stderr, "expected version 3, current version is 4")

	code, stdout, _ = run(t, "", "delete", "job", "nightly", server)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "jobs/nightly cancelled, version 6")
	require.Eventually(t, func() bool { return second.replica.Applied() == 6 }, 10*time.Second, time.Millisecond)
	code, stdout, _ = run(t, "", "get", "jobs", "--server", second.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "Cancelled")
}
