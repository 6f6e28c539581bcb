package sema

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

type record struct {
	agent   string
	release bool
}

// TestAhead covers the queue that forms at both example deployments after a store outage:
// two versions are announced at once, and all engines want to load.
func TestAhead(t *testing.T) {
	tests := map[string]struct {
		records []record
		now     clock.Millis
		offset  int64
		want    int
	}{
		"first in the queue":       {[]record{{"a", false}, {"b", false}}, 100, 0, 0},
		"third in the queue":       {[]record{{"a", false}, {"b", false}, {"c", false}}, 100, 2, 2},
		"one agent released":       {[]record{{"a", false}, {"b", false}, {"c", false}, {"a", true}}, 100, 2, 1},
		"one agent enqueued again": {[]record{{"a", false}, {"b", false}, {"c", false}, {"a", false}}, 100, 2, 1},
		"one agent restarted":      {[]record{{"a", false}, {"a", true}, {"b", false}}, 100, 2, 0},
		"one agent timed out":      {[]record{{"a", false}, {"b", false}}, 100 + holdTimeout, 1, 0},
		"release without enqueue":  {[]record{{"a", true}, {"b", false}}, 100, 1, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, r := range test.records {
				s.Apply(50, int64(i), r.agent, r.release)
			}
			qt.New(t).Check(s.Ahead(test.now, test.offset), qt.Equals, test.want)
		})
	}
}

func TestRepeatedRecord(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.Apply(1, 0, "a", false)
	s.Apply(1, 1, "a", true)
	s.Apply(1, 0, "a", false) // a duplicate read
	c.Check(s.Ahead(2, 9), qt.Equals, 0)
	c.Check(s.NextOffset(), qt.Equals, int64(2))
	s.Skip(7)
	c.Check(s.NextOffset(), qt.Equals, int64(7))
}
