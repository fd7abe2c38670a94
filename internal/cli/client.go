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

// errUnknownOutcome is wrapped by the errors of writes that may have taken effect.
var errUnknownOutcome = errors.New("outcome unknown")

// errNoServer means that no server answered.
var errNoServer = errors.New("no server answered")

const (
	// defaultServer is the operator address of the first instance in examples/tumaini.
	defaultServer = "127.0.0.1:7161"
	// rounds is how often the list of servers is tried.
	rounds = 3
	// roundPause is the pause between two rounds.
	roundPause = 500 * time.Millisecond
	// maxAnswerBytes bounds one answer.
	maxAnswerBytes = 64 << 20
)

// clientFlags are the flags of all commands that talk to a server.
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
	fs.DurationVar(&f.timeout, "timeout", 15*time.Second, "time limit for each server's answer")
	fs.StringVar(&f.output, "o", "text", "output format: text or json")
}

// client sends requests to the first server that answers.
type client struct {
	servers []string
	token   string
	timeout time.Duration
	json    bool
	http    *http.Client
}

// newClient checks the flags. Its errors wrap errUsage.
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
		return nil, eris.Wrap(errUsage, "--server names no address")
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

// operand is what a command on a kind of resource works on.
type operand struct {
	client *client
	kind   resource.Kind
	// args are the arguments, the kind first.
	args []string
}

// parseOperand reads exactly n arguments, of which the first is a kind. Its errors wrap errUsage.
func (f *clientFlags) parseOperand(fs *flag.FlagSet, args []string, n int, need string) (operand, error) {
	args, err := parseInterleaved(fs, args)
	if err != nil {
		return operand{}, err
	}
	if len(args) != n {
		return operand{}, eris.Wrap(errUsage, need)
	}
	kind, err := parseKind(args[0])
	if err != nil {
		return operand{}, err
	}
	c, err := f.newClient()
	return operand{client: c, kind: kind, args: args}, err
}

// call is one request to the API.
type call struct {
	method string
	path   string
	query  url.Values
	header http.Header
	body   []byte
}

// answer is a whole answer of a server.
type answer struct {
	status int
	header http.Header
	body   []byte
	server string
}

// attempts is what is known after some servers were tried.
type attempts struct {
	last    answer
	lastErr error
	// unknown is set if a server may have carried out a write without saying so.
	unknown bool
	// refused is set if every server of the last round refused because it is not available.
	refused bool
}

// do sends the call to one server after another, with the same request id, until one gives an
// answer that another could not improve. A write that a server may have carried out stays
// unknown if no later answer settles it. The answer may be an error: see answer.err.
func (c *client) do(ctx context.Context, call call) (answer, error) {
	if call.header == nil {
		call.header = http.Header{}
	}
	write := call.method != http.MethodGet
	if write && call.header.Get(platform.HeaderIdempotencyKey) == "" {
		call.header.Set(platform.HeaderIdempotencyKey, uuid.NewString())
	}
	var tried attempts
	for round := range rounds {
		if round > 0 && !pause(ctx, roundPause) {
			break
		}
		if c.tryServers(ctx, call, &tried) {
			if !write || !tried.unknown || tried.last.status < http.StatusBadRequest || c.hasVerdict(ctx, call, tried.last.server) {
				return tried.last, nil
			}
			// A check before the write refused it, which says nothing of the earlier attempt.
			break
		}
		// A refusal by every server means that the log is down, which a few more rounds do not
		// outlast.
		if tried.refused && !tried.unknown {
			break
		}
	}
	if write && tried.unknown {
		id := call.header.Get(platform.HeaderIdempotencyKey)
		return tried.last, eris.Wrapf(errUnknownOutcome, "request %s may have taken effect; ask with `oleanderbend get request %s` or repeat the command with --request-id %s", id, id, id)
	}
	if tried.lastErr != nil {
		return tried.last, eris.Wrapf(errNoServer, "%s: %v; check --server and that the instance runs", strings.Join(c.servers, ", "), tried.lastErr)
	}
	return tried.last, nil
}

// hasVerdict reports whether the server knows what became of the call's request id.
func (c *client) hasVerdict(ctx context.Context, write call, server string) bool {
	path := "/v1/requests/" + url.PathEscape(write.header.Get(platform.HeaderIdempotencyKey))
	got, err := c.send(ctx, server, call{method: http.MethodGet, path: path})
	return err == nil && got.status == http.StatusOK
}

// tryServers tries each server once and reports whether one settled the call.
func (c *client) tryServers(ctx context.Context, call call, tried *attempts) bool {
	tried.refused = true
	for _, server := range c.servers {
		if ctx.Err() != nil {
			return false
		}
		got, err := c.send(ctx, server, call)
		if err != nil {
			tried.lastErr, tried.refused = err, false
			tried.unknown = tried.unknown || mayHaveArrived(err)
			continue
		}
		tried.last, tried.lastErr = got, nil
		if settled(got.status) {
			return true
		}
		tried.refused = tried.refused && got.status == http.StatusServiceUnavailable
		tried.unknown = tried.unknown || got.status == http.StatusGatewayTimeout
	}
	return false
}

// settled reports whether another server would give the same answer.
func settled(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout, http.StatusBadGateway, http.StatusTooManyRequests:
		return false
	default:
		return true
	}
}

// mayHaveArrived reports whether a failed request may have reached the server. One whose
// connection was never made has not.
func mayHaveArrived(err error) bool {
	var dial *dialError
	return !errors.As(err, &dial)
}

// dialError means that no connection was made.
type dialError struct{ cause error }

// Error implements error.
func (e *dialError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }

func pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends the call to one server and reads the whole answer.
func (c *client) send(ctx context.Context, server string, call call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.open(ctx, server, call)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, eris.Wrapf(err, "answer of %s", server)
	}
	return answer{status: response.StatusCode, header: response.Header, body: body, server: server}, nil
}

// open sends the call and returns the answer's head.
func (c *client) open(ctx context.Context, server string, call call) (*http.Response, error) {
	target := server + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
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

// err returns the problem of an answer, or nil for a success.
func (a answer) err() error {
	if a.status < http.StatusBadRequest {
		return nil
	}
	var p api.Problem
	if json.Unmarshal(a.body, &p) != nil || p.Status == 0 {
		return eris.Errorf("%s answered %d", a.server, a.status)
	}
	return &p
}

// getJSON reads a path into value.
func (c *client) getJSON(ctx context.Context, path string, query url.Values, value any) (answer, error) {
	got, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return got, err
	}
	if err := got.err(); err != nil {
		return got, err
	}
	if err := json.Unmarshal(got.body, value); err != nil {
		return got, eris.Wrapf(err, "answer of %s", got.server)
	}
	return got, nil
}

// writeJSONLine prints a value as JSON.
func writeJSONLine(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func printf(w io.Writer, format string, args ...any) error {
	_, err := fmt.Fprintf(w, format, args...)
	return err
}
