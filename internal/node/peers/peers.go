// Package peers tracks which nodes are in the deployment, as seen by one node.
// It reads the platform's VM list, records direct contacts with other nodes, and
// publishes an immutable [View] through an atomic pointer, so that readers need
// no lock. Package roster defines the rules.
//
// # Usage
//
//	p := peers.New(peers.Params{Self: self, Policy: roster.DefaultPolicy(), VMs: vms, ...})
//	go p.Run(ctx)
//	for _, e := range p.View().Entries() { ... }
//	owner, isSelf := p.Owner("round/7")
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

// Params configures a [Peers].
type Params struct {
	Self         roster.Member // this node
	Policy       roster.Policy
	PollInterval clock.Millis // minimum time between reads of the VM list
	VMs          plat.VMLister
	Clock        clock.Clock
	Log          zerolog.Logger
}

// View is an immutable snapshot of the membership.
type View struct {
	members []roster.Member
	byName  map[ident.Node]roster.Member
	entries []ident.Node // entries that are not leaving
}

func newView(nodes []roster.Member) *View {
	v := &View{members: nodes, byName: make(map[ident.Node]roster.Member, len(nodes))}
	for _, m := range nodes {
		v.byName[m.Node] = m
		if m.Entry && !m.Leaving {
			v.entries = append(v.entries, m.Node)
		}
	}
	return v
}

// Entries returns the names of all entries that accept work, sorted.
func (v *View) Entries() []ident.Node { return slices.Clone(v.entries) }

// Members returns all nodes, sorted by name. The caller must not modify the
// slice.
func (v *View) Members() []roster.Member { return v.members }

// Find returns the node with the given name.
func (v *View) Find(n ident.Node) (roster.Member, bool) {
	m, ok := v.byName[n]
	return m, ok
}

// IsLeaving reports whether a node is known to be leaving.
func (v *View) IsLeaving(n ident.Node) bool { return v.byName[n].Leaving }

// Peers tracks the membership. It is safe for concurrent use.
type Peers struct {
	params Params
	view   atomic.Pointer[View]

	mu          sync.Mutex
	roster      *roster.Roster
	listReadAt  clock.Millis // time at which a list was last accepted
	listFailing bool         // whether the last read of the list failed
}

// New returns a Peers that knows only its own node.
func New(params Params) *Peers {
	p := &Peers{
		params:     params,
		roster:     roster.New(params.Policy, params.Self),
		listReadAt: params.Clock.Now(),
	}
	p.publish()
	return p
}

// publish replaces the view by the current members. The caller holds the lock,
// except in New.
func (p *Peers) publish() { p.view.Store(newView(p.roster.Members(p.params.Clock.Now()))) }

// View returns the latest published membership.
func (p *Peers) View() *View { return p.view.Load() }

// These constants bound the traffic that one node causes by reading the VM list.
const (
	bytesPerLine       = 100  // size of one line of the list
	listBytesPerSecond = 2000 // average rate of reading, for one node
)

// PollInterval returns the time between reads of a VM list that has the given
// number of lines, at least minInterval. Each node reads a long list rarely; the
// nodes that it lists as leaving are gossiped to all others.
func PollInterval(minInterval clock.Millis, lines int) clock.Millis {
	return max(minInterval, clock.Millis(lines)*bytesPerLine*clock.Second/listBytesPerSecond)
}

// Run polls the VM list until the context ends. It publishes the members every
// Params.PollInterval, even if the list is not due to be read, since a liveness
// timeout expires without an event.
func (p *Peers) Run(ctx context.Context) {
	nextRead := clock.Millis(0)
	clock.Repeat(ctx, p.params.PollInterval, func() {
		if now := p.params.Clock.Now(); now >= nextRead {
			nextRead = now + p.pollList(ctx)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		p.publish()
	})
}

// pollList reads the VM list and returns the time until the next read. Half a poll
// interval is subtracted, so that the read falls on the nearest tick of Run.
func (p *Peers) pollList(ctx context.Context) clock.Millis {
	lines := p.readList(ctx)
	wait := PollInterval(p.params.PollInterval, lines)
	next := wait - p.params.PollInterval/2
	if wait > p.params.PollInterval {
		next -= rand.N(wait / 4) //nolint:gosec // spreads out the reads of many nodes
	}
	return next
}

// recordListResult logs the first of several failed reads of the VM list and the
// first success after them. The caller holds the lock.
func (p *Peers) recordListResult(err error) {
	switch {
	case err != nil && !p.listFailing:
		p.params.Log.Warn().Err(err).Msg("peers: reading the VM list failed, keeping the previous one")
	case err == nil && p.listFailing:
		p.params.Log.Info().Msg("peers: the VM list can be read again")
	}
	p.listFailing = err != nil
}

// readList reads and applies the VM list and returns its length. After an error,
// or if the list is empty, it keeps the previous list and returns 0.
func (p *Peers) readList(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, p.params.Policy.LivenessTimeout.Duration())
	defer cancel()
	vms, err := p.params.VMs.List(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordListResult(err)
	if err != nil {
		return 0
	}
	now := p.params.Clock.Now()
	if !p.roster.SetListed(now, toMembers(vms)) {
		p.params.Log.Warn().Msg("peers: the VM list is empty, keeping the previous one")
		return 0
	}
	p.listReadAt = now
	return len(vms)
}

func toMembers(vms []plat.VM) []roster.Member {
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

// RecordContact records a direct contact with a node. It reports whether the
// contact comes from the node's current incarnation; the caller must drop messages
// of an older incarnation.
func (p *Peers) RecordContact(c roster.Contact) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.View()
	ok := p.roster.RecordContact(p.params.Clock.Now(), c)
	if m, known := before.Find(c.Node); !known || m != c.Member {
		p.publish()
	}
	return ok
}

// RecordFailure records that a node did not answer a call.
func (p *Peers) RecordFailure(n ident.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roster.RecordFailure(p.params.Clock.Now(), n)
}

// MergeDead merges the nodes that a peer considers dead.
func (p *Peers) MergeDead(ds []roster.Departure) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range ds {
		p.roster.MergeDead(p.params.Clock.Now(), d)
	}
}

// MergeLeaving merges the nodes that another node's VM list showed as leaving.
func (p *Peers) MergeLeaving(ds []roster.Departure) {
	if len(ds) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, d := range ds {
		p.roster.MergeLeaving(p.params.Clock.Now(), d)
	}
	p.publish()
}

// RecentlyLeaving returns the nodes that a VM list recently showed as leaving.
func (p *Peers) RecentlyLeaving() []roster.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.RecentlyLeaving(p.params.Clock.Now())
}

// RecentlyDead returns the entries that are considered dead, to be gossiped to
// peers.
func (p *Peers) RecentlyDead() []roster.Departure {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.RecentlyDead(p.params.Clock.Now())
}

// ListAge returns the time since a VM list was last read and accepted. An empty
// list is not accepted.
func (p *Peers) ListAge() clock.Millis {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.params.Clock.Now() - p.listReadAt
}

// ProbeTargets returns the entries that this node calls regularly.
func (p *Peers) ProbeTargets() []roster.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.roster.ProbeTargets()
}

// Nearest returns up to n entries to which this node reports as an agent of a
// service. They include entries that are leaving, which still finish requests in
// progress.
func (p *Peers) Nearest(svc ident.Service, n int) []roster.Member {
	return p.NearestTo(svc, p.params.Self.Zone, p.params.Self.Region, n)
}

// NearestTo returns up to n entries to which the agents of a service in the given
// zone report.
func (p *Peers) NearestTo(
	svc ident.Service, zone ident.Zone, region ident.Region, n int,
) []roster.Member {
	var entries []roster.Member
	for _, m := range p.View().members {
		if m.Entry {
			entries = append(entries, m)
		}
	}
	return roster.Nearest(string(svc)+"/"+string(zone), entries, zone, region, n)
}

// Owner returns the entry that owns a key, and whether that is this node. Without
// any entry, this node owns every key.
func (p *Peers) Owner(key string) (roster.Member, bool) {
	v := p.View()
	n, ok := spread.Owner(key, v.entries)
	if !ok || n == p.params.Self.Node {
		return p.params.Self, true
	}
	return v.byName[n], false
}

// IsCandidate reports whether this node ranks among the top n entries for a key.
func (p *Peers) IsCandidate(key string, n int) bool {
	return slices.Contains(spread.Top(key, p.View().entries, n), p.params.Self.Node)
}
