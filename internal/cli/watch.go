package cli

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

// maxWatchLineBytes bounds one line of a watch.
const maxWatchLineBytes = 1 << 20

func watchCommand(env Env) *ffcli.Command {
	fs := newFlagSet("watch", env)
	var flags clientFlags
	flags.register(fs)
	selector := fs.String("l", "", "label selector, for example team=a,tier!=b,batch")
	from := fs.Uint64("from", 0, "resume after this resource version; 0 begins with all resources")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "oleanderbend watch [flags] KIND",
		ShortHelp:  "show the resources of a kind and then each change",
		LongHelp: `The watch goes on with another server when one fails, and resumes where it was. It ends with an
interrupt (exit code 0) or when the changes since --from are no longer kept (exit code 1). If
changes are missed later, all resources are shown again, with a note on the standard error.

EXAMPLES
  oleanderbend watch jobs
  oleanderbend watch jobs -l team=a -o json
  oleanderbend watch policies --from 120
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			operand, err := flags.parseOperand(fs, args, 1, "watch needs a kind")
			if err != nil {
				return err
			}
			w := &watchRun{env: env, client: operand.client, kind: operand.kind, selector: *selector, version: *from, resumes: *from != 0}
			return w.run(ctx)
		},
	}
}

// watchRun is one run of the command.
type watchRun struct {
	env      Env
	client   *client
	kind     resource.Kind
	selector string
	version  uint64
	// resumes is set once the version is one to resume from.
	resumes bool
	// begun is set once a line has come.
	begun bool
}

// run follows one server after another until ctx is done or a server refuses for good.
func (w *watchRun) run(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		server := w.client.servers[failures%len(w.client.servers)]
		progressed, err := w.follow(ctx, server)
		if ctx.Err() != nil {
			return nil
		}
		var p *api.Problem
		if errors.As(err, &p) && settled(p.Status) {
			if p.Status != http.StatusGone || !w.begun {
				return err
			}
			// The server no longer has the changes since, so all resources are shown again.
			w.version, w.resumes, w.begun = 0, false, false
			if err := printf(w.env.Stderr, "changes were missed; showing all %s again\n", w.kind); err != nil {
				return err
			}
		}
		failures++
		if progressed {
			failures = 1
		}
		if failures >= rounds*len(w.client.servers) && !progressed {
			return eris.Wrapf(errNoServer, "last error: %v; check --server and that the instance runs", err)
		}
		pause(ctx, roundPause)
	}
	return nil
}

// follow reads the watch of one server until it ends. It reports whether any line came.
func (w *watchRun) follow(ctx context.Context, server string) (progressed bool, err error) {
	query := url.Values{"watch": {"1"}}
	if w.selector != "" {
		query.Set("selector", w.selector)
	}
	if w.resumes {
		query.Set("from", strconv.FormatUint(w.version, 10))
	}
	response, err := w.client.open(ctx, server, call{method: http.MethodGet, path: "/v1/" + string(w.kind), query: query})
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	lines := bufio.NewScanner(response.Body)
	lines.Buffer(nil, maxWatchLineBytes)
	if response.StatusCode != http.StatusOK {
		body := []byte(nil)
		for lines.Scan() {
			body = append(body, lines.Bytes()...)
		}
		return false, answer{status: response.StatusCode, body: body, server: server}.err()
	}
	for lines.Scan() {
		if err := w.print(lines.Bytes()); err != nil {
			return progressed, err
		}
		progressed, w.begun = true, true
	}
	return progressed, lines.Err()
}

func (w *watchRun) print(data []byte) error {
	var line api.WatchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return eris.Wrap(err, "line of the watch")
	}
	// The version of a put among the first lines is older than others, so only a sync is a
	// place to resume before the first sync has come.
	if line.Type == api.WatchSync || w.resumes {
		w.version = max(w.version, line.Version)
		w.resumes = true
	}
	if w.client.json {
		return printf(w.env.Stdout, "%s\n", data)
	}
	switch line.Type {
	case api.WatchPut:
		object, err := api.DecodeObject(w.kind, line.Object)
		if err != nil {
			return err
		}
		return printf(w.env.Stdout, "%d put %s\n", line.Version, tableRow(object))
	case api.WatchDelete:
		return printf(w.env.Stdout, "%d delete %s\n", line.Version, line.Name)
	default:
		return nil
	}
}
