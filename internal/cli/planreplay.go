package cli

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/planreplay"
)

func planReplayCommand(env Env) *ffcli.Command {
	fs := newFlagSet("plan-replay", env)
	seed := fs.Uint64("seed", 0, "replace the seed of the pattern by `N`, unless it is 0")
	plotFile := fs.String("plot", "", "write a plot of the waiting jobs to `FILE` (.svg, .png or .pdf)")
	return &ffcli.Command{
		Name:       "plan-replay",
		ShortUsage: "oleanderbend plan-replay [--seed N] [--plot FILE] PATTERN.toml",
		ShortHelp:  "replay a pattern of load against the planner, in virtual time: waiting times, objectives and lost work",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("%w: plan-replay needs one pattern", errUsage)
			}
			data, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			pattern, err := planreplay.Parse(data)
			if err != nil {
				return fmt.Errorf("%w: %s: %w", errUsage, args[0], err)
			}
			if *seed != 0 {
				pattern.Seed = *seed
			}
			result := planreplay.Run(pattern)
			if *plotFile != "" {
				if err := result.WritePlot(*plotFile); err != nil {
					return err
				}
			}
			return result.Write(env.Stdout)
		},
	}
}
