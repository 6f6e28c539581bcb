package calls

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
)

// TestDo runs one request; all times are the bubble's.
func TestDo(t *testing.T) {
	good := func() *fakeAgent { return &fakeAgent{} }
	lost := func() *fakeAgent { return &fakeAgent{hangAt: 55 * time.Millisecond, hangFor: time.Hour} }
	late := func() *fakeAgent { return &fakeAgent{hangAt: 55 * time.Millisecond, hangFor: 5100 * time.Millisecond} }
	full := func() *fakeAgent { return &fakeAgent{refuse: fault.Overloaded} }
	broken := func() *fakeAgent { return &fakeAgent{crashAt: 5} }
	tests := map[string]struct {
		agents   []*fakeAgent
		kind     class.Kind
		deadline clock.Millis
		leave    time.Duration // when the caller goes away, 0 for never
		want     fault.Kind    // empty for a whole answer
		resumes  []int         // tokens with which each admitted attempt began
		canceled int
	}{
		"served":                     {[]*fakeAgent{good()}, class.Draft, 0, 0, "", []int{0}, 0},
		"crash, goes on elsewhere":   {[]*fakeAgent{broken(), good()}, class.Draft, 0, 0, "", []int{0, 5}, 1},
		"refused, runs elsewhere":    {[]*fakeAgent{full(), good()}, class.Draft, 0, 0, "", []int{0}, 0},
		"agent hangs for ever":       {[]*fakeAgent{lost(), good()}, class.Draft, 0, 0, "", []int{0, 6}, 0},
		"late answer beside another": {[]*fakeAgent{late(), good()}, class.Draft, 0, 0, "", []int{0, 6}, 1},
		"sample: crash":              {[]*fakeAgent{broken(), good()}, class.Round, 0, 0, "", []int{0, 5}, 1},
		"all refuse":                 {[]*fakeAgent{full(), full()}, class.Draft, 0, 0, fault.Overloaded, nil, -1},
		"all refuse, with deadline":  {[]*fakeAgent{full()}, class.Draft, 2 * clock.Second, 0, fault.PastDeadline, nil, -1},
		"deadline while it runs":     {[]*fakeAgent{good()}, class.Draft, 100, 0, fault.OutcomeUnknown, []int{0}, 1},
		"caller leaves":              {[]*fakeAgent{good()}, class.Draft, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 1},
		"reader of a sample leaves":  {[]*fakeAgent{good()}, class.Round, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 0},
		"action: refused":            {[]*fakeAgent{full(), good()}, class.Action, 0, 0, "", []int{0}, 0},
		"action: crash is not rerun": {[]*fakeAgent{broken(), good()}, class.Action, 0, 0, fault.BackendCrashed, []int{0}, 0},
		"action: caller leaves":      {[]*fakeAgent{good()}, class.Action, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 0},
		"unknown stays unknown when the rest refuse": {
			[]*fakeAgent{broken()}, class.Draft, 3 * clock.Second, 0, fault.BackendCrashed, nil, -1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t, tc.agents...)
				ctx, cancel := context.WithCancel(w.ctx)
				if tc.leave > 0 {
					time.AfterFunc(tc.leave, cancel)
				}
				work := Work{Class: newClass(t, tc.kind), MaxTokens: 256}
				if tc.kind == class.Round {
					work.Sample.Round = "r"
				}
				if tc.deadline > 0 {
					work.Deadline = w.p.Clock.Now() + tc.deadline
				}
				var got []uint32
				_, err := w.Do(ctx, work, func(ts []uint32) error {
					got = append(got, ts...)
					return nil
				})
				time.Sleep(10 * time.Second) // late answers and cancels
				if tc.want == "" {
					c.Assert(err, qt.IsNil)
					c.Assert(isWhole(got), qt.IsTrue, qt.Commentf("%v", got))
				} else {
					c.Assert(fault.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
				}
				w.check(c, tc.resumes, tc.canceled, tc.deadline)
				cancel()
			})
		})
	}
}

// check looks at what the agents saw; a negative count is not looked at.
func (w *world) check(c *qt.C, resumes []int, canceled int, deadline clock.Millis) {
	var began []int
	for _, j := range w.submitted() {
		began = append(began, len(j.Resume))
		if deadline > 0 {
			c.Assert(clock.Millis(j.Left) > 0 && clock.Millis(j.Left) <= deadline, qt.IsTrue)
		}
	}
	if resumes != nil {
		c.Assert(began, qt.DeepEquals, resumes)
	}
	n := 0
	for i := range len(w.net.agents) {
		n += len(w.agent(i).canceled)
	}
	if canceled >= 0 {
		c.Assert(n, qt.Equals, canceled)
	}
	w.WithMatcher(func(m *match.Matcher) {
		c.Assert(m.Waiting(), qt.Equals, 0)
		for _, h := range m.Health() {
			c.Assert(h.InFlight, qt.Equals, 0)
		}
	})
}

// TestHedge slows the server of one request. A second attempt answers first,
// the loser is cancelled, and the caller gets each token once.
func TestHedge(t *testing.T) {
	tests := map[string]struct {
		kind   class.Kind
		hedges int
	}{
		"short work": {class.Draft, 1},
		"sample":     {class.Round, 0},
		"action":     {class.Action, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				w := newWorld(t, &fakeAgent{}, &fakeAgent{})
				work := Work{Class: newClass(t, tc.kind), MaxTokens: 256}
				for range 20 {
					_, err := w.Do(w.ctx, work, nil)
					c.Assert(err, qt.IsNil)
				}
				before := len(w.submitted())
				c.Assert(before, qt.Equals, 20)
				w.net.mu.Lock()
				w.agent(0).slow = 50
				w.net.mu.Unlock()
				var got []uint32
				_, err := w.Do(w.ctx, work, func(ts []uint32) error {
					got = append(got, ts...)
					return nil
				})
				c.Assert(err, qt.IsNil)
				c.Assert(isWhole(got), qt.IsTrue, qt.Commentf("%v", got))
				time.Sleep(time.Second)
				c.Assert(len(w.submitted())-before, qt.Equals, 1+tc.hedges)
				c.Assert(len(w.agent(0).canceled), qt.Equals, tc.hedges)
			})
		})
	}
}

// jump is a clock that an entry's pause moves on.
type jump struct {
	clock.Clock
	by clock.Millis
}

func (j *jump) Now() clock.Millis { return j.Clock.Now() + j.by }

// TestEntryPausedInMidRequest stops the entry's clock for 20 s while an answer
// is read: all leases have passed when it goes on.
func TestEntryPausedInMidRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, &fakeAgent{}, &fakeAgent{})
		j := &jump{Clock: w.p.Clock}
		w.mu.Lock()
		w.p.Clock = j
		w.mu.Unlock()
		time.AfterFunc(100*time.Millisecond, func() {
			w.mu.Lock()
			j.by = 20 * clock.Second
			w.mu.Unlock()
		})
		ans, err := w.Do(w.ctx, Work{Class: newClass(t, class.Draft), MaxTokens: 256}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isWhole(ans.Tokens), qt.IsTrue)
		ans, err = w.Do(w.ctx, Work{Class: newClass(t, class.Draft), MaxTokens: 256}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isWhole(ans.Tokens), qt.IsTrue)
		c.Assert(w.submitted(), qt.HasLen, 2)
	})
}

// TestJoin reads an attempt that another entry started.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		w := newWorld(t, &fakeAgent{})
		var reply wire.SubmitReply
		c.Assert(w.net.Call(w.ctx, addr(0), "Agent.Submit", &wire.SubmitArgs{Job: wire.Job{Attempt: "x"}}, &reply), qt.IsNil)
		ans, err := w.Do(w.ctx, Work{
			Class:     newClass(t, class.Round),
			MaxTokens: 256,
			Sample:    wire.Sample{Round: "r"},
			Attach:    RunningAttempt{Server: match.Server{Node: "a", Addr: addr(0)}, Attempt: "x"},
		}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isWhole(ans.Tokens), qt.IsTrue)
		c.Assert(w.submitted(), qt.HasLen, 1)
	})
}
