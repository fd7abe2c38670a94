package httpclient

import (
	"io"
	"net/http"
	"net/url"

	"github.com/oleanderbend/oleanderbend/internal/platform"
)

// Targets sends requests to targets. It is safe for concurrent use.
type Targets struct {
	transport *http.Transport
}

var _ platform.Targets = (*Targets)(nil)

// NewTargets returns a client of targets.
func NewTargets(o Options) *Targets { return &Targets{transport: newTransport(o)} }

// RoundTrip implements platform.Targets. It calls the hooks of net/http/httptrace in the request's
// context. The error wraps ErrUnavailable if no byte of the request was written, and
// ErrUnknownOutcome otherwise. The request's header is sent unchanged, except that the User-Agent
// of net/http is added if it has none.
func (t *Targets) RoundTrip(target platform.Instance, req *http.Request) (*http.Response, error) {
	out := new(http.Request)
	*out = *req
	out.URL = new(url.URL)
	*out.URL = *req.URL
	out.URL.Scheme, out.URL.Host = "http", target.Addr
	preventReplay(out)
	return roundTrip(t.transport, out)
}

// Close closes idle connections.
func (t *Targets) Close() { t.transport.CloseIdleConnections() }

// preventReplay prevents net/http from sending a request a second time. The transport repeats a
// request on another connection if a reused connection breaks, provided that the body is empty or
// can be rewound and that the method or an Idempotency-Key suggests that this is safe. With a body
// that is not empty and cannot be rewound it never does.
func preventReplay(req *http.Request) {
	req.GetBody = nil
	if req.Body != nil && req.Body != http.NoBody {
		return
	}
	switch req.Method {
	case "", http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
	default:
		if !hasIdempotencyKey(req.Header) {
			return
		}
	}
	req.Body = emptyBody{}
	req.ContentLength = 0
}

// hasIdempotencyKey reports whether the header has a field by which net/http regards the request
// as idempotent.
func hasIdempotencyKey(h http.Header) bool {
	return h[platform.HeaderIdempotencyKey] != nil || h["X-Idempotency-Key"] != nil
}

// emptyBody is an empty body that net/http does not recognise as empty.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }
func (emptyBody) Close() error             { return nil }
