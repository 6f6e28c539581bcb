package work

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// TestItemWhoseEnginesCrashedIsStillOwed guards against an item that is never placed again
// because several engines crashed while they ran it: in a burst of crashes that happens to
// sound items. It also guards against an item that is placed again and again without a
// pause while engines fail.
func TestItemWhoseEnginesCrashedIsStillOwed(t *testing.T) {
	const burst = 40 * time.Second
	tests := map[string]struct {
		code      runs.Code
		events    int // events of each run
		maxStarts int // in the burst: seven delays double, the others take 4 s
	}{
		"crash before the first event": {runs.Broken, 0, 16},
		"crash after an event":         {runs.Broken, 1, 16},
		"agents unreachable":           {agentLost, 0, 16},
		"engines full":                 {runs.Full, 0, 400},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := New(Params{Clock: clock.NewSystem(), Log: zerolog.Nop()})
				j := &job{ctx: t.Context(), items: make([]joblog.Item, 1), states: make([]itemState, 1)}
				s := &fleet.Server{ID: "i"}
				starts := 0
				for begin := time.Now(); time.Since(begin) < burst; time.Sleep(100 * time.Millisecond) {
					if len(j.startable(w.Clock.Now(), 1)) == 0 {
						continue
					}
					starts++
					st := &j.states[0]
					st.phase, st.current = inFlight, &attempt{server: s, startedAt: w.Clock.Now(), cancel: func() {}, resumeAfter: st.eventCount(), events: testEvents("e", test.events)}
					w.attemptEnded(j, 0, &router.Route{MaxAttempts: 3}, st.current, test.code, "")
				}
				c.Check(starts <= test.maxStarts, qt.IsTrue, qt.Commentf("%d starts", starts))
				c.Check(starts >= 12, qt.IsTrue, qt.Commentf("%d starts", starts))
				time.Sleep(maxBackoff.Duration())
				c.Check(j.startable(w.Clock.Now(), 1), qt.HasLen, 1, qt.Commentf("the item is not placed again after the burst"))
			})
		})
	}
}

func testEvents(prefix string, n int) []runs.Event {
	var out []runs.Event
	for i := range n {
		out = append(out, runs.Event{Version: 1, Data: []byte(prefix + string(rune('0'+i)))})
	}
	return out
}

func joinEvents(evs []runs.Event) string {
	var out []string
	for _, e := range evs {
		out = append(out, string(e.Data))
	}
	return strings.Join(out, " ")
}

// A job that its trainer never ends must end when the retention of its route is
// over: its remaining items are given up and its attempts canceled.
func TestExpiredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		svc := newService(ctx, topic.New(), joblog.Node{Name: "a"})
		go svc.Run(ctx)
		c.Assert(svc.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i0"}, {ID: "i1"}, {ID: "i2"}}}), qt.IsNil)
		c.Assert(svc.RecordResult(ctx, "j", joblog.Done{Item: 1}), qt.IsNil)
		c.Assert(svc.Sync(ctx), qt.IsNil)
		w := New(Params{Jobs: svc, Clock: clock.NewSystem(), Log: zerolog.Nop()})
		status := func() (open bool, results int) {
			svc.View(func(ix *joblog.Index, _ bool) { open, results = ix.Job("j").IsOpen(), len(ix.Job("j").Results) })
			return open, results
		}
		var j *job
		svc.View(func(ix *joblog.Index, _ bool) { j = newJob(ctx, ix.Job("j")) })
		j.start(w.Clock.Now(), make([]joblog.Item, 3))
		stopped := false
		j.states[0].phase, j.states[0].current = inFlight, &attempt{server: &fleet.Server{}, cancel: func() { stopped = true }}
		w.mu.Lock()
		w.expire(j)
		w.expire(j) // The next pass can come before the records are read.
		w.mu.Unlock()
		time.Sleep(time.Second)
		open, results := status()
		c.Check(open, qt.IsFalse)
		c.Check(results, qt.Equals, 3)
		c.Check(stopped, qt.IsTrue)
	})
}

// A migrated output continues after the event at which its successor was started.
// Later events of the slower attempt are dropped, since the successor generates
// the same part again.
func TestPromoteSuccessor(t *testing.T) {
	nop := func() {}
	tests := map[string]struct {
		received  int // events before the current attempt
		current   int // events of the current attempt when the successor starts
		later     int // further events until the first one of the successor
		successor int // events of the successor
		want      string
	}{
		"no events yet":            {0, 0, 0, 2, "n0 n1"},
		"immediately":              {0, 2, 0, 2, "c0 c1 n0 n1"},
		"slower attempt continued": {0, 2, 3, 1, "c0 c1 n0"},
		"after an earlier resume":  {2, 1, 2, 2, "h0 h1 c0 n0 n1"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			st := &itemState{received: testEvents("h", test.received)}
			st.current = &attempt{server: &fleet.Server{}, cancel: nop, resumeAfter: st.eventCount()}
			all := testEvents("c", test.current+test.later)
			st.current.events = append(st.current.events, all[:test.current]...)
			st.successor = &attempt{server: &fleet.Server{}, cancel: nop, resumeAfter: st.eventCount()}
			st.current.events = append(st.current.events, all[test.current:]...)
			st.promoteSuccessor()
			st.current.events = append(st.current.events, testEvents("n", test.successor)...)
			c.Check(st.eventCount(), qt.Equals, test.received+test.current+test.successor)
			st.endCurrent()
			c.Check(joinEvents(st.received), qt.Equals, test.want)
		})
	}
}

func TestVersionOfTheLastEvent(t *testing.T) {
	c := qt.New(t)
	st := &itemState{}
	c.Check(st.lastVersion(), qt.Equals, int64(0))
	st.received = []runs.Event{{Version: 3}, {Version: 4}}
	c.Check(st.lastVersion(), qt.Equals, int64(4))
	st.current = &attempt{server: &fleet.Server{}, resumeAfter: 2}
	c.Check(st.lastVersion(), qt.Equals, int64(4))
	st.current.events = []runs.Event{{Version: 5}}
	c.Check(st.lastVersion(), qt.Equals, int64(5))
}

// A result that another node has recorded must cancel the attempts of its item on
// this node.
func TestResultRecordedElsewhere(t *testing.T) {
	c := qt.New(t)
	ix := joblog.New()
	ix.Apply(1, 0, joblog.Accept{JobID: "j", ItemIDs: []string{"a", "b"}})
	j := newJob(context.Background(), ix.Job("j"))
	j.start(1, make([]joblog.Item, 2))
	stopped := false
	j.states[1] = itemState{phase: inFlight, current: &attempt{server: &fleet.Server{}, cancel: func() { stopped = true }}}
	ix.Apply(1, 1, joblog.Done{JobID: "j", Item: 1})
	j.applyResults(ix.Job("j"))
	c.Check(stopped, qt.IsTrue)
	c.Check(j.inProgress(), qt.Equals, 0)
	c.Check(j.startable(1, 1), qt.HasLen, 1)
}

func TestReassignedEngines(t *testing.T) {
	c := qt.New(t)
	c.Check(reassignedEngines(map[string]int{"a": 6, "b": 3}, map[string]int{"a": 5, "b": 4}), qt.Equals, 1)
	c.Check(reassignedEngines(map[string]int{"a": 3}, map[string]int{"a": 3}), qt.Equals, 0)
}

// TestRefusedItemCanStartOver guards against an item that waits forever for an engine of its
// software because each refusal begins its waiting time anew: engines that seem free may
// refuse it again and again, such as those that limit the rate of requests.
func TestRefusedItemCanStartOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := New(Params{Clock: clock.NewSystem(), Log: zerolog.Nop()})
		j := &job{ctx: t.Context(), items: make([]joblog.Item, 1), states: make([]itemState, 1)}
		st := &j.states[0]
		attemptWith := func(n int, code runs.Code) {
			st.phase, st.current = inFlight, &attempt{
				server: &fleet.Server{ID: "i", Software: "v1"}, startedAt: w.Clock.Now(), cancel: func() {}, resumeAfter: st.eventCount(), events: testEvents("e", n),
			}
			w.attemptEnded(j, 0, &router.Route{MaxAttempts: 3}, st.current, code, "")
		}
		attemptWith(3, runs.Broken)
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			attemptWith(0, runs.Full)
		}
		got := j.startable(w.Clock.Now(), 1)
		c.Assert(got, qt.HasLen, 1)
		c.Check(got[0].Software, qt.Equals, "v1")
		c.Check(got[0].WaitingFor, qt.Equals, 4*clock.Second)
	})
}
