package front

import (
	"context"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
	"github.com/jujuberamp/jujuberamp/internal/decide/access"
	"github.com/jujuberamp/jujuberamp/internal/decide/admit"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/router"
	"github.com/jujuberamp/jujuberamp/internal/decide/zones"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/resume"
)

// Outcomes of a [Way] for which a request does not end at once. The others are those that
// are passed to Params.Observe.
const (
	OutcomeSent  = "sent"
	OutcomeWaits = "waits" // for a place
)

// ServerState is why a server may be chosen for a request, or not.
type ServerState string

// The states of servers.
const (
	StateFree          ServerState = "free"
	StateLeaving       ServerState = "leaving"
	StateOtherSoftware ServerState = "other-software" // a stream can't go on there
	StateNoPlace       ServerState = "no-place"
	StateBackoff       ServerState = "backoff" // chosen only if all servers are
	StateLimited       ServerState = "limited"
	StateLimitUnknown  ServerState = "limit-unknown" // its granter has to be asked
)

// ServerView is a candidate for a request as this entry sees it.
type ServerView struct {
	pick.View
	State     ServerState
	PerSecond float64 // its rate limit, 0 for none or if it is not known
}

// Way is where a request goes that its route sends to one service.
type Way struct {
	Service  string
	Share    float64 // of the route's requests
	Outcome  string
	Refusal  error                       // nil if the request is sent or waits
	Server   *fleet.Server               // nil if the request is not sent
	Wait     option.Option[clock.Millis] // expected wait for a place
	RateWait clock.Millis                // for a start at a server that limits the rate of requests
	Places   option.Option[admit.View]   // absent if places are not counted
	Software option.Option[string]       // that began the stream
	Drawn    string                      // zone by the shares, empty if the settings declare no costs
	Zones    []zones.View                // none if the settings declare no costs
	Servers  []ServerView
}

// Explanation is where a request would go now.
type Explanation struct {
	Version    int64        // of the configuration
	Age        clock.Millis // since it was known to be the newest
	Route      *router.Route
	Workspace  ident.Workspace
	Rank       int
	Quarantine option.Option[error] // absent if the body is not known; nil if the request is not in quarantine
	Ways       []Way                // one for each service of the route; none if the request is in quarantine
}

// AuthorizeFor is [Proxy.Authorize] for a client with a key of the named workspace.
func (p *Proxy) AuthorizeFor(host, path string, w ident.Workspace) (*router.Route, access.Grant, error) {
	cfg, err := p.config()
	if err != nil {
		return nil, access.Grant{}, err
	}
	r, err := findRoute(cfg, host, path)
	if err != nil {
		return nil, access.Grant{}, err
	}
	g, refusal := cfg.Workspaces().DecideFor(p.Access, access.Request{Public: r.Public, Age: p.Conf.Age()}, w)
	return r, g, refusalError(cfg, refusal)
}

// Explain returns where a request would go if [Proxy.Serve] served it now. The request must
// have a route. It decides by the same code, on copies of what Serve keeps. Without the
// request's body, the quarantine is not checked.
//
// Other entries are asked only for the origin of a stream that is taken up. A granter of
// starts is not asked: a server that limits the rate of requests is assumed to grant one.
func (p *Proxy) Explain(ctx context.Context, r *Request, knowsBody bool) *Explanation {
	e := &Explanation{
		Version: p.Conf.Config().Version(), Age: p.Conf.Age(), Route: r.Route, Workspace: r.Workspace,
		Rank: p.Conf.Config().Priority(r.Route, r.Workspace),
	}
	if knowsBody {
		err := p.Quarantine.Check(r.fingerprint)
		e.Quarantine = option.Some(err)
		if err != nil {
			return e
		}
	}
	total := 0.0
	for _, b := range r.Route.Backends {
		total += b.Weight
	}
	for _, b := range r.Route.Backends {
		w := p.explainWay(ctx, r, b.Service)
		w.Share = 1 / float64(len(r.Route.Backends))
		if total > 0 {
			w.Share = b.Weight / total
		}
		e.Ways = append(e.Ways, w)
	}
	return e
}

// explainWay returns where a request to a service would go.
func (p *Proxy) explainWay(ctx context.Context, r *Request, service string) Way {
	t := p.trial()
	t.depositHedgeBudget()
	c := t.newRequestState(r, r.Route, service, false)
	var w Way
	w.Outcome, w.Refusal = c.enter(ctx)
	places, _ := t.Places.(TrialPlaces)
	if c.place.needed {
		w.Places, w.Wait = option.Some(p.Places.Trial().View(c.service)), places.Wait()
		if w.Wait != option.None[clock.Millis]() {
			w.Outcome, w.Refusal = OutcomeWaits, nil
		}
	}
	if w.Outcome == "" {
		w.Outcome, w.Refusal = c.takeUp(ctx)
	}
	if w.Outcome == "" {
		if w.Server = c.nextServer(ctx, true); w.Server != nil {
			w.Outcome, w.RateWait = OutcomeSent, t.Rates.(*trialRates).waited
		} else {
			w.Outcome, w.Refusal = c.respondFailure(ctx, nil)
		}
	}
	w.Service, w.Software = c.service, c.software
	p.addViews(c, &w)
	return w
}

// addViews adds what the entry knows about the servers and zones.
func (p *Proxy) addViews(c *requestState, w *Way) {
	t := p.trial()
	now, kind, servers := p.Clock.Now(), c.kind(), p.Conf.Servers().ByService(c.service)
	wayCost := func(zone string) float64 { return float64(p.Locality.RoundTrip(zone)) }
	if p.hasZoneCosts() {
		w.Drawn = t.drawZone(now, kind, c.route.LatencyTarget, servers).Zone
		w.Zones = t.zones.Views(now, kind)
		wayCost = func(zone string) float64 { return t.zones.WayCost(kind, w.Drawn, zone) }
	}
	places, scarce := w.Places.Get()
	scarce = scarce && places.Free != nil
	for _, v := range t.balancer.Views(now, servers, wayCost) {
		s := ServerView{View: v, State: StateFree}
		s.PerSecond, _ = p.Rates.Limit(v.Server)
		software, known := c.software.Get()
		switch {
		case v.Server.IsLeaving():
			s.State = StateLeaving
		case known && v.Server.Software != software:
			s.State = StateOtherSoftware
		case scarce && places.Free[v.Server.ID] == 0:
			s.State = StateNoPlace
		case v.InBackoff():
			s.State = StateBackoff
		case s.PerSecond > 0:
			s.State = StateLimited
		case p.Rates.IsLimited(v.Server):
			s.State = StateLimitUnknown
		}
		w.Servers = append(w.Servers, s)
	}
}

// trial returns a proxy that decides as this one does from now on, and of which nothing is
// kept. It can't send requests.
func (p *Proxy) trial() *Proxy {
	p.mu.Lock()
	defer p.mu.Unlock()
	params := Params{
		Conf: p.Conf, Quarantine: exempt{}, Rates: &trialRates{RateLimiter: p.Rates}, Origins: trialOrigins{p.Origins},
		Locality: p.Locality, Access: p.Access, DrainTime: p.DrainTime, Clock: p.Clock, Log: zerolog.Nop(),
	}
	if p.Places != nil {
		params.Places = p.Places.Trial()
	}
	t := New(params)
	t.balancer, t.zones, t.hedgeBudget = p.balancer.Clone(), p.zones.Clone(), p.hedgeBudget
	return t
}

// trialRates grants starts at servers without asking their granters.
type trialRates struct {
	RateLimiter
	waited clock.Millis // for the last start
}

// Acquire implements [RateLimiter].
func (t *trialRates) Acquire(_ context.Context, s *fleet.Server, maxWait clock.Millis) (clock.Millis, bool) {
	_, wait := t.Limit(s)
	if wait > maxWait {
		return wait, false
	}
	t.waited = wait
	return 0, true
}

// Observe implements [RateLimiter].
func (*trialRates) Observe(*fleet.Server, clock.Millis, plat.RateLimit) {}

// trialOrigins finds origins and records none.
type trialOrigins struct{ Origins }

// Find implements [Origins].
func (t trialOrigins) Find(ctx context.Context, stream, service string) (resume.Origin, error) {
	return t.Look(ctx, stream, service)
}

// Record implements [Origins].
func (trialOrigins) Record(context.Context, resume.Origin) {}
