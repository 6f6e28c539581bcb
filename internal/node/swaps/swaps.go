// Package swaps carries announced versions to the engines: it keeps the
// newest version of each model, and the entries that own the groups of a
// model's agents order them to load it, as package swap decides.
//
// # Usage
//
//	s := swaps.New(swaps.Params{...})
//	s.Announce("notice-model", 7)
//	go s.Run(ctx)
package swaps

import (
	"context"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
)

// Params are what the orders need to run.
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Policy  swap.Policy
	Owns    func(m ident.Service, g swap.Group) bool // whether this entry orders the group
	Servers func(m ident.Service) []match.Server     // agents that host the model
	Pool    calls.RPCClient
	Clock   clock.Clock
	Log     zerolog.Logger
	Trace   *trace.Recorder // nil for none
}

// Coordinator keeps the announced versions of one entry.
type Coordinator struct {
	p Params

	mu       sync.Mutex
	versions map[ident.Service]ident.Version
	agents   map[ident.Node]*agent
}

// agent is what this entry knows of its own orders to an agent.
type agent struct {
	busy     bool
	failures int
	after    clock.Millis  // no order before
	loaded   ident.Version // by the last order that succeeded
	until    clock.Millis  // reports may not show it before
}

const (
	tick      = 50 * clock.Milli
	orderFor  = 3 * clock.Minute
	reportsIn = 3 * clock.Second // until reports show what an order did
)

// New returns an empty set of versions.
func New(p Params) *Coordinator {
	return &Coordinator{p: p, versions: make(map[ident.Service]ident.Version), agents: make(map[ident.Node]*agent)}
}

// Announce takes in a version; the highest one of a model stays.
func (s *Coordinator) Announce(m ident.Service, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[m] = max(s.versions[m], v)
}

// Newest returns the highest version announced of a model, 0 for none.
func (s *Coordinator) Newest(m ident.Service) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[m]
}

// Wire returns all versions in the form that other nodes take.
func (s *Coordinator) Wire() []wire.Announced {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]wire.Announced, 0, len(s.versions))
	for m, v := range s.versions {
		out = append(out, wire.Announced{Model: string(m), Version: uint64(v)})
	}
	return out
}

// WireOf returns the newest version of one model in the form that agents take.
func (s *Coordinator) WireOf(m ident.Service) []wire.Announced {
	v := s.Newest(m)
	if v == 0 {
		return nil
	}
	return []wire.Announced{{Model: string(m), Version: uint64(v)}}
}

// NewerThan returns the versions that another node lacks, which told its own.
func (s *Coordinator) NewerThan(theirs []wire.Announced) []wire.Announced {
	known := make(map[string]uint64, len(theirs))
	for _, a := range theirs {
		known[a.Model] = a.Version
	}
	return slices.DeleteFunc(s.Wire(), func(a wire.Announced) bool { return a.Version <= known[a.Model] })
}

// Merge takes in versions from another node.
func (s *Coordinator) Merge(vs []wire.Announced) {
	for _, v := range vs {
		s.Announce(ident.Service(v.Model), ident.Version(v.Version))
	}
}

// Run orders swaps until the context ends.
func (s *Coordinator) Run(ctx context.Context) {
	clock.Every(ctx, tick, func() { s.step(ctx) })
}

func (s *Coordinator) step(ctx context.Context) {
	for _, a := range s.Wire() {
		s.orders(ctx, ident.Service(a.Model), ident.Version(a.Version))
	}
}

// orders sends what is due for one model. A model whose servers all hold the
// target costs no decision.
func (s *Coordinator) orders(ctx context.Context, m ident.Service, v ident.Version) {
	known := s.p.Servers(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.p.Clock.Now()
	behind := false
	addrs := make(map[ident.Node]string, len(known))
	view := make([]swap.Server, 0, len(known))
	for _, k := range known {
		addrs[k.Node] = k.Addr
		w := s.view(now, k)
		behind = behind || w.Version < v
		view = append(view, w)
	}
	if !behind {
		return
	}
	for _, g := range swap.Groups(s.p.Policy, view) {
		if !s.p.Owns(m, g) {
			continue
		}
		for _, n := range swap.Next(now, s.p.Policy, v, g) {
			s.agent(n).busy = true
			go s.order(ctx, n, addrs[n], m, v)
		}
	}
}

func (s *Coordinator) agent(n ident.Node) *agent {
	a := s.agents[n]
	if a == nil {
		a = &agent{}
		s.agents[n] = a
	}
	return a
}

// view joins an agent's report with this entry's own orders to it.
func (s *Coordinator) view(now clock.Millis, k match.Server) swap.Server {
	w := swap.Server{Node: k.Node, Zone: k.Zone, Region: k.Region, Version: k.Version, Loading: k.Loading, Leaving: k.Leaving}
	a := s.agents[k.Node]
	if a == nil {
		return w
	}
	w.Loading = w.Loading || a.busy
	w.NotBefore = a.after
	if now < a.until {
		w.Version = max(w.Version, a.loaded)
	}
	return w
}

func (s *Coordinator) order(ctx context.Context, n ident.Node, addr string, m ident.Service, v ident.Version) {
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
	s.p.Trace.Record(trace.Event{At: s.p.Clock.Now(), Kind: trace.Swap, Node: n, Service: m, Version: v, Fault: fault.KindOf(err)})
	s.ended(n, v, err)
}

// ended takes in the result of an order. One that was overtaken is no failure:
// the next decision orders the newer version.
func (s *Coordinator) ended(n ident.Node, v ident.Version, err error) {
	now := s.p.Clock.Now()
	a := s.agent(n)
	a.busy = false
	if err == nil {
		*a = agent{loaded: v, until: now + reportsIn}
		return
	}
	if fault.Is(err, fault.StaleOrder) {
		a.failures, a.after = 0, now+s.p.Policy.RetryDelay
		return
	}
	var asked clock.Millis
	if f, ok := fault.As(err); ok {
		asked = f.RetryAfter()
	}
	a.failures++
	a.after = now + swap.RetryDelay(s.p.Policy, n, a.failures, asked)
	s.p.Log.Warn().Err(err).Str("node", string(n)).Stringer("wait", a.after-now).Msg("Order failed, trying again later.")
}
