// Package rates keeps the requests that all nodes send to a backend server within the
// rate that the server states; see package rate for the rules.
//
// A node that has no answer of a server yet asks the server's granter whether the server
// is limited, so that a node which has just started does not exceed the limit. It then
// sends requests freely until the server states a limit to it. From then on it asks the
// granter before each request.
//
// The granter of a server with a model is the agent beside it. That of any other server
// is the entry that ranks first by rendezvous hashing, or a further one if that is not
// reached. A node that is asked goes by its own rank if that is lower, so that two nodes
// with different lists of entries don't both grant the whole rate.
//
// A granter that knows that a server has stated that it leaves grants nothing and says so,
// so that a node which has just started sends no request there.
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
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/option"
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
	// probeInterval is the time between two requests to a server while neither an answer
	// nor a granter tells whether it is limited.
	probeInterval = clock.Second
	// retention is how long the state of a server that is not used is kept.
	retention = clock.Minute
	// askedLimitTTL is how long a limit that another node named counts. Nodes name it with
	// each request that they send, every four seconds at the lowest rate.
	askedLimitTTL = 10 * clock.Second
)

// Params are the dependencies and settings of a [Limiter].
type Params struct {
	Self ident.Node
	// Entries returns the entries, including this one and those that are leaving: they
	// grant until they are gone, and come back soon if they are restarted. It returns false
	// while the entries are not known.
	Entries   func() ([]spread.Peer, bool)
	AgentPort int // port of every agent
	// StatesLeaving reports whether an incarnation of a server has stated that it leaves, and
	// OnLeaving is called when a granter says so; both are optional.
	StatesLeaving func(incarnation string) bool
	OnLeaving     func(s *fleet.Server)
	Transport     http.RoundTripper
	Clock         clock.Clock
	Log           zerolog.Logger
	Count         func(name, label string) // increments a counter; optional
}

// server is what this node knows about one incarnation of a server.
type server struct {
	limit       rate.Limit
	answered    bool         // this node has an answer of the server, or was told that it has no limit
	askedLimit  float64      // limit that another node named
	askedAt     clock.Millis // when that was
	refusedTill clock.Millis // no request may start before: by the last refusal or probe
	starts      rate.Bucket  // for the requests that this node grants
	usedAt      clock.Millis
}

// Limiter limits the rate of requests to servers.
type Limiter struct {
	Params
	http      *http.Client
	startedAt clock.Millis

	mu      sync.Mutex
	servers map[string]*server      // by incarnation
	skip    map[string]clock.Millis // by address: until when a granter is skipped
}

// New returns a limiter that knows no limit.
func New(p Params) *Limiter {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	if p.StatesLeaving == nil {
		p.StatesLeaving = func(string) bool { return false }
	}
	if p.OnLeaving == nil {
		p.OnLeaving = func(*fleet.Server) {}
	}
	return &Limiter{
		Params: p, http: &http.Client{Transport: p.Transport}, startedAt: p.Clock.Now(),
		servers: make(map[string]*server), skip: make(map[string]clock.Millis),
	}
}

// server returns the state of a server. The caller holds the lock.
func (l *Limiter) server(incarnation string) *server {
	s := l.servers[incarnation]
	if s == nil {
		s = &server{starts: rate.NewBucket(l.startedAt)}
		l.servers[incarnation] = s
	}
	s.usedAt = l.Clock.Now()
	return s
}

// Observe records what an answer of a server states. The request of the answer was sent
// at sentAt.
func (l *Limiter) Observe(to *fleet.Server, sentAt clock.Millis, stated plat.RateLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.server(to.Incarnation())
	if !s.answered {
		s.answered, s.refusedTill = true, 0
	}
	if stated.Malformed != "" {
		l.Log.Warn().Str("server", to.ID).Str("limit", stated.Malformed).
			Msg("rates: rate limit can't be decoded, the previous one stays in force")
		return
	}
	if s.limit.Observe(l.Clock.Now(), sentAt, stated.PerSecond) {
		l.Count("rate-limit", "changed")
		l.Log.Info().Str("server", to.ID).Float64("per-second", s.limit.PerSecond()).Msg("rates: rate limit of a server changed")
	}
}

// IsLimited reports whether a server has, or may have, a limit.
func (l *Limiter) IsLimited(to *fleet.Server) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[to.Incarnation()]
	return s == nil || !s.answered || s.limit.PerSecond() > 0
}

// Limit returns the limit of a server in requests a second, 0 if it has none or none is
// known, and how long no request to it may start as far as this node knows.
func (l *Limiter) Limit(to *fleet.Server) (perSecond float64, wait clock.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.servers[to.Incarnation()]
	if s == nil {
		return 0, 0
	}
	return s.limit.PerSecond(), max(0, s.refusedTill-l.Clock.Now())
}

// Acquire asks for one request to a server that is or may be limited. The request may start after the
// returned wait. It is refused if the wait is longer than maxWait.
func (l *Limiter) Acquire(ctx context.Context, to *fleet.Server, maxWait clock.Millis) (wait clock.Millis, ok bool) {
	r := grant.Request{Server: to.Incarnation(), MaxWait: maxWait}
	l.mu.Lock()
	s := l.server(r.Server)
	r.PerSecond = s.limit.PerSecond()
	answered := s.answered
	wait = s.refusedTill - l.Clock.Now()
	l.mu.Unlock()
	if answered && r.PerSecond == 0 {
		return 0, true
	}
	if wait > maxWait {
		l.Count("rate-limit", "refused")
		return wait, false
	}
	askedAt := l.Clock.Now()
	reply, asked := l.ask(ctx, to, r)
	if asked && reply.Leaving {
		l.OnLeaving(to)
		l.Count("rate-limit", "refused")
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !answered { // A limit is learned from the granter, or from the first answer.
		if !asked {
			s.refusedTill = l.Clock.Now() + probeInterval
			return 0, true
		}
		s.answered = true
		if reply.PerSecond > 0 {
			s.limit.Observe(l.Clock.Now(), askedAt, option.Some(reply.PerSecond))
		}
	}
	if reply.Granted {
		if reply.PerSecond > 0 {
			l.Count("rate-limit", "granted")
		}
		return reply.Wait, true
	}
	l.Count("rate-limit", "refused")
	s.refusedTill = l.Clock.Now() + reply.Wait
	return reply.Wait, false
}

// ask asks the first granter of a server that answers. It returns false if there is none.
func (l *Limiter) ask(ctx context.Context, to *fleet.Server, r grant.Request) (grant.Reply, bool) {
	for rank, g := range l.granters(to) {
		r.Rank = rank
		if g.Name == l.Self {
			return l.Grant(r), true
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
			return reply, true
		}
		if ctx.Err() != nil {
			break
		}
		l.Log.Info().Str("server", to.ID).Str("granter", g.Addr).Int("rank", rank).Err(err).Msg("rates: a granter does not answer")
		l.mu.Lock()
		l.skip[g.Addr] = l.Clock.Now() + granterBackoff
		l.mu.Unlock()
	}
	return grant.Reply{Wait: noGranterDelay}, false
}

// granters returns the granters of a server in order of their rank.
func (l *Limiter) granters(to *fleet.Server) []spread.Peer {
	if len(to.LoadedVersions) > 0 {
		return []spread.Peer{{Addr: to.AgentAddr(l.AgentPort)}}
	}
	entries, known := l.entryGranters(to.Incarnation())
	if !known {
		return nil
	}
	return entries
}

// entryGranters returns the entries that grant requests to an incarnation of a server in
// order of their rank, and whether the entries are known.
func (l *Limiter) entryGranters(incarnation string) ([]spread.Peer, bool) {
	entries, known := l.Entries()
	return spread.TopPeers("rate/"+incarnation, entries, rate.Granters), known
}

// Grant decides on a request for a grant as the granter of a server.
func (l *Limiter) Grant(r grant.Request) grant.Reply {
	if l.StatesLeaving(r.Server) {
		return grant.Reply{Leaving: true}
	}
	rank := max(r.Rank, l.ownRank(r.Server))
	l.mu.Lock()
	defer l.mu.Unlock()
	s, now := l.server(r.Server), l.Clock.Now()
	if r.PerSecond > 0 {
		s.askedLimit, s.askedAt = r.PerSecond, now
	} else if r.PerSecond = s.limit.PerSecond(); r.PerSecond == 0 && now-s.askedAt <= askedLimitTTL {
		r.PerSecond = s.askedLimit
	}
	if r.PerSecond == 0 {
		return grant.Reply{Granted: true}
	}
	wait, ok := s.starts.Take(now, r.PerSecond, rank, r.MaxWait)
	return grant.Reply{Granted: ok, Wait: wait, PerSecond: r.PerSecond}
}

// ownRank returns the rank of this node among the granters of a server, as far as this
// node knows the entries.
func (l *Limiter) ownRank(incarnation string) int {
	entries, _ := l.entryGranters(incarnation)
	for rank, g := range entries {
		if g.Name == l.Self {
			return rank
		}
	}
	return rate.Granters - 1
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
