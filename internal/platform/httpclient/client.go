package httpclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// client makes calls with JSON answers.
type client struct {
	transport *http.Transport
}

// call makes one attempt and decodes a successful answer into out. Its errors are those of
// the operation; refusal is set if the service refused it.
func (c client) call(req *http.Request, out any) (refusal *ErrorResponse, err error) {
	resp, err := roundTrip(c.transport, req)
	if err != nil {
		return nil, err
	}
	defer drain(resp.Body)
	return decodeAnswer(resp, out)
}

func decodeAnswer(resp *http.Response, out any) (*ErrorResponse, error) {
	if resp.StatusCode/100 != 2 {
		return readRefusal(resp)
	}
	if out == nil || resp.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if err := decodeBounded(resp.Body, MaxResponseBytes, out); err != nil {
		return nil, &callError{platform.ErrUnknownOutcome, fmt.Errorf("answer: %w", err)}
	}
	return nil, nil
}

func readRefusal(resp *http.Response) (*ErrorResponse, error) {
	var refusal ErrorResponse
	err := decodeBounded(resp.Body, maxProblemBytes, &refusal)
	if err != nil || refusalError(refusal.Code) == nil {
		return nil, &callError{platform.ErrUnknownOutcome, fmt.Errorf("HTTP status %d without a known code", resp.StatusCode)}
	}
	return &refusal, fmt.Errorf("%w: %s", refusalError(refusal.Code), refusal.Message)
}

var (
	errAnswerTooLarge = errors.New("httpclient: answer too large")
	errNoOffset       = errors.New("httpclient: answer has no offset")
)

// decodeBounded decodes one JSON value of at most limit bytes.
func decodeBounded(r io.Reader, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("%w: more than %d bytes", errAnswerTooLarge, limit)
	}
	return json.Unmarshal(data, out)
}

// maxDrainBytes is how much of an unread answer is read so that its connection can be reused.
const maxDrainBytes = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// callError is the outcome of a failed call with its cause, such as a context's error.
type callError struct{ outcome, cause error }

// Error implements error.
func (e *callError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap gives errors.Is and errors.As both the outcome and the cause.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

// readOnly turns an unknown outcome into ErrUnavailable, because a read has no effect.
func readOnly(err error) error {
	var failed *callError
	if errors.As(err, &failed) && failed.outcome == platform.ErrUnknownOutcome {
		return &callError{platform.ErrUnavailable, failed.cause}
	}
	return err
}

// badRequest reports a request that could not be built, which therefore had no effect.
func badRequest(err error) error { return &callError{platform.ErrUnavailable, err} }

// Log is the platform's log over HTTP. It is safe for concurrent use.
type Log struct {
	client
	url string
}

var _ platform.Log = (*Log)(nil)

// NewLog returns a client of the log at a base URL such as http://127.0.0.1:7101.
func NewLog(baseURL string, o Options) *Log {
	return &Log{client: client{newTransport(o)}, url: baseURL + LogPath}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, data []byte) (platform.Offset, error) {
	if len(data) > platform.MaxEntryBytes {
		return 0, fmt.Errorf("%w: %d bytes", platform.ErrTooLarge, len(data))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.url, bytes.NewReader(data))
	if err != nil {
		return 0, badRequest(err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var answer AppendResponse
	if _, err := l.call(req, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == 0 {
		return 0, &callError{platform.ErrUnknownOutcome, errNoOffset}
	}
	return answer.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	query := url.Values{
		"from":   {strconv.FormatUint(uint64(from), 10)},
		"limit":  {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(max(wait, 0).Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url+"?"+query.Encode(), nil)
	if err != nil {
		return platform.Batch{}, badRequest(err)
	}
	var batch platform.Batch
	refusal, err := l.call(req, &batch)
	switch {
	case refusal != nil && refusal.Batch != nil:
		return *refusal.Batch, err
	case err != nil:
		return platform.Batch{}, readOnly(err)
	}
	return batch, nil
}

// Close closes idle connections.
func (l *Log) Close() { l.transport.CloseIdleConnections() }

// Instances is the platform's instance list over HTTP. It keeps the last list and transfers
// it again only when it has changed. It is safe for concurrent use.
type Instances struct {
	client
	url string

	mu sync.Mutex
	// etag names the kept list; empty if the service has given none.
	etag string
	rows []platform.Instance
}

var _ platform.Instances = (*Instances)(nil)

// NewInstances returns a client of the list at a base URL such as http://127.0.0.1:7102.
func NewInstances(baseURL string, o Options) *Instances {
	return &Instances{client: client{newTransport(o)}, url: baseURL + InstancesPath}
}

// List implements platform.Instances.
func (i *Instances) List(ctx context.Context) ([]platform.Instance, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, i.url, nil)
	if err != nil {
		return nil, badRequest(err)
	}
	etag, kept := i.kept()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := roundTrip(i.transport, req)
	if err != nil {
		return nil, readOnly(err)
	}
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return slices.Clone(kept), nil
	}
	var answer InstancesResponse
	if _, err := decodeAnswer(resp, &answer); err != nil {
		return nil, readOnly(err)
	}
	i.keep(resp.Header.Get("ETag"), answer.Instances)
	return slices.Clone(answer.Instances), nil
}

func (i *Instances) kept() (etag string, rows []platform.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.etag, i.rows
}

func (i *Instances) keep(etag string, rows []platform.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.etag, i.rows = etag, rows
}

// Close closes idle connections.
func (i *Instances) Close() { i.transport.CloseIdleConnections() }
