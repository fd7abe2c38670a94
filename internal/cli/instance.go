package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/clients"
	"github.com/oleanderbend/oleanderbend/internal/intake"
	"github.com/oleanderbend/oleanderbend/internal/logging"
	"github.com/oleanderbend/oleanderbend/internal/node"
	"github.com/oleanderbend/oleanderbend/platform"
)

// memoryLimitFraction is the fraction of an instance's memory that is set as the memory limit of the Go
// runtime. Near this limit, garbage is collected more often.
const memoryLimitFraction = 0.6

// instanceCommand returns the command that runs a node of package node against the platform of the
// top-level package platform. For the other system, see serveCommand.
func instanceCommand(env Env) *ffcli.Command {
	fs := newFlagSet("instance", env)
	file := fs.String("settings", os.Getenv(platform.SettingsEnv), "settings `FILE` of the platform")
	level := fs.String("log-level", "info", "minimum `LEVEL` of log lines: debug, info, warn or error")
	return &ffcli.Command{
		Name:       "instance",
		ShortUsage: "oleanderbend instance [--settings FILE] [--log-level LEVEL]",
		ShortHelp:  "run one instance on the platform until interrupted, then stop gracefully",
		LongHelp: "Runs one instance behind the platform's balancer. The settings file is the platform's; its path\n" +
			"is read from " + platform.SettingsEnv + " if the flag is not given.",
		FlagSet: fs,
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return fmt.Errorf("%w: instance needs a settings file and no arguments", errUsage)
			}
			return runInstance(ctx, env, *file, *level)
		},
	}
}

func runInstance(ctx context.Context, env Env, file, level string) error {
	// SIGHUP ends a process that does not catch it, and it may arrive at any time after the start.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	s, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryLimitFraction * (1 << 20)))
	}
	p := node.Platform{
		Log:           platform.NewLogClient(s.LogAddress),
		Workers:       platform.NewWorkerClient(),
		OperatorTopic: platform.OperatorTopic, WorkersTopic: platform.WorkersTopic, StatusTopic: platform.StatusTopic,
		IsConfig: platform.IsConfig, DecodeConfig: platform.DecodeConfig, DecodeWave: platform.DecodeWave, DecodeEvacuation: platform.DecodeEvacuation,
		DecodeWorker: platform.DecodeWorker, WaveStatus: platform.WaveStatus,
		DecodeJob:    platform.DecodeJob,
		FrontHandler: func(i *intake.Service, b *clients.Budget) http.Handler { return platform.NewJobHandler(i, b) },
	}
	if s.AdviceAddress != "" {
		p.Advisor = platform.NewAdviceClient(s.AdviceAddress)
	}
	if s.MachinesAddress != "" {
		p.Machines = platform.NewMachineClient(s.MachinesAddress)
	}
	logger, closeLog := logging.NewAsync(env.Stdout, level, s.Name)
	defer closeLog()
	reload := func() error { return reloadSettings(file, s) }
	return node.New(s, p, logger).Run(ctx, hangups, reload)
}

// reloadSettings validates a changed settings file. It applies nothing: the file takes effect at the
// next start of the process. It returns an error if the file is invalid or changes the front or the log
// address.
func reloadSettings(file string, current node.Settings) error {
	changed, err := platform.ReadSettings(file)
	if err != nil {
		return err
	}
	if changed.FrontAddress != current.FrontAddress || changed.LogAddress != current.LogAddress {
		return fmt.Errorf("%w: changed addresses take effect only at the next start", node.ErrInvalidSettings)
	}
	return nil
}
