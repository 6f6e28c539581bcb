// Package peers keeps the membership of one node: it reads the platform's VM
// list, takes in direct contacts, and publishes the view by an atomic pointer,
// so that readers take no lock. The rules stand in package roster.
//
// # Usage
//
//	p := peers.New(peers.Params{Self: self, Policy: roster.Standard(), VMs: vms, ...})
//	go p.Run(ctx)
//	for _, e := range p.View().Entries() { ... }
//	vm, mine := p.Owner("round/7")
package peers

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/decide/spread"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Params are what the membership needs to run.
type Params struct {
	Self         roster.Member
	Policy       roster.Policy
	PollInterval clock.Millis // between looks at the VM list
	VMs          plat.VMLister
	Clock        clock.Clock
	Log          zerolog.Logger
}

// View is the membership at one moment. It is immutable.
type View struct {
	members []roster.Member
	byName  map[ident.Node]roster.Member
	entries []ident.Node
}

func newView(ms []roster.Member) *View {
	v := &View{members: ms, byName: make(map[ident.Node]roster.Member, len(ms))}
	for _, m := range ms {
		v.byName[m.Node] = m
		if m.Entry && !m.Leaving {
			v.entries = append(v.entries, m.Node)
		}
	}
	return v
}

// Entries returns the names of all entries that take work, sorted.
func (v *View) Entries() []ident.Node { return slices.Clone(v.entries) }

// Members returns all nodes by name. The slice must not be changed.
func (v *View) Members() []roster.Member { return v.members }

// Find returns a node by name.
func (v *View) Find(n ident.Node) (roster.Member, bool) {
	m, ok := v.byName[n]
	return m, ok
}

// IsLeaving reports whether a node is known to leave.
func (v *View) IsLeaving(n ident.Node) bool { return v.byName[n].Leaving }

// Peers follows the membership. It is safe for concurrent use.
type Peers struct {
	p    Params
	view atomic.Pointer[View]

	mu      sync.Mutex
	roster  *roster.Roster
	listed  clock.Millis // instant at which the list was last believed
	failing bool         // the last read of the list failed
}

// New returns a membership that knows only its own node.
func New(p Params) *Peers {
	s := &Peers{p: p, roster: roster.New(p.Policy, p.Self), listed: p.Clock.Now()}
	s.publish()
	return s
}

// publish shows the members of this moment; the lock is held, or not yet
// needed.
func (s *Peers) publish() { s.view.Store(newView(s.roster.Members(s.p.Clock.Now()))) }

// View returns the membership as it is known now.
func (s *Peers) View() *View { return s.view.Load() }

// What reading the VM list may cost a node.
const (
	lineBytes  = 100  // bytes of one line
	listBudget = 2000 // bytes/s
)

// PollInterval returns the time between reads of a list of some lines. Each node
// reads a long list seldom; what one of them sees as leaving, all learn.
func PollInterval(poll clock.Millis, lines int) clock.Millis {
	return max(poll, clock.Millis(lines)*lineBytes*clock.Second/listBudget)
}

// Run follows the VM list until the context ends, and shows the members anew
// in each poll, since leases end without an event.
func (s *Peers) Run(ctx context.Context) {
	next := clock.Millis(0)
	clock.Repeat(ctx, s.p.PollInterval, func() {
		if now := s.p.Clock.Now(); now >= next {
			next = now + s.readNext(ctx)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.publish()
	})
}

// readNext reads the VM list and returns the time until the next read.
func (s *Peers) readNext(ctx context.Context) clock.Millis {
	lines := s.poll(ctx)
	wait := PollInterval(s.p.PollInterval, lines)
	next := wait - s.p.PollInterval/2
	if wait > s.p.PollInterval {
		next -= rand.N(wait / 4) //nolint:gosec // spreads the reads of many nodes.
	}
	return next
}

// noteList logs when the VM list begins to fail and when it is back. The lock
// is held.
func (s *Peers) noteList(err error) {
	switch {
	case err != nil && !s.failing:
		s.p.Log.Warn().Err(err).Msg("VM list failed, the last one stays.")
	case err == nil && s.failing:
		s.p.Log.Info().Msg("VM list is back.")
	}
	s.failing = err != nil
}

// poll takes in the list and returns its length. Without an answer the last
// list stays.
func (s *Peers) poll(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, s.p.Policy.LivenessTimeout.Duration())
	defer cancel()
	vms, err := s.p.VMs.List(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteList(err)
	if err != nil {
		return 0
	}
	now := s.p.Clock.Now()
	if !s.roster.SetListed(now, members(vms)) {
		s.p.Log.Warn().Msg("VM list is empty, the last one stays.")
		return 0
	}
	s.listed = now
	return len(vms)
}

func members(vms []plat.VM) []roster.Member {
	out := make([]roster.Member, 0, len(vms))
	for _, vm := range vms {
		out = append(out, roster.Member{
			Node:    vm.Node,
			Entry:   vm.Role == plat.RoleEntry,
			Addr:    vm.Addr,
			Zone:    vm.Zone,
			Region:  vm.Region,
			Leaving: vm.Leaving,
		})
	}
	return out
}

// RecordContact takes in a direct contact. It reports whether it is of the node's
// present incarnation; one of an older incarnation must be dropped.
func (s *Peers) RecordContact(c roster.Contact) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.View()
	ok := s.roster.RecordContact(s.p.Clock.Now(), c)
	if m, known := before.Find(c.Node); !known || m != c.Member {
		s.publish()
	}
	return ok
}

// RecordFailure notes that a node did not answer a call.
func (s *Peers) RecordFailure(n ident.Node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.roster.RecordFailure(s.p.Clock.Now(), n)
}

// MergeDead takes in the nodes that a peer counts as dead.
func (s *Peers) MergeDead(ds []roster.Departure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range ds {
		s.roster.MergeDead(s.p.Clock.Now(), d)
	}
}

// MergeLeaving takes in the nodes that another node's list showed as leaving.
func (s *Peers) MergeLeaving(gs []roster.Departure) {
	if len(gs) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range gs {
		s.roster.MergeLeaving(s.p.Clock.Now(), g)
	}
	s.publish()
}

// RecentlyLeaving returns the nodes that a list showed as leaving a short time ago.
func (s *Peers) RecentlyLeaving() []roster.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.RecentlyLeaving(s.p.Clock.Now())
}

// RecentlyDead returns the entries that count as dead, for the peers.
func (s *Peers) RecentlyDead() []roster.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.RecentlyDead(s.p.Clock.Now())
}

// ListAge returns the time since the VM list was last read and believed.
func (s *Peers) ListAge() clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.p.Clock.Now() - s.listed
}

// ProbeTargets returns the entries that this node calls.
func (s *Peers) ProbeTargets() []roster.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.ProbeTargets()
}

// Nearest returns the entries to which an agent of a service reports, also
// those that leave: they finish work in progress.
func (s *Peers) Nearest(svc ident.Service, n int) []roster.Member {
	return s.NearestTo(svc, s.p.Self.Zone, s.p.Self.Region, n)
}

// NearestTo returns the entries to which the agents of a service in a zone
// report.
func (s *Peers) NearestTo(svc ident.Service, z ident.Zone, r ident.Region, n int) []roster.Member {
	var es []roster.Member
	for _, m := range s.View().members {
		if m.Entry {
			es = append(es, m)
		}
	}
	return roster.Nearest(string(svc)+"/"+string(z), es, z, r, n)
}

// Owner returns the entry that owns a key, and whether it is this one.
func (s *Peers) Owner(key string) (roster.Member, bool) {
	v := s.View()
	n, ok := spread.Owner(key, v.entries)
	if !ok || n == s.p.Self.Node {
		return s.p.Self, true
	}
	return v.byName[n], false
}

// IsCandidate reports whether this node is one of the first n entries for a key.
func (s *Peers) IsCandidate(key string, n int) bool {
	return slices.Contains(spread.Top(key, s.View().entries, n), s.p.Self.Node)
}
