package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// handlerTargets calls a handler in the same process, which allows tests to run in virtual time.
type handlerTargets struct {
	handler http.Handler
	mu      sync.Mutex
	calls   int
	// fail returns the error for the call with the given number, counted from 1; nil for no error.
	fail func(call int) error
}

func (h *handlerTargets) RoundTrip(_ platform.Instance, req *http.Request) (*http.Response, error) {
	h.mu.Lock()
	h.calls++
	call := h.calls
	h.mu.Unlock()
	if h.fail != nil {
		if err := h.fail(call); err != nil {
			return nil, err
		}
	}
	rec := httptest.NewRecorder()
	h.handler.ServeHTTP(rec, req)
	return rec.Result(), nil
}

func testSettings(flow settings.LoadFlow) settings.Load {
	flow.Organisation, flow.Caller, flow.Kind = "clinics", "batch", "approve"
	flow.Urgency = new(int)
	if flow.Stop == 0 {
		flow.Stop = settings.Duration(time.Second)
	}
	if flow.Rate == 0 {
		flow.Rate = 10
	}
	return settings.Load{
		Name: "test", Seed: 1, Duration: settings.Duration(time.Second), MaxRequests: 1000, MaxInFlight: 100,
		Timeout: settings.Duration(time.Minute), URLs: []string{"http://127.0.0.1:1", "http://127.0.0.1:2"},
		Direct: true, Flows: []settings.LoadFlow{flow},
	}
}

func executionCounter(target *standin.Target) ExecutionCounter {
	return func(_ context.Context, ids []string) (map[string]int, error) {
		counts := make(map[string]int)
		for _, id := range ids {
			if n := target.Executed(id); n > 0 {
				counts[id] = n
			}
		}
		return counts, nil
	}
}

// runWith runs a load in virtual time against a stand-in target, whose handler is wrapped by wrap
// unless wrap is nil.
func runWith(t *testing.T, config settings.Load, wrap func(http.Handler) http.Handler) Result {
	t.Helper()
	var result Result
	synctest.Test(t, func(t *testing.T) {
		target := standin.NewTarget(standin.TargetConfig{Slots: 1000, Connections: 1000})
		handler := http.Handler(target)
		if wrap != nil {
			handler = wrap(handler)
		}
		var err error
		result, err = Run(t.Context(), Config{Settings: config, Targets: &handlerTargets{handler: handler}, CountExecutions: executionCounter(target)})
		require.NoError(t, err)
	})
	return result
}

// Guards against violations reported for a healthy run, and against wrong figures.
func TestHealthyRun(t *testing.T) {
	flow := settings.LoadFlow{Rate: 100, ServiceTime: settings.Duration(20 * time.Millisecond), ResponseBytes: 50_000, BodyBytes: 100}
	result := runWith(t, testSettings(flow), nil)
	require.True(t, result.OK(), "%v", result.Examples)
	require.True(t, result.Verified)
	got := result.Flows[0]
	require.InDelta(t, 100, got.Scheduled, 40)
	require.Equal(t, got.Scheduled, got.Answers)
	require.InDelta(t, 20, got.Latency.P50, 0.5)
	require.InDelta(t, 20, got.Latency.Max, 0.5)
}

// Guards against coordinated omission: the latency of a request must include the time for which it
// waits behind a stalled request.
func TestLatencyIncludesWaiting(t *testing.T) {
	config := testSettings(settings.LoadFlow{Even: true, Rate: 10, ServiceTime: settings.Duration(time.Second)})
	config.MaxInFlight = 1
	result := runWith(t, config, nil)
	// Nine arrivals, the first after 100 ms and the last after 900 ms, are served one after the other in
	// 1 s each. The last one waits for all others: its response arrives 9 s after the first arrival, which
	// is 800 ms before its own. The response to the fifth arrives after 5 s, and its arrival is 400 ms
	// after the first.
	require.Equal(t, 9, result.Flows[0].Answers)
	require.InDelta(t, 9000-800, result.Flows[0].Latency.Max, 100)
	require.InDelta(t, 5000-400, result.Flows[0].Latency.P50, 100)
}

// respondWith wraps a handler: it returns a fixed response to every request, after it has forwarded
// the request to the handler if forward is set.
func respondWith(forward bool, status int, header http.Header, body func(id string) string) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rec := httptest.NewRecorder()
			if forward {
				next.ServeHTTP(rec, r)
			}
			for key, values := range rec.Header() {
				rw.Header()[key] = values
			}
			for key, values := range header {
				rw.Header()[key] = values
			}
			rw.WriteHeader(status)
			_, _ = io.WriteString(rw, body(r.Header.Get(platform.HeaderRequestID)))
		})
	}
}

// Guards against each kind of violation that a load run must find.
func TestViolationsAreFound(t *testing.T) {
	complete := func(id string) string { return (id + "\n" + id)[:10] }
	twice := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), r.Clone(r.Context()))
			next.ServeHTTP(rw, r)
		})
	}
	outcome := func(value string) http.Header { return http.Header{platform.HeaderOutcome: {value}} }
	cases := map[string]struct {
		wrap func(http.Handler) http.Handler
		want Rule
	}{
		"ran despite not-run":         {respondWith(true, 503, outcome("not-run"), complete), RuleNotRunButRan},
		"outcome and status mismatch": {respondWith(true, 200, outcome("unknown"), complete), RuleOutcome},
		"unknown outcome value":       {respondWith(true, 200, outcome("maybe"), complete), RuleOutcome},
		"truncated body":              {respondWith(true, 200, nil, func(id string) string { return complete(id)[:9] }), RuleBody},
		"body too long":               {respondWith(true, 200, nil, func(id string) string { return complete(id) + "x" }), RuleBody},
		"id of another request":       {respondWith(true, 200, http.Header{platform.HeaderRequestID: {"other"}}, complete), RuleRequestID},
		"body of another response":    {respondWith(true, 200, nil, func(string) string { return "0123456789" }), RuleBody},
		"request body changed":        {respondWith(true, 200, http.Header{standin.HeaderBodyDigest: {"0"}}, complete), RuleRequestBody},
		"never ran":                   {respondWith(false, 200, nil, complete), RuleAnswerWithoutRun},
		"ran twice":                   {twice, RuleRanMoreThanOnce},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			config := testSettings(settings.LoadFlow{Even: true, ResponseBytes: 10})
			result := runWith(t, config, c.wrap)
			require.Equal(t, result.Flows[0].Scheduled, result.Violations[c.want], "%v", result.Examples)
			require.False(t, result.OK())
		})
	}
}

// Guards against accepting a response of an instance that lacks the outcome header.
func TestMissingOutcomeHeaderIsViolation(t *testing.T) {
	config := testSettings(settings.LoadFlow{Even: true})
	config.Direct = false
	require.NotZero(t, runWith(t, config, nil).Violations[RuleOutcome])
}

// truncatedBody is a response body that ends with io.ErrUnexpectedEOF.
type truncatedBody struct{ io.Reader }

func (b truncatedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Guards against counting a truncated response as complete.
func TestTruncatedResponseIsUnknown(t *testing.T) {
	c := newCall(settings.LoadFlow{ResponseBytes: 10}, "r1")
	c.direct = true
	resp := &http.Response{StatusCode: 200, Body: io.NopCloser(truncatedBody{strings.NewReader("r1\nr1")})}
	require.Equal(t, sendResult{outcome: Unknown}, c.check(resp))
}

// Guards against counting a resend as a second execution, and against a not-run violation for a
// request of which one send had an unknown outcome while the other one was answered.
func TestResend(t *testing.T) {
	for _, resend := range []string{settings.ResendUnknown, settings.ResendAlways} {
		t.Run(resend, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				config := testSettings(settings.LoadFlow{Even: true, Idempotent: true, WithIdempotencyKey: true, Resend: resend})
				target := standin.NewTarget(standin.TargetConfig{Slots: 1000, Connections: 1000})
				targets := &handlerTargets{handler: target, fail: func(call int) error {
					if call%2 == 1 {
						return platform.ErrUnknownOutcome
					}
					return nil
				}}
				result, err := Run(t.Context(), Config{Settings: config, Targets: targets, CountExecutions: executionCounter(target)})
				require.NoError(t, err)
				require.True(t, result.OK(), "%v", result.Examples)
				require.Equal(t, 9, result.Flows[0].Answers)
				require.Equal(t, 18, targets.calls)
			})
		})
	}
}

// Guards against arrivals that depend on anything other than the settings.
func TestArrivalsAreSeeded(t *testing.T) {
	config := testSettings(settings.LoadFlow{Rate: 500})
	first := arrivals(config, config.Flows[0], 1000)
	require.Equal(t, first, arrivals(config, config.Flows[0], 1000))
	for _, a := range first {
		require.NotEqual(t, a.instance, a.resendInstance)
		require.Less(t, a.at, time.Second)
	}
	require.Len(t, arrivals(config, config.Flows[0], 7), 7)
	config.Seed++
	require.NotEqual(t, first, arrivals(config, config.Flows[0], 1000))
}

// Guards against an interrupted or overloaded run that does not report its unsent requests.
func TestUnsentIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := testSettings(settings.LoadFlow{Even: true, ServiceTime: settings.Duration(time.Minute)})
		config.MaxInFlight, config.Timeout = 1, settings.Duration(time.Second)
		target := standin.NewTarget(standin.TargetConfig{Slots: 1, Connections: 1})
		result, err := Run(t.Context(), Config{Settings: config, Targets: &handlerTargets{handler: target}})
		require.NoError(t, err)
		// The first of the nine arrivals occupies the only slot until the run sends no more requests.
		require.Equal(t, 8, result.Flows[0].Unsent)
		require.Equal(t, 8, result.Violations[RuleUnsent])
		require.False(t, result.Verified)
	})
}

// Guards against incomplete output in the table, JSON and plot.
func TestReports(t *testing.T) {
	result := runWith(t, testSettings(settings.LoadFlow{Rate: 100, ServiceTime: settings.Duration(time.Millisecond)}), nil)
	result.Violations = map[Rule]int{RuleBody: 2}
	var table, jsonOut bytes.Buffer
	require.NoError(t, result.WriteTable(&table))
	require.Contains(t, table.String(), "broken: wrong-body 2 times")
	require.NoError(t, result.WriteJSON(&jsonOut))
	require.Contains(t, jsonOut.String(), `"wrong-body": 2`)
	for _, name := range []string{"plot.svg", "plot.png"} {
		file := filepath.Join(t.TempDir(), name)
		require.NoError(t, result.WritePlot(file))
		info, err := os.Stat(file)
		require.NoError(t, err)
		require.NotZero(t, info.Size())
	}
	require.ErrorIs(t, result.WritePlot("plot.txt"), ErrPlot)
}

// FuzzCheckResponse guards against responses that crash a run, and against a response that counts as
// successful although its content is wrong.
func FuzzCheckResponse(f *testing.F) {
	c := newCall(settings.LoadFlow{ResponseBytes: 10}, "r1")
	head := "HTTP/1.1 200 OK\r\nOleanderbend-Request-Id: r1\r\nStandin-Body-Digest: " + c.digest + "\r\n"
	complete := head + "Oleanderbend-Outcome: answer\r\nContent-Length: 10\r\n\r\nr1\nr1\nr1\nr"
	f.Add([]byte(complete))
	f.Add([]byte(complete[:len(complete)-1]))
	f.Add([]byte("HTTP/1.1 200 OK\r\nOleanderbend-Outcome: answer\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n"))
	f.Add([]byte("HTTP/1.1 503 x\r\nOleanderbend-Outcome: not-run\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 502 x\r\nOleanderbend-Outcome: Unknown\r\nContent-Length: 3\r\n\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
		if err != nil {
			return
		}
		got := c.check(resp)
		require.Contains(t, []Outcome{Answered, NotRun, Unknown}, got.outcome)
		if got.outcome == Answered && len(got.violations) == 0 && !got.failed {
			again, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(raw)), nil)
			require.NoError(t, err)
			body, err := io.ReadAll(again.Body)
			require.NoError(t, err)
			require.Equal(t, "r1\nr1\nr1\nr", string(body))
		}
	})
}
