package demo

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestBadFlags checks the error texts for invalid command lines.
func TestBadFlags(t *testing.T) {
	tests := map[string]struct {
		args []string
		want string
	}{
		"no entries":   {[]string{"--entries", "0"}, "--entries 0 is out of range; give a number from 1 to 20"},
		"many engines": {[]string{"--engines", "101"}, "give a number from 1 to 100"},
		"no number":    {[]string{"--apps", "x"}, "--apps"},
		"unknown flag": {[]string{"--speed", "3"}, "unknown flag: --speed"},
		"an argument":  {[]string{"now"}, "now"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var out, errOut bytes.Buffer
			c.Assert(Main(tc.args, &out, &errOut), qt.Equals, 1)
			c.Assert(errOut.String(), qt.Contains, tc.want)
		})
	}
}
