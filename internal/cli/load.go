package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/load"
	"github.com/oleanderbend/oleanderbend/internal/platform/httpclient"
	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// errLoadViolations is returned by the load command if a request violated a rule.
var errLoadViolations = errors.New("load: a request violated a rule")

// loadFlags are the flags of the command load.
type loadFlags struct {
	config      string
	allowRemote bool
	json        string
	plot        string
}

func loadCommand(env Env) *ffcli.Command {
	var flags loadFlags
	fs := newFlagSet("load", env)
	fs.StringVar(&flags.config, "config", "", "settings `FILE` in TOML")
	fs.BoolVar(&flags.allowRemote, "allow-remote", false, "allow addresses other than loopback")
	fs.StringVar(&flags.json, "json", "", "write the result as JSON to `FILE`")
	fs.StringVar(&flags.plot, "plot", "", "write latency over time to `FILE`, .svg or .png")
	return &ffcli.Command{
		Name:       "load",
		ShortUsage: "oleanderbend load --config FILE [--json FILE] [--plot FILE] [--allow-remote]",
		ShortHelp:  "send requests at a given rate and check every outcome",
		FlagSet:    fs,
		Exec: func(ctx context.Context, args []string) error {
			if flags.config == "" || len(args) > 0 {
				return fmt.Errorf("%w: load needs --config and no arguments", errUsage)
			}
			return runLoad(ctx, env, flags)
		},
	}
}

func runLoad(ctx context.Context, env Env, flags loadFlags) error {
	config, err := settings.ReadLoad(flags.config, flags.allowRemote)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	targets := httpclient.NewTargets(httpclient.Options{IdlePerHost: config.MaxInFlight})
	defer targets.Close()
	loadConfig := load.Config{
		Settings: config,
		Targets:  targets,
		Progress: func(p load.Progress) {
			fmt.Fprintf(env.Stderr, "load at=%s sent=%d done=%d answer=%d not-run=%d unknown=%d unreachable=%d violations=%d\n",
				p.At.Round(time.Second/10), p.Sent, p.Done, p.Outcomes[load.Answered], p.Outcomes[load.NotRun],
				p.Outcomes[load.Unknown], p.Outcomes[load.Unreachable], p.Violations)
		},
	}
	if config.ControlURL != "" {
		loadConfig.CountExecutions = load.NewExecutionCounter(config.ControlURL)
	}
	result, err := load.Run(ctx, loadConfig)
	if err != nil && !errors.Is(err, load.ErrVerify) {
		return err
	}
	if writeErr := writeLoadResult(env, flags, result); writeErr != nil {
		return errors.Join(err, writeErr)
	}
	if err == nil && !result.OK() {
		return errLoadViolations
	}
	return err
}

func writeLoadResult(env Env, flags loadFlags, result load.Result) error {
	if err := result.WriteTable(env.Stdout); err != nil {
		return err
	}
	if flags.json != "" {
		file, err := os.Create(flags.json)
		if err != nil {
			return err
		}
		if err := errors.Join(result.WriteJSON(file), file.Close()); err != nil {
			return err
		}
	}
	if flags.plot != "" {
		return result.WritePlot(flags.plot)
	}
	return nil
}
