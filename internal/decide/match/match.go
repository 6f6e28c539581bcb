// Package match decides which waiting work goes to which backend server.
//
// Work waits at the entry and is bound late: only when a server has a free
// slot as far as the entry can know. The package keeps no time and does no
// I/O; its caller feeds events and carries out the grants.
//
// # Usage
//
//	m := match.New(match.Standard())
//	m.Report(now, server)
//	err := m.Arrive(now, item)
//	for _, g := range m.Next(now) { submit(g.Item, g.Node) }
//	m.Finish(now, g.Item, g.Node)
package match

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/fault"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/base/sets"
)

// Policy selects how the decision is made.
type Policy struct {
	Lease    clock.Millis // a server not heard of for so long is not used
	MaxQueue int          // items that wait in one class
}

// Standard returns the policy of the product.
func Standard() Policy { return Policy{Lease: 3 * clock.Second, MaxQueue: 10000} }

// Item is one piece of work that waits for a server.
type Item struct {
	ID       uint64
	Class    ident.Class
	Service  ident.Service
	StartBy  clock.Millis  // arrival plus the waiting target
	Deadline clock.Millis  // not started after this instant; 0 for none
	Floor    ident.Version // oldest version that may run it
	Avoid    sets.Set[ident.Node]
}

// Server is what the entry knows of one agent and its backend server.
type Server struct {
	Node    ident.Node
	Boot    ident.Incarnation // of the agent
	Addr    string
	Zone    ident.Zone
	Region  ident.Region
	Service ident.Service
	Version ident.Version
	Loading bool
	Leaving bool
	Slots   int
	Running int
}

// Grant sends an item to a node.
type Grant struct {
	Item uint64
	Node ident.Node
}

// Refusal ends the waiting of an item.
type Refusal struct {
	Item uint64
	Err  error
}

type server struct {
	Server
	heard clock.Millis
	sent  int // own items in flight
}

// Matcher holds the waiting work and the servers of one entry.
type Matcher struct {
	p       Policy
	servers map[ident.Node]*server
	waiting []Item
	flight  map[uint64]ident.Node
}

// New returns an empty matcher.
func New(p Policy) *Matcher {
	return &Matcher{p: p, servers: make(map[ident.Node]*server), flight: make(map[uint64]ident.Node)}
}

// Report takes in what a server's agent says of it.
func (m *Matcher) Report(now clock.Millis, s Server) {
	old, ok := m.servers[s.Node]
	if !ok {
		old = &server{}
		m.servers[s.Node] = old
	}
	old.Server = s
	old.heard = now
}

// Gone forgets a server.
func (m *Matcher) Gone(n ident.Node) { delete(m.servers, n) }

// Arrive puts an item into its queue, or refuses it.
func (m *Matcher) Arrive(_ clock.Millis, it Item) error {
	n := 0
	for _, w := range m.waiting {
		if w.Class == it.Class {
			n++
		}
	}
	if n >= m.p.MaxQueue {
		return fault.New(fault.Overloaded, "queue of class "+string(it.Class)+" is full").After(clock.Second)
	}
	m.waiting = append(m.waiting, it)
	return nil
}

// Remove takes an item out of its queue.
func (m *Matcher) Remove(id uint64) {
	m.waiting = slices.DeleteFunc(m.waiting, func(it Item) bool { return it.ID == id })
}

// Finish frees the slot that an item had on a node.
func (m *Matcher) Finish(id uint64) {
	n, ok := m.flight[id]
	if !ok {
		return
	}
	delete(m.flight, id)
	if s, ok := m.servers[n]; ok {
		s.sent--
	}
}

// Next binds waiting items to servers. Items past their deadline are refused.
func (m *Matcher) Next(now clock.Millis) (grants []Grant, refused []Refusal) {
	slices.SortStableFunc(m.waiting, func(a, b Item) int { return cmp.Compare(a.StartBy, b.StartBy) })
	keep := m.waiting[:0]
	for _, it := range m.waiting {
		if it.Deadline > 0 && now >= it.Deadline {
			refused = append(refused, Refusal{it.ID, fault.New(fault.PastDeadline, "the deadline passed before the work was started")})
			continue
		}
		s := m.pick(now, it)
		if s == nil {
			keep = append(keep, it)
			continue
		}
		s.sent++
		m.flight[it.ID] = s.Node
		grants = append(grants, Grant{it.ID, s.Node})
	}
	m.waiting = keep
	return grants, refused
}

// pick returns the least used server that may run the item, or nil.
func (m *Matcher) pick(now clock.Millis, it Item) *server {
	var best *server
	for _, s := range m.servers {
		if !m.fits(now, s, it) {
			continue
		}
		if best == nil || less(s, best) {
			best = s
		}
	}
	return best
}

func (m *Matcher) fits(now clock.Millis, s *server, it Item) bool {
	switch {
	case s.Service != it.Service, s.Leaving, s.Loading:
		return false
	case now-s.heard > m.p.Lease:
		return false
	case s.Version < it.Floor, it.Avoid.Has(s.Node):
		return false
	}
	return max(s.sent, s.Running) < s.Slots
}

func less(a, b *server) bool {
	if c := cmp.Compare(max(a.sent, a.Running), max(b.sent, b.Running)); c != 0 {
		return c < 0
	}
	return a.Node < b.Node
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

// Hosts returns the servers of a service that are alive, by node.
func (m *Matcher) Hosts(now clock.Millis, svc ident.Service) []Server {
	var out []Server
	for _, s := range m.servers {
		if s.Service == svc && now-s.heard <= m.p.Lease {
			out = append(out, s.Server)
		}
	}
	slices.SortFunc(out, func(a, b Server) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
