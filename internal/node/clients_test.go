package node_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/platform"
)

// The tests of this file open many connections to one instance and measure its memory, so none of them is
// parallel. To run them alone: go test -run='^TestClients' ./internal/node

const (
	// bodyBytes is the body limit of an instance whose operator sets none.
	bodyBytes = 262144
	// clientMemoryMB and clientMaxFDs are the limits of the instances of these tests, lower than those of any
	// deployment so that few clients suffice.
	clientMemoryMB = 80
	clientMaxFDs   = 300
	// manyFDs is the limit of descriptors where only memory is tested.
	manyFDs = 4000
	// clientCount is the number of clients that keep a connection open.
	clientCount = 300
	// expandingCount is the number of clients whose bodies expand when they are decoded.
	expandingCount = 40
	// sendTimeout limits the time in which a client sends, because an instance need not read everything.
	sendTimeout = 15 * time.Second
	// answerTimeout limits the ordinary request.
	answerTimeout = 15 * time.Second
)

// paddedJob returns the body of a valid job, padded to the given size.
func paddedJob(size int) []byte {
	_, body := request(http.MethodPost, "")
	return append(body, bytes.Repeat([]byte(" "), size-len(body))...)
}

// post returns the header of a submission with the given further header lines.
func post(id, lines string) string {
	return fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: %s\r\n%s\r\n", prefix, id, host, lines)
}

func withLength(id string) string { return post(id, fmt.Sprintf("Content-Length: %d\r\n", bodyBytes)) }

// chunked returns a function that sends a chunked request whose body has chunks of the given size. It lacks its
// last byte of data and the end of the body.
func chunked(size int) func(net.Conn, string) {
	data := paddedJob(bodyBytes)
	var b bytes.Buffer
	for ; len(data) > 0; data = data[min(size, len(data)):] {
		chunk := data[:min(size, len(data))]
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.Truncate(b.Len() - len("x\r\n"))
	return sendAll(func(id string) []byte {
		return append([]byte(post(id, "Transfer-Encoding: chunked\r\n")), b.Bytes()...)
	})
}

// clients are the connections of uncontrolled clients to one instance.
type clients struct{ conns []net.Conn }

// openClients opens connections and calls send for each in a goroutine of its own. It returns when all have
// sent, or failed to: an instance may close their connections. The connections stay open until the test ends.
func openClients(t *testing.T, p *process, count int, send func(conn net.Conn, id string)) {
	t.Helper()
	c := &clients{}
	t.Cleanup(func() {
		for _, conn := range c.conns {
			conn.Close()
		}
	})
	var sending sync.WaitGroup
	for n := range count {
		conn, err := net.DialTimeout("tcp", p.settings.FrontAddress, answerTimeout)
		if err != nil {
			continue // Refusing such a client is allowed.
		}
		c.conns = append(c.conns, conn)
		_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout)) // This fails only if the connection is closed.
		sending.Go(func() { send(conn, fmt.Sprintf("%016x", n+1)) })
	}
	sending.Wait()
	time.Sleep(300 * time.Millisecond) // Lets the instance handle what has arrived.
}

// sendAll returns a function that sends the result of data for the id of a client.
func sendAll(data func(id string) []byte) func(net.Conn, string) {
	return func(conn net.Conn, id string) {
		_, _ = conn.Write(data(id)) // The instance may close the connection.
	}
}

// startLimited starts an instance with the given limits.
func startLimited(t *testing.T, memoryMB int64, maxFDs int) *process {
	t.Helper()
	p := newProcess(t, newLog(t))
	p.settings.MemoryMB = memoryMB
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, platform.WriteSettings(path, &p.settings))
	setMaxFDs(t, path, maxFDs)
	p.start(t, path)
	p.waitReady(t)
	return p
}

// setMaxFDs adds the limit of descriptors to a settings file.
func setMaxFDs(t *testing.T, path string, maxFDs int) {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	const limits = `"Limits":{`
	changed := strings.Replace(string(data), limits, limits+`"MaxFds":`+strconv.Itoa(maxFDs)+",", 1)
	require.NotEqual(t, string(data), changed)
	require.NoError(t, os.WriteFile(path, []byte(changed), 0o600))
}

// requireHealthy checks that the process lives within its limits and answers an ordinary request, and that it
// still lives after that.
func (p *process) requireHealthy(t *testing.T, maxFDs int) {
	t.Helper()
	peakKB, fds := p.peakMemoryKB(t), p.openFDs(t)
	t.Logf("peak memory %d MB of %d, %d descriptors of %d", peakKB>>10, p.settings.MemoryMB, fds, maxFDs)
	conn, err := net.DialTimeout("tcp", p.settings.FrontAddress, answerTimeout)
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(answerTimeout)))
	header, body := request(http.MethodPost, "5c0e7a21d94b36f8")
	_, err = io.WriteString(conn, header+string(body))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
	require.Less(t, fds, maxFDs, "descriptors")
	if !raceEnabled { // The race detector multiplies the memory of a process.
		require.Less(t, p.peakMemoryKB(t), p.settings.MemoryMB<<10, "peak memory in KB")
	}
}

// peakMemoryKB returns the peak of the resident memory.
func (p *process) peakMemoryKB(t *testing.T) int64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(t, err)
	for line := range strings.Lines(string(status)) {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			require.NoError(t, err)
			return kb
		}
	}
	require.Fail(t, "the process has ended", "%s", p.output)
	return 0
}

func (p *process) openFDs(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	require.NoError(t, err)
	return len(entries)
}

// testMemory checks an instance against clients that send, with enough descriptors for all of them.
func testMemory(t *testing.T, count int, send func(net.Conn, string)) {
	t.Helper()
	p := startLimited(t, clientMemoryMB, manyFDs)
	openClients(t, p, count, send)
	p.requireHealthy(t, manyFDs)
}

// testFDs checks an instance against clients that send, with fewer descriptors than clients.
func testFDs(t *testing.T, send func(net.Conn, string)) {
	t.Helper()
	p := startLimited(t, clientMemoryMB, clientMaxFDs)
	openClients(t, p, clientCount, send)
	p.requireHealthy(t, clientMaxFDs)
}

// Guards against limits that a single slow caller reaches, which gives no deadline and sends its body in longer than
// the time for handling a request.
func TestClientsSlowBodyIsServed(t *testing.T) {
	p := startLimited(t, clientMemoryMB, manyFDs)
	conn, err := net.DialTimeout("tcp", p.settings.FrontAddress, answerTimeout)
	require.NoError(t, err)
	defer conn.Close()
	body := paddedJob(bodyBytes)
	_, err = io.WriteString(conn, withLength("5c0e7a21d94b36f9"))
	require.NoError(t, err)
	const pieces = 8
	for n := range pieces {
		_, err = conn.Write(body[n*bodyBytes/pieces : (n+1)*bodyBytes/pieces])
		require.NoError(t, err)
		time.Sleep(500 * time.Millisecond)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode)
}

// Guards against memory for all whole bodies that arrive at the same time.
func TestClientsWholeBodies(t *testing.T) {
	body := paddedJob(bodyBytes)
	testMemory(t, clientCount, sendAll(func(id string) []byte { return append([]byte(withLength(id)), body...) }))
}

// Guards against memory for bodies that arrive piece by piece and stop before their end.
func TestClientsPieces(t *testing.T) {
	const pieces = 16
	body := paddedJob(bodyBytes)
	testMemory(t, clientCount, func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, withLength(id)) // The instance may close the connection, also below.
		for n := range pieces {
			_, _ = conn.Write(body[n*bodyBytes/pieces : (n+1)*bodyBytes/pieces-n/(pieces-1)])
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// Guards against memory for bodies with a Content-Length that lack one byte.
func TestClientsOneByteShort(t *testing.T) {
	body := paddedJob(bodyBytes)
	testMemory(t, clientCount, sendAll(func(id string) []byte { return append([]byte(withLength(id)), body[:bodyBytes-1]...) }))
}

// Guards against memory for bodies of one chunk that lacks one byte.
func TestClientsOneChunk(t *testing.T) {
	testMemory(t, clientCount, chunked(bodyBytes))
}

// Guards against memory for bodies of chunks of 16 KB, of which the last lacks one byte.
func TestClientsLargeChunks(t *testing.T) {
	testMemory(t, clientCount, chunked(16<<10))
}

// Guards against memory for bodies of chunks of one byte, of which the last is missing.
func TestClientsTinyChunks(t *testing.T) {
	testMemory(t, clientCount, chunked(1))
}

// Guards against memory for long headers that do not end.
func TestClientsSlowHeaders(t *testing.T) {
	header := strings.TrimSuffix(post("1", "X-Filler: "+strings.Repeat("x", 512<<10)+"\r\n"), "\r\n")
	testMemory(t, clientCount, sendAll(func(string) []byte { return []byte(header) }))
}

// Guards against connections without a request that use up the descriptors.
func TestClientsIdle(t *testing.T) {
	testFDs(t, func(net.Conn, string) {})
}

// Guards against connections that are kept for clients that never take their answers.
func TestClientsUnreadAnswers(t *testing.T) {
	header, _ := request(http.MethodGet, "5c0e7a21d94b36f7")
	requests := strings.Repeat(header, 5000)
	testFDs(t, func(conn net.Conn, _ string) {
		_ = conn.SetWriteDeadline(time.Now().Add(5 * time.Second)) // The instance stops reading.
		_, _ = io.WriteString(conn, requests)
	})
}

// Guards against bodies of legal size that take many times their size when they are decoded.
func TestClientsExpandingBodies(t *testing.T) {
	const start, end = `{"Steps":[`, `{}]}`
	body := start + strings.Repeat("{},", (bodyBytes-len(start)-len(end))/3)
	body += strings.Repeat(" ", bodyBytes-len(body)-len(end)) + end
	testMemory(t, expandingCount, sendAll(func(id string) []byte { return []byte(withLength(id) + body) }))
}
