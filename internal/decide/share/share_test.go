package share

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/proof/prop"

	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
)

func engines(n int) []*fleet.Server {
	var out []*fleet.Server
	for i := range n {
		out = append(out, &fleet.Server{ID: fmt.Sprintf("i-%02d", i), Addr: fmt.Sprintf("10.%d.0.%d:80", i%3, i)})
	}
	return out
}

// Three trainers on 40 engines, two on 5 and others: each model has its share.
func TestEqualShares(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		n, m := rapid.IntRange(0, 60).Draw(t, "engines"), rapid.IntRange(1, 6).Draw(t, "models")
		var models []string
		for i := range m {
			models = append(models, fmt.Sprintf("m%d", i))
		}
		all := engines(n)
		out := Out(all, models)
		count := make(map[string]int)
		for _, model := range out {
			count[model]++
		}
		for _, model := range models {
			if count[model] < n/m || count[model] > (n+m-1)/m {
				t.Fatalf("%s has %d of %d engines for %d models", model, count[model], n, m)
			}
		}
		slices.Reverse(all)
		if again := Out(all, models); fmt.Sprint(again) != fmt.Sprint(out) {
			t.Fatalf("the shares depend on the order of the list: %v and %v", out, again)
		}
	})
}

// An engine that goes should move the models of few others: each move costs a
// load.
func TestFewMoves(t *testing.T) {
	c := qt.New(t)
	models := []string{"a", "b", "c"}
	for _, n := range []int{9, 40} {
		all := engines(n)
		before := Out(all, models)
		total := 0
		for gone := range all {
			left := slices.Delete(slices.Clone(all), gone, gone+1)
			for id, m := range Out(left, models) {
				if before[id] != m {
					total++
				}
			}
		}
		// On average no more than a tenth of the engines and one.
		c.Check(total <= n*(n/10+1), qt.IsTrue, qt.Commentf("%d engines: %d moves over %d losses", n, total, n))
	}
}

func TestSameIdentityAfterRestart(t *testing.T) {
	c := qt.New(t)
	models := []string{"a", "b"}
	all := engines(5)
	before := Out(all, models)
	again := *all[2]
	again.ID = "i-new"
	model := before[all[2].ID]
	all[2] = &again
	c.Check(Out(all, models)["i-new"], qt.Equals, model)
}

func TestLeavingEngineHasNoModel(t *testing.T) {
	c := qt.New(t)
	all := engines(3)
	all[0].Leaving = true
	out := Out(all, []string{"a", "b"})
	c.Check(out, qt.HasLen, 2)
	c.Check(Out(all, nil), qt.HasLen, 0)
}
