// Package plans carries out the placement of models: the holder of the
// placement lease compares demand with what the engines host, and orders one
// engine at a time to another model, as package place decides.
//
// The plan in force is what the engines host; it is written nowhere else. A new
// holder reads it from the agents' reports, and without the log nobody holds
// the lease and the last placement stays.
//
// # Usage
//
//	p := plans.New(plans.Params{Lease: lease, Look: look, Newest: newest, ...})
//	go p.Run(ctx)
//
// Each order carries the lease's fencing number. A holder that was paused past
// its lease is refused by the agents, which have seen a higher one.
package plans

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
)

// Lease tells whether this node may order placements.
type Lease interface {
	Held() (fence ident.Offset, ok bool)
}

// View is what the holder decides on.
type View struct {
	Engines []place.Engine
	Demands []place.Demand
}

// Order is one order to an engine's agent.
type Order struct {
	Node    ident.Node
	Model   ident.Service
	Version ident.Version
	Fence   ident.Offset
}

// Params are what the placement needs to run.
type Params struct {
	Policy  place.Policy
	Lease   Lease
	Observe func() View
	Newest  func(m ident.Service) ident.Version // 0 if no version is known
	Send    func(ctx context.Context, o Order) error
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Placer is this node's part in the placement.
type Placer struct {
	p     Params
	state *place.State // nil while the lease is not held
	busy  atomic.Bool
	moves atomic.Int64
}

const (
	tick     = clock.Second
	orderFor = 3 * clock.Minute
)

// New returns a placement that has decided nothing.
func New(p Params) *Placer { return &Placer{p: p} }

// Moves returns how many moves this node has ordered.
func (s *Placer) Moves() int64 { return s.moves.Load() }

// Run decides once a second until the context ends.
func (s *Placer) Run(ctx context.Context) {
	clock.Every(ctx, tick, func() { s.step(ctx) })
}

// step makes one decision if this node holds the lease.
func (s *Placer) step(ctx context.Context) {
	if _, ok := s.p.Lease.Held(); !ok {
		s.state = nil
		return
	}
	if s.busy.Load() {
		return
	}
	if s.state == nil {
		s.state = place.New(s.p.Policy)
	}
	v := s.p.Observe()
	m, ok := s.state.Next(s.p.Clock.Now(), v.Engines, v.Demands)
	if !ok {
		return
	}
	version := s.p.Newest(m.Model)
	if version == 0 {
		s.p.Log.Warn().Str("model", string(m.Model)).Msg("No version of the model is known, announce one.")
		return
	}
	s.busy.Store(true)
	go s.order(ctx, Order{Node: m.Node, Model: m.Model, Version: version})
}

// order sends one order. The lease is asked last, right before the order goes.
func (s *Placer) order(ctx context.Context, o Order) {
	defer s.busy.Store(false)
	fence, ok := s.p.Lease.Held()
	if !ok {
		return
	}
	o.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, orderFor.Duration())
	defer cancel()
	if err := s.p.Send(ctx, o); err != nil {
		s.p.Log.Warn().Err(err).Str("node", string(o.Node)).Str("model", string(o.Model)).Msg("Placement order failed.")
		return
	}
	s.moves.Add(1)
	s.p.Log.Info().Str("node", string(o.Node)).Str("model", string(o.Model)).Int64("fence", int64(o.Fence)).Msg("Engine hosts another model.")
}
