package cli

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/settings"
	"github.com/oleanderbend/oleanderbend/internal/standin"
)

func standinCommand(env Env) *ffcli.Command {
	fs := newFlagSet("standin", env)
	config := fs.String("config", "", "settings `FILE` in TOML")
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "oleanderbend standin --config FILE",
		ShortHelp:  "run stand-ins of the platform on loopback until interrupted",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if *config == "" || len(args) > 0 {
				return fmt.Errorf("%w: standin needs --config and no arguments", errUsage)
			}
			return runStandin(ctx, env, *config)
		},
	}
}

// runStandin starts the stand-ins and runs them until ctx is done. Once all of them accept connections,
// it prints one line with their addresses.
func runStandin(ctx context.Context, env Env, file string) error {
	config, err := settings.ReadStandin(file)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	server, err := standin.Start(config)
	if err != nil {
		return err
	}
	defer server.Close()
	_, err = fmt.Fprintf(env.Stdout, "standin ready name=%s control=%s log=%s instances=%s workers=%d targets=%d\n",
		config.Name, server.ControlURL, server.LogURL, server.InstancesURL, server.Fleet.Len(), len(server.Targets))
	if err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
