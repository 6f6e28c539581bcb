package output

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestJudge guards against a faulty answer that is taken for an output, against a sound
// output that is taken for a faulty answer, and against a sound engine that is blamed.
func TestJudge(t *testing.T) {
	part := func(engine string, events, bytes int) Part { return Part{engine, events, bytes} }
	tests := map[string]struct {
		limits   Limits
		parts    []Part
		overruns int
		engine   string // at fault, "-" for none
		keep     int
		overrun  bool
	}{
		"nothing yet":                          {limits: NewLimits(20, 1, 1000), engine: "-"},
		"no limits":                            {limits: NewLimits(0, 0, 0), parts: []Part{part("a", 1<<30, 1<<40)}, engine: "-"},
		"events as large as their tokens":      {limits: NewLimits(20, 2, 1e6), parts: []Part{part("a", 2, 16386)}, engine: "-"},
		"larger events":                        {limits: NewLimits(20, 2, 1e6), parts: []Part{part("a", 2, 16387)}, engine: "a", overrun: true},
		"larger events, no token limit":        {limits: NewLimits(0, 1, 1e6), parts: []Part{part("a", 1, 100000)}, engine: "a", overrun: true},
		"larger events of many answers":        {limits: NewLimits(20, 1, 1e6), parts: []Part{part("a", 1, 100000)}, overruns: 3, engine: "-"},
		"as many events as tokens":             {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 20, 200)}, engine: "-"},
		"an event more":                        {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 21, 210)}, engine: "a"},
		"an event more at the second engine":   {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 20, 200), part("b", 1, 10)}, engine: "b", keep: 20},
		"several parts of the engine at fault": {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 5, 50), part("b", 5, 50), part("c", 5, 50), part("b", 6, 60)}, engine: "b", keep: 5},
		"a part of which nothing is known":     {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 5, 50), part("", 5, 50), part("b", 11, 110)}, engine: "b", keep: 5},
		"only an unknown part":                 {limits: NewLimits(20, 1, 1000), parts: []Part{part("", 100, 1000)}, engine: ""},
		"more than the stated events":          {limits: NewLimits(710, 71, 1e6), parts: []Part{part("a", 11, 110)}, engine: "a", overrun: true},
		"the last stated event has few tokens": {limits: NewLimits(711, 71, 1e6), parts: []Part{part("a", 11, 110)}, engine: "-"},
		"other answers had more, too":          {limits: NewLimits(710, 71, 1e6), parts: []Part{part("a", 11, 110)}, overruns: 2, engine: "a", overrun: true},
		"so many that they may be sound":       {limits: NewLimits(710, 71, 1e6), parts: []Part{part("a", 710, 7100)}, overruns: 3, engine: "-"},
		"more events than tokens all the same": {limits: NewLimits(710, 71, 1e6), parts: []Part{part("a", 711, 7110)}, overruns: 3, engine: "a"},
		"no tokens are stated for an event":    {limits: NewLimits(20, 0, 1000), parts: []Part{part("a", 20, 200)}, engine: "-"},
		"as large as a result may be":          {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 20, 1001)}, engine: "-"}, // the line feed behind the last event
		"larger":                               {limits: NewLimits(20, 1, 1000), parts: []Part{part("a", 20, 1002)}, engine: "a"},
		"larger by another engine's part":      {limits: NewLimits(0, 0, 1000), parts: []Part{part("a", 2, 900), part("b", 5, 200)}, engine: "a"},
		"larger, a sound part before":          {limits: NewLimits(0, 0, 1000), parts: []Part{part("a", 5, 50), part("b", 2, 1000)}, engine: "b", keep: 5},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			d, ok := test.limits.Judge(test.parts, test.overruns)
			c.Assert(ok, qt.Equals, test.engine != "-", qt.Commentf("%+v", d))
			if !ok {
				return
			}
			c.Check(d.Engine, qt.Equals, test.engine)
			c.Check(d.Keep, qt.Equals, test.keep)
			c.Check(d.Overrun, qt.Equals, test.overrun)
			c.Check(strings.HasPrefix(d.Reason, "the output has "), qt.IsTrue, qt.Commentf("%s", d.Reason))
		})
	}
}

// TestDefectIsDropped guards against events of the engine at fault that stay in an output,
// and against an item that can't go on: what is kept must pass.
func TestDefectIsDropped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := NewLimits(rapid.IntRange(0, 30).Draw(t, "tokens"), rapid.IntRange(0, 4).Draw(t, "per-event"), rapid.IntRange(0, 300).Draw(t, "bytes"))
		var parts []Part
		for range rapid.IntRange(1, 6).Draw(t, "parts") { // Each part was judged when it came.
			parts = append(parts, Part{
				rapid.SampledFrom([]string{"a", "b", "c", ""}).Draw(t, "engine"), rapid.IntRange(1, 20).Draw(t, "events"), rapid.IntRange(1, 200).Draw(t, "bytes"),
			})
			d, ok := limits.Judge(parts, 0)
			if !ok {
				continue
			}
			kept := 0
			for _, p := range parts {
				if kept == d.Keep {
					break
				}
				if kept += p.Events; p.Engine == d.Engine || p.Engine == "" {
					t.Fatalf("%+v keeps events of %q: %+v", d, p.Engine, parts)
				}
			}
			if kept != d.Keep || kept >= total(parts) {
				t.Fatalf("%+v keeps a part of a part, or all: %+v", d, parts)
			}
			return
		}
	})
}

func total(parts []Part) int {
	n := 0
	for _, p := range parts {
		n += p.Events
	}
	return n
}
