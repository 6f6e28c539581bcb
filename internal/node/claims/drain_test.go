package claims

import (
	"context"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/node/agent"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
	"github.com/jujuberamp/jujuberamp/internal/stand/engine"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

// TestShutdownWaits shows that an agent's shutdown cuts no call, and that what
// arrives meanwhile is refused as not run and goes elsewhere.
func TestShutdownWaits(t *testing.T) {
	r := newRig(t, 300*clock.Milli)
	e := r.entry("entry-a")
	one := r.later(e, newKey(r.c), "x")
	r.started("x")
	done := make(chan error, 1)
	go func() { done <- r.agents[0].Shutdown(r.ctx) }()
	two := r.later(e, newKey(r.c), "y")
	r.c.Assert(<-one, qt.IsNil)
	r.c.Assert(<-done, qt.IsNil)
	r.agent()
	r.c.Assert(<-two, qt.IsNil)
	r.c.Assert(r.ledger.Runs("x"), qt.Equals, 1)
	r.c.Assert(r.ledger.Runs("y"), qt.Equals, 1)
}

// TestShutdownMoves shows that a stream that outlasts a shutdown goes on at
// another agent from the tokens so far.
func TestShutdownMoves(t *testing.T) {
	r := newRig(t, 1)
	slow, fast := r.model(20), r.model(5000)
	e := r.entry("entry-a")
	const maxTokens = 400
	cl, err := class.New(class.Params{Name: "draft", Kind: class.Draft, Service: "model", Lateness: clock.Minute, Waiting: clock.Second, MaxTokens: maxTokens})
	r.c.Assert(err, qt.IsNil)
	body := []byte("draft")
	seed := int64(1)
	for oracle.Length(body, seed, maxTokens) < maxTokens/2 {
		seed++
	}
	first := make(chan struct{})
	ended := make(chan error, 1)
	var got []uint32
	go func() {
		ans, err := e.p.Calls.Do(r.ctx, calls.Work{Class: cl, Body: body, Seed: seed, MaxTokens: maxTokens}, func(ts []uint32) error {
			if len(got) == 0 {
				close(first)
			}
			got = append(got, ts...)
			return nil
		})
		if err == nil && !slices.Equal(ans.Tokens, got) {
			err = context.Canceled
		}
		ended <- err
	}()
	r.host("model", slow)
	<-first
	r.host("model", fast)
	ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
	defer cancel()
	r.c.Assert(slow.Shutdown(ctx), qt.IsNil)
	r.c.Assert(<-ended, qt.IsNil)
	r.c.Assert(got, qt.DeepEquals, oracle.Answer(body, seed, maxTokens))
}

// model adds an agent of an engine with a rate in tokens a second.
func (r *rig) model(rate float64) *agent.Agent {
	eng := engine.New(engine.Params{Batch: batch.Params{Slots: 4, Rate: rate, Knee: 8, PrefillRate: 50_000, CachedPrefixes: 4}, Model: "model", Version: 1}, r.clock)
	go eng.Run(r.ctx)
	return r.start(agent.Params{Node: "agent-2", Engine: eng, Slots: 4})
}
