// Package plans carries out the placement of models on engines. The holder of the
// placement lease compares the demand for each model with the engines that host the
// model. It orders one engine at a time to load another model, as package place
// decides.
//
// The current placement is not stored: the engines' reports show which models they
// host, and a new holder reads it from there. While the log is down nobody holds the
// lease, and the placement stays as it is.
//
// # Usage
//
//	p := plans.New(plans.Params{Lease: lease, Observe: observe, Newest: newest, ...})
//	go p.Run(ctx)
//
// Each order carries the fencing token of the lease. If a holder is paused until its
// lease has expired, the agents refuse its orders once they have seen a higher token.
package plans

import (
	"context"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
)

// Lease reports whether this node holds the placement lease, and its fencing token.
type Lease interface {
	Held() (fence ident.Offset, ok bool)
}

// View is the input of a placement decision.
type View struct {
	Engines []place.Engine
	Demands []place.Demand
}

// Order orders the agent on a node to load a version of a model into its engine.
type Order struct {
	Node    ident.Node
	Model   ident.Service
	Version ident.Version
	Fence   ident.Offset
}

// Params configures a [Placer].
type Params struct {
	Policy  place.Policy
	Lease   Lease
	Observe func() View
	Newest  func(m ident.Service) ident.Version // newest announced version of a model; 0 if none is known
	Send    func(ctx context.Context, o Order) error
	Clock   clock.Clock
	Log     zerolog.Logger
}

// Placer decides and orders the placement while this node holds the lease.
type Placer struct {
	params        Params
	decisions     *place.State // nil while the lease is not held
	orderInFlight atomic.Bool
	moves         atomic.Int64
}

const (
	decisionInterval = clock.Second
	orderTimeout     = 3 * clock.Minute
)

// New returns a Placer that has made no decision yet.
func New(params Params) *Placer { return &Placer{params: params} }

// Moves returns the number of orders of this node that have succeeded.
func (s *Placer) Moves() int64 { return s.moves.Load() }

// Run makes a decision every second until the context ends.
func (s *Placer) Run(ctx context.Context) {
	clock.Every(ctx, decisionInterval, func() { s.step(ctx) })
}

// step makes one decision if this node holds the lease and no order is in flight.
func (s *Placer) step(ctx context.Context) {
	if _, ok := s.params.Lease.Held(); !ok {
		s.decisions = nil
		return
	}
	if s.orderInFlight.Load() {
		return
	}
	if s.decisions == nil {
		s.decisions = place.New(s.params.Policy)
	}
	view := s.params.Observe()
	move, ok := s.decisions.Next(s.params.Clock.Now(), view.Engines, view.Demands)
	if !ok {
		return
	}
	version := s.params.Newest(move.Model)
	if version == 0 {
		s.params.Log.Warn().Str("model", string(move.Model)).Msg("plans: no version of the model is known, announce one")
		return
	}
	s.orderInFlight.Store(true)
	go s.sendOrder(ctx, Order{Node: move.Node, Model: move.Model, Version: version})
}

// sendOrder sends one order. It checks the lease immediately before it sends, since
// the lease may have been lost after the decision.
func (s *Placer) sendOrder(ctx context.Context, o Order) {
	defer s.orderInFlight.Store(false)
	fence, ok := s.params.Lease.Held()
	if !ok {
		return
	}
	o.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	if err := s.params.Send(ctx, o); err != nil {
		s.params.Log.Warn().Err(err).Str("node", string(o.Node)).Str("model", string(o.Model)).Msg("plans: placement order failed")
		return
	}
	s.moves.Add(1)
	s.params.Log.Info().Str("node", string(o.Node)).Str("model", string(o.Model)).Int64("fence", int64(o.Fence)).Msg("plans: engine hosts another model")
}
