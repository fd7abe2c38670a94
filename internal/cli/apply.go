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
  0  done
  1  refused or failed; nothing of the refused resource was changed
  2  the command line or a file is invalid; nothing was sent
  3  the outcome of a write is not known; the message says how to find out
`

func applyCommand(env Env) *ffcli.Command {
	fs := newFlagSet("apply", env)
	var flags clientFlags
	flags.register(fs)
	var writes writeFlags
	writes.register(fs)
	file := fs.String("f", "", "file of resources, TOML or JSON; - reads the standard input")
	return &ffcli.Command{
		Name:       "apply",
		ShortUsage: "oleanderbend apply -f FILE [flags]",
		ShortHelp:  "create or change the resources of a file",
		LongHelp: `Resources are written in the order organisations, policies, guarantees, jobs. The command goes
on after a refusal, reports every resource, and can be repeated safely.

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

// applyResult is what became of one resource.
type applyResult struct {
	Resource string `json:"resource"`
	// Result is created, changed, unchanged, refused or unknown.
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
		if err := printApplied(env, c, result); err != nil {
			return err
		}
	}
	return joinFailures(failures)
}

// joinFailures keeps the most serious class of the errors, so that the exit code is right.
func joinFailures(failures []error) error {
	if len(failures) == 0 {
		return nil
	}
	return errors.Join(failures...)
}

// applyOne writes one resource, unless it already is as the file says.
func applyOne(ctx context.Context, c *client, writes writeFlags, index int, object resource.Object) (applyResult, error) {
	result := applyResult{Resource: resourceKey(object), Request: writes.idFor(index)}
	before, err := c.fetch(ctx, object)
	if err != nil {
		result.Result, result.Error = "refused", err.Error()
		return result, err
	}
	body, err := api.EncodeObject(object)
	if err != nil {
		return result, err
	}
	got, before, err := c.putRead(ctx, writes, result.Request, object, before, body)
	if err != nil {
		result.Result, result.Error = "refused", err.Error()
		if isUnknown(err) {
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

// maxRereads bounds how often a write is tried again because the status of its resource changed
// after it was read.
const maxRereads = 5

// putRead writes a resource on the condition that it still is as it was read, so that another
// operator's change is not undone silently. Changes of its status alone do not count. It returns
// the state that was replaced.
func (c *client) putRead(ctx context.Context, writes writeFlags, id string, object, before resource.Object, body []byte) (answer, resource.Object, error) {
	named := writes.ifVersion != 0 || object.Meta().ResourceVersion != 0
	for tries := 0; ; tries++ {
		header := writes.header(id)
		if tries > 0 {
			header.Set(platform.HeaderIdempotencyKey, fmt.Sprintf("%s-%d", id, tries))
		}
		bindVersion(header, object, before)
		got, err := c.do(ctx, call{
			method: http.MethodPut, path: objectPath(object.Kind(), object.Meta().Name), body: body, header: header,
		})
		if err == nil {
			err = got.err()
		}
		if err == nil || tries == maxRereads || named || before == nil || !isStale(err) {
			return got, before, err
		}
		current, fetchErr := c.fetch(ctx, object)
		if fetchErr != nil || current == nil || current.Meta().Generation != before.Meta().Generation {
			return got, before, err
		}
		before = current
	}
}

// bindVersion makes a write conditional on what was read, unless the operator or the file names
// a version.
func bindVersion(header http.Header, object, before resource.Object) {
	switch {
	case header.Get("If-Match") != "" || object.Meta().ResourceVersion != 0:
	case before == nil:
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", strconv.Quote(strconv.FormatUint(before.Meta().ResourceVersion, 10)))
	}
}

// isStale says whether a write was refused because its resource has changed.
func isStale(err error) bool {
	var p *api.Problem
	return errors.As(err, &p) && (p.Status == http.StatusPreconditionFailed || p.Status == http.StatusConflict)
}

// describe says what the write changed.
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

func printApplied(env Env, c *client, result applyResult) error {
	if c.json {
		return writeJSONLine(env.Stdout, result)
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

// fetch returns the current form of a resource, or nil if there is none.
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
	requestID string
	ifVersion uint64
}

func (f *writeFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.requestID, "request-id", "", "id that makes a repeated write have one effect; default random")
	fs.Uint64Var(&f.ifVersion, "if-version", 0, "write only if this is the current resource version; 0 accepts any")
}

// idFor returns the request id of the resource at an index of the file.
func (f *writeFlags) idFor(index int) string {
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

// isUnknown reports whether the error leaves the outcome of a write open.
func isUnknown(err error) bool {
	var p *api.Problem
	return errors.Is(err, errUnknownOutcome) || errors.As(err, &p) && p.Outcome == api.OutcomeUnknown
}
