package state

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives the property tests a fixed seed, so that every run checks the same cases.
// Another seed is set with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("20260301"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
