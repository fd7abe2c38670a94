package cli

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/standin"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// TestClientCommandsHaveHelpWithExamples guards against a client command whose help has no examples or exit codes.
func TestClientCommandsHaveHelpWithExamples(t *testing.T) {
	for _, command := range []string{"apply", "get", "delete", "watch", "timeline", "explain", "check-config"} {
		code, _, stderr := run(t, "", command, "--help")
		require.Equal(t, ExitOK, code, command)
		require.Contains(t, stderr, "EXAMPLES", command)
		require.Contains(t, stderr, "EXIT CODES", command)
	}
}

// TestUsageErrors guards against an invalid command line that exits with the code of a rejected request.
func TestUsageErrors(t *testing.T) {
	for _, args := range [][]string{
		{"apply"}, {"apply", "-f", "/does/not/exist"}, {"get"}, {"get", "things"}, {"get", "jobs", "-o", "yaml"}, {"get", "--nonsense"},
		{"delete", "job"}, {"watch"}, {"explain", "policy", "x"}, {"timeline", "x"}, {"check-config"}, {"get", "jobs", "--server", ","},
	} {
		code, _, stderr := run(t, "", args...)
		require.Equal(t, ExitUsage, code, "%v: %s", args, stderr)
		require.NotEmpty(t, stderr)
	}
}

// TestNextServerIsTried guards against a command that fails because the first server is down although
// the next one works.
func TestNextServerIsTried(t *testing.T) {
	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	closedAddr := listener.Addr().String()
	require.NoError(t, listener.Close())
	file := writeFile(t, "r.toml", sampleResources)
	code, stdout, stderr := run(t, "", "apply", "-f", file, "--server", closedAddr+","+i.server.URL)
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, stdout, "guarantees/clinic created")
	code, stdout, _ = run(t, "", "apply", "-f", file, "--server", i.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "organisations/tumaini unchanged")
	code, _, stderr = run(t, "", "get", "jobs", "--server", closedAddr)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, stderr, "check --server")
}

// TestLostResponseIsUnknownUntilRetried guards against a lost response that is reported as a
// rejection, and against a retry with another request id, which would take effect twice.
func TestLostResponseIsUnknownUntilRetried(t *testing.T) {
	var ids atomic.Value
	var writes atomic.Int32
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		id := r.Header.Get(platform.HeaderIdempotencyKey)
		if previous := ids.Swap(id); previous != nil && previous != id {
			t.Errorf("request id %s, then %s", previous, id)
		}
		writes.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	file := writeFile(t, "r.toml", "[[organisations]]\n[organisations.metadata]\nname = \"tumaini\"\n")
	code, stdout, stderr := run(t, "", "apply", "-f", file, "--server", lossy.URL)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, stdout, "organisations/tumaini unknown")
	require.Contains(t, stderr, "get request "+ids.Load().(string))
	require.GreaterOrEqual(t, writes.Load(), int32(maxRounds))

	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	ids = atomic.Value{}
	code, stdout, stderr = run(t, "", "apply", "-f", file, "--server", lossy.URL+","+i.server.URL, "-o", "json")
	require.Equal(t, ExitOK, code, stderr)
	var result applyResult
	require.NoError(t, json.Unmarshal([]byte(stdout), &result))
	require.Equal(t, "created", result.Result)
	code, stdout, _ = run(t, "", "get", "request", result.Request, "--server", i.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "accepted at version 1")
}

// TestApplyDoesNotUndoAnotherOperatorsChange guards against apply overwriting the change that another
// operator made between its read and its write.
func TestApplyDoesNotUndoAnotherOperatorsChange(t *testing.T) {
	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	organisation := func(weight string) string {
		return writeFile(t, "w"+weight+".toml", "[[organisations]]\n[organisations.metadata]\nname = \"tumaini\"\n[organisations.spec]\nweight = "+weight+"\n")
	}
	code, _, stderr := run(t, "", "apply", "-f", organisation("1"), "--server", i.server.URL)
	require.Equal(t, ExitOK, code, stderr)
	otherChange := organisation("3")
	proxy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			code, _, stderr := run(t, "", "apply", "-f", otherChange, "--server", i.server.URL)
			require.Equal(t, ExitOK, code, stderr)
		}
		i.server.Config.Handler.ServeHTTP(w, r)
	}))
	defer proxy.Close()
	code, _, stderr = run(t, "", "apply", "-f", organisation("2"), "--server", proxy.URL)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, stderr, "expected version")
	code, stdout, _ := run(t, "", "get", "organisations", "--server", i.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "3")
}

// TestRejectionAfterLostResponseIsUnknown guards against a write that is reported as refused
// although the attempt before the rejection may have taken effect.
func TestRejectionAfterLostResponseIsUnknown(t *testing.T) {
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		panic(http.ErrAbortHandler)
	}))
	defer lossy.Close()
	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	file := writeFile(t, "r.toml", strings.Replace(sampleResources, "gangs = 1", "gangs = 11", 1))
	code, stdout, _ := run(t, "", "apply", "-f", file, "--server", lossy.URL+","+i.server.URL)
	require.Equal(t, ExitUnknown, code)
	require.Contains(t, stdout, "guarantees/clinic unknown")
	require.Contains(t, stdout, "jobs/nightly created")
}

// TestRejectionsGiveReason guards against a rejection without a reason that the operator can act on.
func TestRejectionsGiveReason(t *testing.T) {
	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	file := writeFile(t, "r.toml", strings.Replace(sampleResources, "gangs = 1", "gangs = 11", 1))
	code, stdout, stderr := run(t, "", "apply", "-f", file, "--server", i.server.URL)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, stdout, "guarantees/clinic refused")
	require.Contains(t, stdout, "jobs/nightly created", "resources after a refused one must be written")
	require.Contains(t, stderr, "zone z1 has 80 accelerators")
	code, stdout, _ = run(t, "", "explain", "job", "nightly", "--server", i.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "quota of 8 reached")
	require.Contains(t, stdout, "a job of tumaini ends")
	code, stdout, _ = run(t, "", "get", "instances", "--server", i.server.URL)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, "alive")
}

// TestCheckConfigReportsAllProblems guards against a check that stops at the first problem.
func TestCheckConfigReportsAllProblems(t *testing.T) {
	serve := writeFile(t, "serve.toml", "id = \"a\"\ncaller_addr = \"x\"\nnonsense = 1\n")
	resources := writeFile(t, "r.toml", strings.ReplaceAll(sampleResources, "members = 2", "members = 0"))
	broken := writeFile(t, "b.toml", "[[jobs]\n")
	good := writeFile(t, "good.toml", sampleResources)
	code, stdout, stderr := run(t, "", "check-config", serve, resources, broken, good)
	require.Equal(t, ExitUsage, code)
	for _, part := range []string{"nonsense: unknown key", "caller_addr: must be IP:port", "zone: must be set",
		"guarantees/clinic: spec.members", "jobs/nightly: spec.members", "line 1 column"} {
		require.Contains(t, stderr, part)
	}
	require.Contains(t, stdout, "good.toml: valid resources")
	code, stdout, _ = run(t, "", "check-config", "-o", "json", good)
	require.Equal(t, ExitOK, code)
	require.Contains(t, stdout, `"valid": true`)
}

// TestTimelineLanesAndPage guards against lost events, a missing arrow from a cause to its effect, and
// text of an event that is inserted into the page without being escaped.
func TestTimelineLanesAndPage(t *testing.T) {
	i := newInstance(t, "a", standin.NewLog(standin.LogConfig{}))
	other := timeline.NewRecorder("b", hlc.New(nil), 10)
	i.events.Record(timeline.Event{Type: timeline.TypeDecision, Name: "gang-committed", Job: "nightly", Zone: "z1"})
	i.events.Record(timeline.Event{Type: timeline.TypeRefusal, Name: "refused", Job: "x", Reason: "<script>alert(1)</script>"})
	code, stdout, stderr := run(t, "", "timeline", "--job", "nightly", "--server", i.server.URL)
	require.Equal(t, ExitOK, code, stderr)
	require.Contains(t, stdout, "* gang-committed")
	require.NotContains(t, stdout, "refused")
	page := filepath.Join(t.TempDir(), "t.html")
	code, _, stderr = run(t, "", "timeline", "--html", page, "--server", i.server.URL)
	require.Equal(t, ExitOK, code, stderr)
	data, err := os.ReadFile(page)
	require.NoError(t, err)
	require.NotContains(t, string(data), "<script>alert")

	other.Record(timeline.Event{Type: timeline.TypeLease, Name: "lease-renewed", Cause: "a"})
	var text strings.Builder
	require.NoError(t, writeTimelinePage(&text, timeline.Merge(i.events.Events(timeline.Filter{}), other.Events(timeline.Filter{}))))
	require.Contains(t, text.String(), `marker-end="url(#head)" d="M`)
	require.NotContains(t, text.String(), "http://", "the page must not refer to other files")
}

// TestWatchResumesAtAnotherServer guards against a watch that ends when its server stops, or that misses
// the changes made before it is connected to the next server.
func TestWatchResumesAtAnotherServer(t *testing.T) {
	log := standin.NewLog(standin.LogConfig{})
	first, second := newInstance(t, "a", log), newInstance(t, "b", log)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	reader, writer, err := os.Pipe()
	require.NoError(t, err)
	defer func() { require.NoError(t, reader.Close()) }()
	code := make(chan int, 1)
	go func() {
		code <- Run(ctx, []string{"watch", "organisations", "-o", "json", "--server", first.server.URL + "," + second.server.URL}, Env{Stdout: writer, Stderr: writer})
		_ = writer.Close()
	}()
	lines := json.NewDecoder(reader)
	next := func(kind string) api.WatchLine {
		for {
			var line api.WatchLine
			require.NoError(t, lines.Decode(&line))
			if line.Type == kind {
				return line
			}
		}
	}
	next(api.WatchSync)
	apply := func(name, server string) {
		file := writeFile(t, "r.toml", "[[organisations]]\n[organisations.metadata]\nname = \""+name+"\"\n")
		code, _, stderr := run(t, "", "apply", "-f", file, "--server", server)
		require.Equal(t, ExitOK, code, stderr)
	}
	apply("one", first.server.URL)
	require.Equal(t, "one", next(api.WatchPut).Name)
	first.server.CloseClientConnections()
	first.server.Listener.Close()
	apply("two", second.server.URL)
	require.Equal(t, "two", next(api.WatchPut).Name)
	cancel()
	require.Equal(t, ExitOK, <-code)
}
