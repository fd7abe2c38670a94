// Package cli implements the command line of oleanderbend.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Exit codes of the command.
const (
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure means that the command failed or that a server rejected its request.
	ExitFailure = 1
	// ExitUsage means that the command line or a file given to it is invalid. Nothing was sent, except by
	// the timeline command if its output file cannot be created.
	ExitUsage = 2
	// ExitUnknown means that the outcome of a write is unknown.
	ExitUnknown = 3
)

// errUsage is wrapped by errors in the command line or in a file that it refers to.
var errUsage = errors.New("usage")

// Env has the standard streams for one run of the command.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
}

// Main runs the command line until it ends or the process receives an interrupt or SIGTERM. It returns
// the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := Env{Stdin: os.Stdin, Stdout: stdout, Stderr: stderr}
	return Run(ctx, args, env)
}

// Run runs the command line until it ends or ctx is done, and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	command := root(env)
	if err := command.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return ExitOK
		}
		fmt.Fprintf(env.Stderr, "oleanderbend: %v\n", err)
		return ExitUsage
	}
	err := command.Run(ctx)
	if err == nil {
		return ExitOK
	}
	if errors.Is(err, flag.ErrHelp) {
		return ExitUsage
	}
	fmt.Fprintf(env.Stderr, "oleanderbend: %v\n", err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage), errors.Is(err, settings.ErrInvalid):
		return ExitUsage
	case isOutcomeUnknown(err):
		return ExitUnknown
	default:
		return ExitFailure
	}
}

func root(env Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "oleanderbend",
		ShortUsage: "oleanderbend COMMAND [flags]",
		FlagSet:    newFlagSet("oleanderbend", env),
		Subcommands: []*ffcli.Command{
			demoCommand(env),
			loadCommand(env),
			serveCommand(env),
			instanceCommand(env),
			standinCommand(env),
			soakCommand(env),
			reportCommand(env),
			planReplayCommand(env),
			applyCommand(env),
			getCommand(env),
			deleteCommand(env),
			watchCommand(env),
			timelineCommand(env),
			explainCommand(env),
			checkConfigCommand(env),
			versionCommand(env),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

func newFlagSet(name string, env Env) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(env.Stderr)
	return fs
}

// parseInterleaved parses flags before, between and after arguments, as in "get jobs -o json". It
// returns the arguments. Its errors wrap errUsage or flag.ErrHelp.
func parseInterleaved(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for len(args) > 0 {
		if len(args[0]) < 2 || args[0][0] != '-' {
			positional = append(positional, args[0])
			args = args[1:]
			continue
		}
		if err := fs.Parse(args); err != nil {
			if errors.Is(err, flag.ErrHelp) {
				return nil, err
			}
			return nil, eris.Wrap(errUsage, err.Error())
		}
		args = fs.Args()
	}
	return positional, nil
}
