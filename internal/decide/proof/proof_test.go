package proof

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
)

func TestEnd(t *testing.T) {
	status := model.Status{Boot: 1, Model: "m", Version: 7}
	modified := func(fn func(*model.Status)) model.Status {
		s := status
		fn(&s)
		return s
	}
	tests := map[string]struct {
		before, after model.Status
		orders        uint64 // load orders sent during the segment
		want          ident.Version
	}{
		"no change":                         {before: status, after: status, want: 7},
		"the load report differs":           {before: status, after: modified(func(s *model.Status) { s.Load.Running = 3 }), want: 7},
		"a restart":                         {before: status, after: modified(func(s *model.Status) { s.Boot = 2 })},
		"another version":                   {before: status, after: modified(func(s *model.Status) { s.Version = 8 })},
		"an older version":                  {before: status, after: modified(func(s *model.Status) { s.Version = 6 })},
		"another model":                     {before: status, after: modified(func(s *model.Status) { s.Model = "n" })},
		"loading at the end":                {before: status, after: modified(func(s *model.Status) { s.Loading = true })},
		"loading at the beginning":          {before: modified(func(s *model.Status) { s.Loading = true }), after: status},
		"an order without a visible effect": {before: status, after: status, orders: 1},
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
