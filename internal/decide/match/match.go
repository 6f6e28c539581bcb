// Package match decides which waiting work goes to which backend server.
//
// Work waits at the entry and is bound late: only when a server has a free
// slot as far as the entry can know. The package keeps no time and does no
// I/O; its caller feeds events and carries out the grants. Equal events give
// equal decisions.
//
// The rules, by the name that the code uses:
//
//  1. Work waits in one queue for each class and oldest allowed version, by
//     slack to its target. Nothing is sorted again as time passes.
//  2. Each class belongs to a band: short, long, or round. Bands go in this
//     order, and within a band the least slack goes first.
//  3. Long work and rounds leave as many slots free as short work needs by its
//     measured demand. Rounds leave some more for callers.
//  4. A band that holds less than its floor goes first, so none starves.
//  5. Work that runs far beyond its class's estimate counts as long.
//  6. A server's load is the entry's own work there, which is known exactly,
//     and the work of others by the last report. A refusal or a failure closes
//     a server for a while.
//  7. Same zone first, then same region. Another region is used only when the
//     target is in danger, and within a budget of bytes.
//  8. A prompt's prefix prefers a server, unless that one has more than its
//     share of load.
//  9. A slow server gets one probe at a time, of the work that minds least.
//  10. Work is refused on arrival if it would wait beyond its target, and later
//     when its deadline or target has passed. Rounds wait.
//  11. A further attempt is paid from the retry budget, a hedge from the hedge
//     budget. Only short work that may run twice is hedged.
//  12. A suspect of a crash never runs beside another.
//  13. Reports may be seconds old. Short work that has waited for a quarter of
//     its target is tried on a server that only the work of others fills, by
//     its last report; its agent refuses what is too much.
//
// # Usage
//
//	m := match.New(match.Standard())
//	m.Report(now, server)
//	err := m.Arrive(now, item)
//	grants, refused := m.Next(now)
//	m.Progress(now, g.Item, g.Node, tokens)
//	m.Finish(now, g.Item, g.Node, match.Result{End: match.Served})
package match

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/budget"
	"github.com/jujuberamp/jujuberamp/internal/decide/queue"
)

// Matcher holds the waiting work and the servers of one entry.
type Matcher struct {
	p       Policy
	rng     *rand.Rand
	servers map[ident.Node]*server
	pools   map[ident.Service]*pool
	order   []*pool // by service, so that decisions never follow a map's order
	waiting map[uint64]*lane
	limits  *queue.Queue[uint64] // items by the instant at which they are refused
	flights map[uint64]*flight
	hedges  *queue.Queue[uint64] // flights by the instant of their hedge
	grown   *queue.Queue[uint64] // flights by the instant at which they count as long
	cross   *budget.Bucket
	swept   clock.Millis
	counts  Counts
}

// New returns an empty matcher.
func New(p Policy) *Matcher {
	return &Matcher{
		p:       p,
		rng:     rand.New(rand.NewPCG(p.Seed, 0)),
		servers: make(map[ident.Node]*server),
		pools:   make(map[ident.Service]*pool),
		waiting: make(map[uint64]*lane),
		limits:  queue.New[uint64](),
		flights: make(map[uint64]*flight),
		hedges:  queue.New[uint64](),
		grown:   queue.New[uint64](),
		cross:   budget.NewBucket(p.CrossRegionRate, p.CrossRegionRate*crossBurst.Seconds()),
	}
}

// SetCrossRegionRate changes how many bytes a second may go to other regions, as the
// number of entries that share the link changes.
func (m *Matcher) SetCrossRegionRate(rate float64) {
	m.cross.SetRate(rate, rate*crossBurst.Seconds())
}

// Report takes in what a server's agent says of it. A report older than the
// last one is dropped.
func (m *Matcher) Report(now clock.Millis, sv Server) {
	s, ok := m.servers[sv.Node]
	if ok && s.Boot == sv.Boot && sv.Seq > 0 && sv.Seq <= s.Seq {
		return
	}
	if ok && s.Service != sv.Service {
		m.detach(s)
		ok = false
	}
	if !ok {
		s = m.attach(sv)
	}
	if s.Boot != sv.Boot {
		s.shut, s.shutLong, s.failures = 0, 0, 0
	}
	s.Server = sv
	s.heard = now
	s.pace.SetReported(sv.TokenRate, sv.TimeToFirstToken)
	s.pool.newest = max(s.pool.newest, sv.Version)
	s.place(now, m.p)
}

func (m *Matcher) attach(sv Server) *server {
	s, ok := m.servers[sv.Node]
	if !ok {
		s = &server{}
		m.servers[sv.Node] = s
	}
	s.gone = false
	s.pool = m.pool(sv.Service)
	s.tier = m.p.tier(sv)
	s.pool.all = append(s.pool.all, s)
	s.Server = sv
	slices.SortFunc(s.pool.all, func(a, b *server) int { return cmp.Compare(a.Node, b.Node) })
	s.pool.ring.Add(string(sv.Node), s)
	return s
}

func (m *Matcher) detach(s *server) {
	p := s.pool
	s.gone = true
	s.close()
	p.all = slices.DeleteFunc(p.all, func(o *server) bool { return o == s })
	p.ring.Del(string(s.Node))
}

// RemoveServer forgets a server. What runs there keeps its place until Finish.
func (m *Matcher) RemoveServer(n ident.Node) {
	if s, ok := m.servers[n]; ok {
		m.detach(s)
		delete(m.servers, n)
	}
}

func (m *Matcher) pool(svc ident.Service) *pool {
	if p, ok := m.pools[svc]; ok {
		return p
	}
	p := newPool(svc, m.p)
	m.pools[svc] = p
	m.order = append(m.order, p)
	slices.SortFunc(m.order, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	return p
}

// Enqueue puts an item into its queue, or refuses it as not run.
func (m *Matcher) Enqueue(now clock.Millis, it Item) error {
	p := m.pool(it.Service)
	c := p.class(it.Class, it.size())
	if it.Deadline > 0 && now >= it.Deadline {
		return fault.New(fault.PastDeadline, "the deadline passed before the work arrived")
	}
	if err := m.shed(now, c, &it); err != nil {
		m.counts.Shed++
		return err
	}
	if err := p.pay(&it); err != nil {
		m.counts.Shed++
		return err
	}
	if it.Retry && !it.Requeued {
		m.counts.Retried++
	}
	l := p.lane(laneKey{it.Class, it.MinVersion, it.size(), it.Round})
	l.class = c
	it.arrived = now
	l.q.Push(it.ID, it.due(c), it)
	c.waiting++
	m.waiting[it.ID] = l
	if end := it.limit(); end > 0 {
		m.limits.Push(it.ID, end, it.ID)
	}
	return nil
}

// shed applies rule 10 on arrival.
func (m *Matcher) shed(now clock.Millis, c *class, it *Item) error {
	wait := c.wait(now)
	if c.waiting >= m.p.MaxQueue {
		return overloaded(it, "its queue is full", max(clock.Second, wait))
	}
	end := it.limit()
	if !m.p.Shed || end == 0 || it.Requeued || it.Round {
		return nil
	}
	spare := (end - now - c.estimate()) / 2 // The other half allows for a wrong estimate.
	if c.waiting > 0 && wait > max(spare, it.StartBy-now) {
		return overloaded(it, "it would wait longer than its target allows", max(minAfter, wait-spare))
	}
	return nil
}

func overloaded(it *Item, why string, after clock.Millis) error {
	return fault.New(fault.Overloaded, "class "+string(it.Class)+": "+why).WithRetryAfter(after)
}

// Dequeue takes an item out of its queue.
func (m *Matcher) Dequeue(id uint64) {
	l, ok := m.waiting[id]
	if !ok {
		return
	}
	l.q.Remove(id)
	l.class.waiting--
	m.limits.Remove(id)
	delete(m.waiting, id)
}

// Progress takes in tokens that an item has shown on a node.
func (m *Matcher) Progress(now clock.Millis, id uint64, n ident.Node, tokens int) {
	r := m.find(id, n)
	if r == nil {
		return
	}
	r.shown += tokens
	if r.flight.item.Round {
		r.server.pace.ObserveBatch(now, &r.stream, tokens)
		return
	}
	r.server.pace.ObserveTokens(now, &r.stream, tokens)
}

func (m *Matcher) find(id uint64, n ident.Node) *run {
	f, ok := m.flights[id]
	if !ok {
		return nil
	}
	return f.on(n)
}

// Finish frees the slot that an item had on a node. A second call, such as
// one for the late answer of an attempt that was given up, has no effect.
func (m *Matcher) Finish(now clock.Millis, id uint64, n ident.Node, res Result) {
	r := m.find(id, n)
	if r == nil {
		return
	}
	f, s := r.flight, r.server
	if res.Outcome == Served {
		if r.shown == 0 {
			s.pace.ObserveCall(now, &r.stream)
		}
		f.class.ended(now-r.began, r.shown)
	}
	s.pace.End(&r.stream)
	s.ended(now, r, res)
	f.drop(r)
	f.pool.inflight[r.band]--
	s.place(now, m.p)
	if len(f.runs) == 0 {
		m.hedges.Remove(id)
		m.grown.Remove(id)
		delete(m.flights, id)
	}
}

// Cancel takes back an item, wherever it is.
func (m *Matcher) Cancel(now clock.Millis, id uint64) {
	m.Dequeue(id)
	f, ok := m.flights[id]
	if !ok {
		return
	}
	for _, r := range slices.Clone(f.runs) {
		m.Finish(now, id, r.server.Node, Result{Outcome: Canceled})
	}
}

// Server returns what is known of a node.
func (m *Matcher) Server(n ident.Node) (Server, bool) {
	s, ok := m.servers[n]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

// Waiting returns the number of items that wait.
func (m *Matcher) Waiting() int { return len(m.waiting) }

// LiveServers returns the servers of a service that are alive, by node.
func (m *Matcher) LiveServers(now clock.Millis, svc ident.Service) []Server {
	p, ok := m.pools[svc]
	if !ok {
		return nil
	}
	var out []Server
	for _, s := range p.all {
		if now-s.heard <= m.p.LivenessTimeout {
			out = append(out, s.Server)
		}
	}
	return out
}

// Counts are events since the start.
type Counts struct {
	Granted int // first attempts and further ones
	Hedged  int
	Retried int
	Shed    int // refused on arrival
	Expired int // refused after waiting
}

// Counts returns the events since the start.
func (m *Matcher) Counts() Counts { return m.counts }

// Health is how the matcher judges a server.
type Health struct {
	Node      ident.Node
	InFlight  int  // own work in progress there
	Slow      bool // gets probes only
	Available bool // may get work now
}

// Health returns the judgement of all servers, by service and node.
func (m *Matcher) Health() []Health {
	var out []Health
	for _, p := range m.order {
		for _, s := range p.all {
			out = append(out, Health{Node: s.Node, InFlight: s.own, Slow: s.pace.Slow(), Available: s.counted > 0})
		}
	}
	return out
}
