package vtime

import (
	"fmt"
	"slices"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// Stated goals.
const (
	shortShare   = 0.25 // of the baseline's p99 of short work beside long
	slowedTimes  = 2    // times the unslowed p99 of short work
	goodputShare = 0.9  // of the goodput at full load, at 150%
	hedgeMost    = 0.05 // extra work
	retryMost    = 0.10 // extra work, in further attempts after failures
)

var policies = map[string]match.Policy{
	"standard": match.DefaultPolicy(),
	"baseline": match.RoundRobin(),
	"central":  match.LeastLoaded(),
}

// runAll plays a scenario with several seeds.
func runAll(seeds int, scene func(seed uint64) Scenario) []*Outcome {
	out := make([]*Outcome, seeds)
	var wg sync.WaitGroup
	for i := range out {
		wg.Go(func() { out[i] = Run(scene(uint64(i + 1))) })
	}
	wg.Wait()
	return out
}

// figures are one value of each seed.
type figures []float64

func each(os []*Outcome, fn func(*Outcome) float64) figures {
	var fs figures
	for _, o := range os {
		fs = append(fs, fn(o))
	}
	slices.Sort(fs)
	return fs
}

func quantile(kind int, q float64) func(*Outcome) float64 {
	return func(o *Outcome) float64 { return float64(o.Quantile(kind, q)) }
}

func (f figures) median() float64 { return f[len(f)/2] }

// String gives the median and the spread.
func (f figures) String() string {
	return fmt.Sprintf("%s (%s to %s)", digits(f.median()), digits(f[0]), digits(f[len(f)-1]))
}

// digits writes a figure with three digits that matter.
func digits(v float64) string {
	switch {
	case v >= 100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1:
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

const goalSeeds = 3

func standard(seed uint64) Scenario { return mixed(match.DefaultPolicy(), seed) }

func TestShortWorkBesideLong(t *testing.T) {
	c := qt.New(t)
	p99 := func(p match.Policy) float64 {
		return each(runAll(goalSeeds, func(s uint64) Scenario { return mixed(p, s) }), quantile(shortWork, 0.99)).median()
	}
	got, base := p99(match.DefaultPolicy()), p99(match.RoundRobin())
	c.Assert(got <= shortShare*base, qt.IsTrue, qt.Commentf("p99 %v ms, baseline %v ms", got, base))
}

func TestShortWorkOnSlowedServers(t *testing.T) {
	c := qt.New(t)
	free := each(runAll(goalSeeds, standard), quantile(shortWork, 0.99)).median()
	runs := runAll(goalSeeds, func(s uint64) Scenario { return slowed(standard(s)) })
	got := each(runs, quantile(shortWork, 0.99)).median()
	c.Assert(got <= slowedTimes*free, qt.IsTrue, qt.Commentf("p99 %v ms, unslowed %v ms", got, free))
	for _, o := range runs {
		c.Assert(o.ExtraShare() <= hedgeMost, qt.IsTrue, qt.Commentf("extra %v", o.ExtraShare()))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

func TestGoodputUnderOverload(t *testing.T) {
	c := qt.New(t)
	at := func(load float64) []*Outcome {
		return runAll(goalSeeds, func(s uint64) Scenario { return loaded(standard(s), load) })
	}
	full := each(at(1), (*Outcome).Goodput).median()
	over := at(1.5)
	got := each(over, (*Outcome).Goodput).median()
	c.Assert(got >= goodputShare*full, qt.IsTrue, qt.Commentf("%v tokens/s, at full load %v", got, full))
	for _, o := range over {
		c.Assert(o.NoRetryAfter, qt.Equals, 0, qt.Commentf("refusals must tell when to come back"))
		c.Assert(o.Refused[shortWork], qt.Equals, 0, qt.Commentf("the class that can wait waits"))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

func TestExtraWorkAfterCrashes(t *testing.T) {
	c := qt.New(t)
	for _, o := range runAll(goalSeeds, func(s uint64) Scenario { return crashing(standard(s)) }) {
		c.Assert(o.ExtraShare() <= hedgeMost+retryMost, qt.IsTrue, qt.Commentf("extra %v", o.ExtraShare()))
		c.Assert(float64(o.Retries) <= retryMost*float64(o.Arrived[shortWork]+o.Arrived[longWork])+10, qt.IsTrue)
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

// BenchmarkMeasures prints the table of docs/MEASURES.md.
func BenchmarkMeasures(b *testing.B) {
	const seeds = 11
	scenes := []struct {
		name string
		make func(Scenario) Scenario
	}{
		{"80%", func(s Scenario) Scenario { return s }},
		{"80%, 2 of 9 slowed", slowed},
		{"80%, 1 of 9 crashing", crashing},
		{"100%", func(s Scenario) Scenario { return loaded(s, 1) }},
		{"150%", func(s Scenario) Scenario { return loaded(s, 1.5) }},
	}
	for range b.N {
		for _, slots := range []int{8, 16} {
			fmt.Printf("\n%d streams at once, full speed up to 8\n\n%s", slots, header)
			for _, sc := range scenes {
				for _, name := range []string{"standard", "baseline", "central"} {
					runs := runAll(seeds, func(seed uint64) Scenario {
						s := mixed(policies[name], seed)
						s.Batch.Slots = slots
						return sc.make(s)
					})
					fmt.Printf("| %s | %s |%s\n", sc.name, name, row(runs))
				}
			}
		}
	}
}

const header = `| load | policy | short p50 ms | short p99 ms | short p99.9 ms | long p99 ms | refused % | goodput tokens/s | extra % |
| --- | --- | --- | --- | --- | --- | --- | --- | --- |
`

// row formats the columns of one line of the table.
func row(runs []*Outcome) string {
	text := ""
	for _, fn := range []func(*Outcome) float64{
		quantile(shortWork, 0.5),
		quantile(shortWork, 0.99),
		quantile(shortWork, 0.999),
		quantile(longWork, 0.99),
		func(o *Outcome) float64 { return 100 * o.RefusedShare() },
		(*Outcome).Goodput,
		func(o *Outcome) float64 { return 100 * o.ExtraShare() },
	} {
		text += " " + each(runs, fn).String() + " |"
	}
	return text
}
