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
		ShortHelp:  "say why a job waits and what would let it start",
		LongHelp: `The leader of the job's zone names the reason that holds now.

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
	var answer api.Explanation
	got, err := c.getJSON(ctx, "/v1/explain/jobs/"+url.PathEscape(name), nil, &answer)
	if err != nil {
		return err
	}
	if c.json {
		return writeJSONLine(env.Stdout, json.RawMessage(got.body))
	}
	if err := printf(env.Stdout, "job %s: %s in zone %s, led by %s\n", answer.Job, answer.Phase, orNone(answer.Zone), orNone(answer.Leader)); err != nil {
		return err
	}
	if answer.Code != "" {
		return printf(env.Stdout, "waits: %s: %s\nwould start when: %s\n", answer.Code, answer.Message, orNone(answer.Unblock))
	}
	if answer.Message != "" {
		return printf(env.Stdout, "reason: %s\n", answer.Message)
	}
	return nil
}
