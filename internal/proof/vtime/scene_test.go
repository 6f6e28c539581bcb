package vtime

import (
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// Kinds of the mixed scenario.
const (
	shortWork = iota
	longWork
)

// mixed is short work with 10% of work that is 30 times as long, on 9 engines.
func mixed(p match.Policy, seed uint64) Scenario {
	return Scenario{
		Policy:  p,
		Seed:    seed,
		Engines: 9,
		Batch:   batch.Params{Slots: 8, Rate: 400, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 64},
		Kinds: []Kind{
			{Class: "short", Share: 0.9, Tokens: 40, Waiting: 300, Lateness: 2 * clock.Second},
			{Class: "long", Share: 0.1, Tokens: 1200, Waiting: 5 * clock.Second, Lateness: 20 * clock.Second},
		},
		Load:        ConstantLoad(0.8),
		ReportDelay: 500,
		WarmUp:      15 * clock.Second,
		Duration:    75 * clock.Second,
	}
}

// slowed has two of its engines slowed to a fifth for 10 s in each 20 s.
func slowed(s Scenario) Scenario {
	for i, at := 0, s.WarmUp; at < s.Duration; i, at = i+2, at+20*clock.Second {
		pair := []int{i % s.Engines, (i + 1) % s.Engines}
		s.Faults = append(s.Faults, Fault{Start: at, Duration: 10 * clock.Second, Engines: pair, Speed: 0.2})
	}
	return s
}

// loaded has another load.
func loaded(s Scenario, share float64) Scenario {
	s.Load = ConstantLoad(share)
	return s
}

// crashing has one engine down for 2 s in each 5 s.
func crashing(s Scenario) Scenario {
	for i, at := 0, s.WarmUp; at < s.Duration; i, at = i+1, at+5*clock.Second {
		s.Faults = append(s.Faults, Fault{Start: at, Duration: 2 * clock.Second, Engines: []int{i % s.Engines}})
	}
	return s
}
