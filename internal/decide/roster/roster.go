// Package roster decides which nodes there are, from the platform's list of
// VMs, which lags and is at times wrong, and from direct contact.
//
// Rules:
//
//  1. An empty list is not believed: this node at least is running.
//  2. A node is a member while it is listed, or was heard within the lease. So
//     a list that forgets a live node does no harm for as long as that node
//     speaks.
//  3. A node that was called and did not answer for a lease is dead, whatever
//     the list says, until it is heard again.
//  4. A node that a peer found dead counts as dead for a lease from then on,
//     unless this node heard it since. Not everyone calls everyone.
//  5. A node leaves if the list or the node itself says so, or if a node that
//     read the list told so a short time ago: in a large deployment each node
//     reads the list seldom, and all together often.
//  6. A new incarnation of a node replaces the old one, and the old one is not
//     heard any more: its late messages say nothing.
//  7. An address belongs to the node that was heard there last; another node
//     that the list still shows there is dead.
//  8. Each entry calls a bounded number of others. Half of them are its
//     successors on a ring, so that each entry is called by as many; the other
//     half is chosen by rendezvous hashing, so that news spread fast.
//
// # Usage
//
//	r := roster.New(roster.Standard(), self)
//	r.List(now, members)
//	r.Heard(now, contact)
//	r.Failed(now, "entry-3")
//	for _, m := range r.Members(now) { ... }
package roster

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
)

// Policy holds the bounds of the membership.
type Policy struct {
	LivenessTimeout clock.Millis // a node that is not heard for so long is dead
	Fanout          int          // entries that one node calls
}

// DefaultPolicy returns the policy of the product. The fan-out covers a deployment
// of up to nine entries, in which each entry calls every other one.
func DefaultPolicy() Policy { return Policy{LivenessTimeout: 3 * clock.Second, Fanout: 8} }

// Member is one node.
type Member struct {
	Node    ident.Node
	Entry   bool   // an entry, else an agent
	Addr    string // inner address, IP:port
	Zone    ident.Zone
	Region  ident.Region
	Leaving bool
}

// Contact is what a node said of itself.
type Contact struct {
	Member
	Boot ident.Incarnation
}

// maxPast bounds the incarnations remembered of one node.
const maxPast = 4

type node struct {
	listed  bool
	list    Member
	said    Contact
	heard   clock.Millis // instant of the last contact, 0 for none
	missed  clock.Millis // instant of the first failed call since, 0 for none
	going   clock.Millis // instant at which a list showed it as leaving, 0 for none
	told    clock.Millis // instant at which a peer found it dead, 0 for none
	usurped bool         // another node was heard at its address
	past    []ident.Incarnation
}

// Roster is the membership as one node sees it. It is not safe for concurrent
// use.
type Roster struct {
	p     Policy
	self  Member
	nodes map[ident.Node]*node
}

// New returns a roster that knows only its own node.
func New(p Policy, self Member) *Roster {
	r := &Roster{p: p, self: self, nodes: make(map[ident.Node]*node)}
	r.at(self.Node).list = self
	return r
}

func (r *Roster) at(n ident.Node) *node {
	s, ok := r.nodes[n]
	if !ok {
		s = &node{}
		r.nodes[n] = s
	}
	return s
}

// SetListed takes in the platform's list. It reports whether the list is believed.
func (r *Roster) SetListed(now clock.Millis, ms []Member) bool {
	if len(ms) == 0 {
		return false // rule 1
	}
	for _, s := range r.nodes {
		s.listed = false
	}
	for _, m := range ms {
		s := r.at(m.Node)
		s.listed = true
		if s.list.Addr != m.Addr {
			s.usurped, s.missed = false, 0
		}
		s.list = m
		s.going = 0
		if m.Leaving {
			s.going = now
		}
	}
	for n, s := range r.nodes {
		if n != r.self.Node && !s.listed && !r.isHeard(now, s) {
			delete(r.nodes, n) // rule 2
		}
	}
	return true
}

func (r *Roster) isHeard(now clock.Millis, s *node) bool {
	return s.heard != 0 && now-s.heard < r.p.LivenessTimeout
}

// RecordContact takes in a direct contact. It reports whether the contact is of the
// node's present incarnation.
func (r *Roster) RecordContact(now clock.Millis, c Contact) bool {
	s := r.at(c.Node)
	if slices.Contains(s.past, c.Boot) {
		return false // rule 6
	}
	if s.said.Boot != 0 && s.said.Boot != c.Boot {
		s.past = append(s.past, s.said.Boot)
		s.past = s.past[max(0, len(s.past)-maxPast):]
	}
	s.said = c
	s.heard = now
	s.missed, s.told, s.usurped = 0, 0, false
	for n, o := range r.nodes {
		if n != c.Node && c.Addr != "" && o.member().Addr == c.Addr {
			o.usurped = true // rule 7
		}
	}
	return true
}

// RecordFailure notes that a node did not answer a call.
func (r *Roster) RecordFailure(now clock.Millis, n ident.Node) {
	if s, ok := r.nodes[n]; ok && s.missed == 0 {
		s.missed = now
	}
}

// Departure is a node that counts as dead or leaving, with the time since some
// node found it so by itself.
type Departure struct {
	Node ident.Node
	Age  clock.Millis
}

// goingFor is how long the word of another node's list is believed.
const goingFor = 30 * clock.Second

// RecentlyLeaving returns the nodes that a list showed as leaving a short time ago, by
// name, for other nodes.
func (r *Roster) RecentlyLeaving(now clock.Millis) []Departure {
	var out []Departure
	for n, s := range r.nodes {
		if s.isGoing(now) {
			out = append(out, Departure{Node: n, Age: now - s.going})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func (s *node) isGoing(now clock.Millis) bool { return s.going != 0 && now-s.going < goingFor }

// MergeLeaving takes in that another node's list showed a node as leaving.
func (r *Roster) MergeLeaving(now clock.Millis, g Departure) {
	if s, ok := r.nodes[g.Node]; ok {
		s.going = max(s.going, now-g.Age) // rule 5
	}
}

// MergeDead takes in that a peer counts a node as dead.
func (r *Roster) MergeDead(now clock.Millis, d Departure) {
	s, ok := r.nodes[d.Node]
	found := now - d.Age
	if ok && d.Node != r.self.Node && s.heard < found {
		s.told = max(s.told, found) // rule 4
	}
}

// RecentlyDead returns the entries that this node or a peer found dead within the
// lease, by name. They are told to the peers that this node calls; the age
// keeps a rumour from going round for ever.
func (r *Roster) RecentlyDead(now clock.Millis) []Departure {
	var out []Departure
	for n, s := range r.nodes {
		switch {
		case !s.member().Entry:
		case r.isSilent(now, s):
			out = append(out, Departure{Node: n})
		case r.isTold(now, s):
			out = append(out, Departure{Node: n, Age: now - s.told})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// isSilent applies rule 3.
func (r *Roster) isSilent(now clock.Millis, s *node) bool {
	return s.missed != 0 && now-max(s.missed, s.heard) >= r.p.LivenessTimeout
}

func (r *Roster) isTold(now clock.Millis, s *node) bool {
	return s.told != 0 && now-s.told < r.p.LivenessTimeout
}

func (r *Roster) isDead(now clock.Millis, s *node) bool {
	return s.usurped || r.isTold(now, s) || r.isSilent(now, s)
}

// member returns what is known of a node; its own word goes before the list.
func (s *node) member() Member {
	if s.heard == 0 {
		return s.list
	}
	m := s.said.Member
	m.Leaving = m.Leaving || s.listed && s.list.Leaving // rule 5
	return m
}

// view returns a node as it counts at an instant.
func (s *node) view(now clock.Millis) Member {
	m := s.member()
	m.Leaving = m.Leaving || s.isGoing(now) // rule 5
	return m
}

// Members returns all nodes that are alive, by name, with this one.
func (r *Roster) Members(now clock.Millis) []Member {
	out := []Member{r.me(now)}
	for n, s := range r.nodes {
		if n == r.self.Node || r.isDead(now, s) || !s.listed && !r.isHeard(now, s) {
			continue
		}
		out = append(out, s.view(now))
	}
	sortByName(out)
	return out
}

// me returns this node; the list can tell it to leave.
func (r *Roster) me(now clock.Millis) Member {
	m := r.self
	s := r.nodes[r.self.Node]
	m.Leaving = s.listed && s.list.Leaving || s.isGoing(now)
	return m
}

func sortByName(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
}

// ProbeTargets returns the entries that this node calls, also those that are dead,
// so that their return is seen.
func (r *Roster) ProbeTargets() []Member {
	var names []ident.Node
	for n, s := range r.nodes {
		if n != r.self.Node && s.member().Entry {
			names = append(names, n)
		}
	}
	if len(names) > r.p.Fanout { // rule 8
		ring := spread.Successors(r.self.Node, names, r.p.Fanout/2)
		names = slices.DeleteFunc(names, func(n ident.Node) bool { return slices.Contains(ring, n) })
		names = append(ring, spread.Top(string(r.self.Node), names, r.p.Fanout-len(ring))...)
	}
	out := make([]Member, 0, len(names))
	for _, n := range names {
		out = append(out, r.nodes[n].member())
	}
	sortByName(out)
	return out
}

// Nearest returns up to n members for a key: those of a zone first, then those
// of its region, then others, each by rendezvous hashing.
func Nearest(key string, ms []Member, zone ident.Zone, region ident.Region, n int) []Member {
	if len(ms) <= n {
		return ms
	}
	by := make(map[ident.Node]Member, len(ms))
	names := make([]ident.Node, 0, len(ms))
	for _, m := range ms {
		by[m.Node] = m
		names = append(names, m.Node)
	}
	out := make([]Member, 0, len(ms))
	for _, name := range spread.Top(key, names, len(names)) {
		out = append(out, by[name])
	}
	far := func(m Member) int {
		switch {
		case m.Zone == zone:
			return 0
		case m.Region == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(far(a), far(b)) })
	return out[:n]
}
