// Package places carries out the decisions of package admit: it keeps a gate for each
// service that this entry sends requests to, reports their demand while there is any to
// speak of, and holds the places of the services of which this entry is the holder.
//
// The holder of a service's places, or of those of one of its shards, is the entry that
// ranks first by rendezvous hashing, or the next one while that does not answer. It keeps
// what it knows in memory; another holder learns it from the next reports.
//
// # Usage
//
//	k := places.New(places.Params{...})
//	http.Handle(room.Path, room.Handler(k.Lease, log))
//	a, ok := k.Enter(ctx, service, ask)
//	...
//	k.End(service, server, ask, admit.Ended{...})
package places

import (
	"context"
	"hash/fnv"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/admit"
	"github.com/jujuberamp/jujuberamp/internal/decide/fleet"
	"github.com/jujuberamp/jujuberamp/internal/decide/pick"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/inner/room"
)

const (
	// askTimeout bounds a report: ten round trips between regions.
	askTimeout = 250 * clock.Milli
	// holderBackoff is how long a holder that did not answer is skipped.
	holderBackoff = 2 * clock.Second
	// holders is how many entries are asked in turn.
	holders = 2
	// retryInterval is the time until the next report if no holder answers.
	retryInterval = 200 * clock.Milli
	// shareTTL is how long a count of entries and servers is used.
	shareTTL = clock.Second
	// logInterval is the shortest time between two log entries of a service. Near the room,
	// places become scarce and free several times a second.
	logInterval = clock.Second
	// retention is how long the state of a service that is not used is kept.
	retention = clock.Minute
)

// Params are the dependencies and settings of a [Keeper].
type Params struct {
	Self ident.Node
	// Entries returns the entries; it returns false while they are not known.
	Entries   func() ([]spread.Peer, bool)
	Servers   func(service string) []*fleet.Server
	Locality  pick.Locality
	Transport http.RoundTripper
	Clock     clock.Clock
	Log       zerolog.Logger
	Count     func(name, label string) // increments a counter; optional
}

// service is the state of one service.
type service struct {
	gate      *admit.Gate
	waiters   map[*admit.Ticket]chan struct{} // closed when the request starts or is rejected
	reporting bool
	scarce    bool // as last logged
	loggedAt  clock.Millis
	rejected  int // since the last log
	waited    int
	sharedAt  clock.Millis
	usedAt    clock.Millis
}

// pool is the state of the places that this entry holds.
type pool struct {
	*admit.Pool
	scarce   bool // as last logged
	loggedAt clock.Millis
	usedAt   clock.Millis
}

// Keeper admits requests to services.
type Keeper struct {
	Params
	http     *http.Client
	mu       sync.Mutex
	services map[string]*service
	skip     map[string]clock.Millis // by address of a holder
	poolsMu  sync.Mutex
	pools    map[string]*pool // by service and shard
}

// New returns a keeper that has seen no request.
func New(p Params) *Keeper {
	if p.Count == nil {
		p.Count = func(string, string) {}
	}
	return &Keeper{
		Params: p, http: &http.Client{Transport: p.Transport},
		services: make(map[string]*service), skip: make(map[string]clock.Millis), pools: make(map[string]*pool),
	}
}

// service returns the state of a service. The caller holds the lock.
func (k *Keeper) service(name string) *service {
	s := k.services[name]
	if s == nil {
		s = k.newService(name)
		k.services[name] = s
	}
	now := k.Clock.Now()
	if k.isShareOld(s) {
		s.sharedAt = now
		s.gate.SetShare(k.share(name))
	}
	s.usedAt = now
	return s
}

func (k *Keeper) newService(name string) *service {
	h := fnv.New64a()
	_, _ = h.Write([]byte(string(k.Self) + "/" + name))
	return &service{gate: admit.NewGate(h.Sum64()), waiters: make(map[*admit.Ticket]chan struct{})}
}

func (k *Keeper) isShareOld(s *service) bool {
	return s.sharedAt == 0 || k.Clock.Now()-s.sharedAt >= shareTTL
}

// share returns the even share of a service's places for each entry.
func (k *Keeper) share(name string) float64 {
	slots := 0
	for _, s := range k.listed(name) {
		slots += s.Slots
	}
	entries, _ := k.Entries()
	return float64(slots) / float64(max(1, len(entries)))
}

// listed returns the servers that take work.
func (k *Keeper) listed(name string) []admit.Server {
	var out []admit.Server
	for _, s := range k.Servers(name) {
		if !s.IsLeaving() {
			out = append(out, admit.Server{ID: s.ID, Zone: s.Zone, Region: k.Locality.Regions[s.Zone], Slots: s.Slots})
		}
	}
	return out
}

// Scarce reports whether requests to a service need a place.
func (k *Keeper) Scarce(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).gate.Scarce(k.Clock.Now())
}

// Enter asks for a place for the first attempt of a request, and waits for it if
// necessary. It returns the rejected or started ticket.
func (k *Keeper) Enter(ctx context.Context, name string, a admit.Ask) *admit.Ticket {
	k.mu.Lock()
	s := k.service(name)
	t := s.gate.Enter(k.Clock.Now(), a)
	k.after(name, s, nil)
	if t.State() != admit.Waiting {
		if t.State() == admit.Rejected {
			k.countRejected(s)
		}
		k.mu.Unlock()
		return t
	}
	done := make(chan struct{})
	s.waiters[t] = done
	s.waited++
	k.Count("places", "waited")
	left := t.LatestStart - k.Clock.Now()
	k.mu.Unlock()
	timer := time.NewTimer(left.Duration())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	case <-ctx.Done():
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(s.waiters, t)
	s.gate.Leave(k.Clock.Now(), t)
	if t.State() == admit.Rejected {
		k.countRejected(s)
	}
	return t
}

func (k *Keeper) countRejected(s *service) {
	s.rejected++
	k.Count("places", "rejected")
}

// Retry asks for a place for a further attempt, which does not wait.
func (k *Keeper) Retry(name string, a admit.Ask) *admit.Ticket {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).gate.Admit(k.Clock.Now(), a)
}

// RetryAfter returns when a caller that is refused now should return.
func (k *Keeper) RetryAfter(name string, deadline clock.Millis) clock.Millis {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.service(name).gate.RetryAfter(k.Clock.Now(), deadline)
}

// Start records that an attempt without a reserved place started.
func (k *Keeper) Start(name, server string, a admit.Ask) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	s.gate.Start(k.Clock.Now(), server, a.Group)
	k.after(name, s, nil)
}

// End records the end of an attempt.
func (k *Keeper) End(name, server string, a admit.Ask, e admit.Ended) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.service(name)
	k.after(name, s, s.gate.End(k.Clock.Now(), server, a, e))
}

// after wakes the requests that start and those that were rejected for others, and starts
// to report if there is reason to. The caller holds the lock.
func (k *Keeper) after(name string, s *service, started []*admit.Ticket) {
	for _, t := range started {
		k.Count("places", "started")
		s.wake(t)
	}
	if len(s.waiters) > s.gate.Waiting() {
		for t := range s.waiters {
			if t.State() == admit.Rejected {
				s.wake(t)
			}
		}
	}
	if !s.reporting && s.gate.Engaged(k.Clock.Now()) {
		s.reporting = true
		go k.report(name, s)
	}
}

func (s *service) wake(t *admit.Ticket) {
	if done := s.waiters[t]; done != nil {
		close(done)
		delete(s.waiters, t)
	}
}

// report reports to the holder until there is little demand.
func (k *Keeper) report(name string, s *service) {
	for {
		k.mu.Lock()
		now := k.Clock.Now()
		k.logScarce(name, s, s.gate.Scarce(now))
		if !s.gate.Engaged(now) {
			s.reporting = false
			k.mu.Unlock()
			return
		}
		r := s.gate.Report(now)
		k.mu.Unlock()
		lease, ok := k.ask(name, r)
		k.mu.Lock()
		wait := retryInterval
		if ok {
			k.after(name, s, s.gate.Apply(k.Clock.Now(), lease))
			wait = lease.Interval
		}
		k.mu.Unlock()
		time.Sleep(wait.Duration())
	}
}

// logScarce logs the beginning and the end of a scarcity, within logInterval.
func (k *Keeper) logScarce(name string, s *service, scarce bool) {
	now := k.Clock.Now()
	if scarce == s.scarce || now-s.loggedAt < logInterval {
		return
	}
	k.Log.Info().Str("service", name).Bool("scarce", scarce).Int("rejected", s.rejected).Int("waited", s.waited).
		Msg("places: places of a service became scarce or free")
	s.scarce, s.loggedAt, s.rejected, s.waited = scarce, now, 0, 0
}

// ask sends a report to the first holder that answers. It returns false if none does.
func (k *Keeper) ask(name string, report admit.Report) (admit.Lease, bool) {
	report.Entry, report.Zone, report.Region = k.Self, k.Locality.Zone, k.Locality.Regions[k.Locality.Zone]
	peers, known := k.Entries()
	if !known {
		return admit.Lease{}, false
	}
	names := make([]ident.Node, len(peers))
	for i, p := range peers {
		names[i] = p.Name
	}
	r := room.Request{Service: name, Report: report}
	r.Shard, r.Shards = admit.Shard(names, k.Self, len(k.listed(name)))
	for _, h := range spread.TopPeers(r.Key(), peers, holders) {
		if h.Name == k.Self {
			return k.Lease(r), true
		}
		k.mu.Lock()
		skipped := k.Clock.Now() < k.skip[h.Addr]
		k.mu.Unlock()
		if skipped {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout.Duration())
		lease, err := room.Ask(ctx, k.http, h.Addr, r)
		cancel()
		if err == nil {
			return lease, true
		}
		k.Count("places", "holder-silent")
		k.Log.Info().Str("service", name).Str("holder", h.Addr).Err(err).Msg("places: a holder does not answer")
		k.mu.Lock()
		k.skip[h.Addr] = k.Clock.Now() + holderBackoff
		k.mu.Unlock()
	}
	return admit.Lease{}, false
}

// Lease decides on the report of an entry as the holder of places.
func (k *Keeper) Lease(r room.Request) admit.Lease {
	servers := admit.ShardServers(k.listed(r.Service), r.Shard, r.Shards)
	entries, _ := k.Entries()
	now := k.Clock.Now()
	k.poolsMu.Lock()
	defer k.poolsMu.Unlock()
	p := k.pools[r.Key()]
	if p == nil {
		p = &pool{Pool: admit.NewPool()}
		k.pools[r.Key()] = p
	}
	p.usedAt = now
	lease := p.Pool.Lease(now, (len(entries)+r.Shards-1)/r.Shards, servers, r.Report)
	if p.Scarce() != p.scarce && now-p.loggedAt >= logInterval {
		p.scarce, p.loggedAt = p.Scarce(), now
		k.Log.Info().Str("service", r.Service).Int("shard", r.Shard).Bool("scarce", p.scarce).Float64("places", p.Capacity()).
			Float64("demand", p.Demand()).Int("entries", p.Members()).Msg("places: demand for the places that this entry holds changed")
	}
	return lease
}

// Prune removes the state of services that are no longer used.
func (k *Keeper) Prune() {
	now := k.Clock.Now()
	k.mu.Lock()
	for name, s := range k.services {
		if now-s.usedAt > retention && !s.reporting && s.gate.Idle() {
			delete(k.services, name)
		}
	}
	for addr, until := range k.skip {
		if now >= until {
			delete(k.skip, addr)
		}
	}
	k.mu.Unlock()
	k.poolsMu.Lock()
	defer k.poolsMu.Unlock()
	for key, p := range k.pools {
		if now-p.usedAt > retention {
			delete(k.pools, key)
		}
	}
}
