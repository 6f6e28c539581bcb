// Package roster maintains the membership of the cluster as seen by one node.
// Its sources are the platform's list of VMs, which lags and is sometimes
// wrong, and direct contact between nodes.
//
// Rules:
//
//  1. An empty list is ignored, because at least this node is running.
//  2. A node is a member while it is listed, or if it was last seen within the
//     liveness timeout. So a node that is missing from the list stays a member
//     as long as it sends messages.
//  3. A node is dead if all calls to it have failed for the liveness timeout.
//     It stays dead until it is seen again, even if it is listed.
//  4. A node that a peer found dead counts as dead for the liveness timeout,
//     unless this node has seen it since. Nodes rely on such reports, as not
//     every node calls every other one.
//  5. A node is leaving if the list or the node itself says so, or if another
//     node recently reported that the list says so: in a large deployment each
//     node reads the list rarely, but at any time some node has read it
//     recently.
//  6. A new incarnation of a node replaces the old one. Late messages of the
//     old incarnation are ignored.
//  7. An address belongs to the node that was last seen there. Another node
//     that is still listed with that address is dead.
//  8. Each entry calls a bounded number of other entries. Half of them are its
//     successors on a ring, so that every entry is called by equally many. The
//     others are chosen by rendezvous hashing, so that gossip spreads fast.
//
// # Usage
//
//	r := roster.New(roster.DefaultPolicy(), self)
//	r.SetListed(now, members)
//	r.RecordContact(now, contact)
//	r.RecordFailure(now, "entry-3")
//	for _, m := range r.Members(now) { ... }
package roster

import (
	"cmp"
	"slices"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
)

// Policy holds the parameters of the membership.
type Policy struct {
	LivenessTimeout clock.Millis // a node that doesn't respond for this long is dead
	Fanout          int          // maximum number of entries that one node calls
}

// DefaultPolicy returns the default policy. Its fan-out lets each entry call
// every other one in deployments of up to nine entries.
func DefaultPolicy() Policy { return Policy{LivenessTimeout: 3 * clock.Second, Fanout: 8} }

// Member is one node.
type Member struct {
	Node    ident.Node
	Entry   bool   // an entry if true, an agent otherwise
	Addr    string // inner address, IP:port
	Zone    ident.Zone
	Region  ident.Region
	Leaving bool
}

// Contact is what a node reported about itself.
type Contact struct {
	Member
	Incarnation ident.Incarnation
}

// maxPastIncarnations bounds the replaced incarnations that are kept per node.
const maxPastIncarnations = 4

// nodeState is what is known about one node. Times are 0 if the event did not
// occur.
type nodeState struct {
	listed           bool         // whether the last list contained the node
	listing          Member       // the node as last listed
	contact          Contact      // what the node last reported
	lastSeen         clock.Millis // last contact
	failedSince      clock.Millis // first failed call since the last contact
	leavingSeenAt    clock.Millis // last time at which a list showed the node as leaving
	reportedDeadAt   clock.Millis // last time at which a peer found the node dead
	addressTaken     bool         // another node was seen at the address
	pastIncarnations []ident.Incarnation
}

// Roster is the membership as seen by one node. It is not safe for concurrent
// use.
type Roster struct {
	policy Policy
	self   Member
	nodes  map[ident.Node]*nodeState
}

// New returns a roster that holds only the node itself.
func New(policy Policy, self Member) *Roster {
	r := &Roster{policy: policy, self: self, nodes: make(map[ident.Node]*nodeState)}
	r.getOrAdd(self.Node).listing = self
	return r
}

// getOrAdd returns the state of a node, adding it if it is not known.
func (r *Roster) getOrAdd(n ident.Node) *nodeState {
	s, ok := r.nodes[n]
	if !ok {
		s = &nodeState{}
		r.nodes[n] = s
	}
	return s
}

// SetListed applies the platform's list. It reports false if it ignored the
// list.
func (r *Roster) SetListed(now clock.Millis, ms []Member) bool {
	if len(ms) == 0 {
		return false // rule 1
	}
	for _, s := range r.nodes {
		s.listed = false
	}
	for _, m := range ms {
		s := r.getOrAdd(m.Node)
		s.listed = true
		if s.listing.Addr != m.Addr {
			s.addressTaken, s.failedSince = false, 0
		}
		s.listing = m
		s.leavingSeenAt = 0
		if m.Leaving {
			s.leavingSeenAt = now
		}
	}
	for n, s := range r.nodes {
		if n != r.self.Node && !s.listed && !r.isRecentlySeen(now, s) {
			delete(r.nodes, n) // rule 2
		}
	}
	return true
}

func (r *Roster) isRecentlySeen(now clock.Millis, s *nodeState) bool {
	return s.lastSeen != 0 && now-s.lastSeen < r.policy.LivenessTimeout
}

// RecordContact records a direct contact. It reports false, and ignores the
// contact, if the node's incarnation has been replaced.
func (r *Roster) RecordContact(now clock.Millis, c Contact) bool {
	s := r.getOrAdd(c.Node)
	if slices.Contains(s.pastIncarnations, c.Incarnation) {
		return false // rule 6
	}
	if s.contact.Incarnation != 0 && s.contact.Incarnation != c.Incarnation {
		s.pastIncarnations = append(s.pastIncarnations, s.contact.Incarnation)
		s.pastIncarnations = s.pastIncarnations[max(0, len(s.pastIncarnations)-maxPastIncarnations):]
	}
	s.contact = c
	s.lastSeen = now
	s.failedSince, s.reportedDeadAt, s.addressTaken = 0, 0, false
	for n, o := range r.nodes {
		if n != c.Node && c.Addr != "" && o.member().Addr == c.Addr {
			o.addressTaken = true // rule 7
		}
	}
	return true
}

// RecordFailure records that a call to a node failed.
func (r *Roster) RecordFailure(now clock.Millis, n ident.Node) {
	if s, ok := r.nodes[n]; ok && s.failedSince == 0 {
		s.failedSince = now
	}
}

// Departure is a node that was found dead or leaving. Age is the time since a
// node observed this itself, not since it received a report.
type Departure struct {
	Node ident.Node
	Age  clock.Millis
}

// leavingRetention is how long a list's statement that a node is leaving stays
// valid.
const leavingRetention = 30 * clock.Second

// RecentlyLeaving returns the nodes that a list recently showed as leaving,
// sorted by name, to be reported to other nodes.
func (r *Roster) RecentlyLeaving(now clock.Millis) []Departure {
	var out []Departure
	for n, s := range r.nodes {
		if s.isRecentlyLeaving(now) {
			out = append(out, Departure{Node: n, Age: now - s.leavingSeenAt})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

func (s *nodeState) isRecentlyLeaving(now clock.Millis) bool {
	return s.leavingSeenAt != 0 && now-s.leavingSeenAt < leavingRetention
}

// MergeLeaving merges the report that another node's list showed a node as
// leaving.
func (r *Roster) MergeLeaving(now clock.Millis, d Departure) {
	if s, ok := r.nodes[d.Node]; ok {
		s.leavingSeenAt = max(s.leavingSeenAt, now-d.Age) // rule 5
	}
}

// MergeDead merges a peer's report that a node is dead.
func (r *Roster) MergeDead(now clock.Millis, d Departure) {
	s, ok := r.nodes[d.Node]
	foundAt := now - d.Age
	if ok && d.Node != r.self.Node && s.lastSeen < foundAt {
		s.reportedDeadAt = max(s.reportedDeadAt, foundAt) // rule 4
	}
}

// RecentlyDead returns the entries that this node finds dead, or that a peer
// found dead within the liveness timeout, sorted by name. They are reported to
// the peers that this node calls; because reports carry their age, they expire
// instead of circulating forever.
func (r *Roster) RecentlyDead(now clock.Millis) []Departure {
	var out []Departure
	for n, s := range r.nodes {
		switch {
		case !s.member().Entry:
		case r.isUnresponsive(now, s):
			out = append(out, Departure{Node: n})
		case r.isReportedDead(now, s):
			out = append(out, Departure{Node: n, Age: now - s.reportedDeadAt})
		}
	}
	slices.SortFunc(out, func(a, b Departure) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// isUnresponsive reports whether all calls to a node have failed for the liveness
// timeout (rule 3).
func (r *Roster) isUnresponsive(now clock.Millis, s *nodeState) bool {
	return s.failedSince != 0 && now-max(s.failedSince, s.lastSeen) >= r.policy.LivenessTimeout
}

func (r *Roster) isReportedDead(now clock.Millis, s *nodeState) bool {
	return s.reportedDeadAt != 0 && now-s.reportedDeadAt < r.policy.LivenessTimeout
}

func (r *Roster) isDead(now clock.Millis, s *nodeState) bool {
	return s.addressTaken || r.isReportedDead(now, s) || r.isUnresponsive(now, s)
}

// member returns what is known about a node. What the node reported itself
// takes precedence over the list.
func (s *nodeState) member() Member {
	if s.lastSeen == 0 {
		return s.listing
	}
	m := s.contact.Member
	m.Leaving = m.Leaving || s.listed && s.listing.Leaving // rule 5
	return m
}

// memberAt is like member, but includes recent reports that the node is
// leaving.
func (s *nodeState) memberAt(now clock.Millis) Member {
	m := s.member()
	m.Leaving = m.Leaving || s.isRecentlyLeaving(now) // rule 5
	return m
}

// Members returns all nodes that are alive, including this one, sorted by name.
func (r *Roster) Members(now clock.Millis) []Member {
	out := []Member{r.selfMember(now)}
	for n, s := range r.nodes {
		if n == r.self.Node || r.isDead(now, s) || !s.listed && !r.isRecentlySeen(now, s) {
			continue
		}
		out = append(out, s.memberAt(now))
	}
	sortByName(out)
	return out
}

// selfMember returns this node, which is leaving if the list says so.
func (r *Roster) selfMember(now clock.Millis) Member {
	m := r.self
	s := r.nodes[r.self.Node]
	m.Leaving = s.listed && s.listing.Leaving || s.isRecentlyLeaving(now)
	return m
}

func sortByName(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
}

// ProbeTargets returns the entries that this node calls. Dead entries are
// included, so that their return is noticed.
func (r *Roster) ProbeTargets() []Member {
	var names []ident.Node
	for n, s := range r.nodes {
		if n != r.self.Node && s.member().Entry {
			names = append(names, n)
		}
	}
	if len(names) > r.policy.Fanout { // rule 8
		ring := spread.Successors(r.self.Node, names, r.policy.Fanout/2)
		names = slices.DeleteFunc(names, func(n ident.Node) bool { return slices.Contains(ring, n) })
		names = append(ring, spread.Top(string(r.self.Node), names, r.policy.Fanout-len(ring))...)
	}
	out := make([]Member, 0, len(names))
	for _, n := range names {
		out = append(out, r.nodes[n].member())
	}
	sortByName(out)
	return out
}

// Nearest returns up to n members for a key: members of the zone first, then of
// the region, then others, in each case in the order of rendezvous hashing.
func Nearest(key string, ms []Member, zone ident.Zone, region ident.Region, n int) []Member {
	if len(ms) <= n {
		return ms
	}
	byName := make(map[ident.Node]Member, len(ms))
	names := make([]ident.Node, 0, len(ms))
	for _, m := range ms {
		byName[m.Node] = m
		names = append(names, m.Node)
	}
	out := make([]Member, 0, len(ms))
	for _, name := range spread.Top(key, names, len(names)) {
		out = append(out, byName[name])
	}
	distance := func(m Member) int {
		switch {
		case m.Zone == zone:
			return 0
		case m.Region == region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(out, func(a, b Member) int { return cmp.Compare(distance(a), distance(b)) })
	return out[:n]
}
