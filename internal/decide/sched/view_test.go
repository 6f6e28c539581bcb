package sched

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// TestView checks which engines may take an item, and of which the state is unknown.
func TestView(t *testing.T) {
	fast, slow := Engine{ID: "fast", Slots: 2, EventInterval: 40}, Engine{ID: "slow", Slots: 2, EventInterval: 120}
	with := func(e Engine, change func(e *Engine)) Engine { change(&e); return e }
	outdated, silent := func(e *Engine) { e.Outdated = true }, func(e *Engine) { e.Silent, e.Outdated = true, true }
	v2 := func(e *Engine) { e.Software = "v2" }
	long, short := Item{ExpectedEvents: 170}, Item{ExpectedEvents: 10}
	begun := Item{ExpectedEvents: 100, Received: 10}
	avoids := func(it Item, ids ...string) Item { it.Avoid = sets.Of(ids...); return it }
	tests := map[string]struct {
		engine  Engine // the engine in question
		other   Engine
		item    Item
		want    Verdict
		unknown bool
	}{
		"free":                                  {fast, slow, long, Free, false},
		"free when last seen":                   {with(fast, outdated), slow, long, Free, true},
		"full":                                  {with(fast, func(e *Engine) { e.Running = 2 }), slow, long, Full, false},
		"in backoff":                            {with(fast, func(e *Engine) { e.InBackoff = true }), slow, long, InBackoff, false},
		"loading":                               {with(fast, func(e *Engine) { e.InBackoff, e.Loading = true, true }), slow, long, Loading, false},
		"unproven":                              {with(fast, func(e *Engine) { e.Unproven = true }), slow, long, Unproven, false},
		"too slow":                              {slow, fast, long, TooSlow, false},
		"too slow when last seen":               {with(slow, outdated), fast, long, TooSlow, true},
		"fast enough for what is left":          {slow, fast, short, Free, false},
		"no other engine answers":               {slow, with(fast, silent), long, Free, false},
		"other software":                        {with(fast, v2), slow, begun, OtherSoftware, false},
		"other software when last seen":         {with(fast, func(e *Engine) { v2(e); outdated(e) }), slow, begun, OtherSoftware, false},
		"slow, the fast have other software":    {slow, with(fast, v2), begun, Free, false},
		"avoided":                               {fast, with(fast, func(e *Engine) { e.ID = "other" }), avoids(long, "fast"), Avoided, false},
		"avoided, the other is full":            {fast, with(fast, func(e *Engine) { e.ID, e.Running = "other", 2 }), avoids(long, "fast"), Avoided, false},
		"both avoided":                          {fast, with(fast, func(e *Engine) { e.ID = "other" }), avoids(long, "fast", "other"), Free, false},
		"avoided, the other is too slow":        {fast, slow, avoids(long, "fast"), Free, false},
		"avoided, the other was too slow":       {fast, with(slow, outdated), avoids(long, "fast"), Avoided, false},
		"avoided, the other has other software": {fast, with(fast, func(e *Engine) { e.ID = "other"; v2(e) }), avoids(begun, "fast"), Free, false},
		"avoided, the other does not answer":    {fast, with(fast, func(e *Engine) { e.ID = "other"; silent(e) }), avoids(long, "fast"), Free, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engine := test.engine
			p := New([]*Engine{&engine, &test.other})
			view := p.View(test.item)
			c.Check(view.Verdict(&engine).String(), qt.Equals, test.want.String())
			c.Check(view.IsUnknown(&engine), qt.Equals, test.unknown)
			c.Check(view.Suits(&engine), qt.Equals, test.want > Avoided)
		})
	}
}
