package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// TestAdmit offers work in order until it is refused; each letter is one
// piece: s short, l long, x a short suspect, d ends the first piece, w waits a
// minute. An upper-case letter must be refused.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		slots int
		work  string
	}{
		"all slots for short work":           {8, "ssssssssS"},
		"one slot kept for short work":       {8, "sllllllLsS"},
		"none kept without short work":       {8, "llllllllL"},
		"none kept long after short work":    {8, "sllllllLwlL"},
		"a small agent keeps none":           {2, "slL"},
		"an end gives the slot back":         {2, "ssSdsS"},
		"two suspects never run together":    {8, "xXsX"},
		"a suspect after the other one":      {8, "xXdx"},
		"sixteen slots keep two":             {16, "slllllllllllllLss"},
		"a refused suspect takes no slot":    {2, "xXsS"},
		"no slots":                           {0, "SL"},
		"long work fills up after it began":  {8, "lllllllsS"},
		"long work beyond what is kept only": {8, "llllllllSL"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := New(tc.slots)
			now := clock.Hour
			var open []Request
			for i, ch := range tc.work {
				var a Request
				switch ch {
				case 'd':
					l.Release(now, open[0])
					open = open[1:]
					continue
				case 'w':
					now += clock.Minute
					continue
				case 's', 'S':
					a = Request{Short: true}
				case 'x', 'X':
					a = Request{Short: true, CrashSuspect: true}
				}
				err := l.Admit(now, "agent-1", a, 500)
				if ch >= 'a' {
					c.Assert(err, qt.IsNil, qt.Commentf("piece %d", i))
					open = append(open, a)
				} else {
					f, ok := fault.As(err)
					c.Assert(ok, qt.IsTrue, qt.Commentf("piece %d", i))
					c.Assert(f.Kind(), qt.Equals, fault.Overloaded)
					c.Assert(f.RetryAfter(), qt.Equals, clock.Millis(500))
				}
				c.Assert(l.InUse(), qt.Equals, len(open))
			}
		})
	}
}

// TestHint ends work every 50 ms and looks when refused work shall come back.
func TestHint(t *testing.T) {
	c := qt.New(t)
	l := New(4)
	now := clock.Hour
	for range 4 {
		c.Assert(l.Admit(now, "agent-1", Request{Short: true}, 500), qt.IsNil)
	}
	for range 40 {
		now += 50
		l.Release(now, Request{Short: true})
		c.Assert(l.Admit(now, "agent-1", Request{Short: true}, 500), qt.IsNil)
	}
	for _, tc := range []struct {
		ask  Request
		want clock.Millis
	}{{Request{Short: true}, 50}, {Request{}, 500}} {
		f, _ := fault.As(l.Admit(now, "agent-1", tc.ask, 500))
		c.Assert(f.RetryAfter() <= tc.want && f.RetryAfter() >= tc.want-1, qt.IsTrue, qt.Commentf("%v", f.RetryAfter()))
	}
}

// TestKeptByDemand fills an agent with long work after short work has held
// half of its slots for a while.
func TestKeptByDemand(t *testing.T) {
	c := qt.New(t)
	l := New(16)
	now := clock.Hour
	for range 8 {
		c.Assert(l.Admit(now, "agent-1", Request{Short: true}, 500), qt.IsNil)
	}
	now += 10 * clock.Second
	for range 8 {
		l.Release(now, Request{Short: true})
	}
	admitted := 0
	for l.Admit(now, "agent-1", Request{}, 500) == nil {
		admitted++
	}
	c.Assert(admitted, qt.Equals, 8)
}
