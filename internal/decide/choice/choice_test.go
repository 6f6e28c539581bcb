package choice

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

func init() { prop.Cases(20000) }

type member struct {
	pos  Position
	load float64
}

func (m *member) Position() *Position { return &m.pos }

// TestListAddDel checks that a list contains the right candidates after random
// additions and removals.
func TestListAddDel(t *testing.T) {
	prop.Check(t, func(t *rapid.T) {
		all := make([]member, 40)
		inList := make(map[*member]bool)
		var l List[*member]
		for _, i := range rapid.SliceOf(rapid.IntRange(0, 79)).Draw(t, "ops") {
			m := &all[i%40]
			if i < 40 {
				l.Add(m)
				inList[m] = true
			} else {
				l.Remove(m)
				delete(inList, m)
			}
		}
		seen := make(map[*member]bool)
		l.scan(func(m *member) (float64, bool) {
			seen[m] = true
			return 0, false
		})
		if l.Len() != len(inList) || len(seen) != len(inList) {
			t.Fatalf("%d in the list, %d seen, want %d", l.Len(), len(seen), len(inList))
		}
	})
}

func TestLeastLoaded(t *testing.T) {
	for _, n := range []int{1, maxScanned, 1000} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			var l List[*member]
			for i := range n {
				l.Add(&member{load: float64(i + 1)})
			}
			rng := rand.New(rand.NewPCG(1, 1))
			sum := 0.0
			const draws = 200
			for range draws {
				best, ok := l.LeastLoaded(rng, func(m *member) (float64, bool) { return m.load, true })
				c.Assert(ok, qt.IsTrue)
				sum += best.load
			}
			if n <= maxScanned {
				c.Assert(sum, qt.Equals, float64(draws)) // The least loaded candidate is chosen each time.
			}
			c.Assert(sum/draws < float64(n)/2+1, qt.IsTrue) // lower than the mean of random choices
			only := l.all[n-1]
			best, ok := l.LeastLoaded(rng, func(m *member) (float64, bool) { return 0, m == only })
			c.Assert(ok, qt.IsTrue, qt.Commentf("the only acceptable candidate was not found"))
			c.Assert(best, qt.Equals, only)
		})
	}
}

// TestRingMovesFewKeys checks that removing one of ten candidates changes the
// candidate only of the keys that it had.
func TestRingMovesFewKeys(t *testing.T) {
	c := qt.New(t)
	var r Ring[string]
	for i := range 10 {
		r.Add(fmt.Sprintf("agent-%d", i), fmt.Sprintf("agent-%d", i))
	}
	first := func(key string) (got string) {
		r.Walk(key, 1, func(s string) bool {
			got = s
			return true
		})
		return got
	}
	before := make(map[string]string)
	for i := range 1000 {
		k := fmt.Sprintf("prefix-%d", i)
		before[k] = first(k)
	}
	r.Remove("agent-3")
	for k, previous := range before {
		if previous != "agent-3" {
			c.Assert(first(k), qt.Equals, previous)
		} else {
			c.Assert(first(k), qt.Not(qt.Equals), previous)
		}
	}
}
