package vtime

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
)

// TestEverySlow slows all engines to a fifth of their speed at once, at a load
// that they can still serve. If most of them were ejected as slow, requests
// would be refused.
func TestEverySlow(t *testing.T) {
	c := qt.New(t)
	for _, o := range runAll(goalSeeds, func(seed uint64) Scenario {
		s := withLoad(defaultScenario(seed), 0.12)
		all := make([]int, s.Engines)
		for i := range all {
			all[i] = i
		}
		s.Faults = []Fault{{Start: 20 * clock.Second, Duration: 20 * clock.Second, Engines: all, Speed: 0.2}}
		return s
	}) {
		c.Assert(o.Refused, qt.DeepEquals, []int{0, 0})
		c.Assert(o.ExtraShare() <= maxHedgeShare, qt.IsTrue, qt.Commentf("extra %v", o.ExtraShare()))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

// longestShortTime is the time that the longest short request takes on an idle
// engine.
const longestShortTime = 155 * clock.Milli

// TestBurstUnderOldReports sends a burst of requests to three entries whose load
// reports are 5 s old. No engine may run more attempts than it has slots, and
// short requests must meet their waiting target.
func TestBurstUnderOldReports(t *testing.T) {
	c := qt.New(t)
	for _, o := range runAll(goalSeeds, func(seed uint64) Scenario {
		s := defaultScenario(seed)
		s.Entries = 3
		s.ReportDelay = 5 * clock.Second
		s.Load = func(at clock.Millis) float64 {
			if at >= 30*clock.Second && at < 36*clock.Second {
				return 2
			}
			return 0.5
		}
		return s
	}) {
		t.Logf("short work's p99 %v, refused by agents %d times, %d requests", o.Quantile(shortWork, 0.99), o.Rejected, o.Arrived[shortWork]+o.Arrived[longWork])
		c.Assert(o.MaxConcurrent <= o.scenario.Batch.Slots, qt.IsTrue, qt.Commentf("%d at once", o.MaxConcurrent))
		c.Assert(o.Refused[shortWork], qt.Equals, 0)
		c.Assert(o.Quantile(shortWork, 0.99) <= o.scenario.Kinds[shortWork].Waiting+longestShortTime*maxSlowedP99Ratio, qt.IsTrue,
			qt.Commentf("p99 %v, refused by agents %d", o.Quantile(shortWork, 0.99), o.Rejected))
		c.Assert(o.Unfinished, qt.Equals, 0)
	}
}

// TestHiddenLength declares short and long requests as one class, so that the
// matcher can infer a request's length only from the time that it has run.
func TestHiddenLength(t *testing.T) {
	c := qt.New(t)
	p99 := func(p match.Policy) float64 {
		return collect(runAll(goalSeeds, func(seed uint64) Scenario {
			s := mixedScenario(p, seed)
			s.Kinds[longWork].Class = s.Kinds[shortWork].Class
			return s
		}), quantileOf(shortWork, 0.99)).median()
	}
	got, base := p99(match.DefaultPolicy()), p99(match.RoundRobin())
	c.Assert(got <= maxShortP99Ratio*base, qt.IsTrue, qt.Commentf("p99 %v ms, baseline %v ms", got, base))
}

// TestSameSeedSameRun runs a scenario with faults and several entries twice and
// expects the same results.
func TestSameSeedSameRun(t *testing.T) {
	c := qt.New(t)
	s := withCrashes(withSlowEngines(defaultScenario(7)))
	s.Entries = 3
	a, b := Run(s), Run(s)
	c.Assert(a.Latencies, qt.DeepEquals, b.Latencies)
	c.Assert(a.Hedges, qt.Equals, b.Hedges)
}
