// Package rounds serves the rounds that this entry owns: it starts samples,
// collects them, and hands them to trainers by cursor.
//
// A round is kept in memory only. Another entry that becomes its owner builds
// it again from the trainer's specification and cursor and from what the
// agents hold, and joins what still runs there.
//
// # Usage
//
//	r := rounds.New(ctx, rounds.Params{...})
//	go r.Run(ctx)
//	err := r.Open(ctx, spec, class, cursorText)
//	out, err := r.Read(ctx, id, cursorText, version, limit, wait)
package rounds

import (
	"context"
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
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// Params are what the rounds need to run.
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Key     []byte // seals cursors; the same on all entries
	Calls   *calls.Dispatcher
	Pool    calls.RPCClient
	Owns    func(id ident.Round) bool // whether this entry should own a round
	Newest  func(m ident.Service) ident.Version
	Servers func(m ident.Service) []match.Server
	Agents  func() []match.Server // of all models
	Scorer  func(s ident.Service) (plat.Scorer, error)
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Rounds are the rounds that one entry owns.
type Rounds struct {
	p       Params
	ctx     context.Context // of the samples; ends with the entry
	scorers chan struct{}   // one element for each score that is asked for

	mu   sync.Mutex
	open map[ident.Round]*owned
}

// owned is one round.
type owned struct {
	class  class.Class
	spec   round.Spec
	sealer round.CursorCodec
	cancel context.CancelFunc
	ctx    context.Context
	began  clock.Millis

	mu     sync.Mutex
	state  *round.State
	making map[int]*making
	drops  map[ident.Node][]int // agents may forget these ordinals
	grown  chan struct{}        // closed and replaced when there is more to read
	ready  bool                 // what agents hold was taken in
	used   clock.Millis         // last call of the trainer
	whole  bool                 // the trainer holds every sample
	window int                  // samples that may run at once
}

// Page is a part of a round.
type Page struct {
	Samples        []round.Sample
	Cursor         string
	CompleteGroups []int // groups that the page completes
	RoundComplete  bool  // the cursor holds every sample
}

// Bounds of what an entry keeps.
const (
	maxRounds   = 256
	idleFor     = 30 * clock.Minute // then an abandoned round ends
	wholeFor    = clock.Minute      // then a round that was read ends
	strangerFor = clock.Minute      // then a round of another owner is left to it
	activeFor   = 5 * clock.Second  // a trainer that called so lately is being served
	maxScores   = 64                // asked for at once
	heldFor     = 2 * clock.Second
	houseTick   = clock.Second
)

// New returns an owner without rounds; its samples end with the context.
func New(ctx context.Context, p Params) *Rounds {
	return &Rounds{p: p, ctx: ctx, scorers: make(chan struct{}, maxScores), open: make(map[ident.Round]*owned)}
}

// Open begins a round whose trainer holds what the cursor says, or does
// nothing if it is already open. The same name with another specification is
// refused.
func (r *Rounds) Open(ctx context.Context, s round.Spec, c class.Class, text string) error {
	if err := r.checkAsked(s, s.Version); err != nil {
		return err
	}
	sealer := round.NewCursorCodec(r.p.Key, s)
	cur, err := sealer.Decode(text)
	if err != nil {
		return err
	}
	o, created, err := r.begin(s, c, sealer, cur)
	if err != nil || !created {
		return err
	}
	r.recover(ctx, o)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ready = true
	r.start(o)
	return nil
}

// checkAsked refuses a version so new that no announced one is within its
// bound: no engine could make the samples, and the round would stand still
// without a word. A trainer may ask for its next version while it trains.
func (r *Rounds) checkAsked(s round.Spec, v ident.Version) error {
	if n := r.p.Newest(s.Model); n > 0 && s.MinVersion(v) > n {
		return fault.New(fault.NotReady, "no version of model "+string(s.Model)+" that was announced is within the staleness bound").WithRetryAfter(clock.Second)
	}
	return nil
}

func (r *Rounds) begin(s round.Spec, c class.Class, sealer round.CursorCodec, cur round.Cursor) (*owned, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.p.Clock.Now()
	if o, ok := r.open[s.ID]; ok {
		if o.spec.Digest() != s.Digest() {
			return nil, false, fault.New(fault.RoundReused, "round "+string(s.ID)+" is open with another specification")
		}
		o.touch(now)
		return o, false, nil
	}
	if len(r.open) >= maxRounds && !r.evict() {
		return nil, false, fault.New(fault.Overloaded, "entry holds too many rounds").WithRetryAfter(clock.Minute)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	o := &owned{
		class:  c,
		spec:   s,
		sealer: sealer,
		ctx:    ctx,
		cancel: cancel,
		began:  now,
		state:  round.New(now, s, cur),
		making: make(map[int]*making),
		drops:  make(map[ident.Node][]int),
		grown:  make(chan struct{}),
		used:   now,
		window: r.windowOf(s.Model),
	}
	r.open[s.ID] = o
	return o, true, nil
}

// evict ends a round that its trainer has read. The lock of r is held.
func (r *Rounds) evict() bool {
	for id, o := range r.open {
		o.mu.Lock()
		whole := o.whole
		o.mu.Unlock()
		if whole {
			delete(r.open, id)
			o.cancel()
			return true
		}
	}
	return false
}

func (o *owned) touch(now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used = now
}

func (r *Rounds) find(id ident.Round) (*owned, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.open[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "round "+string(id)+" is not open here; open it again with its specification and cursor")
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
	if err := r.checkAsked(o.spec, asked); err != nil {
		return Page{}, err
	}
	cur, err := o.sealer.Decode(text)
	if err != nil {
		return Page{}, err
	}
	r.arrive(o, cur)
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		page, grown := r.page(o, cur, asked, limit)
		if len(page.Samples) > 0 || page.RoundComplete {
			return page, nil
		}
		select {
		case <-grown:
		case <-t.C:
			return page, nil
		case <-ctx.Done():
			return page, fault.Wrap(fault.Canceled, ctx.Err(), "read ended")
		case <-o.ctx.Done():
			return page, fault.New(fault.NotFound, "round "+string(id)+" ended meanwhile")
		}
	}
}

// arrive takes in the cursor of a read.
func (r *Rounds) arrive(o *owned, cur round.Cursor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.used = r.p.Clock.Now()
	t := o.state.ApplyCursor(o.used, cur)
	for _, s := range t.Released {
		o.drops[s.Node] = append(o.drops[s.Node], s.Ordinal)
	}
	o.end(t.Unwanted)
}

func (r *Rounds) page(o *owned, cur round.Cursor, asked ident.Version, limit int) (Page, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	pg := o.state.Read(cur, asked, limit)
	o.end(o.state.CancelStale())
	r.start(o) // Samples found too stale are made anew.
	whole := pg.Cursor.Count() == o.spec.Total()
	o.whole = cur.Count() == o.spec.Total()
	return Page{Samples: pg.Samples, Cursor: o.sealer.Encode(pg.Cursor), CompleteGroups: pg.Complete, RoundComplete: whole}, o.grown
}

// Progress is how far a round has come at its owner.
type Progress struct {
	round.Counts
	Regenerated map[round.Reason]int
}

// Progress tells how far a round has come.
func (r *Rounds) Progress(id ident.Round) (Progress, error) {
	o, err := r.find(id)
	if err != nil {
		return Progress{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return Progress{Counts: o.state.Count(), Regenerated: o.state.Remade()}, nil
}

// Cancel ends a round and lets the agents forget it. It is idempotent: a
// round that is not open here counts as ended, and what agents hold of it is
// dropped all the same.
func (r *Rounds) Cancel(id ident.Round) {
	r.Forget(id)
	go r.dropAll(id)
}

// Forget ends a round here; what agents hold of it stays.
func (r *Rounds) Forget(id ident.Round) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.open[id]; ok {
		delete(r.open, id)
		o.cancel()
	}
}
