package fleet

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

// TestStatementOutlivesOlderNews guards against a server that counts as ready again after
// it stated that it leaves: its registry entry may be older, or lapse and come back. Only
// another incarnation counts as ready.
func TestStatementOutlivesOlderNews(t *testing.T) {
	const s = clock.Second
	ready := func(startedAt int64) *Server { return &Server{ID: "i", Service: "m", StartedAt: startedAt} }
	stated := func(l *List) { l.RecordLeaving(5*s, "i", 7) }
	tests := map[string]struct {
		steps   []func(l *List)
		now     clock.Millis
		leaving bool
	}{
		"no statement":                          {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }}},
		"after its entry":                       {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }, stated}, leaving: true},
		"before its entry":                      {steps: []func(l *List){stated, func(l *List) { l.Put(ready(7)) }}, leaving: true},
		"an older entry is read":                {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }, stated, func(l *List) { l.Put(ready(7)) }}, leaving: true},
		"the entry is removed and comes back":   {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }, stated, func(l *List) { l.Drop(6*s, "i") }, func(l *List) { l.Put(ready(7)) }}, now: 60 * s, leaving: true},
		"another incarnation":                   {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }, stated, func(l *List) { l.Put(ready(8)) }}},
		"an older entry of another incarnation": {steps: []func(l *List){stated, func(l *List) { l.Put(ready(8)) }, func(l *List) { l.Put(ready(7)) }}, leaving: true},
		"the entry names no start":              {steps: []func(l *List){stated, func(l *List) { l.Put(ready(0)) }}, leaving: true},
		"the statement names no start":          {steps: []func(l *List){func(l *List) { l.RecordLeaving(5*s, "i", 0) }, func(l *List) { l.Put(ready(7)) }}, leaving: true},
		"listed for long":                       {steps: []func(l *List){func(l *List) { l.Put(ready(7)) }, stated, func(l *List) { l.Expire(30 * clock.Minute) }}, now: clock.Hour, leaving: true},
		"not listed for long":                   {steps: []func(l *List){stated, func(l *List) { l.Expire(30 * clock.Minute) }, func(l *List) { l.Put(ready(7)) }}, now: clock.Hour},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := New()
			for _, step := range test.steps {
				snapshot, before := l.View().ByID("i"), Server{}
				if snapshot != nil {
					before = *snapshot
				}
				step(l)
				if snapshot != nil {
					c.Check(*snapshot, qt.DeepEquals, before, qt.Commentf("a published snapshot has changed"))
				}
				l.Expire(max(test.now, 5*s))
			}
			got := l.View().ByID("i")
			c.Assert(got, qt.IsNotNil)
			c.Check(got.IsLeaving(), qt.Equals, test.leaving)
			c.Check(got.Leaving, qt.IsFalse)
			c.Check(l.View().ByService("m")[0], qt.Equals, got)
		})
	}
}

// TestRepeatedStatement keeps the time of the first statement of an incarnation.
func TestRepeatedStatement(t *testing.T) {
	c := qt.New(t)
	l := New()
	l.Put(&Server{ID: "i", StartedAt: 7})
	c.Check(l.RecordLeaving(5*clock.Second, "i", 7), qt.IsTrue)
	c.Check(l.RecordLeaving(9*clock.Second, "i", 7), qt.IsFalse)
	c.Check(l.View().ByID("i").LeavingSince, qt.Equals, 5*clock.Second)
}
