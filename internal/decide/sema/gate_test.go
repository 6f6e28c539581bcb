package sema

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

type rec struct {
	agent  string
	leaves bool
}

// The pattern of both deployments: after an outage of the store two versions
// are named at once, and all engines want to load.
func TestBefore(t *testing.T) {
	tests := map[string]struct {
		recs   []rec
		now    clock.Millis
		offset int64
		want   int
	}{
		"first":                   {[]rec{{"a", false}, {"b", false}}, 100, 0, 0},
		"third":                   {[]rec{{"a", false}, {"b", false}, {"c", false}}, 100, 2, 2},
		"one has left":            {[]rec{{"a", false}, {"b", false}, {"c", false}, {"a", true}}, 100, 2, 1},
		"one enters again behind": {[]rec{{"a", false}, {"b", false}, {"c", false}, {"a", false}}, 100, 2, 1},
		"one has started anew":    {[]rec{{"a", false}, {"a", true}, {"b", false}}, 100, 2, 0},
		"one died inside":         {[]rec{{"a", false}, {"b", false}}, 100 + longest, 1, 0},
		"left without entering":   {[]rec{{"a", true}, {"b", false}}, 100, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			g := New()
			for i, r := range test.recs {
				g.Apply(50, int64(i), r.agent, r.leaves)
			}
			qt.New(t).Check(g.Ahead(test.now, test.offset), qt.Equals, test.want)
		})
	}
}

func TestReadAgain(t *testing.T) {
	c := qt.New(t)
	g := New()
	g.Apply(1, 0, "a", false)
	g.Apply(1, 1, "a", true)
	g.Apply(1, 0, "a", false) // read a second time
	c.Check(g.Ahead(2, 9), qt.Equals, 0)
	c.Check(g.Next(), qt.Equals, int64(2))
	g.Skip(7)
	c.Check(g.Next(), qt.Equals, int64(7))
}
