// Package match assigns the waiting work of an entry to backend servers.
//
// Work waits in queues at the entry and is assigned only when a server appears
// to have a free slot. The package reads no clock and does no I/O: the caller
// passes in events with their time and carries out the grants. The same events
// always give the same decisions.
//
// The code refers to the following rules by number:
//
//  1. There is one queue for each class, group of answer sizes and minimum
//     version, ordered by slack. The order doesn't change as time passes.
//  2. Each class belongs to a priority band: short, long or round. Bands are
//     served in this order, and within a band the least slack goes first.
//  3. Long work and rounds leave free the slots that short work needs by its
//     measured demand. Rounds leave some more slots free for callers.
//  4. A band that uses less than its minimum share of the slots is served
//     first, so that no band starves.
//  5. Work that runs far longer than its class's estimate counts as long.
//  6. The load of a server is the entry's own work there, which is known
//     exactly, plus the work of other entries in the server's last report.
//     After a refusal or a failure a server gets no work, only short work, or no
//     crash suspects until its backoff ends.
//  7. Servers in the same zone are preferred, then those in the same region.
//     Another region is used only when the target is at risk or this region has
//     no usable server, and within a budget of bytes.
//  8. A request goes to the server preferred for its prompt prefix, unless
//     that server has more than its share of the load.
//  9. A slow server gets one probe at a time, of latency-tolerant work.
//  10. Work is refused on arrival if it would wait beyond its target, and later
//     when its deadline or target has passed. Rounds keep waiting.
//  11. A retry is withdrawn from the retry budget, a hedge from the hedge
//     budget. Only short work that may run twice is hedged. A retry of a crash
//     suspect needs no withdrawal, because rule 12 limits it: one crash breaks off
//     as many requests as the server has slots.
//  12. Two crash suspects never run on one server at the same time.
//  13. Reports may be seconds old. Short work that has waited for a quarter of
//     its target may go to a server whose last report shows that the work of
//     other entries fills its slots. The server's agent refuses any excess.
//
// # Usage
//
//	m := match.New(match.DefaultPolicy())
//	m.Report(now, server)
//	err := m.Enqueue(now, item)
//	grants, refused := m.Dispatch(now)
//	m.Progress(now, g.Item, g.Node, tokens)
//	m.Finish(now, g.Item, g.Node, match.Result{Outcome: match.Served})
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

// Matcher holds the waiting items, the items in progress and the servers of one
// entry.
type Matcher struct {
	policy           Policy
	rng              *rand.Rand
	servers          map[ident.Node]*server
	pools            map[ident.Service]*pool
	poolsByService   []*pool // sorted by service, so that decisions never depend on map order
	queueOf          map[uint64]*workQueue
	expiries         *queue.Queue[uint64] // waiting items by the time at which they are refused
	active           map[uint64]*activeItem
	hedgeTimers      *queue.Queue[uint64] // active items by the time of their hedge
	longTimers       *queue.Queue[uint64] // active items by the time from which they count as long
	crossRegionBytes *budget.Bucket
	lastSweep        clock.Millis
	counts           Counts
}

// New returns an empty matcher.
func New(p Policy) *Matcher {
	return &Matcher{
		policy:           p,
		rng:              rand.New(rand.NewPCG(p.Seed, 0)),
		servers:          make(map[ident.Node]*server),
		pools:            make(map[ident.Service]*pool),
		queueOf:          make(map[uint64]*workQueue),
		expiries:         queue.New[uint64](),
		active:           make(map[uint64]*activeItem),
		hedgeTimers:      queue.New[uint64](),
		longTimers:       queue.New[uint64](),
		crossRegionBytes: budget.NewBucket(p.CrossRegionRate, p.CrossRegionRate*crossRegionBurst.Seconds()),
	}
}

// SetCrossRegionRate changes how many bytes per second may go to other
// regions. It is called when the number of entries that share the link changes.
func (m *Matcher) SetCrossRegionRate(rate float64) {
	m.crossRegionBytes.SetRate(rate, rate*crossRegionBurst.Seconds())
}

// Report merges the report of a server's agent. A report that is not newer than
// the last one is dropped.
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
		s.backoffUntil, s.longBackoffUntil, s.suspectBackoffUntil, s.failures = 0, 0, 0, 0
	}
	s.Server = sv
	s.lastSeen = now
	s.tracker.SetReported(sv.TokenRate, sv.TimeToFirstToken)
	s.pool.newestVersion = max(s.pool.newestVersion, sv.Version)
	s.updateCapacity(now, m.policy)
}

// attach adds a server to the pool of its service.
func (m *Matcher) attach(sv Server) *server {
	s, ok := m.servers[sv.Node]
	if !ok {
		s = &server{}
		m.servers[sv.Node] = s
	}
	s.removed = false
	s.pool = m.poolFor(sv.Service)
	s.locality = m.policy.locality(sv)
	s.pool.servers = append(s.pool.servers, s)
	s.Server = sv
	slices.SortFunc(s.pool.servers, func(a, b *server) int { return cmp.Compare(a.Node, b.Node) })
	s.pool.ring.Add(string(sv.Node), s)
	return s
}

// detach removes a server from its pool.
func (m *Matcher) detach(s *server) {
	p := s.pool
	s.removed = true
	s.clearCapacity()
	p.servers = slices.DeleteFunc(p.servers, func(o *server) bool { return o == s })
	p.ring.Remove(string(s.Node))
}

// RemoveServer removes a server. Attempts that run there remain active until
// Finish.
func (m *Matcher) RemoveServer(n ident.Node) {
	if s, ok := m.servers[n]; ok {
		m.detach(s)
		delete(m.servers, n)
	}
}

func (m *Matcher) poolFor(svc ident.Service) *pool {
	if p, ok := m.pools[svc]; ok {
		return p
	}
	p := newPool(svc, m.policy)
	m.pools[svc] = p
	m.poolsByService = append(m.poolsByService, p)
	slices.SortFunc(m.poolsByService, func(a, b *pool) int { return cmp.Compare(a.service, b.service) })
	return p
}

// Enqueue adds an item to its queue. An error means that the item was refused
// and did not run.
func (m *Matcher) Enqueue(now clock.Millis, it Item) error {
	p := m.poolFor(it.Service)
	cs := p.statsFor(it.Class, it.sizeGroup())
	if it.Deadline > 0 && now >= it.Deadline {
		return fault.New(fault.PastDeadline, "the deadline passed before the work arrived")
	}
	if err := m.shedOnArrival(now, cs, &it); err != nil {
		m.counts.Shed++
		return err
	}
	if err := p.withdrawRetry(&it); err != nil {
		m.counts.Shed++
		return err
	}
	if it.Retry && !it.Requeued {
		m.counts.Retried++
	}
	wq := p.queueFor(queueKey{it.Class, it.MinVersion, it.sizeGroup(), it.Round})
	wq.stats = cs
	it.arrivedAt = now
	wq.items.Push(it.ID, it.latestStart(cs), it)
	cs.countWaiting(&it, 1)
	m.queueOf[it.ID] = wq
	if expiry := it.expiresAt(); expiry > 0 {
		m.expiries.Push(it.ID, expiry, it.ID)
	}
	return nil
}

// shedOnArrival refuses an item that would wait beyond its target, by rule 10.
func (m *Matcher) shedOnArrival(now clock.Millis, cs *classStats, it *Item) error {
	wait := cs.predictedWait(now, it)
	if cs.waiting >= m.policy.MaxQueue {
		return overloaded(it, "its queue is full", max(clock.Second, wait))
	}
	expiry := it.expiresAt()
	if !m.policy.Shed || expiry == 0 || it.Requeued || it.Round {
		return nil
	}
	// Only half of the slack is relied on, because the estimate may be wrong.
	spare := (expiry - now - cs.estimatedRunTime()) / 2
	if cs.ahead(it) > 0 && wait > max(spare, it.StartBy-now) {
		return overloaded(it, "it would wait longer than its target allows", max(minRetryAfter, wait-spare))
	}
	return nil
}

func overloaded(it *Item, why string, retryAfter clock.Millis) error {
	return fault.New(fault.Overloaded, "class "+string(it.Class)+": "+why).WithRetryAfter(retryAfter)
}

// Dequeue removes an item from its queue.
func (m *Matcher) Dequeue(id uint64) { m.dequeue(id) }

// dequeue is Dequeue that returns the item.
func (m *Matcher) dequeue(id uint64) (it Item) {
	wq, ok := m.queueOf[id]
	if !ok {
		return it
	}
	it, _ = wq.items.Remove(id)
	wq.stats.countWaiting(&it, -1)
	m.expiries.Remove(id)
	delete(m.queueOf, id)
	return it
}

// Progress records tokens that an item has produced on a node.
func (m *Matcher) Progress(now clock.Millis, id uint64, n ident.Node, tokens int) {
	att := m.findAttempt(id, n)
	if att == nil {
		return
	}
	att.tokenCount += tokens
	if att.active.item.Round {
		att.server.tracker.ObserveBatch(now, &att.stream, tokens)
		return
	}
	att.server.tracker.ObserveTokens(now, &att.stream, tokens)
}

func (m *Matcher) findAttempt(id uint64, n ident.Node) *attempt {
	a, ok := m.active[id]
	if !ok {
		return nil
	}
	return a.attemptOn(n)
}

// Finish ends an item's attempt on a node and frees its slot. A second call
// has no effect, such as one for the late answer of a canceled attempt.
func (m *Matcher) Finish(now clock.Millis, id uint64, n ident.Node, res Result) {
	att := m.findAttempt(id, n)
	if att == nil {
		return
	}
	a, s := att.active, att.server
	if res.Outcome == Served {
		if att.tokenCount == 0 {
			s.tracker.ObserveCall(now, &att.stream)
		}
		a.stats.recordServed(now-att.startedAt, att.tokenCount)
	}
	s.tracker.End(&att.stream)
	s.endAttempt(now, att, res)
	a.removeAttempt(att)
	a.pool.inFlight[att.band]--
	s.updateCapacity(now, m.policy)
	if len(a.attempts) == 0 {
		m.hedgeTimers.Remove(id)
		m.longTimers.Remove(id)
		delete(m.active, id)
	}
}

// Cancel removes an item from its queue and cancels all its attempts.
func (m *Matcher) Cancel(now clock.Millis, id uint64) {
	m.Dequeue(id)
	a, ok := m.active[id]
	if !ok {
		return
	}
	for _, att := range slices.Clone(a.attempts) {
		m.Finish(now, id, att.server.Node, Result{Outcome: Canceled})
	}
}

// Server returns the last report of a node's server.
func (m *Matcher) Server(n ident.Node) (Server, bool) {
	s, ok := m.servers[n]
	if !ok {
		return Server{}, false
	}
	return s.Server, true
}

// Waiting returns the number of waiting items.
func (m *Matcher) Waiting() int { return len(m.queueOf) }

// LiveServers returns the servers of a service that are alive, sorted by node.
func (m *Matcher) LiveServers(now clock.Millis, svc ident.Service) []Server {
	p, ok := m.pools[svc]
	if !ok {
		return nil
	}
	var out []Server
	for _, s := range p.servers {
		if now-s.lastSeen <= m.policy.LivenessTimeout {
			out = append(out, s.Server)
		}
	}
	return out
}

// Counts holds the number of events since the start.
type Counts struct {
	Granted int // first attempts and retries, without hedges
	Hedged  int
	Retried int
	Shed    int // refused on arrival
	Expired int // refused after waiting
}

// Counts returns the number of events since the start.
func (m *Matcher) Counts() Counts { return m.counts }

// Health is the matcher's view of a server.
type Health struct {
	Node      ident.Node
	InFlight  int  // attempts of this entry in progress there
	Slow      bool // the server gets probes only
	Available bool // the server may get work now
}

// Health returns the health of all servers, sorted by service and node.
func (m *Matcher) Health() []Health {
	var out []Health
	for _, p := range m.poolsByService {
		for _, s := range p.servers {
			out = append(out, Health{
				Node: s.Node, InFlight: s.ownItems, Slow: s.tracker.Slow(), Available: s.countedFree > 0,
			})
		}
	}
	return out
}
