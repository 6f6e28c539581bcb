package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// TestMayOrder gives orders to an agent whose engine hosts version 5 of model
// a and ignores fencing numbers itself.
func TestMayOrder(t *testing.T) {
	tests := map[string]struct {
		learned []ident.Offset // from entries, in order
		orders  []plat.Order   // before the last one, all carried out
		last    plat.Order
		want    fault.Kind // empty if it may be carried out
	}{
		"a newer version":              {nil, nil, plat.Order{Model: "a", Version: 6}, ""},
		"the same version":             {nil, nil, plat.Order{Model: "a", Version: 5}, fault.StaleOrder},
		"a late order of an old one":   {nil, nil, plat.Order{Model: "a", Version: 4}, fault.StaleOrder},
		"another model without fence":  {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 9}, fault.StaleOrder},
		"another model by the holder":  {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, ""},
		"a holder newer than is known": {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 1, Fence: 9}, ""},
		"a holder paused past its lease": {
			[]ident.Offset{7, 9}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.StaleOrder,
		},
		"two holders": {
			[]ident.Offset{7},
			[]plat.Order{{Model: "b", Version: 1, Fence: 9}},
			plat.Order{Model: "c", Version: 1, Fence: 7},
			fault.StaleOrder,
		},
		"an entry that is behind lowers nothing": {
			[]ident.Offset{9, 7}, nil, plat.Order{Model: "b", Version: 1, Fence: 8}, fault.StaleOrder,
		},
		"a restarted agent that knows nothing": {nil, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.NotReady},
		"an entry that knows nothing":          {[]ident.Offset{0}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.NotReady},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := &Agent{}
			a.status.Store(&model.Status{Model: "a", Version: 5})
			for _, n := range tc.learned {
				a.fences.learn(n)
			}
			for _, o := range tc.orders {
				c.Assert(a.mayOrder(o), qt.IsNil)
				a.status.Store(&model.Status{Model: o.Model, Version: o.Version})
			}
			err := a.mayOrder(tc.last)
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(fault.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
