package cli

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func versionCommand(env Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "version",
		ShortUsage: "oleanderbend version",
		ShortHelp:  "print the version of the program and of Go",
		FlagSet:    newFlagSet("version", env),
		Exec: func(context.Context, []string) error {
			version, goVersion := "unknown", "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version, goVersion = info.Main.Version, info.GoVersion
			}
			_, err := fmt.Fprintf(env.Stdout, "oleanderbend %s %s\n", version, goVersion)
			return err
		},
	}
}
