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

func requestOf(s round.Spec, ordinal int) ident.Request {
	return ident.Request(fmt.Sprintf("%s/%d", s.ID, ordinal))
}

// recover asks all agents of the model for samples that an earlier owner had
// made there, and joins those that still run.
func (r *Rounds) recover(ctx context.Context, o *owned) {
	r.ask(ctx, r.p.Servers(o.spec.Model), func(match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(o.spec.ID), Spec: o.spec.Digest()}
	}, func(srv match.Server, reply wire.HeldReply) { r.take(o, srv, reply) })
}

// ask sends a message about held samples to agents at once.
func (r *Rounds) ask(ctx context.Context, to []match.Server, args func(match.Server) wire.HeldArgs, fn func(match.Server, wire.HeldReply)) {
	ctx, cancel := context.WithTimeout(ctx, heldFor.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range to {
		wg.Go(func() {
			a := args(srv)
			a.Hello = wire.NewHello(r.p.Node, r.p.Boot)
			var reply wire.HeldReply
			if err := r.p.Pool.Call(ctx, srv.Addr, "Agent.Held", &a, &reply); err != nil {
				r.p.Log.Debug().Err(err).Str("node", string(srv.Node)).Msg("Agent did not answer about held samples.")
				return
			}
			fn(srv, reply)
		})
	}
	wg.Wait()
}

func (r *Rounds) take(o *owned, srv match.Server, reply wire.HeldReply) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range reply.Samples {
		r.finished(o, round.Sample{
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
		b := round.StartRequest{Ordinal: h.Ordinal, MinVersion: o.state.MinVersion()}
		r.run(o, b, calls.RunningAttempt{Server: srv, Attempt: ident.Attempt(h.Attempt)})
	}
}

// dropAll lets every agent forget a round, whichever model it is of: the entry
// that is asked may not know the round.
func (r *Rounds) dropAll(id ident.Round) {
	r.ask(r.ctx, r.p.Agents(), func(match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(id), All: true}
	}, func(match.Server, wire.HeldReply) {})
}

// Run keeps house until the context ends.
func (r *Rounds) Run(ctx context.Context) {
	clock.Every(ctx, houseTick, func() {
		for _, o := range r.all() {
			r.keep(o)
		}
	})
}

func (r *Rounds) all() []*owned {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*owned, 0, len(r.open))
	for _, o := range r.open {
		out = append(out, o)
	}
	return out
}

// windowOf returns how many samples of a round may run or wait at once: twice
// what the engines take, so that none of them waits for this entry.
func (r *Rounds) windowOf(m ident.Service) int {
	const least, factor = 64, 2
	slots := 0
	for _, s := range r.p.Servers(m) {
		slots += s.Slots
	}
	return max(least, factor*slots)
}

// keep looks after one round: it starts what may be started now, passes on
// what agents may forget, and ends the round when its time has come.
func (r *Rounds) keep(o *owned) {
	window := r.windowOf(o.spec.Model)
	o.mu.Lock()
	o.window = window
	r.start(o)
	drops := o.drops
	o.drops = make(map[ident.Node][]int)
	over := r.isOver(o)
	idle := r.p.Clock.Now()-o.used > idleFor
	o.mu.Unlock()
	go r.drop(o, drops)
	if over {
		r.Forget(o.spec.ID)
	}
	if idle {
		r.p.Log.Warn().Str("round", string(o.spec.ID)).Msg("Round was abandoned by its trainer, it ends.")
		go r.dropAll(o.spec.ID)
	}
}

// isOver reports whether this entry may forget a round. What runs for it at
// agents goes on, unless its trainer abandoned it. The lock of o is held.
func (r *Rounds) isOver(o *owned) bool {
	quiet := r.p.Clock.Now() - o.used
	switch {
	case quiet > idleFor:
		return true
	case o.whole:
		return quiet > wholeFor
	}
	return quiet > strangerFor && !r.p.Owns(o.spec.ID)
}

// drop lets agents forget samples that the trainer holds.
func (r *Rounds) drop(o *owned, drops map[ident.Node][]int) {
	if len(drops) == 0 {
		return
	}
	var to []match.Server
	for _, s := range r.p.Servers(o.spec.Model) {
		if len(drops[s.Node]) > 0 {
			to = append(to, s)
		}
	}
	r.ask(r.ctx, to, func(s match.Server) wire.HeldArgs {
		return wire.HeldArgs{Round: string(o.spec.ID), Spec: o.spec.Digest(), Drop: drops[s.Node]}
	}, func(match.Server, wire.HeldReply) {})
}
