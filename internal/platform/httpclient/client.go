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

// client makes calls with JSON responses.
type client struct {
	transport *http.Transport
}

// call sends req once and decodes a successful response into out. The error wraps one of the
// errors of package platform. errorResponse is set if the service rejected the operation with a
// known error code.
func (c client) call(req *http.Request, out any) (errorResponse *ErrorResponse, err error) {
	resp, err := roundTrip(c.transport, req)
	if err != nil {
		return nil, err
	}
	defer drain(resp.Body)
	return decodeResponse(resp, out)
}

func decodeResponse(resp *http.Response, out any) (*ErrorResponse, error) {
	if resp.StatusCode/100 != 2 {
		return readErrorResponse(resp)
	}
	if out == nil || resp.StatusCode == http.StatusNoContent {
		return nil, nil
	}
	if err := decodeBounded(resp.Body, MaxResponseBytes, out); err != nil {
		return nil, &callError{platform.ErrUnknownOutcome, fmt.Errorf("decode response: %w", err)}
	}
	return nil, nil
}

func readErrorResponse(resp *http.Response) (*ErrorResponse, error) {
	var errorResponse ErrorResponse
	err := decodeBounded(resp.Body, maxErrorResponseBytes, &errorResponse)
	if err != nil || errorForCode(errorResponse.Code) == nil {
		return nil, &callError{platform.ErrUnknownOutcome, fmt.Errorf("HTTP status %d without a known error code", resp.StatusCode)}
	}
	return &errorResponse, fmt.Errorf("%w: %s", errorForCode(errorResponse.Code), errorResponse.Message)
}

var (
	errResponseTooLarge = errors.New("httpclient: response too large")
	errNoOffset         = errors.New("httpclient: response without an offset")
)

// decodeBounded decodes one JSON value of at most limit bytes.
func decodeBounded(r io.Reader, limit int64, out any) error {
	data, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return fmt.Errorf("%w: more than %d bytes", errResponseTooLarge, limit)
	}
	return json.Unmarshal(data, out)
}

// maxDrainBytes limits how much of an unread response body drain reads so that the connection
// can be reused.
const maxDrainBytes = 4 << 10

func drain(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, maxDrainBytes)
	_ = body.Close()
}

// callError is the error of a failed call: outcome is an error of package platform, cause is the
// underlying error, such as a context's error.
type callError struct{ outcome, cause error }

// Error implements error.
func (e *callError) Error() string { return e.outcome.Error() + ": " + e.cause.Error() }

// Unwrap returns the outcome and the cause, for errors.Is and errors.As.
func (e *callError) Unwrap() []error { return []error{e.outcome, e.cause} }

// readError converts ErrUnknownOutcome to ErrUnavailable, because a read has no effect. It returns
// other errors unchanged.
func readError(err error) error {
	var failed *callError
	if errors.As(err, &failed) && failed.outcome == platform.ErrUnknownOutcome {
		return &callError{platform.ErrUnavailable, failed.cause}
	}
	return err
}

// buildError returns the error of a request that could not be built: ErrUnavailable, because
// nothing was sent.
func buildError(err error) error { return &callError{platform.ErrUnavailable, err} }

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
		return 0, buildError(err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	var response AppendResponse
	if _, err := l.call(req, &response); err != nil {
		return 0, err
	}
	if response.Offset == 0 {
		return 0, &callError{platform.ErrUnknownOutcome, errNoOffset}
	}
	return response.Offset, nil
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
		return platform.Batch{}, buildError(err)
	}
	var batch platform.Batch
	errorResponse, err := l.call(req, &batch)
	switch {
	case errorResponse != nil && errorResponse.Batch != nil:
		return *errorResponse.Batch, err
	case err != nil:
		return platform.Batch{}, readError(err)
	}
	return batch, nil
}

// Close closes idle connections.
func (l *Log) Close() { l.transport.CloseIdleConnections() }

// Instances is the platform's instance list over HTTP. It caches the last list and transfers it
// again only when its entity tag has changed. It is safe for concurrent use.
type Instances struct {
	client
	url string

	mu sync.Mutex
	// etag is the entity tag of rows, empty if the response had none.
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
		return nil, buildError(err)
	}
	etag, cachedRows := i.cached()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := roundTrip(i.transport, req)
	if err != nil {
		return nil, readError(err)
	}
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return slices.Clone(cachedRows), nil
	}
	var response InstancesResponse
	if _, err := decodeResponse(resp, &response); err != nil {
		return nil, readError(err)
	}
	i.cache(resp.Header.Get("ETag"), response.Instances)
	return slices.Clone(response.Instances), nil
}

func (i *Instances) cached() (etag string, rows []platform.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.etag, i.rows
}

func (i *Instances) cache(etag string, rows []platform.Instance) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.etag, i.rows = etag, rows
}

// Close closes idle connections.
func (i *Instances) Close() { i.transport.CloseIdleConnections() }
