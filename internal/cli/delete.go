package cli

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/api"
	"github.com/oleanderbend/oleanderbend/internal/resource"
)

func deleteCommand(env Env) *ffcli.Command {
	fs := newFlagSet("delete", env)
	var flags clientFlags
	flags.register(fs)
	var writes writeFlags
	writes.register(fs)
	return &ffcli.Command{
		Name:       "delete",
		ShortUsage: "oleanderbend delete [flags] KIND NAME",
		ShortHelp:  "remove a resource, or cancel a job",
		LongHelp: `A job that has not ended is cancelled and stays readable; a second delete removes it. When a
policy is removed, the defaults apply. An organisation that is in use cannot be removed.

EXAMPLES
  oleanderbend delete job nightly
  oleanderbend delete guarantee clinic --if-version 42
` + exitHelp,
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			operand, err := flags.parseResourceArgs(fs, args, 2, "delete needs a kind and a name")
			if err != nil {
				return err
			}
			return runDelete(ctx, env, operand.client, writes, operand.kind, operand.args[1])
		},
	}
}

func runDelete(ctx context.Context, env Env, c *client, writes writeFlags, kind resource.Kind, name string) error {
	got, err := c.do(ctx, call{method: http.MethodDelete, path: objectPath(kind, name), header: writes.header(writes.requestIDFor(0))})
	if err != nil {
		return err
	}
	if err := got.err(); err != nil {
		return err
	}
	if c.json {
		return writeJSON(env.Stdout, json.RawMessage(got.body))
	}
	var deleted api.Deleted
	if json.Unmarshal(got.body, &deleted) == nil && deleted.Deleted {
		return printf(env.Stdout, "%s/%s deleted, version %d\n", kind, name, deleted.Version)
	}
	object, err := api.DecodeObject(kind, got.body)
	if err != nil {
		return err
	}
	return printf(env.Stdout, "%s/%s cancelled, version %d\n", kind, name, object.Meta().ResourceVersion)
}
