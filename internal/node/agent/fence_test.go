package agent

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// TestCheckOrder checks load orders for an engine that hosts version 5 of model a.
// The engine itself ignores fencing tokens, so the agent must refuse stale
// orders.
func TestCheckOrder(t *testing.T) {
	tests := map[string]struct {
		tokens []ident.Offset // reported by entries, in order
		orders []plat.Order   // earlier orders, all executed
		last   plat.Order
		want   fault.Kind // empty if the last order is accepted
	}{
		"a newer version":                            {nil, nil, plat.Order{Model: "a", Version: 6}, ""},
		"the same version":                           {nil, nil, plat.Order{Model: "a", Version: 5}, fault.StaleOrder},
		"a late order of an old version":             {nil, nil, plat.Order{Model: "a", Version: 4}, fault.StaleOrder},
		"another model without a fencing token":      {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 9}, fault.StaleOrder},
		"another model from the lease holder":        {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, ""},
		"a holder with a higher token than reported": {[]ident.Offset{7}, nil, plat.Order{Model: "b", Version: 1, Fence: 9}, ""},
		"a holder whose lease expired during a pause": {
			[]ident.Offset{7, 9}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.StaleOrder,
		},
		"two holders": {
			[]ident.Offset{7},
			[]plat.Order{{Model: "b", Version: 1, Fence: 9}},
			plat.Order{Model: "c", Version: 1, Fence: 7},
			fault.StaleOrder,
		},
		"an outdated entry does not lower the token": {
			[]ident.Offset{9, 7}, nil, plat.Order{Model: "b", Version: 1, Fence: 8}, fault.StaleOrder,
		},
		"a restarted agent without a token": {nil, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.NotReady},
		"an entry without a token":          {[]ident.Offset{0}, nil, plat.Order{Model: "b", Version: 1, Fence: 7}, fault.NotReady},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			a := &Agent{}
			a.status.Store(&model.Status{Model: "a", Version: 5})
			for _, n := range tc.tokens {
				a.fence.observe(n)
			}
			for _, o := range tc.orders {
				c.Assert(a.checkOrder(o), qt.IsNil)
				a.status.Store(&model.Status{Model: o.Model, Version: o.Version})
			}
			err := a.checkOrder(tc.last)
			if tc.want == "" {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(fault.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}
