// Package swaps carries announced versions to the engines: it keeps the
// newest version of each model, and the entry that owns a model orders its
// agents to load it, as package swap decides.
//
// # Usage
//
//	s := swaps.New(swaps.Params{...})
//	s.Announce("notice-model", 7)
//	go s.Run(ctx)
package swaps

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/proof/trace"
)

// Params are what the orders need to run.
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Policy  swap.Policy
	Owns    func(m ident.Service) bool           // whether this entry orders the model's agents
	Servers func(m ident.Service) []match.Server // agents that host the model
	Pool    *wire.Pool
	Clock   clock.Clock
	Log     zerolog.Logger
	Trace   *trace.Recorder // nil for none
}

// Swaps keeps the announced versions of one entry.
type Swaps struct {
	p Params

	mu       sync.Mutex
	versions map[ident.Service]ident.Version
	busy     map[ident.Node]bool
	failed   map[ident.Node]clock.Millis
}

const (
	tick     = 50 * time.Millisecond
	orderFor = 3 * clock.Minute
)

// New returns an empty set of versions.
func New(p Params) *Swaps {
	return &Swaps{
		p:        p,
		versions: make(map[ident.Service]ident.Version),
		busy:     make(map[ident.Node]bool),
		failed:   make(map[ident.Node]clock.Millis),
	}
}

// Announce takes in a version; the highest one of a model stays.
func (s *Swaps) Announce(m ident.Service, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[m] = max(s.versions[m], v)
}

// Newest returns the highest version announced of a model, 0 for none.
func (s *Swaps) Newest(m ident.Service) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[m]
}

// Wire returns all versions in the form that other nodes take.
func (s *Swaps) Wire() []wire.Announced {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]wire.Announced, 0, len(s.versions))
	for m, v := range s.versions {
		out = append(out, wire.Announced{Model: string(m), Version: uint64(v)})
	}
	return out
}

// Learn takes in versions from another node.
func (s *Swaps) Learn(vs []wire.Announced) {
	for _, v := range vs {
		s.Announce(ident.Service(v.Model), ident.Version(v.Version))
	}
}

// Run orders swaps until the context ends.
func (s *Swaps) Run(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.step(ctx)
		}
	}
}

func (s *Swaps) step(ctx context.Context) {
	for _, a := range s.Wire() {
		m := ident.Service(a.Model)
		if s.p.Owns(m) {
			s.orders(ctx, m, ident.Version(a.Version))
		}
	}
}

func (s *Swaps) orders(ctx context.Context, m ident.Service, v ident.Version) {
	known := s.p.Servers(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := make([]swap.Server, 0, len(known))
	addrs := make(map[ident.Node]string, len(known))
	for _, k := range known {
		addrs[k.Node] = k.Addr
		view = append(view, swap.Server{
			Node:    k.Node,
			Zone:    k.Zone,
			Version: k.Version,
			Loading: k.Loading || s.busy[k.Node],
			Failed:  s.failed[k.Node],
		})
	}
	for _, n := range swap.Next(s.p.Clock.Now(), s.p.Policy, v, view) {
		s.busy[n] = true
		go s.order(ctx, n, addrs[n], m, v)
	}
}

func (s *Swaps) order(ctx context.Context, n ident.Node, addr string, m ident.Service, v ident.Version) {
	ctx, cancel := context.WithTimeout(ctx, orderFor.Duration())
	defer cancel()
	args := wire.OrderArgs{Hello: wire.NewHello(s.p.Node, s.p.Boot), Model: string(m), Version: uint64(v)}
	var ack wire.Ack
	err := s.p.Pool.Call(ctx, addr, "Agent.Order", &args, &ack)
	if err == nil {
		err = ack.Fault.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, n)
	s.p.Trace.Record(trace.Event{At: s.p.Clock.Now(), Kind: trace.Swap, Node: n, Service: m, Version: v, Fault: fault.KindOf(err)})
	if err != nil {
		s.failed[n] = s.p.Clock.Now()
		s.p.Log.Warn().Err(err).Str("node", string(n)).Msg("Order failed, trying again later.")
		return
	}
	delete(s.failed, n)
}
