package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/platform/httpclient"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

func startServer(t *testing.T) *Server {
	t.Helper()
	const anyPort = "127.0.0.1:0"
	s, err := Start(settings.Standin{
		ControlAddr: anyPort, LogAddr: anyPort, InstancesAddr: anyPort, WorkersAddr: anyPort, TargetsAddr: anyPort,
		Worker: settings.StandinWorker{Cores: 8, MemoryMB: 64, Accelerators: 8, PerRack: 2},
		Target: settings.StandinTarget{Slots: 1, Connections: 4},
		Zones:  []settings.StandinZone{{Name: "z1", Workers: 3, Targets: 2}},
	})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	return s
}

// putControl sets faults or states over HTTP.
func putControl(t *testing.T, s *Server, path, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, s.ControlURL+path, bytes.NewReader([]byte(body)))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

func rowsOf(t *testing.T, s *Server, kind platform.InstanceKind) []platform.Instance {
	t.Helper()
	list := httpclient.NewInstances(s.InstancesURL, httpclient.Options{})
	defer list.Close()
	rows, err := list.List(t.Context())
	require.NoError(t, err)
	var selected []platform.Instance
	for _, row := range rows {
		if row.Kind == kind {
			selected = append(selected, row)
		}
	}
	return selected
}

// Guards against outcomes of log calls that differ between the stand-in and the HTTP client: each
// error and unknown outcome must arrive as the same error.
func TestLogOverHTTP(t *testing.T) {
	s := startServer(t)
	log := httpclient.NewLog(s.LogURL, httpclient.Options{})
	defer log.Close()
	offset, err := log.Append(t.Context(), []byte("one"))
	require.NoError(t, err)
	require.Equal(t, platform.Offset(1), offset)

	batch, err := log.Read(t.Context(), 1, 10, time.Second)
	require.NoError(t, err)
	require.Equal(t, []platform.Entry{{Offset: 1, Data: []byte("one")}}, batch.Entries)
	require.InDelta(t, DefaultRetention.Seconds(), batch.RetentionSeconds, 0)

	_, err = log.Read(t.Context(), 0, 10, 0)
	require.ErrorIs(t, err, platform.ErrExpired)
	_, err = log.Append(t.Context(), make([]byte, platform.MaxEntryBytes+1))
	require.ErrorIs(t, err, platform.ErrTooLarge)

	require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/log", `{"loseAnswers":1}`))
	_, err = log.Append(t.Context(), []byte("two"))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/log", `{"outage":true}`))
	_, err = log.Append(t.Context(), []byte("three"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/log", `{"silent":true}`))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { cancel() }})
	_, err = log.Append(ctx, []byte("four"))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.ErrorIs(t, err, context.Canceled)
	require.Equal(t, 2, s.Log.AppendAttempts())
}

// Guards against worker calls whose parameters, results or errors change between the HTTP client and
// the stand-in.
func TestWorkersOverHTTP(t *testing.T) {
	s := startServer(t)
	workers := httpclient.NewWorkers(httpclient.Options{})
	defer workers.Close()
	row := rowsOf(t, s, platform.KindWorker)[0]
	require.Equal(t, "z1-r1", row.Rack)
	task := platform.TaskSpec{Members: 1, Accelerators: 4, Payload: "duration=1h"}
	reserve := platform.ReserveRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{leaseID(0)}, Task: task, TTLSeconds: 5}
	require.NoError(t, workers.Reserve(t.Context(), row, reserve))
	reserve.Leases = []platform.LeaseID{leaseID(1), leaseID(2)}
	require.ErrorIs(t, workers.Reserve(t.Context(), row, reserve), platform.ErrNoCapacity)

	req := platform.LeaseRequest{Epoch: firstEpoch, Leases: []platform.LeaseID{leaseID(0), leaseID(7)}, TTLSeconds: 3, Throttle: 0.5}
	for _, call := range []changeFunc{workers.Start, workers.Renew, workers.Checkpoint, workers.Throttle} {
		results, err := call(t.Context(), row, req)
		require.NoError(t, err)
		require.True(t, results[0].Known)
		require.Equal(t, platform.LeaseRunning, results[0].Lease.State)
		require.False(t, results[1].Known)
	}
	leases, err := workers.Leases(t.Context(), row, platform.Epoch{Number: 2})
	require.NoError(t, err)
	require.Len(t, leases, 1)
	require.True(t, leases[0].Throttled)
	_, err = workers.Stop(t.Context(), row, req)
	require.ErrorIs(t, err, platform.ErrStaleEpoch)
	req.Epoch = platform.Epoch{Number: 2}
	_, err = workers.Stop(t.Context(), row, req)
	require.NoError(t, err)
	require.NoError(t, workers.Release(t.Context(), row, req))
	usage, err := workers.Usage(t.Context(), row)
	require.NoError(t, err)
	require.Empty(t, usage)

	require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/workers/rack:z1-r1", `{"loseAnswers":1}`))
	require.ErrorIs(t, workers.Reserve(t.Context(), row, platform.ReserveRequest{Epoch: req.Epoch}), platform.ErrUnknownOutcome)
	require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/workers/*", `{"crashed":true}`))
	require.ErrorIs(t, workers.Release(t.Context(), row, req), platform.ErrUnavailable)
	require.Equal(t, http.StatusNotFound, putControl(t, s, "/faults/workers/zone:z9", `{}`))
	require.Equal(t, http.StatusBadRequest, putControl(t, s, "/faults/workers/*", `{"crash":true}`))
}

type targetCall struct {
	status  int
	header  http.Header
	body    string
	bodyErr error
	err     error
}

func callTarget(t *testing.T, targets *httpclient.Targets, row platform.Instance, id, query string) targetCall {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://target/work?"+query, bytes.NewReader([]byte("in")))
	require.NoError(t, err)
	req.Header.Set(platform.HeaderRequestID, id)
	resp, err := targets.RoundTrip(row, req)
	if err != nil {
		return targetCall{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return targetCall{status: resp.StatusCode, header: resp.Header, body: string(body), bodyErr: err}
}

// Guards against faults of a target that don't have the effect described at TargetFaults, or that
// count a request wrongly as executed or not.
func TestTargetFaults(t *testing.T) {
	s := startServer(t)
	targets := httpclient.NewTargets(httpclient.Options{})
	defer targets.Close()
	row := rowsOf(t, s, platform.KindTarget)[0]
	target := s.Targets[0]
	set := func(faults string) {
		require.Equal(t, http.StatusNoContent, putControl(t, s, "/faults/targets/"+row.ID, faults))
	}

	got := callTarget(t, targets, row, "a", "size=3&service=1ms")
	require.Equal(t, "a\na", got.body)
	require.Equal(t, "a", got.header.Get(platform.HeaderRequestID))
	got = callTarget(t, targets, row, "attempt", "size=3&id=q")
	require.Equal(t, "q\nq", got.body)
	require.Equal(t, "attempt", got.header.Get(platform.HeaderRequestID))
	set(`{"wrongRequestID":true,"leaving":true}`)
	got = callTarget(t, targets, row, "b", "size=3")
	require.NotEqual(t, "b", got.header.Get(platform.HeaderRequestID))
	require.Equal(t, "true", got.header.Get(platform.HeaderLeaving))
	set(`{"shortAnswer":true}`)
	require.Error(t, callTarget(t, targets, row, "c", "size=100").bodyErr)
	set(`{"cutAfterEffect":true}`)
	require.ErrorIs(t, callTarget(t, targets, row, "d", "").err, platform.ErrUnknownOutcome)
	set(`{"failFast":true}`)
	require.Equal(t, http.StatusInternalServerError, callTarget(t, targets, row, "e", "").status)
	set(`{"outage":true}`)
	// A request on an idle connection can fail because the connection is closed at that moment; a
	// new connection is refused.
	targets.Close()
	require.ErrorIs(t, callTarget(t, targets, row, "f", "").err, platform.ErrUnavailable)
	set(`{}`)
	require.Equal(t, http.StatusBadRequest, callTarget(t, targets, row, "g", "size=-1").status)
	for id, want := range map[string]int{"a": 1, "q": 1, "attempt": 0, "b": 1, "c": 1, "d": 1, "e": 1, "f": 0, "g": 0} {
		require.Equal(t, want, target.Executed(id), id)
	}
	resp, err := http.Post(s.ControlURL+ExecutedPath, "application/json", strings.NewReader(`{"ids":["a","f"]}`))
	require.NoError(t, err)
	defer resp.Body.Close()
	var response ExecutedResponse
	require.NoError(t, json.NewDecoder(resp.Body).Decode(&response))
	require.Equal(t, map[string]int{"a": 1}, response.Counts)
}

// blockedClock is a Clock on which all waits last until released is closed.
type blockedClock struct {
	systemClock
	released chan time.Time
}

func (c blockedClock) After(time.Duration) <-chan time.Time { return c.released }

func serveTarget(target *Target, id string) *httptest.ResponseRecorder {
	rec := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/work?service=1s", nil)
	req.Header.Set(platform.HeaderRequestID, id)
	target.ServeHTTP(rec, req)
	return rec
}

// Guards against a target that executes more requests at once than it has slots, or that executes a
// request which it reports as not started.
func TestTargetSlots(t *testing.T) {
	clock := blockedClock{released: make(chan time.Time)}
	target := NewTarget(TargetConfig{Clock: clock, Slots: 1, Connections: 1})
	first := make(chan int, 1)
	go func() { first <- serveTarget(target, "first").Code }()
	require.Eventually(t, func() bool { return target.Executed("first") == 1 }, 5*time.Second, time.Millisecond)
	rejected := serveTarget(target, "second")
	require.Equal(t, http.StatusServiceUnavailable, rejected.Code)
	require.Equal(t, "true", rejected.Header().Get(platform.HeaderNotStarted))
	close(clock.released)
	require.Equal(t, http.StatusOK, <-first)
	require.Zero(t, target.Executed("second"))
	require.Equal(t, http.StatusOK, serveTarget(target, "first").Code)
	require.Equal(t, 2, target.Executed("first"))
	require.Equal(t, TargetStats{Executed: 2, Completed: 2, Rejected: 1, Repeated: 1, PeakRunning: 1,
		LastStarted: target.Stats().LastStarted}, target.Stats())
}

// Guards against a target that serves connections beyond its limit, or that still counts
// connections after they were closed.
func TestTargetConnections(t *testing.T) {
	s := startServer(t)
	row := rowsOf(t, s, platform.KindTarget)[0]
	var clients []*httpclient.Targets
	for n := range 5 {
		client := httpclient.NewTargets(httpclient.Options{})
		defer client.Close()
		clients = append(clients, client)
		want := http.StatusOK
		if n == 4 {
			want = http.StatusServiceUnavailable
		}
		require.Equal(t, want, callTarget(t, client, row, "", "").status)
	}
	clients[0].Close()
	require.Eventually(t, func() bool { return s.Targets[0].Stats().Connections == 3 }, 5*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, callTarget(t, clients[4], row, "", "").status)
}

// Guards against an instance list over HTTP that is transferred again although it has not changed,
// or that misses a change.
func TestInstancesOverHTTP(t *testing.T) {
	s := startServer(t)
	list := httpclient.NewInstances(s.InstancesURL, httpclient.Options{})
	defer list.Close()
	first, err := list.List(t.Context())
	require.NoError(t, err)
	resp, err := http.Get(s.InstancesURL + httpclient.InstancesPath)
	require.NoError(t, err)
	resp.Body.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.InstancesURL+httpclient.InstancesPath, nil)
	require.NoError(t, err)
	req.Header.Set("If-None-Match", resp.Header.Get("ETag"))
	again, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	again.Body.Close()
	require.Equal(t, http.StatusNotModified, again.StatusCode)

	require.Equal(t, http.StatusNoContent, putControl(t, s, "/instances/"+first[0].ID, `{"state":"leaving"}`))
	second, err := list.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, platform.StateLeaving, second[0].State)
	require.Equal(t, first[1:], second[1:])
}
