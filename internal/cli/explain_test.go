package cli

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/node"
)

// TestExplainRequestUsage guards against a form of the command that is sent although it cannot be answered, and against a
// request that is sent to the default server of the other path.
func TestExplainRequestUsage(t *testing.T) {
	file := writeFile(t, "job.json", "{}")
	for _, args := range [][]string{
		{"request", file}, {"request", file, "--instance", "x:1"}, {"request", file, "--instance", "x:1", "--host", "h"},
		{"request", "/does/not/exist", "--instance", "x:1", "--host", "h", "--path", "/q/"},
		{"request", file, "--instance", "x:1", "--host", "h", "--path", "/q/", "--key-file", "/does/not/exist"},
		{"job", "a", "--instance", "x:1", "--server", "y:1"}, {"job", "a", "--host", "h"}, {"job", "a", "--instance", "x:1", "-o", "yaml"},
	} {
		code, _, stderr := run(t, "", append([]string{"explain"}, args...)...)
		require.Equal(t, ExitUsage, code, "%v: %s", args, stderr)
		require.NotEmpty(t, stderr)
	}
}

// TestExplainRequestSendsKeyInHeader guards against a key in the URL, which servers log, and against parts of an answer that
// the text leaves out.
func TestExplainRequestSendsKeyInHeader(t *testing.T) {
	answer := node.Explanation{
		Instance: "i", Queue: "batch", Service: "s", Priority: 2, Org: "o", Leader: "l", Notes: []string{"a note"},
		Decision: &controller.Explanation{AssumesAdvice: true, MoreSteps: 3, LaterOccurrences: 4, Steps: []controller.StepExplanation{{
			State: controller.StepWaits, Tasks: 30, Reason: "headroom", Message: "text", Unblock: "an end", Ahead: 1, Waiting: 5, UsesMinShare: true,
			ShareLeft: 6, Workers: 9, Able: 2, Conflicting: 1, Obstacles: map[string]int{"busy": 4, "slow": 3}, Starts: 25, StartsOn: 17,
			Places: []controller.Place{{Worker: "w", Rack: "r", Tasks: 2}}, Stops: 1,
		}}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Header.Get("Authorization") != "Bearer secret" || string(body) != "{}" || r.URL.String() != node.ExplainRequestPath+"?host=h&path=%2Fq%2F" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(answer)
	}))
	defer server.Close()
	t.Setenv(explainKeyEnv, "secret")
	args := []string{"explain", "request", "-", "--instance", server.Listener.Addr().String(), "--host", "h", "--path", "/q/"}
	code, stdout, stderr := run(t, "{}", args...)
	require.Equal(t, ExitOK, code, stderr)
	for _, part := range []string{
		"queue: batch, service s, priority 2, organisation o", "note: a note", "advice service was not asked", "3 more unfinished steps",
		"4 later occurrences", "waits, 30 waiting tasks", "2 of 5 waiting steps", "6 accelerators unused; the step is scheduled within it",
		"2 of 9 can take a task, 1 of them less preferred because of a conflict with what runs there; others: busy 4, slow 3", "would start now: 25 tasks on w (rack r) 2, and 16 more workers", "would stop: 1",
		"waits: headroom: text", "would start when: an end",
	} {
		require.Contains(t, stdout, part)
	}
	code, stdout, _ = run(t, "{}", append(args, "-o", "json")...)
	require.Equal(t, ExitOK, code)
	var decoded node.Explanation
	require.NoError(t, json.Unmarshal([]byte(stdout), &decoded))
	require.Equal(t, answer, decoded)
}
