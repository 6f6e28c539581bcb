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

// zeros stand for the tokens of all samples; only their number matters.
var zeros = make([]uint32, 1<<16)

// engine is one model engine with its agent.
type engine struct {
	node    ident.Node
	t       *learner
	core    *batch.Engine
	runs    []*run
	seq     uint64
	version ident.Version
	target  ident.Version // it loads
	ready   clock.Millis  // when the load, or the time after a crash, ends
	loading bool
	down    bool
}

func newEngine(i int, t *learner, s Scenario) *engine {
	return &engine{node: ident.Node(fmt.Sprintf("agent-%d", i)), t: t, core: batch.New(s.Batch), version: 1}
}

func (e *engine) isUp() bool { return !e.down && !e.loading }

// settle brings an engine up to now, takes in what it finished, and reports.
func (w *world) settle(e *engine) {
	done := sets.Of(e.core.Advance(w.Now())...)
	for _, r := range append([]*run(nil), e.runs...) {
		whole := done.Has(r.name)
		made := r.floor + e.core.TokensGenerated(r.name)
		if whole {
			made = r.r.lengths[r.ordinal]
		}
		w.progress(e, r, made)
		if whole {
			w.finish(e, r)
		} else {
			r.r.state.ObserveVersions(r.ordinal, r.part.Spans, e.version)
		}
	}
	if w.Now() >= e.ready && !e.isUp() {
		e.arise()
	}
	w.report(e)
}

// arise ends a load or the time after a crash.
func (e *engine) arise() {
	if e.loading {
		e.version = e.target
	}
	e.loading, e.down = false, false
	e.core.SetHalted(false)
}

// progress notes the tokens that a run made since the last look; all of them
// are of one version, since loads begin and end at a look.
func (w *world) progress(e *engine, r *run, made int) {
	from := len(r.part.Tokens)
	if made <= from {
		return
	}
	w.out.GeneratedTokens += made - from
	spans := append([]model.Span(nil), r.part.Spans...)
	if n := len(spans); n > 0 && spans[n-1].Version == e.version {
		spans[n-1].To = made
	} else {
		spans = append(spans, model.Span{Version: e.version, From: from, To: made})
	}
	r.part = round.Partial{Tokens: zeros[:made:made], Spans: spans}
}

func (w *world) finish(e *engine, r *run) {
	w.remove(r, match.Result{Outcome: match.Served})
	r.r.state.Complete(round.Sample{
		Ordinal: r.ordinal,
		Attempt: ident.Attempt(r.name),
		Node:    e.node,
		Tokens:  r.part.Tokens,
		Spans:   r.part.Spans,
	}, false)
}

func (w *world) report(e *engine) {
	if e.down {
		return
	}
	e.seq++
	w.match.Report(w.Now(), match.Server{
		Node:       e.node,
		Boot:       1,
		Seq:        e.seq,
		Service:    e.t.model,
		Version:    e.version,
		Loading:    e.loading,
		Slots:      w.s.Batch.Slots,
		Running:    len(e.runs),
		OwnRunning: len(e.runs),
	})
}

// submit starts a granted run.
func (w *world) submit(r *run, g match.Grant) {
	for _, e := range w.engines {
		if e.node != g.Node {
			continue
		}
		r.at = e
		if !e.isUp() {
			w.ended(r, r.part)
			return
		}
		priority := g.Priority
		if r.late {
			priority++
		}
		e.runs = append(e.runs, r)
		r.r.state.ObserveVersions(r.ordinal, r.part.Spans, e.version)
		e.core.Add(w.Now(), batch.Job{
			ID:       r.name,
			Prompt:   promptLen,
			Prefix:   fmt.Sprint(r.r.state.Spec().ID, r.ordinal/w.s.SamplesPerGroup),
			Tokens:   r.r.lengths[r.ordinal] - r.floor,
			Priority: priority,
		})
	}
}

// crash stops an engine; it comes back with its first version.
func (w *world) crash(e *engine) {
	if e.down {
		return
	}
	w.settle(e)
	for len(e.runs) > 0 {
		w.ended(e.runs[0], e.runs[0].part)
	}
	e.down, e.loading = true, false
	e.version, e.ready = 1, w.Now()+w.s.CrashDowntime
	e.core.SetHalted(true)
}

// swaps orders the loads that are due for a trainer's model.
func (w *world) swaps(t *learner) {
	var view []swap.Server
	at := make(map[ident.Node]*engine)
	for _, e := range w.engines {
		if e.t == t && !e.down {
			at[e.node] = e
			view = append(view, swap.Server{Node: e.node, Zone: "zone", Version: e.version, Loading: e.loading})
		}
	}
	for _, g := range swap.Groups(w.p.Swap, view) {
		for _, n := range swap.Next(w.Now(), w.p.Swap, t.version, g) {
			e := at[n]
			e.loading, e.target, e.ready = true, t.version, w.Now()+w.s.SwapTime
			e.core.SetHalted(true)
		}
	}
}
