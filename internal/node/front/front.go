// Package front serves the requests of clients that one backend server answers.
//
//  1. A request is sent to at most as many servers as its route allows.
//  2. A request that may not run twice is sent again only after proof that it
//     has not run.
//  3. One that may is sent to a second server while the first is silent, and
//     the first whole answer counts.
//  4. An answer is passed on once it is whole, or, if it is long, as it comes;
//     one that breaks off then breaks the client's connection, so that it
//     never looks whole.
//  5. A request that broke off at several servers without any part of an answer
//     is refused at once, at every entry.
//  6. When nothing is left to try, the client is told so at once. "Not run" is
//     said only where it is proven for each server.
//
// # Usage
//
//	f := front.New(front.Params{...})
//	err := f.Serve(ctx, req, w)
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
)

const (
	// hedgeShare of the latency objective passes before a second server is
	// asked, so that it can still answer within the objective.
	hedgeShare = 0.5
	hedgeLeast = 40 * clock.Milli
	// A hedge spends one token; each request earns a tenth, so that hedges
	// can't double the load of a service that is slow as a whole.
	hedgeEarn = 0.1
	hedgeMost = 10.0
	// buffered is up to how many bytes an answer is held back until it is
	// whole.
	buffered = 256 << 10
	// comeBack is asked of a client whose servers are full or unknown.
	comeBack = 300 * clock.Milli
	// defaultLeft bounds a request whose client names no limit.
	defaultLeft = 30 * clock.Second
)

// Request is a client's request.
type Request struct {
	ID          string
	Method      string
	Host        string
	Path        string
	URI         string // path and query as sent
	Header      http.Header
	Body        []byte
	Deadline    clock.Millis // when the client stops waiting, 0 if it does not say
	LastEventID int          // last event that the client has, 0 for none
}

// Quarantine knows the requests that crash servers.
type Quarantine interface {
	Check(name func() string) error
	RecordDisconnect(server, id string)
	RecordAnswer(name func() string)
}

// Params are what a front needs.
type Params struct {
	Conf       *conf.Follower
	Sender     plat.Sender
	Quarantine Quarantine
	Locality   pick.Locality
	Clock      clock.Clock
	Log        zerolog.Logger
	Observe    func(route, outcome string, took clock.Millis)
}

// Proxy serves clients' requests.
type Proxy struct {
	Params
	mu     sync.Mutex
	book   *pick.Balancer
	hedges float64
	open   atomic.Int64
}

// New returns a front.
func New(p Params) *Proxy {
	if p.Observe == nil {
		p.Observe = func(string, string, clock.Millis) {}
	}
	return &Proxy{Params: p, book: pick.New(p.Locality), hedges: hedgeMost}
}

// Route returns the route of a request and the configuration that has it.
func (f *Proxy) Route(host, path string) (*router.Route, error) {
	cfg := f.Conf.Config()
	if cfg == nil {
		return nil, fault.New(fault.NotReady, "no configuration is known yet").WithRetryAfter(comeBack)
	}
	r := cfg.Find(host, path)
	if r == nil {
		return nil, fault.New(fault.NotFound, "no route for "+host+path+" in configuration "+itoa(cfg.Version()))
	}
	return r, nil
}

// choose picks a server that was not tried and notes the send.
func (f *Proxy) choose(service string, tried map[string]bool) *fleet.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.book.Choose(f.Clock.Now(), f.Conf.Servers().ByService(service), tried)
	if s != nil {
		f.book.Start(s.ID)
	}
	return s
}

func (f *Proxy) ended(id string, since clock.Millis, o pick.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.book.End(now, id, now-since, o)
}

// PruneServers forgets servers that are gone.
func (f *Proxy) PruneServers() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.book.Forget(f.Conf.Servers())
}

func (f *Proxy) mayHedge() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hedges < 1 {
		return false
	}
	f.hedges--
	return true
}

func (f *Proxy) earn() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hedges = min(hedgeMost, f.hedges+hedgeEarn)
}

// Serve answers one request. The error is nil once an answer was begun.
func (f *Proxy) Serve(ctx context.Context, r *Request, w http.ResponseWriter) error {
	route, err := f.Route(r.Host, r.Path)
	if err != nil {
		f.Log.Info().Str("request", r.ID).Str("host", r.Host).Str("path", r.Path).Err(err).Msg("front: no route")
		return err
	}
	name := func() string { return crash.Fingerprint(ident.Class(r.Host+r.URI), r.Body) }
	if err := f.Quarantine.Check(name); err != nil { // rule 5
		f.Observe(route.Name, "quarantined", 0)
		f.Log.Warn().Str("request", r.ID).Str("route", route.Name).Err(err).Msg("front: request refused, it crashes servers")
		return err
	}
	start := f.Clock.Now()
	until := start + defaultLeft
	if r.Deadline > 0 {
		until = r.Deadline
	}
	if route.Timeout > 0 {
		until = min(until, start+route.Timeout)
	}
	ctx, cancel := context.WithTimeout(ctx, (until - start).Duration())
	defer cancel()
	f.earn()
	c := &call{front: f, req: r, name: name, route: route, service: route.Pick(rand.Float64()), start: start, until: until, tried: make(map[string]bool)}
	outcome, err := c.run(ctx, w)
	took := f.Clock.Now() - start
	f.Observe(route.Name, outcome, took)
	if outcome != "served" || took > route.LatencyTarget {
		f.Log.Info().Str("request", r.ID).Str("route", route.Name).Str("service", c.service).Str("outcome", outcome).
			Int("attempts", c.sent).Int64("took-ms", int64(took)).Int64("left-ms", int64(until-f.Clock.Now())).
			Int64("config", f.Conf.Config().Version()).Err(err).Msg("front: request ended")
	}
	return err
}

// Reply is the end of a call that the system makes itself.
type Reply struct {
	Status   int
	Stamp    string
	Failures int // servers that answered with a failure
	Attempts int // that the route allows
}

// Do sends a request through a route and returns how it ended. The reply is
// nil if no server answered.
func (f *Proxy) Do(ctx context.Context, r *Request) (*Reply, error) {
	rec := &recorder{header: make(http.Header)}
	err := f.Serve(ctx, r, rec)
	if err != nil || rec.answer == nil {
		return nil, err
	}
	return &Reply{Status: rec.answer.Status, Stamp: rec.answer.Stamp, Failures: rec.failures, Attempts: rec.attempts}, nil
}
