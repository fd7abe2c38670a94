package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

const (
	truncatedResponse     = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\nOleanderbend-Request-Id: %s\r\n\r\nshort"
	responseWithoutLength = "HTTP/1.1 200 OK\r\nOleanderbend-Request-Id: %s\r\n\r\nendless"
)

// Guards against a changed body, a lost outcome header and a request id that does not match.
func TestResponseIsForwardedUnchanged(t *testing.T) {
	h := newHarness(t, nil, startTarget(t, "t1", echo))
	body := strings.Repeat("x", 1<<20)
	resp, got, err := h.send(http.MethodPost, body, platform.HeaderRequestID, "r-1")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeAnswer, http.StatusOK)
	require.Equal(t, "echo:"+body, got)
	require.Equal(t, "r-1", resp.Header.Get(platform.HeaderRequestID))
}

// Guards against the forwarding of hop-by-hop headers in either direction.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	var seen http.Header
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header.Clone()
		w.Header().Set("Keep-Alive", "timeout=1")
		echo(w, r)
	}))
	resp, _, err := h.send(http.MethodGet, "", "Connection", "X-Private", "X-Private", "1", "Te", "trailers")
	require.NoError(t, err)
	require.Empty(t, seen.Get("X-Private"))
	require.Empty(t, seen.Get("Te"))
	require.Empty(t, resp.Header.Get("Keep-Alive"))
}

// Guards against a cut answer that looks whole, and against a retry after part of it was sent.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	var calls atomic.Int64
	h := newHarness(t, nil, startTarget(t, "t1", countRequests(&calls, rawResponse(truncatedResponse))))
	_, _, err := h.send(http.MethodGet, "")
	require.Error(t, err)
	require.EqualValues(t, 1, calls.Load())
}

// Guards against answers of another request, against a target that dies before it answers,
// and against answers whose end cannot be known: a request that may have run is unknown, is
// sent once if it is not idempotent, and is never reported as not-run.
func TestFailedTargetIsUnknownAndNotRetried(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"wrong id":        rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOleanderbend-Request-Id: other\r\n\r\nok"),
		"dies before":     rawResponse(""),
		"dies in headers": rawResponse("HTTP/1.1 200 OK\r\nContent-Le"),
		"no length":       rawResponse(responseWithoutLength),
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			h := newHarness(t, nil, startTarget(t, "t1", countRequests(&calls, handler)), startTarget(t, "t2", countRequests(&calls, handler)))
			resp, _, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "false")
			require.NoError(t, err)
			h.requireOutcome(resp, outcomeUnknown, http.StatusBadGateway)
			require.EqualValues(t, 1, calls.Load())
		})
	}
}

// Guards against net/http resending a request on its own after a reused connection breaks.
func TestRequestOnBrokenReusedConnectionIsNotResent(t *testing.T) {
	var calls atomic.Int64
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			echo(w, r)
			return
		}
		rawResponse("")(w, r)
	}))
	_, _, err := h.send(http.MethodPost, "a", platform.HeaderIdempotent, "false")
	require.NoError(t, err)
	for _, body := range []string{"", "b"} {
		calls.Store(1)
		resp, _, err := h.send(http.MethodPost, body, platform.HeaderIdempotent, "false", platform.HeaderIdempotencyKey, "")
		require.NoError(t, err)
		h.requireOutcome(resp, outcomeUnknown, http.StatusBadGateway)
		require.EqualValues(t, 2, calls.Load())
	}
}

// Guards against a not-run that is reported after a connection was refused and the request
// could still have run, and against a missing Retry-After.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	h := newHarness(t, nil, platform.Instance{ID: "t1", Kind: platform.KindTarget, State: platform.StateLive, Addr: "127.0.0.1:1"})
	resp, _, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "false")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against a target's refusal being reported as unknown.
func TestTargetRejectionIsNotRun(t *testing.T) {
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderNotStarted, "true")
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	resp, _, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "false")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
}

// Guards against a late answer that is given to the caller, and against a not-run for it.
func TestLateResponseIsUnknown(t *testing.T) {
	release := make(chan struct{})
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		<-release
		echo(w, r)
	}))
	defer close(release)
	resp, _, err := h.send(http.MethodPost, "work", platform.HeaderDeadlineMs, "200")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeUnknown, http.StatusGatewayTimeout)
}

// Guards against new work on a target that announces that it leaves, and against silence
// towards the other instances.
func TestLeavingTargetGetsNoNewRequests(t *testing.T) {
	var calls atomic.Int64
	leaving := startTarget(t, "t1", countRequests(&calls, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(platform.HeaderLeaving, "true")
		echo(w, r)
	}))
	h := newHarness(t, nil, leaving)
	_, _, err := h.send(http.MethodGet, "")
	require.NoError(t, err)
	resp, _, err := h.send(http.MethodGet, "")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	require.EqualValues(t, 1, calls.Load())
	require.Equal(t, []string{"t1"}, h.view.Self().Info.LeavingTargets)
}

// Guards against a graceful stop that cuts a request in progress.
func TestStopFinishesRequestsInProgress(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		echo(w, r)
	}))
	var wait sync.WaitGroup
	wait.Go(func() {
		resp, body, err := h.send(http.MethodPost, "work")
		if err != nil || body != "echo:work" || resp.StatusCode != http.StatusOK {
			t.Errorf("request in progress: %v %q", err, body)
		}
	})
	<-started
	stopped := make(chan error, 1)
	go func() { stopped <- h.stop() }()
	for !h.gateway.draining.Load() {
		time.Sleep(time.Millisecond)
	}
	close(release)
	wait.Wait()
	require.NoError(t, <-stopped)
}

// Guards against buffering of a body or of an answer: both sides must see parts at once.
func TestStreamsInBothDirections(t *testing.T) {
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
		buffer := make([]byte, 64)
		for {
			n, err := r.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = control.Flush()
			if err != nil {
				return
			}
		}
	}))
	reader, writer := io.Pipe()
	req, err := http.NewRequest(http.MethodPost, h.url+"/stream", reader)
	require.NoError(t, err)
	go func() { _, _ = writer.Write([]byte("part1")) }()
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	part := make([]byte, 5)
	for _, text := range []string{"part1", "part2"} {
		if text == "part2" {
			go func() { _, _ = writer.Write([]byte("part2")); _ = writer.Close() }()
		}
		_, err = io.ReadFull(resp.Body, part)
		require.NoError(t, err)
		require.Equal(t, text, string(part))
	}
	_, err = resp.Body.Read(part)
	require.ErrorIs(t, err, io.EOF)
}

// Guards against a repeat of idempotent requests that exceeds the budget, and against a
// failing target that is never avoided.
func TestIdempotentRequestIsRetriedOnAnotherTarget(t *testing.T) {
	h := newHarness(t, nil, startTarget(t, "t1", rawResponse("")), startTarget(t, "t2", echo))
	h.gateway.dispatcher.mu.Lock()
	for range 100 {
		h.gateway.dispatcher.table.AddRetryBudget()
	}
	h.gateway.dispatcher.mu.Unlock()
	for range 4 {
		resp, body, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "true")
		require.NoError(t, err)
		h.requireOutcome(resp, outcomeAnswer, http.StatusOK)
		require.Equal(t, "echo:work", body)
	}
}

// Guards against new work on a target that the platform's list shows as leaving.
func TestListedLeavingTargetGetsNoNewRequests(t *testing.T) {
	var calls atomic.Int64
	h := newHarness(t, nil, startTarget(t, "t1", countRequests(&calls, echo)))
	h.list.set(func(rows []platform.Instance) []platform.Instance {
		rows[0].State = platform.StateLeaving
		return rows
	})
	h.gateway.pollInstances(t.Context())
	resp, _, err := h.send(http.MethodGet, "")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	require.Zero(t, calls.Load())
}
