package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

const (
	// requestPeriod is the time between two requests.
	requestPeriod = 10 * time.Millisecond
	// serviceTime and responseBytes are the duration of each request at its target and the size
	// of the response body, as requested in the query parameters.
	serviceTime   = "20ms"
	responseBytes = 2000
)

// requestTally counts the outcomes of requests. It is safe for concurrent use.
type requestTally struct {
	mu sync.Mutex
	// answers, notRun and unknown count the responses with these outcomes. connectionErrors
	// counts requests that ended with an error of the client or of reading the body. The kill of an
	// instance causes such errors; others are counted too, and no check fails because of them.
	answers, notRun, unknown, connectionErrors int
	// wrongResponses describes responses that have the wrong size, belong to another request or have
	// an unexpected outcome, and errors in the creation of requests.
	wrongResponses []string
	// notRunIDs contains the ids of the requests whose outcome was not-run, nonIdempotentIDs
	// those of all requests that were sent as not idempotent.
	notRunIDs, nonIdempotentIDs []string
}

// sendRequests sends requests to all live instances in turn until ctx is done, and returns the
// outcomes when all requests have ended.
func (c *cluster) sendRequests(ctx context.Context) *requestTally {
	t := &requestTally{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	var wg sync.WaitGroup
	ticker := time.NewTicker(requestPeriod)
	defer ticker.Stop()
	for n := 0; ctx.Err() == nil; n++ {
		live := c.liveInstances()
		addr := live[n%len(live)].settings.CallerAddr
		wg.Go(func() { t.send(client, addr, n) })
		<-ticker.C
	}
	wg.Wait()
	return t
}

// send sends request number n and records its outcome. Every fourth request is not idempotent.
func (t *requestTally) send(client *http.Client, addr string, n int) {
	id := fmt.Sprintf("demo-%d", n)
	url := fmt.Sprintf("http://%s/plan?%s=%s&%s=%d", addr, standin.ParamServiceTime, serviceTime, standin.ParamSize, responseBytes)
	req, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.update(func() { t.wrongResponses = append(t.wrongResponses, err.Error()) })
		return
	}
	idempotent := n%4 != 0
	req.Header.Set(platform.HeaderOrganisation, "hamnverket")
	req.Header.Set(platform.HeaderCaller, fmt.Sprintf("caller-%d", n%7))
	req.Header.Set(platform.HeaderKind, "tide-check")
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderIdempotent, strconv.FormatBool(idempotent))
	if !idempotent {
		req.Header.Set(platform.HeaderIdempotencyKey, id)
		t.update(func() { t.nonIdempotentIDs = append(t.nonIdempotentIDs, id) })
	}
	res, err := client.Do(req)
	if err != nil {
		t.update(func() { t.connectionErrors++ })
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	t.update(func() { t.count(id, res, len(body), err) })
}

// count records the outcome of a response. The caller must hold t.mu.
func (t *requestTally) count(id string, res *http.Response, size int, err error) {
	switch outcome := res.Header.Get(platform.HeaderOutcome); {
	case err != nil:
		t.connectionErrors++
	case outcome == "answer" && res.StatusCode == http.StatusOK:
		t.answers++
		if size != responseBytes || res.Header.Get(platform.HeaderRequestID) != id {
			t.wrongResponses = append(t.wrongResponses, fmt.Sprintf("%s: %d bytes for request %s", id, size, res.Header.Get(platform.HeaderRequestID)))
		}
	case outcome == "not-run":
		t.notRun++
		t.notRunIDs = append(t.notRunIDs, id)
	case outcome == "unknown":
		t.unknown++
	default:
		t.wrongResponses = append(t.wrongResponses, fmt.Sprintf("%s: status %s outcome %q", id, res.Status, outcome))
	}
}

// update calls change while t.mu is locked.
func (t *requestTally) update(change func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change()
}
