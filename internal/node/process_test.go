package node_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/batch"
	"github.com/oleanderbend/oleanderbend/internal/cli"
	"github.com/oleanderbend/oleanderbend/internal/election"
	"github.com/oleanderbend/oleanderbend/internal/ledger"
	"github.com/oleanderbend/oleanderbend/internal/ledger/ledgertest"
	"github.com/oleanderbend/oleanderbend/internal/node"
	"github.com/oleanderbend/oleanderbend/internal/opconfig"
	"github.com/oleanderbend/oleanderbend/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"oleanderbend": func() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

const (
	host   = "jobs.example"
	prefix = "/q/"
	// gracePeriod is as in production deployments.
	gracePeriod = 6 * time.Second
	// serveTime is the time for which callers send requests before the instance is stopped.
	serveTime = 300 * time.Millisecond
	// faultDelay is the time from the signal to the fault of the log. Requests that wait for the log from
	// then on have a deadline after the time limit of the stop.
	faultDelay  = 2 * time.Second
	callerCount = 24
	// resetTime is longer than a reset takes to arrive on the loopback interface.
	resetTime = 20 * time.Millisecond
)

// process is an instance in a process of its own, with its connection to the log.
type process struct {
	settings  node.Settings
	logClient *ledgertest.Client
	cmd       *exec.Cmd
	output    *bytes.Buffer
	// exited is closed when the process has exited; output is complete then.
	exited chan struct{}
}

// newLog returns a log with a configuration that has one queue, for which no key is needed.
func newLog(t *testing.T) *ledgertest.Log {
	t.Helper()
	storage := ledgertest.New(1)
	config := &opconfig.Config{Version: 1, Queues: []opconfig.Queue{
		{Name: "q", Host: host, Prefix: prefix, Service: "s", Public: true, MaxFailedRuns: 3, DurationFactor: 1.5},
	}}
	record, err := platform.EncodeConfig(config)
	require.NoError(t, err)
	_, err = storage.Client().Append(t.Context(), ledger.Append{
		Topic: platform.OperatorTopic, Records: []ledger.Record{record}, ExpectedEnd: ledger.AnyEnd,
	})
	require.NoError(t, err)
	return storage
}

// processCount numbers the processes, which differ in their loopback addresses.
var processCount atomic.Int32

// newProcess returns an instance that is not started yet. Its loopback address is derived from the process
// id, so that concurrent runs on one machine use different addresses.
func newProcess(t *testing.T, storage *ledgertest.Log) *process {
	t.Helper()
	const perByte = 250
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid/perByte%perByte, 1+pid%perByte, processCount.Add(1))
	p := &process{logClient: storage.Client(), output: &bytes.Buffer{}, exited: make(chan struct{})}
	server := httptest.NewServer(platform.NewLogHandler(p.logClient))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	p.settings = node.Settings{
		Name: ip, IP: ip, Zone: "z", FrontAddress: ip + ":8521", ReadyAddress: ip + ":8523", MetricsPort: 7000, RelayPort: 7001,
		Cores: 1, MemoryMB: 256, LogAddress: server.Listener.Addr().String(), HeartbeatInterval: time.Second,
		Timing: node.Timing{GracePeriod: gracePeriod, MaxLease: 6 * time.Second, FinishedJobRetention: time.Minute, HolderChangeInterval: 3 * time.Second},
	}
	return p
}

// start starts the process with a settings file.
func (p *process) start(t *testing.T, settingsPath string) {
	t.Helper()
	program, err := exec.LookPath("oleanderbend")
	require.NoError(t, err)
	p.cmd = exec.Command(program, "instance", "--settings", settingsPath)
	p.cmd.Stdout, p.cmd.Stderr = p.output, p.output
	require.NoError(t, p.cmd.Start())
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // The exit status is checked by waitExit.
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill() // This fails if the process has exited.
		<-p.exited
	})
}

// startReady starts an instance and waits until it is ready.
func startReady(t *testing.T, storage *ledgertest.Log) *process {
	t.Helper()
	p := newProcess(t, storage)
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, platform.WriteSettings(path, &p.settings))
	p.start(t, path)
	p.waitReady(t)
	return p
}

func (p *process) waitReady(t *testing.T) {
	t.Helper()
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + p.settings.ReadyAddress)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, 20*time.Second, 20*time.Millisecond)
}

// startLeader starts an instance and waits until it leads.
func startLeader(t *testing.T, storage *ledgertest.Log) *process {
	t.Helper()
	p := startReady(t, storage)
	require.Eventually(t, func() bool {
		for _, value := range storage.LatestValues(election.Topic) {
			if bytes.Contains(value, []byte(p.settings.IP)) {
				return true
			}
		}
		return false
	}, 20*time.Second, 20*time.Millisecond)
	return p
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

// waitExit waits until the process has exited by itself, within the grace period.
func (p *process) waitExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.exited:
	case <-time.After(gracePeriod):
		require.Fail(t, "the process did not exit within its grace period")
	}
	require.True(t, p.cmd.ProcessState.Success(), "%v\n%s", p.cmd.ProcessState, p.output)
}

// request returns the bytes of a request, split into header and body. It gives no deadline, so the
// instance assumes 3 s.
func request(method, id string) (header string, body []byte) {
	if method == http.MethodPost {
		var err error
		job := &batch.Job{ID: id, Steps: []batch.Step{{Count: 1, CPU: 1000, GPU: 1, EstimateMS: 1000}}}
		if body, err = platform.EncodeJob(job); err != nil {
			panic(err) // The job is always the same, but for its id.
		}
	}
	return fmt.Sprintf("%s %s%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n", method, prefix, id, host, len(body)), body
}

// caller sends requests in series on a connection that it keeps open.
type caller struct {
	address string
	number  int
	conn    net.Conn
	reader  *bufio.Reader
	// answered counts the complete responses; unread the requests that the instance certainly did not read.
	answered, unread int
	// lost describes the requests that the instance read and that got no complete response.
	lost []string
}

// run sends requests until the process no longer accepts connections. Callers differ in their pauses,
// so that at each time some connections are new, some idle and some in the middle of a request.
func (c *caller) run(stopped time.Time) {
	methods := []string{http.MethodPost, http.MethodGet, http.MethodDelete}
	pause := time.Duration(c.number) * 2 * time.Millisecond
	for n := 0; ; n++ {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.address, time.Second)
			if err != nil {
				return // The instance no longer listens.
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
			time.Sleep(pause)
		}
		// Three requests for each job: it is submitted, its state is requested, and it is cancelled.
		c.send(methods[n%3], fmt.Sprintf("%08x%08x", c.number, n/3), pause, stopped)
		time.Sleep(pause)
	}
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// send sends a request, the body after a pause, and reads the response. A connection that ends with a
// reset had unread data, so the request was not read to its end.
func (c *caller) send(method, id string, pause time.Duration, stopped time.Time) {
	header, body := request(method, id)
	if _, err := io.WriteString(c.conn, header); err != nil {
		c.unread++
		c.close()
		return
	}
	if len(body) > 0 {
		time.Sleep(pause)
		if _, err := c.conn.Write(body); err != nil {
			c.unread++
			c.close()
			return
		}
	}
	sentAt := time.Now()
	resp, err := http.ReadResponse(c.reader, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	switch {
	case err == nil:
		c.answered++
		if resp.Close {
			c.close()
		}
		return
	case errors.Is(err, syscall.ECONNRESET), c.wasClosedBefore():
		c.unread++
	default:
		c.lost = append(c.lost, fmt.Sprintf("%s %s: sent %v after the signal, ended %v later: %v",
			method, id, sentAt.Sub(stopped).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond), err))
	}
	c.close()
}

// wasClosedBefore reports whether the instance had closed the connection before the request arrived. It
// is called after the end of the connection was received: the request was then answered with a reset.
func (c *caller) wasClosedBefore() bool {
	time.Sleep(resetTime)
	tcp, ok := c.conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	pending := 0
	err = raw.Control(func(fd uintptr) { pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR) })
	return err == nil && pending != 0
}

// callers send requests to an instance.
type callers struct {
	all     []*caller
	running sync.WaitGroup
}

// startCallers starts callers that send requests until the instance no longer accepts connections.
func startCallers(p *process, stopped time.Time) *callers {
	cs := &callers{}
	for n := range callerCount {
		c := &caller{address: p.settings.FrontAddress, number: n}
		cs.all = append(cs.all, c)
		cs.running.Go(func() { c.run(stopped) })
	}
	return cs
}

// requireNoneLost waits until all callers have ended and fails the test if a request that the instance
// read has no complete response.
func (cs *callers) requireNoneLost(t *testing.T) {
	t.Helper()
	cs.running.Wait()
	answered, unread := 0, 0
	var lost []string
	for _, c := range cs.all {
		answered += c.answered
		unread += c.unread
		lost = append(lost, c.lost...)
	}
	t.Logf("%d answered, %d not read, %d lost", answered, unread, len(lost))
	require.NotZero(t, answered)
	require.Empty(t, lost, strings.Join(lost, "\n"))
}

// Guards against a graceful stop that ends connections on which a request has been read, whatever the log
// does meanwhile.
func TestStopAnswersRequests(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*ledgertest.Client){
		"none": func(*ledgertest.Client) {},
		"slow": func(*ledgertest.Client) {},
		"down": func(c *ledgertest.Client) { c.SetDown(true) },
		// Appends without a response take effect at once or late.
		"lossy": func(c *ledgertest.Client) { c.SetResponseLoss(0.5, false) },
		"late":  func(c *ledgertest.Client) { c.SetResponseLoss(0.5, true) },
	}
	for name, inject := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			storage := newLog(t)
			if name == "slow" {
				storage.Latency = 300 * time.Millisecond
			}
			p := startReady(t, storage)
			stopped := time.Now().Add(serveTime)
			cs := startCallers(p, stopped)
			time.Sleep(time.Until(stopped))
			p.signal(t, syscall.SIGTERM)
			time.Sleep(faultDelay)
			inject(p.logClient)
			p.waitExit(t)
			cs.requireNoneLost(t)
		})
	}
}

// Guards against a graceful stop that drops a request which arrives on a connection that was accepted
// before the instance stopped listening: once read, a request must be answered.
func TestStopAnswersFirstRequestOfOpenConnection(t *testing.T) {
	t.Parallel()
	p := startReady(t, newLog(t))
	p.signal(t, syscall.SIGTERM)
	var conns []net.Conn
	var openedAt []time.Time
	for {
		conn, err := net.DialTimeout("tcp", p.settings.FrontAddress, time.Second)
		if err != nil {
			break // The instance no longer listens.
		}
		conns, openedAt = append(conns, conn), append(openedAt, time.Now())
		time.Sleep(20 * time.Millisecond)
	}
	refusedAt := time.Now()
	used := 0
	for n, conn := range conns {
		// The instance has accepted a connection that was open for so long, and its time limit for the header
		// of the first request, 3 s, is not over.
		if refusedAt.Sub(openedAt[n]) > 100*time.Millisecond && time.Since(openedAt[n]) < 2*time.Second {
			used++
			header, _ := request(http.MethodGet, "5c0e7a21d94b36f8")
			_, err := io.WriteString(conn, header)
			require.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			require.True(t, resp.Close, "the caller is asked to use another connection")
		}
		conn.Close()
	}
	require.NotZero(t, used)
	p.waitExit(t)
}

// Guards against a process that exits at the end of the stop timeout while requests still wait for the log:
// they must be answered, with an unknown outcome if need be.
func TestStopAnswersRequestsThatWaitForLog(t *testing.T) {
	t.Parallel()
	p := startReady(t, newLog(t))
	stopped := time.Now().Add(serveTime)
	cs := startCallers(p, stopped)
	time.Sleep(time.Until(stopped))
	p.signal(t, syscall.SIGTERM)
	time.Sleep(faultDelay)
	p.logClient.SetSilent(true)
	p.waitExit(t)
	cs.requireNoneLost(t)
}

// Guards against requests that are lost with the leader: an instance hands their records to the leader,
// which stops, or does not respond while the instance itself stops.
func TestRequestsAreAnsweredWithoutLeader(t *testing.T) {
	t.Parallel()
	t.Run("leader stops", func(t *testing.T) {
		t.Parallel()
		storage := newLog(t)
		leader := startLeader(t, storage)
		p := startReady(t, storage)
		stopped := time.Now().Add(serveTime)
		cs := startCallers(p, stopped)
		time.Sleep(time.Until(stopped))
		leader.signal(t, syscall.SIGTERM)
		leader.waitExit(t)
		p.signal(t, syscall.SIGTERM)
		p.waitExit(t)
		cs.requireNoneLost(t)
	})
	t.Run("leader frozen", func(t *testing.T) {
		t.Parallel()
		storage := newLog(t)
		leader := startLeader(t, storage)
		p := startReady(t, storage)
		stopped := time.Now().Add(serveTime)
		cs := startCallers(p, stopped)
		time.Sleep(time.Until(stopped))
		p.signal(t, syscall.SIGTERM)
		time.Sleep(faultDelay)
		leader.signal(t, syscall.SIGSTOP)
		p.waitExit(t)
		cs.requireNoneLost(t)
	})
}

// Guards against an instance that is ended by a SIGHUP while it reads its settings at the start, and against
// requests that are broken off by a SIGHUP, also during a stop.
func TestHangup(t *testing.T) {
	t.Parallel()
	p := newProcess(t, newLog(t))
	path := filepath.Join(t.TempDir(), "settings.json")
	require.NoError(t, platform.WriteSettings(path, &p.settings))
	settings, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NoError(t, os.Remove(path))
	require.NoError(t, syscall.Mkfifo(path, 0o600))
	p.start(t, path)
	// The process has opened the pipe when it can be opened for writing, and waits for the settings.
	var pipe *os.File
	require.Eventually(t, func() bool {
		pipe, err = os.OpenFile(path, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		return err == nil
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, os.Remove(path))
	require.NoError(t, os.WriteFile(path, settings, 0o600))
	p.signal(t, syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	_, err = pipe.Write(settings)
	require.NoError(t, err)
	require.NoError(t, pipe.Close())
	p.waitReady(t)

	stopped := time.Now().Add(serveTime)
	cs := startCallers(p, stopped)
	hangups := time.NewTicker(10 * time.Millisecond)
	defer hangups.Stop()
	for range 30 {
		<-hangups.C
		p.signal(t, syscall.SIGHUP)
	}
	p.signal(t, syscall.SIGTERM)
	for running := true; running; {
		select {
		case <-p.exited:
			running = false
		case <-hangups.C:
			_ = p.cmd.Process.Signal(syscall.SIGHUP) // This fails if the process has exited.
		case <-time.After(time.Until(stopped.Add(gracePeriod))):
			running = false
		}
	}
	p.waitExit(t)
	cs.requireNoneLost(t)
	require.Contains(t, p.output.String(), "settings read again")
}
