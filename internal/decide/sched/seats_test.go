package sched

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBest(t *testing.T) {
	fast := Engine{ID: "fast", Slots: 8, EventInterval: 40}
	slow := Engine{ID: "slow", Slots: 8, EventInterval: 120}
	full := func(s Engine) Engine { s.Running = s.Slots; return s }
	cool := func(s Engine) Engine { s.CoolingDown = true; return s }
	named := func(s Engine, id string) Engine { s.ID = id; return s }
	tests := map[string]struct {
		seats []Engine
		want  Item
		best  string
	}{
		"the faster one":                         {seats: []Engine{slow, fast, named(fast, "z")}, want: Item{ExpectedEvents: 20}, best: "fast"},
		"the less loaded one":                    {seats: []Engine{{ID: "a", Slots: 8, Running: 3, EventInterval: 40}, fast}, want: Item{ExpectedEvents: 20}, best: "fast"},
		"the nearer one":                         {seats: []Engine{{ID: "far", Slots: 8, EventInterval: 40, RoundTrip: 25}, fast}, want: Item{ExpectedEvents: 4}, best: "fast"},
		"short work on a slow engine":            {seats: []Engine{slow, full(fast), named(full(fast), "z")}, want: Item{ExpectedEvents: 10}, best: "slow"},
		"long work waits for a fast engine":      {seats: []Engine{slow, full(fast), named(full(fast), "z")}, want: Item{ExpectedEvents: 170}},
		"all slow means none is":                 {seats: []Engine{slow, named(slow, "other")}, want: Item{ExpectedEvents: 170}, best: "slow"},
		"an engine that refused":                 {seats: []Engine{cool(fast), named(fast, "z")}, want: Item{ExpectedEvents: 20}, best: "z"},
		"not where it just broke off":            {seats: []Engine{fast, named(fast, "z")}, want: Item{ExpectedEvents: 20, Avoid: "fast"}, best: "z"},
		"where it broke off if there's no other": {seats: []Engine{fast}, want: Item{ExpectedEvents: 20, Avoid: "fast"}, best: "fast"},
		"unknown paces":                          {seats: []Engine{{ID: "a", Slots: 4}}, want: Item{ExpectedEvents: 20}, best: "a"},
		"no slot":                                {seats: []Engine{full(fast)}, want: Item{ExpectedEvents: 20}},
		"no engine":                              {want: Item{ExpectedEvents: 20}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var ss []*Engine
			for i := range test.seats {
				ss = append(ss, &test.seats[i])
			}
			got := ""
			if s := New(ss).Best(test.want); s != nil {
				got = s.ID
			}
			c.Check(got, qt.Equals, test.best)
		})
	}
}

// The pattern of both deployments under load: a trainer has two jobs open, and
// the long items of the second must not wait for the short ones of the first.
func TestSort(t *testing.T) {
	c := qt.New(t)
	const due = 7500
	ws := []Item{
		{JobIndex: 0, Index: 0, AcceptedAt: 1000, DueAfter: due, ExpectedEvents: 10},
		{JobIndex: 0, Index: 1, AcceptedAt: 1000, DueAfter: due, ExpectedEvents: 170},
		{JobIndex: 0, Index: 2, AcceptedAt: 1000, DueAfter: due, ExpectedEvents: 170, Received: 165},
		{JobIndex: 1, Index: 3, AcceptedAt: 2000, DueAfter: due, ExpectedEvents: 180},
		{JobIndex: 1, Index: 4, AcceptedAt: 2000, DueAfter: due, ExpectedEvents: 20},
		{JobIndex: 1, Index: 5, AcceptedAt: 2000, DueAfter: due, ExpectedEvents: 400}, // can't be in time
	}
	Sort(ws, 40)
	var got []int
	for _, w := range ws {
		got = append(got, w.Index)
	}
	c.Check(got, qt.DeepEquals, []int{1, 5, 3, 0, 2, 4})
}

// The pattern of the grown deployments: a third of the slots is taken, so many
// engines run nothing, and one in six is in a slow moment unseen. A long item
// that leaves a slow engine goes where streams show that all is well.
func TestMoveToWhatShowsItsPace(t *testing.T) {
	at := Engine{ID: "at", Slots: 6, Running: 1, EventInterval: 48, SlowNow: true}
	idle, steady := Engine{ID: "idle", Slots: 6, EventInterval: 48}, Engine{ID: "steady", Slots: 6, Running: 1, EventInterval: 48, SteadyNow: true}
	tests := map[string]struct {
		idle, steady Engine
		want         string
	}{
		"steady before idle":               {idle, steady, "steady"},
		"idle if no other is free":         {idle, func() Engine { s := steady; s.Running = s.Slots; return s }(), "idle"},
		"not to one that was left as slow": {func() Engine { s := idle; s.SlowNow = true; return s }(), steady, "steady"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := New([]*Engine{&at, &test.idle, &test.steady})
			to := p.MoveTarget(&at, 30, 10, 20)
			c.Assert(to, qt.IsNotNil)
			c.Check(to.ID, qt.Equals, test.want)
		})
	}
}

func TestMove(t *testing.T) {
	fast, slow := Engine{ID: "fast", Slots: 8, EventInterval: 40}, Engine{ID: "slow", Slots: 8, EventInterval: 120}
	tests := map[string]struct {
		at         Engine
		size, made int
		fastOpen   int
		last       float64 // events that the longest item of the job lacks
		want       bool
	}{
		"long item off a slow engine": {at: slow, size: 100, made: 10, want: true},
		"nearly done":                 {at: slow, size: 12, made: 10},
		"past its estimate":           {at: slow, size: 10, made: 90, want: true},
		"no faster slot":              {at: slow, size: 100, made: 10, fastOpen: 8},
		"not off a usual engine":      {at: fast, size: 100, made: 10},
		"off a usual engine's hiccup": {at: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, size: 100, made: 10, want: true},
		"too short for a hiccup":      {at: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, size: 10, made: 9},
		"may be the last of its job":  {at: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, size: 100, made: 10, last: 120, want: true},
		"ends before the last anyway": {at: Engine{ID: "fast", Slots: 8, EventInterval: 40, SlowNow: true}, size: 100, made: 60, last: 120},
		"off a slow one in any case":  {at: slow, size: 100, made: 60, last: 120, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			at, f := test.at, fast
			at.Running = 1 // the item itself
			f.ID, f.Running = "other", test.fastOpen
			third := f
			third.ID, third.Running = "third", f.Slots
			p := New([]*Engine{&at, &f, &third})
			c.Check(p.MoveTarget(&at, test.size, test.made, test.last) != nil, qt.Equals, test.want)
		})
	}
}
