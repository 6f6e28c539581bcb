package demo

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/proof/invar"
	"github.com/jujuberamp/jujuberamp/internal/stand/oracle"
)

const (
	leavingIn  = 5 * clock.Second // stated bound from leaving to no new work
	leavingFor = clock.Second     // that the observer looks on after it
	drainJobs  = 12
	drainFor   = 15 * time.Second
)

// starts returns how many attempts a backend server has begun.
func (a *runningAgent) starts() int {
	if a.engine != nil {
		return a.engine.Attempts()
	}
	return a.plain.Starts()
}

// setLeaving marks an agent's VM in the platform's list.
func (w *world) setLeaving(a *runningAgent, on bool) {
	w.vms.Put(plat.VM{Node: a.name, Role: plat.RoleAgent, Addr: a.Addr(), Zone: a.at.zone, Region: a.at.region, Leaving: on})
}

// pick returns the last running agents of an engine and of a plain service.
func (w *world) pick() []*runningAgent {
	w.mu.Lock()
	defer w.mu.Unlock()
	var eng, app *runningAgent
	for _, a := range w.agents {
		switch {
		case a.gone:
		case a.engine != nil:
			eng = a
		default:
			app = a
		}
	}
	return []*runningAgent{eng, app}
}

// leaving marks one server of each kind as leaving, looks that it starts
// nothing new after the stated time, and takes the mark back.
func (r *run) leaving(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range r.w.pick() {
		wg.Go(func() {
			r.w.setLeaving(a, true)
			defer r.w.setLeaving(a, false)
			clock.Sleep(ctx, leavingIn)
			before := a.starts()
			clock.Sleep(ctx, leavingFor)
			after := a.starts()
			if ctx.Err() == nil {
				r.counts.Check(invar.LeavingIdle, before > 0 && after == before,
					fmt.Sprintf("%s had %d starts when it had to be idle, and %d a second later", a.name, before, after))
			}
		})
	}
	wg.Wait()
	r.say("one engine and one plain service were leaving")
}

// drainAgents shuts down an engine's agent and a plain service's agent while
// requests and streams are in progress, if others remain.
func (r *run) drainAgents(ctx context.Context) {
	for _, a := range r.w.pick() {
		if r.w.others(a) > 0 {
			r.drained(ctx, "agent "+string(a.name), r.w.urls(), func(ctx context.Context) error {
				err := a.Shutdown(ctx)
				a.stop()
				r.w.remove(a)
				return err
			})
		}
	}
}

// drainEntry shuts down an entry while requests and streams are in progress.
func (r *run) drainEntry(ctx context.Context) {
	e := r.w.lastEntry()
	urls := []string{e.URL()}
	r.drained(ctx, "entry "+string(e.name), urls, func(ctx context.Context) error {
		r.w.leave(e)
		return e.Shutdown(ctx)
	})
	e.stop()
}

// drained sends work, begins a shutdown while it runs, and checks that all of
// it is answered whole.
func (r *run) drained(ctx context.Context, name string, urls []string, shutdown func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, drainFor)
	defer cancel()
	begun := r.w.startsOfAll()
	var wg sync.WaitGroup
	for i := range drainJobs {
		u := urls[i%len(urls)]
		body := fmt.Sprintf("work %d beside the shutdown of %s", i, name)
		wg.Go(func() { r.drainDraft(ctx, u, name, body) })
		wg.Go(func() { r.drainAction(ctx, u, name, body) })
	}
	for ctx.Err() == nil && r.w.startsOfAll() < begun+drainJobs {
		clock.Sleep(ctx, clock.Milli)
	}
	err := shutdown(ctx)
	r.counts.Check(invar.CleanDrain, err == nil, fmt.Sprintf("shutdown of %s ended with %v", name, err))
	wg.Wait()
	r.say("%s was shut down with work in progress", name)
}

func (r *run) drainDraft(ctx context.Context, u, name, body string) {
	ans, err := send(ctx, u, codec.Request{Class: "live-draft", Body: body, Seed: 1, MaxTokens: draftTokens})
	whole := err == nil && slices.Equal(ans.tokens, oracle.Answer([]byte(body), 1, draftTokens))
	r.counts.Check(invar.CleanDrain, whole, fmt.Sprintf("a stream was cut by the shutdown of %s: %v", name, err))
}

func (r *run) drainAction(ctx context.Context, u, name, body string) {
	r.deeds.add(&r.deeds.sent, body)
	_, err := send(ctx, u, codec.Request{Class: actionClass, Key: newKey(), FirstSend: true, Body: body})
	r.counts.Check(invar.CleanDrain, err == nil, fmt.Sprintf("an action was cut by the shutdown of %s: %v", name, err))
}

// startsOfAll returns how many attempts all backend servers have begun.
func (w *world) startsOfAll() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, a := range w.agents {
		n += a.starts()
	}
	return n
}

// others returns how many more agents serve what an agent serves.
func (w *world) others(a *runningAgent) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, o := range w.agents {
		if o != a && !o.gone && (o.engine == nil) == (a.engine == nil) {
			n++
		}
	}
	return n
}

// remove takes an agent that has ended off the VM list.
func (w *world) remove(a *runningAgent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	a.gone = true
	w.vms.Remove(a.name)
}

func (w *world) lastEntry() *runningEntry {
	w.mu.Lock()
	defer w.mu.Unlock()
	var last *runningEntry
	for _, e := range w.entries {
		if !e.dead {
			last = e
		}
	}
	return last
}

// leave takes an entry out of what the balancer offers.
func (w *world) leave(e *runningEntry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.dead = true
	w.vms.Remove(ident.Node(e.name))
}
