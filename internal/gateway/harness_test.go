package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/kernel"
	"github.com/oleanderbend/oleanderbend/internal/membership"
	"github.com/oleanderbend/oleanderbend/internal/peer"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// fakeInstances implements platform.Instances with a list that tests change.
type fakeInstances struct {
	mu   sync.Mutex
	rows []platform.Instance
	err  error
}

func (f *fakeInstances) List(context.Context) ([]platform.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]platform.Instance(nil), f.rows...), f.err
}

func (f *fakeInstances) set(change func(rows []platform.Instance) []platform.Instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rows = change(f.rows)
}

// transport implements platform.Targets with a plain net/http transport.
type transport struct{ http.Transport }

func (t *transport) RoundTrip(_ platform.Instance, req *http.Request) (*http.Response, error) {
	return t.Transport.RoundTrip(req)
}

// fakeView implements membership.View. Publish changes only its own row.
type fakeView struct {
	mu      sync.Mutex
	self    membership.Info
	others  []membership.Member
	changed chan struct{}
}

func (v *fakeView) Self() membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return membership.Member{Info: v.self, Status: membership.Alive}
}

func (v *fakeView) Members() []membership.Member {
	self := v.Self()
	v.mu.Lock()
	defer v.mu.Unlock()
	return append([]membership.Member{self}, v.others...)
}

func (v *fakeView) Changed() <-chan struct{} { return v.changed }

func (v *fakeView) Publish(change func(*membership.Info)) {
	v.mu.Lock()
	defer v.mu.Unlock()
	change(&v.self)
}

// fakeState implements state.Reader with a state that does not change.
type fakeState struct {
	mu      sync.Mutex
	state   *state.State
	changed chan struct{}
}

func (s *fakeState) Read(f func(*state.State)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.state)
}

func (s *fakeState) Changed() <-chan struct{} { return s.changed }

// unreachablePeers implements peer.Caller and peer.Registrar. All calls fail.
type unreachablePeers struct{ ids []string }

func (p unreachablePeers) Call(context.Context, string, string, any, any) error {
	return peer.ErrUnreachable
}

func (p unreachablePeers) Peers() []string { return p.ids }

func (p unreachablePeers) Register(string, any) error { return nil }

// harness is a running gateway whose targets listen on loopback addresses.
type harness struct {
	t       testing.TB
	gateway *Gateway
	list    *fakeInstances
	view    *fakeView
	url     string
	stop    func() error
}

// echo is the handler of a target that responds with "echo:" and the request body.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(platform.HeaderRequestID, r.Header.Get(platform.HeaderRequestID))
	_, _ = w.Write(append([]byte("echo:"), body...))
}

// startTarget starts a target with 8 slots.
func startTarget(t testing.TB, id string, handler http.HandlerFunc) platform.Instance {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return platform.Instance{
		ID: id, Kind: platform.KindTarget, State: platform.StateLive,
		Addr: strings.TrimPrefix(server.URL, "http://"), Slots: 8, Connections: 64,
	}
}

// newHarness starts a gateway with the given targets. configure changes its configuration; it may
// be nil.
func newHarness(t testing.TB, configure func(*Config), targets ...platform.Instance) *harness {
	h := &harness{t: t, list: &fakeInstances{rows: targets}, view: &fakeView{changed: make(chan struct{})}}
	peers := unreachablePeers{}
	cfg := Config{
		ID: "entry-1", Addr: "127.0.0.1:0", Seed: 1,
		Instances: h.list, Targets: &transport{}, View: h.view, Caller: peers, Registrar: peers,
		State: &fakeState{state: state.New(), changed: make(chan struct{})},
	}
	if configure != nil {
		configure(&cfg)
	}
	h.gateway = New(cfg)
	k := kernel.New()
	require.NoError(t, k.Register(kernel.Registration{Name: Name, Service: h.gateway}))
	ready := &readiness{started: make(chan struct{})}
	require.NoError(t, k.Register(kernel.Registration{Name: "ready", Requires: []string{Name}, Service: ready}))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() {
		done <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 10*time.Second)
		})
	}()
	<-ready.started
	h.url = "http://" + h.gateway.Addr()
	h.stop = sync.OnceValue(func() error { cancel(); return <-done })
	t.Cleanup(func() { _ = h.stop() })
	return h
}

// readiness is a service whose Start closes started. The kernel starts it after the gateway.
type readiness struct{ started chan struct{} }

func (r *readiness) Provision(*kernel.Kernel) error { return nil }
func (r *readiness) Start(context.Context) error    { close(r.started); return nil }
func (r *readiness) Stop(context.Context) error     { return nil }

// send sends one request on its own connection and returns the response and its body. headers are
// alternating names and values.
func (h *harness) send(method, body string, headers ...string) (*http.Response, string, error) {
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, h.url+"/work", reader)
	require.NoError(h.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func (h *harness) requireOutcome(resp *http.Response, o outcome, status int) {
	h.t.Helper()
	require.Equal(h.t, string(o), resp.Header.Get(platform.HeaderOutcome))
	require.Equal(h.t, status, resp.StatusCode)
}

// countRequests returns a handler that counts the requests to another handler in n.
func countRequests(n *atomic.Int64, handler http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		handler(w, r)
	}
}

// rawResponse returns the handler of a target that reads the request body, writes format to the
// connection and closes it. A %s in format stands for the request id.
func rawResponse(format string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		if strings.Contains(format, "%s") {
			fmt.Fprintf(buffered, format, r.Header.Get(platform.HeaderRequestID))
		} else {
			_, _ = buffered.WriteString(format)
		}
		_ = buffered.Flush()
	}
}
