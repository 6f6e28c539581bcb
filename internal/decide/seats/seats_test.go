package seats

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestBest(t *testing.T) {
	fast := Seat{ID: "fast", Slots: 8, Pace: 40}
	slow := Seat{ID: "slow", Slots: 8, Pace: 120}
	full := func(s Seat) Seat { s.Open = s.Slots; return s }
	cool := func(s Seat) Seat { s.Cool = true; return s }
	named := func(s Seat, id string) Seat { s.ID = id; return s }
	tests := map[string]struct {
		seats []Seat
		want  Want
		best  string
	}{
		"the faster one":                         {seats: []Seat{slow, fast, named(fast, "z")}, want: Want{Size: 20}, best: "fast"},
		"the less loaded one":                    {seats: []Seat{{ID: "a", Slots: 8, Open: 3, Pace: 40}, fast}, want: Want{Size: 20}, best: "fast"},
		"the nearer one":                         {seats: []Seat{{ID: "far", Slots: 8, Pace: 40, Far: 25}, fast}, want: Want{Size: 4}, best: "fast"},
		"short work on a slow engine":            {seats: []Seat{slow, full(fast), named(full(fast), "z")}, want: Want{Size: 10}, best: "slow"},
		"long work waits for a fast engine":      {seats: []Seat{slow, full(fast), named(full(fast), "z")}, want: Want{Size: 170}},
		"all slow means none is":                 {seats: []Seat{slow, named(slow, "other")}, want: Want{Size: 170}, best: "slow"},
		"an engine that refused":                 {seats: []Seat{cool(fast), named(fast, "z")}, want: Want{Size: 20}, best: "z"},
		"not where it just broke off":            {seats: []Seat{fast, named(fast, "z")}, want: Want{Size: 20, NotAt: "fast"}, best: "z"},
		"where it broke off if there's no other": {seats: []Seat{fast}, want: Want{Size: 20, NotAt: "fast"}, best: "fast"},
		"unknown paces":                          {seats: []Seat{{ID: "a", Slots: 4}}, want: Want{Size: 20}, best: "a"},
		"no slot":                                {seats: []Seat{full(fast)}, want: Want{Size: 20}},
		"no engine":                              {want: Want{Size: 20}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var ss []*Seat
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
	ws := []Want{
		{Job: 0, Item: 0, At: 1000, Due: due, Size: 10},
		{Job: 0, Item: 1, At: 1000, Due: due, Size: 170},
		{Job: 0, Item: 2, At: 1000, Due: due, Size: 170, Made: 165},
		{Job: 1, Item: 3, At: 2000, Due: due, Size: 180},
		{Job: 1, Item: 4, At: 2000, Due: due, Size: 20},
		{Job: 1, Item: 5, At: 2000, Due: due, Size: 400}, // can't be in time
	}
	Sort(ws, 40)
	var got []int
	for _, w := range ws {
		got = append(got, w.Item)
	}
	c.Check(got, qt.DeepEquals, []int{1, 5, 3, 0, 2, 4})
}

// The pattern of the grown deployments: a third of the slots is taken, so many
// engines run nothing, and one in six is in a slow moment unseen. A long item
// that leaves a slow engine goes where streams show that all is well.
func TestMoveToWhatShowsItsPace(t *testing.T) {
	at := Seat{ID: "at", Slots: 6, Open: 1, Pace: 48, Hiccup: true}
	idle, steady := Seat{ID: "idle", Slots: 6, Pace: 48}, Seat{ID: "steady", Slots: 6, Open: 1, Pace: 48, Steady: true}
	tests := map[string]struct {
		idle, steady Seat
		want         string
	}{
		"steady before idle":               {idle, steady, "steady"},
		"idle if no other is free":         {idle, func() Seat { s := steady; s.Open = s.Slots; return s }(), "idle"},
		"not to one that was left as slow": {func() Seat { s := idle; s.Hiccup = true; return s }(), steady, "steady"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			p := New([]*Seat{&at, &test.idle, &test.steady})
			to := p.Move(&at, 30, 10, 20)
			c.Assert(to, qt.IsNotNil)
			c.Check(to.ID, qt.Equals, test.want)
		})
	}
}

func TestMove(t *testing.T) {
	fast, slow := Seat{ID: "fast", Slots: 8, Pace: 40}, Seat{ID: "slow", Slots: 8, Pace: 120}
	tests := map[string]struct {
		at         Seat
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
		"off a usual engine's hiccup": {at: Seat{ID: "fast", Slots: 8, Pace: 40, Hiccup: true}, size: 100, made: 10, want: true},
		"too short for a hiccup":      {at: Seat{ID: "fast", Slots: 8, Pace: 40, Hiccup: true}, size: 10, made: 9},
		"may be the last of its job":  {at: Seat{ID: "fast", Slots: 8, Pace: 40, Hiccup: true}, size: 100, made: 10, last: 120, want: true},
		"ends before the last anyway": {at: Seat{ID: "fast", Slots: 8, Pace: 40, Hiccup: true}, size: 100, made: 60, last: 120},
		"off a slow one in any case":  {at: slow, size: 100, made: 60, last: 120, want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			at, f := test.at, fast
			at.Open = 1 // the item itself
			f.ID, f.Open = "other", test.fastOpen
			third := f
			third.ID, third.Open = "third", f.Slots
			p := New([]*Seat{&at, &f, &third})
			c.Check(p.Move(&at, test.size, test.made, test.last) != nil, qt.Equals, test.want)
		})
	}
}
