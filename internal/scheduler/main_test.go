package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless the command line sets one, so that
// each run checks the same cases.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
