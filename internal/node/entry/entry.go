// Package entry is the process that callers, trainers and operators reach. It
// wires the parts of an entry together and serves them.
//
// An entry keeps nothing that must last and may be replaced at any time.
//
// # Usage
//
//	e, err := entry.New(entry.Params{Node: "entry-1", HTTP: "127.0.0.1:7400", ...})
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

// Params are what an entry needs to run.
type Params struct {
	Node             ident.Node
	Zone             ident.Zone
	Region           ident.Region
	HTTPAddr         string // outer address, IP:port
	InnerAddr        string // inner address, IP:port
	Key              []byte
	Tokens           []httpd.Token
	PollInterval     clock.Millis  // between looks at the VM list and messages to peers
	DrainDelay       clock.Millis  // the balancer's delay at a shutdown
	MaxConfigAge     clock.Millis  // see [Entry.Ready]; 0 for the standard
	SnapshotInterval clock.Millis  // between snapshots of the configuration; 0 for the standard
	AppendRate       float64       // a second, all entries together; 0 for the standard
	CrossRegionRate  float64       // bytes/s that all entries together may send to other regions; 0 for the policy's
	Roster           roster.Policy // zero for the standard
	Policy           match.Policy
	Swap             swap.Policy
	Place            place.Policy // zero for the standard
	Clock            clock.Clock
	Log              zerolog.Logger
	Meter            metric.Meter
	Metrics          http.Handler // serves the metrics

	Trace *trace.Recorder // nil for none

	Source plat.Log
	VMs    plat.VMLister
	Scorer func(s ident.Service) (plat.Scorer, error)
}

// Entry is one running entry.
type Entry struct {
	p       Params
	boot    ident.Incarnation
	server  *wire.Server
	pool    *wire.Pool
	ln      net.Listener
	httpLn  net.Listener
	http    *http.Server
	ctx     context.Context // of the work; ends last
	stop    context.CancelFunc
	leaving atomic.Bool
	passed  atomic.Int64 // calls of other entries in progress

	config *follow.Follower
	peers  *peers.Peers
	calls  *calls.Dispatcher
	swaps  *swaps.Coordinator
	rounds *rounds.Rounds
	claims *claims.Claims
	quar   *quar.Quarantine
	lease  *leases.Lease // of the placement
	plans  *plans.Placer

	demands demands
	contact contact
	helpers helpers

	mu      sync.Mutex
	written written
	nodes   map[ident.Node]wire.ReportArgs
	heard   map[ident.Node]clock.Millis
}

// New opens the listeners and returns the entry.
func New(p Params) (*Entry, error) {
	p.fill()
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
		p:      p,
		boot:   ident.NewIncarnation(),
		server: wire.NewServer(p.Key),
		pool:   wire.NewPool(p.Key),
		ln:     ln,
		httpLn: httpLn,
		ctx:    ctx,
		stop:   stop,
		nodes:  make(map[ident.Node]wire.ReportArgs),
		heard:  make(map[ident.Node]clock.Millis),
	}
	e.p.Source = logcl.New(p.Source, logcl.Params{
		Limit: p.AppendRate,
		Nodes: func() int { return len(e.peers.View().Entries()) },
		Clock: p.Clock,
	})
	e.wire()
	m, err := meter.New(p.Meter)
	if err != nil {
		return nil, err
	}
	if err := e.gauges(p.Meter); err != nil {
		return nil, err
	}
	e.http = &http.Server{Handler: httpd.New(e, p.Tokens, m, p.Metrics), ReadHeaderTimeout: headerFor}
	return e, e.server.Register("Entry", &service{e})
}

const (
	headerFor = 5 * time.Second
	peerFor   = 2 * clock.Second
)

// Standards of settings that may be left out.
const (
	DefaultMaxConfigAge = 10 * clock.Second // from accepted to in force everywhere
	standardKeep        = 10 * clock.Minute
	standardAppends     = 300
)

// fill sets the standards.
func (p *Params) fill() {
	p.MaxConfigAge = cmp.Or(p.MaxConfigAge, DefaultMaxConfigAge)
	p.SnapshotInterval = cmp.Or(p.SnapshotInterval, standardKeep)
	p.AppendRate = cmp.Or(p.AppendRate, standardAppends)
	if p.Roster == (roster.Policy{}) {
		p.Roster = roster.DefaultPolicy()
	}
}

// wire builds the parts and gives each what it needs of the others.
func (e *Entry) wire() {
	p := e.p
	p.Policy.Zone, p.Policy.Region = p.Zone, p.Region
	part := func(name string) zerolog.Logger { return p.Log.With().Str("part", name).Logger() }
	e.config = follow.New(follow.Params{
		Node:             p.Node,
		Boot:             e.boot,
		SnapshotInterval: p.SnapshotInterval,
		WritesSnapshots:  func() bool { _, mine := e.peers.Owner("snapshot"); return mine },
		Source:           p.Source,
		Clock:            p.Clock,
		Log:              part("config"),
		Trace:            p.Trace,
	})
	e.peers = peers.New(peers.Params{
		Self:         roster.Member{Node: p.Node, Entry: true, Addr: e.Addr(), Zone: p.Zone, Region: p.Region},
		Policy:       p.Roster,
		PollInterval: p.PollInterval,
		VMs:          p.VMs,
		Clock:        p.Clock,
		Log:          part("peers"),
	})
	e.quar = quar.New(quar.Params{Policy: crash.DefaultPolicy(), Clock: p.Clock, Broadcast: func() { e.gossipOnce(e.ctx) }, Log: part("quarantine")})
	e.calls = calls.New(calls.Params{
		Node:     p.Node,
		Boot:     e.boot,
		Policy:   p.Policy,
		Pool:     e.pool,
		Clock:    p.Clock,
		Log:      part("calls"),
		Trace:    p.Trace,
		Admit:    e.quar.Admit,
		OnServed: e.quar.OnServed,
	})
	e.swaps = swaps.New(swaps.Params{
		Node:    p.Node,
		Boot:    e.boot,
		Policy:  p.Swap,
		Owns:    e.ordersGroup,
		Servers: e.serversOf,
		Pool:    e.pool,
		Clock:   p.Clock,
		Log:     part("swaps"),
		Trace:   p.Trace,
	})
	e.wirePlace(part("place"))
	e.claims = claims.New(e.ctx, claims.Params{Node: p.Node, Boot: e.boot, Source: p.Source, Calls: e.calls, Pool: e.pool, Clock: p.Clock, Log: part("claims"), Trace: p.Trace})
	e.rounds = rounds.New(e.ctx, rounds.Params{
		Node:    p.Node,
		Boot:    e.boot,
		Key:     p.Key,
		Calls:   e.calls,
		Pool:    e.pool,
		Owns:    func(id ident.Round) bool { _, mine := e.peers.Owner("round/" + string(id)); return mine },
		Newest:  e.newest,
		Servers: e.serversOf,
		Agents:  e.allAgents,
		Scorer:  p.Scorer,
		Clock:   p.Clock,
		Log:     part("rounds"),
	})
}

// bidders is the number of entries that bid for a lease.
const bidders = 3

// wirePlace builds the placement of models.
func (e *Entry) wirePlace(log zerolog.Logger) {
	p := e.p
	e.lease = leases.New(leases.Params{
		Name:     leaseName,
		Node:     p.Node,
		Boot:     e.boot,
		Policy:   lease.DefaultPolicy(),
		Eligible: func() bool { return !e.leaving.Load() && e.peers.IsCandidate("lease/"+leaseName, bidders) },
		Source:   p.Source,
		Clock:    p.Clock,
		Log:      log,
	})
	e.plans = plans.New(plans.Params{
		Policy:  p.Place,
		Lease:   e.lease,
		Observe: e.placeView,
		Newest:  e.newest,
		Send:    e.sendOrder,
		Clock:   p.Clock,
		Log:     log,
	})
}

// serversOf returns the agents that host a service.
func (e *Entry) serversOf(m ident.Service) []match.Server {
	var out []match.Server
	e.calls.WithMatcher(func(mt *match.Matcher) { out = mt.LiveServers(e.p.Clock.Now(), m) })
	return out
}

// ordersGroup reports whether this entry orders the swaps of a group: it is
// the first of those to which the agents of its zone report.
func (e *Entry) ordersGroup(m ident.Service, g swap.Group) bool {
	at := g.First()
	near := e.peers.NearestTo(m, at.Zone, at.Region, 1)
	return len(near) == 0 || near[0].Node == e.p.Node
}

// newest returns the highest version of a model that was announced or that an
// engine holds.
func (e *Entry) newest(m ident.Service) ident.Version {
	v := e.swaps.Newest(m)
	for _, s := range e.serversOf(m) {
		v = max(v, s.Version)
	}
	return v
}

// allAgents returns all agents that reported here.
func (e *Entry) allAgents() []match.Server {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]match.Server, 0, len(e.nodes))
	for n, r := range e.nodes {
		out = append(out, match.Server{Node: n, Addr: r.Addr})
	}
	return out
}

// Addr returns the inner address.
func (e *Entry) Addr() string { return e.ln.Addr().String() }

// URL returns the outer address as a URL.
func (e *Entry) URL() string { return "http://" + e.httpLn.Addr().String() }

// Run serves until the context ends.
func (e *Entry) Run(ctx context.Context) {
	e.record(trace.Event{Kind: trace.Start})
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
	wg.Go(func() { e.tellDemand(ctx) })
	wg.Go(func() { e.gossip(ctx) })
	wg.Wait()
}

// Close ends everything at once, as the death of the process does.
func (e *Entry) Close() {
	e.record(trace.Event{Kind: trace.Stop})
	e.stop()
	_ = e.http.Close()
	_ = e.ln.Close()
	e.server.Close()
	e.pool.Close()
}

func (e *Entry) hello() wire.Hello { return wire.NewHello(e.p.Node, e.boot) }
