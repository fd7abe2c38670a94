package standin

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// FuzzPayload guards against payloads that crash a worker or result in values that JSON cannot
// represent.
func FuzzPayload(f *testing.F) {
	for _, seed := range []string{"", "duration=30s checkpoint=1s fail=2s cores=200", "checkpoint=never", "cores=NaN", "duration=-1s", "=", "duration=9223372036s"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, payload string) {
		p, err := parsePayload(payload)
		if err != nil {
			require.ErrorIs(t, err, ErrInvalidPayload)
			return
		}
		require.GreaterOrEqual(t, p.duration, time.Duration(0))
		_, err = json.Marshal(platform.Usage{Cores: p.cores, MemoryMB: p.memoryMB})
		require.NoError(t, err)
	})
}

// FuzzTargetRequest guards against requests that crash a target or exceed its bounds.
func FuzzTargetRequest(f *testing.F) {
	f.Add("r1", "service=50ms&size=1024")
	f.Add("", "service=-1s")
	f.Add("\x00", "size=9223372036854775807&service=%zz")
	f.Fuzz(func(t *testing.T, id, rawQuery string) {
		query, _ := url.ParseQuery(rawQuery)
		spec, err := parseRequestSpec(http.Header{platform.HeaderRequestID: {id}}, query)
		if err != nil {
			require.ErrorIs(t, err, errBadRequest)
			return
		}
		require.True(t, spec.serviceTime >= 0 && spec.serviceTime <= maxServiceTime)
		require.True(t, spec.responseBytes >= 0 && spec.responseBytes <= maxResponseSize)
	})
}

// FuzzLogRead guards against read queries that crash the log, wait longer than maxLongPoll or return
// more entries than their limit.
func FuzzLogRead(f *testing.F) {
	f.Add("1", "10", "0")
	f.Add("18446744073709551615", "9223372036854775807", "9223372036854775807")
	f.Add("-1", "0", "x")
	l := NewLog(LogConfig{})
	_, err := l.Append(f.Context(), []byte("x"))
	require.NoError(f, err)
	f.Fuzz(func(t *testing.T, from, limit, waitMs string) {
		read, err := parseRead(url.Values{"from": {from}, "limit": {limit}, "waitMs": {waitMs}}.Get)
		if err != nil {
			return
		}
		require.LessOrEqual(t, read.wait, maxLongPoll)
		batch, err := l.Read(t.Context(), read.from, read.limit, 0)
		if err == nil {
			require.LessOrEqual(t, len(batch.Entries), read.limit)
		}
	})
}

// FuzzWorkerRequest guards against request bodies that crash a worker, reserve more accelerators
// than it has, or cause responses that are not valid JSON.
func FuzzWorkerRequest(f *testing.F) {
	f.Add("reserve", `{"epoch":{"number":1},"leases":[{"jobUID":"j","attempt":1}],"task":{"accelerators":4},"ttlSeconds":5}`)
	f.Add("reserve", `{"leases":[{"jobUID":"a"},{"jobUID":"b"}],"task":{"accelerators":-9223372036854775808},"ttlSeconds":1e308}`)
	f.Add("reserve", `{"leases":[{"jobUID":"a"},{"jobUID":"b"}],"task":{"accelerators":9223372036854775807},"ttlSeconds":5}`)
	f.Add("start", `{"epoch":{"number":1},"leases":[{"jobUID":"held"}],"ttlSeconds":-5}`)
	f.Add("throttle", `{"leases":[{"jobUID":"held"}],"throttle":-1}`)
	f.Add("leases", `{"epoch":{"number":18446744073709551615}}`)
	f.Add("../x", `[]`)
	f.Fuzz(func(t *testing.T, op, body string) {
		synctest.Test(t, func(t *testing.T) {
			fleet := NewFleet(FleetConfig{Workers: testRows(1)})
			handler := workersHandler(fleet)
			call := func(op, body string) *httptest.ResponseRecorder {
				rec := httptest.NewRecorder()
				path := &url.URL{Path: "/v1/workers/a/" + op}
				req := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
				req.URL = path
				handler.ServeHTTP(rec, req)
				return rec
			}
			existing := `{"leases":[{"jobUID":"held"}],"task":{"accelerators":1},"ttlSeconds":5}`
			require.Equal(t, http.StatusNoContent, call("reserve", existing).Code)
			require.Equal(t, http.StatusOK, call("start", existing).Code)
			response := call(op, body)
			if response.Header().Get("Content-Type") == "application/json" {
				require.True(t, json.Valid(response.Body.Bytes()))
			}
			time.Sleep(time.Second)
			used := 0
			for _, lease := range fleet.Snapshot("a") {
				if lease.State.Active() {
					require.GreaterOrEqual(t, lease.Task.Accelerators, 0)
					require.LessOrEqual(t, lease.Task.Accelerators, 8)
					used += lease.Task.Accelerators
				}
			}
			require.LessOrEqual(t, used, 8)
		})
	})
}

// FuzzFaults guards against faults that crash the stand-ins or overflow the times of a worker.
func FuzzFaults(f *testing.F) {
	for _, service := range []string{"log", "instances", "workers", "targets", "x"} {
		f.Add(service, `{"delay":"1s","loseAnswers":-1}`)
		f.Add(service, `{"clockRate":1e300}`)
		f.Add(service, `{"slow":1e300,"share":0.5,"delay":"9223372036s"}`)
		f.Add(service, `{"lateAppends":1,"lateBy":"-5s"}`)
		f.Add(service, `null`)
	}
	f.Fuzz(func(t *testing.T, service, body string) {
		synctest.Test(t, func(t *testing.T) {
			rows := testRows(1)
			server := &Server{Log: NewLog(LogConfig{}), Instances: NewInstances(nil, 0, rows), Fleet: NewFleet(FleetConfig{Workers: rows})}
			target := NewTarget(TargetConfig{ID: "t", Slots: 1})
			err := server.SetFaults(service, "*", []byte(body))
			if faults, decodeErr := decodeFaults[TargetFaults]([]byte(body)); decodeErr == nil {
				target.SetFaults(faults)
				require.GreaterOrEqual(t, faults.serviceTime(time.Second), time.Duration(0))
			}
			if err != nil {
				return
			}
			time.Sleep(time.Hour)
			w := server.Fleet.workers["a"]
			server.Fleet.Snapshot("a")
			require.Positive(t, w.leaseClock)
		})
	})
}
