package place

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/proof/prop"
)

// fleet returns engines from a text such as "aab": one letter a model, zones
// x, y, z in turn.
func fleet(models string) []Engine {
	var out []Engine
	for i, m := range models {
		out = append(out, Engine{
			Node:  ident.Node(fmt.Sprintf("n%02d", i)),
			Zone:  ident.Zone("xyz"[i%3 : i%3+1]),
			Model: ident.Service(string(m)),
		})
	}
	return out
}

func load(a, b float64) []Demand { return []Demand{{"a", a}, {"b", b}} }

// play runs the decision each second and returns the models of the engines.
func play(s *State, now *clock.Millis, es []Engine, seconds int, demand func(int) []Demand) (moves int) {
	for i := range seconds {
		*now += clock.Second
		if m, ok := s.Next(*now, es, demand(i)); ok {
			moves++
			for j := range es {
				if es[j].Node == m.Node {
					es[j].Model = m.Model
				}
			}
		}
	}
	return moves
}

func models(es []Engine) string {
	out := ""
	for _, e := range es {
		out += string(e.Model)
	}
	return out
}

func TestPlace(t *testing.T) {
	steady := func(a, b float64) func(int) []Demand { return func(int) []Demand { return load(a, b) } }
	tests := map[string]struct {
		fleet   string
		seconds int
		demand  func(int) []Demand
		a, b    int // engines after the run
		most    int // moves allowed
	}{
		"balanced stays":                {"aaabbb", 600, steady(10, 10), 3, 3, 0},
		"half an engine short stays":    {"aaabbb", 600, steady(11, 9), 3, 3, 0},
		"a model without engine gets":   {"aaaaaa", 2, steady(10, 1), 5, 1, 1},
		"a shortage must last":          {"aaabbb", 20, steady(20, 10), 3, 3, 0},
		"a lasting shortage moves":      {"aaabbb", 600, steady(20, 10), 4, 2, 1},
		"demand that swings does not":   {"aaabbb", 3600, func(i int) []Demand { return load(10+10*float64(i/20%2), 20-10*float64(i/20%2)) }, 3, 3, 0},
		"no demand keeps one":           {"aaabbb", 3600, steady(10, 0.01), 5, 1, 2},
		"an idle model gives up all":    {"aabbcc", 7200, steady(10, 10), 3, 3, 2},
		"more models than engines":      {"a", 60, steady(1, 2), 0, 1, 1},
		"nothing is asked":              {"aabb", 600, steady(0, 0), 2, 2, 0},
		"an empty fleet":                {"", 10, steady(1, 1), 0, 0, 0},
		"engines without a model serve": {"    ", 3600, steady(1, 1), 2, 2, 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			es := fleet(tc.fleet)
			for i := range es {
				if es[i].Model == " " {
					es[i].Model = ""
				}
			}
			now := clock.Hour
			moves := play(New(DefaultPolicy()), &now, es, tc.seconds, tc.demand)
			got := share(es, nil)
			count := func(n ident.Service) int {
				for _, m := range got {
					if m.name == n {
						return len(m.engines)
					}
				}
				return 0
			}
			c.Assert([]int{count("a"), count("b")}, qt.DeepEquals, []int{tc.a, tc.b}, qt.Commentf("%s", models(es)))
			c.Assert(moves <= tc.most, qt.IsTrue, qt.Commentf("%d moves", moves))
		})
	}
}

func TestOneMoveAtATime(t *testing.T) {
	c := qt.New(t)
	es := fleet("aaaa")
	es[2].Loading = true
	_, ok := New(DefaultPolicy()).Next(clock.Hour, es, load(1, 1))
	c.Assert(ok, qt.IsFalse)
}

func TestDonorKeepsItsZones(t *testing.T) {
	c := qt.New(t)
	es := fleet("aaaa") // zones x, y, z, x
	m, ok := New(DefaultPolicy()).Next(clock.Hour, es, load(1, 1))
	c.Assert(ok, qt.IsTrue)
	c.Assert(m.Node == "n00" || m.Node == "n03", qt.IsTrue, qt.Commentf("%v", m))
}

// Under any constant demand the moves end, and no model with demand is without
// an engine while another one has two.
func TestMovesEnd(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "engines")
		es := fleet(rapid.StringOfN(rapid.RuneFrom([]rune("abc")), n, n, -1).Draw(rt, "fleet"))
		d := []Demand{
			{"a", rapid.Float64Range(0, 50).Draw(rt, "a")},
			{"b", rapid.Float64Range(0, 50).Draw(rt, "b")},
			{"c", rapid.Float64Range(0, 50).Draw(rt, "c")},
		}
		s := New(DefaultPolicy())
		now := clock.Hour
		play(s, &now, es, 2*3600, func(int) []Demand { return d })
		late := play(s, &now, es, 3600, func(int) []Demand { return d })
		if late != 0 {
			rt.Fatalf("%d moves after two hours of constant demand: %s", late, models(es))
		}
		ms := share(es, d)
		spare, bare := false, false
		for _, m := range ms {
			spare = spare || len(m.engines) >= 2
			bare = bare || m.share > 0 && len(m.engines) == 0
		}
		if spare && bare {
			rt.Fatalf("a model is without an engine: %s %v", models(es), d)
		}
	})
}

func TestTellEvery(t *testing.T) {
	tests := map[string]struct {
		entries int
		want    clock.Millis
	}{
		"none":        {0, clock.Second},
		"one":         {1, clock.Second},
		"today":       {3, 1500 * clock.Milli},
		"400 entries": {400, 200 * clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(DemandInterval(tc.entries), qt.Equals, tc.want)
		})
	}
}
