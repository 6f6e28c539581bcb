package limit

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
)

// TestAdmit runs a sequence of steps, one letter each: s requests short work,
// l long work and x a short crash suspect; d releases the oldest request and w
// waits a minute. A request with an upper-case letter must be refused.
func TestAdmit(t *testing.T) {
	tests := map[string]struct {
		slots int
		steps string
	}{
		"all slots for short work":                      {8, "ssssssssS"},
		"one slot reserved for short work":              {8, "sllllllLsS"},
		"none reserved without short work":              {8, "llllllllL"},
		"the reservation expires":                       {8, "sllllllLwlL"},
		"a small agent reserves none":                   {2, "slL"},
		"a release frees the slot":                      {2, "ssSdsS"},
		"two crash suspects never run at the same time": {8, "xXsX"},
		"a crash suspect after the other one":           {8, "xXdx"},
		"sixteen slots reserve two":                     {16, "slllllllllllllLss"},
		"a refused crash suspect takes no slot":         {2, "xXsS"},
		"no slots":                                      {0, "SL"},
		"long work that came first keeps its slots":     {8, "lllllllsS"},
		"long work fills all slots first":               {8, "llllllllSL"},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			l := New(tc.slots)
			now := clock.Hour
			var admitted []Request
			for i, step := range tc.steps {
				var req Request
				switch step {
				case 'd':
					l.Release(now, admitted[0])
					admitted = admitted[1:]
					continue
				case 'w':
					now += clock.Minute
					continue
				case 's', 'S':
					req = Request{Short: true}
				case 'x', 'X':
					req = Request{Short: true, CrashSuspect: true}
				}
				err := l.Admit(now, "agent-1", req, 500)
				if step >= 'a' {
					c.Assert(err, qt.IsNil, qt.Commentf("step %d", i))
					admitted = append(admitted, req)
				} else {
					f, ok := fault.As(err)
					c.Assert(ok, qt.IsTrue, qt.Commentf("step %d", i))
					c.Assert(f.Kind(), qt.Equals, fault.Overloaded)
					c.Assert(f.RetryAfter(), qt.Equals, clock.Millis(500))
				}
				c.Assert(l.InUse(), qt.Equals, len(admitted))
			}
		})
	}
}

// TestRetryAfter releases a slot every 50 ms and checks the retry-after of
// refused work.
func TestRetryAfter(t *testing.T) {
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
		req  Request
		want clock.Millis
	}{{Request{Short: true}, 50}, {Request{}, 500}} {
		f, _ := fault.As(l.Admit(now, "agent-1", tc.req, 500))
		c.Assert(f.RetryAfter() <= tc.want && f.RetryAfter() >= tc.want-1, qt.IsTrue, qt.Commentf("%v", f.RetryAfter()))
	}
}

// TestReservedByDemand fills an agent with long work after short work has used
// half of the slots for 10 s.
func TestReservedByDemand(t *testing.T) {
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
