// Package rates keeps the requests that all nodes send to a backend server within the
// rate that the server states; see package rate for the rules.
//
// A node sends requests to a server freely until the server states a limit to it. From
// then on it asks the server's granter before each request. The granter of a server with
// a model is the agent beside it. That of any other server is the live entry that ranks
// first by rendezvous hashing, or a further one if that is not reached.
//
// # Usage
//
//	c := rates.New(rates.Params{...})
//	http.Handle(grant.Path, grant.Handler(c.Grant, log))
//	if c.IsLimited(server) {
//		wait, ok := c.Acquire(ctx, server, maxWait)
//		...
//	}
//	c.Observe(server, sentAt, response.RateLimit)
package rates

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/rate"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
	"github.com/jujuberamp/jujuberamp/internal/inner/grant"
)

const (
	// askTimeout bounds a request for a grant: ten round trips between regions.
	askTimeout = 250 * clock.Milli
	// granterBackoff is how long a granter that did not answer is skipped.
	granterBackoff = 2 * clock.Second
	// noGranterDelay is the wait that is told while no granter answers.
	noGranterDelay = 300 * clock.Milli
	// retention is how long the state of a server that is not used is kept.
	retention = clock.Minute
)

// Params are the dependencies and settings of a [Limiter].
type Params struct {
	Self ident.Node
	// Entries returns the entries that live, including this one unless it is leaving. It
	// returns false while they are not known.
	Entries   func() ([]spread.Peer, bool)
	AgentPort int // port of every agent
	Transport http.RoundTripper
	Clock     clock.Clock
	Log       zerolog.Logger
	Count     func(name, label string) // increments a counter; optional
}

// server is what this node knows about one incarnation of a server.
type server struct {
	limit       rate.Limit
	refusedTill clock.Millis // by the last refusal, no request may start before
	starts      rate.Bucket  // for the requests that this node grants
	usedAt      clock.Millis
}

// Limiter limits the rate of requests to servers.
type Limiter struct {
	Params
	http *http.Client

	mu      sync.Mutex
	servers map[string]*server      // by incarnation
	skip    map[string]clock.Millis // by address: until when a granter is skipped
}

// New returns a limiter that knows no limit.
func New(p Params) *Limiter {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Limiter{
		Params: p, http: &http.Client{Transport: p.Transport},
		servers: make(map[string]*server), skip: make(map[string]clock.Millis),
	}
}

// server returns the state of a server. The caller holds the lock.
func (l *Limiter) server(incarnation string) *server {
	s := l.servers[incarnation]
	if s == nil {
		s = &server{}
		l.servers[incarnation] = s
	}
	s.usedAt = l.Clock.Now()
	return s
}

// Observe records what an answer of a server states. The request of the answer was sent
// at sentAt.
func (l *Limiter) Observe(to *fleet.Server, sentAt clock.Millis, stated plat.RateLimit) {
	if stated.Malformed != "" {
		l.Log.Warn().Str("server", to.ID).Str("limit", stated.Malformed).
			Msg("rates: rate limit can't be decoded, the previous one stays in force")
		return
	}
	_, isStated := stated.PerSecond.Get()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isStated && l.servers[to.Incarnation()] == nil {
		return
	}
	s := l.server(to.Incarnation())
	if s.limit.Observe(l.Clock.Now(), sentAt, stated.PerSecond) {
		l.Count("rate-limit", "changed")
		l.Log.Info().Str("server", to.ID).Float64("per-second", s.limit.PerSecond()).Msg("rates: rate limit of a server changed")
	}
}

// IsLimited reports whether a server has stated a limit to this node.
func (l *Limiter) IsLimited(to *fleet.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[to.Incarnation()]
	return s != nil && s.limit.PerSecond() > 0
}

// Acquire asks for one request to a limited server. The request may start after the
// returned wait. It is refused if the wait is longer than maxWait.
func (l *Limiter) Acquire(ctx context.Context, to *fleet.Server, maxWait clock.Millis) (wait clock.Millis, ok bool) {
	r := grant.Request{Server: to.Incarnation(), MaxWait: maxWait}
	l.mu.Lock()
	s := l.server(r.Server)
	r.PerSecond = s.limit.PerSecond()
	wait = s.refusedTill - l.Clock.Now()
	l.mu.Unlock()
	if r.PerSecond == 0 {
		return 0, true
	}
	if wait > maxWait {
		l.Count("rate-limit", "refused")
		return wait, false
	}
	reply := l.ask(ctx, to, r)
	if reply.Granted {
		l.Count("rate-limit", "granted")
		return reply.Wait, true
	}
	l.Count("rate-limit", "refused")
	l.mu.Lock()
	defer l.mu.Unlock()
	s.refusedTill = l.Clock.Now() + reply.Wait
	return reply.Wait, false
}

// ask asks the first granter of a server that answers.
func (l *Limiter) ask(ctx context.Context, to *fleet.Server, r grant.Request) grant.Reply {
	for rank, g := range l.granters(to) {
		r.Rank = rank
		if g.Name == l.Self {
			return l.Grant(r)
		}
		l.mu.Lock()
		skipped := l.Clock.Now() < l.skip[g.Addr]
		l.mu.Unlock()
		if skipped {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout.Duration())
		reply, err := grant.Ask(askCtx, l.http, g.Addr, r)
		cancel()
		if err == nil {
			return reply
		}
		if ctx.Err() != nil {
			break
		}
		l.Log.Info().Str("server", to.ID).Str("granter", g.Addr).Int("rank", rank).Err(err).Msg("rates: a granter does not answer")
		l.mu.Lock()
		l.skip[g.Addr] = l.Clock.Now() + granterBackoff
		l.mu.Unlock()
	}
	return grant.Reply{Wait: noGranterDelay}
}

// granters returns the granters of a server in order of their rank.
func (l *Limiter) granters(to *fleet.Server) []spread.Peer {
	if len(to.LoadedVersions) > 0 {
		host, _, err := net.SplitHostPort(to.Addr)
		if err != nil {
			host = to.Addr // Asking this address fails, and the error is logged.
		}
		return []spread.Peer{{Addr: net.JoinHostPort(host, strconv.Itoa(l.AgentPort))}}
	}
	entries, known := l.Entries()
	if !known {
		return nil
	}
	return spread.TopPeers("rate/"+to.ID, entries, rate.Granters)
}

// Grant decides on a request for a grant as the granter of a server.
func (l *Limiter) Grant(r grant.Request) grant.Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait, ok := l.server(r.Server).starts.Take(l.Clock.Now(), r.PerSecond, r.Rank, r.MaxWait)
	return grant.Reply{Granted: ok, Wait: wait}
}

// Prune removes the state of servers that are no longer used.
func (l *Limiter) Prune() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.Clock.Now()
	for incarnation, s := range l.servers {
		if now-s.usedAt > retention {
			delete(l.servers, incarnation)
		}
	}
	for addr, until := range l.skip {
		if now >= until {
			delete(l.skip, addr)
		}
	}
}
