package cli

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"strconv"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/platform"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

const exitHelp = `
EXIT CODES
  0  success
  1  a write was refused or the command failed; a refused resource is unchanged
  2  the command line or a file is invalid; nothing was sent
  3  the outcome of a write is unknown; the message says how to query it
`

func applyCommand(env Env) *ffcli.Command {
	fs := newFlagSet("apply", env)
	var flags clientFlags
	flags.register(fs)
	var writes writeFlags
	writes.register(fs)
	file := fs.String("f", "", "file of resources in TOML or JSON; - reads standard input")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "oleanderbend apply -f FILE [flags]",
		ShortHelp:  "create or change the resources of a file",
		LongHelp: `Resources are written in the order organisations, policies, guarantees, jobs. If a
resource is refused, the command continues with the next one. It reports the result for every
resource and can be repeated safely.

EXAMPLES
  oleanderbend apply -f org.toml
  oleanderbend apply -f job.toml --if-version 42
  oleanderbend get policy default -o json | oleanderbend apply -f -
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return eris.Wrap(errUsage, "apply needs -f FILE and no other argument")
			}
			objects, err := readResources(*file, env.Stdin)
			if err != nil {
				return err
			}
			c, err := flags.newClient()
			if err != nil {
				return err
			}
			return applyAll(ctx, env, c, writes, objects)
		},
	}
}

// applyResult is the result of applying one resource.
type applyResult struct {
	Resource string `json:"resource"`
	// Result is created, changed, unchanged, refused or unknown. Refused means that the write was rejected,
	// or not sent because the resource could not be read. Result is empty if the resource could not be
	// encoded, or the response to the write could not be decoded.
	Result  string          `json:"result"`
	Version uint64          `json:"resourceVersion,omitempty"`
	Change  string          `json:"change,omitempty"`
	Error   string          `json:"error,omitempty"`
	Request string          `json:"request"`
	Object  json.RawMessage `json:"object,omitempty"`
}

func applyAll(ctx context.Context, env Env, c *client, writes writeFlags, objects []resource.Object) error {
	if len(objects) > 1 && writes.ifVersion != 0 {
		return eris.Wrap(errUsage, "--if-version needs a file with one resource")
	}
	var failures []error
	for i, object := range objects {
		result, err := applyOne(ctx, c, writes, i, object)
		if err != nil {
			failures = append(failures, eris.Wrap(err, result.Resource))
		}
		if err := printApplyResult(env, c, result); err != nil {
			return err
		}
	}
	return joinFailures(failures)
}

// joinFailures joins the errors of all resources and returns nil if there are none. The exit code is the
// first of ExitUsage, ExitUnknown and ExitFailure that applies to any of the errors.
func joinFailures(failures []error) error {
	if len(failures) == 0 {
		return nil
	}
	return errors.Join(failures...)
}

// applyOne writes one resource and reports whether that created or changed it.
func applyOne(ctx context.Context, c *client, writes writeFlags, index int, object resource.Object) (applyResult, error) {
	result := applyResult{Resource: resourceKey(object), Request: writes.requestIDFor(index)}
	before, err := c.fetch(ctx, object)
	if err != nil {
		result.Result, result.Error = "refused", err.Error()
		return result, err
	}
	body, err := api.EncodeObject(object)
	if err != nil {
		return result, err
	}
	got, before, err := c.putIfUnmodified(ctx, writes, result.Request, object, before, body)
	if err != nil {
		result.Result, result.Error = "refused", err.Error()
		if isOutcomeUnknown(err) {
			result.Result = "unknown"
		}
		return result, err
	}
	after, err := api.DecodeObject(object.Kind(), got.body)
	if err != nil {
		return result, err
	}
	result.Object, result.Version = got.body, after.Meta().ResourceVersion
	result.describe(before, after, got.status)
	return result, nil
}

// maxConflictRetries limits the retries of a write whose resource had a change of status after it was read.
const maxConflictRetries = 5

// putIfUnmodified writes a resource on condition that it has not been modified since it was read as
// before, so that the change of another operator is not overwritten unnoticed. If only the status of
// the resource has changed, the write is retried with the new version. It returns the resource as it
// was before the write.
func (c *client) putIfUnmodified(ctx context.Context, writes writeFlags, id string, object, before resource.Object, body []byte) (serverResponse, resource.Object, error) {
	versionGiven := writes.ifVersion != 0 || object.Meta().ResourceVersion != 0
	for retries := 0; ; retries++ {
		header := writes.header(id)
		if retries > 0 {
			header.Set(platform.HeaderIdempotencyKey, fmt.Sprintf("%s-%d", id, retries))
		}
		setPrecondition(header, object, before)
		got, err := c.do(ctx, call{
			method: http.MethodPut, path: objectPath(object.Kind(), object.Meta().Name), body: body, header: header,
		})
		if err == nil {
			err = got.err()
		}
		if err == nil || retries == maxConflictRetries || versionGiven || before == nil || !isConflict(err) {
			return got, before, err
		}
		current, fetchErr := c.fetch(ctx, object)
		if fetchErr != nil || current == nil || current.Meta().Generation != before.Meta().Generation {
			return got, before, err
		}
		before = current
	}
}

// setPrecondition makes a write conditional on the version that was read, unless the operator or the
// file specifies a version.
func setPrecondition(header http.Header, object, before resource.Object) {
	switch {
	case header.Get("If-Match") != "" || object.Meta().ResourceVersion != 0:
	case before == nil:
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(before.Meta().ResourceVersion, 10)))
	}
}

// isConflict reports whether a write was rejected because its resource has changed.
func isConflict(err error) bool {
	var p *api.Problem
	return errors.As(err, &p) && (p.Status == http.StatusPreconditionFailed || p.Status == http.StatusConflict)
}

// describe sets Result and Change from the resource before and after the write.
func (r *applyResult) describe(before, after resource.Object, status int) {
	switch {
	case status == http.StatusCreated || before == nil:
		r.Result = "created"
	case before.Meta().Generation == after.Meta().Generation && sameLabels(before, after):
		r.Result = "unchanged"
	default:
		r.Result = "changed"
		r.Change = diffSpecs(before, after)
	}
}

func printApplyResult(env Env, c *client, result applyResult) error {
	if c.json {
		return writeJSON(env.Stdout, result)
	}
	if result.Error != "" {
		return printf(env.Stdout, "%s %s\n", result.Resource, result.Result)
	}
	line := fmt.Sprintf("%s %s, version %d", result.Resource, result.Result, result.Version)
	if result.Change != "" {
		line += ": " + result.Change
	}
	return printf(env.Stdout, "%s\n", line)
}

// fetch returns the current state of a resource, or nil if it does not exist.
func (c *client) fetch(ctx context.Context, object resource.Object) (resource.Object, error) {
	got, err := c.do(ctx, call{method: http.MethodGet, path: objectPath(object.Kind(), object.Meta().Name)})
	if err != nil {
		return nil, err
	}
	if got.status == http.StatusNotFound {
		return nil, nil
	}
	if err := got.err(); err != nil {
		return nil, err
	}
	return api.DecodeObject(object.Kind(), got.body)
}

func objectPath(kind resource.Kind, name string) string { return "/v1/" + string(kind) + "/" + name }

// writeFlags are the flags of commands that write.
type writeFlags struct {
	// requestID is sent as the idempotency key of the write.
	requestID string
	ifVersion uint64
}

func (f *writeFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.requestID, "request-id", "", "idempotency key: a write repeated with the same id takes effect once; random by default")
	fs.Uint64Var(&f.ifVersion, "if-version", 0, "write only if this is the current resource version; 0 accepts any version")
}

// requestIDFor returns the request id, sent as the idempotency key, for the resource at the given index of
// the file.
func (f *writeFlags) requestIDFor(index int) string {
	switch {
	case f.requestID == "":
		return uuid.NewString()
	case index == 0:
		return f.requestID
	default:
		return fmt.Sprintf("%s.%d", f.requestID, index)
	}
}

func (f *writeFlags) header(id string) http.Header {
	header := http.Header{}
	header.Set(platform.HeaderIdempotencyKey, id)
	if f.ifVersion != 0 {
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(f.ifVersion, 10)))
	}
	return header
}

// isOutcomeUnknown reports whether, after the error, the outcome of a write is unknown.
func isOutcomeUnknown(err error) bool {
	var p *api.Problem
	return errors.Is(err, errUnknownOutcome) || errors.As(err, &p) && p.Outcome == api.OutcomeUnknown
}
