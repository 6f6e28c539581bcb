// Package front is the reverse proxy for client requests that a single backend
// server answers.
//
//  1. A request is sent to at most as many servers as its route allows.
//  2. A request that must not run twice is retried only after proof that the
//     previous attempt was not executed.
//  3. A request that may run twice is hedged: whenever a delay passes without a
//     response, it is also sent to another server, within a budget. The first
//     complete response is used.
//  4. A response is forwarded once it is complete, or streamed if it is too
//     large to buffer. If a streamed response is truncated, the client's
//     connection is closed, so that the client never takes it for complete. On a
//     streaming route this holds for each answer that is no stream of events, such
//     as a rejection; as the answer to a resumption it counts as a failed attempt.
//  5. A request that made several servers disconnect before the end of their answer is
//     refused immediately, at every entry. Only a whole answer shows that it crashes no
//     servers: not its header, a refusal or a failure. The system's own calls are exempt.
//  6. A server that limits the rate of requests gets only requests for which a
//     start was acquired; see package rates. If all servers are limited, a request
//     waits only as long as it can still be answered within its latency objective.
//  7. A stream goes on only at servers of the service and with the software that made
//     its first event, within one answer and when a client takes it up again at any
//     entry; see package node/origin.
//  8. A server that leaves, by its registry entry or by its own statement, gets no
//     request. That is checked when a server is chosen, and again before a request that
//     has waited is sent. If no other server takes the request, a server that only states
//     it itself still gets it as a last resort, for a part of the time for which leaving
//     servers answer.
//  9. A request runs for the workspace whose key it has; see package access. The route
//     and the workspace are those of one configuration.
//  10. When no attempt is left, the client gets an error immediately. The error
//     says "not run" only if that is proven for every attempt.
//  11. While a service has fewer places than are asked for, a request starts only with a
//     place, which it gets by its urgency, its workspace and its deadline. It is refused at
//     once if it can't get one in time; see package admit.
//  12. Which share of the requests of a kind leaves this zone follows from what it gains
//     them and what it costs; see package zones.
//
// # Usage
//
//	proxy := front.New(front.Params{...})
//	err := proxy.Serve(ctx, req, w)
package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
	"github.com/jujuberamp/jujuberamp/internal/decide/crash"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/zones"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
	"github.com/jujuberamp/jujuberamp/internal/node/conf"
)

const (
	// hedgeDelayShare is the share of the latency objective that passes before
	// a request is hedged, so that the second server can still answer within
	// the objective.
	hedgeDelayShare = 0.5
	minHedgeDelay   = 40 * clock.Milli
	// A hedge withdraws one token from the budget and each request deposits a
	// tenth, so that hedges can't double the load of a service whose servers
	// are all slow.
	hedgeDeposit   = 0.1
	maxHedgeBudget = 10.0
	// maxBufferedBytes is the size up to which a response is buffered until it
	// is complete; larger responses are streamed.
	maxBufferedBytes = 256 << 10
	// retryAfter is sent to a client if all servers refused, or if no server or
	// configuration is known.
	retryAfter = 300 * clock.Milli
	// lastResortShare is the share of the drain time, from when this node learned that a
	// server leaves, in which the server is a last resort. The server may have stated it
	// to other nodes before.
	lastResortShare = 0.5
	// defaultTimeout applies to requests whose client sets no deadline.
	defaultTimeout = 30 * clock.Second
)

// errTruncated is the error of a response that was started and can't be completed.
var errTruncated = errors.New("the answer can't be completed")

// Request is a client's request.
type Request struct {
	ID          string
	Method      string
	Host        string
	Path        string
	URI         string // path and query as sent
	Header      http.Header
	Body        []byte
	Route       *router.Route          // from [Proxy.Authorize], nil for a call of the system itself
	Workspace   ident.Workspace        // whose key the client sent, empty on public routes
	Deadline    clock.Millis           // when the client stops waiting, 0 if unknown
	LastEventID int                    // last event that the client received, 0 for none
	Resumes     string                 // ID of the attempt that brought the first event, if LastEventID is set
	For         option.Option[Urgency] // set for a call of the system's own
}

// fingerprint identifies the request for crash detection.
func (r *Request) fingerprint() string {
	return crash.Fingerprint(ident.Class(string(r.Workspace)+r.Host+r.URI), r.Body)
}

// Urgency is that of the item for which the system makes a call of its own.
type Urgency struct {
	Rank      int // 0 is the most urgent
	Workspace ident.Workspace
	DueBy     clock.Millis // when the item's job is due
}

// Quarantine detects requests that crash servers and refuses them. It identifies
// a request by its fingerprint and a server by its incarnation.
type Quarantine interface {
	Check(fingerprint func() string) error
	RecordDisconnect(incarnation, fingerprint string)
	RecordAnswer(fingerprint func() string)
}

// RateLimiter limits the rate of requests to servers; see [rates.Limiter].
type RateLimiter interface {
	IsLimited(s *fleet.Server) bool
	Acquire(ctx context.Context, s *fleet.Server, maxWait clock.Millis) (wait clock.Millis, ok bool)
	Observe(s *fleet.Server, sentAt clock.Millis, stated plat.RateLimit)
	// Limit returns the limit of a server in requests a second, 0 if it has none or none is
	// known, and how long no request to it may start as far as this node knows.
	Limit(s *fleet.Server) (perSecond float64, wait clock.Millis)
}

// Origins remembers where streams began; see package node/origin.
type Origins interface {
	Record(ctx context.Context, e resume.Origin)
	Find(ctx context.Context, stream, service string) (resume.Origin, error)
	// Look is Find without a record of what it finds.
	Look(ctx context.Context, stream, service string) (resume.Origin, error)
}

// Params are the dependencies of a [Proxy].
type Params struct {
	Conf       *conf.Follower
	Sender     plat.Sender
	Quarantine Quarantine
	Rates      RateLimiter
	Origins    Origins
	Places     Places // nil if places are not counted
	Locality   pick.Locality
	Access     access.Policy
	DrainTime  clock.Millis // time for which a server that leaves still answers, 0 if not known
	Clock      clock.Clock
	Log        zerolog.Logger
	Observe    func(route, outcome string, took clock.Millis) // called when a request ended; nil for none
	// ObserveRefusal is called for each request that is refused for its key. Nil ignores it.
	ObserveRefusal func(access.Refusal)
	ObserveZone    func(zone string) // called for each attempt; nil for none
	// OnStart is called once for each client's request, when it is known or likely that a
	// server began to run it at a time; nil for none.
	OnStart func(w ident.Workspace, at clock.Millis)
	// OnEnd is called for each request that was sent to a server of a service, with the time
	// that it took; nil for none.
	OnEnd func(service string, took clock.Millis)
}

// Proxy sends client requests to backend servers and forwards the responses.
type Proxy struct {
	Params
	mu          sync.Mutex
	balancer    *pick.Balancer
	zones       *zones.Policy
	hedgeBudget float64
	inProgress  atomic.Int64
}

// New returns a proxy with a full hedge budget.
func New(p Params) *Proxy {
	if p.Observe == nil {
		p.Observe = func(string, string, clock.Millis) {}
	}
	if p.ObserveRefusal == nil {
		p.ObserveRefusal = func(access.Refusal) {}
	}
	if p.OnStart == nil {
		p.OnStart = func(ident.Workspace, clock.Millis) {}
	}
	if p.OnEnd == nil {
		p.OnEnd = func(string, clock.Millis) {}
	}
	if p.ObserveZone == nil {
		p.ObserveZone = func(string) {}
	}
	return &Proxy{
		Params: p, balancer: pick.New(p.Locality), hedgeBudget: maxHedgeBudget,
		zones: zones.New(p.Locality, rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// config returns the configuration in force.
func (p *Proxy) config() (*router.Config, error) {
	cfg := p.Conf.Config()
	if cfg == nil {
		return nil, fault.New(fault.NotReady, "no configuration is known yet").WithRetryAfter(retryAfter)
	}
	return cfg, nil
}

// Route returns the route of a request in the current configuration.
func (p *Proxy) Route(host, path string) (*router.Route, error) {
	cfg, err := p.config()
	if err != nil {
		return nil, err
	}
	return findRoute(cfg, host, path)
}

func findRoute(cfg *router.Config, host, path string) (*router.Route, error) {
	r := cfg.Find(host, path)
	if r == nil {
		return nil, fault.New(fault.NotFound,
			"no route for "+host+path+" in configuration "+itoa(cfg.Version()))
	}
	return r, nil
}

// takesWork reports whether a server that was chosen some time ago still takes work
// (rule 8).
func (p *Proxy) takesWork(s *fleet.Server) bool {
	listed := p.Conf.Servers().ByID(s.ID)
	return listed != nil && listed.StartedAt == s.StartedAt && !listed.IsLeaving()
}

// lastResort picks a server that is not excluded among those that state that they leave
// (rule 8).
func (p *Proxy) lastResort(service string, excluded map[string]bool) *fleet.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	period := clock.Millis(lastResortShare * float64(p.DrainTime))
	return p.balancer.ChooseLeaving(p.Clock.Now(), period, p.Conf.Servers().ByService(service), excluded)
}

func (p *Proxy) startAttempt(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Start(id)
}

func (p *Proxy) finishAttempt(id string, startedAt clock.Millis, o pick.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	p.balancer.End(now, id, now-startedAt, o)
}

// PruneServers removes the statistics of servers that no longer exist, and of kinds of
// requests that no longer come.
func (p *Proxy) PruneServers() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.balancer.Prune(p.Conf.Servers())
	p.zones.Prune(p.Clock.Now())
}

func (p *Proxy) withdrawHedgeBudget() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.hedgeBudget < 1 {
		return false
	}
	p.hedgeBudget--
	return true
}

func (p *Proxy) depositHedgeBudget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hedgeBudget = min(maxHedgeBudget, p.hedgeBudget+hedgeDeposit)
}

// Serve answers one request of a client. The error is nil once a response was started. It
// must be called by an HTTP handler: it panics with [http.ErrAbortHandler], which closes the
// client's connection, if a response was started and can't be completed.
func (p *Proxy) Serve(ctx context.Context, r *Request, w http.ResponseWriter) error {
	_, err := p.serve(ctx, r, w, false)
	if errors.Is(err, errTruncated) {
		panic(http.ErrAbortHandler)
	}
	return err
}

// serve answers a request of a client, or one of the system's own. Its state is nil if the
// request was refused before it could start.
func (p *Proxy) serve(ctx context.Context, r *Request, w http.ResponseWriter, own bool) (*requestState, error) {
	route := r.Route
	if route == nil {
		var err error
		if route, err = p.Route(r.Host, r.Path); err != nil {
			p.Log.Info().Str("request", r.ID).Str("host", r.Host).Str("path", r.Path).Err(err).
				Msg("front: no route")
			return nil, err
		}
	}
	if err := p.quarantineFor(own).Check(r.fingerprint); err != nil { // rule 5
		p.Observe(route.Name, "quarantined", 0)
		p.Log.Warn().Str("request", r.ID).Str("route", route.Name).Err(err).
			Msg("front: request refused, it crashes servers")
		return nil, err
	}
	p.depositHedgeBudget()
	state := p.newRequestState(r, route, route.Pick(rand.Float64()), own)
	outcome, err := state.enter(ctx)
	if err == nil {
		if own { // The time for the answer does not include the wait for a place.
			state.deadline += state.place.waited
		}
		ctx, cancel := context.WithTimeout(ctx, (state.deadline - p.Clock.Now()).Duration())
		defer cancel()
		outcome, err = state.run(ctx, w)
		state.releasePlace()
	}
	took := p.Clock.Now() - state.startedAt
	p.Observe(route.Name, outcome, took)
	if state.attempts > 0 {
		p.OnEnd(state.service, took)
	}
	if outcome != "served" || took > route.LatencyTarget {
		p.Log.Info().Str("request", r.ID).Str("route", route.Name).Str("workspace", string(r.Workspace)).Str("service", state.service).
			Str("outcome", outcome).Int("attempts", state.attempts).
			Int("rank", state.place.ask.Rank).Int64("waited-ms", int64(state.place.waited)).
			Int64("took-ms", int64(took)).Int64("left-ms", int64(state.deadline-p.Clock.Now())).
			Int64("config", p.Conf.Config().Version()).Err(err).Msg("front: request ended")
	}
	return state, err
}

// newRequestState returns the state of a request to a service that starts now.
func (p *Proxy) newRequestState(r *Request, route *router.Route, service string, own bool) *requestState {
	startedAt := p.Clock.Now()
	deadline := startedAt + defaultTimeout
	if r.Deadline > 0 {
		deadline = r.Deadline
	}
	if route.Timeout > 0 {
		deadline = min(deadline, startedAt+route.Timeout)
	}
	return &requestState{
		proxy: p, quarantine: p.quarantineFor(own), req: r, fingerprint: r.fingerprint, route: route, service: service,
		startedAt: startedAt, deadline: deadline, tried: make(map[string]bool), own: own,
	}
}

// Reply is the result of a request that the system sends on its own behalf.
type Reply struct {
	Status      int
	Stamp       string // proof that the server produced the response
	Failures    int    // servers that answered with status 500
	MaxAttempts int    // maximum that the route allows
}

// exempt is the quarantine of requests that the system owes: they are neither refused
// nor suspects, since servers crash by chance while they run them.
type exempt struct{}

func (exempt) Check(func() string) error       { return nil }
func (exempt) RecordDisconnect(string, string) {}
func (exempt) RecordAnswer(func() string)      {}

// quarantineFor returns the quarantine of a client's request, or of one of the system's own.
func (p *Proxy) quarantineFor(own bool) Quarantine {
	if own {
		return exempt{}
	}
	return p.Quarantine
}

// Do serves a request without a client and returns its result. The reply is
// nil if no server gave a complete answer. The request is exempt from the quarantine.
func (p *Proxy) Do(ctx context.Context, r *Request) (*Reply, error) {
	state, err := p.serve(ctx, r, discard{}, true)
	if err != nil || state.response == nil {
		return nil, err
	}
	return &Reply{
		Status:      state.response.Status,
		Stamp:       state.response.Stamp,
		Failures:    state.failures,
		MaxAttempts: state.route.MaxAttempts,
	}, nil
}

// discard is the writer of a response that no client reads.
type discard struct{}

func (discard) Header() http.Header         { return make(http.Header) }
func (discard) WriteHeader(int)             {}
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) Flush()                      {}
