package steps

import (
	"fmt"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/model"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/stand/batch"
)

// zeroTokens holds the tokens of all samples, since only their number matters.
var zeroTokens = make([]uint32, 1<<16)

// engine is one model engine with its agent.
type engine struct {
	node          ident.Node
	trainer       *trainer
	batch         *batch.Engine
	attempts      []*attempt
	reportSeq     uint64
	version       ident.Version
	targetVersion ident.Version // version that is being loaded
	readyAt       clock.Millis  // end of the load or of the downtime after a crash
	loading       bool
	down          bool
}

func newEngine(i int, t *trainer, s Scenario) *engine {
	return &engine{node: ident.Node(fmt.Sprintf("agent-%d", i)), trainer: t, batch: batch.New(s.Batch), version: 1}
}

func (e *engine) isUp() bool { return !e.down && !e.loading }

// advanceEngine advances an engine to now, records the progress of its attempts,
// completes those that finished, and sends a load report.
func (sim *simulation) advanceEngine(e *engine) {
	done := sets.Of(e.batch.Advance(sim.Now())...)
	for _, a := range append([]*attempt(nil), e.attempts...) {
		complete := done.Has(a.jobID)
		tokens := a.resumedTokens + e.batch.TokensGenerated(a.jobID)
		if complete {
			tokens = a.round.lengths[a.ordinal]
		}
		sim.recordProgress(e, a, tokens)
		if complete {
			sim.completeAttempt(e, a)
		} else {
			a.round.state.ObserveVersions(a.ordinal, a.partial.Spans, e.version)
		}
	}
	if sim.Now() >= e.readyAt && !e.isUp() {
		e.resume()
	}
	sim.reportEngine(e)
}

// resume ends a load or the downtime after a crash.
func (e *engine) resume() {
	if e.loading {
		e.version = e.targetVersion
	}
	e.loading, e.down = false, false
	e.batch.SetHalted(false)
}

// recordProgress records the tokens that an attempt generated since the last
// call. All of them have the same version, since a load starts or ends only
// right after the engine was advanced.
func (sim *simulation) recordProgress(e *engine, a *attempt, tokens int) {
	from := len(a.partial.Tokens)
	if tokens <= from {
		return
	}
	sim.outcome.GeneratedTokens += tokens - from
	spans := append([]model.Span(nil), a.partial.Spans...)
	if n := len(spans); n > 0 && spans[n-1].Version == e.version {
		spans[n-1].To = tokens
	} else {
		spans = append(spans, model.Span{Version: e.version, From: from, To: tokens})
	}
	a.partial = round.Partial{Tokens: zeroTokens[:tokens:tokens], Spans: spans}
}

// completeAttempt adds an attempt's complete sample to its round.
func (sim *simulation) completeAttempt(e *engine, a *attempt) {
	sim.removeAttempt(a, match.Result{Outcome: match.Served})
	a.round.state.Complete(round.Sample{
		Ordinal: a.ordinal,
		Attempt: ident.Attempt(a.jobID),
		Node:    e.node,
		Tokens:  a.partial.Tokens,
		Spans:   a.partial.Spans,
	}, false)
}

// reportEngine reports an engine's state to the matcher.
func (sim *simulation) reportEngine(e *engine) {
	if e.down {
		return
	}
	e.reportSeq++
	sim.matcher.Report(sim.Now(), match.Server{
		Node:       e.node,
		Boot:       1,
		Seq:        e.reportSeq,
		Service:    e.trainer.model,
		Version:    e.version,
		Loading:    e.loading,
		Slots:      sim.scenario.Batch.Slots,
		Running:    len(e.attempts),
		OwnRunning: len(e.attempts),
	})
}

// startAttempt starts a granted attempt on its engine, or interrupts the attempt
// if the engine is down or loading.
func (sim *simulation) startAttempt(a *attempt, g match.Grant) {
	for _, e := range sim.engines {
		if e.node != g.Node {
			continue
		}
		a.engine = e
		if !e.isUp() {
			sim.interruptAttempt(a, a.partial)
			return
		}
		priority := g.Priority
		if a.late {
			priority++
		}
		e.attempts = append(e.attempts, a)
		a.round.state.ObserveVersions(a.ordinal, a.partial.Spans, e.version)
		e.batch.Add(sim.Now(), batch.Job{
			ID:       a.jobID,
			Prompt:   promptBytes,
			Prefix:   fmt.Sprint(a.round.state.Spec().ID, a.ordinal/sim.scenario.SamplesPerGroup),
			Tokens:   a.round.lengths[a.ordinal] - a.resumedTokens,
			Priority: priority,
		})
	}
}

// crash crashes an engine. The engine returns after CrashDowntime with version 1.
func (sim *simulation) crash(e *engine) {
	if e.down {
		return
	}
	sim.advanceEngine(e)
	for len(e.attempts) > 0 {
		sim.interruptAttempt(e.attempts[0], e.attempts[0].partial)
	}
	e.down, e.loading = true, false
	e.version, e.readyAt = 1, sim.Now()+sim.scenario.CrashDowntime
	e.batch.SetHalted(true)
}

// orderLoads orders the loads of weights that are due for a trainer's model.
func (sim *simulation) orderLoads(t *trainer) {
	var servers []swap.Server
	engines := make(map[ident.Node]*engine)
	for _, e := range sim.engines {
		if e.trainer == t && !e.down {
			engines[e.node] = e
			servers = append(servers, swap.Server{Node: e.node, Zone: "zone", Version: e.version, Loading: e.loading})
		}
	}
	for _, g := range swap.Groups(sim.policy.Swap, servers) {
		for _, n := range swap.Next(sim.Now(), sim.policy.Swap, t.version, g) {
			e := engines[n]
			e.loading, e.targetVersion, e.readyAt = true, t.version, sim.Now()+sim.scenario.SwapTime
			e.batch.SetHalted(true)
		}
	}
}
