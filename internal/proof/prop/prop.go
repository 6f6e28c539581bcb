// Package prop runs property tests with a fixed seed, so that their results are
// reproducible.
//
// # Usage
//
//	prop.Check(t, func(t *rapid.T) { ... })
//
// The flag -rapid.seed of the test binary sets another seed. The value 0 selects a
// random seed.
package prop

import (
	"flag"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// defaultSeed is the seed of all property tests unless -rapid.seed is given.
const defaultSeed = "20261204"

// The seed is set before the command line is parsed, so that a flag on the command
// line overrides it.
func init() {
	if err := flag.Set("rapid.seed", defaultSeed); err != nil {
		panic(err)
	}
}

// Check runs the property test fn with rapid.
func Check(t *testing.T, fn func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, fn)
}

// Cases sets the number of cases of the property tests of a package. It is called
// before the command line is parsed, in an init function.
func Cases(n int) {
	if err := flag.Set("rapid.checks", strconv.Itoa(n)); err != nil {
		panic(err)
	}
}
