package httpclient

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// breakingServer starts a server that responds to the first request on each connection and closes
// the connection after it has read the second one. requests is the number of requests read.
func breakingServer(t *testing.T) (addr string, requests *atomic.Int32) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	requests = new(atomic.Int32)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serveBreaking(conn, requests)
		}
	}()
	return ln.Addr().String(), requests
}

func serveBreaking(conn net.Conn, requests *atomic.Int32) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for n := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		requests.Add(1)
		if n == 0 {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// Guards against a request that net/http sends a second time after a reused connection breaks.
// By default, net/http repeats a GET and an empty request with an Idempotency-Key.
func TestRequestIsSentOnce(t *testing.T) {
	cases := map[string]struct {
		method string
		body   io.Reader
		key    string
	}{
		"GET":                {method: http.MethodGet},
		"empty POST and key": {method: http.MethodPost, key: "k"},
		"POST and key":       {method: http.MethodPost, key: "k", body: bytes.NewReader([]byte("data"))},
		"GET with body":      {method: http.MethodGet, body: bytes.NewReader([]byte("data"))},
		"empty DELETE":       {method: http.MethodDelete},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			addr, requests := breakingServer(t)
			targets := NewTargets(Options{})
			defer targets.Close()
			send := func(body io.Reader) error {
				req, err := http.NewRequestWithContext(t.Context(), c.method, "http://ignored/path", body)
				require.NoError(t, err)
				if c.key != "" {
					req.Header.Set(platform.HeaderIdempotencyKey, c.key)
				}
				resp, err := targets.RoundTrip(platform.Instance{Addr: addr}, req)
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
				return err
			}
			require.NoError(t, send(nil))
			require.ErrorIs(t, send(c.body), platform.ErrUnknownOutcome)
			require.EqualValues(t, 2, requests.Load())
		})
	}
}

// Guards against ErrUnavailable for a request that may have been sent, and against
// ErrUnknownOutcome when no connection was made.
func TestOutcomeOfFailedConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := ln.Addr().String()
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		conn.Close()
	}()
	log := NewLog("http://"+addr, Options{})
	defer log.Close()
	_, err = log.Append(t.Context(), []byte("x"))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.NotErrorIs(t, err, platform.ErrUnavailable)
	ln.Close()
	_, err = log.Append(t.Context(), []byte("x"))
	require.ErrorIs(t, err, platform.ErrUnavailable)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = log.Append(cancelled, []byte("x"))
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a definite error for a response that does not show whether the operation took
// effect.
func TestOutcomeOfResponses(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		want   error
	}{
		"no code":        {500, "oops", platform.ErrUnknownOutcome},
		"unknown code":   {503, `{"code":"tired"}`, platform.ErrUnknownOutcome},
		"unavailable":    {503, `{"code":"unavailable"}`, platform.ErrUnavailable},
		"stale epoch":    {409, `{"code":"stale-epoch"}`, platform.ErrStaleEpoch},
		"no capacity":    {507, `{"code":"no-capacity"}`, platform.ErrNoCapacity},
		"no lease":       {404, `{"code":"no-lease"}`, platform.ErrNoLease},
		"not JSON":       {200, "<html>", platform.ErrUnknownOutcome},
		"result missing": {200, `{"results":[]}`, platform.ErrUnknownOutcome},
		"too large":      {200, `{"results":"` + strings.Repeat("x", MaxResponseBytes) + `"}`, errResponseTooLarge},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
				rw.WriteHeader(c.status)
				_, _ = io.WriteString(rw, c.body)
			}))
			defer server.Close()
			workers := NewWorkers(Options{})
			defer workers.Close()
			row := platform.Instance{ID: "w", Addr: server.Listener.Addr().String()}
			_, err := workers.Stop(t.Context(), row, platform.LeaseRequest{Leases: make([]platform.LeaseID, 1)})
			require.ErrorIs(t, err, c.want)
		})
	}
}

// Guards against ErrUnknownOutcome from a read, and against an expired read without its batch.
func TestReadsHaveNoUnknownOutcome(t *testing.T) {
	response := `{"code":"expired","batch":{"oldest":7,"next":9}}`
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		rw.WriteHeader(http.StatusGone)
		_, _ = io.WriteString(rw, response)
	}))
	defer server.Close()
	log := NewLog(server.URL, Options{})
	defer log.Close()
	batch, err := log.Read(t.Context(), 1, 1, 0)
	require.ErrorIs(t, err, platform.ErrExpired)
	require.Equal(t, platform.Offset(7), batch.Oldest)
	response = "oops"
	_, err = log.Read(t.Context(), 1, 1, 0)
	require.ErrorIs(t, err, platform.ErrUnavailable)
	require.NotErrorIs(t, err, platform.ErrUnknownOutcome)
}

// Guards against a client that does not call the caller's net/http/httptrace hooks, that changes the
// request header, or that hides the encoding of the response.
func TestTraceAndHeader(t *testing.T) {
	var got http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.Header }))
	defer server.Close()
	targets := NewTargets(Options{})
	defer targets.Close()
	wrote := false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{WroteHeaders: func() { wrote = true }})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "/path", nil)
	require.NoError(t, err)
	req.Header.Set(platform.HeaderRequestID, "r1")
	resp, err := targets.RoundTrip(platform.Instance{Addr: server.Listener.Addr().String()}, req)
	require.NoError(t, err)
	resp.Body.Close()
	require.True(t, wrote)
	require.Equal(t, http.Header{platform.HeaderRequestID: {"r1"}, "User-Agent": {"Go-http-client/1.1"}}, got)
	require.Len(t, req.Header, 1)
}

// Guards against a request that waits for an unresponsive service after its context is done.
func TestContextBoundsCall(t *testing.T) {
	ctx, cancel := context.WithCancelCause(t.Context())
	defer cancel(nil)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		cancel(context.DeadlineExceeded)
		<-release
	}))
	defer server.Close()
	defer close(release)
	log := NewLog(server.URL, Options{})
	defer log.Close()
	_, err := log.Append(ctx, []byte("x"))
	require.ErrorIs(t, err, platform.ErrUnknownOutcome)
	require.ErrorIs(t, err, context.DeadlineExceeded)
}

// Guards against a list that stays outdated because of its entity tag, against a list that one
// caller can modify for the others, and against a 304 response to a request without an entity tag
// being accepted.
func TestListIsTransferredWhenChanged(t *testing.T) {
	etag, status, row := `"a"`, 0, `{"id":"t1"}`
	var bodies int
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set("ETag", etag)
		switch {
		case status != 0:
			rw.WriteHeader(status)
		case etag != "" && r.Header.Get("If-None-Match") == etag:
			rw.WriteHeader(http.StatusNotModified)
		default:
			bodies++
			_, _ = io.WriteString(rw, `{"instances":[`+row+`]}`)
		}
	}))
	defer server.Close()
	list := NewInstances(server.URL, Options{})
	defer list.Close()
	idOf := func() string {
		rows, err := list.List(t.Context())
		require.NoError(t, err)
		id := rows[0].ID
		rows[0].ID = "changed by a caller"
		return id
	}
	require.Equal(t, "t1", idOf())
	require.Equal(t, "t1", idOf())
	require.Equal(t, 1, bodies)
	etag, row = `"b"`, `{"id":"t2"}`
	require.Equal(t, "t2", idOf())
	etag, row = "", `{"id":"t3"}`
	require.Equal(t, "t3", idOf())
	require.Equal(t, "t3", idOf())
	require.Equal(t, 4, bodies)
	status = http.StatusNotModified
	_, err := list.List(t.Context())
	require.ErrorIs(t, err, platform.ErrUnavailable)
}

// FuzzResponse guards against responses of the platform that crash the client, or that cause an
// error other than ErrUnknownOutcome without a known error code.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{``, `{}`, `{"code":"unavailable"}`, `{"code":7}`, `{"offset":-1}`, `{"code":"expired","batch":null}`, "\x00", `[[[[`} {
		f.Add(200, []byte(seed))
		f.Add(503, []byte(seed))
	}
	f.Fuzz(func(t *testing.T, status int, body []byte) {
		raw := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
		resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
		if err != nil {
			return
		}
		errorResponse, err := readErrorResponse(resp)
		require.Error(t, err)
		if errorResponse == nil {
			require.ErrorIs(t, err, platform.ErrUnknownOutcome)
		}
		var batch platform.Batch
		_ = decodeBounded(bytes.NewReader(body), MaxResponseBytes, &batch)
	})
}
