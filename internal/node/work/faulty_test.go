package work

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/joblog"
	"github.com/jujuberamp/jujuberamp/internal/decide/output"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/sched"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/runs"
	"github.com/jujuberamp/jujuberamp/internal/stand/topic"
)

// TestFaultyAnswers guards against a faulty answer of an engine that ends an item, holds
// it until its job's time is over, or is listed as its output, while a sound engine can
// finish the item.
func TestFaultyAnswers(t *testing.T) {
	const ms = time.Millisecond
	always := 1 << 30
	troubles := map[string]struct {
		left    map[string]int // by host: number of faulty answers
		maxRuns int            // of an item
	}{
		"one engine, once":           {map[string]int{"10.0.0.0": 1}, 2},
		"one engine, always":         {map[string]int{"10.0.0.0": always}, 2},
		"two engines, once":          {map[string]int{"10.0.0.0": 1, "10.0.0.1": 1}, 3},
		"two engines, always":        {map[string]int{"10.0.0.0": always, "10.0.0.1": always}, 3},
		"all engines, once":          {map[string]int{"10.0.0.0": 1, "10.0.0.1": 1, "10.0.0.2": 1}, 4},
		"two always, the last twice": {map[string]int{"10.0.0.0": always, "10.0.0.1": always, "10.0.0.2": 2}, 10},
	}
	tests := map[string]struct {
		answer    faultyAnswer
		tokens    int // that an item may have
		perEvent  int // tokens
		unlimited bool
	}{
		"events of 1 KB without end":           {answer: faultyAnswer{bytes: 1000, interval: 2 * ms}},
		"events of 16 KB without end":          {answer: faultyAnswer{bytes: 16000, interval: 2 * ms}},
		"large events without end, no limit":   {answer: faultyAnswer{bytes: 16000, interval: 2 * ms}, unlimited: true},
		"small events without end":             {answer: faultyAnswer{bytes: 1, interval: 2 * ms}},
		"small events without end, not faster": {answer: faultyAnswer{bytes: 1, interval: 40 * ms}},
		"100 events, then a reset":             {answer: faultyAnswer{events: 100, bytes: 1, interval: 2 * ms, code: runs.Broken}},
		"100 events at once, then a reset":     {answer: faultyAnswer{events: 100, bytes: 1, code: runs.Broken}},
		"100 events, then an end":              {answer: faultyAnswer{events: 100, bytes: 1, interval: 2 * ms, code: runs.Done}},
		"100 events of several tokens":         {answer: faultyAnswer{events: 100, bytes: 1, interval: 2 * ms, code: runs.Broken}, perEvent: 71},
		"bytes that are no event":              {answer: faultyAnswer{events: 5, bytes: 1, interval: 40 * ms, code: runs.Faulty}},
	}
	for name, test := range tests {
		for name2, trouble := range troubles {
			t.Run(name+"/"+name2, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					ctx, cancel := context.WithCancel(context.Background())
					defer time.Sleep(time.Minute)
					defer cancel()
					f := &faultyFleet{answer: test.answer, left: maps.Clone(trouble.left)}
					tokens := soundEvents * max(1, test.perEvent)
					if test.unlimited {
						tokens = 0
					}
					w := startFaultyFleet(ctx, c, f, 3, tokens, func(_ *router.Route, s *router.Service) { s.TokensPerEvent = test.perEvent })
					time.Sleep(7 * time.Second) // the time until results are due
					page, err := w.Jobs.Results(ctx, "j", 0, 0)
					c.Assert(err, qt.IsNil)
					c.Check(page.Results, qt.HasLen, faultyItems)
					for _, r := range page.Results {
						c.Check(r.GivenUp, qt.IsFalse, qt.Commentf("%s: %s", r.ItemID, r.Reason))
						c.Check(string(r.Text), qt.Equals, soundText, qt.Commentf(r.ItemID))
					}
					f.mu.Lock()
					defer f.mu.Unlock()
					for item, n := range f.starts { // An item returns to no engine while another one suits it.
						c.Check(n <= trouble.maxRuns, qt.IsTrue, qt.Commentf("%s: %d runs", item, n))
					}
				})
			})
		}
	}
}

// TestEventsSmallerThanStated guards against sound outputs that never end because the
// operator states more tokens for an event than the engines send.
func TestEventsSmallerThanStated(t *testing.T) {
	for _, engines := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				f := &faultyFleet{}
				w := startFaultyFleet(ctx, c, f, engines, soundEvents, func(_ *router.Route, s *router.Service) { s.TokensPerEvent = 10 })
				time.Sleep(7 * time.Second)
				page, err := w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(page.Results, qt.HasLen, faultyItems)
				for _, r := range page.Results {
					c.Check(string(r.Text), qt.Equals, soundText, qt.Commentf(r.ItemID))
					c.Check(f.starts[r.ItemID], qt.Equals, 4) // three runs show that the statement is wrong
				}
			})
		})
	}
}

// TestNoMoveToFaultyEngine guards against an item that moves from a slow engine back to
// the fast one that has just given it a faulty answer.
func TestNoMoveToFaultyEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute)
		defer cancel()
		f := &faultyFleet{answer: faultyAnswer{bytes: 1, interval: 2 * time.Millisecond}, item: "item-0", left: map[string]int{"10.0.0.0": 1 << 30}}
		w := startFaultyFleet(ctx, c, f, 1, soundEvents, func(*router.Route, *router.Service) {})
		f.add("slow", "10.0.0.9", &unevenEngine{interval: 100 * time.Millisecond})
		time.Sleep(5 * time.Second)
		page, err := w.Jobs.Results(ctx, "j", 0, 0)
		c.Assert(err, qt.IsNil)
		c.Assert(page.Results, qt.HasLen, faultyItems)
		for _, r := range page.Results {
			c.Check(string(r.Text), qt.Equals, soundText, qt.Commentf(r.ItemID))
		}
		c.Check(f.starts["item-0"], qt.Equals, 2)
	})
}

// TestAllAnswersFaulty guards against an item that is listed as dead before its job's time
// is over because no engine gives it a usable answer, against runs of it without a pause,
// and against harm to the items beside it.
func TestAllAnswersFaulty(t *testing.T) {
	const retention = 40 * time.Second
	// Until the delay is maxBackoff it has doubled seven times for each engine.
	const maxStarts = 3*7 + int(retention/(4*time.Second))
	for name, answer := range map[string]faultyAnswer{
		"without end": {bytes: 1, interval: 2 * time.Millisecond},
		"too large":   {bytes: 16000, interval: 2 * time.Millisecond},
		"malformed":   {events: 5, bytes: 1, interval: 2 * time.Millisecond, code: runs.Faulty},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				f := &faultyFleet{answer: answer, item: "item-0", left: map[string]int{"10.0.0.0": 1 << 30, "10.0.0.1": 1 << 30, "10.0.0.2": 1 << 30}}
				w := startFaultyFleet(ctx, c, f, 3, soundEvents, func(r *router.Route, _ *router.Service) { r.ItemTimeout = clock.FromDuration(retention) })
				time.Sleep(retention - time.Second)
				page, err := w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(page.Results, qt.HasLen, faultyItems-1)
				for _, r := range page.Results {
					c.Check(string(r.Text), qt.Equals, soundText, qt.Commentf(r.ItemID))
					c.Check(f.starts[r.ItemID], qt.Equals, 1)
				}
				f.mu.Lock()
				starts := f.starts["item-0"]
				f.mu.Unlock()
				c.Check(starts <= maxStarts, qt.IsTrue, qt.Commentf("%d runs", starts))
				time.Sleep(2 * time.Second)
				page, err = w.Jobs.Results(ctx, "j", 0, 0)
				c.Assert(err, qt.IsNil)
				c.Assert(page.Results, qt.HasLen, faultyItems)
				last := page.Results[faultyItems-1]
				c.Check(last.GivenUp, qt.IsTrue)
				c.Check(last.Reason, qt.Matches, "no engine gave a usable answer in time; .+")
			})
		})
	}
}

// faultyWorker returns a worker that runs no passes by itself, with a job of one item that
// may have a number of tokens. The item runs on an engine, after the events of others.
func faultyWorker(ctx context.Context, c *qt.C, used plat.Store, tokens int, engine string, before ...output.Part) (*Worker, *job) {
	svc := newService(ctx, used, joblog.Node{Name: "a"})
	go svc.Run(ctx)
	items := []joblog.Item{{ID: "i", Path: "/p/x", OutputBudget: tokens}}
	c.Assert(svc.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: items}), qt.IsNil)
	c.Assert(svc.Sync(ctx), qt.IsNil)
	w := New(Params{Jobs: svc, Clock: clock.NewSystem(), Log: zerolog.Nop()})
	var j *job
	svc.View(func(ix *joblog.Index, _ bool) { j = newJob(ctx, ix.Job("j")) })
	j.start(w.Clock.Now(), items)
	w.jobs["j"] = j
	st := &j.states[0]
	for _, p := range before {
		st.received = append(st.received, faultyEvents(p.Events)...)
		st.parts = append(st.parts, partOf(p.Engine, faultyEvents(p.Events)))
	}
	st.phase, st.current = inFlight, newTestAttempt(engine, len(st.received))
	return w, j
}

func newTestAttempt(engine string, after int) *attempt {
	return &attempt{server: &fleet.Server{ID: engine}, cancel: func() {}, resumeAfter: after, move: sched.Move{From: &sched.Engine{}, To: &sched.Engine{}}}
}

func faultyEvents(n int) []runs.Event {
	evs := make([]runs.Event, n)
	for i := range evs {
		evs[i] = runs.Event{Version: 1, Data: []byte("x")}
	}
	return evs
}

// TestFaultyAnswerDuringMove guards against events of a faulty answer that a move makes
// part of the output of another engine, and against the loss of sound events before them.
func TestFaultyAnswerDuringMove(t *testing.T) {
	type frame struct {
		successor bool // comes from the successor
		events    int
	}
	tests := map[string]struct {
		before    []output.Part
		successor string // engine to which the item moves after 15 events
		frames    []frame
		kept      int
		avoided   string
	}{
		"no move":                         {nil, "", []frame{{false, 21}}, 0, "a"},
		"the other engine runs already":   {nil, "b", []frame{{false, 6}}, 0, "a"},
		"the other engine's answer":       {nil, "b", []frame{{true, 6}}, 15, "b"},
		"behind a move":                   {nil, "b", []frame{{true, 1}, {true, 5}}, 15, "b"},
		"the engine has sent some before": {[]output.Part{{Engine: "a", Events: 3}, {Engine: "c", Events: 3}}, "", []frame{{false, 15}}, 0, "a"},
		"behind another engine's events":  {[]output.Part{{Engine: "c", Events: 3}, {Engine: "d", Events: 3}}, "", []frame{{false, 15}}, 6, "a"},
		"behind events that were stored":  {[]output.Part{{Engine: "", Events: 3}}, "", []frame{{false, 18}}, 0, "a"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				w, j := faultyWorker(ctx, c, topic.New(), soundEvents, "a", test.before...)
				st := &j.states[0]
				current := st.current
				var successor *attempt
				if test.successor != "" {
					c.Assert(w.handleFrame(j, 0, current, &runs.Frame{Events: faultyEvents(15)}), qt.IsTrue)
					successor = newTestAttempt(test.successor, 15)
					st.successor = successor
				}
				for i, f := range test.frames {
					a := current
					if f.successor {
						a = successor
					}
					goesOn := w.handleFrame(j, 0, a, &runs.Frame{Events: faultyEvents(f.events)})
					c.Assert(goesOn, qt.Equals, i < len(test.frames)-1)
				}
				c.Check(st.phase, qt.Equals, pending)
				c.Check(st.current == nil && st.successor == nil, qt.IsTrue)
				c.Check(st.received, qt.HasLen, test.kept)
				c.Check(st.avoided(w.Clock.Now(), []*fleet.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}).Sorted(), qt.DeepEquals, []string{test.avoided})
				parts := 0
				for _, p := range st.parts {
					parts += p.Events
				}
				c.Check(parts, qt.Equals, test.kept)
				// The runs that were canceled end, and change nothing.
				w.attemptEnded(j, 0, &router.Route{MaxAttempts: 3}, current, agentLost, "")
				c.Check(st.phase, qt.Equals, pending)
				c.Check(st.received, qt.HasLen, test.kept)
			})
		})
	}
}

// TestFaultyAnswerIsNotTakenOver guards against a later owner of a job that goes on from
// stored events of a faulty answer.
func TestFaultyAnswerIsNotTakenOver(t *testing.T) {
	const tokens = 60
	tests := map[string]struct {
		before     []output.Part
		storeDelay clock.Millis
		want       int // events of the checkpoint
	}{
		"stored before":           {nil, 0, 0},
		"being stored":            {nil, 500, 0},
		"sound events are stored": {[]output.Part{{Engine: "b", Events: 45}}, 0, 45},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer time.Sleep(time.Minute)
				defer cancel()
				store := &slowStore{topic.New(), 0}
				w, j := faultyWorker(ctx, c, store, tokens, "a", test.before...)
				if test.before == nil {
					c.Assert(w.handleFrame(j, 0, j.states[0].current, &runs.Frame{Events: faultyEvents(45)}), qt.IsTrue)
				}
				time.Sleep(time.Second)
				store.delay = test.storeDelay
				w.saveDueCheckpoints(ctx)
				if test.storeDelay == 0 {
					time.Sleep(time.Second)
				}
				c.Assert(w.handleFrame(j, 0, j.states[0].current, &runs.Frame{Events: faultyEvents(tokens)}), qt.IsFalse)
				time.Sleep(10 * time.Second)
				c.Assert(w.Jobs.Sync(ctx), qt.IsNil)
				w.Jobs.View(func(ix *joblog.Index, _ bool) {
					cp, _ := ix.Job("j").Checkpoint(0)
					c.Check(cp.Events, qt.Equals, test.want)
				})
			})
		})
	}
}

// TestStoredEventsAreJudged guards against events of a faulty answer that a node without
// these limits, or before it saw more of them, has stored.
func TestStoredEventsAreJudged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		s, network := topic.New(), &fakeNetwork{nodes: make(map[string]*Worker)}
		a, b := startTestNode(ctx, s, network, "a"), startTestNode(ctx, s, network, "b")
		time.Sleep(time.Second)
		c.Assert(a.Jobs.Submit(ctx, &joblog.Spec{ID: "j", Host: "h", Path: "/p/", Items: []joblog.Item{{ID: "i", OutputBudget: 20}, {ID: "k", OutputBudget: 20}, {ID: "l", OutputBudget: 2000}}}), qt.IsNil)
		time.Sleep(time.Second)
		a.mu.Lock()
		a.jobs["j"].states[0].received = faultyEvents(100)
		a.jobs["j"].states[1].received = faultyEvents(20)
		a.jobs["j"].states[2].received = []runs.Event{{Version: 1, Data: make([]byte, 5000)}} // of many tokens
		a.mu.Unlock()
		a.StopAssigning()
		a.Checkpoint(ctx)
		c.Assert(a.Jobs.AnnounceLeaving(ctx), qt.IsNil)
		time.Sleep(2 * time.Second)
		b.mu.Lock()
		states := b.jobs["j"].states
		c.Check(states[0].received, qt.HasLen, 0)
		c.Check(states[1].received, qt.HasLen, 20)
		c.Check(states[2].received, qt.HasLen, 1)
		b.mu.Unlock()
		b.Jobs.View(func(ix *joblog.Index, _ bool) {
			_, stored := ix.Job("j").Checkpoint(0)
			c.Check(stored, qt.IsFalse)
		})
	})
}

// TestOutputThatIsNotStored guards against an item that is listed as dead because the
// store takes no record of its complete output.
func TestOutputThatIsNotStored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Minute)
		defer cancel()
		w, j := faultyWorker(ctx, c, topic.New(), 0, "a")
		st := &j.states[0]
		st.phase, st.current, st.parts = finishing, nil, []output.Part{{Engine: "a", Events: 1, Bytes: maxTestRecord + 2}}
		w.finish(j, 0, []runs.Event{{Version: 1, Data: make([]byte, maxTestRecord+1)}})
		time.Sleep(time.Second)
		c.Check(st.phase, qt.Equals, pending)
		c.Check(st.avoided(w.Clock.Now(), []*fleet.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}).Has("a"), qt.IsTrue)
		c.Assert(w.Jobs.Sync(ctx), qt.IsNil)
		w.Jobs.View(func(ix *joblog.Index, _ bool) { c.Check(ix.Job("j").Results, qt.HasLen, 0) })
	})
}
