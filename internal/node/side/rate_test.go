package side

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
)

// mostInWindow returns the largest number of times in any window of four seconds.
func mostInWindow(times []clock.Millis) int {
	most := 0
	for i, from := range times {
		n := 0
		for _, at := range times[i:] {
			if at < from+4*clock.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestEngineGetsNoMoreThanItsStatedRate guards against an agent that starts runs as long
// as the engine has free slots, although the engine states that it takes fewer requests
// per second; also after the agent was restarted, and once the limit ends.
func TestEngineGetsNoMoreThanItsStatedRate(t *testing.T) {
	tests := map[string]struct {
		limit     float64
		restartAt time.Duration // of the agent, 0 for none
	}{
		"two a second":         {limit: 2},
		"one in five seconds":  {limit: 0.2},
		"thirty a second":      {limit: 30},
		"restart of the agent": {limit: 2, restartAt: 10 * time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withTestEnv(t, func(env *testEnv) {
				limited := func(v option.Option[float64]) {
					env.engine.set(func(e *fakeEngine) { e.rateLimit = plat.RateLimit{PerSecond: v} })
				}
				limited(option.Some(test.limit))
				time.Sleep(200 * time.Millisecond) // The agent reads the report.
				var started []clock.Millis
				run := func() {
					env.engine.set(func(e *fakeEngine) { e.events = []plat.Event{event(1, 1)} })
					_, last := env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1})
					if last.Code == runs.Done {
						started = append(started, env.agent.Clock.Now())
					}
				}
				begin := env.agent.Clock.Now()
				restarted := test.restartAt == 0
				for env.agent.Clock.Now()-begin < 20*clock.Second {
					if !restarted && env.agent.Clock.Now()-begin >= clock.FromDuration(test.restartAt) {
						restarted = true
						env.restartAgent()
					}
					run()
					time.Sleep(20 * time.Millisecond)
				}
				most, allowed := mostInWindow(started), 1.5*4*test.limit+5
				env.c.Check(float64(most) <= allowed, qt.IsTrue, qt.Commentf("%d runs in 4 s at a limit of %v/s", most, test.limit))
				env.c.Check(float64(len(started)) >= 0.8*min(test.limit*20, 20*1000/25), qt.IsTrue, qt.Commentf("%d runs in 20 s", len(started)))

				limited(option.None[float64]())
				time.Sleep(200 * time.Millisecond)
				started = nil
				for range 40 {
					run()
				}
				env.c.Check(started, qt.HasLen, 40, qt.Commentf("runs after the end of the limit"))
			})
		})
	}
}

// TestRefusalByRateTellsWhenToComeBack guards against entries that keep sending runs to
// an agent whose engine limits the rate of requests.
func TestRefusalByRateTellsWhenToComeBack(t *testing.T) {
	withTestEnv(t, func(env *testEnv) {
		env.engine.set(func(e *fakeEngine) { e.rateLimit = plat.RateLimit{PerSecond: option.Some(2.0)} })
		time.Sleep(3 * time.Second)
		codes := map[runs.Code]int{}
		var last *runs.Frame
		for range 4 {
			env.engine.set(func(e *fakeEngine) { e.events = []plat.Event{event(1, 1)} })
			_, last = env.runItem(runs.Run{Item: "x", Instance: "i-1", Model: "m", MinVersion: 1})
			codes[last.Code]++
		}
		env.c.Check(codes, qt.DeepEquals, map[runs.Code]int{runs.Done: 2, runs.Full: 2}, qt.Commentf("%s", fmt.Sprint(codes)))
		env.c.Check(last.StartInterval, qt.Equals, 500*clock.Milli)
		env.c.Check(last.StartIn > 400 && last.StartIn <= 500, qt.IsTrue, qt.Commentf("%v", last.StartIn))
	})
}

// restartAgent replaces the agent by a new process that knows nothing.
func (env *testEnv) restartAgent() {
	p := env.agent.Params
	p.Incarnation += "'"
	p.Log = zerolog.Nop()
	env.agent = New(p)
	go env.agent.ManageWeights(env.ctx)
	go env.agent.MonitorSpeed(env.ctx)
}
