// Command oleanderbend schedules jobs that need several accelerators together and forwards
// requests to targets.
package main

import (
	"os"

	"github.com/oleanderbend/oleanderbend/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
