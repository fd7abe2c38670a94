package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/instance"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// serveCommand returns the command that runs an instance of package instance against the platform of
// internal/platform, whose stand-in is the standin command. For the other system, see instanceCommand.
func serveCommand(env Env) *ffcli.Command {
	fs := newFlagSet("serve", env)
	config := fs.String("config", "", "settings `FILE` in TOML")
	first := fs.Bool("first-start", false, "the system starts for the first time, so no idempotency key was used before")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "oleanderbend serve --config FILE [--first-start]",
		ShortHelp:  "run one instance until interrupted, then stop gracefully",
		LongHelp: "Runs one instance. All instances are equal. SIGTERM or an interrupt stops it gracefully:\n" +
			"it hands over its zones and finishes the requests in progress.\n\n" +
			"Example:\n  oleanderbend serve --config /etc/oleanderbend/n1.toml",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *config == "" || len(args) > 0 {
				return fmt.Errorf("%w: serve needs --config and no arguments", errUsage)
			}
			return runServe(ctx, env, *config, *first)
		},
	}
}

func runServe(ctx context.Context, env Env, file string, first bool) error {
	s, err := settings.ReadServe(file)
	if err != nil {
		return err
	}
	var options []instance.Option
	if first {
		options = append(options, instance.WithNoEarlierKeys())
	}
	i, err := instance.New(s, env.Stderr, options...)
	if err != nil {
		return err
	}
	// Nothing aborts the graceful stop before the stop timeout of the settings.
	return i.Run(ctx, context.Background())
}
