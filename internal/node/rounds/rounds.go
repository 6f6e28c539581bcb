// Package rounds runs the rounds that this entry owns: it starts samples, collects
// the results, and returns them to trainers, who read with a cursor.
//
// The state of a round is only in memory. If another entry becomes the owner, it
// rebuilds the round from the specification and the cursor that the trainer sends
// and from the samples that the agents hold. It also attaches to the samples that
// are still running at agents.
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

// Params configures [Rounds].
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Key     []byte // HMAC key of the cursors; the same on all entries
	Calls   *calls.Dispatcher
	Pool    calls.RPCClient
	Owns    func(id ident.Round) bool           // reports whether this entry should own the round
	Newest  func(m ident.Service) ident.Version // newest announced version of a model, 0 if unknown
	Servers func(m ident.Service) []match.Server
	Agents  func() []match.Server // of all models
	Scorer  func(s ident.Service) (plat.Scorer, error)
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Rounds holds the open rounds of one entry.
type Rounds struct {
	params     Params
	ctx        context.Context // parent of the samples' contexts, ends with the entry
	scoreSlots chan struct{}   // one element for each scoring call in progress

	mu   sync.Mutex
	open map[ident.Round]*openRound
}

// openRound is the state of one open round.
type openRound struct {
	class    class.Class
	spec     round.Spec
	codec    round.CursorCodec
	cancel   context.CancelFunc
	ctx      context.Context
	openedAt clock.Millis

	mu           sync.Mutex
	state        *round.State
	running      map[int]*runningSample
	pendingDrops map[ident.Node][]int // ordinals that agents may drop, not yet sent to them
	changed      chan struct{}        // closed and replaced when there is something new to read
	recovered    bool                 // agents were asked for the samples that they hold
	lastUsed     clock.Millis         // time of the trainer's last call
	fullyRead    bool                 // the trainer has received all samples
	window       int                  // number of samples that may run or wait at once
}

// Page is the result of one read of a round.
type Page struct {
	Samples        []round.Sample
	Cursor         string
	CompleteGroups []int // groups of which the page has the last missing sample
	RoundComplete  bool  // the cursor covers all samples of the round
}

// Limits on the rounds of an entry.
const (
	maxRounds           = 256
	abandonTimeout      = 30 * clock.Minute // a round without a call of its trainer for this long is abandoned
	fullyReadRetention  = clock.Minute      // of a round after all samples were read
	foreignRetention    = clock.Minute      // of a round that another entry should own
	activeTimeout       = 5 * clock.Second  // a trainer that called within this time counts as active here
	maxConcurrentScores = 64
	heldTimeout         = 2 * clock.Second // of one Agent.Held call
	reconcileInterval   = clock.Second
)

// New returns Rounds without open rounds. All background work ends with the
// context.
func New(ctx context.Context, params Params) *Rounds {
	return &Rounds{
		params:     params,
		ctx:        ctx,
		scoreSlots: make(chan struct{}, maxConcurrentScores),
		open:       make(map[ident.Round]*openRound),
	}
}

// Open opens a round. The cursor text covers the samples that the trainer already
// has. If the round is already open, Open does nothing, or fails if the
// specification differs.
func (r *Rounds) Open(ctx context.Context, s round.Spec, c class.Class, cursorText string) error {
	if err := r.checkVersion(s, s.Version); err != nil {
		return err
	}
	codec := round.NewCursorCodec(r.params.Key, s)
	cur, err := codec.Decode(cursorText)
	if err != nil {
		return err
	}
	o, created, err := r.addRound(s, c, codec, cur)
	if err != nil || !created {
		return err
	}
	r.recoverSamples(ctx, o)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recovered = true
	r.startSamples(o)
	return nil
}

// checkVersion refuses a version so new that no announced version is within the
// staleness bound. No engine could generate the samples, and the round would make
// no progress without any error. A trainer may ask for its next version while it
// still trains that version.
func (r *Rounds) checkVersion(s round.Spec, v ident.Version) error {
	if n := r.params.Newest(s.Model); n > 0 && s.MinVersion(v) > n {
		return fault.New(fault.NotReady,
			"no version of model "+string(s.Model)+" that was announced is within the staleness bound").
			WithRetryAfter(clock.Second)
	}
	return nil
}

// addRound returns the open round of a specification and creates it if needed. The
// result also reports whether the round was created.
func (r *Rounds) addRound(
	s round.Spec, c class.Class, codec round.CursorCodec, cur round.Cursor,
) (*openRound, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.params.Clock.Now()
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
	o := &openRound{
		class:        c,
		spec:         s,
		codec:        codec,
		ctx:          ctx,
		cancel:       cancel,
		openedAt:     now,
		state:        round.New(now, s, cur),
		running:      make(map[int]*runningSample),
		pendingDrops: make(map[ident.Node][]int),
		changed:      make(chan struct{}),
		lastUsed:     now,
		window:       r.sampleWindow(s.Model),
	}
	r.open[s.ID] = o
	return o, true, nil
}

// evict closes one round whose samples were all read. It returns false if there is
// none. The caller holds the lock of r.
func (r *Rounds) evict() bool {
	for id, o := range r.open {
		o.mu.Lock()
		fullyRead := o.fullyRead
		o.mu.Unlock()
		if fullyRead {
			delete(r.open, id)
			o.cancel()
			return true
		}
	}
	return false
}

func (o *openRound) touch(now clock.Millis) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastUsed = now
}

func (r *Rounds) find(id ident.Round) (*openRound, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.open[id]
	if !ok {
		return nil, fault.New(fault.NotFound, "round "+string(id)+" is not open here; open it again with its specification and cursor")
	}
	return o, nil
}

// Read returns finished samples that the cursor doesn't cover. Samples that are too
// old for the version that the trainer requests are generated again instead. If there
// are none to return, Read waits for the first one, at most for the duration wait.
func (r *Rounds) Read(
	ctx context.Context, id ident.Round, cursorText string,
	requestedVersion ident.Version, limit int, wait clock.Millis,
) (Page, error) {
	o, err := r.find(id)
	if err != nil {
		return Page{}, err
	}
	if err := r.checkVersion(o.spec, requestedVersion); err != nil {
		return Page{}, err
	}
	cur, err := o.codec.Decode(cursorText)
	if err != nil {
		return Page{}, err
	}
	r.applyCursor(o, cur)
	t := time.NewTimer(wait.Duration())
	defer t.Stop()
	for {
		page, changed := r.page(o, cur, requestedVersion, limit)
		if len(page.Samples) > 0 || page.RoundComplete {
			return page, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return page, nil
		case <-ctx.Done():
			return page, fault.Wrap(fault.Canceled, ctx.Err(), "read ended")
		case <-o.ctx.Done():
			return page, fault.New(fault.NotFound, "round "+string(id)+" ended meanwhile")
		}
	}
}

// applyCursor applies the cursor of a read: samples that it releases are queued
// to be dropped by the agents, and running samples that it covers are canceled.
func (r *Rounds) applyCursor(o *openRound, cur round.Cursor) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastUsed = r.params.Clock.Now()
	res := o.state.ApplyCursor(o.lastUsed, cur)
	for _, s := range res.Released {
		o.pendingDrops[s.Node] = append(o.pendingDrops[s.Node], s.Ordinal)
	}
	o.cancelSamples(res.Cancel)
}

// page returns the next page after a cursor, and a channel that is closed when
// there is something new to read.
func (r *Rounds) page(
	o *openRound, cur round.Cursor, requestedVersion ident.Version, limit int,
) (Page, <-chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	pg := o.state.Read(cur, requestedVersion, limit)
	o.cancelSamples(o.state.CancelStale())
	r.startSamples(o) // Samples that were found too stale are generated again.
	complete := pg.Cursor.Count() == o.spec.Total()
	o.fullyRead = cur.Count() == o.spec.Total()
	return Page{
		Samples:        pg.Samples,
		Cursor:         o.codec.Encode(pg.Cursor),
		CompleteGroups: pg.Complete,
		RoundComplete:  complete,
	}, o.changed
}

// Progress is the progress of a round at its owner.
type Progress struct {
	round.Counts
	Regenerated map[round.Reason]int
}

// Progress returns the progress of a round.
func (r *Rounds) Progress(id ident.Round) (Progress, error) {
	o, err := r.find(id)
	if err != nil {
		return Progress{}, err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return Progress{Counts: o.state.Count(), Regenerated: o.state.Restarts()}, nil
}

// Cancel closes a round and asks all agents to drop its samples, even if the
// round is not open here. It is idempotent.
func (r *Rounds) Cancel(id ident.Round) {
	r.Close(id)
	go r.dropRound(id)
}

// Close closes a round at this entry. Samples that agents hold are kept.
func (r *Rounds) Close(id ident.Round) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if o, ok := r.open[id]; ok {
		delete(r.open, id)
		o.cancel()
	}
}
