package vtime

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// Indexes of the kinds in mixedScenario.
const (
	shortWork = iota
	longWork
)

// mixedScenario has 90% short requests and 10% that are 30 times as long, on 9
// engines at 80% load.
func mixedScenario(p match.Policy, seed uint64) Scenario {
	return Scenario{
		Policy:  p,
		Seed:    seed,
		Engines: 9,
		Batch:   batch.Params{Slots: 8, Rate: 400, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 64},
		Kinds: []Kind{
			{Class: "short", Share: 0.9, MeanTokens: 40, Waiting: 300, Lateness: 2 * clock.Second},
			{Class: "long", Share: 0.1, MeanTokens: 1200, Waiting: 5 * clock.Second, Lateness: 20 * clock.Second},
		},
		Load:        ConstantLoad(0.8),
		ReportDelay: 500,
		WarmUp:      15 * clock.Second,
		Duration:    75 * clock.Second,
	}
}

// withSlowEngines slows two engines at a time to a fifth of their speed, for 10 s
// of every 20 s.
func withSlowEngines(s Scenario) Scenario {
	for i, at := 0, s.WarmUp; at < s.Duration; i, at = i+2, at+20*clock.Second {
		engines := []int{i % s.Engines, (i + 1) % s.Engines}
		s.Faults = append(s.Faults, Fault{Start: at, Duration: 10 * clock.Second, Engines: engines, Speed: 0.2})
	}
	return s
}

// withLoad sets a constant load.
func withLoad(s Scenario, share float64) Scenario {
	s.Load = ConstantLoad(share)
	return s
}

// withCrashes crashes one engine at a time, for 2 s of every 5 s.
func withCrashes(s Scenario) Scenario {
	for i, at := 0, s.WarmUp; at < s.Duration; i, at = i+1, at+5*clock.Second {
		s.Faults = append(s.Faults, Fault{Start: at, Duration: 2 * clock.Second, Engines: []int{i % s.Engines}})
	}
	return s
}
