package sema

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

type record struct {
	agent   string
	release bool
}

// TestMayLoad covers the queue that forms after a store outage: two versions are
// announced at once, and all engines want to load.
func TestMayLoad(t *testing.T) {
	tests := map[string]struct {
		records []record
		seenAt  clock.Millis // when the queue was looked at before, 0 for never
		now     clock.Millis
		offset  int64
		limit   int
		want    bool
	}{
		"first in the queue":       {[]record{{"a", false}, {"b", false}}, 0, 100, 0, 1, true},
		"third in the queue":       {[]record{{"a", false}, {"b", false}, {"c", false}}, 0, 100, 2, 2, false},
		"within the limit":         {[]record{{"a", false}, {"b", false}, {"c", false}}, 0, 100, 2, 3, true},
		"one agent released":       {[]record{{"a", false}, {"b", false}, {"c", false}, {"a", true}}, 0, 100, 2, 2, true},
		"one agent enqueued again": {[]record{{"a", false}, {"b", false}, {"c", false}, {"a", false}}, 0, 100, 2, 2, true},
		"one agent restarted":      {[]record{{"a", false}, {"a", true}, {"b", false}}, 0, 100, 2, 1, true},
		"the holder timed out":     {[]record{{"a", false}, {"b", false}}, 100, 101 + holdTimeout, 1, 1, true},
		"the holder is new":        {[]record{{"a", false}, {"b", false}}, 0, 101 + holdTimeout, 1, 1, false},
		"a waiting agent counts":   {[]record{{"a", false}, {"b", false}, {"c", false}}, 100, 101 + holdTimeout, 2, 1, false},
		"release without enqueue":  {[]record{{"a", true}, {"b", false}}, 0, 100, 1, 1, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := New()
			for i, r := range test.records {
				s.Apply(int64(i), r.agent, r.release)
			}
			if test.seenAt > 0 {
				s.MayLoad(test.seenAt, test.offset, test.limit)
			}
			qt.New(t).Check(s.MayLoad(test.now, test.offset, test.limit), qt.Equals, test.want)
		})
	}
}

// TestLongQueue lets all engines of a large fleet load at the same time, so that most
// of them wait for longer than the hold timeout. The limit must hold nevertheless, and
// one agent that dies while it holds the semaphore must not stop the others.
func TestLongQueue(t *testing.T) {
	const (
		agents, limit = 200, 10
		loadTime      = 900 * clock.Milli
	)
	c := qt.New(t)
	type agent struct {
		view           *Semaphore
		offset         int64
		loadingUntil   clock.Millis
		loading, ended bool
	}
	var log []record
	all := make([]*agent, agents)
	for i := range all {
		all[i] = &agent{view: New(), offset: int64(len(log))}
		log = append(log, record{fmt.Sprint(i), false})
	}
	const dead = 3
	ended, maxLoading := 0, 0
	for now := clock.Millis(1); ended < agents-1; now += 100 {
		c.Assert(now < agents/limit*(2*loadTime)+2*holdTimeout, qt.IsTrue, qt.Commentf("%d agents have loaded", ended))
		loading := 0
		for i, a := range all {
			for a.view.NextOffset() < int64(len(log)) {
				r := log[a.view.NextOffset()]
				a.view.Apply(a.view.NextOffset(), r.agent, r.release)
			}
			switch {
			case a.ended || i == dead && a.loading:
			case a.loading && now >= a.loadingUntil:
				a.ended, a.loading = true, false
				log = append(log, record{fmt.Sprint(i), true})
				ended++
			case !a.loading && a.view.MayLoad(now, a.offset, limit):
				a.loading, a.loadingUntil = true, now+loadTime
			}
			if a.loading && i != dead {
				loading++
			}
		}
		maxLoading = max(maxLoading, loading)
	}
	c.Check(maxLoading <= limit, qt.IsTrue, qt.Commentf("%d loads at once", maxLoading))
}

func TestRepeatedRecord(t *testing.T) {
	c := qt.New(t)
	s := New()
	s.Apply(0, "a", false)
	s.Apply(1, "a", true)
	s.Apply(0, "a", false) // a duplicate read
	c.Check(s.MayLoad(2, 9, 1), qt.IsTrue)
	c.Check(s.NextOffset(), qt.Equals, int64(2))
	s.Skip(7)
	c.Check(s.NextOffset(), qt.Equals, int64(7))
}
