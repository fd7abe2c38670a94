package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/controller"
	"github.com/oleanderbend/oleanderbend/internal/node"
)

// explainKeyEnv is the environment variable with the key of a request to explain. The command line has no flag for a key,
// because other users of the machine see command lines.
const explainKeyEnv = "OLEANDERBEND_KEY"

// explainFlags are the flags that only the platform path has.
type explainFlags struct {
	instance, host, path, keyFile string
}

func explainCommand(env Env) *ffcli.Command {
	fs := newFlagSet("explain", env)
	var flags clientFlags
	flags.register(fs)
	var own explainFlags
	fs.StringVar(&own.instance, "instance", "", "`HOST:PORT` that serves the metrics of an instance of the platform; replaces --server")
	fs.StringVar(&own.host, "host", "", "`HOST` of the request to explain")
	fs.StringVar(&own.path, "path", "", "`PATH` of the request to explain")
	fs.StringVar(&own.keyFile, "key-file", "", "`FILE` with the key of the request to explain; default: the variable "+explainKeyEnv)
	return &ffcli.Command{
		Name: "explain",
		ShortUsage: "oleanderbend explain [flags] job NAME\n" +
			"  oleanderbend explain [flags] job ID --instance HOST:PORT\n" +
			"  oleanderbend explain [flags] request FILE --instance HOST:PORT --host HOST --path PATH",
		ShortHelp: "explain why a job waits and what would let it start",
		LongHelp: `Without --instance, the leader of the job's zone reports the current reason.

With --instance, an instance of the platform asks the leader what it would decide now, without starting, sending
or storing anything: the queue, the position in the order, guarantee and share, the workers that cannot take a
task, and the place or the reason to wait. If the leader cannot be reached, the instance says so and answers
with what it knows itself. FILE has the body of a submission; - reads it from standard input. The key of a
request determines its organisation. It is read from --key-file or ` + explainKeyEnv + `.

EXAMPLES
  oleanderbend explain job nightly
  oleanderbend explain job nightly -o json
  oleanderbend explain job 6de5a8995be896e3 --instance 10.0.0.7:7000
  oleanderbend explain request job.json --instance 10.0.0.7:7000 --host jobs.example --path /q/ --key-file key
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			return dispatchExplain(ctx, env, fs, &flags, &own, args)
		},
	}
}

// dispatchExplain validates the arguments and runs the form of the command that they select. It returns an error that
// wraps errUsage if they are invalid.
func dispatchExplain(ctx context.Context, env Env, fs *flag.FlagSet, flags *clientFlags, own *explainFlags, args []string) error {
	if len(args) != 2 {
		return eris.Wrap(errUsage, "explain needs job and a name, or request and a file")
	}
	set := make(map[string]bool)
	fs.Visit(func(f *flag.Flag) { set[f.Name] = true })
	isJob, isRequest := args[0] == "job" || args[0] == "jobs", args[0] == "request"
	switch {
	case !isJob && !isRequest:
		return eris.Wrap(errUsage, "explain needs job and a name, or request and a file")
	case own.instance != "" && (set["server"] || set["token-file"]):
		return eris.Wrap(errUsage, "--instance cannot be used with --server or --token-file")
	case isRequest && (own.instance == "" || own.host == "" || own.path == ""):
		return eris.Wrap(errUsage, "explain request needs --instance, --host and --path")
	case isJob && (own.host != "" || own.path != "" || own.keyFile != ""):
		return eris.Wrap(errUsage, "--host, --path and --key-file are for explain request")
	}
	if own.instance != "" {
		flags.servers = own.instance
	}
	c, err := flags.newClient()
	if err != nil {
		return err
	}
	switch {
	case isRequest:
		return explainRequest(ctx, env, c, own, args[1])
	case own.instance != "":
		return askInstance(ctx, env, c, call{method: http.MethodGet, path: node.ExplainJobPath + url.PathEscape(args[1])})
	default:
		return runExplain(ctx, env, c, args[1])
	}
}

func runExplain(ctx context.Context, env Env, c *client, name string) error {
	var explanation api.Explanation
	got, err := c.getJSON(ctx, "/v1/explain/jobs/"+url.PathEscape(name), nil, &explanation)
	if err != nil {
		return err
	}
	if c.json {
		return writeJSON(env.Stdout, json.RawMessage(got.body))
	}
	if err := printf(env.Stdout, "job %s: %s in zone %s, led by %s\n", explanation.Job, explanation.Phase, orUnset(explanation.Zone), orUnset(explanation.Leader)); err != nil {
		return err
	}
	if explanation.Code != "" {
		return printf(env.Stdout, "waits: %s: %s\nwould start when: %s\n", explanation.Code, explanation.Message, orUnset(explanation.Unblock))
	}
	if explanation.Message != "" {
		return printf(env.Stdout, "reason: %s\n", explanation.Message)
	}
	return nil
}

// explainRequest explains the submission in a file.
func explainRequest(ctx context.Context, env Env, c *client, own *explainFlags, file string) error {
	var body []byte
	var err error
	if file == "-" {
		body, err = io.ReadAll(env.Stdin)
	} else {
		body, err = os.ReadFile(file)
	}
	if err != nil {
		return eris.Wrapf(errUsage, "%v", err)
	}
	// The client sends the token as the key of the request.
	c.token = os.Getenv(explainKeyEnv)
	if own.keyFile != "" {
		key, err := os.ReadFile(own.keyFile)
		if err != nil {
			return eris.Wrapf(errUsage, "--key-file: %v", err)
		}
		c.token = string(key)
	}
	c.token = strings.TrimSpace(c.token)
	query := url.Values{"host": {own.host}, "path": {own.path}}
	return askInstance(ctx, env, c, call{method: http.MethodPost, path: node.ExplainRequestPath, query: query, body: body})
}

// askInstance sends a call to the instance and prints the answer. The call is not repeated: an instance that is busy rejects
// it at once.
func askInstance(ctx context.Context, env Env, c *client, request call) error {
	got, err := c.send(ctx, c.servers[0], request)
	if err != nil {
		return eris.Wrapf(errNoResponse, "%v; check --instance and that the instance runs", err)
	}
	if err := got.err(); err != nil {
		return err
	}
	var e node.Explanation
	if err := json.Unmarshal(got.body, &e); err != nil {
		return eris.Wrapf(err, "response of %s; check that --instance is the address of its metrics", got.server)
	}
	if c.json {
		return writeJSON(env.Stdout, json.RawMessage(got.body))
	}
	var text strings.Builder
	writeExplanation(&text, &e)
	_, err = io.WriteString(env.Stdout, text.String())
	return err
}

// writeExplanation writes an answer as text.
func writeExplanation(w *strings.Builder, e *node.Explanation) {
	if e.Job != "" {
		fmt.Fprintf(w, "job %s: %s at instance %s\n", e.Job, e.Phase, e.Instance)
	} else {
		fmt.Fprintf(w, "request: explained by instance %s\n", e.Instance)
	}
	fmt.Fprintf(w, "queue: %s, service %s, priority %d, organisation %s, configuration %d\n", e.Queue, e.Service, e.Priority, orUnset(e.Org), e.ConfigVersion)
	for _, note := range e.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	if e.Decision == nil {
		fmt.Fprintf(w, "leader: %s gave no answer: %s\nonly what the instance knows itself is shown\n", orUnset(e.Leader), e.LeaderProblem)
		return
	}
	d := e.Decision
	fmt.Fprintf(w, "leader: %s, where the job is %s\n", orUnset(e.Leader), d.Phase)
	covered := "not covered"
	switch {
	case d.Guarantee.Covered:
		covered = "covered"
	case e.Priority > 0:
		covered = "not covered, because the priority is not 0"
	}
	fmt.Fprintf(w, "guarantee: %s; %d accelerators, %d used by earlier jobs, %d needed\n", covered, d.Guarantee.GPU, d.Guarantee.UsedByEarlierJobs, d.Guarantee.Need)
	if d.AssumesAdvice {
		fmt.Fprintln(w, "note: the advice service was not asked; the answer assumes that it permits all workers")
	}
	for i := range d.Steps {
		writeStepExplanation(w, &d.Steps[i], e.Priority)
	}
	if d.MoreSteps > 0 {
		fmt.Fprintf(w, "%d more unfinished steps\n", d.MoreSteps)
	}
	if d.LaterOccurrences > 0 {
		fmt.Fprintf(w, "%d later occurrences\n", d.LaterOccurrences)
	}
}

func writeStepExplanation(w *strings.Builder, s *controller.StepExplanation, priority int) {
	fmt.Fprintf(w, "step %d, occurrence %d: %s", s.Step, s.Occurrence, s.State)
	if s.Tasks > 0 {
		fmt.Fprintf(w, ", %d waiting tasks", s.Tasks)
	}
	fmt.Fprintln(w)
	if s.Waiting > 0 {
		fmt.Fprintf(w, "  order: %d of %d waiting steps of the service, %s\n", s.Ahead+1, s.Waiting, s.Timeliness)
		if priority > 0 {
			within := ""
			if s.UsesMinShare {
				within = "; the step is scheduled within it"
			}
			fmt.Fprintf(w, "  minimum share of priority %d: %d accelerators unused%s\n", priority, s.ShareLeft, within)
		}
		fmt.Fprintf(w, "  accelerators: %d free, %d kept for priority 0\n", s.FreeGPU, s.Headroom)
		conflicting := ""
		if s.Conflicting > 0 {
			conflicting = fmt.Sprintf(", %d of them less preferred because of a conflict with what runs there", s.Conflicting)
		}
		fmt.Fprintf(w, "  workers: %d of %d can take a task%s%s\n", s.Able, s.Workers, conflicting, obstacleList(s.Obstacles))
	}
	if s.Starts > 0 {
		places := make([]string, len(s.Places))
		for i, p := range s.Places {
			places[i] = fmt.Sprintf("%s (rack %s) %d", p.Worker, orUnset(p.Rack), p.Tasks)
		}
		more := ""
		if s.StartsOn > len(s.Places) {
			more = fmt.Sprintf(", and %d more workers", s.StartsOn-len(s.Places))
		}
		fmt.Fprintf(w, "  would start now: %d tasks on %s%s\n", s.Starts, strings.Join(places, ", "), more)
	}
	if s.Stops > 0 {
		fmt.Fprintf(w, "  would stop: %d gangs or single runs, to make room\n", s.Stops)
	}
	if s.Reason != "" {
		fmt.Fprintf(w, "  waits: %s: %s\n", s.Reason, s.Message)
	} else if s.Message != "" {
		fmt.Fprintf(w, "  reason: %s\n", s.Message)
	}
	if s.Unblock != "" {
		fmt.Fprintf(w, "  would start when: %s\n", s.Unblock)
	}
}

// obstacleList returns the counts of workers by reason, or an empty string.
func obstacleList(obstacles map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(obstacles)) {
		parts = append(parts, fmt.Sprintf("%s %d", name, obstacles[name]))
	}
	if len(parts) == 0 {
		return ""
	}
	return "; others: " + strings.Join(parts, ", ")
}
