package quorum

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestSpare(t *testing.T) {
	item := func(group string, remaining float64) Item { return Item{Group: group, Remaining: remaining} }
	done := func(group string) Item { return Item{Group: group, Done: true} }
	tests := map[string]struct {
		items  []Item
		needed int
		want   []bool
	}{
		"longest group":                 {[]Item{item("a", 5), item("a", 90), item("b", 20), item("b", 30)}, 1, []bool{true, true, false, false}},
		"all needed":                    {[]Item{item("a", 90), item("b", 20)}, 2, []bool{false, false}},
		"number not known":              {[]Item{item("a", 90), item("b", 20)}, 0, []bool{false, false}},
		"complete groups are needed":    {[]Item{done("a"), done("a"), item("b", 5), item("c", 9)}, 2, []bool{false, false, false, true}},
		"more complete than needed":     {[]Item{done("a"), done("b"), item("c", 5)}, 2, []bool{false, false, true}},
		"one item left in a long group": {[]Item{done("a"), item("a", 3), item("b", 9), item("b", 4)}, 1, []bool{false, false, true, true}},
		"long group came again":         {[]Item{item("a", 5), {Group: "b", Remaining: 90, Repeated: true}}, 1, []bool{true, false}},
		"tie":                           {[]Item{item("a", 7), item("b", 7)}, 1, []bool{false, true}},
		"no items":                      {nil, 3, []bool{}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Check(t, Spare(tc.items, tc.needed), qt.DeepEquals, tc.want)
		})
	}
}

// TestStepOfLongTailedItems runs training steps whose items have lengths with a long
// tail on engines with fewer slots than items: the load of a trainer that has fallen
// behind. The step ends when nine tenths of its groups are complete. If the items of the
// groups that can be left out come last, it must end sooner than in the order of the
// items' lengths alone, on average.
func TestStepOfLongTailedItems(t *testing.T) {
	const (
		groups, perGroup, needed = 30, 4, 27
		slots                    = 24
		steps                    = 200
	)
	rng := rand.New(rand.NewPCG(1, 2))
	sum := map[bool]float64{}
	for range steps {
		items := make([]Item, groups*perGroup)
		for i := range items {
			items[i] = Item{Group: fmt.Sprint(i / perGroup), Remaining: min(120, 4+rng.ExpFloat64()*rng.ExpFloat64()*20)}
		}
		for _, aware := range []bool{false, true} {
			sum[aware] += stepDuration(items, slots, needed, aware)
		}
	}
	qt.Check(t, sum[true] < 0.95*sum[false], qt.IsTrue, qt.Commentf("%.0f events a step, %.0f by length alone", sum[true]/steps, sum[false]/steps))
}

// stepDuration returns when as many groups as needed are complete. Items start in the
// order of their lengths, those that are spare after the others if aware is set.
func stepDuration(items []Item, slots, needed int, aware bool) float64 {
	spare := make([]bool, len(items))
	if aware {
		spare = Spare(items, needed)
	}
	order := make([]int, len(items))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		if spare[a] != spare[b] {
			return map[bool]int{false: -1, true: 1}[spare[a]]
		}
		return cmp.Compare(items[b].Remaining, items[a].Remaining)
	})
	free := make([]float64, slots) // when each slot is free
	end := make(map[string]float64)
	for _, i := range order {
		s := 0
		for k := range free {
			if free[k] < free[s] {
				s = k
			}
		}
		free[s] += items[i].Remaining
		end[items[i].Group] = max(end[items[i].Group], free[s])
	}
	var ends []float64
	for _, at := range end {
		ends = append(ends, at)
	}
	slices.Sort(ends)
	return ends[needed-1]
}
