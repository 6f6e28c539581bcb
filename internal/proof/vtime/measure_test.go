package vtime

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// Bounds for the goals in docs/MEASURES.md.
const (
	maxShortP99Ratio  = 0.25 // p99 latency of short requests beside long ones, relative to the baseline
	maxSlowedP99Ratio = 2    // p99 latency of short requests, relative to a run without slow engines
	minGoodputShare   = 0.9  // goodput at 150% load, relative to full load
	maxHedgeShare     = 0.05 // extra tokens, as a share of those of complete answers
	maxRetryShare     = 0.10 // extra tokens of retries after failures, and retries per request
)

var policies = map[string]match.Policy{
	"standard": match.DefaultPolicy(),
	"baseline": match.RoundRobin(),
	"central":  match.LeastLoaded(),
}

// runAll runs a scenario with the seeds from 1 to seedCount concurrently.
func runAll(seedCount int, scenario func(seed uint64) Scenario) []*Outcome {
	out := make([]*Outcome, seedCount)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = Run(scenario(uint64(i + 1))) })
	}
	wg.Wait()
	return out
}

// seedValues holds one value for each seed, sorted in ascending order.
type seedValues []float64

// collect applies a function to each outcome.
func collect(outcomes []*Outcome, fn func(*Outcome) float64) seedValues {
	var values seedValues
	for _, o := range outcomes {
		values = append(values, fn(o))
	}
	slices.Sort(values)
	return values
}

// quantileOf returns a function that computes a quantile of a kind's latencies.
func quantileOf(kind int, q float64) func(*Outcome) float64 {
	return func(o *Outcome) float64 { return float64(o.Quantile(kind, q)) }
}

func (v seedValues) median() float64 { return v[len(v)/2] }

// String returns the median, the minimum and the maximum.
func (v seedValues) String() string {
	return fmt.Sprintf("%s (%s to %s)", formatValue(v.median()), formatValue(v[0]), formatValue(v[len(v)-1]))
}

// formatValue formats a value with two or three significant digits.
func formatValue(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// goalSeeds is the number of seeds with which a test runs each scenario.
const goalSeeds = 3

func defaultScenario(seed uint64) Scenario { return mixedScenario(match.DefaultPolicy(), seed) }

func TestShortWorkBesideLong(t *testing.T) {
	c := qt.New(t)
	p99 := func(p match.Policy) float64 {
		return collect(runAll(goalSeeds, func(s uint64) Scenario { return mixedScenario(p, s) }), quantileOf(shortWork, 0.99)).median()
	}
	got, base := p99(match.DefaultPolicy()), p99(match.RoundRobin())
	c.Assert(got <= maxShortP99Ratio*base, qt.IsTrue, qt.Commentf("p99 %v ms, baseline %v ms", got, base))
}

func TestShortWorkOnSlowedServers(t *testing.T) {
	c := qt.New(t)
	unslowed := collect(runAll(goalSeeds, defaultScenario), quantileOf(shortWork, 0.99)).median()
	runs := runAll(goalSeeds, func(s uint64) Scenario { return withSlowEngines(defaultScenario(s)) })
	got := collect(runs, quantileOf(shortWork, 0.99)).median()
	c.Assert(got <= maxSlowedP99Ratio*unslowed, qt.IsTrue, qt.Commentf("p99 %v ms, unslowed %v ms", got, unslowed))
	for _, o := range runs {
		c.Assert(o.ExtraShare() <= maxHedgeShare, qt.IsTrue, qt.Commentf("extra %v", o.ExtraShare()))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

func TestGoodputUnderOverload(t *testing.T) {
	c := qt.New(t)
	runAtLoad := func(load float64) []*Outcome {
		return runAll(goalSeeds, func(s uint64) Scenario { return withLoad(defaultScenario(s), load) })
	}
	fullLoadGoodput := collect(runAtLoad(1), (*Outcome).Goodput).median()
	overloaded := runAtLoad(1.5)
	got := collect(overloaded, (*Outcome).Goodput).median()
	c.Assert(got >= minGoodputShare*fullLoadGoodput, qt.IsTrue, qt.Commentf("%v tokens/s, at full load %v", got, fullLoadGoodput))
	for _, o := range overloaded {
		c.Assert(o.NoRetryAfter, qt.Equals, 0, qt.Commentf("a refusal has no retry-after time"))
		c.Assert(o.Refused[shortWork], qt.Equals, 0, qt.Commentf("short requests were refused although long ones can wait"))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

func TestExtraWorkAfterCrashes(t *testing.T) {
	c := qt.New(t)
	for _, o := range runAll(goalSeeds, func(s uint64) Scenario { return withCrashes(defaultScenario(s)) }) {
		c.Assert(o.ExtraShare() <= maxHedgeShare+maxRetryShare, qt.IsTrue, qt.Commentf("extra %v", o.ExtraShare()))
		c.Assert(float64(o.Retries) <= maxRetryShare*float64(o.Arrived[shortWork]+o.Arrived[longWork])+10, qt.IsTrue)
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

// BenchmarkMeasures prints the tables of docs/MEASURES.md.
func BenchmarkMeasures(b *testing.B) {
	const seedCount = 11
	scenarios := []struct {
		name string
		make func(Scenario) Scenario
	}{
		{"80%", func(s Scenario) Scenario { return s }},
		{"80%, 2 of 9 slowed", withSlowEngines},
		{"80%, 1 of 9 crashing", withCrashes},
		{"100%", func(s Scenario) Scenario { return withLoad(s, 1) }},
		{"150%", func(s Scenario) Scenario { return withLoad(s, 1.5) }},
	}
	for range b.N {
		for _, slots := range []int{8, 16} {
			fmt.Printf("\n%d streams at once, full speed up to 8\n\n%s", slots, tableHeader)
			for _, sc := range scenarios {
				for _, name := range []string{"standard", "baseline", "central"} {
					runs := runAll(seedCount, func(seed uint64) Scenario {
						s := mixedScenario(policies[name], seed)
						s.Batch.Slots = slots
						return sc.make(s)
					})
					fmt.Printf("| %s | %s |%s\n", sc.name, name, tableRow(runs))
				}
			}
		}
	}
}

const tableHeader = `| load | policy | short p50 ms | short p99 ms | short p99.9 ms | long p99 ms | refused % | goodput tokens/s | extra % |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// tableRow formats the measures of one row of the table.
func tableRow(runs []*Outcome) string {
	columns := ""
	for _, fn := range []func(*Outcome) float64{
		quantileOf(shortWork, 0.5),
		quantileOf(shortWork, 0.99),
		quantileOf(shortWork, 0.999),
		quantileOf(longWork, 0.99),
		func(o *Outcome) float64 { return 100 * o.RefusedShare() },
		(*Outcome).Goodput,
		func(o *Outcome) float64 { return 100 * o.ExtraShare() },
	} {
		columns += " " + collect(runs, fn).String() + " |"
	}
	return columns
}
