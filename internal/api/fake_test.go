package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/hlc"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/scheduler"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/state"
	"github.com/oleanderbend/oleanderbend/internal/timeline"
)

// fakeReplica applies records immediately. It also implements the interfaces of the scheduler.
type fakeReplica struct {
	mu       sync.Mutex
	state    *state.State
	changed  chan struct{}
	next     int
	writeErr error
	notReady bool
	// onCheck, if set, is called during each check of a guarantee.
	onCheck func()
}

func newFakeReplica() *fakeReplica {
	return &fakeReplica{state: state.New(), changed: make(chan struct{})}
}

// Read implements state.Reader.
func (f *fakeReplica) Read(read func(*state.State)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.state)
}

// Changed implements state.Reader.
func (f *fakeReplica) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// Write implements state.Writer.
func (f *fakeReplica) Write(_ context.Context, r state.Record) (state.Verdict, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.writeErr != nil {
		return state.Verdict{}, f.writeErr
	}
	f.next++
	if r.ID == "" {
		r.ID = fmt.Sprintf("internal-%d", f.next)
	}
	r.Version, r.Base, r.Time = state.RecordVersion, f.state.Applied, time.Unix(int64(f.next), 0).UTC()
	v := f.state.Apply(f.state.Applied+1, r)
	close(f.changed)
	f.changed = make(chan struct{})
	return v, nil
}

// IsReady implements Readiness.
func (f *fakeReplica) IsReady() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.notReady
}

// ChooseZone implements ZoneChooser.
func (f *fakeReplica) ChooseZone(_ context.Context, job *resource.Job) (string, string, error) {
	if job.Spec.Members > 100 {
		return "", "no zone has 101 accelerators in one rack", nil
	}
	return "z1", "", nil
}

// CheckGuarantee implements GuaranteeChecker. Zone z1 has capacity for 10 guaranteed gangs of any
// size in total.
func (f *fakeReplica) CheckGuarantee(_ context.Context, g *resource.Guarantee) (string, scheduler.GuaranteeResult, error) {
	gangs := g.Spec.Gangs
	f.Read(func(s *state.State) {
		for name, other := range s.Guarantees {
			if name != g.Name {
				gangs += other.Spec.Gangs
			}
		}
	})
	if f.onCheck != nil {
		f.onCheck()
	}
	if gangs > 10 {
		return "", scheduler.GuaranteeResult{Reason: "zone z1 lacks 8 accelerators in one rack"}, nil
	}
	return "z1", scheduler.GuaranteeResult{Honourable: true}, nil
}

// Waiting implements Explainer.
func (f *fakeReplica) Waiting(_ context.Context, job string) (scheduler.Waiting, bool, error) {
	return scheduler.Waiting{Job: job, Code: scheduler.ReasonQuota, Message: "quota of 8 reached", Unblock: "another job of org ends"}, true, nil
}

// fixture is an API with a fakeReplica as its backend.
type fixture struct {
	t       *testing.T
	replica *fakeReplica
	api     *API
	logs    *lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

// String returns the data written so far.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func newFixture(t *testing.T, tokens ...settings.Token) *fixture {
	t.Helper()
	f := &fixture{t: t, replica: newFakeReplica(), logs: &lockedBuffer{}}
	f.api = New(Dependencies{
		ID: "entry-1", Reader: f.replica, Writer: f.replica, Ready: f.replica,
		Guarantees: f.replica, Zones: f.replica, Explainer: f.replica,
		Now: time.Now, Logger: logging.New(f.logs, "debug", "entry-1"), Events: timeline.NewRecorder("entry-1", hlc.New(nil), 100),
		Addr: "127.0.0.1:0", Tokens: tokens,
	})
	return f
}

// do sends one request. headers alternates between names and values.
func (f *fixture) do(method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	r := httptest.NewRequest(method, path, bytes.NewReader([]byte(body)))
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	f.api.Handler().ServeHTTP(w, r)
	return w.Result()
}

// succeeds sends a request that must succeed and decodes the response into into, if not nil.
func (f *fixture) succeeds(into any, method, path, body string, headers ...string) *http.Response {
	f.t.Helper()
	response := f.do(method, path, body, headers...)
	data, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	require.Less(f.t, response.StatusCode, 300, "%s %s: %s", method, path, data)
	if into != nil {
		require.NoError(f.t, json.Unmarshal(data, into))
	}
	return response
}

// rejected sends a request that must fail with the given status, and returns the problem.
func (f *fixture) rejected(status int, method, path, body string, headers ...string) Problem {
	f.t.Helper()
	response := f.do(method, path, body, headers...)
	data, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	require.Equal(f.t, status, response.StatusCode, "%s %s: %s", method, path, data)
	require.Equal(f.t, "application/problem+json", response.Header.Get("Content-Type"))
	var p Problem
	require.NoError(f.t, json.Unmarshal(data, &p))
	require.Equal(f.t, status, p.Status)
	require.NotEmpty(f.t, p.Detail)
	return p
}

const (
	orgBody       = `{"spec":{"weight":1}}`
	jobBody       = `{"metadata":{"labels":{"team":"a"}},"spec":{"organisation":"org","members":2,"acceleratorsPerMember":1,"urgency":3}}`
	guaranteeBody = `{"spec":{"organisation":"org","gangs":%d,"members":2,"acceleratorsPerMember":4}}`
)
