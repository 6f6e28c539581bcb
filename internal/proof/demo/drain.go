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
	maxLeavingDelay   = 5 * clock.Second // guaranteed bound after which a leaving server gets no new work
	idleCheckDuration = clock.Second     // of the check that follows maxLeavingDelay
	requestsPerDrain  = 12
	drainTimeout      = 15 * time.Second
)

// starts returns how many attempts the agent's backend server has started.
func (a *runningAgent) starts() int {
	if a.engine != nil {
		return a.engine.Attempts()
	}
	return a.plain.Starts()
}

// setLeaving sets or clears the leaving mark of an agent's VM in the VM list.
func (c *cluster) setLeaving(a *runningAgent, on bool) {
	c.vms.Put(plat.VM{Node: a.name, Role: plat.RoleAgent, Addr: a.Addr(), Zone: a.locality.zone, Region: a.locality.region, Leaving: on})
}

// lastAgents returns the last running agent of an engine and the last one of a
// plain service.
func (c *cluster) lastAgents() []*runningAgent {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eng, app *runningAgent
	for _, a := range c.agents {
		switch {
		case a.shutDown:
		case a.engine != nil:
			eng = a
		default:
			app = a
		}
	}
	return []*runningAgent{eng, app}
}

// checkLeavingServers marks one server of each kind as leaving, checks that it
// starts no attempt after maxLeavingDelay, and clears the mark.
func (r *run) checkLeavingServers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range r.cluster.lastAgents() {
		wg.Go(func() {
			r.cluster.setLeaving(a, true)
			defer r.cluster.setLeaving(a, false)
			clock.Sleep(ctx, maxLeavingDelay)
			before := a.starts()
			clock.Sleep(ctx, idleCheckDuration)
			after := a.starts()
			if ctx.Err() == nil {
				r.counts.Check(invar.LeavingIdle, before > 0 && after == before,
					fmt.Sprintf("%s had %d starts when it had to be idle, and %d a second later", a.name, before, after))
			}
		})
	}
	wg.Wait()
	r.progressf("one engine and one plain service were leaving")
}

// drainAgents shuts down an engine's agent and a plain service's agent while
// requests and streams are in progress. It skips an agent if no other agent has
// the same kind of backend server.
func (r *run) drainAgents(ctx context.Context) {
	for _, a := range r.cluster.lastAgents() {
		if r.cluster.countOtherAgents(a) > 0 {
			r.checkDrain(ctx, "agent "+string(a.name), r.cluster.entryURLs(), func(ctx context.Context) error {
				err := a.Shutdown(ctx)
				a.stop()
				r.cluster.removeAgent(a)
				return err
			})
		}
	}
}

// drainEntry shuts down an entry while requests and streams are in progress.
func (r *run) drainEntry(ctx context.Context) {
	e := r.cluster.lastEntry()
	urls := []string{e.URL()}
	r.checkDrain(ctx, "entry "+string(e.name), urls, func(ctx context.Context) error {
		r.cluster.removeEntry(e)
		return e.Shutdown(ctx)
	})
	e.stop()
}

// checkDrain sends requests, shuts a node down while they are in progress, and
// checks that all of them are answered completely.
func (r *run) checkDrain(ctx context.Context, name string, urls []string, shutdown func(context.Context) error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	startsBefore := r.cluster.totalStarts()
	var wg sync.WaitGroup
	for i := range requestsPerDrain {
		u := urls[i%len(urls)]
		body := fmt.Sprintf("work %d beside the shutdown of %s", i, name)
		wg.Go(func() { r.checkDraftDuringDrain(ctx, u, name, body) })
		wg.Go(func() { r.checkActionDuringDrain(ctx, u, name, body) })
	}
	for ctx.Err() == nil && r.cluster.totalStarts() < startsBefore+requestsPerDrain {
		clock.Sleep(ctx, clock.Milli)
	}
	err := shutdown(ctx)
	r.counts.Check(invar.CleanDrain, err == nil, fmt.Sprintf("shutdown of %s ended with %v", name, err))
	wg.Wait()
	r.progressf("%s was shut down with work in progress", name)
}

// checkDraftDuringDrain sends a draft and checks that its stream is complete.
func (r *run) checkDraftDuringDrain(ctx context.Context, u, name, body string) {
	ans, err := send(ctx, u, codec.Request{Class: "live-draft", Body: body, Seed: 1, MaxTokens: draftTokens})
	complete := err == nil && slices.Equal(ans.tokens, oracle.Answer([]byte(body), 1, draftTokens))
	r.counts.Check(invar.CleanDrain, complete, fmt.Sprintf("a stream was cut by the shutdown of %s: %v", name, err))
}

// checkActionDuringDrain sends an action and checks that it is answered.
func (r *run) checkActionDuringDrain(ctx context.Context, u, name, body string) {
	r.actionLog.add(&r.actionLog.sent, body)
	_, err := send(ctx, u, codec.Request{Class: actionClass, Key: newKey(), FirstSend: true, Body: body})
	r.counts.Check(invar.CleanDrain, err == nil, fmt.Sprintf("an action was cut by the shutdown of %s: %v", name, err))
}

// totalStarts returns how many attempts all backend servers have started.
func (c *cluster) totalStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, a := range c.agents {
		n += a.starts()
	}
	return n
}

// countOtherAgents returns how many other running agents have the same kind of
// backend server as a.
func (c *cluster) countOtherAgents(a *runningAgent) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.agents {
		if o != a && !o.shutDown && (o.engine == nil) == (a.engine == nil) {
			n++
		}
	}
	return n
}

// removeAgent removes an agent that was shut down from the VM list.
func (c *cluster) removeAgent(a *runningAgent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.shutDown = true
	c.vms.Remove(a.name)
}

// lastEntry returns the last entry that is not stopped.
func (c *cluster) lastEntry() *runningEntry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var last *runningEntry
	for _, e := range c.entries {
		if !e.stopped {
			last = e
		}
	}
	return last
}

// removeEntry removes an entry from the VM list and from the URLs for clients.
func (c *cluster) removeEntry(e *runningEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.stopped = true
	c.vms.Remove(ident.Node(e.name))
}
