package work

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// leavingFleet plays agents of which some have engines that state that they leave. These
// agents refuse runs, which are counted.
type leavingFleet struct {
	*fakeFleet
	leaving map[string]bool // by host
	refused int
}

// RoundTrip implements http.RoundTripper.
func (f *leavingFleet) RoundTrip(r *http.Request) (*http.Response, error) {
	host, _, err := net.SplitHostPort(r.URL.Host)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	if !f.leaving[host] {
		f.mu.Unlock()
		return f.fakeFleet.RoundTrip(r)
	}
	defer f.mu.Unlock()
	frame := f.frame(host)
	frame.EngineLeaving, frame.EngineStartedAt = true, 7
	if r.URL.Path == runs.RunPath {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
		frame.Code = runs.Leaving
		f.refused++
	}
	return frameResponse(httptest.NewRecorder(), frame)
}

// executed returns the number of runs that were executed.
func (f *leavingFleet) executed() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs
}

// TestLeavingEnginesAreAvoided guards against runs that an entry keeps sending to an engine
// whose agent has told it that the engine leaves, while its registry entry says that it is
// ready: a job must run on the others at once. A restarted engine gets runs again.
func TestLeavingEnginesAreAvoided(t *testing.T) {
	const items = 12
	tests := map[string]struct {
		leaving  int // of four engines
		restart  bool
		maxTook  time.Duration
		complete bool
	}{
		"none":              {maxTook: 3 * time.Second, complete: true},
		"one of four":       {leaving: 1, maxTook: 3 * time.Second, complete: true},
		"three of four":     {leaving: 3, maxTook: 7 * time.Second, complete: true},
		"all":               {leaving: 4},
		"all, they restart": {leaving: 4, restart: true, maxTook: 8 * time.Second, complete: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(2 * time.Second) // Requests in progress end.
				defer cancel()
				agents := &leavingFleet{fakeFleet: &fakeFleet{delay: time.Millisecond, runTime: time.Second}, leaving: map[string]bool{}}
				store := topic.New()
				write := func(startedAt int) {
					for i := range 4 {
						store.Write("servers", fmt.Sprintf("i-%d", i), fmt.Appendf(nil, "10.0.0.%d:80 v %d", i, startedAt))
					}
				}
				write(7)
				for i := range test.leaving {
					agents.leaving[fmt.Sprintf("10.0.0.%d", i)] = true
				}
				agents.running, agents.clock = make(map[string]int), clock.NewSystem()
				w := startNode(ctx, store, store, agents, "a")
				c.Assert(submit(ctx, w, "j", items), qt.IsNil)
				startedAt := time.Now()
				if test.restart {
					time.AfterFunc(5*time.Second, func() {
						agents.mu.Lock()
						clear(agents.leaving)
						agents.mu.Unlock()
						write(8)
					})
				}
				for w.InProgress() > 0 || agents.executed() < items {
					time.Sleep(100 * time.Millisecond)
					if time.Since(startedAt) > 20*time.Second {
						break
					}
				}
				took := time.Since(startedAt)
				c.Check(agents.executed() == items, qt.Equals, test.complete, qt.Commentf("%d runs", agents.executed()))
				if test.complete {
					c.Check(took <= test.maxTook, qt.IsTrue, qt.Commentf("took %v", took))
				}
				agents.mu.Lock()
				defer agents.mu.Unlock()
				// An engine may have one run from before the first frame of its agent.
				c.Check(agents.refused <= test.leaving*fakeSlots, qt.IsTrue, qt.Commentf("%d runs were refused", agents.refused))
			})
		})
	}
}
