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

// errInvariantViolated is wrapped by the error of a soak that found violated invariants.
var errInvariantViolated = errors.New("soak: invariants violated")

func soakCommand(env Env) *ffcli.Command {
	fs := newFlagSet("soak", env)
	seed := fs.Uint64("seed", 0, "`SEED` of the first run; 0 chooses a random one")
	runs := fs.Int("runs", 1, "`NUMBER` of runs, each with the next seed")
	duration := fs.Duration("duration", 30*time.Second, "`TIME` for which faults are injected in each run")
	instances := fs.Int("instances", 4, "`NUMBER` of instances, each a process")
	workers := fs.Int("workers", 6, "`NUMBER` of workers")
	dir := fs.String("dir", os.TempDir(), "`DIRECTORY` for the logs of runs that found a violation")
	return &ffcli.Command{
		Name:       "soak",
		ShortUsage: "oleanderbend soak [flags]",
		ShortHelp:  "inject random faults into real instances and check that the system's invariants hold",
		LongHelp: "Runs instances as separate processes against stand-ins of the platform in this process, injects\n" +
			"faults from outside and checks what callers and workers see. Exits with 1 if an invariant was violated.",
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
	failedRuns := 0
	for range runs {
		report, err := soak.Run(ctx, cfg)
		if err != nil {
			return err
		}
		report.Write(env.Stdout)
		if len(report.Violations) > 0 {
			failedRuns++
		}
		cfg.Seed++
	}
	if failedRuns > 0 {
		return fmt.Errorf("%w in %d of %d runs", errInvariantViolated, failedRuns, runs)
	}
	return nil
}
