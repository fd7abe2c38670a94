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
)

// Exit codes of the command.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure means that the command ran and failed or was refused.
	ExitFailure = 1
	// ExitUsage means that the command line or a file given to it is invalid.
	ExitUsage = 2
	// ExitUnknown means that the outcome of a write is not known.
	ExitUnknown = 3
)

// errUsage is wrapped by errors about the command line.
var errUsage = errors.New("usage")

// Env has the streams of one run of the command.
type Env struct {
	Stdout io.Writer
	Stderr io.Writer
}

// Main runs the command line and returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := Env{Stdout: stdout, Stderr: stderr}
	return Run(ctx, args, env)
}

// Run runs the command line until ctx is done and returns the exit code.
func Run(ctx context.Context, args []string, env Env) int {
	err := root(env).ParseAndRun(ctx, args)
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
	if errors.Is(err, errUsage) {
		return ExitUsage
	}
	return ExitFailure
}

func root(env Env) *ffcli.Command {
	return &ffcli.Command{
		Name:       "oleanderbend",
		ShortUsage: "oleanderbend COMMAND [flags]",
		FlagSet:    newFlagSet("oleanderbend", env),
		Subcommands: []*ffcli.Command{
			loadCommand(env),
			standinCommand(env),
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
