package sched

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

func TestBest(t *testing.T) {
	fast := Engine{ID: "fast", Slots: 8, EventInterval: 40}
	slow := Engine{ID: "slow", Slots: 8, EventInterval: 120}
	full := func(e Engine) Engine { e.Running = e.Slots; return e }
	inBackoff := func(e Engine) Engine { e.InBackoff = true; return e }
	withID := func(e Engine, id string) Engine { e.ID = id; return e }
	tests := map[string]struct {
		engines []Engine
		item    Item
		best    string
	}{
		"faster engine":                                        {engines: []Engine{slow, fast, withID(fast, "z")}, item: Item{ExpectedEvents: 20}, best: "fast"},
		"less loaded engine":                                   {engines: []Engine{{ID: "a", Slots: 8, Running: 3, EventInterval: 40}, fast}, item: Item{ExpectedEvents: 20}, best: "fast"},
		"prompt, nothing declared":                             {engines: []Engine{{ID: "far", Slots: 8, EventInterval: 38}, fast}, item: Item{ExpectedEvents: 100, PromptKB: 500}, best: "far"},
		"small prompt":                                         {engines: []Engine{{ID: "far", Slots: 8, EventInterval: 38, PricePerKB: 1}, fast}, item: Item{ExpectedEvents: 100, PromptKB: 10}, best: "far"},
		"prompt is not worth it":                               {engines: []Engine{{ID: "far", Slots: 8, EventInterval: 38, PricePerKB: 1}, fast}, item: Item{ExpectedEvents: 100, PromptKB: 500}, best: "fast"},
		"only the far one is free":                             {engines: []Engine{{ID: "far", Slots: 8, EventInterval: 38, PricePerKB: 1}, full(fast)}, item: Item{ExpectedEvents: 100, PromptKB: 500}, best: "far"},
		"nearer engine":                                        {engines: []Engine{{ID: "far", Slots: 8, EventInterval: 40, RoundTrip: 25}, fast}, item: Item{ExpectedEvents: 4}, best: "fast"},
		"short item on a slow engine":                          {engines: []Engine{slow, full(fast), withID(full(fast), "z")}, item: Item{ExpectedEvents: 10}, best: "slow"},
		"long item waits for a fast engine":                    {engines: []Engine{slow, full(fast), withID(full(fast), "z")}, item: Item{ExpectedEvents: 170}},
		"all engines slow":                                     {engines: []Engine{slow, withID(slow, "other")}, item: Item{ExpectedEvents: 170}, best: "slow"},
		"engine in backoff":                                    {engines: []Engine{inBackoff(fast), withID(fast, "z")}, item: Item{ExpectedEvents: 20}, best: "z"},
		"not the engine of the previous attempt":               {engines: []Engine{fast, withID(fast, "z")}, item: Item{ExpectedEvents: 20, Avoid: sets.Of("fast")}, best: "z"},
		"engine of the previous attempt if it is the only one": {engines: []Engine{fast}, item: Item{ExpectedEvents: 20, Avoid: sets.Of("fast")}, best: "fast"},
		"unknown event intervals":                              {engines: []Engine{{ID: "a", Slots: 4}}, item: Item{ExpectedEvents: 20}, best: "a"},
		"no free slot":                                         {engines: []Engine{full(fast)}, item: Item{ExpectedEvents: 20}},
		"no engine":                                            {item: Item{ExpectedEvents: 20}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var engines []*Engine
			for i := range test.engines {
				engines = append(engines, &test.engines[i])
			}
			got := ""
			if e := New(engines).Best(test.item); e != nil {
				got = e.ID
			}
			c.Check(got, qt.Equals, test.best)
		})
	}
}

// TestSort sorts the items of two open jobs of a trainer, as occur at both example
// deployments under load. The long items of the second job must not wait for the
// short items of the first.
func TestSort(t *testing.T) {
	c := qt.New(t)
	const dueAfter = 7500
	items := []Item{
		{JobIndex: 0, Index: 0, AcceptedAt: 1000, DueAfter: dueAfter, ExpectedEvents: 10},
		{JobIndex: 0, Index: 1, AcceptedAt: 1000, DueAfter: dueAfter, ExpectedEvents: 170},
		{JobIndex: 0, Index: 2, AcceptedAt: 1000, DueAfter: dueAfter, ExpectedEvents: 170, Received: 165},
		{JobIndex: 1, Index: 3, AcceptedAt: 2000, DueAfter: dueAfter, ExpectedEvents: 180},
		{JobIndex: 1, Index: 4, AcceptedAt: 2000, DueAfter: dueAfter, ExpectedEvents: 20},
		{JobIndex: 1, Index: 5, AcceptedAt: 2000, DueAfter: dueAfter, ExpectedEvents: 400}, // can't meet its deadline
	}
	Sort(items, 40)
	var got []int
	for _, it := range items {
		got = append(got, it.Index)
	}
	c.Check(got, qt.DeepEquals, []int{1, 5, 3, 0, 2, 4})
}

// TestMovePrefersSteadyEngine checks that an item migrates to an engine
// whose streams show its usual speed, rather than to an idle engine. In the larger
// deployments a third of the slots is in use, so many engines are idle, and one
// engine in six is in a transient slowdown that nothing shows.
func TestMovePrefersSteadyEngine(t *testing.T) {
	from := Engine{ID: "at", Slots: 6, Running: 1, EventInterval: 48, SlowNow: true}
	idle, steady := Engine{ID: "idle", Slots: 6, EventInterval: 48}, Engine{ID: "steady", Slots: 6, Running: 1, EventInterval: 48, SteadyNow: true}
	tests := map[string]struct {
		idle, steady Engine
		want         string
	}{
		"steady engine preferred":                 {idle, steady, "steady"},
		"idle engine if no other has a free slot": {idle, func() Engine { e := steady; e.Running = e.Slots; return e }(), "idle"},
		"not an engine in a slowdown":             {func() Engine { e := idle; e.SlowNow = true; return e }(), steady, "steady"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := New([]*Engine{&from, &test.idle, &test.steady})
			m, ok := p.Move(0, &from, Item{ExpectedEvents: 30, Received: 10}, 20)
			c.Assert(ok, qt.IsTrue)
			c.Check(m.To.ID, qt.Equals, test.want)
		})
	}
}

func TestMove(t *testing.T) {
	fast, slow := Engine{ID: "fast", Slots: 8, EventInterval: 40}, Engine{ID: "slow", Slots: 8, EventInterval: 120}
	tests := map[string]struct {
		from               Engine
		expected, received int
		otherRunning       int          // runs on the faster engine
		longest            float64      // events that the longest item of the job lacks
		now, due           clock.Millis // time since the job was accepted, and in which its results are due
		stalled            bool
		want               bool
	}{
		"long item on a slow engine":              {from: slow, expected: 100, received: 10, want: true},
		"nearly complete":                         {from: slow, expected: 12, received: 10},
		"beyond its estimate":                     {from: slow, expected: 10, received: 90, want: true},
		"faster engine is full":                   {from: slow, expected: 100, received: 10, otherRunning: 8},
		"engine at its usual speed":               {from: fast, expected: 100, received: 10},
		"engine in a slowdown":                    {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 100, received: 10, want: true},
		"item too short to migrate in a slowdown": {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 10, received: 9},
		"item may be the last of its job":         {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 100, received: 10, longest: 120, want: true},
		"item ends before the last one anyway":    {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 100, received: 60, longest: 120},
		"any item on a slow engine":               {from: slow, expected: 100, received: 60, longest: 120, want: true},
		"slow engine, ends before the last one":   {from: slow, expected: 100, received: 80, longest: 120, due: 7500},
		"slow engine, its results are due soon":   {from: slow, expected: 100, received: 80, longest: 120, now: 3000, due: 7500, want: true},
		"slowdown, though it ends early":          {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 30, received: 10, due: 7500, want: true},
		"slowdown, ends late":                     {from: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, expected: 30, received: 10, now: 4000, due: 7500, want: true},
		"stalled, though it would end early":      {from: fast, expected: 30, received: 10, due: 7500, stalled: true, want: true},
		"slow engine, though it ends early":       {from: slow, expected: 30, received: 10, due: 7500, want: true},
		"slow engine, nothing else runs":          {from: slow, expected: 100, received: 80, longest: 20, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			from, other := test.from, fast
			from.Running = 1 // the item itself
			other.ID, other.Running = "other", test.otherRunning
			third := other
			third.ID, third.Running = "third", other.Slots
			p := New([]*Engine{&from, &other, &third})
			_, ok := p.Move(test.now, &from, Item{DueAfter: test.due, ExpectedEvents: test.expected, Received: test.received, Stalled: test.stalled}, test.longest)
			c.Check(ok, qt.Equals, test.want)
		})
	}
}

// TestItemStaysWithItsSoftware guards against an item that goes on at an engine with
// other software than that which began its output, and against one that waits forever
// although another engine could make its output once more.
func TestItemStaysWithItsSoftware(t *testing.T) {
	engine := func(id, software string, interval float64, running int) Engine {
		return Engine{ID: id, Software: software, Slots: 2, EventInterval: interval, Running: running}
	}
	v1, v2 := engine("v1", "1", 40, 0), engine("v2", "2", 40, 0)
	v1Full, slowV1 := engine("v1", "1", 40, 2), engine("v1", "1", 200, 0)
	moreV2 := []Engine{v2, engine("v2b", "2", 40, 0)}
	begun := Item{ExpectedEvents: 100, Received: 10, Software: "1"}
	waited := func(it Item, d clock.Millis) Item { it.WaitingFor = d; return it }
	tests := map[string]struct {
		engines   []Engine
		item      Item
		best      string
		startOver string
	}{
		"not begun":                             {[]Engine{v2}, Item{ExpectedEvents: 100}, "v2", ""},
		"engine of its software":                {append(moreV2, v1), begun, "v1", ""},
		"slow engine of its software":           {append(moreV2, slowV1), begun, "v1", ""},
		"its engines are full":                  {[]Engine{v1Full, v2}, waited(begun, 399), "", ""},
		"its engines are full for too long":     {[]Engine{v1Full, v2}, waited(begun, 400), "", "v2"},
		"all engines are full":                  {[]Engine{v1Full, engine("v2", "2", 40, 2)}, waited(begun, 4000), "", ""},
		"no engine of its software is left":     {[]Engine{v2}, begun, "", "v2"},
		"the engine that it left is its last":   {[]Engine{v1, v2}, Item{ExpectedEvents: 100, Received: 10, Software: "1", Avoid: sets.Of("v1")}, "v1", ""},
		"engines that name no software are one": {[]Engine{engine("a", "", 40, 0)}, Item{ExpectedEvents: 100, Received: 10}, "a", ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var engines []*Engine
			for _, e := range test.engines {
				engines = append(engines, &e)
			}
			p := New(engines)
			id := func(e *Engine) string {
				if e == nil {
					return ""
				}
				return e.ID
			}
			c.Check(id(p.Best(test.item)), qt.Equals, test.best)
			if test.best == "" {
				c.Check(id(p.BestToStartOver(test.item)), qt.Equals, test.startOver)
			}
		})
	}
	from := engine("v1", "1", 200, 1)
	p := New([]*Engine{&from, &v2, {ID: "limited", Software: "1", Slots: 2, EventInterval: 40, Limited: true}})
	c := qt.New(t)
	_, ok := p.Move(0, &from, Item{ExpectedEvents: 100, Received: 10}, 100)
	c.Check(ok, qt.IsFalse, qt.Commentf("migration to other software or a limited engine"))
	m, _ := p.Move(0, &from, Item{ExpectedEvents: 100}, 100)
	c.Check(m.To, qt.Equals, &v2, qt.Commentf("before the first event"))
}

// TestIdleEngines assigns the items of a training step to engines of two speeds that have
// been idle since the step before: without what they usually show, a third of the items
// would start at engines that are two and a half times slower and move after a few events.
func TestIdleEngines(t *testing.T) {
	tests := map[string]struct {
		engines []Engine
		want    string
	}{
		"usual speeds are known":             {[]Engine{{ID: "slow", UsualInterval: 71}, {ID: "fast", UsualInterval: 29}, {ID: "far", UsualInterval: 29, RoundTrip: 24}}, "fast"},
		"a measurement of the moment counts": {[]Engine{{ID: "slowed", UsualInterval: 29, EventInterval: 101}, {ID: "slow", UsualInterval: 71}}, "slow"},
		"nothing is known of one":            {[]Engine{{ID: "new"}, {ID: "fast", UsualInterval: 29}, {ID: "slow", UsualInterval: 71}}, "new"},
		"nothing is known of one of a kind":  {[]Engine{{ID: "far", UsualInterval: 29, RoundTrip: 24}, {ID: "new"}, {ID: "slowed", UsualInterval: 29, EventInterval: 101}}, "new"},
		"slow engines only":                  {[]Engine{{ID: "slow", UsualInterval: 71}}, "slow"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var engines []*Engine
			for _, e := range test.engines {
				e.Slots = 6
				engines = append(engines, &e)
			}
			best := New(engines).Best(Item{ExpectedEvents: 18})
			c.Assert(best, qt.IsNotNil)
			c.Check(best.ID, qt.Equals, test.want)
		})
	}
}

// TestWaitEnds guards against an item that waits for fast engines whose slots don't become
// free as expected, while a slower engine is idle.
func TestWaitEnds(t *testing.T) {
	fast, slow := Engine{ID: "fast", Slots: 6, Running: 6, UsualInterval: 29}, Engine{ID: "slow", Slots: 6, UsualInterval: 71}
	tests := map[string]struct {
		item Item
		want bool // whether it starts at the slow engine
	}{
		"has just come":                           {Item{ExpectedEvents: 20}, false},
		"waited less than the slow engine takes":  {Item{ExpectedEvents: 20, PendingFor: 1400}, false},
		"waited as long as the slow engine takes": {Item{ExpectedEvents: 20, PendingFor: 1500}, true},
		"many items come before it":               {Item{ExpectedEvents: 20, Ahead: 30}, true},
		"short":                                   {Item{ExpectedEvents: 4, Ahead: 6}, true},
		"longer than any wait":                    {Item{ExpectedEvents: 100, Ahead: 6, PendingFor: 1500}, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := New([]*Engine{&fast, &slow})
			p.SetMeanEvents(18)
			c.Check(p.Best(test.item) == &slow, qt.Equals, test.want)
		})
	}
}
