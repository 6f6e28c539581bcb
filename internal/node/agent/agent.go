// Package agent is the process beside one backend server, and the only way
// from the system to it.
//
// It admits work up to a limit, runs it, keeps the answers until they are
// fetched, proves which versions made them, carries out orders to load
// weights, and reports load to entries. It keeps nothing that must last.
//
// # Usage
//
//	a, err := agent.New(agent.Params{Node: "agent-1", Engine: eng, ...})
//	go a.Run(ctx)      // reports until the context ends
//	a.Shutdown(ctx)    // finishes the work in progress
//
// The methods Submit, Fetch, Cancel, Settle, Order and Held are the inner
// protocol; they are registered as "Agent".
package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/limit"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
)

// Params are what an agent needs to run. Exactly one of Engine and Plain is
// set.
type Params struct {
	Node            ident.Node
	Zone            ident.Zone
	Region          ident.Region
	InnerAddr       string // inner address, IP:port
	Key             []byte
	Slots           int           // work that runs at once
	Service         ident.Service // the plain service, if Plain is set
	ReportInterval  clock.Millis  // between reports
	PollInterval    clock.Millis  // between looks at the VM list; 0 for the standard
	ReportFanout    int           // entries that get the reports; 0 for the standard
	AnswerRetention clock.Millis  // an answer that nobody fetches is kept so long
	Clock           clock.Clock
	Log             zerolog.Logger
	Meter           metric.Meter
	Trace           *trace.Recorder // nil for none

	Engine  plat.Engine
	Plain   plat.PlainServer
	VMs     plat.VMLister
	Weights plat.WeightStore
}

// Agent is one running agent.
type Agent struct {
	p      Params
	boot   ident.Incarnation
	server *wire.Server
	pool   *wire.Pool
	ln     net.Listener
	ctx    context.Context // of the work; ends last
	stop   context.CancelFunc

	mu      sync.Mutex
	jobs    map[ident.Attempt]*job
	limit   *limit.Limiter
	leaving bool

	swap      swapper
	announced announced
	claims    *claims
	status    atomic.Pointer[plat.Status]
	config    atomic.Pointer[wire.Snapshot]
	peers     *peers.Peers
	crashes   crashes
	fences    fences
	speed     speed
	seq       atomic.Uint64
}

// Standards of settings that may be left out.
const (
	standardPoll    = clock.Second
	standardEntries = 8
)

// New opens the inner listener and returns the agent.
func New(p Params) (*Agent, error) {
	if p.PollInterval == 0 {
		p.PollInterval = standardPoll
	}
	if p.ReportFanout == 0 {
		p.ReportFanout = standardEntries
	}
	ln, err := net.Listen("tcp", p.InnerAddr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, err, "inner-listen")
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{
		p:      p,
		boot:   ident.NewIncarnation(),
		server: wire.NewServer(p.Key),
		pool:   wire.NewPool(p.Key),
		ln:     ln,
		ctx:    ctx,
		stop:   stop,
		jobs:   make(map[ident.Attempt]*job),
		limit:  limit.New(p.Slots),
	}
	a.swap.init()
	a.claims = newClaims(a.boot)
	a.status.Store(&plat.Status{})
	a.config.Store(&wire.Snapshot{})
	a.peers = peers.New(peers.Params{
		Self:         roster.Member{Node: p.Node, Addr: a.Addr(), Zone: p.Zone, Region: p.Region},
		Policy:       roster.DefaultPolicy(),
		PollInterval: p.PollInterval,
		VMs:          p.VMs,
		Clock:        p.Clock,
		Log:          p.Log.With().Str("part", "peers").Logger(),
	})
	if err := a.gauges(p.Meter); err != nil {
		return nil, err
	}
	if err := a.server.Register("Agent", &service{a}); err != nil {
		return nil, err
	}
	return a, nil
}

// Addr returns the inner address.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Boot returns the incarnation of this process.
func (a *Agent) Boot() ident.Incarnation { return a.boot }

// Run serves and reports until the context ends.
func (a *Agent) Run(ctx context.Context) {
	go func() { _ = a.server.Serve(a.ln) }()
	go a.peers.Run(ctx)
	if a.p.Engine != nil {
		go a.settle(settleLooks) // rule 4 of package proof
	} else {
		a.swap.end()
	}
	clock.Repeat(ctx, a.p.ReportInterval, func() {
		a.watch(ctx)
		a.report(ctx)
		a.forget(a.p.Clock.Now())
		a.claims.forget(a.p.Clock.Now())
	})
}

// Close ends everything at once, as the death of the process does.
func (a *Agent) Close() {
	a.stop()
	_ = a.ln.Close()
	a.server.Close()
	a.pool.Close()
}

// hello opens a message of this agent.
func (a *Agent) hello() wire.Hello { return wire.NewHello(a.p.Node, a.boot) }
