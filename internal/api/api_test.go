package api

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/stretchr/testify/require"

	"github.com/oleanderbend/oleanderbend/internal/resource"
	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/state"
)

// TestConditionalWrites guards against a conditional write that overwrites a change that its caller
// has not read, and against wrong status codes for failed preconditions and missing resources.
func TestConditionalWrites(t *testing.T) {
	f := newFixture(t)
	var org resource.Organisation
	response := f.succeeds(&org, "PUT", "/v1/organisations/org", orgBody, "If-None-Match", "*")
	require.Equal(t, http.StatusCreated, response.StatusCode)
	require.Equal(t, `"1"`, response.Header.Get("ETag"))
	f.rejected(409, "PUT", "/v1/organisations/org", orgBody, "If-None-Match", "*")
	response = f.succeeds(&org, "PUT", "/v1/organisations/org", `{"spec":{"weight":2}}`, "If-Match", `"1"`)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, uint64(2), org.Generation)
	p := f.rejected(412, "PUT", "/v1/organisations/org", orgBody, "If-Match", `"1"`)
	require.Equal(t, OutcomeRejected, p.Outcome)
	require.Equal(t, org.ResourceVersion, p.CurrentVersion)
	f.rejected(412, "PUT", "/v1/organisations/org", `{"metadata":{"resourceVersion":1},"spec":{}}`)
	f.rejected(412, "PUT", "/v1/organisations/other", orgBody, "If-Match", "*")
	f.rejected(400, "PUT", "/v1/organisations/org", orgBody, "If-Match", "x")
	f.rejected(400, "PUT", "/v1/organisations/org", orgBody, "If-None-Match", "7")
	f.rejected(412, "DELETE", "/v1/organisations/org", "", "If-Match", "1")
	f.succeeds(nil, "PUT", "/v1/jobs/job", jobBody)
	p = f.rejected(409, "DELETE", "/v1/organisations/org", "")
	require.Contains(t, p.Detail, "used by job job")
	f.rejected(404, "DELETE", "/v1/organisations/none", "")
	f.rejected(404, "GET", "/v1/organisations/none", "")
	f.rejected(404, "GET", "/v1/things/org", "")
	f.rejected(404, "POST", "/v1/jobs/job", jobBody)
}

// TestJobLifeCycle guards against a caller that sets the status of a job, a cancellation that
// removes the job, and a change of the size of an existing job.
func TestJobLifeCycle(t *testing.T) {
	f := newFixture(t)
	f.rejected(422, "PUT", "/v1/jobs/job", jobBody)
	f.succeeds(nil, "PUT", "/v1/organisations/org", orgBody)
	body := strings.Replace(jobBody, `"spec"`, `"status":{"phase":"Running","zone":"forged"},"spec"`, 1)
	var job resource.Job
	f.succeeds(&job, "PUT", "/v1/jobs/job", body)
	require.Equal(t, resource.JobStatus{Phase: resource.PhaseQueued, Zone: "z1"}, job.Status)
	f.rejected(422, "PUT", "/v1/jobs/job", strings.Replace(jobBody, `"members":2`, `"members":3`, 1))
	p := f.rejected(422, "PUT", "/v1/jobs/large", strings.Replace(jobBody, `"members":2`, `"members":101`, 1))
	require.Contains(t, p.Detail, "no zone has 101 accelerators in one rack")
	var explained Explanation
	f.succeeds(&explained, "GET", "/v1/explain/jobs/job", "")
	require.Equal(t, "quota", explained.Code)
	require.NotEmpty(t, explained.Unblock)
	f.succeeds(&job, "DELETE", "/v1/jobs/job", "")
	require.Equal(t, resource.PhaseCancelled, job.Status.Phase)
	f.rejected(409, "PUT", "/v1/jobs/job", jobBody)
	var deleted Deleted
	f.succeeds(&deleted, "DELETE", "/v1/jobs/job", "")
	require.True(t, deleted.Deleted)
	f.rejected(404, "GET", "/v1/explain/jobs/job", "")
}

// TestProblemsNameFieldValueAndRule guards against error responses without the field, value and
// rule, or the position of malformed JSON, that the caller needs to correct the request.
func TestProblemsNameFieldValueAndRule(t *testing.T) {
	f := newFixture(t)
	for _, tc := range []struct {
		body, field string
		status      int
	}{
		{`{"spec":{"members":0,"organisation":"org","acceleratorsPerMember":1}}`, "spec.members", 422},
		{`{"spec":{"members":"two"}}`, "spec.members", 422},
		{`{"spec":{"memberz":1}}`, "memberz", 422},
		{`{"kind":"policies","spec":{}}`, "kind", 422},
		{`{"metadata":{"name":"other"},"spec":{}}`, "metadata.name", 422},
		{`null`, "body", 422},
		{`[]`, "body", 422},
		{"{\n  \"spec\": ", "", 400},
		{``, "", 400},
		{`{} {}`, "", 400},
	} {
		p := f.rejected(tc.status, "PUT", "/v1/jobs/job", tc.body)
		if tc.field == "" {
			require.Contains(t, p.Detail, "line", tc.body)
			continue
		}
		require.NotEmpty(t, p.Fields, tc.body)
		require.Equal(t, tc.field, p.Fields[0].Field, tc.body)
		require.NotEmpty(t, p.Fields[0].Rule)
	}
}

// TestRepeatedRequestHasOneEffect guards against a retry after a lost response that creates,
// changes or removes a resource twice, and against an id that is reused for a different request.
func TestRepeatedRequestHasOneEffect(t *testing.T) {
	f := newFixture(t)
	for range 2 {
		response := f.succeeds(nil, "PUT", "/v1/organisations/org", orgBody, "Idempotency-Key", "k1", "If-None-Match", "*")
		require.Equal(t, http.StatusCreated, response.StatusCode)
		require.Equal(t, "k1", response.Header.Get("Oleanderbend-Request-Id"))
	}
	f.succeeds(nil, "PUT", "/v1/jobs/job", jobBody)
	for range 2 {
		var job resource.Job
		f.succeeds(&job, "DELETE", "/v1/jobs/job", "", "Oleanderbend-Request-Id", "k2")
		require.Equal(t, resource.PhaseCancelled, job.Status.Phase, "the repeated cancellation removed the job")
	}
	f.rejected(422, "PUT", "/v1/organisations/other", orgBody, "Idempotency-Key", "k1")
	f.rejected(422, "DELETE", "/v1/organisations/org", "", "Idempotency-Key", "k1")
	f.rejected(400, "PUT", "/v1/organisations/org", orgBody, "Idempotency-Key", strings.Repeat("x", 200))
	f.rejected(400, "PUT", "/v1/organisations/org", orgBody, "Idempotency-Key", "a b")
	var status RequestStatus
	f.succeeds(&status, "GET", "/v1/requests/k1", "")
	require.Equal(t, state.Accepted, status.Verdict.Code)
	require.Equal(t, 404, f.do("GET", "/v1/requests/never", "").StatusCode)
}

// TestFailedWritesReportTheirOutcome guards against a write that is reported as rejected although
// it may take effect, and against an unknown outcome without the request id needed to query it.
func TestFailedWritesReportTheirOutcome(t *testing.T) {
	f := newFixture(t)
	f.replica.writeErr = eris.Wrap(state.ErrNotApplied, "the log is down")
	for _, method := range []string{"PUT", "DELETE"} {
		p := f.rejected(503, method, "/v1/organisations/org", orgBody)
		require.Equal(t, OutcomeRejected, p.Outcome)
	}
	f.replica.writeErr = eris.Wrap(state.ErrUnknownOutcome, "no answer")
	p := f.rejected(504, "PUT", "/v1/organisations/org", orgBody, "Idempotency-Key", "k")
	require.Equal(t, OutcomeUnknown, p.Outcome)
	require.Equal(t, "k", p.RequestID)
	f.replica.notReady = true
	p = f.rejected(503, "PUT", "/v1/organisations/org", orgBody)
	require.Equal(t, OutcomeRejected, p.Outcome)
	f.rejected(503, "GET", "/v1/jobs", "")
	f.rejected(503, "GET", "/-/ready", "")
	f.succeeds(nil, "GET", "/-/healthy", "")
	f.succeeds(nil, "GET", "/v1/instances", "")
}

// TestGuaranteeIsCheckedAgainAfterConcurrentChange guards against accepting two guarantees
// that are written at the same time and fit one by one but not together, and against a rejection
// without the reason.
func TestGuaranteeIsCheckedAgainAfterConcurrentChange(t *testing.T) {
	f := newFixture(t)
	f.succeeds(nil, "PUT", "/v1/organisations/org", orgBody)
	raced := false
	f.replica.onCheck = func() {
		if !raced {
			raced = true
			f.succeeds(nil, "PUT", "/v1/guarantees/rival", fmt.Sprintf(guaranteeBody, 6))
		}
	}
	p := f.rejected(422, "PUT", "/v1/guarantees/g", fmt.Sprintf(guaranteeBody, 6), "Idempotency-Key", "first")
	require.Contains(t, p.Detail, "zone z1 lacks 8 accelerators in one rack")
	raced = false
	f.replica.onCheck = func() {
		if !raced {
			raced = true
			f.succeeds(nil, "DELETE", "/v1/guarantees/rival", "")
		}
	}
	var g resource.Guarantee
	for range 2 {
		response := f.succeeds(&g, "PUT", "/v1/guarantees/g", fmt.Sprintf(guaranteeBody, 4), "Idempotency-Key", "second")
		require.Equal(t, http.StatusCreated, response.StatusCode)
	}
	require.Equal(t, "z1", g.Status.Zone)
	require.Equal(t, resource.ConditionTrue, g.Conditions[0].Status)
	var status RequestStatus
	f.succeeds(&status, "GET", "/v1/requests/second", "")
	require.Equal(t, state.Accepted, status.Verdict.Code, "the verdict on the repeated check")
}

// TestListPagesAndSelectors guards against pages that skip or repeat items, and against wrong
// results of selectors.
func TestListPagesAndSelectors(t *testing.T) {
	f := newFixture(t)
	for i := range 25 {
		body := fmt.Sprintf(`{"metadata":{"labels":{"n":"%d","even":"%t"}},"spec":{}}`, i, i%2 == 0)
		f.succeeds(nil, "PUT", fmt.Sprintf("/v1/organisations/org-%02d", i), body)
	}
	list := func(query string) (List, []string) {
		var l List
		f.succeeds(&l, "GET", "/v1/organisations?"+query, "")
		var names []string
		for _, item := range l.Items {
			object, err := DecodeObject(resource.KindOrganisation, item)
			require.NoError(t, err)
			names = append(names, object.Meta().Name)
		}
		return l, names
	}
	var all []string
	token := ""
	for {
		l, names := list("limit=7&continue=" + token)
		all = append(all, names...)
		if token = l.Continue; token == "" {
			break
		}
	}
	require.Len(t, all, 25)
	require.IsIncreasing(t, all)
	_, names := list("selector=" + url.QueryEscape("even=true,n!=4"))
	require.Len(t, names, 12)
	_, names = list("selector=missing")
	require.Empty(t, names)
	for _, query := range []string{"limit=0", "limit=x", "limit=1000000", "continue=!", "continue=" + continueToken("jobs", "a"), "selector==x", "selector=" + strings.Repeat("a", 2000)} {
		f.rejected(400, "GET", "/v1/organisations?"+query, "")
	}
}

// watchLines reads the lines of a watch up to the next sync line.
func watchLines(t *testing.T, lines *bufio.Scanner) []WatchLine {
	t.Helper()
	var got []WatchLine
	for lines.Scan() {
		var line WatchLine
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		if line.Type == WatchSync {
			return got
		}
		got = append(got, line)
	}
	return got
}

// TestWatchShowsEachChangeAndResumes guards against a watch that misses a change, sends objects that
// do not match its selector, or resumes from a version whose changes are no longer retained.
func TestWatchShowsEachChangeAndResumes(t *testing.T) {
	f := newFixture(t)
	server := httptest.NewServer(f.api.Handler())
	defer server.Close()
	f.succeeds(nil, "PUT", "/v1/organisations/org", orgBody)
	f.succeeds(nil, "PUT", "/v1/jobs/first", jobBody)
	open := func(query string) (*http.Response, *bufio.Scanner) {
		response, err := http.Get(server.URL + "/v1/jobs?watch=1" + query)
		require.NoError(t, err)
		return response, bufio.NewScanner(response.Body)
	}
	response, lines := open("&selector=team%3Da")
	got := watchLines(t, lines)
	require.Len(t, got, 1)
	require.Equal(t, "first", got[0].Name)
	f.succeeds(nil, "PUT", "/v1/jobs/other", strings.Replace(jobBody, `"a"`, `"b"`, 1))
	f.succeeds(nil, "PUT", "/v1/jobs/second", jobBody)
	f.succeeds(nil, "DELETE", "/v1/jobs/first", "")
	f.succeeds(nil, "DELETE", "/v1/jobs/first", "")
	var seen []string
	for len(seen) < 4 && lines.Scan() {
		var line WatchLine
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		if line.Type != WatchSync {
			seen = append(seen, line.Type+" "+line.Name)
		}
		if line.Type == WatchDelete && line.Name == "first" {
			break
		}
	}
	require.Contains(t, seen, "put second")
	require.Equal(t, "delete first", seen[len(seen)-1])
	require.NoError(t, response.Body.Close())

	response, lines = open("&from=3")
	require.True(t, lines.Scan(), "the first line confirms the version")
	var resumed []string
	for len(resumed) < 2 && lines.Scan() {
		var line WatchLine
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		if line.Type != WatchSync {
			resumed = append(resumed, line.Type+" "+line.Name)
		}
	}
	require.Equal(t, []string{"put second", "delete first"}, resumed)
	close(f.api.stopping)
	for lines.Scan() {
	}
	require.NoError(t, response.Body.Close())

	f.replica.Read(func(s *state.State) { f.replica.state = s.Clone() })
	p := f.rejected(410, "GET", "/v1/jobs?watch=1&from=3", "")
	require.Contains(t, p.Detail, "list the resources")
	f.rejected(400, "GET", "/v1/jobs?watch=1&from=x", "")
}

// TestPolicyShowsVersionOfEachInstance guards against a policy response that does not show
// which instances apply the change, and against one that is rejected when it is sent back.
func TestPolicyShowsVersionOfEachInstance(t *testing.T) {
	f := newFixture(t)
	p := f.rejected(404, "GET", "/v1/policies/default", "")
	require.Contains(t, p.Detail, "the defaults are in force")
	f.succeeds(nil, "PUT", "/v1/policies/default", `{"spec":{"admission":{"queueLimit":7}}}`)
	var answer json.RawMessage
	f.succeeds(&answer, "GET", "/v1/policies/default", "")
	require.Contains(t, string(answer), `"inForce":[{"instance":"entry-1","status":"alive","policyVersion":1,"current":true}]`)
	var policy resource.Policy
	f.succeeds(&policy, "PUT", "/v1/policies/default", string(answer))
	require.Equal(t, uint64(1), policy.Generation)
}

// TestRoles guards against a caller that can do more than the role of its token allows, and against
// secrets in logs and responses.
func TestRoles(t *testing.T) {
	const reader, operator = "reader-secret-0123456789", "operator-secret-0123456789"
	f := newFixture(t, settings.Token{Name: "r", Role: "read", Secret: reader}, settings.Token{Name: "o", Role: "operate", Secret: operator})
	for _, tc := range []struct {
		token         string
		read, operate int
	}{
		{"", 401, 401},
		{"Bearer wrong", 401, 401},
		{"Basic " + operator, 401, 401},
		{"Bearer " + reader, 200, 403},
		{"Bearer " + operator, 200, 201},
	} {
		require.Equal(t, tc.read, f.do("GET", "/v1/jobs", "", "Authorization", tc.token).StatusCode, tc.token)
		require.Equal(t, tc.read, f.do("GET", "/metrics", "", "Authorization", tc.token).StatusCode, tc.token)
		response := f.do("PUT", "/v1/organisations/org", orgBody, "Authorization", tc.token)
		require.Equal(t, tc.operate, response.StatusCode, tc.token)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.NotContains(t, string(body), "secret")
	}
	require.Equal(t, 200, f.do("GET", "/-/healthy", "").StatusCode)
	require.Contains(t, f.logs.String(), "token=o")
	require.NotContains(t, f.logs.String(), "secret")
}

// TestConcurrentConditionalWritesLoseNoUpdate guards against an accepted update that a
// concurrent one overwrites. Each writer repeatedly reads a value and writes it back increased by
// one, on condition of the version that it read.
func TestConcurrentConditionalWritesLoseNoUpdate(t *testing.T) {
	f := newFixture(t)
	f.succeeds(nil, "PUT", "/v1/organisations/org", `{"spec":{"acceleratorQuota":0}}`)
	server := httptest.NewServer(f.api.Handler())
	defer server.Close()
	const writers, rounds = 16, 25
	var group sync.WaitGroup
	accepted := make([]int, writers)
	for i := range writers {
		group.Go(func() {
			for range rounds {
				if addQuota(server.URL) {
					accepted[i]++
				}
			}
		})
	}
	group.Wait()
	total := 0
	for _, n := range accepted {
		total += n
	}
	var org resource.Organisation
	f.succeeds(&org, "GET", "/v1/organisations/org", "")
	require.Equal(t, total, org.Spec.AcceleratorQuota)
	require.Equal(t, uint64(1+total), org.Generation)
	t.Logf("%d of %d updates accepted", total, writers*rounds)
	require.Positive(t, total)
}

// addQuota reads the quota, writes it back increased by one on condition of the version read, and
// reports whether the write was accepted.
func addQuota(base string) bool {
	response, err := http.Get(base + "/v1/organisations/org")
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var org resource.Organisation
	if json.NewDecoder(response.Body).Decode(&org) != nil {
		return false
	}
	body := fmt.Sprintf(`{"spec":{"acceleratorQuota":%d}}`, org.Spec.AcceleratorQuota+1)
	request, err := http.NewRequest(http.MethodPut, base+"/v1/organisations/org", strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(org.ResourceVersion, 10)))
	updated, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = updated.Body.Close() }()
	return updated.StatusCode == http.StatusOK
}
