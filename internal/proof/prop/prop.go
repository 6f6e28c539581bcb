// Package prop runs property tests with a fixed seed, so that the verdict of
// the tests is the same every time.
//
// # Usage
//
//	prop.Check(t, func(t *rapid.T) { ... })
//
// The flag -rapid.seed of the test binary sets another seed, 0 a random one.
package prop

import (
	"flag"
	"testing"

	"pgregory.net/rapid"
)

// seed is the default of all property tests.
const seed = "20261204"

// The flag's default is set before the command line is parsed, so that the
// command line wins.
func init() {
	if err := flag.Set("rapid.seed", seed); err != nil {
		panic(err)
	}
}

// Check runs a property test.
func Check(t *testing.T, fn func(*rapid.T)) {
	t.Helper()
	rapid.Check(t, fn)
}
