package replay

import (
	"compress/gzip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
)

func readFile(tb testing.TB, name string) trace.Trace {
	c := qt.New(tb)
	f, err := os.Open(name)
	c.Assert(err, qt.IsNil)
	defer func() { _ = f.Close() }()
	z, err := gzip.NewReader(f)
	c.Assert(err, qt.IsNil)
	t, err := trace.Read(z)
	c.Assert(err, qt.IsNil)
	return t
}

// traceFiles returns the files of the recorded traces. The expected outcomes of
// a trace are in a TOML file of the same base name.
func traceFiles(tb testing.TB) []string {
	out, err := filepath.Glob("testdata/*.ndjson.gz")
	qt.New(tb).Assert(err, qt.IsNil)
	qt.New(tb).Assert(len(out) >= 12, qt.IsTrue)
	return out
}

func TestRecordedTraces(t *testing.T) {
	for _, name := range traceFiles(t) {
		base := strings.TrimSuffix(name, ".ndjson.gz")
		t.Run(filepath.Base(base), func(t *testing.T) {
			c := qt.New(t)
			want, err := ReadOutcomes(base + ".toml")
			c.Assert(err, qt.IsNil)
			res, err := Run(readFile(t, name), Options{Decisions: ProductDecisions()})
			c.Assert(err, qt.IsNil)
			for _, v := range res.Evaluate(want) {
				c.Check(v.Passed, qt.IsTrue, qt.Commentf("%s", v))
			}
		})
	}
}

func TestOutcomesRefuse(t *testing.T) {
	const head = "[[outcome]]\n"
	tests := map[string]struct{ text, want string }{
		"empty file":        {"", "line 1: there is no .*outcome.* table"},
		"unknown outcome":   {head + "name = \"luck\"\n", `line 1: outcome "luck" is not known; write one of admitted, .*`},
		"second table":      {head + "name = \"deadline\"\n\n" + head + "name = \"luck\"\n", `line 4: outcome "luck" is not known.*`},
		"unknown key":       {head + "name = \"deadline\"\nhope = 1\n", "line 3: key hope is not known"},
		"missing key":       {head + "name = \"round-whole\"\n", "line 1: outcome round-whole needs the key at-most"},
		"unused key":        {head + "name = \"deadline\"\nquantile = 0.5\n", "line 1: outcome deadline does not take the key quantile; remove it"},
		"time without unit": {head + "name = \"round-whole\"\nat-most = \"2\"\n", `line 3: .*no unit; write a time such as.*`},
		"quantile above 1":  {head + "name = \"staleness\"\nquantile = 99\nat-most-versions = 1\n", "line 1: key quantile must be between 0 and 1"},
		"syntax error":      {head + "name = \n", "line 2: .*"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := ParseOutcomes("o.toml", tc.text)
			c.Assert(err, qt.ErrorMatches, "(?s)bad-outcome: file o.toml: "+tc.want+"; correct the named key.*")
		})
	}
}

func TestRunRefuses(t *testing.T) {
	c := qt.New(t)
	_, err := Run(trace.Trace{Header: trace.Header{Role: "agent"}}, Options{Decisions: ProductDecisions()})
	c.Assert(fault.Is(err, fault.BadTrace), qt.IsTrue)
	_, err = Run(trace.Trace{}, Options{Decisions: ProductDecisions()})
	c.Assert(fault.Is(err, fault.BadTrace), qt.IsTrue)
}

// BenchmarkReplay reports how many times faster than real time each trace
// replays.
func BenchmarkReplay(b *testing.B) {
	for _, name := range traceFiles(b) {
		b.Run(strings.TrimSuffix(filepath.Base(name), ".ndjson.gz"), func(b *testing.B) {
			t := readFile(b, name)
			speed := 0.0
			for b.Loop() {
				res, err := Run(t, Options{Decisions: ProductDecisions()})
				if err != nil {
					b.Fatal(err)
				}
				speed = res.Speed()
			}
			b.ReportMetric(speed, "x-real-time")
		})
	}
}
