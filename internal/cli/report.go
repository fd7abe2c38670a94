package cli

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/oleanderbend/oleanderbend/internal/report"
)

func reportCommand(env Env) *ffcli.Command {
	fs := newFlagSet("report", env)
	out := fs.String("out", "report.html", "write the page to `FILE`")
	return &ffcli.Command{
		Name:       "report",
		ShortUsage: "oleanderbend report [--out FILE] LOG...",
		ShortHelp:  "make an HTML page from the logs of instances: responses, waiting times, runs and leaders over time",
		FlagSet:    fs,
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("%w: report needs the logs of one or more instances", errUsage)
			}
			return writeReport(*out, args)
		},
	}
}

func writeReport(out string, logs []string) error {
	var l report.Log
	for _, name := range logs {
		file, err := os.Open(name)
		if err != nil {
			return err
		}
		if err := errors.Join(l.Read(file), file.Close()); err != nil {
			return fmt.Errorf("read %s: %w", name, err)
		}
	}
	timeline, err := report.NewTimeline(&l)
	if err != nil {
		return err
	}
	file, err := os.Create(out)
	if err != nil {
		return err
	}
	return errors.Join(timeline.WriteHTML(file), file.Close())
}
