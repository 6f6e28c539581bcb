package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

func TestEnd(t *testing.T) {
	seven := model.Status{Boot: 1, Model: "m", Version: 7}
	with := func(fn func(*model.Status)) model.Status {
		s := seven
		fn(&s)
		return s
	}
	tests := map[string]struct {
		before, after model.Status
		orders        uint64 // given meanwhile
		want          ident.Version
	}{
		"nothing happened":            {before: seven, after: seven, want: 7},
		"the load report differs":     {before: seven, after: with(func(s *model.Status) { s.Load.Running = 3 }), want: 7},
		"a restart":                   {before: seven, after: with(func(s *model.Status) { s.Boot = 2 })},
		"another version":             {before: seven, after: with(func(s *model.Status) { s.Version = 8 })},
		"an older version":            {before: seven, after: with(func(s *model.Status) { s.Version = 6 })},
		"another model":               {before: seven, after: with(func(s *model.Status) { s.Model = "n" })},
		"loading at the end":          {before: seven, after: with(func(s *model.Status) { s.Loading = true })},
		"loading at the beginning":    {before: with(func(s *model.Status) { s.Loading = true }), after: seven},
		"an order that left no trace": {before: seven, after: seven, orders: 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			v, err := Begin(tc.before, 4).End(tc.after, 4+tc.orders)
			if tc.want > 0 {
				c.Assert(err, qt.IsNil)
				c.Assert(v, qt.Equals, tc.want)
				return
			}
			c.Assert(fault.Is(err, fault.UnprovenVersion), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
