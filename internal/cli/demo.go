package cli

import (
	"context"
	"io"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/demo"
)

func demoCommand(env Env) *ffcli.Command {
	fs := newFlagSet("demo", env)
	logFile := fs.String("log", "", "write the instances' log lines to `FILE`; default none")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "oleanderbend demo [--log FILE]",
		ShortHelp:  "run the whole system on loopback and check its invariants",
		LongHelp: "Starts stand-ins of the platform and six instances in this process, runs jobs and requests,\n" +
			"kills the leader of a zone, and prints the timeline and a summary. Within 30 s it ends\n" +
			"with \"demo: ok\" and exit code 0, or reports the failed checks and exits with 1.\n\n" +
			"Example:\n  oleanderbend demo --log /tmp/demo.log",
		FlagSet: fs,
		Exec: func(ctx context.Context, _ []string) error {
			logs := io.Discard
			if *logFile != "" {
				file, err := os.Create(*logFile)
				if err != nil {
					return err
				}
				defer file.Close()
				logs = file
			}
			return demo.Run(ctx, env.Stdout, logs)
		},
	}
}
