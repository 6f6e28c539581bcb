// Package entry implements the process that serves callers, trainers and
// operators over HTTP. It connects the components of an entry and forwards calls
// between entries.
//
// An entry keeps no state that has to survive a restart and may be replaced at
// any time.
//
// # Usage
//
//	e, err := entry.New(entry.Params{Node: "entry-1", HTTPAddr: "127.0.0.1:7400", ...})
//	go e.Run(ctx)
//	e.Shutdown(ctx)
package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.opentelemetry.io/otel/metric"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/lease"
	"github.com/jujuberamp/jujuberamp/internal/decide/match"
	"github.com/jujuberamp/jujuberamp/internal/decide/place"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/decide/swap"
	"github.com/jujuberamp/jujuberamp/internal/edge/httpd"
	"github.com/jujuberamp/jujuberamp/internal/edge/logcl"
	"github.com/jujuberamp/jujuberamp/internal/edge/meter"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/trace"
	"github.com/jujuberamp/jujuberamp/internal/inner/wire"
	"github.com/jujuberamp/jujuberamp/internal/node/calls"
	"github.com/jujuberamp/jujuberamp/internal/node/claims"
	"github.com/jujuberamp/jujuberamp/internal/node/follow"
	"github.com/jujuberamp/jujuberamp/internal/node/leases"
	"github.com/jujuberamp/jujuberamp/internal/node/peers"
	"github.com/jujuberamp/jujuberamp/internal/node/plans"
	"github.com/jujuberamp/jujuberamp/internal/node/quar"
	"github.com/jujuberamp/jujuberamp/internal/node/rounds"
	"github.com/jujuberamp/jujuberamp/internal/node/swaps"
)

// Params configures an entry.
type Params struct {
	Node             ident.Node
	Zone             ident.Zone
	Region           ident.Region
	HTTPAddr         string // address of the HTTP server, IP:port
	InnerAddr        string // address of the inner protocol, IP:port
	Key              []byte // secret that all nodes share, for the inner protocol
	Tokens           []httpd.Token
	PollInterval     clock.Millis  // between reads of the VM list and messages to peers
	DrainDelay       clock.Millis  // time until the load balancer notices that the entry isn't ready
	MaxConfigAge     clock.Millis  // see [Entry.Ready]; 0 for the default
	SnapshotInterval clock.Millis  // between snapshots of the configuration; 0 for the default
	AppendRate       float64       // log appends/s of all entries together; 0 for the default
	CrossRegionRate  float64       // bytes/s from all entries together to other regions; 0 for the value in Policy
	Roster           roster.Policy // zero for the default
	Policy           match.Policy
	Swap             swap.Policy
	Place            place.Policy // zero for the default
	Clock            clock.Clock
	Log              zerolog.Logger
	Meter            metric.Meter
	Metrics          http.Handler // handler of the metrics path

	Trace *trace.Recorder // nil disables the trace

	Source plat.Log
	VMs    plat.VMLister
	Scorer func(s ident.Service) (plat.Scorer, error)
}

// Entry serves callers and distributes their work to agents.
type Entry struct {
	p              Params
	boot           ident.Incarnation
	server         *wire.Server
	pool           *wire.Pool
	ln             net.Listener
	httpLn         net.Listener
	http           *http.Server
	ctx            context.Context // of all work; canceled by Close
	stop           context.CancelFunc
	leaving        atomic.Bool
	forwardedCalls atomic.Int64 // number of forwarded calls in progress

	config     *follow.Follower
	peers      *peers.Peers
	calls      *calls.Dispatcher
	swaps      *swaps.Coordinator
	rounds     *rounds.Rounds
	claims     *claims.Claims
	quarantine *quar.Quarantine
	lease      *leases.Lease // placement lease
	plans      *plans.Placer

	demands      demandTable
	connectivity connectivity
	peerServices peerServices

	mu       sync.Mutex
	traced   tracedReports
	reports  map[ident.Node]wire.ReportArgs
	lastSeen map[ident.Node]clock.Millis
}

// New opens the listeners and returns the entry.
func New(p Params) (*Entry, error) {
	p.setDefaults()
	ln, err := net.Listen("tcp", p.InnerAddr)
	if err != nil {
		return nil, fault.Wrap(fault.BadSetting, err, "inner-listen")
	}
	httpLn, err := net.Listen("tcp", p.HTTPAddr)
	if err != nil {
		_ = ln.Close()
		return nil, fault.Wrap(fault.BadSetting, err, "http-listen")
	}
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{
		p:        p,
		boot:     ident.NewIncarnation(),
		server:   wire.NewServer(p.Key),
		pool:     wire.NewPool(p.Key),
		ln:       ln,
		httpLn:   httpLn,
		ctx:      ctx,
		stop:     stop,
		reports:  make(map[ident.Node]wire.ReportArgs),
		lastSeen: make(map[ident.Node]clock.Millis),
	}
	e.p.Source = logcl.New(p.Source, logcl.Params{
		Limit: p.AppendRate,
		Nodes: func() int { return len(e.peers.View().Entries()) },
		Clock: p.Clock,
	})
	e.buildComponents()
	m, err := meter.New(p.Meter)
	if err != nil {
		return nil, err
	}
	if err := e.registerGauges(p.Meter); err != nil {
		return nil, err
	}
	e.http = &http.Server{Handler: httpd.New(e, p.Tokens, m, p.Metrics), ReadHeaderTimeout: headerTimeout}
	return e, e.server.Register("Entry", &service{e})
}

const (
	headerTimeout = 5 * time.Second
	peerTimeout   = 2 * clock.Second
)

// Defaults of optional parameters.
const (
	DefaultMaxConfigAge     = 10 * clock.Second // a change must be in force on all nodes within this time
	defaultSnapshotInterval = 10 * clock.Minute
	defaultAppendRate       = 300
)

// setDefaults fills in optional parameters.
func (p *Params) setDefaults() {
	p.MaxConfigAge = cmp.Or(p.MaxConfigAge, DefaultMaxConfigAge)
	p.SnapshotInterval = cmp.Or(p.SnapshotInterval, defaultSnapshotInterval)
	p.AppendRate = cmp.Or(p.AppendRate, defaultAppendRate)
	if p.Roster == (roster.Policy{}) {
		p.Roster = roster.DefaultPolicy()
	}
}

// buildComponents creates the components of the entry and connects them.
func (e *Entry) buildComponents() {
	p := e.p
	p.Policy.Zone, p.Policy.Region = p.Zone, p.Region
	logger := func(name string) zerolog.Logger { return p.Log.With().Str("part", name).Logger() }
	e.config = follow.New(follow.Params{
		Node:             p.Node,
		Boot:             e.boot,
		SnapshotInterval: p.SnapshotInterval,
		WritesSnapshots:  func() bool { _, mine := e.peers.Owner("snapshot"); return mine },
		Source:           p.Source,
		Clock:            p.Clock,
		Log:              logger("config"),
		Trace:            p.Trace,
	})
	e.peers = peers.New(peers.Params{
		Self:         roster.Member{Node: p.Node, Entry: true, Addr: e.Addr(), Zone: p.Zone, Region: p.Region},
		Policy:       p.Roster,
		PollInterval: p.PollInterval,
		VMs:          p.VMs,
		Clock:        p.Clock,
		Log:          logger("peers"),
	})
	e.quarantine = quar.New(quar.Params{
		Policy:    crash.DefaultPolicy(),
		Clock:     p.Clock,
		Broadcast: func() { e.gossipOnce(e.ctx) },
		Log:       logger("quarantine"),
	})
	e.calls = calls.New(calls.Params{
		Node:     p.Node,
		Boot:     e.boot,
		Policy:   p.Policy,
		Pool:     e.pool,
		Clock:    p.Clock,
		Log:      logger("calls"),
		Trace:    p.Trace,
		Admit:    e.quarantine.Admit,
		OnServed: e.quarantine.OnServed,
	})
	e.swaps = swaps.New(swaps.Params{
		Node:    p.Node,
		Boot:    e.boot,
		Policy:  p.Swap,
		Owns:    e.ownsSwapGroup,
		Servers: e.serversOf,
		Pool:    e.pool,
		Clock:   p.Clock,
		Log:     logger("swaps"),
		Trace:   p.Trace,
	})
	e.buildPlacement(logger("place"))
	e.claims = claims.New(e.ctx, claims.Params{
		Node:   p.Node,
		Boot:   e.boot,
		Source: p.Source,
		Calls:  e.calls,
		Pool:   e.pool,
		Clock:  p.Clock,
		Log:    logger("claims"),
		Trace:  p.Trace,
	})
	e.rounds = rounds.New(e.ctx, rounds.Params{
		Node:    p.Node,
		Boot:    e.boot,
		Key:     p.Key,
		Calls:   e.calls,
		Pool:    e.pool,
		Owns:    func(id ident.Round) bool { _, mine := e.peers.Owner("round/" + string(id)); return mine },
		Newest:  e.newest,
		Servers: e.serversOf,
		Agents:  e.knownAgents,
		Scorer:  p.Scorer,
		Clock:   p.Clock,
		Log:     logger("rounds"),
	})
}

// leaseCandidates is the number of entries that compete for a lease.
const leaseCandidates = 3

// buildPlacement creates the components that place models on engines.
func (e *Entry) buildPlacement(log zerolog.Logger) {
	p := e.p
	e.lease = leases.New(leases.Params{
		Name:     leaseName,
		Node:     p.Node,
		Boot:     e.boot,
		Policy:   lease.DefaultPolicy(),
		Eligible: func() bool { return !e.leaving.Load() && e.peers.IsCandidate("lease/"+leaseName, leaseCandidates) },
		Source:   p.Source,
		Clock:    p.Clock,
		Log:      log,
	})
	e.plans = plans.New(plans.Params{
		Policy:  p.Place,
		Lease:   e.lease,
		Observe: e.placementView,
		Newest:  e.newest,
		Send:    e.sendOrder,
		Clock:   p.Clock,
		Log:     log,
	})
}

// serversOf returns the live servers that host a service.
func (e *Entry) serversOf(m ident.Service) []match.Server {
	var out []match.Server
	e.calls.WithMatcher(func(mt *match.Matcher) { out = mt.LiveServers(e.p.Clock.Now(), m) })
	return out
}

// ownsSwapGroup reports whether this entry sends the load orders of a swap group.
// The owner is the nearest of the entries that the group's first agent reports to.
// An entry that knows of no such entry considers itself the owner.
func (e *Entry) ownsSwapGroup(m ident.Service, g swap.Group) bool {
	srv := g.First()
	nearest := e.peers.NearestTo(m, srv.Zone, srv.Region, 1)
	return len(nearest) == 0 || nearest[0].Node == e.p.Node
}

// newest returns the highest weight version of a model that was announced or
// that an engine hosts.
func (e *Entry) newest(m ident.Service) ident.Version {
	v := e.swaps.Newest(m)
	for _, s := range e.serversOf(m) {
		v = max(v, s.Version)
	}
	return v
}

// knownAgents returns all agents of which this entry holds a report.
func (e *Entry) knownAgents() []match.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]match.Server, 0, len(e.reports))
	for n, r := range e.reports {
		out = append(out, match.Server{Node: n, Addr: r.Addr})
	}
	return out
}

// Addr returns the address of the inner protocol.
func (e *Entry) Addr() string { return e.ln.Addr().String() }

// URL returns the URL of the HTTP server.
func (e *Entry) URL() string { return "http://" + e.httpLn.Addr().String() }

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) {
	e.traceEvent(trace.Event{Kind: trace.Start})
	var wg sync.WaitGroup
	go func() { _ = e.server.Serve(e.ln) }()
	go func() { _ = e.http.Serve(e.httpLn) }()
	wg.Go(func() { e.config.Run(ctx) })
	wg.Go(func() { e.peers.Run(ctx) })
	wg.Go(func() { e.calls.Run(ctx) })
	wg.Go(func() { e.swaps.Run(ctx) })
	wg.Go(func() { e.rounds.Run(ctx) })
	wg.Go(func() { e.lease.Run(ctx) })
	wg.Go(func() { e.plans.Run(ctx) })
	wg.Go(func() { e.reportDemand(ctx) })
	wg.Go(func() { e.gossip(ctx) })
	wg.Wait()
}

// Close cancels all work and closes all connections at once, as a crash of the
// process would.
func (e *Entry) Close() {
	e.traceEvent(trace.Event{Kind: trace.Stop})
	e.stop()
	_ = e.http.Close()
	_ = e.ln.Close()
	e.server.Close()
	e.pool.Close()
}

func (e *Entry) hello() wire.Hello { return wire.NewHello(e.p.Node, e.boot) }
