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

// measures holds the results of one policy with all seeds.
type measures struct {
	idle, p50, p99, regenerated []float64
	stalenessCounts             map[int]int
	tooStale, duplicates        int
	reasons                     map[round.Reason]int
}

// measure runs a scenario with all seeds.
func measure(p Policy, scenario func(uint64) Scenario) measures {
	m := measures{stalenessCounts: make(map[int]int), reasons: make(map[round.Reason]int)}
	outs := make([]*Outcome, seeds)
	var wg sync.WaitGroup
	for i := range outs {
		wg.Go(func() { outs[i] = Run(p, scenario(uint64(i+1))) })
	}
	wg.Wait()
	for _, o := range outs {
		m.idle = append(m.idle, o.IdleShare())
		m.p50 = append(m.p50, o.StepTime(0.5).Seconds())
		m.p99 = append(m.p99, o.StepTime(0.99).Seconds())
		m.regenerated = append(m.regenerated, o.RegeneratedShare())
		m.tooStale += o.TooStale
		m.duplicates += o.Duplicates
		for r, n := range o.Regenerated {
			m.reasons[r] += n
		}
		for a, n := range o.StalenessCounts {
			m.stalenessCounts[a] += n
		}
	}
	return m
}

func (m measures) String() string {
	return fmt.Sprintf("idle %s, step p50 %s s, p99 %s s, remade %s %v, ages %v, beyond %d, twice %d",
		spread(m.idle), spread(m.p50), spread(m.p99), spread(m.regenerated), m.reasons, m.stalenessCounts, m.tooStale, m.duplicates)
}

func median(vs []float64) float64 {
	s := slices.Sorted(slices.Values(vs))
	return s[len(s)/2]
}

// spread formats the median, the minimum and the maximum.
func spread(vs []float64) string {
	return fmt.Sprintf("%.3f (%.3f to %.3f)", median(vs), slices.Min(vs), slices.Max(vs))
}

// slowScenario slows two engines at a time to a fifth of their speed, for a
// minute each.
func slowScenario(seed uint64) Scenario {
	s := DefaultScenario(seed)
	s.SlowPeriod = clock.Minute
	return s
}

// TestGoals checks the goals of docs/MEASURES.md: compared with the baseline,
// half the idle time, no stale or duplicate samples, and less than 3% of the
// samples generated again.
func TestGoals(t *testing.T) {
	c := qt.New(t)
	product, baseline := measure(DefaultPolicy(), DefaultScenario), measure(Baseline(), DefaultScenario)
	t.Logf("product: %s", product)
	t.Logf("baseline: %s", baseline)
	c.Check(median(product.idle) <= median(baseline.idle)/2, qt.IsTrue, qt.Commentf("idle share is more than half of the baseline's"))
	c.Check(product.tooStale, qt.Equals, 0)
	c.Check(product.duplicates, qt.Equals, 0)
	c.Check(slices.Max(product.regenerated) < 0.03, qt.IsTrue, qt.Commentf("too many samples generated again"))
}

// BenchmarkPolicies prints the measures of both policies and of variants with
// one part changed.
func BenchmarkPolicies(b *testing.B) {
	with := func(p Policy, fn func(*Policy)) Policy {
		fn(&p)
		return p
	}
	for _, sc := range []struct {
		name     string
		scenario func(uint64) Scenario
	}{{"shared", DefaultScenario}, {"slowed", slowScenario}} {
		for _, tc := range []struct {
			name string
			p    Policy
		}{
			{"product", DefaultPolicy()},
			{"product, all swap at once", with(DefaultPolicy(), func(p *Policy) { p.Swap = swap.UnstaggeredPolicy() })},
			{"product, lost samples anew", with(DefaultPolicy(), func(p *Policy) { p.Resume = false })},
			{"product, no overlap", with(DefaultPolicy(), func(p *Policy) { p.Overlap = false })},
			{"baseline", Baseline()},
			{"baseline, overlap", with(Baseline(), func(p *Policy) { p.Overlap = true })},
		} {
			b.Run(sc.name+"/"+tc.name, func(b *testing.B) {
				for b.Loop() {
					b.Logf("%s", measure(tc.p, sc.scenario))
				}
			})
		}
	}
}
