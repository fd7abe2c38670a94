package cli

import (
	"context"
	"errors"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/oleanderbend/oleanderbend/internal/settings"
)

// Kinds of file that check-config can check.
const (
	fileServe     = "serve"
	fileStandin   = "standin"
	fileLoad      = "load"
	fileResources = "resources"
)

func checkConfigCommand(env Env) *ffcli.Command {
	fs := newFlagSet("check-config", env)
	kind := fs.String("kind", "", "serve, standin, load or resources; by default detected from the content of the file")
	output := fs.String("o", "text", "output format: text or json")
	return &ffcli.Command{
		Name:       "check-config",
		ShortUsage: "oleanderbend check-config [--kind KIND] FILE...",
		ShortHelp:  "check settings and resource files without using them",
		LongHelp: `All problems of all files are reported at once. No server is needed.

EXAMPLES
  oleanderbend check-config entry-1.toml
  oleanderbend check-config --kind resources org.toml jobs.toml

EXIT CODES
  0  all files are valid
  2  a file has problems or cannot be read
`,
		FlagSet: fs,
		Exec: func(_ context.Context, args []string) error {
			files, err := parseInterleaved(fs, args)
			if err != nil {
				return err
			}
			if len(files) == 0 {
				return eris.Wrap(errUsage, "check-config needs a file")
			}
			if *output != "text" && *output != "json" {
				return eris.Wrapf(errUsage, "-o %q must be text or json", *output)
			}
			var failures []error
			for _, file := range files {
				checkedKind, err := checkFile(env, file, *kind)
				if err != nil {
					failures = append(failures, err)
				}
				if err := printCheckResult(env, *output == "json", file, checkedKind, err); err != nil {
					return err
				}
			}
			return errors.Join(failures...)
		},
	}
}

// checkResult is the result for one file.
type checkResult struct {
	File     string             `json:"file"`
	Kind     string             `json:"kind"`
	Valid    bool               `json:"valid"`
	Problems []settings.Problem `json:"problems,omitempty"`
}

// printCheckResult prints the result for one file. As text, it prints only a valid file: Run prints the
// errors.
func printCheckResult(env Env, asJSON bool, file, kind string, err error) error {
	if asJSON {
		result := checkResult{File: file, Kind: kind, Valid: err == nil}
		var invalid *settings.Error
		switch {
		case errors.As(err, &invalid):
			result.Problems = invalid.Problems
		case err != nil:
			result.Problems = []settings.Problem{{Key: "file", Rule: err.Error()}}
		}
		return writeJSON(env.Stdout, result)
	}
	if err != nil {
		return nil
	}
	return printf(env.Stdout, "%s: valid %s\n", file, kind)
}

// checkFile checks one file as the given kind, or as the detected kind if none is given. It returns
// the kind.
func checkFile(env Env, file, kind string) (string, error) {
	data, err := readInput(file, env.Stdin)
	if err != nil {
		return kind, err
	}
	if kind == "" {
		kind = detectKind(data)
	}
	switch kind {
	case fileServe:
		_, err = settings.ReadServe(file)
	case fileStandin:
		_, err = settings.ReadStandin(file)
	case fileLoad:
		// Addresses other than loopback are allowed here.
		_, err = settings.ReadLoad(file, true)
	case fileResources:
		_, err = parseResources(file, data)
	default:
		err = eris.Wrapf(errUsage, "--kind %q must be serve, standin, load or resources", kind)
	}
	return kind, err
}

// detectKind detects the kind of a file by keys that only one kind has. A file that cannot be parsed
// as TOML counts as resources; the check for that kind then reports the position of the error.
func detectKind(data []byte) string {
	var keys map[string]any
	if toml.Unmarshal(data, &keys) != nil {
		return fileResources
	}
	hasAny := func(names ...string) bool {
		return slices.ContainsFunc(names, func(name string) bool { _, found := keys[name]; return found })
	}
	switch {
	case hasAny("caller_addr", "operator_addr", "peer_addr", "peer_key", "platform"):
		return fileServe
	case hasAny("flows", "max_in_flight", "control_url"):
		return fileLoad
	case hasAny("zones", "entries", "instances_lag"):
		return fileStandin
	default:
		return fileResources
	}
}
