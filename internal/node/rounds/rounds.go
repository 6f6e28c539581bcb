// Package rounds serves the rounds that this entry owns: it starts samples,
// collects them, and hands them to trainers by cursor.
//
// A round is kept in memory only. Another entry that becomes its owner builds
// it again from the trainer's specification and from what the agents hold.
//
// # Usage
//
//	r := rounds.New(rounds.Params{...})
//	err := r.Open(ctx, spec, class)
//	out, err := r.Read(ctx, id, cursorText, version, limit, wait)
package rounds

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/class"
	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/round"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// Params are what the rounds need to run.
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Key     []byte // seals cursors; the same on all entries
	Calls   *calls.Calls
	Pool    *wire.Pool
	Servers func(m ident.Service) []match.Server
	Scorer  func(s ident.Service) (plat.Scorer, error)
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Rounds are the rounds that one entry owns.
type Rounds struct {
	p   Params
	ctx context.Context // of the samples; ends with the entry

	mu   sync.Mutex
	open map[ident.Round]*owned
}

type owned struct {
	class  class.Class
	cancel context.CancelFunc
	ctx    context.Context

	mu    sync.Mutex
	state *round.State
	held  round.Cursor // the newest cursor seen
	grown chan struct{}
}

// Page is a part of a round.
type Page struct {
	Samples []round.Sample
	Cursor  string
	Whole   bool // the cursor holds every sample
}

const (
	heldFor   = 2 * clock.Second
	retryWait = 100 * clock.Milli
)

// New returns an owner without rounds; its samples end with the context.
func New(ctx context.Context, p Params) *Rounds {
	return &Rounds{p: p, ctx: ctx, open: make(map[ident.Round]*owned)}
}

// Open begins a round, or does nothing if it is already open.
func (r *Rounds) Open(ctx context.Context, s round.Spec, c class.Class) {
	o, created := r.begin(s, c)
	if !created {
		return
	}
	r.recover(ctx, o, s)
	o.mu.Lock()
	defer o.mu.Unlock()
	r.start(o)
}

func (r *Rounds) begin(s round.Spec, c class.Class) (*owned, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.open[s.ID]; ok {
		return o, false
	}
	ctx, cancel := context.WithCancel(r.ctx)
	o := &owned{
		class:  c,
		ctx:    ctx,
		cancel: cancel,
		state:  round.New(s),
		held:   round.NewCursor(s.ID, s.Total()),
		grown:  make(chan struct{}),
	}
	r.open[s.ID] = o
	return o, true
}

// recover asks all agents of the model for samples that an earlier owner had
// made there.
func (r *Rounds) recover(ctx context.Context, o *owned, s round.Spec) {
	ctx, cancel := context.WithTimeout(ctx, heldFor.Duration())
	defer cancel()
	var wg sync.WaitGroup
	for _, srv := range r.p.Servers(s.Model) {
		wg.Go(func() {
			args := wire.HeldArgs{Hello: wire.NewHello(r.p.Node, r.p.Boot), Round: string(s.ID)}
			var reply wire.HeldReply
			if err := r.p.Pool.Call(ctx, srv.Addr, "Agent.Held", &args, &reply); err != nil {
				r.p.Log.Debug().Err(err).Str("node", string(srv.Node)).Msg("Held samples can't be read.")
				return
			}
			o.take(srv.Node, reply.Samples)
		})
	}
	wg.Wait()
}

func (o *owned) take(n ident.Node, hs []wire.HeldSample) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range hs {
		if h.Ordinal < 0 || h.Ordinal >= o.state.Spec().Total() {
			continue
		}
		o.state.Finished(round.Sample{
			Ordinal: h.Ordinal,
			Attempt: ident.Attempt(h.Attempt),
			Node:    n,
			Tokens:  h.Tokens,
			Spans:   wire.ToSpans(h.Spans),
		})
	}
}

// start runs every ordinal that is idle. The lock of o is held.
func (r *Rounds) start(o *owned) {
	for _, i := range o.state.Start(o.held) {
		go r.sample(o, i, o.state.Floor())
	}
}

// sample makes one sample and takes in the result.
func (r *Rounds) sample(o *owned, ordinal int, floor ident.Version) {
	s := o.state.Spec()
	ans, err := r.p.Calls.Do(o.ctx, calls.Work{
		Request:   ident.Request(fmt.Sprintf("%s/%d", s.ID, ordinal)),
		Class:     o.class,
		Body:      s.Prompt(ordinal),
		Prefix:    fmt.Sprintf("%s/%d", s.ID, s.Group(ordinal)),
		Seed:      s.SeedOf(ordinal),
		MaxTokens: s.MaxTokens,
		Sample:    wire.Sample{Round: string(s.ID), Ordinal: ordinal, Floor: uint64(floor)},
	}, nil)
	if o.ctx.Err() != nil {
		return
	}
	score := 0.0
	if err == nil && o.class.Scorer() != "" {
		score, err = r.score(o, s.Prompt(ordinal), ans.Tokens)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case err != nil:
		r.p.Log.Debug().Err(err).Str("round", string(s.ID)).Int("ordinal", ordinal).Msg("Sample failed.")
		o.state.Failed(ordinal, reason(err))
		time.AfterFunc(retryWait.Duration(), func() { r.restart(o) })
	case !ans.Proven:
		o.state.Failed(ordinal, round.Unproven)
		r.start(o)
	default:
		o.state.Finished(round.Sample{
			Ordinal: ordinal,
			Attempt: ans.Attempt,
			Node:    ans.Node,
			Tokens:  ans.Tokens,
			Spans:   ans.Spans,
			Score:   score,
		})
		r.start(o)
		close(o.grown)
		o.grown = make(chan struct{})
	}
}

func reason(err error) round.Reason {
	if fault.Is(err, fault.Unproven) {
		return round.Unproven
	}
	return round.Failed
}

func (r *Rounds) score(o *owned, prompt []byte, tokens []uint32) (float64, error) {
	sc, err := r.p.Scorer(o.class.Scorer())
	if err != nil {
		return 0, err
	}
	return sc.Score(o.ctx, prompt, tokens)
}

func (r *Rounds) restart(o *owned) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ctx.Err() == nil {
		r.start(o)
	}
}

func (r *Rounds) find(id ident.Round) (*owned, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.open[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "round "+string(id)+" is not open here; open it again with its specification")
	}
	return o, nil
}

// Read hands out finished samples that the cursor does not hold. It waits up
// to a span for the first one.
func (r *Rounds) Read(ctx context.Context, id ident.Round, text string, asked ident.Version, limit int, wait clock.Millis) (Page, error) {
	o, err := r.find(id)
	if err != nil {
		return Page{}, err
	}
	spec := o.state.Spec()
	cur, err := round.DecodeCursor(r.p.Key, id, spec.Total(), text)
	if err != nil {
		return Page{}, err
	}
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		page, grown := r.page(o, cur, asked, limit)
		if len(page.Samples) > 0 || page.Whole {
			return page, nil
		}
		select {
		case <-grown:
		case <-t.C:
			return page, nil
		case <-ctx.Done():
			return page, fault.Wrap(fault.Canceled, ctx.Err(), "read ended")
		}
	}
}

func (r *Rounds) page(o *owned, cur round.Cursor, asked ident.Version, limit int) (Page, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.held = o.held.Union(cur)
	out := o.state.Read(cur, asked, limit)
	r.start(o) // Samples found too stale are made anew.
	ordinals := make([]int, 0, len(out))
	for _, s := range out {
		ordinals = append(ordinals, s.Ordinal)
	}
	next := cur.With(ordinals...)
	whole := next.Count() == o.state.Spec().Total()
	return Page{Samples: out, Cursor: next.Encode(r.p.Key), Whole: whole}, o.grown
}

// Progress is how far a round has come at its owner.
type Progress struct {
	Idle     int
	Running  int
	Finished int
	Remade   map[round.Reason]int
}

// Progress tells how far a round has come.
func (r *Rounds) Progress(id ident.Round) (Progress, error) {
	o, err := r.find(id)
	if err != nil {
		return Progress{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	p := Progress{Remade: make(map[round.Reason]int)}
	p.Idle, p.Running, p.Finished = o.state.Count()
	for k, v := range o.state.Remade() {
		p.Remade[k] = v
	}
	return p, nil
}

// Cancel ends a round and lets the agents forget it. It is idempotent: a
// round that is not open here counts as ended.
func (r *Rounds) Cancel(id ident.Round) {
	o, err := r.find(id)
	if err != nil {
		return
	}
	r.mu.Lock()
	delete(r.open, id)
	r.mu.Unlock()
	o.cancel()
	go r.dropAll(id, o.state.Spec().Model)
}

func (r *Rounds) dropAll(id ident.Round, m ident.Service) {
	ctx, cancel := context.WithTimeout(r.ctx, heldFor.Duration())
	defer cancel()
	for _, srv := range r.p.Servers(m) {
		args := wire.HeldArgs{Hello: wire.NewHello(r.p.Node, r.p.Boot), Round: string(id), All: true}
		var reply wire.HeldReply
		if err := r.p.Pool.Call(ctx, srv.Addr, "Agent.Held", &args, &reply); err != nil {
			r.p.Log.Debug().Err(err).Str("node", string(srv.Node)).Msg("Round can't be dropped.")
		}
	}
}
