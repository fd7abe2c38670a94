package cli

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/api"
)

func explainCommand(env Env) *ffcli.Command {
	fs := newFlagSet("explain", env)
	var flags clientFlags
	flags.register(fs)
	return &ffcli.Command{
		Name:       "explain",
		ShortUsage: "oleanderbend explain [flags] job NAME",
		ShortHelp:  "explain why a job waits and what would let it start",
		LongHelp: `The leader of the job's zone reports the current reason.

EXAMPLES
  oleanderbend explain job nightly
  oleanderbend explain job nightly -o json
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			args, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			if len(args) != 2 || args[0] != "job" && args[0] != "jobs" {
				return eris.Wrap(errUsage, "explain needs job and a name")
			}
			c, err := flags.newClient()
			if err != nil {
				return err
			}
			return runExplain(ctx, env, c, args[1])
		},
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
