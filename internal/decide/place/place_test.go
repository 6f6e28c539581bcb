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

func init() { prop.Cases(300) }

// makeEngines returns an engine for each letter of a string such as "aab"; the
// letter is the model that it hosts. The zones of the engines are x, y and z in
// turn.
func makeEngines(models string) []Engine {
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

func demands(a, b float64) []Demand { return []Demand{{"a", a}, {"b", b}} }

// run calls Next each second, applies its moves to the engines and returns the
// number of moves.
func run(s *State, now *clock.Millis, engines []Engine, seconds int, demand func(int) []Demand) (moves int) {
	for i := range seconds {
		*now += clock.Second
		if m, ok := s.Next(*now, engines, demand(i)); ok {
			moves++
			for j := range engines {
				if engines[j].Node == m.Node {
					engines[j].Model = m.Model
				}
			}
		}
	}
	return moves
}

func hostedModels(engines []Engine) string {
	out := ""
	for _, e := range engines {
		out += string(e.Model)
	}
	return out
}

func TestNext(t *testing.T) {
	constant := func(a, b float64) func(int) []Demand { return func(int) []Demand { return demands(a, b) } }
	tests := map[string]struct {
		models   string
		seconds  int
		demand   func(int) []Demand
		a, b     int // engines after the run
		maxMoves int
	}{
		"no move when balanced":                  {"aaabbb", 600, constant(10, 10), 3, 3, 0},
		"no move for half an engine":             {"aaabbb", 600, constant(11, 9), 3, 3, 0},
		"model without an engine":                {"aaaaaa", 2, constant(10, 1), 5, 1, 1},
		"no move for a short shortage":           {"aaabbb", 20, constant(20, 10), 3, 3, 0},
		"move after a long shortage":             {"aaabbb", 600, constant(20, 10), 4, 2, 1},
		"no move for alternating demand":         {"aaabbb", 3600, func(i int) []Demand { return demands(10+10*float64(i/20%2), 20-10*float64(i/20%2)) }, 3, 3, 0},
		"low demand keeps one engine":            {"aaabbb", 3600, constant(10, 0.01), 5, 1, 2},
		"model without demand loses all engines": {"aabbcc", 7200, constant(10, 10), 3, 3, 2},
		"more models than engines":               {"a", 60, constant(1, 2), 0, 1, 1},
		"no demand at all":                       {"aabb", 600, constant(0, 0), 2, 2, 0},
		"no engines":                             {"", 10, constant(1, 1), 0, 0, 0},
		"engines without a model are used":       {"    ", 3600, constant(1, 1), 2, 2, 4},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			engines := makeEngines(tc.models)
			for i := range engines {
				if engines[i].Model == " " {
					engines[i].Model = ""
				}
			}
			now := clock.Hour
			moves := run(New(DefaultPolicy()), &now, engines, tc.seconds, tc.demand)
			got := allocate(engines, nil)
			count := func(n ident.Service) int {
				for _, m := range got {
					if m.name == n {
						return len(m.engines)
					}
				}
				return 0
			}
			c.Assert([]int{count("a"), count("b")}, qt.DeepEquals, []int{tc.a, tc.b}, qt.Commentf("%s", hostedModels(engines)))
			c.Assert(moves <= tc.maxMoves, qt.IsTrue, qt.Commentf("%d moves", moves))
		})
	}
}

func TestOneMoveAtATime(t *testing.T) {
	c := qt.New(t)
	engines := makeEngines("aaaa")
	engines[2].Loading = true
	_, ok := New(DefaultPolicy()).Next(clock.Hour, engines, demands(1, 1))
	c.Assert(ok, qt.IsFalse)
}

func TestDonorZone(t *testing.T) {
	c := qt.New(t)
	engines := makeEngines("aaaa") // zones x, y, z, x
	m, ok := New(DefaultPolicy()).Next(clock.Hour, engines, demands(1, 1))
	c.Assert(ok, qt.IsTrue)
	c.Assert(m.Node == "n00" || m.Node == "n03", qt.IsTrue, qt.Commentf("%v", m))
}

// TestTwoModelsShareASurplus guards against an engine that moves to and fro between two
// models under constant demand. A third one keeps an engine that it hardly needs, so both
// are short of engines in turn.
func TestTwoModelsShareASurplus(t *testing.T) {
	c := qt.New(t)
	now := clock.Hour
	engines := makeEngines("aaaaa")
	d := []Demand{{"a", 50}, {"b", 1}, {"c", 32.375}} // shares of 3.00, 0.06 and 1.94 engines
	moves := run(New(DefaultPolicy()), &now, engines, 2*3600, func(int) []Demand { return d })
	c.Check(moves, qt.Equals, 2, qt.Commentf("%s", hostedModels(engines)))
	got := make(map[ident.Service]int)
	for _, e := range engines {
		got[e.Model]++
	}
	c.Check(got, qt.DeepEquals, map[ident.Service]int{"a": 3, "b": 1, "c": 1})
}

// TestMovesEnd checks that under any constant demand the moves come to an end,
// and that no model with demand is without an engine while another one has two.
func TestMovesEnd(t *testing.T) {
	prop.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "engines")
		engines := makeEngines(rapid.StringOfN(rapid.RuneFrom([]rune("abc")), n, n, -1).Draw(rt, "fleet"))
		d := []Demand{
			{"a", rapid.Float64Range(0, 50).Draw(rt, "a")},
			{"b", rapid.Float64Range(0, 50).Draw(rt, "b")},
			{"c", rapid.Float64Range(0, 50).Draw(rt, "c")},
		}
		s := New(DefaultPolicy())
		now := clock.Hour
		run(s, &now, engines, 2*3600, func(int) []Demand { return d })
		late := run(s, &now, engines, 3600, func(int) []Demand { return d })
		if late != 0 {
			rt.Fatalf("%d moves after two hours of constant demand: %s", late, hostedModels(engines))
		}
		ms := allocate(engines, d)
		surplus, missing := false, false
		for _, m := range ms {
			surplus = surplus || len(m.engines) >= 2
			missing = missing || m.share > 0 && len(m.engines) == 0
		}
		if surplus && missing {
			rt.Fatalf("a model is without an engine: %s %v", hostedModels(engines), d)
		}
	})
}

func TestDemandInterval(t *testing.T) {
	tests := map[string]struct {
		entries int
		want    clock.Millis
	}{
		"no entries":    {0, clock.Second},
		"one entry":     {1, clock.Second},
		"three entries": {3, 1500 * clock.Milli},
		"400 entries":   {400, 200 * clock.Second},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(DemandInterval(tc.entries), qt.Equals, tc.want)
		})
	}
}
