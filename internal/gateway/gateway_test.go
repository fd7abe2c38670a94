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

// Guards against a changed request or response body, a missing outcome header and a changed
// request id.
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

// Guards against a truncated response that looks complete to the caller, and against a retry
// after part of a response was forwarded.
func TestTruncatedResponseAbortsConnection(t *testing.T) {
	var calls atomic.Int64
	h := newHarness(t, nil, startTarget(t, "t1", countRequests(&calls, rawResponse(truncatedResponse))))
	_, _, err := h.send(http.MethodGet, "")
	require.Error(t, err)
	require.EqualValues(t, 1, calls.Load())
}

// Guards against a wrong outcome or a retry of a non-idempotent request that may have run. The
// target sends the response to another request, fails before it has sent the response headers, or
// sends a response of unknown length. The outcome must be unknown and the request sent only once.
func TestFailedTargetIsUnknownAndNotRetried(t *testing.T) {
	for name, handler := range map[string]http.HandlerFunc{
		"wrong id":                rawResponse("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nOleanderbend-Request-Id: other\r\n\r\nok"),
		"closed without response": rawResponse(""),
		"closed within headers":   rawResponse("HTTP/1.1 200 OK\r\nContent-Le"),
		"no length":               rawResponse(responseWithoutLength),
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

// Guards against net/http resending a request by itself after a reused connection was closed.
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
		// net/http treats a request with an Idempotency-Key header, even an empty one, as safe to resend.
		resp, _, err := h.send(http.MethodPost, body, platform.HeaderIdempotent, "false", platform.HeaderIdempotencyKey, "")
		require.NoError(t, err)
		h.requireOutcome(resp, outcomeUnknown, http.StatusBadGateway)
		require.EqualValues(t, 2, calls.Load())
	}
}

// Guards against another outcome than not-run when no connection to the target can be made, and
// against a missing Retry-After header.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	h := newHarness(t, nil, platform.Instance{ID: "t1", Kind: platform.KindTarget, State: platform.StateLive, Addr: "127.0.0.1:1"})
	resp, _, err := h.send(http.MethodPost, "work", platform.HeaderIdempotent, "false")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	require.NotEmpty(t, resp.Header.Get("Retry-After"))
}

// Guards against the outcome unknown for a request that the target did not start.
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

// Guards against forwarding a response that arrives after the deadline, and against the outcome
// not-run for its request.
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

// Guards against new requests to a target whose response stated that it is leaving, and against
// not publishing this to the other instances.
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

// Guards against a graceful stop that interrupts a request in progress.
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

// Guards against buffering of the request or response body: the other side must receive each part
// before the next one is sent.
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

// Guards against failed idempotent requests that are not retried within the retry budget, or are
// retried only on the target that failed.
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

// Guards against new requests to a target that the platform's instance list shows as leaving.
func TestListedLeavingTargetGetsNoNewRequests(t *testing.T) {
	var calls atomic.Int64
	h := newHarness(t, nil, startTarget(t, "t1", countRequests(&calls, echo)))
	h.list.set(func(rows []platform.Instance) []platform.Instance {
		rows[0].State = platform.StateLeaving
		return rows
	})
	h.gateway.readInstances(t.Context())
	resp, _, err := h.send(http.MethodGet, "")
	require.NoError(t, err)
	h.requireOutcome(resp, outcomeNotRun, http.StatusServiceUnavailable)
	require.Zero(t, calls.Load())
}
