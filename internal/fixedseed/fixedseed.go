// Package fixedseed gives property tests a fixed seed, so that every run checks the same cases.
// Test files import it for its effect. Another seed is set with the flag -rapid.seed.
package fixedseed

import (
	"flag"

	// The import registers the flag before init changes its default.
	_ "pgregory.net/rapid"
)

// seed is the date of the first property tests.
const seed = "20261204"

func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}
