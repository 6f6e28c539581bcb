package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/jujuberamp/jujuberamp/internal/base/clock"
	"github.com/jujuberamp/jujuberamp/internal/base/ident"
	"github.com/jujuberamp/jujuberamp/internal/decide/roster"
	"github.com/jujuberamp/jujuberamp/internal/edge/codec"
	"github.com/jujuberamp/jujuberamp/internal/edge/plat"
)

// Status implements [httpd.Service]. It returns only what this entry knows
// without asking others.
func (e *Entry) Status(context.Context) (codec.EntryStatus, error) {
	s := e.config.Freshness()
	out := codec.EntryStatus{
		Node:          string(e.p.Node),
		Ready:         e.Ready() == nil,
		Offset:        int64(s.Offset),
		FreshMS:       e.configAge(),
		PossiblyStale: e.isPossiblyStale(),
		Outages:       e.outages(),
		Nodes:         e.agentStatuses(),
	}
	holder, fence := e.lease.Holder()
	out.Leases = []codec.Lease{{Name: leaseName, Holder: string(holder), Fence: int64(fence)}}
	return out, nil
}

// outages describes to operators what this entry can't reach.
func (e *Entry) outages() []string {
	s := e.config.Freshness()
	var out []string
	switch {
	case s.UnsupportedOffset > 0:
		out = append(out, "a record needs a newer program version: update this node")
	case s.Behind > e.p.MaxConfigAge:
		out = append(out, "a newer configuration is known and can't be read for "+s.Behind.String())
	case s.Age == clock.Never:
		out = append(out, "the log was never read")
	case s.Age > e.p.MaxConfigAge:
		out = append(out, "neither the log nor a peer that reads it was reached for "+s.Age.String())
	}
	if age := e.peers.ListAge(); age > e.p.MaxConfigAge {
		out = append(out, "the VM list was not read for "+age.String())
	}
	for _, d := range e.peers.RecentlyDead() {
		out = append(out, "entry "+string(d.Node)+" does not answer")
	}
	return out
}

// statusRetention is how long an agent stays in the status after its last report.
const statusRetention = clock.Minute

// agentStatuses lists the agents that report to this entry. It removes agents
// whose last report is older than statusRetention.
func (e *Entry) agentStatuses() []codec.NodeStatus {
	now := e.p.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []codec.NodeStatus
	for n, r := range e.reports {
		age := now - e.lastSeen[n]
		if age > statusRetention {
			delete(e.reports, n)
			delete(e.lastSeen, n)
			continue
		}
		out = append(out, codec.NodeStatus{
			Node:       string(n),
			Role:       string(plat.RoleAgent),
			Zone:       r.Zone,
			Service:    r.Hosted.Service,
			Version:    r.Hosted.Version,
			Offset:     r.Config,
			LastSeenMS: int64(age),
			Live:       age <= e.p.Roster.LivenessTimeout,
			Leaving:    r.Leaving || e.peers.View().IsLeaving(n),
		})
	}
	sortNodes(out)
	return out
}

func sortNodes(ns []codec.NodeStatus) {
	slices.SortFunc(ns, func(a, b codec.NodeStatus) int {
		return cmp.Or(-cmp.Compare(a.Role, b.Role), cmp.Compare(a.Node, b.Node))
	})
}

// ownStatus returns the status of this entry.
func (e *Entry) ownStatus() codec.NodeStatus {
	return codec.NodeStatus{
		Node:    string(e.p.Node),
		Role:    string(plat.RoleEntry),
		Zone:    string(e.p.Zone),
		Offset:  int64(e.config.State().Offset()),
		Live:    true,
		Leaving: e.leaving.Load(),
	}
}

// pathNodes is the path of forwarded calls that list an entry and the agents that
// report to it.
const pathNodes = "nodes"

func (e *Entry) nodesLocally(context.Context, empty) (codec.Nodes, error) {
	return codec.Nodes{Nodes: append(e.agentStatuses(), e.ownStatus())}, nil
}

// Nodes implements [httpd.Service]. It asks all entries, since an agent reports
// to some of them only.
func (e *Entry) Nodes(ctx context.Context) (codec.Nodes, error) {
	local, _ := e.nodesLocally(ctx, empty{})
	var mu sync.Mutex
	all := make(map[string]codec.NodeStatus)
	add := func(ns []codec.NodeStatus) {
		mu.Lock()
		defer mu.Unlock()
		for _, n := range ns {
			if old, ok := all[n.Node]; !ok || n.Offset > old.Offset {
				all[n.Node] = n
			}
		}
	}
	add(local.Nodes)
	e.forEachPeer(func(m roster.Member) {
		out, err := forward[empty, codec.Nodes](ctx, e, m.Addr, pathNodes, 0, empty{})
		if err != nil {
			out.Nodes = []codec.NodeStatus{e.unreachableStatus(m)}
		}
		add(out.Nodes)
	})
	var out codec.Nodes
	for _, n := range all {
		out.Nodes = append(out.Nodes, n)
	}
	sortNodes(out.Nodes)
	return out, nil
}

// unreachableStatus returns the status of an entry that did not answer.
func (e *Entry) unreachableStatus(m roster.Member) codec.NodeStatus {
	_, listed := e.peers.View().Find(ident.Node(m.Node))
	return codec.NodeStatus{
		Node:       string(m.Node),
		Role:       string(plat.RoleEntry),
		Zone:       string(m.Zone),
		LastSeenMS: -1,
		Live:       listed,
	}
}
