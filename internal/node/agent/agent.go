// Package agent implements the process that runs next to one backend server.
// All requests of the system to that server pass through its agent.
//
// An agent admits work up to a limit, runs it on the server, and keeps the
// answers until they are fetched. It proves which weight versions generated
// the tokens, executes load orders, and reports its load to entries. An agent
// keeps no state that has to survive a restart.
//
// # Usage
//
//	a, err := agent.New(agent.Params{Node: "agent-1", Engine: eng, ...})
//	go a.Run(ctx)      // serves and reports until the context ends
//	a.Shutdown(ctx)    // drains the work in progress
//
// The methods Submit, Fetch, Cancel, Settle, Order and Held form the inner
// protocol. They are registered with net/rpc as "Agent".
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

// Params configures an agent. Exactly one of Engine and Plain must be set.
type Params struct {
	Node            ident.Node
	Zone            ident.Zone
	Region          ident.Region
	InnerAddr       string        // address of the inner protocol, IP:port
	Key             []byte        // secret that all nodes share, for the inner protocol
	Slots           int           // maximum number of jobs in progress
	Service         ident.Service // service that Plain offers
	ReportInterval  clock.Millis  // between reports to entries
	PollInterval    clock.Millis  // between reads of the VM list; 0 for the default
	ReportFanout    int           // number of entries that receive reports; 0 for the default
	AnswerRetention clock.Millis  // how long an answer is kept if nobody fetches it
	Clock           clock.Clock
	Log             zerolog.Logger
	Meter           metric.Meter
	Trace           *trace.Recorder // nil disables the trace

	Engine  plat.Engine
	Plain   plat.PlainServer
	VMs     plat.VMLister
	Weights plat.WeightStore
}

// Agent admits and runs jobs on one backend server.
type Agent struct {
	p      Params
	boot   ident.Incarnation
	server *wire.Server
	pool   *wire.Pool
	ln     net.Listener
	ctx    context.Context // of all jobs; canceled by Close
	stop   context.CancelFunc

	mu      sync.Mutex
	jobs    map[ident.Attempt]*job
	limiter *limit.Limiter
	leaving bool

	loads      loadLock
	announced  announcedVersions
	claims     *claimTable
	status     atomic.Pointer[plat.Status]
	config     atomic.Pointer[wire.Snapshot]
	peers      *peers.Peers
	crashes    crashTracker
	fence      orderFence
	throughput throughputEstimate
	seq        atomic.Uint64
}

// Defaults of optional parameters.
const (
	defaultPollInterval = clock.Second
	defaultReportFanout = 8
)

// New opens the listener of the inner protocol and returns the agent.
func New(p Params) (*Agent, error) {
	if p.PollInterval == 0 {
		p.PollInterval = defaultPollInterval
	}
	if p.ReportFanout == 0 {
		p.ReportFanout = defaultReportFanout
	}
	ln, err := net.Listen("tcp", p.InnerAddr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, err, "inner-listen")
	}
	ctx, stop := context.WithCancel(context.Background())
	a := &Agent{
		p:       p,
		boot:    ident.NewIncarnation(),
		server:  wire.NewServer(p.Key),
		pool:    wire.NewPool(p.Key),
		ln:      ln,
		ctx:     ctx,
		stop:    stop,
		jobs:    make(map[ident.Attempt]*job),
		limiter: limit.New(p.Slots),
	}
	a.loads.init()
	a.claims = newClaimTable(a.boot)
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
	if err := a.registerGauges(p.Meter); err != nil {
		return nil, err
	}
	if err := a.server.Register("Agent", &service{a}); err != nil {
		return nil, err
	}
	return a, nil
}

// Addr returns the address of the inner protocol.
func (a *Agent) Addr() string { return a.ln.Addr().String() }

// Incarnation returns the incarnation of this process.
func (a *Agent) Incarnation() ident.Incarnation { return a.boot }

// Run serves the inner protocol and sends reports until the context ends.
func (a *Agent) Run(ctx context.Context) {
	go func() { _ = a.server.Serve(a.ln) }()
	go a.peers.Run(ctx)
	if a.p.Engine != nil {
		go a.awaitStableEngine(startupStabilityChecks) // see rule 4 of package proof
	} else {
		a.loads.endLoad()
	}
	clock.Repeat(ctx, a.p.ReportInterval, func() {
		a.refreshStatus(ctx)
		a.report(ctx)
		a.prune(a.p.Clock.Now())
		a.claims.prune(a.p.Clock.Now())
	})
}

// Close cancels all jobs and closes all connections at once, as a crash of the
// process would.
func (a *Agent) Close() {
	a.stop()
	_ = a.ln.Close()
	a.server.Close()
	a.pool.Close()
}

// hello returns the header of a message from this agent.
func (a *Agent) hello() wire.Hello { return wire.NewHello(a.p.Node, a.boot) }
