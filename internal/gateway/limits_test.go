package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

func dial(t *testing.T, h *harness) net.Conn {
	conn, err := net.Dial("tcp", h.gateway.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// requireClosed requires that the gateway closes the connection within 10 s.
func requireClosed(t *testing.T, conn net.Conn) {
	t.Helper()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err := io.Copy(io.Discard, conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatal("the gateway did not close the connection within 10 s")
	}
}

// Guards against callers that occupy connections by sending headers or bodies slowly.
func TestSlowSendersAreDisconnected(t *testing.T) {
	limits := Limits{HeaderTimeout: 100 * time.Millisecond, ReadIdle: 100 * time.Millisecond}
	h := newHarness(t, func(cfg *Config) { cfg.Limits = limits }, startTarget(t, "t1", echo))
	for _, start := range []string{"GET / HTT", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab"} {
		conn := dial(t, h)
		_, err := io.WriteString(conn, start)
		require.NoError(t, err)
		requireClosed(t, conn)
	}
}

// Guards against a read timeout that interrupts a long upload although the caller keeps sending.
// The upload takes twice the timeout.
func TestLongSteadyUploadIsNotInterrupted(t *testing.T) {
	limits := Limits{ReadIdle: 300 * time.Millisecond}
	h := newHarness(t, func(cfg *Config) { cfg.Limits = limits }, startTarget(t, "t1", echo))
	reader, writer := io.Pipe()
	go func() {
		for range 12 {
			time.Sleep(50 * time.Millisecond)
			_, _ = writer.Write([]byte("x"))
		}
		_ = writer.Close()
	}()
	resp, err := http.Post(h.url, "text/plain", reader)
	require.NoError(t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "echo:"+strings.Repeat("x", 12), string(body))
}

// Guards against unlimited connections, headers and bodies, and against a crash instead of an
// error response that names the cause.
func TestListenerLimits(t *testing.T) {
	limits := Limits{Connections: 2, HeaderBytes: 4096, BodyBytes: 1000}
	h := newHarness(t, func(cfg *Config) { cfg.Limits = limits }, startTarget(t, "t1", echo))
	first, second, third := dial(t, h), dial(t, h), dial(t, h)
	requireClosed(t, third)
	_ = first.Close()
	_ = second.Close()
	require.Eventually(t, func() bool {
		resp, _, err := h.send(http.MethodGet, "")
		return err == nil && resp.StatusCode == http.StatusOK
	}, 5*time.Second, 10*time.Millisecond)
	// The server closes a connection shortly after the response, and only after 500 ms if its status
	// is 431. Until then the connection counts against the limit, so the connection of a request may
	// be rejected and the request has to be sent again.
	send := func(method, body string, headers ...string) (resp *http.Response, text string) {
		require.Eventually(t, func() bool {
			var err error
			resp, text, err = h.send(method, body, headers...)
			return err == nil
		}, 5*time.Second, 10*time.Millisecond)
		return resp, text
	}
	resp, body := send(http.MethodPost, strings.Repeat("x", 1001))
	h.requireOutcome(resp, outcomeNotRun, http.StatusRequestEntityTooLarge)
	require.Contains(t, body, reasonBodyTooLarge)
	resp, _ = send(http.MethodGet, "", "X-Large", strings.Repeat("x", 10_000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, resp.StatusCode)
	resp, body = send(http.MethodGet, "", platform.HeaderDeadlineMs, "soon")
	h.requireOutcome(resp, outcomeNotRun, http.StatusBadRequest)
	require.Contains(t, body, platform.HeaderDeadlineMs)
}

// Guards against a flood of one caller that starves others, and against requests that are counted
// with no outcome or with two. One caller sends 190 requests with the highest urgency, ten others one
// each with the lowest.
func TestFloodDoesNotStarveSmallCallers(t *testing.T) {
	h := newHarness(t, nil, startTarget(t, "t1", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(5 * time.Millisecond)
		echo(w, r)
	}))
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			caller, urgency := "flood", "u=0"
			if i%20 == 0 {
				caller, urgency = fmt.Sprint("small-", i), "u=7"
			}
			resp, _, err := h.send(http.MethodPost, "x", platform.HeaderCaller, caller, platform.HeaderPriority, urgency)
			if err != nil || (i%20 == 0 && resp.StatusCode != http.StatusOK) {
				t.Errorf("request of %s: %v", caller, err)
			}
		})
	}
	wait.Wait()
	var text strings.Builder
	h.gateway.Metrics().WritePrometheus(&text)
	counts := make(map[string]int)
	for line := range strings.Lines(text.String()) {
		var n int
		name, value, _ := strings.Cut(line, " ")
		_, _ = fmt.Sscan(value, &n)
		name, _, _ = strings.Cut(name, "{")
		counts[name] += n
	}
	require.Equal(t, 200, counts["oleanderbend_gateway_requests_received_total"])
	require.Equal(t, 200, counts["oleanderbend_gateway_requests_total"])
}

// Guards against a crash, or an unchecked value, caused by any header that a caller may send.
func FuzzParseHeaders(f *testing.F) {
	f.Add("u=0, i", "1000", "key", "true", "POST")
	f.Add("u=9;x,u=1", "0", strings.Repeat("k", 300), "yes", "GET")
	f.Add("u=", "-1", "a\x00b", "", "")
	f.Add(",,;=u", "99999999999999999999", "\xff", "false", "PUT")
	f.Fuzz(func(t *testing.T, priority, deadline, key, idempotent, method string) {
		h := http.Header{}
		h.Set(platform.HeaderPriority, priority)
		h.Set(platform.HeaderDeadlineMs, deadline)
		h.Set(platform.HeaderIdempotencyKey, key)
		h.Set(platform.HeaderIdempotent, idempotent)
		h.Set("Connection", priority)
		removeHopByHopHeaders(h)
		headers, err := parseHeaders(method, h)
		var header *headerError
		if err != nil {
			require.ErrorAs(t, err, &header)
			return
		}
		require.True(t, headers.urgency >= 0 && headers.urgency <= 7)
		require.True(t, headers.deadline >= 0 && headers.deadline <= maxDeadlineMs*time.Millisecond)
		require.LessOrEqual(t, len(headers.key), maxTextBytes)
		require.NotEmpty(t, headers.id)
	})
}

// Guards against a malformed request that crashes the handler of its connection.
func FuzzRawRequest(f *testing.F) {
	h := newHarness(f, nil, startTarget(f, "t1", echo))
	f.Add("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nx")
	f.Add("CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n")
	f.Add("GET /-/x HTTP/1.1\r\nHost: x\r\nConnection: close, ,\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		conn, err := net.Dial("tcp", h.gateway.Addr())
		require.NoError(t, err)
		defer conn.Close()
		_, _ = io.WriteString(conn, text)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err == nil {
			_ = resp.Body.Close()
			require.Less(t, resp.StatusCode, 600)
		}
	})
}
