// Package swaps makes engines load announced weight versions. Each entry keeps the
// newest announced version of each model. The agents of a model are divided into
// groups, and the entry that owns a group orders its agents to load that version, as
// package swap decides.
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

// Params configures a [Coordinator].
type Params struct {
	Node    ident.Node
	Boot    ident.Incarnation
	Policy  swap.Policy
	Owns    func(m ident.Service, g swap.Group) bool // whether this entry owns the group
	Servers func(m ident.Service) []match.Server     // agents that host the model
	Pool    calls.RPCClient
	Clock   clock.Clock
	Log     zerolog.Logger
	Trace   *trace.Recorder // nil disables the trace
}

// Coordinator keeps the announced versions of one entry and sends load orders. It is
// safe for concurrent use.
type Coordinator struct {
	params Params

	mu       sync.Mutex
	versions map[ident.Service]ident.Version
	agents   map[ident.Node]*agentState
}

// agentState is the state of this entry's load orders to one agent.
type agentState struct {
	orderInFlight bool
	failures      int           // consecutive failed orders
	notBefore     clock.Millis  // earliest time of the next order
	loadedVersion ident.Version // version of the last successful order
	reportedBy    clock.Millis  // time at which the agent's reports must show loadedVersion
}

const (
	decisionInterval = 50 * clock.Milli
	orderTimeout     = 3 * clock.Minute
	reportDelay      = 3 * clock.Second // time until the agent's reports show a loaded version
)

// New returns a Coordinator that knows no versions.
func New(params Params) *Coordinator {
	return &Coordinator{params: params, versions: make(map[ident.Service]ident.Version), agents: make(map[ident.Node]*agentState)}
}

// Announce records an announced version unless a higher one of the model is known.
func (s *Coordinator) Announce(m ident.Service, v ident.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions[m] = max(s.versions[m], v)
}

// Newest returns the highest announced version of a model, 0 if none is known.
func (s *Coordinator) Newest(m ident.Service) ident.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[m]
}

// Wire returns the announced versions of all models in their wire form.
func (s *Coordinator) Wire() []wire.Announced {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]wire.Announced, 0, len(s.versions))
	for m, v := range s.versions {
		out = append(out, wire.Announced{Model: string(m), Version: uint64(v)})
	}
	return out
}

// WireOf returns the announced version of one model in its wire form, nil if none is
// known.
func (s *Coordinator) WireOf(m ident.Service) []wire.Announced {
	v := s.Newest(m)
	if v == 0 {
		return nil
	}
	return []wire.Announced{{Model: string(m), Version: uint64(v)}}
}

// NewerThan returns the versions that are newer than theirs, the versions that
// another node reported.
func (s *Coordinator) NewerThan(theirs []wire.Announced) []wire.Announced {
	known := make(map[string]uint64, len(theirs))
	for _, a := range theirs {
		known[a.Model] = a.Version
	}
	return slices.DeleteFunc(s.Wire(), func(a wire.Announced) bool { return a.Version <= known[a.Model] })
}

// Merge merges versions reported by another node.
func (s *Coordinator) Merge(vs []wire.Announced) {
	for _, v := range vs {
		s.Announce(ident.Service(v.Model), ident.Version(v.Version))
	}
}

// Run sends load orders until the context ends.
func (s *Coordinator) Run(ctx context.Context) {
	clock.Every(ctx, decisionInterval, func() { s.orderAll(ctx) })
}

func (s *Coordinator) orderAll(ctx context.Context) {
	for _, a := range s.Wire() {
		s.orderModel(ctx, ident.Service(a.Model), ident.Version(a.Version))
	}
}

// orderModel sends the load orders that are due for one model. If all servers have
// already loaded version v, it returns without computing groups.
func (s *Coordinator) orderModel(ctx context.Context, m ident.Service, v ident.Version) {
	servers := s.params.Servers(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.params.Clock.Now()
	behind := false
	addrs := make(map[ident.Node]string, len(servers))
	states := make([]swap.Server, 0, len(servers))
	for _, server := range servers {
		addrs[server.Node] = server.Addr
		state := s.serverState(now, server)
		behind = behind || state.Version < v
		states = append(states, state)
	}
	if !behind {
		return
	}
	for _, g := range swap.Groups(s.params.Policy, states) {
		if !s.params.Owns(m, g) {
			continue
		}
		for _, n := range swap.Next(now, s.params.Policy, v, g) {
			s.agentOf(n).orderInFlight = true
			go s.sendOrder(ctx, n, addrs[n], m, v)
		}
	}
}

// agentOf returns the state of the orders to an agent, and creates it if necessary.
// The caller holds the lock.
func (s *Coordinator) agentOf(n ident.Node) *agentState {
	a := s.agents[n]
	if a == nil {
		a = &agentState{}
		s.agents[n] = a
	}
	return a
}

// serverState combines an agent's report with the state of this entry's orders to the
// agent, which the report may not show yet.
func (s *Coordinator) serverState(now clock.Millis, reported match.Server) swap.Server {
	state := swap.Server{Node: reported.Node, Zone: reported.Zone, Region: reported.Region, Version: reported.Version, Loading: reported.Loading, Leaving: reported.Leaving}
	a := s.agents[reported.Node]
	if a == nil {
		return state
	}
	state.Loading = state.Loading || a.orderInFlight
	state.NotBefore = a.notBefore
	if now < a.reportedBy {
		state.Version = max(state.Version, a.loadedVersion)
	}
	return state
}

// sendOrder orders an agent to load a version and records the outcome.
func (s *Coordinator) sendOrder(ctx context.Context, n ident.Node, addr string, m ident.Service, v ident.Version) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	args := wire.OrderArgs{Hello: wire.NewHello(s.params.Node, s.params.Boot), Model: string(m), Version: uint64(v)}
	var ack wire.Ack
	err := s.params.Pool.Call(ctx, addr, "Agent.Order", &args, &ack)
	if err == nil {
		err = ack.Fault.Err()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.params.Trace.Record(trace.Event{At: s.params.Clock.Now(), Kind: trace.Swap, Node: n, Service: m, Version: v, Fault: fault.KindOf(err)})
	s.recordOutcome(n, v, err)
}

// recordOutcome records the outcome of an order. An order that the agent refused as
// stale is no failure: the next decision orders the newer version.
func (s *Coordinator) recordOutcome(n ident.Node, v ident.Version, err error) {
	now := s.params.Clock.Now()
	a := s.agentOf(n)
	a.orderInFlight = false
	if err == nil {
		*a = agentState{loadedVersion: v, reportedBy: now + reportDelay}
		return
	}
	if fault.Is(err, fault.StaleOrder) {
		a.failures, a.notBefore = 0, now+s.params.Policy.RetryDelay
		return
	}
	var retryAfter clock.Millis
	if f, ok := fault.As(err); ok {
		retryAfter = f.RetryAfter()
	}
	a.failures++
	a.notBefore = now + swap.RetryDelay(s.params.Policy, n, a.failures, retryAfter)
	s.params.Log.Warn().Err(err).Str("node", string(n)).Stringer("wait", a.notBefore-now).Msg("swaps: load order failed, retrying later")
}
