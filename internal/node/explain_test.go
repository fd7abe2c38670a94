package node_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/cli"
	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/node"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/platform"
)

const (
	secretKey  = "key-3f9a71"
	secretSpec = "spec-5b20c8"
)

// newLogWithOrg returns a log with a configuration that has one queue, which needs a key, and one organisation.
func newLogWithOrg(t *testing.T) *ledgertest.Log {
	t.Helper()
	storage := ledgertest.New(1)
	record, err := platform.EncodeConfig(&opconfig.Config{
		Version: 1,
		Queues:  []opconfig.Queue{{Name: "urgent", Host: host, Prefix: prefix, Service: "s", MaxFailedRuns: 3, DurationFactor: 1.5}},
		Orgs:    []opconfig.Org{{Name: "org-a", Keys: []string{secretKey}, GuaranteedGPU: 8}},
	})
	require.NoError(t, err)
	_, err = storage.Client().Append(t.Context(), ledger.Append{
		Topic: platform.OperatorTopic, Records: []ledger.Record{record}, ExpectedEnd: ledger.AnyEnd,
	})
	require.NoError(t, err)
	return storage
}

// internalAddress returns the address that serves metrics and explanations.
func (p *process) internalAddress() string {
	return net.JoinHostPort(p.settings.IP, fmt.Sprint(p.settings.MetricsPort))
}

// explain runs the command against the process and returns its exit code and output.
func (p *process) explain(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errors bytes.Buffer
	args = append([]string{"explain", "--instance", p.internalAddress()}, args...)
	code = cli.Run(t.Context(), args, cli.Env{Stdin: strings.NewReader(""), Stdout: &out, Stderr: &errors})
	return code, out.String(), errors.String()
}

func writeTemp(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	return path
}

// submission returns the body of a request that submits a job with one step.
func submission(t *testing.T, id string) []byte {
	t.Helper()
	body, err := platform.EncodeJob(&batch.Job{ID: id, Spec: secretSpec, Steps: []batch.Step{{Count: 2, CPU: 1000, GPU: 4, EstimateMS: 1000}}})
	require.NoError(t, err)
	return body
}

// Guards against an answer of an instance that does not lead without the leader's decision, against keys and the text of
// submitters in answers or logs, and against an explanation that stores something.
func TestExplainThroughLeader(t *testing.T) {
	t.Parallel()
	const id = "5c0e7a21d94b36f8"
	storage := newLogWithOrg(t)
	leader := startLeader(t, storage)
	p := startReady(t, storage)
	file, key := writeTemp(t, "job.json", string(submission(t, id))), writeTemp(t, "key", secretKey+"\n")
	request := []string{"request", file, "--host", host, "--path", prefix, "--key-file", key, "-o", "json"}
	var e node.Explanation
	var code int
	var stdout, stderr string
	// A new leader and a new follower know each other after a moment.
	require.Eventually(t, func() bool {
		code, stdout, stderr = p.explain(t, request...)
		e = node.Explanation{}
		return code == cli.ExitOK && json.Unmarshal([]byte(stdout), &e) == nil && e.Decision != nil
	}, 10*time.Second, 50*time.Millisecond, "%s%s", stdout, stderr)
	require.Equal(t, leader.settings.IP, e.Leader)
	require.Equal(t, []any{p.settings.Name, "urgent", "s", "org-a", int64(1)}, []any{e.Instance, e.Queue, e.Service, e.Org, e.ConfigVersion})
	require.Equal(t, controller.Guarantee{GPU: 8, Need: 8, Covered: true}, e.Decision.Guarantee)
	require.Equal(t, controller.StepWaits, e.Decision.Steps[0].State)
	require.Empty(t, storage.LatestValues(batch.JobsTopic))

	submit, err := http.NewRequest(http.MethodPost, "http://"+p.settings.FrontAddress+prefix+id, bytes.NewReader(submission(t, id)))
	require.NoError(t, err)
	submit.Host = host
	submit.Header.Set("Authorization", "Bearer "+secretKey)
	resp, err := http.DefaultClient.Do(submit)
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	var text string
	require.Eventually(t, func() bool {
		code, text, stderr = p.explain(t, "job", id)
		return code == cli.ExitOK && strings.Contains(text, "waits: capacity")
	}, 10*time.Second, 50*time.Millisecond, "%s%s", text, stderr)
	require.Contains(t, text, "guarantee: covered; 8 accelerators")

	leader.signal(t, syscall.SIGSTOP)
	var stopped string
	// A process answers until all of its threads have stopped.
	require.Eventually(t, func() bool {
		code, stopped, stderr = p.explain(t, "job", id)
		return code != cli.ExitOK || strings.Contains(stopped, "gave no answer: ")
	}, 20*time.Second, time.Millisecond, "%s%s", stopped, stderr)
	require.Equal(t, cli.ExitOK, code, stderr)
	require.Contains(t, stopped, "queue: urgent")
	leader.signal(t, syscall.SIGCONT)
	for _, process := range []*process{p, leader} {
		_ = process.cmd.Process.Kill() // This fails if the process has exited.
		<-process.exited
	}
	for _, output := range []string{stdout, text, stopped, p.output.String(), leader.output.String()} {
		require.NotContains(t, output, secretKey)
		require.NotContains(t, output, secretSpec)
	}
}

// Guards against bad input without a clear error, and against a second call that waits for the first.
func TestExplainRejects(t *testing.T) {
	t.Parallel()
	p := startReady(t, newLogWithOrg(t))
	good := writeTemp(t, "job.json", string(submission(t, "5c0e7a21d94b36f8")))
	bad := writeTemp(t, "bad.json", `{"Steps":[{"Count":0}]}`)
	wrongKey := writeTemp(t, "key", "wrong")
	for expected, args := range map[string][]string{
		"number of tasks out of range": {"request", bad, "--host", host, "--path", prefix},
		"no queue for this host":       {"request", good, "--host", "other.example", "--path", prefix},
		"key is not valid":             {"request", good, "--host", host, "--path", prefix, "--key-file", wrongKey},
		"knows no job":                 {"job", "5c0e7a21d94b36f8"},
		"16 hexadecimal digits":        {"job", "x"},
	} {
		code, stdout, stderr := p.explain(t, args...)
		require.Equal(t, cli.ExitFailure, code, stdout)
		require.Contains(t, stderr, expected)
	}

	conn, err := net.Dial("tcp", p.internalAddress())
	require.NoError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST %s?host=%s&path=%s HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n{", node.ExplainRequestPath, host, prefix)
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		_, _, stderr := p.explain(t, "job", "5c0e7a21d94b36f8")
		return strings.Contains(stderr, "another explanation is in progress")
	}, time.Second, 10*time.Millisecond)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(response), "did not arrive completely")
	_, _, stderr := p.explain(t, "job", "5c0e7a21d94b36f8")
	require.Contains(t, stderr, "knows no job")
	metrics, err := http.Get("http://" + p.internalAddress() + "/metrics")
	require.NoError(t, err)
	defer metrics.Body.Close()
	body, err := io.ReadAll(metrics.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), `oleanderbend_explanations_total{outcome="rejected"}`)
}

// Guards against an instance without the log whose answer does not say that its copies are old and that nobody leads.
func TestExplainWithoutLog(t *testing.T) {
	t.Parallel()
	p := startLeader(t, newLogWithOrg(t))
	file := writeTemp(t, "job.json", string(submission(t, "5c0e7a21d94b36f8")))
	p.logClient.SetDown(true)
	var stdout, stderr string
	require.Eventually(t, func() bool {
		_, stdout, stderr = p.explain(t, "request", file, "--host", host, "--path", prefix)
		return strings.Contains(stdout, "gave no answer") && strings.Contains(stdout, "the configuration at this instance may be out of date")
	}, 15*time.Second, 100*time.Millisecond, "%s%s", stdout, stderr)
	require.Contains(t, stdout, "queue: urgent")
	require.Contains(t, stdout, "no key: ")
}
