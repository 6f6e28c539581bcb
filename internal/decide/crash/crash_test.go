package crash

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
)

func TestVerdict(t *testing.T) {
	innocents := func(from, n int) []string {
		var out []string
		for i := range n {
			out = append(out, fmt.Sprintf("i%d", from+i))
		}
		return out
	}
	bad := func(rs []string) []string { return append(rs, "bad") }
	tests := map[string]struct {
		crashes     []Crash
		clear, lift []string
		quarantined []string
		suspects    []string
	}{
		"one crash makes suspects": {
			crashes:  []Crash{{ID: "a/1", Requests: bad(innocents(0, 30))}},
			suspects: append(innocents(0, 30), "bad"),
		},
		"three crashes beside others": {
			crashes:     []Crash{{ID: "a/1", Requests: bad(innocents(0, 30))}, {ID: "b/1", Requests: bad(innocents(30, 5))}, {ID: "c/1", Requests: bad(nil)}},
			quarantined: []string{"bad"},
		},
		"told several times": {
			crashes: []Crash{{ID: "a/1", Requests: bad(nil)}, {ID: "a/1", Requests: bad(nil)}, {ID: "a/1", Requests: bad(nil)}, {ID: "b/1", Requests: bad(nil)}},
		},
		"one server only": {
			crashes:     []Crash{{ID: "a/1", Requests: bad(nil)}, {ID: "a/2", Requests: bad(nil)}, {ID: "a/3", Requests: bad(nil)}},
			quarantined: []string{"bad"},
		},
		"a server that crashes by itself": {
			crashes: []Crash{{ID: "a/1", Requests: nil}, {ID: "a/2", Requests: []string{"x"}}, {ID: "a/3", Requests: nil}, {ID: "a/4", Requests: []string{"x"}}, {ID: "a/5", Requests: nil}, {ID: "a/6", Requests: []string{"x"}}},
		},
		"innocent of another server's faults": {
			crashes: []Crash{{ID: "a/1", Requests: []string{"x"}}, {ID: "a/2", Requests: nil}, {ID: "b/1", Requests: []string{"x"}}, {ID: "c/1", Requests: []string{"x"}}},
		},
		"ended elsewhere": {
			crashes: []Crash{{ID: "a/1", Requests: bad(nil)}, {ID: "b/1", Requests: bad(nil)}, {ID: "c/1", Requests: bad(nil)}},
			clear:   []string{"bad"},
		},
		"lifted": {
			crashes: []Crash{{ID: "a/1", Requests: bad(nil)}, {ID: "b/1", Requests: bad(nil)}, {ID: "c/1", Requests: bad(nil)}},
			lift:    []string{"bad"},
		},
		"two that always ran together": {
			crashes:  []Crash{{ID: "a/1", Requests: []string{"x", "y"}}, {ID: "b/1", Requests: []string{"x", "y"}}, {ID: "c/1", Requests: []string{"x", "y"}}},
			suspects: []string{"x", "y"},
		},
		"together at first, apart later": {
			crashes:     []Crash{{ID: "a/1", Requests: []string{"x", "bad"}}, {ID: "b/1", Requests: []string{"bad"}}, {ID: "c/1", Requests: []string{"bad"}}},
			quarantined: []string{"bad"},
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) { // The order must not matter.
				c := qt.New(t)
				tb := New(DefaultPolicy())
				rand.New(rand.NewPCG(seed, 1)).Shuffle(len(tc.crashes), func(i, j int) {
					tc.crashes[i], tc.crashes[j] = tc.crashes[j], tc.crashes[i]
				})
				for _, k := range tc.crashes {
					tb.Add(1, k)
				}
				for _, r := range tc.clear {
					tb.Clear(r)
				}
				for _, r := range tc.lift {
					c.Assert(tb.Lift(r), qt.IsTrue)
				}
				var got []string
				for _, k := range tb.Quarantined() {
					got = append(got, k.Request)
				}
				c.Assert(got, qt.DeepEquals, tc.quarantined)
				for _, r := range tc.suspects {
					c.Assert(tb.IsSuspect(r), qt.IsTrue)
				}
			}
		})
	}
}

// TestSpread shows that a second entry reaches the same verdict, that a lift
// reaches it in any order, and that a new crash counts after a lift.
func TestSpread(t *testing.T) {
	c := qt.New(t)
	a, b := New(DefaultPolicy()), New(DefaultPolicy())
	for i := range 3 {
		a.Add(1, Crash{ID: fmt.Sprintf("n%d/1", i), Requests: []string{"bad", fmt.Sprintf("i%d", i)}})
	}
	tell := func(from, to *Tracker, now clock.Millis) {
		for _, k := range from.Crashes(now, clock.Minute) {
			to.Add(now, k)
		}
		to.MergeLifted(from.Lifted())
	}
	tell(a, b, clock.Hour/2)
	c.Assert(b.IsQuarantined("bad"), qt.IsTrue)
	c.Assert(b.IsSuspect("i1"), qt.IsFalse) // Old crashes are told without bystanders.
	b.Lift("bad")
	tell(b, a, clock.Hour/2)
	tell(a, b, clock.Hour/2)
	c.Assert(a.IsQuarantined("bad"), qt.IsFalse)
	c.Assert(b.IsQuarantined("bad"), qt.IsFalse)
	for i := range 3 {
		a.Add(2, Crash{ID: fmt.Sprintf("m%d/1", i), Requests: []string{"bad"}})
	}
	tell(b, a, 3)
	c.Assert(a.IsQuarantined("bad"), qt.IsTrue)
	a.Expire(2 * clock.Hour)
	c.Assert(a.IsEmpty(), qt.IsTrue)
}

// TestBounds shows that the table forgets the oldest crash beyond its bounds.
func TestBounds(t *testing.T) {
	c := qt.New(t)
	p := DefaultPolicy()
	tb := New(p)
	for i := range 2 * p.MaxCrashes {
		tb.Add(1, Crash{ID: fmt.Sprintf("n%d/1", i), Requests: []string{fmt.Sprint(i)}})
	}
	c.Assert(len(tb.events), qt.Equals, p.MaxCrashes)
	var many []string
	for i := range 2 * p.MaxRequests {
		many = append(many, fmt.Sprint("r", i))
	}
	tb.Add(1, Crash{ID: "x/1", Requests: many})
	c.Assert(len(tb.events[len(tb.events)-1].requests), qt.Equals, p.MaxRequests)
}
