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

// maxWatchLineBytes limits the length of one line of a watch response.
const maxWatchLineBytes = 1 << 20

func watchCommand(env Env) *ffcli.Command {
	fs := newFlagSet("watch", env)
	var flags clientFlags
	flags.register(fs)
	selector := fs.String("l", "", "label selector, for example team=a,tier!=b,batch")
	from := fs.Uint64("from", 0, "resume after this resource version; 0 starts with all resources")
	return &ffcli.Command{
		Name:       "watch",
		ShortUsage: "oleanderbend watch [flags] KIND",
		ShortHelp:  "show the resources of a kind, then each change",
		LongHelp: `If a server fails, the watch resumes at the same or another server, after the last version that it
received. It ends on an interrupt (exit code 0), or if the changes since --from are no longer
available (exit code 1). If changes are missed later, all resources are shown again, with a message
on standard error.

EXAMPLES
  oleanderbend watch jobs
  oleanderbend watch jobs -l team=a -o json
  oleanderbend watch policies --from 120
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			operand, err := flags.parseResourceArgs(fs, args, 1, "watch needs a kind")
			if err != nil {
				return err
			}
			w := &watcher{env: env, client: operand.client, kind: operand.kind, selector: *selector, version: *from, canResume: *from != 0}
			return w.run(ctx)
		},
	}
}

// watcher is the state of one run of the watch command.
type watcher struct {
	env      Env
	client   *client
	kind     resource.Kind
	selector string
	version  uint64
	// canResume is set once the watch can be resumed after version.
	canResume bool
	// received is set once a line has been received.
	received bool
}

// run follows one server after another until ctx is done, a server responds with a final error, or no
// server responds in maxRounds rounds.
func (w *watcher) run(ctx context.Context) error {
	// failures counts consecutive failures and selects the next server. After a server that returned
	// lines, it is 1, so that the second server of the list comes next.
	failures := 0
	for ctx.Err() == nil {
		server := w.client.servers[failures%len(w.client.servers)]
		received, err := w.follow(ctx, server)
		if ctx.Err() != nil {
			return nil
		}
		var p *api.Problem
		if errors.As(err, &p) && isFinalStatus(p.Status) {
			if p.Status != http.StatusGone || !w.received {
				return err
			}
			// The server no longer has the changes since w.version, so all resources are shown again.
			w.version, w.canResume, w.received = 0, false, false
			if err := printf(w.env.Stderr, "changes were missed; showing all %s again\n", w.kind); err != nil {
				return err
			}
		}
		failures++
		if received {
			failures = 1
		}
		if failures >= maxRounds*len(w.client.servers) && !received {
			return eris.Wrapf(errNoResponse, "last error: %v; check --server and that the instance runs", err)
		}
		sleep(ctx, retryInterval)
	}
	return nil
}

// follow reads the watch response of one server until it ends. It reports whether any line was received.
func (w *watcher) follow(ctx context.Context, server string) (received bool, err error) {
	query := url.Values{"watch": {"1"}}
	if w.selector != "" {
		query.Set("selector", w.selector)
	}
	if w.canResume {
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
		return false, serverResponse{status: response.StatusCode, body: body, server: server}.err()
	}
	for lines.Scan() {
		if err := w.print(lines.Bytes()); err != nil {
			return received, err
		}
		received, w.received = true, true
	}
	return received, lines.Err()
}

func (w *watcher) print(data []byte) error {
	var line api.WatchLine
	if err := json.Unmarshal(data, &line); err != nil {
		return eris.Wrap(err, "decode line of the watch")
	}
	// Before the first sync line, the server lists the existing resources, not in the order of their
	// versions. The watch can be resumed only after a sync line.
	if line.Type == api.WatchSync || w.canResume {
		w.version = max(w.version, line.Version)
		w.canResume = true
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
