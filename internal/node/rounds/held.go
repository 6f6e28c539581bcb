package rounds

import (
	"context"
	"fmt"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// requestID returns the request ID of a sample, ROUND/ORDINAL.
func requestID(s round.Spec, ordinal int) ident.Request {
	return ident.Request(fmt.Sprintf("%s/%d", s.ID, ordinal))
}

// recoverSamples asks all agents of the model for samples of the round that an
// earlier owner started. It keeps the finished samples and attaches to those that
// are still running.
func (r *Rounds) recoverSamples(ctx context.Context, o *openRound) {
	r.askAgents(ctx, r.params.Servers(o.spec.Model), func(match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(o.spec.ID), Spec: o.spec.Digest()}
	}, func(srv match.Server, reply wire.HeldReply) { r.applyHeld(o, srv, reply) })
}

// askAgents calls Agent.Held, which returns or drops the samples that an agent holds,
// at several agents concurrently. It calls fn for each agent that answers.
func (r *Rounds) askAgents(
	ctx context.Context, servers []match.Server,
	newArgs func(match.Server) wire.HeldArgs, fn func(match.Server, wire.HeldReply),
) {
	ctx, cancel := context.WithTimeout(ctx, heldTimeout.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range servers {
		wg.Go(func() {
			args := newArgs(srv)
			args.Hello = wire.NewHello(r.params.Node, r.params.Boot)
			var reply wire.HeldReply
			if err := r.params.Pool.Call(ctx, srv.Addr, "Agent.Held", &args, &reply); err != nil {
				r.params.Log.Debug().Err(err).Str("node", string(srv.Node)).
					Msg("rounds: agent did not answer a request about held samples")
				return
			}
			fn(srv, reply)
		})
	}
	wg.Wait()
}

// applyHeld adds the samples that an agent holds to the state of the round.
func (r *Rounds) applyHeld(o *openRound, srv match.Server, reply wire.HeldReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range reply.Samples {
		r.completeSample(o, round.Sample{
			Ordinal: h.Ordinal,
			Attempt: ident.Attempt(h.Attempt),
			Node:    srv.Node,
			Tokens:  h.Tokens,
			Spans:   wire.ToSpans(h.Spans),
		})
	}
	for _, h := range reply.Running {
		if !o.state.MarkRunning(h.Ordinal) {
			continue
		}
		req := round.StartRequest{Ordinal: h.Ordinal, MinVersion: o.state.MinVersion()}
		r.startSample(o, req, calls.RunningAttempt{Server: srv, Attempt: ident.Attempt(h.Attempt)})
	}
}

// dropRound asks the agents of all models to drop the samples of a round, since this
// entry may not know the round and thus its model.
func (r *Rounds) dropRound(id ident.Round) {
	r.askAgents(r.ctx, r.params.Agents(), func(match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(id), All: true}
	}, func(match.Server, wire.HeldReply) {})
}

// Run reconciles all open rounds at a fixed interval until the context ends.
func (r *Rounds) Run(ctx context.Context) {
	clock.Every(ctx, reconcileInterval, func() {
		for _, o := range r.openRounds() {
			r.reconcile(o)
		}
	})
}

func (r *Rounds) openRounds() []*openRound {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*openRound, 0, len(r.open))
	for _, o := range r.open {
		out = append(out, o)
	}
	return out
}

// sampleWindow returns how many samples of a round may run or wait at once: twice
// the number of the model's slots, so that no slot is idle while this entry starts
// the next sample, but at least minWindow.
func (r *Rounds) sampleWindow(m ident.Service) int {
	const minWindow, slotFactor = 64, 2
	slots := 0
	for _, s := range r.params.Servers(m) {
		slots += s.Slots
	}
	return max(minWindow, slotFactor*slots)
}

// reconcile maintains one round: it starts samples, asks agents to drop the
// samples that the trainer has received, and closes the round once it has expired.
func (r *Rounds) reconcile(o *openRound) {
	window := r.sampleWindow(o.spec.Model)
	o.mu.Lock()
	o.window = window
	r.startSamples(o)
	pendingDrops := o.pendingDrops
	o.pendingDrops = make(map[ident.Node][]int)
	expired := r.isExpired(o)
	abandoned := r.params.Clock.Now()-o.lastUsed > abandonTimeout
	o.mu.Unlock()
	go r.dropSamples(o, pendingDrops)
	if expired {
		r.Close(o.spec.ID)
	}
	if abandoned {
		r.params.Log.Warn().Str("round", string(o.spec.ID)).Msg("rounds: round closed, the trainer has abandoned it")
		go r.dropRound(o.spec.ID)
	}
}

// isExpired reports whether this entry may close a round. Samples at agents are
// kept and continue to run, unless the trainer abandoned the round. The caller
// holds the lock of o.
func (r *Rounds) isExpired(o *openRound) bool {
	idle := r.params.Clock.Now() - o.lastUsed
	switch {
	case idle > abandonTimeout:
		return true
	case o.fullyRead:
		return idle > fullyReadRetention
	}
	return idle > foreignRetention && !r.params.Owns(o.spec.ID)
}

// dropSamples asks agents to drop samples that the trainer has received.
func (r *Rounds) dropSamples(o *openRound, drops map[ident.Node][]int) {
	if len(drops) == 0 {
		return
	}
	var servers []match.Server
	for _, s := range r.params.Servers(o.spec.Model) {
		if len(drops[s.Node]) > 0 {
			servers = append(servers, s)
		}
	}
	r.askAgents(r.ctx, servers, func(s match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(o.spec.ID), Spec: o.spec.Digest(), Drop: drops[s.Node]}
	}, func(match.Server, wire.HeldReply) {})
}
