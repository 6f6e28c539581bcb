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

// TestDo runs one request on fake agents, in the fake time of synctest.
func TestDo(t *testing.T) {
	good := func() *fakeAgent { return &fakeAgent{} }
	unreachable := func() *fakeAgent { return &fakeAgent{hangAt: 55 * time.Millisecond, hangDuration: time.Hour} }
	delayed := func() *fakeAgent {
		return &fakeAgent{hangAt: 55 * time.Millisecond, hangDuration: 5100 * time.Millisecond}
	}
	overloaded := func() *fakeAgent { return &fakeAgent{refuse: fault.Overloaded} }
	crashing := func() *fakeAgent { return &fakeAgent{crashAt: 5} }
	tests := map[string]struct {
		agents   []*fakeAgent
		kind     class.Kind
		deadline clock.Millis
		cancelAt time.Duration // when the caller cancels, 0 for never
		want     fault.Kind    // empty for a complete answer
		resumes  []int         // number of tokens after which each admitted attempt resumed
		canceled int
	}{
		"served":                     {[]*fakeAgent{good()}, class.Draft, 0, 0, "", []int{0}, 0},
		"crash, resumed elsewhere":   {[]*fakeAgent{crashing(), good()}, class.Draft, 0, 0, "", []int{0, 5}, 1},
		"refused, runs elsewhere":    {[]*fakeAgent{overloaded(), good()}, class.Draft, 0, 0, "", []int{0}, 0},
		"agent hangs forever":        {[]*fakeAgent{unreachable(), good()}, class.Draft, 0, 0, "", []int{0, 6}, 0},
		"late answer after a retry":  {[]*fakeAgent{delayed(), good()}, class.Draft, 0, 0, "", []int{0, 6}, 1},
		"sample: crash":              {[]*fakeAgent{crashing(), good()}, class.Round, 0, 0, "", []int{0, 5}, 1},
		"all refuse":                 {[]*fakeAgent{overloaded(), overloaded()}, class.Draft, 0, 0, fault.Overloaded, nil, -1},
		"all refuse, with deadline":  {[]*fakeAgent{overloaded()}, class.Draft, 2 * clock.Second, 0, fault.PastDeadline, nil, -1},
		"deadline while running":     {[]*fakeAgent{good()}, class.Draft, 100, 0, fault.OutcomeUnknown, []int{0}, 1},
		"caller cancels":             {[]*fakeAgent{good()}, class.Draft, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 1},
		"reader of a sample cancels": {[]*fakeAgent{good()}, class.Round, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 0},
		"action: refused":            {[]*fakeAgent{overloaded(), good()}, class.Action, 0, 0, "", []int{0}, 0},
		"action: crash, no retry":    {[]*fakeAgent{crashing(), good()}, class.Action, 0, 0, fault.BackendCrashed, []int{0}, 0},
		"action: caller cancels":     {[]*fakeAgent{good()}, class.Action, 0, 100 * time.Millisecond, fault.Canceled, []int{0}, 0},
		"outcome unknown although the retries are refused": {
			[]*fakeAgent{crashing()}, class.Draft, 3 * clock.Second, 0, fault.BackendCrashed, nil, -1,
		},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				cl := newTestCluster(t, tc.agents...)
				ctx, cancel := context.WithCancel(cl.ctx)
				if tc.cancelAt > 0 {
					time.AfterFunc(tc.cancelAt, cancel)
				}
				work := Work{Class: newClass(t, tc.kind), MaxTokens: 256}
				if tc.kind == class.Round {
					work.Sample.Round = "r"
				}
				if tc.deadline > 0 {
					work.Deadline = cl.params.Clock.Now() + tc.deadline
				}
				var got []uint32
				_, err := cl.Do(ctx, work, func(ts []uint32) error {
					got = append(got, ts...)
					return nil
				})
				time.Sleep(10 * time.Second) // for late answers and cancels
				if tc.want == "" {
					c.Assert(err, qt.IsNil)
					c.Assert(isComplete(got), qt.IsTrue, qt.Commentf("%v", got))
				} else {
					c.Assert(fault.Is(err, tc.want), qt.IsTrue, qt.Commentf("%v", err))
				}
				cl.checkAgents(c, tc.resumes, tc.canceled, tc.deadline)
				cancel()
			})
		})
	}
}

// checkAgents checks the calls that the agents received and that nothing is left
// in the matcher. A nil slice or a negative count is not checked.
func (cl *testCluster) checkAgents(c *qt.C, resumes []int, canceled int, deadline clock.Millis) {
	var got []int
	for _, j := range cl.submitted() {
		got = append(got, len(j.Resume))
		if deadline > 0 {
			c.Assert(clock.Millis(j.Left) > 0 && clock.Millis(j.Left) <= deadline, qt.IsTrue)
		}
	}
	if resumes != nil {
		c.Assert(got, qt.DeepEquals, resumes)
	}
	n := 0
	for i := range len(cl.net.agents) {
		n += len(cl.agent(i).canceled)
	}
	if canceled >= 0 {
		c.Assert(n, qt.Equals, canceled)
	}
	cl.WithMatcher(func(m *match.Matcher) {
		c.Assert(m.Waiting(), qt.Equals, 0)
		for _, h := range m.Health() {
			c.Assert(h.InFlight, qt.Equals, 0)
		}
	})
}

// TestHedge slows down the server of one request. The hedge answers first, the
// first attempt is canceled, and the caller gets each token once.
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
				cl := newTestCluster(t, &fakeAgent{}, &fakeAgent{})
				work := Work{Class: newClass(t, tc.kind), MaxTokens: 256}
				for range 20 {
					_, err := cl.Do(cl.ctx, work, nil)
					c.Assert(err, qt.IsNil)
				}
				before := len(cl.submitted())
				c.Assert(before, qt.Equals, 20)
				cl.net.mu.Lock()
				cl.agent(0).slowdown = 50
				cl.net.mu.Unlock()
				var got []uint32
				_, err := cl.Do(cl.ctx, work, func(ts []uint32) error {
					got = append(got, ts...)
					return nil
				})
				c.Assert(err, qt.IsNil)
				c.Assert(isComplete(got), qt.IsTrue, qt.Commentf("%v", got))
				time.Sleep(time.Second)
				c.Assert(len(cl.submitted())-before, qt.Equals, 1+tc.hedges)
				c.Assert(len(cl.agent(0).canceled), qt.Equals, tc.hedges)
			})
		})
	}
}

// pausedClock is a clock that jumps ahead, as after a pause of the process.
type pausedClock struct {
	clock.Clock
	pause clock.Millis
}

func (p *pausedClock) Now() clock.Millis { return p.Clock.Now() + p.pause }

// TestEntryPausedInMidRequest pauses the entry for 20 s while it reads an
// answer. When it resumes, no agent has reported within the liveness timeout.
func TestEntryPausedInMidRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newTestCluster(t, &fakeAgent{}, &fakeAgent{})
		paused := &pausedClock{Clock: cl.params.Clock}
		cl.mu.Lock()
		cl.params.Clock = paused
		cl.mu.Unlock()
		time.AfterFunc(100*time.Millisecond, func() {
			cl.mu.Lock()
			paused.pause = 20 * clock.Second
			cl.mu.Unlock()
		})
		ans, err := cl.Do(cl.ctx, Work{Class: newClass(t, class.Draft), MaxTokens: 256}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isComplete(ans.Tokens), qt.IsTrue)
		ans, err = cl.Do(cl.ctx, Work{Class: newClass(t, class.Draft), MaxTokens: 256}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isComplete(ans.Tokens), qt.IsTrue)
		c.Assert(cl.submitted(), qt.HasLen, 2)
	})
}

// TestJoin reads an attempt that another entry started.
func TestJoin(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl := newTestCluster(t, &fakeAgent{})
		var reply wire.SubmitReply
		c.Assert(cl.net.Call(cl.ctx, addr(0), "Agent.Submit", &wire.SubmitArgs{Job: wire.Job{Attempt: "x"}}, &reply), qt.IsNil)
		ans, err := cl.Do(cl.ctx, Work{
			Class:     newClass(t, class.Round),
			MaxTokens: 256,
			Sample:    wire.Sample{Round: "r"},
			Attach:    RunningAttempt{Server: match.Server{Node: "a", Addr: addr(0)}, Attempt: "x"},
		}, nil)
		c.Assert(err, qt.IsNil)
		c.Assert(isComplete(ans.Tokens), qt.IsTrue)
		c.Assert(cl.submitted(), qt.HasLen, 1)
	})
}
