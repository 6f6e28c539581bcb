package sched

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// bestOfAll is the choice of [Pool.Best] by a look at each engine.
func bestOfAll(p *Pool, item Item, migrating bool) *Engine {
	view := p.View(item)
	var best *Engine
	var bestDuration clock.Millis
	for _, e := range p.engines {
		if v := view.Verdict(e); v != Free && (v != Unproven || !migrating) || e.Limited && migrating {
			continue
		}
		if d := p.expectedDuration(e, view.remaining); best == nil || d < bestDuration {
			best, bestDuration = e, d
		}
	}
	return best
}

// drawEngine returns an engine of any state.
func drawEngine(t *rapid.T, id string) *Engine {
	flag := func(name string) bool { return rapid.IntRange(0, 4).Draw(t, name) == 0 }
	return &Engine{
		ID: id, Slots: 3, Running: rapid.IntRange(0, 3).Draw(t, "running"),
		EventInterval: rapid.SampledFrom([]float64{0, 40, 40, 44, 200}).Draw(t, "interval"),
		RoundTrip:     rapid.SampledFrom([]clock.Millis{0, 2, 24}).Draw(t, "round-trip"),
		Software:      rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, "software"),
		Unproven:      flag("unproven"), InBackoff: flag("backoff"), Limited: flag("limited"), SlowNow: flag("slow"),
		SteadyNow: flag("steady"), Fresh: flag("fresh"), Loading: flag("loading"), Outdated: flag("outdated"), Silent: flag("silent"),
	}
}

// TestBestIsThatOfAll checks that no choice depends on which engines a pool has left out
// because they were full, in backoff or loading before.
func TestBestIsThatOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines := make([]*Engine, rapid.IntRange(0, 8).Draw(t, "engines"))
		for i := range engines {
			engines[i] = drawEngine(t, fmt.Sprint(i))
		}
		p := New(engines)
		for range 30 {
			item := Item{
				ExpectedEvents: rapid.IntRange(0, 200).Draw(t, "expected"), Received: rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "received"),
				Software: rapid.SampledFrom([]string{"1", "2", "3"}).Draw(t, "item-software"), Avoid: sets.Of(rapid.SliceOfN(rapid.SampledFrom([]string{"0", "1"}), 0, 2).Draw(t, "avoid")...),
			}
			migrating := rapid.Bool().Draw(t, "migrating")
			want := bestOfAll(p, item, migrating)
			if got := p.best(item, migrating); got != want {
				t.Fatalf("%+v is chosen, not %+v", got, want)
			}
			if want != nil {
				want.Running++
				want.InBackoff = want.Limited
			}
		}
	})
}

// BenchmarkBest measures the choice of an engine for one of many items that wait.
func BenchmarkBest(b *testing.B) {
	for _, running := range []int{0, 6} {
		for _, n := range []int{10, 30, 100, 300} {
			b.Run(fmt.Sprintf("%d-of-6-slots-taken/%d-engines", running, n), func(b *testing.B) {
				engines := make([]*Engine, n)
				for i := range engines {
					engines[i] = &Engine{ID: fmt.Sprint(i), Slots: 6, Running: running, EventInterval: 40}
				}
				p := New(engines)
				for b.Loop() {
					p.Best(Item{ExpectedEvents: 12})
				}
			})
		}
	}
}
