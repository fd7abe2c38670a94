package scenarios

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

// requestTimeout bounds one request of a scenario.
const requestTimeout = 60 * time.Second

// pendingRequest is a request that was sent in the background.
type pendingRequest struct {
	// done is closed when the request has ended; result is set from then on.
	done   chan struct{}
	result string
}

// sendRequest sends a request to the instance with the given id in the background.
// Options: id, org, caller, kind, priority, deadline, idempotent, key, service, size.
func (c *cluster) sendRequest(id string, options map[string]string) (*pendingRequest, error) {
	in, err := c.find(id)
	if err != nil {
		return nil, err
	}
	req, size, err := buildRequest(in.Caller, options)
	if err != nil {
		return nil, err
	}
	p := &pendingRequest{done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.result = roundTrip(req, size)
	}()
	return p, nil
}

func buildRequest(addr string, options map[string]string) (*http.Request, string, error) {
	values := map[string]string{"org": "tumaini", "caller": "desk", "kind": "approval", "idempotent": "true", "size": "100"}
	for key, value := range options {
		values[key] = value
	}
	query := url.Values{standin.ParamSize: {values["size"]}}
	if values["service"] != "" {
		query.Set(standin.ParamServiceTime, values["service"])
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/work?"+query.Encode(), strings.NewReader("body"))
	if err != nil {
		return nil, "", err
	}
	headers := map[string]string{
		"id": platform.HeaderRequestID, "org": platform.HeaderOrganisation, "caller": platform.HeaderCaller,
		"kind": platform.HeaderKind, "priority": platform.HeaderPriority, "deadline": platform.HeaderDeadlineMs,
		"idempotent": platform.HeaderIdempotent, "key": platform.HeaderIdempotencyKey,
	}
	for key, value := range values {
		header, known := headers[key]
		switch {
		case known:
			req.Header.Set(header, value)
		case key != "service" && key != "size":
			return nil, "", fmt.Errorf("unknown option %q", key)
		}
	}
	return req, values["size"], nil
}

// roundTrip sends a request and returns the outcome "answer", "not-run" or "unknown". For a broken
// connection it returns "cut: " and the error; for a wrong response it returns "wrong: " and the difference.
// For the outcome "answer" with a status other than 200 it returns "answer " and the status, which the
// outcome command matches with the pattern "answer" too.
func roundTrip(req *http.Request, size string) string {
	client := &http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return "cut: " + err.Error()
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return "cut: " + err.Error()
	}
	outcome := res.Header.Get(platform.HeaderOutcome)
	if outcome != "answer" {
		return outcome
	}
	if res.StatusCode != http.StatusOK {
		return "answer " + res.Status
	}
	if fmt.Sprint(len(body)) != size {
		return fmt.Sprintf("wrong: %d bytes instead of %s", len(body), size)
	}
	if id := req.Header.Get(platform.HeaderRequestID); id != "" && res.Header.Get(platform.HeaderRequestID) != id {
		return "wrong: response to request " + res.Header.Get(platform.HeaderRequestID)
	}
	return outcome
}
