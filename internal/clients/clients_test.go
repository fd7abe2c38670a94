package clients

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/logging"
)

const bodyLimit = 256 << 10

func newRefusals() *Refusals { return NewRefusals(metrics.NewSet(), logging.Discard()) }

// startIncomplete reads a body of which the given bytes arrive and then nothing until it is abandoned. It returns
// once these bytes are read and a chunk for more is acquired; size is a multiple of chunkBytes. The channel receives the error of the read.
func startIncomplete(t *testing.T, b *Budget, size int) <-chan error {
	t.Helper()
	r, w := io.Pipe()
	t.Cleanup(func() { w.Close() })
	result := make(chan error, 1)
	before := b.Used()
	go func() {
		_, err := b.Read(r, bodyLimit, func() { w.CloseWithError(io.ErrClosedPipe) })
		result <- err
	}()
	_, err := w.Write(make([]byte, size))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return b.Used() > before+size }, 5*time.Second, time.Millisecond)
	return result
}

// Guards against a budget that unfinished bodies hold for ever: the oldest is abandoned, at once, and newer ones
// and small whole ones are read.
func TestOldestIncompleteBodyIsAbandoned(t *testing.T) {
	b := NewBudget(1<<20, 1, newRefusals())
	b.capacity = 128 // 1 MB, room for 4 bodies of 240 KB
	var results []<-chan error
	for range 4 {
		results = append(results, startIncomplete(t, b, 240<<10))
	}
	body, err := b.Read(strings.NewReader(strings.Repeat("x", 90<<10)), bodyLimit, func() {})
	require.NoError(t, err)
	require.ErrorIs(t, <-results[0], ErrAbandoned)
	for _, result := range results[1:] {
		require.Empty(t, result)
	}
	body.Release()
	body.Release()
	require.Equal(t, 3*31*chunkBytes, b.Used(), "three bodies of 30 chunks with one to read into")
}

// Guards against a whole body that loses its content or its account to newer ones: it must be answered. Newer
// bodies are rejected instead.
func TestWholeBodyIsNotAbandoned(t *testing.T) {
	b := NewBudget(0, 1, newRefusals())
	b.capacity = 40
	content := strings.Repeat("abc", 80<<10)
	body, err := b.Read(strings.NewReader(content), bodyLimit, func() { t.Error("abandoned") })
	require.NoError(t, err)
	_, err = b.Read(strings.NewReader(content), bodyLimit, func() {})
	require.ErrorIs(t, err, ErrAbandoned)
	small, err := b.Read(strings.NewReader("small"), bodyLimit, func() {})
	require.NoError(t, err)
	require.NoError(t, small.Decode(t.Context(), func([]byte) error { return nil }))
	small.Release()
	require.NoError(t, body.Decode(t.Context(), func(data []byte) error {
		require.Equal(t, content, string(data))
		return nil
	}))
	body.Release()
	require.Zero(t, b.Used())
}

// Guards against large bodies that are all decoded at the same time, and against small ones that wait for them.
func TestLargeBodiesAreDecodedAFewAtATime(t *testing.T) {
	b := NewBudget(16<<20, 1, newRefusals())
	large := bytes.Repeat([]byte(" "), 200<<10)
	release := make(chan struct{})
	defer close(release)
	for range decodeSlots {
		body, err := b.Read(bytes.NewReader(large), bodyLimit, func() {})
		require.NoError(t, err)
		started := make(chan struct{})
		go func() {
			_ = body.Decode(context.Background(), func([]byte) error { close(started); <-release; return nil })
		}()
		<-started
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	body, err := b.Read(bytes.NewReader(large), bodyLimit, func() {})
	require.NoError(t, err)
	require.ErrorIs(t, body.Decode(ctx, func([]byte) error { t.Error("decoded"); return nil }), ErrAbandoned)
	small, err := b.Read(strings.NewReader("{}"), bodyLimit, func() {})
	require.NoError(t, err)
	require.NoError(t, small.Decode(t.Context(), func([]byte) error { return nil }))
}

// Guards against a body that is read beyond its limit.
func TestBodyTooLarge(t *testing.T) {
	r := newRefusals()
	b := NewBudget(0, 1, r)
	_, err := b.Read(strings.NewReader(strings.Repeat("x", 101)), 100, func() {})
	require.ErrorIs(t, err, ErrTooLarge)
	require.Zero(t, b.Used())
	body, err := b.Read(strings.NewReader(strings.Repeat("x", 100)), 100, func() {})
	require.NoError(t, err, "the limit itself is allowed")
	body.Release()
	_, err = b.Read(iotest.ErrReader(os.ErrDeadlineExceeded), 100, func() {})
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	for cause, want := range map[Cause]uint64{BodySize: 1, BodyTimeout: 1, BodyBudget: 0} {
		require.Equal(t, want, r.metrics.GetOrCreateCounter(fmt.Sprintf(`oleanderbend_clients_refused_total{cause=%q}`, string(cause))).Get(), cause)
	}
}

// Guards against a budget, on a small machine, that has no room for one body of the largest usual size, and against memory that
// is allocated anew for each body of a burst, or kept after it.
func TestSmallBudgetReusesMemory(t *testing.T) {
	b := NewBudget(0, 1, newRefusals())
	hold, err := b.Read(strings.NewReader("x"), bodyLimit, func() {})
	require.NoError(t, err)
	body, err := b.Read(strings.NewReader(strings.Repeat("x", bodyLimit)), bodyLimit, func() {})
	require.NoError(t, err)
	body.Release()
	require.GreaterOrEqual(t, len(b.free), bodyLimit/chunkBytes)
	hold.Release()
	require.Zero(t, len(b.free)) // Empty would print the chunks.
}

// serve starts a server with a limit of connections. It answers a request after its path has been received from the
// channel, and reads its body first. It returns the address.
func serve(t *testing.T, maxConns int, limits Limits) (address string, handled chan string) {
	t.Helper()
	handled = make(chan string)
	l := NewLimiter(maxConns, func() Limits { return limits }, newRefusals())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		handled <- r.URL.Path
		if r.Context().Err() != nil {
			w.WriteHeader(http.StatusGatewayTimeout)
		}
	})}
	l.Configure(server)
	listener, err := l.Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return listener.Addr().String(), handled
}

func usualLimits() Limits {
	return Limits{HeaderTimeout: time.Minute, IdleTimeout: time.Minute, BodyTimeout: time.Minute, MaxHeaderBytes: 16 << 10}
}

func dial(t *testing.T, address, data string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	require.NoError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, data)
	require.NoError(t, err)
	return conn, bufio.NewReader(conn)
}

func requireStatus(t *testing.T, r *bufio.Reader, status int) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	require.Equal(t, status, resp.StatusCode)
}

func requireClosed(t *testing.T, r *bufio.Reader) {
	t.Helper()
	_, err := io.Copy(io.Discard, r)
	var timeout net.Error
	if err != nil {
		require.ErrorAs(t, err, &timeout)
		require.False(t, timeout.Timeout(), "the connection is still open")
	}
}

// Guards against a limit of connections that ends a request which was read whole, or that keeps ordinary clients
// out: connections that wait longest for a complete request are closed.
func TestLimitClosesOldestWaiting(t *testing.T) {
	const incomplete = "POST /incomplete HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx"
	address, handled := serve(t, 4, usualLimits())
	_, whole := dial(t, address, "GET /whole HTTP/1.1\r\nHost: h\r\n\r\n")
	_, wholeBody := dial(t, address, "POST /body HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy")
	_, body := dial(t, address, incomplete)
	_, idle := dial(t, address, "")
	time.Sleep(minWait)
	answer := func(path string) {
		_, r := dial(t, address, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		for seen := ""; seen != path; {
			switch seen = <-handled; seen {
			case "/whole":
				requireStatus(t, whole, http.StatusOK)
			case "/body":
				requireStatus(t, wholeBody, http.StatusOK)
			}
		}
		requireStatus(t, r, http.StatusOK)
	}
	answer("/1")
	answer("/2")
	for range 4 {
		_, _ = dial(t, address, "")
	}
	answer("/3")
	requireClosed(t, body)
	requireClosed(t, idle)
}

// Guards against clients that keep all connections busy with requests that they send without waiting for answers:
// at the limit, their connections are closed after an answer.
func TestPipeliningDoesNotKeepOthersOut(t *testing.T) {
	const requests = 2000
	address, handled := serve(t, 1, usualLimits())
	busy, _ := dial(t, address, "")
	go func() {
		_, _ = io.WriteString(busy, strings.Repeat("GET /busy HTTP/1.1\r\nHost: h\r\n\r\n", requests)) // The server closes the connection.
	}()
	require.Equal(t, "/busy", <-handled)
	_, r := dial(t, address, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n")
	before := 0
	for <-handled != "/other" {
		time.Sleep(time.Millisecond)
		before++
	}
	requireStatus(t, r, http.StatusOK)
	require.Less(t, before, requests/2)
}

// Guards against pauses in the bodies of ordinary clients, and in large ones while there are few.
func TestOnlyManyLargeBodiesArePaced(t *testing.T) {
	b := NewBudget(16<<20, 0.5, newRefusals())
	large, small := &Body{size: smallBody}, &Body{size: smallBody - 1}
	for range unpacedBodies {
		b.incomplete.PushBack(large)
	}
	require.Zero(t, b.pauseOf(large))
	for range 10 {
		b.incomplete.PushBack(large)
	}
	require.Equal(t, 20*readCost, b.pauseOf(large))
	require.Zero(t, b.pauseOf(small))
	for range 10000 {
		b.incomplete.PushBack(large)
	}
	require.Equal(t, maxPause, b.pauseOf(large))

	started := time.Now()
	_, err := NewBudget(16<<20, 1, newRefusals()).Read(strings.NewReader(strings.Repeat("x", 3*chunkBytes)), bodyLimit, func() {})
	require.NoError(t, err)
	require.Less(t, time.Since(started), maxPause)
	started = time.Now()
	_, err = b.Read(strings.NewReader(strings.Repeat("x", 3*chunkBytes)), bodyLimit, func() {})
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(started), maxPause)
}

// Guards against headers, idle connections and bodies that are waited for without end, and against headers that are
// read without a limit.
func TestTimeLimitsAndHeaderSize(t *testing.T) {
	limits := usualLimits()
	limits.HeaderTimeout, limits.IdleTimeout, limits.BodyTimeout = 100*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond
	address, handled := serve(t, 10, limits)
	go func() {
		for range handled {
		}
	}()
	_, header := dial(t, address, "GET / HT")
	_, idle := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, body := dial(t, address, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx")
	_, long := dial(t, address, "GET / HTTP/1.1\r\nHost: h\r\nX: "+strings.Repeat("x", limits.MaxHeaderBytes)+"\r\n\r\n")
	requireStatus(t, idle, http.StatusOK)
	requireStatus(t, body, http.StatusServiceUnavailable)
	requireStatus(t, long, http.StatusRequestHeaderFieldsTooLarge)
	for _, r := range []*bufio.Reader{header, idle, body, long} {
		requireClosed(t, r)
	}
}

// Guards against a stopping server that waits for incomplete headers without a limit.
func TestTimeLimitsHoldAfterListenerIsClosed(t *testing.T) {
	limits := usualLimits()
	limits.HeaderTimeout = 100 * time.Millisecond
	l := NewLimiter(10, func() Limits { return limits }, newRefusals())
	server := &http.Server{Handler: http.NotFoundHandler()}
	l.Configure(server)
	listener, err := l.Listen("127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	_, header := dial(t, listener.Addr().String(), "GET / HT")
	require.Eventually(t, func() bool { return l.Open() == 1 }, 5*time.Second, time.Millisecond)
	require.NoError(t, listener.Close())
	requireClosed(t, header)
}

// Guards against a request that is ended by the deadline for its body, or cancelled, after it was read whole.
func TestWholeRequestOutlivesBodyTimeout(t *testing.T) {
	limits := usualLimits()
	limits.BodyTimeout = 100 * time.Millisecond
	address, handled := serve(t, 10, limits)
	_, r := dial(t, address, "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nxy")
	time.Sleep(3 * limits.BodyTimeout)
	<-handled
	requireStatus(t, r, http.StatusOK)
}

// Guards against large jobs that count less than they take while they are handled, against usual ones that count more, against a
// whole body that is rejected without being counted, and against decode slots that are not returned.
func TestDecodedBodyCountsForItsJob(t *testing.T) {
	refusals := newRefusals()
	b := NewBudget(0, 1, refusals)
	read := func(size int) *Body {
		body, err := b.Read(strings.NewReader(strings.Repeat("x", size)), bodyLimit, func() {})
		require.NoError(t, err)
		return body
	}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	decode := func(body *Body) error { return body.Decode(ctx, func([]byte) error { return nil }) }
	for range 2 * decodeSlots {
		for size, chunks := range map[int]int{smallBody: 3, 3*chunkBytes - 1: 3 * handlingFactor} {
			body := read(size)
			require.NoError(t, decode(body))
			require.Equal(t, chunks*chunkBytes, b.Used(), size)
			body.Release()
		}
	}
	b.capacity = 40
	first, second := read(5*chunkBytes), read(5*chunkBytes)
	require.NoError(t, decode(first))
	b.capacity = b.used
	require.ErrorIs(t, decode(second), ErrAbandoned)
	require.EqualValues(t, 1, refusals.metrics.GetOrCreateCounter(`oleanderbend_clients_refused_total{cause="handling"}`).Get())
}

// Guards against new connections that are closed before their request can arrive, against an incomplete body that keeps its place until
// the server has answered, and against pipelining clients that lose their connections although there is room.
func TestNewConnectionsMayWait(t *testing.T) {
	l := NewLimiter(1, usualLimits, newRefusals())
	c, _ := l.tryAdmit(&net.TCPConn{})
	next, wait := l.tryAdmit(&net.TCPConn{})
	require.Nil(t, next)
	require.False(t, c.expired)
	require.Positive(t, wait)
	require.LessOrEqual(t, wait, minWait)

	l.startBody(c, time.Minute)
	c.since = c.since.Add(-minWait)
	next, _ = l.tryAdmit(&net.TCPConn{})
	require.Nil(t, next)
	require.True(t, c.expired)
	require.Zero(t, l.Open())
	next, _ = l.tryAdmit(&net.TCPConn{})
	require.NotNil(t, next)

	l.stateChanged(next, http.StateIdle)
	l.stateChanged(next, http.StateActive)
	require.False(t, l.isClosing(next), "there is room")
	l.stateChanged(next, http.StateIdle)
	l.full = true
	l.stateChanged(next, http.StateActive)
	require.True(t, l.isClosing(next))
}
