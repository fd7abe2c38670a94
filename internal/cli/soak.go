package cli

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/soak"
)

// errBroken means that a soak has found a broken promise.
var errBroken = errors.New("soak: promises were broken")

func soakCommand(env Env) *ffcli.Command {
	fs := newFlagSet("soak", env)
	seed := fs.Uint64("seed", 0, "`SEED` of the first run; 0 chooses one")
	runs := fs.Int("runs", 1, "`NUMBER` of runs, each with the next seed")
	duration := fs.Duration("duration", 30*time.Second, "`TIME` for which faults are injected in each run")
	instances := fs.Int("instances", 4, "`NUMBER` of instances, each a process")
	workers := fs.Int("workers", 6, "`NUMBER` of workers")
	dir := fs.String("dir", os.TempDir(), "`DIRECTORY` for the logs of runs with a finding")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "oleanderbend soak [flags]",
		ShortHelp:  "disturb real instances at random and check that the promises hold",
		LongHelp: "Runs instances as separate processes against stand-ins of the platform in this process, injects\n" +
			"faults from outside and checks what callers and workers see. Exits with 1 if a promise was broken.",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *runs < 1 || *instances < 1 || *workers < 1 {
				return fmt.Errorf("%w: soak needs at least one run, instance and worker, and no arguments", errUsage)
			}
			program, err := os.Executable()
			if err != nil {
				return err
			}
			if *seed == 0 {
				*seed = rand.Uint64N(1 << 40)
			}
			return runSoak(ctx, env, *runs, soak.Config{
				Program: program, Seed: *seed, Duration: *duration, Instances: *instances, Workers: *workers, Dir: *dir,
			})
		},
	}
}

func runSoak(ctx context.Context, env Env, runs int, cfg soak.Config) error {
	broken := 0
	for range runs {
		report, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		report.Write(env.Stdout)
		if len(report.Violations) > 0 {
			broken++
		}
		cfg.Seed++
	}
	if broken > 0 {
		return fmt.Errorf("%w in %d of %d runs", errBroken, broken, runs)
	}
	return nil
}
