package steps

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
)

const seeds = 10

// figures are the measures of one policy over the seeds.
type figures struct {
	idle, p50, p99, extra, remade []float64
	ages                          map[int]int
	beyond, repeat                int
	why                           map[round.Reason]int
}

func measure(p Policy, scene func(uint64) Scenario) figures {
	f := figures{ages: make(map[int]int), why: make(map[round.Reason]int)}
	outs := make([]*Outcome, seeds)
	var wg sync.WaitGroup
	for i := range outs {
		wg.Go(func() { outs[i] = Run(p, scene(uint64(i+1))) })
	}
	wg.Wait()
	for _, o := range outs {
		f.idle = append(f.idle, o.IdleShare())
		f.p50 = append(f.p50, o.StepTime(0.5).Seconds())
		f.p99 = append(f.p99, o.StepTime(0.99).Seconds())
		f.remade = append(f.remade, o.RegeneratedShare())
		f.beyond += o.TooStale
		f.repeat += o.Duplicates
		for r, n := range o.Regenerated {
			f.why[r] += n
		}
		for a, n := range o.StalenessCounts {
			f.ages[a] += n
		}
	}
	return f
}

func (f figures) String() string {
	return fmt.Sprintf("idle %s, step p50 %s s, p99 %s s, remade %s %v, ages %v, beyond %d, twice %d",
		spread(f.idle), spread(f.p50), spread(f.p99), spread(f.remade), f.why, f.ages, f.beyond, f.repeat)
}

func median(vs []float64) float64 {
	s := slices.Sorted(slices.Values(vs))
	return s[len(s)/2]
}

func spread(vs []float64) string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", median(vs), slices.Min(vs), slices.Max(vs))
}

// slowed has two engines at a time slowed to a fifth for a minute.
func slowed(seed uint64) Scenario {
	s := StandardScenario(seed)
	s.SlowPeriod = clock.Minute
	return s
}

// TestGoals asserts the stated goals against the baseline.
func TestGoals(t *testing.T) {
	c := qt.New(t)
	ours, plain := measure(Standard(), StandardScenario), measure(Baseline(), StandardScenario)
	t.Logf("product: %s", ours)
	t.Logf("baseline: %s", plain)
	c.Check(median(ours.idle) <= median(plain.idle)/2, qt.IsTrue, qt.Commentf("idle at most half of the baseline's"))
	c.Check(ours.beyond, qt.Equals, 0)
	c.Check(ours.repeat, qt.Equals, 0)
	c.Check(slices.Max(ours.remade) < 0.03, qt.IsTrue, qt.Commentf("samples made anew"))
}

// BenchmarkPolicies prints the measures of the policies and their parts.
func BenchmarkPolicies(b *testing.B) {
	part := func(p Policy, fn func(*Policy)) Policy {
		fn(&p)
		return p
	}
	for _, sc := range []struct {
		name  string
		scene func(uint64) Scenario
	}{{"shared", StandardScenario}, {"slowed", slowed}} {
		for _, x := range []struct {
			name string
			p    Policy
		}{
			{"product", Standard()},
			{"product, all swap at once", part(Standard(), func(p *Policy) { p.Swap = swap.Unstaggered() })},
			{"product, lost samples anew", part(Standard(), func(p *Policy) { p.Resume = false })},
			{"product, no overlap", part(Standard(), func(p *Policy) { p.Overlap = false })},
			{"baseline", Baseline()},
			{"baseline, overlap", part(Baseline(), func(p *Policy) { p.Overlap = true })},
		} {
			b.Run(sc.name+"/"+x.name, func(b *testing.B) {
				for b.Loop() {
					b.Logf("%s", measure(x.p, sc.scene))
				}
			})
		}
	}
}
