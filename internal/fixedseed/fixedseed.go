// Package fixedseed sets the default seed of property tests, so that every run checks the same cases.
// Test files import it for this side effect. The flag -rapid.seed sets another seed.
package fixedseed

import (
	"flag"

	// Registers the flag rapid.seed before init sets it.
	_ "pgregory.net/rapid"
)

const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
