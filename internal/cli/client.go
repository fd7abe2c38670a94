package cli

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// errUnknownOutcome is wrapped by errors of writes that may have taken effect.
var errUnknownOutcome = errors.New("outcome unknown")

// errNoResponse is wrapped by errors of calls to which no server responded.
var errNoResponse = errors.New("no server responded")

const (
	// defaultServer is the operator address of the first instance in examples/tumaini.
	defaultServer = "127.0.0.1:7161"
	// maxRounds is the maximum number of times that the list of servers is tried.
	maxRounds = 3
	// retryInterval is the time between two rounds.
	retryInterval = 500 * time.Millisecond
	// maxResponseBytes limits how much of the body of a response is read.
	maxResponseBytes = 64 << 20
)

// clientFlags are the flags of all commands that send requests to a server.
type clientFlags struct {
	servers   string
	tokenFile string
	caFile    string
	timeout   time.Duration
	output    string
}

func (f *clientFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.servers, "server", defaultServer, "operator addresses to try in turn, separated by commas; a prefix https:// uses TLS")
	fs.StringVar(&f.tokenFile, "token-file", "", "file with the bearer token")
	fs.StringVar(&f.caFile, "ca-file", "", "PEM file with the certificates to trust, for https:// servers")
	fs.DurationVar(&f.timeout, "timeout", 15*time.Second, "timeout for the response of each server")
	fs.StringVar(&f.output, "o", "text", "output format: text or json")
}

// client sends requests to one of several servers, which it tries in turn.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	json    bool
	http    *http.Client
}

// newClient validates the flags and returns a client. Its errors wrap errUsage.
func (f *clientFlags) newClient() (*client, error) {
	if f.output != "text" && f.output != "json" {
		return nil, eris.Wrapf(errUsage, "-o %q must be text or json", f.output)
	}
	c := &client{timeout: f.timeout, json: f.output == "json"}
	for server := range strings.SplitSeq(f.servers, ",") {
		server = strings.TrimSuffix(strings.TrimSpace(server), "/")
		if server == "" {
			continue
		}
		if !strings.Contains(server, "://") {
			server = "http://" + server
		}
		c.servers = append(c.servers, server)
	}
	if len(c.servers) == 0 {
		return nil, eris.Wrap(errUsage, "--server has no address")
	}
	if f.tokenFile != "" {
		data, err := os.ReadFile(f.tokenFile)
		if err != nil {
			return nil, eris.Wrapf(errUsage, "--token-file: %v", err)
		}
		c.token = strings.TrimSpace(string(data))
	}
	transport := &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}
	if f.caFile != "" {
		pem, err := os.ReadFile(f.caFile)
		if err != nil {
			return nil, eris.Wrapf(errUsage, "--ca-file: %v", err)
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return nil, eris.Wrapf(errUsage, "--ca-file %s has no certificate", f.caFile)
		}
		transport.TLSClientConfig.RootCAs = pool
	}
	c.http = &http.Client{Transport: transport}
	return c, nil
}

// resourceArgs has the arguments of a command that works on one kind of resource, and the client for it.
type resourceArgs struct {
	client *client
	kind   resource.Kind
	// args are the arguments; the first is the kind.
	args []string
}

// parseResourceArgs parses exactly n arguments, of which the first is a kind. If their number is wrong, it
// returns an error with the text usage. Its errors wrap errUsage or flag.ErrHelp.
func (f *clientFlags) parseResourceArgs(fs *flag.FlagSet, args []string, n int, usage string) (resourceArgs, error) {
	args, err := parseInterleaved(fs, args)
	if err != nil {
		return resourceArgs{}, err
	}
	if len(args) != n {
		return resourceArgs{}, eris.Wrap(errUsage, usage)
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return resourceArgs{}, err
	}
	c, err := f.newClient()
	return resourceArgs{client: c, kind: kind, args: args}, err
}

// call is one request to the API.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// serverResponse is the response of one server, with its whole body.
type serverResponse struct {
	status int
	header http.Header
	body   []byte
	server string
}

// attemptState is the state of a call over its attempts on several servers.
type attemptState struct {
	// response is the last response that was received.
	response serverResponse
	// err is the error of the last attempt, or nil if that attempt got a response.
	err error
	// outcomeUnknown is set if a server may have carried out the write without confirming it.
	outcomeUnknown bool
	// allUnavailable is set if every server responded with 503 (Service Unavailable) in the last round.
	allUnavailable bool
}

// do sends the call to one server after another, with the same request id, until one returns a final
// response. If a server may have carried out a write, its outcome is unknown unless a later attempt
// succeeds or a server has a recorded verdict; the error then wraps errUnknownOutcome. The response may itself be an error: see
// serverResponse.err.
func (c *client) do(ctx context.Context, call call) (serverResponse, error) {
	if call.header == nil {
		call.header = http.Header{}
	}
	write := call.method != http.MethodGet
	if write && call.header.Get(platform.HeaderIdempotencyKey) == "" {
		call.header.Set(platform.HeaderIdempotencyKey, uuid.NewString())
	}
	var state attemptState
	for round := range maxRounds {
		if round > 0 && !sleep(ctx, retryInterval) {
			break
		}
		if c.tryServers(ctx, call, &state) {
			if !write || !state.outcomeUnknown || state.response.status < http.StatusBadRequest || c.hasRecordedVerdict(ctx, call, state.response.server) {
				return state.response, nil
			}
			// The write was rejected by a check before it was recorded, which does not tell whether an
			// earlier attempt took effect.
			break
		}
		// If every server is unavailable, the log is probably down. More rounds are not tried because an
		// outage of the log lasts longer than they would.
		if state.allUnavailable && !state.outcomeUnknown {
			break
		}
	}
	if write && state.outcomeUnknown {
		id := call.header.Get(platform.HeaderIdempotencyKey)
		return state.response, eris.Wrapf(errUnknownOutcome, "request %s may have taken effect; query it with `oleanderbend get request %s` or repeat the command with --request-id %s", id, id, id)
	}
	if state.err != nil {
		return state.response, eris.Wrapf(errNoResponse, "%s: %v; check --server and that the instance runs", strings.Join(c.servers, ", "), state.err)
	}
	return state.response, nil
}

// hasRecordedVerdict reports whether the server has a recorded verdict for the request id of a write.
func (c *client) hasRecordedVerdict(ctx context.Context, writeCall call, server string) bool {
	path := "/v1/requests/" + url.PathEscape(writeCall.header.Get(platform.HeaderIdempotencyKey))
	got, err := c.send(ctx, server, call{method: http.MethodGet, path: path})
	return err == nil && got.status == http.StatusOK
}

// tryServers tries each server once, until one returns a final response. It reports whether one did.
func (c *client) tryServers(ctx context.Context, call call, state *attemptState) bool {
	state.allUnavailable = true
	for _, server := range c.servers {
		if ctx.Err() != nil {
			return false
		}
		got, err := c.send(ctx, server, call)
		if err != nil {
			state.err, state.allUnavailable = err, false
			state.outcomeUnknown = state.outcomeUnknown || mayHaveReachedServer(err)
			continue
		}
		state.response, state.err = got, nil
		if isFinalStatus(got.status) {
			return true
		}
		state.allUnavailable = state.allUnavailable && got.status == http.StatusServiceUnavailable
		state.outcomeUnknown = state.outcomeUnknown || got.status == http.StatusGatewayTimeout
	}
	return false
}

// isFinalStatus reports whether an HTTP status is final: another server would return the same.
func isFinalStatus(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusTooManyRequests:
		return false
	default:
		return true
	}
}

// mayHaveReachedServer reports whether a failed request may have reached the server. It has not if no
// connection was made.
func mayHaveReachedServer(err error) bool {
	var dial *dialError
	return !errors.As(err, &dial)
}

// dialError means that no connection was made.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

// sleep waits for d or until ctx is done. It reports whether the whole time has passed.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the call to one server and reads the whole response.
func (c *client) send(ctx context.Context, server string, call call) (serverResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, server, call)
	if err != nil {
		return serverResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return serverResponse{}, eris.Wrapf(err, "response of %s", server)
	}
	return serverResponse{status: response.StatusCode, header: response.Header, body: body, server: server}, nil
}

// open sends the call to one server and returns the response with an open body, which the caller must
// close.
func (c *client) open(ctx context.Context, server string, call call) (*http.Response, error) {
	address := server + call.path
	if len(call.query) > 0 {
		address += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, address, bytes.NewReader(call.body))
	if err != nil {
		return nil, &dialError{cause: err}
	}
	for key, values := range call.header {
		request.Header[key] = values
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, classifyDial(err)
	}
	return response, nil
}

// err returns nil if the status of the response is below 400. Otherwise it returns the *api.Problem in
// the body, or an error with the status if the body has none.
func (r serverResponse) err() error {
	if r.status < http.StatusBadRequest {
		return nil
	}
	var p api.Problem
	if json.Unmarshal(r.body, &p) != nil || p.Status == 0 {
		return eris.Errorf("%s responded with HTTP status %d", r.server, r.status)
	}
	return &p
}

// getJSON sends a GET request and decodes the JSON response into value.
func (c *client) getJSON(ctx context.Context, path string, query url.Values, value any) (serverResponse, error) {
	got, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return got, err
	}
	if err := got.err(); err != nil {
		return got, err
	}
	if err := json.Unmarshal(got.body, value); err != nil {
		return got, eris.Wrapf(err, "response of %s", got.server)
	}
	return got, nil
}

// writeJSON writes a value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printf(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}
